#ifndef HYSSOPDEAL_COORDINATION_CONCURRENCY_LIMIT_HPP
#define HYSSOPDEAL_COORDINATION_CONCURRENCY_LIMIT_HPP

/// @file
/// Adaptive limit on the requests that a node has in flight to one backend
/// server, driven by the observed time to first token.
///
/// Index: [settings] [concurrency_limit]

#include <chrono>
#include <cstdint>

#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

/// Range and rate of the adaptation.
struct concurrency_settings
{
    std::uint32_t lowest = 1;    ///< Lower bound of the limit.
    std::uint32_t highest = 512; ///< Upper bound of the limit.
    std::uint32_t initial = 16;  ///< Limit before the first sample.
    /// A first token counts as delayed by congestion if it takes longer than
    /// the unloaded time multiplied by this factor, plus latency_slack.
    double latency_tolerance = 2;
    std::chrono::milliseconds latency_slack{100};
    double decrease_factor = 0.8; ///< Applied to the limit on congestion.
    /// Minimum time between two decreases.
    std::chrono::milliseconds decrease_interval{500};
};

/// What a sample reports about a request.
enum class concurrency_sample : std::uint8_t
{
    answered,  ///< The first token arrived.
    overloaded ///< Refused before running, or no first token in time.
};

// [concurrency_limit] --------------------------------------------------------

/// Additive-increase, multiplicative-decrease limit. Increases while at least
/// half of the limit is in use and first tokens arrive without congestion;
/// decreases on congestion, at most once per interval.
class concurrency_limit
{
public:
    explicit concurrency_limit(concurrency_settings settings = {});

    /// @return Whether one more request may be sent.
    [[nodiscard]] bool has_room() const noexcept;

    /// Counts a request as in flight.
    void on_sent() noexcept;

    /// Adapts the limit to a first token or a refusal.
    ///
    /// @param observed Time from sending to the first token.
    /// @param unloaded The same time as predicted for a server without queue.
    void on_sample(transport::monotonic_time now, concurrency_sample sample,
                   std::chrono::microseconds observed,
                   std::chrono::microseconds unloaded) noexcept;

    /// Counts a request as no longer in flight, whether or not it succeeded.
    void on_ended() noexcept;

    /// @return Maximum number of requests in flight.
    [[nodiscard]] std::uint32_t limit() const noexcept;

    /// @return Number of requests in flight.
    [[nodiscard]] std::uint32_t in_flight() const noexcept;

private:
    concurrency_settings settings_;
    double limit_;
    std::uint32_t in_flight_ = 0;
    transport::monotonic_time last_decrease_{};
};

} // namespace hyssopdeal::coordination

#endif
