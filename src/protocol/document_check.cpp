/// @file
/// Findings in a configuration document.

#include <hyssopdeal/protocol/document_check.hpp>

#include <algorithm>
#include <cctype>
#include <map>
#include <set>
#include <string_view>
#include <utility>

#include <fmt/format.h>

namespace hyssopdeal::protocol
{

namespace
{

using enum finding_severity;

std::string to_lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char character) {
                       return static_cast<char>(std::tolower(character));
                   });
    return text;
}

/// Collects findings of one place after another.
class finding_list
{
public:
    void set_place(std::string_view kind, const std::string& name)
    {
        place_ = fmt::format("{} {}", kind, name);
    }

    void add_if(bool found, finding_severity severity, std::string text)
    {
        if (found)
        {
            items.push_back({severity, place_, std::move(text)});
        }
    }

    std::vector<document_finding> items;

private:
    std::string place_;
};

void check_matching(const document_route& route,
                    std::map<std::string, std::string>& first_hosts,
                    finding_list& found)
{
    const auto& prefix = route.path_prefix;
    found.add_if(route.host.empty(), warning,
                 "its host is empty: no request with a host matches.");
    found.add_if(route.host.find(':') != std::string::npos, warning,
                 "its host contains a port or colon, which is cut off from a "
                 "request's host: no request matches.");
    found.add_if(!prefix.starts_with('/') || !prefix.ends_with('/'), warning,
                 fmt::format("its prefix '{}' does not begin and end with a "
                             "slash: no request matches.",
                             prefix));
    found.add_if(prefix.find('?') != std::string::npos, warning,
                 "its prefix contains a question mark, and a request's query "
                 "is not compared: no request matches.");
    // The same host in the same case is an error of the document.
    const auto first =
        first_hosts.emplace(to_lower(route.host) + ' ' + prefix, route.host)
            .first;
    found.add_if(first->second != route.host, warning,
                 "an earlier route has its host and prefix, as hosts are "
                 "compared without regard to case: no request matches.");
}

void check_route_limits(const document_route& route, finding_list& found)
{
    const auto limit = route.time_limit;
    found.add_if(limit.count() > 0 && route.target_latency > limit, warning,
                 fmt::format("its target latency of {} ms is above its time "
                             "limit of {} ms.",
                             route.target_latency.count(), limit.count()));
    found.add_if(limit.count() > 0 && route.target_gap > limit, warning,
                 fmt::format("its target gap of {} ms is above its time limit "
                             "of {} ms.",
                             route.target_gap.count(), limit.count()));
    found.add_if(route.max_attempts == 0, warning,
                 "its attempts are limited to 0: a request is not tried again "
                 "even if its server did not run it.");
}

void check_routes(const service_document& document, bool any_key,
                  finding_list& found)
{
    std::map<std::string, std::string> first_hosts;
    for (const auto& route : document.routes)
    {
        found.set_place("Route", route.name);
        check_matching(route, first_hosts, found);
        check_route_limits(route, found);
        for (const auto& share : route.shares)
        {
            found.add_if(share.weight == 0, warning,
                         fmt::format("its share of service {} has weight 0: "
                                     "the service gets no requests by it.",
                                     share.service));
        }
        found.add_if(route.needs_key && !any_key, warning,
                     "it needs a key, but no organisation has one: all "
                     "requests are refused.");
    }
}

void check_services(const service_document& document, finding_list& found)
{
    std::set<std::string> used;
    for (const auto& route : document.routes)
    {
        for (const auto& share : route.shares)
        {
            used.insert(share.service);
        }
    }
    std::set<std::string> names;
    for (const auto& service : document.services)
    {
        found.set_place("Service", service.name);
        found.add_if(!names.insert(service.name).second, warning,
                     "an earlier service has its name: this entry has no "
                     "effect.");
        found.add_if(!used.contains(service.name), warning,
                     "no route uses it.");
        const auto scaling = service.scaling.value_or(scaling_terms{});
        found.add_if(scaling.least > scaling.most, warning,
                     fmt::format("its least number of servers, {}, is above "
                                 "the most, {}.",
                                 scaling.least, scaling.most));
        const bool cold = service.cold_start.count() > 0;
        found.add_if(cold && service.cold_per_s <= 0, warning,
                     "it states how long a server is cold, but not how many "
                     "requests per second a cold server tolerates.");
        found.add_if(!cold && service.cold_per_s > 0, warning,
                     "it states how many requests per second a cold server "
                     "tolerates, but not how long a server is cold.");
    }
}

void check_quota(const organisation_terms& terms, finding_list& found)
{
    const double plain =
        terms.counts_tokens ? terms.tokens_of_plain_request : 1;
    const bool limited = terms.tokens_per_second > 0;
    found.add_if(limited && terms.burst_tokens <= 0, warning,
                 "it has a rate but no burst.");
    found.add_if(limited && terms.burst_tokens > 0 &&
                     terms.burst_tokens < plain,
                 warning,
                 fmt::format("its burst of {} tokens is below the {} of a "
                             "plain request.",
                             terms.burst_tokens, plain));
    found.add_if(!limited && terms.burst_tokens > 0, warning,
                 "it has a burst but no rate: its requests are not limited.");
}

void check_organisations(const service_document& document, finding_list& found)
{
    const bool key_needed =
        std::any_of(document.routes.begin(), document.routes.end(),
                    [](const auto& route) { return route.needs_key; });
    std::set<std::string> names;
    for (const auto& terms : document.organisations)
    {
        found.set_place("Organisation", terms.name);
        found.add_if(!names.insert(terms.name).second, warning,
                     "an earlier organisation has its name.");
        found.add_if(terms.keys.empty(), warning,
                     "it has no keys: no request is counted as its own.");
        found.add_if(!terms.keys.empty() && !key_needed, warning,
                     "no route needs a key: its keys and quota have no "
                     "effect.");
        check_quota(terms, found);
    }
}

} // namespace

std::vector<document_finding> check_document(const service_document& document,
                                             const service_document* in_force)
{
    finding_list found;
    for (auto& fault : find_faults(document))
    {
        found.items.push_back(
            {error, std::move(fault.place), std::move(fault.text)});
    }
    const bool any_key = std::any_of(
        document.organisations.begin(), document.organisations.end(),
        [](const auto& terms) { return !terms.keys.empty(); });
    check_routes(document, any_key, found);
    check_services(document, found);
    check_organisations(document, found);
    found.set_place("Limits", "of callers");
    found.add_if(document.limits.max_head_bytes >
                     document.limits.max_body_bytes,
                 note, "the limit of headers is above that of bodies.");
    found.set_place("Version", fmt::to_string(document.version));
    found.add_if(in_force != nullptr && document.version <= in_force->version &&
                     !compare_documents(*in_force, document).empty(),
                 warning,
                 "it is not above the version in force: the document will be "
                 "accepted without effect.");
    return std::move(found.items);
}

} // namespace hyssopdeal::protocol
