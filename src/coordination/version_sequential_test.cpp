#include <hyssopdeal/coordination/version_sequential_test.hpp>

#include <algorithm>
#include <cmath>

namespace hyssopdeal::coordination
{

namespace
{

constexpr double lowest_reference = 0.001;
constexpr double highest_reference = 0.95;

double log_ratio(double hits, double misses, double reference, double effect)
{
    const double rate = reference + effect * (1 - reference);
    return hits * std::log(rate / reference) +
           misses * std::log((1 - rate) / (1 - reference));
}

} // namespace

sequential_test::sequential_test(sequential_test_settings settings) noexcept
    : settings_{settings}
{}

void sequential_test::add(std::uint64_t hits, std::uint64_t total,
                          double reference) noexcept
{
    if (total == 0)
    {
        return;
    }
    const double rate =
        std::clamp(reference, lowest_reference, highest_reference);
    const auto bad = static_cast<double>(std::min(hits, total));
    const auto good = static_cast<double>(total) - bad;
    const std::array<double, alternative_count> effects{settings_.effect, 0.2,
                                                        0.5, 0.9};
    const double alarm_at =
        std::log(static_cast<double>(alternative_count) * settings_.tests *
                 settings_.windows / settings_.false_alarm);
    for (std::size_t i = 0; i < alternative_count; ++i)
    {
        auto& sum = sums_.at(i);
        sum = std::max(sum, 0.0) + log_ratio(bad, good, rate, effects.at(i));
        worse_ = worse_ || sum >= alarm_at;
    }
    passing_ = std::max(passing_ - log_ratio(bad, good, rate, settings_.effect),
                        std::log(settings_.miss));
}

test_verdict sequential_test::verdict() const noexcept
{
    if (worse_)
    {
        return test_verdict::worse;
    }
    return passing_ >= -std::log(settings_.miss) ? test_verdict::not_worse
                                                 : test_verdict::undecided;
}

} // namespace hyssopdeal::coordination
