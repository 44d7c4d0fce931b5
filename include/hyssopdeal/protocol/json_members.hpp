#ifndef HYSSOPDEAL_PROTOCOL_JSON_MEMBERS_HPP
#define HYSSOPDEAL_PROTOCOL_JSON_MEMBERS_HPP

/// @file
/// Reads members of JSON objects from outside, with an error that names the
/// member.
///
/// Index: [bad_member] [members]

#include <chrono>
#include <cstdint>
#include <limits>
#include <stdexcept>
#include <string>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace hyssopdeal::protocol
{

// [bad_member] ---------------------------------------------------------------

/// Thrown for a member that is missing or of the wrong kind. Decoders turn it
/// into a failure.
struct bad_member : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

// [members] ------------------------------------------------------------------

/// @return Whether the object has the member and it is not null.
[[nodiscard]] bool present(const nlohmann::json& object, const char* name);

[[nodiscard]] std::string text(const nlohmann::json& object, const char* name);

[[nodiscard]] double number(const nlohmann::json& object, const char* name);

/// @return A number without a fraction; one written as `1.0` counts as whole.
[[nodiscard]] std::uint64_t whole(const nlohmann::json& object,
                                  const char* name);

[[nodiscard]] std::uint32_t small_whole(const nlohmann::json& object,
                                        const char* name);

/// @return A time that the document gives in milliseconds.
[[nodiscard]] std::chrono::milliseconds
duration_ms(const nlohmann::json& object, const char* name);

/// @return A time that the document gives in seconds.
[[nodiscard]] std::chrono::milliseconds duration_s(const nlohmann::json& object,
                                                   const char* name);

/// @param otherwise Returned if the member is missing or null.
[[nodiscard]] bool flag(const nlohmann::json& object, const char* name,
                        bool otherwise);

[[nodiscard]] const nlohmann::json& list(const nlohmann::json& object,
                                         const char* name);

template <class Number>
void require_not_negative(Number value, const char* name)
{
    if (!(value >= 0 && value <= std::numeric_limits<Number>::max()))
    {
        throw bad_member{fmt::format("{} is negative or not finite.", name)};
    }
}

} // namespace hyssopdeal::protocol

#endif
