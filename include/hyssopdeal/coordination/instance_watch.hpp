#ifndef HYSSOPDEAL_COORDINATION_INSTANCE_WATCH_HPP
#define HYSSOPDEAL_COORDINATION_INSTANCE_WATCH_HPP

/// @file
/// Turns the platform's lagging instance list, its reclaim notices and
/// operators' drain orders into updates of the member table. The earliest
/// source wins: what is leaving stays leaving until a higher incarnation.
///
/// Index: [inputs] [instance_watch]

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/coordination/member_table.hpp>
#include <hyssopdeal/protocol/gossip.hpp>

namespace hyssopdeal::coordination
{

// [inputs] -------------------------------------------------------------------

/// Whether the platform's list has an instance as live or as leaving.
enum class listed_state : std::uint8_t
{
    live,
    leaving
};

/// One line of the platform's list.
struct listed_instance
{
    std::string name;
    listed_state state = listed_state::live;
    std::uint64_t incarnation = 0; ///< Raised by the platform for a new life.
};

// [instance_watch] -----------------------------------------------------------

/// Derives updates; the caller hands them to membership::report().
///
/// @param table What is known so far.
/// @param list The platform's list, as late as it may be.
/// @return Updates that change the table. An instance that is missing from
///     the list is left alone, since the list lags.
[[nodiscard]] std::vector<protocol::member_update>
updates_from_list(const member_table& table,
                  const std::vector<listed_instance>& list);

/// Derives the update for a reclaim notice or an operator's drain order, which
/// name an instance but no incarnation: they are about its present life.
///
/// @param failure_domain Where the instance runs, if known; else empty.
[[nodiscard]] protocol::member_update
leaving_update(const member_table& table, std::string_view instance,
               std::string_view failure_domain);

/// @return Whether a backend server may get new work; one that nobody has
///     spoken of may.
[[nodiscard]] bool accepts_work(const member_table& table,
                                std::string_view instance) noexcept;

} // namespace hyssopdeal::coordination

#endif
