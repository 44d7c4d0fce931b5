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

} // namespace hyssopdeal::transport
