#ifndef HYSSOPDEAL_SRC_COORDINATION_LOAD_BALANCER_ROUTER_STATE_HPP
#define HYSSOPDEAL_SRC_COORDINATION_LOAD_BALANCER_ROUTER_STATE_HPP

/// @file
/// Internal: what a service_router knows, and the steps that its public calls
/// are made of.
///
/// Index: [parts] [service_router::impl]

#include <algorithm>
#include <cmath>
#include <optional>

#include <hyssopdeal/coordination/load_balancer_router.hpp>
#include <hyssopdeal/coordination/load_balancer_shares.hpp>

namespace hyssopdeal::coordination
{

// [parts] --------------------------------------------------------------------

/// The balancer that the settings name.
using chosen_balancer =
    std::variant<predicted_first_token, round_robin, least_reported_load,
                 power_of_two_reported>;

/// How often the table is read anew while a server is ejected.
inline constexpr std::chrono::milliseconds router_refresh_interval{100};

/// @return The balancer of the settings.
inline chosen_balancer make_balancer(const router_settings& settings)
{
    switch (settings.balancer)
    {
    case balancer_kind::round_robin:
        return round_robin{};
    case balancer_kind::least_reported_load:
        return least_reported_load{};
    case balancer_kind::power_of_two_reported:
        return power_of_two_reported{};
    case balancer_kind::predicted_first_token:
        break;
    }
    return predicted_first_token{settings.prediction};
}

/// @return Seconds as a time.
inline std::chrono::microseconds router_time(double seconds)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::duration<double>(seconds));
}

/// What is known of a server beside its row in the table.
struct router_server
{
    std::string name; ///< Empty: the position is free.
    std::string address;
    std::string version;
    bool leaving = false;
    std::uint32_t lower_in_flight = 0; ///< Own, not interactive.
    server_availability reach = server_availability::available;
    concurrency_limit concurrency{concurrency_settings{}};
};

// [service_router::impl] -----------------------------------------------------

struct service_router::impl
{
    explicit impl(router_settings wanted)
        : settings(std::move(wanted)),
          choice(make_balancer(settings)),
          prefixes(prefix_index_settings{settings.subset.size * 2}),
          outliers(settings.outliers)
    {}

    router_settings settings;
    chosen_balancer choice;
    load_estimate loads;
    prefix_index prefixes;
    outlier_detector outliers;
    version_shares shares;
    std::vector<router_server> servers;
    std::vector<std::string> versions;
    std::vector<protocol::version_share> declared_shares;
    std::vector<version_weight> weights; ///< Reused by refresh().
    transport::monotonic_time refresh_at{};
    transport::monotonic_time interactive_until{}; ///< Slots are kept free.
    std::uint32_t lower_in_flight = 0;             ///< Own, not interactive.
    std::uint32_t peers = 1;
    double usable_slots = 0; ///< Of all servers that may be used.
    std::uint32_t usable_servers = 0;
    bool dirty = true;

    [[nodiscard]] server_index position_of(std::string_view name) const
    {
        for (server_index at = 0; at < servers.size(); ++at)
        {
            if (servers[at].name == name)
            {
                return at;
            }
        }
        return no_server;
    }

    std::uint16_t number_of(const std::string& version)
    {
        const auto found = std::find(versions.begin(), versions.end(), version);
        if (found != versions.end())
        {
            return static_cast<std::uint16_t>(found - versions.begin());
        }
        versions.push_back(version);
        return static_cast<std::uint16_t>(versions.size() - 1);
    }

    /// A position that no request uses any more, or a new one.
    server_index free_position()
    {
        for (server_index at = 0; at < servers.size(); ++at)
        {
            if (servers[at].name.empty() &&
                loads.table()[at].own_in_flight == 0)
            {
                return at;
            }
        }
        servers.emplace_back();
        const auto size = static_cast<std::uint32_t>(servers.size());
        loads.resize(size);
        outliers.resize(size);
        return size - 1;
    }

    void place(const protocol::backend_server& declared)
    {
        auto at = position_of(declared.name);
        if (at != no_server && servers[at].address != declared.address)
        {
            servers[at].name.clear();
            at = no_server;
        }
        if (at == no_server)
        {
            at = free_position();
            servers[at] = router_server{};
            servers[at].name = declared.name;
            servers[at].address = declared.address;
            servers[at].concurrency = concurrency_limit{settings.concurrency};
            outliers.forget(at);
            loads.table()[at] = {};
            loads.table()[at].mean_output_tokens =
                settings.default_output_tokens;
            prefixes.clear(at);
        }
        fill_row(at, declared);
    }

