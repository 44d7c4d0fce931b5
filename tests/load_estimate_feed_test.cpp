/// @file
/// Tests of src/coordination/load_estimate_feed.hpp against a simulated engine,
/// and of coordination/load_estimate.hpp.

#include "coordination/load_estimate_feed.hpp"

#include <fmt/format.h>

#include <hyssopdeal/coordination/load_estimate.hpp>

#include <CppUTest/TestHarness.h>

#include "loop_helper.hpp"
#include "standins/engine.hpp"

using namespace hyssopdeal;
using namespace hyssopdeal::coordination;
using namespace std::chrono_literals;

namespace
{

router_settings make_settings()
{
    router_settings settings;
    settings.entry = "e1";
    settings.failure_domain = "d0";
    return settings;
}

} // namespace

TEST_GROUP(load_estimate_feed_tests)
{
    transport::system_clock clock;
    transport::event_loop loop;
    transport::http_client client{loop};
    standins::engine engine{loop, clock, {}};
    service_router router{make_settings()};
    std::mt19937_64 random{1};
    int changes = 0;

    protocol::service declare(std::uint16_t port)
    {
        protocol::service declared;
        declared.name = "sidra";
        declared.servers.resize(1);
        declared.servers[0].name = "w0";
        declared.servers[0].address = fmt::format("127.0.0.1:{}", port);
        declared.servers[0].failure_domain = "d0";
        declared.servers[0].version = "v1";
        router.set_service(declared, {});
        return declared;
    }
};

TEST(load_estimate_feed_tests, reports_include_requests_of_other_senders)
{
    const auto declared = declare(engine.start().value());
    load_estimate_feed feed{loop, clock, client, router, [&] { ++changes; }};
    feed.set_service(declared);
    const std::string content(2'000, 'x');
    const auto body =
        fmt::format(R"({{"stream":true,"messages":[{{"role":"user",)"
                    R"("content":"{} [tokens=2000]"}}]}})",
                    content);
    const transport::http_request request{
        "POST", "/v1/chat/completions", {}, body};
    const auto call =
        client.start(declared.servers[0].address, request, {}, {});
    CHECK_TRUE(tests::run_until(loop, [&] {
        return router.rows().at(0).state.reported_in_flight == 1;
    }));
    CHECK(changes > 0);
    // The router knows the cached prompt from cache events alone: it did not
    // send the request itself.
    standins::engine_behaviour behaviour;
    behaviour.cache_event_lag = 0ms;
    engine.set_behaviour(behaviour);
    const auto changes_before = changes;
    CHECK_TRUE(
        tests::run_until(loop, [&] { return changes >= changes_before + 4; }));
    route_request routed;
    routed.prompt = content;
    const auto choice = router.choose(clock.monotonic_now(), routed, random);
    CHECK(choice.has_value());
    CHECK(choice->cached_tokens > 0);
}

TEST(load_estimate_feed_tests, unreachable_engine_changes_nothing)
{
    auto declared = declare(1);
    load_estimate_feed feed{loop, clock, client, router, [&] { ++changes; }};
    feed.set_service(declared);
    loop.run_for(300ms);
    LONGS_EQUAL(0, changes);
}

TEST_GROUP(load_estimate_tests)
{
    load_estimate estimate;

    void setup() override
    {
        estimate.resize(1);
    }

    void report(std::chrono::nanoseconds taken_at, std::uint32_t running)
    {
        load_report sample;
        sample.taken_at = transport::monotonic_time{taken_at};
        sample.running = running;
        estimate.on_report(transport::monotonic_time{10s}, 0, sample);
    }
};

// Guards against dropping a newer report for good. Both samples are from the
// same millisecond of the server's clock, so the second one can appear older
// after conversion to this node's clock.
TEST(load_estimate_tests, report_within_clock_resolution_is_applied)
{
    report(5s, 0);
    report(5s - 900us, 1);
    DOUBLES_EQUAL(1, estimate.table()[0].reported_in_flight, 0);
}

TEST(load_estimate_tests, older_report_is_ignored)
{
    report(5s, 1);
    report(4s, 7);
    DOUBLES_EQUAL(1, estimate.table()[0].reported_in_flight, 0);
}
