#ifndef HYSSOPDEAL_COORDINATION_EVACUATION_EVACUATED_DOMAINS_HPP
#define HYSSOPDEAL_COORDINATION_EVACUATION_EVACUATED_DOMAINS_HPP

/// @file
/// Failure domains that an operator has ordered to be evacuated: their servers
/// get no new requests until the order is withdrawn. Handles replicas that lag
/// behind, which would otherwise revert an order, and entries that do not apply
/// one. Performs no I/O.
///
/// Index: [evacuated_domains] [evacuation_progress]
///
/// The orders are in the replicated log (`cluster_state`, `control_state`), which
/// numbers each change. Every replica sends the set and its number to entries,
/// and an entry reports the number that it applies.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

/// Names of failure domains.
using domain_names = std::set<std::string>;

// [evacuated_domains] --------------------------------------------------------

/// The evacuated domains as known to one process.
class evacuated_domains
{
public:
    /// The begin or the end of an evacuation.
    struct change
    {
        std::string domain;
        bool evacuated = false;
    };

    /// What applying a set did.
    struct changes
    {
        std::vector<change> seen;
        /// Evacuations have begun and ended that no set showed, for example
        /// before this process started or while it was partitioned. Only where
        /// each begin and each end raises the revision by one.
        bool missed = false;
    };

    /// Replaces the set if its revision is higher than the one held; any
    /// replica may have sent it.
    changes apply(transport::monotonic_time now, std::uint64_t revision,
                  const domain_names& domains);

    /// @return Whether the servers of a domain get no new requests.
    [[nodiscard]] bool contains(const std::string& domain) const
    {
        return !domains_.empty() && domains_.contains(domain);
    }

    /// @return When this process learned that the latest evacuation of a domain
    ///     has ended; nothing if it is evacuated, or never was since the
    ///     process started.
    [[nodiscard]] std::optional<transport::monotonic_time>
    ended_at(const std::string& domain) const;

    [[nodiscard]] const domain_names& domains() const noexcept
    {
        return domains_;
    }

    /// @return The revision in force here; 0 before the first order.
    [[nodiscard]] std::uint64_t revision() const noexcept
    {
        return revision_;
    }

private:
    std::uint64_t revision_ = 0;
    domain_names domains_;
    std::map<std::string, transport::monotonic_time> ended_;
};

// [evacuation_progress] ------------------------------------------------------

/// Tracks on every replica which entries apply the latest orders.
class evacuation_progress
{
public:
    /// An entry that reports more rarely is not connected.
    static constexpr std::chrono::milliseconds report_lifetime{2'500};
    /// Twice the longest interval of reports. Also the interval at which
    /// entries that are behind are named again.
    static constexpr std::chrono::milliseconds behind_limit{2'000};

    /// Records the revision that an entry reports to apply.
    void on_report(transport::monotonic_time now, const std::string& entry,
                   std::uint64_t revision);

    /// @param revision Of the replicated state.
    /// @return Connected entries that have been behind for longer than
    ///     `behind_limit`. Empty between two times at which they are named.
    [[nodiscard]] std::vector<std::string>
    take_behind(transport::monotonic_time now, std::uint64_t revision);

private:
    struct entry_state
    {
        transport::monotonic_time reported_at{};
        std::uint64_t revision = 0;
    };

    std::map<std::string, entry_state> entries_;
    std::uint64_t revision_ = 0;
    transport::monotonic_time next_check_{};
};

} // namespace hyssopdeal::coordination

#endif
