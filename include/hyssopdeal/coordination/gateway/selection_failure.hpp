#ifndef HYSSOPDEAL_COORDINATION_GATEWAY_SELECTION_FAILURE_HPP
#define HYSSOPDEAL_COORDINATION_GATEWAY_SELECTION_FAILURE_HPP

/// @file
/// Why `placement` selected no server for a request, and when its caller may
/// retry. Performs no I/O.
///
/// Index: [selection_failure]

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>

#include <hyssopdeal/coordination/gateway/placement.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [selection_failure] --------------------------------------------------------

/// Some slots of a service become free in this time.
constexpr std::chrono::milliseconds servers_full_retry_after{400};

/// In order of precedence.
enum class selection_failure_reason : std::uint8_t
{
    rate_limited, ///< No permit left for servers that have named a rate limit.
    cold,         ///< No permit left for cold servers.
    full,         ///< No slot left on brittle servers.
    evacuated,    ///< All usable servers are in evacuated failure domains.
    paused,       ///< A server asked for a pause or had no room.
    no_server     ///< No usable server, or all were tried.
};

/// @return The reason as sent to callers.
[[nodiscard]] std::string_view to_string(selection_failure_reason reason);

struct selection_failure
{
    selection_failure_reason reason = selection_failure_reason::no_server;
    std::chrono::milliseconds retry_after{0};

    /// @return Whether the service's servers lack room for the request.
    [[nodiscard]] bool lacks_room() const noexcept
    {
        return reason == selection_failure_reason::rate_limited ||
               reason == selection_failure_reason::full;
    }
};

/// Determines the failure for a request that is about to be refused. Reserves
/// its turn if permits are lacking, and may draw permits.
///
/// @param tried Ids of servers that were excluded from the selection.
[[nodiscard]] selection_failure explain_selection_failure(
    transport::monotonic_time now, const std::string& service,
    const std::set<std::string>& tried, placement& servers);

} // namespace hyssopdeal::coordination

#endif
