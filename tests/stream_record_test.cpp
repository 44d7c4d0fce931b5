/// @file
/// Tests of coordination/stream_record.hpp: one step at a time.

#include <hyssopdeal/coordination/stream_record.hpp>

#include <CppUTest/TestHarness.h>

using namespace hyssopdeal;
using namespace hyssopdeal::coordination;
using namespace std::chrono_literals;

namespace
{

constexpr attempt_id first{1, 1};
constexpr attempt_id second{2, 2};

stream_origin make_origin()
{
    stream_origin origin;
    origin.stream = "s1";
    origin.organisation = "orchard";
    origin.version = "v1";
    origin.prompt_tokens = 100;
    return origin;
}

engine_event make_event(std::uint64_t sequence, attempt_id attempt = first,
                        stream_event_kind kind = stream_event_kind::text)
{
    return {attempt, sequence, kind, "t" + std::to_string(sequence), "{}"};
}

template <class Action>
int count_of(const std::vector<stream_action>& actions)
{
    int count = 0;
    for (const auto& action : actions)
    {
        count += std::holds_alternative<Action>(action) ? 1 : 0;
    }
    return count;
}

template <class Action>
Action last_of(const std::vector<stream_action>& actions)
{
    Action found{};
    for (const auto& action : actions)
    {
        if (const auto* match = std::get_if<Action>(&action))
        {
            found = *match;
        }
    }
    return found;
}

} // namespace

TEST_GROUP(stream_record_tests)
{
    transport::manual_clock clock;
    stream_settings settings;
    stream_record record{clock.monotonic_now(), make_origin(), first, 1,
                         settings};

    transport::monotonic_time now()
    {
        return clock.monotonic_now();
    }

    void choose_holder()
    {
        record.on_holder_chosen(now(), holder_presence::chosen);
        static_cast<void>(record.take_actions());
    }

    void take(std::uint64_t from, std::uint64_t to)
    {
        for (auto number = from; number <= to; ++number)
        {
            CHECK(record.on_engine_event(now(), make_event(number)) ==
                  event_outcome::accepted);
        }
    }
};

TEST(stream_record_tests, sends_nothing_before_the_copy_is_acknowledged)
{
    record.on_holder_chosen(now(), holder_presence::chosen);
    const auto opened = record.take_actions();
    LONGS_EQUAL(1, count_of<copy_events>(opened));
    LONGS_EQUAL(0, last_of<copy_events>(opened).to);
    take(1, 3);
    clock.advance(5ms);
    record.on_time(now());
    const auto waiting = record.take_actions();
    LONGS_EQUAL(0, count_of<deliver_events>(waiting));
    LONGS_EQUAL(3, last_of<copy_events>(waiting).to);
    record.on_copied(now(), 0);
    LONGS_EQUAL(0, count_of<deliver_events>(record.take_actions()));
    record.on_copied(now(), 3);
    const auto sent = last_of<deliver_events>(record.take_actions());
    LONGS_EQUAL(1, sent.from);
    LONGS_EQUAL(3, sent.to);
}

TEST(stream_record_tests, copies_behind_need_only_the_first_acknowledgement)
{
    settings.copies = copy_order::behind;
    stream_record fast{now(), make_origin(), first, 1, settings};
    fast.on_holder_chosen(now(), holder_presence::chosen);
    static_cast<void>(fast.on_engine_event(now(), make_event(1)));
    LONGS_EQUAL(0, count_of<deliver_events>(fast.take_actions()));
    fast.on_copied(now(), 0);
    LONGS_EQUAL(1, last_of<deliver_events>(fast.take_actions()).to);
    static_cast<void>(fast.on_engine_event(now(), make_event(2)));
    LONGS_EQUAL(2, last_of<deliver_events>(fast.take_actions()).to);
}

TEST(stream_record_tests, goes_on_without_a_second_instance)
{
    record.on_holder_chosen(now(), holder_presence::none);
    take(1, 1);
    const auto actions = record.take_actions();
    LONGS_EQUAL(0, count_of<copy_events>(actions));
    LONGS_EQUAL(1, last_of<deliver_events>(actions).to);
}

