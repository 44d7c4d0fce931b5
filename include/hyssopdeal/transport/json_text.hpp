#ifndef HYSSOPDEAL_TRANSPORT_JSON_TEXT_HPP
#define HYSSOPDEAL_TRANSPORT_JSON_TEXT_HPP

/// @file
/// Serializes JSON values that may hold bytes from outside, and bounds what
/// parsing such bytes takes.
///
/// Index: [json_text] [json_is_bounded]

#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace hyssopdeal::transport
{

// [json_text] ----------------------------------------------------------------

/// Serializes a value. nlohmann's dump() throws for strings that are not UTF-8,
/// as parts of a malformed request often are; layers_test keeps it out of the
/// servers' code.
///
/// @param indentation Spaces by level; negative: all on one line.
/// @return JSON in UTF-8; invalid bytes in strings become U+FFFD.
[[nodiscard]] std::string json_text(const nlohmann::json& value,
                                    int indentation = -1);

/// @copydoc json_text(const nlohmann::json&, int)
[[nodiscard]] std::string json_text(const nlohmann::ordered_json& value,
                                    int indentation = -1);

/// @return The same in ASCII: all other characters are escaped.
[[nodiscard]] std::string ascii_json_text(const nlohmann::json& value);

// [json_is_bounded] ----------------------------------------------------------

/// A parsed value takes up to a hundred bytes and may stand for a byte or two
/// of the text: nested lists of 4 MiB took 310 MB. Texts whose members have
/// names come near neither bound within the size limits.
///
/// @return Whether the text has at most 524,288 values, 64 levels deep.
[[nodiscard]] bool json_is_bounded(std::string_view text) noexcept;

/// Shortens the library's description of why text could not be read as JSON by
/// the text that it quotes: a document may hold keys of organisations.
[[nodiscard]] std::string json_problem(std::string_view what);

} // namespace hyssopdeal::transport

#endif
