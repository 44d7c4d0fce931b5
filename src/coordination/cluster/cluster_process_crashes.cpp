/// @file
/// Quarantine of prompts that crash servers.

#include "coordination/cluster/cluster_process_impl.hpp"

#include <utility>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <hyssopdeal/transport/event_log.hpp>

namespace hyssopdeal::coordination
{

using transport::log_event;

namespace
{

// In addition to the interval of reports, for two of them on their way.
constexpr std::chrono::milliseconds settle_margin{250};
constexpr std::chrono::milliseconds decision_interval{100};

std::string text_of(const protocol::part_ids& parts)
{
    return fmt::format("{:x}", fmt::join(parts, ","));
}

} // namespace

void cluster_process::impl::on_crash_report(
    const protocol::entry_report& report)
{
    const auto& seen = report.crashes;
    if (!seen.broken.empty() || !seen.answered.empty())
    {
        crashes.on_report(clock.monotonic_now(), report.entry,
                          report.incarnation, seen);
    }
    if (!leads())
    {
        return;
    }
    for (const auto& parts : seen.disproved)
    {
        if (machine->state().quarantines().contains(parts))
        {
            propose_quarantine(lift_quarantine_command{parts},
                               "quarantine.lifted", parts);
        }
    }
}

void cluster_process::impl::advance_quarantines()
{
    const auto now = clock.monotonic_now();
    if (now < next_quarantine_step || !leads() || quarantine_proposed)
    {
        return;
    }
    next_quarantine_step = now + decision_interval;
    const auto next = crashes.next_quarantine(now, quorum_time(), leader_since,
                                              report_interval() + settle_margin,
                                              machine->state().quarantines());
    if (next)
    {
        propose_quarantine(put_quarantine_command{*next}, "quarantine.started",
                           next->parts);
    }
}

void cluster_process::impl::propose_quarantine(const cluster_command& command,
                                               std::string_view event,
                                               const protocol::part_ids& parts)
{
    if (std::exchange(quarantine_proposed, true))
    {
        return;
    }
    log_event(event, {{"parts", text_of(parts)}});
    propose(command, [this](const auto& done) {
        quarantine_proposed = false;
        if (!done)
        {
            log_event("quarantine.not_decided", {{"error", done.error().text}});
        }
    });
}

protocol::crash_orders cluster_process::impl::crash_orders() const
{
    protocol::crash_orders orders;
    orders.suspects = crashes.suspects();
    const auto true_now = quorum_time();
    for (const auto& [parts, record] : machine->state().quarantines())
    {
        if (in_force(record, true_now))
        {
            orders.quarantine.push_back(
                {parts, record.until_ms - true_now.time_since_epoch().count()});
        }
    }
    return orders;
}

} // namespace hyssopdeal::coordination
