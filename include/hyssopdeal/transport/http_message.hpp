#ifndef HYSSOPDEAL_TRANSPORT_HTTP_MESSAGE_HPP
#define HYSSOPDEAL_TRANSPORT_HTTP_MESSAGE_HPP

/// @file
/// Plain HTTP message structures shared by the server and the client.
///
/// Index: [http_header] [http_request] [http_response] [end_proof]

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopdeal::transport
{

// [http_header] --------------------------------------------------------------

/// One header line.
struct http_header
{
    std::string name;  ///< As received; compared without regard to case.
    std::string value; ///< Without surrounding spaces.
};

/// @return Whether two header names are the same, without regard to case.
[[nodiscard]] bool same_header_name(std::string_view left,
                                    std::string_view right) noexcept;

/// @return Whether the Connection header names a header, which then concerns
///     only this connection.
[[nodiscard]] bool named_by_connection(const std::vector<http_header>& headers,
                                       std::string_view name);

/// Finds the first header of a name, without regard to case.
///
/// @return Its value, or an empty view when there is none.
[[nodiscard]] std::string_view
find_header(const std::vector<http_header>& headers,
            std::string_view name) noexcept;

/// Reads a time in seconds, with or without a fraction, such as Retry-After.
///
/// @return Rounded up, a day at most; 0 when it is not such a number.
[[nodiscard]] std::chrono::milliseconds
read_seconds(std::string_view text) noexcept;

/// Reads a number such as `1.5`, without sign or exponent.
///
/// @return Nothing when it is not such a number, or too large for one.
[[nodiscard]] std::optional<double>
read_decimal(std::string_view text) noexcept;

// [http_request] -------------------------------------------------------------

/// A request, read whole by the server or to be sent by the client.
struct http_request
{
    std::string method = "GET";       ///< In capitals.
    std::string target = "/";         ///< Path and query.
    std::vector<http_header> headers; ///< In the order received.
    std::string body;                 ///< Whole body.
};

// [http_response] ------------------------------------------------------------

/// A whole answer.
struct http_response
{
    int status = 200;                 ///< HTTP status code.
    std::vector<http_header> headers; ///< Without Content-Length.
    std::string body;                 ///< Whole body.
};

// [end_proof] ----------------------------------------------------------------

/// Judges an answer that had neither a length nor chunks and ended with its
/// connection: whether it is known to be whole all the same. The kernel of a
/// process that was killed closes its connections in the same way.
using end_proof = std::function<bool(const http_response&)>;

/// @return Whether the body is one JSON object or list. No part of it is one.
[[nodiscard]] bool has_whole_json(const http_response& response);

/// For callers that use the head only, or whose reader refuses a cut body.
///
/// @return true.
[[nodiscard]] bool needs_no_end(const http_response& response) noexcept;

} // namespace hyssopdeal::transport

#endif
