/// @file
/// The consensus core: events, proposals, applying.

#include <hyssopdeal/coordination/replica.hpp>

#include <algorithm>

#include <hyssopdeal/state/commands.hpp>
#include <hyssopdeal/state/control_state.hpp>

#include "coordination/replica_impl.hpp"

namespace hyssopdeal::coordination
{

using transport::fail;
using transport::reason;

// [start] --------------------------------------------------------------------

template <reconcile_strategy Strategy>
basic_replica<Strategy>::impl::impl(replica_settings own_settings,
                                    state::recovered_state recovered,
                                    std::uint64_t seed, monotonic_time start)
    : settings(own_settings),
      random(seed),
      now(start),
      hard(recovered.hard),
      snap(std::move(recovered.snap))
{
    log.reset(snap.index, snap.term);
    sets.push_back({snap.index, snap.replicas});
    for (auto& record : recovered.records)
    {
        note_replicas(record);
        log.append(std::move(record));
    }
    commit = snap.index;
    applied = snap.index;
    durable = log.last();
    given = log.last();
    // A vote given before the restart may stand behind a lease.
    heard = start;
    reset_election_timer();
    returns = last_leader() == hard.id && votes();
    election_due = returns ? start : election_due;
}

template <reconcile_strategy Strategy>
basic_replica<Strategy>::basic_replica(replica_settings settings,
                                       state::recovered_state recovered,
                                       std::uint64_t seed, monotonic_time now)
    : impl_(std::make_unique<impl>(settings, std::move(recovered), seed, now))
{}

template <reconcile_strategy Strategy>
basic_replica<Strategy>::basic_replica(basic_replica&&) noexcept = default;

template <reconcile_strategy Strategy>
basic_replica<Strategy>&
basic_replica<Strategy>::operator=(basic_replica&&) noexcept = default;

template <reconcile_strategy Strategy>
basic_replica<Strategy>::~basic_replica() = default;

// [step] ---------------------------------------------------------------------

template <reconcile_strategy Strategy>
replica_actions basic_replica<Strategy>::step(monotonic_time now,
                                              transport::wall_time wall,
                                              replica_event event)
{
    impl_->now = now;
    impl_->wall = wall;
    return impl_->step(std::move(event));
}

template <reconcile_strategy Strategy>
replica_actions basic_replica<Strategy>::impl::step(replica_event event)
{
    replica_actions actions;
    if (halted)
    {
        return actions;
    }
    out = &actions;
    const auto old_role = role;
    const auto old_term = hard.term;
    const auto old_leader = leader;
    const bool was_ready = first_own != 0 && applied >= first_own;
    std::visit([&](auto& body) { on(body); }, event);
    if (!halted)
    {
        persist_more();
        apply_committed();
    }
    const bool ready = first_own != 0 && applied >= first_own;
    const bool changed = old_role != role || old_term != hard.term ||
                         old_leader != leader || was_ready != ready || halted;
    actions.change =
        changed ? leadership_change::changed : leadership_change::none;
    out = nullptr;
    return actions;
}

template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::on(const tick_event&)
{
    if (role != replica_role_now::leader)
    {
        const bool due = now >= election_due && votes();
        const bool has_stood = role != replica_role_now::follower;
        if (due && returns && !has_stood)
        {
            start_election(vote_kind::transfer);
        }
        else if (due)
        {
            start_pre_vote();
        }
        else if (returns && role == replica_role_now::candidate &&
                 now >= ask_again_due)
        {
            ask_for_votes(vote_kind::transfer);
        }
        return;
    }
    const bool lost_majority =
        now - majority_contact(false) > settings.election_timeout;
    const bool gave_up = transferring && now >= transfer_until;
    if (lost_majority || (gave_up && handed_over))
    {
        become_follower(hard.term, 0);
        return;
    }
    transferring = transferring && !gave_up;
    if (now >= heartbeat_due)
    {
        heartbeat_all();
    }
}

template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::on(message_event& event)
{
    auto& message = event.message;
    wall_offsets[message.from] =
        message.wall.time_since_epoch() -
        std::chrono::duration_cast<std::chrono::milliseconds>(
            now.time_since_epoch());
    std::visit([&](auto& body) { on_message(message, body); }, message.body);
}

template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::on(const disk_failed_event&)
{
    halted = true;
    role = replica_role_now::follower;
    leader = 0;
    first_own = 0;
}

template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::on(const transfer_event&)
{
    if (role == replica_role_now::leader && !transferring)
    {
        transferring = true;
        transfer_until = now + settings.election_timeout;
        try_transfer();
    }
}

/// Nobody needs to wait for a leader that is surely gone. A leader of a later
/// term has a majority that knows its term, for which this changes nothing.
template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::on(const voter_lost_event& event)
{
    // A few round trips: the next one stands when the first did not win, as it
    // lacked the newest records.
    constexpr std::chrono::milliseconds turn{50};
    const bool known = role == replica_role_now::leader || !votes() ||
                       event.id != last_leader();
    if (known)
    {
        return;
    }
    leader_lost = true;
    int before = 0;
    for (const auto id : voters())
    {
        before += id < hard.id && id != event.id ? 1 : 0;
    }
    election_due = std::min(election_due, now + before * turn);
}

template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::on(compact_event& event)
{
    if (event.snap.index <= snap.index || event.snap.index > applied ||
        installing)
    {
        return;
    }
    snap = std::move(event.snap);
    pending_snap = snap;
    const log_index target = cut_target();
    log.cut(target);
    pending_cut = target;
    while (sets.size() > 1 && sets[1].index <= log.base())
    {
        sets.erase(sets.begin());
    }
}

/// @return The last record that no follower needs: it lies behind the snapshot,
///     and the records between the two are within the limits.
template <reconcile_strategy Strategy>
log_index basic_replica<Strategy>::impl::cut_target() const
{
    log_index target = std::min(snap.index, log.last());
    std::size_t records = 0;
    std::size_t bytes = 0;
    while (target > log.base())
    {
        records += 1;
        bytes += log.at(target).payload.size();
        if (records > settings.kept_records || bytes > settings.kept_bytes)
        {
            break;
        }
        --target;
    }
    return target;
}

// [proposals] ----------------------------------------------------------------

template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::answer(std::uint64_t id,
                                           transport::result<log_index> index)
{
    out->answers.push_back({id, std::move(index), hard.term});
}

template <reconcile_strategy Strategy>
bool basic_replica<Strategy>::impl::append_own(state::record_kind kind,
                                               std::string payload)
{
    const log_index settled = std::min(durable, commit);
    if (log.last() - settled >= settings.max_unpersisted ||
        log.payload_bytes_after(settled) >= settings.max_unpersisted_bytes)
    {
        return false;
    }
    state::log_record record{log.last() + 1, hard.term, kind,
                             std::move(payload)};
    note_replicas(record);
    log.append(std::move(record));
    return true;
}

template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::on(propose_event& event)
{
    if (role != replica_role_now::leader || transferring)
    {
        return answer(event.id,
                      fail(reason::not_leader, "This replica does not lead."));
    }
    if (!append_own(state::record_kind::command, std::move(event.payload)))
    {
        return answer(event.id, fail(reason::no_quorum,
                                     "Too many records wait for a majority."));
    }
    answer(event.id, log.last());
    replicate_all();
}

template <reconcile_strategy Strategy>
transport::result<state::replica_set>
basic_replica<Strategy>::impl::changed_set(const change_event& event) const
{
    auto set = replicas();
    const auto found =
        std::find_if(set.members.begin(), set.members.end(),
                     [&](const auto& m) { return m.id == event.member.id; });
    const auto refuse = [](std::string text) {
        return fail(reason::revision_conflict, std::move(text));
    };
    if (sets.back().index > commit || commit < first_own)
    {
        return refuse("An earlier change is not on a majority's disks yet.");
    }
    switch (event.change)
    {
    case replica_change::add_learner:
        if (event.member.id < set.next_id)
        {
            return refuse("The id was used before.");
        }
        set.members.push_back(event.member);
        set.members.back().role = state::replica_role::learner;
        set.next_id = event.member.id + 1;
        return set;
    case replica_change::promote: {
        const auto peer = peers.find(event.member.id);
        if (found == set.members.end() || peer == peers.end())
        {
            return fail(reason::not_found, "No such replica.");
        }
        if (peer->second.match < commit)
        {
            return refuse("The replica has not caught up on its disk.");
        }
        found->role = state::replica_role::voter;
        return set;
    }
    case replica_change::remove:
        if (found == set.members.end())
        {
            return fail(reason::not_found, "No such replica.");
        }
        if (event.member.id == hard.id)
        {
            return refuse("The leader cannot be removed; transfer first.");
        }
        set.members.erase(found);
        return set;
    }
    return refuse("Unknown change.");
}

template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::on(change_event& event)
{
    if (role != replica_role_now::leader || transferring)
    {
        return answer(event.id,
                      fail(reason::not_leader, "This replica does not lead."));
    }
    const auto set = changed_set(event);
    if (!set)
    {
        return answer(event.id, tl::make_unexpected(set.error()));
    }
    if (!append_own(state::record_kind::replicas, state::encode(*set)))
    {
        return answer(event.id, fail(reason::no_quorum,
                                     "Too many records wait for a majority."));
    }
    sync_peers();
    answer(event.id, log.last());
    replicate_all();
}

// [applying] -----------------------------------------------------------------

template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::apply_committed()
{
    if (installing)
    {
        return;
    }
    const log_index target = std::min(commit, durable);
    while (applied < target)
    {
        ++applied;
        out->applies.push_back(log.at(applied));
    }
}

// [reading] ------------------------------------------------------------------

template <reconcile_strategy Strategy>
bool basic_replica<Strategy>::halted() const noexcept
{
    return impl_->halted;
}

template <reconcile_strategy Strategy>
bool basic_replica<Strategy>::may_read(monotonic_time now) const
{
    return impl_->leads_surely() && now < impl_->lease_until();
}

template <reconcile_strategy Strategy>
replica_status basic_replica<Strategy>::status(monotonic_time) const
{
    const auto& own = *impl_;
    replica_status shown;
    shown.id = own.hard.id;
    shown.leader_id = own.leader;
    shown.last = own.log.last();
    shown.durable = own.durable;
    shown.commit = own.commit;
    shown.applied = own.applied;
    shown.base = own.log.base();
    shown.replicas = own.replicas();
    shown.replicas_index = own.sets.back().index;
    shown.disk_full = own.disk_full;
    shown.halted = own.halted;
    shown.leads.term = own.hard.term;
    for (const auto& member : own.replicas().members)
    {
        if (member.id == own.leader)
        {
            shown.leads.leader = member.name;
        }
    }
    if (own.leads_surely())
    {
        shown.leads.role = leadership_role::leader;
        shown.leads.lease_until = own.lease_until();
        shown.leads.orders_from = own.elected + own.settings.election_timeout;
        // An earlier leader would have committed a record.
        shown.leads.first = own.first_own == bootstrap_index + 1;
    }
    return shown;
}

template <reconcile_strategy Strategy>
transport::wall_time
basic_replica<Strategy>::quorum_wall(monotonic_time now,
                                     transport::wall_time own) const
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
        now.time_since_epoch());
    std::vector<transport::wall_time> walls{own};
    for (const auto id : impl_->voters())
    {
        const auto offset = impl_->wall_offsets.find(id);
        if (id != impl_->hard.id && offset != impl_->wall_offsets.end())
        {
            walls.emplace_back(offset->second + elapsed);
        }
    }
    std::sort(walls.begin(), walls.end());
    return walls[(walls.size() - 1) / 2];
}

