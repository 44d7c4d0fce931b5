/// @file
/// Streams across entry processes and engines with real sockets: losses of
/// each, and answers whole.

#include "linked_entries.hpp"

#include <hyssopdeal/transport/logging.hpp>

#include <CppUTest/TestHarness.h>

#include "standins/answer_text.hpp"

using namespace hyssopdeal;
using namespace hyssopdeal::tests;
using namespace std::chrono_literals;

namespace
{

constexpr const char* body =
    R"({"stream":true,"messages":[{"role":"user","content":"note [tokens=150]"}]})";

} // namespace

TEST_GROUP(stream_takeover_tests)
{
    linked_entries world{3, 2};
    stream_caller caller{world.client, "vale-key"};
    /// Waits until the entries know each other, then opens the stream.
    void open(std::size_t entry)
    {
        const bool is_read = world.run([&] {
            if (!caller.is_connected() && caller.last_event == 0)
            {
                caller.open(world.address(entry), body);
            }
            return caller.last_event >= 20;
        });
        CHECK_TRUE(is_read);
        CHECK_FALSE(caller.one_copy);
        CHECK_FALSE(caller.is_whole());
    }

    void expect_whole()
    {
        STRCMP_EQUAL("", caller.defect.c_str());
        CHECK(standins::check_answer(body, caller.text) ==
              standins::answer_check::whole);
    }
};

TEST(stream_takeover_tests, entry_dies_and_another_goes_on)
{
    open(0);
    world.kill_entry(0);
    CHECK_TRUE(world.run([&] { return !caller.is_connected(); }));
    std::size_t next = 1;
    CHECK_TRUE(world.run([&] {
        if (!caller.is_connected() && !caller.is_whole())
        {
            caller.resume(world.address(next));
            next = 3 - next;
        }
        return caller.is_whole();
    }));
    expect_whole();
}

TEST(stream_takeover_tests, caller_returns_to_another_entry)
{
    open(0);
    caller.leave();
    caller.resume(world.address(1));
    CHECK_TRUE(world.run([&] { return caller.is_whole(); }));
    LONGS_EQUAL(200, caller.status);
    expect_whole();
}

TEST(stream_takeover_tests, another_organisation_cannot_take_the_stream)
{
    open(0);
    stream_caller stranger{world.client, "serra-key"};
    stranger.stream = caller.stream;
    stranger.resume(world.address(1));
    CHECK_TRUE(world.run([&] { return !stranger.is_connected(); }));
    CHECK(stranger.status == 403 || stranger.status == 404);
    LONGS_EQUAL(0, stranger.last_event);
    CHECK_TRUE(world.run([&] { return caller.is_whole(); }));
    expect_whole();
}

TEST(stream_takeover_tests, engine_dies_and_another_goes_on)
{
    open(0);
    const auto first =
        world.engines[0]->counters().requests > 0 ? std::size_t{0} : 1;
    world.kill_engine(first);
    CHECK_TRUE(world.run([&] { return caller.is_whole(); }));
    expect_whole();
    LONGS_EQUAL(1, world.engines[1 - first]->counters().continued);
}

TEST(stream_takeover_tests, engine_that_misbehaves_is_read_whole)
{
    standins::engine_behaviour behaviour;
    behaviour.duplicate_every = 7;
    behaviour.swap_every = 11;
    behaviour.foreign_every = 5;
    for (auto& engine : world.engines)
    {
        engine->set_behaviour(behaviour);
    }
    open(0);
    CHECK_TRUE(world.run([&] { return caller.is_whole(); }));
    expect_whole();
}

TEST(stream_takeover_tests, drained_entry_hands_its_streams_over)
{
    open(0);
    world.drain_entry(0);
    world.drain_entry(0); // The second signal does it at once.
    std::size_t next = 1;
    CHECK_TRUE(world.run([&] {
        if (!caller.is_connected() && !caller.is_whole())
        {
            caller.resume(world.address(next));
            next = 3 - next;
        }
        return caller.is_whole();
    }));
    expect_whole();
}
