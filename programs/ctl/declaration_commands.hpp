#ifndef HYSSOPDEAL_PROGRAMS_CTL_DECLARATION_COMMANDS_HPP
#define HYSSOPDEAL_PROGRAMS_CTL_DECLARATION_COMMANDS_HPP

/// @file
/// `contract` and `service`: apply, get, list, diff, delete.
///
/// Index: [run_declaration_command]

#include <string_view>

#include "ctl/session.hpp"

namespace hyssopdeal::ctl
{

// [run_declaration_command] --------------------------------------------------

/// Which declarations a command is about.
enum class declaration_kind : std::uint8_t
{
    contract,
    service
};

/// Runs a command on contracts or services.
[[nodiscard]] exit_code run_declaration_command(session& run,
                                                declaration_kind kind);

} // namespace hyssopdeal::ctl

#endif
