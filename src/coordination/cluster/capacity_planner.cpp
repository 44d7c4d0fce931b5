/// @file
/// Decides how many servers of each kind to order.

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
capacity_planner::order_state_of(const capacity_order& order)
{
    return order_states_[fmt::format("{} {} {}", order.service, order.domain,
                                     static_cast<int>(order.kind))];
}

std::vector<capacity_order> capacity_planner::step(
    monotonic_time now, const std::vector<protocol::document_service>& services,
    const std::vector<protocol::listed_server>& servers,
    const service_loads& loads, const std::set<std::string>& evacuated)
{
    std::vector<capacity_order> orders;
    keep_until_ = evacuated.empty() ? keep_until_ : now + settings_.peak_window;
    for (const auto& service : services)
    {
        if (!service.scaling || service.scaling->domain_prices.empty())
        {
            continue;
        }
        counts_by_domain ready;
        for (const auto& server : servers)
        {
            const bool is_ready =
                server.service == service.name &&
                server.state == protocol::server_state::ready &&
                !evacuated.contains(server.failure_domain);
            if (is_ready)
            {
                auto& count = ready[server.failure_domain];
                ++(server.reclaimable ? count.reclaimable : count.on_demand);
            }
        }
        const auto load = loads.running.find(service.name);
        const auto work = loads.work.find(service.name);
        plan(now, service, ready,
             load == loads.running.end() ? 0 : load->second,
             work == loads.work.end() ? protocol::service_work{} : work->second,
             evacuated, orders);
    }
    return orders;
}

/// @return The highest smoothed number of concurrent requests within
/// `peak_window`.
double capacity_planner::peak_load(monotonic_time now,
                                   const std::string& service, double running)
{
    auto& history = load_histories_[service];
    const std::chrono::duration<double> passed = now - history.smoothed_at;
    const std::chrono::duration<double> time_constant =
        settings_.load_smoothing_time;
    history.smoothed_at = now;
    history.smoothed +=
        (1 - std::exp(-passed / time_constant)) * (running - history.smoothed);
    if (history.smoothed >= history.peak ||
        now - history.peak_at > settings_.peak_window)
    {
        history.peak = history.smoothed;
        history.peak_at = now;
    }
    return history.peak;
}

/// @return Servers to keep whatever the measured load is; 0 once the load has
/// been observed for `peak_window`.
std::uint32_t
capacity_planner::initial_server_floor(monotonic_time now,
                                       const std::string& service,
                                       const counts_by_domain& ready)
{
    auto& history = load_histories_[service];
    const bool loaded = history.peak >= 1;
    if (!loaded)
    {
        // The maximum over time, as servers appear one after the other. The
        // kinds are not added up: both run while one replaces the other.
        server_counts all;
        for (const auto& [domain, count] : ready)
        {
            all.on_demand += count.on_demand;
            all.reclaimable += count.reclaimable;
        }
        history.initial_servers =
            std::max({history.initial_servers, all.on_demand, all.reclaimable});
        history.loaded_since = now;
    }
    const bool history_complete =
        loaded && now - history.loaded_since >= settings_.peak_window;
    return history_complete ? 0 : history.initial_servers;
}

/// @return Servers of an accepted order that may still become ready.
std::uint32_t
capacity_planner::servers_starting(monotonic_time now, const order_state& state,
                                   std::uint32_t ready,
                                   std::chrono::milliseconds start_time) const
{
    const bool may_start =
        state.accepted &&
        now - state.last_increase < start_time + settings_.start_margin;
    return may_start && state.count > ready ? state.count - ready : 0;
}

