/// @file
/// Retry budgets as ratios over a sliding window.

#include <hyssopdeal/coordination/gateway/service_retry_budgets.hpp>

#include <numeric>

namespace hyssopdeal::coordination
{

service_retry_budgets::service_retry_budgets(retry_budget_settings settings)
    : settings_(settings)
{}

service_retry_budgets::sliding_counts&
service_retry_budgets::advance_window(transport::monotonic_time now,
                                      const std::string& service)
{
    auto& counts = services_[service];
    const auto width = std::chrono::nanoseconds{settings_.window} / slice_count;
    const auto slice =
        static_cast<std::int64_t>(now.time_since_epoch() / width);
    const auto passed = slice - counts.latest_slice;
    if (passed >= static_cast<std::int64_t>(slice_count))
    {
        counts = {};
        counts.latest_slice = slice;
    }
    while (counts.latest_slice < slice)
    {
        ++counts.latest_slice;
        const auto index =
            static_cast<std::size_t>(counts.latest_slice) % slice_count;
        counts.requests.at(index) = 0;
        counts.retries.at(index) = 0;
    }
    return counts;
}

void service_retry_budgets::on_request(transport::monotonic_time now,
                                       const std::string& service)
{
    auto& counts = advance_window(now, service);
    ++counts.requests.at(static_cast<std::size_t>(counts.latest_slice) %
                         slice_count);
}

bool service_retry_budgets::take(transport::monotonic_time now,
                                 const std::string& service)
{
    auto& counts = advance_window(now, service);
    const auto requests =
        std::accumulate(counts.requests.begin(), counts.requests.end(), 0U);
    const auto retries =
        std::accumulate(counts.retries.begin(), counts.retries.end(), 0U);
    const double max_retries =
        settings_.ratio * settings_.margin * requests + settings_.base;
    if (retries + 1 > max_retries)
    {
        return false;
    }
    ++counts.retries.at(static_cast<std::size_t>(counts.latest_slice) %
                        slice_count);
    return true;
}

} // namespace hyssopdeal::coordination
