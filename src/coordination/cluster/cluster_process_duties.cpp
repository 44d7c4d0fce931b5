/// @file
/// Reads the instance list from the platform. On the leader, also orders
/// servers and reports usage.

#include "coordination/cluster/cluster_process_impl.hpp"

#include <algorithm>

#include <hyssopdeal/transport/event_log.hpp>

namespace hyssopdeal::coordination
{

using transport::log_event;

namespace
{

constexpr std::chrono::milliseconds leader_task_interval{250};
// Servers take seconds to start, so more frequent decisions have no effect.
constexpr std::chrono::milliseconds capacity_interval{500};
// An older list is too inaccurate to plan servers with.
constexpr std::chrono::milliseconds list_lifetime{3'000};

} // namespace

/// Every replica needs the list: for capacity planning once it leads, and for
/// entries that can't reach the leader. The leader reads the list from the
/// platform. Followers get it from the leader, and read it from the platform if
/// the leader does not answer or its list is too old.
void cluster_process::impl::poll_instance_list()
{
    const auto now = clock.monotonic_now();
    if (list_read_pending || now < next_list_read)
    {
        return;
    }
    list_read_pending = true;
    const bool follows_leader = !leads() && status().leader_id != 0;
    const bool list_changing =
        leads() && now - listing_changed_at < settings.list_change_window;
    next_list_read =
        now + (follows_leader  ? settings.list_interval_follower
               : list_changing ? settings.list_interval_after_change
                               : settings.list_interval);
    if (!follows_leader)
    {
        return read_list_from_platform();
    }
    forward_to_leader(
        request_kind::read_listing, std::to_string(listing.digest),
        [this, process_alive = alive, requested_at = now](const auto& answer) {
            if (*process_alive && !accept_leader_list(requested_at, answer))
            {
                read_list_from_platform();
            }
        });
}

void cluster_process::impl::read_list_from_platform()
{
    platform.read_list(
        [this, requested_at = clock.monotonic_now()](auto servers) {
            list_read_pending = false;
            if (!servers)
            {
                if (list_error.empty())
                {
                    log_event("list.lost", {{"error", servers.error().text}});
                }
                list_error = servers.error().text;
                return;
            }
            if (!list_error.empty())
            {
                log_event("list.regained", {});
                list_error.clear();
            }
            const auto passed =
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    clock.monotonic_now() - requested_at);
            const auto read =
                quorum_time().time_since_epoch().count() - passed.count();
            update_listing(requested_at, {0, std::move(*servers), read});
        });
}

/// @return Whether the leader's list is recent enough to be used.
bool cluster_process::impl::accept_leader_list(
    transport::monotonic_time requested_at,
    const transport::result<std::string>& answer)
{
    const auto read = answer ? protocol::decode_listing_answer(*answer)
                             : transport::result<protocol::listing_answer>{
                                   tl::make_unexpected(answer.error())};
    // Twice the leader's usual interval between two reads.
    const auto max_age = 2 * settings.list_interval;
    if (!read || read->age_ms < 0 || read->age_ms > max_age.count())
    {
        return false;
    }
    list_read_pending = false;
    const auto at = requested_at - std::chrono::milliseconds{read->age_ms};
    if (read->listing)
    {
        update_listing(at, *read->listing);
    }
    else
    {
        listing_read_at = std::max(listing_read_at.value_or(at), at);
    }
    return true;
}

void cluster_process::impl::update_listing(transport::monotonic_time read,
                                           protocol::server_listing latest)
{
    if (listing_read_at && read < *listing_read_at)
    {
        return;
    }
    listed_cold.on_listing(read, latest.servers);
    latest.digest = protocol::digest_of(latest.servers);
    if (latest.digest != listing.digest)
    {
        const auto& servers = latest.servers;
        const auto reclaimable =
            std::count_if(servers.begin(), servers.end(),
                          [](const auto& item) { return item.reclaimable; });
        const auto going =
            std::count_if(servers.begin(), servers.end(), [](const auto& item) {
                return item.state != protocol::server_state::ready;
            });
        log_event("list.changed", {{"servers", servers.size()},
                                   {"reclaimable", reclaimable},
                                   {"leaving", going}});
        // Plan at once: leaving servers stop before replacements have started.
        next_capacity_plan = {};
        listing_changed_at = clock.monotonic_now();
        listing = std::move(latest);
        for (const auto& server : listing.servers)
        {
            listed_domains.insert(server.failure_domain);
        }
        permits.set_servers(listing.servers);
    }
    // Drop reports of leaving servers that the list no longer shows as ready.
    std::erase_if(leaving, [&](const auto& item) {
        return std::none_of(listing.servers.begin(), listing.servers.end(),
                            [&](const auto& server) {
                                return server.id == item.first &&
                                       server.born == item.second &&
                                       server.state ==
                                           protocol::server_state::ready;
                            });
    });
    listing_read_at = read;
}

/// @return Whether this replica may send an order to the platform now.
bool cluster_process::impl::may_send_orders() const
{
    if (!leads() || leading_term == 0)
    {
        return false;
    }
    // The first leader of a cluster has no predecessor with orders in flight.
    const auto wait = status().leads.first ? std::chrono::milliseconds{0}
                                           : settings.order_lease;
    return clock.monotonic_now() - leader_since >= wait;
}

void cluster_process::impl::run_leader_tasks()
{
    const auto now = clock.monotonic_now();
    if (now < next_leader_tasks || !may_send_orders())
    {
        return;
    }
    next_leader_tasks = now + leader_task_interval;
    const auto& replicated = machine->state();
    if (!usage_proposed)
    {
        if (const auto decision =
                usage.next_decision(quorum_time(), replicated))
        {
            usage_proposed = true;
            propose(*decision, [this](const auto& ended) {
                usage_proposed = false;
                if (!ended)
                {
                    log_event("usage.not_decided",
                              {{"error", ended.error().text}});
                }
            });
        }
    }
    for (const auto& decision : replicated.usage())
    {
        const auto due = transport::wall_time{settings.usage.window *
                                              (decision.window + 1)} +
                         settings.usage.due;
        if (!usage_accepted.contains(decision.window) &&
            !usage_in_flight.contains(decision.window) && quorum_time() < due)
        {
            send_usage(decision);
        }
    }
}

void cluster_process::impl::plan_servers()
{
    const auto now = clock.monotonic_now();
    if (!machine || now < next_capacity_plan || !listing_read_at ||
        now - *listing_read_at > list_lifetime)
    {
        return;
    }
    next_capacity_plan = now + capacity_interval;
    cache_document();
    // During a rollout a service has servers of two versions, and their number
    // does not show how many it needs.
    auto stable_services = services;
    std::erase_if(stable_services, [this](const auto& service) {
        const auto& moved = machine->state().rollouts();
        const auto found = moved.find(service.name);
        return found != moved.end() &&
               found->second.state == rollout_state::running;
    });
    service_loads current;
    for (const auto& service : stable_services)
    {
        if (service.scaling)
        {
            current.work[service.name] = work.take(service.name);
        }
    }
    auto& running = current.running;
    for (const auto& server : listing.servers)
    {
        if (server.state != protocol::server_state::ready)
        {
            continue;
        }
        const auto found = loads.all().find(server.id);
        running[server.service] +=
            found == loads.all().end() ? 0 : found->second.running;
    }
    if (!may_send_orders())
    {
        return capacity.watch(now, stable_services, listing.servers, current,
                              evacuated());
    }
    for (const auto& order : capacity.step(
             now, stable_services, listing.servers, current, evacuated()))
    {
        send_order(order, running[order.service]);
    }
}

void cluster_process::impl::send_order(const capacity_order& order,
                                       double running)
{
    const auto known = capacity.needs().find(order.service);
    const auto need =
        known == capacity.needs().end() ? capacity_need{} : known->second;
    log_event("servers.order",
              {{"service", order.service},
               {"domain", order.domain},
               {"reclaimable", order.kind == server_kind::reclaimable},
               {"count", order.count},
               {"running", running},
               {"work", need.work},
               {"needed", need.needed},
               {"late_share", need.late_share}});
    platform.order_servers(
        {settings.name, leading_term}, order,
        [this, order, term = leading_term](order_outcome outcome) {
            log_event("servers.ordered",
                      {{"domain", order.domain},
                       {"count", order.count},
                       {"outcome", static_cast<int>(outcome)}});
            if (term == leading_term)
            {
                capacity.on_answer(clock.monotonic_now(), order, outcome);
            }
        });
}

/// Reports the decided counts of a window. run_leader_tasks() repeats the
/// report until the platform accepts it or it is past due; the platform counts
/// equal reports for a window only once.
void cluster_process::impl::send_usage(const decide_usage_command& decision)
{
    const auto window = decision.window;
    usage_in_flight.insert(window);
    platform.report_usage(
        {settings.name, leading_term}, decision,
        [this, window](const auto& ended) {
            usage_in_flight.erase(window);
            if (ended)
            {
                usage_accepted.insert(window);
            }
            log_event("usage.reported",
                      {{"window", window},
                       {"outcome", ended ? "accepted" : ended.error().text}});
        });
}

} // namespace hyssopdeal::coordination
