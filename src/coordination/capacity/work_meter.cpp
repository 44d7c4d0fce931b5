/// @file
/// Prefill work counted at one entry.

#include <hyssopdeal/coordination/capacity/work_meter.hpp>

#include <cmath>

namespace hyssopdeal::coordination
{

void work_meter::on_placed(const std::string& service,
                           std::chrono::duration<double, std::milli> prefill,
                           std::chrono::milliseconds target)
{
    const auto found = sums_.find(service);
    if (found == sums_.end())
    {
        return;
    }
    auto& sum = found->second;
    const double ms = prefill.count();
    ++sum.requests;
    sum.prefill_ms += ms;
    sum.prefill_ms2 += ms * ms;
    sum.target_ms += static_cast<double>(target.count());
}

void work_meter::on_ended(const std::string& service, bool late)
{
    const auto found = sums_.find(service);
    if (found != sums_.end())
    {
        ++found->second.ended;
        found->second.late += late ? 1 : 0;
    }
}

protocol::service_works work_meter::totals() const
{
    const auto whole = [](double value) {
        return static_cast<std::uint64_t>(std::llround(value));
    };
    protocol::service_works result;
    for (const auto& [service, sum] : sums_)
    {
        result[service] = {whole(sum.requests),    whole(sum.prefill_ms),
                           whole(sum.prefill_ms2), whole(sum.target_ms),
                           whole(sum.ended),       whole(sum.late)};
    }
    return result;
}

} // namespace hyssopdeal::coordination
