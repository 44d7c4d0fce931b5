#ifndef HYSSOPDEAL_SRC_COORDINATION_ATTEMPT_HPP
#define HYSSOPDEAL_SRC_COORDINATION_ATTEMPT_HPP

/// @file
/// Internal: one streaming request to one model engine. Parses the engine's
/// events; stream_record decides which of them are accepted.
///
/// Index: [attempt_order] [attempt_end] [engine_attempt]

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/coordination/stream_record.hpp>
#include <hyssopdeal/protocol/sse_parser.hpp>
#include <hyssopdeal/transport/failure.hpp>
#include <hyssopdeal/transport/http_client.hpp>
#include <hyssopdeal/transport/http_message.hpp>

namespace hyssopdeal::coordination
{

// [attempt_order] ------------------------------------------------------------

/// Request, destination and limits of an attempt.
struct attempt_order
{
    std::string address; ///< `IP:port`.
    transport::http_request request;
    transport::http_call_settings limits;
    attempt_id attempt;               ///< Id of this attempt.
    std::uint64_t first_sequence = 1; ///< Of the first event.
};

// [attempt_end] --------------------------------------------------------------

/// How an attempt ended.
struct attempt_end
{
    enum class kind : std::uint8_t
    {
        stream,  ///< An event stream that ended without an error.
        refused, ///< Refused before running.
        answer,  ///< Any other complete response that is not a stream.
        fault    ///< See `error`.
    };

    kind what = kind::fault;
    transport::http_response answer; ///< For `refused` and `answer`.
    transport::failure error;        ///< For `fault`.
};

// [engine_attempt] -----------------------------------------------------------

/// The constructor sends the request; the destructor closes the connection.
class engine_attempt
{
public:
    /// Callbacks, run on the event loop's thread.
    struct handlers
    {
        std::function<void(engine_event)> on_event;
        std::function<void()> on_read_done; ///< After all events of one read.
        std::function<void(attempt_end)> on_end; ///< Last call, made once.
    };

    engine_attempt(transport::http_client& client, const attempt_order& order,
                   handlers callbacks);
    engine_attempt(const engine_attempt&) = delete;
    engine_attempt& operator=(const engine_attempt&) = delete;
    ~engine_attempt();

    /// Stops reading from the engine while the caller reads too slowly.
    void pause();

    /// Continues reading after pause().
    void resume();

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

/// @return Whether the response says that the backend server refused the
/// request before running it.
[[nodiscard]] bool
is_refusal(int status, const std::vector<transport::http_header>& headers);

} // namespace hyssopdeal::coordination

#endif
