#ifndef HYSSOPDEAL_PROGRAMS_LOAD_LOAD_COMMANDS_HPP
#define HYSSOPDEAL_PROGRAMS_LOAD_LOAD_COMMANDS_HPP

/// @file
/// What hyssop-load does for each of its commands.
///
/// Index: [run_load]

#include <hyssopdeal/transport/clock.hpp>

#include "load/options.hpp"

namespace hyssopdeal::load
{

// [run_load] -----------------------------------------------------------------

/// Does what the options say; prints to standard output and error.
[[nodiscard]] load_exit run_load(const load_options& options,
                                 const transport::clock& clock);

} // namespace hyssopdeal::load

#endif
