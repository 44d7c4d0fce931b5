#ifndef HYSSOPDEAL_STANDINS_VERSION_TRAFFIC_HPP
#define HYSSOPDEAL_STANDINS_VERSION_TRAFFIC_HPP

/// @file
/// Traffic of one service while a version move runs: random requests at every
/// entry, answers of both versions with their faults, and entries' reports.
///
/// Index: [fault] [settings] [totals] [version_traffic]

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <hyssopdeal/coordination/version_summary.hpp>
#include <hyssopdeal/protocol/contract.hpp>
#include <hyssopdeal/transport/clock.hpp>

#include "behaviour.hpp"

namespace hyssopdeal::standins
{

// [fault] --------------------------------------------------------------------

/// When a bad version is bad.
struct fault_plan
{
    version_fault kind = version_fault::none;
    double probability = 1;            ///< For each request.
    std::chrono::milliseconds after{}; ///< After its first request.
    std::uint32_t above_running = 0;   ///< Only with more on the server.
    std::string route{};               ///< Only there; empty: everywhere.
    double slow_factor = 3;            ///< For version_fault::slow.
};

// [settings] -----------------------------------------------------------------

/// One route's part of the traffic and its answers.
struct traffic_route
{
    std::string name;
    double weight = 1;                           ///< Of the requests.
    std::chrono::milliseconds first_token{150};  ///< Median when idle.
    std::chrono::milliseconds between_tokens{0}; ///< Median; 0: no stream.
    std::uint32_t tokens = 0;                    ///< Of a stream.
    protocol::repeatability repeats = protocol::repeatability::repeatable;
};

/// Whether entries copy requests to the version under test.
enum class request_copies
{
    none,
    made
};

/// The service and what happens to it.
struct traffic_settings
{
    std::string service = "service";
    std::string old_version = "v1";
    std::string new_version = "v2";
    double requests_per_second = 100;
    std::uint32_t entries = 8;
    std::uint32_t old_servers = 9;
    std::uint32_t new_servers = 9;
    std::uint32_t slots = 8;          ///< Of each server.
    double ordinary_failures = 0.003; ///< Of both versions.
    request_copies copies = request_copies::none;
    double spread = 0.4; ///< Sigma of the log-normal latencies.
    std::vector<traffic_route> routes{{"chat"}};
    fault_plan fault;
};

// [totals] -------------------------------------------------------------------

/// What callers met.
struct traffic_totals
{
    std::uint64_t requests = 0;
    std::uint64_t new_version = 0;  ///< Sent to the new version.
    std::uint64_t bad = 0;          ///< Hit by the version's fault.
    std::uint64_t before_shown = 0; ///< Of all requests, before the first bad.
    std::uint64_t copies = 0;       ///< Copied requests; no caller sees them.
    std::optional<transport::monotonic_time> shown;    ///< First fault, also
                                                       ///< in a copy.
    std::optional<transport::monotonic_time> last_bad; ///< Last fault.
    double share_when_shown = 0; ///< New version's share then.
};

// [version_traffic] ----------------------------------------------------------

/// Runs the entries' observers and guards over random traffic.
class version_traffic
{
public:
    version_traffic(traffic_settings settings, std::uint64_t seed,
                    transport::monotonic_time now);
    version_traffic(version_traffic&&) noexcept;
    ~version_traffic();

    /// Sends the requests that arrive up to a time.
    ///
    /// @param shares As the entries know them now.
    /// @param ready_new_servers Servers of the new version that answer.
    void run_until(transport::monotonic_time now,
                   const std::vector<protocol::version_share>& shares,
                   std::uint32_t ready_new_servers);

    /// @return The reports that are due now, decoded as the leader gets them.
    [[nodiscard]] std::vector<coordination::version_report>
    take_reports(transport::monotonic_time now);

    /// @return Totals so far.
    [[nodiscard]] const traffic_totals& totals() const;

    /// @return Mean number of slots that the traffic uses.
    [[nodiscard]] double needed_slots() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::standins

#endif
