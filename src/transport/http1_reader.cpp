/// @file
/// Reads HTTP/1.1 messages, on http_parser.

#include "transport/http1_reader.hpp"

#include <algorithm>

#include "transport/head_check.hpp"

namespace hyssopdeal::transport
{

namespace
{

constexpr std::size_t kept_capacity = 4'096;
constexpr auto no_length = ~std::uint64_t{0}; // http_parser's

} // namespace

http1_reader::http1_reader(message_kind kind, std::size_t max_head_bytes)
    : kind_(kind),
      max_head_bytes_(max_head_bytes)
{
    reset();
}

void http1_reader::reset()
{
    http_parser_init(&parser_, kind_ == message_kind::request ? HTTP_REQUEST
                                                              : HTTP_RESPONSE);
    parser_.data = this;
    state_ = read_state::head;
    head_bytes_ = 0;
    keeps_alive_ = false;
    ended_by_close_ = false;
    last_was_value_ = false;
    method_.clear();
    target_.clear();
    paused_at_ = line_end::none;
    headers_.clear();
    if (headers_.capacity() * sizeof(http_header) > kept_capacity)
    {
        std::vector<http_header>{}.swap(headers_);
    }
    body_.clear();
    if (body_.capacity() > kept_capacity)
    {
        std::string{}.swap(body_);
    }
}

void http1_reader::expect_response_to(std::string_view method)
{
    request_method_ = method;
}

std::uint64_t http1_reader::announced_bytes() const noexcept
{
    const bool known = state_ == read_state::body &&
                       (parser_.flags & F_CHUNKED) == 0 &&
                       parser_.content_length != no_length;
    return known ? parser_.content_length + body_.size() : 0;
}

std::size_t http1_reader::held_bytes() const noexcept
{
    return body_.capacity() + target_.capacity() + head_bytes_ +
           headers_.capacity() * sizeof(http_header);
}

std::size_t http1_reader::capacity_for(std::size_t incoming,
                                       std::size_t most) const noexcept
{
    const auto needed = body_.size() + incoming;
    if (needed <= body_.capacity())
    {
        return body_.capacity();
    }
    const auto announced = announced_bytes();
    const auto end = announced > 0 ? announced : most;
    return std::max<std::size_t>(
        needed, std::min<std::uint64_t>(2 * body_.capacity(), end));
}

http1_reader& http1_reader::self(http_parser* parser)
{
    return *static_cast<http1_reader*>(parser->data);
}

/// @return Not zero, which ends parsing, once the head is too large.
int http1_reader::count_head(std::size_t length)
{
    head_bytes_ += length;
    return head_too_large() ? 1 : 0;
}

/// @return Not zero, which ends parsing, when the name is not valid.
int http1_reader::take_name(std::string_view piece)
{
    if (!has_only_token_characters(piece))
    {
        return 1;
    }
    // Trailers come after the head was judged, so none of them may count.
    if (state_ == read_state::head)
    {
        if (last_was_value_ || headers_.empty())
        {
            headers_.emplace_back();
            last_was_value_ = false;
        }
        headers_.back().name.append(piece);
    }
    return count_head(piece.size());
}

int http1_reader::take_value(std::string_view piece)
{
    if (state_ == read_state::head && !headers_.empty())
    {
        last_was_value_ = true;
        headers_.back().value.append(piece);
    }
    return count_head(piece.size());
}

bool http1_reader::head_is_clear() const noexcept
{
    constexpr int major_version = 1;
    const bool starts_well = kind_ == message_kind::request
                                 ? is_one_word(target_)
                                 : is_expected_status(status());
    return parser_.http_major == major_version && starts_well &&
           has_clear_framing(headers_, takes_chunks() ? chunk_support::yes
                                                      : chunk_support::no);
}

/// @return What http_parser expects: 0 to go on, 1 to read no body.
int http1_reader::take_head()
{
    constexpr int refuse = -1;
    method_ = http_method_str(static_cast<http_method>(parser_.method));
    if (!head_is_clear())
    {
        return refuse;
    }
    state_ = read_state::body;
    (void)pause_at(line_end::next);
    return kind_ == message_kind::response &&
                   has_no_body(request_method_, status())
               ? 1
               : 0;
}

int http1_reader::pause_at(line_end place)
{
    paused_at_ = place;
    http_parser_pause(&parser_, 1);
    return 0;
}

bool http1_reader::line_end_is_valid(std::string_view bytes,
                                     std::size_t used) const noexcept
{
    if (paused_at_ == line_end::next)
    {
        return bytes[used] == '\n';
    }
    const char before = used > 1 ? bytes[used - 2] : last_byte_;
    return paused_at_ == line_end::none ||
           (bytes[used - 1] == '\n' && before == '\r');
}

const http_parser_settings& http1_reader::callbacks()
{
    static const http_parser_settings made = [] {
        http_parser_settings settings;
        http_parser_settings_init(&settings);
        settings.on_url = [](http_parser* parser, const char* at,
                             std::size_t length) {
            self(parser).target_.append(at, length);
            return self(parser).count_head(length);
        };
        settings.on_header_field = [](http_parser* parser, const char* at,
                                      std::size_t length) {
            return self(parser).take_name({at, length});
        };
        settings.on_header_value = [](http_parser* parser, const char* at,
                                      std::size_t length) {
            return self(parser).take_value({at, length});
        };
        settings.on_headers_complete = [](http_parser* parser) {
            return self(parser).take_head();
        };
        settings.on_chunk_header = [](http_parser* parser) {
            return self(parser).pause_at(line_end::read);
        };
        settings.on_chunk_complete = [](http_parser* parser) {
            const bool was_last = (parser->flags & F_TRAILING) != 0;
            return self(parser).pause_at(was_last ? line_end::next
                                                  : line_end::read);
        };
        settings.on_body = [](http_parser* parser, const char* at,
                              std::size_t length) {
            self(parser).body_.append(at, length);
            return 0;
        };
        settings.on_message_complete = [](http_parser* parser) {
            auto& own = self(parser);
            own.state_ = read_state::complete;
            own.keeps_alive_ = http_should_keep_alive(parser) != 0;
            http_parser_pause(parser, 1);
            return 0;
        };
        return settings;
    }();
    return made;
}

std::size_t http1_reader::feed(std::string_view bytes)
{
    std::size_t used = 0;
    while (used < bytes.size() && state_ != read_state::complete &&
           state_ != read_state::bad)
    {
        head_bytes_ = head_bytes_ == 0 ? 1 : head_bytes_;
        paused_at_ = line_end::none;
        http_parser_pause(&parser_, 0);
        used += http_parser_execute(&parser_, &callbacks(), bytes.data() + used,
                                    bytes.size() - used);
        const auto result = HTTP_PARSER_ERRNO(&parser_);
        if ((result != HPE_OK && result != HPE_PAUSED) ||
            !line_end_is_valid(bytes, used))
        {
            state_ = read_state::bad;
        }
    }
    last_byte_ = used > 0 ? bytes[used - 1] : last_byte_;
    return used;
}

void http1_reader::feed_end()
{
    if (state_ != read_state::body)
    {
        return;
    }
    http_parser_pause(&parser_, 0);
    (void)http_parser_execute(&parser_, &callbacks(), nullptr, 0);
    if (state_ == read_state::complete)
    {
        keeps_alive_ = false;
        ended_by_close_ = true;
    }
    else
    {
        state_ = read_state::bad;
    }
}

} // namespace hyssopdeal::transport
