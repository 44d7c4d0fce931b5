#ifndef HYSSOPDEAL_COORDINATION_CONCURRENCY_LIMIT_HPP
#define HYSSOPDEAL_COORDINATION_CONCURRENCY_LIMIT_HPP

/// @file
/// How many requests at once this node sends to one backend server, adapted to
/// the times to first token that it sees.
///
/// Index: [settings] [concurrency_limit]

#include <chrono>
#include <cstdint>

#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

/// Bounds and speed of the adaptation.
struct concurrency_settings
{
    std::uint32_t lowest = 1;             ///< Never fewer.
    std::uint32_t highest = 512;          ///< Never more.
    std::uint32_t initial = 16;           ///< Before any answer.
    double tolerance = 2;                 ///< Slowdown accepted as no queueing.
    std::chrono::milliseconds slack{100}; ///< Accepted besides.
    double decrease = 0.8;                ///< Factor at congestion.
    std::chrono::milliseconds decrease_interval{500}; ///< Between decreases.
};

/// How a request ended, as the limit sees it.
enum class concurrency_sample : std::uint8_t
{
    answered,  ///< A first token came.
    overloaded ///< Refused before running, or no first token in time.
};

// [concurrency_limit] --------------------------------------------------------

/// Additive increase while the limit is used and first tokens come as
/// predicted; multiplicative decrease at congestion, once an interval.
class concurrency_limit
{
public:
    explicit concurrency_limit(concurrency_settings settings = {});

    /// @return Whether one more request may be sent.
    [[nodiscard]] bool has_room() const noexcept;

    /// Counts a request that was sent.
    void on_sent() noexcept;

    /// Learns from a first token or a refusal.
    ///
    /// @param observed From sending to the first token.
    /// @param unloaded The same as predicted without any queue.
    void on_sample(transport::monotonic_time now, concurrency_sample sample,
                   std::chrono::microseconds observed,
                   std::chrono::microseconds unloaded) noexcept;

    /// Counts a request that ended, whichever way.
    void on_ended() noexcept;

    /// @return Requests allowed at once.
    [[nodiscard]] std::uint32_t limit() const noexcept;

    /// @return Requests open now.
    [[nodiscard]] std::uint32_t open() const noexcept;

private:
    concurrency_settings settings_;
    double limit_;
    std::uint32_t open_ = 0;
    transport::monotonic_time last_decrease_{};
};

} // namespace hyssopdeal::coordination

#endif
