#include <hyssopdeal/coordination/load_balancer_router.hpp>

#include <algorithm>

#include <hyssopdeal/transport/logging.hpp>

#include "load_balancer_router_state.hpp"

namespace hyssopdeal::coordination
{

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
    const double cached = cached_on(facts.matches, at);
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

class_states service_router::rooms(transport::monotonic_time now) const
{
    class_states rooms{};
    for (std::size_t index = 0; index < rooms.size(); ++index)
    {
        const auto priority = static_cast<protocol::priority_class>(index);
        rooms.at(index) =
            has_room(now, priority) ? class_state::open : class_state::full;
    }
    return rooms;
}

bool service_router::has_room(transport::monotonic_time now,
                              protocol::priority_class priority) const
{
    impl_->refresh(now);
    const auto table = impl_->loads.table();
    return std::any_of(
        table.begin(), table.end(), [&](const routing_candidate& row) {
            return row.state == server_availability::available &&
                   row.own_in_flight < own_limit(row, priority) &&
                   !impl_->is_congested(now, row, priority);
        });
}

} // namespace hyssopdeal::coordination
