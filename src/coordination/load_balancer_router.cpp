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
                                 const std::vector<std::string>& leaving,
                                 const domain_names& evacuated)
{
    std::vector<subset_member> members;
    std::vector<const protocol::backend_server*> candidates;
    std::vector<const protocol::backend_server*> used;
    for (const auto& server : declared.servers)
    {
        if (!evacuated.contains(server.failure_domain))
        {
            members.push_back({server.name, server.failure_domain});
            candidates.push_back(&server);
        }
        else if (impl_->position_of(server.name) != no_server)
        {
            used.push_back(&server);
        }
    }
    for (const auto position : deterministic_subset(
             impl_->settings.entry, impl_->settings.failure_domain, members,
             impl_->settings.subset))
    {
        used.push_back(candidates[position]);
    }
    for (auto& server : impl_->servers)
    {
        const bool is_used =
            std::any_of(used.begin(), used.end(), [&](const auto* item) {
                return item->name == server.name;
            });
        if (!is_used)
        {
            server.name.clear();
        }
    }
    for (const auto* server : used)
    {
        impl_->add_or_update_server(*server);
        impl_->servers[impl_->position_of(server->name)].evacuated =
            evacuated.contains(server->failure_domain);
    }
    impl_->declared_shares = declared.shares;
    for (const auto& name : leaving)
    {
        set_leaving(name);
    }
    impl_->needs_refresh = true;
}

void service_router::set_leaving(std::string_view server)
{
    const auto position = impl_->position_of(server);
    if (position != no_server && !impl_->servers[position].leaving)
    {
        impl_->servers[position].leaving = true;
        impl_->needs_refresh = true;
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
    const auto position = impl_->position_of(server);
    if (position != no_server)
    {
        impl_->servers[position].reachability = state;
        impl_->needs_refresh = true;
    }
}

void service_router::set_peers(std::uint32_t entries)
{
    impl_->peers = std::max(entries, 1U);
    impl_->loads.set_peers(entries);
}

void service_router::set_reclaim_hazard(std::string_view server,
                                        double reclaims_per_hour)
{
    const auto position = impl_->position_of(server);
    if (position != no_server)
    {
        impl_->loads.table()[position].reclaim_hazard_per_hour =
            reclaims_per_hour;
    }
}

void service_router::on_report(transport::monotonic_time now,
                               std::string_view server,
                               const load_report& report)
{
    const auto position = impl_->position_of(server);
    if (position != no_server)
    {
        impl_->loads.on_report(now, position, report);
    }
}

void service_router::on_cache_event(std::string_view server,
                                    const cache_event& event)
{
    const auto position = impl_->position_of(server);
    if (position != no_server)
    {
        impl_->prefixes.on_event(position, event);
    }
}

transport::result<route_choice>
service_router::choose(transport::monotonic_time now,
                       const route_request& request, std::mt19937_64& random)
{
    impl_->refresh(now);
    if (request.priority == protocol::priority_class::interactive)
    {
        impl_->interactive_reserve_until =
            now + impl_->settings.interactive_reserve_time;
    }
    const auto chain = make_prefix_chain(request.prompt);
    prefix_index::match_list matches;
    const auto found = impl_->prefixes.find(chain, matches);
    std::vector<server_index> avoid;
    for (const auto& name : request.avoid)
    {
        avoid.push_back(impl_->position_of(name));
    }
    request_profile profile;
    profile.prompt_tokens =
        request.prompt_tokens > 0
            ? request.prompt_tokens
            : static_cast<double>(request.prompt.size()) / bytes_per_token;
    profile.expected_output_tokens =
        request.max_new_tokens > 0 ? request.max_new_tokens
                                   : impl_->settings.default_output_tokens;
    profile.priority = request.priority;
    profile.matches = std::span{matches}.first(found);
    profile.avoid = avoid;
    auto position =
        impl_->choose_for_version(now, request.version, profile, random);
    if (position != no_server &&
        impl_->is_congested(now, impl_->loads.table()[position],
                            profile.priority))
    {
        position = impl_->find_uncongested(now, profile);
    }
    if (position == no_server)
    {
        return tl::unexpected{impl_->selection_failure(request.version)};
    }
    const double cached = cached_tokens_on(profile.matches, position);
    impl_->prefixes.on_dispatch(position, chain);
    return impl_->record_dispatch(now, position, profile, cached);
}

void service_router::on_first_token(transport::monotonic_time now,
                                    route_choice& choice)
{
    if (!choice.sent.first_token_seen)
    {
        impl_->update_concurrency_limit(now, choice,
                                        concurrency_sample::answered);
        impl_->loads.on_first_token(now, choice.sent,
                                    choice.predicted_first_token);
    }
}

void service_router::on_ended(transport::monotonic_time now,
                              const route_choice& choice,
                              attempt_outcome outcome, double output_tokens)
{
    impl_->release_request(now, choice, output_tokens);
    if (impl_->outliers.on_outcome(now, choice.sent.server, outcome))
    {
        impl_->needs_refresh = true;
        transport::log_warning(transport::log_part::route,
                               "Server is ejected after failures. server={}",
                               choice.server);
    }
}

void service_router::on_refused(transport::monotonic_time now,
                                const route_choice& choice)
{
    impl_->release_request(now, choice, 0);
    impl_->update_concurrency_limit(now, choice,
                                    concurrency_sample::overloaded);
}

std::vector<service_router::table_row> service_router::rows() const
{
    std::vector<table_row> rows;
    for (server_index position = 0; position < impl_->servers.size();
         ++position)
    {
        const auto& server = impl_->servers[position];
        if (!server.name.empty())
        {
            rows.push_back(
                {server.name, server.version, impl_->loads.table()[position]});
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

bool service_router::has_server(transport::monotonic_time now) const
{
    impl_->refresh(now);
    return impl_->usable_servers > 0;
}

bool service_router::has_room(transport::monotonic_time now,
                              protocol::priority_class priority) const
{
    impl_->refresh(now);
    const auto table = impl_->loads.table();
    return std::any_of(
        table.begin(), table.end(), [&](const routing_candidate& row) {
            return row.state == server_availability::available &&
                   row.own_in_flight < in_flight_limit(row, priority) &&
                   !impl_->is_congested(now, row, priority);
        });
}

} // namespace hyssopdeal::coordination
