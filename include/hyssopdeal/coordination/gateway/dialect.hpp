#ifndef HYSSOPDEAL_COORDINATION_GATEWAY_DIALECT_HPP
#define HYSSOPDEAL_COORDINATION_GATEWAY_DIALECT_HPP

/// @file
/// How callers and backend servers speak: what a dialect translates, and the
/// concept that request flows are written against. A dialect decides nothing.
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

/// What a caller's request says beside its body.
struct request_metadata
{
    std::string attempt_id; ///< Of this try of the caller; empty: none.
    std::string host;
    std::string key;                                     ///< Empty: none.
    std::optional<std::chrono::milliseconds> time_limit; ///< It waits so long.
    bool has_token_counts = false; ///< Whether `size` was sent.
    prompt_size size;
    std::string resume_after; ///< Event that the caller has; empty: none.
};

// [servers] ------------------------------------------------------------------

/// What a request to a server says beside what its caller sent.
struct forward_metadata
{
    std::string organisation; ///< Empty: none.
    std::string server_id;    ///< The only one that may run it.
    std::chrono::milliseconds time_limit{0};
    std::uint32_t rank = 0;   ///< 0 is the most urgent.
    std::string resume_after; ///< Goes on after this event; empty: no.
    std::string moved_run;    ///< Goes on with this run's state; empty: no.
};

/// What a server answers when it is to hand a running stream over.
struct move_result
{
    /// The stream has stopped there and can go on with this.
    std::string moved_run;
    bool copied = false; ///< The other server has all of it.
};

/// What an answer's head says.
struct response_metadata
{
    std::string attempt_id;    ///< That it answers; empty: not said.
    bool not_executed = false; ///< The server refused before running.
    bool other_server = false; ///< The address belongs to another server now.
    bool proven = false;       ///< Comes from a server that ran the request.
    bool encoded = false;      ///< The body is not the server's own.
    bool leaving = false;      ///< The server ends soon: no new work.
    /// The server wants nothing from this instance for so long; 0: not said.
    std::chrono::milliseconds pause{0};
};

// [caller_dialect] -----------------------------------------------------------

template <class Dialect>
concept caller_dialect =
    requires(const transport::http_request& request,
             const transport::http_request& original, const forward_metadata& terms,
             const std::vector<transport::http_header>& headers, int status)
{
    {
        Dialect::parse_request(request)
        } -> std::same_as<request_metadata>;
    {
        Dialect::make_request(original, terms)
        } -> std::same_as<transport::http_request>;
    {
        Dialect::parse_response(status, headers)
        } -> std::same_as<response_metadata>;
    {
        Dialect::caller_headers(headers)
        } -> std::same_as<std::vector<transport::http_header>>;
    // Asks the server at `from` to stop a stream and to copy it to another.
    {
        Dialect::make_move(std::string_view{}, std::string_view{})
        } -> std::same_as<transport::http_request>;
    {
        Dialect::parse_move_result(std::string_view{}, status, std::string_view{})
        } -> std::same_as<move_result>;
};

} // namespace hyssopdeal::coordination

#endif
