#ifndef HYSSOPDEAL_TRANSPORT_HTTP_CLIENT_HPP
#define HYSSOPDEAL_TRANSPORT_HTTP_CLIENT_HPP

/// @file
/// HTTP client on libcurl's multi interface, driven by an event loop.
///
/// Index: [settings] [handlers] [http_call] [http_client]
///
/// A connection whose answer was not read to its end is never used again.

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/transport/event_loop.hpp>
#include <hyssopdeal/transport/failure.hpp>
#include <hyssopdeal/transport/http_message.hpp>

namespace hyssopdeal::transport
{

// [settings] -----------------------------------------------------------------

/// Which connection a call goes out on.
enum class connection_choice
{
    pooled, ///< One that is open, if there is any.
    fresh   ///< A new one: it cannot have been closed by the server meanwhile.
};

/// Limits of one call.
struct http_call_settings
{
    connection_choice connection = connection_choice::pooled;
    std::chrono::milliseconds connect_time_limit{1'000}; ///< TCP connect.
    std::chrono::milliseconds total_time_limit{60'000};  ///< Whole answer.
    std::size_t max_body_bytes = 16'777'216;             ///< Whole answer.
    end_proof proves_end = has_whole_json;               ///< For fetch().
    /// Sent in place of the request's body, without a copy; kept until the call
    /// ends. Null: the request's own.
    std::shared_ptr<const std::string> body;
};

// [handlers] -----------------------------------------------------------------

/// How a call ended.
struct http_call_end
{
    int status = 0;        ///< HTTP status; 0 when no head was read.
    bool complete = false; ///< The answer was read to its proper end.
    failure error; ///< Meaningful only when not complete. Its verdict is
                   ///< not_run only if no byte was handed to a
                   ///< connection.
    /// The answer had neither a length nor chunks and ended with its
    /// connection. Whether it is whole is not known.
    bool ended_by_close = false;
};

/// Called on the loop's thread; on_end comes last and exactly once, unless the
/// call was cancelled.
struct http_call_handlers
{
    std::function<void(int status, const std::vector<http_header>&)> on_head;
    std::function<void(std::string_view piece)> on_data;
    std::function<void(http_call_end)> on_end;
};

// [http_call] ----------------------------------------------------------------

/// Owns a running call; destroying it cancels the call and closes its
/// connection. Use it on the loop's thread.
class http_call
{
public:
    struct impl;

    http_call() noexcept;
    explicit http_call(std::shared_ptr<impl> state) noexcept;
    http_call(http_call&&) noexcept;
    http_call& operator=(http_call&&) noexcept;
    ~http_call();

    /// Stops the call; no handler is called afterwards.
    void cancel() noexcept;

    /// Holds the answer back: on_data is not called until resume().
    void pause() noexcept;

    /// Lets a paused answer go on.
    void resume() noexcept;

private:
    std::shared_ptr<impl> state_;
};

// [http_client] --------------------------------------------------------------

/// Pools connections for the calls of one loop.
class http_client
{
public:
    /// @param max_connections Open at once; calls beyond it wait, within their
    ///     time limits. 0: no cap.
    explicit http_client(event_loop& loop, std::size_t max_connections = 0);
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    ~http_client();

    /// Starts a call.
    ///
    /// @param address `IP:port` of the server.
    /// @param request What to send.
    /// @param settings Limits of the call.
    /// @param handlers Where the answer goes.
    [[nodiscard]] http_call start(std::string_view address,
                                  const http_request& request,
                                  const http_call_settings& settings,
                                  http_call_handlers handlers);

    /// Sends a request and collects the whole answer. One that ended with its
    /// connection, without a proof that it is whole, counts as lost.
    ///
    /// @param on_answer Gets the answer, or a failure with its verdict.
    [[nodiscard]] http_call
    fetch(std::string_view address, const http_request& request,
          const http_call_settings& settings,
          std::function<void(result<http_response>)> on_answer);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::transport

#endif
