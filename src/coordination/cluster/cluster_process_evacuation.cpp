/// @file
/// Evacuation of failure domains.

#include "coordination/cluster/cluster_process_impl.hpp"

#include <algorithm>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <hyssopdeal/transport/event_log.hpp>

#include "protocol/message_pack.hpp"

namespace hyssopdeal::coordination
{

using transport::fail;
using transport::log_event;
using transport::reason;

/// @return Whether an order may name the domain. One that was named before
/// remains known when its last server is gone from the list, so that an accepted
/// order is never refused when it is sent again.
transport::result<void>
cluster_process::impl::check_domain(const std::string& domain) const
{
    const auto& configured = settings.known_domains;
    const bool ordered = machine && machine->state().knows_domain(domain);
    if (configured.empty() && listed_domains.empty() && !ordered)
    {
        return fail(reason::no_quorum,
                    "The failure domains are not known yet.");
    }
    if (!configured.contains(domain) && !listed_domains.contains(domain) &&
        !ordered)
    {
        return fail(reason::not_found,
                    fmt::format("No failure domain is named \"{}\".", domain));
    }
    return {};
}

void cluster_process::put_evacuation(const std::string& domain, bool evacuated,
                                     const result_callback& on_done)
{
    const auto finish = [domain, evacuated,
                         on_done](const transport::result<void>& done) {
        constexpr std::size_t max_logged_bytes = 64;
        log_event("evacuation.ordered",
                  {{"domain", domain.substr(0, max_logged_bytes)},
                   {"order", evacuated ? "begin" : "end"},
                   {"outcome", done ? "accepted" : done.error().text}});
        on_done(done);
    };
    impl_->submit(request_kind::put_evacuation,
                  protocol::pack_message(protocol::exact_json{
                      {"domain", domain}, {"evacuated", evacuated}}),
                  [finish](const auto& ended) {
                      ended ? finish({})
                            : finish(tl::make_unexpected(ended.error()));
                  });
}

/// Replicates an order. One that is in force already is replicated as well, so
/// that the log decides between orders that arrive at the same time.
void cluster_process::impl::propose_evacuation(
    const protocol::exact_json& order, const result_callback& on_done)
{
    put_evacuation_command command;
    order.at("domain").get_to(command.domain);
    order.at("evacuated").get_to(command.evacuated);
    // Only here: a follower may not have seen a server of the domain yet.
    if (const auto known = check_domain(command.domain); !known)
    {
        return on_done(known);
    }
    command.at_ms = quorum_time().time_since_epoch().count();
    propose(command, [this, on_done](const transport::result<void>& done) {
        // The other domains need servers before this one is lost.
        next_capacity_plan = {};
        on_done(done);
    });
}

std::set<std::string> cluster_process::impl::evacuated() const
{
    std::set<std::string> domains;
    for (const auto& [domain, at_ms] : machine->state().evacuations())
    {
        domains.insert(domain);
    }
    return domains;
}

void cluster_process::impl::log_entries_behind()
{
    if (!machine)
    {
        return;
    }
    constexpr std::size_t max_names = 8; // Bounds the length of the log line.
    const auto revision = machine->state().evacuation_revision();
    auto behind =
        evacuation_reports.take_behind(clock.monotonic_now(), revision);
    if (!leads() || behind.empty())
    {
        return;
    }
    const auto count = behind.size();
    behind.resize(std::min(max_names, count));
    log_event("evacuation.behind",
              {{"revision", revision},
               {"entries", count},
               {"first", fmt::format("{}", fmt::join(behind, ","))}});
}

} // namespace hyssopdeal::coordination
