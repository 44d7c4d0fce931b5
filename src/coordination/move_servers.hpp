#ifndef HYSSOPDEAL_SRC_COORDINATION_MOVE_SERVERS_HPP
#define HYSSOPDEAL_SRC_COORDINATION_MOVE_SERVERS_HPP

/// @file
/// Internal: what the servers of a move's new version can carry, and which of
/// them are to hold it.
///
/// Index: [servers]

#include <string>
#include <vector>

#include <hyssopdeal/coordination/move_controller.hpp>

namespace hyssopdeal::coordination
{

// [servers] ------------------------------------------------------------------

/// @return Whether a server may get or already has the version.
[[nodiscard]] bool may_serve(const version_server& server);

/// @return Largest share that the loaded servers can carry.
[[nodiscard]] double carried_share(const move_view& view);

/// @return Whether a loaded server stands in each failure domain that has any.
[[nodiscard]] bool spread_over_domains(const move_view& view);

/// Servers that shall hold the version: those that do, one of each failure
/// domain, and as many as a share needs. Loading no more keeps them about as
/// busy as the old version's, so that a fault under load shows early.
[[nodiscard]] std::vector<std::string> servers_to_hold(const move_view& view,
                                                       double share);

} // namespace hyssopdeal::coordination

#endif
