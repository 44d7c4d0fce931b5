#ifndef HYSSOPDEAL_SRC_COORDINATION_GRANT_CLIENT_HPP
#define HYSSOPDEAL_SRC_COORDINATION_GRANT_CLIENT_HPP

/// @file
/// Internal: gets limit grants for one shard of an entry from the control
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

/// Asks once an interval, one replica after the other until one leads. Used on
/// the loop's thread.
class grant_client
{
public:
    /// @param node Unique for each start of a shard.
    /// @param replicas Names of the control replicas; not empty.
    grant_client(transport::event_loop& loop, const transport::clock& clock,
                 protocol::peer_hub& peers, limiter& limits, std::string node,
                 std::vector<std::string> replicas);
    grant_client(const grant_client&) = delete;
    grant_client& operator=(const grant_client&) = delete;
    ~grant_client();

    /// Asks now and from then on.
    void start();

private:
    void ask();
    void on_answer(const transport::result<std::string>& payload);

    transport::event_loop& loop_;
    const transport::clock& clock_;
    protocol::peer_hub& peers_;
    limiter& limits_;
    grant_holder holder_;
    std::vector<std::string> replicas_;
    std::size_t asked_ = 0; ///< Position of the replica asked last.
    transport::timer_handle timer_;
};

} // namespace hyssopdeal::coordination

#endif
