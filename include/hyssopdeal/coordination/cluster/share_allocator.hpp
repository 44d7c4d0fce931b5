#ifndef HYSSOPDEAL_COORDINATION_CLUSTER_SHARE_ALLOCATOR_HPP
#define HYSSOPDEAL_COORDINATION_CLUSTER_SHARE_ALLOCATOR_HPP

/// @file
/// Splits each organisation's quota among the entries in shares that expire,
/// in proportion to the demand at each entry. Follows load that is spread
/// unevenly over the entries and moves among them. Does no I/O.
///
/// Index: [settings] [share_allocator]
///
/// Invariant: the unexpired shares of one organisation never add up to more
/// than `allocated_fraction`. A share counts until it has expired on its entry,
/// or until a later process of the same instance reports.

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <hyssopdeal/protocol/follow_messages.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

struct share_settings
{
    /// Counted from when the entry sent its report.
    std::chrono::milliseconds valid_for{3'750};
    /// Part of what is allocated that is split evenly, so that an entry without
    /// demand has a share for its first requests.
    double even_fraction = 0.3;
    /// Part of the quota that is split into shares; the leader lends the rest.
    double allocated_fraction = 0.35;
};

// [share_allocator] ----------------------------------------------------------

/// Runs on the leader; constructed anew for each leadership.
class share_allocator
{
public:
    /// @param now Start of the leadership. Until the shares of an earlier
    ///     leader have expired, or all eligible entries have reported, entries
    ///     keep the shares they hold and no share grows.
    share_allocator(transport::monotonic_time now, share_settings settings);

    /// Sets the entries that may hold shares, as in the replicated state. Other
    /// entries get none.
    void set_eligible_entries(const std::set<std::string>& entries);

    /// @return The new set of eligible entries, if it differs from the current
    ///     one: entries that report are added, those without a recent report
    ///     and without shares are removed.
    [[nodiscard]] std::optional<std::set<std::string>>
    next_eligible_entries(transport::monotonic_time now) const;

    /// @return Shares by organisation, which replace all that the entry holds.
    ///     They are valid for `valid_for` from when it sent the report.
    [[nodiscard]] std::map<std::string, double>
    on_report(transport::monotonic_time now,
              const protocol::entry_report& report,
              const std::vector<std::string>& organisations);

private:
    /// Shares granted in one answer, or merged from several close in time.
    struct grant
    {
        std::map<std::string, double> shares;
        transport::monotonic_time expires_at{};
    };

    /// An entry's latest report and its unexpired grants.
    struct entry_state
    {
        std::uint64_t incarnation = 0;
        transport::monotonic_time reported_at{};
        std::map<std::string, double> demand;
        std::deque<grant> grants; ///< Unexpired, oldest first.
        /// Expiry of the first grant that was merged into the latest one.
        transport::monotonic_time first_expiry{};
        /// Largest share that it may still use, by organisation.
        std::map<std::string, double> outstanding;
    };

    using amounts = std::map<std::string, double>;

    [[nodiscard]] double target_share(const entry_state& entry,
                                      const std::string& organisation) const;
    static void add_scaled(amounts& to, const amounts& values, double factor);
    [[nodiscard]] static double value_or_zero(const amounts& from,
                                              const std::string& organisation);
    void update_outstanding(transport::monotonic_time now, entry_state& entry);
    static void record_grant(entry_state& entry, const grant& granted);
    void sweep_expired(transport::monotonic_time now);
    [[nodiscard]] bool waits_for_reports(transport::monotonic_time now) const;

    share_settings settings_;
    transport::monotonic_time leader_since_;
    std::set<std::string> eligible_;
    std::map<std::string, entry_state> entries_;
    // Sums over all entries, so that the cost of an answer does not grow with
    // their number.
    amounts outstanding_;
    amounts demand_;
    transport::monotonic_time next_sweep_{};
};

} // namespace hyssopdeal::coordination

#endif
