/// @file
/// Orders to evacuate a failure domain.

#include <hyssopdeal/coordination/evacuation/evacuation_orders.hpp>

#include <algorithm>

#include <fmt/format.h>

namespace hyssopdeal::coordination
{

using state::purchase_phase;

// [domains] ------------------------------------------------------------------

domain_names known_domains(const state::control_tables& tables,
                           const std::vector<protocol::member_update>& members)
{
    domain_names known;
    for (const auto& [name, record] : tables.services)
    {
        for (const auto& server : record.service.servers)
        {
            known.insert(server.failure_domain);
        }
    }
    for (const auto& [id, purchase] : tables.purchases)
    {
        if (purchase.phase == purchase_phase::ordered ||
            purchase.phase == purchase_phase::started)
        {
            known.insert(purchase.failure_domain);
        }
    }
    for (const auto& replica : tables.replicas.members)
    {
        known.insert(replica.failure_domain);
    }
    for (const auto& member : members)
    {
        known.insert(member.failure_domain);
    }
    for (const auto& [domain, record] : tables.evacuations)
    {
        known.insert(domain);
    }
    known.erase(std::string{}); // Members whose domain is not known.
    return known;
}

transport::result<void> check_domain(const domain_names& known,
                                     const std::string& domain)
{
    if (known.contains(domain))
    {
        return {};
    }
    return transport::fail(
        transport::reason::not_found,
        known.empty() ? "No failure domain is known."
                      : fmt::format("No such failure domain; known are {}.",
                                    fmt::join(known, ", ")));
}

// [orders] -------------------------------------------------------------------

domain_names evacuated_in(const state::control_tables& tables)
{
    domain_names evacuated;
    for (const auto& [domain, record] : tables.evacuations)
    {
        if (record.in_force())
        {
            evacuated.insert(domain);
        }
    }
    return evacuated;
}

domain_names evacuated_in(const protocol::control_view& view)
{
    domain_names evacuated;
    for (const auto& order : view.evacuations)
    {
        evacuated.insert(order.failure_domain);
    }
    return evacuated;
}

// [servers] ------------------------------------------------------------------

bool has_evacuated_server(const protocol::service& service,
                          const domain_names& evacuated)
{
    return !evacuated.empty() &&
           std::ranges::any_of(service.servers, [&](const auto& server) {
               return evacuated.contains(server.failure_domain);
           });
}

} // namespace hyssopdeal::coordination
