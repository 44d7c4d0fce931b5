/// @file
/// How many servers of which kind to order.

#include <hyssopdeal/coordination/cluster/capacity_planner.hpp>

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

std::vector<capacity_order>
capacity_planner::step(monotonic_time now,
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

/// @return Requests at once, smoothed, at the peak of late.
double capacity_planner::load_of(monotonic_time now, const std::string& service,
                                 double running)
{
    auto& peak = peaks_[service];
    const std::chrono::duration<double> passed = now - peak.measured;
    const std::chrono::duration<double> memory = settings_.load_memory;
    peak.measured = now;
    peak.smoothed +=
        (1 - std::exp(-passed / memory)) * (running - peak.smoothed);
    if (peak.smoothed >= peak.running || now - peak.at > settings_.peak_memory)
    {
        peak.running = peak.smoothed;
        peak.at = now;
    }
    return peak.running;
}

/// @return Servers to keep, whatever the load seems to be.
std::uint32_t capacity_planner::kept_from_start(monotonic_time now,
                                                const std::string& service,
                                                const domain_counts& ready)
{
    auto& known = peaks_[service];
    const bool loaded = known.running >= 1;
    if (!loaded)
    {
        // Servers appear one after the other. While one kind takes over from
        // the other, both run.
        domain_count all;
        for (const auto& [domain, count] : ready)
        {
            all.usual += count.usual;
            all.reclaimable += count.reclaimable;
        }
        known.at_start = std::max({known.at_start, all.usual, all.reclaimable});
        known.loaded_since = now;
    }
    const bool watched =
        loaded && now - known.loaded_since >= settings_.peak_memory;
    return watched ? 0 : known.at_start;
}

/// @return Servers that were ordered and may still come.
std::uint32_t
capacity_planner::starting(monotonic_time now, const order_state& state,
                           std::uint32_t ready,
                           std::chrono::milliseconds start_time) const
{
    const bool fresh = state.ordered &&
                       now - state.raised < start_time + settings_.start_margin;
    return fresh && state.count > ready ? state.count - ready : 0;
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
    const auto count_of = [&](const std::string& domain) {
        const auto found = ready.find(domain);
        return found == ready.end() ? domain_count{} : found->second;
    };
    const auto order_of = [&](const std::string& domain, server_kind kind,
                              std::uint32_t count) {
        return capacity_order{service.name, domain, kind, count};
    };
    const double load = load_of(now, service.name, running);
    const auto needed = [&](double each) {
        return static_cast<std::uint32_t>(std::ceil(load / each));
    };
    const auto each = static_cast<std::uint32_t>(domains.size());
    const auto total = std::max({settings_.least_in_domain * each,
                                 needed(settings_.running_on_server),
                                 kept_from_start(now, service.name, ready)});
    std::uint32_t reclaimable_ready = 0;
    std::uint32_t coming = 0;
    std::uint32_t most_in_domain = 0;
    bool dry = false;
    std::vector<std::uint32_t> usual_held;
    for (const auto& [price, domain] : domains)
    {
        const auto here = count_of(domain);
        const auto& state =
            state_of(order_of(domain, server_kind::reclaimable, 0));
        reclaimable_ready += here.reclaimable;
        most_in_domain = std::max(most_in_domain, here.reclaimable);
        coming += starting(now, state, here.reclaimable, scaling.start_time);
        dry = dry || state.refused;
        usual_held.push_back(
            here.usual +
            starting(now, state_of(order_of(domain, server_kind::usual, 0)),
                     here.usual, scaling.start_time));
    }
    // Only a plan that was met tells how many servers the load needs.
    auto& known = peaks_[service.name];
    if (!dry && reclaimable_ready + coming >= total)
    {
        known.planned = total;
        // The mean of about ten seconds: a short burst needs no more servers in
        // a drought that comes after it.
        constexpr double least_part = 0.05;
        known.met_steps += running >= 1 ? 1 : 0;
        const double part =
            std::max(least_part, 1.0 / std::max(1U, known.met_steps));
        known.met += part * (running - known.met);
    }
    const auto part_of_plan = [&](double part) {
        const auto all = known.planned > 0 ? known.planned : known.at_start;
        return static_cast<std::uint32_t>(std::ceil(part * all));
    };
    // A plan holds more than the load needs where it is spread over domains.
    const auto by_load = static_cast<std::uint32_t>(
        std::ceil(known.met / settings_.crowded_on_server));
    const auto most =
        std::max(part_of_plan(settings_.usual_part),
                 std::min(part_of_plan(settings_.most_usual_part), by_load));
    const auto least = std::clamp(needed(settings_.crowded_on_server), each,
                                  std::max(each, most));
    // Usual servers are for the time in which no others are to be had, when the
    // next domain may be reclaimed too.
    const auto expected = reclaimable_ready + coming - most_in_domain;
    const auto usual_wanted = dry && least > expected ? least - expected : 0;
    const bool enough = reclaimable_ready >= std::min(least, total);
    auto usual = usual_held;
    std::uint32_t usual_total = 0;
    for (const auto count : usual)
    {
        usual_total += count;
    }
    for (std::size_t at = 0; usual_total < usual_wanted; ++at)
    {
        // The cheapest first, one in each in turn.
        if (at >= domains.size() * scaling.most)
        {
            break;
        }
        auto& count = usual[at % domains.size()];
        const bool room = count < scaling.most;
        count += room ? 1 : 0;
        usual_total += room ? 1 : 0;
    }
    for (std::size_t at = domains.size(); enough && at-- > 0;)
    {
        const auto spare = usual_total - std::min(usual_total, usual_wanted);
        const auto fewer = std::min(usual[at], spare);
        usual[at] -= fewer;
        usual_total -= fewer;
    }
    std::uint32_t left = total;
    for (std::size_t at = 0; at < domains.size(); ++at)
    {
        const auto& domain = domains[at].second;
        const auto here = count_of(domain);
        // The cheapest domains take what does not divide evenly.
        const auto rest = static_cast<std::uint32_t>(domains.size() - at);
        const auto part = std::min((left + rest - 1) / rest, scaling.most);
        left -= std::min(left, part);
        const auto room = scaling.most - std::min(scaling.most, usual[at]);
        want(now,
             order_of(domain, server_kind::reclaimable, std::min(part, room)),
             here.reclaimable, orders);
        want(now, order_of(domain, server_kind::usual, usual[at]), here.usual,
             orders);
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

void capacity_planner::watch(
    monotonic_time now, const std::vector<protocol::document_service>& services,
    const std::vector<protocol::listed_server>& servers,
    const std::map<std::string, double>& running)
{
    (void)step(now, services, servers, running);
    states_.clear();
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
        if (!state.ordered || order.count > state.count)
        {
            state.raised = state.sent;
        }
        state.ordered = true;
        state.count = order.count;
        return;
    }
    state.not_before = now + (state.refused ? settings_.refused_pause
                                            : settings_.failed_pause);
}

} // namespace hyssopdeal::coordination
