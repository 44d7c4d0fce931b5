/// @file
/// Tests of coordination/admission_queue.hpp and concurrency_limit.hpp.

#include <hyssopdeal/coordination/admission_queue.hpp>
#include <hyssopdeal/coordination/concurrency_limit.hpp>

#include <algorithm>
#include <random>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace hyssopdeal;
using namespace hyssopdeal::coordination;
using namespace std::chrono_literals;
using protocol::priority_class;

TEST_GROUP(admission_tests)
{
    transport::manual_clock clock;
    admission_settings settings;
    admission_queue queue;
    request_number last_number = 0;

    transport::monotonic_time now()
    {
        return clock.monotonic_now();
    }

    queued_request make_request(priority_class priority,
                                std::chrono::milliseconds deadline = 60s)
    {
        return {++last_number, priority, now() + deadline, 100ms};
    }

    std::optional<admission_refusal> push(
        priority_class priority, std::chrono::milliseconds deadline = 60s)
    {
        return queue.push(now(), make_request(priority, deadline));
    }
};

TEST(admission_tests, starts_by_class_then_in_arrival_order)
{
    CHECK_FALSE(push(priority_class::batch).has_value());
    CHECK_FALSE(push(priority_class::standard).has_value());
    CHECK_FALSE(push(priority_class::interactive).has_value());
    CHECK_FALSE(push(priority_class::interactive).has_value());
    LONGS_EQUAL(3, queue.pop(now())->number);
    LONGS_EQUAL(4, queue.pop(now())->number);
    LONGS_EQUAL(2, queue.pop(now())->number);
    LONGS_EQUAL(1, queue.pop(now())->number);
    CHECK_FALSE(queue.pop(now()).has_value());
}

TEST(admission_tests, full_class_refuses_while_other_classes_accept)
{
    for (int i = 0; i < 256; ++i)
    {
        CHECK_FALSE(push(priority_class::standard).has_value());
    }
    const auto refused = push(priority_class::standard);
    CHECK(refused->error.code == transport::reason::overloaded);
    CHECK(refused->error.ran == transport::verdict::not_run);
    CHECK(refused->retry_after >= 250ms);
    CHECK_FALSE(push(priority_class::interactive).has_value());
}

TEST(admission_tests, aged_request_starts_within_its_share)
{
    CHECK_FALSE(push(priority_class::batch).has_value());
    const auto aged = last_number;
    clock.advance(5s);
    int starts_before_aged = 0;
    bool aged_started = false;
    while (!aged_started)
    {
        CHECK_FALSE(push(priority_class::interactive).has_value());
        aged_started = queue.pop(now())->number == aged;
        starts_before_aged += aged_started ? 0 : 1;
        CHECK(starts_before_aged <= 10);
    }
    LONGS_EQUAL(9, starts_before_aged);
}

TEST(admission_tests, full_aged_class_does_not_block_other_classes)
{
    CHECK_FALSE(push(priority_class::standard).has_value());
    clock.advance(6s);
    class_states states{};
    states.at(1) = class_state::full;
    for (int i = 0; i < 30; ++i)
    {
        CHECK_FALSE(push(priority_class::interactive).has_value());
        CHECK(queue.pop(now(), states)->priority ==
              priority_class::interactive);
    }
    CHECK_FALSE(queue.pop(now(), states).has_value());
    CHECK(queue.pop(now())->priority == priority_class::standard);
}