void capacity_planner::plan(monotonic_time now,
                            const protocol::document_service& service,
                            const counts_by_domain& ready, double running,
                            const protocol::service_work& work,
                            const std::set<std::string>& evacuated,
                            std::vector<capacity_order>& orders)
{
    const auto& scaling = *service.scaling;
    std::vector<std::pair<double, std::string>> domains;
    for (const auto& [domain, price] : scaling.domain_prices)
    {
        if (!evacuated.contains(domain))
        {
            domains.emplace_back(price, domain);
        }
    }
    std::sort(domains.begin(), domains.end());
    const auto ready_in = [&](const std::string& domain) {
        const auto found = ready.find(domain);
        return found == ready.end() ? server_counts{} : found->second;
    };
    const auto make_order = [&](const std::string& domain, server_kind kind,
                                std::uint32_t count) {
        return capacity_order{service.name, domain, kind, count};
    };
    const double load = peak_load(now, service.name, running);
    const auto servers_for_load = [&](double running_per_server) {
        return static_cast<std::uint32_t>(std::ceil(load / running_per_server));
    };
    if (domains.empty())
    {
        return;
    }
    const auto domain_count = static_cast<std::uint32_t>(domains.size());
    // The minimum of evacuated domains falls to the others.
    const auto min_wanted =
        settings_.min_servers_per_domain *
        static_cast<std::uint32_t>(scaling.domain_prices.size());
    std::uint32_t all_ready = 0;
    for (const auto& [domain, count] : ready)
    {
        all_ready += count.on_demand + count.reclaimable;
    }
    // More can never be ready, and none are given back while some are missing.
    const auto by_concurrency = std::min(
        scaling.most * domain_count,
        std::max({min_wanted,
                  servers_for_load(settings_.target_running_per_server),
                  initial_server_floor(now, service.name, ready)}));
    const auto need = work_plan_.step(now, service.name, work, all_ready,
                                      by_concurrency, domain_count);
    if (need)
    {
        needs_[service.name] = *need;
    }
    const auto servers_wanted = need ? need->wanted : by_concurrency;
    std::vector<domain_state> states;
    std::uint32_t reclaimable_ready = 0;
    std::uint32_t reclaimable_starting = 0;
    std::uint32_t max_reclaimable_in_domain = 0;
    bool none_available = false;
    std::vector<std::uint32_t> on_demand_held;
    for (const auto& [price, domain] : domains)
    {
        const auto counts = ready_in(domain);
        const auto& state =
            order_state_of(make_order(domain, server_kind::reclaimable, 0));
        reclaimable_ready += counts.reclaimable;
        max_reclaimable_in_domain =
            std::max(max_reclaimable_in_domain, counts.reclaimable);
        states.push_back({domain, counts,
                          servers_starting(now, state, counts.reclaimable,
                                           scaling.start_time),
                          state.unavailable});
        reclaimable_starting += states.back().starting;
        none_available = none_available || state.unavailable;
        on_demand_held.push_back(
            counts.on_demand +
            servers_starting(
                now,
                order_state_of(make_order(domain, server_kind::on_demand, 0)),
                counts.on_demand, scaling.start_time));
    }
    // Only a plan that was met shows how many servers the load needs.
    auto& history = load_histories_[service.name];
    if (!none_available &&
        reclaimable_ready + reclaimable_starting >= servers_wanted)
    {
        history.met_plan_servers = servers_wanted;
        // The minimum weight makes this a moving average over about ten
        // seconds: a short burst must not raise the number of on-demand servers
        // that are ordered when reclaimable ones become unavailable after it.
        constexpr double min_weight = 0.05;
        history.mean_load_steps += running >= 1 ? 1 : 0;
        const double weight =
            std::max(min_weight, 1.0 / std::max(1U, history.mean_load_steps));
        history.mean_load += weight * (running - history.mean_load);
    }
    const auto fraction_of_plan = [&](double fraction) {
        const auto planned = history.met_plan_servers > 0
                                 ? history.met_plan_servers
                                 : history.initial_servers;
        return static_cast<std::uint32_t>(std::ceil(fraction * planned));
    };
    // The plan may hold more servers than the load needs, for example when the
    // minimum per domain determines it.
    const auto servers_for_mean_load = static_cast<std::uint32_t>(
        std::ceil(history.mean_load / settings_.max_running_per_server));
    const auto max_on_demand =
        std::max(fraction_of_plan(settings_.on_demand_fraction),
                 std::min(fraction_of_plan(settings_.max_on_demand_fraction),
                          servers_for_mean_load));
    const auto min_servers =
        std::clamp(servers_for_load(settings_.max_running_per_server),
                   domain_count, std::max(domain_count, max_on_demand));
    // On-demand servers bridge the time in which no reclaimable ones are
    // available. The domain with the most may be reclaimed next, so its servers
    // are not counted on.
    const auto after_domain_loss =
        reclaimable_ready + reclaimable_starting - max_reclaimable_in_domain;
    const auto on_demand_wanted =
        none_available && min_servers > after_domain_loss
            ? min_servers - after_domain_loss
            : 0;
    const bool enough_reclaimable =
        now >= keep_until_ &&
        reclaimable_ready >= std::min(min_servers, servers_wanted);
    auto on_demand = on_demand_held;
    std::uint32_t on_demand_total = 0;
    for (const auto count : on_demand)
    {
        on_demand_total += count;
    }
    for (std::size_t at = 0; on_demand_total < on_demand_wanted; ++at)
    {
        // Round robin over the domains, the cheapest first.
        if (at >= domains.size() * scaling.most)
        {
            break;
        }
        auto& count = on_demand[at % domains.size()];
        const bool room = count < scaling.most;
        count += room ? 1 : 0;
        on_demand_total += room ? 1 : 0;
    }
    for (std::size_t at = domains.size(); enough_reclaimable && at-- > 0;)
    {
        const auto spare =
            on_demand_total - std::min(on_demand_total, on_demand_wanted);
        const auto removed = std::min(on_demand[at], spare);
        on_demand[at] -= removed;
        on_demand_total -= removed;
    }
    const auto split =
        split_over_domains(service, states, servers_wanted, need.has_value());
    // Servers that stand in for those of another domain are needed until the
    // latter have started.
    const bool keeps = now < keep_until_ || (need && reclaimable_starting > 0);
    for (std::size_t at = 0; at < domains.size(); ++at)
    {
        const auto& domain = domains[at].second;
        const auto counts = ready_in(domain);
        const auto planned = split[at];
        const auto& current =
            order_state_of(make_order(domain, server_kind::reclaimable, 0));
        const auto ordered =
            current.accepted ? current.count : counts.reclaimable;
        const auto kept = keeps ? ordered : 0;
        const auto room = scaling.most - std::min(scaling.most, on_demand[at]);
        place_order(now,
                    make_order(domain, server_kind::reclaimable,
                               std::min(std::max(planned, kept), room)),
                    counts.reclaimable, orders);
        place_order(now,
                    make_order(domain, server_kind::on_demand, on_demand[at]),
                    counts.on_demand, orders);
    }
}

