#include "entry_answers.hpp"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

#include <hyssopdeal/transport/json_text.hpp>

namespace hyssopdeal::coordination
{

using transport::http_header;
using transport::reason;
using transport::same_header_name;

namespace
{

constexpr std::array<std::string_view, 9> hop_by_hop_names = {
    "Connection",          "Keep-Alive", "Proxy-Authenticate",
    "Proxy-Authorization", "TE",         "Trailer",
    "Transfer-Encoding",   "Upgrade",    "Content-Length"};

constexpr std::array<std::string_view, 5> set_by_entry_names = {
    "Host", "Authorization", "Expect", "X-Request-Deadline-Ms", "traceparent"};

constexpr std::string_view own_prefix = "hyssopdeal-";

template <std::size_t Size>
bool contains(const std::array<std::string_view, Size>& names,
              std::string_view name) noexcept
{
    return std::any_of(names.begin(), names.end(), [name](auto known) {
        return same_header_name(known, name);
    });
}

bool is_own(std::string_view name) noexcept
{
    return name.size() >= own_prefix.size() &&
           same_header_name(name.substr(0, own_prefix.size()), own_prefix);
}

} // namespace

int status_of(reason code) noexcept
{
    switch (code)
    {
    case reason::bad_request:
    case reason::bad_settings:
        return 400;
    case reason::unauthenticated:
        return 401;
    case reason::forbidden:
        return 403;
    case reason::not_found:
        return 404;
    case reason::too_large:
        return 413;
    case reason::limit_reached:
        return 429;
    case reason::overloaded:
    case reason::draining:
    case reason::no_backend_server:
    case reason::no_quorum:
    case reason::not_leader:
        return 503;
    case reason::deadline_passed:
    case reason::timed_out:
        return 504;
    case reason::connect_failed:
    case reason::connection_lost:
    case reason::broken_answer:
        return 502;
    case reason::revision_conflict:
    case reason::key_in_use:
        return 409;
    case reason::key_mismatch:
        return 422;
    case reason::storage_failed:
    case reason::storage_full:
    case reason::corrupt:
    case reason::internal:
        return 500;
    }
    return 500;
}

std::string failure_body(const transport::failure& error)
{
    const nlohmann::ordered_json body = {{"error",
                                          {{"reason", to_string(error.code)},
                                           {"text", error.text},
                                           {"verdict", to_string(error.ran)}}}};
    return transport::json_text(body);
}

transport::http_response failure_answer(const transport::failure& error,
                                        std::chrono::milliseconds retry_after)
{
    transport::http_response answer;
    answer.status = status_of(error.code);
    answer.headers = {
        {"Content-Type", "application/json"},
        {"Hyssopdeal-Verdict", std::string{to_string(error.ran)}}};
    if (answer.status == 429 || answer.status == 503)
    {
        const auto seconds =
            std::max(std::chrono::ceil<std::chrono::seconds>(retry_after),
                     std::chrono::seconds{1});
        answer.headers.push_back(
            {"Retry-After", std::to_string(seconds.count())});
    }
    answer.body = failure_body(error);
    return answer;
}

bool is_hop_by_hop(std::string_view name) noexcept
{
    return contains(hop_by_hop_names, name);
}

std::vector<http_header>
headers_to_server(const std::vector<http_header>& from_caller)
{
    std::vector<http_header> passed;
    for (const auto& header : from_caller)
    {
        if (!is_hop_by_hop(header.name) && !is_own(header.name) &&
            !contains(set_by_entry_names, header.name))
        {
            passed.push_back(header);
        }
    }
    return passed;
}

std::vector<http_header>
headers_to_caller(const std::vector<http_header>& from_server)
{
    std::vector<http_header> passed;
    for (const auto& header : from_server)
    {
        if (!is_hop_by_hop(header.name) && !is_own(header.name))
        {
            passed.push_back(header);
        }
    }
    return passed;
}

} // namespace hyssopdeal::coordination
