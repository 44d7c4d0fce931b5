#ifndef HYSSOPDEAL_PROGRAMS_CTL_EVACUATION_COMMANDS_HPP
#define HYSSOPDEAL_PROGRAMS_CTL_EVACUATION_COMMANDS_HPP

/// @file
/// `evacuation`: begin, end, list.
///
/// Index: [run_evacuation_command]

#include "ctl/session.hpp"

namespace hyssopdeal::ctl
{

// [run_evacuation_command] ---------------------------------------------------

/// Runs a command on the evacuation of failure domains.
[[nodiscard]] exit_code run_evacuation_command(session& run);

} // namespace hyssopdeal::ctl

#endif
