#include "http_refusal.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>

#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
#include <fmt/format.h>

#include <hyssopdeal/transport/logging.hpp>

#include "transport/byte_budget_service.hpp"

namespace hyssopdeal::transport
{

namespace
{

constexpr std::chrono::seconds linger_time_limit{1};
constexpr std::size_t linger_buffer_bytes = 16'384;

// RESTinio's body grows twofold unless its length is announced, and the request
// that is handed on is a copy, except on servers with `shares_body`.
constexpr std::size_t copies_of_request = 2;

// RESTinio notes 16 bytes for each chunk, in a vector that grows twofold and is
// copied then. A chunk has two line ends.
constexpr std::size_t bytes_for_line_end = 32;

constexpr refusal no_room_refusal{503, reason::overloaded,
                                  "Too many bytes are held for callers."};

constexpr refusal timed_out_refusal{408, reason::timed_out,
                                    "The request was not sent whole in time."};

constexpr refusal cut_off_refusal{
    400, reason::bad_request,
    "The connection was closed before the request was whole."};

constexpr refusal invalid_refusal{400, reason::bad_request,
                                  "The request is not valid HTTP."};

/// What the parser's message holds, and the answer to it.
struct refusal_rule
{
    std::string_view logged;
    refusal answer;
};

constexpr std::array<refusal_rule, 7> refusal_rules{{
    {"HPE_CB_url",
     {414, reason::too_large, "The request's target is too long."}},
    {"HPE_CB_header",
     {431, reason::too_large, "The request's header lines are too large."}},
    {"HPE_HEADER_OVERFLOW",
     {431, reason::too_large, "The request's header lines are too large."}},
    {"HPE_CB_headers_complete",
     {413, reason::too_large, "The request's body is too large."}},
    {"HPE_CB_body",
     {413, reason::too_large, "The request's body is too large."}},
    {"parser error", invalid_refusal},
    {"read socket error", cut_off_refusal},
}};

// Set by the logger and read by the socket's close, which follows it in the
// same call.
thread_local std::optional<refusal> pending_refusal;

// Set while the socket's read is handled, in which a whole request is handed
// on; null otherwise.
thread_local refusing_socket* socket_being_read = nullptr;

/// Reads and drops what still comes, then closes: closing with unread bytes
/// would reset the connection and take the answer with it.
class lingerer : public std::enable_shared_from_this<lingerer>
{
public:
    explicit lingerer(asio::ip::tcp::socket socket)
        : socket_(std::move(socket)),
          timer_(socket_.get_executor())
    {}

