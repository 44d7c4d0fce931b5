/// @file
/// HTTP/1.1 messages as bytes.

#include "transport/http1_writer.hpp"

#include <iterator>

#include <fmt/format.h>
#include <http_parser.h>

#include "transport/head_check.hpp"

namespace hyssopdeal::transport
{

namespace
{

std::string_view status_text(int status)
{
    switch (status)
    {
#define HYSSOPDEAL_STATUS_TEXT(number, name, text)                             \
    case number:                                                               \
        return #text;
        HTTP_STATUS_MAP(HYSSOPDEAL_STATUS_TEXT)
#undef HYSSOPDEAL_STATUS_TEXT
    default:
        return "Unknown";
    }
}

void append_headers(std::string& out, const std::vector<http_header>& headers)
{
    for (const auto& header : headers)
    {
        fmt::format_to(std::back_inserter(out), "{}: {}\r\n", header.name,
                       header.value);
    }
}

} // namespace

std::string write_head(int status, const std::vector<http_header>& headers,
                       body_framing framing, connection_use use)
{
    auto out = fmt::format("HTTP/1.1 {} {}\r\n", status, status_text(status));
    append_headers(out, headers);
    if (framing == body_framing::chunked)
    {
        out += "Transfer-Encoding: chunked\r\n";
    }
    if (use == connection_use::close)
    {
        out += "Connection: close\r\n";
    }
    if (framing != body_framing::length)
    {
        out += "\r\n";
    }
    return out;
}

std::string write_chunk(std::string_view piece)
{
    auto out = fmt::format("{:x}\r\n", piece.size());
    out += piece;
    out += "\r\n";
    return out;
}

std::string write_response(const http_response& response, connection_use use,
                           std::string_view request_method)
{
    if (!states_length(request_method, response))
    {
        return write_head(response.status, response.headers, body_framing::none,
                          use);
    }
    auto out = write_head(response.status, response.headers,
                          body_framing::length, use);
    fmt::format_to(std::back_inserter(out), "Content-Length: {}\r\n\r\n",
                   response.body.size());
    if (!has_no_body(request_method, response.status))
    {
        out += response.body;
    }
    return out;
}

std::string write_request_head(const http_request& request,
                               std::size_t body_bytes)
{
    auto out =
        fmt::format("{} {} HTTP/1.1\r\n", request.method, request.target);
    append_headers(out, request.headers);
    const bool bodyless = body_bytes == 0 && (request.method == "GET" ||
                                              request.method == "HEAD" ||
                                              request.method == "DELETE");
    if (!bodyless)
    {
        fmt::format_to(std::back_inserter(out), "Content-Length: {}\r\n",
                       body_bytes);
    }
    out += "\r\n";
    return out;
}

std::string write_request(const http_request& request)
{
    auto out = write_request_head(request, request.body.size());
    out += request.body;
    return out;
}

} // namespace hyssopdeal::transport
