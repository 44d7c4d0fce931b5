#ifndef HYSSOPDEAL_PROTOCOL_CONTRACT_HPP
#define HYSSOPDEAL_PROTOCOL_CONTRACT_HPP

/// @file
/// What operators declare: contracts of organisations, services, their
/// versions, routes and backend servers.
///
/// Index: [classes] [organisation_contract] [route] [backend_server]
///        [service] [control_view]

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::protocol
{

// [classes] ------------------------------------------------------------------

/// Priority of a request; lower values go first.
enum class priority_class : std::uint8_t
{
    interactive = 0, ///< Somebody waits at the bench.
    standard = 1,    ///< Drafts and conversations.
    batch = 2        ///< Nobody waits.
};

/// What kind of answer a service gives.
enum class service_kind : std::uint8_t
{
    model, ///< Chat completions, streamed tokens.
    plain  ///< Any HTTP service, passed through.
};

/// Whether a call may be sent a second time.
enum class repeatability : std::uint8_t
{
    repeatable,
    at_most_once ///< Needs an idempotency key.
};

/// How an instance is paid for.
enum class price_class : std::uint8_t
{
    reclaimable, ///< May be taken away on short notice.
    on_demand
};

// [organisation_contract] ----------------------------------------------------

/// Every limit that one organisation meets.
struct organisation_contract
{
    std::string organisation;               ///< Unique name.
    std::vector<std::string> key_sha256;    ///< Lower-case hex, one per key.
    std::vector<std::string> services;      ///< Allowed; empty: all.
    double requests_per_second = 50;        ///< Sustained rate.
    double request_burst = 100;             ///< Bucket depth, requests.
    double tokens_per_second = 20'000;      ///< Prompt and generated tokens.
    double token_burst = 200'000;           ///< Bucket depth, tokens.
    std::uint32_t concurrent_streams = 100; ///< Open at once, everywhere.
    priority_class priority_ceiling = priority_class::interactive;
    std::chrono::milliseconds first_token_target{500}; ///< At p95.
    double retry_ratio = 0.1; ///< Retries for each request.

    bool operator==(const organisation_contract&) const = default;
};

// [route] --------------------------------------------------------------------

/// Which requests go to a service, and how they are treated.
struct route
{
    std::string name;              ///< Unique within the service.
    std::string method = "POST";   ///< In capitals; "*" for any.
    std::string path_prefix = "/"; ///< After /v1/{service}.
    repeatability repeats = repeatability::repeatable;
    priority_class priority = priority_class::standard;
    std::chrono::milliseconds time_limit{60'000}; ///< Whole answer.

    bool operator==(const route&) const = default;
};

// [backend_server] -----------------------------------------------------------

/// One process that runs a service; nothing of hyssopdeal runs beside it.
struct backend_server
{
    std::string name;           ///< Unique over all services.
    std::string address;        ///< `IP:port`.
    std::string failure_domain; ///< Where it runs.
    std::string version;        ///< Version that it serves.
    std::uint32_t slots = 8;    ///< Requests at once at full speed.
    double prefill_tokens_per_second = 8'000; ///< Uncached prompt tokens.
    double decode_tokens_per_second = 50;     ///< For one stream.
    price_class price = price_class::on_demand;
    double price_per_hour = 1; ///< In the operator's currency.
    bool checks_orders = true; ///< Refuses an old fencing token.

    bool operator==(const backend_server&) const = default;
};

// [service] ------------------------------------------------------------------

/// Share of a service's new requests that a version gets.
struct version_share
{
    std::string version; ///< Version's name.
    double share = 0;    ///< From 0 to 1; all shares add up to 1.

    bool operator==(const version_share&) const = default;
};

/// A service with all that belongs to it.
struct service
{
    std::string name; ///< First path part after /v1/.
    service_kind kind = service_kind::model;
    std::vector<route> routes;                         ///< Longest prefix wins.
    std::vector<backend_server> servers;               ///< Declared ones.
    std::vector<version_share> shares;                 ///< Set by moves.
    std::chrono::milliseconds first_token_target{500}; ///< At p95.

    bool operator==(const service&) const = default;
};

// [control_view] -------------------------------------------------------------

/// A failure domain whose servers get no new requests.
struct evacuated_domain
{
    std::string failure_domain;
    transport::wall_time since{}; ///< Time of the order.
};

/// The accepted configuration at one log index, as an entry uses it. Built by
/// the learner, published through read-copy-update, never changed afterwards.
struct control_view
{
    std::uint64_t applied_index = 0;              ///< Log index it reflects.
    std::vector<organisation_contract> contracts; ///< By name.
    std::vector<service> services;                ///< By name.
    std::vector<std::string> leaving_instances;   ///< Ordered to drain.
    std::vector<evacuated_domain> evacuations;    ///< In force, by name.
};

} // namespace hyssopdeal::protocol

#endif
