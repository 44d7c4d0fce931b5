/// @file
/// How many requests may be sent a second time.

#include <hyssopdeal/coordination/gateway/service_retry_budgets.hpp>

#include <numeric>

namespace hyssopdeal::coordination
{

service_retry_budgets::service_retry_budgets(retry_budget_settings settings)
    : settings_(settings)
{}

service_retry_budgets::sliding_counts&
service_retry_budgets::at(transport::monotonic_time now,
                          const std::string& service)
{
    auto& counts = services_[service];
    const auto width = std::chrono::nanoseconds{settings_.window} / slices;
    const auto slice =
        static_cast<std::int64_t>(now.time_since_epoch() / width);
    const auto passed = slice - counts.slice;
    if (passed >= static_cast<std::int64_t>(slices))
    {
        counts = {};
        counts.slice = slice;
    }
    while (counts.slice < slice)
    {
        ++counts.slice;
        const auto place = static_cast<std::size_t>(counts.slice) % slices;
        counts.requests.at(place) = 0;
        counts.repeats.at(place) = 0;
    }
    return counts;
}

void service_retry_budgets::on_request(transport::monotonic_time now,
                                       const std::string& service)
{
    auto& counts = at(now, service);
    ++counts.requests.at(static_cast<std::size_t>(counts.slice) % slices);
}

bool service_retry_budgets::take(transport::monotonic_time now,
                                 const std::string& service)
{
    auto& counts = at(now, service);
    const auto requests =
        std::accumulate(counts.requests.begin(), counts.requests.end(), 0U);
    const auto repeats =
        std::accumulate(counts.repeats.begin(), counts.repeats.end(), 0U);
    const double most =
        settings_.ratio * settings_.margin * requests + settings_.base;
    if (repeats + 1 > most)
    {
        return false;
    }
    ++counts.repeats.at(static_cast<std::size_t>(counts.slice) % slices);
    return true;
}

} // namespace hyssopdeal::coordination
