/// @file
/// Tests of hyssop-load: the same seed gives the same calls, figures are right,
/// and results can be compared.

#include <string>

#include <CppUTest/TestHarness.h>

#include "load/plan_maker.hpp"
#include "load/report.hpp"
#include "load/svg_plot.hpp"

using namespace std::chrono_literals;
using namespace hyssopdeal;

namespace
{

load::scenario sample_scenario()
{
    load::scenario plan;
    plan.rate_per_second = 100;
    load::call_class stream;
    stream.name = "critique";
    stream.path = "/v1/llm/critique";
    stream.keys = {"a", "b"};
    stream.reconnect_share = 0.5;
    load::call_class purchase;
    purchase.name = "payment";
    purchase.kind = load::call_kind::purchase;
    purchase.path = "/v1/app/payments";
    purchase.keys = {"c"};
    purchase.repeat_share = 1;
    plan.classes = {stream, purchase};
    return plan;
}

load::call_result result_of(std::size_t class_index, int first_ms,
                            load::call_outcome outcome)
{
    load::call_result result;
    result.class_index = class_index;
    result.first = std::chrono::milliseconds{first_ms};
    result.total = std::chrono::milliseconds{2 * first_ms};
    result.outcome = outcome;
    result.tokens = 10;
    result.version = "v1";
    return result;
}

load::run_results sample_results()
{
    load::run_results results;
    for (int ms = 1; ms <= 100; ++ms)
    {
        results.calls.push_back(result_of(0, ms, load::call_outcome::whole));
    }
    results.calls.push_back(result_of(1, 5, load::call_outcome::not_run));
    return results;
}

} // namespace

TEST_GROUP(plan_maker_tests){};

TEST(plan_maker_tests, same_seed_same_calls)
{
    const auto plan = sample_scenario();
    load::plan_maker one(plan);
    load::plan_maker other(plan);
    for (int at = 0; at < 200; ++at)
    {
        const auto a = one.next();
        const auto b = other.next();
        CHECK(a.arrives == b.arrives);
        CHECK(a.plan.body == b.plan.body);
        CHECK(a.plan.idempotency_key == b.plan.idempotency_key);
    }
}

TEST(plan_maker_tests, arrivals_follow_the_rate_and_its_steps)
{
    auto plan = sample_scenario();
    plan.steps = {{5s, 10}};
    load::plan_maker maker(plan);
    int early = 0;
    int late = 0;
    for (auto call = maker.next(); call.arrives < 10s; call = maker.next())
    {
        (call.arrives < 5s ? early : late) += 1;
    }
    // Poisson counts of means 500 and 5,000: six standard deviations around.
    CHECK(early > 365 && early < 635);
    CHECK(late > 4'575 && late < 5'425);
}

TEST(plan_maker_tests, purchases_have_keys_of_their_own)
{
    auto plan = sample_scenario();
    plan.classes[0].weight = 0;
    load::plan_maker maker(plan);
    const auto first = maker.next();
    const auto second = maker.next();
    CHECK(first.plan.idempotency_key != second.plan.idempotency_key);
    LONGS_EQUAL(1, first.plan.repeats);
}

TEST_GROUP(load_report_tests){};

TEST(load_report_tests, quantiles_count_whole_answers_only)
{
    const auto report = load::summarise(sample_scenario(), sample_results());
    const auto& row = report.classes.at(0);
    LONGS_EQUAL(100, row.whole);
    DOUBLES_EQUAL(50, row.first_p50_ms, 1);
    DOUBLES_EQUAL(95, row.first_p95_ms, 1);
    LONGS_EQUAL(1, report.classes.at(1).not_run);
    CHECK(load::promises_kept(report));
}

TEST(load_report_tests, one_wrong_text_breaks_the_promises)
{
    auto results = sample_results();
    results.calls.push_back(result_of(0, 1, load::call_outcome::wrong));
    CHECK_FALSE(
        load::promises_kept(load::summarise(sample_scenario(), results)));
    results = sample_results();
    results.purchases_broken = 1;
    CHECK_FALSE(
        load::promises_kept(load::summarise(sample_scenario(), results)));
}

TEST(load_report_tests, report_goes_round_and_compares)
{
    const auto report = load::summarise(sample_scenario(), sample_results());
    const auto read = protocol::read_settings<load::run_report>(
        protocol::write_settings(report), "report");
    CHECK(read.has_value());
    auto slower = *read;
    slower.classes[0].first_p50_ms *= 2;
    STRCMP_CONTAINS("2.000", load::compare_text(*read, slower).c_str());
}

TEST(load_report_tests, pictures_hold_a_line_for_each_name)
{
    const auto plan = sample_scenario();
    const auto results = sample_results();
    const auto latency = load::latency_plot(plan, results);
    STRCMP_CONTAINS(">critique</text>", latency.c_str());
    STRCMP_CONTAINS(">v1</text>", load::version_plot(results).c_str());
    CHECK(latency.ends_with("</svg>\n"));
}
