#include "loop_helper.hpp"

#include <atomic>
#include <thread>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

namespace hyssopdeal::tests
{

namespace
{

constexpr std::chrono::milliseconds slice{2};
constexpr std::chrono::seconds raw_time_limit{5};

std::string exchange(std::uint16_t port, std::string bytes, after_sending then)
{
    using asio::ip::tcp;
    asio::io_context context;
    tcp::socket socket{context};
    asio::error_code error;
    socket.connect({asio::ip::address_v4::loopback(), port}, error);
    asio::write(socket, asio::buffer(bytes), error);
    if (then == after_sending::half_close)
    {
        socket.shutdown(tcp::socket::shutdown_send, error);
    }
    std::string received;
    asio::async_read(socket, asio::dynamic_buffer(received),
                     [](const auto&, std::size_t) {});
    context.run_for(raw_time_limit);
    return received;
}

} // namespace

bool run_until(transport::event_loop& loop, const std::function<bool()>& holds,
               std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!holds())
    {
        if (std::chrono::steady_clock::now() > end)
        {
            return false;
        }
        loop.run_for(slice);
    }
    return true;
}

std::string raw_exchange(transport::event_loop& loop, std::uint16_t port,
                         std::string_view bytes, after_sending then)
{
    std::atomic<bool> done{false};
    std::string received;
    std::thread client{[&, copy = std::string{bytes}] {
        received = exchange(port, copy, then);
        done.store(true);
    }};
    run_until(loop, [&] { return done.load(); });
    client.join();
    return received;
}

} // namespace hyssopdeal::tests
