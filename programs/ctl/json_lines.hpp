#ifndef HYSSOPDEAL_PROGRAMS_CTL_JSON_LINES_HPP
#define HYSSOPDEAL_PROGRAMS_CTL_JSON_LINES_HPP

/// @file
/// Reads files in which each line is a JSON object.
///
/// Index: [for_each_json_line] [text_in]

#include <algorithm>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace hyssopdeal::ctl
{

// [for_each_json_line] -------------------------------------------------------

/// Hands each line's object to a handler, in order; other lines are skipped.
template <class Handler>
void for_each_json_line(std::string_view text, Handler&& handler)
{
    while (!text.empty())
    {
        const auto end = std::min(text.find('\n'), text.size());
        auto value = nlohmann::json::parse(text.substr(0, end), nullptr, false);
        text.remove_prefix(std::min(end + 1, text.size()));
        if (value.is_object())
        {
            handler(std::move(value));
        }
    }
}

// [text_in] ------------------------------------------------------------------

/// @return An object's text member; empty when it has none.
[[nodiscard]] inline std::string text_in(const nlohmann::json& from,
                                         const char* key)
{
    const auto found = from.find(key);
    return found != from.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string{};
}

} // namespace hyssopdeal::ctl

#endif
