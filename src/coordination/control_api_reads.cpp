/// @file
/// The operators' HTTP API: reads.

#include "coordination/control_api.hpp"
#include "coordination/control_api_call.hpp"
#include "coordination/control_json.hpp"

namespace hyssopdeal::coordination
{

using transport::reason;
using transport::verdict;

// [reading] ------------------------------------------------------------------

void control_api::read(const call& asked) const
{
    const auto kind = asked.part(1);
    if (kind == "applied" && asked.parts.size() == 2)
    {
        return read_applied(asked);
    }
    const bool known = kind == "contracts" || kind == "services" ||
                       kind == "moves" || kind == "evacuations";
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

/// An evacuation that was withdrawn is not listed.
json evacuations_in_force(const state::control_tables& tables)
{
    auto list = json::array();
    for (const auto& [domain, record] : tables.evacuations)
    {
        if (record.in_force())
        {
            list.push_back(to_json(record));
        }
    }
    return list;
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
    if (kind == "evacuations")
    {
        return record_of(tables.evacuations, name);
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
                : kind == "moves"    ? list_of(tables.moves)
                                     : evacuations_in_force(tables);
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
    else if (what == "evacuations")
    {
        list = evacuations_in_force(tables);
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
