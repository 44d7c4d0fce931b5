/// @file
/// Number of servers by the work that callers ask for.

#include <hyssopdeal/coordination/capacity/work_plan.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace hyssopdeal::coordination
{

using std::chrono::milliseconds;
using transport::monotonic_time;
using seconds = std::chrono::duration<double>;

// [work_demand] --------------------------------------------------------------

void work_demand::on_report(monotonic_time now, const std::string& entry,
                            std::uint64_t incarnation,
                            const protocol::service_works& totals)
{
    // Longer than an entry is partitioned without being replaced.
    constexpr std::chrono::minutes entry_lifetime{10};
    constexpr std::chrono::minutes sweep_interval{1};
    if (now >= next_sweep_)
    {
        next_sweep_ = now + sweep_interval;
        std::erase_if(entries_, [&](const auto& item) {
            return now - item.second.reported_at > entry_lifetime;
        });
    }
    const bool is_new = !entries_.contains(entry);
    auto& known = entries_[entry];
    if (is_new || known.incarnation != incarnation)
    {
        // The totals of an entry that this replica has not heard before may be
        // hours old.
        known = {incarnation, now, is_new ? totals : protocol::service_works{}};
    }
    known.reported_at = now;
    for (const auto& [service, total] : totals)
    {
        auto& before = known.totals[service];
        // Reports may overtake each other.
        if (total.requests < before.requests || total.ended < before.ended)
        {
            continue;
        }
        auto& sum = untaken_[service];
        sum += total;
        sum -= before;
        before = total;
    }
}

protocol::service_work work_demand::take(const std::string& service)
{
    return std::exchange(untaken_[service], {});
}

// [work_plan] ----------------------------------------------------------------

work_plan::work_plan(work_plan_settings settings)
    : settings_(settings)
{}

void work_plan::windowed_peak::add(monotonic_time now, double value,
                                   double weight, milliseconds window)
{
    smoothed += weight * (value - smoothed);
    if (smoothed >= peak || now - peak_at > window)
    {
        peak = smoothed;
        peak_at = now;
    }
}

std::optional<capacity_need>
work_plan::step(monotonic_time now, const std::string& service,
                const protocol::service_work& counted, std::uint32_t ready,
                std::uint32_t planned, std::uint32_t domains)
{
    // Steps in between would divide by a time that is too short.
    constexpr milliseconds min_interval{100};
    auto& state = services_[service];
    const bool first = state.first_at == monotonic_time{};
    if (first && counted.prefill_ms == 0)
    {
        return std::nullopt;
    }
    if (first)
    {
        state.first_at = now;
        state.stepped_at = now - settings_.work_smoothing_time;
        state.wanted = std::max(planned, ready);
        state.released_at = now;
    }
    const seconds passed = std::max<monotonic_time::duration>(
        now - state.stepped_at, min_interval);
    state.stepped_at = now;
    add(now, state, counted, passed);
    const double late_share = state.late / std::max(1.0, state.ended);
    correct(state, late_share, ready, passed);
    const double needed = servers_for(state);
    // The others carry the load when a domain loses all its servers.
    const double spare = domains > 1 ? domains / (domains - 1.0) : 1;
    const auto whole = [](double value) {
        return static_cast<std::uint32_t>(std::ceil(value));
    };
    const auto least = whole(needed * state.correction * spare);
    hold(now, state, planned, std::max(planned, least), ready);
    return capacity_need{state.work.peak, whole(needed), state.wanted,
                         late_share};
}

void work_plan::add(monotonic_time now, service_state& state,
                    const protocol::service_work& counted, seconds passed) const
{
    constexpr double ms_per_s = 1'000;
    const auto weight = [&](milliseconds time) {
        return 1 - std::exp(-passed / seconds{time});
    };
    const auto number = [](std::uint64_t value) {
        return static_cast<double>(value);
    };
    state.work.add(now, number(counted.prefill_ms) / ms_per_s / passed.count(),
                   weight(settings_.work_smoothing_time),
                   settings_.peak_window);
    state.squares.add(
        now, number(counted.prefill_ms2) / ms_per_s / ms_per_s / passed.count(),
        weight(settings_.squares_smoothing_time), settings_.peak_window);
    if (counted.requests > 0)
    {
        state.target_s =
            number(counted.target_ms) / number(counted.requests) / ms_per_s;
    }
    const double kept = 1 - weight(settings_.work_smoothing_time);
    state.ended = state.ended * kept + number(counted.ended);
    state.late = state.late * kept + number(counted.late);
}

void work_plan::correct(service_state& state, double late_share,
                        std::uint32_t ready, seconds passed) const
{
    // With fewer servers than wanted, late streams do not show that more are
    // needed.
    const bool met = ready >= state.wanted;
    if (late_share > settings_.max_late_share && met)
    {
        state.correction *= 1 + settings_.raise_per_s * passed.count();
    }
    else if (late_share < settings_.low_late_share)
    {
        state.correction *= 1 - settings_.lower_per_s * passed.count();
    }
    state.correction =
        std::clamp(state.correction, 1.0, settings_.max_correction);
}

double work_plan::servers_for(const service_state& state) const
{
    const double work = state.work.peak;
    const double wait_s = settings_.wait_share * state.target_s;
    return std::max(work / settings_.max_utilization,
                    wait_s > 0 ? work + state.squares.peak / (2 * wait_s) : 0);
}

void work_plan::hold(monotonic_time now, service_state& state,
                     std::uint32_t planned, std::uint32_t least,
                     std::uint32_t ready) const
{
    const bool observed = now - state.first_at >= settings_.observation_time;
    // While servers are missing, the platform may have no others.
    if (planned >= state.wanted || ready < state.wanted || !observed)
    {
        state.wanted = std::max(planned, state.wanted);
        state.released_at = now;
        return;
    }
    if (least >= state.wanted ||
        now - state.released_at < settings_.release_interval)
    {
        return;
    }
    const auto step = static_cast<std::uint32_t>(
        std::ceil(settings_.release_share * state.wanted));
    state.wanted = std::max(least, state.wanted - step);
    state.released_at = now;
}

} // namespace hyssopdeal::coordination
