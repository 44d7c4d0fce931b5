/// @file
/// HTTP/1.1 client on Asio and http_parser.

#include <hyssopdeal/transport/http1_client.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <compare>
#include <deque>
#include <map>
#include <optional>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>

#include <hyssopdeal/transport/tcp_relay.hpp>

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

constexpr std::size_t read_bytes = 16'384;
// Of heads and of answers that are read past; they may come without end.
constexpr std::size_t max_skipped_bytes = 4'194'304;
// An instance list of ten thousand servers takes a quarter of it.
constexpr std::size_t most_fetched_bytes = 8'388'608;

class client_connection;

} // namespace

// [state] --------------------------------------------------------------------

struct http1_client::impl : std::enable_shared_from_this<http1_client::impl>
{
    /// How a server is connected to.
    struct path
    {
        std::string address;
        std::string relay; ///< Empty: directly.

        auto operator<=>(const path&) const = default;
    };

    impl(event_loop& own_loop, const clock& own_time,
         http1_client_settings own_settings)
        : loop(own_loop),
          time(own_time),
          settings(std::move(own_settings))
    {}

    event_loop& loop;
    const clock& time;
    http1_client_settings settings;
    /// Idle connections by server and relay.
    std::map<path, std::deque<std::shared_ptr<client_connection>>> idle;
    std::uint64_t opened = 0;
    bool ended = false;

    template <class Predicate>
    void close_idle(Predicate closes);

    /// @param stays_open The probe succeeds if it is open for so long.
    void probe(const std::string& address, const http1_call_settings& with,
               milliseconds stays_open, std::function<void(bool)> on_end);
};

struct http1_call::impl
{
    /// Shared, so that a handler that cancels its own call outlives itself.
    std::shared_ptr<http1_call_handlers> handlers; ///< Null once over.
    std::shared_ptr<client_connection> connection; ///< Null once over.
    timer_handle timer;

    void end(http1_call_end how)
    {
        connection.reset();
        timer.cancel();
        const auto last = std::exchange(handlers, nullptr);
        if (last && last->on_end)
        {
            last->on_end(std::move(how));
        }
    }
};

// [connection] ---------------------------------------------------------------

namespace
{

using client_state = http1_client::impl;
using call_state = http1_call::impl;

/// @return The idle time that a server announces, or nothing.
std::optional<milliseconds> announced_idle(std::vector<http_header>& headers)
{
    constexpr std::string_view key = "timeout=";
    const auto text = find_header(headers, "Keep-Alive");
    const auto at = text.find(key);
    if (at == std::string_view::npos)
    {
        return std::nullopt;
    }
    const auto digits = text.substr(at + key.size());
    int seconds = 0;
    const auto read =
        std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (read.ec != std::errc{})
    {
        return std::nullopt;
    }
    return std::chrono::seconds{seconds};
}

/// @return The start of the relay's process that its response names; empty if
///     it does not.
std::string relay_start_in(std::string_view response)
{
    const auto key = fmt::format("\r\n{}: ", relay_start_header);
    const auto at = response.find(key);
    if (at == std::string_view::npos)
    {
        return {};
    }
    const auto value = response.substr(at + key.size());
    return std::string{value.substr(0, value.find('\r'))};
}

/// One connection to a server; carries one call at a time.
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    client_connection(std::shared_ptr<client_state> client,
                      client_state::path path)
        : client_(std::move(client)),
          path_(std::move(path)),
          socket_(client_->loop.context()),
          reader_(message_kind::response, client_->settings.max_head_bytes),
          max_idle_(client_->settings.max_idle),
          relay_failed_(!path_.relay.empty())
    {}

    /// @param to The server or, if there is one, the relay.
    void connect(const tcp::endpoint& to, milliseconds limit)
    {
        connect_timer_ =
            client_->loop.after(limit, [self = shared_from_this()] {
                self->fail(reason::connect_failed, "No connection in time.");
            });
        if (path_.relay.empty())
        {
            asio::error_code error;
            open_from(socket_, to.protocol(), client_->settings.source_address,
                      error);
            if (error)
            {
                return client_->loop.post(
                    [self = shared_from_this(), text = error.message()] {
                        self->fail(reason::connect_failed, text);
                    });
            }
        }
        socket_.async_connect(to, [self = shared_from_this()](const auto& e) {
            if (self->closed_)
            {
                return;
            }
            if (e)
            {
                return self->fail(reason::connect_failed, e.message());
            }
            limit_silence(self->socket_, self->client_->settings.silence_limit);
            self->path_.relay.empty() ? self->on_connected()
                                      : self->request_relay();
        });
    }

