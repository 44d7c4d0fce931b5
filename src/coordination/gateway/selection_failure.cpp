/// @file
/// Why no server was selected for a request.

#include <hyssopdeal/coordination/gateway/selection_failure.hpp>

#include <algorithm>

namespace hyssopdeal::coordination
{

namespace
{

using milliseconds = std::chrono::milliseconds;
using enum selection_failure_reason;

/// With no usable server, new ones are still starting: an earlier retry would
/// be refused again.
constexpr milliseconds no_server_retry_after{1'000};

} // namespace

// [selection_failure] --------------------------------------------------------

std::string_view to_string(selection_failure_reason reason)
{
    switch (reason)
    {
    case rate_limited:
        return "servers_rate_limited";
    case cold:
        return "servers_cold";
    case full:
        return "servers_full";
    case paused:
        return "servers_paused";
    case evacuated:
    case no_server:
        break;
    }
    return "no_server";
}

selection_failure explain_selection_failure(transport::monotonic_time now,
                                            const std::string& service,
                                            const std::set<std::string>& tried,
                                            placement& servers)
{
    if (servers.lacks_permit(now, service, tried))
    {
        return {rate_limited, servers.permits().reserve_turn(now, service)};
    }
    if (servers.lacks_cold_permit(now, service, tried))
    {
        return {cold, servers.cold().reserve_turn(now, service)};
    }
    if (servers.lacks_brittle_slot(now, service, tried))
    {
        return {full, servers_full_retry_after};
    }
    if (servers.all_evacuated(service))
    {
        return {evacuated, no_server_retry_after};
    }
    if (const auto pause = servers.remaining_pause(now, service))
    {
        return {paused, std::min(*pause, no_server_retry_after)};
    }
    return {no_server, no_server_retry_after};
}

} // namespace hyssopdeal::coordination