TEST(stream_record_tests, drops_duplicates_late_attempts_and_events_after_end)
{
    record.on_holder_chosen(now(), holder_presence::none);
    take(1, 2);
    CHECK(record.on_engine_event(now(), make_event(2)) ==
          event_outcome::duplicate);
    CHECK(record.on_engine_event(now(), make_event(3, second)) ==
          event_outcome::stale_attempt);
    CHECK(record.on_engine_event(
              now(), make_event(3, first, stream_event_kind::done)) ==
          event_outcome::accepted);
    CHECK(record.on_engine_event(now(), make_event(4)) ==
          event_outcome::after_end);
    STRCMP_EQUAL("t1t2t3", record.text().c_str());
    LONGS_EQUAL(1, count_of<stream_finished>(record.take_actions()));
}

TEST(stream_record_tests, gap_asks_the_engine_once_from_the_missing_event)
{
    choose_holder();
    take(1, 2);
    static_cast<void>(record.take_actions());
    CHECK(record.on_engine_event(now(), make_event(4)) == event_outcome::gap);
    CHECK(record.on_engine_event(now(), make_event(5)) == event_outcome::gap);
    const auto actions = record.take_actions();
    LONGS_EQUAL(1, count_of<resume_stream>(actions));
    const auto order = last_of<resume_stream>(actions);
    CHECK(order.way == resume_way::resume_on_engine);
    LONGS_EQUAL(3, order.from_sequence);
    take(3, 5);
    STRCMP_EQUAL("t1t2t3t4t5", record.text().c_str());
}

TEST(stream_record_tests, missing_end_mark_is_a_fault)
{
    record.on_holder_chosen(now(), holder_presence::none);
    take(1, 1);
    static_cast<void>(record.take_actions());
    record.on_engine_closed(now(), first);
    CHECK(last_of<resume_stream>(record.take_actions()).way ==
          resume_way::resume_on_engine);
    CHECK(record.phase() == stream_phase::running);
    record.on_engine_closed(now(), second);
    LONGS_EQUAL(0, record.take_actions().size());
}

TEST(stream_record_tests, gone_engine_is_replaced_by_prefill_and_counted)
{
    choose_holder();
    take(1, 5);
    record.on_engine_loss(now(), {engine_loss::cause::engine_gone, {}, 0ms},
                          second);
    const auto order = last_of<resume_stream>(record.take_actions());
    CHECK(order.way == resume_way::prefill);
    CHECK(order.attempt == second);
    LONGS_EQUAL(5, order.text_events);
    DOUBLES_EQUAL(105, record.recomputed_tokens(), 0);
    CHECK(record.on_engine_event(now(), make_event(6)) ==
          event_outcome::stale_attempt);
    CHECK(record.on_engine_event(now(), make_event(1, second)) ==
          event_outcome::accepted);
    LONGS_EQUAL(6, record.events().back().number);
}

TEST(stream_record_tests, complete_answer_needs_no_other_engine_for_its_end)
{
    record.on_holder_chosen(now(), holder_presence::none);
    take(1, 2);
    CHECK(record.on_engine_event(
              now(), make_event(3, first, stream_event_kind::finish)) ==
          event_outcome::accepted);
    record.on_engine_closed(now(), first);
    CHECK(last_of<resume_stream>(record.take_actions()).way ==
          resume_way::resume_on_engine);
    record.on_resume_failed(now(), second);
    const auto actions = record.take_actions();
    LONGS_EQUAL(0, count_of<resume_stream>(actions));
    LONGS_EQUAL(1, count_of<stream_finished>(actions));
    LONGS_EQUAL(4, record.events().size());
}

TEST(stream_record_tests, notice_moves_kv_only_when_time_is_left)
{
    choose_holder();
    take(1, 5);
    engine_loss notice{engine_loss::cause::reclaim_notice, now() + 2s, 3s};
    record.on_engine_loss(now(), notice, second);
    auto actions = record.take_actions();
    CHECK(last_of<resume_stream>(actions).way == resume_way::prefill);
    LONGS_EQUAL(1, count_of<cancel_attempt>(actions));
    notice.kv_move_time = 1s;
    record.on_engine_loss(now(), notice, attempt_id{3, 3});
    actions = record.take_actions();
    CHECK(last_of<resume_stream>(actions).way == resume_way::move_kv);
    DOUBLES_EQUAL(105, record.recomputed_tokens(), 0);
    record.on_resume_failed(now(), attempt_id{4, 4});
    CHECK(last_of<resume_stream>(record.take_actions()).way ==
          resume_way::prefill);
    DOUBLES_EQUAL(210, record.recomputed_tokens(), 0);
}

