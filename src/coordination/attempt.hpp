#ifndef HYSSOPDEAL_SRC_COORDINATION_ATTEMPT_HPP
#define HYSSOPDEAL_SRC_COORDINATION_ATTEMPT_HPP

/// @file
/// Internal: one streamed attempt at one model engine. Reads the engine's
/// events; what counts is decided by the stream's record.
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

/// What to send where.
struct attempt_order
{
    std::string address; ///< `IP:port`.
    transport::http_request request;
    transport::http_call_settings limits;
    attempt_id attempt;               ///< Its name.
    std::uint64_t first_sequence = 1; ///< Of the first event to come.
};

// [attempt_end] --------------------------------------------------------------

/// How the engine's answer ended.
struct attempt_end
{
    /// What it was.
    enum class kind : std::uint8_t
    {
        stream,  ///< Events came, and the answer ended properly.
        refused, ///< Refused before running.
        answer,  ///< Any other whole answer, no stream.
        fault    ///< See `error`.
    };

    kind what = kind::fault;
    transport::http_response answer; ///< For refused and answer.
    transport::failure error;        ///< For fault.
};

// [engine_attempt] -----------------------------------------------------------

/// Runs from its construction; destroying it closes the connection.
class engine_attempt
{
public:
    /// Called on the loop's thread.
    struct handlers
    {
        std::function<void(engine_event)> on_event;
        std::function<void()> on_piece_done; ///< After the events of a read.
        std::function<void(attempt_end)> on_end; ///< Last, once.
    };

    engine_attempt(transport::http_client& client, const attempt_order& order,
                   handlers called);
    engine_attempt(const engine_attempt&) = delete;
    engine_attempt& operator=(const engine_attempt&) = delete;
    ~engine_attempt();

    /// Holds events back, for a caller that does not keep up.
    void pause();

    /// Lets events come again.
    void resume();

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

/// @return Whether an answer says that the request was refused before running.
[[nodiscard]] bool
is_refusal(int status, const std::vector<transport::http_header>& headers);

} // namespace hyssopdeal::coordination

#endif
