#ifndef HYSSOPDEAL_SRC_TRANSPORT_HTTP1_CONNECTION_HPP
#define HYSSOPDEAL_SRC_TRANSPORT_HTTP1_CONNECTION_HPP

/// @file
/// Internal: one caller's connection to http1_server, and the state that the
/// server, its connections and their exchanges share.
///
/// Index: [exchange state] [server state] [connection]

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <hyssopdeal/transport/byte_budget.hpp>
#include <hyssopdeal/transport/http1_server.hpp>

#include "transport/http1_reader.hpp"

namespace hyssopdeal::transport
{

class server_connection;

// [exchange state] -----------------------------------------------------------

/// A request that was handed on, and the bytes counted for it.
struct held_request
{
    http_request request;
    std::unique_ptr<byte_share> share;
};

struct http1_exchange::impl
{
    ~impl();

    std::shared_ptr<const held_request> asked;
    monotonic_time received_at{};
    std::shared_ptr<server_connection> connection; ///< Null once over.
    std::function<void()> left;
    /// Held back until it is whole, for a caller that reads no chunks: the end
    /// of its connection would not tell a whole response from a cut one.
    std::optional<http_response> held;
    bool begun = false;
    bool bodyless = false; ///< Known once begun.
    bool close_after = false;

    void end();
};

// [server state] -------------------------------------------------------------

struct http1_server::impl
{
    impl(event_loop& own_loop, const clock& own_time,
         http1_server_settings own_settings, handler handle)
        : loop(own_loop),
          time(own_time),
          settings(std::move(own_settings)),
          on_request(std::move(handle)),
          budget(byte_budget_of(own_loop)),
          acceptor(loop.context()),
          accept_pause(loop.context())
    {}

    event_loop& loop;
    const clock& time;
    http1_server_settings settings;
    handler on_request;
    std::shared_ptr<byte_budget> budget;
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer accept_pause;
    std::set<std::shared_ptr<server_connection>> connections;
    std::size_t open_requests = 0;
    bool draining = false;
};

// [connection] ---------------------------------------------------------------

using server_impl = http1_server::impl;

inline constexpr std::size_t connection_read_bytes = 8'192;

/// Why a caller's connection is closed.
enum class close_cause : std::uint8_t
{
    caller_left,
    after_response,  ///< It was not to be kept.
    idle,            ///< For longer than allowed.
    replaced,        ///< By a new connection.
    no_room,         ///< In the byte budget, for what waits to be sent.
    unread_response, ///< More of it waits than a caller may leave unread.
    aborted,         ///< The response cannot be completed.
    dropped,         ///< By its handler, without a response.
    stop             ///< Of the server.
};

/// One caller's connection.
class server_connection : public std::enable_shared_from_this<server_connection>
{
public:
    server_connection(server_impl& server, asio::ip::tcp::socket socket);

    void start();

    void send(std::string_view bytes);

    /// Counts what waits to be sent. It has bounds of its own, so it is held
    /// also when the budget is short and nothing can be taken back for it.
    void hold_unsent(std::size_t more);

    /// The answer is complete.
    void answered(bool keep);

    /// Logs a request that gets no response by it, unless its caller has left.
    void close(close_cause cause);

    /// The server is gone.
    void orphan();

    [[nodiscard]] bool idle() const noexcept;

    /// @return Whether the connection may be closed for another.
    [[nodiscard]] bool replaceable(replaced_connection by) const noexcept;

    /// @return Since when it has waited for a whole request.
    [[nodiscard]] monotonic_time waits_since() const noexcept
    {
        return waits_since_;
    }

    [[nodiscard]] bool takes_chunks() const noexcept
    {
        return reader_.takes_chunks();
    }

    [[nodiscard]] std::size_t max_unsent_bytes() const noexcept
    {
        return server_->settings.max_unsent_bytes;
    }

    /// @return Whether a response that begins now may keep the connection. A
    ///     stop waits for the responses to what was read already.
    [[nodiscard]] bool keep_offered() const noexcept
    {
        return reader_.keeps_alive() && (!server_->draining || !early_.empty());
    }

private:
    static constexpr std::size_t unlimited = 1'073'741'824;

    [[nodiscard]] monotonic_time now() const
    {
        return server_->time.monotonic_now();
    }

    template <class TakeBack>
    std::unique_ptr<byte_share> make_share(TakeBack take_back)
    {
        return std::make_unique<byte_share>(
            server_->budget, &server_->loop, now(),
            [weak = weak_from_this(), take_back] {
                const auto self = weak.lock();
                if (self && !self->closed_)
                {
                    take_back(*self);
                }
            });
    }

    /// Counts what the request that is being read takes, with more to come.
    ///
    /// @return Whether there is room.
    bool hold_request(std::size_t more);

    void refuse_for_room();

    void wait_for_request();

    /// @return How long the connection may wait for its next request.
    [[nodiscard]] std::chrono::milliseconds idle_limit() const;

    void wait(std::chrono::milliseconds limit);

    void on_time();

    /// Does nothing while a read is under way: an answer that is given at once
    /// gets here from within the read's own handler.
    void read();

    void take(std::size_t length);

    /// Reads requests until one is open. An answer that is given at once gets
    /// here from within, and the loop goes on with the next request.
    void parse();

    void parse_some();

    void expect_body();

    void hand_on();

    void refuse(int status, std::string_view text, bool logs = true);

    void flush();

    void write_some();

    /// A caller who reads slowly is given time while it reads.
    void on_some_sent(std::size_t length);

    /// Ends sending and reads on for a moment: closing a socket with unread
    /// bytes would reset it and could destroy the answer on its way.
    void finish_closing();

    server_impl* server_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    http1_reader reader_;
    std::array<char, connection_read_bytes> in_{};
    std::string early_;         ///< Read and not yet parsed.
    std::string out_;           ///< Being written.
    std::size_t sent_ = 0;      ///< Of these.
    std::uint64_t taken_ = 0;   ///< By the kernel, since the start.
    std::size_t discarded_ = 0; ///< Read after the last response.
    std::string next_out_;
    std::unique_ptr<byte_share> in_share_;
    std::unique_ptr<byte_share> out_share_;
    monotonic_time waits_since_{};
    std::weak_ptr<http1_exchange::impl> open_;
    bool parsing_ = false;
    bool reading_ = false;
    bool paused_ = false; ///< Nothing is read until the answer has ended.
    bool writing_ = false;
    bool closing_ = false;
    bool refused_ = false;
    bool ends_soon_ = false; ///< Unless a request comes.
    bool lingering_ = false;
    bool closed_ = false;
};

} // namespace hyssopdeal::transport

#endif
