#ifndef HYSSOPDEAL_COORDINATION_EVACUATION_EVACUATION_ORDERS_HPP
#define HYSSOPDEAL_COORDINATION_EVACUATION_EVACUATION_ORDERS_HPP

/// @file
/// Orders to evacuate a failure domain in the replicated control state: which
/// domains may be named, which are evacuated, and whether a service has servers
/// there. Performs no I/O.
///
/// Index: [domains] [orders] [servers]
///
/// Entries take the orders in by log index, with all other declarations, so that
/// a replica that lags behind cannot revert one.

#include <string>
#include <vector>

#include <hyssopdeal/coordination/evacuation/evacuated_domains.hpp>
#include <hyssopdeal/protocol/contract.hpp>
#include <hyssopdeal/protocol/gossip.hpp>
#include <hyssopdeal/state/control_state.hpp>
#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::coordination
{

// [domains] ------------------------------------------------------------------

/// @return The domains of declared servers, bought servers, replicas and
///     members, and those that have ever been evacuated: an order can be
///     withdrawn after the last server of its domain is gone.
[[nodiscard]] domain_names
known_domains(const state::control_tables& tables,
              const std::vector<protocol::member_update>& members);

/// @return `not_found`, with the names that are known, for any other domain.
[[nodiscard]] transport::result<void> check_domain(const domain_names& known,
                                                   const std::string& domain);

// [orders] -------------------------------------------------------------------

/// @return The domains whose evacuation is in force.
[[nodiscard]] domain_names evacuated_in(const state::control_tables& tables);

/// @return The same, as an entry knows it.
[[nodiscard]] domain_names evacuated_in(const protocol::control_view& view);

// [servers] ------------------------------------------------------------------

/// @return Whether a server of the service is in an evacuated domain.
[[nodiscard]] bool has_evacuated_server(const protocol::service& service,
                                        const domain_names& evacuated);

} // namespace hyssopdeal::coordination

#endif
