#ifndef HYSSOPDEAL_PROGRAMS_CTL_MOVE_COMMANDS_HPP
#define HYSSOPDEAL_PROGRAMS_CTL_MOVE_COMMANDS_HPP

/// @file
/// `move`: start, status, cancel.
///
/// Index: [parse_time] [run_move_command]

#include <string_view>

#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/failure.hpp>

#include "ctl/session.hpp"

namespace hyssopdeal::ctl
{

// [parse_time] ---------------------------------------------------------------

/// Reads `2026-05-01T18:00:00Z` or `+SECONDS` from now.
///
/// @param now What `+` counts from.
[[nodiscard]] transport::result<transport::wall_time>
parse_time(std::string_view text, transport::wall_time now);

// [run_move_command] ---------------------------------------------------------

/// Runs a command on version moves.
[[nodiscard]] exit_code run_move_command(session& run);

} // namespace hyssopdeal::ctl

#endif
