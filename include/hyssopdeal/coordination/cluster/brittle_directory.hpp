#ifndef HYSSOPDEAL_COORDINATION_CLUSTER_BRITTLE_DIRECTORY_HPP
#define HYSSOPDEAL_COORDINATION_CLUSTER_BRITTLE_DIRECTORY_HPP

/// @file
/// Remembers which services have brittle servers, from the reports of all
/// entries. Handles a burst that reaches an entry which had no response of
/// these servers lately. Does no I/O.
///
/// Index: [brittle_directory]

#include <map>
#include <string>

#include <hyssopdeal/protocol/follow_messages.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [brittle_directory] --------------------------------------------------------

/// Runs on every replica, so that a new leader knows the services.
class brittle_directory
{
public:
    /// Merges what an entry reports. Negative ages count as 0.
    void on_report(transport::monotonic_time now,
                   const protocol::brittle_services& reported);

    /// @return The services of which a server said lately that it is brittle.
    [[nodiscard]] protocol::brittle_services
    services(transport::monotonic_time now);

private:
    struct statement
    {
        double rejections_per_s = 0;
        transport::monotonic_time said_at{};
    };

    std::map<std::string, statement> statements_; ///< By service.
};

} // namespace hyssopdeal::coordination

#endif
