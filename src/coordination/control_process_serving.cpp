/// @file
/// The control process: answers entries.

#include "coordination/control_process_impl.hpp"

#include <utility>

#include "coordination/grant_wire.hpp"
#include "coordination/ledger_wire.hpp"

namespace hyssopdeal::coordination
{

using protocol::peer_channel;

// [entries] ------------------------------------------------------------------

void control_process::impl::on_follow(
    const std::string& payload, const protocol::peer_hub::reply_function& reply)
{
    const auto request = decode_follow_request(payload);
    if (!request)
    {
        return;
    }
    reply(encode(source.answer(clock.monotonic_now(), machine->state().tables(),
                               *request)));
}

void control_process::impl::push_declarations()
{
    const auto pushes =
        source.push(clock.monotonic_now(), machine->state().tables());
    for (const auto& item : pushes)
    {
        hub->send(item.to, peer_channel::learning, encode(item.update));
    }
}

void control_process::impl::on_ledger(
    const std::string& payload, const protocol::peer_hub::reply_function& reply)
{
    auto command = decode_ledger_request(payload);
    if (!command)
    {
        return;
    }
    propose(std::move(*command), [this, reply](auto result) {
        reply(encode_ledger_reply({std::move(result), leader_name()}));
    });
}

// [grants] -------------------------------------------------------------------

/// Grants are the leader's alone: a new one waits until those of the former
/// have expired, so that they need no records.
void control_process::impl::follow_leadership(const leadership& now_leads)
{
    if (now_leads.role != leadership_role::leader)
    {
        allocator.reset();
        return;
    }
    if (!allocator || allocator_term != now_leads.term)
    {
        allocator_term = now_leads.term;
        allocator.emplace(clock.monotonic_now(), now_leads.term,
                          grant_settings{});
        give_contracts();
    }
}

void control_process::impl::give_contracts()
{
    if (!allocator)
    {
        return;
    }
    std::vector<protocol::organisation_contract> contracts;
    for (const auto& [name, record] : machine->state().tables().contracts)
    {
        contracts.push_back(record.contract);
    }
    allocator->set_contracts(contracts);
}

/// Not answered by others than the leader within its lease: the node asks
/// another replica.
void control_process::impl::on_grant_request(
    const std::string& payload, const protocol::peer_hub::reply_function& reply)
{
    const auto now = clock.monotonic_now();
    const auto request = decode_grant_request(payload);
    if (request && allocator && machine->may_read(now))
    {
        reply(encode(allocator->on_request(now, *request)));
    }
}

// [ledger] -------------------------------------------------------------------

std::string control_process::impl::leader_name() const
{
    return machine->status(clock.monotonic_now()).leads.leader;
}

} // namespace hyssopdeal::coordination