    /// Connects without a call; the connection becomes idle.
    ///
    /// @param with `relay_start` and `connect_time_limit` are used.
    /// @param stays_open The probe succeeds if it is open for so long.
    void probe(const tcp::endpoint& to, const http1_call_settings& with,
               milliseconds stays_open, std::function<void(bool)> on_end)
    {
        expected_start_ = with.relay_start;
        on_probe_end_ = std::move(on_end);
        probe_time_ = stays_open;
        connect(to, with.connect_time_limit);
    }

    void carry(const std::shared_ptr<call_state>& call, std::string_view method,
               std::string bytes, const http1_call_settings& settings)
    {
        call_ = call;
        max_body_bytes_ = settings.max_body_bytes;
        keep_connection_ = settings.keep_connection && method != "HEAD";
        body_bytes_ = 0;
        skipped_bytes_ = 0;
        out_ = std::move(bytes);
        body_ = settings.body;
        sent_ = false;
        unanswered_ = true;
        reader_.reset();
        reader_.expect_response_to(method);
        if (connected_)
        {
            write();
        }
    }

    /// Closes without telling the call.
    void close()
    {
        if (closed_)
        {
            return;
        }
        closed_ = true;
        connect_timer_.cancel();
        asio::error_code ignored;
        if (unanswered_)
        {
            // A request that is given up must not arrive later, after a
            // partition for example, nor go on at the server.
            socket_.set_option(asio::socket_base::linger{true, 0}, ignored);
        }
        socket_.close(ignored);
        drop_from_idle();
    }

    [[nodiscard]] milliseconds idle_for(monotonic_time now) const
    {
        return std::chrono::duration_cast<milliseconds>(now - idle_since_);
    }

    [[nodiscard]] milliseconds max_idle() const noexcept
    {
        return max_idle_;
    }

private:
    void on_connected()
    {
        connect_timer_.cancel();
        connected_ = true;
        read();
        if (!on_probe_end_)
        {
            return write();
        }
        if (probe_time_ <= milliseconds{0})
        {
            return end_probe();
        }
        connect_timer_ = client_->loop.after(
            probe_time_, [self = shared_from_this()] { self->end_probe(); });
    }

    void end_probe()
    {
        if (const auto on_end = std::exchange(on_probe_end_, nullptr))
        {
            go_idle();
            client_->ended ? void() : on_end(true);
        }
    }

    /// Asks the relay for a connection to the server. The call's request
    /// follows only once that is open.
    void request_relay()
    {
        relay_request_ = fmt::format(
            "CONNECT {0} HTTP/1.1\r\nHost: {0}\r\nProxy-Authorization: "
            "{1}\r\n\r\n",
            path_.address,
            relay_proof(client_->settings.relay_key, path_.address));
        asio::async_write(
            socket_, asio::buffer(relay_request_),
            [self = shared_from_this()](const auto& error, std::size_t) {
                if (!self->closed_)
                {
                    error ? self->fail(reason::connect_failed, error.message())
                          : self->read_relay_response();
                }
            });
    }

    void read_relay_response()
    {
        socket_.async_read_some(
            asio::buffer(in_),
            [self = shared_from_this()](const auto& error, std::size_t length) {
                if (self->closed_)
                {
                    return;
                }
                if (error)
                {
                    return self->fail(reason::connect_failed, error.message());
                }
                self->relay_response_.append(self->in_.data(), length);
                self->take_relay_response();
            });
    }