TEST(stream_record_tests, lost_holder_gets_everything_copied_to_the_next)
{
    choose_holder();
    take(1, 3);
    record.on_copied(now(), 3);
    static_cast<void>(record.take_actions());
    record.on_holder_lost(now());
    take(4, 4);
    LONGS_EQUAL(0, count_of<deliver_events>(record.take_actions()));
    record.on_holder_chosen(now(), holder_presence::chosen);
    const auto batch = last_of<copy_events>(record.take_actions());
    LONGS_EQUAL(1, batch.from);
    LONGS_EQUAL(4, batch.to);
    record.on_copied(now(), 4);
    LONGS_EQUAL(4, last_of<deliver_events>(record.take_actions()).to);
}

TEST(stream_record_tests, holder_that_missed_a_batch_gets_it_again)
{
    choose_holder();
    record.on_copied(now(), 0);
    take(1, 4);
    static_cast<void>(record.take_actions());
    record.on_copied(now(), 0);
    LONGS_EQUAL(1, last_of<copy_events>(record.take_actions()).from);
}

TEST(stream_record_tests, gone_caller_may_return_within_the_window)
{
    record.on_holder_chosen(now(), holder_presence::none);
    take(1, 2);
    record.on_caller_left(now());
    take(3, 4);
    static_cast<void>(record.take_actions());
    clock.advance(29s);
    CHECK(record.on_caller(now(), "neighbour", 2).error().code ==
          transport::reason::forbidden);
    CHECK(record.on_caller(now(), "orchard", 3).error().code ==
          transport::reason::revision_conflict);
    CHECK(record.on_caller(now(), "orchard", 1).has_value());
    const auto sent = last_of<deliver_events>(record.take_actions());
    LONGS_EQUAL(2, sent.from);
    LONGS_EQUAL(4, sent.to);
}

TEST(stream_record_tests, engine_is_cancelled_after_the_resume_window)
{
    record.on_holder_chosen(now(), holder_presence::none);
    take(1, 1);
    record.on_caller_left(now());
    clock.advance(30s);
    record.on_time(now());
    const auto actions = record.take_actions();
    LONGS_EQUAL(1, count_of<cancel_attempt>(actions));
    LONGS_EQUAL(1, count_of<stream_failed>(actions));
    CHECK(record.next_time() == transport::monotonic_time::max());
}

TEST(stream_record_tests, older_owner_stops_at_a_newer_epoch)
{
    record.on_holder_chosen(now(), holder_presence::none);
    record.on_newer_epoch(now(), 1);
    CHECK(record.phase() == stream_phase::running);
    record.on_newer_epoch(now(), 2);
    LONGS_EQUAL(1, count_of<stream_handed_over>(record.take_actions()));
    CHECK(record.on_engine_event(now(), make_event(1)) ==
          event_outcome::after_end);
    LONGS_EQUAL(0, record.take_actions().size());
}

TEST(stream_record_tests, silent_engine_is_asked_again_and_not_forever)
{
    record.on_holder_chosen(now(), holder_presence::none);
    for (std::uint32_t i = 0; i < settings.max_resumes; ++i)
    {
        clock.advance(10s);
        record.on_time(now());
        LONGS_EQUAL(1, count_of<resume_stream>(record.take_actions()));
        record.on_attempt_started(now(), first);
    }
    clock.advance(10s);
    record.on_time(now());
    CHECK(record.phase() == stream_phase::failed);
}

TEST(stream_record_tests, answer_over_the_cap_is_refused_clearly)
{
    settings.max_bytes = 1'000;
    stream_record small{now(), make_origin(), first, 1, settings};
    small.on_holder_chosen(now(), holder_presence::none);
    auto event = make_event(1);
    event.data = std::string(2'000, 'x');
    static_cast<void>(small.on_engine_event(now(), event));
    const auto actions = small.take_actions();
    CHECK(last_of<stream_failed>(actions).error.code ==
          transport::reason::too_large);
    LONGS_EQUAL(1, count_of<cancel_attempt>(actions));
}

TEST(stream_record_tests, attempt_ids_are_read_back)
{
    const attempt_id id{0x0123456789abcdefULL, 0xfedcba9876543210ULL};
    STRCMP_EQUAL("0123456789abcdeffedcba9876543210", to_string(id).c_str());
    CHECK(*parse_attempt_id(to_string(id)) == id);
    CHECK_FALSE(parse_attempt_id("0123").has_value());
    CHECK_FALSE(parse_attempt_id(std::string(32, 'G')).has_value());
}
