/// @file
/// Histograms by route.

#include <hyssopdeal/coordination/cost/route_timings.hpp>

#include <string_view>

namespace hyssopdeal::coordination
{

void route_timings::add(const std::string& route,
                        std::chrono::milliseconds predicted,
                        const answer_timing& timing)
{
    // Each route has about fifty time series.
    constexpr std::size_t max_routes = 64;
    const bool fits = routes_.contains(route) || routes_.size() < max_routes;
    auto& known = routes_[fits ? route : "other"];
    if (timing.first_event.count() >= 0)
    {
        known.predicted.add(predicted);
        known.first_event.add(timing.first_event);
    }
    known.largest_gap.add(timing.largest_gap);
    known.whole.add(timing.whole);
}

void route_timings::write(transport::prometheus_text& out) const
{
    const auto family = [&](std::string_view name, auto member,
                            std::string_view help) {
        out.family(name, "histogram", help);
        for (const auto& [route, known] : routes_)
        {
            transport::duration_histogram::totals sums;
            (known.*member).add_to(sums);
            out.samples(sums, {{"route", route}});
        }
    };
    family("hyssopdeal_route_predicted_first_event_seconds",
           &histograms::predicted,
           "Predicted time from sending to the first event, by route");
    family("hyssopdeal_route_first_event_seconds", &histograms::first_event,
           "Time from sending to the first event, by route");
    family("hyssopdeal_route_largest_gap_seconds", &histograms::largest_gap,
           "Largest time between two events of a response, by route");
    family("hyssopdeal_route_answer_seconds", &histograms::whole,
           "From the request to the whole response, by route");
}

} // namespace hyssopdeal::coordination
