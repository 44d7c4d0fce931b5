/// @file
/// Checks of the configuration document.

#include <hyssopdeal/protocol/service_document.hpp>

#include <set>
#include <utility>

#include <fmt/format.h>

#include <hyssopdeal/transport/http_message.hpp>

namespace hyssopdeal::protocol
{

namespace
{

using transport::fail;
using transport::reason;

transport::result<void> check_route(const document_route& route,
                                    const std::set<std::string>& services)
{
    std::uint64_t weights = 0;
    for (const auto& share : route.shares)
    {
        if (!services.contains(share.service))
        {
            return fail(reason::bad_request,
                        fmt::format("Route {}: service {} is not declared.",
                                    route.name, share.service));
        }
        weights += share.weight;
    }
    if (weights == 0)
    {
        return fail(
            reason::bad_request,
            fmt::format("Route {}: its weights add up to 0.", route.name));
    }
    if (route.time_limit.count() <= 0)
    {
        return fail(reason::bad_request,
                    fmt::format("Route {}: its time limit must be above 0 ms.",
                                route.name));
    }
    return {};
}

} // namespace

transport::result<void> check(const service_document& document)
{
    std::set<std::string> services;
    for (const auto& service : document.services)
    {
        services.insert(service.name);
    }
    std::set<std::string> places;
    for (const auto& route : document.routes)
    {
        if (auto checked = check_route(route, services); !checked)
        {
            return checked;
        }
        if (!places.insert(route.host + ' ' + route.path_prefix).second)
        {
            return fail(reason::bad_request,
                        fmt::format("Route {}: another route has host {} and "
                                    "prefix {}.",
                                    route.name, route.host, route.path_prefix));
        }
    }
    std::set<std::string> keys;
    for (const auto& organisation : document.organisations)
    {
        const std::set<std::string> own(organisation.keys.begin(),
                                        organisation.keys.end());
        for (const auto& key : own)
        {
            if (!keys.insert(key).second)
            {
                return fail(reason::bad_request,
                            fmt::format("Organisation {}: one of its keys "
                                        "belongs to another organisation too.",
                                        organisation.name));
            }
        }
    }
    return {};
}

} // namespace hyssopdeal::protocol
