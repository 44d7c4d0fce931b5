#include "fleet_demands.hpp"

#include <algorithm>
#include <set>

#include <hyssopdeal/coordination/evacuation/evacuation_orders.hpp>

namespace hyssopdeal::coordination
{

namespace
{

using state::purchase_phase;

bool is_bought(const state::control_tables& tables, const std::string& server)
{
    return std::ranges::any_of(tables.purchases, [&server](const auto& item) {
        return item.second.instance == server;
    });
}

service_load load_of(const protocol::service& service,
                     const measured_load& measured, double part)
{
    service_load load;
    load.busy_slots = measured.busy_slots * part;
    load.interactive_slots = load.busy_slots * measured.interactive_part;
    if (measured.requests_per_second > 0)
    {
        const std::chrono::duration<double> each{measured.busy_slots /
                                                 measured.requests_per_second};
        load.duration =
            std::chrono::duration_cast<std::chrono::milliseconds>(each);
    }
    load.wait_limit = service.first_token_target / 2;
    return load;
}

/// Part of the service's load that a version has to be able to carry.
double part_of(const protocol::service& service,
               const protocol::version_share& share,
               const measured_load& measured,
               const std::vector<version_slots>& wanted)
{
    const auto moving = std::ranges::find_if(wanted, [&](const auto& item) {
        return item.service == service.name && item.version == share.version;
    });
    if (moving == wanted.end())
    {
        // The old version keeps all it had until the move has ended.
        return service.shares.size() > 1 ? 1 : share.share;
    }
    const double next = measured.busy_slots > 0
                            ? moving->slots / measured.busy_slots
                            : share.share;
    return std::max(share.share, next);
}

/// A bought server is like the declared ones of its service.
protocol::backend_server server_of(const protocol::service& service,
                                   const state::purchase_record& purchase)
{
    auto server = service.servers.empty() ? protocol::backend_server{}
                                          : service.servers.front();
    server.name = purchase.instance;
    server.address = purchase.address;
    server.failure_domain = purchase.failure_domain;
    server.version = purchase.version;
    server.price = purchase.price;
    server.checks_orders = false;
    return server;
}

} // namespace

void add_demands(const protocol::service& service,
                 const measured_load& measured,
                 const std::vector<version_slots>& wanted,
                 const state::control_tables& tables,
                 std::vector<fleet_demand>& to)
{
    const auto evacuated = evacuated_in(tables);
    for (const auto& share : service.shares)
    {
        fleet_demand demand;
        demand.service = service.name;
        demand.version = share.version;
        demand.load = load_of(service, measured,
                              part_of(service, share, measured, wanted));
        for (const auto& server : service.servers)
        {
            demand.slots_per_instance = std::max(server.slots, 1U);
            if (server.version == share.version &&
                !is_bought(tables, server.name) &&
                !tables.leaving.contains(server.name) &&
                !evacuated.contains(server.failure_domain))
            {
                demand.declared_slots += server.slots;
            }
        }
        to.push_back(std::move(demand));
    }
}

std::vector<protocol::backend_server> servers_with_bought(
    const protocol::service& service, const state::control_tables& tables,
    const std::function<bool(const state::purchase_record&)>& serves)
{
    auto servers = service.servers;
    std::set<std::string> gone;
    for (const auto& [id, purchase] : tables.purchases)
    {
        if (purchase.service != service.name)
        {
            continue;
        }
        if (purchase.phase == purchase_phase::released)
        {
            gone.insert(purchase.instance);
            continue;
        }
        const bool known = std::ranges::any_of(
            servers, [&purchase = purchase](const auto& server) {
                return server.name == purchase.instance;
            });
        const bool ready =
            service.kind == protocol::service_kind::plain || serves(purchase);
        if (purchase.phase == purchase_phase::started && !known && ready)
        {
            servers.push_back(server_of(service, purchase));
        }
    }
    std::erase_if(servers, [&gone](const auto& server) {
        return gone.contains(server.name);
    });
    return servers;
}

} // namespace hyssopdeal::coordination
