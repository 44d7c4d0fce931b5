#ifndef HYSSOPDEAL_SRC_PROTOCOL_LOCATED_JSON_HPP
#define HYSSOPDEAL_SRC_PROTOCOL_LOCATED_JSON_HPP

/// @file
/// Internal: a JSON value that knows the line that it was read from, so that
/// mistakes in settings can name it.
///
/// Index: [json_kind] [located_json] [parsing]

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::protocol
{

// [json_kind] ----------------------------------------------------------------

/// What a value is.
enum class json_kind : std::uint8_t
{
    null,
    boolean,
    integer,
    real,
    text,
    array,
    object
};

// [located_json] -------------------------------------------------------------

/// One value, with its members in the order of the text.
struct located_json
{
    json_kind kind = json_kind::null;
    std::size_t line = 1;            ///< Where its key or itself ends.
    std::string key;                 ///< Within an object; else empty.
    bool truth = false;              ///< For json_kind::boolean.
    std::int64_t whole = 0;          ///< For json_kind::integer.
    double number = 0;               ///< For json_kind::integer and real.
    std::string text;                ///< For json_kind::text.
    std::vector<located_json> items; ///< Of an array or an object.
};

/// @return The value as shown in a mistake, shortened to a few words.
[[nodiscard]] std::string shown(const located_json& value);

// [parsing] ------------------------------------------------------------------

/// Parses JSON with comments.
///
/// @param name Named in mistakes.
/// @return The value, or the first mistake as `NAME:LINE: ...`.
[[nodiscard]] transport::result<located_json>
parse_located_json(std::string_view text, std::string_view name);

} // namespace hyssopdeal::protocol

#endif
