/// @file
/// The operators' HTTP API: checks, routes and reads.

#include "coordination/control_api.hpp"

#include <charconv>

#include <fmt/format.h>

#include <hyssopdeal/protocol/contract_json.hpp>
#include <hyssopdeal/transport/digest.hpp>

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
    response.body = body.dump() + "\n";
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
    response.body = body.dump() + "\n";
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

// [reading] ------------------------------------------------------------------

void control_api::read(const call& asked) const
{
    const auto kind = asked.part(1);
    if (kind == "applied" && asked.parts.size() == 2)
    {
        return read_applied(asked);
    }
    const bool known =
        kind == "contracts" || kind == "services" || kind == "moves";
    if (known && asked.parts.size() == 2)
    {
        return read_list(asked);
    }
    if (known && asked.parts.size() == 3)
    {
        return read_record(asked);
    }
    asked.refuse({verdict::not_run, reason::not_found, "No such path."});
}

namespace
{

template <class Table>
json list_of(const Table& table)
{
    auto list = json::array();
    for (const auto& [name, record] : table)
    {
        list.push_back(to_json(record));
    }
    return list;
}

template <class Table>
std::optional<json> record_of(const Table& table, const std::string& name)
{
    const auto found = table.find(name);
    if (found == table.end())
    {
        return std::nullopt;
    }
    return to_json(found->second);
}

std::optional<json> record_of(const state::control_tables& tables,
                              const std::string& kind, const std::string& name)
{
    if (kind == "contracts")
    {
        return record_of(tables.contracts, name);
    }
    if (kind == "services")
    {
        return record_of(tables.services, name);
    }
    if (kind == "moves")
    {
        return record_of(tables.moves, name);
    }
    return std::nullopt;
}

std::string_view name_of(protocol::member_state state)
{
    switch (state)
    {
    case protocol::member_state::alive:
        return "alive";
    case protocol::member_state::suspect:
        return "suspect";
    case protocol::member_state::leaving:
        return "leaving";
    case protocol::member_state::dead:
        return "dead";
    }
    return "unknown";
}

std::string_view name_of(protocol::member_kind kind)
{
    switch (kind)
    {
    case protocol::member_kind::entry:
        return "entry";
    case protocol::member_kind::control:
        return "control";
    case protocol::member_kind::backend_server:
        return "backend_server";
    }
    return "unknown";
}

json members_json(const membership& members)
{
    auto list = json::array();
    for (const auto& member : members.table().entries())
    {
        list.push_back({{"name", member.name},
                        {"state", name_of(member.state)},
                        {"kind", name_of(member.kind)},
                        {"failure_domain", member.failure_domain},
                        {"peer_address", member.peer_address},
                        {"incarnation", member.incarnation},
                        {"applied", members.applied_index_of(member.name)}});
    }
    return list;
}

} // namespace

std::optional<json>
control_api::call::record(const state::control_tables& tables) const
{
    return record_of(tables, part(1), part(2));
}

void control_api::read_list(const call& asked) const
{
    const auto& state = access_.state();
    const auto& tables = state.tables();
    const auto kind = asked.part(1);
    auto list = kind == "contracts"  ? list_of(tables.contracts)
                : kind == "services" ? list_of(tables.services)
                                     : list_of(tables.moves);
    asked.answer(200, {{kind, std::move(list)}}, state.applied_index());
}

void control_api::read_record(const call& asked) const
{
    const auto& state = access_.state();
    const auto found = asked.record(state.tables());
    if (!found)
    {
        return asked.refuse(
            {verdict::not_run, reason::not_found, "No such record."});
    }
    asked.answer(200, *found, state.applied_index());
}

/// In force everywhere: each member that gets work has applied the index.
void control_api::read_applied(const call& asked) const
{
    constexpr std::string_view key = "index=";
    const auto wanted = asked.query.starts_with(key)
                            ? call::number(asked.query.substr(key.size()))
                            : std::nullopt;
    if (!wanted)
    {
        return asked.refuse(
            {verdict::not_run, reason::bad_request, "index=N is needed."});
    }
    auto list = json::array();
    bool in_force = true;
    const auto& members = access_.members();
    for (const auto& member : members.table().entries())
    {
        const bool counts =
            member.kind != protocol::member_kind::backend_server &&
            member.state != protocol::member_state::dead;
        if (!counts)
        {
            continue;
        }
        const bool self = member.name == members.self().name;
        const auto applied = self ? access_.state().applied_index()
                                  : members.applied_index_of(member.name);
        in_force = in_force && applied >= *wanted;
        list.push_back({{"name", member.name},
                        {"applied", applied},
                        {"state", name_of(member.state)}});
    }
    asked.answer(200, {{"members", std::move(list)}, {"in_force", in_force}},
                 access_.state().applied_index());
}

/// Any replica shows what it knows, also without a leader.
void control_api::inspect(const call& asked) const
{
    const auto what = asked.part(2);
    const auto& state = access_.state();
    const auto& tables = state.tables();
    std::optional<json> list;
    if (what == "members")
    {
        list = members_json(access_.members());
    }
    else if (what == "grants")
    {
        list = grants_json(tables);
    }
    else if (what == "streams")
    {
        list = json::array(); // streams live on entries
    }
    else if (what == "moves")
    {
        list = list_of(tables.moves);
    }
    else if (what == "log")
    {
        list = log_json_of(access_.status());
    }
    else if (what == "routes")
    {
        list = routes_json(tables);
    }
    if (!list)
    {
        return asked.refuse(
            {verdict::not_run, reason::not_found, "Nothing of that name."});
    }
    asked.answer(200, {{what, std::move(*list)}}, state.applied_index());
}

} // namespace hyssopdeal::coordination
