/// @file
/// Every fault of a stream at every step, alone and two at once: the caller
/// must get its whole answer, byte for byte, and nothing else.

#include "stream_world.hpp"

#include <CppUTest/TestHarness.h>

using namespace hyssopdeal::tests;
using namespace std::chrono_literals;

namespace
{

std::vector<stream_fault> all_faults()
{
    std::vector<stream_fault> faults;
    for (auto i = static_cast<int>(stream_fault::none) + 1;
         i < static_cast<int>(stream_fault::last); ++i)
    {
        faults.push_back(static_cast<stream_fault>(i));
    }
    return faults;
}

/// The stream lasts about 150 ms without faults.
constexpr std::chrono::milliseconds last_step{150};

void check(stream_world& world, const std::string& where)
{
    const auto defect = world.defect();
    STRCMP_EQUAL("", defect.empty() ? "" : (where + ": " + defect).c_str());
    LONGS_EQUAL(0, world.copies_left());
}

/// Both instances that have the stream die before a third one has it.
bool loses_both_copies(stream_fault first, stream_fault second,
                       std::chrono::milliseconds gap)
{
    const bool both = (first == stream_fault::owner_dies &&
                       second == stream_fault::holder_dies) ||
                      (first == stream_fault::holder_dies &&
                       second == stream_fault::owner_dies);
    return both && gap < 60ms;
}

void check_pair(stream_fault first, stream_fault second,
                std::chrono::milliseconds at, std::chrono::milliseconds gap)
{
    stream_world world{static_cast<std::uint64_t>(at.count())};
    world.inject(at, first);
    world.inject(at + gap, second);
    world.run();
    if (loses_both_copies(first, second, gap) &&
        world.defect() == "lost with its last copy")
    {
        return;
    }
    check(world, to_string(first) + " at " + std::to_string(at.count()) +
                     " ms, " + to_string(second) + " " +
                     std::to_string(gap.count()) + " ms later");
}

} // namespace

TEST_GROUP(stream_fault_tests){};

TEST(stream_fault_tests, stream_without_faults_is_whole)
{
    stream_world world{1};
    world.run();
    check(world, "no fault");
    DOUBLES_EQUAL(0, world.recomputed_tokens(), 0);
    CHECK(world.duration() < last_step);
}

TEST(stream_fault_tests, each_fault_at_each_step)
{
    for (const auto fault : all_faults())
    {
        for (auto at = 1ms; at <= last_step; at += 1ms)
        {
            stream_world world{static_cast<std::uint64_t>(at.count())};
            world.inject(at, fault);
            world.run();
            check(world, to_string(fault) + " at " +
                             std::to_string(at.count()) + " ms");
        }
    }
}

TEST(stream_fault_tests, second_fault_during_the_repair_of_the_first)
{
    for (const auto first : all_faults())
    {
        for (const auto second : all_faults())
        {
            for (auto at = 7ms; at <= last_step; at += 11ms)
            {
                for (const auto gap : {1ms, 5ms, 25ms, 60ms})
                {
                    check_pair(first, second, at, gap);
                }
            }
        }
    }
}

TEST(stream_fault_tests, four_faults_at_random_steps)
{
    const auto faults = all_faults();
    int lost = 0;
    for (std::uint64_t seed = 1; seed <= 5'000; ++seed)
    {
        std::mt19937_64 random{seed};
        stream_world world{seed};
        int deaths = 0;
        for (int i = 0; i < 4; ++i)
        {
            const auto fault = faults.at(random() % faults.size());
            deaths += fault == stream_fault::owner_dies ||
                              fault == stream_fault::holder_dies
                          ? 1
                          : 0;
            world.inject(std::chrono::milliseconds{1 + random() % 250}, fault);
        }
        world.run();
        if (deaths >= 2 && world.defect() == "lost with its last copy")
        {
            ++lost;
            continue;
        }
        check(world, "seed " + std::to_string(seed));
    }
    // Only two deaths of entries within one repair can lose a stream.
    CHECK(lost < 250);
}

TEST(stream_fault_tests, engine_that_still_answers_costs_no_recompute)
{
    for (const auto fault :
         {stream_fault::engine_cuts_without_end_mark,
          stream_fault::engine_reorders, stream_fault::notice_with_time_for_kv,
          stream_fault::caller_returns_elsewhere})
    {
        stream_world world{1};
        world.inject(60ms, fault);
        world.run();
        check(world, to_string(fault));
        DOUBLES_EQUAL(0, world.recomputed_tokens(), 0);
    }
}
