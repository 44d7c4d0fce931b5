#include <hyssopdeal/transport/http_message.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <cstdint>

#include <nlohmann/json.hpp>

namespace hyssopdeal::transport
{

namespace
{

bool same_letter(char left, char right) noexcept
{
    return std::tolower(static_cast<unsigned char>(left)) ==
           std::tolower(static_cast<unsigned char>(right));
}

} // namespace

bool same_header_name(std::string_view left, std::string_view right) noexcept
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      same_letter);
}

std::string_view find_header(const std::vector<http_header>& headers,
                             std::string_view name) noexcept
{
    for (const auto& header : headers)
    {
        if (same_header_name(header.name, name))
        {
            return header.value;
        }
    }
    return {};
}

bool named_by_connection(const std::vector<http_header>& headers,
                         std::string_view name)
{
    auto names = find_header(headers, "Connection");
    while (!names.empty())
    {
        const auto end = std::min(names.find(','), names.size());
        auto one = names.substr(0, end);
        names.remove_prefix(std::min(end + 1, names.size()));
        while (one.starts_with(' '))
        {
            one.remove_prefix(1);
        }
        while (one.ends_with(' '))
        {
            one.remove_suffix(1);
        }
        if (same_header_name(one, name))
        {
            return true;
        }
    }
    return false;
}

std::chrono::milliseconds read_seconds(std::string_view text) noexcept
{
    // Longer than a server of a fleet lives; guards sums with a clock.
    constexpr double longest_s = 86'400;
    constexpr double ms_in_s = 1'000;
    if (text.empty() || text.find_first_not_of("0123456789.") != text.npos)
    {
        return std::chrono::milliseconds{0};
    }
    double seconds = 0;
    const auto* const end = text.data() + text.size();
    const auto read =
        std::from_chars(text.data(), end, seconds, std::chars_format::fixed);
    if (read.ptr != end)
    {
        return std::chrono::milliseconds{0};
    }
    const bool fits = read.ec == std::errc{} && seconds < longest_s;
    return std::chrono::milliseconds{static_cast<std::int64_t>(
        std::ceil((fits ? seconds : longest_s) * ms_in_s))};
}

std::optional<double> read_decimal(std::string_view text) noexcept
{
    double number = 0;
    const auto* const end = text.data() + text.size();
    const auto read =
        std::from_chars(text.data(), end, number, std::chars_format::fixed);
    const bool digits_only = text.find_first_not_of("0123456789.") == text.npos;
    return digits_only && read.ec == std::errc{} && read.ptr == end
               ? std::optional{number}
               : std::nullopt;
}

bool has_whole_json(const http_response& response)
{
    const auto first = response.body.find_first_not_of(" \t\r\n");
    return first != std::string::npos &&
           (response.body[first] == '{' || response.body[first] == '[') &&
           nlohmann::json::accept(response.body);
}

bool needs_no_end(const http_response& /*response*/) noexcept
{
    return true;
}

} // namespace hyssopdeal::transport
