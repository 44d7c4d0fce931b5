/// @file
/// Framing of requests, on http_parser.

#include "transport/request_framing.hpp"

#include <algorithm>

namespace hyssopdeal::transport
{

request_framing::request_framing()
{
    http_parser_init(&parser_, HTTP_REQUEST);
}

void request_framing::feed(std::string_view bytes)
{
    if (failed_)
    {
        return;
    }
    parser_.data = this; // The object may have been moved.
    const auto parsed =
        http_parser_execute(&parser_, &callbacks(), bytes.data(), bytes.size());
    failed_ = parsed != bytes.size() || parser_.upgrade != 0;
}

void request_framing::begin_next() noexcept
{
    body_bytes_ = 0;
    body_line_ends_ = 0;
    chunked_ = open_ && (parser_.flags & F_CHUNKED) != 0;
}

std::size_t request_framing::body_bytes() const noexcept
{
    return chunked_ || failed_ ? 0 : body_bytes_;
}

std::size_t request_framing::body_line_ends() const noexcept
{
    return chunked_ || failed_ ? 0 : body_line_ends_;
}

request_framing& request_framing::self(http_parser* parser)
{
    return *static_cast<request_framing*>(parser->data);
}

const http_parser_settings& request_framing::callbacks()
{
    static const http_parser_settings made = [] {
        http_parser_settings settings;
        http_parser_settings_init(&settings);
        settings.on_message_begin = [](http_parser* parser) {
            self(parser).open_ = true;
            return 0;
        };
        settings.on_headers_complete = [](http_parser* parser) {
            auto& own = self(parser);
            const bool chunked = (parser->flags & F_CHUNKED) != 0;
            own.chunked_ = own.chunked_ || chunked;
            own.wrong_version_ = own.wrong_version_ ||
                                 parser->http_major != 1 ||
                                 (chunked && parser->http_minor == 0);
            return 0;
        };
        settings.on_body = [](http_parser* parser, const char* at,
                              std::size_t length) {
            auto& own = self(parser);
            own.body_bytes_ += length;
            own.body_line_ends_ +=
                static_cast<std::size_t>(std::count(at, at + length, '\r'));
            return 0;
        };
        settings.on_message_complete = [](http_parser* parser) {
            self(parser).open_ = false;
            return 0;
        };
        return settings;
    }();
    return made;
}

} // namespace hyssopdeal::transport