/// @param move_missing Whether other domains get the servers that a domain
///     cannot have.
std::vector<std::uint32_t>
capacity_planner::split_over_domains(const protocol::document_service& service,
                                     const std::vector<domain_state>& domains,
                                     std::uint32_t servers,
                                     bool move_missing) const
{
    const auto most = service.scaling->most;
    std::vector<std::uint32_t> split;
    std::uint32_t missing = 0;
    std::uint32_t with_servers = 0;
    for (std::size_t at = 0; at < domains.size(); ++at)
    {
        const auto& domain = domains[at];
        // The cheapest domains take the remainder of an uneven split.
        const auto left = static_cast<std::uint32_t>(domains.size() - at);
        const auto planned = std::min((servers + left - 1) / left, most);
        servers -= std::min(servers, planned);
        split.push_back(planned);
        const auto present = domain.ready.reclaimable + domain.starting;
        const bool lacks = domain.none_available && present < planned;
        missing += lacks ? planned - present : 0;
        with_servers += domain.none_available ? 0 : 1;
    }
    for (std::size_t at = 0; move_missing && at < domains.size(); ++at)
    {
        if (!domains[at].none_available)
        {
            const auto extra = (missing + with_servers - 1) / with_servers;
            split[at] = std::min(split[at] + extra, most);
            missing -= std::min(missing, extra);
            --with_servers;
        }
    }
    return split;
}

void capacity_planner::place_order(monotonic_time now, capacity_order order,
                                   std::uint32_t ready,
                                   std::vector<capacity_order>& orders)
{
    auto& state = order_state_of(order);
    if (state.in_flight || now < state.retry_at)
    {
        return;
    }
    const bool same = state.accepted && state.count == order.count;
    // No order is needed for what runs already; servers of an accepted order
    // may still be starting.
    const bool already_met = !state.accepted && ready == order.count;
    const bool waiting =
        same && (ready == order.count ||
                 now - state.sent_at < settings_.resend_interval);
    if (already_met || waiting)
    {
        return;
    }
    state.in_flight = true;
    state.sent_at = now;
    orders.push_back(std::move(order));
}

void capacity_planner::watch(
    monotonic_time now, const std::vector<protocol::document_service>& services,
    const std::vector<protocol::listed_server>& servers,
    const service_loads& loads, const std::set<std::string>& evacuated)
{
    (void)step(now, services, servers, loads, evacuated);
    order_states_.clear();
}

void capacity_planner::on_answer(monotonic_time now,
                                 const capacity_order& order,
                                 order_outcome outcome)
{
    auto& state = order_state_of(order);
    state.in_flight = false;
    state.unavailable = outcome == order_outcome::none_available;
    if (outcome == order_outcome::accepted)
    {
        if (!state.accepted || order.count > state.count)
        {
            state.last_increase = state.sent_at;
        }
        state.accepted = true;
        state.count = order.count;
        return;
    }
    state.retry_at =
        now + (state.unavailable ? settings_.unavailable_retry_delay
                                 : settings_.failed_retry_delay);
}

} // namespace hyssopdeal::coordination