TEST(admission_tests, refuses_requests_that_cannot_meet_their_deadline)
{
    CHECK(push(priority_class::standard, 50ms)->error.code ==
          transport::reason::overloaded);
    CHECK(push(priority_class::standard, 0ms)->error.code ==
          transport::reason::deadline_passed);
    for (int i = 0; i < 40; ++i)
    {
        CHECK_FALSE(push(priority_class::standard).has_value());
    }
    for (int i = 0; i < 20; ++i)
    {
        clock.advance(100ms);
        CHECK(queue.pop(now()).has_value());
    }
    // 20 requests are waiting and one starts every 100 ms.
    CHECK_FALSE(push(priority_class::standard, 3s).has_value());
    const auto refused = push(priority_class::standard, 1'500ms);
    CHECK(refused.has_value());
    CHECK(refused->retry_after >= 2s);
    CHECK(refused->retry_after <= 4s);
}

TEST(admission_tests, stalled_starts_refuse_waiting_requests_early)
{
    for (int i = 0; i < 30; ++i)
    {
        CHECK_FALSE(push(priority_class::standard, 10s).has_value());
    }
    for (int i = 0; i < 10; ++i)
    {
        clock.advance(100ms);
        CHECK(queue.pop(now()).has_value());
    }
    LONGS_EQUAL(0, queue.take_refusals(now()).size());
    // Nothing starts any more: requests at the back of the queue are refused
    // long before their deadline.
    clock.advance(2s);
    const auto refused = queue.take_refusals(now());
    CHECK(refused.size() >= 10);
    CHECK(queue.size() > 0);
    for (const auto& refusal : refused)
    {
        CHECK(refusal.error.ran == transport::verdict::not_run);
        CHECK(refusal.retry_after >= 250ms);
    }
}

TEST(admission_tests, each_request_ends_exactly_once)
{
    std::mt19937_64 random{11};
    std::multiset<request_number> ended;
    std::set<request_number> pushed;
    const auto record_refusals =
        [&](const std::vector<admission_refusal>& refusals) {
            for (const auto& refusal : refusals)
            {
                ended.insert(refusal.number);
            }
        };
    for (int i = 0; i < 5'000; ++i)
    {
        clock.advance(std::chrono::milliseconds{random() % 20});
        const auto request =
            make_request(static_cast<priority_class>(random() % 3),
                         std::chrono::milliseconds{random() % 5'000});
        pushed.insert(request.number);
        if (queue.push(now(), request))
        {
            ended.insert(request.number);
        }
        if (random() % 3 == 0)
        {
            const auto started = queue.pop(now());
            if (started)
            {
                ended.insert(started->number);
                CHECK(now() <= started->deadline - started->service_time);
            }
        }
        const auto cancelled = request.number - random() % 50;
        if (random() % 20 == 0 && queue.remove(cancelled))
        {
            ended.insert(cancelled);
        }
        if (random() % 10 == 0)
        {
            record_refusals(queue.take_refusals(now()));
        }
    }
    record_refusals(queue.refuse_all(now(), transport::reason::draining));
    LONGS_EQUAL(0, queue.size());
    CHECK(std::equal(ended.begin(), ended.end(), pushed.begin(), pushed.end()));
}

TEST_GROUP(concurrency_tests)
{
    transport::manual_clock clock;
    concurrency_limit limit;

    void sample(concurrency_sample kind, std::chrono::microseconds observed)
    {
        limit.on_sample(clock.monotonic_now(), kind, observed, 200ms);
    }
};

TEST(concurrency_tests, grows_while_in_use_without_congestion)
{
    while (limit.has_room())
    {
        limit.on_sent();
    }
    LONGS_EQUAL(16, limit.in_flight());
    for (int i = 0; i < 100; ++i)
    {
        sample(concurrency_sample::answered, 200ms);
    }
    CHECK(limit.limit() >= 20);
    CHECK(limit.has_room());
}

TEST(concurrency_tests, does_not_grow_while_unused)
{
    for (int i = 0; i < 100; ++i)
    {
        sample(concurrency_sample::answered, 200ms);
    }
    LONGS_EQUAL(16, limit.limit());
}

TEST(concurrency_tests, decreases_once_per_interval_down_to_its_minimum)
{
    clock.advance(1s);
    for (int i = 0; i < 10; ++i)
    {
        sample(concurrency_sample::overloaded, 0ms);
    }
    LONGS_EQUAL(12, limit.limit());
    for (int i = 0; i < 100; ++i)
    {
        clock.advance(500ms);
        sample(concurrency_sample::answered, 5s);
    }
    LONGS_EQUAL(1, limit.limit());
    CHECK(limit.has_room());
}
