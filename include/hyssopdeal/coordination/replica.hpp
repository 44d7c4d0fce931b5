#ifndef HYSSOPDEAL_COORDINATION_REPLICA_HPP
#define HYSSOPDEAL_COORDINATION_REPLICA_HPP

/// @file
/// The consensus core: one replica of the log as a decision module without
/// I/O. It takes events with the time and returns actions.
///
/// Index: [settings] [events] [actions] [replica] [bootstrap]
///
/// Elections with pre-vote, a leader that steps down when it loses a majority,
/// a lease for reads, pipelined appends, one batch on the disk at a time, and
/// changes of the replica set one at a time, learner first.

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <hyssopdeal/coordination/control_node.hpp>
#include <hyssopdeal/coordination/reconcile.hpp>
#include <hyssopdeal/coordination/replica_messages.hpp>
#include <hyssopdeal/state/log_record.hpp>
#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

/// Times and sizes of the log; equal on all replicas.
struct replica_settings
{
    std::chrono::milliseconds heartbeat{100};        ///< Between heartbeats.
    std::chrono::milliseconds election_timeout{600}; ///< At least; at most 2x.
    std::chrono::milliseconds lease{450};    ///< Below election_timeout by more
                                             ///< than the clocks' rate error.
    std::size_t max_batch_bytes = 1'048'576; ///< Records in one append.
    std::size_t max_batches_in_flight = 16;  ///< To one follower.
    std::size_t max_bytes_in_flight = 4'194'304; ///< Or one batch.
    std::size_t snapshot_chunk_bytes = 262'144;
    /// Records behind a snapshot that are kept for followers, in memory and on
    /// the disk: the newest that are within both limits.
    std::size_t kept_records = 1'000;
    std::size_t kept_bytes = 16'777'216; ///< Payload.
    /// Records that wait for this disk or for a majority; beyond either limit
    /// proposals are refused.
    std::size_t max_unpersisted = 100'000;
    std::size_t max_unpersisted_bytes = 8'388'608; ///< Payload.
    /// Between two writes to a full disk.
    std::chrono::milliseconds disk_retry_interval{150};
};

// [events] -------------------------------------------------------------------

/// Time has passed.
struct tick_event
{};

/// A message has come.
struct message_event
{
    replica_message message;
};

/// A command to be written.
struct propose_event
{
    std::uint64_t id = 0; ///< Chosen by the caller, for the answer.
    std::string payload;  ///< Encoded command.
};

/// How the replica set is to change.
enum class replica_change : std::uint8_t
{
    add_learner,
    promote, ///< Only once it is caught up on its disk.
    remove   ///< Not the leader; transfer first.
};

/// A change of the replica set.
struct change_event
{
    std::uint64_t id = 0; ///< Chosen by the caller, for the answer.
    replica_change change = replica_change::add_learner;
    state::replica_member member; ///< Only its id counts but to add.
};

/// The batch of the last persist action is synced.
struct persisted_event
{
    std::uint64_t number = 0;
};

/// The batch of the last persist action found no room and may be half written.
struct disk_full_event
{
    std::uint64_t number = 0;
};

/// The disk has failed: the replica goes silent.
struct disk_failed_event
{};

/// The leader is to hand over to the best voter.
struct transfer_event
{};

/// A voter's process has ended and has lost its disk: its successor said so
/// from the same address.
struct voter_lost_event
{
    std::uint64_t id = 0;
};

/// The state machine was saved at an applied index.
struct compact_event
{
    state::snapshot snap;
};

using replica_event =
    std::variant<tick_event, message_event, propose_event, change_event,
                 persisted_event, disk_full_event, disk_failed_event,
                 transfer_event, voter_lost_event, compact_event>;

// [actions] ------------------------------------------------------------------

/// Where a proposal went.
struct proposal_answer
{
    std::uint64_t id = 0;
    transport::result<state::log_index> index; ///< Or why it was not written.
    state::term_number term = 0;
};

/// Whether leads() or the leader's name may have changed.
enum class leadership_change : std::uint8_t
{
    none,
    changed
};

/// What to do, in any order but: restore before applies.
struct replica_actions
{
    /// Then persisted_event or disk_full_event.
    std::optional<state::persist_request> persist;
    std::vector<replica_message> sends;
    std::optional<state::snapshot> restore; ///< Replaces the state machine.
    std::vector<state::log_record> applies; ///< Committed and on this disk.
    std::vector<proposal_answer> answers;
    leadership_change change = leadership_change::none;
};

/// What a replica shows of itself.
struct replica_status
{
    std::uint64_t id = 0;
    leadership leads;
    std::uint64_t leader_id = 0; ///< 0: unknown.
    state::log_index last = 0;
    state::log_index durable = 0;
    state::log_index commit = 0;
    state::log_index applied = 0;
    state::log_index base = 0;           ///< Records up to it are gone.
    state::replica_set replicas;         ///< In effect, perhaps not committed.
    state::log_index replicas_index = 0; ///< Of the record that set them.
    bool disk_full = false;              ///< Writes wait for room.
    bool halted = false;                 ///< The disk has failed.
};

/// Leader's view of another replica.
struct follower_status
{
    std::uint64_t id = 0;
    state::log_index match = 0;          ///< On its disk.
    transport::monotonic_time contact{}; ///< Of its latest answer.
};

// [replica] ------------------------------------------------------------------

/// One replica; used by one thread.
template <reconcile_strategy Strategy>
class basic_replica
{
public:
    /// @param recovered What the disk holds; its id must not be 0.
    /// @param seed For the spread of election timeouts.
    basic_replica(replica_settings settings, state::recovered_state recovered,
                  std::uint64_t seed, transport::monotonic_time now);
    basic_replica(basic_replica&&) noexcept;
    basic_replica& operator=(basic_replica&&) noexcept;
    ~basic_replica();

    /// Takes an event.
    ///
    /// @param wall This replica's wall clock, told to the others.
    /// @return What to do now.
    [[nodiscard]] replica_actions step(transport::monotonic_time now,
                                       transport::wall_time wall,
                                       replica_event event);

    [[nodiscard]] replica_status status(transport::monotonic_time now) const;

    /// @return Whether the disk has failed: nothing happens any more.
    [[nodiscard]] bool halted() const noexcept;

    /// @return Whether a read at the applied index is linearizable now.
    [[nodiscard]] bool may_read(transport::monotonic_time now) const;

    /// @return The median of the voters' wall clocks, so that one wrong clock
    ///     cannot move the time in the records.
    [[nodiscard]] transport::wall_time
    quorum_wall(transport::monotonic_time now, transport::wall_time own) const;

    /// @return The others as the leader sees them; empty on a follower.
    [[nodiscard]] std::vector<follower_status> followers() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

using replica = basic_replica<term_history>;

// [bootstrap] ----------------------------------------------------------------

/// Index and term that the first replicas of a new cluster begin with.
inline constexpr state::log_index bootstrap_index = 1;

/// @return What each of the first replicas writes to its empty disk.
[[nodiscard]] state::persist_request
bootstrap_request(std::uint64_t id, const state::replica_set& replicas);

/// @param snapshot State that the cluster begins with.
[[nodiscard]] state::persist_request
bootstrap_request(std::uint64_t id, const state::replica_set& replicas,
                  std::string snapshot);

/// @return What a replica that joins later writes to its empty disk.
[[nodiscard]] state::persist_request join_request(std::uint64_t id);

} // namespace hyssopdeal::coordination

#endif
