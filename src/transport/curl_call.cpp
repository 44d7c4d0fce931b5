#include "curl_call.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "transport/head_check.hpp"

namespace hyssopdeal::transport
{

namespace
{

constexpr std::size_t max_head_bytes = 65'536;

bool is_set_by_client(std::string_view name) noexcept
{
    return same_header_name(name, "Host") ||
           same_header_name(name, "Connection") ||
           same_header_name(name, "Content-Length") ||
           same_header_name(name, "Transfer-Encoding") ||
           same_header_name(name, "Expect");
}

void append_line(slist_ptr& list, const std::string& line)
{
    auto* const longer = curl_slist_append(list.get(), line.c_str());
    if (longer != nullptr)
    {
        static_cast<void>(list.release());
        list.reset(longer);
    }
}

// A line that ends in a colon keeps libcurl from sending its own header.
slist_ptr header_lines(const http_request& request)
{
    slist_ptr list;
    append_line(list, "Expect:");
    for (const auto* name : {"Accept", "Content-Type"})
    {
        if (find_header(request.headers, name).empty())
        {
            append_line(list, fmt::format("{}:", name));
        }
    }
    for (const auto& header : request.headers)
    {
        if (!is_set_by_client(header.name))
        {
            append_line(list, header.value.empty()
                                  ? header.name + ";"
                                  : header.name + ": " + header.value);
        }
    }
    return list;
}

std::string_view trim(std::string_view text) noexcept
{
    const auto first = text.find_first_not_of(" \t\r\n");
    const auto last = text.find_last_not_of(" \t\r\n");
    return first == std::string_view::npos
               ? std::string_view{}
               : text.substr(first, last - first + 1);
}

} // namespace

bool is_sendable(const http_request& request) noexcept
{
    if (!request.target.starts_with('/') ||
        has_control_characters(request.target) ||
        has_control_characters(request.method))
    {
        return false;
    }
    return std::none_of(request.headers.begin(), request.headers.end(),
                        [](const auto& header) {
                            return has_control_characters(header.name) ||
                                   has_control_characters(header.value);
                        });
}

void http_call::impl::configure(std::string_view address,
                                const http_request& request)
{
    auto* const handle = easy.get();
    if (!settings.body)
    {
        settings.body = std::make_shared<const std::string>(request.body);
    }
    const auto& body = *settings.body;
    bodyless_method = request.method == "HEAD";
    lines = header_lines(request);
    const auto url = fmt::format("http://{}{}", address, request.target);
    curl_easy_setopt(handle, CURLOPT_PRIVATE, this);
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION,
                     static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(settings.connect_time_limit.count()));
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(settings.total_time_limit.count()));
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT,
                     settings.connection == connection_choice::fresh ? 1L : 0L);
    if (!body.empty() || request.method == "POST" || request.method == "PUT")
    {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, body.data());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(body.size()));
    }
    curl_easy_setopt(handle, CURLOPT_NOBODY, bodyless_method ? 1L : 0L);
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, lines.get());
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &on_header);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &on_data);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &before_request);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, this);
}

void http_call::impl::start()
{
    if (cancelled || loop == nullptr)
    {
        return;
    }
    if (!loop->add(easy.get()))
    {
        finish(CURLE_FAILED_INIT);
    }
}

void http_call::impl::cancel()
{
    cancelled = true;
    // They keep their owner, which keeps this call.
    handlers.reset();
    if (loop == nullptr)
    {
        return;
    }
    loop->defer([self = shared_from_this()] {
        if (self->loop != nullptr)
        {
            self->loop->remove(self->easy.get());
            self->loop = nullptr;
            self->running->erase(self);
        }
    });
}

// libcurl sends a request a second time, on a new connection, when a reused
// one breaks before the answer. Whether a request may be sent again is not
// libcurl's to decide.
int http_call::impl::before_request(void* self, char* /*remote_ip*/,
                                    char* /*local_ip*/, int /*remote_port*/,
                                    int /*local_port*/)
{
    auto& call = *static_cast<impl*>(self);
    if (call.cancelled)
    {
        return CURL_PREREQFUNC_ABORT;
    }
    ++call.dispatches;
    if (call.dispatches > 1)
    {
        call.stopped_by = reason::connection_lost;
        return CURL_PREREQFUNC_ABORT;
    }
    return CURL_PREREQFUNC_OK;
}

std::size_t http_call::impl::on_header(char* data, std::size_t size,
                                       std::size_t count, void* self)
{
    return static_cast<impl*>(self)->take_header({data, size * count});
}

std::size_t http_call::impl::on_data(char* data, std::size_t size,
                                     std::size_t count, void* self)
{
    return static_cast<impl*>(self)->take_data({data, size * count});
}

