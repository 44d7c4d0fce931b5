#include <hyssopdeal/transport/http_server.hpp>

#include <atomic>
#include <mutex>
#include <optional>
#include <unordered_set>
#include <utility>

#include <restinio/all.hpp>

#include "http_refusal.hpp"
#include "transport/byte_budget_service.hpp"
#include "transport/head_check.hpp"

namespace hyssopdeal::transport
{

namespace
{

// Answers have time limits of their own; RESTinio's would cut them silently.
constexpr std::chrono::hours handling_time_limit{24 * 365};
constexpr std::chrono::milliseconds longest_check_period{1'000};
constexpr std::size_t max_target_bytes = 8'192;
constexpr std::size_t max_field_count = 100;
// Connections past the limit that are still accepted, to refuse them clearly.
constexpr std::size_t refusal_headroom = 256;
constexpr std::string_view chunk_end = "\r\n";
constexpr std::string_view last_chunk = "0\r\n\r\n";

using write_callback = std::function<void(write_status)>;

/// Connections that RESTinio says are open. Used on the loop's thread.
class connection_counter
{
public:
    void
    state_changed(const restinio::connection_state::notice_t& notice) noexcept
    {
        if (std::holds_alternative<restinio::connection_state::accepted_t>(
                notice.cause()))
        {
            open_.insert(notice.connection_id());
        }
        else
        {
            open_.erase(notice.connection_id());
        }
        size_.store(open_.size(), std::memory_order_relaxed);
    }

    [[nodiscard]] std::size_t size() const noexcept
    {
        return size_.load(std::memory_order_relaxed);
    }

private:
    std::unordered_set<restinio::connection_id_t> open_;
    std::atomic<std::size_t> size_{0}; // written on the loop's thread
};

struct server_traits
    : restinio::traits_t<restinio::asio_timer_manager_t, parser_logger,
                         restinio::details::autodetect_request_handler_type,
                         restinio::noop_strand_t, refusing_socket>
{
    using connection_state_listener_t = connection_counter;
    static constexpr bool use_connection_count_limiter = true;
};

using restinio_server = restinio::http_server_t<server_traits>;
using restinio::response_connection_attr_t;
using restinio::response_parts_attr_t;
using length_field = restinio::impl::content_length_field_presence_t;

restinio::http_status_line_t status_line(int status)
{
    return {restinio::http_status_code_t{static_cast<std::uint16_t>(status)},
            http_status_str(static_cast<http_status>(status))};
}

http_request to_request(const restinio::request_handle_t& handle,
                        bool shares_body)
{
    http_request request;
    request.method = handle->header().method().c_str();
    request.target = handle->header().request_target();
    handle->header().for_each_field([&](const auto& field) {
        request.headers.push_back({field.name(), field.value()});
    });
    if (!shares_body)
    {
        request.body = handle->body();
    }
    return request;
}

/// A request that is kept for its body, and what is counted for it.
struct kept_request
{
    restinio::request_handle_t handle;
    std::unique_ptr<byte_share> share;
};

std::shared_ptr<const std::string>
body_of(asio::io_context& context, const restinio::request_handle_t& handle)
{
    if (handle->body().empty())
    {
        return nullptr;
    }
    auto share = refusing_socket::take_request_share();
    if (!share)
    {
        // The bytes were read together with the request before, which is
        // answered; they fit RESTinio's buffer.
        share = std::make_unique<byte_share>(
            asio::use_service<byte_budget_service>(context).budget, &context,
            std::chrono::steady_clock::now(), nullptr);
        share->force(handle->body().capacity());
    }
    share->allow_taking_back(false);
    auto kept =
        std::make_shared<kept_request>(kept_request{handle, std::move(share)});
    return {kept, &kept->handle->body()};
}

std::size_t header_bytes(const http_request& request) noexcept
{
    std::size_t total = 0;
    for (const auto& header : request.headers)
    {
        total += header.name.size() + header.value.size();
    }
    return total;
}

http_response error_response(int status, reason code, std::string_view text,
                             verdict ran)
{
    http_response response;
    response.status = status;
    response.headers = {{"Content-Type", "application/json"},
                        {"Hyssopdeal-Verdict", std::string{to_string(ran)}}};
    if (status == 503)
    {
        response.headers.push_back({"Retry-After", "1"});
    }
    if (status == 503 || status == 400 || status == 501)
    {
        // Nobody knows what the bytes after such a request are.
        response.headers.push_back({"Connection", "close"});
    }
    response.body = error_body(code, text, ran);
    return response;
}

/// @return Whether all readers find the same headers and end of a request.
bool is_clear(const http_request& request)
{
    return is_one_word(request.target) && has_clear_framing(request.headers);
}

bool is_framing_header(std::string_view name) noexcept
{
    return same_header_name(name, "Connection") ||
           same_header_name(name, "Content-Length") ||
           same_header_name(name, "Transfer-Encoding");
}

void add_headers(restinio::http_response_header_t& head,
                 std::vector<http_header> headers)
{
    for (auto& header : headers)
    {
        if (!is_framing_header(header.name))
        {
            head.add_field(std::move(header.name), std::move(header.value));
        }
    }
}

} // namespace

// [http_responder] -----------------------------------------------------------

/// Answers of one server that are not destroyed yet. A write under way owns
/// its answer, which owns the connection, which owns the write.
class open_answers
{
public:
    void add(http_responder::impl& answer)
    {
        const std::lock_guard guard{lock_};
        all_.insert(&answer);
    }

