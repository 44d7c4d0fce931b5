#include <hyssopdeal/protocol/trace_context.hpp>

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

namespace hyssopdeal::protocol
{

namespace
{

// 00-TRACE(32)-SPAN(16)-FLAGS(2)
constexpr std::size_t text_bytes = 55;
constexpr std::size_t trace_at = 3;
constexpr std::size_t half_bytes = 16;
constexpr std::size_t span_at = 36;
constexpr std::size_t flags_at = 53;
constexpr int hexadecimal = 16;

bool is_lower_hex(std::string_view text) noexcept
{
    return std::all_of(text.begin(), text.end(), [](char letter) {
        return (letter >= '0' && letter <= '9') ||
               (letter >= 'a' && letter <= 'f');
    });
}

std::optional<std::uint64_t> read_hex(std::string_view text) noexcept
{
    if (!is_lower_hex(text))
    {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value, hexadecimal);
    return value;
}

bool is_framed(std::string_view text) noexcept
{
    return text.size() >= text_bytes && text[2] == '-' &&
           text[span_at - 1] == '-' && text[flags_at - 1] == '-';
}

// Later versions may add fields after the flags; version 00 may not.
bool is_known_version(std::string_view text) noexcept
{
    const auto version = text.substr(0, 2);
    if (!is_lower_hex(version) || version == "ff")
    {
        return false;
    }
    return text.size() == text_bytes ||
           (version != "00" && text[text_bytes] == '-');
}

std::uint64_t random_id(std::mt19937_64& random)
{
    const auto value = random();
    return value == 0 ? 1 : value;
}

} // namespace

std::optional<trace_context> parse_traceparent(std::string_view text) noexcept
{
    if (!is_framed(text) || !is_known_version(text))
    {
        return std::nullopt;
    }
    const auto high = read_hex(text.substr(trace_at, half_bytes));
    const auto low = read_hex(text.substr(trace_at + half_bytes, half_bytes));
    const auto span = read_hex(text.substr(span_at, half_bytes));
    const auto flags = read_hex(text.substr(flags_at, 2));
    if (!high || !low || !span || !flags || (*high | *low) == 0 || *span == 0)
    {
        return std::nullopt;
    }
    return trace_context{*high, *low, *span, static_cast<std::uint8_t>(*flags)};
}

std::string to_traceparent(const trace_context& context)
{
    return fmt::format("00-{:016x}{:016x}-{:016x}-{:02x}", context.trace_high,
                       context.trace_low, context.span, context.flags);
}

trace_context child_of(const trace_context& parent, std::mt19937_64& random)
{
    auto child = parent;
    child.span = random_id(random);
    return child;
}

trace_context new_trace(std::mt19937_64& random)
{
    return {random(), random_id(random), random_id(random), 1};
}

} // namespace hyssopdeal::protocol
