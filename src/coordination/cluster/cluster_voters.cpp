/// @file
/// Which replicas of a cluster vote.

#include <hyssopdeal/coordination/cluster/cluster_voters.hpp>

#include <algorithm>

namespace hyssopdeal::coordination
{

namespace
{

using state::replica_member;
using state::replica_role;

/// A member with what the leader knows of it.
struct seen_member
{
    replica_member member;
    bool gone = false;
    bool caught_up = false;
};

std::vector<seen_member> look_at(transport::monotonic_time now,
                                 const replica_status& status,
                                 const std::vector<follower_status>& followers,
                                 const cluster_voter_settings& settings)
{
    std::vector<seen_member> seen;
    for (const auto& member : status.replicas.members)
    {
        seen_member item{member};
        const auto follower =
            std::find_if(followers.begin(), followers.end(),
                         [&](const auto& at) { return at.id == member.id; });
        const bool own = member.id == status.id;
        const bool known = follower != followers.end();
        // A later id at the same address means that this disk is lost.
        const bool superseded = std::any_of(
            status.replicas.members.begin(), status.replicas.members.end(),
            [&](const auto& other) {
                return other.address == member.address && other.id > member.id;
            });
        item.gone = !own && (superseded || !known ||
                             now - follower->contact > settings.gone_after);
        item.caught_up =
            !own && known && !item.gone && follower->match >= status.commit;
        seen.push_back(std::move(item));
    }
    return seen;
}

change_event make(replica_change change, const replica_member& member)
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
    const auto seen = look_at(now, status, followers, settings);
    std::size_t voters = 0;
    std::size_t ready = 0;
    const seen_member* gone_voter = nullptr;
    const seen_member* gone_learner = nullptr;
    const seen_member* next = nullptr;
    for (const auto& item : seen)
    {
        const bool voter = item.member.role == replica_role::voter;
        voters += voter ? 1 : 0;
        if (item.gone)
        {
            (voter ? gone_voter : gone_learner) = &item;
        }
        else if (!voter && item.caught_up)
        {
            ++ready;
            next = next == nullptr ? &item : next;
        }
    }
    const bool even = voters % 2 == 0;
    if (even && gone_voter != nullptr)
    {
        return make(replica_change::remove, gone_voter->member);
    }
    if (next != nullptr && (even || ready >= 2 || gone_voter != nullptr))
    {
        return make(replica_change::promote, next->member);
    }
    if (gone_learner != nullptr)
    {
        return make(replica_change::remove, gone_learner->member);
    }
    return std::nullopt;
}

// [founding] -----------------------------------------------------------------

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
    const auto found =
        std::find_if(replicas.members.begin(), replicas.members.end(),
                     [&](const auto& at) { return at.address == address; });
    return found == replicas.members.end() ? 0 : found->id;
}

} // namespace hyssopdeal::coordination
