/// @file
/// Unit tests of request_cost, server_speed and server_backlog without I/O.
/// They guard against estimates that follow a useless hint, a restart that keeps
/// an old speed, statements that are malformed, old or contradicted by outcomes,
/// and tables that grow without bound.

#include <hyssopdeal/coordination/cost/request_cost.hpp>
#include <hyssopdeal/coordination/cost/route_timings.hpp>
#include <hyssopdeal/coordination/cost/server_backlog.hpp>
#include <hyssopdeal/coordination/cost/server_speed.hpp>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

using namespace hyssopdeal;
using namespace hyssopdeal::coordination;
using namespace std::chrono_literals;
using transport::monotonic_time;

namespace
{

protocol::listed_server make_server(const char* id, std::uint64_t born = 1)
{
    protocol::listed_server server;
    server.id = id;
    server.born = born;
    server.service = "s";
    server.slots = 4;
    return server;
}

constexpr monotonic_time start{10s};

} // namespace

TEST_GROUP(cost_module_tests){};

TEST(cost_module_tests, output_is_learned_by_organisation_and_prefix)
{
    request_cost costs;
    const request_kind asker{"r", "asker", 0ms, {}};
    const request_kind writer{"r", "writer", 0ms, {}};
    for (int count = 0; count < 50; ++count)
    {
        costs.on_stream(asker, 0, 20);
        costs.on_stream(writer, 7, 500);
    }
    CHECK_TRUE(costs.output(asker, 0, 0).mean < 60);
    CHECK_TRUE(costs.output(writer, 7, 0).mean > 250);
    DOUBLES_EQUAL(100, costs.output(writer, 7, 100).mean, 0.1);
}

TEST(cost_module_tests, hint_counts_as_much_as_it_was_right)
{
    request_cost useful;
    request_cost useless;
    for (std::uint32_t count = 0; count < 200; ++count)
    {
        const auto events = count % 2 == 0 ? 20U : 400U;
        useful.on_stream({"r", "", 0ms, events}, 0, events);
        useless.on_stream({"r", "", 0ms, 420 - events}, 0, events);
    }
    const request_kind kind{"r", "", 0ms, 400};
    const request_kind unhinted{"r", "", 0ms, {}};
    DOUBLES_EQUAL(400, useful.output(kind, 0, 0).mean, 50);
    CHECK_TRUE(useless.output(kind, 0, 0).mean <
               1.3 * useless.output(unhinted, 0, 0).mean);
}

TEST(cost_module_tests, keys_are_bounded)
{
    request_cost costs;
    for (std::size_t count = 0; count < max_cost_keys + 100; ++count)
    {
        const request_kind kind{fmt::format("r{}", count), "o", 0ms, 9};
        costs.on_stream(kind, count + 1, 10);
        costs.on_plain("s", kind, 10);
    }
    LONGS_EQUAL(max_cost_keys, costs.keys());
}

TEST(cost_module_tests, speed_needs_samples_and_a_restart_discards_it)
{
    server_speed speeds;
    const auto slow = make_server("slow");
    const auto fast = make_server("fast");
    speeds.on_work(start, slow, 200, 100);
    DOUBLES_EQUAL(1, speeds.work_ratio(start, slow), 0.001);
    for (int count = 0; count < 100; ++count)
    {
        speeds.on_work(start, slow, 200, 100);
        speeds.on_work(start, fast, 70, 100);
        speeds.on_gap(start, slow, 4, 40);
        speeds.on_gap(start, fast, 4, 15);
    }
    CHECK_TRUE(speeds.work_ratio(start, slow) > 1.3);
    CHECK_TRUE(speeds.work_ratio(start, fast) < 0.7);
    CHECK_TRUE(speeds.event_ms(start, slow, 4) >
               1.4 * speeds.event_ms(start, fast, 4));
    DOUBLES_EQUAL(1, speeds.work_ratio(start, make_server("slow", 2)), 0.001);
}

TEST(cost_module_tests, slowdown_counts_while_recent_and_not_contradicted)
{
    server_speed speeds;
    const auto server = make_server("a");
    speeds.on_slowdown(start, server, 250);
    DOUBLES_EQUAL(2.5, speeds.work_ratio(start, server), 0.01);
    DOUBLES_EQUAL(1, speeds.work_ratio(start + 300ms, server), 0.01);
    for (int count = 0; count < 10; ++count)
    {
        speeds.on_work(start, server, 100, 100);
    }
    DOUBLES_EQUAL(1, speeds.work_ratio(start, server), 0.01);
}

TEST(cost_module_tests, malformed_loads_are_not_parsed)
{
    for (const auto* text :
         {"", "1", "1,2", "1,2,", "1,2,3,", "1,2,3,4,", "1,2,3,4,5", "-1,2,3",
          "1, 2,3", "1,2,x", "99999999999,0,1", "1.5,0,4", ",,,"})
    {
        CHECK_FALSE_TEXT(parse_stated_load(text).has_value(), text);
    }
    CHECK_FALSE(parse_stated_load("1,2,3")->slowdown_percent.has_value());
    LONGS_EQUAL(250, *parse_stated_load("1,2,3,250")->slowdown_percent);
}

TEST(cost_module_tests, statement_counts_while_recent_with_what_was_sent_since)
{
    server_backlog backlog;
    const auto server = make_server("a");
    backlog.on_stated(start, server, {3, 2, 4, {}});
    backlog.on_sent(server);
    const protocol::sent_load own{1, 100, 10};
    const protocol::sent_load peers{2, 0, 0};
    const auto work = backlog.stated(start + 299ms, server, own, peers);
    CHECK_TRUE(work.has_value());
    DOUBLES_EQUAL(6, work->requests, 0.01);
    CHECK_FALSE(backlog.stated(start + 300ms, server, own, peers).has_value());
    CHECK_FALSE(
        backlog.stated(start, make_server("a", 2), own, peers).has_value());
}

TEST(cost_module_tests, statement_is_used_while_outcomes_support_it)
{
    server_backlog backlog;
    const auto server = make_server("a");
    CHECK_FALSE(backlog.trusted(server));
    for (int count = 0; count < 10; ++count)
    {
        backlog.on_outcome(server, 100, 110, 200);
    }
    CHECK_TRUE(backlog.trusted(server));
    CHECK_TRUE(backlog.trusted(make_server("b")));
    for (int count = 0; count < 10; ++count)
    {
        backlog.on_outcome(server, 100, 800, 120);
    }
    CHECK_FALSE(backlog.trusted(server));
}

TEST(cost_module_tests, timings_are_kept_for_a_bounded_number_of_routes)
{
    route_timings timings;
    for (int count = 0; count < 100; ++count)
    {
        timings.add(fmt::format("r{}", count), 300ms, {200ms, 50ms, 900ms});
    }
    transport::prometheus_text out;
    timings.write(out);
    const auto has = [&](const char* line) {
        return out.text().find(line) != std::string::npos;
    };
    CHECK_TRUE(
        has("hyssopdeal_route_first_event_seconds_sum{route=\"r9\"} 0.2"));
    CHECK_TRUE(
        has("hyssopdeal_route_answer_seconds_count{route=\"other\"} 36"));
    CHECK_FALSE(has("route=\"r64\""));
}