    void remove(http_responder::impl& answer)
    {
        const std::lock_guard guard{lock_};
        all_.erase(&answer);
    }

    /// Takes the connections from all answers, so that nothing owns itself.
    void release_connections();

private:
    std::mutex lock_; // one server's; an answer may end on another thread
    std::unordered_set<http_responder::impl*> all_;
};

struct http_responder::impl : std::enable_shared_from_this<http_responder::impl>
{
    enum class stage
    {
        unanswered,
        streaming,
        ending, ///< Waits for the write under way.
        finished
    };

    impl(asio::io_context& on_context, restinio::request_t& request,
         std::shared_ptr<open_answers> known)
        : context(on_context),
          // Taken from the request, which may be kept longer for its body.
          connection(std::move(restinio::impl::access_req_connection(request))),
          request_id(request.request_id()),
          method(request.header().method().c_str()),
          keeps_open(request.header().should_keep_alive()),
          others(std::move(known))
    {
        others->add(*this);
    }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    ~impl()
    {
        others->remove(*this);
        if (!connection)
        {
            return;
        }
        if (now == stage::unanswered)
        {
            send(error_response(500, reason::internal,
                                "The request was dropped.",
                                verdict::may_have_run));
        }
        else if (now == stage::streaming)
        {
            keeps_open = false;
            finish();
        }
    }

    void send(http_response response)
    {
        if (now != stage::unanswered)
        {
            return;
        }
        now = stage::finished;
        restinio::http_response_header_t head{status_line(response.status)};
        start_head(head, std::move(response.headers));
        head.content_length(response.body.size());
        auto bytes = restinio::impl::create_header_string(
            head, states_length(method, response)
                      ? length_field::add_content_length
                      : length_field::skip_content_length);
        if (!has_no_body(method, response.status))
        {
            bytes += response.body;
        }
        write_out(std::move(bytes), response_parts_attr_t::final_parts, {});
    }

    void begin_stream(int status, std::vector<http_header> headers)
    {
        if (now != stage::unanswered)
        {
            return;
        }
        now = stage::streaming;
        restinio::http_response_header_t head{status_line(status)};
        start_head(head, std::move(headers));
        bodyless = has_no_body(method, status);
        if (!bodyless)
        {
            head.add_field("Transfer-Encoding", "chunked");
        }
        pending = restinio::impl::create_header_string(
            head, length_field::skip_content_length);
        flush();
    }

    void start_head(restinio::http_response_header_t& head,
                    std::vector<http_header> headers)
    {
        keeps_open =
            keeps_open && find_header(headers, "Connection") != "close";
        head.should_keep_alive(keeps_open);
        add_headers(head, std::move(headers));
    }

    void write(std::string_view piece, write_callback done)
    {
        if (now != stage::streaming || caller_left)
        {
            if (done)
            {
                done(write_status::caller_left);
            }
            return;
        }
        append_chunk(piece);
        if (done)
        {
            waiting.push_back(std::move(done));
        }
        if (!writing)
        {
            flush();
        }
    }

    void append_chunk(std::string_view piece)
    {
        if (piece.empty() || bodyless)
        {
            return;
        }
        fmt::format_to(std::back_inserter(pending), "{:x}\r\n", piece.size());
        pending += piece;
        pending += chunk_end;
    }

    // Pieces that come while a write is under way leave together with the
    // next one.
    void flush()
    {
        writing = true;
        write_out(
            std::exchange(pending, {}), response_parts_attr_t::not_final_parts,
            [self = shared_from_this(), called = std::exchange(waiting, {})](
                const auto& error) { self->written(error, called); });
    }

    void written(const asio::error_code& error,
                 const std::vector<write_callback>& called)
    {
        writing = false;
        caller_left = caller_left || error;
        report(called);
        if (writing)
        {
            return;
        }
        if (now == stage::ending)
        {
            finish();
        }
        else if (now == stage::streaming && caller_left)
        {
            report(std::exchange(waiting, {}));
        }
        else if (now == stage::streaming &&
                 (!pending.empty() || !waiting.empty()))
        {
            flush();
        }
    }

