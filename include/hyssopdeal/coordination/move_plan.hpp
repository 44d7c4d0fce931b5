#ifndef HYSSOPDEAL_COORDINATION_MOVE_PLAN_HPP
#define HYSSOPDEAL_COORDINATION_MOVE_PLAN_HPP

/// @file
/// Steps of a version move and how long to stay at each, paced backwards from
/// the deadline.
///
/// Index: [settings] [plan_input] [move_plan]

#include <chrono>
#include <cstdint>
#include <vector>

#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

/// Bounds of a plan.
struct move_plan_settings
{
    double first_share = 0.01; ///< Never more at the first step.
    double samples = 120;      ///< Answers needed to judge a step.
    double reserve = 0.2;      ///< Part of the time kept for faults.
    std::chrono::milliseconds shadow_stay{60'000}; ///< At share zero, with
                                                   ///< copies; 0: no such step.
    std::chrono::milliseconds shortest_stay{10'000};   ///< At any step.
    std::chrono::milliseconds longest_stay{1'800'000}; ///< At any step.
    std::chrono::milliseconds sample_wait{600'000};    ///< Longest to plan for
                                                       ///< samples at a step.
};

// [plan_input] ---------------------------------------------------------------

/// What a plan depends on.
struct plan_input
{
    transport::wall_time now{};            ///< Begin of step `from_step`.
    transport::wall_time ordered_at{};     ///< Begin of the whole move.
    transport::wall_time complete_by{};    ///< All traffic moved by then.
    double canary_share = 0.01;            ///< Largest share not yet judged.
    std::chrono::milliseconds load_time{}; ///< Until the steps can begin.
    double requests_per_second = 0;        ///< Of the service; 0: unknown.
    std::uint32_t from_step = 0;           ///< First step that remains.
};

// [move_plan] ----------------------------------------------------------------

/// One step of share.
struct move_step
{
    double share = 0;                 ///< Of the new version.
    std::chrono::milliseconds stay{}; ///< Shortest time at it; the last: 0.
};

/// All steps, also those that are past.
struct move_plan
{
    std::vector<move_step> steps;       ///< The last one has share 1.
    transport::wall_time expected_at{}; ///< When share 1 is reached.
};

/// Makes the plan. Time that the deadline leaves over goes to the stays, most
/// to the smallest shares, where a late fault harms least. Stays are never
/// shortened to meet a deadline: `expected_at` is then after `complete_by`.
[[nodiscard]] move_plan make_plan(const move_plan_settings& settings,
                                  const plan_input& input);

} // namespace hyssopdeal::coordination

#endif
