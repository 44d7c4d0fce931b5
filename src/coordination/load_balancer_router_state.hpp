#ifndef HYSSOPDEAL_SRC_COORDINATION_LOAD_BALANCER_ROUTER_STATE_HPP
#define HYSSOPDEAL_SRC_COORDINATION_LOAD_BALANCER_ROUTER_STATE_HPP

/// @file
/// Internal: state of a service_router and the steps of its public functions.
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

/// Holds one of the load balancing policies.
using balancer_variant =
    std::variant<predicted_first_token, round_robin, least_reported_load,
                 power_of_two_reported>;

/// Interval at which availability is recomputed even without a change, because
/// ejections expire with time.
inline constexpr std::chrono::milliseconds router_refresh_interval{100};

inline balancer_variant make_balancer(const router_settings& settings)
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

inline std::chrono::microseconds seconds_to_microseconds(double seconds)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::duration<double>(seconds));
}

/// State of a server in addition to its row in the routing table.
struct router_server
{
    std::string name; ///< Empty if the server was removed.
    std::string address;
    std::string version;
    bool leaving = false;
    bool evacuated = false;                      ///< Its failure domain is.
    std::uint32_t non_interactive_in_flight = 0; ///< Sent by this entry.
    server_availability reachability = server_availability::available;
    concurrency_limit concurrency{concurrency_settings{}};
};

// [service_router::impl] -----------------------------------------------------

struct service_router::impl
{
    explicit impl(router_settings initial_settings)
        : settings(std::move(initial_settings)),
          balancer(make_balancer(settings)),
          prefixes(prefix_index_settings{settings.subset.size * 2}),
          outliers(settings.outliers)
    {}

    router_settings settings;
    balancer_variant balancer;
    load_estimate loads;
    prefix_index prefixes;
    outlier_detector outliers;
    version_shares shares;
    std::vector<router_server> servers;
    std::vector<std::string> versions;
    std::vector<protocol::version_share> declared_shares;
    std::vector<version_weight> weights; ///< Reused by refresh().
    transport::monotonic_time refresh_at{};
    /// Until then, non-interactive requests leave the reserved slots free.
    transport::monotonic_time interactive_reserve_until{};
    std::uint32_t non_interactive_in_flight = 0; ///< Sent by this entry.
    std::uint32_t peers = 1; ///< Entries that use the servers, with this one.
    double usable_slots = 0; ///< Total slots of the available servers.
    std::uint32_t usable_servers = 0;
    bool needs_refresh = true;

    [[nodiscard]] server_index position_of(std::string_view name) const
    {
        for (server_index position = 0; position < servers.size(); ++position)
        {
            if (servers[position].name == name)
            {
                return position;
            }
        }
        return no_server;
    }

    std::uint16_t find_or_add_version(const std::string& version)
    {
        const auto found = std::find(versions.begin(), versions.end(), version);
        if (found != versions.end())
        {
            return static_cast<std::uint16_t>(found - versions.begin());
        }
        versions.push_back(version);
        return static_cast<std::uint16_t>(versions.size() - 1);
    }

    /// Reuses the position of a removed server once all requests sent to it
    /// have ended, so that they are not counted for another server. Otherwise
    /// appends a row.
    server_index allocate_position()
    {
        for (server_index position = 0; position < servers.size(); ++position)
        {
            if (servers[position].name.empty() &&
                loads.table()[position].own_in_flight == 0)
            {
                return position;
            }
        }
        servers.emplace_back();
        const auto size = static_cast<std::uint32_t>(servers.size());
        loads.resize(size);
        outliers.resize(size);
        return size - 1;
    }

    void add_or_update_server(const protocol::backend_server& declared)
    {
        auto position = position_of(declared.name);
        if (position != no_server &&
            servers[position].address != declared.address)
        {
            servers[position].name.clear();
            position = no_server;
        }
        if (position == no_server)
        {
            position = allocate_position();
            servers[position] = router_server{};
            servers[position].name = declared.name;
            servers[position].address = declared.address;
            servers[position].concurrency =
                concurrency_limit{settings.concurrency};
            outliers.forget(position);
            loads.table()[position] = {};
            loads.table()[position].mean_output_tokens =
                settings.default_output_tokens;
            prefixes.clear(position);
        }
        update_row(position, declared);
    }

    void update_row(server_index position,
                    const protocol::backend_server& declared)
    {
        auto& row = loads.table()[position];
        const bool is_own_domain =
            declared.failure_domain == settings.failure_domain;
        row.proximity = is_own_domain ? locality::own_failure_domain
                                      : locality::other_failure_domain;
        row.hop = is_own_domain ? std::chrono::microseconds{0}
                                : settings.cross_domain_hop;
        servers[position].version = declared.version;
        row.version = find_or_add_version(declared.version);
        row.slots = declared.slots;
        row.prefill_tokens_per_second = declared.prefill_tokens_per_second;
        row.decode_tokens_per_second = declared.decode_tokens_per_second;
        row.price_per_hour = declared.price_per_hour;
        row.reclaim_hazard_per_hour =
            declared.price == protocol::price_class::reclaimable
                ? settings.reclaimable_hazard_per_hour
                : 0;
        row.concurrency_limit = servers[position].concurrency.limit();
    }

