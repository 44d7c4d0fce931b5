/// @file
/// Encoding of commands and results.

#include <hyssopdeal/state/commands.hpp>

#include "protocol/thrift_bytes.hpp"
#include "state/result_codec.hpp"
#include "state/wire_fields.hpp"

namespace hyssopdeal::state
{

namespace
{

using transport::fail;
using transport::reason;

// [unions] -------------------------------------------------------------------

/// Sets the member of the Thrift union that belongs to the command.
struct body_to_wire
{
    gen::command_body& wire;

    void operator()(const put_contract& v) const
    {
        wire.__set_put_contract_value(to_wire(v));
    }
    void operator()(const delete_contract& v) const
    {
        wire.__set_delete_contract_value(to_wire(v));
    }
    void operator()(const put_service& v) const
    {
        wire.__set_put_service_value(to_wire(v));
    }
    void operator()(const delete_service& v) const
    {
        wire.__set_delete_service_value(to_wire(v));
    }
    void operator()(const order_move& v) const
    {
        wire.__set_order_move_value(to_wire(v));
    }
    void operator()(const update_move& v) const
    {
        wire.__set_update_move_value(to_wire(v));
    }
    void operator()(const set_shares& v) const
    {
        wire.__set_set_shares_value(to_wire(v));
    }
    void operator()(const cancel_move& v) const
    {
        wire.__set_cancel_move_value(to_wire(v));
    }
    void operator()(const allocate_fence& v) const
    {
        wire.__set_allocate_fence_value(to_wire(v));
    }
    void operator()(const order_purchase& v) const
    {
        wire.__set_order_purchase_value(to_wire(v));
    }
    void operator()(const update_purchase& v) const
    {
        wire.__set_update_purchase_value(to_wire(v));
    }
    void operator()(const set_leaving& v) const
    {
        wire.__set_set_leaving_value(to_wire(v));
    }
    void operator()(const clear_leaving& v) const
    {
        wire.__set_clear_leaving_value(to_wire(v));
    }
    void operator()(const set_grants& v) const
    {
        wire.__set_set_grants_value(to_wire(v));
    }
    void operator()(const claim_key& v) const
    {
        wire.__set_claim_key_value(to_wire(v));
    }
    void operator()(const release_claim& v) const
    {
        wire.__set_release_claim_value(to_wire(v));
    }
    void operator()(const record_outcome& v) const
    {
        wire.__set_record_outcome_value(to_wire(v));
    }
    void operator()(const order_evacuation& v) const
    {
        wire.__set_order_evacuation_value(to_wire(v));
    }
    void operator()(const withdraw_evacuation& v) const
    {
        wire.__set_withdraw_evacuation_value(to_wire(v));
    }
};

command_body body_from_wire(const gen::command_body& wire)
{
    const auto& set = wire.__isset;
    if (set.put_contract_value)
    {
        return from_wire<put_contract>(wire.put_contract_value);
    }
    if (set.delete_contract_value)
    {
        return from_wire<delete_contract>(wire.delete_contract_value);
    }
    if (set.put_service_value)
    {
        return from_wire<put_service>(wire.put_service_value);
    }
    if (set.delete_service_value)
    {
        return from_wire<delete_service>(wire.delete_service_value);
    }
    if (set.order_move_value)
    {
        return from_wire<order_move>(wire.order_move_value);
    }
    if (set.update_move_value)
    {
        return from_wire<update_move>(wire.update_move_value);
    }
    if (set.set_shares_value)
    {
        return from_wire<set_shares>(wire.set_shares_value);
    }
    if (set.cancel_move_value)
    {
        return from_wire<cancel_move>(wire.cancel_move_value);
    }
    if (set.allocate_fence_value)
    {
        return from_wire<allocate_fence>(wire.allocate_fence_value);
    }
    if (set.order_purchase_value)
    {
        return from_wire<order_purchase>(wire.order_purchase_value);
    }
    if (set.update_purchase_value)
    {
        return from_wire<update_purchase>(wire.update_purchase_value);
    }
    if (set.set_leaving_value)
    {
        return from_wire<set_leaving>(wire.set_leaving_value);
    }
    if (set.clear_leaving_value)
    {
        return from_wire<clear_leaving>(wire.clear_leaving_value);
    }
    if (set.set_grants_value)
    {
        return from_wire<set_grants>(wire.set_grants_value);
    }
    if (set.claim_key_value)
    {
        return from_wire<claim_key>(wire.claim_key_value);
    }
    if (set.release_claim_value)
    {
        return from_wire<release_claim>(wire.release_claim_value);
    }
    if (set.record_outcome_value)
    {
        return from_wire<record_outcome>(wire.record_outcome_value);
    }
    if (set.order_evacuation_value)
    {
        return from_wire<order_evacuation>(wire.order_evacuation_value);
    }
    if (set.withdraw_evacuation_value)
    {
        return from_wire<withdraw_evacuation>(wire.withdraw_evacuation_value);
    }
    throw unknown_value{};
}

struct result_to_wire
{
    gen::result_body& wire;