    void report(const std::vector<write_callback>& called) const
    {
        for (const auto& done : called)
        {
            done(caller_left ? write_status::caller_left
                             : write_status::written);
        }
    }

    void end_stream()
    {
        if (now != stage::streaming)
        {
            return;
        }
        pending += bodyless ? std::string_view{} : last_chunk;
        begin_ending();
    }

    void abort_stream()
    {
        if (now == stage::streaming)
        {
            keeps_open = false;
            begin_ending();
        }
    }

    void begin_ending()
    {
        now = stage::ending;
        if (!writing)
        {
            finish();
        }
    }

    void finish()
    {
        now = stage::finished;
        write_out(std::exchange(pending, {}),
                  response_parts_attr_t::final_parts,
                  [called = std::exchange(waiting, {})](const auto& error) {
                      for (const auto& done : called)
                      {
                          done(error ? write_status::caller_left
                                     : write_status::written);
                      }
                  });
    }

    void write_out(std::string bytes, response_parts_attr_t part,
                   restinio::write_status_cb_t done)
    {
        if (!connection)
        {
            return;
        }
        restinio::writable_items_container_t items;
        if (!bytes.empty())
        {
            items.emplace_back(std::move(bytes));
        }
        restinio::write_group_t group{std::move(items)};
        if (done)
        {
            group.after_write_notificator(std::move(done));
        }
        const auto after =
            part == response_parts_attr_t::final_parts && !keeps_open
                ? response_connection_attr_t::connection_close
                : response_connection_attr_t::connection_keepalive;
        connection->write_response_parts(request_id, {part, after},
                                         std::move(group));
    }

    asio::io_context& context;
    restinio::impl::connection_handle_t connection;
    restinio::request_id_t request_id;
    stage now = stage::unanswered;
    std::string method;
    bool keeps_open;
    bool bodyless = false; ///< A streamed response; known once begun.
    std::shared_ptr<open_answers> others;
    bool writing = false;
    bool caller_left = false;
    std::shared_ptr<const std::string> body; ///< Null: none, or taken.
    std::string pending; // framed bytes that wait for the write under way
    std::vector<write_callback> waiting;
};

void open_answers::release_connections()
{
    std::vector<restinio::impl::connection_handle_t> taken;
    const std::lock_guard guard{lock_};
    taken.reserve(all_.size());
    for (auto* answer : all_)
    {
        taken.push_back(std::move(answer->connection));
    }
}

http_responder::http_responder(std::shared_ptr<impl> state) noexcept
    : state_(std::move(state))
{}

http_responder::~http_responder() = default;
http_responder::http_responder(const http_responder&) = default;
http_responder::http_responder(http_responder&&) noexcept = default;
http_responder& http_responder::operator=(const http_responder&) = default;
http_responder& http_responder::operator=(http_responder&&) noexcept = default;

std::shared_ptr<const std::string> http_responder::take_body()
{
    static const auto none = std::make_shared<const std::string>();
    auto body = std::exchange(state_->body, nullptr);
    if (!body)
    {
        return none;
    }
    return body;
}

void http_responder::send(http_response response)
{
    asio::dispatch(state_->context,
                   [state = state_, answer = std::move(response)]() mutable {
                       state->send(std::move(answer));
                   });
}

void http_responder::begin_stream(int status, std::vector<http_header> headers)
{
    asio::dispatch(state_->context, [state = state_, status,
                                     lines = std::move(headers)]() mutable {
        state->begin_stream(status, std::move(lines));
    });
}

void http_responder::write(std::string piece, write_callback done)
{
    asio::dispatch(state_->context, [state = state_, bytes = std::move(piece),
                                     called = std::move(done)]() mutable {
        state->write(bytes, std::move(called));
    });
}

void http_responder::end_stream()
{
    asio::dispatch(state_->context, [state = state_] { state->end_stream(); });
}

void http_responder::abort_stream()
{
    asio::dispatch(state_->context,
                   [state = state_] { state->abort_stream(); });
}

// [http_server] --------------------------------------------------------------

namespace
{

/// What the handlers of a server's connections use; outlives the server as
/// long as a connection does.
struct server_context
{
    asio::io_context& context;
    http_server_settings settings;
    http_server::handler on_request; // emptied when the server is destroyed
    std::shared_ptr<connection_counter> connections;
    std::shared_ptr<open_answers> answers = std::make_shared<open_answers>();

