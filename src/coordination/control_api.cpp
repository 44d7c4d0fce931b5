/// @file
/// The operators' HTTP API: checks and routes.

#include "coordination/control_api.hpp"

#include <charconv>

#include <fmt/format.h>

#include <hyssopdeal/protocol/contract_json.hpp>
#include <hyssopdeal/transport/digest.hpp>
#include <hyssopdeal/transport/json_text.hpp>

#include "coordination/control_api_call.hpp"
#include "coordination/control_json.hpp"

namespace hyssopdeal::coordination
{

using transport::find_header;
using transport::reason;
using transport::verdict;

// [call] ---------------------------------------------------------------------

namespace
{

int status_of(reason code)
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
    case reason::revision_conflict:
        return 409;
    case reason::not_leader:
        return 421;
    default:
        return 503;
    }
}

std::vector<std::string> split_path(std::string_view path)
{
    std::vector<std::string> parts;
    while (!path.empty())
    {
        path.remove_prefix(1);
        const auto end = std::min(path.find('/'), path.size());
        parts.emplace_back(path.substr(0, end));
        path.remove_prefix(end);
    }
    return parts;
}

} // namespace

control_api::call::call(const transport::http_request& asked,
                        transport::http_responder answer)
    : request(asked),
      responder(std::move(answer))
{
    const std::string_view target = request.target;
    const auto question = std::min(target.find('?'), target.size());
    query = target.substr(std::min(question + 1, target.size()));
    parts = split_path(target.substr(0, question));
}

void control_api::call::answer(int status, const json& body,
                               state::log_index index) const
{
    transport::http_response response;
    response.status = status;
    response.headers = {{"Content-Type", "application/json"},
                        {"Hyssopdeal-Index", std::to_string(index)}};
    response.body = transport::json_text(body) + "\n";
    auto once = responder;
    once.send(std::move(response));
}

void control_api::call::refuse(const transport::failure& error,
                               const std::string& leader) const
{
    constexpr int retry_after_s = 1;
    transport::http_response response;
    response.status = status_of(error.code);
    response.headers = {
        {"Content-Type", "application/json"},
        {"Hyssopdeal-Verdict", std::string{to_string(error.ran)}}};
    if (response.status == 503)
    {
        response.headers.push_back(
            {"Retry-After", std::to_string(retry_after_s)});
    }
    if (!leader.empty())
    {
        response.headers.push_back({"Hyssopdeal-Leader", leader});
    }
    const json body = {{"error",
                        {{"reason", to_string(error.code)},
                         {"text", error.text},
                         {"verdict", to_string(error.ran)}}}};
    response.body = transport::json_text(body) + "\n";
    auto once = responder;
    once.send(std::move(response));
}

std::string control_api::call::part(std::size_t at) const
{
    return at < parts.size() ? parts[at] : std::string{};
}

std::optional<std::uint64_t> control_api::call::number(std::string_view text)
{
    std::uint64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end)
    {
        return std::nullopt;
    }
    return value;
}

// [checks] -------------------------------------------------------------------

control_api::control_api(std::vector<operator_token> tokens,
                         control_access access)
    : tokens_(std::move(tokens)),
      access_(std::move(access))
{}

bool control_api::allowed(const call& asked) const
{
    constexpr std::string_view scheme = "Bearer ";
    const auto header = find_header(asked.request.headers, "Authorization");
    if (!header.starts_with(scheme))
    {
        asked.refuse({verdict::not_run, reason::unauthenticated,
                      "A bearer token is needed."});
        return false;
    }
    const auto digest = transport::sha256_hex(header.substr(scheme.size()));
    const operator_token* found = nullptr;
    for (const auto& token : tokens_)
    {
        if (transport::same_secret(token.sha256, digest))
        {
            found = &token;
        }
    }
    if (found == nullptr)
    {
        asked.refuse({verdict::not_run, reason::unauthenticated,
                      "The bearer token is not known."});
        return false;
    }
    if (asked.request.method != "GET" && found->role != operator_role::write)
    {
        asked.refuse({verdict::not_run, reason::forbidden,
                      "The bearer token may only read."});
        return false;
    }
    return true;
}

/// Only the leader within its lease answers: others may be behind.
bool control_api::leads(const call& asked) const
{
    if (access_.may_read())
    {
        return true;
    }
    const auto status = access_.status();
    for (const auto& member : status.replicas.members)
    {
        if (member.id == status.leader_id && member.id != status.id)
        {
            asked.refuse({verdict::not_run, reason::not_leader,
                          fmt::format("{} leads.", member.name)},
                         member.operators);
            return false;
        }
    }
    asked.refuse(
        {verdict::not_run, reason::no_quorum, "No replica leads now."});
    return false;
}

void control_api::handle(const transport::http_request& request,
                         transport::http_responder responder)
{
    const call asked{request, std::move(responder)};
    if (!allowed(asked))
    {
        return;
    }
    if (asked.part(0) != "v1")
    {
        return asked.refuse(
            {verdict::not_run, reason::not_found, "No such path."});
    }
    if (asked.part(1) == "inspect" && request.method == "GET")
    {
        return inspect(asked);
    }
    if (!leads(asked))
    {
        return;
    }
    request.method == "GET" ? read(asked) : write(asked);
}

} // namespace hyssopdeal::coordination
