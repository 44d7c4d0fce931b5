/// @file
/// Tests of coordination/limiter.hpp.

#include <hyssopdeal/coordination/limiter.hpp>

#include <CppUTest/TestHarness.h>

using namespace hyssopdeal;
using namespace hyssopdeal::coordination;
using namespace std::chrono_literals;

TEST_GROUP(limiter_tests)
{
    transport::manual_clock clock;
    protocol::organisation_contract contract;
    limiter limits{{1.0, 1}}; // The floor of one node is the whole limit.

    void setup() override
    {
        contract.organisation = "orchard";
        contract.requests_per_second = 10;
        contract.request_burst = 5;
        contract.tokens_per_second = 1'000;
        contract.token_burst = 2'000;
        contract.concurrent_streams = 2;
        contract.priority_ceiling = protocol::priority_class::standard;
        limits.set_contracts(now(), {contract}, bucket_start::full);
    }

    transport::monotonic_time now()
    {
        return clock.monotonic_now();
    }

    tl::expected<permit, limit_refusal> admit(double tokens,
                                              std::uint32_t streams = 0)
    {
        return limits.admit(
            now(), "orchard",
            {tokens, streams, protocol::priority_class::interactive});
    }
};

TEST(limiter_tests, refuses_above_the_request_rate_and_returns_retry_after)
{
    for (int i = 0; i < 5; ++i)
    {
        CHECK(admit(1).has_value());
    }
    const auto refused = admit(1);
    CHECK(refused.error().error.code == transport::reason::limit_reached);
    CHECK(refused.error().error.ran == transport::verdict::not_run);
    LONGS_EQUAL(100, refused.error().retry_after.count());
    clock.advance(refused.error().retry_after);
    CHECK(admit(1).has_value());
}

TEST(limiter_tests, reserves_tokens_and_settles_by_usage)
{
    const auto first = admit(1'500);
    CHECK(first.has_value());
    CHECK_FALSE(admit(1'500).has_value());
    limits.settle(now(), *first, 100);
    const auto second = admit(1'500);
    CHECK(second.has_value());
    limits.settle(now(), *second, 2'500); // Makes the level negative.
    CHECK_FALSE(admit(1).has_value());
    clock.advance(601ms);
    CHECK(admit(1).has_value());
}

TEST(limiter_tests, counts_streams_until_they_are_settled)
{
    const auto first = admit(1, 1);
    CHECK(admit(1, 1).has_value());
    CHECK_FALSE(admit(1, 1).has_value());
    LONGS_EQUAL(2, limits.open_streams("orchard"));
    limits.settle(now(), *first, 1);
    CHECK(admit(1, 1).has_value());
}

TEST(limiter_tests, caps_priority_and_refuses_without_contract)
{
    CHECK(admit(1)->priority == protocol::priority_class::standard);
    CHECK_FALSE(limits.admit(now(), "stranger", {}).has_value());
    limits.set_contracts(now(), {}, bucket_start::full);
    CHECK_FALSE(admit(1).has_value());
}

TEST(limiter_tests, grant_counts_until_it_expires)
{
    limiter shared{{0.2, 2}};
    shared.set_contracts(now(), {contract}, bucket_start::full);
    DOUBLES_EQUAL(1, shared.allowed(now(), "orchard").requests_per_second,
                  1e-9);
    allotment grant;
    grant.requests_per_second = 4;
    shared.set_grant(now(), "orchard", grant, now() + 5s);
    DOUBLES_EQUAL(5, shared.allowed(now(), "orchard").requests_per_second,
                  1e-9);
    clock.advance(5s);
    DOUBLES_EQUAL(1, shared.allowed(now(), "orchard").requests_per_second,
                  1e-9);
}

TEST(limiter_tests, larger_allotment_raises_level_only_over_time)
{
    limiter shared{{0.2, 2}};
    shared.set_contracts(now(), {contract}, bucket_start::empty);
    allotment grant;
    grant.requests_per_second = 4;
    grant.request_burst = 4;
    shared.set_grant(now(), "orchard", grant, now() + 5s);
    CHECK_FALSE(shared.admit(now(), "orchard", {}).has_value());
    clock.advance(200ms);
    CHECK(shared.admit(now(), "orchard", {}).has_value());
    CHECK_FALSE(shared.admit(now(), "orchard", {}).has_value());
}

TEST(limiter_tests, demand_includes_refused_requests)
{
    for (int i = 0; i < 400; ++i)
    {
        static_cast<void>(admit(10, 1));
        clock.advance(20ms);
    }
    const auto demand = limits.take_demand(now());
    LONGS_EQUAL(1, demand.size());
    DOUBLES_EQUAL(50, demand[0].requests_per_second, 5);
    DOUBLES_EQUAL(500, demand[0].tokens_per_second, 50);
    LONGS_EQUAL(2, demand[0].open_streams);
    LONGS_EQUAL(398, demand[0].refused_streams);
}
