/// @file
/// Version moves under faults: every fault at every step, with random traffic,
/// the real state machine and leaders that are lost.

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

#include <hyssopdeal/coordination/move_controller.hpp>

#include "standins/move_session.hpp"

using namespace hyssopdeal;
using namespace hyssopdeal::coordination;
using namespace std::chrono_literals;
using standins::session_settings;
using state::move_phase;

namespace
{

using session = standins::move_session<move_controller>;

std::unique_ptr<move_controller> make_controller(const state::move_record& move)
{
    return std::make_unique<move_controller>(move_settings{}, move, 500ms);
}

session_settings small_service()
{
    session_settings settings;
    settings.traffic.requests_per_second = 100;
    settings.traffic.old_servers = 4;
    settings.traffic.new_servers = 4;
    settings.traffic.routes = {{"status", 3, 60ms}, {"book", 1, 150ms}};
    settings.complete_in = 600s;
    settings.watch = 60s;
    settings.load_time = 5s;
    return settings;
}

/// Runs until the move is at a step; false when it ended before.
bool run_to_step(session& move, move_phase phase, std::uint32_t step)
{
    for (int tick = 0; tick < 20'000 && !move.ended(); ++tick)
    {
        const auto& status = move.move().status;
        if (status.phase == phase && status.step == step)
        {
            return true;
        }
        move.step();
    }
    return false;
}

void run_for(session& move, std::chrono::milliseconds time)
{
    const auto until = move.clock().monotonic_now() + time;
    while (move.clock().monotonic_now() < until)
    {
        move.step();
    }
}

struct place
{
    move_phase phase;
    std::uint32_t step;
};

constexpr std::array<place, 8> places{{{move_phase::planned, 0},
                                       {move_phase::loading, 0},
                                       {move_phase::shifting, 0},
                                       {move_phase::shifting, 1},
                                       {move_phase::shifting, 2},
                                       {move_phase::shifting, 4},
                                       {move_phase::shifting, 5},
                                       {move_phase::watching, 6}}};

/// A fault that may hit a move at any place.
struct named_fault
{
    const char* name;
    std::function<void(session&)> hit;
};

std::vector<named_fault> faults()
{
    return {
        {"leader lost, its proposal too",
         [](session& move) {
             move.lose_leader(session::proposals::lost);
             run_for(move, 5s);
             move.elect();
         }},
        {"leader lost, its proposal committed",
         [](session& move) {
             move.lose_leader(session::proposals::kept);
             run_for(move, 5s);
             move.elect();
         }},
        {"two leaders lost in a row",
         [](session& move) {
             for (int i = 0; i < 2; ++i)
             {
                 move.lose_leader(session::proposals::lost);
                 run_for(move, 3s);
                 move.elect();
                 run_for(move, 500ms);
             }
         }},
        {"no leader for two minutes",
         [](session& move) {
             move.lose_leader(session::proposals::lost);
             run_for(move, 120s);
             move.elect();
         }},
        {"one server of the new version reclaimed",
         [](session& move) {
             move.lose_server(0);
             run_for(move, 20s);
             move.restore_server(0);
         }},
        {"all servers of the new version reclaimed",
         [](session& move) {
             for (std::size_t i = 0; i < 4; ++i)
             {
                 move.lose_server(i);
             }
             run_for(move, 20s);
             for (std::size_t i = 0; i < 4; ++i)
             {
                 move.restore_server(i);
             }
         }},
        {"server reclaimed while the leader is lost",
         [](session& move) {
             move.lose_leader(session::proposals::lost);
             move.lose_server(1);
             run_for(move, 10s);
             move.elect();
             run_for(move, 10s);
             move.restore_server(1);
         }},
    };
}

} // namespace

TEST_GROUP(move_controller_tests){};

TEST(move_controller_tests, a_good_version_is_done_in_time)
{
    session move{small_service(), 1, make_controller};
    const auto result = move.run(1'800s);
    CHECK(result.move.status.phase == move_phase::done);
    CHECK(result.complete_after.has_value());
    CHECK(*result.complete_after <= 600s);
    CHECK_FALSE(result.warned_late);
}

TEST(move_controller_tests, a_good_version_is_done_after_any_fault_anywhere)
{
    for (const auto& fault : faults())
    {
        for (const auto& place : places)
        {
            session move{small_service(), 3, make_controller};
            CHECK_TEXT(run_to_step(move, place.phase, place.step), fault.name);
            fault.hit(move);
            const auto result = move.run(3'600s);
            CHECK_TEXT(result.move.status.phase == move_phase::done,
                       fault.name);
        }
    }
}

TEST(move_controller_tests, a_bad_version_is_taken_back_after_any_fault)
{
    for (const auto& fault : faults())
    {
        for (const auto& place : places)
        {
            auto settings = small_service();
            settings.traffic.fault.kind = standins::version_fault::fails;
            settings.traffic.fault.after = 400s;
            // Also a move that a fault delays is watched until then.
            settings.watch = 300s;
            session move{settings, 4, make_controller};
            if (run_to_step(move, place.phase, place.step))
            {
                fault.hit(move);
            }
            const auto result = move.run(3'600s);
            CHECK_TEXT(result.move.status.phase == move_phase::taken_back,
                       fault.name);
            const double bad = static_cast<double>(result.traffic.bad);
            const double all = static_cast<double>(result.traffic.requests);
            CHECK_TEXT(bad <= 0.01 * all, fault.name);
        }
    }
}

// The watch window passes without a leader, and the fault shows in it.
TEST(move_controller_tests, a_new_leader_watches_for_itself)
{
    auto settings = small_service();
    settings.traffic.fault.kind = standins::version_fault::slow;
    settings.traffic.fault.after = 450s;
    session move{settings, 4, make_controller};
    CHECK(run_to_step(move, move_phase::watching, 6));
    LONGS_EQUAL(0, move.result().traffic.bad);
    move.lose_leader(session::proposals::lost);
    run_for(move, 120s);
    move.elect();
    const auto result = move.run(1'800s);
    CHECK(result.traffic.bad > 0);
    CHECK(result.move.status.phase == move_phase::taken_back);
}

TEST(move_controller_tests, every_kind_of_bad_version_is_taken_back)
{
    using standins::version_fault;
    for (const auto kind : {version_fault::fails, version_fault::slow,
                            version_fault::broken, version_fault::empty})
    {
        for (const auto after : {0s, 500s, 590s})
        {
            for (const char* route : {"", "book"})
            {
                auto settings = small_service();
                settings.watch = 180s;
                settings.traffic.fault.kind = kind;
                settings.traffic.fault.after = after;
                settings.traffic.fault.route = route;
                session move{settings, 5, make_controller};
                const auto result = move.run(3'600s);
                CHECK(result.move.status.phase == move_phase::taken_back);
                CHECK_FALSE(result.move.status.evidence.empty());
            }
        }
    }
}

TEST(move_controller_tests, copies_show_a_bad_version_before_any_caller)
{
    using standins::version_fault;
    for (const auto kind : {version_fault::fails, version_fault::slow,
                            version_fault::broken, version_fault::empty})
    {
        auto settings = small_service();
        settings.traffic.copies = standins::request_copies::made;
        settings.traffic.fault.kind = kind;
        session move{settings, 10, make_controller};
        const auto result = move.run(600s);
        CHECK(result.move.status.phase == move_phase::taken_back);
        LONGS_EQUAL(0, result.traffic.bad);
        LONGS_EQUAL(0, result.traffic.new_version);
    }
}

TEST(move_controller_tests, a_cancelled_move_stays_cancelled)
{
    session move{small_service(), 6, make_controller};
    CHECK(run_to_step(move, move_phase::shifting, 1));
    move.apply(state::cancel_move{"service", move.move().changed});
    const auto result = move.run(60s);
    CHECK(result.move.status.phase == move_phase::cancelled);
    DOUBLES_EQUAL(0, result.move.status.share, 1e-9);
}

TEST(move_controller_tests, warns_at_once_when_the_deadline_is_too_near)
{
    auto settings = small_service();
    settings.complete_in = 40s;
    session move{settings, 7, make_controller};
    run_for(move, 2s);
    CHECK(move.result().warned_late);
    const auto result = move.run(1'800s);
    CHECK(result.move.status.phase == move_phase::done);
    CHECK(*result.complete_after > 40s);
}

TEST(move_controller_tests, is_taken_back_when_no_server_can_load_it)
{
    session move{small_service(), 8, make_controller};
    for (std::size_t i = 0; i < 4; ++i)
    {
        move.fail_load(i);
    }
    const auto result = move.run(60s);
    CHECK(result.move.status.phase == move_phase::taken_back);
    LONGS_EQUAL(0, result.traffic.new_version);
}

TEST(move_controller_tests, is_taken_back_when_overdue_without_servers)
{
    session move{small_service(), 9, make_controller};
    for (std::size_t i = 0; i < 4; ++i)
    {
        move.lose_server(i);
    }
    const auto result = move.run(7'200s);
    CHECK(result.move.status.phase == move_phase::taken_back);
}

TEST_GROUP(move_plan_tests){};

TEST(move_plan_tests, keeps_a_reserve_before_the_deadline)
{
    plan_input input;
    input.ordered_at = transport::wall_time{1'000'000s};
    input.now = input.ordered_at;
    input.complete_by = input.now + 3'600s;
    input.load_time = 60s;
    input.requests_per_second = 10;
    const auto plan = make_plan({}, input);
    DOUBLES_EQUAL(0, plan.steps[0].share, 1e-9);
    DOUBLES_EQUAL(0.01, plan.steps[1].share, 1e-9);
    DOUBLES_EQUAL(1, plan.steps.back().share, 1e-9);
    CHECK(plan.expected_at <= input.complete_by - 700s);
    CHECK(plan.steps[1].stay > plan.steps[4].stay);
}

TEST(move_plan_tests, never_shortens_stays_for_a_near_deadline)
{
    plan_input input;
    input.now = transport::wall_time{1'000'000s};
    input.ordered_at = input.now;
    input.complete_by = input.now + 1s;
    const auto plan = make_plan({}, input);
    for (std::size_t i = 0; i + 1 < plan.steps.size(); ++i)
    {
        CHECK(plan.steps[i].stay >= move_plan_settings{}.shortest_stay);
    }
    CHECK(plan.expected_at > input.complete_by);
}
