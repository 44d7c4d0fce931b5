#ifndef HYSSOPDEAL_COORDINATION_CLUSTER_REPORT_PACING_HPP
#define HYSSOPDEAL_COORDINATION_CLUSTER_REPORT_PACING_HPP

/// @file
/// Chooses how often entries report to a replica. Handles load in which the
/// reports of hundreds of entries take more processor time than the replica
/// has, so that requests for tokens wait behind them and time out. What a
/// report costs depends on the machine and on how many organisations and
/// servers there are, so the interval follows how far the replica falls behind
/// its own timers. Does no I/O.
///
/// Index: [settings] [report_pacing]

#include <chrono>
#include <cstddef>
#include <cstdint>

#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

struct report_pacing_settings
{
    double max_reports_per_s = 600; ///< As long as the replica keeps up.
    std::chrono::milliseconds min_leader{100};
    /// Followers need reports only to keep their sums of loads up to date and
    /// to send lists.
    std::chrono::milliseconds min_follower{1'000};
    std::chrono::milliseconds max{1'250}; ///< A third of keys' validity.
    /// A timer that runs later than this shows that the replica falls behind.
    /// Far below the time limit of a request for tokens.
    std::chrono::milliseconds late{20};
    std::chrono::milliseconds in_time{8}; ///< It keeps up.
    double slower = 1.25; ///< Factor of the interval after a late timer.
    std::chrono::milliseconds slower_interval{200};
    double faster = 0.97; ///< Factor of the interval while in time.
    std::chrono::milliseconds faster_interval{1'000};
};

/// Which reports a replica needs.
enum class report_use : std::uint8_t
{
    lead, ///< Grants are made in the answers.
    follow
};

// [report_pacing] ------------------------------------------------------------

class report_pacing
{
public:
    explicit report_pacing(report_pacing_settings settings);

    /// Records how late a timer of the replica ran.
    void on_timer(transport::monotonic_time now,
                  std::chrono::milliseconds delay);

    /// @param entries Number of entries that report.
    /// @return Mean time from one report of an entry to its next.
    [[nodiscard]] std::chrono::milliseconds interval(std::size_t entries,
                                                     report_use use) const;

    /// Spreads the reports of entries that started at the same moment.
    ///
    /// @return Time until the next report of the entry that reports now.
    [[nodiscard]] std::chrono::milliseconds
    next_report(transport::monotonic_time now, std::size_t entries,
                report_use use);

private:
    report_pacing_settings settings_;
    double factor_ = 1; ///< Of the interval by the number of entries.
    std::chrono::milliseconds worst_delay_{0}; ///< Since the adjustment.
    transport::monotonic_time adjusted_at_{};
    transport::monotonic_time last_slot_{}; ///< Of the latest entry's report.
};

} // namespace hyssopdeal::coordination

#endif
