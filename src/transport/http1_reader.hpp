#ifndef HYSSOPDEAL_SRC_TRANSPORT_HTTP1_READER_HPP
#define HYSSOPDEAL_SRC_TRANSPORT_HTTP1_READER_HPP

/// @file
/// Internal: reads HTTP/1.1 messages piece by piece from a connection's bytes.
/// Stops after each message, so that bytes of the next one, or bytes that
/// belong to no message, are never mixed into it. A message whose end another
/// reader might find elsewhere is bad.
///
/// Index: [read_state] [http1_reader]

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <http_parser.h>

#include <hyssopdeal/transport/http_message.hpp>

namespace hyssopdeal::transport
{

// [read_state] ---------------------------------------------------------------

/// How far a message has been read.
enum class read_state : std::uint8_t
{
    head,     ///< The head is not complete.
    body,     ///< The head is complete.
    complete, ///< The message was read to its proper end.
    bad       ///< The bytes are no message, or the head is too large.
};

/// Which messages are read.
enum class message_kind : std::uint8_t
{
    request,
    response
};

// [http1_reader] -------------------------------------------------------------

/// Reads one message at a time.
class http1_reader
{
public:
    http1_reader(message_kind kind, std::size_t max_head_bytes);
    http1_reader(const http1_reader&) = delete;
    http1_reader& operator=(const http1_reader&) = delete;

    /// Begins the next message; frees large buffers of the last.
    void reset();

    /// Changes the cap of heads, before the next message begins.
    void limit_head(std::size_t max_bytes) noexcept
    {
        max_head_bytes_ = max_bytes;
    }

    /// Responses are read as those to requests of this method.
    void expect_response_to(std::string_view method);

    /// Takes bytes until the message is complete.
    ///
    /// @return How many were taken.
    std::size_t feed(std::string_view bytes);

    /// The connection was closed in good order: completes a message whose end
    /// is the end of its connection.
    void feed_end();

    [[nodiscard]] read_state state() const noexcept
    {
        return state_;
    }

    /// @return Whether any byte of the message was read.
    [[nodiscard]] bool started() const noexcept
    {
        return head_bytes_ > 0;
    }

    /// @return Whether the head passed its cap.
    [[nodiscard]] bool head_too_large() const noexcept
    {
        return head_bytes_ > max_head_bytes_;
    }

    /// @return Why the message is bad.
    [[nodiscard]] const char* error() const noexcept
    {
        return http_errno_name(HTTP_PARSER_ERRNO(&parser_));
    }

    /// @return Whether feed_end() completed the message.
    [[nodiscard]] bool ended_by_close() const noexcept
    {
        return ended_by_close_;
    }

    /// @return Whether the connection may carry another message afterwards.
    [[nodiscard]] bool keeps_alive() const noexcept
    {
        return keeps_alive_;
    }

    /// @return Whether the sender of the message reads chunks.
    [[nodiscard]] bool takes_chunks() const noexcept
    {
        return parser_.http_major > 1 ||
               (parser_.http_major == 1 && parser_.http_minor >= 1);
    }

    [[nodiscard]] int status() const noexcept
    {
        return static_cast<int>(parser_.status_code);
    }

    [[nodiscard]] const std::string& method() const noexcept
    {
        return method_;
    }

    [[nodiscard]] const std::string& target() const noexcept
    {
        return target_;
    }

    /// @return Those of the head; trailers are dropped.
    [[nodiscard]] std::vector<http_header>& headers() noexcept
    {
        return headers_;
    }

    /// @return Body bytes read since they were last cleared by the caller.
    [[nodiscard]] std::string& body() noexcept
    {
        return body_;
    }

    /// @return Length of the body, if the head that was read states one;
    ///     otherwise 0.
    [[nodiscard]] std::uint64_t announced_bytes() const noexcept;

    /// @return Memory that the message takes here.
    [[nodiscard]] std::size_t held_bytes() const noexcept;

    /// @param most Of the bodies that are accepted.
    /// @return Capacity of the body for so many bytes more. Grows twofold, but
    ///     not beyond what was announced.
    [[nodiscard]] std::size_t capacity_for(std::size_t incoming,
                                           std::size_t most) const noexcept;

    /// Makes the body's capacity this, if it is smaller. A string that grows by
    /// itself at least doubles its capacity.
    void reserve_body(std::size_t capacity)
    {
        if (capacity > body_.capacity())
        {
            std::string grown;
            grown.reserve(capacity);
            grown += body_;
            body_.swap(grown);
        }
    }

private:
    /// Where the parser pauses, as it does not check all line ends by itself.
    enum class line_end : std::uint8_t
    {
        none,
        next, ///< The line feed comes next.
        read  ///< The line feed was read.
    };

    static http1_reader& self(http_parser* parser);
    static const http_parser_settings& callbacks();
    int count_head(std::size_t length);
    int take_name(std::string_view piece);
    int take_value(std::string_view piece);
    int take_head();
    int pause_at(line_end place);
    [[nodiscard]] bool head_is_clear() const noexcept;
    [[nodiscard]] bool line_end_is_valid(std::string_view bytes,
                                         std::size_t used) const noexcept;

    http_parser parser_{};
    message_kind kind_;
    std::string request_method_; ///< Of the request that a response answers.
    line_end paused_at_ = line_end::none;
    char last_byte_ = '\0'; ///< Of the bytes read before.
    std::size_t max_head_bytes_;
    read_state state_ = read_state::head;
    std::size_t head_bytes_ = 0;
    bool keeps_alive_ = false;
    bool ended_by_close_ = false;
    bool last_was_value_ = false;
    std::string method_;
    std::string target_;
    std::vector<http_header> headers_;
    std::string body_;
};

} // namespace hyssopdeal::transport

#endif
