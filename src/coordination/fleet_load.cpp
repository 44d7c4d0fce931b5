#include <hyssopdeal/coordination/fleet_load.hpp>

#include <algorithm>
#include <cmath>

namespace hyssopdeal::coordination
{

fleet_load::fleet_load(fleet_load_settings settings)
    : settings_{settings}
{}

void fleet_load::on_report(transport::monotonic_time now,
                           const version_report& report)
{
    const std::chrono::duration<double> period = report.period;
    if (period.count() <= 0)
    {
        return;
    }
    auto& load = services_[report.service][report.entry];
    const bool first = load.heard == transport::monotonic_time{};
    // Services without traffic are not reported: the gap counts as silence.
    const auto since =
        first ? period : std::chrono::duration<double>{now - load.heard};
    const std::chrono::duration<double> memory = settings_.memory;
    const double weight =
        first ? 1 : 1 - std::exp(-std::max(since, period) / memory);
    const auto mix = [&](double& average, double sum) {
        const double seen = sum / std::max(since, period).count();
        average += weight * (seen - average);
    };
    mix(load.requests, static_cast<double>(report.offered_requests));
    mix(load.interactive, static_cast<double>(report.interactive_requests));
    mix(load.busy, std::chrono::duration<double>{report.busy}.count());
    load.heard = now;
}

measured_load fleet_load::of(transport::monotonic_time now,
                             std::string_view service) const
{
    measured_load result;
    const auto found = services_.find(service);
    if (found == services_.end())
    {
        return result;
    }
    double interactive = 0;
    for (const auto& [entry, load] : found->second)
    {
        if (now - load.heard < settings_.silence)
        {
            result.requests_per_second += load.requests;
            result.busy_slots += load.busy;
            interactive += load.interactive;
        }
    }
    if (result.requests_per_second > 0)
    {
        result.interactive_part = interactive / result.requests_per_second;
    }
    return result;
}

} // namespace hyssopdeal::coordination
