#ifndef HYSSOPDEAL_COORDINATION_FLEET_LOAD_HPP
#define HYSSOPDEAL_COORDINATION_FLEET_LOAD_HPP

/// @file
/// Load of each service over all entries, from their reports.
///
/// Index: [settings] [measured_load] [fleet_load]

#include <chrono>
#include <map>
#include <string>
#include <string_view>

#include <hyssopdeal/coordination/version_summary.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

/// How reports are averaged.
struct fleet_load_settings
{
    std::chrono::milliseconds memory{30'000};  ///< Of the moving averages.
    std::chrono::milliseconds silence{15'000}; ///< An entry that is silent so
                                               ///< long has no traffic.
};

// [measured_load] ------------------------------------------------------------

/// Load of one service.
struct measured_load
{
    double requests_per_second = 0;
    double interactive_part = 0; ///< Of the requests, from 0 to 1.
    double busy_slots = 0;       ///< Mean slots in use.
};

// [fleet_load] ---------------------------------------------------------------

/// Kept by the control leader; a new one knows the load after a few reports.
/// Used by one thread.
class fleet_load
{
public:
    explicit fleet_load(fleet_load_settings settings = {});

    /// Takes in a report.
    void on_report(transport::monotonic_time now, const version_report& report);

    /// @return The load of a service, all entries together.
    [[nodiscard]] measured_load of(transport::monotonic_time now,
                                   std::string_view service) const;

private:
    struct entry_load
    {
        transport::monotonic_time heard{};
        double requests = 0;    ///< Per second, averaged.
        double interactive = 0; ///< Per second, averaged.
        double busy = 0;        ///< Slots, averaged.
    };

    fleet_load_settings settings_;
    std::map<std::string, std::map<std::string, entry_load>, std::less<>>
        services_; ///< By service, then by entry.
};

} // namespace hyssopdeal::coordination

#endif
