#ifndef HYSSOPDEAL_PROTOCOL_EXACT_JSON_HPP
#define HYSSOPDEAL_PROTOCOL_EXACT_JSON_HPP

/// @file
/// JSON whose integers are read exactly or not at all.
///
/// nlohmann::json casts any number to the type that is asked for: a fraction is
/// cut off, a negative count wraps, and a float that the type can't hold is
/// undefined behaviour. exact_json throws instead, so a decoder of bytes from
/// outside reports them as not understood.
///
/// Index: [number_as] [exact_json] [HYSSOPDEAL_EXACT_JSON]

#include <cmath>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace hyssopdeal::protocol
{

// [number_as] ----------------------------------------------------------------

/// @return The number as an integer, or nothing if it has a fraction or the type
/// can't hold it. A float without a fraction counts as an integer.
template <class Integer, class Json>
[[nodiscard]] std::optional<Integer> number_as(const Json& from)
{
    static_assert(std::is_integral_v<Integer>);
    if (from.is_number_unsigned())
    {
        const auto value = from.template get_ref<const std::uint64_t&>();
        return std::in_range<Integer>(value)
                   ? std::optional{static_cast<Integer>(value)}
                   : std::nullopt;
    }
    if (from.is_number_integer())
    {
        const auto value = from.template get_ref<const std::int64_t&>();
        return std::in_range<Integer>(value)
                   ? std::optional{static_cast<Integer>(value)}
                   : std::nullopt;
    }
    if (!from.is_number_float())
    {
        return std::nullopt;
    }
    // Larger floats are not exact.
    constexpr double max_exact = 9'007'199'254'740'992;
    const auto value = from.template get_ref<const double&>();
    if (!(std::abs(value) <= max_exact) || std::trunc(value) != value)
    {
        return std::nullopt;
    }
    const auto whole = static_cast<std::int64_t>(value);
    return std::in_range<Integer>(whole)
               ? std::optional{static_cast<Integer>(whole)}
               : std::nullopt;
}

// [exact_json] ---------------------------------------------------------------

template <class Value, class = void>
struct exact_serializer : nlohmann::adl_serializer<Value>
{};

template <class Value>
struct exact_serializer<Value, std::enable_if_t<std::is_enum_v<Value> ||
                                                (std::is_integral_v<Value> &&
                                                 !std::is_same_v<Value, bool>)>>
    : nlohmann::adl_serializer<Value>
{
    /// @throws nlohmann::json::exception if the value is no such integer.
    template <class Json>
    static void from_json(const Json& from, Value& value)
    {
        const auto read = number_as<stored>(from);
        if (!read)
        {
            constexpr int wrong_kind = 302;
            throw nlohmann::json::type_error::create(
                wrong_kind, "the value is no integer of this size", &from);
        }
        value = static_cast<Value>(*read);
    }

private:
    using stored = typename std::conditional_t<std::is_enum_v<Value>,
                                               std::underlying_type<Value>,
                                               std::type_identity<Value>>::type;
};

using exact_json =
    nlohmann::basic_json<std::map, std::vector, std::string, bool, std::int64_t,
                         std::uint64_t, double, std::allocator,
                         exact_serializer>;

// [HYSSOPDEAL_EXACT_JSON] ----------------------------------------------------

// NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE and its variant with defaults, for
// exact_json.
#define HYSSOPDEAL_EXACT_JSON_TO(Type, ...)                                    \
    inline void to_json(::hyssopdeal::protocol::exact_json& nlohmann_json_j,   \
                        const Type& nlohmann_json_t)                           \
    {                                                                          \
        NLOHMANN_JSON_EXPAND(                                                  \
            NLOHMANN_JSON_PASTE(NLOHMANN_JSON_TO, __VA_ARGS__))                \
    }

#define HYSSOPDEAL_EXACT_JSON(Type, ...)                                       \
    HYSSOPDEAL_EXACT_JSON_TO(Type, __VA_ARGS__)                                \
    inline void from_json(                                                     \
        const ::hyssopdeal::protocol::exact_json& nlohmann_json_j,             \
        Type& nlohmann_json_t)                                                 \
    {                                                                          \
        NLOHMANN_JSON_EXPAND(                                                  \
            NLOHMANN_JSON_PASTE(NLOHMANN_JSON_FROM, __VA_ARGS__))              \
    }

#define HYSSOPDEAL_EXACT_JSON_WITH_DEFAULT(Type, ...)                          \
    HYSSOPDEAL_EXACT_JSON_TO(Type, __VA_ARGS__)                                \
    inline void from_json(                                                     \
        const ::hyssopdeal::protocol::exact_json& nlohmann_json_j,             \
        Type& nlohmann_json_t)                                                 \
    {                                                                          \
        const Type nlohmann_json_default_obj;                                  \
        NLOHMANN_JSON_EXPAND(                                                  \
            NLOHMANN_JSON_PASTE(NLOHMANN_JSON_FROM_WITH_DEFAULT, __VA_ARGS__)) \
    }

} // namespace hyssopdeal::protocol

#endif
