#ifndef HYSSOPDEAL_SRC_COORDINATION_FLEET_DEMANDS_HPP
#define HYSSOPDEAL_SRC_COORDINATION_FLEET_DEMANDS_HPP

/// @file
/// Internal: what the services need of the fleet, and the servers that the
/// fleet adds to their declarations.
///
/// Index: [demands] [bought_servers]

#include <functional>
#include <vector>

#include <hyssopdeal/coordination/fleet_load.hpp>
#include <hyssopdeal/coordination/fleet_planner.hpp>
#include <hyssopdeal/coordination/move_runner.hpp>
#include <hyssopdeal/state/control_state.hpp>

namespace hyssopdeal::coordination
{

// [demands] ------------------------------------------------------------------

/// Adds one demand for each version of a service. While a move runs, the new
/// version needs what its next step does, and the old one all it had.
///
/// @param measured Load of the service.
/// @param wanted What running moves want of their new versions.
void add_demands(const protocol::service& service,
                 const measured_load& measured,
                 const std::vector<version_slots>& wanted,
                 const state::control_tables& tables,
                 std::vector<fleet_demand>& to);

// [bought_servers] -----------------------------------------------------------

/// Bought servers get traffic once they are declared, and lose it when they
/// are given back.
///
/// @param serves Whether a bought model engine has its version loaded.
/// @return The service's servers as they should be declared.
[[nodiscard]] std::vector<protocol::backend_server> servers_with_bought(
    const protocol::service& service, const state::control_tables& tables,
    const std::function<bool(const state::purchase_record&)>& serves);

} // namespace hyssopdeal::coordination

#endif
