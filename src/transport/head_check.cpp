/// @file
/// Checks of heads beyond those of http_parser and libcurl.

#include "transport/head_check.hpp"

#include <algorithm>

namespace hyssopdeal::transport
{

namespace
{

bool is_token_character(unsigned char letter) noexcept
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return (letter >= '0' && letter <= '9') ||
           (letter >= 'A' && letter <= 'Z') ||
           (letter >= 'a' && letter <= 'z') ||
           marks.find(static_cast<char>(letter)) != std::string_view::npos;
}

bool is_control_character(unsigned char letter) noexcept
{
    constexpr unsigned char first_printed = 0x20;
    constexpr unsigned char deleted = 0x7f;
    return letter < first_printed || letter == deleted;
}

std::string_view trim(std::string_view text) noexcept
{
    constexpr std::string_view blanks = " \t";
    const auto first = text.find_first_not_of(blanks);
    const auto last = text.find_last_not_of(blanks);
    return first == std::string_view::npos
               ? std::string_view{}
               : text.substr(first, last - first + 1);
}

bool is_length(std::string_view value) noexcept
{
    return !value.empty() &&
           value.find_first_not_of("0123456789") == std::string_view::npos;
}

} // namespace

bool has_only_token_characters(std::string_view text) noexcept
{
    return std::all_of(text.begin(), text.end(), is_token_character);
}

bool has_control_characters(std::string_view text) noexcept
{
    return std::any_of(text.begin(), text.end(), [](unsigned char letter) {
        return letter != '\t' && is_control_character(letter);
    });
}

bool is_one_word(std::string_view target) noexcept
{
    return !target.empty() &&
           std::none_of(target.begin(), target.end(), [](unsigned char letter) {
               return letter == ' ' || is_control_character(letter);
           });
}

bool has_clear_framing(const std::vector<http_header>& headers,
                       chunk_support chunks) noexcept
{
    int lengths = 0;
    int codings = 0;
    for (const auto& [name, value] : headers)
    {
        if (name.empty() || !has_only_token_characters(name))
        {
            return false;
        }
        if (same_header_name(name, "Content-Length"))
        {
            ++lengths;
            if (!is_length(trim(value)))
            {
                return false;
            }
        }
        // Another coding would be passed on as if it were the body itself.
        if (same_header_name(name, "Transfer-Encoding"))
        {
            ++codings;
            if (chunks == chunk_support::no ||
                !same_header_name(trim(value), "chunked"))
            {
                return false;
            }
        }
    }
    return lengths + codings <= 1;
}

bool is_expected_status(int status) noexcept
{
    constexpr int first_interim = 100;
    constexpr int switching_protocols = 101;
    return status >= first_interim && status != switching_protocols;
}

bool has_no_body(std::string_view request_method, int status) noexcept
{
    constexpr int first_final = 200;
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    return request_method == "HEAD" || status < first_final ||
           status == no_content || status == not_modified;
}

bool states_length(std::string_view request_method,
                   const http_response& response) noexcept
{
    return !has_no_body({}, response.status) &&
           !(request_method == "HEAD" && response.body.empty());
}

} // namespace hyssopdeal::transport
