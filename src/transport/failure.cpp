#include <hyssopdeal/transport/failure.hpp>

#include <utility>

namespace hyssopdeal::transport
{

std::string_view to_string(verdict value) noexcept
{
    switch (value)
    {
    case verdict::not_run:
        return "not_run";
    case verdict::may_have_run:
        return "may_have_run";
    case verdict::ran:
        return "ran";
    }
    return "may_have_run";
}

std::string_view to_string(reason value) noexcept
{
    switch (value)
    {
    case reason::bad_request:
        return "bad_request";
    case reason::bad_settings:
        return "bad_settings";
    case reason::unauthenticated:
        return "unauthenticated";
    case reason::forbidden:
        return "forbidden";
    case reason::not_found:
        return "not_found";
    case reason::too_large:
        return "too_large";
    case reason::limit_reached:
        return "limit_reached";
    case reason::overloaded:
        return "overloaded";
    case reason::deadline_passed:
        return "deadline_passed";
    case reason::draining:
        return "draining";
    case reason::no_backend_server:
        return "no_backend_server";
    case reason::connect_failed:
        return "connect_failed";
    case reason::connection_lost:
        return "connection_lost";
    case reason::timed_out:
        return "timed_out";
    case reason::broken_answer:
        return "broken_answer";
    case reason::no_quorum:
        return "no_quorum";
    case reason::not_leader:
        return "not_leader";
    case reason::revision_conflict:
        return "revision_conflict";
    case reason::key_in_use:
        return "key_in_use";
    case reason::key_mismatch:
        return "key_mismatch";
    case reason::storage_failed:
        return "storage_failed";
    case reason::storage_full:
        return "storage_full";
    case reason::corrupt:
        return "corrupt";
    case reason::internal:
        return "internal";
    }
    return "internal";
}

tl::unexpected<failure> fail(reason code, std::string text, verdict ran)
{
    return tl::make_unexpected(failure{ran, code, std::move(text)});
}

} // namespace hyssopdeal::transport
