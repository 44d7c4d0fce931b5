/// @file
/// Checks of the configuration document.

#include <hyssopdeal/protocol/service_document.hpp>

#include <set>

#include <fmt/format.h>

namespace hyssopdeal::protocol
{

namespace
{

void find_route_faults(const document_route& route,
                       const std::set<std::string>& services,
                       std::vector<document_fault>& faults)
{
    const auto place = fmt::format("Route {}", route.name);
    std::uint64_t weights = 0;
    for (const auto& share : route.shares)
    {
        if (!services.contains(share.service))
        {
            faults.push_back({place, fmt::format("service {} is not declared.",
                                                 share.service)});
        }
        weights += share.weight;
    }
    if (weights == 0)
    {
        faults.push_back({place, "its weights add up to 0."});
    }
    if (route.time_limit.count() <= 0)
    {
        faults.push_back({place, "its time limit must be above 0 ms."});
    }
}

void find_key_faults(const std::vector<organisation_terms>& organisations,
                     std::vector<document_fault>& faults)
{
    std::set<std::string> keys;
    for (const auto& organisation : organisations)
    {
        const std::set<std::string> own(organisation.keys.begin(),
                                        organisation.keys.end());
        bool shared = false;
        for (const auto& key : own)
        {
            shared = !keys.insert(key).second || shared;
        }
        if (shared)
        {
            faults.push_back(
                {fmt::format("Organisation {}", organisation.name),
                 "one of its keys belongs to another organisation too."});
        }
    }
}

} // namespace

std::vector<document_fault> find_faults(const service_document& document)
{
    std::set<std::string> services;
    for (const auto& service : document.services)
    {
        services.insert(service.name);
    }
    std::vector<document_fault> faults;
    std::set<std::string> places;
    for (const auto& route : document.routes)
    {
        find_route_faults(route, services, faults);
        if (!places.insert(route.host + ' ' + route.path_prefix).second)
        {
            faults.push_back(
                {fmt::format("Route {}", route.name),
                 fmt::format("another route has host {} and prefix {}.",
                             route.host, route.path_prefix)});
        }
    }
    find_key_faults(document.organisations, faults);
    return faults;
}

transport::result<void> check(const service_document& document)
{
    const auto faults = find_faults(document);
    if (faults.empty())
    {
        return {};
    }
    return transport::fail(
        transport::reason::bad_request,
        fmt::format("{}: {}", faults.front().place, faults.front().text));
}

} // namespace hyssopdeal::protocol
