#include <hyssopdeal/transport/http_message.hpp>

#include <algorithm>
#include <cctype>

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

} // namespace hyssopdeal::transport
