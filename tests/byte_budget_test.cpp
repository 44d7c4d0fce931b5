/// @file
/// Guards against a budget that is exceeded, that cuts requests that were
/// handed on, or that refuses ordinary callers for stalled ones.

#include <algorithm>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

#include <hyssopdeal/transport/byte_budget.hpp>

using namespace hyssopdeal::transport;
using namespace std::chrono_literals;

TEST_GROUP(byte_budget_tests)
{
    std::shared_ptr<byte_budget> budget = std::make_shared<byte_budget>(1'000);
    monotonic_time now{1h};
    int loop = 0;
    int taken = 0;

    std::unique_ptr<byte_share> share(int which = 1)
    {
        return std::make_unique<byte_share>(budget, &loop, now,
                                            [this, which] { taken = which; });
    }

    std::unique_ptr<byte_share> response(int which,
                                         std::function<std::uint64_t()> read)
    {
        auto one = share(which);
        one->watch_reader(std::move(read));
        one->allow_taking_back(true, 500ms);
        if (!one->resize(now, 240))
        {
            one->force(240);
        }
        return one;
    }

    // A caller reads 320 kB/s; others ask at intervals and read nothing.
    void play_slow_reader_beside_unread_responses(
        std::chrono::milliseconds interval)
    {
        constexpr std::uint64_t acknowledged_at_once = 65'536;
        constexpr int crowd_size = 16;
        budget = std::make_shared<byte_budget>(1'000);
        // Readers were sampled shortly before, so not at the response's start.
        CHECK_TRUE(share()->resize(now, 1));
        now += 90ms;
        const auto started = now;
        const auto slow = response(1, [&] {
            return static_cast<std::uint64_t>((now - started) / 200ms) *
                   acknowledged_at_once;
        });
        std::vector<std::unique_ptr<byte_share>> crowd;
        for (int at = 0; at < crowd_size; ++at)
        {
            now += interval;
            crowd.push_back(response(2, [] { return acknowledged_at_once; }));
            CHECK_TRUE_TEXT(taken != 1, "the reader was cut");
            most_held = std::max(most_held, budget->held());
        }
    }

    std::size_t most_held = 0;
};

TEST(byte_budget_tests, largest_that_is_stalled_longest_is_taken_back)
{
    const auto old_one = share(1);
    CHECK_TRUE(old_one->resize(now, 400));
    now += 1s;
    const auto larger = share(2);
    CHECK_TRUE(larger->resize(now, 600));
    now += 100ms;
    const auto asking = share(3);
    CHECK_TRUE(asking->resize(now, 10));
    CHECK_EQUAL(1, taken);
    CHECK_EQUAL(610U, budget->held());
}

TEST(byte_budget_tests, one_byte_now_and_then_is_no_progress)
{
    const auto dripping = share(1);
    CHECK_TRUE(dripping->resize(now, 500));
    const auto steady = share(2);
    CHECK_TRUE(steady->resize(now, 500));
    for (int second = 0; second < 10; ++second)
    {
        now += 1s;
        dripping->progress(now, 1);
        steady->progress(now, 100'000);
    }
    const auto asking = share(3);
    CHECK_TRUE(asking->resize(now, 10));
    CHECK_EQUAL(1, taken);
}

TEST(byte_budget_tests, request_that_was_handed_on_is_never_taken_back)
{
    const auto handed_on = share();
    CHECK_TRUE(handed_on->resize(now, 900));
    handed_on->allow_taking_back(false);
    now += 1min;
    CHECK_FALSE(budget->may_fit(200));
    const auto asking = share();
    CHECK_FALSE(asking->resize(now, 200));
    CHECK_TRUE(asking->resize(now, 100));
    CHECK_EQUAL(0, taken);
    CHECK_EQUAL(1'000U, budget->held());
}

// Guards against callers that get no answer while a few large requests run.
TEST(byte_budget_tests, part_of_the_budget_is_kept_for_small_shares)
{
    budget = std::make_shared<byte_budget>(1'000'000);
    const auto handed_on = share();
    CHECK_TRUE(handed_on->resize(now, 700'000));
    handed_on->allow_taking_back(false);
    CHECK_FALSE(budget->may_fit(100'000));
    CHECK_FALSE(share()->resize(now, 100'000));
    CHECK_TRUE(budget->may_fit(60'000));
    CHECK_TRUE(share()->resize(now, 60'000));
}

TEST(byte_budget_tests, share_of_another_thread_is_left_alone)
{
    const auto other = std::make_unique<byte_share>(budget, nullptr, now,
                                                    [this] { taken = 1; });
    CHECK_TRUE(other->resize(now, 1'000));
    now += 1s;
    CHECK_FALSE(share()->resize(now, 1));
    CHECK_EQUAL(0, taken);
}

// Guards against a response that is cut although its caller reads, slowly, while
// those of callers that read nothing are kept for being younger.
TEST(byte_budget_tests, slow_reader_does_not_lose_to_callers_that_read_nothing)
{
    std::uint64_t read = 0;
    const auto slow = share(1);
    slow->watch_reader([&] { return read; });
    slow->allow_taking_back(true, 500ms);
    CHECK_TRUE(slow->resize(now, 600));
    const auto unread = share(2);
    unread->watch_reader([] { return 70'000; });
    unread->allow_taking_back(true, 500ms);
    CHECK_TRUE(unread->resize(now, 300));
    const auto asking = share(3);
    for (int second = 0; second < 9; ++second)
    {
        now += 1s;
        read += 30'000;
        CHECK_TRUE(asking->resize(now, static_cast<std::size_t>(second)));
    }
    // The kernel takes a step of the response that nobody reads.
    unread->progress(now, 1'000'000);
    now += 900ms;
    CHECK_TRUE(asking->resize(now, 200));
    LONGS_EQUAL(2, taken);
}

// Guards against a response that is cut because the budget is reached before
// anything can be known about its caller: an acknowledgement covers up to
// 64 KiB, which a reader of 320 kB/s needs 200 ms for.
TEST(byte_budget_tests, reader_is_not_cut_before_it_can_show_that_it_reads)
{
    for (auto interval = 100ms; interval <= 200ms; interval += 10ms)
    {
        play_slow_reader_beside_unread_responses(interval);
        LONGS_EQUAL(2, taken);
        CHECK_TRUE(most_held <= 1'500);
    }
}

// Guards against an overflow where less is acknowledged than when last asked, as
// the kernel has taken bytes that are not counted as taken yet.
TEST(byte_budget_tests, acknowledged_bytes_that_fall_count_as_reading_nothing)
{
    std::uint64_t read = 70'000;
    const auto falling = share(1);
    falling->watch_reader([&] { return read; });
    falling->allow_taking_back(true, 500ms);
    CHECK_TRUE(falling->resize(now, 900));
    const auto asking = share(3);
    for (int second = 0; second < 3; ++second)
    {
        now += 1s;
        read -= 1'000;
        CHECK_TRUE(asking->resize(now, static_cast<std::size_t>(second)));
    }
    CHECK_TRUE(asking->resize(now, 200));
    LONGS_EQUAL(1, taken);
}

// Guards against readers of a byte now and then that hold the budget for good.
TEST(byte_budget_tests, reader_of_a_few_bytes_counts_as_reading_nothing)
{
    std::uint64_t read = 0;
    const auto dripping = share(1);
    dripping->watch_reader([&] { return read; });
    dripping->allow_taking_back(true, 500ms);
    CHECK_TRUE(dripping->resize(now, 600));
    const auto unread = share(2);
    unread->watch_reader([] { return 0; });
    unread->allow_taking_back(true, 500ms);
    CHECK_TRUE(unread->resize(now, 300));
    const auto asking = share(3);
    for (int second = 0; second < 10; ++second)
    {
        now += 1s;
        read += 100;
        CHECK_TRUE(asking->resize(now, static_cast<std::size_t>(second)));
    }
    now += 600ms;
    CHECK_TRUE(asking->resize(now, 200));
    LONGS_EQUAL(1, taken);
}

// Guards against a budget that readers alone exceed without a bound.
TEST(byte_budget_tests, readers_are_taken_back_where_nobody_else_holds_bytes)
{
    std::uint64_t read = 0;
    const auto slow = share(1);
    slow->watch_reader([&] { return read; });
    slow->allow_taking_back(true, 500ms);
    CHECK_TRUE(slow->resize(now, 900));
    const auto asking = share(3);
    for (int second = 0; second < 10; ++second)
    {
        now += 1s;
        read += 30'000;
        CHECK_TRUE(asking->resize(now, static_cast<std::size_t>(second)));
    }
    now += 600ms;
    CHECK_TRUE(asking->resize(now, 200));
    LONGS_EQUAL(1, taken);
}

TEST(byte_budget_tests, ten_refusals_a_second_are_logged)
{
    int logged = 0;
    for (int count = 0; count < 50; ++count)
    {
        logged += budget->count_refusal(now) ? 1 : 0;
    }
    CHECK_EQUAL(10, logged);
    CHECK_TRUE(budget->count_refusal(now + 1s));
    STRCMP_CONTAINS("refusals_total 51", budget->metrics().c_str());
}
