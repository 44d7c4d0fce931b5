/// @file
/// Serializes JSON values that may hold bytes from outside.

#include <hyssopdeal/transport/json_text.hpp>

#include <nlohmann/json.hpp>

namespace hyssopdeal::transport
{

std::string json_text(const nlohmann::json& value, int indentation)
{
    return value.dump(indentation, ' ', false,
                      nlohmann::json::error_handler_t::replace);
}

std::string json_text(const nlohmann::ordered_json& value, int indentation)
{
    return value.dump(indentation, ' ', false,
                      nlohmann::ordered_json::error_handler_t::replace);
}

std::string ascii_json_text(const nlohmann::json& value)
{
    return value.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

bool json_is_bounded(std::string_view text) noexcept
{
    constexpr std::size_t max_values = 524'288;
    constexpr std::size_t max_depth = 64;
    std::size_t values = 0;
    std::size_t depth = 0;
    bool in_string = false;
    for (std::size_t at = 0; at < text.size(); ++at)
    {
        const char one = text[at];
        if (in_string)
        {
            at += one == '\\' ? 1 : 0;
            in_string = one != '"';
            continue;
        }
        in_string = one == '"';
        const bool opens = one == '[' || one == '{';
        values += opens || one == ',' ? 1 : 0;
        depth += opens ? 1 : 0;
        depth -= (one == ']' || one == '}') && depth > 0 ? 1 : 0;
        if (values > max_values || depth > max_depth)
        {
            return false;
        }
    }
    return true;
}

std::string json_problem(std::string_view what)
{
    return std::string{what.substr(0, what.find("; last read"))};
}

} // namespace hyssopdeal::transport
