/// @file
/// What a replica reads from the platform, and the orders that only the leader
/// sends.

#include "coordination/cluster/cluster_process_impl.hpp"

#include <algorithm>

#include <hyssopdeal/transport/event_log.hpp>

namespace hyssopdeal::coordination
{

using transport::log_event;

namespace
{

constexpr std::chrono::milliseconds duty_interval{250};
// Servers take seconds to start: deciding more often changes nothing.
constexpr std::chrono::milliseconds capacity_interval{500};
// A list that is older says too little of what runs.
constexpr std::chrono::milliseconds oldest_list{3'000};

} // namespace

/// Every replica needs the list, for its plan once it leads and for entries that
/// do not reach the leader. The leader reads it; the others have it from the
/// leader, and read it themselves when that fails or is too old.
void cluster_process::impl::read_list()
{
    const auto now = clock.monotonic_now();
    if (list_asked || now < next_list)
    {
        return;
    }
    list_asked = true;
    const bool led = !leads() && status().leader_id != 0;
    const bool busy = leads() && now - listing_changed < settings.list_busy_for;
    next_list = now + (led    ? settings.list_interval_led
                       : busy ? settings.list_interval_busy
                              : settings.list_interval);
    if (!led)
    {
        return read_list_outside();
    }
    forward(forwarded_kind::read_listing, std::to_string(listing.digest),
            [this, still = alive, asked = now](const auto& answer) {
                if (*still && !take_leaders_list(asked, answer))
                {
                    read_list_outside();
                }
            });
}

void cluster_process::impl::read_list_outside()
{
    outside.read_list([this, asked = clock.monotonic_now()](auto servers) {
        list_asked = false;
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
                clock.monotonic_now() - asked);
        const auto read =
            true_time().time_since_epoch().count() - passed.count();
        take_list(asked, {0, std::move(*servers), read});
    });
}

/// @return Whether the leader's list is recent enough to do without another.
bool cluster_process::impl::take_leaders_list(
    transport::monotonic_time asked,
    const transport::result<std::string>& answer)
{
    const auto read = answer ? protocol::decode_listing_answer(*answer)
                             : transport::result<protocol::listing_answer>{
                                   tl::make_unexpected(answer.error())};
    // Twice the leader's usual pause between two readings.
    const auto oldest = 2 * settings.list_interval;
    if (!read || read->age_ms < 0 || read->age_ms > oldest.count())
    {
        return false;
    }
    list_asked = false;
    const auto at = asked - std::chrono::milliseconds{read->age_ms};
    if (read->listing)
    {
        take_list(at, *read->listing);
    }
    else
    {
        listing_read = std::max(listing_read.value_or(at), at);
    }
    return true;
}

void cluster_process::impl::take_list(transport::monotonic_time read,
                                      protocol::server_listing latest)
{
    if (listing_read && read < *listing_read)
    {
        return;
    }
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
        // Servers that leave are gone before others can have started.
        next_capacity = {};
        listing_changed = clock.monotonic_now();
        listing = std::move(latest);
    }
    // What the list shows itself needs no word of entries.
    std::erase_if(leaving, [&](const auto& item) {
        return std::none_of(listing.servers.begin(), listing.servers.end(),
                            [&](const auto& server) {
                                return server.id == item.first &&
                                       server.born == item.second &&
                                       server.state ==
                                           protocol::server_state::ready;
                            });
    });
    listing_read = read;
}

/// @return Whether an order to the platform may leave at this moment.
bool cluster_process::impl::may_order() const
{
    if (!leads() || leading_term == 0)
    {
        return false;
    }
    // Who leads first of all has no predecessor whose orders are on their way.
    const auto wait = status().leads.first ? std::chrono::milliseconds{0}
                                           : settings.order_lease;
    return clock.monotonic_now() - leading_since >= wait;
}

void cluster_process::impl::run_duties()
{
    const auto now = clock.monotonic_now();
    if (now < next_duty || !may_order())
    {
        return;
    }
    next_duty = now + duty_interval;
    const auto& held = machine->state();
    if (!usage_proposed)
    {
        if (const auto decision = usage.next_decision(true_time(), held))
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
    for (const auto& decision : held.usage())
    {
        const auto due = transport::wall_time{settings.usage.window *
                                              (decision.window + 1)} +
                         settings.usage.due;
        if (!usage_sent.contains(decision.window) &&
            !usage_asked.contains(decision.window) && true_time() < due)
        {
            send_usage(decision);
        }
    }
}

void cluster_process::impl::plan_servers()
{
    const auto now = clock.monotonic_now();
    if (!machine || now < next_capacity || !listing_read ||
        now - *listing_read > oldest_list)
    {
        return;
    }
    next_capacity = now + capacity_interval;
    read_services();
    // While a service has servers of two versions, their number says little of
    // what it needs.
    auto steady = services;
    std::erase_if(steady, [this](const auto& service) {
        const auto& moved = machine->state().rollouts();
        const auto found = moved.find(service.name);
        return found != moved.end() &&
               found->second.state == rollout_state::running;
    });
    std::map<std::string, double> running;
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
    if (!may_order())
    {
        return capacity.watch(now, steady, listing.servers, running);
    }
    for (const auto& order :
         capacity.step(now, steady, listing.servers, running))
    {
        send_order(order, running[order.service]);
    }
}

void cluster_process::impl::send_order(const capacity_order& order,
                                       double running)
{
    log_event("servers.order",
              {{"service", order.service},
               {"domain", order.domain},
               {"reclaimable", order.kind == server_kind::reclaimable},
               {"count", order.count},
               {"running", running}});
    outside.order_servers(
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

/// Sends what was decided, again and again until it is taken: equal counts for
/// one window count once.
void cluster_process::impl::send_usage(const decide_usage_command& decision)
{
    const auto window = decision.window;
    usage_asked.insert(window);
    outside.report_usage(
        {settings.name, leading_term}, decision,
        [this, window](const auto& ended) {
            usage_asked.erase(window);
            if (ended)
            {
                usage_sent.insert(window);
            }
            log_event("usage.reported",
                      {{"window", window},
                       {"outcome", ended ? "accepted" : ended.error().text}});
        });
}

} // namespace hyssopdeal::coordination
