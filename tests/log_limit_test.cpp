/// @file
/// Tests of transport/log_limit.hpp. The load is 1,000 occurrences a second
/// for ten seconds, as clients that connect to an internal port in a loop
/// cause.

#include <hyssopdeal/transport/log_limit.hpp>

#include <deque>

#include <CppUTest/TestHarness.h>

using namespace hyssopdeal::transport;
using namespace std::chrono_literals;

TEST_GROUP(log_limit_tests)
{
    monotonic_time now{1h};
    log_limit limit;

    // Counts occurrences at the same time; returns how many were logged.
    int count_at_once(int occurrences)
    {
        int lines = 0;
        for (int done = 0; done < occurrences; ++done)
        {
            lines += limit.count(now) ? 1 : 0;
        }
        return lines;
    }
};

// Guards against one log line for each connection of an unknown peer.
TEST(log_limit_tests, ten_lines_are_logged_and_the_next_tells_the_others)
{
    for (int line = 0; line < 10; ++line)
    {
        LONGS_EQUAL(0, limit.count(now).value());
    }
    LONGS_EQUAL(0, count_at_once(990));
    now += 999ms;
    LONGS_EQUAL(0, count_at_once(10));
    now += 1ms;
    LONGS_EQUAL(1'000, limit.count(now).value());
    LONGS_EQUAL(0, limit.count(now).value());
    LONGS_EQUAL(1'012, limit.total());
}

// Guards against a limit for each calendar second, which admits twice as many
// lines around its start.
TEST(log_limit_tests, no_second_has_more_than_ten_lines_under_load)
{
    std::deque<monotonic_time> lines;
    std::uint64_t told = 0;
    std::uint64_t since_line = 0;
    for (int occurrence = 0; occurrence < 10'000; ++occurrence)
    {
        const auto logged = limit.count(now);
        since_line += logged ? 0 : 1;
        if (logged)
        {
            lines.push_back(now);
            told += *logged;
            since_line = 0;
        }
        now += 1ms;
    }
    for (std::size_t at = 10; at < lines.size(); ++at)
    {
        CHECK_TRUE(lines[at] - lines[at - 10] >= 1s);
    }
    LONGS_EQUAL(100, lines.size());
    LONGS_EQUAL(10'000, lines.size() + told + since_line);
    LONGS_EQUAL(10'000, limit.total());
}

// Guards against a limit that takes a clock that starts at 0 for the time of
// lines that were never written.
TEST(log_limit_tests, first_lines_are_logged_at_time_zero)
{
    now = monotonic_time{};
    LONGS_EQUAL(10, count_at_once(50));
    LONGS_EQUAL(50, limit.total());
}
