#ifndef HYSSOPDEAL_STANDINS_GOSSIP_NETWORK_HPP
#define HYSSOPDEAL_STANDINS_GOSSIP_NETWORK_HPP

/// @file
/// Many membership modules joined by a queue of delayed datagrams, with a
/// manual clock and a fixed seed. Used by the tests and the benchmark.
///
/// Index: [gossip_traffic] [gossip_network]

#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include <hyssopdeal/coordination/membership.hpp>

namespace hyssopdeal::standins
{

// [gossip_traffic] -----------------------------------------------------------

/// What went over the wire.
struct gossip_traffic
{
    std::uint64_t datagrams = 0;
    std::uint64_t bytes = 0; ///< Payload, HMAC and UDP/IP headers.
};

// [gossip_network] -----------------------------------------------------------

/// Nodes named n0, n1, ... spread over failure domains d0, d1, ... in turn.
class gossip_network
{
public:
    /// Decides whether a datagram from one node to another is lost.
    using filter = std::function<bool(std::size_t from, std::size_t to)>;

    gossip_network(std::size_t nodes, std::size_t domains, std::uint64_t seed);

    /// Runs for a span of virtual time.
    void run_for(std::chrono::milliseconds span);

    /// Stops a node: it neither sends nor receives.
    void stop(std::size_t node);

    /// Starts a node again, knowing only the first node of each domain.
    void restart(std::size_t node);

    /// Loses the datagrams that a filter picks.
    void lose(filter chosen);

    /// Reports to one node what the platform says of an instance.
    void report(std::size_t node, const protocol::member_update& update);

    /// Marks a node as leaving by itself.
    void announce_leaving(std::size_t node);

    [[nodiscard]] coordination::membership& at(std::size_t node);
    [[nodiscard]] std::size_t size() const noexcept;
    [[nodiscard]] bool is_stopped(std::size_t node) const;
    [[nodiscard]] std::size_t domain_of(std::size_t node) const noexcept;
    [[nodiscard]] transport::monotonic_time now() const noexcept;
    [[nodiscard]] const gossip_traffic& traffic() const noexcept;

    /// Counts running nodes that see a name in a state or a later one.
    [[nodiscard]] std::size_t seen_by(std::string_view name,
                                      protocol::member_state state);

private:
    struct datagram
    {
        transport::monotonic_time arrives;
        std::uint64_t order = 0;
        std::size_t from = 0;
        std::size_t to = 0;
        std::string bytes;

        bool operator>(const datagram& other) const noexcept
        {
            return arrives != other.arrives ? arrives > other.arrives
                                            : order > other.order;
        }
    };

    [[nodiscard]] protocol::member_update entry_of(std::size_t node,
                                                   std::uint64_t incarnation);
    void start(std::size_t node,
               const std::vector<protocol::member_update>& seeds);
    void send(std::size_t from, const coordination::membership_actions& made);
    void deliver(const datagram& arrived);

    std::size_t domains_;
    std::mt19937_64 random_;
    transport::monotonic_time now_{std::chrono::hours{1}};
    std::vector<coordination::membership> nodes_;
    std::vector<bool> stopped_;
    std::vector<transport::monotonic_time> due_;
    std::priority_queue<datagram, std::vector<datagram>, std::greater<>>
        in_flight_;
    std::uint64_t order_ = 0;
    filter lost_;
    gossip_traffic traffic_;
};

} // namespace hyssopdeal::standins

#endif
