/// @file
/// The dialect with the `Hyssopdeal-` headers.

#include <hyssopdeal/coordination/gateway/native_dialect.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

namespace hyssopdeal::coordination
{

using transport::find_header;
using transport::http_header;
using transport::http_request;

namespace
{

constexpr std::array<std::string_view, 6> connection_headers = {
    "Connection",     "Keep-Alive", "Transfer-Encoding",
    "Content-Length", "TE",         "Upgrade"};

bool is_connection_header(std::string_view name)
{
    return std::any_of(
        connection_headers.begin(), connection_headers.end(),
        [&](auto known) { return transport::same_header_name(known, name); });
}

/// @return Whether only the gateway sets a header in requests to servers, so
///     that a caller's value is dropped.
bool is_reserved_header(std::string_view name)
{
    return transport::same_header_name(name, "Authorization") ||
           transport::same_header_name(name, "Hyssopdeal-Organisation") ||
           transport::same_header_name(name, "Hyssopdeal-Server") ||
           transport::same_header_name(name, "Hyssopdeal-Priority") ||
           transport::same_header_name(name, "Hyssopdeal-Moved-Run") ||
           transport::same_header_name(name, "X-Request-Deadline-Ms");
}

template <class Number>
bool parse_number(std::string_view text, Number& result)
{
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, result);
    return !text.empty() && parsed.ec == std::errc{} && parsed.ptr == end;
}

} // namespace

request_metadata native_dialect::parse_request(const http_request& request)
{
    constexpr std::string_view scheme = "Bearer ";
    const auto& headers = request.headers;
    request_metadata metadata;
    metadata.attempt_id = find_header(headers, "Hyssopdeal-Attempt");
    metadata.host = find_header(headers, "Host");
    const auto key = find_header(headers, "Authorization");
    if (key.starts_with(scheme))
    {
        metadata.key = key.substr(scheme.size());
    }
    std::int64_t ms = 0;
    if (parse_number(find_header(headers, "X-Request-Deadline-Ms"), ms))
    {
        metadata.time_limit = std::chrono::milliseconds{ms};
    }
    metadata.has_token_counts = parse_number(
        find_header(headers, "Hyssopdeal-Prompt"), metadata.size.prompt_tokens);
    metadata.size.parts =
        parse_parts(find_header(headers, "Hyssopdeal-Prompt-Parts"));
    metadata.resume_after = find_header(headers, "Last-Event-ID");
    return metadata;
}

http_request native_dialect::make_request(const http_request& original,
                                          const forward_metadata& metadata)
{
    http_request request;
    request.method = original.method;
    request.target = original.target;
    const bool resumes = !metadata.resume_after.empty();
    for (const auto& header : original.headers)
    {
        const bool replaced = resumes && transport::same_header_name(
                                             header.name, "Last-Event-ID");
        if (!is_connection_header(header.name) &&
            !is_reserved_header(header.name) && !replaced)
        {
            request.headers.push_back(header);
        }
    }
    request.headers.push_back(
        {"X-Request-Deadline-Ms", std::to_string(metadata.time_limit.count())});
    request.headers.push_back({"Hyssopdeal-Server", metadata.server_id});
    request.headers.push_back(
        {"Hyssopdeal-Priority", std::to_string(metadata.rank)});
    if (!metadata.organisation.empty())
    {
        request.headers.push_back(
            {"Hyssopdeal-Organisation", metadata.organisation});
    }
    if (resumes)
    {
        request.headers.push_back({"Last-Event-ID", metadata.resume_after});
    }
    if (!metadata.moved_run.empty())
    {
        request.headers.push_back({"Hyssopdeal-Moved-Run", metadata.moved_run});
    }
    return request;
}

http_request native_dialect::make_move(std::string_view attempt_id,
                                       std::string_view target)
{
    http_request request;
    request.method = "POST";
    request.target = "/v1/streams/move";
    request.headers = {{"Hyssopdeal-Attempt", std::string{attempt_id}},
                       {"Hyssopdeal-Move-To", std::string{target}}};
    return request;
}

move_result native_dialect::parse_move_result(std::string_view source,
                                              int status, std::string_view body)
{
    constexpr int copied = 200;
    constexpr int not_copied = 503;
    constexpr int no_such_run = 404;
    move_result result;
    result.not_stopped = status == no_such_run;
    if (!body.empty() && (status == copied || status == not_copied))
    {
        result.moved_run = std::string{source} + '/' + std::string{body};
        result.copied = status == copied;
    }
    return result;
}

response_metadata
native_dialect::parse_response(int status,
                               const std::vector<http_header>& headers)
{
    constexpr int misdirected_request = 421;
    constexpr int service_unavailable = 503;
    response_metadata metadata;
    metadata.attempt_id = find_header(headers, "Hyssopdeal-Attempt");
    metadata.not_executed =
        find_header(headers, "Hyssopdeal-Verdict") == "not_run";
    metadata.other_server = status == misdirected_request;
    metadata.execution_proven = !metadata.attempt_id.empty();
    metadata.content_encoded =
        !find_header(headers, "Content-Encoding").empty();
    metadata.leaving = find_header(headers, "Hyssopdeal-Leaving") == "1";
    metadata.rate_limit = find_header(headers, "Hyssopdeal-Rate-Limit");
    metadata.withstood_rejections = find_header(headers, "Hyssopdeal-Brittle");
    if (status == service_unavailable)
    {
        metadata.pause =
            transport::read_seconds(find_header(headers, "Retry-After"));
    }
    return metadata;
}

std::vector<http_header>
native_dialect::caller_headers(const std::vector<http_header>& headers)
{
    std::vector<http_header> kept;
    std::copy_if(
        headers.begin(), headers.end(), std::back_inserter(kept),
        [](const auto& header) { return !is_connection_header(header.name); });
    return kept;
}

std::optional<http_request>
native_dialect::make_liveness_check(const protocol::document_service&)
{
    return std::nullopt;
}

std::optional<server_liveness>
native_dialect::parse_liveness(int, std::string_view, std::string_view)
{
    return std::nullopt;
}

} // namespace hyssopdeal::coordination