    /// Recomputes availability and traffic shares after a change or when the
    /// refresh interval has passed; otherwise returns at once.
    void refresh(transport::monotonic_time now)
    {
        if (!needs_refresh && now < refresh_at)
        {
            return;
        }
        needs_refresh = false;
        refresh_at = now + router_refresh_interval;
        weights.assign(versions.size(), {});
        usable_slots = 0;
        usable_servers = 0;
        for (server_index position = 0; position < servers.size(); ++position)
        {
            auto& row = loads.table()[position];
            row.state = state_of(now, position);
            const bool is_usable = row.state == server_availability::available;
            weights[row.version].usable_servers += is_usable ? 1 : 0;
            usable_slots += is_usable ? row.slots : 0;
            usable_servers += is_usable ? 1 : 0;
        }
        for (std::size_t index = 0; index < versions.size(); ++index)
        {
            const auto version = static_cast<std::uint16_t>(index);
            weights[index].version = version;
            weights[index].share = share_of(version);
        }
        shares.set(weights);
    }

    [[nodiscard]] server_availability state_of(transport::monotonic_time now,
                                               server_index position) const
    {
        if (servers[position].name.empty() || servers[position].leaving)
        {
            return server_availability::leaving;
        }
        if (servers[position].evacuated)
        {
            return server_availability::evacuated;
        }
        if (servers[position].reachability != server_availability::available)
        {
            return servers[position].reachability;
        }
        return outliers.is_ejected(now, position)
                   ? server_availability::ejected
                   : server_availability::available;
    }

    /// @return The declared share of a version. If the service declares no
    ///     shares, the number of usable servers of the version.
    [[nodiscard]] double share_of(std::uint16_t version) const
    {
        if (declared_shares.empty())
        {
            return weights[version].usable_servers;
        }
        for (const auto& declared : declared_shares)
        {
            if (declared.version == versions[version])
            {
                return declared.share;
            }
        }
        return 0;
    }

    server_index choose_server(transport::monotonic_time now,
                               const request_profile& profile,
                               std::mt19937_64& random)
    {
        return std::visit(
            [&](auto& policy) {
                return policy.choose(now, profile, loads.table(), random);
            },
            balancer);
    }

    /// Chooses a server that has not failed this request, or any eligible one
    /// if there is none.
    server_index choose_server_with_fallback(transport::monotonic_time now,
                                             request_profile profile,
                                             std::mt19937_64& random)
    {
        const auto position = choose_server(now, profile, random);
        if (position != no_server || profile.avoid.empty())
        {
            return position;
        }
        profile.avoid = {};
        return choose_server(now, profile, random);
    }

    /// Tries the version that is due, then the others with a share above 0.
    server_index choose_by_share(transport::monotonic_time now,
                                 request_profile& profile,
                                 std::mt19937_64& random)
    {
        const auto due = shares.next();
        if (!due)
        {
            return no_server;
        }
        profile.version = *due;
        auto position = choose_server_with_fallback(now, profile, random);
        for (std::size_t i = 0; i < weights.size() && position == no_server;
             ++i)
        {
            if (weights[i].share > 0 && weights[i].version != *due)
            {
                profile.version = weights[i].version;
                position = choose_server_with_fallback(now, profile, random);
            }
        }
        if (position != no_server)
        {
            shares.count(*due);
        }
        return position;
    }

    server_index choose_for_version(transport::monotonic_time now,
                                    std::string_view version,
                                    request_profile& profile,
                                    std::mt19937_64& random)
    {
        if (version.empty())
        {
            return choose_by_share(now, profile, random);
        }
        const auto found = std::find(versions.begin(), versions.end(), version);
        if (found == versions.end())
        {
            return no_server;
        }
        profile.version = static_cast<std::uint16_t>(found - versions.begin());
        return choose_server_with_fallback(now, profile, random);
    }

    /// @return Whether a server is available and serves the version, regardless
    ///     of its load. An empty version means any with a share above 0.
    [[nodiscard]] bool serves_version(const routing_candidate& row,
                                      std::string_view version) const
    {
        const bool is_wanted = version.empty()
                                   ? weights[row.version].share > 0
                                   : versions[row.version] == version;
        return is_wanted && row.state == server_availability::available;
    }

    [[nodiscard]] transport::failure
    selection_failure(std::string_view version) const
    {
        const auto table = loads.table();
        const bool any_usable =
            std::any_of(table.begin(), table.end(), [&](const auto& row) {
                return serves_version(row, version);
            });
        return any_usable
                   ? transport::failure{transport::verdict::not_run,
                                        transport::reason::overloaded,
                                        "Every backend server is full."}
                   : transport::failure{transport::verdict::not_run,
                                        transport::reason::no_backend_server,
                                        "No backend server can be used."};
    }

