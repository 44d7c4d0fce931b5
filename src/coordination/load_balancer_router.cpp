#include <hyssopdeal/coordination/load_balancer_router.hpp>

#include <algorithm>
#include <optional>

#include <hyssopdeal/coordination/load_balancer_shares.hpp>
#include <hyssopdeal/transport/logging.hpp>

namespace hyssopdeal::coordination
{

namespace
{

using balancer = std::variant<predicted_first_token, round_robin,
                              least_reported_load, power_of_two_reported>;

/// How often the table is read anew while a server is ejected.
constexpr std::chrono::milliseconds refresh_interval{100};

balancer make_balancer(const router_settings& settings)
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

std::chrono::microseconds to_time(double seconds)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::duration<double>(seconds));
}

bool is_lower(const route_choice& choice)
{
    return choice.priority != protocol::priority_class::interactive;
}

/// What is known of a server beside its row in the table.
struct server_facts
{
    std::string name; ///< Empty: the position is free.
    std::string address;
    std::string version;
    bool leaving = false;
    server_availability reach = server_availability::available;
    concurrency_limit concurrency{concurrency_settings{}};
};

} // namespace

struct service_router::impl
{
    explicit impl(router_settings wanted)
        : settings(std::move(wanted)),
          choice(make_balancer(settings)),
          prefixes(prefix_index_settings{settings.subset.size * 2}),
          outliers(settings.outliers)
    {}

