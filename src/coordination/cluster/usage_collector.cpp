/// @file
/// Adds up usage by window.

#include <hyssopdeal/coordination/cluster/usage_collector.hpp>

#include <algorithm>

#include <fmt/format.h>

namespace hyssopdeal::coordination
{

using std::chrono::milliseconds;
using transport::wall_time;

usage_collector::usage_collector(usage_settings settings)
    : settings_(settings)
{}

void usage_collector::on_report(wall_time now_true,
                                const protocol::entry_report& report)
{
    if (first_report_ == wall_time{})
    {
        first_report_ = now_true;
    }
    auto& own =
        entries_[fmt::format("{}#{}", report.entry, report.incarnation)];
    own.reported = now_true;
    for (const auto& item : report.usage)
    {
        auto& window = own.windows[item.window];
        for (const auto& [organisation, count] : item.counts)
        {
            auto& held = window[organisation];
            held = std::max(held, count);
        }
    }
    while (own.windows.size() > cluster_state::max_usage_windows)
    {
        own.windows.erase(own.windows.begin());
    }
    // Who is silent for so long is told apart by seconds.
    constexpr milliseconds sweep_interval{1'000};
    if (now_true < next_sweep_)
    {
        return;
    }
    next_sweep_ = now_true + sweep_interval;
    const auto oldest = now_true - settings_.due - 4 * settings_.window;
    std::erase_if(entries_, [&](const auto& item) {
        return item.second.reported < oldest;
    });
}

std::optional<decide_usage_command>
usage_collector::next_decision(wall_time now_true, const cluster_state& state)
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
        std::max(window_of(first_report_), window_of(now_true - settings_.due));
    for (auto window = first; end_of(window) + settings_.settle <= now_true;
         ++window)
    {
        const bool decided =
            std::any_of(state.usage().begin(), state.usage().end(),
                        [&](const auto& at) { return at.window == window; });
        const bool overdue = end_of(window) + settings_.due <= now_true;
        if (decided || overdue)
        {
            continue;
        }
        const bool late = end_of(window) + settings_.due * 7 / 10 <= now_true;
        const bool missing = std::any_of(
            entries_.begin(), entries_.end(), [&](const auto& item) {
                return item.second.reported <
                           end_of(window) + milliseconds{300} &&
                       now_true - item.second.reported < settings_.silent_after;
            });
        const bool all_heard =
            now_true - first_report_ >= settings_.all_heard_after;
        if ((missing || !all_heard) && !late)
        {
            return std::nullopt;
        }
        decide_usage_command decision;
        decision.window = window;
        for (const auto& [name, entry] : entries_)
        {
            const auto found = entry.windows.find(window);
            if (found == entry.windows.end())
            {
                continue;
            }
            for (const auto& [organisation, count] : found->second)
            {
                decision.counts[organisation] += count;
            }
        }
        return decision;
    }
    return std::nullopt;
}

} // namespace hyssopdeal::coordination