template <reconcile_strategy Strategy>
std::vector<follower_status> basic_replica<Strategy>::followers() const
{
    std::vector<follower_status> shown;
    for (const auto& [id, peer] : impl_->peers)
    {
        shown.push_back({id, peer.match, peer.contact});
    }
    return shown;
}

// [bootstrap] ----------------------------------------------------------------

namespace
{

constexpr term_number first_term = 1;

} // namespace

state::persist_request bootstrap_request(std::uint64_t id,
                                         const state::replica_set& replicas)
{
    state::control_state first;
    first.apply({bootstrap_index, first_term}, replicas);
    return bootstrap_request(id, replicas, first.encode_snapshot());
}

state::persist_request bootstrap_request(std::uint64_t id,
                                         const state::replica_set& replicas,
                                         std::string snapshot)
{
    state::persist_request request;
    request.number = 1;
    request.hard = state::hard_state{id, first_term, 0};
    request.snap = state::snapshot{
        bootstrap_index, first_term, replicas,
        std::make_shared<const std::string>(std::move(snapshot))};
    return request;
}

state::persist_request join_request(std::uint64_t id)
{
    state::persist_request request;
    request.number = 1;
    request.hard = state::hard_state{id, 0, 0};
    return request;
}

template class basic_replica<term_history>;
template class basic_replica<index_probing>;
template class basic_replica<term_probing>;

} // namespace hyssopdeal::coordination
