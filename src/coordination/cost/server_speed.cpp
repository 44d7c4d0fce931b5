/// @file
/// Speed of servers from the durations of their work.

#include <hyssopdeal/coordination/cost/server_speed.hpp>

#include <algorithm>
#include <cmath>

namespace hyssopdeal::coordination
{

using protocol::listed_server;
using transport::monotonic_time;

namespace
{

// Bounds of a ratio: one wrong sample must not make a server unusable.
constexpr double min_ratio = 0.25;
constexpr double max_ratio = 4;
// A single duration may include an interruption.
constexpr double min_sample = 0.1;
constexpr double max_sample = 10;
constexpr double work_weight = 0.05;
// A stream has a hundred gaps that all see the same state of its machine.
constexpr double gap_weight = 0.005;
constexpr double service_weight = 0.01;
constexpr double prior_samples = 8;

} // namespace

void server_speed::ratio_mean::add(double value, double min_weight)
{
    ++samples;
    mean += std::max(min_weight, 1 / samples) *
            (std::clamp(value, min_sample, max_sample) - mean);
}

double server_speed::ratio_mean::value() const
{
    return std::clamp((samples * mean + prior_samples) /
                          (samples + prior_samples),
                      min_ratio, max_ratio);
}

void server_speed::gap_line::add(double concurrent, double gap_ms)
{
    constexpr double decay = 0.9995; // Over about two thousand gaps.
    for (auto* sum : {&weight, &x, &y, &xx, &xy})
    {
        *sum *= decay;
    }
    weight += 1;
    x += concurrent;
    y += gap_ms;
    xx += concurrent * concurrent;
    xy += concurrent * gap_ms;
}

double server_speed::gap_line::at(double concurrent) const
{
    constexpr double min_weight = 20;
    if (weight < min_weight)
    {
        return 0;
    }
    const double mean_x = x / weight;
    const double mean_y = y / weight;
    const double variance = xx / weight - mean_x * mean_x;
    // More streams never make events faster.
    const double slope =
        variance < 0.1
            ? 0
            : std::max(0.0, (xy / weight - mean_x * mean_y) / variance);
    return std::max(mean_y / 4, mean_y + slope * (concurrent - mean_x));
}

server_speed::server_state& server_speed::state_of(const listed_server& server)
{
    auto& state = servers_.update(server.id);
    if (state.born != server.born)
    {
        state = {};
        state.born = server.born;
    }
    return state;
}

const server_speed::server_state*
server_speed::find(const listed_server& server) const
{
    const auto* state = servers_.find(server.id);
    return state == nullptr || state->born != server.born ? nullptr : state;
}

double server_speed::slowdown(monotonic_time now, const server_state& state)
{
    return state.stated && now - state.slowdown_at < stated_load_lifetime
               ? state.slowdown
               : 1;
}

double server_speed::trusted_slowdown(monotonic_time now,
                                      const server_state& state)
{
    constexpr double tolerance = 1.1;
    return state.error_with <= tolerance * state.error_without
               ? slowdown(now, state)
               : 1;
}

/// Ratios are not learned under a slowdown: divided by a false one, the samples
/// would change the ratio so that it seems true.
bool server_speed::judge_slowdown(monotonic_time now, server_state& state,
                                  const ratio_mean& ratio, double sample)
{
    constexpr double weight = 0.05;
    const double stated = slowdown(now, state);
    if (stated <= 1)
    {
        return true;
    }
    const double usual =
        std::clamp(sample, min_sample, max_sample) / ratio.value();
    state.error_with +=
        weight * (std::abs(std::log(usual / stated)) - state.error_with);
    state.error_without +=
        weight * (std::abs(std::log(usual)) - state.error_without);
    // A contradicted statement says nothing of the sample.
    return state.error_with > state.error_without;
}

void server_speed::note_ratio(service_state& service, const ratio_mean& ratio)
{
    constexpr double forget = 0.01;
    if (ratio.samples < 2 * prior_samples)
    {
        return;
    }
    // The extremes return to 1 unless some server confirms them.
    const double value = ratio.value();
    service.lowest =
        std::min(value, service.lowest + forget * (value - service.lowest));
    service.highest =
        std::max(value, service.highest + forget * (value - service.highest));
}

void server_speed::on_work(monotonic_time now, const listed_server& server,
                           double actual_ms, double expected_ms)
{
    if (actual_ms <= 0 || expected_ms <= 0)
    {
        return;
    }
    auto& state = state_of(server);
    auto& service = services_.update(server.service);
    const double sample = actual_ms / expected_ms;
    if (!judge_slowdown(now, state, state.work, sample / service.work.mean))
    {
        return;
    }
    service.work.add(sample, service_weight);
    state.work.add(sample / service.work.mean, work_weight);
    note_ratio(service, state.work);
}

void server_speed::on_gap(monotonic_time now, const listed_server& server,
                          double concurrent, double gap_ms)
{
    auto& state = state_of(server);
    auto& service = services_.update(server.service);
    const double expected = service.gaps.at(concurrent);
    if (expected > 0 &&
        !judge_slowdown(now, state, state.event, gap_ms / expected))
    {
        return;
    }
    service.gaps.add(concurrent, gap_ms);
    if (expected > 0)
    {
        state.event.add(gap_ms / expected, gap_weight);
        note_ratio(service, state.event);
    }
}

void server_speed::on_largest_gap(monotonic_time now,
                                  const listed_server& server,
                                  double concurrent, double gap_ms)
{
    const double usual = event_ms(now, server, concurrent);
    if (usual > 0 && gap_ms > 0)
    {
        services_.update(server.service)
            .largest.add(gap_ms / usual, service_weight);
    }
}

double server_speed::largest_gap_ms(monotonic_time now,
                                    const listed_server& server,
                                    double concurrent) const
{
    const auto* service = services_.find(server.service);
    return service == nullptr || service->largest.samples == 0
               ? 0
               : event_ms(now, server, concurrent) * service->largest.mean;
}

void server_speed::on_slowdown(monotonic_time now, const listed_server& server,
                               std::uint32_t percent)
{
    constexpr double whole = 100;
    auto& state = state_of(server);
    state.slowdown = std::clamp(percent / whole, 1.0, max_ratio);
    state.slowdown_at = now;
    state.stated = true;
    services_.update(server.service).stated = true;
}

/// Ratios that differ by less are noise of the measurement.
bool server_speed::uses_ratios(const std::string& service) const
{
    constexpr double min_difference = 1.25;
    const auto* state = services_.find(service);
    return state != nullptr &&
           (state->stated || state->highest > min_difference * state->lowest);
}

double server_speed::work_ratio(monotonic_time now,
                                const listed_server& server) const
{
    const auto* state = find(server);
    if (state == nullptr || !uses_ratios(server.service))
    {
        return 1;
    }
    return std::clamp(state->work.value() * trusted_slowdown(now, *state),
                      min_ratio, max_ratio);
}

double server_speed::event_ms(monotonic_time now, const listed_server& server,
                              double concurrent) const
{
    const auto* service = services_.find(server.service);
    const double mean = service == nullptr ? 0 : service->gaps.at(concurrent);
    const auto* state = find(server);
    if (state == nullptr || !uses_ratios(server.service))
    {
        return mean;
    }
    return mean *
           std::clamp(state->event.value() * trusted_slowdown(now, *state),
                      min_ratio, max_ratio);
}

std::vector<server_speed::ratios> server_speed::learned() const
{
    std::vector<ratios> result;
    for (const auto& [id, state] : servers_.items())
    {
        result.push_back({id, state.work.value(), state.event.value()});
    }
    return result;
}

} // namespace hyssopdeal::coordination
