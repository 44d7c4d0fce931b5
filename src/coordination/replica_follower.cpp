/// @file
/// The consensus core: the follower's side of replication.

#include <algorithm>

#include <zlib.h>

#include "coordination/replica_impl.hpp"

namespace hyssopdeal::coordination
{

namespace
{

std::uint32_t checksum(const std::string& bytes)
{
    return static_cast<std::uint32_t>(
        crc32_z(0, reinterpret_cast<const Bytef*>(bytes.data()), bytes.size()));
}

} // namespace

// [appends] ------------------------------------------------------------------

template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::follow(const replica_message& from,
                                           std::int64_t sent)
{
    become_follower(from.term, from.from);
    heard = now;
    latest_sent = std::max(latest_sent, sent);
    vote_given = false;
    lost_elections = 0;
    reset_election_timer();
}

template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::on_message(const replica_message& from,
                                               append_request& body)
{
    if (from.term < hard.term)
    {
        // The old leader learns of the new term.
        return send(from.from, append_reply{});
    }
    if (leader != from.from || from.term > hard.term)
    {
        latest_sent = 0;
    }
    follow(from, body.sent);
    const bool known = body.prev_index >= log.base() &&
                       log.term_at(body.prev_index) == body.prev_term &&
                       body.prev_index <= log.last();
    if (body.prev_index > log.base() && !known)
    {
        append_reply refusal;
        refusal.sent = latest_sent;
        refusal.hint = Strategy::make_hint(log.outline(), body.prev_index);
        return send(from.from, std::move(refusal));
    }
    const log_index reaches = body.prev_index + body.records.size();
    take_records(body.records);
    matched = std::max({matched, reaches, log.base()});
    commit = std::max(commit, std::min(body.commit, matched));
    owes_ack = true;
    acknowledge();
}

/// Takes records that follow a matching one; a record of another term drops
/// the log from there on.
template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::take_records(
    std::vector<state::log_record>& records)
{
    for (auto& record : records)
    {
        if (record.index <= log.base())
        {
            continue;
        }
        if (record.index <= log.last())
        {
            if (log.term_at(record.index) == record.term)
            {
                continue;
            }
            truncate(record.index);
        }
        note_replicas(record);
        log.append(std::move(record));
    }
}

/// Tells how far the log is equal to the leader's and on this disk. A partial
/// answer at once keeps the lease; the rest follows when the disk is done.
template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::acknowledge()
{
    if (leader == 0)
    {
        return;
    }
    append_reply reply;
    reply.answer = append_answer::accepted;
    reply.match = installing ? 0 : std::min(matched, durable);
    reply.sent = latest_sent;
    owes_ack = reply.match < matched;
    send(leader, std::move(reply));
}

// [snapshots] ----------------------------------------------------------------

template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::on_message(const replica_message& from,
                                               snapshot_chunk& body)
{
    if (from.term < hard.term)
    {
        return send(from.from, append_reply{});
    }
    if (leader != from.from || from.term > hard.term)
    {
        latest_sent = 0;
    }
    follow(from, body.sent);
    snapshot_reply reply{body.index, body.total, latest_sent};
    const bool have = body.index <= commit ||
                      log.term_at(body.index) == body.term || installing;
    if (have)
    {
        return send(from.from, reply);
    }
    const bool goes_on = incoming && incoming->index == body.index &&
                         incoming->term == body.term;
    if (!goes_on)
    {
        incoming = incoming_snapshot{body.index, body.term, {}};
    }
    if (body.offset == incoming->bytes.size())
    {
        incoming->bytes += body.bytes;
    }
    reply.received = incoming->bytes.size();
    if (reply.received < body.total)
    {
        return send(from.from, reply);
    }
    auto bytes = std::move(incoming->bytes);
    incoming.reset();
    if (bytes.size() != body.total || checksum(bytes) != body.crc)
    {
        reply.received = 0;
        return send(from.from, reply);
    }
    take_snapshot({body.index, body.term, std::move(body.replicas),
                   std::make_shared<const std::string>(std::move(bytes))});
    send(from.from, reply);
}

template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::take_snapshot(state::snapshot next)
{
    snap = std::move(next);
    log.reset(snap.index, snap.term);
    sets = {{snap.index, snap.replicas}};
    commit = std::max(commit, snap.index);
    matched = std::max(matched, snap.index);
    durable = 0;
    given = snap.index;
    if (busy)
    {
        busy->last = 0;
    }
    pending_truncate = 1;
    pending_snap = snap;
    pending_cut.reset();
    installing = true;
}

template struct basic_replica<term_history>::impl;
template struct basic_replica<index_probing>::impl;
template struct basic_replica<term_probing>::impl;

} // namespace hyssopdeal::coordination
