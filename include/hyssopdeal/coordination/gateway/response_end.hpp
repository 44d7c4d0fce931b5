#ifndef HYSSOPDEAL_COORDINATION_GATEWAY_RESPONSE_END_HPP
#define HYSSOPDEAL_COORDINATION_GATEWAY_RESPONSE_END_HPP

/// @file
/// Whether a response that has ended is whole. A connection closes in the same
/// way when the server finished, when it or the relay was killed, and when the
/// server stopped the stream to move it. Performs no I/O.
///
/// Index: [response_end] [end_check]

#include <chrono>
#include <cstdint>
#include <string_view>

#include <hyssopdeal/coordination/gateway/dialect.hpp>
#include <hyssopdeal/transport/http1_client.hpp>

namespace hyssopdeal::coordination
{

// [response_end] -------------------------------------------------------------

/// How an attempt's response ended.
enum class response_end : std::uint8_t
{
    whole,
    unconfirmed, ///< Whole if its server and the path to it still run.
    failed,      ///< The call ended with an error.
    not_run,     ///< The server reports that it did not run the request.
    broken_off,  ///< Inside an event, or before the first one of a stream.
    events_missing,
    /// The connection closed after the server was asked to stop the stream.
    maybe_stopped
};

/// What an attempt received.
struct received_response
{
    const response_metadata& metadata;
    bool is_event_stream = false;
    std::string_view remainder{}; ///< After the last complete event.
    bool had_event = false;
    /// Whether the caller had events of the stream before this attempt.
    bool resumed = false;
    bool misses_events = false;  ///< By the numbers of its events.
    bool may_be_stopped = false; ///< By a request to move the stream.
};

[[nodiscard]] response_end judge_end(const transport::http1_call_end& end,
                                     const received_response& response);

// [end_check] ----------------------------------------------------------------

/// Servers report what was some hundred milliseconds ago. A process that ends
/// may close its streams that much before its port.
constexpr std::chrono::milliseconds min_confirmation_age{500};

/// A server's answer to the question whether it still runs after the end of its
/// response.
struct end_check
{
    std::chrono::milliseconds asked_after{0}; ///< From the end to the question.
    bool answered = false;                    ///< By a server of the service.
    bool restarted = false;                   ///< Since it was listed.
    bool runs_attempt = false; ///< It lists the attempt as running.
};

enum class end_check_verdict : std::uint8_t
{
    whole,
    check_again,
    lost ///< The response was cut off.
};

[[nodiscard]] end_check_verdict judge_check(const end_check& check) noexcept;

} // namespace hyssopdeal::coordination

#endif
