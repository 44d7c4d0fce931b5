/// @file
/// Tests of coordination/stream_copies.hpp, holder_choice.hpp and
/// stream_evacuation.hpp.

#include <hyssopdeal/coordination/holder_choice.hpp>
#include <hyssopdeal/coordination/stream_copies.hpp>
#include <hyssopdeal/coordination/stream_evacuation.hpp>

#include <map>

#include <CppUTest/TestHarness.h>

using namespace hyssopdeal;
using namespace hyssopdeal::coordination;
using namespace std::chrono_literals;

namespace
{

stream_origin make_origin(const std::string& stream)
{
    stream_origin origin;
    origin.stream = stream;
    origin.organisation = "orchard";
    origin.body = std::string(500, 'x');
    return origin;
}

std::vector<stream_event> make_events(std::uint64_t from, std::uint64_t to)
{
    std::vector<stream_event> events;
    for (auto number = from; number <= to; ++number)
    {
        events.push_back({number, stream_event_kind::text, "t", "{}"});
    }
    return events;
}

constexpr attempt_id attempt{1, 1};

} // namespace

TEST_GROUP(stream_copies_tests)
{
    transport::manual_clock clock;
    stream_copies copies{{10'000, 60s, 10s}};

    transport::monotonic_time now()
    {
        return clock.monotonic_now();
    }

    transport::result<copy_answer> append(std::uint64_t from, std::uint64_t to,
                                          owner_epoch epoch = 1)
    {
        return copies.append(now(), "s1", epoch,
                             {attempt, "w1", to, to, make_events(from, to)});
    }
};

TEST(stream_copies_tests, keeps_events_without_gaps_or_repeats)
{
    CHECK(copies.open(now(), make_origin("s1"), "e1", 1).has_value());
    LONGS_EQUAL(3, append(1, 3)->copied_to);
    LONGS_EQUAL(4, append(2, 4)->copied_to);
    LONGS_EQUAL(4, append(6, 7)->copied_to);
    LONGS_EQUAL(4, copies.find("s1")->events.size());
    LONGS_EQUAL(4, copies.find("s1")->sequence);
}

TEST(stream_copies_tests, newer_owners_text_replaces_the_older_one_s)
{
    CHECK(copies.open(now(), make_origin("s1"), "e1", 1).has_value());
    CHECK(append(1, 5).has_value());
    CHECK(copies.open(now(), make_origin("s1"), "e3", 2).has_value());
    auto other = make_events(3, 4);
    other[1].text = "other";
    const attempt_id next{9, 9};
    LONGS_EQUAL(
        4, copies.append(now(), "s1", 2, {next, "w2", 4, 4, other})->copied_to);
    const auto* held = copies.find("s1");
    LONGS_EQUAL(4, held->events.size());
    CHECK(held->events[3].text == "other");
    CHECK(held->attempt == next);
}

TEST(stream_copies_tests, late_announcement_does_not_move_the_attempt_s_place)
{
    CHECK(copies.open(now(), make_origin("s1"), "e1", 1).has_value());
    CHECK(append(1, 3).has_value());
    const auto late = copies.append(now(), "s1", 1, {attempt, "w1", 0, 0, {}});
    LONGS_EQUAL(3, late->copied_to);
    LONGS_EQUAL(3, copies.find("s1")->sequence);
}

TEST(stream_copies_tests, take_over_shuts_the_old_owner_out)
{
    CHECK(copies.open(now(), make_origin("s1"), "e1", 1).has_value());
    CHECK(append(1, 3).has_value());
    CHECK(copies.take_over(now(), "s1", "neighbour", "e3").error().code ==
          transport::reason::forbidden);
    CHECK(copies.take_over(now(), "s2", "orchard", "e3").error().code ==
          transport::reason::not_found);
    const auto taken = copies.take_over(now(), "s1", "orchard", "e3");
    LONGS_EQUAL(2, taken->epoch);
    LONGS_EQUAL(3, taken->events.size());
    CHECK(append(4, 4).error().code == transport::reason::revision_conflict);
    CHECK(copies.open(now(), make_origin("s1"), "e1", 1).error().code ==
          transport::reason::revision_conflict);
    CHECK(copies.open(now(), make_origin("s1"), "e1", 2).error().code ==
          transport::reason::revision_conflict);
    CHECK(copies.open(now(), make_origin("s1"), "e3", 2).has_value());
    LONGS_EQUAL(4, append(4, 4, 2)->copied_to);
}

TEST(stream_copies_tests, memory_is_bounded_with_a_clear_refusal)
{
    int opened = 0;
    transport::reason refusal = transport::reason::internal;
    for (int i = 0; i < 100; ++i)
    {
        const auto answer =
            copies.open(now(), make_origin("s" + std::to_string(i)), "e1", 1);
        opened += answer.has_value() ? 1 : 0;
        refusal = answer ? refusal : answer.error().code;
        CHECK(copies.bytes() <= 10'000);
    }
    CHECK(opened > 5);
    CHECK(opened < 100);
    CHECK(refusal == transport::reason::overloaded);
    CHECK_FALSE(append(1, 100).has_value());
    CHECK(copies.bytes() <= 10'000);
    clock.advance(61s);
    LONGS_EQUAL(opened, copies.expire(now()).size());
    LONGS_EQUAL(0, copies.bytes());
    LONGS_EQUAL(0, copies.size());
}

TEST(stream_copies_tests, delivered_copy_goes_soon_and_cancels_nothing)
{
    CHECK(copies.open(now(), make_origin("s1"), "e1", 1).has_value());
    copies.close("s1", 1);
    LONGS_EQUAL(0, copies.streams_of("e1").size());
    clock.advance(9s);
    LONGS_EQUAL(0, copies.expire(now()).size());
    LONGS_EQUAL(1, copies.size());
    clock.advance(1s);
    LONGS_EQUAL(0, copies.expire(now()).size());
    LONGS_EQUAL(0, copies.size());
}

TEST_GROUP(holder_choice_tests)
{
    std::vector<entry_member> members{{"e1", "a", entry_liveness::alive},
                                      {"e2", "a", entry_liveness::alive},
                                      {"e3", "b", entry_liveness::alive},
                                      {"e4", "b", entry_liveness::alive},
                                      {"e5", "c", entry_liveness::alive}};
};

TEST(holder_choice_tests, prefers_other_domain_then_own_then_none)
{
    const auto far = choose_holder("s1", "e1", "a", members);
    CHECK(far.spread == copy_spread::other_failure_domain);
    CHECK(far.holder != "e1" && far.holder != "e2");
    for (auto& member : members)
    {
        member.state = member.failure_domain == "a" ? entry_liveness::alive
                                                    : entry_liveness::leaving;
    }
    const auto near = choose_holder("s1", "e1", "a", members);
    CHECK(near.spread == copy_spread::own_failure_domain);
    STRCMP_EQUAL("e2", near.holder.c_str());
    CHECK(choose_holder("s1", "e1", "a", members, {"e2"}).spread ==
          copy_spread::none);
}

TEST(holder_choice_tests, is_the_same_everywhere_and_spread_evenly)
{
    std::map<std::string, int> held;
    for (int i = 0; i < 3'000; ++i)
    {
        const auto stream = "s" + std::to_string(i);
        const auto pick = choose_holder(stream, "e1", "a", members);
        auto turned = members;
        std::reverse(turned.begin(), turned.end());
        CHECK(pick.holder == choose_holder(stream, "e1", "a", turned).holder);
        ++held[pick.holder];
    }
    LONGS_EQUAL(3, held.size());
    for (const auto& [name, count] : held)
    {
        CHECK(count > 850 && count < 1'150);
    }
}

TEST(holder_choice_tests, lookup_asks_live_members_by_rank)
{
    members[2].state = entry_liveness::leaving;
    const auto order = lookup_order("s1", members);
    LONGS_EQUAL(5, order.size());
    STRCMP_EQUAL("e3", order.back().c_str());
    const auto pick = choose_holder("s1", "e1", "a", members);
    CHECK(order.at(0) == pick.holder || order.at(0) == "e1" ||
          order.at(0) == "e2");
}

TEST_GROUP(evacuation_tests){};

TEST(evacuation_tests, moves_longest_recompute_first_within_the_notice)
{
    transport::manual_clock clock;
    const auto now = clock.monotonic_now();
    const std::vector<evacuating_stream> streams{
        {100, 2s, 60s}, {9'000, 2s, 60s}, {50, 2s, 1s}, {5'000, 2s, 60s}};
    evacuation_settings settings;
    settings.kv_lanes = 1;
    std::map<std::size_t, evacuation_step> steps;
    for (const auto& step : plan_evacuation(now, now + 5s, streams, settings))
    {
        steps[step.stream] = step;
    }
    CHECK(steps[1].way == evacuation_way::move_kv && steps[1].start == now);
    CHECK(steps[3].way == evacuation_way::move_kv &&
          steps[3].start == now + 2s);
    CHECK(steps[0].way == evacuation_way::prefill);
    CHECK(steps[2].way == evacuation_way::finish);
    for (const auto& step : plan_evacuation(now, now, streams, settings))
    {
        CHECK(step.way == evacuation_way::prefill);
    }
}
