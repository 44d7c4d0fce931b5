/// @file
/// The control process: drives its replica.

#include "coordination/control_process_impl.hpp"

#include <algorithm>
#include <utility>

#include <hyssopdeal/transport/logging.hpp>

namespace hyssopdeal::coordination
{

using protocol::peer_channel;
using transport::log_part;

namespace
{

constexpr std::chrono::milliseconds tick_interval{20};
constexpr std::chrono::milliseconds promote_interval{200};

} // namespace

// [steps] --------------------------------------------------------------------

void control_process::impl::tick()
{
    step(tick_event{});
    const auto now = clock.monotonic_now();
    if (disk_full && leads().role == leadership_role::leader)
    {
        step(transfer_event{});
    }
    if (now >= next_promotion)
    {
        next_promotion = now + promote_interval;
        promote_learners();
    }
    push_declarations();
    members->set_applied_index(machine->state().applied_index());
    if (draining)
    {
        const bool leading = leads().role == leadership_role::leader;
        if (!leading || now >= drain_until)
        {
            return loop.stop();
        }
    }
    ticker = loop.after(tick_interval, [this] { tick(); });
}

void control_process::impl::step(replica_event event)
{
    take(machine->step(clock.monotonic_now(), clock.wall_now(),
                       std::move(event)));
}

void control_process::impl::take(machine_actions actions)
{
    if (actions.persist)
    {
        disk->write(std::move(*actions.persist));
    }
    for (const auto& message : actions.sends)
    {
        send(message);
    }
    for (const auto& item : actions.committed)
    {
        for (const auto& handler : committed_handlers)
        {
            handler(item.index, item.command, item.result);
        }
    }
    if (actions.change == leadership_change::changed)
    {
        const auto status = machine->status(clock.monotonic_now());
        know_members(status.replicas);
        transport::log_info(log_part::log,
                            "Leadership changed. term={} leader={} leads={}",
                            status.leads.term, status.leads.leader,
                            status.leads.role == leadership_role::leader);
        follow_leadership(status.leads);
        for (const auto& handler : leadership_handlers)
        {
            handler(status.leads);
        }
    }
    for (auto& item : actions.results)
    {
        const auto found = waiting.find(item.id);
        if (found != waiting.end())
        {
            auto callback = std::move(found->second);
            waiting.erase(found);
            callback(std::move(item.result));
        }
    }
    if (!actions.committed.empty())
    {
        members->set_applied_index(machine->state().applied_index());
        push_declarations();
        const bool contracts = std::any_of(
            actions.committed.begin(), actions.committed.end(),
            [](const auto& item) {
                const auto& body = item.command.body;
                return std::holds_alternative<state::put_contract>(body) ||
                       std::holds_alternative<state::delete_contract>(body);
            });
        if (contracts)
        {
            give_contracts();
        }
    }
}

void control_process::impl::written(std::uint64_t number,
                                    const transport::result<void>& done)
{
    if (done)
    {
        step(persisted_event{number});
        return set_disk_full(machine->status(clock.monotonic_now()).disk_full,
                             {});
    }
    if (done.error().code == transport::reason::storage_full)
    {
        set_disk_full(true, done.error().text);
        return step(disk_full_event{number});
    }
    transport::log_error(log_part::log,
                         "The disk has failed, this replica is silent. {}",
                         done.error().text);
    step(disk_failed_event{});
}

void control_process::impl::set_disk_full(bool full, const std::string& why)
{
    if (std::exchange(disk_full, full) != full)
    {
        full ? transport::log_error(
                   log_part::log, "The disk is full; nothing new is stored. {}",
                   why)
             : transport::log_info(log_part::log, "The disk has room again.");
    }
}

// [replicas] -----------------------------------------------------------------

void control_process::impl::send(const replica_message& message)
{
    const auto found = names.find(message.to);
    if (found == names.end())
    {
        know_members(machine->status(clock.monotonic_now()).replicas);
    }
    const auto known = names.find(message.to);
    if (known != names.end())
    {
        hub->send(known->second, peer_channel::replication, encode(message));
    }
}

void control_process::impl::on_replica_message(const std::string& from,
                                               const std::string& payload)
{
    auto message = decode_replica_message(payload);
    if (!message || message->to != settings.id)
    {
        transport::log_warning(log_part::log, "Dropped a message. from={}",
                               from);
        return;
    }
    const auto known = names.try_emplace(message->from, from);
    if (known.first->second != from)
    {
        transport::log_warning(
            log_part::log, "Dropped a message under a wrong id. from={} id={}",
            from, message->from);
        return;
    }
    step(message_event{std::move(*message)});
}

/// A learner that has caught up gets its vote.
void control_process::impl::promote_learners()
{
    const auto status = machine->status(clock.monotonic_now());
    if (status.leads.role != leadership_role::leader)
    {
        return;
    }
    for (const auto& member : status.replicas.members)
    {
        if (member.role == state::replica_role::learner)
        {
            return change(replica_change::promote, member, [](auto) {});
        }
    }
}

void control_process::impl::change(replica_change kind,
                                   state::replica_member member,
                                   propose_callback on_result)
{
    const auto id = ++next_proposal;
    waiting.emplace(id, std::move(on_result));
    step(change_event{id, kind, std::move(member)});
    know_members(machine->status(clock.monotonic_now()).replicas);
}

// [control_node] -------------------------------------------------------------

void control_process::impl::propose(state::command value,
                                    propose_callback on_result)
{
    if (disk_full)
    {
        return on_result(transport::fail(transport::reason::storage_full,
                                         "This replica's disk is full."));
    }
    const auto id = ++next_proposal;
    waiting.emplace(id, std::move(on_result));
    take(machine->propose(clock.monotonic_now(), clock.wall_now(), id,
                          std::move(value)));
}

const state::control_state& control_process::impl::state() const
{
    return machine->state();
}

leadership control_process::impl::leads() const
{
    return machine->status(clock.monotonic_now()).leads;
}

void control_process::impl::on_committed(committed_handler handler)
{
    committed_handlers.push_back(std::move(handler));
}

void control_process::impl::on_leadership(leadership_handler handler)
{
    leadership_handlers.push_back(std::move(handler));
}

control_access control_process::impl::access()
{
    control_access made;
    made.state = [this]() -> const state::control_state& {
        return machine->state();
    };
    made.may_read = [this] { return machine->may_read(clock.monotonic_now()); };
    made.status = [this] { return machine->status(clock.monotonic_now()); };
    made.propose = [this](auto command, auto callback) {
        propose(std::move(command), std::move(callback));
    };
    made.change = [this](auto kind, auto member, auto callback) {
        change(kind, std::move(member), std::move(callback));
    };
    made.members = [this]() -> const membership& { return members->state(); };
    return made;
}

void control_process::impl::drain()
{
    constexpr int patience = 3;
    draining = true;
    drain_until = clock.monotonic_now() +
                  settings.machine.replica.election_timeout * patience;
    members->announce_leaving();
    step(transfer_event{});
}

} // namespace hyssopdeal::coordination
