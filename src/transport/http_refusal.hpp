#ifndef HYSSOPDEAL_SRC_TRANSPORT_HTTP_REFUSAL_HPP
#define HYSSOPDEAL_SRC_TRANSPORT_HTTP_REFUSAL_HPP

/// @file
/// Internal: answers requests that the HTTP parser gives up on. RESTinio closes
/// such connections without a word; this socket type sends a JSON error first
/// and reads on for a moment, so that the caller gets to see it.
///
/// Index: [refusal] [parser_logger] [refusing_socket]

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <asio/bind_executor.hpp>
#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/ip/tcp.hpp>

#include <hyssopdeal/transport/byte_budget.hpp>
#include <hyssopdeal/transport/failure.hpp>

#include "transport/request_framing.hpp"

namespace hyssopdeal::transport
{

// [refusal] ------------------------------------------------------------------

/// Why a request is answered before it was read whole.
struct refusal
{
    int status = 400;                  ///< HTTP status.
    reason code = reason::bad_request; ///< Machine-readable cause.
    std::string_view text;             ///< One sentence for a person.
};

/// Chooses the answer by the message that RESTinio logs before it closes.
///
/// @return Empty when the message is not about the request.
[[nodiscard]] std::optional<refusal>
refusal_for(std::string_view logged) noexcept;

/// @return JSON body of an error answer; the text must need no escapes.
[[nodiscard]] std::string error_body(reason code, std::string_view text,
                                     verdict ran);

// [parser_logger] ------------------------------------------------------------

/// Takes RESTinio's log: keeps the cause of the next close, drops the rest.
class parser_logger
{
public:
    template <class Builder>
    void trace(Builder&&) const noexcept
    {}

    template <class Builder>
    void info(Builder&&) const noexcept
    {}

    template <class Builder>
    void warn(Builder&&) const noexcept
    {}

    template <class Builder>
    void error(Builder&& builder) const
    {
        note_error(builder());
    }

private:
    static void note_error(std::string_view message);
};

// [refusing_socket] ----------------------------------------------------------

/// TCP socket that answers a partly read request when it is closed, and that
/// closes when the byte_budget of its context has no room for what it reads.
class refusing_socket : public asio::ip::tcp::socket
{
    using base = asio::ip::tcp::socket;

public:
    explicit refusing_socket(asio::io_context& context)
        : base(context),
          context_(&context)
    {}

    template <class Buffers, class Handler>
    void async_read_some(const Buffers& buffers, Handler&& handler)
    {
        const auto executor =
            asio::get_associated_executor(handler, get_executor());
        begin_reading();
        const auto* const read = static_cast<const char*>(
            asio::mutable_buffer(*asio::buffer_sequence_begin(buffers)).data());
        base::async_read_some(
            buffers,
            asio::bind_executor(
                executor,
                [this, read, run = std::forward<Handler>(handler)](
                    const asio::error_code& error, std::size_t length) mutable {
                    ended_ = error == asio::error::eof;
                    if (!accepts({read, length}))
                    {
                        // An error of another kind would leave the
                        // connection open.
                        return run(asio::error::no_buffer_space, 0);
                    }
                    const reading_scope scope{this};
                    run(error, length);
                }));
    }

    template <class Buffers, class Handler>
    void async_write_some(const Buffers& buffers, Handler&& handler)
    {
        received_ = 0;
        line_ends_ = 0;
        framing_.begin_next();
        share_.reset();
        base::async_write_some(buffers, std::forward<Handler>(handler));
    }

    void shutdown(shutdown_type what, asio::error_code& error);
    void close();

    /// For a handler that keeps the request's bytes: takes over what is counted
    /// for them.
    ///
    /// @return Null unless the request was completed by the read that is being
    ///     handled on this thread.
    [[nodiscard]] static std::unique_ptr<byte_share>
    take_request_share() noexcept;

private:
    /// Names the socket whose read is being handled.
    class reading_scope
    {
    public:
        explicit reading_scope(refusing_socket* socket) noexcept;
        reading_scope(const reading_scope&) = delete;
        reading_scope& operator=(const reading_scope&) = delete;
        ~reading_scope();
    };

    void refuse(const refusal& cause);
    void begin_reading();
    [[nodiscard]] bool has_room(std::string_view bytes);

    /// @return Whether what was read may be handed on.
    [[nodiscard]] bool accepts(std::string_view bytes)
    {
        return has_room(bytes) && !framing_.version_is_wrong();
    }

    void take_back();
    [[nodiscard]] std::size_t counted_bytes() const;

    asio::io_context* context_;
    request_framing framing_;
    std::unique_ptr<byte_share> share_; ///< Of a request until it is answered.
    bool taken_back_ = false;
    std::size_t line_ends_ = 0; ///< Of the bytes received.
    std::size_t received_ = 0;  // bytes of a request that is not answered
    bool ended_ = false;        // the caller has closed its sending side
    bool lingers_ = false;
};

} // namespace hyssopdeal::transport

#endif
