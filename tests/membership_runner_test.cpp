/// @file
/// Tests of coordination/membership_runner.hpp over real UDP on loopback.

#include <hyssopdeal/coordination/membership_runner.hpp>

#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <hyssopdeal/coordination/instance_watch.hpp>

#include "loop_helper.hpp"

using namespace hyssopdeal::coordination;
using namespace hyssopdeal::protocol;
using namespace hyssopdeal::transport;
using namespace std::chrono_literals;
using hyssopdeal::tests::run_until;

TEST_GROUP(membership_runner_tests)
{
    event_loop loop;
    system_clock clock;
    std::vector<std::unique_ptr<membership_runner>> runners;
    std::vector<member_update> seeds;

    void add(const char* shared_key)
    {
        membership_runner_settings settings;
        settings.name = fmt::format("e{}", runners.size());
        settings.failure_domain = runners.size() % 2 == 0 ? "d0" : "d1";
        settings.shared_key = shared_key;
        settings.seeds = seeds;
        settings.timing.probe_interval = 40ms;
        settings.timing.probe_time_limit = 15ms;
        settings.timing.suspicion_minimum = 120ms;
        settings.timing.sync_interval = 50ms;
        runners.push_back(std::make_unique<membership_runner>(
            loop, clock, settings, runners.size() + 1));
        const auto port = runners.back()->start();
        CHECK_TRUE(port.has_value());
        member_update seed;
        seed.name = settings.name;
        seed.failure_domain = settings.failure_domain;
        seed.gossip_address = fmt::format("127.0.0.1:{}", *port);
        seeds.push_back(seed);
    }

    [[nodiscard]] bool sees_all(std::size_t runner, std::size_t members) const
    {
        return runners[runner]->view().read([&](const member_view& view) {
            std::size_t usable = 0;
            for (const auto& member : view.members)
            {
                usable += member.usable ? 1 : 0;
            }
            return usable == members;
        });
    }
};

TEST(membership_runner_tests, members_find_each_other_through_one_seed)
{
    for (int count = 0; count < 4; ++count)
    {
        add("key");
    }
    CHECK_TRUE(run_until(loop, [&] {
        return sees_all(0, 4) && sees_all(1, 4) && sees_all(2, 4) &&
               sees_all(3, 4);
    }));
}

TEST(membership_runner_tests, leaving_server_reaches_every_view)
{
    for (int count = 0; count < 4; ++count)
    {
        add("key");
    }
    CHECK_TRUE(run_until(loop, [&] { return sees_all(0, 4); }));
    runners[3]->report(leaving_update(runners[3]->state().table(), "w1", "d1"));
    CHECK_TRUE(run_until(loop, [&] {
        return runners[0]->view().read([](const member_view& view) {
            return view.leaving_servers == std::vector<std::string>{"w1"};
        });
    }));
}

TEST(membership_runner_tests, stopped_member_is_no_longer_usable)
{
    for (int count = 0; count < 4; ++count)
    {
        add("key");
    }
    CHECK_TRUE(run_until(loop, [&] { return sees_all(0, 4); }));
    runners[2].reset();
    CHECK_TRUE(run_until(loop, [&] { return sees_all(0, 3); }));
    CHECK_TRUE(run_until(loop, [&] { return sees_all(1, 3); }));
}

TEST(membership_runner_tests, another_shared_key_is_not_let_in)
{
    add("key");
    add("key");
    add("other");
    CHECK_TRUE(run_until(loop, [&] { return sees_all(0, 2); }));
    loop.run_for(300ms);
    CHECK(runners[0]->state().table().find("e2") == nullptr);
}
