#ifndef HYSSOPDEAL_COORDINATION_COST_ROUTE_TIMINGS_HPP
#define HYSSOPDEAL_COORDINATION_COST_ROUTE_TIMINGS_HPP

/// @file
/// Histograms of what callers got, by route, beside what was predicted.
///
/// Index: [answer_timing] [route_timings]

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include <hyssopdeal/transport/metrics.hpp>

namespace hyssopdeal::coordination
{

// [answer_timing] ------------------------------------------------------------

/// Times of a complete response.
struct answer_timing
{
    std::chrono::milliseconds first_event{-1}; ///< From sending; -1: none.
    std::chrono::milliseconds largest_gap{0};  ///< Between events.
    std::chrono::milliseconds whole{0};        ///< From the request.
};

// [route_timings] ------------------------------------------------------------

/// Routes beyond the bound are counted as `other`.
class route_timings
{
public:
    void add(const std::string& route, std::chrono::milliseconds predicted,
             const answer_timing& timing);

    /// Appends the histograms in the Prometheus text format.
    void write(transport::prometheus_text& out) const;

private:
    struct histograms
    {
        transport::duration_histogram predicted;
        transport::duration_histogram first_event;
        transport::duration_histogram largest_gap;
        transport::duration_histogram whole;
    };
    std::map<std::string, histograms> routes_;
};

} // namespace hyssopdeal::coordination

#endif