    void take_relay_response()
    {
        constexpr std::size_t max_bytes = 256;
        constexpr std::string_view accepted = "HTTP/1.1 200 ";
        const auto end = relay_response_.find("\r\n\r\n");
        if (end == std::string::npos && relay_response_.size() < max_bytes)
        {
            return read_relay_response();
        }
        if (end + 4 == relay_response_.size() &&
            relay_response_.starts_with(accepted))
        {
            relay_failed_ = false;
            relay_start_ = relay_start_in(relay_response_);
            if (expected_start_ && expected_start_ != relay_start_)
            {
                return fail(reason::connect_failed,
                            "The relay has started again.");
            }
            return on_connected();
        }
        relay_failed_ = !relay_response_.starts_with(
            fmt::format("HTTP/1.1 {} ", relay_unreachable_status));
        fail(reason::connect_failed,
             "The relay did not connect: " +
                 relay_response_.substr(0, relay_response_.find('\r')));
    }

    void write()
    {
        writing_ = true;
        sent_ = true;
        const std::array<asio::const_buffer, 2> buffers{
            asio::buffer(out_),
            body_ ? asio::buffer(*body_) : asio::const_buffer{}};
        asio::async_write(
            socket_, buffers,
            [self = shared_from_this()](const auto& error, std::size_t) {
                self->writing_ = false;
                if (self->closed_)
                {
                    return;
                }
                // An idle connection would keep the room of a large body.
                std::string{}.swap(self->out_);
                self->body_.reset();
                // What the server sent before it closed is read first.
                self->was_reset_ = error && error != asio::error::broken_pipe;
                if (!error && self->done_)
                {
                    self->go_idle();
                }
            });
    }

    void read()
    {
        socket_.async_read_some(
            asio::buffer(in_),
            [self = shared_from_this()](const auto& error, std::size_t length) {
                if (self->closed_)
                {
                    return;
                }
                if (error)
                {
                    return self->on_closed(error);
                }
                self->take({self->in_.data(), length});
                if (!self->closed_)
                {
                    self->read();
                }
            });
    }

    void take(std::string_view bytes)
    {
        while (!bytes.empty() && !closed_)
        {
            const auto call = call_.lock();
            if (!call || done_)
            {
                return on_unrequested_end("Bytes that no request asked for.");
            }
            const auto used = reader_.feed(bytes);
            bytes.remove_prefix(used);
            skipped_bytes_ += head_seen_ && !skipping_ ? 0 : used;
            if (skipped_bytes_ > max_skipped_bytes)
            {
                return fail(reason::broken_answer,
                            "Too many bytes of other answers.");
            }
            if (!take_progress(*call, bytes.empty()))
            {
                return;
            }
        }
    }

    /// @return Whether the connection goes on.
    bool take_progress(call_state& call, bool all_read)
    {
        const auto keep = shared_from_this();
        if (reader_.state() == read_state::bad)
        {
            fail(reason::broken_answer, "The answer is not valid HTTP.");
            return false;
        }
        if (reader_.state() == read_state::head)
        {
            return true;
        }
        if (!head_seen_ && !take_head(call))
        {
            return false;
        }
        if (!reader_.body().empty() && !skipping_)
        {
            const auto piece = std::exchange(reader_.body(), {});
            body_bytes_ += piece.size();
            if (max_body_bytes_ > 0 && body_bytes_ > max_body_bytes_)
            {
                fail(reason::too_large, "The answer is too large.");
                return false;
            }
            const auto handlers = call.handlers;
            if (handlers && handlers->on_data)
            {
                handlers->on_data(piece);
            }
        }
        reader_.body().clear();
        if (closed_)
        {
            return false;
        }
        if (reader_.state() == read_state::complete)
        {
            finish_message(all_read);
        }
        return !closed_;
    }

    bool take_head(call_state& call)
    {
        constexpr int first_final_status = 200;
        head_seen_ = true;
        skipping_ = reader_.status() < first_final_status;
        if (skipping_)
        {
            return true;
        }
        const auto handlers = call.handlers;
        const auto choice =
            handlers && handlers->on_head
                ? handlers->on_head(reader_.status(), reader_.headers())
                : head_choice::take;
        if (closed_)
        {
            return false;
        }
        if (choice == head_choice::reject)
        {
            fail(reason::broken_answer, "The answer cannot be trusted.");
            return false;
        }
        skipping_ = choice == head_choice::skip;
        return true;
    }

