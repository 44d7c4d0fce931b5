#ifndef HYSSOPDEAL_SRC_COORDINATION_LEDGER_WIRE_HPP
#define HYSSOPDEAL_SRC_COORDINATION_LEDGER_WIRE_HPP

/// @file
/// Messages of the ledger channel as bytes. Internal.

#include <string>
#include <string_view>

#include <hyssopdeal/state/commands.hpp>
#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::coordination
{

/// A replica's answer to a ledger command.
struct ledger_reply
{
    transport::result<state::command_result> result;
    std::string leader; ///< Peer name; empty: unknown.
};

/// @return The command as a message.
[[nodiscard]] std::string encode_ledger_request(const state::command& value);

/// @return The command, or `corrupt`; only claims, releases and outcomes.
[[nodiscard]] transport::result<state::command>
decode_ledger_request(std::string_view bytes);

[[nodiscard]] std::string encode_ledger_reply(const ledger_reply& value);

[[nodiscard]] transport::result<ledger_reply>
decode_ledger_reply(std::string_view bytes);

} // namespace hyssopdeal::coordination

#endif
