/// @file
/// Which responses count as whole when they end:
/// coordination/gateway/response_end.hpp. The load is one response.

#include <chrono>

#include <CppUTest/TestHarness.h>

#include <hyssopdeal/coordination/gateway/response_end.hpp>

using namespace hyssopdeal;
using namespace hyssopdeal::coordination;
using namespace std::chrono_literals;

// [response_end] -------------------------------------------------------------

TEST_GROUP(response_end_tests)
{
    response_metadata metadata;
    transport::http1_call_end end;
    received_response stream{metadata};

    void setup() override
    {
        end.complete = true;
        stream.is_event_stream = true;
        stream.had_event = true;
    }

    void check(response_end expected)
    {
        CHECK(judge_end(end, stream) == expected);
    }
};

TEST(response_end_tests, end_shown_by_the_framing_is_whole)
{
    check(response_end::whole);
    stream.had_event = false;
    check(response_end::whole);
    // It has not stopped the stream, or the response would be cut off.
    stream.may_be_stopped = true;
    check(response_end::whole);
}

// The connection of a killed server closes in the same way.
TEST(response_end_tests, end_shown_by_the_connection_is_unconfirmed)
{
    end.ended_by_close = true;
    check(response_end::unconfirmed);
    stream.may_be_stopped = true;
    check(response_end::maybe_stopped);
}

// A truncated stream must not look complete to its caller.
TEST(response_end_tests, stream_that_ends_inside_an_event_is_broken_off)
{
    for (const bool by_close : {false, true})
    {
        end.ended_by_close = by_close;
        stream.remainder = "data: x\n";
        check(response_end::broken_off);
        stream.remainder = "\r\n\n";
        check(by_close ? response_end::unconfirmed : response_end::whole);
    }
    // The body of another response is not split into events.
    end.ended_by_close = false;
    stream.is_event_stream = false;
    stream.remainder = "x";
    check(response_end::whole);
}

TEST(response_end_tests, stream_closed_before_its_first_event_is_broken_off)
{
    end.ended_by_close = true;
    stream.had_event = false;
    check(response_end::broken_off);
    // The caller may have had the last event from an earlier attempt.
    stream.resumed = true;
    check(response_end::unconfirmed);
    stream.resumed = false;
    stream.is_event_stream = false;
    check(response_end::unconfirmed);
}

// A request that has not run may be sent again, whatever its response lacks; a
// response that was not read to its end says nothing.
TEST(response_end_tests, reasons_have_an_order)
{
    end.ended_by_close = true;
    stream.may_be_stopped = true;
    stream.misses_events = true;
    check(response_end::events_missing);
    stream.remainder = "data";
    check(response_end::broken_off);
    metadata.other_server = true;
    check(response_end::not_run);
    metadata.other_server = false;
    metadata.not_executed = true;
    check(response_end::not_run);
    end.complete = false;
    check(response_end::failed);
}

// [end_check] ----------------------------------------------------------------

TEST_GROUP(end_check_tests){
    static void check(const end_check& answer, end_check_verdict expected){
        CHECK(judge_check(answer) == expected);
}
}
;

// A server that is being killed may answer for some hundred milliseconds more.
TEST(end_check_tests, server_must_run_half_a_second_after_the_end)
{
    check({499ms, true, false, false}, end_check_verdict::check_again);
    check({500ms, true, false, false}, end_check_verdict::whole);
}

// One answer may be lost; none after half a second shows a lost server.
TEST(end_check_tests, silent_server_is_lost_after_half_a_second)
{
    check({0ms, false, false, false}, end_check_verdict::check_again);
    check({499ms, false, false, false}, end_check_verdict::check_again);
    check({500ms, false, false, false}, end_check_verdict::lost);
}

// It lists the attempt although its response has ended: the list lags, or the
// connection was cut and the run goes on.
TEST(end_check_tests, attempt_that_runs_on_is_cut_off_after_a_second)
{
    check({0ms, true, false, true}, end_check_verdict::check_again);
    check({999ms, true, false, true}, end_check_verdict::check_again);
    check({1'000ms, true, false, true}, end_check_verdict::lost);
}

TEST(end_check_tests, restarted_server_has_lost_the_response)
{
    check({0ms, true, true, false}, end_check_verdict::lost);
    check({0ms, true, true, true}, end_check_verdict::lost);
    check({2'000ms, true, true, false}, end_check_verdict::lost);
}
