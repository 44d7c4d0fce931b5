#include "gossip_network.hpp"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include <fmt/format.h>

namespace hyssopdeal::standins
{

using coordination::membership;
using coordination::membership_actions;
using coordination::membership_settings;
using protocol::member_state;
using protocol::member_update;
using transport::monotonic_time;

namespace
{

constexpr std::size_t header_bytes = 32 + 28; // HMAC, UDP and IP headers
constexpr std::chrono::microseconds same_domain_delay{200};
constexpr std::chrono::microseconds cross_domain_delay{1'500};
constexpr std::uint64_t first_incarnation = 1'000;

} // namespace

gossip_network::gossip_network(std::size_t nodes, std::size_t domains,
                               std::uint64_t seed)
    : domains_(domains),
      random_(seed)
{
    std::vector<member_update> everyone;
    for (std::size_t node = 0; node < nodes; ++node)
    {
        everyone.push_back(entry_of(node, first_incarnation));
    }
    nodes_.reserve(nodes);
    for (std::size_t node = 0; node < nodes; ++node)
    {
        start(node, everyone);
    }
}

member_update gossip_network::entry_of(std::size_t node,
                                       std::uint64_t incarnation)
{
    member_update entry;
    entry.name = fmt::format("n{}", node);
    entry.gossip_address = fmt::format("{}", node);
    entry.peer_address = fmt::format("127.0.0.1:{}", node);
    entry.failure_domain = fmt::format("d{}", node % domains_);
    entry.incarnation = incarnation;
    return entry;
}

void gossip_network::start(std::size_t node,
                           const std::vector<member_update>& seeds)
{
    const auto incarnation =
        first_incarnation +
        static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(
                now_.time_since_epoch())
                .count()) -
        static_cast<std::uint64_t>(3'600'000);
    membership made{membership_settings{}, entry_of(node, incarnation), seeds,
                    random_()};
    const auto first_tick = now_ + std::chrono::milliseconds{random_() % 500};
    if (node < nodes_.size())
    {
        nodes_[node] = std::move(made);
        stopped_[node] = false;
        due_[node] = first_tick;
        return;
    }
    nodes_.push_back(std::move(made));
    stopped_.push_back(false);
    due_.push_back(first_tick);
}

void gossip_network::run_for(std::chrono::milliseconds span)
{
    const auto end = now_ + span;
    constexpr std::chrono::milliseconds step{1};
    while (now_ < end)
    {
        now_ += step;
        while (!in_flight_.empty() && in_flight_.top().arrives <= now_)
        {
            const auto arrived = in_flight_.top();
            in_flight_.pop();
            deliver(arrived);
        }
        for (std::size_t node = 0; node < nodes_.size(); ++node)
        {
            if (!stopped_[node] && due_[node] <= now_)
            {
                send(node, nodes_[node].tick(now_));
                due_[node] = nodes_[node].next_deadline();
            }
        }
    }
}

void gossip_network::stop(std::size_t node)
{
    stopped_[node] = true;
}

void gossip_network::restart(std::size_t node)
{
    std::vector<member_update> seeds;
    for (std::size_t seed = 0; seed < domains_; ++seed)
    {
        seeds.push_back(entry_of(seed, 0));
    }
    start(node, seeds);
}

void gossip_network::lose(filter chosen)
{
    lost_ = std::move(chosen);
}

void gossip_network::report(std::size_t node, const member_update& update)
{
    send(node, nodes_[node].report(now_, update));
    due_[node] = nodes_[node].next_deadline();
}

void gossip_network::announce_leaving(std::size_t node)
{
    send(node, nodes_[node].announce_leaving(now_));
    due_[node] = nodes_[node].next_deadline();
}

membership& gossip_network::at(std::size_t node)
{
    return nodes_[node];
}

std::size_t gossip_network::size() const noexcept
{
    return nodes_.size();
}

bool gossip_network::is_stopped(std::size_t node) const
{
    return stopped_[node];
}

std::size_t gossip_network::domain_of(std::size_t node) const noexcept
{
    return node % domains_;
}

monotonic_time gossip_network::now() const noexcept
{
    return now_;
}

const gossip_traffic& gossip_network::traffic() const noexcept
{
    return traffic_;
}

std::size_t gossip_network::seen_by(std::string_view name, member_state state)
{
    std::size_t count = 0;
    for (std::size_t node = 0; node < nodes_.size(); ++node)
    {
        const auto* entry = nodes_[node].table().find(name);
        const bool seen = entry != nullptr && entry->state >= state;
        count += !stopped_[node] && seen ? 1 : 0;
    }
    return count;
}

void gossip_network::send(std::size_t from, const membership_actions& made)
{
    for (const auto& item : made.sends)
    {
        const auto to = static_cast<std::size_t>(
            std::strtoull(item.address.c_str(), nullptr, 10));
        auto bytes = protocol::encode_gossip(item.message);
        ++traffic_.datagrams;
        traffic_.bytes += bytes.size() + header_bytes;
        if (lost_ && lost_(from, to))
        {
            continue;
        }
        const auto delay = domain_of(from) == domain_of(to)
                               ? same_domain_delay
                               : cross_domain_delay;
        in_flight_.push({now_ + delay, ++order_, from, to, std::move(bytes)});
    }
}

void gossip_network::deliver(const datagram& arrived)
{
    if (stopped_[arrived.to])
    {
        return;
    }
    const auto message = protocol::decode_gossip(arrived.bytes);
    if (!message)
    {
        std::abort(); // Nothing but encode_gossip() makes these bytes.
    }
    send(arrived.to, nodes_[arrived.to].receive(
                         now_, fmt::format("{}", arrived.from), *message));
    due_[arrived.to] = nodes_[arrived.to].next_deadline();
}

} // namespace hyssopdeal::standins
