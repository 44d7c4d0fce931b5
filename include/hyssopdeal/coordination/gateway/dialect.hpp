#ifndef HYSSOPDEAL_COORDINATION_GATEWAY_DIALECT_HPP
#define HYSSOPDEAL_COORDINATION_GATEWAY_DIALECT_HPP

/// @file
/// A dialect maps the HTTP headers of callers and backend servers to the types
/// in this file, and back. Request flows are written against the concept
/// caller_dialect. A dialect only translates; it makes no decisions.
///
/// Index: [callers] [servers] [caller_dialect]

#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/coordination/gateway/placement.hpp>
#include <hyssopdeal/transport/http_message.hpp>

namespace hyssopdeal::coordination
{

// [callers] ------------------------------------------------------------------

/// Metadata of a caller's request, without its body.
struct request_metadata
{
    std::string attempt_id; ///< Id of this attempt by the caller; empty if not
                            ///< sent.
    std::string host;
    std::string key; ///< API key; empty if not sent.
    /// How long the caller waits for the response.
    std::optional<std::chrono::milliseconds> time_limit;
    bool has_token_counts = false; ///< Whether the request carries `size`.
    prompt_size size;
    std::string resume_after; ///< Id of the last event that the caller
                              ///< received; empty for a new stream.
};

// [servers] ------------------------------------------------------------------

/// What is added to a caller's request when it is sent to a server.
struct forward_metadata
{
    std::string organisation; ///< Empty if the route needs no key.
    std::string server_id;    ///< Only this server may run the request.
    std::chrono::milliseconds time_limit{0};
    std::uint32_t rank = 0;   ///< Priority; 0 is the highest.
    std::string resume_after; ///< Id of the event after which the stream is
                              ///< resumed; empty for a new stream.
    std::string moved_run;    ///< Stopped run that the server continues with
                              ///< the run's state; empty if none.
};

/// A server's response to a request to stop a stream and copy it elsewhere.
struct move_result
{
    /// Identifies the stopped run, for continuing it; empty if the stream was
    /// not stopped.
    std::string moved_run;
    bool copied = false; ///< The target server has the run's complete state.
    /// The response shows that the request did not stop the stream.
    bool not_stopped = false;
};

/// Metadata from the status and headers of a server's response.
struct response_metadata
{
    std::string attempt_id;    ///< Attempt that it responds to; empty if not
                               ///< sent.
    bool not_executed = false; ///< Refused before the request was run.
    bool other_server = false; ///< The address now belongs to another server.
    /// The response carries proof that the server ran the request.
    bool execution_proven = false;
    /// The body has a content encoding, so it is not the server's own.
    bool content_encoded = false;
    bool leaving = false; ///< The server shuts down soon and must not get new
                          ///< requests.
    /// Time without new requests that the server asks of this gateway instance;
    /// 0 if none.
    std::chrono::milliseconds pause{0};
    /// Text that names the requests per second that the server takes from all
    /// gateway instances together; empty if it names no limit.
    std::string rate_limit;
    /// Text that names the requests per second that the server can reject for
    /// want of room without falling over; empty if it is not brittle.
    std::string withstood_rejections;
    /// Text that names the milliseconds that the server stays cold; empty if it
    /// does not say.
    std::string cold_time;
    /// Text that states the server's load; empty if it states none.
    std::string server_load;
};

/// A server's response to a liveness check.
struct server_liveness
{
    std::uint64_t started = 0; ///< In the unit of listed_server::born.
    bool runs_attempt = false; ///< It lists the attempt in question as running;
                               ///< its lists lag.
};

// [caller_dialect] -----------------------------------------------------------

template <class Dialect>
concept caller_dialect = requires(
    const transport::http_request& request,
    const transport::http_request& original, const forward_metadata& metadata,
    const std::vector<transport::http_header>& headers, int status,
    const protocol::document_service& service)
{
    {
        Dialect::parse_request(request)
        } -> std::same_as<request_metadata>;
    // Without the body, which the client sends without a copy.
    {
        Dialect::make_request(original, metadata)
        } -> std::same_as<transport::http_request>;
    {
        Dialect::parse_response(status, headers)
        } -> std::same_as<response_metadata>;
    {
        Dialect::caller_headers(headers)
        } -> std::same_as<std::vector<transport::http_header>>;
    // make_move(attempt id, target address) asks a server to stop a stream and
    // to copy it to the target. parse_move_result(source address, status, body)
    // reads its response.
    {
        Dialect::make_move(std::string_view{}, std::string_view{})
        } -> std::same_as<transport::http_request>;
    {
        Dialect::parse_move_result(std::string_view{}, status,
                                   std::string_view{})
        } -> std::same_as<move_result>;
    // make_liveness_check(service) asks a server of it for anything, without
    // running a request; nothing if there is no such call.
    // parse_liveness(status, body, attempt id) reads the response; nothing if
    // anything else than a server of the service may have sent it.
    {
        Dialect::make_liveness_check(service)
        } -> std::same_as<std::optional<transport::http_request>>;
    {
        Dialect::parse_liveness(status, std::string_view{}, std::string_view{})
        } -> std::same_as<std::optional<server_liveness>>;
};

} // namespace hyssopdeal::coordination

#endif
