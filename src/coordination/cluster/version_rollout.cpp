/// @file
/// A service's move to a new version.

#include <hyssopdeal/coordination/cluster/version_rollout.hpp>

#include <algorithm>
#include <array>

namespace hyssopdeal::coordination
{

using std::chrono::milliseconds;
using transport::monotonic_time;
using transport::wall_time;

namespace
{

constexpr std::array counted = {&protocol::version_counts::sent,
                                &protocol::version_counts::target_sent,
                                &protocol::version_counts::others_ended,
                                &protocol::version_counts::others_bad,
                                &protocol::version_counts::target_ended,
                                &protocol::version_counts::target_bad};

double rate_of(std::uint64_t bad, std::uint64_t all)
{
    return all == 0 ? 0 : static_cast<double>(bad) / static_cast<double>(all);
}

} // namespace

version_rollout::version_rollout(version_rollout_settings settings, rollout_record order,
                           std::vector<std::string> others)
    : settings_(settings),
      order_(std::move(order)),
      comparison_(settings.comparison, std::move(others), order_.target,
                  settings.first_event_target)
{}

void version_rollout::on_counts(const std::string& entry,
                             std::uint64_t incarnation,
                             const protocol::version_counts& counts)
{
    if (counts.started_ms != order_.started_ms)
    {
        return;
    }
    auto& told = counts_[{entry, incarnation}];
    for (const auto member : counted)
    {
        seen_.*member += counts.*member - told.*member;
    }
    told = counts;
}

void version_rollout::on_evidence(const version_report& report)
{
    comparison_.on_report(report);
}

double version_rollout::rest() const
{
    const double bound =
        settings_.bound_share * static_cast<double>(seen_.sent) +
        settings_.bound_requests;
    return settings_.used_part * bound - static_cast<double>(seen_.target_sent);
}

std::uint64_t
version_rollout::target_request_limit(const protocol::version_counts& told) const
{
    const double part = (static_cast<double>(told.sent) + 1) /
                        (static_cast<double>(seen_.sent) +
                         static_cast<double>(counts_.size()) + 1);
    const double more = std::max(0.0, rest()) * std::min(1.0, part);
    return told.target_sent + static_cast<std::uint64_t>(more);
}

/// Counts hold what former leaders were told too; the comparison does not.
bool version_rollout::clearly_bad() const
{
    constexpr double times_worse = 3;
    return comparison_.worse() ||
           (seen_.target_bad >= settings_.failures_to_end &&
            rate_of(seen_.target_bad, seen_.target_ended) >
                times_worse * rate_of(seen_.others_bad, seen_.others_ended) +
                    settings_.clearly_worse_failures);
}

bool version_rollout::good() const
{
    constexpr double times_worse = 2;
    return seen_.target_ended >= settings_.least_answers &&
           rate_of(seen_.target_bad, seen_.target_ended) <=
               times_worse * rate_of(seen_.others_bad, seen_.others_ended) +
                   settings_.tolerated_failures;
}

void version_rollout::measure_rate(monotonic_time now)
{
    if (measured_ == monotonic_time{})
    {
        measured_ = now;
        measured_sent_ = seen_.sent;
        return;
    }
    const std::chrono::duration<double> passed = now - measured_;
    if (passed >= settings_.rate_window)
    {
        const auto more =
            seen_.sent > measured_sent_ ? seen_.sent - measured_sent_ : 0;
        per_second_ = static_cast<double>(more) / passed.count();
        measured_ = now;
        measured_sent_ = seen_.sent;
    }
}

version_rollout_step version_rollout::advance(monotonic_time now, wall_time true_now,
                                        bool target_ready)
{
    comparison_.close_window();
    measure_rate(now);
    const auto next = decide(true_now, target_ready);
    target_share_ = next.target_share;
    return next;
}

version_rollout_step version_rollout::decide(wall_time true_now, bool target_ready)
{
    if (clearly_bad())
    {
        return {0, rollout_state::rolled_back};
    }
    const auto limit =
        wall_time{milliseconds{order_.started_ms + order_.duration_ms}};
    const auto left = limit - true_now;
    if (left <= settings_.end_margin)
    {
        // Not judged is not good: what is completed cannot be taken back.
        return target_ready && good()
                   ? version_rollout_step{1, rollout_state::completed}
                   : version_rollout_step{0, rollout_state::rolled_back};
    }
    if (!target_ready)
    {
        return {};
    }
    const std::chrono::duration<double> seconds_left = left;
    all_moved_ = all_moved_ || (good() && per_second_ > 0 &&
                                per_second_ * seconds_left.count() <= rest());
    if (all_moved_)
    {
        return {1, std::nullopt};
    }
    const auto target_sent = static_cast<double>(seen_.target_sent);
    const double trial =
        settings_.trial_part * (rest() + target_sent) - target_sent;
    const double share = trial / std::max(per_second_, 1.0);
    return {std::clamp(share, 0.0, settings_.steepest_trial), std::nullopt};
}

std::string version_rollout::evidence() const
{
    return comparison_.text();
}

} // namespace hyssopdeal::coordination
