/// @file
/// The consensus core: what goes to the disk and what waits for it.

#include <algorithm>
#include <utility>

#include <hyssopdeal/state/commands.hpp>

#include "coordination/replica_impl.hpp"

namespace hyssopdeal::coordination
{

// [messages] -----------------------------------------------------------------

template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::send_now(std::uint64_t to,
                                             term_number as_term,
                                             replica_message_body body)
{
    out->sends.push_back({hard.id, to, as_term, wall, std::move(body)});
}

/// Term and vote are on the disk before anybody hears of them.
template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::send(std::uint64_t to,
                                         replica_message_body body)
{
    if (hard_durable == hard_version)
    {
        return send_now(to, hard.term, std::move(body));
    }
    held.push_back(
        {hard_version, {hard.id, to, hard.term, wall, std::move(body)}});
}

// [changes] ------------------------------------------------------------------

template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::change_hard(term_number new_term,
                                                std::uint64_t vote)
{
    if (hard.term != new_term || hard.voted_for != vote)
    {
        hard.term = new_term;
        hard.voted_for = vote;
        ++hard_version;
    }
}

template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::truncate(log_index from)
{
    log.truncate(from);
    while (sets.size() > 1 && sets.back().index >= from)
    {
        sets.pop_back();
    }
    durable = std::min(durable, from - 1);
    if (busy)
    {
        busy->last = std::min(busy->last, from - 1);
    }
    if (given >= from)
    {
        given = from - 1;
        pending_truncate = std::min(pending_truncate.value_or(from), from);
    }
}

template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::note_replicas(
    const state::log_record& record)
{
    if (record.kind != state::record_kind::replicas)
    {
        return;
    }
    if (auto set = state::decode_replica_set(record.payload))
    {
        sets.push_back({record.index, std::move(*set)});
    }
}

// [batches] ------------------------------------------------------------------

template <reconcile_strategy Strategy>
bool basic_replica<Strategy>::impl::has_work_for_disk() const
{
    return hard_given != hard_version || pending_truncate || pending_snap ||
           pending_cut || given < log.last();
}

/// One batch at a time: what comes while the disk is busy makes the next one.
///
/// On a full disk the parts are tried one by one, the smallest first: a vote
/// needs a few bytes, and a snapshot with its cut frees room for records.
template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::persist_more()
{
    constexpr std::size_t max_record_bytes = 4'194'304;
    if (busy || !has_work_for_disk() || (disk_full && now < disk_retry_due))
    {
        return;
    }
    state::persist_request request;
    request.number = ++batch_number;
    if (hard_given != hard_version)
    {
        request.hard = hard;
        hard_given = hard_version;
    }
    if (!disk_full || !request.hard)
    {
        request.snap = std::exchange(pending_snap, std::nullopt);
        request.truncate = std::exchange(pending_truncate, std::nullopt);
        request.cut = std::exchange(pending_cut, std::nullopt);
    }
    const bool has_other_parts =
        request.hard || request.snap || request.truncate || request.cut;
    given = std::max(given, log.base());
    const log_index before = given;
    if (given < log.last() && (!disk_full || !has_other_parts))
    {
        request.records = log.slice(given + 1, log.last(), max_record_bytes);
        given = request.records.back().index;
    }
    busy = disk_batch{request.number,   hard_given, given, request.snap, before,
                      request.truncate, request.cut};
    out->persist = std::move(request);
}

/// Takes the batch back; what has come since joins it.
template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::on(const disk_full_event& event)
{
    if (!busy || busy->number != event.number)
    {
        return;
    }
    const auto batch = *std::exchange(busy, std::nullopt);
    disk_full = true;
    disk_retry_due = now + settings.disk_retry_interval;
    hard_given = hard_durable;
    given = std::max(std::min(given, batch.before), log.base());
    if (batch.truncate)
    {
        pending_truncate = std::min(pending_truncate.value_or(*batch.truncate),
                                    *batch.truncate);
    }
    if (batch.cut)
    {
        pending_cut = std::max(pending_cut.value_or(*batch.cut), *batch.cut);
    }
    if (!pending_snap)
    {
        pending_snap = batch.snap;
    }
}

template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::on(const persisted_event& event)
{
    if (!busy || busy->number != event.number)
    {
        return;
    }
    const auto batch = *std::exchange(busy, std::nullopt);
    hard_durable = batch.hard_version;
    disk_full = disk_full && batch.last <= batch.before && has_work_for_disk();
    disk_retry_due = now;
    const bool installed =
        installing && batch.snap && batch.snap->index == snap.index;
    if (installed)
    {
        installing = false;
        applied = snap.index;
        out->restore = snap;
    }
    if (!installing)
    {
        durable = std::max({durable, batch.last, installed ? snap.index : 0});
    }
    while (!held.empty() && held.front().hard_version <= hard_durable)
    {
        out->sends.push_back(std::move(held.front().message));
        held.pop_front();
    }
    if (role == replica_role_now::leader)
    {
        advance_commit();
    }
    else if (owes_ack)
    {
        acknowledge();
    }
}

template struct basic_replica<term_history>::impl;
template struct basic_replica<index_probing>::impl;
template struct basic_replica<term_probing>::impl;

} // namespace hyssopdeal::coordination
