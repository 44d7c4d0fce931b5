#ifndef HYSSOPDEAL_SRC_COORDINATION_LEDGER_WIRE_HPP
#define HYSSOPDEAL_SRC_COORDINATION_LEDGER_WIRE_HPP

/// @file
/// Internal: serialization of the messages on the ledger channel.

#include <string>
#include <string_view>

#include <hyssopdeal/state/commands.hpp>
#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::coordination
{

/// A control replica's reply to a ledger command.
struct ledger_reply
{
    transport::result<state::command_result> result;
    std::string leader; ///< Peer name of the leader; empty if unknown.
};

[[nodiscard]] std::string encode_ledger_request(const state::command& value);

/// @return The command; `corrupt` if the bytes are malformed or the command is
/// not a claim_key, release_claim or record_outcome.
[[nodiscard]] transport::result<state::command>
decode_ledger_request(std::string_view bytes);

[[nodiscard]] std::string encode_ledger_reply(const ledger_reply& value);

[[nodiscard]] transport::result<ledger_reply>
decode_ledger_reply(std::string_view bytes);

} // namespace hyssopdeal::coordination

#endif
