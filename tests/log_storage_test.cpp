/// @file
/// Tests of state/log_storage.hpp: crashes, torn tails, damage, failed syncs.

#include <hyssopdeal/state/log_storage.hpp>

#include <filesystem>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>
#include <unistd.h>

#include "faulty_files.hpp"

using namespace hyssopdeal;
using namespace hyssopdeal::state;
using namespace hyssopdeal::tests;

namespace
{

log_record record_at(log_index index, term_number term, std::size_t bytes = 20)
{
    return {index, term, record_kind::command,
            std::string(bytes, static_cast<char>('a' + index % 26))};
}

persist_request records_from(log_index first, log_index last, term_number term)
{
    persist_request request;
    for (auto index = first; index <= last; ++index)
    {
        request.records.push_back(record_at(index, term));
    }
    return request;
}

persist_request hard_of(term_number term)
{
    persist_request request;
    request.hard = hard_state{7, term, 0};
    return request;
}

struct storage_bench
{
    std::shared_ptr<faulty_disk> disk = std::make_shared<faulty_disk>();

    log_storage<faulty_files> storage(std::uint64_t segment_bytes = 200)
    {
        return log_storage<faulty_files>{faulty_files{disk}, {segment_bytes}};
    }
};

} // namespace

TEST_GROUP(log_storage_tests){};

// [recovery] -----------------------------------------------------------------

TEST(log_storage_tests, records_term_and_vote_come_back)
{
    storage_bench bench;
    auto storage = bench.storage();
    CHECK(storage.open().has_value());
    CHECK(storage.write(hard_of(3)).has_value());
    for (log_index index = 1; index <= 40; ++index)
    {
        CHECK(storage.write(records_from(index, index, 3)).has_value());
    }
    const auto state = bench.storage().open();
    CHECK(state.has_value());
    LONGS_EQUAL(40, state->records.size());
    CHECK(state->records.back() == record_at(40, 3));
    CHECK(state->hard == (hard_state{7, 3, 0}));
}

TEST(log_storage_tests, diverged_suffix_is_replaced)
{
    storage_bench bench;
    auto storage = bench.storage();
    (void)storage.open();
    (void)storage.write(hard_of(3));
    for (log_index index = 1; index <= 30; ++index)
    {
        (void)storage.write(records_from(index, index, 3));
    }
    auto request = records_from(12, 14, 4);
    request.truncate = 12;
    CHECK(storage.write(request).has_value());
    const auto state = bench.storage().open();
    CHECK(state.has_value());
    LONGS_EQUAL(14, state->records.size());
    LONGS_EQUAL(3, state->records[10].term);
    LONGS_EQUAL(4, state->records[11].term);
}

TEST(log_storage_tests, snapshot_replaces_and_cut_removes_segments)
{
    storage_bench bench;
    auto storage = bench.storage();
    (void)storage.open();
    (void)storage.write(hard_of(3));
    for (log_index index = 1; index <= 30; ++index)
    {
        (void)storage.write(records_from(index, index, 3));
    }
    const auto files = bench.disk->now.size();
    persist_request request;
    request.snap =
        snapshot{20, 3, {}, std::make_shared<const std::string>("state")};
    request.cut = 15;
    CHECK(storage.write(request).has_value());
    CHECK(bench.disk->now.size() < files);
    const auto state = bench.storage().open();
    CHECK(state.has_value());
    LONGS_EQUAL(20, state->snap.index);
    CHECK(*state->snap.bytes == "state");
    LONGS_EQUAL(21, state->records.front().index);
    LONGS_EQUAL(30, state->records.back().index);
}

TEST(log_storage_tests, installed_snapshot_drops_a_log_that_ends_before_it)
{
    storage_bench bench;
    auto storage = bench.storage();
    (void)storage.open();
    (void)storage.write(hard_of(3));
    (void)storage.write(records_from(1, 5, 3));
    persist_request request;
    request.snap =
        snapshot{50, 4, {}, std::make_shared<const std::string>("x")};
    bench.disk->fault_at = bench.disk->operations + 5;
    bench.disk->fault = disk_fault::crash_before;
    request.truncate = 1;
    try
    {
        (void)storage.write(request);
        FAIL("no crash");
    }
    catch (const crashed&)
    {}
    bench.disk->fault_at = 0;
    auto again = bench.storage();
    const auto state = again.open();
    CHECK(state.has_value());
    LONGS_EQUAL(50, state->snap.index);
    CHECK(state->records.empty());
    CHECK(again.write(records_from(51, 52, 4)).has_value());
    LONGS_EQUAL(2, bench.storage().open()->records.size());
}

