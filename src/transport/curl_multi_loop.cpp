#include "curl_multi_loop.hpp"

#include <chrono>
#include <utility>

#include <asio/post.hpp>

namespace hyssopdeal::transport
{

namespace
{

constexpr long pooled_connections = 1'024;

} // namespace

/// A socket of libcurl's, whose readiness Asio reports. Asio does not own it.
struct curl_multi_loop::watcher
{
    watcher(asio::io_context& context, curl_socket_t socket)
        : descriptor(context, socket)
    {}

    asio::posix::stream_descriptor descriptor;
    int wanted = 0;
    bool reading = false;
    bool writing = false;
    bool removed = false;
};

curl_multi_loop::curl_multi_loop(asio::io_context& context,
                                 std::size_t max_connections,
                                 done_handler on_done)
    : context_(context),
      on_done_(std::move(on_done)),
      multi_(curl_multi_init()),
      timer_(context)
{
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &on_socket);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &on_timer);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, pooled_connections);
    curl_multi_setopt(multi_, CURLMOPT_MAX_TOTAL_CONNECTIONS,
                      static_cast<long>(max_connections));
}

curl_multi_loop::~curl_multi_loop()
{
    *alive_ = false;
    curl_multi_cleanup(multi_);
    for (auto& [socket, item] : watchers_)
    {
        item->removed = true;
        item->descriptor.release();
    }
}

void curl_multi_loop::defer(std::function<void()> action)
{
    if (inside_)
    {
        deferred_.push_back(std::move(action));
        return;
    }
    action();
}

bool curl_multi_loop::add(CURL* handle)
{
    return curl_multi_add_handle(multi_, handle) == CURLM_OK;
}

void curl_multi_loop::remove(CURL* handle)
{
    curl_multi_remove_handle(multi_, handle);
}

void curl_multi_loop::unpause(CURL* handle)
{
    const auto alive = alive_;
    inside_ = true;
    curl_easy_pause(handle, CURLPAUSE_CONT);
    inside_ = false;
    run_deferred();
    if (*alive)
    {
        collect_done();
    }
}

int curl_multi_loop::on_socket(CURL* /*handle*/, curl_socket_t socket, int what,
                               void* self, void* /*unused*/)
{
    auto& loop = *static_cast<curl_multi_loop*>(self);
    if (what == CURL_POLL_REMOVE)
    {
        loop.unwatch(socket);
    }
    else
    {
        loop.watch(socket, what);
    }
    return 0;
}

int curl_multi_loop::on_timer(CURLM* /*multi*/, long timeout_ms, void* self)
{
    static_cast<curl_multi_loop*>(self)->set_timer(timeout_ms);
    return 0;
}

void curl_multi_loop::watch(curl_socket_t socket, int what)
{
    auto& item = watchers_[socket];
    if (!item)
    {
        item = std::make_shared<watcher>(context_, socket);
    }
    item->wanted = what;
    arm(item);
}

void curl_multi_loop::unwatch(curl_socket_t socket)
{
    const auto found = watchers_.find(socket);
    if (found == watchers_.end())
    {
        return;
    }
    found->second->removed = true;
    found->second->descriptor.release();
    watchers_.erase(found);
}

void curl_multi_loop::arm(const std::shared_ptr<watcher>& item)
{
    using descriptor = asio::posix::stream_descriptor;
    const auto ready = [this, alive = alive_, item](bool watcher::*waits,
                                                    int events) {
        return [this, alive, item, waits, events](const auto& error) {
            (*item).*waits = false;
            if (error || !*alive || item->removed)
            {
                return;
            }
            act(item->descriptor.native_handle(), events);
            if (*alive && !item->removed)
            {
                arm(item);
            }
        };
    };
    if ((item->wanted & CURL_POLL_IN) != 0 && !item->reading)
    {
        item->reading = true;
        item->descriptor.async_wait(descriptor::wait_read,
                                    ready(&watcher::reading, CURL_CSELECT_IN));
    }
    if ((item->wanted & CURL_POLL_OUT) != 0 && !item->writing)
    {
        item->writing = true;
        item->descriptor.async_wait(descriptor::wait_write,
                                    ready(&watcher::writing, CURL_CSELECT_OUT));
    }
}

void curl_multi_loop::set_timer(long timeout_ms)
{
    if (timeout_ms < 0)
    {
        timer_.cancel();
        return;
    }
    timer_.expires_after(std::chrono::milliseconds{timeout_ms});
    timer_.async_wait([this, alive = alive_](const auto& error) {
        if (!error && *alive)
        {
            act(CURL_SOCKET_TIMEOUT, 0);
        }
    });
}

void curl_multi_loop::act(curl_socket_t socket, int events)
{
    const auto alive = alive_;
    int running = 0;
    inside_ = true;
    curl_multi_socket_action(multi_, socket, events, &running);
    inside_ = false;
    run_deferred();
    if (*alive)
    {
        collect_done();
    }
}

void curl_multi_loop::collect_done()
{
    const auto alive = alive_;
    int left = 0;
    while (const auto* message = curl_multi_info_read(multi_, &left))
    {
        if (message->msg != CURLMSG_DONE)
        {
            continue;
        }
        auto* const handle = message->easy_handle;
        const auto code = message->data.result;
        remove(handle);
        on_done_(handle, code);
        if (!*alive)
        {
            return;
        }
    }
}

void curl_multi_loop::run_deferred()
{
    const auto alive = alive_;
    const auto actions = std::exchange(deferred_, {});
    for (const auto& action : actions)
    {
        if (*alive)
        {
            action();
        }
    }
}

} // namespace hyssopdeal::transport
