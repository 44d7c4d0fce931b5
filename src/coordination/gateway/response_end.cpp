/// @file
/// Whether a response that has ended is whole.

#include <hyssopdeal/coordination/gateway/response_end.hpp>

namespace hyssopdeal::coordination
{

namespace
{

/// @return Whether a stream that its framing reports as complete has lost its
///     end: no event may be cut off, and one without a length that ends before
///     its first event was ended by the loss of the server. One that was resumed
///     may have had its last event before.
bool is_broken_off(const transport::http1_call_end& end,
                   const received_response& response)
{
    const bool inside_event =
        response.remainder.find_first_not_of("\r\n") != std::string_view::npos;
    return response.is_event_stream &&
           (inside_event ||
            (end.ended_by_close && !response.had_event && !response.resumed));
}

} // namespace

// [response_end] -------------------------------------------------------------

response_end judge_end(const transport::http1_call_end& end,
                       const received_response& response)
{
    if (!end.complete)
    {
        return response_end::failed;
    }
    if (response.metadata.not_executed || response.metadata.other_server)
    {
        return response_end::not_run;
    }
    if (is_broken_off(end, response))
    {
        return response_end::broken_off;
    }
    if (response.misses_events)
    {
        return response_end::events_missing;
    }
    if (!end.ended_by_close)
    {
        return response_end::whole;
    }
    return response.may_be_stopped ? response_end::maybe_stopped
                                   : response_end::unconfirmed;
}

// [end_check] ----------------------------------------------------------------

end_check_verdict judge_check(const end_check& check) noexcept
{
    // The list of running requests lags.
    constexpr std::chrono::milliseconds max_confirmation_age{1'000};
    if (check.restarted)
    {
        return end_check_verdict::lost;
    }
    if (check.runs_attempt)
    {
        return check.asked_after >= max_confirmation_age
                   ? end_check_verdict::lost
                   : end_check_verdict::check_again;
    }
    if (check.asked_after < min_confirmation_age)
    {
        return end_check_verdict::check_again;
    }
    return check.answered ? end_check_verdict::whole : end_check_verdict::lost;
}

} // namespace hyssopdeal::coordination