// [crashes] ------------------------------------------------------------------

namespace
{

/// Writes batches until the crash; tells the last batch that was acknowledged.
struct crash_run
{
    log_index acknowledged = 0;
    term_number term = 0;
    log_index snapshot_index = 0;
};

crash_run write_until_crash(storage_bench& bench)
{
    crash_run run;
    try
    {
        auto storage = bench.storage();
        if (!storage.open())
        {
            return run;
        }
        log_index next = 1;
        for (term_number term = 1; term <= 6; ++term)
        {
            if (!storage.write(hard_of(term)))
            {
                return run;
            }
            run.term = term;
            for (int batch = 0; batch < 4; ++batch, next += 3)
            {
                if (!storage.write(records_from(next, next + 2, term)))
                {
                    return run;
                }
                run.acknowledged = next + 2;
            }
            persist_request request;
            request.snap = snapshot{
                next - 4, term, {}, std::make_shared<const std::string>("s")};
            request.cut = next - 6;
            if (!storage.write(request))
            {
                return run;
            }
            run.snapshot_index = next - 4;
        }
    }
    catch (const crashed&)
    {}
    return run;
}

void check_after_crash(storage_bench& bench, const crash_run& run,
                       std::uint64_t operation)
{
    auto storage = bench.storage();
    const auto state = storage.open();
    if (!state)
    {
        FAIL(fmt::format("operation {}: {}", operation, state.error().text)
                 .c_str());
    }
    const auto last = state->records.empty() ? state->snap.index
                                             : state->records.back().index;
    CHECK(last >= run.acknowledged);
    CHECK(state->hard.term >= run.term);
    CHECK(state->snap.index >= run.snapshot_index);
    CHECK(storage.write(hard_of(9)).has_value());
    CHECK(storage.write(records_from(last + 1, last + 1, 9)).has_value());
    const auto again = bench.storage().open();
    if (!again)
    {
        FAIL(fmt::format("again, operation {}: {}", operation,
                         again.error().text)
                 .c_str());
    }
}

} // namespace

TEST(log_storage_tests, crash_at_each_operation_loses_nothing_synced)
{
    storage_bench whole;
    (void)write_until_crash(whole);
    const auto operations = whole.disk->operations;
    CHECK(operations > 50);
    std::mt19937_64 random{1};
    for (const auto fault : {disk_fault::crash_before, disk_fault::crash_after,
                             disk_fault::torn_write, disk_fault::error})
    {
        for (std::uint64_t at = 1; at <= operations; ++at)
        {
            for (int round = 0; round < 4; ++round)
            {
                storage_bench bench;
                bench.disk->fault_at = at;
                bench.disk->fault = fault;
                const auto run = write_until_crash(bench);
                bench.disk->crash(random);
                check_after_crash(bench, run, at);
            }
        }
    }
}

TEST(log_storage_tests, nothing_is_written_after_a_failed_sync)
{
    storage_bench bench;
    auto storage = bench.storage();
    (void)storage.open();
    (void)storage.write(hard_of(1));
    bench.disk->fault_at = bench.disk->operations + 2;
    bench.disk->fault = disk_fault::error;
    CHECK_FALSE(storage.write(records_from(1, 1, 1)).has_value());
    const auto operations = bench.disk->operations;
    CHECK_FALSE(storage.write(records_from(2, 2, 1)).has_value());
    LONGS_EQUAL(operations, bench.disk->operations);
}

