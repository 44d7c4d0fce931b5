#ifndef HYSSOPDEAL_SRC_TRANSPORT_SOCKET_OPTIONS_HPP
#define HYSSOPDEAL_SRC_TRANSPORT_SOCKET_OPTIONS_HPP

/// @file
/// Internal: socket options that Asio has no names for.
///
/// Index: [silence] [source_address] [listening] [unread]

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <asio/ip/address.hpp>
#include <asio/ip/tcp.hpp>

namespace hyssopdeal::transport
{

// [silence] ------------------------------------------------------------------

/// Sends small pieces at once and ends a connection whose other side has gone
/// silent: neither acknowledges what was sent nor answers probes. A machine
/// without power or behind a partition never closes its connections.
///
/// @param limit About how long silence is borne; whole seconds for probes.
inline void limit_silence(asio::ip::tcp::socket& socket,
                          std::chrono::milliseconds limit)
{
    const int descriptor = socket.native_handle();
    const auto set = [descriptor](int level, int option, int value) {
        // A socket that refuses an option still works, only slower to notice.
        (void)::setsockopt(descriptor, level, option, &value, sizeof(value));
    };
    const auto whole = std::chrono::ceil<std::chrono::seconds>(limit / 2);
    const int seconds = std::max(1, static_cast<int>(whole.count()));
    set(IPPROTO_TCP, TCP_NODELAY, 1);
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, seconds);
    set(IPPROTO_TCP, TCP_KEEPINTVL, seconds);
    set(IPPROTO_TCP, TCP_KEEPCNT, 1);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(limit.count()));
}

// [source_address] -----------------------------------------------------------

/// Opens a socket that connects from an address of this instance.
///
/// @param source IP address; empty: chosen by the kernel.
inline void open_from(asio::ip::tcp::socket& socket,
                      const asio::ip::tcp& protocol, const std::string& source,
                      asio::error_code& error)
{
    socket.open(protocol, error);
    if (error || source.empty())
    {
        return;
    }
    const auto address = asio::ip::make_address(source, error);
    if (!error)
    {
        socket.bind({address, 0}, error);
    }
}

// [listening] ----------------------------------------------------------------

/// Binds an acceptor and starts to listen.
///
/// @param address IP address.
inline void listen_on(asio::ip::tcp::acceptor& acceptor,
                      const std::string& address, std::uint16_t port,
                      asio::error_code& error)
{
    const auto number = asio::ip::make_address(address, error);
    const asio::ip::tcp::endpoint endpoint{number, port};
    if (!error)
    {
        acceptor.open(endpoint.protocol(), error);
    }
    if (!error)
    {
        acceptor.set_option(asio::ip::tcp::acceptor::reuse_address{true},
                            error);
    }
    if (!error)
    {
        acceptor.bind(endpoint, error);
    }
    if (!error)
    {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
}

// [unread] -------------------------------------------------------------------

/// @return Bytes that were sent and that the other side has not acknowledged.
inline std::size_t unacknowledged_bytes(asio::ip::tcp::socket& socket)
{
    int bytes = 0;
    const bool known =
        ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
    return known ? static_cast<std::size_t>(bytes) : 0;
}

} // namespace hyssopdeal::transport

#endif
