#ifndef HYSSOPDEAL_COORDINATION_CAPACITY_WORK_PLAN_HPP
#define HYSSOPDEAL_COORDINATION_CAPACITY_WORK_PLAN_HPP

/// @file
/// Decides how many servers of a service may be given back, by the work that
/// callers ask for. Handles load that rises and falls: the number of concurrent
/// requests is low while there are many servers and grows many times over when
/// there are too few. Performs no I/O.
///
/// Index: [settings] [need] [work_demand] [work_plan]
///
/// With n servers that share the load evenly, a prompt waits on average
/// Q / (2 (n - W)) for the prompts ahead of it (Pollaczek-Khinchine). W is the
/// prefill time asked per second, Q the sum of its squares. The plan keeps this
/// wait at a part of what callers accept, also after the loss of one domain, and
/// keeps more servers while streams are late.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <hyssopdeal/protocol/follow_messages.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

struct work_plan_settings
{
    /// Part of the callers' target that prompts may wait for those ahead. The
    /// load is less even than the formula assumes.
    double wait_share = 0.25;
    /// Part of its time that a server may be busy with prefill.
    double max_utilization = 0.5;
    std::chrono::milliseconds work_smoothing_time{2'000};
    /// Few long prompts make up most of the squares.
    std::chrono::milliseconds squares_smoothing_time{10'000};
    /// A peak older than this no longer counts.
    std::chrono::milliseconds peak_window{20'000};
    /// Of streams. Above it the correction rises.
    double max_late_share = 0.05;
    /// Below it the correction falls.
    double low_late_share = 0.02;
    double max_correction = 1.5;
    double raise_per_s = 0.1;
    double lower_per_s = 0.01;
    /// Nothing is lowered before the load has been observed for this time.
    std::chrono::milliseconds observation_time{10'000};
    /// Servers that are given back may not be available again, so they are
    /// given back in steps.
    std::chrono::milliseconds release_interval{5'000};
    double release_share = 0.05; ///< Of the servers, in one step.
};

// [need] ---------------------------------------------------------------------

/// What the load of a service needs.
struct capacity_need
{
    double work = 0;          ///< Servers that prefill alone keeps busy.
    std::uint32_t needed = 0; ///< Servers for the load.
    std::uint32_t wanted = 0; ///< With those that are not given back yet.
    double late_share = 0;    ///< Of streams, smoothed.
};

// [work_demand] --------------------------------------------------------------

/// Sums the totals that entries report. Runs on every replica.
class work_demand
{
public:
    /// @param incarnation Of the entry; totals start anew with it.
    void on_report(transport::monotonic_time now, const std::string& entry,
                   std::uint64_t incarnation,
                   const protocol::service_works& totals);

    /// @return What entries have counted since the last call for the service.
    [[nodiscard]] protocol::service_work take(const std::string& service);

private:
    struct entry_totals
    {
        std::uint64_t incarnation = 0;
        transport::monotonic_time reported_at{};
        protocol::service_works totals;
    };

    std::map<std::string, entry_totals> entries_; ///< By name.
    protocol::service_works untaken_;             ///< By service.
    transport::monotonic_time next_sweep_{};
};

// [work_plan] ----------------------------------------------------------------

/// The number of servers for each service. Runs on every replica, so that a new
/// leader goes on where the former one ended.
class work_plan
{
public:
    explicit work_plan(work_plan_settings settings = {});

    /// @param counted Work since the last call for this service.
    /// @param ready Servers that are ready.
    /// @param planned Servers by the number of concurrent requests.
    /// @param domains Failure domains that can have servers.
    /// @return Nothing if no prompts have been reported for the service.
    [[nodiscard]] std::optional<capacity_need>
    step(transport::monotonic_time now, const std::string& service,
         const protocol::service_work& counted, std::uint32_t ready,
         std::uint32_t planned, std::uint32_t domains);

private:
    /// Smoothed value and the highest of it within a window.
    struct windowed_peak
    {
        double smoothed = 0;
        double peak = 0;
        transport::monotonic_time peak_at{};

        void add(transport::monotonic_time now, double value, double weight,
                 std::chrono::milliseconds window);
    };
    struct service_state
    {
        transport::monotonic_time first_at{};
        transport::monotonic_time stepped_at{};
        windowed_peak work;    ///< Seconds of prefill per second.
        windowed_peak squares; ///< Of these, seconds squared per second.
        double target_s = 0;
        double ended = 0; ///< Streams, recent ones weigh more.
        double late = 0;
        double correction = 1;
        std::uint32_t wanted = 0;
        transport::monotonic_time released_at{};
    };

    void add(transport::monotonic_time now, service_state& state,
             const protocol::service_work& counted,
             std::chrono::duration<double> passed) const;
    void correct(service_state& state, double late_share, std::uint32_t ready,
                 std::chrono::duration<double> passed) const;
    [[nodiscard]] double servers_for(const service_state& state) const;
    void hold(transport::monotonic_time now, service_state& state,
              std::uint32_t planned, std::uint32_t least,
              std::uint32_t ready) const;

    work_plan_settings settings_;
    std::map<std::string, service_state> services_; ///< By name.
};

} // namespace hyssopdeal::coordination

#endif
