#ifndef HYSSOPDEAL_TRANSPORT_HTTP_SERVER_HPP
#define HYSSOPDEAL_TRANSPORT_HTTP_SERVER_HPP

/// @file
/// HTTP server on RESTinio, one for each event loop.
///
/// Index: [settings] [http_responder] [http_server]
///
/// Several servers on loops of their own share one port when `reuse_port` is
/// set: the first binds port 0, the others the port that the kernel picked.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <hyssopdeal/transport/event_loop.hpp>
#include <hyssopdeal/transport/failure.hpp>
#include <hyssopdeal/transport/http_message.hpp>

namespace hyssopdeal::transport
{

// [settings] -----------------------------------------------------------------

/// Address, caps and time limits of a server.
struct http_server_settings
{
    std::string address = "127.0.0.1";      ///< IP number to listen on.
    std::uint16_t port = 0;                 ///< 0: the kernel picks one.
    bool reuse_port = false;                ///< Share the port among loops.
    std::size_t max_connections = 10'000;   ///< Open connections.
    std::size_t max_header_bytes = 16'384;  ///< All header lines together.
    std::size_t max_body_bytes = 1'048'576; ///< Larger bodies get 413.
    std::chrono::milliseconds read_time_limit{10'000};  ///< Head and body.
    std::chrono::milliseconds write_time_limit{10'000}; ///< One write.
    /// Requests are handed on without their body, which is not copied but taken
    /// by http_responder::take_body().
    bool shares_body = false;
};

// [http_responder] -----------------------------------------------------------

/// Whether a piece of a stream reached the socket.
enum class write_status
{
    written,
    caller_left ///< The connection is gone; write nothing more.
};

/// Answers one request, whole or as a stream. A copy answers the same request.
/// Safe to use from any thread. Destroying the last copy unanswered sends 500.
class http_responder
{
public:
    struct impl;

    explicit http_responder(std::shared_ptr<impl> state) noexcept;
    ~http_responder();
    http_responder(const http_responder&);
    http_responder(http_responder&&) noexcept;
    http_responder& operator=(const http_responder&);
    http_responder& operator=(http_responder&&) noexcept;

    /// Takes the request's body. It is counted in the loop's byte_budget until
    /// nobody keeps it. Call it on the loop's thread.
    ///
    /// @return Not null; empty unless the server's settings say `shares_body`.
    [[nodiscard]] std::shared_ptr<const std::string> take_body();

    /// Sends a whole answer.
    void send(http_response response);

    /// Starts an answer of unknown length (chunked).
    void begin_stream(int status, std::vector<http_header> headers);

    /// Sends a piece of the stream at once.
    ///
    /// @param piece Bytes of the body.
    /// @param done Called on the loop when written or lost; may be empty.
    void write(std::string piece, std::function<void(write_status)> done = {});

    /// Ends the stream whole.
    void end_stream();

    /// Closes the connection without an end mark: the caller sees a fault.
    void abort_stream();

private:
    std::shared_ptr<impl> state_;
};

// [http_server] --------------------------------------------------------------

/// Accepts connections on one loop and hands on whole requests.
class http_server
{
public:
    /// Called on the loop's thread for each request.
    using handler = std::function<void(http_request, http_responder)>;

    http_server(event_loop& loop, http_server_settings settings,
                handler on_request);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    /// Binds and starts to accept.
    ///
    /// @return The port in use, or why the address could not be bound.
    [[nodiscard]] result<std::uint16_t> start();

    /// Stops accepting; open requests go on.
    void stop_accepting();

    /// @return Connections open now.
    [[nodiscard]] std::size_t open_connections() const noexcept;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::transport

#endif
