#ifndef HYSSOPDEAL_PROTOCOL_SERVICE_DOCUMENT_HPP
#define HYSSOPDEAL_PROTOCOL_SERVICE_DOCUMENT_HPP

/// @file
/// The configuration as one document with a version: routes, services, limits
/// and organisations. A document is in force as a whole or not at all.
///
/// Index: [routes] [services] [limits] [organisations] [service_document]
///        [checks] [servers]

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::protocol
{

// [routes] -------------------------------------------------------------------

/// What may be done with a request a second time.
enum class repeat_rule : std::uint8_t
{
    safe,  ///< May run any number of times.
    once,  ///< Runs at most once.
    stream ///< Answer is a stream of events; runs once unless resumable.
};

/// One destination of a route.
struct weighted_service
{
    std::string service;
    std::uint32_t weight = 1;
};

/// Where requests of a host and path go.
struct document_route
{
    std::string name;
    std::string host;        ///< Compared without regard to case.
    std::string path_prefix; ///< Begins and ends with a slash.
    repeat_rule rule = repeat_rule::safe;
    std::chrono::milliseconds time_limit{0};     ///< Whole answer.
    std::chrono::milliseconds target_latency{0}; ///< To the first event.
    std::chrono::milliseconds target_gap{0};     ///< Between events.
    std::uint32_t rank = 0;                      ///< 0 is the most urgent.
    std::uint32_t max_attempts = 1; ///< Servers that one request may run on.
    bool needs_key = true;
    bool resumable = false; ///< A broken stream may go on elsewhere.
    std::vector<weighted_service> shares;
};

// [services] -----------------------------------------------------------------

/// What is declared of a service's engines.
struct engine_terms
{
    std::uint32_t slots = 0;         ///< Requests of one batch.
    std::uint64_t memory_tokens = 0; ///< Running and cached together.
    bool moves_streams = false; ///< A running stream can go on at another one.
};

/// How many servers may be ordered, in each failure domain.
struct scaling_terms
{
    std::uint32_t least = 0;
    std::uint32_t most = 0;
    std::chrono::milliseconds start_time{0};
    double reclaimable_price = 1;                ///< Part of the usual price.
    std::map<std::string, double> domain_prices; ///< By failure domain.
};

/// One service.
struct document_service
{
    std::string name;
    std::uint32_t max_connections = 0; ///< To one server, from all entries.
    std::optional<engine_terms> engine;
    std::optional<scaling_terms> scaling;
    /// How long a server is cold after it starts during traffic; 0: never.
    std::chrono::milliseconds cold_start{0};
    /// Requests per second that a cold server tolerates; 0: not known.
    double cold_per_s = 0;
};

// [limits] -------------------------------------------------------------------

/// What callers may send.
struct caller_limits
{
    std::size_t max_head_bytes = 16'384;
    std::size_t max_body_bytes = 4'194'304;
    std::chrono::milliseconds head_time_limit{3'000};
    std::chrono::milliseconds idle_time_limit{15'000};
};

// [organisations] ------------------------------------------------------------

/// One organisation, its keys and its quota.
struct organisation_terms
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> rank;  ///< Goes before the route's.
    double tokens_per_second = 0;       ///< 0: no limit.
    double burst_tokens = 0;            ///< Beyond the rate.
    double tokens_of_plain_request = 1; ///< For one that names no tokens.
    bool counts_tokens = false;         ///< Else each request counts as one.
};

// [service_document] ---------------------------------------------------------

/// The whole configuration.
struct service_document
{
    std::uint64_t version = 0; ///< The highest is in force.
    std::vector<document_route> routes;
    std::vector<document_service> services;
    caller_limits limits;
    std::vector<organisation_terms> organisations;
};

// [checks] -------------------------------------------------------------------

/// One reason why a document is invalid.
struct document_fault
{
    std::string place; ///< `Route NAME` or `Organisation NAME`.
    std::string text;
};

/// @return All that makes a document invalid as a whole.
[[nodiscard]] std::vector<document_fault>
find_faults(const service_document& document);

/// Checks what makes a document invalid as a whole.
///
/// @return Nothing, or `bad_request` naming the first fault: a route of an
///     unknown service, two routes of one host and prefix, no weight, no time
///     limit, or one key of two organisations.
[[nodiscard]] transport::result<void> check(const service_document& document);

// [servers] ------------------------------------------------------------------

/// Whether a listed server takes new work.
enum class server_state : std::uint8_t
{
    ready,
    draining
};

/// A server as the platform's instance list shows it.
struct listed_server
{
    std::string id;
    std::uint64_t born = 0; ///< Unix ms of its start; tells incarnations.
    std::string service;
    std::string address; ///< `IP:port`.
    std::string failure_domain;
    std::string version; ///< Of its software.
    std::uint32_t slots = 0;
    server_state state = server_state::ready;
    bool reclaimable = false;
    std::int64_t cold_remaining_ms = 0; ///< Slow for so much longer.
    /// From the reading of the list until it ends; -1: not told. Servers that
    /// are reclaimed end whatever they still do.
    std::int64_t leaves_ms = -1;

    bool operator==(const listed_server&) const = default;
};

} // namespace hyssopdeal::protocol

#endif
