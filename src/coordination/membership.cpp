#include "membership_impl.hpp"

#include <algorithm>
#include <memory>

namespace hyssopdeal::coordination
{

using protocol::gossip_kind;
using protocol::gossip_message;
using protocol::member_kind;
using protocol::member_state;
using protocol::member_update;
using transport::monotonic_time;

gossip_message membership::impl::make(gossip_kind kind)
{
    gossip_message message;
    message.kind = kind;
    message.from = self.name;
    message.applied_index = applied_index;
    message.highest_index = highest_index;
    message.table_digest = table.digest();
    return message;
}

void membership::impl::piggyback(gossip_message& message)
{
    const auto transmissions =
        settings.retransmit_multiplier * log2_ceiling(table.entries().size());
    for (const auto& name :
         queue.take(settings.piggyback_updates, transmissions))
    {
        if (const auto* entry = table.find(name))
        {
            message.updates.push_back(*entry);
        }
    }
}

void membership::impl::send(membership_actions& actions,
                            const std::string& address,
                            gossip_message message) const
{
    actions.sends.push_back({address, std::move(message)});
}

void membership::impl::merge(monotonic_time now, const member_update& update,
                             membership_actions& actions)
{
    if (update.name == self.name)
    {
        refute(now, update, actions);
        return;
    }
    const bool unknown_dead = update.state == member_state::dead &&
                              table.find(update.name) == nullptr &&
                              update.kind != member_kind::backend_server;
    if (!unknown_dead && table.merge(update))
    {
        changed(now, *table.find(update.name), actions);
    }
}

void membership::impl::refute(monotonic_time now, const member_update& update,
                              membership_actions& actions)
{
    if (!supersedes(update, self))
    {
        return;
    }
    // An entry of a higher incarnation is of a former life whose clock was
    // ahead; only one of this life can tell this instance to leave.
    if (update.state == member_state::leaving &&
        update.incarnation == self.incarnation)
    {
        self.state = member_state::leaving;
    }
    else
    {
        self.incarnation = update.incarnation + 1;
    }
    table.merge(self);
    changed(now, self, actions);
}

void membership::impl::changed(monotonic_time now, const member_update& entry,
                               membership_actions& actions)
{
    actions.changes.push_back(entry);
    changed_at = now;
    queue.add(entry.name);
    watch.add(entry.failure_domain == self.failure_domain
                  ? std::string{}
                  : entry.failure_domain);
    std::erase_if(suspicions, [&](const suspicion& item) {
        return item.name == entry.name;
    });
    if (entry.state == member_state::suspect &&
        entry.failure_domain == self.failure_domain)
    {
        suspicions.push_back(
            {entry.name, entry.incarnation, now + suspicion_time()});
    }
    if (entry.state == member_state::dead)
    {
        tombstones.push_back({entry.name, now + settings.dead_retention});
    }
    if (entry.state != member_state::alive)
    {
        urgent.push_back(entry.name);
        push_at = std::min(push_at, now + settings.push_delay);
    }
}

void membership::impl::note_sender(const gossip_message& message)
{
    auto& known = applied[message.from];
    known = std::max(known, message.applied_index);
    highest_index =
        std::max({highest_index, message.highest_index, message.applied_index});
    if (const auto* entry = table.find(message.from))
    {
        watch.on_message(entry->failure_domain);
    }
}

void membership::impl::handle_ack(const gossip_message& message,
                                  membership_actions& actions)
{
    std::erase_if(probes, [&](const pending_probe& waiting) {
        return waiting.sequence == message.sequence;
    });
    for (const auto& relay : relays)
    {
        if (relay.own_sequence == message.sequence)
        {
            auto ack = make(gossip_kind::ack);
            ack.sequence = relay.sequence;
            send(actions, relay.address, std::move(ack));
        }
    }
    std::erase_if(relays, [&](const relayed_probe& relay) {
        return relay.own_sequence == message.sequence;
    });
}

void membership::impl::handle_request(monotonic_time now,
                                      const std::string& from,
                                      const gossip_message& message,
                                      membership_actions& actions)
{
    auto ping = make(gossip_kind::ping);
    ping.sequence = ++sequence;
    relays.push_back(
        {sequence, message.sequence, from, now + settings.probe_interval});
    send(actions, message.target_address, std::move(ping));
}

void membership::impl::handle(monotonic_time now, const std::string& from,
                              const gossip_message& message,
                              membership_actions& actions)
{
    switch (message.kind)
    {
    case gossip_kind::ping: {
        auto ack = make(gossip_kind::ack);
        ack.sequence = message.sequence;
        piggyback(ack);
        send(actions, from, std::move(ack));
        break;
    }
    case gossip_kind::ack:
        handle_ack(message, actions);
        break;
    case gossip_kind::ping_request:
        handle_request(now, from, message, actions);
        break;
    case gossip_kind::digest:
        answer_digest(from, message, actions);
        break;
    case gossip_kind::push:
    case gossip_kind::entries:
        break;
    }
}

// Public ---------------------------------------------------------------------

membership::membership(membership_settings settings, member_update self,
                       const std::vector<member_update>& seeds,
                       std::uint64_t random_seed)
    : impl_(std::make_unique<impl>(settings, std::move(self), random_seed))
{
    membership_actions ignored;
    for (const auto& seed : seeds)
    {
        impl_->merge({}, seed, ignored);
    }
    // Every other instance has the seeds from its own settings.
    impl_->queue = {};
    impl_->table.merge(impl_->self);
    impl_->changed({}, impl_->self, ignored);
}

membership::membership(membership&&) noexcept = default;
membership& membership::operator=(membership&&) noexcept = default;
membership::~membership() = default;

membership_actions membership::tick(monotonic_time now)
{
    membership_actions actions;
    impl_->check_probes(now, actions);
    impl_->end_suspicions(now, actions);
    impl_->forget_dead(now);
    if (now >= impl_->next_probe_at)
    {
        impl_->next_probe_at = now + impl_->settings.probe_interval;
        impl_->start_probe(now, actions);
    }
    impl_->push(now, actions);
    return actions;
}

monotonic_time membership::next_deadline() const noexcept
{
    auto next = std::min(impl_->next_probe_at, impl_->push_at);
    for (const auto& waiting : impl_->probes)
    {
        next = std::min(next, waiting.helpers_asked ? waiting.fails_at
                                                    : waiting.ask_helpers_at);
    }
    for (const auto& item : impl_->suspicions)
    {
        next = std::min(next, item.ends_at);
    }
    return next;
}

membership_actions membership::receive(monotonic_time now,
                                       std::string_view from,
                                       const gossip_message& message)
{
    membership_actions actions;
    if (message.from == impl_->self.name)
    {
        return actions;
    }
    for (const auto& update : message.updates)
    {
        impl_->merge(now, update, actions);
    }
    impl_->note_sender(message);
    const std::string address{from};
    impl_->handle(now, address, message, actions);
    impl_->maybe_sync(now, address, message, actions);
    return actions;
}

membership_actions membership::announce_leaving(monotonic_time now)
{
    membership_actions actions;
    auto update = impl_->self;
    update.state = member_state::leaving;
    impl_->merge(now, update, actions);
    return actions;
}

membership_actions membership::report(monotonic_time now,
                                      const member_update& update)
{
    membership_actions actions;
    impl_->merge(now, update, actions);
    return actions;
}

void membership::set_applied_index(std::uint64_t index) noexcept
{
    impl_->applied_index = std::max(impl_->applied_index, index);
    impl_->highest_index = std::max(impl_->highest_index, index);
}

std::uint64_t membership::highest_index() const noexcept
{
    return impl_->highest_index;
}

std::uint64_t membership::applied_index_of(std::string_view name) const noexcept
{
    if (name == impl_->self.name)
    {
        return impl_->applied_index;
    }
    const auto found = impl_->applied.find(std::string{name});
    return found == impl_->applied.end() ? 0 : found->second;
}

const member_table& membership::table() const noexcept
{
    return impl_->table;
}

const member_update& membership::self() const noexcept
{
    return impl_->self;
}

bool membership::is_usable(std::string_view name) const noexcept
{
    const auto* entry = impl_->table.find(name);
    if (entry == nullptr || entry->state >= member_state::leaving)
    {
        return false;
    }
    return entry->failure_domain == impl_->self.failure_domain ||
           impl_->watch.state(entry->failure_domain) == reachability::reachable;
}

std::vector<domain_status> membership::domains() const
{
    std::vector<domain_status> result;
    result.push_back({impl_->self.failure_domain, reachability::reachable});
    for (const auto& domain : impl_->watch.domains())
    {
        result.push_back({domain, impl_->watch.state(domain)});
    }
    for (auto& status : result)
    {
        for (const auto& entry : impl_->table.entries())
        {
            const bool counts = entry.failure_domain == status.failure_domain &&
                                entry.kind != member_kind::backend_server;
            status.alive +=
                counts && entry.state <= member_state::suspect ? 1 : 0;
            status.leaving +=
                counts && entry.state == member_state::leaving ? 1 : 0;
        }
    }
    return result;
}

} // namespace hyssopdeal::coordination
