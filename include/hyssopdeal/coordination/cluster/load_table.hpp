#ifndef HYSSOPDEAL_COORDINATION_CLUSTER_LOAD_TABLE_HPP
#define HYSSOPDEAL_COORDINATION_CLUSTER_LOAD_TABLE_HPP

/// @file
/// Sums the load that all entries put on each backend server, from their
/// reports. The cost of a report grows with the number of servers in it, not
/// with the number of entries. Does no I/O.
///
/// Index: [load_table]

#include <chrono>
#include <map>
#include <string>

#include <hyssopdeal/protocol/follow_messages.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [load_table] ---------------------------------------------------------------

/// Runs on every replica.
class load_table
{
public:
    using loads = protocol::sent_loads;

    /// @param valid_for Reports older than this no longer count.
    explicit load_table(std::chrono::milliseconds valid_for);

    /// Replaces the entry's previous report.
    void on_report(transport::monotonic_time now, const std::string& entry,
                   const loads& sent);

    /// @return The part of all() that one entry reported.
    [[nodiscard]] const loads& of(const std::string& entry) const;

    /// @return The sum over all entries, by server.
    [[nodiscard]] const loads& all() const noexcept
    {
        return sum_;
    }

    /// Takes time proportional to the number of entries.
    ///
    /// @return How many entries with a current report have smaller names.
    [[nodiscard]] std::size_t position(const std::string& entry) const;

    /// @return The number of entries with a current report.
    [[nodiscard]] std::size_t entries() const noexcept
    {
        return entries_.size();
    }

private:
    struct entry_loads
    {
        transport::monotonic_time reported_at{};
        loads sent;
    };

    std::chrono::milliseconds valid_for_;
    std::map<std::string, entry_loads> entries_;
    loads sum_; ///< Only servers with any load.
    transport::monotonic_time next_sweep_{};
};

} // namespace hyssopdeal::coordination

#endif