    void fill_row(server_index at, const protocol::backend_server& declared)
    {
        auto& row = loads.table()[at];
        const bool is_own = declared.failure_domain == settings.failure_domain;
        row.where = is_own ? locality::own_failure_domain
                           : locality::other_failure_domain;
        row.hop =
            is_own ? std::chrono::microseconds{0} : settings.cross_domain_hop;
        servers[at].version = declared.version;
        row.version = number_of(declared.version);
        row.slots = declared.slots;
        row.prefill_tokens_per_second = declared.prefill_tokens_per_second;
        row.decode_tokens_per_second = declared.decode_tokens_per_second;
        row.price_per_hour = declared.price_per_hour;
        row.reclaim_hazard_per_hour =
            declared.price == protocol::price_class::reclaimable
                ? settings.reclaimable_hazard_per_hour
                : 0;
        row.concurrency_limit = servers[at].concurrency.limit();
    }

    /// Brings availability and shares up to date; cheap when nothing changed.
    void refresh(transport::monotonic_time now)
    {
        if (!dirty && now < refresh_at)
        {
            return;
        }
        dirty = false;
        refresh_at = now + router_refresh_interval;
        weights.assign(versions.size(), {});
        usable_slots = 0;
        usable_servers = 0;
        for (server_index at = 0; at < servers.size(); ++at)
        {
            auto& row = loads.table()[at];
            row.state = state_of(now, at);
            const bool is_usable = row.state == server_availability::available;
            weights[row.version].usable_servers += is_usable ? 1 : 0;
            usable_slots += is_usable ? row.slots : 0;
            usable_servers += is_usable ? 1 : 0;
        }
        for (std::size_t at = 0; at < versions.size(); ++at)
        {
            const auto number = static_cast<std::uint16_t>(at);
            weights[at].version = number;
            weights[at].share = share_of(number);
        }
        shares.set(weights);
    }

    [[nodiscard]] server_availability state_of(transport::monotonic_time now,
                                               server_index at) const
    {
        if (servers[at].name.empty() || servers[at].leaving)
        {
            return server_availability::leaving;
        }
        if (servers[at].reach != server_availability::available)
        {
            return servers[at].reach;
        }
        return outliers.is_ejected(now, at) ? server_availability::ejected
                                            : server_availability::available;
    }

    /// Ordered share; without any order a version's number of servers.
    [[nodiscard]] double share_of(std::uint16_t number) const
    {
        if (declared_shares.empty())
        {
            return weights[number].usable_servers;
        }
        for (const auto& declared : declared_shares)
        {
            if (declared.version == versions[number])
            {
                return declared.share;
            }
        }
        return 0;
    }

    server_index ask(transport::monotonic_time now,
                     const request_profile& facts, std::mt19937_64& random)
    {
        return std::visit(
            [&](auto& used) {
                return used.choose(now, facts, loads.table(), random);
            },
            choice);
    }

    /// Asks for a server that did not fail this request, else for any.
    server_index ask_twice(transport::monotonic_time now, request_profile facts,
                           std::mt19937_64& random)
    {
        const auto at = ask(now, facts, random);
        if (at != no_server || facts.avoid.empty())
        {
            return at;
        }
        facts.avoid = {};
        return ask(now, facts, random);
    }

    /// Tries the version that is due, then the others that have a share.
    server_index choose_by_share(transport::monotonic_time now,
                                 request_profile& facts,
                                 std::mt19937_64& random)
    {
        const auto due = shares.next();
        if (!due)
        {
            return no_server;
        }
        facts.version = *due;
        auto at = ask_twice(now, facts, random);
        for (std::size_t i = 0; i < weights.size() && at == no_server; ++i)
        {
            if (weights[i].share > 0 && weights[i].version != *due)
            {
                facts.version = weights[i].version;
                at = ask_twice(now, facts, random);
            }
        }
        if (at != no_server)
        {
            shares.count(*due);
        }
        return at;
    }

    server_index choose_version(transport::monotonic_time now,
                                std::string_view version,
                                request_profile& facts, std::mt19937_64& random)
    {
        if (version.empty())
        {
            return choose_by_share(now, facts, random);
        }
        const auto found = std::find(versions.begin(), versions.end(), version);
        if (found == versions.end())
        {
            return no_server;
        }
        facts.version = static_cast<std::uint16_t>(found - versions.begin());
        return ask_twice(now, facts, random);
    }

    /// @return Whether a server could take such a request but for its limit.
    [[nodiscard]] bool is_served(const routing_candidate& row,
                                 std::string_view version) const
    {
        const bool wanted = version.empty() ? weights[row.version].share > 0
                                            : versions[row.version] == version;
        return wanted && row.state == server_availability::available;
    }

