#include <hyssopdeal/transport/http_client.hpp>

#include <algorithm>
#include <unordered_set>
#include <utility>

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <fmt/format.h>

#include "curl_multi_loop.hpp"
#include "ip_endpoint.hpp"

namespace hyssopdeal::transport
{

namespace
{

constexpr std::size_t max_head_bytes = 65'536;

struct slist_deleter
{
    void operator()(curl_slist* list) const noexcept
    {
        curl_slist_free_all(list);
    }
};

struct easy_deleter
{
    void operator()(CURL* handle) const noexcept
    {
        curl_easy_cleanup(handle);
    }
};

using slist_ptr = std::unique_ptr<curl_slist, slist_deleter>;
using easy_ptr = std::unique_ptr<CURL, easy_deleter>;

// No names are resolved: only IP numbers reach libcurl.
bool is_ip_and_port(std::string_view address)
{
    return parse_endpoint<asio::ip::tcp::endpoint>(address).has_value();
}

bool has_control_characters(std::string_view text) noexcept
{
    return std::any_of(text.begin(), text.end(), [](unsigned char letter) {
        return (letter < 0x20 && letter != '\t') || letter == 0x7f;
    });
}

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

// [http_call] ----------------------------------------------------------------

struct http_call::impl : std::enable_shared_from_this<http_call::impl>
{
    curl_multi_loop* loop = nullptr; // emptied at the end of the call
    std::unordered_set<std::shared_ptr<impl>>* running = nullptr;
    http_call_settings settings;
    http_call_handlers handlers;
    easy_ptr easy;
    slist_ptr lines;
    std::string body;
    std::vector<http_header> head;
    std::size_t head_bytes = 0;
    std::size_t body_bytes = 0;
    int status = 0;
    int dispatches = 0; // times that libcurl was about to send the request
    bool cancelled = false;
    bool pauses = false;
    reason stopped_by = reason::internal; // why a callback ended the transfer

    void configure(std::string_view address, const http_request& request);
    void start();
    void cancel();
    void finish(CURLcode code);
    void report(http_call_end end);
    [[nodiscard]] failure failure_for(CURLcode code) const;

    std::size_t take_header(std::string_view line);
    std::size_t take_data(std::string_view piece);

