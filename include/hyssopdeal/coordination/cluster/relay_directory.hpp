#ifndef HYSSOPDEAL_COORDINATION_CLUSTER_RELAY_DIRECTORY_HPP
#define HYSSOPDEAL_COORDINATION_CLUSTER_RELAY_DIRECTORY_HPP

/// @file
/// Chooses for each entry the other entries through which it would reach
/// servers if it could not itself. Handles a failure domain of entries that is
/// partitioned from all servers at once: each of them has helpers of its own.
/// Does no I/O.
///
/// Index: [relay_directory]

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <hyssopdeal/protocol/follow_messages.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [relay_directory] ----------------------------------------------------------

/// Runs on every replica, so that a new leader knows all entries.
class relay_directory
{
public:
    /// @param valid_for Reports older than this no longer count.
    relay_directory(std::chrono::milliseconds valid_for, std::uint64_t seed);

    /// Records what an entry reports of its relay.
    void on_report(transport::monotonic_time now,
                   const protocol::entry_report& report);

    /// @return Relays for an entry: those that it has, as far as they can still
    ///     help, and others at random. Some are in other failure domains, as a
    ///     partition often takes a whole domain.
    [[nodiscard]] std::vector<std::string>
    helpers_for(transport::monotonic_time now,
                const protocol::entry_report& report);

private:
    struct known_relay
    {
        std::string address;
        std::string failure_domain;
        bool partitioned = false;
        transport::monotonic_time reported_at{};
    };

    std::chrono::milliseconds valid_for_;
    std::mt19937_64 random_;
    std::map<std::string, known_relay> relays_; ///< By entry.
};

} // namespace hyssopdeal::coordination

#endif
