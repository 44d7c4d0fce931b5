#ifndef HYSSOPDEAL_SRC_COORDINATION_REPLICA_IMPL_HPP
#define HYSSOPDEAL_SRC_COORDINATION_REPLICA_IMPL_HPP

/// @file
/// The consensus core's private part. Internal.
///
/// Index: [peers] [disk] [impl]
///
/// replica.cpp dispatches events, replica_election.cpp holds elections and
/// leases, replica_leader.cpp the leader's side of appends, replica_follower
/// .cpp the follower's, replica_disk.cpp what goes to the disk and is held
/// until it is synced.

#include <deque>
#include <map>
#include <random>
#include <set>

#include <hyssopdeal/coordination/replica.hpp>

#include "coordination/replica_log.hpp"

namespace hyssopdeal::coordination
{

using state::log_index;
using state::term_number;
using transport::monotonic_time;

// [peers] --------------------------------------------------------------------

/// How the leader sends to a follower.
enum class send_mode : std::uint8_t
{
    probe,   ///< One append at a time until one matches.
    stream,  ///< Many appends in flight.
    snapshot ///< Chunk by chunk.
};

/// An append that was not answered yet.
struct sent_batch
{
    log_index last = 0;
    std::size_t bytes = 0; ///< Payload.
};

/// Leader's view of another replica.
struct peer_progress
{
    send_mode mode = send_mode::probe;
    log_index next = 1;
    log_index match = 0;
    std::deque<sent_batch> in_flight;
    monotonic_time contact{};  ///< Latest send time it answered.
    bool answered = false;     ///< contact is of an answer.
    monotonic_time progress{}; ///< When match last grew.
    std::uint64_t snapshot_offset = 0;
    /// The one being sent: newer ones must not start the transfer again.
    state::snapshot snapshot;
};

/// What a snapshot from the leader has come to so far.
struct incoming_snapshot
{
    log_index index = 0;
    term_number term = 0;
    std::string bytes;
};

enum class replica_role_now : std::uint8_t
{
    follower,
    pre_candidate,
    candidate,
    leader
};

// [disk] ---------------------------------------------------------------------

/// The batch that the disk is busy with.
struct disk_batch
{
    std::uint64_t number = 0;
    std::uint64_t hard_version = 0;
    log_index last = 0; ///< Durable afterwards.
    std::optional<state::snapshot> snap;
    // To write the batch again after it found no room.
    log_index before = 0; ///< Last index handed to the disk before.
    std::optional<log_index> truncate;
    std::optional<log_index> cut;
};

/// A message that waits until term and vote are synced.
struct held_message
{
    std::uint64_t hard_version = 0;
    replica_message message;
};

/// A replica set and the record that it came with.
struct replica_set_at
{
    log_index index = 0;
    state::replica_set set;
};

// [impl] ---------------------------------------------------------------------

template <reconcile_strategy Strategy>
struct basic_replica<Strategy>::impl
{
    impl(replica_settings own_settings, state::recovered_state recovered,
         std::uint64_t seed, monotonic_time start);

    // replica.cpp
    replica_actions step(replica_event event);
    void on(const tick_event& event);
    void on(message_event& event);
    void on(propose_event& event);
    void on(change_event& event);
    void on(const persisted_event& event);
    void on(const disk_full_event& event);
    void on(const disk_failed_event& event);
    void on(const transfer_event& event);
    void on(const voter_lost_event& event);
    void on(compact_event& event);
    void answer(std::uint64_t id, transport::result<log_index> index);
    bool append_own(state::record_kind kind, std::string payload);
    void apply_committed();
    [[nodiscard]] transport::result<state::replica_set>
    changed_set(const change_event& event) const;
    [[nodiscard]] log_index cut_target() const;

    // replica_election.cpp
    void become_follower(term_number new_term, std::uint64_t new_leader);
    void start_pre_vote();
    void start_election(vote_kind kind);
    void ask_for_votes(vote_kind kind);
    [[nodiscard]] std::uint64_t last_leader() const;
    void become_leader();
    void on_message(const replica_message& from, vote_request& body);
    void on_message(const replica_message& from, vote_reply& body);
    void on_message(const replica_message& from, take_over& body);
    void reset_election_timer();
    [[nodiscard]] bool hears_leader() const;
    [[nodiscard]] bool votes() const;
    [[nodiscard]] std::vector<std::uint64_t> voters() const;
    [[nodiscard]] std::size_t majority() const;
    [[nodiscard]] monotonic_time majority_contact(bool answered_only) const;
    [[nodiscard]] monotonic_time lease_until() const;
    [[nodiscard]] bool leads_surely() const; ///< But for the lease.

