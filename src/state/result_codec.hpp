#ifndef HYSSOPDEAL_SRC_STATE_RESULT_CODEC_HPP
#define HYSSOPDEAL_SRC_STATE_RESULT_CODEC_HPP

/// @file
/// Command results as Thrift structs, for snapshots. Internal.

#include <hyssopdeal/state/commands.hpp>

#include "state_types.h"

namespace hyssopdeal::state
{

[[nodiscard]] gen::command_result result_to_thrift(const command_result& value);

/// @return The result; throws unknown_value.
[[nodiscard]] command_result
result_from_thrift(const gen::command_result& wire);

} // namespace hyssopdeal::state

#endif
