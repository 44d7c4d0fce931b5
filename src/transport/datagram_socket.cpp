#include <hyssopdeal/transport/datagram_socket.hpp>

#include <array>
#include <atomic>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/ip/udp.hpp>
#include <fmt/format.h>

#include <hyssopdeal/transport/digest.hpp>
#include <hyssopdeal/transport/logging.hpp>

#include "ip_endpoint.hpp"

namespace hyssopdeal::transport
{

using asio::ip::udp;

namespace
{

constexpr std::size_t max_payload_bytes = 1'400;
constexpr std::size_t receive_buffer_bytes = 2'048;

} // namespace

struct datagram_socket::impl : std::enable_shared_from_this<impl>
{
    impl(event_loop& loop, std::string bind_address, std::uint16_t bind_port,
         std::string shared_key, handler handle)
        : socket(loop.context()),
          address(std::move(bind_address)),
          port(bind_port),
          key(std::move(shared_key)),
          on_datagram(std::move(handle))
    {}

    void receive();
    void take(std::string_view datagram);

    udp::socket socket;
    std::string address;
    std::uint16_t port;
    std::string key;
    handler on_datagram;
    udp::endpoint sender;
    std::array<char, receive_buffer_bytes> buffer{};
    std::atomic<std::uint64_t> rejected{0}; // written on the loop's thread
};

void datagram_socket::impl::receive()
{
    socket.async_receive_from(
        asio::buffer(buffer), sender,
        [self = shared_from_this()](const auto& error, std::size_t length) {
            if (!self->socket.is_open())
            {
                return;
            }
            if (!error)
            {
                self->take({self->buffer.data(), length});
            }
            self->receive();
        });
}

void datagram_socket::impl::take(std::string_view datagram)
{
    if (datagram.size() < sha256_bytes ||
        datagram.size() > max_payload_bytes + sha256_bytes)
    {
        ++rejected;
        return;
    }
    const auto payload = datagram.substr(0, datagram.size() - sha256_bytes);
    const auto mac = datagram.substr(payload.size());
    if (!same_secret(hmac_sha256(key, payload), mac))
    {
        ++rejected;
        return;
    }
    on_datagram(endpoint_text(sender), std::string{payload});
}

datagram_socket::datagram_socket(event_loop& loop, std::string address,
                                 std::uint16_t port, std::string shared_key,
                                 handler on_datagram)
    : impl_(std::make_shared<impl>(loop, std::move(address), port,
                                   std::move(shared_key),
                                   std::move(on_datagram)))
{}

datagram_socket::~datagram_socket()
{
    asio::error_code ignored;
    impl_->socket.close(ignored);
}

result<std::uint16_t> datagram_socket::start()
{
    try
    {
        const udp::endpoint endpoint{asio::ip::make_address(impl_->address),
                                     impl_->port};
        impl_->socket.open(endpoint.protocol());
        impl_->socket.bind(endpoint);
        impl_->socket.non_blocking(true);
    }
    catch (const std::exception& error)
    {
        return fail(reason::bad_settings,
                    fmt::format("Cannot bind UDP {}:{}: {}.", impl_->address,
                                impl_->port, error.what()));
    }
    impl_->receive();
    return impl_->socket.local_endpoint().port();
}

// What the socket cannot take at once is dropped, as the network may do too.
void datagram_socket::send(std::string_view to, std::string_view payload)
{
    const auto endpoint = parse_endpoint<udp::endpoint>(to);
    if (!endpoint || payload.size() > max_payload_bytes)
    {
        log_warning(log_part::peer, "Dropped a datagram. to={} bytes={}", to,
                    payload.size());
        return;
    }
    const auto mac = hmac_sha256(impl_->key, payload);
    const std::array<asio::const_buffer, 2> parts{asio::buffer(payload),
                                                  asio::buffer(mac)};
    asio::error_code ignored;
    impl_->socket.send_to(parts, *endpoint, 0, ignored);
}

std::uint64_t datagram_socket::rejected() const noexcept
{
    return impl_->rejected.load();
}

} // namespace hyssopdeal::transport
