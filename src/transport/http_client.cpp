#include <hyssopdeal/transport/http_client.hpp>

#include <utility>

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>

#include "curl_call.hpp"
#include "ip_endpoint.hpp"

namespace hyssopdeal::transport
{

namespace
{

// No names are resolved: only IP numbers reach libcurl.
bool is_ip_and_port(std::string_view address)
{
    return parse_endpoint<asio::ip::tcp::endpoint>(address).has_value();
}

} // namespace

// [http_call] ----------------------------------------------------------------

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
        // Handlers keep whoever keeps their call: with the client's end none is
        // called any more.
        const auto ended = std::exchange(running, {});
        for (const auto& call : ended)
        {
            loop.remove(call->easy.get());
            call->loop = nullptr;
            call->handlers.reset();
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
    call->handlers = std::make_shared<http_call_handlers>(std::move(handlers));
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
    handlers.on_end = [answer,
                       proves_end = settings.proves_end](http_call_end end) {
        if (!end.complete)
        {
            return answer->on_answer(tl::make_unexpected(std::move(end.error)));
        }
        if (end.ended_by_close && !proves_end(answer->response))
        {
            return answer->on_answer(
                fail(reason::connection_lost,
                     "The answer had no length and its connection closed.",
                     verdict::may_have_run));
        }
        answer->on_answer(std::move(answer->response));
    };
    return start(address, request, settings, std::move(handlers));
}

} // namespace hyssopdeal::transport
