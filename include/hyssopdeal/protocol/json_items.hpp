#ifndef HYSSOPDEAL_PROTOCOL_JSON_ITEMS_HPP
#define HYSSOPDEAL_PROTOCOL_JSON_ITEMS_HPP

/// @file
/// Separates the items of an array in a JSON text before they are parsed, so
/// that one item which cannot be parsed does not make the others unreadable.
///
/// Index: [json_items]

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopdeal::protocol
{

// [json_items] ---------------------------------------------------------------

/// An array of a JSON object, and the object without the array's items.
struct json_items
{
    /// Text of each item; not checked to be valid JSON. Views of the text that
    /// was split.
    std::vector<std::string_view> items;
    std::string rest; ///< The object with an empty array.
};

/// Items that are nested deeper are not returned as they are but as empty
/// texts.
inline constexpr std::size_t max_item_depth = 32;

/// Separates the items by brackets, quotes and commas only.
///
/// @param text A JSON object.
/// @param name Key of the array in the outermost object.
/// @return Nothing if the object has no such array or the array does not end.
[[nodiscard]] std::optional<json_items> split_json_items(std::string_view text,
                                                         std::string_view name);

} // namespace hyssopdeal::protocol

#endif
