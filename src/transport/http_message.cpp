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

std::string_view find_header(const std::vector<http_header>& headers,
                             std::string_view name) noexcept
{
    for (const auto& header : headers)
    {
        if (std::equal(header.name.begin(), header.name.end(), name.begin(),
                       name.end(), same_letter))
        {
            return header.value;
        }
    }
    return {};
}

} // namespace hyssopdeal::transport
