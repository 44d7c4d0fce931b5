/// @file
/// Paths to servers: directly or through other gateways.

#include <hyssopdeal/coordination/gateway/server_reach.hpp>

#include <algorithm>

#include <hyssopdeal/transport/event_log.hpp>

namespace hyssopdeal::coordination
{

using transport::log_event;
using transport::monotonic_time;

server_reach::server_reach(server_reach_settings settings, std::uint64_t seed)
    : settings_(settings),
      random_(seed)
{}

// [servers] ------------------------------------------------------------------

void server_reach::set_servers(
    const std::vector<protocol::listed_server>& servers)
{
    std::map<std::string, std::string> next;
    for (const auto& server : servers)
    {
        next[server.id] = server.address;
    }
    const auto has_left = [&](const auto& item) {
        const auto listed = next.find(item.first);
        return listed == next.end() || listed->second != listed_[item.first];
    };
    std::erase_if(unreached_, has_left);
    std::erase_if(down_until_, has_left);
    listed_ = std::move(next);
}

void server_reach::on_reached(monotonic_time now, const std::string& server)
{
    reached_at_ = now;
    down_until_.erase(server);
    if (unreached_.erase(server) > 0)
    {
        log_event("server.reached_directly",
                  {{"server", server}, {"left", unreached_.size()}});
        // The partition has probably ended for the other servers too.
        next_probe_ = now;
    }
}

void server_reach::on_unreached(monotonic_time now, const std::string& server)
{
    if (!listed_.contains(server))
    {
        return;
    }
    const bool before = partitioned();
    if (unreached_.try_emplace(server, unreached_server{now, now}).second &&
        !before && partitioned())
    {
        log_event("servers.partitioned", {{"unreached", unreached_.size()},
                                          {"cut_off", cut_off()},
                                          {"helpers", helpers_.size()}});
    }
}

bool server_reach::partitioned() const
{
    return unreached_.size() >= settings_.min_unreached;
}

bool server_reach::cut_off() const
{
    return static_cast<std::size_t>(std::count_if(
               unreached_.begin(), unreached_.end(), [&](const auto& item) {
                   return item.second.since > reached_at_;
               })) >= settings_.min_unreached;
}

// [helpers] ------------------------------------------------------------------

std::vector<std::string>
server_reach::set_helpers(const std::vector<std::string>& relays)
{
    std::map<std::string, monotonic_time> next;
    for (const auto& relay : relays)
    {
        const auto known = helpers_.find(relay);
        next[relay] =
            known == helpers_.end() ? monotonic_time{} : known->second;
    }
    std::vector<std::string> dropped;
    for (const auto& [relay, paused_until] : helpers_)
    {
        if (!next.contains(relay))
        {
            dropped.push_back(relay);
        }
    }
    helpers_ = std::move(next);
    return dropped;
}

std::vector<std::string> server_reach::helpers() const
{
    std::vector<std::string> relays;
    for (const auto& [relay, paused_until] : helpers_)
    {
        relays.push_back(relay);
    }
    return relays;
}

void server_reach::on_helper_failed(monotonic_time now,
                                    const std::string& relay)
{
    const auto known = helpers_.find(relay);
    if (known != helpers_.end())
    {
        known->second = now + settings_.helper_pause;
    }
}

void server_reach::on_helper_unreached(monotonic_time now,
                                       const std::string& server)
{
    if (listed_.contains(server))
    {
        down_until_[server] = now + settings_.server_pause;
    }
}

std::optional<std::string>
server_reach::relay_for(monotonic_time now, const std::string& server,
                        const relay_filter& connected)
{
    const auto down = down_until_.find(server);
    const bool may_help =
        unreached_.contains(server) ? partitioned() : cut_off();
    if (!may_help || (down != down_until_.end() && down->second > now))
    {
        return std::nullopt;
    }
    std::vector<std::string> usable;
    for (const auto& [relay, paused_until] : helpers_)
    {
        if (paused_until > now)
        {
            continue;
        }
        if (connected && connected(relay))
        {
            return relay;
        }
        usable.push_back(relay);
    }
    if (usable.empty())
    {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> draw{0, usable.size() - 1};
    return usable[draw(random_)];
}

// [probes] -------------------------------------------------------------------

std::vector<std::string> server_reach::due_probes(monotonic_time now)
{
    std::vector<std::string> due;
    if (unreached_.empty() || now < next_probe_)
    {
        return due;
    }
    // After one server was reached again, all others are probed.
    const bool healing = reached_at_ != monotonic_time{} &&
                         now - reached_at_ < settings_.probe_interval;
    next_probe_ = now + settings_.probe_interval;
    const auto oldest = std::min_element(
        unreached_.begin(), unreached_.end(),
        [](const auto& left, const auto& right) {
            return left.second.probed_at < right.second.probed_at;
        });
    for (auto at = unreached_.begin(); at != unreached_.end(); ++at)
    {
        if (healing || at == oldest)
        {
            at->second.probed_at = now;
            due.push_back(at->first);
        }
    }
    if (const auto other = cut_off() ? draw_not_failed() : std::nullopt)
    {
        due.push_back(*other);
    }
    return due;
}

/// @return A random server to which no connection has failed.
std::optional<std::string> server_reach::draw_not_failed()
{
    std::vector<std::string> others;
    for (const auto& [id, address] : listed_)
    {
        if (!unreached_.contains(id))
        {
            others.push_back(id);
        }
    }
    if (others.empty())
    {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> draw{0, others.size() - 1};
    return others[draw(random_)];
}

} // namespace hyssopdeal::coordination