    static std::size_t on_header(char* data, std::size_t size,
                                 std::size_t count, void* self);
    static std::size_t on_data(char* data, std::size_t size, std::size_t count,
                               void* self);
    static int before_request(void* self, char* remote_ip, char* local_ip,
                              int remote_port, int local_port);
};

void http_call::impl::configure(std::string_view address,
                                const http_request& request)
{
    auto* const handle = easy.get();
    body = request.body;
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
    curl_easy_setopt(handle, CURLOPT_NOBODY,
                     request.method == "HEAD" ? 1L : 0L);
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

std::size_t http_call::impl::take_header(std::string_view line)
{
    head_bytes += line.size();
    if (cancelled || head_bytes > max_head_bytes)
    {
        stopped_by = reason::too_large;
        return 0;
    }
    if (line.starts_with("HTTP/"))
    {
        head.clear();
        return line.size();
    }
    const auto text = trim(line);
    if (!text.empty())
    {
        const auto colon = text.find(':');
        if (colon != std::string_view::npos && status == 0)
        {
            head.push_back({std::string{text.substr(0, colon)},
                            std::string{trim(text.substr(colon + 1))}});
        }
        return line.size();
    }
    long code = 0;
    curl_easy_getinfo(easy.get(), CURLINFO_RESPONSE_CODE, &code);
    if (code >= 200 && status == 0)
    {
        status = static_cast<int>(code);
        const auto keep = shared_from_this();
        if (handlers.on_head)
        {
            handlers.on_head(status, head);
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
    if (handlers.on_data)
    {
        handlers.on_data(piece);
    }
    return cancelled ? 0 : piece.size();
}

failure http_call::impl::failure_for(CURLcode code) const
{
    const auto ran = dispatches == 0 ? verdict::not_run : verdict::may_have_run;
    if (stopped_by != reason::internal)
    {
        return {ran, stopped_by,
                stopped_by == reason::too_large
                    ? "The answer is too large."
                    : "The connection broke before the answer."};
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

void http_call::impl::finish(CURLcode code)
{
    http_call_end end;
    end.status = status;
    end.complete = code == CURLE_OK && status != 0;
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
    const auto called = std::exchange(handlers, {});
    if (!cancelled && called.on_end)
    {
        called.on_end(std::move(end));
    }
}

http_call::http_call() noexcept = default;

http_call::http_call(std::shared_ptr<impl> state) noexcept
    : state_(std::move(state))
{}

http_call::http_call(http_call&&) noexcept = default;

http_call& http_call::operator=(http_call&& other) noexcept
{
    cancel();
    state_ = std::move(other.state_);
    return *this;
}

http_call::~http_call()
{
    cancel();
}

void http_call::cancel() noexcept
{
    if (const auto state = std::exchange(state_, nullptr))
    {
        state->cancel();
    }
}

void http_call::pause() noexcept
{
    if (state_)
    {
        state_->pauses = true;
    }
}

void http_call::resume() noexcept
{
    if (!state_ || !state_->pauses || state_->loop == nullptr)
    {
        return;
    }
    state_->pauses = false;
    state_->loop->defer([state = state_] {
        if (state->loop != nullptr && !state->pauses)
        {
            state->loop->unpause(state->easy.get());
        }
    });
}

// [http_client] --------------------------------------------------------------

struct http_client::impl
{
    impl(event_loop& on_loop, std::size_t max_connections)
        : context(on_loop.context()),
          loop(context, max_connections, [](CURL* handle, CURLcode code) {
              void* call = nullptr;
              curl_easy_getinfo(handle, CURLINFO_PRIVATE, &call);
              static_cast<http_call::impl*>(call)->finish(code);
          })
    {}

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    ~impl()
    {
        for (const auto& call : running)
        {
            loop.remove(call->easy.get());
            call->loop = nullptr;
        }
    }

    asio::io_context& context;
    curl_multi_loop loop;
    std::unordered_set<std::shared_ptr<http_call::impl>> running;
};

http_client::http_client(event_loop& loop, std::size_t max_connections)
    : impl_(std::make_unique<impl>(loop, max_connections))
{}

http_client::~http_client() = default;

http_call http_client::start(std::string_view address,
                             const http_request& request,
                             const http_call_settings& settings,
                             http_call_handlers handlers)
{
    auto call = std::make_shared<http_call::impl>();
    call->running = &impl_->running;
    call->settings = settings;
    call->handlers = std::move(handlers);
    call->easy.reset(curl_easy_init());
    call->loop = &impl_->loop;
    impl_->running.insert(call);
    if (!is_ip_and_port(address) || !is_sendable(request))
    {
        asio::post(impl_->context, [call] {
            if (call->loop != nullptr)
            {
                call->report({0,
                              false,
                              {verdict::not_run, reason::bad_request,
                               "The address or request cannot be sent."}});
            }
        });
        return http_call{std::move(call)};
    }
    call->configure(address, request);
    impl_->loop.defer([call] { call->start(); });
    return http_call{std::move(call)};
}

namespace
{

/// An answer that is being collected.
struct collected_answer
{
    http_response response;
    std::function<void(result<http_response>)> on_answer;
};

} // namespace

http_call
http_client::fetch(std::string_view address, const http_request& request,
                   const http_call_settings& settings,
                   std::function<void(result<http_response>)> on_answer)
{
    auto answer = std::make_shared<collected_answer>();
    answer->on_answer = std::move(on_answer);
    http_call_handlers handlers;
    handlers.on_head = [answer](int status,
                                const std::vector<http_header>& headers) {
        answer->response.status = status;
        answer->response.headers = headers;
    };
    handlers.on_data = [answer](std::string_view piece) {
        answer->response.body += piece;
    };
    handlers.on_end = [answer](http_call_end end) {
        if (end.complete)
        {
            answer->on_answer(std::move(answer->response));
            return;
        }
        answer->on_answer(tl::make_unexpected(std::move(end.error)));
    };
    return start(address, request, settings, std::move(handlers));
}

} // namespace hyssopdeal::transport
