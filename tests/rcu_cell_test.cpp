/// @file
/// Tests of transport/rcu_cell.hpp; run under the thread sanitizer in CI.

#include <hyssopdeal/transport/rcu_cell.hpp>

#include <atomic>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using hyssopdeal::transport::rcu_cell;

TEST_GROUP(rcu_cell_tests){};

TEST(rcu_cell_tests, readers_see_whole_values_that_never_go_back)
{
    rcu_cell<std::vector<int>> cell{std::vector<int>(16, 0)};
    std::atomic<bool> stop{false};
    std::atomic<int> faults{0};
    std::vector<std::thread> readers;
    readers.reserve(3);
    for (int reader = 0; reader < 3; ++reader)
    {
        readers.emplace_back([&] {
            int seen = 0;
            while (!stop.load())
            {
                const int value = cell.read([&](const auto& numbers) {
                    for (const int number : numbers)
                    {
                        faults += number == numbers.front() ? 0 : 1;
                    }
                    return numbers.front();
                });
                faults += value >= seen ? 0 : 1;
                seen = value;
            }
        });
    }
    for (int round = 1; round <= 200; ++round)
    {
        cell.publish(std::vector<int>(16, round));
    }
    stop.store(true);
    for (auto& reader : readers)
    {
        reader.join();
    }
    LONGS_EQUAL(0, faults.load());
}
