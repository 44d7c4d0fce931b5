/// @file
/// The consensus core: elections and the leader's lease.

#include <algorithm>
#include <charconv>
#include <functional>
#include <string>
#include <utility>

#include "coordination/replica_impl.hpp"

namespace hyssopdeal::coordination
{

namespace
{

// Of the election timeout; 10 s at the default.
constexpr std::uint32_t most_doublings = 4;

} // namespace

// [voters] -------------------------------------------------------------------

template <reconcile_strategy Strategy>
std::vector<std::uint64_t> basic_replica<Strategy>::impl::voters() const
{
    std::vector<std::uint64_t> ids;
    for (const auto& member : replicas().members)
    {
        if (member.role == state::replica_role::voter)
        {
            ids.push_back(member.id);
        }
    }
    return ids;
}

template <reconcile_strategy Strategy>
std::size_t basic_replica<Strategy>::impl::majority() const
{
    return voters().size() / 2 + 1;
}

template <reconcile_strategy Strategy>
bool basic_replica<Strategy>::impl::votes() const
{
    const auto ids = voters();
    return std::find(ids.begin(), ids.end(), hard.id) != ids.end();
}

// [lease] --------------------------------------------------------------------

/// @return The latest time at which a majority, this replica included, had
///     surely not begun to forget the leader.
template <reconcile_strategy Strategy>
monotonic_time
basic_replica<Strategy>::impl::majority_contact(bool answered_only) const
{
    std::vector<monotonic_time> contacts;
    for (const auto id : voters())
    {
        const auto peer = peers.find(id);
        if (id == hard.id)
        {
            contacts.push_back(now);
        }
        else if (peer != peers.end() &&
                 (peer->second.answered || !answered_only))
        {
            contacts.push_back(peer->second.contact);
        }
        else
        {
            contacts.push_back(monotonic_time{});
        }
    }
    const std::size_t needed = majority();
    if (contacts.size() < needed)
    {
        return monotonic_time{};
    }
    std::sort(contacts.begin(), contacts.end(), std::greater<>{});
    return contacts[needed - 1];
}

template <reconcile_strategy Strategy>
monotonic_time basic_replica<Strategy>::impl::lease_until() const
{
    if (handed_over || role != replica_role_now::leader)
    {
        return monotonic_time{};
    }
    return majority_contact(true) + settings.lease;
}

template <reconcile_strategy Strategy>
bool basic_replica<Strategy>::impl::leads_surely() const
{
    return role == replica_role_now::leader && !halted && first_own != 0 &&
           applied >= first_own && !handed_over;
}

template <reconcile_strategy Strategy>
bool basic_replica<Strategy>::impl::hears_leader() const
{
    return role == replica_role_now::leader ||
           (!leader_lost && now - heard < settings.election_timeout);
}

template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::reset_election_timer()
{
    // Each election that ran out gets the next one twice the time: votes are
    // synced first, and a disk may need longer than the timeout for it.
    const auto least = std::chrono::nanoseconds{settings.election_timeout} *
                       (1U << std::min(lost_elections, most_doublings));
    std::uniform_int_distribution<std::int64_t> spread{0, least.count()};
    election_due = now + least + std::chrono::nanoseconds{spread(random)};
}

// [roles] --------------------------------------------------------------------

template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::become_follower(term_number new_term,
                                                    std::uint64_t new_leader)
{
    if (new_term > hard.term)
    {
        change_hard(new_term, 0);
        matched = 0;
        owes_ack = false;
    }
    if (role != replica_role_now::follower)
    {
        reset_election_timer();
    }
    if (leader != new_leader)
    {
        matched = 0;
    }
    role = replica_role_now::follower;
    returns = false;
    leader_lost = false;
    leader = new_leader;
    peers.clear();
    granted.clear();
    vote_hints.clear();
    first_own = 0;
    transferring = false;
    handed_over = false;
}

template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::start_pre_vote()
{
    lost_elections += std::exchange(vote_given, false) ? 1 : 0;
    role = replica_role_now::pre_candidate;
    returns = false;
    leader = 0;
    matched = 0;
    owes_ack = false;
    granted = {hard.id};
    vote_hints.clear();
    reset_election_timer();
    if (granted.size() >= majority())
    {
        return start_election(vote_kind::regular);
    }
    const vote_request request{vote_kind::pre, log.last(), log.last_term()};
    for (const auto id : voters())
    {
        if (id != hard.id)
        {
            send_now(id, hard.term + 1, request);
        }
    }
}

template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::start_election(vote_kind kind)
{
    role = replica_role_now::candidate;
    leader = 0;
    matched = 0;
    owes_ack = false;
    change_hard(hard.term + 1, hard.id);
    vote_given = true;
    granted = {hard.id};
    vote_hints.clear();
    reset_election_timer();
    if (granted.size() >= majority())
    {
        return become_leader();
    }
    ask_for_votes(kind);
}

template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::ask_for_votes(vote_kind kind)
{
    // Replicas that start together are ready within a few of these.
    constexpr std::chrono::milliseconds ask_interval{50};
    ask_again_due = now + ask_interval;
    const vote_request request{kind, log.last(), log.last_term()};
    for (const auto id : voters())
    {
        if (id != hard.id && !granted.contains(id))
        {
            send(id, request);
        }
    }
}

/// @return Who led the latest term that this replica knows; 0: not known. Its
///     lease is the only one that this replica may have confirmed, and ends
///     with its process; a leader of a later term has a majority that refuses
///     votes of the next one.
template <reconcile_strategy Strategy>
std::uint64_t basic_replica<Strategy>::impl::last_leader() const
{
    for (auto at = log.last(); at > log.base(); --at)
    {
        const auto& record = log.at(at);
        if (record.term != hard.term)
        {
            return 0;
        }
        if (record.kind == state::record_kind::empty)
        {
            std::uint64_t id = 0;
            const auto& text = record.payload;
            const auto read =
                std::from_chars(text.data(), text.data() + text.size(), id);
            return read.ec == std::errc{} ? id : 0;
        }
    }
    return 0;
}

template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::become_leader()
{
    role = replica_role_now::leader;
    returns = false;
    vote_given = false;
    lost_elections = 0;
    leader = hard.id;
    elected = now;
    transferring = false;
    handed_over = false;
    incoming.reset();
    peers.clear();
    sync_peers();
    for (auto& [id, peer] : peers)
    {
        const auto hint = vote_hints.find(id);
        if (hint != vote_hints.end())
        {
            use_hint(peer, hint->second);
        }
    }
    state::log_record first{log.last() + 1, hard.term,
                            state::record_kind::empty, std::to_string(hard.id)};
    log.append(std::move(first));
    first_own = log.last();
    heartbeat_all();
}

// [messages] -----------------------------------------------------------------

template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::on_message(const replica_message& from,
                                               vote_request& body)
{
    const bool up_to_date =
        body.last_term > log.last_term() ||
        (body.last_term == log.last_term() && body.last_index >= log.last());
    if (body.kind == vote_kind::pre)
    {
        const bool grant =
            from.term > hard.term && up_to_date && !hears_leader();
        const auto answer = grant ? vote_answer::granted : vote_answer::refused;
        return send_now(from.from, grant ? from.term : hard.term,
                        vote_reply{vote_kind::pre, answer, {}});
    }
    if (body.kind == vote_kind::regular && hears_leader())
    {
        return;
    }
    if (from.term > hard.term)
    {
        become_follower(from.term, 0);
    }
    const bool free = hard.voted_for == 0 || hard.voted_for == from.from;
    const bool grant = from.term == hard.term && free && up_to_date &&
                       role == replica_role_now::follower;
    vote_reply reply{body.kind, vote_answer::refused, {}};
    if (grant)
    {
        change_hard(hard.term, from.from);
        vote_given = true;
        reset_election_timer();
        reply.answer = vote_answer::granted;
        if constexpr (Strategy::exact)
        {
            reply.hint = Strategy::make_hint(log.outline(), 0);
        }
    }
    send(from.from, std::move(reply));
}

template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::on_message(const replica_message& from,
                                               vote_reply& body)
{
    const bool pre = body.kind == vote_kind::pre;
    const bool granted_pre = pre && body.answer == vote_answer::granted;
    if (!granted_pre && from.term > hard.term)
    {
        return become_follower(from.term, 0);
    }
    const auto wanted =
        pre ? replica_role_now::pre_candidate : replica_role_now::candidate;
    const term_number term = pre ? hard.term + 1 : hard.term;
    if (role != wanted || from.term != term ||
        body.answer != vote_answer::granted)
    {
        return;
    }
    const auto ids = voters();
    if (std::find(ids.begin(), ids.end(), from.from) == ids.end())
    {
        return;
    }
    granted.insert(from.from);
    if (!pre && Strategy::exact)
    {
        vote_hints[from.from] = body.hint;
    }
    if (granted.size() >= majority())
    {
        pre ? start_election(vote_kind::regular) : become_leader();
    }
}

template <reconcile_strategy Strategy>
void basic_replica<Strategy>::impl::on_message(const replica_message& from,
                                               take_over&)
{
    const bool from_leader = from.term == hard.term && from.from == leader;
    if (from_leader && role == replica_role_now::follower && votes())
    {
        start_election(vote_kind::transfer);
    }
}

template struct basic_replica<term_history>::impl;
template struct basic_replica<index_probing>::impl;
template struct basic_replica<term_probing>::impl;

} // namespace hyssopdeal::coordination
