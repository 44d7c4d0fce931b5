#ifndef HYSSOPDEAL_COORDINATION_CLUSTER_USAGE_COLLECTOR_HPP
#define HYSSOPDEAL_COORDINATION_CLUSTER_USAGE_COLLECTOR_HPP

/// @file
/// Adds up the usage of windows of true time from what entries report, and
/// says when a window may be decided. A decision module without I/O.
///
/// Index: [settings] [usage_collector]

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <hyssopdeal/coordination/cluster/cluster_state.hpp>
#include <hyssopdeal/protocol/follow_messages.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

struct usage_settings
{
    std::chrono::milliseconds window{5'000};
    std::chrono::milliseconds due{10'000}; ///< After the window's end.
    /// After the window's end, so that the entries' next reports have come.
    std::chrono::milliseconds settle{1'500};
    /// An entry without a report for so long is not waited for.
    std::chrono::milliseconds silent_after{2'500};
    /// After the first report to this process every entry has told its counts:
    /// above the longest pause between two reports to one replica.
    std::chrono::milliseconds all_heard_after{2'000};
};

// [usage_collector] ----------------------------------------------------------

/// Runs on every replica, so that a new leader knows what entries that have
/// ended since reported.
class usage_collector
{
public:
    explicit usage_collector(usage_settings settings);

    /// @param now_true True time, as known here.
    void on_report(transport::wall_time now_true,
                   const protocol::entry_report& report);

    /// @return The next window to decide, or nothing: the oldest that is
    ///     neither decided nor overdue and that all entries have reported, or
    ///     that cannot wait any longer.
    [[nodiscard]] std::optional<decide_usage_command>
    next_decision(transport::wall_time now_true, const cluster_state& state);

private:
    /// What one start of an entry reported.
    struct entry_usage
    {
        transport::wall_time reported{};
        std::map<std::uint64_t, std::map<std::string, std::uint64_t>> windows;
    };

    usage_settings settings_;
    std::map<std::string, entry_usage> entries_; ///< By entry and incarnation.
    transport::wall_time first_report_{};
    transport::wall_time next_sweep_{};
};

} // namespace hyssopdeal::coordination

#endif
