/// @file
/// Records of the control state as JSON for operators.

#include "coordination/control_json.hpp"

#include <hyssopdeal/protocol/contract_json.hpp>

namespace hyssopdeal::coordination
{

namespace
{

std::int64_t ms(transport::wall_time time)
{
    return time.time_since_epoch().count();
}

std::string_view to_string(state::purchase_phase phase) noexcept
{
    switch (phase)
    {
    case state::purchase_phase::ordered:
        return "ordered";
    case state::purchase_phase::refused:
        return "refused";
    case state::purchase_phase::started:
        return "started";
    case state::purchase_phase::released:
        return "released";
    }
    return "unknown";
}

std::string_view to_string(state::leaving_source source) noexcept
{
    switch (source)
    {
    case state::leaving_source::operator_order:
        return "operator_order";
    case state::leaving_source::reclaim_notice:
        return "reclaim_notice";
    case state::leaving_source::instance_list:
        return "instance_list";
    case state::leaving_source::scale_in:
        return "scale_in";
    }
    return "unknown";
}

} // namespace

std::string_view to_string(state::move_phase phase) noexcept
{
    switch (phase)
    {
    case state::move_phase::planned:
        return "planned";
    case state::move_phase::loading:
        return "loading";
    case state::move_phase::shifting:
        return "shifting";
    case state::move_phase::watching:
        return "watching";
    case state::move_phase::done:
        return "done";
    case state::move_phase::taken_back:
        return "taken_back";
    case state::move_phase::cancelled:
        return "cancelled";
    }
    return "unknown";
}

json to_json(const state::contract_record& record)
{
    auto value = json::parse(protocol::write_contract(record.contract));
    value["revision"] = record.changed;
    return value;
}

json to_json(const state::service_record& record)
{
    auto value = json::parse(protocol::write_service(record.service));
    value["revision"] = record.changed;
    return value;
}

json to_json(const state::move_record& record)
{
    const auto& order = record.order;
    const auto& status = record.status;
    return {{"service", order.service},
            {"version", order.version},
            {"complete_by_ms", ms(order.complete_by)},
            {"largest_canary_share", order.largest_canary_share},
            {"watch_ms", order.watch.count()},
            {"phase", to_string(status.phase)},
            {"step", status.step},
            {"share", status.share},
            {"expected_at_ms", ms(status.expected_at)},
            {"evidence", status.evidence},
            {"waits_for", status.waits_for},
            {"revision", record.changed}};
}

json to_json(const state::leaving_record& record)
{
    return {{"instance", record.instance},
            {"source", to_string(record.source)},
            {"incarnation", record.incarnation},
            {"since_ms", ms(record.since)},
            {"gone_at_ms", ms(record.gone_at)},
            {"revision", record.changed}};
}

json to_json(const state::evacuation_record& record)
{
    json shown = {{"failure_domain", record.failure_domain},
                  {"since_ms", ms(record.since)},
                  {"revision", record.changed}};
    if (!record.in_force())
    {
        shown["ended_at_ms"] = ms(record.ended_at);
    }
    return shown;
}

json to_json(const state::purchase_record& record)
{
    return {{"order_id", record.order_id},
            {"failure_domain", record.failure_domain},
            {"service", record.service},
            {"version", record.version},
            {"phase", to_string(record.phase)},
            {"instance", record.instance},
            {"address", record.address},
            {"revision", record.changed}};
}

json to_json(const state::replica_member& member)
{
    const bool votes = member.role == state::replica_role::voter;
    return {{"id", member.id},
            {"name", member.name},
            {"address", member.address},
            {"operators", member.operators},
            {"failure_domain", member.failure_domain},
            {"role", votes ? "voter" : "learner"}};
}

json grants_json(const state::control_tables& tables)
{
    auto list = json::array();
    for (const auto& [name, record] : tables.grants)
    {
        for (const auto& grant : record.grants)
        {
            list.push_back({{"organisation", name},
                            {"entry", grant.entry},
                            {"requests_per_second", grant.requests_per_second},
                            {"tokens_per_second", grant.tokens_per_second},
                            {"concurrent_streams", grant.concurrent_streams},
                            {"expires_at_ms", ms(grant.expires_at)}});
        }
    }
    return list;
}

json routes_json(const state::control_tables& tables)
{
    auto list = json::array();
    for (const auto& [name, record] : tables.services)
    {
        for (const auto& route : record.service.routes)
        {
            const bool repeatable =
                route.repeats == protocol::repeatability::repeatable;
            list.push_back({{"service", name},
                            {"route", route.name},
                            {"method", route.method},
                            {"path_prefix", route.path_prefix},
                            {"repeatable", repeatable},
                            {"time_limit_ms", route.time_limit.count()}});
        }
    }
    return list;
}

json log_json_of(const replica_status& status)
{
    auto list = json::array();
    for (const auto& member : status.replicas.members)
    {
        auto item = to_json(member);
        item["leads"] = member.id == status.leader_id;
        if (member.id == status.id)
        {
            item["term"] = status.leads.term;
            item["last"] = status.last;
            item["durable"] = status.durable;
            item["commit"] = status.commit;
            item["applied"] = status.applied;
            item["halted"] = status.halted;
        }
        list.push_back(std::move(item));
    }
    return list;
}

namespace
{

template <class Table>
json table_json(const Table& table)
{
    auto list = json::array();
    for (const auto& [name, record] : table)
    {
        list.push_back(to_json(record));
    }
    return list;
}

} // namespace

json export_json(const state::control_state& state)
{
    const auto& tables = state.tables();
    auto replicas = json::array();
    for (const auto& member : tables.replicas.members)
    {
        replicas.push_back(to_json(member));
    }
    return {{"applied", state.applied_index()},
            {"term", state.applied_term()},
            {"time_ms", ms(state.time())},
            {"contracts", table_json(tables.contracts)},
            {"services", table_json(tables.services)},
            {"moves", table_json(tables.moves)},
            {"purchases", table_json(tables.purchases)},
            {"leaving", table_json(tables.leaving)},
            {"evacuations", table_json(tables.evacuations)},
            {"grants", grants_json(tables)},
            {"replicas", std::move(replicas)},
            {"fence_counter", tables.fence_counter},
            {"claims", state.claim_count()}};
}

} // namespace hyssopdeal::coordination