    void finish_message(bool all_read)
    {
        if (skipping_)
        {
            if (!reader_.keeps_alive())
            {
                return fail(reason::connection_lost,
                            "Closed after another request's answer.");
            }
            head_seen_ = false;
            skipping_ = false;
            reader_.reset();
            return;
        }
        const auto idle = announced_idle(reader_.headers());
        if (idle)
        {
            // A request must reach the server before it closes.
            max_idle_ =
                std::min(client_->settings.longest_idle, *idle * 7 / 10);
        }
        const bool keep = reader_.keeps_alive() && all_read && keep_connection_;
        const auto call = std::exchange(call_, {}).lock();
        done_ = true;
        unanswered_ = false;
        if (!keep)
        {
            close();
        }
        else if (!writing_)
        {
            go_idle();
        }
        call->end({true, {}, reader_.ended_by_close(), false, relay_start_});
    }

    void go_idle()
    {
        done_ = false;
        head_seen_ = false;
        skipping_ = false;
        call_.reset();
        out_.clear();
        auto& list = client_->idle[path_];
        if (client_->ended ||
            list.size() >= client_->settings.max_idle_for_each)
        {
            return close();
        }
        idle_since_ = client_->time.monotonic_now();
        list.push_back(shared_from_this());
    }

    void on_closed(const asio::error_code& error)
    {
        const auto call = call_.lock();
        if (!call || done_)
        {
            return on_unrequested_end(error.message());
        }
        if (error == asio::error::eof && !was_reset_)
        {
            reader_.feed_end();
            if (reader_.state() == read_state::complete)
            {
                (void)take_progress(*call, true);
                return close();
            }
        }
        fail(reason::connection_lost,
             was_reset_ ? "The connection was lost during the request."
                        : error.message());
    }

    /// Ends a connection that waits for no answer.
    void on_unrequested_end(std::string text)
    {
        on_probe_end_ ? fail(reason::connection_lost, std::move(text))
                      : close();
    }

    void fail(reason code, std::string text)
    {
        const auto keep = shared_from_this();
        const auto ran = sent_ ? verdict::may_have_run : verdict::not_run;
        const auto call = std::exchange(call_, {}).lock();
        const auto on_probe_end = std::exchange(on_probe_end_, nullptr);
        close();
        if (call)
        {
            call->end({false,
                       {ran, code, std::move(text)},
                       false,
                       relay_failed_,
                       relay_start_});
        }
        if (on_probe_end && !client_->ended)
        {
            on_probe_end(false);
        }
    }

    void drop_from_idle()
    {
        const auto found = client_->idle.find(path_);
        if (found == client_->idle.end())
        {
            return;
        }
        auto& list = found->second;
        const auto own =
            std::find(list.begin(), list.end(), shared_from_this());
        if (own != list.end())
        {
            list.erase(own);
        }
    }

    std::shared_ptr<client_state> client_;
    client_state::path path_;
    tcp::socket socket_;
    http1_reader reader_;
    std::array<char, read_bytes> in_{};
    std::string out_;
    std::shared_ptr<const std::string> body_; ///< Follows these; may be null.
    std::weak_ptr<call_state> call_;
    timer_handle connect_timer_;
    monotonic_time idle_since_{};
    milliseconds max_idle_;
    std::size_t max_body_bytes_ = 0; ///< 0: none.
    bool keep_connection_ = true;    ///< After the call that it carries.
    std::size_t body_bytes_ = 0;
    std::size_t skipped_bytes_ = 0; ///< Before the body of the answer taken.
    std::function<void(bool)> on_probe_end_;
    milliseconds probe_time_{0};
    std::string relay_request_;
    std::string relay_response_;
    std::optional<std::string> relay_start_; ///< None without a relay.
    std::optional<std::string> expected_start_;
    bool relay_failed_; ///< Until the relay has reached the server or not.
    bool connected_ = false;
    bool sent_ = false;       ///< A byte may have left.
    bool unanswered_ = false; ///< Carries a call.
    bool writing_ = false;
    /// A write failed with the error of the connection, which takes it off the
    /// socket: the read after it sees an end in good order. EPIPE only comes
    /// after such an end.
    bool was_reset_ = false;
    bool head_seen_ = false;
    bool skipping_ = false;
    bool done_ = false; ///< Answered, the request's body still goes out.
    bool closed_ = false;
};

