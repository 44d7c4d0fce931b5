#ifndef HYSSOPDEAL_COORDINATION_CAPACITY_MODEL_HPP
#define HYSSOPDEAL_COORDINATION_CAPACITY_MODEL_HPP

/// @file
/// How many slots a service needs at its latency target.
///
/// Index: [service_load] [capacity]
///
/// Requests arrive at random and share all slots, so that waiting follows the
/// Erlang C formula.

#include <chrono>
#include <cstdint>

namespace hyssopdeal::coordination
{

// [service_load] -------------------------------------------------------------

/// What a service is offered.
struct service_load
{
    double busy_slots = 0;        ///< Mean slots in use: rate times duration.
    double interactive_slots = 0; ///< Of these, interactive class.
    std::chrono::milliseconds duration{1'000}; ///< Mean of one request.
    std::chrono::milliseconds wait_limit{200}; ///< For a free slot.
    double target_service_level = 0.95; ///< Part of the requests that keep it.
};

// [capacity] -----------------------------------------------------------------

/// @return Probability that a request has to wait for a slot; 1 when the slots
///     are not enough at all.
[[nodiscard]] double waiting_probability(std::uint32_t slots,
                                         double busy_slots) noexcept;

/// @return Part of the requests that get a slot within the limit.
[[nodiscard]] double service_level(const service_load& load,
                                       double busy_slots,
                                       std::uint32_t slots) noexcept;

/// @return The least slots that keep the wait limit for a mean number of busy
///     slots.
[[nodiscard]] std::uint32_t slots_needed(const service_load& load,
                                         double busy_slots) noexcept;

} // namespace hyssopdeal::coordination

#endif
