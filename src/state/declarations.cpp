/// @file
/// Declarations, their deltas and the view of them.

#include <hyssopdeal/state/declarations.hpp>

#include <algorithm>

#include <hyssopdeal/state/commands.hpp>

#include "protocol/thrift_bytes.hpp"
#include "state/wire_fields.hpp"

namespace hyssopdeal::state
{

namespace
{

// [tables] -------------------------------------------------------------------

template <class Record>
std::vector<Record> changed_after(const record_table<Record>& table,
                                  log_index index)
{
    std::vector<Record> changed;
    for (const auto& [name, record] : table)
    {
        if (record.changed > index)
        {
            changed.push_back(record);
        }
    }
    return changed;
}

const std::string& name_of(const contract_record& record)
{
    return record.contract.organisation;
}

const std::string& name_of(const service_record& record)
{
    return record.service.name;
}

const std::string& name_of(const leaving_record& record)
{
    return record.instance;
}

const std::string& name_of(const evacuation_record& record)
{
    return record.failure_domain;
}

template <class Record>
void take_in(record_table<Record>& table, const std::vector<Record>& records)
{
    for (const auto& record : records)
    {
        table.insert_or_assign(name_of(record), record);
    }
}

/// Removes a record unless it was made again after the removal.
template <class Record>
void take_out(record_table<Record>& table, const removal& gone)
{
    const auto found = table.find(gone.name);
    if (found != table.end() && found->second.changed < gone.changed)
    {
        table.erase(found);
    }
}

void take_out(declarations& target, const removal& gone)
{
    switch (gone.kind)
    {
    case removal_kind::contract:
        return take_out(target.contracts, gone);
    case removal_kind::service:
        return take_out(target.services, gone);
    case removal_kind::leaving:
        return take_out(target.leaving, gone);
    }
}

} // namespace

// [declarations] -------------------------------------------------------------

void declarations::remember(removal value)
{
    removals.push_back(std::move(value));
    if (removals.size() > max_removals)
    {
        removals_from = removals.front().changed;
        removals.erase(removals.begin());
    }
}

// [declaration_delta] --------------------------------------------------------

declaration_delta delta_since(const declarations& source, log_index follower)
{
    declaration_delta delta;
    const bool whole = follower == 0 || follower < source.removals_from;
    delta.kind = whole ? delta_kind::whole : delta_kind::changes;
    delta.from = whole ? 0 : follower;
    delta.to = source.applied;
    delta.contracts = changed_after(source.contracts, delta.from);
    delta.services = changed_after(source.services, delta.from);
    delta.leaving = changed_after(source.leaving, delta.from);
    delta.evacuations = changed_after(source.evacuations, delta.from);
    delta.removals_from = whole ? source.removals_from : follower;
    for (const auto& gone : source.removals)
    {
        if (gone.changed > delta.from)
        {
            delta.removals.push_back(gone);
        }
    }
    return delta;
}

delta_outcome apply_delta(declarations& target, const declaration_delta& delta)
{
    if (delta.to <= target.applied)
    {
        return delta_outcome::stale;
    }
    if (delta.kind == delta_kind::changes && delta.from > target.applied)
    {
        return delta_outcome::gap;
    }
    if (delta.kind == delta_kind::whole)
    {
        target = declarations{};
        target.removals_from = delta.removals_from;
    }
    const log_index before = target.applied;
    take_in(target.contracts, delta.contracts);
    take_in(target.services, delta.services);
    take_in(target.leaving, delta.leaving);
    take_in(target.evacuations, delta.evacuations);
    for (const auto& gone : delta.removals)
    {
        take_out(target, gone);
        if (delta.kind == delta_kind::whole || gone.changed > before)
        {
            target.remember(gone);
        }
    }
    target.applied = delta.to;
    return delta_outcome::applied;
}

std::string encode(const declaration_delta& value)
{
    gen::declaration_delta wire;
    const to_wire_direction copy;
    wire.schema_version = schema_version;
    wire.whole = value.kind == delta_kind::whole;
    copy(value.from, wire.from_index);
    copy(value.to, wire.to_index);
    copy(value.contracts, wire.contracts);
    copy(value.services, wire.services);
    copy(value.leaving, wire.leaving);
    copy(value.evacuations, wire.evacuations);
    copy(value.removals, wire.removals);
    copy(value.removals_from, wire.removals_from);
    return protocol::to_bytes(wire);
}

transport::result<declaration_delta> decode_delta(std::string_view bytes)
{
    const auto wire = protocol::from_bytes<gen::declaration_delta>(bytes);
    if (!wire)
    {
        return tl::make_unexpected(wire.error());
    }
    try
    {
        declaration_delta value;
        const from_wire_direction copy;
        value.kind = wire->whole ? delta_kind::whole : delta_kind::changes;
        copy(value.from, wire->from_index);
        copy(value.to, wire->to_index);
        copy(value.contracts, wire->contracts);
        copy(value.services, wire->services);
        copy(value.leaving, wire->leaving);
        copy(value.evacuations, wire->evacuations);
        copy(value.removals, wire->removals);
        copy(value.removals_from, wire->removals_from);
        return value;
    }
    catch (const unknown_value&)
    {
        return transport::fail(transport::reason::corrupt,
                               "A delta holds an unknown value.");
    }
}

// [control_view] -------------------------------------------------------------

protocol::control_view make_view(const declarations& source)
{
    protocol::control_view view;
    view.applied_index = source.applied;
    for (const auto& [name, record] : source.contracts)
    {
        view.contracts.push_back(record.contract);
    }
    for (const auto& [name, record] : source.services)
    {
        view.services.push_back(record.service);
    }
    for (const auto& [name, record] : source.leaving)
    {
        view.leaving_instances.push_back(name);
    }
    for (const auto& [name, record] : source.evacuations)
    {
        if (record.in_force())
        {
            view.evacuations.push_back({name, record.since});
        }
    }
    return view;
}

} // namespace hyssopdeal::state
