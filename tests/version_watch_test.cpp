/// @file
/// Tests of version_watch: reports on the attempts of one thread of an entry.

#include <CppUTest/TestHarness.h>

#include "coordination/version_watch.hpp"

using namespace hyssopdeal;
using namespace hyssopdeal::coordination;
using namespace std::chrono_literals;

TEST_GROUP(version_watch_tests)
{
    transport::manual_clock clock;
    version_watch watch{"entry-1/0", 1, clock.monotonic_now()};
    route_choice choice;

    watched_attempt begin(std::chrono::microseconds expected)
    {
        choice.version = "v2";
        choice.unloaded_first_token = expected;
        choice.predicted_first_token = expected;
        return watch.begin(clock.monotonic_now(), "sidra", "chat", choice);
    }

    version_cell only_cell()
    {
        const auto reports = watch.take_reports(clock.monotonic_now());
        LONGS_EQUAL(1, reports.size());
        LONGS_EQUAL(1, reports[0].cells.size());
        return reports[0].cells[0];
    }
};

TEST(version_watch_tests, empty_cache_does_not_count_as_latency_of_the_version)
{
    auto cold = begin(900ms);
    clock.advance(950ms);
    watch.on_first_token(clock.monotonic_now(), cold);
    auto warm = begin(50ms);
    clock.advance(100ms);
    watch.on_first_token(clock.monotonic_now(), warm);
    const auto cell = only_cell();
    LONGS_EQUAL(2, cell.first_token.total());
    LONGS_EQUAL(cell.first_token.quantile_bin(0.1),
                cell.first_token.quantile_bin(1));
}

TEST(version_watch_tests, result_is_recorded_once)
{
    auto attempt = begin(0us);
    watch.on_ended(clock.monotonic_now(), attempt, answer_kind::failed, 0);
    watch.on_ended(clock.monotonic_now(), attempt, answer_kind::whole, 0);
    const auto cell = only_cell();
    LONGS_EQUAL(1, cell.requests);
    LONGS_EQUAL(1, cell.failed);
}

TEST(version_watch_tests, forgotten_attempt_is_not_reported)
{
    auto attempt = begin(0us);
    version_watch::forget(attempt);
    watch.on_first_token(clock.monotonic_now(), attempt);
    watch.on_ended(clock.monotonic_now(), attempt, answer_kind::failed, 0);
    CHECK(watch.take_reports(clock.monotonic_now()).empty());
}

TEST(version_watch_tests, reports_guard_trips_and_applies_them)
{
    for (int i = 0; i < 4; ++i)
    {
        auto attempt = begin(0us);
        watch.on_ended(clock.monotonic_now(), attempt, answer_kind::broken, 0);
    }
    protocol::service service;
    service.name = "sidra";
    service.shares = {{"v1", 0.9}, {"v2", 0.1}};
    const auto shares = watch.effective_shares(clock.monotonic_now(), service);
    DOUBLES_EQUAL(0, shares.back().share, 1e-9);
    const auto reports = watch.take_reports(clock.monotonic_now());
    LONGS_EQUAL(1, reports[0].trips.size());
}
