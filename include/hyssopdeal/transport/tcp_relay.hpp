#ifndef HYSSOPDEAL_TRANSPORT_TCP_RELAY_HPP
#define HYSSOPDEAL_TRANSPORT_TCP_RELAY_HPP

/// @file
/// Relays TCP connections of other instances to backend servers, by HTTP's
/// CONNECT method. An instance that cannot reach a server itself thereby keeps
/// its decisions, and the relay sees only bytes.
///
/// Index: [settings] [relay_proof] [tcp_relay]

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <hyssopdeal/transport/event_loop.hpp>
#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::transport
{

// [settings] -----------------------------------------------------------------

struct tcp_relay_settings
{
    std::string address = "127.0.0.1"; ///< IP address to listen on.
    std::uint16_t port = 0;            ///< 0: chosen by the kernel.
    std::string shared_key;            ///< The same on every instance.
    /// Address from which servers are connected to; empty: chosen by the
    /// kernel.
    std::string source_address;
    std::size_t max_connections = 512;
    /// Connections that have not proved the key; the oldest is closed for a new
    /// one. At least 1.
    std::size_t max_unproved = 128;
    std::chrono::milliseconds connect_time_limit{250}; ///< To the server.
    /// For the request that opens a relayed connection.
    std::chrono::milliseconds head_time_limit{500};
    /// As in http1_client_settings.
    std::chrono::milliseconds silence_limit{1'500};
};

// [relay_proof] --------------------------------------------------------------

/// Status of a relay's response when it does not reach the server, but others.
inline constexpr int relay_unreachable_status = 504;

/// @return The value of the Proxy-Authorization header for a target.
[[nodiscard]] std::string relay_proof(std::string_view shared_key,
                                      std::string_view target);

/// Header of an accepting response that names the start of the relay's process.
/// A relay that was killed closes its connections as its servers do, and may
/// run again before its clients look.
inline constexpr std::string_view relay_start_header = "Relay-Start";

// [tcp_relay] ----------------------------------------------------------------

/// Accepts connections on one loop. The end and the reset of either side are
/// passed on as such.
class tcp_relay
{
public:
    struct impl;
    /// Returns whether connections to an `IP:port` are relayed.
    using target_filter = std::function<bool(const std::string& target)>;
    /// Is told of each attempt to connect to an `IP:port`. Returns whether this
    /// instance reaches other servers.
    using connect_handler =
        std::function<bool(const std::string& target, bool connected)>;

    /// @param on_connect May be empty: then others are taken to be reached.
    tcp_relay(event_loop& loop, tcp_relay_settings settings,
              target_filter admits, connect_handler on_connect = {});
    tcp_relay(const tcp_relay&) = delete;
    tcp_relay& operator=(const tcp_relay&) = delete;
    ~tcp_relay();

    /// Binds and starts to accept.
    ///
    /// @return The port in use, or why the address could not be bound.
    [[nodiscard]] result<std::uint16_t> start();

    /// Refuses further connections; open ones go on.
    void drain();

    /// @return Relayed connections that are open.
    [[nodiscard]] std::size_t open_connections() const noexcept;

    /// @return Connections relayed since the start.
    [[nodiscard]] std::uint64_t relayed() const noexcept;

    /// @return Requests refused since the start, which `relay.refused` tells
    ///     of ten times a second at most.
    [[nodiscard]] std::uint64_t refused() const;

private:
    std::shared_ptr<impl> impl_;
};

} // namespace hyssopdeal::transport

#endif