// A full disk was an error for ever, and half of a record stayed behind.
TEST(log_storage_tests, batch_without_room_is_written_once_there_is_room)
{
    for (const std::uint64_t segment_bytes : {1U, 100'000U})
    {
        storage_bench bench;
        auto storage = bench.storage(segment_bytes);
        (void)storage.open();
        CHECK(storage.write(hard_of(1)).has_value());
        CHECK(storage.write(records_from(1, 2, 1)).has_value());
        auto request = records_from(2, 5, 2);
        request.hard = hard_state{7, 2, 0};
        request.truncate = 2;
        request.snap =
            snapshot{1, 1, {}, std::make_shared<const std::string>("state")};
        bench.disk->full = true;
        for (int tries = 0; tries < 3; ++tries)
        {
            const auto done = storage.write(request);
            CHECK_FALSE(done.has_value());
            CHECK(done.error().code == transport::reason::storage_full);
            // What a restart would read is what was stored before.
            const auto held = bench.storage(segment_bytes).verify();
            CHECK(held.has_value());
            LONGS_EQUAL(1, held->hard.term);
        }
        request.hard.reset();
        request.snap.reset();
        CHECK_FALSE(storage.write(request).has_value());
        bench.disk->full = false;
        CHECK(storage.write(request).has_value());
        CHECK(storage.write(records_from(6, 6, 2)).has_value());
        const auto state = bench.storage(segment_bytes).open();
        CHECK(state.has_value());
        LONGS_EQUAL(6, state->records.size());
        LONGS_EQUAL(0, state->torn_bytes);
        CHECK(state->records[0] == record_at(1, 1));
        CHECK(state->records[1] == record_at(2, 2));
        CHECK(state->records[5] == record_at(6, 2));
    }
}

// [damage] -------------------------------------------------------------------

TEST(log_storage_tests, damage_of_synced_records_is_refused_with_its_place)
{
    storage_bench bench;
    {
        auto storage = bench.storage(100'000);
        (void)storage.open();
        (void)storage.write(hard_of(1));
        for (log_index index = 1; index <= 5; ++index)
        {
            (void)storage.write(records_from(index, index, 1));
        }
    }
    auto& bytes = bench.disk->now.at(log_format::segment_name(1))->now;
    const auto one = log_format::encode_record(record_at(1, 1), 0).size();
    bytes[one * 2 + 9] ^= 1;
    const auto state = bench.storage().open();
    CHECK_FALSE(state.has_value());
    CHECK(state.error().code == transport::reason::corrupt);
    const auto expected = fmt::format("{} is damaged at offset {}",
                                      log_format::segment_name(1), one * 2);
    STRCMP_CONTAINS(expected.c_str(), state.error().text.c_str());
}

TEST(log_storage_tests, batch_broken_in_its_middle_by_a_crash_is_cut)
{
    storage_bench bench;
    {
        auto storage = bench.storage(100'000);
        (void)storage.open();
        (void)storage.write(hard_of(1));
        (void)storage.write(records_from(1, 2, 1));
        (void)storage.write(records_from(3, 6, 1));
    }
    auto& bytes = bench.disk->now.at(log_format::segment_name(1))->now;
    const auto one = log_format::encode_record(record_at(1, 1), 0).size();
    bytes[one * 3 + 9] ^= 1;
    const auto state = bench.storage().open();
    CHECK(state.has_value());
    LONGS_EQUAL(3, state->records.size());
    CHECK(state->torn_bytes > 0);
}

TEST(log_storage_tests, damaged_term_and_snapshot_are_refused)
{
    storage_bench bench;
    auto storage = bench.storage();
    (void)storage.open();
    (void)storage.write(hard_of(1));
    persist_request request;
    request.snap = snapshot{4, 1, {}, std::make_shared<const std::string>("s")};
    (void)storage.write(request);
    auto& snap = bench.disk->now.at(log_format::snapshot_name(4))->now;
    snap.back() ^= 1;
    CHECK_FALSE(bench.storage().open().has_value());
    snap.back() ^= 1;
    CHECK(bench.storage().open().has_value());
    bench.disk->now.at("term")->now[5] ^= 1;
    CHECK_FALSE(bench.storage().open().has_value());
}

// [posix_files] --------------------------------------------------------------

TEST(log_storage_tests, works_on_the_file_system)
{
    const auto folder = std::filesystem::temp_directory_path() /
                        fmt::format("hyssopdeal-log-{}", ::getpid());
    {
        log_storage<posix_files> storage{posix_files{folder.string()}, {500}};
        CHECK(storage.open().has_value());
        CHECK(storage.write(hard_of(2)).has_value());
        for (log_index index = 1; index <= 60; ++index)
        {
            CHECK(storage.write(records_from(index, index, 2)).has_value());
        }
        auto request = records_from(31, 40, 3);
        request.truncate = 31;
        CHECK(storage.write(request).has_value());
    }
    log_storage<posix_files> storage{posix_files{folder.string()}, {500}};
    const auto state = storage.open();
    CHECK(state.has_value());
    LONGS_EQUAL(40, state->records.size());
    LONGS_EQUAL(3, state->records.back().term);
    std::filesystem::remove_all(folder);
}