    void operator()(const write_result& v) const
    {
        wire.__set_write_value(to_wire(v));
    }
    void operator()(const fence_result& v) const
    {
        wire.__set_fence_value(to_wire(v));
    }
    void operator()(const purchase_result& v) const
    {
        wire.__set_purchase_value(to_wire(v));
    }
    void operator()(const claim_result& v) const
    {
        wire.__set_claim_value(to_wire(v));
    }
};

result_body result_body_from_wire(const gen::result_body& wire)
{
    if (wire.__isset.write_value)
    {
        return from_wire<write_result>(wire.write_value);
    }
    if (wire.__isset.fence_value)
    {
        return from_wire<fence_result>(wire.fence_value);
    }
    if (wire.__isset.purchase_value)
    {
        return from_wire<purchase_result>(wire.purchase_value);
    }
    if (wire.__isset.claim_value)
    {
        return from_wire<claim_result>(wire.claim_value);
    }
    throw unknown_value{};
}

} // namespace

// [results] ------------------------------------------------------------------

gen::command_result result_to_thrift(const command_result& value)
{
    gen::command_result wire;
    wire.index = static_cast<std::int64_t>(value.index);
    std::visit(result_to_wire{wire.body}, value.body);
    return wire;
}

command_result result_from_thrift(const gen::command_result& wire)
{
    return {static_cast<log_index>(wire.index),
            result_body_from_wire(wire.body)};
}

std::string encode(const command_result& value)
{
    return protocol::to_bytes(result_to_thrift(value));
}

transport::result<command_result> decode_result(std::string_view bytes)
{
    const auto wire = protocol::from_bytes<gen::command_result>(bytes);
    if (!wire)
    {
        return tl::make_unexpected(wire.error());
    }
    try
    {
        return result_from_thrift(*wire);
    }
    catch (const unknown_value&)
    {
        return fail(reason::corrupt, "A result has an unknown kind.");
    }
}

// [commands] -----------------------------------------------------------------

std::string encode(const command& value)
{
    gen::command wire;
    wire.schema_version = schema_version;
    wire.at_ms = value.at.time_since_epoch().count();
    wire.order_id = value.order_id;
    std::visit(body_to_wire{wire.body}, value.body);
    return protocol::to_bytes(wire);
}

transport::result<command> decode_command(std::string_view bytes)
{
    const auto wire = protocol::from_bytes<gen::command>(bytes);
    if (!wire)
    {
        return tl::make_unexpected(wire.error());
    }
    if (wire->schema_version > schema_version)
    {
        return fail(reason::corrupt,
                    "A command has a later schema version than this program.");
    }
    try
    {
        return command{
            transport::wall_time{std::chrono::milliseconds{wire->at_ms}},
            wire->order_id, body_from_wire(wire->body)};
    }
    catch (const unknown_value&)
    {
        return fail(reason::corrupt, "A command has an unknown kind.");
    }
}

// [replica_set] --------------------------------------------------------------

std::string encode(const replica_set& value)
{
    return protocol::to_bytes(to_wire(value));
}

transport::result<replica_set> decode_replica_set(std::string_view bytes)
{
    const auto wire = protocol::from_bytes<gen::replica_set>(bytes);
    if (!wire)
    {
        return tl::make_unexpected(wire.error());
    }
    try
    {
        return from_wire<replica_set>(*wire);
    }
    catch (const unknown_value&)
    {
        return fail(reason::corrupt, "A replica has an unknown role.");
    }
}

} // namespace hyssopdeal::state