    void handle(const restinio::request_handle_t& handle)
    {
        auto state =
            std::make_shared<http_responder::impl>(context, *handle, answers);
        http_responder responder{state};
        auto request = to_request(handle, settings.shares_body);
        if (!on_request)
        {
            responder.send(error_response(503, reason::draining,
                                          "The server is stopping.",
                                          verdict::not_run));
        }
        else if (connections->size() > settings.max_connections)
        {
            responder.send(error_response(503, reason::overloaded,
                                          "Too many connections are open.",
                                          verdict::not_run));
        }
        else if (request.method == "CONNECT")
        {
            responder.send(error_response(501, reason::bad_request,
                                          "CONNECT is not supported.",
                                          verdict::not_run));
        }
        else if (!is_clear(request))
        {
            responder.send(error_response(400, reason::bad_request,
                                          "The request is not valid HTTP.",
                                          verdict::not_run));
        }
        else if (header_bytes(request) > settings.max_header_bytes)
        {
            responder.send(error_response(
                431, reason::too_large,
                "The request's header lines are too large.", verdict::not_run));
        }
        else
        {
            if (settings.shares_body)
            {
                state->body = body_of(context, handle);
            }
            state.reset();
            on_request(std::move(request), std::move(responder));
        }
    }
};

restinio::incoming_http_msg_limits_t
message_limits(const http_server_settings& settings)
{
    return restinio::incoming_http_msg_limits_t{}
        .max_url_size(max_target_bytes)
        .max_field_name_size(settings.max_header_bytes)
        .max_field_value_size(settings.max_header_bytes)
        .max_field_count(max_field_count)
        .max_body_size(settings.max_body_bytes);
}

std::chrono::milliseconds check_period(const http_server_settings& settings)
{
    const auto shortest =
        std::min(settings.read_time_limit, settings.write_time_limit);
    return std::clamp(shortest / 4, std::chrono::milliseconds{1},
                      longest_check_period);
}

void set_acceptor_options(restinio::acceptor_options_t& options,
                          bool reuse_port)
{
    options.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    if (reuse_port)
    {
        using reuse_port_option =
            asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
        options.set_option(reuse_port_option(true));
    }
}

} // namespace

struct http_server::impl
{
    impl(event_loop& own_loop, http_server_settings settings,
         handler on_request)
        : loop(own_loop),
          shared(std::make_shared<server_context>(server_context{
              loop.context(), std::move(settings), std::move(on_request),
              std::make_shared<connection_counter>()})),
          server(restinio::external_io_context(loop.context()),
                 [this](auto& configured) { configure(configured); })
    {
        auto& counting = asio::use_service<byte_budget_service>(loop.context());
        counting.copies_bodies =
            counting.copies_bodies || !shared->settings.shares_body;
    }

    void configure(restinio::server_settings_t<server_traits>& configured)
    {
        const auto& settings = shared->settings;
        configured.port(settings.port)
            .address(settings.address)
            .timer_manager(check_period(settings))
            .read_next_http_message_timelimit(settings.read_time_limit)
            .write_http_response_timelimit(settings.write_time_limit)
            .handle_request_timeout(handling_time_limit)
            .incoming_http_msg_limits(message_limits(settings))
            .max_parallel_connections(settings.max_connections +
                                      refusal_headroom)
            .connection_state_listener(shared->connections)
            .acceptor_options_setter(
                [reuse = settings.reuse_port](auto& options) {
                    set_acceptor_options(options, reuse);
                })
            .socket_options_setter([](auto& options) {
                options.set_option(asio::ip::tcp::no_delay{true});
            })
            .acceptor_post_bind_hook([this](auto& acceptor) {
                port = acceptor.local_endpoint().port();
            })
            .request_handler(
                [context = shared](const restinio::request_handle_t& handle) {
                    context->handle(handle);
                    return restinio::request_accepted();
                });
    }

    event_loop& loop;
    std::shared_ptr<server_context> shared;
    std::uint16_t port = 0;
    restinio_server server;
};

http_server::http_server(event_loop& loop, http_server_settings settings,
                         handler on_request)
    : impl_(std::make_unique<impl>(loop, std::move(settings),
                                   std::move(on_request)))
{}

http_server::~http_server()
{
    impl_->shared->on_request = nullptr;
    impl_->server.close_sync();
    // Connections that are still open count themselves out at the server's
    // acceptor when the loop destroys them.
    auto& loop = impl_->loop;
    const auto answers = impl_->shared->answers;
    loop.keep(std::shared_ptr<impl>{std::move(impl_)},
              [answers] { answers->release_connections(); });
}

result<std::uint16_t> http_server::start()
{
    try
    {
        impl_->server.open_sync();
    }
    catch (const std::exception& error)
    {
        return fail(reason::bad_settings,
                    fmt::format("Cannot listen on {}:{}: {}.",
                                impl_->shared->settings.address,
                                impl_->shared->settings.port, error.what()));
    }
    return impl_->port;
}

void http_server::stop_accepting()
{
    impl_->server.close_sync();
}

std::size_t http_server::open_connections() const noexcept
{
    return impl_->shared->connections->size();
}

} // namespace hyssopdeal::transport