    // replica_leader.cpp
    void on_message(const replica_message& from, append_reply& body);
    void on_message(const replica_message& from, snapshot_reply& body);
    void replicate_all();
    void heartbeat_all();
    void replicate(std::uint64_t id, peer_progress& peer);
    void send_append(std::uint64_t id, peer_progress& peer,
                     std::vector<state::log_record> records);
    void start_snapshot(std::uint64_t id, peer_progress& peer);
    void send_chunk(std::uint64_t id, peer_progress& peer);
    void use_hint(peer_progress& peer, const reconcile_hint& hint);
    void heard_from(std::uint64_t id, std::int64_t sent);
    void advance_commit();
    void sync_peers();
    void try_transfer();

    // replica_follower.cpp
    void on_message(const replica_message& from, append_request& body);
    void on_message(const replica_message& from, snapshot_chunk& body);
    void take_records(std::vector<state::log_record>& records);
    void take_snapshot(state::snapshot snap);
    void acknowledge();
    void follow(const replica_message& from, std::int64_t sent);

    // replica_disk.cpp
    void send(std::uint64_t to, replica_message_body body);
    void send_now(std::uint64_t to, term_number as_term,
                  replica_message_body body);
    void change_hard(term_number new_term, std::uint64_t vote);
    void truncate(log_index from);
    void note_replicas(const state::log_record& record);
    [[nodiscard]] bool has_work_for_disk() const;
    void persist_more();

    [[nodiscard]] const state::replica_set& replicas() const
    {
        return sets.back().set;
    }

    replica_settings settings;
    std::mt19937_64 random;
    replica_actions* out = nullptr; ///< Of the step that runs.
    monotonic_time now{};
    transport::wall_time wall{};

    state::hard_state hard;
    replica_log log;
    state::snapshot snap;
    std::vector<replica_set_at> sets; ///< By index; the last is in effect.
    log_index commit = 0;
    log_index applied = 0;
    bool halted = false;

    replica_role_now role = replica_role_now::follower;
    std::uint64_t leader = 0;
    monotonic_time heard{};        ///< From the leader, or the start.
    monotonic_time election_due{}; ///< When to stand.
    bool vote_given = false; ///< In an election that no leader came of yet.
    std::uint32_t lost_elections = 0; ///< In a row, with a vote from here.
    /// Until a leader is heard after a restart: this replica led the latest
    /// term, so that no other's lease is in its way.
    bool returns = false;
    /// The leader of the latest term has lost its disk. What it was granted
    /// ended with its process.
    bool leader_lost = false;
    monotonic_time ask_again_due{}; ///< While it returns.
    std::set<std::uint64_t> granted;
    std::map<std::uint64_t, reconcile_hint> vote_hints;
    std::map<std::uint64_t, std::chrono::milliseconds> wall_offsets;

    // As leader.
    std::map<std::uint64_t, peer_progress> peers;
    monotonic_time elected{};
    monotonic_time heartbeat_due{};
    log_index first_own = 0; ///< First record of this term.
    bool transferring = false;
    bool handed_over = false; ///< take_over was sent: no lease any more.
    monotonic_time transfer_until{};

    // As follower.
    log_index matched = 0; ///< Equal to the leader's log up to here.
    std::int64_t latest_sent = 0;
    bool owes_ack = false;
    std::optional<incoming_snapshot> incoming;

    // Disk.
    std::uint64_t hard_version = 0;
    std::uint64_t hard_durable = 0;
    std::uint64_t hard_given = 0;
    log_index durable = 0;
    log_index given = 0; ///< Handed to the disk.
    std::optional<log_index> pending_truncate;
    std::optional<state::snapshot> pending_snap;
    std::optional<log_index> pending_cut;
    bool installing = false; ///< A snapshot of the leader is not synced yet.
    std::uint64_t batch_number = 0;
    std::optional<disk_batch> busy;
    bool disk_full = false; ///< The last batch with records found no room.
    monotonic_time disk_retry_due{};
    std::deque<held_message> held;
};

/// Nanoseconds of a monotonic time, as sent to followers and back.
inline std::int64_t sent_stamp(monotonic_time at)
{
    return at.time_since_epoch().count();
}

} // namespace hyssopdeal::coordination

#endif
