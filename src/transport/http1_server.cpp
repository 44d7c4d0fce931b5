/// @file
/// HTTP/1.1 server that reads while it answers.

#include <hyssopdeal/transport/http1_server.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <fmt/format.h>

#include <hyssopdeal/transport/byte_budget.hpp>
#include <hyssopdeal/transport/event_log.hpp>

#include "transport/http1_reader.hpp"
#include "transport/http1_writer.hpp"
#include "transport/ip_endpoint.hpp"
#include "transport/socket_options.hpp"

namespace hyssopdeal::transport
{

using asio::ip::tcp;
using std::chrono::milliseconds;

namespace
{

constexpr std::size_t read_bytes = 8'192;
// Bytes of later requests that are kept while an answer is open.
constexpr std::size_t max_early_bytes = 65'536;
// The next request is read only when less than this waits to be sent, so that
// a caller who sends many and reads nothing queues few answers.
constexpr std::size_t max_backlog_bytes = 65'536;
// An answer's caller who reads is not cut when the budget is short.
constexpr milliseconds unread_time{500};
// How long a refused caller may go on sending, so that it reads the refusal
// before the reset that closing with unread bytes would send.
constexpr milliseconds linger_time{500};
constexpr milliseconds accept_retry_pause{100};

class server_connection;

/// A request that was handed on, and the bytes counted for it.
struct held_request
{
    http_request request;
    std::unique_ptr<byte_share> share;
};

} // namespace

// [exchange state] -----------------------------------------------------------

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
    tcp::acceptor acceptor;
    asio::steady_timer accept_pause;
    std::set<std::shared_ptr<server_connection>> connections;
    std::size_t open_requests = 0;
    bool draining = false;
    bool stopped = false;
};

// [connection] ---------------------------------------------------------------

namespace
{

using server_impl = http1_server::impl;

/// One caller's connection.
class server_connection : public std::enable_shared_from_this<server_connection>
{
public:
    server_connection(server_impl& server, tcp::socket socket)
        : server_(&server),
          socket_(std::move(socket)),
          timer_(socket_.get_executor()),
          reader_(message_kind::request, server.settings.limits.max_head_bytes)
    {}

    void start()
    {
        asio::error_code ignored;
        socket_.set_option(tcp::no_delay{true}, ignored);
        out_share_ = make_share([](auto& self) {
            // Not at once: whoever the caller is an exchange of may be what
            // asks for room.
            asio::post(self.socket_.get_executor(),
                       [kept = self.shared_from_this()] { kept->close(); });
        });
        out_share_->watch_reader([this] {
            return taken_ - std::min<std::uint64_t>(
                                taken_, unacknowledged_bytes(socket_));
        });
        wait_for_request();
        read();
    }

    void send(std::string_view bytes)
    {
        if (closed_)
        {
            return;
        }
        if (next_out_.empty() && !writing_)
        {
            out_share_->progress(now(), unlimited);
            out_share_->forget_reading();
        }
        hold_unsent(bytes.size());
        next_out_.append(bytes);
        if (next_out_.size() > server_->settings.max_unsent_bytes)
        {
            return close();
        }
        flush();
    }

    /// Counts what waits to be sent. It has bounds of its own, so it is held
    /// also when the budget is short and nothing can be taken back for it.
    void hold_unsent(std::size_t more)
    {
        const auto bytes = out_.capacity() + std::max(next_out_.capacity(),
                                                      next_out_.size() + more);
        out_share_->allow_taking_back(bytes > max_backlog_bytes, unread_time);
        // A refusal must not take bytes back from others: it may itself be
        // sent from within a resize() of another connection.
        if (closing_ || !out_share_->resize(now(), bytes))
        {
            out_share_->force(bytes);
        }
    }

    /// The answer is complete.
    void answered(bool keep)
    {
        open_.reset();
        paused_ = false;
        --server_->open_requests;
        reader_.reset();
        wait_for_request();
        if (!keep || server_->stopped)
        {
            closing_ = true;
            std::string{}.swap(early_);
            return flush();
        }
        parse();
        if (!closed_)
        {
            read();
        }
    }

