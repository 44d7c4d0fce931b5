#ifndef HYSSOPDEAL_PROGRAMS_CTL_ANALYZE_HPP
#define HYSSOPDEAL_PROGRAMS_CTL_ANALYZE_HPP

/// @file
/// Where requests were lost or late: sums over the structured logs of any
/// processes, by second, route, organisation and failure domain.
///
/// Index: [request_counts] [log_analysis] [analyzing] [writing]

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::ctl
{

// [request_counts] -----------------------------------------------------------

/// How requests of one group ended.
struct request_counts
{
    std::uint64_t asked = 0;
    std::uint64_t in_time = 0;
    std::uint64_t late = 0;          ///< Served, beyond a target of the route.
    std::uint64_t refused = 0;       ///< Not run.
    std::uint64_t failed = 0;        ///< May have run; no whole answer.
    std::uint64_t server_failed = 0; ///< A server's own failure, passed on.
    std::uint64_t left = 0;          ///< The caller left first.
    std::uint64_t not_allowed = 0;   ///< No such route or key.
    /// Why they were late, refused or failed.
    std::map<std::string, std::uint64_t> reasons;
};

// [log_analysis] -------------------------------------------------------------

/// Actual times to the first event of requests that were predicted alike, ms.
struct prediction_row
{
    std::int64_t from_ms = 0; ///< Least predicted.
    std::uint64_t requests = 0;
    std::int64_t p50_ms = 0;
    std::int64_t p90_ms = 0;
    std::int64_t p99_ms = 0;
};

/// Servers on the instance list.
struct server_counts
{
    std::uint64_t usual = 0;
    std::uint64_t reclaimable = 0;
    std::uint64_t leaving = 0; ///< Of either kind.
};

/// What the logs say.
struct log_analysis
{
    std::int64_t began_ms = 0; ///< Time of the first line.
    request_counts all;
    std::map<std::int64_t, request_counts> seconds; ///< Since the first line.
    std::map<std::string, request_counts> routes;
    std::map<std::string, request_counts> organisations;
    std::map<std::string, request_counts> domains; ///< Of the entries.
    std::vector<prediction_row> predictions;
    std::vector<std::int64_t> largest_gaps_ms; ///< Of streams, ascending.
    /// Broken tries by what was believed of their server.
    std::map<std::string, std::uint64_t> broken;
    std::map<std::int64_t, server_counts> servers; ///< By second of a change.
    /// Dependencies lost and regained, processes started: second and text.
    std::vector<std::pair<std::int64_t, std::string>> events;
};

// [analyzing] ----------------------------------------------------------------

/// Sums up logs.
///
/// @param logs Texts of log files of any processes; lines that are not JSON
///     are skipped.
/// @return The sums, or `not_found` when no request ended in them.
[[nodiscard]] transport::result<log_analysis>
analyze_logs(const std::vector<std::string>& logs);

// [writing] ------------------------------------------------------------------

/// @return Tables for people, the worst seconds first among the seconds.
[[nodiscard]] std::string text_of(const log_analysis& sums);

/// @return All sums.
[[nodiscard]] nlohmann::json json_of(const log_analysis& sums);

/// @return A picture (SVG) of how requests ended, by second.
[[nodiscard]] std::string svg_of(const log_analysis& sums);

} // namespace hyssopdeal::ctl

#endif