    void start()
    {
        timer_.expires_after(linger_time_limit);
        timer_.async_wait([self = shared_from_this()](const auto&) {
            asio::error_code ignored;
            self->socket_.close(ignored);
        });
        read();
    }

private:
    void read()
    {
        socket_.async_read_some(
            asio::buffer(buffer_),
            [self = shared_from_this()](const auto& error, std::size_t) {
                if (error)
                {
                    self->timer_.cancel();
                    return;
                }
                self->read();
            });
    }

    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    std::array<char, linger_buffer_bytes> buffer_{};
};

std::string_view status_text(int status) noexcept
{
    switch (status)
    {
    case 408:
        return "Request Timeout";
    case 413:
        return "Payload Too Large";
    case 414:
        return "URI Too Long";
    case 431:
        return "Request Header Fields Too Large";
    case 503:
        return "Service Unavailable";
    default:
        return "Bad Request";
    }
}

} // namespace

std::optional<refusal> refusal_for(std::string_view logged) noexcept
{
    if (logged.find("HPE_CB_headers_complete") != std::string_view::npos)
    {
        return refusal_rules[3].answer;
    }
    for (const auto& rule : refusal_rules)
    {
        if (logged.find(rule.logged) != std::string_view::npos)
        {
            return rule.answer;
        }
    }
    return std::nullopt;
}

std::string error_body(reason code, std::string_view text, verdict ran)
{
    return fmt::format(
        R"({{"error":{{"reason":"{}","text":"{}","verdict":"{}"}}}})",
        to_string(code), text, to_string(ran));
}

void parser_logger::note_error(std::string_view message)
{
    pending_refusal = refusal_for(message);
}

void refusing_socket::shutdown(shutdown_type what, asio::error_code& error)
{
    const auto logged = std::exchange(pending_refusal, std::nullopt);
    const auto cause =
        taken_back_ ? no_room_refusal
        : framing_.version_is_wrong()
            ? invalid_refusal
            : logged.value_or(ended_ ? cut_off_refusal : timed_out_refusal);
    if (received_ > 0 && is_open())
    {
        refuse(cause);
        return;
    }
    base::shutdown(what, error);
}

void refusing_socket::close()
{
    if (!lingers_)
    {
        base::close();
        return;
    }
    lingers_ = false;
    asio::error_code ignored;
    cancel(ignored);
    std::make_shared<lingerer>(std::move(static_cast<base&>(*this)))->start();
}

/// A share is made here, as a socket is moved before its first read.
void refusing_socket::begin_reading()
{
    const auto now = std::chrono::steady_clock::now();
    if (!share_)
    {
        share_ = std::make_unique<byte_share>(
            asio::use_service<byte_budget_service>(*context_).budget, context_,
            now, [this] { take_back(); });
    }
    share_->allow_taking_back(true);
}

/// Counts bytes that were read.
///
/// @return Whether they may be handed on.
bool refusing_socket::has_room(std::string_view bytes)
{
    received_ += bytes.size();
    line_ends_ +=
        static_cast<std::size_t>(std::count(bytes.begin(), bytes.end(), '\r'));
    framing_.feed(bytes);
    if (taken_back_ || !share_)
    {
        return !taken_back_;
    }
    const auto now = std::chrono::steady_clock::now();
    share_->allow_taking_back(false);
    share_->progress(now, bytes.size());
    if (!share_->resize(now, counted_bytes()))
    {
        taken_back_ = true;
    }
    return !taken_back_;
}

/// @return What the bytes received take when the request is handed on.
std::size_t refusing_socket::counted_bytes() const
{
    const bool copies =
        asio::use_service<byte_budget_service>(*context_).copies_bodies;
    const auto body = copies ? 0 : framing_.body_bytes();
    const auto lines = line_ends_ - (copies ? 0 : framing_.body_line_ends());
    return body + (received_ - body) * copies_of_request +
           lines * bytes_for_line_end;
}

std::unique_ptr<byte_share> refusing_socket::take_request_share() noexcept
{
    return socket_being_read != nullptr ? std::move(socket_being_read->share_)
                                        : nullptr;
}

refusing_socket::reading_scope::reading_scope(refusing_socket* socket) noexcept
{
    socket_being_read = socket;
}

refusing_socket::reading_scope::~reading_scope()
{
    socket_being_read = nullptr;
}

/// The pending read ends with an error.
void refusing_socket::take_back()
{
    taken_back_ = true;
    asio::error_code ignored;
    cancel(ignored);
}

void refusing_socket::refuse(const refusal& cause)
{
    received_ = 0;
    line_ends_ = 0;
    framing_.begin_next();
    bool logs = true;
    if (taken_back_ && share_)
    {
        logs = asio::use_service<byte_budget_service>(*context_)
                   .budget->count_refusal(std::chrono::steady_clock::now());
    }
    share_.reset();
    const auto body = error_body(cause.code, cause.text, verdict::not_run);
    const auto answer = fmt::format(
        "HTTP/1.1 {} {}\r\nConnection: close\r\n{}Content-Type: "
        "application/json\r\nHyssopdeal-Verdict: not_run\r\nContent-Length: "
        "{}\r\n\r\n{}",
        cause.status, status_text(cause.status),
        taken_back_ ? "Retry-After: 1\r\n" : "", body.size(), body);
    asio::error_code error;
    non_blocking(true, error);
    write_some(asio::buffer(answer), error);
    base::shutdown(shutdown_send, error);
    lingers_ = !error;
    if (logs)
    {
        log_info(log_part::http,
                 "Refused an unread request. status={} reason={}", cause.status,
                 to_string(cause.code));
    }
}

} // namespace hyssopdeal::transport
