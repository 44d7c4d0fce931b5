/// @file
/// Tests of transport/clock.hpp and transport/failure.hpp.

#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/failure.hpp>

#include <CppUTest/TestHarness.h>

using namespace hyssopdeal::transport;
using namespace std::chrono_literals;

TEST_GROUP(manual_clock_tests){};

TEST(manual_clock_tests, moves_only_when_told)
{
    manual_clock clock;
    const auto start = clock.monotonic_now();
    CHECK(clock.monotonic_now() == start);
    clock.advance(5ms);
    CHECK(clock.monotonic_now() - start == 5ms);
}

TEST(manual_clock_tests, wall_jump_leaves_monotonic_time_alone)
{
    manual_clock clock;
    const auto monotonic = clock.monotonic_now();
    const auto wall = clock.wall_now();
    clock.shift_wall(-10s);
    CHECK(clock.wall_now() - wall == -10s);
    CHECK(clock.monotonic_now() == monotonic);
}

TEST_GROUP(failure_tests){};

TEST(failure_tests, carries_verdict)
{
    const result<int> outcome =
        fail(reason::timed_out, "No answer.", verdict::may_have_run);
    CHECK_FALSE(outcome.has_value());
    CHECK(to_string(outcome.error().ran) == "may_have_run");
    CHECK(to_string(outcome.error().code) == "timed_out");
}
