#ifndef HYSSOPDEAL_COORDINATION_GATEWAY_SERVICE_RETRY_BUDGETS_HPP
#define HYSSOPDEAL_COORDINATION_GATEWAY_SERVICE_RETRY_BUDGETS_HPP

/// @file
/// Limits retries to a share of each service's requests, so that retries do not
/// multiply the load when many servers fail at the same time. Performs no I/O.
///
/// Index: [settings] [service_retry_budgets]
///
/// The limit applies to the sum over all gateways. Each gateway keeps the ratio
/// for its own requests, so the sum keeps it without communication.

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

struct retry_budget_settings
{
    double ratio = 0.2; ///< Retries per request, over all gateways.
    std::chrono::milliseconds window{10'000};
    /// Fraction of the ratio that is used. The rest allows for an observer that
    /// assigns requests at the edges of a window differently.
    double margin = 0.75;
    double base = 1.5; ///< Retries per window and gateway beyond the ratio.
};

// [service_retry_budgets] ----------------------------------------------------

/// The retry budgets of one gateway, one for each service.
class service_retry_budgets
{
public:
    explicit service_retry_budgets(retry_budget_settings settings);

    /// Counts a received request.
    void on_request(transport::monotonic_time now, const std::string& service);

    /// Consumes one retry if the budget has one left.
    ///
    /// @return Whether the retry may be sent.
    [[nodiscard]] bool take(transport::monotonic_time now,
                            const std::string& service);

private:
    static constexpr std::size_t slice_count = 20; ///< Per window.

    /// Ring buffers of counts, indexed by slice number modulo slice_count.
    struct sliding_counts
    {
        std::array<std::uint32_t, slice_count> requests{};
        std::array<std::uint32_t, slice_count> retries{};
        std::int64_t latest_slice = 0;
    };

    /// Moves a service's window forward to the current time.
    sliding_counts& advance_window(transport::monotonic_time now,
                                   const std::string& service);

    retry_budget_settings settings_;
    std::map<std::string, sliding_counts> services_;
};

} // namespace hyssopdeal::coordination

#endif