    [[nodiscard]] transport::failure no_choice(std::string_view version) const
    {
        const auto table = loads.table();
        const bool any =
            std::any_of(table.begin(), table.end(), [&](const auto& row) {
                return is_served(row, version);
            });
        return any ? transport::failure{transport::verdict::not_run,
                                        transport::reason::overloaded,
                                        "Every backend server is full."}
                   : transport::failure{transport::verdict::not_run,
                                        transport::reason::no_backend_server,
                                        "No backend server can be used."};
    }

    [[nodiscard]] bool leaves_reserve(transport::monotonic_time now,
                                      protocol::priority_class priority) const
    {
        return priority != protocol::priority_class::interactive &&
               now < interactive_until;
    }

    /// @return This entry's equal part of the slots that other classes than
    ///     interactive may use: reports are too late to keep a reserve by.
    [[nodiscard]] double lower_quota() const
    {
        const double share = usable_slots * (1 - settings.interactive_reserve) /
                             static_cast<double>(peers);
        return std::max(share, 1.0);
    }

    /// @return Whether a request would wait on a server longer than it should:
    ///     here it can still be overtaken or refused. Only the policy predicts.
    [[nodiscard]] bool is_congested(transport::monotonic_time now,
                                    const routing_candidate& row,
                                    protocol::priority_class priority) const
    {
        if (settings.balancer != balancer_kind::predicted_first_token)
        {
            return false;
        }
        const bool is_full =
            row.in_flight >= row.slots * (1 - settings.interactive_reserve);
        const auto position =
            static_cast<std::size_t>(&row - loads.table().data());
        const auto quota = lower_quota();
        const bool has_part =
            lower_in_flight >= quota ||
            servers[position].lower_in_flight >=
                std::ceil(quota / std::max(usable_servers, 1U));
        if (leaves_reserve(now, priority) && (is_full || has_part))
        {
            return true;
        }
        const std::chrono::duration<double> queueing{
            predicted_first_token::queue_seconds(row)};
        return row.in_flight >= row.slots && queueing > settings.max_queueing;
    }

    /// The quickest server that is not congested, when the balancer's choice
    /// is.
    [[nodiscard]] server_index
    find_uncongested(transport::monotonic_time now,
                     const request_profile& facts) const
    {
        const auto table = loads.table();
        server_index best = no_server;
        double shortest = 0;
        for (server_index at = 0; at < table.size(); ++at)
        {
            if (!is_eligible(table[at], facts, at) ||
                is_congested(now, table[at], facts.priority))
            {
                continue;
            }
            const double wait = predicted_first_token::first_token_seconds(
                table[at], facts.prompt_tokens, cached_on(facts.matches, at));
            if (best == no_server || wait < shortest)
            {
                best = at;
                shortest = wait;
            }
        }
        return best;
    }

    route_choice commit(transport::monotonic_time now, server_index at,
                        const request_profile& facts, double cached)
    {
        const auto& row = loads.table()[at];
        route_choice made;
        made.server = servers[at].name;
        made.address = servers[at].address;
        made.version = servers[at].version;
        made.prompt_tokens = facts.prompt_tokens;
        made.priority = facts.priority;
        made.cached_tokens = std::min(cached, facts.prompt_tokens);
        made.predicted_first_token =
            router_time(predicted_first_token::first_token_seconds(
                row, facts.prompt_tokens, cached));
        routing_candidate idle = row;
        idle.in_flight = 0;
        idle.queued_prompt_tokens = 0;
        idle.slowdown = std::chrono::microseconds{0};
        made.unloaded_first_token =
            router_time(predicted_first_token::first_token_seconds(
                idle, facts.prompt_tokens, cached));
        made.sent =
            loads.on_sent(now, at, facts.prompt_tokens - made.cached_tokens);
        servers[at].concurrency.on_sent();
        count_lower(made, 1);
        return made;
    }

    void count_lower(const route_choice& made, int change)
    {
        if (made.priority != protocol::priority_class::interactive)
        {
            lower_in_flight += static_cast<std::uint32_t>(change);
            servers[made.sent.server].lower_in_flight +=
                static_cast<std::uint32_t>(change);
        }
    }

    void end(transport::monotonic_time now, const route_choice& made,
             double output_tokens)
    {
        loads.on_ended(now, made.sent, output_tokens);
        servers[made.sent.server].concurrency.on_ended();
        count_lower(made, -1);
    }

    void learn(transport::monotonic_time now, const route_choice& made,
               concurrency_sample sample)
    {
        auto& limit = servers[made.sent.server].concurrency;
        const auto observed =
            std::chrono::duration_cast<std::chrono::microseconds>(
                now - made.sent.sent_at);
        limit.on_sample(now, sample, observed, made.unloaded_first_token);
        loads.table()[made.sent.server].concurrency_limit = limit.limit();
    }
};

} // namespace hyssopdeal::coordination

#endif
