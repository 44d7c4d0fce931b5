#ifndef HYSSOPDEAL_TRANSPORT_JSON_TEXT_HPP
#define HYSSOPDEAL_TRANSPORT_JSON_TEXT_HPP

/// @file
/// Serializes JSON values that may hold bytes from outside.
///
/// Index: [json_text]

#include <string>

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

} // namespace hyssopdeal::transport

#endif
