/// @file
/// Rollout of a new version of a service.

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

constexpr std::array count_members = {&protocol::version_counts::sent,
                                      &protocol::version_counts::target_sent,
                                      &protocol::version_counts::others_ended,
                                      &protocol::version_counts::others_bad,
                                      &protocol::version_counts::target_ended,
                                      &protocol::version_counts::target_bad};

template <class Number>
double fraction(Number part, std::uint64_t all)
{
    return all == 0 ? 0 : static_cast<double>(part) / static_cast<double>(all);
}

} // namespace

version_rollout::version_rollout(version_rollout_settings settings,
                                 rollout_record order,
                                 std::vector<std::string> others)
    : settings_(settings),
      order_(std::move(order)),
      comparison_(settings.comparison, std::move(others), order_.target,
                  settings.first_token_target)
{}

void version_rollout::on_counts(const std::string& entry,
                                std::uint64_t incarnation,
                                const protocol::version_counts& counts)
{
    if (counts.started_ms != order_.started_ms)
    {
        return;
    }
    auto& reported = reported_counts_[{entry, incarnation}];
    for (const auto member : count_members)
    {
        totals_.*member += counts.*member - reported.*member;
    }
    reported = counts;
}

void version_rollout::on_evidence(const version_report& report)
{
    comparison_.on_report(report);
}

double version_rollout::remaining_budget() const
{
    const double bound =
        settings_.bound_share * static_cast<double>(totals_.sent) +
        settings_.bound_requests;
    return settings_.usable_fraction * bound -
           static_cast<double>(totals_.target_sent);
}

std::uint64_t version_rollout::target_request_limit(
    const protocol::version_counts& reported) const
{
    const double part = (static_cast<double>(reported.sent) + 1) /
                        (static_cast<double>(totals_.sent) +
                         static_cast<double>(reported_counts_.size()) + 1);
    const double additional =
        std::max(0.0, remaining_budget()) * std::min(1.0, part);
    return reported.target_sent + static_cast<std::uint64_t>(additional);
}

/// The counts include what was reported to earlier leaders; the comparison only
/// has what this leader received.
bool version_rollout::clearly_bad() const
{
    constexpr double rate_factor = 3;
    const auto too_many = [&](std::uint64_t bad, std::uint64_t all,
                              double usual_rate) {
        return bad >= settings_.min_bad_to_roll_back &&
               fraction(bad, all) >
                   rate_factor * usual_rate + settings_.rollback_margin;
    };
    const auto too_slow = [&](const tail_summary& tail) {
        return too_many(tail.slow, tail.answers,
                        fraction(tail.expected_slow, tail.answers));
    };
    return comparison_.worse() ||
           too_many(totals_.target_bad, totals_.target_ended,
                    fraction(totals_.others_bad, totals_.others_ended)) ||
           too_slow(comparison_.first_token_tail()) ||
           too_slow(comparison_.between_tokens_tail());
}

/// A version is accepted on evidence: without enough answers that could be
/// compared, it is not known to be as fast as the others.
bool version_rollout::acceptable() const
{
    constexpr double rate_factor = 2;
    const auto few_enough = [&](std::uint64_t bad, std::uint64_t all,
                                double usual_rate) {
        return all >= settings_.min_answers &&
               fraction(bad, all) <=
                   rate_factor * usual_rate + settings_.accepted_margin;
    };
    const auto fast_enough = [&](const tail_summary& tail) {
        return few_enough(tail.slow, tail.answers,
                          fraction(tail.expected_slow, tail.answers));
    };
    const auto& gaps = comparison_.between_tokens_tail();
    return few_enough(totals_.target_bad, totals_.target_ended,
                      fraction(totals_.others_bad, totals_.others_ended)) &&
           fast_enough(comparison_.first_token_tail()) &&
           (gaps.answers == 0 || fast_enough(gaps));
}

void version_rollout::measure_rate(monotonic_time now)
{
    if (rate_measured_at_ == monotonic_time{})
    {
        rate_measured_at_ = now;
        rate_measured_sent_ = totals_.sent;
        return;
    }
    const std::chrono::duration<double> passed = now - rate_measured_at_;
    if (passed >= settings_.rate_window)
    {
        const auto additional = totals_.sent > rate_measured_sent_
                                    ? totals_.sent - rate_measured_sent_
                                    : 0;
        requests_per_second_ = static_cast<double>(additional) / passed.count();
        rate_measured_at_ = now;
        rate_measured_sent_ = totals_.sent;
    }
}

version_rollout_step version_rollout::advance(monotonic_time now,
                                              wall_time true_now,
                                              bool target_ready)
{
    comparison_.close_window();
    measure_rate(now);
    const auto next = decide(true_now, target_ready);
    target_share_ = next.target_share;
    return next;
}

version_rollout_step version_rollout::decide(wall_time true_now,
                                             bool target_ready)
{
    if (clearly_bad())
    {
        return {0, rollout_state::rolled_back};
    }
    const auto deadline =
        wall_time{milliseconds{order_.started_ms + order_.duration_ms}};
    const auto time_left = deadline - true_now;
    if (time_left <= settings_.commit_margin)
    {
        // Without enough answers to judge it, the version is rolled back: a
        // completed rollout cannot be undone.
        return target_ready && acceptable()
                   ? version_rollout_step{1, rollout_state::completed}
                   : version_rollout_step{0, rollout_state::rolled_back};
    }
    if (!target_ready)
    {
        return {};
    }
    const std::chrono::duration<double> seconds_left = time_left;
    shifted_all_ =
        shifted_all_ ||
        (acceptable() && requests_per_second_ > 0 &&
         requests_per_second_ * seconds_left.count() <= remaining_budget());
    if (shifted_all_)
    {
        return {1, std::nullopt};
    }
    const auto target_sent = static_cast<double>(totals_.target_sent);
    const double trial_requests =
        settings_.trial_fraction * (remaining_budget() + target_sent) -
        target_sent;
    const double share = trial_requests / std::max(requests_per_second_, 1.0);
    return {std::clamp(share, 0.0, settings_.max_trial_share), std::nullopt};
}

std::string version_rollout::evidence() const
{
    return comparison_.text();
}

} // namespace hyssopdeal::coordination
