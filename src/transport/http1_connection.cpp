/// @file
/// One caller's connection: reads requests, hands them on, sends answers.

#include "transport/http1_connection.hpp"

#include <algorithm>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/post.hpp>

#include <hyssopdeal/transport/event_log.hpp>

#include "transport/http1_writer.hpp"
#include "transport/socket_options.hpp"

namespace hyssopdeal::transport
{

using asio::ip::tcp;
using std::chrono::milliseconds;

namespace
{

// Bytes of later requests that are kept while an answer is open.
constexpr std::size_t max_early_bytes = 65'536;
// The next request is read only when less than this waits to be sent, so that
// a caller who sends many and reads nothing queues few answers.
constexpr std::size_t max_backlog_bytes = 65'536;
// An answer's caller who reads is not cut when the budget is short.
constexpr milliseconds unread_time{500};
// After a response that keeps its connection although the server drains: longer
// than a round trip to a caller, whose next request may be on its way.
constexpr milliseconds drain_idle_limit{200};
// How long a refused caller may go on sending, so that it reads the refusal
// before the reset that closing with unread bytes would send.
constexpr milliseconds linger_time{500};

/// @return The cause as it is logged.
std::string_view to_string(close_cause cause)
{
    switch (cause)
    {
    case close_cause::caller_left:
        return "caller_left";
    case close_cause::after_response:
        return "after_response";
    case close_cause::idle:
        return "idle";
    case close_cause::replaced:
        return "replaced";
    case close_cause::no_room:
        return "no_room";
    case close_cause::unread_response:
        return "unread_response";
    case close_cause::aborted:
        return "aborted";
    case close_cause::dropped:
        return "dropped";
    case close_cause::stop:
        return "stop";
    }
    return "unknown";
}

} // namespace

server_connection::server_connection(server_impl& server, tcp::socket socket)
    : server_(&server),
      socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      reader_(message_kind::request, server.settings.limits.max_head_bytes)
{}

void server_connection::start()
{
    asio::error_code ignored;
    socket_.set_option(tcp::no_delay{true}, ignored);
    out_share_ = make_share([](auto& self) {
        // Not at once: whoever the caller is an exchange of may be what
        // asks for room.
        asio::post(self.socket_.get_executor(),
                   [kept = self.shared_from_this()] {
                       kept->close(close_cause::no_room);
                   });
    });
    out_share_->watch_reader([this] {
        return taken_ -
               std::min<std::uint64_t>(taken_, unacknowledged_bytes(socket_));
    });
    wait_for_request();
    read();
}

void server_connection::send(std::string_view bytes)
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
        return close(close_cause::unread_response);
    }
    flush();
}

void server_connection::hold_unsent(std::size_t more)
{
    const auto bytes = out_.capacity() +
                       std::max(next_out_.capacity(), next_out_.size() + more);
    out_share_->allow_taking_back(bytes > max_backlog_bytes, unread_time);
    // A refusal must not take bytes back from others: it may itself be
    // sent from within a resize() of another connection.
    if (closing_ || !out_share_->resize(now(), bytes))
    {
        out_share_->force(bytes);
    }
}