    void close()
    {
        if (closed_)
        {
            return;
        }
        closed_ = true;
        const auto keep_alive = shared_from_this();
        asio::error_code ignored;
        socket_.close(ignored);
        timer_.cancel();
        if (server_ != nullptr)
        {
            server_->connections.erase(keep_alive);
        }
        if (const auto state = open_.lock())
        {
            --server_->open_requests;
            open_.reset();
            state->connection.reset();
            if (const auto left = std::exchange(state->left, nullptr))
            {
                left();
            }
        }
    }

    /// The server is gone.
    void orphan()
    {
        close();
        server_ = nullptr;
    }

    [[nodiscard]] bool idle() const noexcept
    {
        return open_.expired() && !closing_ && !writing_ && next_out_.empty() &&
               !reader_.started();
    }

    /// @return Whether the connection may be closed for another.
    [[nodiscard]] bool replaceable(replaced_connection by) const noexcept
    {
        return idle() || (by == replaced_connection::unhanded &&
                          open_.expired() && !closing_);
    }

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

    [[nodiscard]] bool keep_offered() const noexcept
    {
        return reader_.keeps_alive() && !server_->draining;
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
    bool hold_request(std::size_t more)
    {
        if (!in_share_)
        {
            in_share_ = make_share([](auto& self) { self.refuse_for_room(); });
        }
        // Bytes of a later request, while one is open, cannot be refused yet.
        in_share_->allow_taking_back(open_.expired());
        const auto early =
            early_.capacity() > read_bytes ? early_.capacity() : early_.size();
        return in_share_->resize(now(), early + reader_.held_bytes() + more);
    }

    void refuse_for_room()
    {
        refuse(503, "Too many bytes are held for callers.",
               server_->budget->count_refusal(now()));
    }

    void wait_for_request()
    {
        waits_since_ = now();
        wait(server_->settings.limits.idle_time_limit);
    }

    void wait(milliseconds limit)
    {
        timer_.expires_after(limit);
        timer_.async_wait([self = shared_from_this()](const auto& error) {
            if (!error && !self->closed_)
            {
                self->on_time();
            }
        });
    }

    void on_time()
    {
        if (timer_.expiry() > std::chrono::steady_clock::now())
        {
            return;
        }
        if (!open_.expired())
        {
            return;
        }
        if (reader_.started() && !closing_)
        {
            return refuse(408, "The request did not arrive in time.");
        }
        close();
    }

    /// Does nothing while a read is under way: an answer that is given at once
    /// gets here from within the read's own handler.
    void read()
    {
        const bool waits = paused_ || early_.size() >= max_early_bytes;
        if (reading_ || (waits && !closing_))
        {
            return;
        }
        reading_ = true;
        socket_.async_read_some(
            asio::buffer(in_),
            [self = shared_from_this()](const auto& error, std::size_t length) {
                self->reading_ = false;
                if (self->closed_)
                {
                    return;
                }
                if (error)
                {
                    return self->close();
                }
                if (!self->closing_)
                {
                    self->take(length);
                }
                if (!self->closed_)
                {
                    self->read();
                }
            });
    }

    void take(std::size_t length)
    {
        early_.append(in_.data(), length);
        if (!hold_request(0))
        {
            // Early bytes of a caller whose request is open wait until it has
            // been answered; no more are read meanwhile.
            paused_ = !open_.expired();
            return paused_ ? void() : refuse_for_room();
        }
        in_share_->progress(now(), length);
        parse();
    }

    /// Reads requests until one is open. An answer that is given at once gets
    /// here from within, and the loop goes on with the next request.
    void parse()
    {
        if (parsing_)
        {
            return;
        }
        parsing_ = true;
        while (!closed_ && !closing_ && open_.expired() && !early_.empty() &&
               next_out_.size() < max_backlog_bytes)
        {
            parse_some();
        }
        parsing_ = false;
        if (early_.empty() && early_.capacity() > read_bytes)
        {
            std::string{}.swap(early_);
        }
        if (!closed_ && in_share_)
        {
            (void)hold_request(0);
        }
    }

    void parse_some()
    {
        const bool fresh = !reader_.started();
        const auto before = reader_.state();
        if (before == read_state::body)
        {
            const auto capacity = reader_.capacity_for(
                early_.size(), server_->settings.limits.max_body_bytes);
            if (!hold_request(capacity - reader_.body().capacity()))
            {
                return refuse_for_room();
            }
            reader_.reserve_body(capacity);
        }
        const auto used = reader_.feed(early_);
        early_.erase(0, used);
        if (reader_.state() == read_state::bad)
        {
            return reader_.head_too_large()
                       ? refuse(431, "The request's head is too large.")
                       : refuse(400, "The request is not valid HTTP.");
        }
        const auto announced = reader_.announced_bytes();
        if (std::max<std::uint64_t>(announced, reader_.body().size()) >
            server_->settings.limits.max_body_bytes)
        {
            return refuse(413, "The request's body is too large.");
        }
        if (before == read_state::head && reader_.state() != read_state::head)
        {
            if (!hold_request(0) || !server_->budget->may_fit(announced))
            {
                return refuse_for_room();
            }
            expect_body();
        }
        if (reader_.state() == read_state::complete)
        {
            return hand_on();
        }
        if (fresh || reader_.state() == read_state::body)
        {
            wait(server_->settings.limits.head_time_limit);
        }
    }

    void expect_body()
    {
        if (reader_.state() == read_state::body &&
            find_header(reader_.headers(), "Expect").starts_with("100"))
        {
            send("HTTP/1.1 100 Continue\r\n\r\n");
        }
    }

    void hand_on()
    {
        const auto body = reader_.body().capacity();
        if (!hold_request(body * (server_->settings.copies_of_body - 1)))
        {
            return refuse_for_room();
        }
        timer_.cancel();
        auto asked = std::make_shared<held_request>();
        asked->share = std::exchange(in_share_, nullptr);
        asked->share->allow_taking_back(false);
        asked->request.method = reader_.method();
        asked->request.target = reader_.target();
        asked->request.headers = std::move(reader_.headers());
        asked->request.body = std::move(reader_.body());
        auto state = std::make_shared<http1_exchange::impl>();
        state->asked = std::move(asked);
        state->received_at = server_->time.monotonic_now();
        state->connection = shared_from_this();
        open_ = state;
        ++server_->open_requests;
        server_->on_request(http1_exchange{std::move(state)});
    }

    void refuse(int status, std::string_view text, bool logs = true)
    {
        if (logs)
        {
            log_event("caller.refused",
                      {{"status", status},
                       {"why", text},
                       {"parser", reader_.error()},
                       {"target_bytes", reader_.target().size()},
                       {"body_bytes", reader_.body().size()}});
        }
        reader_.reset();
        std::string{}.swap(early_);
        in_share_.reset();
        http_response answer;
        answer.status = status;
        answer.headers = {{"Content-Type", "text/plain"}};
        if (status == 503)
        {
            answer.headers.push_back({"Retry-After", "1"});
        }
        answer.body = std::string{text} + "\n";
        closing_ = true;
        send(write_response(answer, connection_use::close));
    }

    void flush()
    {
        if (writing_ || closed_)
        {
            return;
        }
        if (next_out_.empty())
        {
            if (closing_)
            {
                finish_closing();
            }
            return;
        }
        writing_ = true;
        out_.clear();
        out_.swap(next_out_);
        sent_ = 0;
        write_some();
    }

    void write_some()
    {
        socket_.async_write_some(
            asio::buffer(out_) + sent_,
            [self = shared_from_this()](const auto& error, std::size_t length) {
                if (self->closed_)
                {
                    return;
                }
                if (error)
                {
                    return self->close();
                }
                self->on_some_sent(length);
            });
    }

    /// A caller who reads slowly is given time while it reads.
    void on_some_sent(std::size_t length)
    {
        sent_ += length;
        taken_ += length;
        out_share_->progress(now(), unlimited);
        if (open_.expired() && !reader_.started())
        {
            wait(server_->settings.limits.idle_time_limit);
        }
        if (sent_ < out_.size())
        {
            return write_some();
        }
        writing_ = false;
        out_.clear();
        if (out_.capacity() > read_bytes)
        {
            std::string{}.swap(out_);
        }
        hold_unsent(0);
        flush();
        // Requests may have waited for their predecessors' answers.
        if (!closing_ && open_.expired())
        {
            parse();
            if (!closed_)
            {
                read();
            }
        }
    }

    /// Ends sending and reads on for a moment: closing a socket with unread
    /// bytes would reset it and could destroy the answer on its way.
    void finish_closing()
    {
        if (lingering_)
        {
            return;
        }
        lingering_ = true;
        in_share_.reset();
        asio::error_code ignored;
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
        wait(linger_time);
        read();
    }

    server_impl* server_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    http1_reader reader_;
    std::array<char, read_bytes> in_{};
    std::string early_;       ///< Read and not yet parsed.
    std::string out_;         ///< Being written.
    std::size_t sent_ = 0;    ///< Of these.
    std::uint64_t taken_ = 0; ///< By the kernel, since the start.
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
    bool lingering_ = false;
    bool closed_ = false;
};

/// Closes the connection that has waited longest for a whole request, if there
/// is one that may be closed for another.
void make_room(server_impl& server)
{
    std::shared_ptr<server_connection> longest;
    for (const auto& one : server.connections)
    {
        if (one->replaceable(server.settings.replaced) &&
            (!longest ||
             std::pair{!one->idle(), one->waits_since()} <
                 std::pair{!longest->idle(), longest->waits_since()}))
        {
            longest = one;
        }
    }
    if (longest)
    {
        longest->close();
    }
}

/// Accepts until the server stops.
void accept_next(const std::shared_ptr<server_impl>& server)
{
    server->acceptor.async_accept([server](const auto& error,
                                           tcp::socket socket) {
        if (!server->acceptor.is_open())
        {
            return;
        }
        if (!error)
        {
            if (server->connections.size() >= server->settings.max_connections)
            {
                make_room(*server);
            }
            if (server->connections.size() < server->settings.max_connections)
            {
                auto made = std::make_shared<server_connection>(
                    *server, std::move(socket));
                server->connections.insert(made);
                made->start();
            }
            return accept_next(server);
        }
        // No file handle is left, for example: try again a little later.
        server->accept_pause.expires_after(accept_retry_pause);
        server->accept_pause.async_wait([server](const auto& stopped) {
            if (!stopped && server->acceptor.is_open())
            {
                accept_next(server);
            }
        });
    });
}

} // namespace

// [http1_exchange] -----------------------------------------------------------

http1_exchange::impl::~impl()
{
    if (connection)
    {
        connection->close();
    }
}

void http1_exchange::impl::end()
{
    left = nullptr;
    const auto from = std::exchange(connection, nullptr);
    from->answered(from->keep_offered() && !close_after);
}

http1_exchange::http1_exchange(std::shared_ptr<impl> state) noexcept
    : state_(std::move(state))
{}

const http_request& http1_exchange::request() const noexcept
{
    return state_->asked->request;
}

std::shared_ptr<const std::string> http1_exchange::shared_body() const
{
    return {state_->asked, &state_->asked->request.body};
}

monotonic_time http1_exchange::received_at() const noexcept
{
    return state_->received_at;
}

void http1_exchange::on_left(std::function<void()> handler)
{
    state_->left = std::move(handler);
}

void http1_exchange::send(const http_response& response)
{
    if (over())
    {
        return;
    }
    const auto use = state_->connection->keep_offered() && !state_->close_after
                         ? connection_use::keep
                         : connection_use::close;
    state_->close_after = use == connection_use::close;
    const auto connection = state_->connection;
    connection->send(write_response(response, use));
    if (!over())
    {
        state_->end();
    }
}

void http1_exchange::begin(int status, const std::vector<http_header>& headers)
{
    if (over())
    {
        return;
    }
    const auto use = state_->connection->keep_offered() && !state_->close_after
                         ? connection_use::keep
                         : connection_use::close;
    state_->close_after = use == connection_use::close;
    state_->begun = true;
    const auto connection = state_->connection;
    if (!connection->takes_chunks())
    {
        state_->held = http_response{status, headers, {}};
        return;
    }
    connection->send(write_head(status, headers, body_framing::chunked, use));
}

void http1_exchange::write(std::string_view piece)
{
    if (over() || piece.empty())
    {
        return;
    }
    const auto connection = state_->connection;
    if (!state_->held)
    {
        return connection->send(write_chunk(piece));
    }
    connection->hold_unsent(state_->held->body.size() + piece.size());
    state_->held->body += piece;
    if (state_->held->body.size() > connection->max_unsent_bytes())
    {
        connection->close();
    }
}

void http1_exchange::finish()
{
    if (over())
    {
        return;
    }
    if (const auto whole = std::exchange(state_->held, std::nullopt))
    {
        return send(*whole);
    }
    const auto connection = state_->connection;
    connection->send(last_chunk);
    if (!over())
    {
        state_->end();
    }
}

void http1_exchange::abort()
{
    if (over())
    {
        return;
    }
    state_->left = nullptr;
    const auto connection = state_->connection;
    connection->close();
}

void http1_exchange::close_after()
{
    state_->close_after = true;
}

bool http1_exchange::over() const noexcept
{
    return !state_->connection;
}

// [settings] -----------------------------------------------------------------

http1_server_settings for_probes(http1_server_settings settings)
{
    constexpr std::size_t max_connections = 64;
    constexpr std::size_t max_body_bytes = 16'384;
    settings.max_connections = max_connections;
    settings.replaced = replaced_connection::unhanded;
    settings.limits.max_body_bytes = max_body_bytes;
    return settings;
}

// [http1_server] -------------------------------------------------------------

http1_server::http1_server(event_loop& loop, const clock& time,
                           http1_server_settings settings, handler on_request)
    : impl_(std::make_shared<impl>(loop, time, std::move(settings),
                                   std::move(on_request)))
{}

http1_server::~http1_server()
{
    asio::error_code ignored;
    impl_->acceptor.close(ignored);
    impl_->accept_pause.cancel();
    const auto open = std::exchange(impl_->connections, {});
    for (const auto& connection : open)
    {
        connection->orphan();
    }
}

result<std::uint16_t> http1_server::start()
{
    asio::error_code error;
    auto& acceptor = impl_->acceptor;
    listen_on(acceptor, impl_->settings.address, impl_->settings.port, error);
    if (error)
    {
        return fail(reason::bad_settings,
                    fmt::format("Cannot listen on {}:{}: {}.",
                                impl_->settings.address, impl_->settings.port,
                                error.message()));
    }
    accept_next(impl_);
    return acceptor.local_endpoint(error).port();
}

void http1_server::set_limits(const http1_caller_limits& limits)
{
    impl_->settings.limits = limits;
}

void http1_server::drain()
{
    impl_->draining = true;
}

void http1_server::stop_accepting()
{
    impl_->stopped = true;
    impl_->draining = true;
    asio::error_code ignored;
    impl_->acceptor.close(ignored);
    const auto open = impl_->connections;
    for (const auto& connection : open)
    {
        if (connection->idle())
        {
            connection->close();
        }
    }
}

std::size_t http1_server::open_connections() const noexcept
{
    return impl_->connections.size();
}

std::size_t http1_server::open_requests() const noexcept
{
    return impl_->open_requests;
}

std::size_t http1_server::busy_connections() const noexcept
{
    const auto& all = impl_->connections;
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(),
                      [](const auto& item) { return !item->idle(); }));
}

} // namespace hyssopdeal::transport
