#ifndef HYSSOPDEAL_COORDINATION_INSTANCE_WATCH_HPP
#define HYSSOPDEAL_COORDINATION_INSTANCE_WATCH_HPP

/// @file
/// Converts the platform's instance list, its reclaim notices and operators'
/// drain orders into updates of the member table. The list lags behind the
/// other sources, so the first source to report an instance as leaving wins:
/// the instance stays leaving until its incarnation rises.
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

/// State of an instance in the platform's list.
enum class listed_state : std::uint8_t
{
    live,
    leaving
};

/// Entry of the platform's list.
struct listed_instance
{
    std::string name;
    listed_state state = listed_state::live;
    /// Raised by the platform when an instance of the same name is started
    /// again.
    std::uint64_t incarnation = 0;
};

// [instance_watch] -----------------------------------------------------------

/// Derives updates from the platform's list. The caller passes them to
/// membership::report().
///
/// @param table Current member table.
/// @param list The platform's list, which may be out of date.
/// @return Updates that change the table. There are none for instances missing
///     from the list, because the list lags.
[[nodiscard]] std::vector<protocol::member_update>
updates_from_list(const member_table& table,
                  const std::vector<listed_instance>& list);

/// Derives the update for a reclaim notice or an operator's drain order. Both
/// name an instance without an incarnation and apply to the current one.
///
/// @param failure_domain Failure domain of the instance; empty if unknown.
[[nodiscard]] protocol::member_update
leaving_update(const member_table& table, std::string_view instance,
               std::string_view failure_domain);

/// @return Whether an instance may be given new work. True for an instance
///     that is not in the table.
[[nodiscard]] bool accepts_work(const member_table& table,
                                std::string_view instance) noexcept;

} // namespace hyssopdeal::coordination

#endif
