/// @file
/// Finding the cluster and becoming a member of it.

#include "coordination/cluster/cluster_process_impl.hpp"

#include <algorithm>
#include <random>

#include <hyssopdeal/transport/digest.hpp>
#include <hyssopdeal/transport/event_log.hpp>

namespace hyssopdeal::coordination
{

using protocol::join_answer;
using protocol::join_message;
using protocol::join_state;
using protocol::peer_channel;
using transport::log_event;

namespace
{

constexpr std::chrono::milliseconds join_request_interval{200};
constexpr std::chrono::milliseconds join_request_time_limit{400};
// Longer than an election: a member asks other replicas only if no leader was
// elected in that time.
constexpr std::chrono::milliseconds leader_contact_timeout{1'500};
// Range of random ids; large enough that two joining replicas get different
// ids.
constexpr std::uint64_t random_id_range = std::uint64_t{1} << 40U;

} // namespace

std::set<std::string> cluster_process::impl::other_replicas() const
{
    auto others = known_replicas;
    others.insert(settings.seeds.begin(), settings.seeds.end());
    others.erase(own_address);
    return others;
}

/// Asks the other replicas for the leader while this replica has no id, is not
/// a member or gets no messages from a leader.
void cluster_process::impl::find_cluster()
{
    const auto now = clock.monotonic_now();
    const auto current = status();
    // The recorded leader id is no sign of contact: a removed replica keeps it
    // and gets no more messages from that leader.
    if (leads() || last_leader_contact == transport::monotonic_time{})
    {
        last_leader_contact = now;
    }
    const bool member = std::any_of(
        current.replicas.members.begin(), current.replicas.members.end(),
        [&](const auto& other) { return other.id == current.id; });
    const bool settled =
        member && now - last_leader_contact < leader_contact_timeout;
    if (settled || disk_failed || bootstrap_id != 0 || now < next_join_request)
    {
        return;
    }
    next_join_request = now + join_request_interval;
    const join_message request{current.id, own_address, settings.operators,
                               settings.failure_domain};
    for (const auto& address : other_replicas())
    {
        hub->set_peer(address, address);
        hub->call(address, peer_channel::joining, protocol::encode(request),
                  join_request_time_limit,
                  [this, address, id = current.id](const auto& answer) {
                      if (status().id == id)
                      {
                          on_join_answer(address, answer);
                      }
                  });
    }
}

void cluster_process::impl::on_join_answer(
    const std::string& from, const transport::result<std::string>& bytes)
{
    if (!bytes)
    {
        return;
    }
    const auto answer = protocol::decode_join_answer(*bytes);
    if (!answer)
    {
        return log_event("peer.bad_message", {{"what", "join answer"}});
    }
    known_replicas.insert(answer->replicas.begin(), answer->replicas.end());
    if (!answer->leader.empty())
    {
        known_replicas.insert(answer->leader);
    }
    if (answer->state == join_state::next_id && !machine)
    {
        std::mt19937_64 random{transport::random_seed()};
        std::uniform_int_distribution<std::uint64_t> draw{0, random_id_range};
        join_with_id(answer->next_id + draw(random));
    }
    else if (answer->state == join_state::removed && machine)
    {
        log_event("cluster.removed", {{"told_by", from}});
        discard_replica_state();
    }
}

/// The leader offers an id, adds the replica as a learner, or tells it that its
/// id was removed. Other replicas only answer with the addresses of the members
/// and the leader.
join_answer cluster_process::impl::on_join_request(const join_message& request)
{
    join_answer answer;
    const auto current = status();
    for (const auto& member : current.replicas.members)
    {
        answer.replicas.push_back(member.address);
        if (member.id == current.leader_id)
        {
            answer.leader = member.address;
        }
    }
    // A request without an id comes from a process with an empty disk. An
    // address belongs to one process at a time, so the member at that address
    // lost its disk.
    const auto lost = std::find_if(
        current.replicas.members.begin(), current.replicas.members.end(),
        [&](const auto& member) { return member.address == request.address; });
    if (request.id == 0 && lost != current.replicas.members.end())
    {
        step(voter_lost_event{lost->id});
    }
    // An uncommitted replica set may still be rolled back.
    if (!leads() || current.replicas_index > current.commit)
    {
        return answer;
    }
    answer.next_id = current.replicas.next_id;
    if (request.id == 0)
    {
        answer.state = join_state::next_id;
        return answer;
    }
    for (const auto& member : current.replicas.members)
    {
        if (member.id == request.id)
        {
            answer.state = join_state::member;
            return answer;
        }
    }
    if (request.id < current.replicas.next_id)
    {
        answer.state = join_state::removed;
        return answer;
    }
    answer.state = join_state::joining;
    state::replica_member member;
    member.id = request.id;
    member.name = request.address;
    member.address = request.address;
    member.operators = request.operators;
    member.failure_domain = request.failure_domain;
    log_event("cluster.adds", {{"id", member.id}, {"address", member.address}});
    step(change_event{++next_proposal, replica_change::add_learner,
                      std::move(member)});
    return answer;
}

void cluster_process::impl::join_with_id(std::uint64_t id)
{
    control_disk::storage_type storage{
        state::posix_files{settings.data_folder}};
    auto recovered = storage.open();
    auto written =
        recovered
            ? storage.write(join_request(id))
            : transport::result<void>{tl::make_unexpected(recovered.error())};
    if (written)
    {
        recovered->hard.id = id;
        written = use_disk(std::move(storage), std::move(*recovered));
    }
    if (!written && written.error().code == transport::reason::storage_full)
    {
        // The next join request gets another random id.
        return set_disk_full(true, written.error().text);
    }
    if (!written)
    {
        return on_disk_error(written.error().text);
    }
    set_disk_full(false, {});
}

/// Wipes the disk of a removed replica, whose id can't become a member again.
/// The replica then joins with a new id.
void cluster_process::impl::discard_replica_state()
{
    machine.reset();
    disk.reset();
    ++disk_epoch;
    disk_busy = false;
    pending_proposals.clear();
    on_leadership_change();
    state::posix_files files{settings.data_folder};
    const auto names = files.list();
    if (!names)
    {
        return log_event("disk.failed", {{"error", names.error().text}});
    }
    for (const auto& name : *names)
    {
        if (const auto removed = files.remove(name); !removed)
        {
            log_event("disk.failed", {{"error", removed.error().text}});
        }
    }
    if (const auto synced = files.sync_folder(); !synced)
    {
        log_event("disk.failed", {{"error", synced.error().text}});
    }
}

} // namespace hyssopdeal::coordination
