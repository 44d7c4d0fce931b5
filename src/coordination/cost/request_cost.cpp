/// @file
/// Cost of requests from what was observed of earlier ones.

#include <hyssopdeal/coordination/cost/request_cost.hpp>

#include <algorithm>
#include <array>
#include <cmath>

#include <fmt/format.h>

namespace hyssopdeal::coordination
{

namespace
{

// A moving mean over about fifty samples.
constexpr double min_weight = 0.02;
// Of output lengths before any sample: a factor of e, about 60 events.
constexpr double prior_mean = 4.1;
constexpr double prior_variance = 1;
// A key with fewer samples is close to what is known without it.
constexpr double prior_samples = 4;
// Keeps one lucky key from outweighing all others.
constexpr double min_variance = 0.02;

std::array<std::string, 3> length_keys(const request_kind& kind,
                                       std::uint64_t prefix)
{
    return {kind.route,
            kind.organisation.empty()
                ? ""
                : fmt::format("{} o {}", kind.route, kind.organisation),
            prefix == 0 ? "" : fmt::format("{} p {:x}", kind.route, prefix)};
}

std::string plain_key(const std::string& service, const std::string& route)
{
    return fmt::format("{} {}", service, route);
}

double log_of(double events)
{
    return std::log(events + 1);
}

} // namespace

void request_cost::moments::add(double value)
{
    ++samples;
    const double weight = std::max(min_weight, 1 / samples);
    const double difference = value - mean;
    mean += weight * difference;
    variance = (1 - weight) * (variance + weight * difference * difference);
}

output_estimate request_cost::output(const request_kind& kind,
                                     std::uint64_t prefix,
                                     std::uint32_t max_events) const
{
    constexpr double max_log = 12; // More than any engine's context.
    double mean = prior_mean;
    double variance = prior_variance;
    // Each more specific key corrects the estimate by its number of samples.
    for (const auto& key : length_keys(kind, prefix))
    {
        const auto* known = key.empty() ? nullptr : lengths_.find(key);
        if (known != nullptr)
        {
            const double share =
                known->samples / (known->samples + prior_samples);
            mean += share * (known->mean - mean);
            variance += share * (known->variance - variance);
        }
    }
    variance = std::max(variance, min_variance);
    const auto* errors = hint_errors_.find(kind.route);
    if (kind.length_hint)
    {
        const double samples = errors == nullptr ? 0 : errors->samples;
        const double share = samples / (samples + prior_samples);
        const double bias = errors == nullptr ? 0 : share * errors->mean;
        const double hint_variance =
            std::max(min_variance,
                     prior_variance +
                         (errors == nullptr
                              ? 0
                              : share * (errors->variance - prior_variance)));
        const double hint_share = variance / (variance + hint_variance);
        mean += hint_share * (log_of(*kind.length_hint) + bias - mean);
        variance *= 1 - hint_share;
    }
    const double events = std::exp(std::min(max_log, mean + variance / 2)) - 1;
    return {std::clamp(events, 0.0,
                       max_events == 0 ? std::exp(max_log)
                                       : static_cast<double>(max_events)),
            std::sqrt(variance)};
}

void request_cost::on_stream(const request_kind& kind, std::uint64_t prefix,
                             std::uint32_t events)
{
    for (const auto& key : length_keys(kind, prefix))
    {
        if (!key.empty())
        {
            lengths_.update(key).add(log_of(events));
        }
    }
    if (kind.length_hint)
    {
        hint_errors_.update(kind.route)
            .add(log_of(events) - log_of(*kind.length_hint));
    }
}

std::optional<double> request_cost::plain_ms(const std::string& service,
                                             const request_kind& kind) const
{
    const auto* known = plain_.find(plain_key(service, kind.route));
    return known == nullptr ? std::nullopt : std::optional{known->mean};
}

double request_cost::mean_plain_ms(const std::string& service) const
{
    const auto* known = plain_.find(service);
    return known == nullptr ? 0 : known->mean;
}

void request_cost::on_plain(const std::string& service,
                            const request_kind& kind, double service_ms)
{
    plain_.update(plain_key(service, kind.route)).add(service_ms);
    plain_.update(service).add(service_ms);
}

std::size_t request_cost::keys() const
{
    return std::max({lengths_.size(), hint_errors_.size(), plain_.size()});
}

} // namespace hyssopdeal::coordination
