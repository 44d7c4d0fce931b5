#ifndef HYSSOPDEAL_COORDINATION_CLUSTER_CLUSTER_VOTERS_HPP
#define HYSSOPDEAL_COORDINATION_CLUSTER_CLUSTER_VOTERS_HPP

/// @file
/// Membership changes of the replica set, as decided by the leader: replicas
/// that join, become unreachable, lose their disks or are replaced. Pure
/// decision logic without I/O.
///
/// Index: [settings] [next_voter_change] [bootstrap]

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
    /// A replica that has not answered for this long counts as unreachable.
    /// Longer than an election and a restart take, shorter than the time within
    /// which a replacement must have taken over its vote.
    std::chrono::milliseconds unreachable_after{2'500};
};

// [next_voter_change] --------------------------------------------------------

/// Decides the next membership change; only one is in progress at a time.
///
/// The number of voters is kept odd where possible. An even number tolerates no
/// more failures than the next lower odd one, and loses its quorum when a
/// network partition splits the voters in half. From an odd number of voters,
/// an unreachable one is removed only after a learner with the complete log on
/// its disk was promoted, so that the number of live copies never decreases.
///
/// @param status The leader's own status.
/// @param followers The leader's view of the other replicas.
/// @return The change to propose, or nothing.
[[nodiscard]] std::optional<change_event>
next_voter_change(transport::monotonic_time now, const replica_status& status,
                  const std::vector<follower_status>& followers,
                  const cluster_voter_settings& settings);

// [bootstrap] ----------------------------------------------------------------

/// Builds the initial replica set of a new cluster. Every initial replica must
/// pass the same addresses in the same order.
///
/// @param addresses Hub addresses.
[[nodiscard]] state::replica_set
bootstrap_replicas(const std::vector<std::string>& addresses);

/// @return The id of the replica with a hub address, or 0 if there is none.
[[nodiscard]] std::uint64_t
bootstrap_replica_id(const state::replica_set& replicas,
                     const std::string& address);

} // namespace hyssopdeal::coordination

#endif
