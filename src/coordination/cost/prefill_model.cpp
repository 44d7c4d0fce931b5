/// @file
/// Time that servers take to prefill prompts.

#include <hyssopdeal/coordination/cost/prefill_model.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace hyssopdeal::coordination
{

namespace
{

// Values before anything was measured, with the deviations to expect of them.
constexpr std::array<double, 3> initial_coefficients{60, 0.01, 0.2};
constexpr std::array<double, 3> initial_deviations{30, 0.01, 0.3};
// The latest two hundred requests count.
constexpr double kept_per_request = 0.995;
constexpr double pairs_unit = 1e6;

} // namespace

prefill_model::service_state::service_state()
    : coefficients(initial_coefficients)
{
    for (std::size_t term = 0; term < terms; ++term)
    {
        const double deviation = initial_deviations.at(term);
        products.at(term).at(term) = 1 / (deviation * deviation);
        results.at(term) = products.at(term).at(term) * coefficients.at(term);
    }
}

prefill_model::vector prefill_model::features(double uncached, double prompt)
{
    const double cached = std::max(0.0, prompt - uncached);
    return {1, uncached, (prompt * prompt - cached * cached) / 2 / pairs_unit};
}

void prefill_model::learn(const std::string& service, double uncached,
                          double prompt, double first_event_ms)
{
    // A request that found a stalled server must not decide alone.
    constexpr double max_ratio = 3;
    constexpr double min_expected_ms = 30;
    constexpr double relative_deviation = 0.3;
    auto& state = services_[service];
    const auto x = features(uncached, prompt);
    double expected = 0;
    for (std::size_t term = 0; term < terms; ++term)
    {
        expected += state.coefficients.at(term) * x.at(term);
    }
    expected = std::max(min_expected_ms, expected);
    const double measured = std::min(first_event_ms, max_ratio * expected);
    const double deviation = relative_deviation * expected;
    const double weight = 1 / (deviation * deviation);
    for (std::size_t row = 0; row < terms; ++row)
    {
        for (std::size_t column = 0; column < terms; ++column)
        {
            auto& product = state.products.at(row).at(column);
            product =
                product * kept_per_request + weight * x.at(row) * x.at(column);
        }
        state.results.at(row) = state.results.at(row) * kept_per_request +
                                weight * x.at(row) * measured;
    }
    solve(state);
    state.tokens = state.tokens * kept_per_request + uncached;
    state.ms =
        state.ms * kept_per_request + prefill_ms(service, uncached, prompt);
}

/// Gauss-Jordan elimination with pivots; keeps the coefficients if the equations
/// are singular.
void prefill_model::solve(service_state& state)
{
    constexpr double smallest_pivot = 1e-12;
    auto left = state.products;
    auto right = state.results;
    for (std::size_t column = 0; column < terms; ++column)
    {
        std::size_t pivot = column;
        for (std::size_t row = column + 1; row < terms; ++row)
        {
            pivot = std::abs(left.at(row).at(column)) >
                            std::abs(left.at(pivot).at(column))
                        ? row
                        : pivot;
        }
        std::swap(left.at(column), left.at(pivot));
        std::swap(right.at(column), right.at(pivot));
        if (std::abs(left.at(column).at(column)) < smallest_pivot)
        {
            return;
        }
        for (std::size_t row = 0; row < terms; ++row)
        {
            const double factor =
                row == column
                    ? 0
                    : left.at(row).at(column) / left.at(column).at(column);
            for (std::size_t at = column; at < terms; ++at)
            {
                left.at(row).at(at) -= factor * left.at(column).at(at);
            }
            right.at(row) -= factor * right.at(column);
        }
    }
    for (std::size_t term = 0; term < terms; ++term)
    {
        state.coefficients.at(term) =
            std::max(0.0, right.at(term) / left.at(term).at(term));
    }
}

const prefill_model::service_state&
prefill_model::state_of(const std::string& service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? unknown_ : found->second;
}

double prefill_model::prefill_ms(const std::string& service, double uncached,
                                 double prompt) const
{
    const auto& known = state_of(service).coefficients;
    const auto x = features(uncached, prompt);
    return known[1] * x[1] + known[2] * x[2];
}

double prefill_model::overhead_ms(const std::string& service) const
{
    return state_of(service).coefficients[0];
}

double prefill_model::mean_speed(const std::string& service) const
{
    const auto& known = state_of(service);
    return known.ms > 0 ? known.tokens / known.ms : 1 / known.coefficients[1];
}

} // namespace hyssopdeal::coordination
