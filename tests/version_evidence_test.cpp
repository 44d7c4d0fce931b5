/// @file
/// Tests of the evidence about versions: sequential test, comparison, guard,
/// observer and reports.

#include <random>

#include <CppUTest/TestHarness.h>

#include <hyssopdeal/coordination/version_comparison.hpp>
#include <hyssopdeal/coordination/version_guard.hpp>
#include <hyssopdeal/coordination/version_observer.hpp>
#include <hyssopdeal/coordination/version_shadow.hpp>

using namespace hyssopdeal;
using namespace hyssopdeal::coordination;
using namespace std::chrono_literals;

namespace
{

version_report report_of(std::uint64_t sequence, std::string_view version,
                         std::uint64_t requests, std::uint64_t failed)
{
    version_report report;
    report.entry = "entry";
    report.incarnation = 1;
    report.sequence = sequence;
    report.service = "service";
    auto& cell = report.cells.emplace_back();
    cell.version = version;
    cell.route = "chat";
    cell.requests = requests;
    cell.failed = failed;
    return report;
}

version_comparison make_comparison()
{
    return {comparison_settings{}, {"v1"}, "v2", 500ms};
}

} // namespace

TEST_GROUP(sequential_test_tests){};

// The stated false-alarm probability is for a whole move: 0.002 for 100 tests.
// Of 20,000 tests at the reference rate itself at most one may alarm.
TEST(sequential_test_tests, keeps_the_false_alarm_rate)
{
    std::mt19937_64 random{7};
    int alarms = 0;
    for (int run = 0; run < 20'000; ++run)
    {
        sequential_test test;
        std::binomial_distribution<std::uint64_t> hits{5, 0.02};
        for (int window = 0; window < 500; ++window)
        {
            test.add(hits(random), 5, 0.02);
        }
        alarms += test.verdict() == test_verdict::worse;
    }
    CHECK(alarms <= 1);
}

TEST(sequential_test_tests, passes_few_versions_that_are_worse_by_the_effect)
{
    std::mt19937_64 random{8};
    int passed = 0;
    constexpr int runs = 2'000;
    for (int run = 0; run < runs; ++run)
    {
        sequential_test test;
        std::bernoulli_distribution hit{0.02 + 0.05};
        for (int i = 0; i < 100; ++i)
        {
            test.add(hit(random) ? 1 : 0, 1, 0.02);
        }
        passed += test.verdict() == test_verdict::not_worse;
    }
    // Stated: 1 in 100, and three standard deviations of the count.
    CHECK(passed <= runs / 100 + 13);
}

TEST(sequential_test_tests, finds_a_failing_version_after_long_good_service)
{
    sequential_test test;
    test.add(0, 100'000, 0.01);
    CHECK(test.verdict() == test_verdict::not_worse);
    for (int i = 0; i < 8; ++i)
    {
        test.add(1, 1, 0.01);
    }
    CHECK(test.verdict() == test_verdict::worse);
}

TEST_GROUP(version_comparison_tests){};

TEST(version_comparison_tests, counts_a_resent_report_once)
{
    auto comparison = make_comparison();
    comparison.on_report(report_of(1, "v2", 3, 3));
    comparison.on_report(report_of(1, "v2", 3, 3));
    LONGS_EQUAL(3, comparison.new_requests());
    auto restarted = report_of(1, "v2", 3, 0);
    restarted.incarnation = 2;
    comparison.on_report(restarted);
    LONGS_EQUAL(6, comparison.new_requests());
}

TEST(version_comparison_tests, failures_of_both_versions_are_no_evidence)
{
    auto comparison = make_comparison();
    for (std::uint64_t i = 0; i < 200; ++i)
    {
        comparison.on_report(report_of(2 * i + 1, "v1", 100, 60));
        comparison.on_report(report_of(2 * i + 2, "v2", 1, i % 5 < 3 ? 1 : 0));
        comparison.close_window();
    }
    CHECK_FALSE(comparison.worse());
}

TEST(version_comparison_tests, rare_route_that_always_fails_is_no_evidence)
{
    auto comparison = make_comparison();
    for (std::uint64_t i = 0; i < 16; ++i)
    {
        comparison.on_report(report_of(2 * i + 1, "v1", 1, 1));
        comparison.close_window();
        comparison.on_report(report_of(2 * i + 2, "v2", 1, 1));
        comparison.close_window();
    }
    CHECK_FALSE(comparison.worse());
}

TEST(version_comparison_tests, is_worse_when_guards_of_two_entries_tripped)
{
    auto comparison = make_comparison();
    auto report = report_of(1, "v1", 1, 0);
    report.trips = {{"v2", "chat", 4}};
    report.trips.clear();
    report.entry = "other";
    comparison.on_report(report);
    report.trips = {{"v2", "chat", 4}};
    report.entry = "entry";
    comparison.on_report(report);
    CHECK_FALSE(comparison.worse());
    report.sequence = 2;
    report.entry = "other";
    comparison.on_report(report);
    CHECK(comparison.worse());
}

// Its guard stops the answers that more evidence would need.
TEST(version_comparison_tests, is_worse_when_the_only_entry_s_guard_tripped)
{
    auto comparison = make_comparison();
    auto report = report_of(1, "v1", 1, 0);
    report.trips = {{"v2", "chat", 4}};
    comparison.on_report(report);
    CHECK(comparison.worse());
}

// The trial of a short move is nearly over before the old version has given
// enough answers to compare with.
TEST(version_comparison_tests, answers_before_the_first_reference_are_judged)
{
    auto comparison = make_comparison();
    std::uint64_t sequence = 0;
    const auto report = [&](const char* version, std::chrono::milliseconds time,
                            int answers) {
        auto made = report_of(++sequence, version, 0, 0);
        auto& cell = made.cells.front();
        cell.requests = static_cast<std::uint64_t>(answers);
        for (int i = 0; i < answers; ++i)
        {
            cell.first_token.add(time);
        }
        comparison.on_report(made);
        comparison.close_window();
    };
    report("v1", 100ms, 5);
    report("v2", 900ms, 40);
    CHECK_FALSE(comparison.worse());
    report("v1", 100ms, 60);
    CHECK(comparison.worse());
}

TEST(version_comparison_tests, a_leader_without_a_reference_still_judges)
{
    auto comparison = make_comparison();
    for (std::uint64_t i = 1; i <= 12; ++i)
    {
        comparison.on_report(report_of(i, "v2", 5, 5));
        comparison.close_window();
    }
    CHECK(comparison.worse());
}

TEST_GROUP(version_guard_tests)
{
    transport::manual_clock clock;
    version_guard guard;
    std::vector<protocol::version_share> shares{{"v1", 0.9}, {"v2", 0.1}};

    void fail(std::string_view version, int times)
    {
        for (int i = 0; i < times; ++i)
        {
            guard.on_answer(clock.monotonic_now(), version, "chat",
                            answer_kind::broken);
        }
    }

    double new_share()
    {
        return guard.effective_shares(clock.monotonic_now(), shares)
            .back()
            .share;
    }
};

TEST(version_guard_tests, takes_out_a_version_that_fails_in_a_row)
{
    fail("v2", 3);
    DOUBLES_EQUAL(0.1, new_share(), 1e-9);
    fail("v2", 1);
    DOUBLES_EQUAL(0, new_share(), 1e-9);
    LONGS_EQUAL(1, guard.trips(clock.monotonic_now()).size());
    clock.advance(61s);
    DOUBLES_EQUAL(0.1, new_share(), 1e-9);
}

TEST(version_guard_tests, a_good_answer_between_starts_the_row_anew)
{
    fail("v2", 3);
    guard.on_answer(clock.monotonic_now(), "v2", "chat", answer_kind::whole);
    fail("v2", 3);
    DOUBLES_EQUAL(0.1, new_share(), 1e-9);
}

TEST(version_guard_tests, gives_all_traffic_back_in_the_watch_window)
{
    shares = {{"v1", 0}, {"v2", 1}};
    fail("v2", 4);
    const auto now = guard.effective_shares(clock.monotonic_now(), shares);
    DOUBLES_EQUAL(1, now.front().share, 1e-9);
    DOUBLES_EQUAL(0, now.back().share, 1e-9);
}

TEST(version_guard_tests, never_takes_out_the_established_version)
{
    fail("v1", 50);
    DOUBLES_EQUAL(0.1, new_share(), 1e-9);
    fail("v2", 50);
    DOUBLES_EQUAL(0.1, new_share(), 1e-9);
}

TEST_GROUP(version_observer_tests){};

TEST(version_observer_tests, reports_survive_the_wire)
{
    transport::manual_clock clock;
    version_observer observer{"entry", 5, clock.monotonic_now()};
    observer.on_offered("service", protocol::priority_class::interactive);
    observer.on_first_token("service", "v2", "chat", load_bucket::heavy, 120ms);
    version_observation seen;
    seen.service = "service";
    seen.version = "v2";
    seen.route = "chat";
    seen.load = load_bucket::heavy;
    seen.answer = answer_kind::empty;
    observer.on_answer(seen);
    clock.advance(250ms);
    const auto reports = observer.take_reports(clock.monotonic_now());
    LONGS_EQUAL(1, reports.size());
    const auto decoded = decode_version_report(encode(reports[0]));
    CHECK(decoded.has_value());
    LONGS_EQUAL(1, decoded->cells.size());
    const auto& cell = decoded->cells[0];
    LONGS_EQUAL(1, cell.requests);
    LONGS_EQUAL(1, cell.empty);
    LONGS_EQUAL(1, cell.first_token.total());
    LONGS_EQUAL(1, decoded->interactive_requests);
    CHECK(decoded->period == 250ms);
    CHECK(observer.take_reports(clock.monotonic_now()).empty());
}

TEST(version_observer_tests, refuses_bytes_that_are_no_report)
{
    CHECK_FALSE(decode_version_report("").has_value());
    CHECK_FALSE(decode_version_report(std::string(64, '\xff')).has_value());
    auto report = report_of(1, "v2", 1, 5);
    CHECK_FALSE(decode_version_report(encode(report)).has_value());
}

TEST_GROUP(version_shadow_tests)
{
    std::mt19937_64 random{9};
    version_shadow shadow;
    std::vector<protocol::version_share> shares{{"v1", 1}, {"v2", 0}};

    int copies(const std::vector<protocol::version_share>& effective,
               protocol::repeatability repeats)
    {
        int count = 0;
        for (int i = 0; i < 1'000; ++i)
        {
            if (!shadow.choose(shares, effective, repeats, random).empty())
            {
                ++count;
                shadow.on_ended();
            }
        }
        return count;
    }
};

TEST(version_shadow_tests, copies_a_part_of_the_repeatable_requests)
{
    const auto repeatable = protocol::repeatability::repeatable;
    DOUBLES_EQUAL(500, copies(shares, repeatable), 80);
    shares = {{"v1", 0.99}, {"v2", 0.01}};
    DOUBLES_EQUAL(100, copies(shares, repeatable), 50);
    shares = {{"v1", 0.95}, {"v2", 0.05}};
    LONGS_EQUAL(0, copies(shares, repeatable));
    shares = {{"v1", 1}};
    LONGS_EQUAL(0, copies(shares, repeatable));
}

TEST(version_shadow_tests, never_copies_what_must_run_at_most_once)
{
    LONGS_EQUAL(0, copies(shares, protocol::repeatability::at_most_once));
}

TEST(version_shadow_tests, copies_nothing_to_a_version_that_the_guard_took_out)
{
    shares = {{"v1", 0.99}, {"v2", 0.01}};
    const std::vector<protocol::version_share> guarded{{"v1", 1}, {"v2", 0}};
    LONGS_EQUAL(0, copies(guarded, protocol::repeatability::repeatable));
}

TEST(version_shadow_tests, keeps_few_copies_open)
{
    std::uint32_t open = 0;
    for (int i = 0; i < 1'000; ++i)
    {
        open += !shadow
                     .choose(shares, shares,
                             protocol::repeatability::repeatable, random)
                     .empty();
    }
    LONGS_EQUAL(version_shadow_settings{}.most_open, open);
}
