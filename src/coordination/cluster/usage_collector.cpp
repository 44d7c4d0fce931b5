/// @file
/// Sums usage by window.

#include <hyssopdeal/coordination/cluster/usage_collector.hpp>

#include <algorithm>

#include <fmt/format.h>

namespace hyssopdeal::coordination
{

using std::chrono::milliseconds;
using transport::wall_time;

namespace
{

/// Only a report at least this long after a window's end is taken to hold the
/// window's final counts.
constexpr milliseconds final_report_delay{300};

} // namespace

usage_collector::usage_collector(usage_settings settings)
    : settings_(settings)
{}

void usage_collector::on_report(wall_time true_now,
                                const protocol::entry_report& report)
{
    if (first_report_ == wall_time{})
    {
        first_report_ = true_now;
    }
    auto& own =
        entries_[fmt::format("{}#{}", report.entry, report.incarnation)];
    own.reported_at = true_now;
    for (const auto& item : report.usage)
    {
        auto& window = own.windows[item.window];
        for (const auto& [organisation, count] : item.counts)
        {
            auto& highest = window[organisation];
            highest = std::max(highest, count);
        }
    }
    while (own.windows.size() > cluster_state::max_usage_windows)
    {
        own.windows.erase(own.windows.begin());
    }
    // Entries expire after several windows; sweeping more often has no use.
    constexpr milliseconds sweep_interval{1'000};
    if (true_now < next_sweep_)
    {
        return;
    }
    next_sweep_ = true_now + sweep_interval;
    const auto oldest = true_now - settings_.due - 4 * settings_.window;
    std::erase_if(entries_, [&](const auto& item) {
        return item.second.reported_at < oldest;
    });
}

std::optional<decide_usage_command>
usage_collector::next_decision(wall_time true_now, const cluster_state& state)
{
    if (first_report_ == wall_time{})
    {
        return std::nullopt;
    }
    const auto window_of = [&](wall_time at) {
        return static_cast<std::uint64_t>(at.time_since_epoch() /
                                          settings_.window);
    };
    const auto end_of = [&](std::uint64_t window) {
        return wall_time{settings_.window * (window + 1)};
    };
    const auto first =
        std::max(window_of(first_report_), window_of(true_now - settings_.due));
    for (auto window = first;
         end_of(window) + settings_.report_grace <= true_now; ++window)
    {
        const bool decided =
            std::any_of(state.usage().begin(), state.usage().end(),
                        [&](const auto& at) { return at.window == window; });
        const bool overdue = end_of(window) + settings_.due <= true_now;
        if (decided || overdue)
        {
            continue;
        }
        // From then on the window is decided without missing reports.
        const bool must_decide =
            end_of(window) + settings_.due * 7 / 10 <= true_now;
        const bool awaiting_reports = std::any_of(
            entries_.begin(), entries_.end(), [&](const auto& item) {
                return item.second.reported_at <
                           end_of(window) + final_report_delay &&
                       true_now - item.second.reported_at <
                           settings_.entry_timeout;
            });
        const bool startup_done =
            true_now - first_report_ >= settings_.startup_wait;
        if ((awaiting_reports || !startup_done) && !must_decide)
        {
            return std::nullopt;
        }
        decide_usage_command decision;
        decision.window = window;
        for (const auto& [name, entry] : entries_)
        {
            const auto counted = entry.windows.find(window);
            if (counted == entry.windows.end())
            {
                continue;
            }
            for (const auto& [organisation, count] : counted->second)
            {
                decision.counts[organisation] += count;
            }
        }
        return decision;
    }
    return std::nullopt;
}

} // namespace hyssopdeal::coordination
