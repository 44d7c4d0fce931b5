#ifndef HYSSOPDEAL_COORDINATION_STREAM_EVACUATION_HPP
#define HYSSOPDEAL_COORDINATION_STREAM_EVACUATION_HPP

/// @file
/// Plans how the streams of a backend server go on when it will be reclaimed.
///
/// Index: [evacuating_stream] [evacuation_step] [plan_evacuation]

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [evacuating_stream] --------------------------------------------------------

/// A stream on the server.
struct evacuating_stream
{
    double recompute_tokens = 0;               ///< Prompt and text so far.
    std::chrono::milliseconds kv_move_time{0}; ///< 0: cannot be moved.
    std::chrono::milliseconds remaining{0};    ///< Expected to the end.
};

// [evacuation_step] ----------------------------------------------------------

/// What is done with a stream.
enum class evacuation_way : std::uint8_t
{
    finish,  ///< It ends in time where it is.
    move_kv, ///< Started at `start`.
    prefill  ///< Goes on elsewhere from `start`.
};

/// One decision.
struct evacuation_step
{
    std::size_t stream = 0; ///< Position in the list given.
    evacuation_way way = evacuation_way::prefill;
    transport::monotonic_time start{};
};

/// Limits of the platform.
struct evacuation_settings
{
    std::uint32_t kv_lanes = 2;            ///< Moves at once from one server.
    std::chrono::milliseconds margin{300}; ///< Before the server is gone.
};

// [plan_evacuation] ----------------------------------------------------------

/// Lets short streams finish, moves KV of those that cost most to recompute as
/// long as the notice leaves time, and starts the rest elsewhere at once.
///
/// @param gone_at When the server is gone.
/// @return One step for each stream, in the order of their starts.
[[nodiscard]] std::vector<evacuation_step>
plan_evacuation(transport::monotonic_time now,
                transport::monotonic_time gone_at,
                const std::vector<evacuating_stream>& streams,
                const evacuation_settings& settings = {});

} // namespace hyssopdeal::coordination

#endif
