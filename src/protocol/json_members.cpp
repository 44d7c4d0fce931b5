/// @file
/// Members of JSON objects.

#include <hyssopdeal/protocol/json_members.hpp>

#include <cmath>

#include <hyssopdeal/protocol/exact_json.hpp>

namespace hyssopdeal::protocol
{

using nlohmann::json;
using std::chrono::milliseconds;

namespace
{

const json& member(const json& object, const char* name)
{
    const auto found = object.find(name);
    if (found == object.end())
    {
        throw bad_member{fmt::format("{} is missing.", name)};
    }
    return *found;
}

/// @param unit_ms Milliseconds in the unit of the number.
milliseconds duration(const json& object, const char* name, double unit_ms)
{
    // Sums of such times fit the clocks' types, of nanoseconds.
    constexpr double max_ms = 100'000'000'000;
    const double value = number(object, name) * unit_ms;
    if (!(std::abs(value) <= max_ms))
    {
        throw bad_member{fmt::format("{} is too large.", name)};
    }
    return milliseconds{std::llround(value)};
}

} // namespace

bool present(const json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && !found->is_null();
}

std::string text(const json& object, const char* name)
{
    const auto& value = member(object, name);
    if (!value.is_string())
    {
        throw bad_member{fmt::format("{} is no text.", name)};
    }
    return value.get<std::string>();
}

double number(const json& object, const char* name)
{
    const auto& value = member(object, name);
    if (!value.is_number())
    {
        throw bad_member{fmt::format("{} is no number.", name)};
    }
    return value.get<double>();
}

std::uint64_t whole(const json& object, const char* name)
{
    const auto value = number_as<std::uint64_t>(member(object, name));
    if (!value)
    {
        throw bad_member{fmt::format("{} is no whole number.", name)};
    }
    return *value;
}

std::uint32_t small_whole(const json& object, const char* name)
{
    const auto value = whole(object, name);
    if (value > std::numeric_limits<std::uint32_t>::max())
    {
        throw bad_member{fmt::format("{} is too large.", name)};
    }
    return static_cast<std::uint32_t>(value);
}

milliseconds duration_ms(const json& object, const char* name)
{
    return duration(object, name, 1);
}

milliseconds duration_s(const json& object, const char* name)
{
    constexpr double ms_in_s = 1'000;
    return duration(object, name, ms_in_s);
}

bool flag(const json& object, const char* name, bool otherwise)
{
    if (!present(object, name))
    {
        return otherwise;
    }
    if (!object[name].is_boolean())
    {
        throw bad_member{fmt::format("{} is neither true nor false.", name)};
    }
    return object[name].get<bool>();
}

const json& list(const json& object, const char* name)
{
    const auto& value = member(object, name);
    if (!value.is_array())
    {
        throw bad_member{fmt::format("{} is no list.", name)};
    }
    return value;
}

} // namespace hyssopdeal::protocol
