#include "matrix_control_world.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace hyssopdeal::tests::matrix
{

namespace
{

using namespace std::chrono_literals;
using namespace coordination;

constexpr std::chrono::milliseconds tick_time{20};
constexpr std::chrono::milliseconds disk_time{3};

state::replica_member member_of(std::uint64_t id, state::replica_role role)
{
    state::replica_member member;
    member.id = id;
    member.name = fmt::format("control-{}", id);
    member.role = role;
    return member;
}

std::string_view label_of(const replica_message& message)
{
    static constexpr std::string_view names[] = {
        "vote request", "vote reply",     "append",   "append reply",
        "snapshot",     "snapshot reply", "take over"};
    return names[message.body.index()];
}

} // namespace

control_world::control_world(matrix_world& world, std::size_t count)
    : world_(world)
{
    settings_.propose_time_limit = 1'500ms;
    settings_.snapshot_records = 5;
    settings_.replica.kept_records = 2;
    for (std::uint64_t id = 1; id <= count; ++id)
    {
        first_.members.push_back(member_of(id, state::replica_role::voter));
    }
    first_.next_id = count + 1;
    replicas_.reserve(count + 4);
    for (std::uint64_t id = 1; id <= count; ++id)
    {
        add_process(id, bootstrap_request(id, first_));
    }
}

std::size_t control_world::add_replica(std::uint64_t id)
{
    return add_process(id, join_request(id));
}

std::size_t control_world::add_process(std::uint64_t id,
                                       const state::persist_request& first)
{
    const auto at = replicas_.size();
    sim_replica made;
    made.id = id;
    made.disk = std::make_shared<faulty_disk>();
    made.node =
        world_.add_node(fmt::format("control-{}", id), fmt::format("d{}", id),
                        {[this, at](node_end how) { stop(at, how); },
                         [this, at] { start(at); }});
    sim_replica::storage_type storage{matrix_files{made.disk, sync_rule::kept}};
    if (!storage.open() || !storage.write(first))
    {
        world_.violation("A new disk could not be written.");
    }
    replicas_.push_back(std::move(made));
    start(at);
    return at;
}

void control_world::start(std::size_t at)
{
    auto& self = replicas_[at];
    if (self.lost_disk)
    {
        return; // It would come back under a new id.
    }
    self.storage.emplace(matrix_files{
        self.disk, world_.breaks(matrix_break::skip_sync) ? sync_rule::skipped
                                                          : sync_rule::kept});
    auto recovered = self.storage->open();
    if (!recovered)
    {
        return world_.violation("A replica's disk is damaged: " +
                                recovered.error().text);
    }
    auto made = control_machine::make(settings_, std::move(*recovered),
                                      world_.random(), world_.now());
    if (!made)
    {
        return world_.violation("A replica does not start: " +
                                made.error().text);
    }
    self.machine.emplace(std::move(*made));
    self.source.emplace(learning_settings{});
    tick(at);
}

void control_world::stop(std::size_t at, node_end how)
{
    auto& self = replicas_[at];
    self.machine.reset();
    self.storage.reset();
    self.source.reset();
    self.waiting.clear();
    self.disk->crash(world_.random);
    self.lost_disk = self.lost_disk || how == node_end::crashed_and_lost_disk;
}

void control_world::tick(std::size_t at)
{
    auto& self = replicas_[at];
    take(at, self.machine->step(world_.now(), wall(), tick_event{}));
    if (self.machine && on_push)
    {
        const auto pushes =
            self.source->push(world_.now(), self.machine->state().tables());
        for (const auto& item : pushes)
        {
            on_push(at, item);
        }
    }
    world_.after(self.node, tick_time, [this, at] { tick(at); });
}

transport::wall_time control_world::wall() const
{
    return world_.clock().wall_now();
}

void control_world::take(std::size_t at, machine_actions actions)
{
    auto& self = replicas_[at];
    for (const auto& item : actions.committed)
    {
        note_committed(item);
    }
    if (actions.persist)
    {
        persist(at, *actions.persist);
    }
    for (auto& message : actions.sends)
    {
        const auto to = std::find_if(
            replicas_.begin(), replicas_.end(),
            [&](const sim_replica& other) { return other.id == message.to; });
        if (to == replicas_.end())
        {
            continue;
        }
        const auto place = static_cast<std::size_t>(to - replicas_.begin());
        world_.send(self.node, to->node, std::string(label_of(message)),
                    [this, place, message] {
                        auto& other = replicas_[place];
                        if (other.machine)
                        {
                            take(place,
                                 other.machine->step(world_.now(), wall(),
                                                     message_event{message}));
                        }
                    });
    }
    for (auto& item : actions.results)
    {
        const auto found = self.waiting.find(item.id);
        if (found != self.waiting.end())
        {
            const auto callback = std::move(found->second);
            self.waiting.erase(found);
            callback(std::move(item.result));
        }
    }
}

void control_world::persist(std::size_t at,
                            const state::persist_request& request)
{
    auto& self = replicas_[at];
    if (world_.breaks(matrix_break::early_persist))
    {
        world_.after(self.node, 0ms, [this, at, number = request.number] {
            auto& early = replicas_[at];
            take(at, early.machine->step(world_.now(), wall(),
                                         persisted_event{number}));
        });
        world_.after(self.node, 20 * disk_time,
                     [this, at, request] { write(at, request); });
        return;
    }
    world_.after(self.node, disk_time, [this, at, request] {
        write(at, request);
        auto& later = replicas_[at];
        if (later.machine)
        {
            take(at, later.machine->step(world_.now(), wall(),
                                         persisted_event{request.number}));
        }
    });
}

void control_world::write(std::size_t at, const state::persist_request& request)
{
    auto kept = request;
    if (world_.breaks(matrix_break::forget_vote) && kept.hard)
    {
        kept.hard->voted_for = 0;
        kept.hard->term = 1;
    }
    const auto written = replicas_[at].storage->write(kept);
    if (!written)
    {
        world_.violation("A disk could not be written: " +
                         written.error().text);
    }
}

void control_world::note_committed(const committed_command& item)
{
    const auto bytes = state::encode(item.command);
    const auto [known, added] = committed_.emplace(item.index, bytes);
    if (!added && known->second != bytes)
    {
        world_.violation(
            fmt::format("Record {} differs between replicas.", item.index));
    }
}

void control_world::propose(std::size_t replica, state::command command,
                            sim_replica::callback on_result)
{
    auto& self = replicas_[replica];
    if (!self.machine)
    {
        return;
    }
    const auto number = ++proposals_;
    if (world_.breaks(matrix_break::answer_before_commit) &&
        self.machine->may_read(world_.now()))
    {
        state::command_result early;
        early.body = state::write_result{};
        on_result(early);
        on_result = [](const auto&) {};
    }
    self.waiting.emplace(number, std::move(on_result));
    take(replica, self.machine->propose(world_.now(), wall(), number,
                                        std::move(command)));
}

void control_world::change(std::size_t replica, replica_change change,
                           std::uint64_t id, sim_replica::callback on_result)
{
    auto& self = replicas_[replica];
    if (!self.machine)
    {
        return;
    }
    const auto number = ++proposals_;
    self.waiting.emplace(number, std::move(on_result));
    take(replica,
         self.machine->step(
             world_.now(), wall(),
             change_event{number, change,
                          member_of(id, state::replica_role::learner)}));
}

const control_machine* control_world::leader() const
{
    const auto place = leader_place();
    return place < replicas_.size() ? &*replicas_[place].machine : nullptr;
}

std::size_t control_world::leader_place() const
{
    std::size_t place = 0;
    while (place < replicas_.size() &&
           !(replicas_[place].machine &&
             replicas_[place].machine->may_read(world_.now())))
    {
        ++place;
    }
    return place;
}

bool control_world::can_agree() const
{
    const auto alive =
        std::count_if(replicas_.begin(), replicas_.end(),
                      [](const sim_replica& self) { return !self.lost_disk; });
    return 2 * static_cast<std::size_t>(alive) > first_.members.size();
}

} // namespace hyssopdeal::tests::matrix
