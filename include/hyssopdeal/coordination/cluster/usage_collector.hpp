#ifndef HYSSOPDEAL_COORDINATION_CLUSTER_USAGE_COLLECTOR_HPP
#define HYSSOPDEAL_COORDINATION_CLUSTER_USAGE_COLLECTOR_HPP

/// @file
/// Sums the usage that entries report for each window of true time, and decides
/// when the counts of a window are final. Does no I/O.
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
    std::chrono::milliseconds window{5'000}; ///< Length of a window.
    std::chrono::milliseconds due{10'000};   ///< After the window's end.
    /// After the window's end; gives entries the time to report on it.
    std::chrono::milliseconds report_grace{1'500};
    /// A window does not wait for an entry that has not reported for so long.
    std::chrono::milliseconds entry_timeout{2'500};
    /// After its first report, the time in which this process hears from every
    /// entry; above the longest interval between an entry's reports to one
    /// replica.
    std::chrono::milliseconds startup_wait{2'000};
};

// [usage_collector] ----------------------------------------------------------

/// Runs on every replica, so that a new leader also has the counts of entries
/// that have ended.
class usage_collector
{
public:
    explicit usage_collector(usage_settings settings);

    /// @param true_now True time, as this replica knows it.
    void on_report(transport::wall_time true_now,
                   const protocol::entry_report& report);

    /// @return The counts of the oldest window that is neither decided nor
    ///     overdue, if all entries have reported it or its due time is near;
    ///     else nothing.
    [[nodiscard]] std::optional<decide_usage_command>
    next_decision(transport::wall_time true_now, const cluster_state& state);

private:
    /// Reports of one process of an entry.
    struct entry_usage
    {
        transport::wall_time reported_at{};
        std::map<std::uint64_t, std::map<std::string, std::uint64_t>> windows;
    };

    usage_settings settings_;
    std::map<std::string, entry_usage> entries_; ///< By entry and incarnation.
    transport::wall_time first_report_{};
    transport::wall_time next_sweep_{};
};

} // namespace hyssopdeal::coordination

#endif
