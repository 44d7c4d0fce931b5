/// @file
/// How many servers of which kind to order.

#include <hyssopdeal/coordination/cluster/capacity_plan.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

#include <fmt/format.h>

namespace hyssopdeal::coordination
{

using transport::monotonic_time;

capacity_planner::capacity_planner(capacity_settings settings)
    : settings_(settings)
{}

capacity_planner::order_state&
capacity_planner::state_of(const capacity_order& order)
{
    return states_[fmt::format("{} {} {}", order.service, order.domain,
                               static_cast<int>(order.kind))];
}

std::vector<capacity_order> capacity_planner::step(
    monotonic_time now,
    const std::vector<protocol::document_service>& services,
    const std::vector<protocol::listed_server>& servers,
    const std::map<std::string, double>& running)
{
    std::vector<capacity_order> orders;
    for (const auto& service : services)
    {
        if (!service.scaling || service.scaling->domain_prices.empty())
        {
            continue;
        }
        domain_counts ready;
        for (const auto& server : servers)
        {
            const bool counts = server.service == service.name &&
                                server.state == protocol::server_state::ready;
            if (counts)
            {
                auto& count = ready[server.failure_domain];
                ++(server.reclaimable ? count.reclaimable : count.usual);
            }
        }
        const auto load = running.find(service.name);
        plan(now, service, ready, load == running.end() ? 0 : load->second,
             orders);
    }
    return orders;
}

/// @return How many servers the load needs, a multiple of the domains.
std::uint32_t capacity_planner::wanted(monotonic_time now,
                                       const std::string& service,
                                       std::size_t domains, double running)
{
    auto& peak = peaks_[service];
    if (running >= peak.running || now - peak.at > settings_.peak_memory)
    {
        peak = {running, now};
    }
    const auto least =
        static_cast<std::uint32_t>(settings_.least_in_domain * domains);
    const auto by_load = static_cast<std::uint32_t>(
        std::ceil(peak.running / settings_.running_on_server));
    return std::max(least, by_load);
}

void capacity_planner::plan(monotonic_time now,
                            const protocol::document_service& service,
                            const domain_counts& ready, double running,
                            std::vector<capacity_order>& orders)
{
    const auto& scaling = *service.scaling;
    std::vector<std::pair<double, std::string>> domains;
    for (const auto& [domain, price] : scaling.domain_prices)
    {
        domains.emplace_back(price, domain);
    }
    std::sort(domains.begin(), domains.end());
    const auto total = wanted(now, service.name, domains.size(), running);
    std::uint32_t ready_all = 0;
    std::uint32_t ready_reclaimable = 0;
    for (const auto& [domain, count] : ready)
    {
        ready_all += count.usual + count.reclaimable;
        ready_reclaimable += count.reclaimable;
    }
    const auto least = std::max(
        static_cast<std::uint32_t>(domains.size()),
        static_cast<std::uint32_t>(std::ceil(peaks_[service.name].running /
                                             settings_.crowded_on_server)));
    auto missing = ready_all < least ? least - ready_all : 0;
    std::uint32_t left = total;
    for (std::size_t at = 0; at < domains.size(); ++at)
    {
        const auto& domain = domains[at].second;
        const auto found = ready.find(domain);
        const auto here =
            found == ready.end() ? domain_count{} : found->second;
        // The cheapest domains take what does not divide evenly.
        const auto rest = static_cast<std::uint32_t>(domains.size() - at);
        const auto part = std::min((left + rest - 1) / rest, scaling.most);
        left -= std::min(left, part);
        capacity_order reclaimable{service.name, domain,
                                   server_kind::reclaimable, part};
        capacity_order usual{service.name, domain, server_kind::usual,
                             here.usual};
        const bool refused = state_of(reclaimable).refused;
        if (missing > 0 && refused && usual.count < scaling.most)
        {
            ++usual.count;
            --missing;
        }
        else if (here.reclaimable >= part && ready_reclaimable >= least)
        {
            usual.count = 0;
        }
        reclaimable.count =
            std::min(part, scaling.most - std::min(scaling.most, usual.count));
        want(now, reclaimable, here.reclaimable, orders);
        want(now, usual, here.usual, orders);
    }
}

void capacity_planner::want(monotonic_time now, capacity_order order,
                            std::uint32_t ready,
                            std::vector<capacity_order>& orders)
{
    auto& state = state_of(order);
    if (state.asked || now < state.not_before)
    {
        return;
    }
    const bool same = state.ordered && state.count == order.count;
    // What runs already needs no order; what was ordered may still be starting.
    const bool met = !state.ordered && ready == order.count;
    const bool waits = same && (ready == order.count ||
                                now - state.sent < settings_.repeat_interval);
    if (met || waits)
    {
        return;
    }
    state.asked = true;
    state.sent = now;
    orders.push_back(std::move(order));
}

void capacity_planner::on_answer(monotonic_time now,
                                 const capacity_order& order,
                                 order_outcome outcome)
{
    auto& state = state_of(order);
    state.asked = false;
    state.refused = outcome == order_outcome::none_available;
    if (outcome == order_outcome::accepted)
    {
        state.ordered = true;
        state.count = order.count;
        return;
    }
    state.not_before = now + (state.refused ? settings_.refused_pause
                                            : settings_.failed_pause);
}

} // namespace hyssopdeal::coordination
