#ifndef HYSSOPDEAL_COORDINATION_GATEWAY_SERVICE_RETRY_BUDGETS_HPP
#define HYSSOPDEAL_COORDINATION_GATEWAY_SERVICE_RETRY_BUDGETS_HPP

/// @file
/// How many requests may be sent a second time. Answers servers that fail all
/// at once, when repeats would multiply the load. A decision module without
/// I/O.
///
/// Index: [settings] [service_retry_budgets]
///
/// The bound is on the sum over all entries. Each entry keeps the same ratio on
/// its own requests, so that the sum keeps it without any exchange.

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
    double ratio = 0.2; ///< Repeats to requests, over all entries.
    std::chrono::milliseconds window{10'000};
    double margin = 0.75; ///< Of the ratio that is used: requests of one
                          ///< window are counted at its edges differently.
    double base = 1.5;    ///< Repeats of one entry beyond the ratio.
};

// [service_retry_budgets] ---------------------------------------------------------

/// One entry's allowances, by service.
class service_retry_budgets
{
public:
    explicit service_retry_budgets(retry_budget_settings settings);

    /// Counts a request that came for a service.
    void on_request(transport::monotonic_time now, const std::string& service);

    /// Takes one repeat.
    ///
    /// @return Whether it may be sent.
    [[nodiscard]] bool take(transport::monotonic_time now,
                            const std::string& service);

private:
    static constexpr std::size_t slices = 20; ///< Of the window.

    struct sliding_counts
    {
        std::array<std::uint32_t, slices> requests{};
        std::array<std::uint32_t, slices> repeats{};
        std::int64_t slice = 0; ///< The latest.
    };

    sliding_counts& at(transport::monotonic_time now,
                       const std::string& service);

    retry_budget_settings settings_;
    std::map<std::string, sliding_counts> services_;
};

} // namespace hyssopdeal::coordination

#endif
