#include "membership_impl.hpp"

#include <algorithm>
#include <iterator>

namespace hyssopdeal::coordination
{

using protocol::gossip_kind;
using protocol::gossip_message;
using protocol::member_update;
using transport::monotonic_time;

namespace
{

/// Entries that surely fit into one datagram.
constexpr std::size_t updates_per_datagram = 12;

} // namespace

void membership::impl::push(monotonic_time now, membership_actions& actions)
{
    if (now < push_at)
    {
        return;
    }
    push_at = monotonic_time::max();
    const auto names = std::exchange(urgent, {});
    for (const auto& target :
         picker.sample_own_domain(table, settings.push_fanout))
    {
        push_to(actions, target, names);
    }
    std::vector<std::string> own_news;
    std::copy_if(names.begin(), names.end(), std::back_inserter(own_news),
                 [&](const std::string& name) {
                     const auto* entry = table.find(name);
                     return entry != nullptr &&
                            entry->failure_domain == self.failure_domain;
                 });
    if (own_news.empty())
    {
        return;
    }
    for (const auto& domain : watch.domains())
    {
        if (const auto target = picker.random_in(table, domain))
        {
            push_to(actions, *target, own_news);
        }
    }
}

void membership::impl::push_to(membership_actions& actions,
                               const member_update& target,
                               const std::vector<std::string>& names)
{
    auto message = make(gossip_kind::push);
    for (const auto& name : names)
    {
        if (const auto* entry = table.find(name))
        {
            message.updates.push_back(*entry);
        }
        if (message.updates.size() == updates_per_datagram)
        {
            send(actions, target.gossip_address, message);
            message.updates.clear();
        }
    }
    if (!message.updates.empty())
    {
        send(actions, target.gossip_address, std::move(message));
    }
}

void membership::impl::maybe_sync(monotonic_time now,
                                  const std::string& address,
                                  const gossip_message& message,
                                  membership_actions& actions)
{
    // A fresh change is still on its way to the others by itself.
    const bool settled = now >= changed_at + settings.sync_interval;
    const bool differs = message.table_digest != table.digest();
    if (!differs || !settled || now < next_sync_at)
    {
        return;
    }
    next_sync_at = now + settings.sync_interval;
    auto request = make(gossip_kind::digest);
    request.buckets = table.buckets();
    send(actions, address, std::move(request));
}

void membership::impl::answer_digest(const std::string& address,
                                     const gossip_message& message,
                                     membership_actions& actions)
{
    auto answer = make(gossip_kind::entries);
    std::uint32_t datagrams = 0;
    for (auto& entry : table.differing(message.buckets))
    {
        answer.updates.push_back(std::move(entry));
        if (answer.updates.size() == updates_per_datagram)
        {
            send(actions, address, answer);
            answer.updates.clear();
            if (++datagrams == settings.sync_datagrams)
            {
                return;
            }
        }
    }
    if (!answer.updates.empty())
    {
        send(actions, address, std::move(answer));
    }
}

} // namespace hyssopdeal::coordination
