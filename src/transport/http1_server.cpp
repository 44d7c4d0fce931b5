/// @file
/// HTTP/1.1 server that reads while it answers: accepts connections.

#include <hyssopdeal/transport/http1_server.hpp>

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "transport/http1_connection.hpp"
#include "transport/ip_endpoint.hpp"
#include "transport/socket_options.hpp"

namespace hyssopdeal::transport
{

using asio::ip::tcp;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds accept_retry_pause{100};

/// Closes the connection that has waited longest for a whole request, if there
/// is one that may be closed for another.
void make_room(server_impl& server)
{
    std::shared_ptr<server_connection> longest;
    for (const auto& one : server.connections)
    {
        if (one->replaceable(server.settings.replaced) &&
            (!longest ||
             std::pair{!one->idle(), one->waits_since()} <
                 std::pair{!longest->idle(), longest->waits_since()}))
        {
            longest = one;
        }
    }
    if (longest)
    {
        longest->close(close_cause::replaced);
    }
}

/// Accepts until the server stops.
void accept_next(const std::shared_ptr<server_impl>& server)
{
    server->acceptor.async_accept([server](const auto& error,
                                           tcp::socket socket) {
        if (!server->acceptor.is_open())
        {
            return;
        }
        if (!error)
        {
            if (server->connections.size() >= server->settings.max_connections)
            {
                make_room(*server);
            }
            if (server->connections.size() < server->settings.max_connections)
            {
                auto made = std::make_shared<server_connection>(
                    *server, std::move(socket));
                server->connections.insert(made);
                made->start();
            }
            return accept_next(server);
        }
        // No file handle is left, for example: try again a little later.
        server->accept_pause.expires_after(accept_retry_pause);
        server->accept_pause.async_wait([server](const auto& stopped) {
            if (!stopped && server->acceptor.is_open())
            {
                accept_next(server);
            }
        });
    });
}

} // namespace

// [settings] -----------------------------------------------------------------

http1_server_settings for_probes(http1_server_settings settings)
{
    constexpr std::size_t max_connections = 64;
    constexpr std::size_t max_body_bytes = 16'384;
    settings.max_connections = max_connections;
    settings.replaced = replaced_connection::unhanded;
    settings.limits.max_body_bytes = max_body_bytes;
    return settings;
}

// [http1_server] -------------------------------------------------------------

http1_server::http1_server(event_loop& loop, const clock& time,
                           http1_server_settings settings, handler on_request)
    : impl_(std::make_shared<impl>(loop, time, std::move(settings),
                                   std::move(on_request)))
{}

http1_server::~http1_server()
{
    asio::error_code ignored;
    impl_->acceptor.close(ignored);
    impl_->accept_pause.cancel();
    const auto open = std::exchange(impl_->connections, {});
    for (const auto& connection : open)
    {
        connection->orphan();
    }
}

result<std::uint16_t> http1_server::start()
{
    asio::error_code error;
    auto& acceptor = impl_->acceptor;
    listen_on(acceptor, impl_->settings.address, impl_->settings.port, error);
    if (error)
    {
        return fail(reason::bad_settings,
                    fmt::format("Cannot listen on {}:{}: {}.",
                                impl_->settings.address, impl_->settings.port,
                                error.message()));
    }
    accept_next(impl_);
    return acceptor.local_endpoint(error).port();
}

void http1_server::set_limits(const http1_caller_limits& limits)
{
    impl_->settings.limits = limits;
}

void http1_server::drain()
{
    impl_->draining = true;
}

void http1_server::stop_accepting()
{
    impl_->draining = true;
    asio::error_code ignored;
    impl_->acceptor.close(ignored);
    const auto open = impl_->connections;
    for (const auto& connection : open)
    {
        if (connection->idle())
        {
            connection->close(close_cause::stop);
        }
    }
}

std::size_t http1_server::open_connections() const noexcept
{
    return impl_->connections.size();
}

std::size_t http1_server::open_requests() const noexcept
{
    return impl_->open_requests;
}

std::size_t http1_server::busy_connections() const noexcept
{
    const auto& all = impl_->connections;
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(),
                      [](const auto& item) { return !item->idle(); }));
}

} // namespace hyssopdeal::transport
