#ifndef HYSSOPDEAL_COORDINATION_ADMISSION_SHORTAGE_CONTROLLER_HPP
#define HYSSOPDEAL_COORDINATION_ADMISSION_SHORTAGE_CONTROLLER_HPP

/// @file
/// Chooses, on the leader, which share of each rank's requests entries refuse
/// while a service lacks room. Does no I/O.
///
/// Index: [settings] [shortage_controller]
///
/// While requests of a rank are refused for lack of room, the share of the least
/// urgent rank below it rises. A rank that is nearly never served, because its
/// latency target is the shortest, also raises the share of the rank that is
/// served most: no rank is given up for another. Shares fall, more slowly, when
/// neither holds.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include <hyssopdeal/protocol/follow_messages.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

struct shortage_settings
{
    std::chrono::milliseconds window{250}; ///< Between adjustments.
    /// A service with requests of fewer than two ranks in this time is not
    /// controlled.
    std::chrono::milliseconds rank_lifetime{10'000};
    /// A new leader takes shares over from entries for this long.
    std::chrono::milliseconds takeover{2'000};
    /// Refused part of a rank's requests. Callers of an urgent rank expect that
    /// a request is served; below this, one retry reaches 99.96%.
    double late = 0.02;
    double in_time = 0.01; ///< Below it, shares fall.
    /// A rank is to be served more than a quarter as often as all are. Twice
    /// that leaves room for the delay of control.
    double min_served = 0.5;
    double released = 0.6; ///< Above it, shares fall.
    double max_share = 0.6;
    double raise = 0.05;          ///< In each window.
    double lower = 0.03;          ///< In each window.
    double kept_per_window = 0.7; ///< Of the counts: a memory of 0.7 s.
    /// Fewer requests in that memory count as so many, as one late request of
    /// few says nothing.
    double min_requests = 20;
};

// [shortage_controller] ------------------------------------------------------

/// Runs on the leader; constructed anew for each leadership.
class shortage_controller
{
public:
    /// @param now Start of the leadership.
    explicit shortage_controller(transport::monotonic_time now,
                                 shortage_settings settings = {});

    /// Adds what an entry counted, and adjusts the shares when a window ends.
    void on_report(transport::monotonic_time now,
                   const protocol::service_pressures& pressure);

    /// @return Shares greater than 0.
    [[nodiscard]] const protocol::service_turns& turns() const noexcept
    {
        return turns_;
    }

private:
    struct rank_state
    {
        double asked = 0; ///< Decaying sums.
        double late = 0;
        double share = 0;
        transport::monotonic_time asked_at{};
    };

    using rank_states = std::map<std::uint32_t, rank_state>;

    [[nodiscard]] double late_part(const rank_state& rank) const;
    [[nodiscard]] double served_part(const rank_state& rank) const;
    [[nodiscard]] double average_served(const rank_states& ranks) const;
    [[nodiscard]] double lowest_served(const rank_states& ranks) const;
    [[nodiscard]] rank_state* rank_to_raise(rank_states& ranks) const;
    void adjust(rank_states& ranks) const;
    void log_change(transport::monotonic_time now, const std::string& service);
    void end_window(transport::monotonic_time now);

    shortage_settings settings_;
    transport::monotonic_time leader_since_;
    transport::monotonic_time window_ends_at_;
    std::map<std::string, rank_states> services_;
    protocol::service_turns turns_;
    transport::monotonic_time logged_at_{};
};

} // namespace hyssopdeal::coordination

#endif
