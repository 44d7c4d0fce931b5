#ifndef HYSSOPDEAL_PROGRAMS_CTL_COMMANDS_HPP
#define HYSSOPDEAL_PROGRAMS_CTL_COMMANDS_HPP

/// @file
/// The commands of hyssopctl.
///
/// Index: [command_output] [run_command]

#include <string>

#include <hyssopdeal/transport/clock.hpp>

#include "ctl/exit_code.hpp"
#include "ctl/options.hpp"

namespace hyssopdeal::ctl
{

// [command_output] -----------------------------------------------------------

/// What a command prints.
struct command_output
{
    std::string text;   ///< For standard output.
    std::string errors; ///< For standard error.
};

// [run_command] --------------------------------------------------------------

/// Runs the command that the options name.
///
/// @param output Gets everything that it prints.
[[nodiscard]] exit_code run_command(const ctl_options& options,
                                    const transport::clock& clock,
                                    command_output& output);

} // namespace hyssopdeal::ctl

#endif
