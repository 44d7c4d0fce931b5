#ifndef HYSSOPDEAL_COORDINATION_CLUSTER_CLUSTER_VOTERS_HPP
#define HYSSOPDEAL_COORDINATION_CLUSTER_CLUSTER_VOTERS_HPP

/// @file
/// Which replicas vote: the leader's decision on the next change of the set.
/// Answers instances that come, go, lose their disks or are replaced. A
/// decision module without I/O.
///
/// Index: [settings] [next_voter_change] [founding]

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <hyssopdeal/coordination/replica.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

struct cluster_voter_settings
{
    /// Without an answer for so long, a replica counts as gone. Above an
    /// election and a restart; below the time in which a successor must have
    /// taken its place.
    std::chrono::milliseconds unreachable_after{2'500};
};

// [next_voter_change] --------------------------------------------------------

/// Decides the next change, one at a time.
///
/// The number of voters is kept odd where it can be: an even one bears no more
/// losses, and stops when the replicas are cut into halves. A voter that is
/// gone is removed only after a learner that has the whole log on its disk
/// took its place, so that the number of live copies never shrinks.
///
/// @param status Of the leader.
/// @param followers The others as the leader sees them.
/// @return The change to propose, or nothing.
[[nodiscard]] std::optional<change_event>
next_voter_change(transport::monotonic_time now, const replica_status& status,
                  const std::vector<follower_status>& followers,
                  const cluster_voter_settings& settings);

// [founding] -----------------------------------------------------------------

/// The replicas that a new cluster begins with. Every one of them must be told
/// the same addresses in the same order.
///
/// @param addresses Hub addresses.
[[nodiscard]] state::replica_set
bootstrap_replicas(const std::vector<std::string>& addresses);

/// @return The id of the replica at an address, or 0 when it is none of them.
[[nodiscard]] std::uint64_t
bootstrap_replica_id(const state::replica_set& replicas,
                     const std::string& address);

} // namespace hyssopdeal::coordination

#endif
