#ifndef HYSSOPDEAL_SRC_TRANSPORT_IP_ENDPOINT_HPP
#define HYSSOPDEAL_SRC_TRANSPORT_IP_ENDPOINT_HPP

/// @file
/// Internal: `IP:port` texts and Asio's endpoints. Names are never resolved.
///
/// Index: [ip_endpoint]

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <asio/ip/address.hpp>

namespace hyssopdeal::transport
{

// [ip_endpoint] --------------------------------------------------------------

/// Reads `IP:port`, an IPv6 number in brackets.
///
/// @return The endpoint, or nothing when the text is anything else.
template <class Endpoint>
std::optional<Endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return std::nullopt;
    }
    auto host = text.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']'))
    {
        host = host.substr(1, host.size() - 2);
    }
    asio::error_code error;
    const auto number = asio::ip::make_address(std::string{host}, error);
    const auto digits = text.substr(colon + 1);
    const auto* const end = digits.data() + digits.size();
    std::uint16_t port = 0;
    const auto parsed = std::from_chars(digits.data(), end, port);
    if (error || parsed.ec != std::errc{} || parsed.ptr != end || port == 0)
    {
        return std::nullopt;
    }
    return Endpoint{number, port};
}

/// @return `IP:port`, an IPv6 number in brackets.
template <class Endpoint>
std::string endpoint_text(const Endpoint& endpoint)
{
    const auto number = endpoint.address().to_string();
    const auto port = std::to_string(endpoint.port());
    return endpoint.address().is_v6() ? "[" + number + "]:" + port
                                      : number + ":" + port;
}

} // namespace hyssopdeal::transport

#endif
