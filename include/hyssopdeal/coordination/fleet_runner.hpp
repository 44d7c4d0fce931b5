#ifndef HYSSOPDEAL_COORDINATION_FLEET_RUNNER_HPP
#define HYSSOPDEAL_COORDINATION_FLEET_RUNNER_HPP

/// @file
/// Carries out the fleet planner's decisions on the control leader: talks to
/// the cloud API and the instance list, and keeps the declared servers of the
/// services in step with what was bought.
///
/// Index: [settings] [fleet_runner]

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <hyssopdeal/coordination/control_node.hpp>
#include <hyssopdeal/coordination/drain_backend.hpp>
#include <hyssopdeal/coordination/fleet_planner.hpp>
#include <hyssopdeal/coordination/instance_watch.hpp>
#include <hyssopdeal/coordination/move_runner.hpp>
#include <hyssopdeal/protocol/settings_reader.hpp>
#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/event_loop.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

/// Addresses and times.
struct fleet_runner_settings
{
    std::string cloud;                 ///< `IP:port`; empty: nothing is bought.
    std::string instance_list;         ///< `IP:port`; empty: none is read.
    std::vector<std::string> services; ///< Scaled ones; the others are not.
    std::chrono::milliseconds tick{1'000};          ///< Between decisions.
    std::chrono::milliseconds notice_interval{500}; ///< Between readings.
    std::chrono::milliseconds list_interval{5'000}; ///< Of slow lists.
    std::chrono::milliseconds call_limit{2'000};    ///< Of one call.
    fleet_settings fleet;
    drain_backend_settings drain;
};

/// Binds the members that operators set.
void describe(protocol::settings_fields& fields, fleet_runner_settings& value);

// [fleet_runner] -------------------------------------------------------------

/// What others hear of the platform. Called on the loop's thread.
struct fleet_handlers
{
    /// A reclaim notice came for an instance.
    std::function<void(const std::string& instance)> on_notice;
    /// The instance list was read.
    std::function<void(const std::vector<listed_instance>&)> on_list;
};

/// Runs on every control replica: lists and notices are read by all, bought
/// and given back is by the leader. Used on the loop's thread.
class fleet_runner
{
public:
    fleet_runner(transport::event_loop& loop, const transport::clock& clock,
                 control_node& node, const move_runner& moves,
                 fleet_runner_settings settings, fleet_handlers handlers = {});
    fleet_runner(const fleet_runner&) = delete;
    fleet_runner& operator=(const fleet_runner&) = delete;
    ~fleet_runner();

    /// Starts to read and to decide.
    void start();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::coordination

#endif
