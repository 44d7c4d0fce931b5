/// @file
/// Lookup of routes, API keys and services in a configuration document.

#include <hyssopdeal/coordination/gateway/route_table.hpp>

#include <algorithm>
#include <cctype>
#include <utility>

namespace hyssopdeal::coordination
{

namespace
{

std::string to_lower(std::string_view text)
{
    std::string result{text};
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char character) {
                       return static_cast<char>(std::tolower(character));
                   });
    return result;
}

} // namespace

route_table::route_table(protocol::service_document document)
    : document_(std::move(document))
{
    for (const auto& route : document_.routes)
    {
        routes_.emplace(to_lower(route.host) + ' ' + route.path_prefix, &route);
    }
    for (const auto& organisation : document_.organisations)
    {
        for (const auto& key : organisation.keys)
        {
            organisations_.emplace(key, &organisation);
        }
    }
    for (const auto& service : document_.services)
    {
        services_.emplace(service.name, &service);
    }
}

const protocol::document_route*
route_table::find_route(std::string_view host, std::string_view target) const
{
    auto path = target.substr(0, target.find('?'));
    const auto host_key = to_lower(host.substr(0, host.find(':'))) + ' ';
    // Route prefixes end with a slash, so only these are candidates.
    for (auto end = path.rfind('/'); end != std::string_view::npos;
         end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1))
    {
        const auto found =
            routes_.find(host_key + std::string{path.substr(0, end + 1)});
        if (found != routes_.end())
        {
            return found->second;
        }
    }
    return nullptr;
}

const protocol::organisation_terms*
route_table::find_organisation(std::string_view key) const
{
    const auto found = organisations_.find(std::string{key});
    return found == organisations_.end() ? nullptr : found->second;
}

const protocol::document_service*
route_table::find_service(std::string_view name) const
{
    const auto found = services_.find(std::string{name});
    return found == services_.end() ? nullptr : found->second;
}

} // namespace hyssopdeal::coordination
