/// @file
/// The project's own dialect.

#include <hyssopdeal/coordination/gateway/own_dialect.hpp>

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

bool concerns_connection(std::string_view name)
{
    return std::any_of(
        connection_headers.begin(), connection_headers.end(),
        [&](auto known) { return transport::same_header_name(known, name); });
}

/// @return Whether callers may not set a header, as this system sets it.
bool set_here(std::string_view name)
{
    return transport::same_header_name(name, "Authorization") ||
           transport::same_header_name(name, "Hyssopdeal-Organisation") ||
           transport::same_header_name(name, "Hyssopdeal-Server") ||
           transport::same_header_name(name, "Hyssopdeal-Priority") ||
           transport::same_header_name(name, "Hyssopdeal-Moved-Run") ||
           transport::same_header_name(name, "X-Request-Deadline-Ms");
}

template <class Number>
bool read_number(std::string_view text, Number& into)
{
    const auto* const end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, into);
    return !text.empty() && read.ec == std::errc{} && read.ptr == end;
}

} // namespace

request_metadata own_dialect::parse_request(const http_request& request)
{
    constexpr std::string_view scheme = "Bearer ";
    const auto& headers = request.headers;
    request_metadata terms;
    terms.attempt_id = find_header(headers, "Hyssopdeal-Attempt");
    terms.host = find_header(headers, "Host");
    const auto key = find_header(headers, "Authorization");
    if (key.starts_with(scheme))
    {
        terms.key = key.substr(scheme.size());
    }
    std::int64_t ms = 0;
    if (read_number(find_header(headers, "X-Request-Deadline-Ms"), ms))
    {
        terms.time_limit = std::chrono::milliseconds{ms};
    }
    terms.has_token_counts = read_number(find_header(headers, "Hyssopdeal-Prompt"),
                                     terms.size.prompt_tokens);
    terms.resume_after = find_header(headers, "Last-Event-ID");
    return terms;
}

http_request own_dialect::make_request(const http_request& original,
                                       const forward_metadata& terms)
{
    http_request request;
    request.method = original.method;
    request.target = original.target;
    request.body = original.body;
    const bool resumes = !terms.resume_after.empty();
    for (const auto& header : original.headers)
    {
        const bool replaced = resumes && transport::same_header_name(
                                             header.name, "Last-Event-ID");
        if (!concerns_connection(header.name) && !set_here(header.name) &&
            !replaced)
        {
            request.headers.push_back(header);
        }
    }
    request.headers.push_back(
        {"X-Request-Deadline-Ms", std::to_string(terms.time_limit.count())});
    request.headers.push_back({"Hyssopdeal-Server", terms.server_id});
    request.headers.push_back(
        {"Hyssopdeal-Priority", std::to_string(terms.rank)});
    if (!terms.organisation.empty())
    {
        request.headers.push_back(
            {"Hyssopdeal-Organisation", terms.organisation});
    }
    if (resumes)
    {
        request.headers.push_back({"Last-Event-ID", terms.resume_after});
    }
    if (!terms.moved_run.empty())
    {
        request.headers.push_back({"Hyssopdeal-Moved-Run", terms.moved_run});
    }
    return request;
}

http_request own_dialect::make_move(std::string_view attempt_id,
                                    std::string_view target)
{
    http_request request;
    request.method = "POST";
    request.target = "/v1/streams/move";
    request.headers = {{"Hyssopdeal-Attempt", std::string{attempt_id}},
                       {"Hyssopdeal-Move-To", std::string{target}}};
    return request;
}

move_result own_dialect::parse_move_result(std::string_view source, int status,
                                   std::string_view body)
{
    constexpr int copied = 200;
    constexpr int not_copied = 503;
    move_result answer;
    if (!body.empty() && (status == copied || status == not_copied))
    {
        answer.moved_run = std::string{source} + '/' + std::string{body};
        answer.copied = status == copied;
    }
    return answer;
}

response_metadata own_dialect::parse_response(int status,
                                      const std::vector<http_header>& headers)
{
    constexpr int misdirected = 421;
    constexpr int turned_away = 503;
    response_metadata terms;
    terms.attempt_id = find_header(headers, "Hyssopdeal-Attempt");
    terms.not_executed =
        find_header(headers, "Hyssopdeal-Verdict") == "not_run";
    terms.other_server = status == misdirected;
    terms.proven = !terms.attempt_id.empty();
    terms.encoded = !find_header(headers, "Content-Encoding").empty();
    terms.leaving = find_header(headers, "Hyssopdeal-Leaving") == "1";
    if (status == turned_away)
    {
        terms.pause =
            transport::read_seconds(find_header(headers, "Retry-After"));
    }
    return terms;
}

std::vector<http_header>
own_dialect::caller_headers(const std::vector<http_header>& headers)
{
    std::vector<http_header> kept;
    std::copy_if(
        headers.begin(), headers.end(), std::back_inserter(kept),
        [](const auto& header) { return !concerns_connection(header.name); });
    return kept;
}

} // namespace hyssopdeal::coordination
