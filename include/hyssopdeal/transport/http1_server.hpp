#ifndef HYSSOPDEAL_TRANSPORT_HTTP1_SERVER_HPP
#define HYSSOPDEAL_TRANSPORT_HTTP1_SERVER_HPP

/// @file
/// HTTP/1.1 server that goes on reading while an answer is open, so that a
/// caller who leaves is seen at once, without writing to it. The bytes that it
/// holds count in its loop's byte_budget.
///
/// Index: [settings] [http1_exchange] [http1_server]

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/event_loop.hpp>
#include <hyssopdeal/transport/failure.hpp>
#include <hyssopdeal/transport/http_message.hpp>

namespace hyssopdeal::transport
{

// [settings] -----------------------------------------------------------------

/// What callers may send and how long they may take.
struct http1_caller_limits
{
    std::size_t max_head_bytes = 16'384;
    std::size_t max_body_bytes = 4'194'304;
    std::chrono::milliseconds head_time_limit{3'000};  ///< And body's pauses.
    std::chrono::milliseconds idle_time_limit{15'000}; ///< Between requests.
};

/// Which connection is closed for a new one when as many are open as allowed.
/// Requests that were handed on are never cut.
enum class replaced_connection : std::uint8_t
{
    idle,    ///< The longest idle one.
    unhanded ///< If none is idle, the one that takes longest to send a request.
};

/// Address and caps of a server.
struct http1_server_settings
{
    std::string address = "127.0.0.1"; ///< IP number to listen on.
    std::uint16_t port = 0;            ///< 0: the kernel picks one.
    std::size_t max_connections = 2'000;
    replaced_connection replaced = replaced_connection::idle;
    std::size_t max_unsent_bytes = 4'194'304; ///< An answer that its caller
                                              ///< does not read is ended.
    /// Copies of a body that exist while its request runs; 1 for a handler that
    /// sends http1_exchange::shared_body() on.
    std::size_t copies_of_body = 2;
    http1_caller_limits limits;
};

/// @return The settings with small bodies, few connections and the replacement
///     of unfinished ones, so that probes get through whoever else is connected.
[[nodiscard]] http1_server_settings for_probes(http1_server_settings settings);

// [http1_exchange] -----------------------------------------------------------

/// One request and its answer. Use it on the loop's thread; a copy stands for
/// the same request. Dropping the last copy before the answer is complete
/// closes the connection.
class http1_exchange
{
public:
    struct impl;

    explicit http1_exchange(std::shared_ptr<impl> state) noexcept;

    [[nodiscard]] const http_request& request() const noexcept;

    /// @return The request's body, for a client that sends it on. It is counted
    ///     as held for its caller while any such pointer exists.
    [[nodiscard]] std::shared_ptr<const std::string> shared_body() const;

    /// @return When the request had been read whole.
    [[nodiscard]] monotonic_time received_at() const noexcept;

    /// Calls a handler once if the caller leaves before the answer is complete.
    void on_left(std::function<void()> handler);

    /// Sends a whole answer.
    void send(const http_response& response);

    /// Starts an answer of unknown length.
    void begin(int status, const std::vector<http_header>& headers);

    /// Sends a piece of the body at once, or with the whole answer to a caller
    /// of HTTP/1.0.
    void write(std::string_view piece);

    /// Ends the answer whole.
    void finish();

    /// Closes the connection without an end mark: the caller sees a fault.
    void abort();

    /// Lets the connection end after this answer.
    void close_after();

    /// @return Whether the answer has ended or the caller has left.
    [[nodiscard]] bool over() const noexcept;

private:
    std::shared_ptr<impl> state_;
};

// [http1_server] -------------------------------------------------------------

/// Accepts connections on one loop and hands on whole requests.
class http1_server
{
public:
    struct impl;
    using handler = std::function<void(http1_exchange)>;

    http1_server(event_loop& loop, const clock& time,
                 http1_server_settings settings, handler on_request);
    http1_server(const http1_server&) = delete;
    http1_server& operator=(const http1_server&) = delete;
    ~http1_server();

    /// Binds and starts to accept.
    ///
    /// @return The port in use, or why the address could not be bound.
    [[nodiscard]] result<std::uint16_t> start();

    /// Changes the limits for what is read from now on.
    void set_limits(const http1_caller_limits& limits);

    /// Ends connections after the next answer that begins, or soon after one
    /// that had begun; new ones are still accepted.
    void drain();

    /// Stops accepting and closes connections that have no open request.
    void stop_accepting();

    /// @return Connections open now.
    [[nodiscard]] std::size_t open_connections() const noexcept;

    /// @return Requests whose answer is not complete.
    [[nodiscard]] std::size_t open_requests() const noexcept;

    /// @return Connections with a request that is being read or answered, or
    ///     with an answer that has not left: ending now would cut it.
    [[nodiscard]] std::size_t busy_connections() const noexcept;

private:
    std::shared_ptr<impl> impl_;
};

} // namespace hyssopdeal::transport

#endif
