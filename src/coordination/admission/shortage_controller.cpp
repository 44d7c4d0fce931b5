/// @file
/// Choice of the shares of requests that are refused during a shortage.

#include <hyssopdeal/coordination/admission/shortage_controller.hpp>

#include <algorithm>

#include <fmt/format.h>

#include <hyssopdeal/transport/event_log.hpp>

namespace hyssopdeal::coordination
{

using transport::monotonic_time;

shortage_controller::shortage_controller(monotonic_time now,
                                         shortage_settings settings)
    : settings_(settings),
      leader_since_(now),
      window_ends_at_(now + settings.window)
{}

void shortage_controller::on_report(monotonic_time now,
                                    const protocol::service_pressures& pressure)
{
    const bool takes_over = now - leader_since_ < settings_.takeover;
    for (const auto& [service, ranks] : pressure)
    {
        for (const auto& [number, counts] : ranks)
        {
            auto& rank = services_[service][number];
            rank.asked += static_cast<double>(counts.asked);
            rank.late +=
                static_cast<double>(std::min(counts.late, counts.asked));
            rank.asked_at = now;
            // Shares would rise anew from 0 after each change of leader.
            if (takes_over && counts.turn > rank.share)
            {
                rank.share = std::min(counts.turn, settings_.max_share);
                turns_[service][number] = rank.share;
            }
        }
    }
    if (now >= window_ends_at_)
    {
        end_window(now);
    }
}

double shortage_controller::late_part(const rank_state& rank) const
{
    return rank.late / std::max(rank.asked, settings_.min_requests);
}

/// @return Part of the requests that neither a share nor lack of room refuses.
double shortage_controller::served_part(const rank_state& rank) const
{
    return (1 - rank.share) * (1 - late_part(rank));
}

/// @return Served part of all ranks' requests.
double shortage_controller::average_served(const rank_states& ranks) const
{
    double offered = 0;
    double served = 0;
    for (const auto& [number, rank] : ranks)
    {
        const double asked = rank.asked / (1 - rank.share);
        offered += asked;
        served += asked * served_part(rank);
    }
    return offered > 0 ? served / offered : 1;
}

/// @return Served part of the rank that lacks room most; the average if none
///     does.
double shortage_controller::lowest_served(const rank_states& ranks) const
{
    double lowest = average_served(ranks);
    for (const auto& [number, rank] : ranks)
    {
        if (late_part(rank) > settings_.late)
        {
            lowest = std::min(lowest, served_part(rank));
        }
    }
    return lowest;
}

shortage_controller::rank_state*
shortage_controller::rank_to_raise(rank_states& ranks) const
{
    const double least = settings_.min_served * average_served(ranks);
    double urgent_late = 0;
    rank_state* result = nullptr;
    rank_state* most_served = nullptr;
    for (auto& [number, rank] : ranks)
    {
        const bool may_rise =
            rank.share < settings_.max_share && served_part(rank) > least;
        if (urgent_late > settings_.late && may_rise)
        {
            result = &rank;
        }
        if (may_rise && (most_served == nullptr ||
                         served_part(rank) > served_part(*most_served)))
        {
            most_served = &rank;
        }
        urgent_late = std::max(urgent_late, late_part(rank));
    }
    return result == nullptr && lowest_served(ranks) < least ? most_served
                                                             : result;
}

void shortage_controller::adjust(rank_states& ranks) const
{
    auto* raised = rank_to_raise(ranks);
    const double average = average_served(ranks);
    const bool released = lowest_served(ranks) >= settings_.released * average;
    double urgent_late = 0;
    for (auto& [number, rank] : ranks)
    {
        const bool starving =
            served_part(rank) < settings_.min_served * average;
        const double own_late = late_part(rank);
        if (&rank == raised)
        {
            rank.share =
                std::min(settings_.max_share, rank.share + settings_.raise);
        }
        else if (starving || (urgent_late < settings_.in_time && released))
        {
            rank.share = std::max(0.0, rank.share - settings_.lower);
        }
        urgent_late = std::max(urgent_late, own_late);
    }
}

void shortage_controller::end_window(monotonic_time now)
{
    window_ends_at_ = now + settings_.window;
    auto before = std::exchange(turns_, {});
    for (auto& [service, ranks] : services_)
    {
        std::erase_if(ranks, [&](const auto& item) {
            return now - item.second.asked_at > settings_.rank_lifetime;
        });
        if (ranks.size() >= 2)
        {
            adjust(ranks);
        }
        for (auto& [number, rank] : ranks)
        {
            rank.share = ranks.size() >= 2 ? rank.share : 0;
            rank.asked *= settings_.kept_per_window;
            rank.late *= settings_.kept_per_window;
            if (rank.share > 0)
            {
                turns_[service][number] = rank.share;
            }
        }
        if (before[service] != turns_[service])
        {
            log_change(now, service);
        }
    }
    std::erase_if(turns_, [](const auto& item) { return item.second.empty(); });
    std::erase_if(services_,
                  [](const auto& item) { return item.second.empty(); });
}

void shortage_controller::log_change(monotonic_time now,
                                     const std::string& service)
{
    constexpr std::chrono::milliseconds min_interval{500};
    if (now - logged_at_ < min_interval)
    {
        return;
    }
    logged_at_ = now;
    std::string text;
    for (const auto& [number, share] : turns_[service])
    {
        text +=
            fmt::format("{}{}:{:.2f}", text.empty() ? "" : " ", number, share);
    }
    transport::log_event("turns.changed",
                         {{"service", service}, {"shares", text}});
}

} // namespace hyssopdeal::coordination