    router_settings settings;
    balancer choice;
    load_estimate loads;
    prefix_index prefixes;
    outlier_detector outliers;
    version_shares shares;
    std::vector<server_facts> servers;
    std::vector<std::string> versions;
    std::vector<protocol::version_share> declared_shares;
    std::vector<version_weight> weights; ///< Reused by refresh().
    transport::monotonic_time refresh_at{};
    transport::monotonic_time interactive_until{}; ///< Slots are kept free.
    std::uint32_t lower_in_flight = 0;             ///< Own, not interactive.
    std::uint32_t peers = 1;
    double usable_slots = 0; ///< Of all servers that may be used.
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
            servers[at] = server_facts{};
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
        refresh_at = now + refresh_interval;
        weights.assign(versions.size(), {});
        usable_slots = 0;
        for (server_index at = 0; at < servers.size(); ++at)
        {
            auto& row = loads.table()[at];
            row.state = state_of(now, at);
            const bool is_usable = row.state == server_availability::available;
            weights[row.version].usable_servers += is_usable ? 1 : 0;
            usable_slots += is_usable ? row.slots : 0;
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

    server_index ask(transport::monotonic_time now, const request_facts& facts,
                     std::mt19937_64& random)
    {
        return std::visit(
            [&](auto& used) {
                return used.choose(now, facts, loads.table(), random);
            },
            choice);
    }

    /// Asks for a server that did not fail this request, else for any.
    server_index ask_twice(transport::monotonic_time now, request_facts facts,
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
                                 request_facts& facts, std::mt19937_64& random)
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
                                std::string_view version, request_facts& facts,
                                std::mt19937_64& random)
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
        if (leaves_reserve(now, priority) &&
            (is_full || lower_in_flight >= lower_quota()))
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
                     const request_facts& facts) const
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
            const double wait = predicted_first_token::queue_seconds(table[at]);
            if (best == no_server || wait < shortest)
            {
                best = at;
                shortest = wait;
            }
        }
        return best;
    }

    route_choice commit(transport::monotonic_time now, server_index at,
                        const request_facts& facts, double cached)
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
            to_time(predicted_first_token::first_token_seconds(
                row, facts.prompt_tokens, cached));
        routing_candidate idle = row;
        idle.in_flight = 0;
        idle.queued_prompt_tokens = 0;
        idle.slowdown = std::chrono::microseconds{0};
        made.unloaded_first_token =
            to_time(predicted_first_token::first_token_seconds(
                idle, facts.prompt_tokens, cached));
        made.sent =
            loads.on_sent(now, at, facts.prompt_tokens - made.cached_tokens);
        servers[at].concurrency.on_sent();
        lower_in_flight += is_lower(made) ? 1 : 0;
        return made;
    }

    void end(transport::monotonic_time now, const route_choice& made,
             double output_tokens)
    {
        loads.on_ended(now, made.sent, output_tokens);
        servers[made.sent.server].concurrency.on_ended();
        lower_in_flight -= is_lower(made) ? 1 : 0;
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

service_router::service_router(router_settings settings)
    : impl_(std::make_unique<impl>(std::move(settings)))
{}

service_router::service_router(service_router&&) noexcept = default;
service_router& service_router::operator=(service_router&&) noexcept = default;
service_router::~service_router() = default;

void service_router::set_service(const protocol::service& declared,
                                 const std::vector<std::string>& leaving)
{
    std::vector<subset_member> members;
    for (const auto& server : declared.servers)
    {
        members.push_back({server.name, server.failure_domain});
    }
    const auto used = deterministic_subset(impl_->settings.entry,
                                           impl_->settings.failure_domain,
                                           members, impl_->settings.subset);
    for (auto& known : impl_->servers)
    {
        const bool stays =
            std::any_of(used.begin(), used.end(), [&](std::uint32_t position) {
                return declared.servers[position].name == known.name;
            });
        if (!stays)
        {
            known.name.clear();
        }
    }
    for (const auto position : used)
    {
        impl_->place(declared.servers[position]);
    }
    impl_->declared_shares = declared.shares;
    for (const auto& name : leaving)
    {
        set_leaving(name);
    }
    impl_->dirty = true;
}

void service_router::set_leaving(std::string_view server)
{
    const auto at = impl_->position_of(server);
    if (at != no_server && !impl_->servers[at].leaving)
    {
        impl_->servers[at].leaving = true;
        impl_->dirty = true;
        transport::log_info(transport::log_part::route,
                            "Server is leaving. server={}", server);
    }
}

void service_router::set_state(std::string_view server,
                               server_availability state)
{
    if (state == server_availability::leaving)
    {
        set_leaving(server);
        return;
    }
    const auto at = impl_->position_of(server);
    if (at != no_server)
    {
        impl_->servers[at].reach = state;
        impl_->dirty = true;
    }
}

void service_router::set_peers(std::uint32_t entries)
{
    impl_->peers = std::max(entries, 1U);
    impl_->loads.set_peers(entries);
}

void service_router::set_hazard(std::string_view server,
                                double reclaims_per_hour)
{
    const auto at = impl_->position_of(server);
    if (at != no_server)
    {
        impl_->loads.table()[at].reclaim_hazard_per_hour = reclaims_per_hour;
    }
}

void service_router::on_report(transport::monotonic_time now,
                               std::string_view server,
                               const load_report& report)
{
    const auto at = impl_->position_of(server);
    if (at != no_server)
    {
        impl_->loads.on_report(now, at, report);
    }
}

void service_router::on_cache_event(std::string_view server,
                                    const cache_event& event)
{
    const auto at = impl_->position_of(server);
    if (at != no_server)
    {
        impl_->prefixes.on_event(at, event);
    }
}

transport::result<route_choice>
service_router::choose(transport::monotonic_time now,
                       const route_request& request, std::mt19937_64& random)
{
    impl_->refresh(now);
    if (request.priority == protocol::priority_class::interactive)
    {
        impl_->interactive_until = now + impl_->settings.interactive_memory;
    }
    const auto chain = make_prefix_chain(request.prompt);
    prefix_index::match_list matches;
    const auto found = impl_->prefixes.find(chain, matches);
    std::vector<server_index> avoid;
    for (const auto& name : request.avoid)
    {
        avoid.push_back(impl_->position_of(name));
    }
    request_facts facts;
    facts.prompt_tokens =
        request.prompt_tokens > 0
            ? request.prompt_tokens
            : static_cast<double>(request.prompt.size()) / bytes_per_token;
    facts.expected_output_tokens = request.max_new_tokens > 0
                                       ? request.max_new_tokens
                                       : impl_->settings.default_output_tokens;
    facts.priority = request.priority;
    facts.matches = std::span{matches}.first(found);
    facts.avoid = avoid;
    auto at = impl_->choose_version(now, request.version, facts, random);
    if (at != no_server &&
        impl_->is_congested(now, impl_->loads.table()[at], facts.priority))
    {
        at = impl_->find_uncongested(now, facts);
    }
    if (at == no_server)
    {
        return tl::unexpected{impl_->no_choice(request.version)};
    }
    double cached = 0;
    for (const auto& match : facts.matches)
    {
        cached = match.server == at ? match.cached_tokens : cached;
    }
    impl_->prefixes.on_dispatch(at, chain);
    return impl_->commit(now, at, facts, cached);
}

void service_router::on_first_token(transport::monotonic_time now,
                                    route_choice& choice)
{
    if (!choice.sent.first_token_seen)
    {
        impl_->learn(now, choice, concurrency_sample::answered);
        impl_->loads.on_first_token(now, choice.sent,
                                    choice.predicted_first_token);
    }
}

void service_router::on_ended(transport::monotonic_time now,
                              const route_choice& choice,
                              attempt_outcome outcome, double output_tokens)
{
    impl_->end(now, choice, output_tokens);
    if (impl_->outliers.on_outcome(now, choice.sent.server, outcome))
    {
        impl_->dirty = true;
        transport::log_warning(transport::log_part::route,
                               "Server is ejected after failures. server={}",
                               choice.server);
    }
}

void service_router::on_refused(transport::monotonic_time now,
                                const route_choice& choice)
{
    impl_->end(now, choice, 0);
    impl_->learn(now, choice, concurrency_sample::overloaded);
}

std::vector<service_router::table_row> service_router::rows() const
{
    std::vector<table_row> rows;
    for (server_index at = 0; at < impl_->servers.size(); ++at)
    {
        const auto& known = impl_->servers[at];
        if (!known.name.empty())
        {
            rows.push_back(
                {known.name, known.version, impl_->loads.table()[at]});
        }
    }
    return rows;
}

bool service_router::has_room(transport::monotonic_time now,
                              protocol::priority_class priority) const
{
    impl_->refresh(now);
    const auto table = impl_->loads.table();
    return std::any_of(table.begin(), table.end(),
                       [&](const routing_candidate& row) {
                           return row.state == server_availability::available &&
                                  row.own_in_flight < row.concurrency_limit &&
                                  !impl_->is_congested(now, row, priority);
                       });
}

} // namespace hyssopdeal::coordination
