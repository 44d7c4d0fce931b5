#ifndef HYSSOPDEAL_TRANSPORT_UNPROVED_CONNECTIONS_HPP
#define HYSSOPDEAL_TRANSPORT_UNPROVED_CONNECTIONS_HPP

/// @file
/// Bounds the accepted connections that have not proved the shared key. Anyone
/// may connect to the ports of peers and relays.
///
/// Index: [unproved_connections]

#include <cstddef>
#include <deque>
#include <memory>
#include <vector>

namespace hyssopdeal::transport
{

// [unproved_connections] -----------------------------------------------------

/// Connections, oldest first.
template <class Connection>
using unproved_connections = std::deque<std::weak_ptr<Connection>>;

/// Makes room for a new connection by closing the oldest: a proof takes much
/// less than its time limit.
///
/// @param most Connections with the new one; at least 1.
/// @param settled Returns whether a connection has closed or proved the key.
/// @param close Closes a connection.
template <class Connection, class Settled, class Close>
void make_room_for_unproved(unproved_connections<Connection>& all,
                            std::size_t most, Settled settled, Close close)
{
    std::erase_if(all, [&](const auto& item) {
        const auto one = item.lock();
        return !one || settled(*one);
    });
    if (all.size() >= most)
    {
        const auto oldest = all.front().lock();
        all.pop_front();
        close(*oldest);
    }
}

} // namespace hyssopdeal::transport

#endif
