/// @file
/// Tests of coordination/drain_backend.hpp.

#include <CppUTest/TestHarness.h>

#include <hyssopdeal/coordination/drain_backend.hpp>

using namespace hyssopdeal;
using namespace hyssopdeal::coordination;
using namespace std::chrono_literals;
using transport::monotonic_time;

TEST_GROUP(drain_backend_tests)
{
    monotonic_time now{1h};
    drain_backend drain;

    void setup() override
    {
        drain.set_leaving(now, {{"s", "127.0.0.1:1"}});
    }

    void report(std::uint32_t running, int times)
    {
        for (int i = 0; i < times; ++i)
        {
            now += 1s;
            drain.on_load(now, "s", protocol::engine_load{running, 0, 8});
        }
    }

    void lose_report()
    {
        now += 1s;
        drain.on_load(now, "s",
                      transport::fail(transport::reason::timed_out, "Lost."));
    }
};

TEST(drain_backend_tests, is_drained_after_reports_of_no_work_for_long)
{
    report(3, 20);
    CHECK_FALSE(drain.drained(now, "s"));
    report(0, 10);
    CHECK_FALSE(drain.drained(now, "s"));
    report(0, 1);
    CHECK(drain.drained(now, "s"));
}

TEST(drain_backend_tests, late_work_starts_the_idle_time_anew)
{
    report(0, 9);
    report(1, 1);
    report(0, 9);
    CHECK_FALSE(drain.drained(now, "s"));
}

TEST(drain_backend_tests, a_lost_report_starts_the_idle_time_anew)
{
    report(0, 9);
    lose_report();
    report(0, 9);
    CHECK_FALSE(drain.drained(now, "s"));
}

TEST(drain_backend_tests, a_server_that_never_answers_counts_as_gone)
{
    for (int i = 0; i < 29; ++i)
    {
        lose_report();
    }
    CHECK_FALSE(drain.drained(now, "s"));
    lose_report();
    CHECK(drain.drained(now, "s"));
}

TEST(drain_backend_tests, a_new_leader_watches_for_itself)
{
    report(0, 20);
    drain_backend next;
    next.set_leaving(now, {{"s", "127.0.0.1:1"}});
    CHECK_FALSE(next.drained(now, "s"));
    CHECK_FALSE(next.drained(now, "unknown"));
}

TEST(drain_backend_tests, asks_again_when_no_answer_came)
{
    LONGS_EQUAL(1, drain.advance(now).size());
    LONGS_EQUAL(0, drain.advance(now + 1s).size());
    LONGS_EQUAL(1, drain.advance(now + 2s).size());
}