    [[nodiscard]] bool
    must_leave_reserve(transport::monotonic_time now,
                       protocol::priority_class priority) const
    {
        return priority != protocol::priority_class::interactive &&
               now < interactive_reserve_until;
    }

    /// @return This entry's equal share of the slots outside the interactive
    ///     reserve. Each entry enforces it by its own counts, because load
    ///     reports arrive too late to protect the reserve.
    [[nodiscard]] double non_interactive_quota() const
    {
        const double share = usable_slots * (1 - settings.interactive_reserve) /
                             static_cast<double>(peers);
        return std::max(share, 1.0);
    }

    /// @return Whether a request should wait in the entry's queue instead of
    ///     on the server. In the entry, requests of a higher class can overtake
    ///     it, and it can still be refused. Always false for the baselines,
    ///     which do not predict queueing.
    [[nodiscard]] bool is_congested(transport::monotonic_time now,
                                    const routing_candidate& row,
                                    protocol::priority_class priority) const
    {
        if (settings.balancer != balancer_kind::predicted_first_token)
        {
            return false;
        }
        const bool is_reserve_reached =
            row.in_flight >= row.slots * (1 - settings.interactive_reserve);
        const auto position =
            static_cast<std::size_t>(&row - loads.table().data());
        const auto quota = non_interactive_quota();
        const bool is_over_quota =
            non_interactive_in_flight >= quota ||
            servers[position].non_interactive_in_flight >=
                std::ceil(quota / std::max(usable_servers, 1U));
        if (must_leave_reserve(now, priority) &&
            (is_reserve_reached || is_over_quota))
        {
            return true;
        }
        const std::chrono::duration<double> queueing{
            predicted_first_token::queue_seconds(row)};
        return row.in_flight >= row.slots && queueing > settings.max_queueing;
    }

    /// @return The eligible, uncongested server with the shortest predicted
    ///     time to first token; used if the balancer's choice is congested.
    [[nodiscard]] server_index
    find_uncongested(transport::monotonic_time now,
                     const request_profile& profile) const
    {
        const auto table = loads.table();
        server_index best = no_server;
        double shortest_seconds = 0;
        for (server_index position = 0; position < table.size(); ++position)
        {
            if (!is_eligible(table[position], profile, position) ||
                is_congested(now, table[position], profile.priority))
            {
                continue;
            }
            const double seconds = predicted_first_token::first_token_seconds(
                table[position], profile.prompt_tokens,
                cached_tokens_on(profile.matches, position));
            if (best == no_server || seconds < shortest_seconds)
            {
                best = position;
                shortest_seconds = seconds;
            }
        }
        return best;
    }

    route_choice record_dispatch(transport::monotonic_time now,
                                 server_index position,
                                 const request_profile& profile, double cached)
    {
        const auto& row = loads.table()[position];
        route_choice choice;
        choice.server = servers[position].name;
        choice.address = servers[position].address;
        choice.version = servers[position].version;
        choice.prompt_tokens = profile.prompt_tokens;
        choice.priority = profile.priority;
        choice.cached_tokens = std::min(cached, profile.prompt_tokens);
        choice.predicted_first_token =
            seconds_to_microseconds(predicted_first_token::first_token_seconds(
                row, profile.prompt_tokens, cached));
        routing_candidate idle = row;
        idle.in_flight = 0;
        idle.queued_prompt_tokens = 0;
        idle.slowdown = std::chrono::microseconds{0};
        choice.unloaded_first_token =
            seconds_to_microseconds(predicted_first_token::first_token_seconds(
                idle, profile.prompt_tokens, cached));
        choice.sent = loads.on_sent(
            now, position, profile.prompt_tokens - choice.cached_tokens);
        servers[position].concurrency.on_sent();
        count_non_interactive(choice, 1);
        return choice;
    }

    /// @param change 1 or -1; the unsigned counters wrap around for -1.
    void count_non_interactive(const route_choice& choice, int change)
    {
        if (choice.priority != protocol::priority_class::interactive)
        {
            non_interactive_in_flight += static_cast<std::uint32_t>(change);
            servers[choice.sent.server].non_interactive_in_flight +=
                static_cast<std::uint32_t>(change);
        }
    }

    void release_request(transport::monotonic_time now,
                         const route_choice& choice, double output_tokens)
    {
        loads.on_ended(now, choice.sent, output_tokens);
        servers[choice.sent.server].concurrency.on_ended();
        count_non_interactive(choice, -1);
    }

    void update_concurrency_limit(transport::monotonic_time now,
                                  const route_choice& choice,
                                  concurrency_sample sample)
    {
        auto& limit = servers[choice.sent.server].concurrency;
        const auto observed =
            std::chrono::duration_cast<std::chrono::microseconds>(
                now - choice.sent.sent_at);
        limit.on_sample(now, sample, observed, choice.unloaded_first_token);
        loads.table()[choice.sent.server].concurrency_limit = limit.limit();
    }
};

} // namespace hyssopdeal::coordination

#endif
