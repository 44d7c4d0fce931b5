#ifndef HYSSOPDEAL_SRC_TRANSPORT_HEAD_CHECK_HPP
#define HYSSOPDEAL_SRC_TRANSPORT_HEAD_CHECK_HPP

/// @file
/// Internal: tells whether every reader of a message finds the same headers and
/// the same end. Debian's http_parser and libcurl accept more than the standard
/// does, and others read what they accept in another way. Message framing is
/// that of RFC 9112, section 6.
///
/// Index: [characters] [framing] [bodies]

#include <cstdint>
#include <string_view>
#include <vector>

#include <hyssopdeal/transport/http_message.hpp>

namespace hyssopdeal::transport
{

// [characters] ---------------------------------------------------------------

/// @return Whether a text holds only characters that names of headers may have.
///     Blanks, control characters and colons are none.
[[nodiscard]] bool has_only_token_characters(std::string_view text) noexcept;

/// @return Whether a text holds a control character other than a tab.
[[nodiscard]] bool has_control_characters(std::string_view text) noexcept;

/// @return Whether a request's target ends at the first blank for every reader.
[[nodiscard]] bool is_one_word(std::string_view target) noexcept;

// [framing] ------------------------------------------------------------------

/// Which senders know chunks.
enum class chunk_support : std::uint8_t
{
    yes,
    no ///< HTTP/1.0.
};

/// @return Whether all names are valid and the headers state one length of the
///     body, or that it has chunks, or neither.
[[nodiscard]] bool
has_clear_framing(const std::vector<http_header>& headers,
                  chunk_support chunks = chunk_support::yes) noexcept;

// [bodies] -------------------------------------------------------------------

/// @return Whether a response may have this status when its request asked for
///     no other protocol. Below 200 it is interim.
[[nodiscard]] bool is_expected_status(int status) noexcept;

/// @return Whether a response has no body whatever its headers say.
[[nodiscard]] bool has_no_body(std::string_view request_method,
                               int status) noexcept;

/// @return Whether the head of a response states the length of its body. A
///     response to HEAD whose body is empty may be that of a server, and the
///     length that it would have is not known here.
[[nodiscard]] bool states_length(std::string_view request_method,
                                 const http_response& response) noexcept;

} // namespace hyssopdeal::transport

#endif