/// Takes the connection that was used last, which is the least likely to be
/// closed by its server at this moment.
std::shared_ptr<client_connection> take_idle(client_state& client,
                                             const client_state::path& path,
                                             milliseconds max_idle)
{
    const auto found = client.idle.find(path);
    const auto now = client.time.monotonic_now();
    while (found != client.idle.end() && !found->second.empty())
    {
        auto newest = found->second.back();
        const auto limit = std::min(max_idle, newest->max_idle());
        if (newest->idle_for(now) < limit)
        {
            found->second.pop_back();
            return newest;
        }
        if (newest->idle_for(now) < newest->max_idle())
        {
            return nullptr;
        }
        newest->close();
    }
    return nullptr;
}

} // namespace

void http1_client::impl::probe(const std::string& address,
                               const http1_call_settings& with,
                               milliseconds stays_open,
                               std::function<void(bool)> on_end)
{
    const auto endpoint = parse_endpoint<tcp::endpoint>(
        with.relay.empty() ? address : with.relay);
    if (!endpoint)
    {
        return loop.post([on_end = std::move(on_end)] { on_end(false); });
    }
    ++opened;
    std::make_shared<client_connection>(shared_from_this(),
                                        path{address, with.relay})
        ->probe(*endpoint, with, stays_open, std::move(on_end));
}

template <class Predicate>
void http1_client::impl::close_idle(Predicate closes)
{
    for (auto at = idle.begin(); at != idle.end();)
    {
        if (!closes(at->first))
        {
            ++at;
            continue;
        }
        const auto list = std::move(at->second);
        at = idle.erase(at);
        for (const auto& connection : list)
        {
            connection->close();
        }
    }
}

// [address] ------------------------------------------------------------------

bool is_address(std::string_view text)
{
    return parse_endpoint<tcp::endpoint>(text).has_value();
}

// [http1_call] ---------------------------------------------------------------

http1_call::http1_call() noexcept = default;

http1_call::http1_call(std::shared_ptr<impl> state) noexcept
    : state_(std::move(state))
{}

http1_call::http1_call(http1_call&&) noexcept = default;

http1_call& http1_call::operator=(http1_call&& other) noexcept
{
    if (this != &other)
    {
        cancel();
        state_ = std::move(other.state_);
    }
    return *this;
}

http1_call::~http1_call()
{
    cancel();
}

void http1_call::cancel() noexcept
{
    const auto state = std::exchange(state_, nullptr);
    if (!state)
    {
        return;
    }
    state->timer.cancel();
    state->handlers.reset();
    if (const auto connection = std::exchange(state->connection, nullptr))
    {
        connection->close();
    }
}

void http1_call::limit(event_loop& loop, milliseconds time_limit)
{
    if (!state_)
    {
        return;
    }
    state_->timer = loop.after(time_limit, [weak = std::weak_ptr{state_}] {
        const auto state = weak.lock();
        if (!state || !state->handlers)
        {
            return;
        }
        if (const auto connection = state->connection)
        {
            connection->close();
        }
        state->end({false,
                    {verdict::may_have_run, reason::timed_out,
                     "No whole answer in time."}});
    });
}

// [http1_client] -------------------------------------------------------------

http1_client::http1_client(event_loop& loop, const clock& time,
                           http1_client_settings settings)
    : impl_(std::make_shared<impl>(loop, time, std::move(settings)))
{}

http1_client::~http1_client()
{
    impl_->ended = true;
    const auto idle = std::exchange(impl_->idle, {});
    for (const auto& [address, list] : idle)
    {
        for (const auto& connection : list)
        {
            connection->close();
        }
    }
}

