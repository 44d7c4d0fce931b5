#include "load/slow_call.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <string>
#include <utility>

#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>
#include <http_parser.h>

namespace hyssopdeal::load
{

namespace
{

constexpr int receive_buffer_bytes = 4'096;
constexpr std::chrono::milliseconds read_interval{100};
constexpr std::uint32_t reads_per_second = 10;

std::string request_text(std::string_view address,
                         const transport::http_request& request)
{
    auto text = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n"
                            "Connection: close\r\nContent-Length: {}\r\n",
                            request.method, request.target, address,
                            request.body.size());
    for (const auto& header : request.headers)
    {
        text += fmt::format("{}: {}\r\n", header.name, header.value);
    }
    return text + "\r\n" + request.body;
}

asio::ip::tcp::endpoint endpoint_of(std::string_view address,
                                    asio::error_code& error)
{
    const auto colon = address.rfind(':');
    std::uint16_t port = 0;
    const auto digits = address.substr(colon + 1);
    std::from_chars(digits.data(), digits.data() + digits.size(), port);
    return {
        asio::ip::make_address(std::string(address.substr(0, colon)), error),
        port};
}

} // namespace

struct slow_call::impl : std::enable_shared_from_this<impl>
{
    impl(transport::event_loop& on_loop, transport::http_call_handlers to,
         std::uint32_t bytes_per_second)
        : loop(on_loop),
          socket(on_loop.context()),
          handlers(std::move(to)),
          bytes_a_read(std::max(1U, bytes_per_second / reads_per_second))
    {
        http_parser_init(&parser, HTTP_RESPONSE);
        parser.data = this;
        hooks.on_header_field = [](http_parser* from, const char* at,
                                   std::size_t size) {
            return self(from).take_name({at, size});
        };
        hooks.on_header_value = [](http_parser* from, const char* at,
                                   std::size_t size) {
            return self(from).take_value({at, size});
        };
        hooks.on_headers_complete = [](http_parser* from) {
            return self(from).take_head();
        };
        hooks.on_body = [](http_parser* from, const char* at,
                           std::size_t size) {
            return self(from).take_body({at, size});
        };
        hooks.on_message_complete = [](http_parser* from) {
            return self(from).take_whole();
        };
    }

    static impl& self(http_parser* from)
    {
        return *static_cast<impl*>(from->data);
    }

    int take_name(std::string_view part)
    {
        if (headers.empty() || !headers.back().value.empty())
        {
            headers.emplace_back();
        }
        headers.back().name += part;
        return 0;
    }

    int take_value(std::string_view part)
    {
        headers.back().value += part;
        return 0;
    }

    int take_head()
    {
        status = static_cast<int>(parser.status_code);
        handlers.on_head(status, headers);
        return 0;
    }

    int take_body(std::string_view part) const
    {
        handlers.on_data(part);
        return 0;
    }

    int take_whole()
    {
        whole = true;
        return 0;
    }

    void start(std::string_view address, std::string text)
    {
        asio::error_code error;
        const auto to = endpoint_of(address, error);
        socket.open(to.protocol(), error);
        socket.set_option(
            asio::socket_base::receive_buffer_size(receive_buffer_bytes),
            error);
        request = std::move(text);
        const auto keep = shared_from_this();
        socket.async_connect(to, [keep](const asio::error_code& failed) {
            keep->on_connected(failed);
        });
    }

    void on_connected(const asio::error_code& failed)
    {
        if (failed)
        {
            end(transport::verdict::not_run);
            return;
        }
        const auto keep = shared_from_this();
        asio::async_write(socket, asio::buffer(request),
                          [keep](const asio::error_code& lost, std::size_t) {
                              lost ? keep->end(transport::verdict::may_have_run)
                                   : keep->read();
                          });
    }

    void read()
    {
        const auto keep = shared_from_this();
        const auto room = std::min(buffer.size(), bytes_a_read);
        socket.async_read_some(
            asio::buffer(buffer.data(), room),
            [keep](const asio::error_code& lost, std::size_t size) {
                keep->on_read(lost, size);
            });
    }

    void on_read(const asio::error_code& lost, std::size_t size)
    {
        if (closed)
        {
            return;
        }
        if (lost && lost != asio::error::eof)
        {
            end(transport::verdict::may_have_run);
            return;
        }
        // No bytes tell the parser of the end of the connection.
        const auto taken =
            http_parser_execute(&parser, &hooks, buffer.data(), size);
        if (whole || lost || taken != size)
        {
            end(transport::verdict::may_have_run);
            return;
        }
        const auto keep = shared_from_this();
        timer = loop.after(read_interval, [keep] { keep->read(); });
    }

    void end(transport::verdict ran)
    {
        if (closed)
        {
            return;
        }
        close();
        transport::http_call_end result;
        result.status = status;
        result.complete = whole;
        result.error.ran = ran;
        result.error.code = transport::reason::connection_lost;
        const auto on_end = std::move(handlers.on_end);
        on_end(result);
    }

    void close()
    {
        closed = true;
        timer.cancel();
        asio::error_code ignored;
        socket.close(ignored);
    }

    transport::event_loop& loop;
    asio::ip::tcp::socket socket;
    transport::http_call_handlers handlers;
    std::size_t bytes_a_read;
    http_parser parser{};
    http_parser_settings hooks{};
    std::vector<transport::http_header> headers;
    std::string request;
    std::array<char, receive_buffer_bytes> buffer{};
    transport::timer_handle timer;
    int status = 0;
    bool whole = false;
    bool closed = false;
};

slow_call::slow_call(transport::event_loop& loop, std::string_view address,
                     const transport::http_request& request,
                     std::uint32_t bytes_per_second,
                     transport::http_call_handlers handlers)
    : impl_(std::make_shared<impl>(loop, std::move(handlers), bytes_per_second))
{
    impl_->start(address, request_text(address, request));
}

slow_call::~slow_call()
{
    impl_->close();
}

} // namespace hyssopdeal::load
