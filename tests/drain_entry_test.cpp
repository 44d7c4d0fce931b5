/// @file
/// Tests of coordination/drain_entry.hpp.

#include <hyssopdeal/coordination/drain_entry.hpp>

#include <CppUTest/TestHarness.h>

using namespace hyssopdeal;
using namespace hyssopdeal::coordination;
using namespace std::chrono_literals;

TEST_GROUP(drain_tests)
{
    transport::manual_clock clock;
    drain_entry drain;

    transport::monotonic_time now()
    {
        return clock.monotonic_now();
    }

    void progress(std::uint32_t streams, std::uint32_t calls = 0)
    {
        drain.on_progress(now(), {streams, calls});
    }

    void expect(const std::vector<drain_action>& actions)
    {
        CHECK(drain.take_actions() == actions);
    }
};

TEST(drain_tests, readiness_goes_first_and_work_still_comes_in)
{
    drain.on_signal(now());
    expect({drain_action::fail_readiness});
    progress(0);
    expect({});
    clock.advance(2s);
    progress(3, 1);
    expect({drain_action::refuse_new, drain_action::refuse_queue});
    clock.advance(10s);
    progress(0, 0);
    expect({drain_action::exit});
}

TEST(drain_tests, what_is_not_finished_is_handed_over_then_cut)
{
    drain.on_signal(now());
    clock.advance(2s);
    progress(1);
    static_cast<void>(drain.take_actions());
    clock.advance(30s);
    progress(1, 1);
    expect({drain_action::hand_over_streams});
    clock.advance(3s);
    progress(0, 1);
    expect({drain_action::close_rest, drain_action::exit});
}

TEST(drain_tests, second_signal_hands_over_at_once)
{
    drain.on_signal(now());
    clock.advance(1s);
    drain.on_signal(now());
    progress(2);
    expect({drain_action::fail_readiness, drain_action::refuse_new,
            drain_action::refuse_queue, drain_action::hand_over_streams});
    progress(0);
    expect({drain_action::exit});
}

TEST(drain_tests, short_notice_leaves_time_to_hand_over)
{
    drain.on_notice(now(), now() + 5s);
    progress(4);
    expect({drain_action::fail_readiness});
    clock.advance(1s);
    progress(4);
    expect({drain_action::refuse_new, drain_action::refuse_queue});
    clock.advance(1s);
    progress(4);
    expect({drain_action::hand_over_streams});
}

TEST(drain_tests, notice_without_time_does_everything_in_one_step)
{
    drain.on_notice(now(), now());
    progress(4);
    expect({drain_action::fail_readiness, drain_action::refuse_new,
            drain_action::refuse_queue, drain_action::hand_over_streams,
            drain_action::close_rest, drain_action::exit});
}

TEST(drain_tests, later_notice_makes_the_end_only_earlier)
{
    drain.on_notice(now(), now() + 10s);
    drain.on_notice(now(), now() + 60s);
    clock.advance(7s);
    progress(1);
    CHECK(drain.phase() == drain_phase::handing_over);
    CHECK(drain.next_time() == now() + 3s);
}

TEST(drain_tests, each_step_is_announced_by_next_time)
{
    drain.on_signal(now());
    int steps = 0;
    while (drain.phase() != drain_phase::done)
    {
        clock.advance(drain.next_time() - now());
        progress(1, 1);
        ++steps;
    }
    LONGS_EQUAL(3, steps);
    CHECK(drain.next_time() == transport::monotonic_time::max());
}
