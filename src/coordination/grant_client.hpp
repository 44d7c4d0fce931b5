#ifndef HYSSOPDEAL_SRC_COORDINATION_GRANT_CLIENT_HPP
#define HYSSOPDEAL_SRC_COORDINATION_GRANT_CLIENT_HPP

/// @file
/// Internal: obtains limit grants for one shard of an entry from the control
/// leader.
///
/// Index: [grant_client]

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include <hyssopdeal/coordination/grant_holder.hpp>
#include <hyssopdeal/coordination/limiter.hpp>
#include <hyssopdeal/protocol/peer_hub.hpp>
#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/event_loop.hpp>

namespace hyssopdeal::coordination
{

// [grant_client] -------------------------------------------------------------

/// Sends one request per interval. If a replica fails or is not the leader, the
/// next request goes to the next replica. Not thread-safe; runs on the event
/// loop's thread.
class grant_client
{
public:
    /// @param node Unique per start of a shard.
    /// @param replicas Names of the control replicas; must not be empty.
    grant_client(transport::event_loop& loop, const transport::clock& clock,
                 protocol::peer_hub& peers, limiter& limits, std::string node,
                 std::vector<std::string> replicas);
    grant_client(const grant_client&) = delete;
    grant_client& operator=(const grant_client&) = delete;
    ~grant_client();

    /// Sends the first request and schedules the following ones.
    void start();

private:
    void send_request();
    void on_answer(const transport::result<std::string>& payload);

    transport::event_loop& loop_;
    const transport::clock& clock_;
    protocol::peer_hub& peers_;
    limiter& limits_;
    grant_holder holder_;
    std::vector<std::string> replicas_;
    std::size_t replica_index_ = 0; ///< Advances after a failed call.
    transport::timer_handle timer_;
};

} // namespace hyssopdeal::coordination

#endif
