#ifndef HYSSOPDEAL_PROGRAMS_LOAD_RUNNER_HPP
#define HYSSOPDEAL_PROGRAMS_LOAD_RUNNER_HPP

/// @file
/// Runs a scenario: arrivals that do not wait for answers, and the checks
/// afterwards.
///
/// Index: [run_targets] [run_scenario]

#include <string>
#include <vector>

#include <hyssopdeal/transport/clock.hpp>

#include "load/report.hpp"
#include "load/scenario.hpp"

namespace hyssopdeal::load
{

// [run_targets] --------------------------------------------------------------

/// Where a run goes to.
struct run_targets
{
    std::vector<std::string> entries; ///< `IP:port` for callers, taken in turn.
    std::vector<std::string> engines; ///< Stand-ins whose counters are read.
    std::vector<std::string> plain;   ///< Stand-ins that count purchases.
};

// [run_scenario] -------------------------------------------------------------

/// Runs a scenario on the calling thread; returns when all calls have ended or
/// the drain time is over.
///
/// @return Every call, those that had not ended as may_have_run.
[[nodiscard]] run_results run_scenario(const scenario& plan,
                                       const run_targets& targets,
                                       const transport::clock& clock);

} // namespace hyssopdeal::load

#endif
