#ifndef HYSSOPDEAL_SRC_TRANSPORT_HTTP1_WRITER_HPP
#define HYSSOPDEAL_SRC_TRANSPORT_HTTP1_WRITER_HPP

/// @file
/// Internal: HTTP/1.1 messages as bytes.
///
/// Index: [heads] [bodies] [requests]

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/transport/http_message.hpp>

namespace hyssopdeal::transport
{

// [heads] --------------------------------------------------------------------

/// How a body's end is marked.
enum class body_framing : std::uint8_t
{
    length, ///< The caller adds Content-Length.
    chunked,
    none ///< The response has no body.
};

/// What becomes of the connection afterwards.
enum class connection_use : std::uint8_t
{
    keep,
    close
};

/// @return The head of an answer, without its Content-Length if it has one.
[[nodiscard]] std::string write_head(int status,
                                     const std::vector<http_header>& headers,
                                     body_framing framing, connection_use use);

// [bodies] -------------------------------------------------------------------

/// Ends a chunked body.
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

/// @return One chunk of a body; the piece must not be empty.
[[nodiscard]] std::string write_chunk(std::string_view piece);

/// @param request_method A response to HEAD has no body.
/// @return A whole answer.
[[nodiscard]] std::string write_response(const http_response& response,
                                         connection_use use,
                                         std::string_view request_method = {});

// [requests] -----------------------------------------------------------------

/// @return A whole request; its headers must hold no framing of their own.
[[nodiscard]] std::string write_request(const http_request& request);

/// @param body_bytes Of the body that follows, in place of the request's own.
/// @return A request's head.
[[nodiscard]] std::string write_request_head(const http_request& request,
                                             std::size_t body_bytes);

} // namespace hyssopdeal::transport

#endif
