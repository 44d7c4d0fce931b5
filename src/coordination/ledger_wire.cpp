/// @file
/// Serialization of the messages on the ledger channel.

#include "coordination/ledger_wire.hpp"

#include "ledger_types.h"
#include "protocol/thrift_bytes.hpp"

namespace hyssopdeal::coordination
{

namespace
{

tl::unexpected<transport::failure> malformed_message()
{
    return transport::fail(transport::reason::corrupt,
                           "Malformed or unexpected ledger message.",
                           transport::verdict::may_have_run);
}

bool is_ledger_command(const state::command_body& body)
{
    return std::holds_alternative<state::claim_key>(body) ||
           std::holds_alternative<state::release_claim>(body) ||
           std::holds_alternative<state::record_outcome>(body);
}

transport::failure decode_failure(const gen::ledger_failure& wire)
{
    using transport::reason;
    using transport::verdict;
    transport::failure value;
    const bool known =
        wire.code >= 0 && wire.code <= static_cast<int>(reason::internal);
    value.code = known ? static_cast<reason>(wire.code) : reason::internal;
    value.ran = wire.verdict == static_cast<int>(verdict::not_run)
                    ? verdict::not_run
                    : verdict::may_have_run;
    value.text = wire.text;
    return value;
}

} // namespace

std::string encode_ledger_request(const state::command& value)
{
    gen::ledger_request wire;
    wire.command = state::encode(value);
    return protocol::to_bytes(wire);
}

transport::result<state::command> decode_ledger_request(std::string_view bytes)
{
    const auto wire = protocol::from_bytes<gen::ledger_request>(bytes);
    if (!wire)
    {
        return tl::make_unexpected(wire.error());
    }
    auto command = state::decode_command(wire->command);
    if (command && !is_ledger_command(command->body))
    {
        return malformed_message();
    }
    return command;
}

std::string encode_ledger_reply(const ledger_reply& value)
{
    gen::ledger_reply wire;
    wire.leader = value.leader;
    if (value.result)
    {
        wire.result = state::encode(*value.result);
    }
    else
    {
        wire.error.code = static_cast<int>(value.result.error().code);
        wire.error.verdict = static_cast<int>(value.result.error().ran);
        wire.error.text = value.result.error().text;
    }
    return protocol::to_bytes(wire);
}

transport::result<ledger_reply> decode_ledger_reply(std::string_view bytes)
{
    const auto wire = protocol::from_bytes<gen::ledger_reply>(bytes);
    if (!wire)
    {
        return malformed_message();
    }
    if (wire->result.empty())
    {
        return ledger_reply{tl::make_unexpected(decode_failure(wire->error)),
                            wire->leader};
    }
    auto result = state::decode_result(wire->result);
    if (!result)
    {
        return malformed_message();
    }
    return ledger_reply{std::move(*result), wire->leader};
}

} // namespace hyssopdeal::coordination
