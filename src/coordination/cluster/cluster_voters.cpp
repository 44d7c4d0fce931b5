/// @file
/// Membership changes of the replica set.

#include <hyssopdeal/coordination/cluster/cluster_voters.hpp>

#include <algorithm>

namespace hyssopdeal::coordination
{

namespace
{

using state::replica_member;
using state::replica_role;

/// A member of the replica set with its state as seen by the leader.
struct member_view
{
    replica_member member;
    bool unreachable = false;
    bool caught_up = false;
};

std::vector<member_view>
view_members(transport::monotonic_time now, const replica_status& status,
             const std::vector<follower_status>& followers,
             const cluster_voter_settings& settings)
{
    std::vector<member_view> views;
    for (const auto& member : status.replicas.members)
    {
        member_view item{member};
        const auto follower = std::find_if(
            followers.begin(), followers.end(),
            [&](const auto& other) { return other.id == member.id; });
        const bool own = member.id == status.id;
        const bool known = follower != followers.end();
        // A replica that lost its disk rejoins from the same address under a
        // higher id.
        const bool superseded = std::any_of(
            status.replicas.members.begin(), status.replicas.members.end(),
            [&](const auto& other) {
                return other.address == member.address && other.id > member.id;
            });
        item.unreachable =
            !own && (superseded || !known ||
                     now - follower->contact > settings.unreachable_after);
        item.caught_up = !own && known && !item.unreachable &&
                         follower->match >= status.commit;
        views.push_back(std::move(item));
    }
    return views;
}

change_event make_change(replica_change change, const replica_member& member)
{
    return {0, change, member};
}

} // namespace

std::optional<change_event>
next_voter_change(transport::monotonic_time now, const replica_status& status,
                  const std::vector<follower_status>& followers,
                  const cluster_voter_settings& settings)
{
    if (status.leads.role != leadership_role::leader ||
        status.replicas_index > status.commit)
    {
        return std::nullopt;
    }
    const auto views = view_members(now, status, followers, settings);
    std::size_t voters = 0;
    std::size_t ready_learners = 0;
    const member_view* unreachable_voter = nullptr;
    const member_view* unreachable_learner = nullptr;
    const member_view* candidate = nullptr;
    for (const auto& item : views)
    {
        const bool voter = item.member.role == replica_role::voter;
        voters += voter ? 1 : 0;
        if (item.unreachable)
        {
            (voter ? unreachable_voter : unreachable_learner) = &item;
        }
        else if (!voter && item.caught_up)
        {
            ++ready_learners;
            candidate = candidate == nullptr ? &item : candidate;
        }
    }
    const bool even = voters % 2 == 0;
    if (even && unreachable_voter != nullptr)
    {
        return make_change(replica_change::remove, unreachable_voter->member);
    }
    if (candidate != nullptr &&
        (even || ready_learners >= 2 || unreachable_voter != nullptr))
    {
        return make_change(replica_change::promote, candidate->member);
    }
    if (unreachable_learner != nullptr)
    {
        return make_change(replica_change::remove, unreachable_learner->member);
    }
    return std::nullopt;
}

// [bootstrap] ----------------------------------------------------------------

state::replica_set bootstrap_replicas(const std::vector<std::string>& addresses)
{
    state::replica_set set;
    for (const auto& address : addresses)
    {
        replica_member member;
        member.id = set.next_id++;
        member.name = address;
        member.address = address;
        member.role = replica_role::voter;
        set.members.push_back(std::move(member));
    }
    return set;
}

std::uint64_t bootstrap_replica_id(const state::replica_set& replicas,
                                   const std::string& address)
{
    const auto found = std::find_if(
        replicas.members.begin(), replicas.members.end(),
        [&](const auto& member) { return member.address == address; });
    return found == replicas.members.end() ? 0 : found->id;
}

} // namespace hyssopdeal::coordination
