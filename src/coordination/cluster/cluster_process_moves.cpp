/// @file
/// Rollouts of new service versions, run by the leader.

#include "coordination/cluster/cluster_process_impl.hpp"

#include <algorithm>
#include <set>

#include <hyssopdeal/transport/event_log.hpp>

namespace hyssopdeal::coordination
{

using transport::log_event;

namespace
{

// About the interval at which entries report to the leader, see
// report_interval().
constexpr std::chrono::milliseconds move_interval{250};

} // namespace

/// @return The running move for a rollout record; null if not started yet.
const version_rollout*
cluster_process::impl::find_move(const rollout_record& order) const
{
    const auto found = moves.find(order.service);
    const bool same = found != moves.end() &&
                      found->second.order().started_ms == order.started_ms;
    return same ? &found->second : nullptr;
}

/// @return The running move for a rollout record, started if necessary.
version_rollout&
cluster_process::impl::find_or_start_move(const rollout_record& order)
{
    if (find_move(order) != nullptr)
    {
        return moves.at(order.service);
    }
    std::set<std::string> other_versions;
    for (const auto& server : listing.servers)
    {
        if (server.service == order.service && server.version != order.target)
        {
            other_versions.insert(server.version);
        }
    }
    return moves
        .insert_or_assign(
            order.service,
            version_rollout{settings.moves,
                            order,
                            {other_versions.begin(), other_versions.end()}})
        .first->second;
}

void cluster_process::impl::on_version_reports(
    const protocol::entry_report& report)
{
    if (!leads() || !listing_read_at)
    {
        return;
    }
    for (const auto& [service, order] : machine->state().rollouts())
    {
        // An entry sends its evidence to a new leader once.
        if (order.state == rollout_state::running)
        {
            find_or_start_move(order);
        }
    }
    for (const auto& [service, counts] : report.moves)
    {
        if (const auto found = moves.find(service); found != moves.end())
        {
            found->second.on_counts(report.entry, report.incarnation, counts);
        }
    }
    for (const auto& bytes : report.evidence)
    {
        const auto evidence = decode_version_report(bytes);
        if (!evidence)
        {
            log_event("peer.bad_message", {{"what", "version report"},
                                           {"error", evidence.error().text}});
            continue;
        }
        if (const auto found = moves.find(evidence->service);
            found != moves.end())
        {
            found->second.on_evidence(*evidence);
        }
    }
}

void cluster_process::impl::advance_moves()
{
    const auto now = clock.monotonic_now();
    if (now < next_move_step || !leads() || leading_term == 0 ||
        !listing_read_at)
    {
        return;
    }
    next_move_step = now + move_interval;
    const auto rollouts = machine->state().rollouts();
    for (const auto& item : rollouts)
    {
        const auto& service = item.first;
        const auto& order = item.second;
        if (order.state != rollout_state::running)
        {
            continue;
        }
        auto& move = find_or_start_move(order);
        const bool ready = std::any_of(
            listing.servers.begin(), listing.servers.end(),
            [&](const auto& server) {
                return server.service == order.service &&
                       server.version == order.target &&
                       server.state == protocol::server_state::ready;
            });
        const auto before = move.target_share();
        const auto next = move.advance(now, quorum_time(), ready);
        if (before != next.target_share)
        {
            log_event("move.share", {{"service", service},
                                     {"target", order.target},
                                     {"share", next.target_share}});
        }
        if (!next.end || move_end_proposed)
        {
            continue;
        }
        move_end_proposed = true;
        log_event("move.ends",
                  {{"service", service},
                   {"target", order.target},
                   {"completed", *next.end == rollout_state::completed},
                   {"evidence", move.evidence()}});
        auto ended = order;
        ended.state = *next.end;
        propose(put_rollout_command{std::move(ended)},
                [this](const auto& done) {
                    move_end_proposed = false;
                    if (!done)
                    {
                        log_event("move.end_not_decided",
                                  {{"error", done.error().text}});
                    }
                });
    }
}

std::map<std::string, protocol::version_order>
cluster_process::impl::version_orders(
    const protocol::entry_report& report) const
{
    std::map<std::string, protocol::version_order> orders;
    for (const auto& [service, rollout] : machine->state().rollouts())
    {
        const bool running = rollout.state == rollout_state::running;
        const auto* move = find_move(rollout);
        protocol::version_order order;
        order.target = rollout.target;
        order.started_ms = rollout.started_ms;
        order.running = running;
        order.target_share = rollout.state == rollout_state::completed ? 1 : 0;
        order.retired = rollout.retired;
        if (running && move != nullptr)
        {
            const auto counts = report.moves.find(service);
            const bool same = counts != report.moves.end() &&
                              counts->second.started_ms == rollout.started_ms;
            order.target_share = move->target_share();
            order.target_most = move->target_request_limit(
                same ? counts->second : protocol::version_counts{});
        }
        orders[service] = std::move(order);
    }
    return orders;
}

} // namespace hyssopdeal::coordination