/// @return Whether it is a header, or goes on with the one before.
bool http_call::impl::add_header(std::string_view line)
{
    const auto text = trim(line);
    if (has_control_characters(text))
    {
        return false;
    }
    const bool continues = line.front() == ' ' || line.front() == '\t';
    if (continues)
    {
        if (head.empty())
        {
            return false;
        }
        head.back().value.append(" ").append(text);
        return true;
    }
    const auto colon = text.find(':');
    if (colon == std::string_view::npos)
    {
        return false;
    }
    head.push_back({std::string{text.substr(0, colon)},
                    std::string{trim(text.substr(colon + 1))}});
    return true;
}

/// @return What tells libcurl to end the transfer.
std::size_t http_call::impl::reject_head()
{
    stopped_by = reason::broken_answer;
    return 0;
}

std::size_t http_call::impl::take_header(std::string_view line)
{
    head_bytes += line.size();
    if (cancelled || head_bytes > max_head_bytes)
    {
        stopped_by = reason::too_large;
        return 0;
    }
    if (!in_head && status == 0)
    {
        in_head = true; // the status line
        head.clear();
        return line.size();
    }
    const auto text = trim(line);
    if (!text.empty())
    {
        // Trailers come after the head was judged, so none of them counts.
        return status != 0 || add_header(line) ? line.size() : reject_head();
    }
    in_head = false;
    long code = 0;
    curl_easy_getinfo(easy.get(), CURLINFO_RESPONSE_CODE, &code);
    if (!is_expected_status(static_cast<int>(code)) || !has_clear_framing(head))
    {
        return reject_head();
    }
    if (code >= 200 && status == 0)
    {
        status = static_cast<int>(code);
        const auto keep = shared_from_this();
        const auto called = handlers;
        if (called && called->on_head)
        {
            called->on_head(status, head);
        }
    }
    return line.size();
}

std::size_t http_call::impl::take_data(std::string_view piece)
{
    if (cancelled)
    {
        return 0;
    }
    if (pauses)
    {
        return CURL_WRITEFUNC_PAUSE;
    }
    body_bytes += piece.size();
    if (body_bytes > settings.max_body_bytes)
    {
        stopped_by = reason::too_large;
        return 0;
    }
    const auto keep = shared_from_this();
    const auto called = handlers;
    if (called && called->on_data)
    {
        called->on_data(piece);
    }
    return cancelled ? 0 : piece.size();
}

failure http_call::impl::failure_for(CURLcode code) const
{
    const auto ran = dispatches == 0 ? verdict::not_run : verdict::may_have_run;
    switch (stopped_by)
    {
    case reason::internal:
        break;
    case reason::too_large:
        return {ran, stopped_by, "The answer is too large."};
    case reason::broken_answer:
        return {ran, stopped_by, "The answer is not valid HTTP."};
    default:
        return {ran, stopped_by, "The connection broke before the answer."};
    }
    switch (code)
    {
    case CURLE_OPERATION_TIMEDOUT:
        return {ran, reason::timed_out, "No whole answer in time."};
    case CURLE_COULDNT_CONNECT:
        return {ran, reason::connect_failed, "No connection."};
    case CURLE_SEND_ERROR:
    case CURLE_RECV_ERROR:
    case CURLE_GOT_NOTHING:
    case CURLE_PARTIAL_FILE:
        return {ran, reason::connection_lost,
                "The connection broke before the end of the answer."};
    case CURLE_UNSUPPORTED_PROTOCOL:
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_BAD_CONTENT_ENCODING:
        return {ran, reason::broken_answer, "The answer is not valid HTTP."};
    default:
        return {ran,
                dispatches == 0 ? reason::connect_failed
                                : reason::broken_answer,
                curl_easy_strerror(code)};
    }
}

/// @return Whether a complete answer had no other end than its connection's,
///     which libcurl does not tell.
bool http_call::impl::ended_by_close() const
{
    curl_off_t length = -1;
    curl_easy_getinfo(easy.get(), CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
    const bool has_chunks = !find_header(head, "Transfer-Encoding").empty();
    return length < 0 && !has_chunks &&
           !has_no_body(bodyless_method ? "HEAD" : "", status);
}

void http_call::impl::finish(CURLcode code)
{
    http_call_end end;
    end.status = status;
    end.complete = code == CURLE_OK && status != 0;
    end.ended_by_close = end.complete && ended_by_close();
    if (!end.complete)
    {
        end.error = failure_for(code);
    }
    report(std::move(end));
}

void http_call::impl::report(http_call_end end)
{
    const auto keep = shared_from_this();
    loop = nullptr;
    running->erase(keep);
    settings.body.reset();
    const auto called = std::exchange(handlers, nullptr);
    if (!cancelled && called && called->on_end)
    {
        called->on_end(std::move(end));
    }
}

} // namespace hyssopdeal::transport
