/// @file
/// Interval of entries' reports by how far the replica falls behind.

#include <hyssopdeal/coordination/cluster/report_pacing.hpp>

#include <algorithm>

namespace hyssopdeal::coordination
{

using std::chrono::milliseconds;

report_pacing::report_pacing(report_pacing_settings settings)
    : settings_(settings)
{}

void report_pacing::on_timer(transport::monotonic_time now, milliseconds delay)
{
    // Beyond this the interval is at its upper bound for any fleet.
    constexpr double max_factor = 16;
    worst_delay_ = std::max(worst_delay_, delay);
    const auto since = now - adjusted_at_;
    const bool late = worst_delay_ > settings_.late;
    if (since < (late ? settings_.slower_interval : settings_.faster_interval))
    {
        return;
    }
    if (late)
    {
        factor_ = std::min(max_factor, factor_ * settings_.slower);
    }
    else if (worst_delay_ < settings_.in_time)
    {
        factor_ = std::max(1.0, factor_ * settings_.faster);
    }
    worst_delay_ = milliseconds{0};
    adjusted_at_ = now;
}

milliseconds report_pacing::interval(std::size_t entries, report_use use) const
{
    const std::chrono::duration<double> by_rate{
        factor_ * static_cast<double>(entries) / settings_.max_reports_per_s};
    const auto least =
        use == report_use::lead ? settings_.min_leader : settings_.min_follower;
    return std::clamp(std::chrono::duration_cast<milliseconds>(by_rate), least,
                      settings_.max);
}

milliseconds report_pacing::next_report(transport::monotonic_time now,
                                        std::size_t entries, report_use use)
{
    using std::chrono::microseconds;
    const microseconds mean = interval(entries, use);
    const auto between =
        mean / static_cast<std::int64_t>(std::max<std::size_t>(1, entries));
    const auto longest = std::min<microseconds>(mean * 5 / 4, settings_.max);
    last_slot_ =
        std::clamp(last_slot_ + between, now + mean * 3 / 4, now + longest);
    return std::chrono::duration_cast<milliseconds>(last_slot_ - now);
}

} // namespace hyssopdeal::coordination