void server_connection::answered(bool keep)
{
    open_.reset();
    paused_ = false;
    --server_->open_requests;
    reader_.reset();
    ends_soon_ = keep && server_->draining;
    wait_for_request();
    if (!keep)
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

void server_connection::close(close_cause cause)
{
    if (closed_)
    {
        return;
    }
    closed_ = true;
    const bool open = !open_.expired() || cause == close_cause::dropped;
    const bool unanswered = open || (discarded_ > 0 && !refused_);
    if (unanswered && cause != close_cause::caller_left)
    {
        log_event("caller.cut", {{"cause", to_string(cause)},
                                 {"open_request", open},
                                 {"discarded_bytes", discarded_}});
    }
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

void server_connection::orphan()
{
    close(close_cause::stop);
    server_ = nullptr;
}

bool server_connection::idle() const noexcept
{
    return open_.expired() && !closing_ && !writing_ && next_out_.empty() &&
           !reader_.started();
}

bool server_connection::replaceable(replaced_connection by) const noexcept
{
    return idle() || (by == replaced_connection::unhanded && open_.expired() &&
                      !closing_);
}

bool server_connection::hold_request(std::size_t more)
{
    if (!in_share_)
    {
        in_share_ = make_share([](auto& self) { self.refuse_for_room(); });
    }
    // Bytes of a later request, while one is open, cannot be refused yet.
    in_share_->allow_taking_back(open_.expired());
    const auto early = early_.capacity() > connection_read_bytes
                           ? early_.capacity()
                           : early_.size();
    return in_share_->resize(now(), early + reader_.held_bytes() + more);
}

void server_connection::refuse_for_room()
{
    refuse(503, "Too many bytes are held for callers.",
           server_->budget->count_refusal(now()));
}

void server_connection::wait_for_request()
{
    waits_since_ = now();
    wait(idle_limit());
}

milliseconds server_connection::idle_limit() const
{
    const auto limit = server_->settings.limits.idle_time_limit;
    return ends_soon_ && idle() ? std::min(limit, drain_idle_limit) : limit;
}

void server_connection::wait(milliseconds limit)
{
    timer_.expires_after(limit);
    timer_.async_wait([self = shared_from_this()](const auto& error) {
        if (!error && !self->closed_)
        {
            self->on_time();
        }
    });
}

void server_connection::on_time()
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
    // The limit may have been raised while the connection was idle.
    const auto left = waits_since_ + idle_limit() - now();
    if (!closing_ && left > left.zero())
    {
        return wait(std::chrono::ceil<milliseconds>(left));
    }
    close(closing_ ? close_cause::after_response : close_cause::idle);
}

void server_connection::read()
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
                return self->close(self->closing_ ? close_cause::after_response
                                                  : close_cause::caller_left);
            }
            if (self->closing_)
            {
                self->discarded_ += length;
            }
            else
            {
                self->take(length);
            }
            if (!self->closed_)
            {
                self->read();
            }
        });
}

void server_connection::take(std::size_t length)
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

void server_connection::parse()
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
    if (early_.empty() && early_.capacity() > connection_read_bytes)
    {
        std::string{}.swap(early_);
    }
    if (!closed_ && in_share_)
    {
        (void)hold_request(0);
    }
}

void server_connection::parse_some()
{
    const bool fresh = !reader_.started();
    if (fresh)
    {
        reader_.limit_head(server_->settings.limits.max_head_bytes);
    }
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
    if (reader_.method() == "CONNECT")
    {
        // The parser leaves its body unread, as that of another protocol.
        return refuse(501, "CONNECT is not supported.");
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

void server_connection::expect_body()
{
    if (reader_.state() == read_state::body &&
        find_header(reader_.headers(), "Expect").starts_with("100"))
    {
        send("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void server_connection::hand_on()
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

void server_connection::refuse(int status, std::string_view text, bool logs)
{
    if (logs)
    {
        log_event("caller.refused", {{"status", status},
                                     {"why", text},
                                     {"parser", reader_.error()},
                                     {"target_bytes", reader_.target().size()},
                                     {"body_bytes", reader_.body().size()}});
    }
    refused_ = true;
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

void server_connection::flush()
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

void server_connection::write_some()
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
                return self->close(close_cause::caller_left);
            }
            self->on_some_sent(length);
        });
}

void server_connection::on_some_sent(std::size_t length)
{
    sent_ += length;
    taken_ += length;
    out_share_->progress(now(), unlimited);
    if (open_.expired() && !reader_.started())
    {
        wait(idle_limit());
    }
    if (sent_ < out_.size())
    {
        return write_some();
    }
    writing_ = false;
    out_.clear();
    if (out_.capacity() > connection_read_bytes)
    {
        std::string{}.swap(out_);
    }
    hold_unsent(0);
    flush();
    if (ends_soon_ && idle())
    {
        wait_for_request();
    }
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

void server_connection::finish_closing()
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

} // namespace hyssopdeal::transport
