/// @file
/// Which server resumes a stream that was stopped to be moved, and what is left
/// when the move ends: coordination/gateway/stream_migration.hpp. The load is
/// one stream.

#include <memory>

#include <CppUTest/TestHarness.h>

#include <hyssopdeal/coordination/gateway/stream_migration.hpp>

using namespace hyssopdeal;
using namespace hyssopdeal::coordination;

using stage = stream_migration::stage;

TEST_GROUP(stream_migration_tests)
{
    const std::shared_ptr<known_server> source =
        std::make_shared<known_server>();
    const std::shared_ptr<known_server> target =
        std::make_shared<known_server>();
    const move_result copied{"run", true, false};
    const move_result not_copied{"run", false, false};
    const move_result declined{"", false, true};
    const move_result unanswered{};
    stream_migration migration;

    void stop(const move_result& move)
    {
        migration.begin(source, target);
        migration.on_stopped(move);
    }
};

TEST(stream_migration_tests, copied_run_is_resumed_by_the_target)
{
    CHECK_FALSE(migration.in_progress());
    migration.begin(source, target);
    CHECK(migration.state == stage::requested);
    CHECK(migration.run.empty());
    migration.on_stopped(copied);
    CHECK(migration.state == stage::stopped);
    CHECK(migration.resuming_server() == target);
    STRCMP_EQUAL("run", migration.run.c_str());
}

TEST(stream_migration_tests, run_that_was_not_copied_is_resumed_by_the_source)
{
    stop(not_copied);
    CHECK(migration.resuming_server() == source);
}

// A run that both servers refuse must not be sent back and forth between them.
TEST(stream_migration_tests, source_is_asked_once_after_the_target)
{
    stop(copied);
    migration.end();
    CHECK(migration.on_not_resumed(target) == source);
    CHECK(migration.on_not_resumed(source) == nullptr);
    CHECK(migration.on_not_resumed(target) == nullptr);
}

TEST(stream_migration_tests, source_that_refuses_its_own_run_is_not_asked_again)
{
    for (const auto& move : {not_copied, copied})
    {
        stop(move);
        migration.end();
        CHECK(migration.on_not_resumed(source) == nullptr);
    }
}

// The end of the source's response decides on the stream once the move is
// declined. Lost, the caller would wait until its deadline.
TEST(stream_migration_tests, declined_move_gives_back_the_end_of_the_response)
{
    migration.begin(source, target);
    CHECK_FALSE(migration.on_declined(declined).has_value());
    migration.begin(source, target);
    migration.source_end.emplace().ended_by_close = true;
    const auto ended = migration.on_declined(declined);
    CHECK(ended && ended->ended_by_close);
    CHECK_FALSE(migration.in_progress());
    CHECK_FALSE(migration.source_end.has_value());
}

TEST(stream_migration_tests, next_move_does_not_see_an_earlier_end)
{
    migration.begin(source, target);
    migration.source_end.emplace();
    migration.begin(source, target);
    CHECK_FALSE(migration.source_end.has_value());
}

// A request to stop without an answer may have been carried out: the end of the
// connection then does not show that the stream is whole. A later request that
// is declined does not change that.
TEST(stream_migration_tests, unanswered_move_stays_uncertain_with_the_attempt)
{
    migration.begin(source, target);
    CHECK_FALSE(migration.on_declined(declined).has_value());
    CHECK_FALSE(migration.may_be_stopped);
    migration.begin(source, target);
    CHECK_FALSE(migration.on_declined(unanswered).has_value());
    CHECK(migration.may_be_stopped);
    migration.begin(source, target);
    CHECK_FALSE(migration.on_declined(declined).has_value());
    CHECK(migration.may_be_stopped);
    migration.end();
    CHECK_FALSE(migration.may_be_stopped);
}

TEST(stream_migration_tests, end_keeps_what_the_next_attempt_resumes)
{
    stop(copied);
    migration.source_end.emplace();
    migration.end();
    CHECK_FALSE(migration.in_progress());
    CHECK_FALSE(migration.source_end.has_value());
    STRCMP_EQUAL("run", migration.run.c_str());
    CHECK(migration.resuming_server() == target);
    CHECK(migration.on_not_resumed(target) == source);
}

// An attempt that starts anew would be refused if it named the former run.
TEST(stream_migration_tests, reset_leaves_only_the_number_of_moves)
{
    stop(copied);
    migration.may_be_stopped = true;
    migration.source_end.emplace();
    migration.reset();
    CHECK_FALSE(migration.in_progress());
    CHECK(migration.run.empty());
    CHECK_FALSE(migration.state_copied);
    CHECK_FALSE(migration.may_be_stopped);
    CHECK_FALSE(migration.source_end.has_value());
    CHECK(migration.resuming_server() == nullptr);
    CHECK(migration.on_not_resumed(target) == nullptr);
    LONGS_EQUAL(1, migration.attempts);
}
