#include "membership_impl.hpp"

#include <algorithm>
#include <iterator>

namespace hyssopdeal::coordination
{

using protocol::gossip_kind;
using protocol::member_kind;
using protocol::member_state;
using protocol::member_update;
using transport::monotonic_time;

std::chrono::nanoseconds membership::impl::suspicion_time() const
{
    const auto own =
        std::count_if(table.entries().begin(), table.entries().end(),
                      [&](const member_update& entry) {
                          return entry.failure_domain == self.failure_domain &&
                                 entry.kind != member_kind::backend_server;
                      });
    const std::chrono::nanoseconds scaled =
        settings.probe_interval * settings.suspicion_multiplier *
        log2_ceiling(static_cast<std::size_t>(own));
    return std::max<std::chrono::nanoseconds>(scaled,
                                              settings.suspicion_minimum);
}

void membership::impl::start_probe(monotonic_time now,
                                   membership_actions& actions)
{
    ++probe_count;
    const bool crosses = probe_count % settings.cross_domain_every == 0;
    const auto domain = crosses ? watch.next_domain() : std::string{};
    const auto target =
        domain.empty()
            ? picker.next_probe_target(table)
            : picker.random_in(table, domain, watch.last_failed(domain));
    if (target)
    {
        probe(now, *target, actions);
    }
}

void membership::impl::probe(monotonic_time now, const member_update& target,
                             membership_actions& actions)
{
    auto message = make(gossip_kind::ping);
    message.sequence = ++sequence;
    piggyback(message);
    if (const auto* entry = table.find(target.name);
        entry != nullptr && entry->state == member_state::suspect)
    {
        message.updates.push_back(*entry);
    }
    send(actions, target.gossip_address, std::move(message));
    probes.push_back({target, sequence, now + settings.probe_time_limit,
                      now + settings.probe_interval, false});
}

void membership::impl::check_probes(monotonic_time now,
                                    membership_actions& actions)
{
    std::vector<pending_probe> failed;
    for (auto& waiting : probes)
    {
        if (now >= waiting.fails_at)
        {
            failed.push_back(waiting);
        }
        else if (now >= waiting.ask_helpers_at && !waiting.helpers_asked)
        {
            ask_helpers(waiting, actions);
        }
    }
    std::erase_if(probes, [&](const pending_probe& waiting) {
        return now >= waiting.fails_at;
    });
    for (const auto& waiting : failed)
    {
        probe_failed(now, waiting, actions);
    }
    std::erase_if(relays, [&](const relayed_probe& relay) {
        return now >= relay.expires_at;
    });
}

void membership::impl::ask_helpers(pending_probe& waiting,
                                   membership_actions& actions)
{
    waiting.helpers_asked = true;
    if (waiting.target.failure_domain != self.failure_domain)
    {
        return;
    }
    for (const auto& helper : picker.probe_relays(
             table, settings.indirect_probes, waiting.target.name))
    {
        auto message = make(gossip_kind::ping_request);
        message.sequence = waiting.sequence;
        message.target = waiting.target.name;
        message.target_address = waiting.target.gossip_address;
        send(actions, helper.gossip_address, std::move(message));
    }
}

void membership::impl::probe_failed(monotonic_time now,
                                    const pending_probe& waiting,
                                    membership_actions& actions)
{
    if (waiting.target.failure_domain != self.failure_domain)
    {
        watch.on_probe_failed(waiting.target.failure_domain,
                              waiting.target.name);
        return;
    }
    const auto* entry = table.find(waiting.target.name);
    if (entry == nullptr || entry->incarnation != waiting.target.incarnation ||
        entry->state == member_state::dead)
    {
        return;
    }
    auto update = *entry;
    // A leaving member cannot become suspect again: its silence ends it.
    update.state = entry->state == member_state::leaving
                       ? member_state::dead
                       : member_state::suspect;
    merge(now, update, actions);
}

void membership::impl::end_suspicions(monotonic_time now,
                                      membership_actions& actions)
{
    std::vector<suspicion> ended;
    std::copy_if(suspicions.begin(), suspicions.end(),
                 std::back_inserter(ended),
                 [&](const suspicion& item) { return now >= item.ends_at; });
    for (const auto& item : ended)
    {
        const auto* entry = table.find(item.name);
        if (entry != nullptr && entry->state == member_state::suspect)
        {
            auto update = *entry;
            update.state = member_state::dead;
            merge(now, update, actions);
        }
    }
}

void membership::impl::forget_dead(monotonic_time now)
{
    std::erase_if(tombstones, [&](const tombstone& item) {
        if (now < item.ends_at)
        {
            return false;
        }
        const auto* entry = table.find(item.name);
        if (entry != nullptr && entry->state == member_state::dead)
        {
            table.erase(item.name);
            applied.erase(item.name);
        }
        return true;
    });
}

} // namespace hyssopdeal::coordination
