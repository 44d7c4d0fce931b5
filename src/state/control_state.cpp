/// @file
/// The state machine: order of records, answers to resent orders, snapshots.

#include <hyssopdeal/state/control_state.hpp>

#include <algorithm>
#include <utility>

#include <xxhash.h>

#include "protocol/thrift_bytes.hpp"
#include "state/control_state_impl.hpp"
#include "state/result_codec.hpp"
#include "state/wire_fields.hpp"

namespace hyssopdeal::state
{

namespace
{

std::uint64_t digest_of(command value)
{
    value.at = {};
    const auto bytes = encode(value);
    return XXH3_64bits(bytes.data(), bytes.size());
}

template <class Record>
std::vector<Record> values_of(const record_table<Record>& table)
{
    std::vector<Record> values;
    values.reserve(table.size());
    for (const auto& [name, record] : table)
    {
        values.push_back(record);
    }
    return values;
}

} // namespace

// [order] --------------------------------------------------------------------

void control_state::impl::begin(record_position position,
                                transport::wall_time record_time)
{
    at = position;
    term = position.term;
    tables.applied = position.index;
    time = std::max(time, record_time);
    ledger.expire(time);
}

void control_state::impl::remember_answer(const std::string& order_id,
                                          order_answer answer)
{
    answers.emplace(order_id, std::move(answer));
    answer_order.push_back(order_id);
    if (answer_order.size() > bounds.max_order_answers)
    {
        answers.erase(answer_order.front());
        answer_order.pop_front();
    }
}

control_state::control_state(ledger_bounds bounds)
    : impl_(std::make_unique<impl>(bounds))
{}

control_state::control_state(const control_state& other)
    : impl_(std::make_unique<impl>(*other.impl_))
{}

control_state::control_state(control_state&&) noexcept = default;

control_state& control_state::operator=(const control_state& other)
{
    if (this != &other)
    {
        impl_ = std::make_unique<impl>(*other.impl_);
    }
    return *this;
}

control_state& control_state::operator=(control_state&&) noexcept = default;

control_state::~control_state() = default;

// [apply] --------------------------------------------------------------------

command_result control_state::apply(record_position position,
                                    const command& value)
{
    impl_->begin(position, value.at);
    const bool ordered = !value.order_id.empty();
    const std::uint64_t digest = ordered ? digest_of(value) : 0;
    const auto known = impl_->answers.find(value.order_id);
    if (ordered && known != impl_->answers.end())
    {
        if (known->second.digest == digest)
        {
            return known->second.answer;
        }
        return {position.index,
                write_result{write_status::refused, 0,
                             "The order id was used for another order."}};
    }
    command_result answer{position.index, {}};
    std::visit([&](const auto& body) { answer.body = impl_->run(body); },
               value.body);
    if (ordered)
    {
        impl_->remember_answer(value.order_id, {digest, answer});
    }
    return answer;
}

void control_state::apply(record_position position, const replica_set& value)
{
    impl_->begin(position, impl_->time);
    impl_->tables.replicas = value;
}

void control_state::apply_empty(record_position position)
{
    impl_->begin(position, impl_->time);
}

// [reading] ------------------------------------------------------------------

log_index control_state::applied_index() const noexcept
{
    return impl_->tables.applied;
}

term_number control_state::applied_term() const noexcept
{
    return impl_->term;
}

transport::wall_time control_state::time() const noexcept
{
    return impl_->time;
}

const control_tables& control_state::tables() const noexcept
{
    return impl_->tables;
}

const claim_record* control_state::find_claim(std::string_view organisation,
                                              std::string_view key) const
{
    return impl_->ledger.find(organisation, key);
}

std::size_t control_state::claim_count() const noexcept
{
    return impl_->ledger.size();
}

// [snapshots] ----------------------------------------------------------------

std::string control_state::encode_snapshot() const
{
    const auto& tables = impl_->tables;
    const to_wire_direction copy;
    gen::snapshot wire;
    wire.schema_version = schema_version;
    copy(tables.applied, wire.applied_index);
    copy(impl_->term, wire.applied_term);
    copy(impl_->time, wire.time_ms);
    copy(values_of(tables.contracts), wire.contracts);
    copy(values_of(tables.services), wire.services);
    copy(values_of(tables.moves), wire.moves);
    copy(values_of(tables.purchases), wire.purchases);
    copy(values_of(tables.leaving), wire.leaving);
    copy(values_of(tables.evacuations), wire.evacuations);
    copy(values_of(tables.grants), wire.grants);
    copy(tables.replicas, wire.replicas);
    copy(tables.fence_counter, wire.fence_counter);
    copy(tables.removals, wire.removals);
    copy(tables.removals_from, wire.removals_from);
    wire.claims = impl_->ledger.encode_all();
    for (const auto& id : impl_->answer_order)
    {
        const auto& known = impl_->answers.find(id)->second;
        gen::order_answer item;
        item.order_id = id;
        item.command_digest = static_cast<std::int64_t>(known.digest);
        item.answer = result_to_thrift(known.answer);
        wire.order_answers.push_back(std::move(item));
    }
    return protocol::to_bytes(wire);
}

namespace
{

template <class Record, class Wire, class Name>
void restore_table(record_table<Record>& table, const std::vector<Wire>& wires,
                   Name name_of)
{
    for (const auto& wire : wires)
    {
        auto record = from_wire<Record>(wire);
        auto name = name_of(record);
        table.insert_or_assign(std::move(name), std::move(record));
    }
}

void restore_tables(control_tables& tables, const gen::snapshot& wire)
{
    const from_wire_direction copy;
    copy(tables.applied, wire.applied_index);
    restore_table(tables.contracts, wire.contracts, [](const auto& record) {
        return record.contract.organisation;
    });
    restore_table(tables.services, wire.services,
                  [](const auto& record) { return record.service.name; });
    restore_table(tables.moves, wire.moves,
                  [](const auto& record) { return record.order.service; });
    restore_table(tables.purchases, wire.purchases,
                  [](const auto& record) { return record.order_id; });
    restore_table(tables.leaving, wire.leaving,
                  [](const auto& record) { return record.instance; });
    restore_table(tables.evacuations, wire.evacuations,
                  [](const auto& record) { return record.failure_domain; });
    restore_table(tables.grants, wire.grants,
                  [](const auto& record) { return record.organisation; });
    copy(tables.replicas, wire.replicas);
    copy(tables.fence_counter, wire.fence_counter);
    copy(tables.removals, wire.removals);
    copy(tables.removals_from, wire.removals_from);
}

} // namespace

transport::result<void> control_state::restore_snapshot(std::string_view bytes)
{
    const auto wire = protocol::from_bytes<gen::snapshot>(bytes);
    if (!wire)
    {
        return tl::make_unexpected(wire.error());
    }
    if (wire->schema_version > schema_version)
    {
        return transport::fail(
            transport::reason::corrupt,
            "The snapshot has a later schema version than this program.");
    }
    try
    {
        auto next = std::make_unique<impl>(impl_->bounds);
        const from_wire_direction copy;
        restore_tables(next->tables, *wire);
        copy(next->term, wire->applied_term);
        copy(next->time, wire->time_ms);
        if (!next->ledger.restore_all(wire->claims))
        {
            return transport::fail(transport::reason::corrupt,
                                   "The snapshot's ledger is not understood.");
        }
        for (const auto& item : wire->order_answers)
        {
            next->remember_answer(
                item.order_id, {static_cast<std::uint64_t>(item.command_digest),
                                result_from_thrift(item.answer)});
        }
        impl_ = std::move(next);
        return {};
    }
    catch (const unknown_value&)
    {
        return transport::fail(transport::reason::corrupt,
                               "The snapshot holds an unknown value.");
    }
}

} // namespace hyssopdeal::state
