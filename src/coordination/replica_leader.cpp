/// @file
/// The consensus core: the leader's side of replication.

#include <algorithm>
#include <functional>

#include <zlib.h>

#include "coordination/replica_impl.hpp"

namespace hyssopdeal::coordination
{

// [peers] --------------------------------------------------------------------

/// Follows the replica set that is in effect.
template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::sync_peers()
{
    std::set<std::uint64_t> wanted;
    for (const auto& member : replicas().members)
    {
        if (member.id == hard.id)
        {
            continue;
        }
        wanted.insert(member.id);
        const auto added = peers.try_emplace(member.id);
        if (added.second)
        {
            auto& peer = added.first->second;
            peer.next = log.last() + 1;
            peer.contact = now;
            peer.progress = now;
        }
    }
    std::erase_if(
        peers, [&](const auto& item) { return !wanted.contains(item.first); });
}

template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::heard_from(std::uint64_t id,
                                               std::int64_t sent)
{
    const auto found = peers.find(id);
    const monotonic_time at{std::chrono::nanoseconds{sent}};
    if (found != peers.end() && at >= elected && at <= now)
    {
        auto& peer = found->second;
        peer.contact = std::max(peer.contact, at);
        peer.answered = true;
    }
}

template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::use_hint(peer_progress& peer,
                                             const reconcile_hint& hint)
{
    const log_index shared =
        std::max(peer.match, Strategy::next_match(log.outline(), hint));
    peer.next = std::min(shared, log.last()) + 1;
    peer.in_flight.clear();
    peer.mode = Strategy::exact ? send_mode::stream : send_mode::probe;
    if (shared < log.base())
    {
        peer.mode = send_mode::snapshot;
        peer.snapshot = snap;
        peer.snapshot_offset = 0;
    }
}

// [sending] ------------------------------------------------------------------

template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::send_append(
    std::uint64_t id, peer_progress& peer,
    std::vector<state::log_record> records)
{
    append_request request;
    request.prev_index = peer.next - 1;
    request.prev_term = log.term_at(peer.next - 1);
    request.commit = commit;
    request.sent = sent_stamp(now);
    request.records = std::move(records);
    send(id, std::move(request));
}

template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::start_snapshot(std::uint64_t id,
                                                   peer_progress& peer)
{
    peer.mode = send_mode::snapshot;
    peer.snapshot = snap;
    peer.snapshot_offset = 0;
    send_chunk(id, peer);
}

template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::send_chunk(std::uint64_t id,
                                               peer_progress& peer)
{
    const auto& sent = peer.snapshot;
    if (!sent.bytes)
    {
        return;
    }
    const auto& bytes = *sent.bytes;
    snapshot_chunk chunk;
    chunk.index = sent.index;
    chunk.term = sent.term;
    chunk.replicas = sent.replicas;
    chunk.total = bytes.size();
    chunk.crc = static_cast<std::uint32_t>(
        crc32_z(0, reinterpret_cast<const Bytef*>(bytes.data()), bytes.size()));
    chunk.offset = std::min<std::uint64_t>(peer.snapshot_offset, bytes.size());
    chunk.bytes = bytes.substr(chunk.offset, settings.snapshot_chunk_bytes);
    chunk.sent = sent_stamp(now);
    send(id, std::move(chunk));
}

template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::replicate(std::uint64_t id,
                                              peer_progress& peer)
{
    if (peer.mode != send_mode::stream)
    {
        return;
    }
    if (peer.next <= log.base())
    {
        return start_snapshot(id, peer);
    }
    std::size_t bytes = 0;
    for (const auto& batch : peer.in_flight)
    {
        bytes += batch.bytes;
    }
    while (peer.next <= log.last() &&
           peer.in_flight.size() < settings.max_batches_in_flight &&
           bytes < settings.max_bytes_in_flight)
    {
        auto records =
            log.slice(peer.next, log.last(), settings.max_batch_bytes);
        sent_batch batch{records.back().index, 0};
        for (const auto& record : records)
        {
            batch.bytes += record.payload.size();
        }
        send_append(id, peer, std::move(records));
        peer.next = batch.last + 1;
        bytes += batch.bytes;
        peer.in_flight.push_back(batch);
    }
}

template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::replicate_all()
{
    for (auto& [id, peer] : peers)
    {
        replicate(id, peer);
    }
}

template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::heartbeat_all()
{
    heartbeat_due = now + settings.heartbeat;
    for (auto& [id, peer] : peers)
    {
        const bool stalled = !peer.in_flight.empty() &&
                             now - peer.progress > settings.election_timeout;
        if (stalled)
        {
            peer.mode = send_mode::probe;
            peer.next = std::max(peer.match, log.base()) + 1;
            peer.in_flight.clear();
            peer.progress = now;
        }
        if (peer.mode == send_mode::snapshot)
        {
            send_chunk(id, peer);
            continue;
        }
        if (peer.next <= log.base())
        {
            start_snapshot(id, peer);
            continue;
        }
        replicate(id, peer);
        send_append(id, peer, {});
    }
}

// [answers] ------------------------------------------------------------------

template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::on_message(const replica_message& from,
                                               append_reply& body)
{
    if (from.term > hard.term)
    {
        return become_follower(from.term, 0);
    }
    const auto found = peers.find(from.from);
    if (role != replica_role_now::leader || from.term != hard.term ||
        found == peers.end())
    {
        return;
    }
    heard_from(from.from, body.sent);
    auto& peer = found->second;
    if (body.answer == append_answer::refused)
    {
        const bool stale = body.hint.refused <= peer.match ||
                           peer.mode == send_mode::snapshot ||
                           (peer.mode == send_mode::probe &&
                            body.hint.refused != peer.next - 1);
        if (!stale)
        {
            use_hint(peer, body.hint);
            if (peer.mode == send_mode::snapshot)
            {
                return send_chunk(from.from, peer);
            }
            if (peer.mode == send_mode::probe || peer.next > log.last())
            {
                return send_append(from.from, peer, {});
            }
            replicate(from.from, peer);
        }
        return;
    }
    if (body.match > log.last())
    {
        return;
    }
    if (body.match > peer.match)
    {
        peer.match = body.match;
        peer.progress = now;
    }
    while (!peer.in_flight.empty() && peer.in_flight.front().last <= peer.match)
    {
        peer.in_flight.pop_front();
    }
    if (peer.in_flight.empty())
    {
        peer.progress = now;
    }
    if (peer.mode == send_mode::probe)
    {
        peer.mode = send_mode::stream;
        peer.progress = now;
    }
    peer.next = std::max(peer.next, peer.match + 1);
    advance_commit();
    replicate(from.from, peer);
    try_transfer();
}

template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::on_message(const replica_message& from,
                                               snapshot_reply& body)
{
    if (from.term > hard.term)
    {
        return become_follower(from.term, 0);
    }
    const auto found = peers.find(from.from);
    if (role != replica_role_now::leader || from.term != hard.term ||
        found == peers.end())
    {
        return;
    }
    heard_from(from.from, body.sent);
    auto& peer = found->second;
    const auto& sent = peer.snapshot;
    if (peer.mode != send_mode::snapshot || body.index != sent.index)
    {
        return;
    }
    const bool more = sent.bytes && body.received < sent.bytes->size();
    if (more)
    {
        peer.snapshot_offset = body.received;
        return send_chunk(from.from, peer);
    }
    peer.mode = send_mode::probe;
    peer.next = body.index + 1;
    peer.snapshot = {};
    send_append(from.from, peer, {});
}

// [commit] -------------------------------------------------------------------

template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::advance_commit()
{
    std::vector<log_index> matches;
    for (const auto id : voters())
    {
        const auto peer = peers.find(id);
        const log_index other = peer == peers.end() ? 0 : peer->second.match;
        matches.push_back(id == hard.id ? durable : other);
    }
    const std::size_t needed = majority();
    if (matches.size() < needed)
    {
        return;
    }
    std::sort(matches.begin(), matches.end(), std::greater<>{});
    const log_index agreed = matches[needed - 1];
    if (agreed > commit && log.term_at(agreed) == hard.term)
    {
        commit = agreed;
        // Followers answer reads of entries: they hear of it at once.
        for (auto& [id, peer] : peers)
        {
            if (peer.mode == send_mode::stream && peer.next > log.last())
            {
                send_append(id, peer, {});
            }
        }
    }
}

// [transfer] -----------------------------------------------------------------

/// Hands over to a voter whose disk has all records: to the one that was heard
/// from last, as another may be gone.
template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::try_transfer()
{
    if (!transferring || handed_over)
    {
        return;
    }
    std::uint64_t best = 0;
    monotonic_time latest{};
    for (const auto id : voters())
    {
        const auto peer = peers.find(id);
        if (peer != peers.end() && peer->second.match == log.last() &&
            (best == 0 || peer->second.contact > latest))
        {
            best = id;
            latest = peer->second.contact;
        }
    }
    if (best != 0)
    {
        handed_over = true;
        send(best, take_over{});
    }
}

template struct basic_replica<term_history>::impl;
template struct basic_replica<index_probing>::impl;
template struct basic_replica<term_probing>::impl;

} // namespace hyssopdeal::coordination
