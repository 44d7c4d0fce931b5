#include "move_servers.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace hyssopdeal::coordination
{

namespace
{

bool serves(const version_server& server)
{
    return server.state == version_state::ready && may_serve(server);
}

double ready_slots(const move_view& view)
{
    double sum = 0;
    for (const auto& server : view.servers)
    {
        sum += serves(server) ? server.slots : 0;
    }
    return sum;
}

} // namespace

bool may_serve(const version_server& server)
{
    return server.state != version_state::failed && !server.leaving &&
           !server.evacuated;
}

double carried_share(const move_view& view)
{
    if (view.needed_slots <= 0)
    {
        return ready_slots(view) > 0 ? 1 : 0;
    }
    return std::min(1.0, ready_slots(view) / view.needed_slots);
}

bool spread_over_domains(const move_view& view)
{
    std::set<std::string> possible;
    std::set<std::string> ready;
    for (const auto& server : view.servers)
    {
        if (may_serve(server))
        {
            possible.insert(server.failure_domain);
        }
        if (serves(server))
        {
            ready.insert(server.failure_domain);
        }
    }
    return !ready.empty() && ready == possible;
}

std::vector<std::string> servers_to_hold(const move_view& view, double share)
{
    std::vector<std::string> held;
    std::vector<std::string> first;
    std::vector<std::string> rest;
    std::set<std::string> domains;
    std::size_t candidates = 0;
    for (const auto& server : view.servers)
    {
        if (!may_serve(server))
        {
            // Requests that run in an evacuated domain need what is loaded.
            if (server.evacuated && !server.leaving &&
                (server.state == version_state::ready ||
                 server.state == version_state::loading))
            {
                held.push_back(server.name);
            }
            continue;
        }
        ++candidates;
        const bool new_domain = domains.insert(server.failure_domain).second;
        const bool loaded = server.state != version_state::absent;
        (loaded ? held : new_domain ? first : rest).push_back(server.name);
    }
    const auto wanted = static_cast<std::size_t>(
        std::ceil(share * static_cast<double>(candidates)));
    held.insert(held.end(), first.begin(), first.end());
    for (std::size_t i = 0; i < rest.size() && held.size() < wanted; ++i)
    {
        held.push_back(rest[i]);
    }
    return held;
}

std::vector<protocol::version_share>
shares_during(const state::move_record& move, double new_share)
{
    std::vector<protocol::version_share> shares;
    double old_sum = 0;
    for (const auto& before : move.before)
    {
        if (before.version != move.order.version && before.share > 0)
        {
            shares.push_back(before);
            old_sum += before.share;
        }
    }
    for (auto& share : shares)
    {
        share.share *= (1 - new_share) / old_sum;
    }
    shares.push_back({move.order.version, shares.empty() ? 1 : new_share});
    return shares;
}

std::vector<std::string> versions_before(const state::move_record& move)
{
    std::vector<std::string> versions;
    for (const auto& before : move.before)
    {
        if (before.version != move.order.version && before.share > 0)
        {
            versions.push_back(before.version);
        }
    }
    return versions;
}

} // namespace hyssopdeal::coordination
