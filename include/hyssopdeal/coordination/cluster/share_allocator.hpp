#ifndef HYSSOPDEAL_COORDINATION_CLUSTER_SHARE_ALLOCATOR_HPP
#define HYSSOPDEAL_COORDINATION_CLUSTER_SHARE_ALLOCATOR_HPP

/// @file
/// Splits each organisation's quota among the entries in shares that expire,
/// by what callers ask of each entry. Answers load that is spread unevenly over
/// entries and moves among them. A decision module without I/O.
///
/// Index: [settings] [share_allocator]
///
/// Invariant: the shares of one organisation that entries may still use never
/// add up to more than `allocated_fraction`. A share counts until it has expired on its entry, or
/// until the same instance reports from a later start.

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
    std::chrono::milliseconds valid_for{3'750}; ///< From the report's sending.
    double even_part = 0.3;   ///< Split evenly; keeps the first requests quick.
    double allocated_fraction = 0.35; ///< Of the quota; the leader lends the rest.
};

// [share_allocator] ----------------------------------------------------------

/// Runs on the leader, made anew for each leadership.
class share_allocator
{
public:
    /// @param now Start of the leadership. Until shares of an earlier leader
    ///     have expired, or all that may hold one have reported, entries keep
    ///     what they hold and nobody gets more.
    share_allocator(transport::monotonic_time now, share_settings settings);

    /// Names the entries that may hold shares. An entry gets none before it is
    /// named here, from the replicated state.
    void set_eligible_entries(const std::set<std::string>& entries);

    /// @return The entries to be known from now on, if they differ from those
    ///     that are: what reports is added, what was silent for long left out.
    [[nodiscard]] std::optional<std::set<std::string>>
    next_eligible_entries(transport::monotonic_time now) const;

    /// @return Shares that replace all that the entry holds, valid from when it
    ///     sent its report.
    [[nodiscard]] std::map<std::string, double>
    on_report(transport::monotonic_time now,
              const protocol::entry_report& report,
              const std::vector<std::string>& organisations);

private:
    /// What was granted in one answer.
    struct grant
    {
        std::map<std::string, double> shares;
        transport::monotonic_time until{};
    };

    /// What is known of an entry.
    struct entry_state
    {
        std::uint64_t incarnation = 0;
        transport::monotonic_time reported{};
        std::map<std::string, double> demand;
        std::deque<grant> grants; ///< Unexpired, the oldest first.
        /// End of the first grant that the latest one covers.
        transport::monotonic_time last_first{};
        /// Most that it may still use, by organisation.
        std::map<std::string, double> outstanding;
    };

    using amounts = std::map<std::string, double>;

    [[nodiscard]] double target(const entry_state& entry,
                                const std::string& organisation) const;
    static void add(amounts& to, const amounts& values, double factor);
    [[nodiscard]] static double value_of(const amounts& from,
                                         const std::string& organisation);
    void count_outstanding(transport::monotonic_time now, entry_state& entry);
    static void add_grant(entry_state& entry, const grant& made);
    void forget_expired(transport::monotonic_time now);
    [[nodiscard]] bool others_unknown(transport::monotonic_time now) const;

    share_settings settings_;
    transport::monotonic_time since_;
    std::set<std::string> known_;
    std::map<std::string, entry_state> entries_;
    // Sums over all entries: an answer must not cost more with each entry.
    amounts outstanding_;
    amounts demand_;
    transport::monotonic_time next_sweep_{};
};

} // namespace hyssopdeal::coordination

#endif
