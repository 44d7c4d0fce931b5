#ifndef HYSSOPDEAL_COORDINATION_CAPACITY_MODEL_HPP
#define HYSSOPDEAL_COORDINATION_CAPACITY_MODEL_HPP

/// @file
/// Number of slots that a service needs to meet its target for waiting time.
///
/// Index: [service_load] [capacity]
///
/// Modelled as an M/M/c queue: random (Poisson) arrivals share one pool of
/// slots, so the probability of waiting follows the Erlang C formula.

#include <chrono>
#include <cstdint>

namespace hyssopdeal::coordination
{

// [service_load] -------------------------------------------------------------

/// Offered load of a service and its target for waiting time.
struct service_load
{
    double busy_slots = 0; ///< Mean slots in use: request rate times duration.
    double interactive_slots = 0; ///< Part of busy_slots: interactive class.
    std::chrono::milliseconds duration{1'000}; ///< Mean per request.
    std::chrono::milliseconds wait_limit{200}; ///< Longest wait for a slot.
    double target_service_level = 0.95;        ///< Fraction within wait_limit.
};

// [capacity] -----------------------------------------------------------------

/// Erlang C formula.
///
/// @return Probability that a request has to wait for a slot; 1 if the offered
///     load reaches or exceeds the number of slots.
[[nodiscard]] double waiting_probability(std::uint32_t slots,
                                         double busy_slots) noexcept;

/// @return Fraction of requests that get a slot within the wait limit.
[[nodiscard]] double service_level(const service_load& load, double busy_slots,
                                   std::uint32_t slots) noexcept;

/// @return Smallest number of slots that meets the target service level for a
///     mean number of busy slots.
[[nodiscard]] std::uint32_t slots_needed(const service_load& load,
                                         double busy_slots) noexcept;

} // namespace hyssopdeal::coordination

#endif
