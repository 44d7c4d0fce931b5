#ifndef HYSSOPDEAL_COORDINATION_CLUSTER_LOAD_TABLE_HPP
#define HYSSOPDEAL_COORDINATION_CLUSTER_LOAD_TABLE_HPP

/// @file
/// What all entries have sent to each server, from their reports. Answers many
/// entries: a report costs as much as it names servers, however many entries
/// there are. A decision module without I/O.
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

    /// @param valid_for An entry that is silent for longer sends nothing more.
    explicit load_table(std::chrono::milliseconds valid_for);

    /// An entry's report replaces its former one.
    void on_report(transport::monotonic_time now, const std::string& entry,
                   const loads& sent);

    /// @return What one entry has sent, as far as it counts in the sums.
    [[nodiscard]] const loads& of(const std::string& entry) const;

    /// @return What all entries have sent.
    [[nodiscard]] const loads& all() const noexcept
    {
        return sum_;
    }

    /// @return How many entries report.
    [[nodiscard]] std::size_t entries() const noexcept
    {
        return entries_.size();
    }

private:
    struct entry_loads
    {
        transport::monotonic_time reported{};
        loads sent;
    };

    std::chrono::milliseconds valid_for_;
    std::map<std::string, entry_loads> entries_;
    loads sum_; ///< Only servers to which something was sent.
    transport::monotonic_time next_sweep_{};
};

} // namespace hyssopdeal::coordination

#endif
