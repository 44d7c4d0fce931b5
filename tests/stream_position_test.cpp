/// @file
/// After which event a stream can be resumed, and which events its caller
/// already has: coordination/gateway/stream_position.hpp. The load is one
/// stream of a few events.

#include <string>

#include <CppUTest/TestHarness.h>

#include <hyssopdeal/coordination/gateway/stream_position.hpp>

using namespace hyssopdeal;
using namespace hyssopdeal::coordination;

TEST_GROUP(stream_position_tests)
{
    stream_position position;

    void setup() override
    {
        position.on_attempt();
    }

    bool accept(const std::string& id)
    {
        return position.accept("id: " + id + "\ndata: x\n\n");
    }

    void check_id(const char* id)
    {
        STRCMP_EQUAL(id, position.last_id().c_str());
    }
};

TEST(stream_position_tests, new_stream_can_be_started_anywhere)
{
    CHECK(position.can_resume());
    CHECK_FALSE(position.misses_events());
    check_id("");
}

// Numbers may start at 0, which must not pass for an event that was relayed.
TEST(stream_position_tests, last_event_is_the_place_to_resume_after)
{
    CHECK(accept("0"));
    check_id("0");
    CHECK(accept("1"));
    check_id("1");
    CHECK(position.can_resume());
    CHECK_FALSE(position.misses_events());
}

// The caller would get these events twice.
TEST(stream_position_tests, repeated_events_are_not_relayed)
{
    CHECK(accept("1"));
    CHECK(accept("2"));
    position.on_attempt();
    CHECK_FALSE(accept("1"));
    CHECK_FALSE(accept("2"));
    CHECK(accept("3"));
    check_id("3");
    CHECK_FALSE(position.misses_events());
    CHECK(position.can_resume());
}

// A server that lost a part of the run repeats events and ends before the
// place that the caller has reached: the stream must not look complete.
TEST(stream_position_tests, end_before_the_position_misses_events)
{
    CHECK(accept("1"));
    CHECK(accept("2"));
    position.on_attempt();
    CHECK_FALSE(position.misses_events());
    CHECK_FALSE(accept("1"));
    CHECK(position.misses_events());
    CHECK_FALSE(accept("2"));
    CHECK_FALSE(position.misses_events());
    position.on_attempt();
    CHECK_FALSE(accept("1"));
    // What one attempt repeated says nothing of the next.
    position.on_attempt();
    CHECK_FALSE(position.misses_events());
}

// Events between the two numbers are missing, and a resume after the larger
// one would skip them.
TEST(stream_position_tests, numbers_that_go_back_forbid_a_resume)
{
    CHECK(accept("5"));
    CHECK_FALSE(accept("3"));
    CHECK(position.numbers_went_back());
    CHECK(position.misses_events());
    CHECK_FALSE(position.can_resume());
    CHECK(accept("6"));
    CHECK(position.numbers_went_back());
    check_id("6");
    position.on_attempt();
    CHECK_FALSE(position.numbers_went_back());
}

TEST(stream_position_tests, repeated_number_does_not_go_back)
{
    CHECK(accept("5"));
    CHECK_FALSE(accept("5"));
    CHECK_FALSE(position.numbers_went_back());
}

// The caller has the event without an id; a resume after the one before would
// send it again.
TEST(stream_position_tests, event_without_an_id_forbids_a_resume)
{
    CHECK(accept("1"));
    CHECK(position.accept("data: x\n\n"));
    CHECK_FALSE(position.is_known());
    CHECK_FALSE(position.can_resume());
    check_id("1");
    position.on_attempt();
    CHECK_FALSE(position.is_known());
    CHECK(accept("2"));
    CHECK(position.is_known());
}

TEST(stream_position_tests, comments_do_not_forbid_a_resume)
{
    CHECK(accept("1"));
    CHECK(position.accept(": still here\n\n"));
    CHECK(position.can_resume());
    check_id("1");
}

// An event without an id that was relayed in an attempt shows that the attempt
// is past its beginning: a smaller number after it is no repetition.
TEST(stream_position_tests, numbers_go_back_also_after_events_without_an_id)
{
    CHECK(accept("5"));
    position.on_attempt();
    CHECK(position.accept("data: x\n\n"));
    CHECK_FALSE(accept("3"));
    CHECK(position.numbers_went_back());
}

TEST(stream_position_tests, ids_that_are_no_numbers_are_all_relayed)
{
    for (const auto* id : {"a", "a", "1x", "1x", "18446744073709551616", "-1"})
    {
        CHECK(accept(id));
        check_id(id);
    }
    CHECK(position.can_resume());
    CHECK_FALSE(position.misses_events());
}
