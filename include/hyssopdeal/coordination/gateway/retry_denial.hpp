#ifndef HYSSOPDEAL_COORDINATION_GATEWAY_RETRY_DENIAL_HPP
#define HYSSOPDEAL_COORDINATION_GATEWAY_RETRY_DENIAL_HPP

/// @file
/// Why a request is not sent to another server, for the log. Performs no I/O.
///
/// Index: [retry_denial]

#include <cstdint>
#include <string_view>

namespace hyssopdeal::coordination
{

// [retry_denial] -------------------------------------------------------------

enum class retry_denial : std::uint8_t
{
    none,             ///< It may be sent to another server.
    not_retryable,    ///< It must not run twice.
    position_unknown, ///< Where to resume the stream is not known.
    still_running,    ///< Its server still works on it.
    shutdown,         ///< This gateway stops soon, or the time limit is near.
    quarantined,      ///< It may be what crashed its server.
    attempts,         ///< The route allows no more.
    no_server,        ///< No server that may get it now, or all were tried.
    late,             ///< No server is predicted to start it in time.
    server_alive,     ///< Its server answers other requests.
    budget            ///< The retry budget of the service is used up.
};

/// @return The denial as written to the log; empty for `none`.
[[nodiscard]] constexpr std::string_view to_string(retry_denial denial)
{
    switch (denial)
    {
    case retry_denial::none:
        break;
    case retry_denial::not_retryable:
        return "not_retryable";
    case retry_denial::position_unknown:
        return "position_unknown";
    case retry_denial::still_running:
        return "still_running";
    case retry_denial::shutdown:
        return "shutdown";
    case retry_denial::quarantined:
        return "quarantined";
    case retry_denial::attempts:
        return "attempts";
    case retry_denial::no_server:
        return "no_server";
    case retry_denial::late:
        return "late";
    case retry_denial::server_alive:
        return "server_alive";
    case retry_denial::budget:
        return "budget";
    }
    return "";
}

} // namespace hyssopdeal::coordination

#endif