http1_call http1_client::start(std::string_view address,
                               const http_request& request,
                               const http1_call_settings& settings,
                               http1_call_handlers handlers)
{
    auto call = std::make_shared<http1_call::impl>();
    call->handlers = std::make_shared<http1_call_handlers>(std::move(handlers));
    auto bytes = settings.body
                     ? write_request_head(request, settings.body->size())
                     : write_request(request);
    const impl::path path{std::string{address}, settings.relay};
    // A late response to an earlier request has a body, one to HEAD has none.
    const auto max_idle =
        request.method == "HEAD" ? milliseconds{0} : settings.max_idle;
    if (auto kept = take_idle(*impl_, path, max_idle))
    {
        call->connection = kept;
        kept->carry(call, request.method, std::move(bytes), settings);
        return http1_call{std::move(call)};
    }
    const auto endpoint = parse_endpoint<tcp::endpoint>(
        settings.relay.empty() ? address : settings.relay);
    if (!endpoint)
    {
        impl_->loop.post([weak = std::weak_ptr{call}] {
            if (const auto waiting = weak.lock())
            {
                waiting->end({false,
                              {verdict::not_run, reason::connect_failed,
                               "The address is not valid."}});
            }
        });
        return http1_call{std::move(call)};
    }
    ++impl_->opened;
    const auto made = std::make_shared<client_connection>(impl_, path);
    call->connection = made;
    made->carry(call, request.method, std::move(bytes), settings);
    made->connect(*endpoint, settings.connect_time_limit);
    return http1_call{std::move(call)};
}

http1_call
http1_client::fetch(std::string_view address, const http_request& request,
                    const http1_fetch_settings& settings,
                    const std::function<void(result<http_response>)>& on_answer)
{
    auto collected = std::make_shared<http_response>();
    http1_call_handlers handlers;
    handlers.on_head =
        [collected, judge = settings.on_head](int status, const auto& headers) {
            collected->status = status;
            collected->headers = headers;
            return judge ? judge(status, headers) : head_choice::take;
        };
    handlers.on_data = [collected](std::string_view piece) {
        collected->body += piece;
    };
    handlers.on_end = [collected, on_answer,
                       proves_end = settings.proves_end](http1_call_end how) {
        if (!how.complete)
        {
            return on_answer(tl::make_unexpected(std::move(how.error)));
        }
        if (how.ended_by_close && !proves_end(*collected))
        {
            return on_answer(transport::fail(
                reason::connection_lost,
                "The answer had no length and its connection closed.",
                verdict::may_have_run));
        }
        on_answer(std::move(*collected));
    };
    http1_call_settings call_settings;
    call_settings.connect_time_limit = settings.time_limit;
    call_settings.max_body_bytes = most_fetched_bytes;
    call_settings.relay = settings.relay;
    call_settings.keep_connection = settings.keep_connection;
    auto call = start(address, request, call_settings, std::move(handlers));
    call.limit(impl_->loop, settings.time_limit);
    return call;
}

bool http1_client::keeps(std::string_view address, milliseconds max_idle,
                         std::string_view relay) const
{
    const auto found =
        impl_->idle.find({std::string{address}, std::string{relay}});
    if (found == impl_->idle.end() || found->second.empty())
    {
        return false;
    }
    const auto& newest = found->second.back();
    return newest->idle_for(impl_->time.monotonic_now()) <
           std::min(max_idle, newest->max_idle());
}

void http1_client::probe(const std::string& address, milliseconds time_limit,
                         std::function<void(bool reached)> on_end)
{
    http1_call_settings direct;
    direct.connect_time_limit = time_limit;
    impl_->probe(address, direct, milliseconds{0}, std::move(on_end));
}

void http1_client::check_path(const std::string& address,
                              const http1_call_settings& settings,
                              std::function<void(bool runs)> on_end)
{
    // A process that ends closes its listener and its connections one after
    // another; a connection that it still accepts is reset within this time.
    constexpr milliseconds stays_open{10};
    impl_->probe(address, settings, stays_open, std::move(on_end));
}

void http1_client::forget(const std::string& address)
{
    impl_->close_idle(
        [&](const auto& path) { return path.address == address; });
}

void http1_client::forget_relay(const std::string& relay)
{
    impl_->close_idle([&](const auto& path) { return path.relay == relay; });
}

std::uint64_t http1_client::connections_opened() const noexcept
{
    return impl_->opened;
}

} // namespace hyssopdeal::transport
