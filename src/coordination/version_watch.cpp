#include "version_watch.hpp"

#include <algorithm>
#include <utility>

namespace hyssopdeal::coordination
{

using transport::monotonic_time;

load_bucket load_of(const route_choice& choice) noexcept
{
    constexpr std::int64_t light_below_percent = 130;
    constexpr std::int64_t moderate_below_percent = 250;
    const auto unloaded = choice.unloaded_first_token.count();
    const auto predicted = choice.predicted_first_token.count() * 100;
    if (predicted < unloaded * light_below_percent)
    {
        return load_bucket::light;
    }
    return predicted < unloaded * moderate_below_percent ? load_bucket::moderate
                                                         : load_bucket::heavy;
}

answer_kind kind_of(const transport::failure& error) noexcept
{
    return error.code == transport::reason::broken_answer ? answer_kind::broken
                                                          : answer_kind::failed;
}

version_watch::version_watch(std::string name, std::uint64_t incarnation,
                             monotonic_time now)
    : observer_{std::move(name), incarnation, now}
{}

void version_watch::on_offered(std::string_view service,
                               protocol::priority_class priority)
{
    observer_.on_offered(service, priority);
}

watched_attempt version_watch::begin(monotonic_time now,
                                     std::string_view service,
                                     std::string_view route,
                                     const route_choice& choice) const
{
    watched_attempt attempt;
    attempt.service = service;
    attempt.version = choice.version;
    attempt.route = route;
    attempt.load = load_of(choice);
    attempt.expected_first_token = choice.unloaded_first_token;
    attempt.started = now;
    attempt.open = true;
    return attempt;
}

void version_watch::on_first_token(monotonic_time now, watched_attempt& attempt)
{
    if (!attempt.open || attempt.first_token != monotonic_time{})
    {
        return;
    }
    attempt.first_token = now;
    constexpr std::chrono::microseconds min_delay{1'000};
    const auto delay = std::chrono::duration_cast<std::chrono::microseconds>(
                           now - attempt.started) -
                       attempt.expected_first_token;
    observer_.on_first_token(attempt.service, attempt.version, attempt.route,
                             attempt.load, std::max(delay, min_delay));
}

void version_watch::on_ended(monotonic_time now, watched_attempt& attempt,
                             answer_kind answer, double tokens)
{
    if (!std::exchange(attempt.open, false))
    {
        return;
    }
    using std::chrono::microseconds;
    version_observation observation;
    observation.service = attempt.service;
    observation.version = attempt.version;
    observation.route = attempt.route;
    observation.load = attempt.load;
    observation.answer = answer;
    observation.busy =
        std::chrono::duration_cast<microseconds>(now - attempt.started);
    if (tokens > 1 && attempt.first_token != monotonic_time{})
    {
        const std::chrono::duration<double, std::micro> streamed =
            now - attempt.first_token;
        observation.between_tokens =
            std::chrono::duration_cast<microseconds>(streamed / (tokens - 1));
    }
    observer_.on_answer(observation);
    guards_[attempt.service].on_answer(now, attempt.version, attempt.route,
                                       answer);
}

void version_watch::forget(watched_attempt& attempt)
{
    attempt.open = false;
}

std::vector<protocol::version_share>
version_watch::effective_shares(monotonic_time now,
                                const protocol::service& declared) const
{
    const auto guard = guards_.find(declared.name);
    return guard == guards_.end()
               ? declared.shares
               : guard->second.effective_shares(now, declared.shares);
}

std::vector<version_report> version_watch::take_reports(monotonic_time now)
{
    auto reports = observer_.take_reports(now);
    for (auto& report : reports)
    {
        const auto guard = guards_.find(report.service);
        if (guard != guards_.end())
        {
            report.trips = guard->second.trips(now);
        }
    }
    return reports;
}

} // namespace hyssopdeal::coordination
