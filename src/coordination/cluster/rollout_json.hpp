#ifndef HYSSOPDEAL_SRC_COORDINATION_CLUSTER_ROLLOUT_JSON_HPP
#define HYSSOPDEAL_SRC_COORDINATION_CLUSTER_ROLLOUT_JSON_HPP

/// @file
/// JSON format of a rollout in the log, in snapshots and in messages between
/// replicas. Internal.
///
/// Index: [rollout_record]

#include <hyssopdeal/coordination/cluster/cluster_state.hpp>
#include <hyssopdeal/protocol/exact_json.hpp>

namespace hyssopdeal::coordination
{

// [rollout_record] -----------------------------------------------------------

// Missing members get their defaults: logs written by earlier versions lack the
// members that were added last.
HYSSOPDEAL_EXACT_JSON_WITH_DEFAULT(rollout_record, service, target, duration_ms,
                                   started_ms, state, retired)

} // namespace hyssopdeal::coordination

#endif
