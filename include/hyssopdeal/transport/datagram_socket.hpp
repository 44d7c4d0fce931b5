#ifndef HYSSOPDEAL_TRANSPORT_DATAGRAM_SOCKET_HPP
#define HYSSOPDEAL_TRANSPORT_DATAGRAM_SOCKET_HPP

/// @file
/// UDP datagrams between hyssopdeal's own processes, each closed by an HMAC
/// over its bytes with the shared key; others are dropped and counted.
///
/// Index: [datagram_socket]

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <hyssopdeal/transport/event_loop.hpp>
#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::transport
{

// [datagram_socket] ----------------------------------------------------------

/// Sends and receives authenticated datagrams on one loop.
class datagram_socket
{
public:
    /// Gets the sender's `IP:port` and the payload.
    using handler = std::function<void(std::string from, std::string payload)>;

    /// @param address IP number to bind.
    /// @param port 0: the kernel picks one.
    /// @param shared_key Same on every process.
    datagram_socket(event_loop& loop, std::string address, std::uint16_t port,
                    std::string shared_key, handler on_datagram);
    datagram_socket(const datagram_socket&) = delete;
    datagram_socket& operator=(const datagram_socket&) = delete;
    ~datagram_socket();

    /// Binds and starts to receive.
    ///
    /// @return The port in use, or why the address could not be bound.
    [[nodiscard]] result<std::uint16_t> start();

    /// Sends one datagram of at most 1,400 bytes with its HMAC.
    ///
    /// @param to `IP:port`.
    void send(std::string_view to, std::string_view payload);

    /// @return Datagrams dropped because their HMAC was wrong.
    [[nodiscard]] std::uint64_t rejected() const noexcept;

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace hyssopdeal::transport

#endif
