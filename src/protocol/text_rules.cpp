#include "text_rules.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <string>

namespace hyssopdeal::protocol
{

namespace
{

constexpr std::size_t max_text_bytes = 4'096;
constexpr std::size_t max_name_bytes = 64;
constexpr std::size_t sha256_hex_bytes = 64;
constexpr unsigned max_port = 65'535;

bool is_name(std::string_view text)
{
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyz"
                                         "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                         "0123456789-_.";
    return !text.empty() && text.size() <= max_name_bytes &&
           text.find_first_not_of(allowed) == std::string_view::npos;
}

bool is_ip_number(std::string_view text)
{
    const std::string copy(text);
    in6_addr parsed = {};
    return ::inet_pton(AF_INET, copy.c_str(), &parsed) == 1 ||
           ::inet_pton(AF_INET6, copy.c_str(), &parsed) == 1;
}

bool is_port(std::string_view text)
{
    unsigned port = 0;
    const auto* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, port);
    return error == std::errc{} && stop == end && port <= max_port;
}

bool is_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || !is_port(text.substr(colon + 1)))
    {
        return false;
    }
    auto host = text.substr(0, colon);
    const bool bracketed = host.starts_with('[') && host.ends_with(']');
    if (bracketed)
    {
        host = host.substr(1, host.size() - 2);
    }
    return is_ip_number(host) &&
           bracketed == (host.find(':') != std::string_view::npos);
}

bool is_sha256_hex(std::string_view text)
{
    return text.size() == sha256_hex_bytes &&
           text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

} // namespace

bool follows_rule(std::string_view text, text_rule rule)
{
    if (text.size() > max_text_bytes)
    {
        return false;
    }
    switch (rule)
    {
    case text_rule::any:
        return true;
    case text_rule::name:
        return is_name(text);
    case text_rule::name_or_any:
        return text == "*" || is_name(text);
    case text_rule::ip_number:
        return is_ip_number(text);
    case text_rule::address:
        return is_address(text);
    case text_rule::sha256_hex:
        return is_sha256_hex(text);
    case text_rule::url_path:
        return text.starts_with('/');
    case text_rule::file_path:
        return !text.empty();
    }
    return false;
}

std::string_view rule_text(text_rule rule) noexcept
{
    switch (rule)
    {
    case text_rule::any:
        return "a text of at most 4096 bytes";
    case text_rule::name:
        return "a name: 1 to 64 of a-z, A-Z, 0-9, '-', '_', '.'";
    case text_rule::name_or_any:
        return "a name, or \"*\"";
    case text_rule::ip_number:
        return "an IP number";
    case text_rule::address:
        return "an address such as 127.0.0.1:8080 or [::1]:8080";
    case text_rule::sha256_hex:
        return "64 lower-case hex digits (SHA-256)";
    case text_rule::url_path:
        return "a path that starts with '/'";
    case text_rule::file_path:
        return "a file's path";
    }
    return "a text";
}

} // namespace hyssopdeal::protocol
