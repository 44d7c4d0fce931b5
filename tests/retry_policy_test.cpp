/// @file
/// Tests of coordination/retry_policy.hpp.

#include <hyssopdeal/coordination/retry_policy.hpp>

#include <CppUTest/TestHarness.h>

using namespace hyssopdeal;
using namespace hyssopdeal::coordination;
using namespace std::chrono_literals;

TEST_GROUP(retry_tests)
{
    transport::manual_clock clock;
    std::mt19937_64 random{7};
    budgeted_retry policy;

    failed_attempt make_attempt()
    {
        failed_attempt attempt;
        attempt.organisation = "orchard";
        attempt.service = "sidra-llm";
        attempt.code = transport::reason::connect_failed;
        attempt.deadline = clock.monotonic_now() + 60s;
        return attempt;
    }

    retry_outcome decide(const failed_attempt& attempt)
    {
        return policy.decide(clock.monotonic_now(), attempt, random).outcome;
    }
};

TEST(retry_tests, follows_verdict_and_repeatability)
{
    auto attempt = make_attempt();
    CHECK(decide(attempt) == retry_outcome::retry);
    attempt.ran = transport::verdict::may_have_run;
    CHECK(decide(attempt) == retry_outcome::not_repeatable);
    attempt.ran = transport::verdict::ran;
    CHECK(decide(attempt) == retry_outcome::not_repeatable);
    attempt.repeats = protocol::repeatability::repeatable;
    CHECK(decide(attempt) == retry_outcome::retry);
    attempt.code = transport::reason::bad_request;
    CHECK(decide(attempt) == retry_outcome::not_retryable);
}

TEST(retry_tests, is_limited_by_attempts_and_deadline)
{
    auto attempt = make_attempt();
    attempt.attempts = 4;
    CHECK(decide(attempt) == retry_outcome::attempts_exhausted);
    attempt.attempts = 1;
    attempt.expected_time = 60s;
    CHECK(decide(attempt) == retry_outcome::deadline_too_close);
}

TEST(retry_tests, delays_have_full_jitter)
{
    budgeted_retry_settings settings;
    settings.initial_budget = 10'000;
    policy = budgeted_retry{settings};
    auto attempt = make_attempt();
    attempt.attempts = 3;
    std::chrono::milliseconds shortest = 1s;
    std::chrono::milliseconds longest = 0s;
    for (int i = 0; i < 1'000; ++i)
    {
        const auto decision =
            policy.decide(clock.monotonic_now(), attempt, random);
        shortest = std::min(shortest, decision.delay);
        longest = std::max(longest, decision.delay);
    }
    CHECK(shortest <= 1ms);
    CHECK(longest >= 38ms && longest <= 40ms);
}

TEST(retry_tests, retries_stay_within_the_budget_of_each_pair)
{
    for (const auto* organisation : {"orchard", "neighbour"})
    {
        int attempts = 0;
        constexpr int requests = 1'000;
        for (int i = 0; i < requests; ++i)
        {
            auto attempt = make_attempt();
            attempt.organisation = organisation;
            policy.on_request(clock.monotonic_now(), organisation,
                              attempt.service, 0.1);
            ++attempts;
            while (decide(attempt) == retry_outcome::retry)
            {
                ++attempts;
                ++attempt.attempts;
            }
            clock.advance(1ms);
        }
        CHECK(attempts <= requests * 1.1);
        CHECK(attempts >= requests * 1.05);
    }
}

TEST(retry_tests, initial_budget_allows_retry_of_the_first_request)
{
    policy.on_request(clock.monotonic_now(), "orchard", "sidra-llm", 0.1);
    CHECK(decide(make_attempt()) == retry_outcome::retry);
}
