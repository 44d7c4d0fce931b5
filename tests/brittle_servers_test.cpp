/// @file
/// Tests of coordination/gateway/brittle_servers.hpp and
/// coordination/cluster/brittle_directory.hpp.

#include <vector>

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

#include <hyssopdeal/coordination/cluster/brittle_directory.hpp>
#include <hyssopdeal/coordination/gateway/brittle_servers.hpp>
#include <hyssopdeal/transport/clock.hpp>

using namespace hyssopdeal;
using namespace hyssopdeal::coordination;
using namespace std::chrono_literals;

namespace
{

std::vector<protocol::listed_server> make_servers(std::size_t count,
                                                  std::uint32_t slots)
{
    std::vector<protocol::listed_server> servers;
    for (std::size_t index = 0; index < count; ++index)
    {
        protocol::listed_server server;
        server.id = fmt::format("w{}", index);
        server.born = 1;
        server.service = "s";
        server.slots = slots;
        servers.push_back(server);
    }
    return servers;
}

/// @return How many requests may run on the server at a time.
std::uint32_t slots_for(const brittle_servers& gateway,
                        const protocol::listed_server& server,
                        std::uint32_t others = 0)
{
    std::uint32_t own = 0;
    while (own <= server.slots && gateway.may_send(server, own, others))
    {
        ++own;
    }
    return own;
}

} // namespace

TEST_GROUP(brittle_servers_tests)
{
    transport::manual_clock clock;
    std::vector<protocol::listed_server> servers = make_servers(3, 6);
    brittle_servers gateway{0};

    void setup() override
    {
        gateway.set_servers(servers);
        gateway.set_orders(now(), {}, 2, 0);
    }

    transport::monotonic_time now()
    {
        return clock.monotonic_now();
    }
};

// Guards against bursts that fill the queues of brittle servers: all gateways
// together use no more than the slots of each.
TEST(brittle_servers_tests, slots_of_all_gateways_are_those_of_the_servers)
{
    const protocol::brittle_services told{{"s", {3, 0}}};
    for (const std::uint32_t gateways : {1U, 2U, 5U, 9U, 72U, 300U})
    {
        for (const std::uint32_t slots : {1U, 6U, 16U, 110U})
        {
            const auto fleet = make_servers(13, slots);
            const auto total = 13 * slots;
            std::vector<std::uint32_t> given(fleet.size());
            for (std::uint32_t number = 0; number < gateways; ++number)
            {
                brittle_servers one{0};
                one.set_servers(fleet);
                one.set_orders(now(), told, gateways, number);
                std::uint32_t own = 0;
                for (std::size_t index = 0; index < fleet.size(); ++index)
                {
                    // Others keep it busy: no spare slot is used.
                    const auto mine = slots_for(one, fleet[index], slots);
                    given[index] += mine;
                    own += mine;
                }
                CHECK(own == total / gateways || own == total / gateways + 1);
            }
            for (const auto sum : given)
            {
                LONGS_EQUAL(slots, sum);
            }
        }
    }
}

TEST(brittle_servers_tests, gateway_without_a_slot_uses_servers_that_are_idle)
{
    gateway.set_orders(now(), {{"s", {3, 0}}}, 300, 299);
    CHECK(gateway.may_send(servers[0], 0, 2));
    CHECK_FALSE(gateway.may_send(servers[0], 0, 3));
    CHECK_FALSE(gateway.may_send(servers[0], 1, 0));
}

TEST(brittle_servers_tests, one_word_counts_for_all_servers_of_the_service)
{
    CHECK(gateway.may_send(servers[1], 100, 100));
    gateway.on_response(now(), servers[0], "3", now());
    LONGS_EQUAL(3, slots_for(gateway, servers[1]));
    auto other = servers[1];
    other.service = "t";
    CHECK(gateway.may_send(other, 100, 100));
}

TEST(brittle_servers_tests, brittleness_ends_with_a_later_request)
{
    const auto sent_before = now();
    clock.advance(10ms);
    gateway.on_response(now(), servers[0], "3", sent_before);
    // An overtaken response, and one to a request of unknown time.
    gateway.on_response(now(), servers[0], "", sent_before);
    gateway.on_response(now(), servers[0], "", std::nullopt);
    CHECK_FALSE(gateway.services().empty());
    clock.advance(10ms);
    gateway.on_response(now(), servers[0], "", now());
    CHECK(gateway.services().empty());
}

TEST(brittle_servers_tests, brittleness_outlives_servers_that_fell_over)
{
    gateway.on_response(now(), servers[0], "3", now());
    for (auto& server : servers)
    {
        ++server.born;
    }
    gateway.set_servers(servers);
    gateway.on_response(now(), servers[1], "", now());
    CHECK_FALSE(gateway.may_send(servers[1], 3, 0));
    // Other ids take their place.
    auto successors = servers;
    for (auto& server : successors)
    {
        server.id += "-2";
    }
    gateway.set_servers(successors);
    CHECK_FALSE(gateway.may_send(successors[0], 3, 0));
    clock.advance(11s);
    gateway.on_response(now(), successors[0], "", now());
    CHECK(gateway.may_send(successors[0], 3, 0));
}

TEST(brittle_servers_tests, text_that_is_no_number_changes_nothing)
{
    for (const auto* text : {"x", "-1", "1e9", "nan", " 3"})
    {
        gateway.on_response(now(), servers[0], text, now());
    }
    CHECK(gateway.services().empty());
    gateway.on_response(now(), servers[0], "3", now());
    gateway.on_response(now(), servers[0], "x", now());
    DOUBLES_EQUAL(3, gateway.services().at("s"), 0);
}

TEST(brittle_servers_tests, pause_after_a_rejection_is_bounded)
{
    CHECK(gateway.rejection_pause(servers[0]) == 0ms);
    gateway.on_response(now(), servers[0], "4", now());
    CHECK(gateway.rejection_pause(servers[0]) == 500ms);
    gateway.on_response(now(), servers[0], "0", now());
    CHECK(gateway.rejection_pause(servers[0]) == 5s);
    gateway.on_response(now(), servers[0], "99999999999", now());
    CHECK(gateway.rejection_pause(servers[0]) <= 1ms);
}

TEST(brittle_servers_tests, word_of_other_gateways_counts_until_it_is_old)
{
    gateway.set_orders(now(), {{"s", {3, 0}}}, 2, 1);
    LONGS_EQUAL(3, slots_for(gateway, servers[0]));
    CHECK(gateway.report(now()).empty());
    clock.advance(protocol::brittle_statement_lifetime + 1s);
    gateway.on_response(now(), servers[0], "", now());
    CHECK(gateway.may_send(servers[0], 100, 0));
}

TEST(brittle_servers_tests, own_responses_are_reported_while_they_are_new)
{
    gateway.on_response(now(), servers[0], "3", now());
    clock.advance(1s);
    const auto report = gateway.report(now());
    LONGS_EQUAL(1'000, report.at("s").age_ms);
    brittle_directory directory;
    directory.on_report(now(), report);
    directory.on_report(now(), {{"s", {2, 1'500}}});
    DOUBLES_EQUAL(3, directory.services(now()).at("s").rejections_per_s, 0);
    clock.advance(3s);
    CHECK(gateway.report(now()).empty());
    CHECK(directory.services(now()).empty());
    // It is still brittle for this gateway: no response said otherwise.
    CHECK_FALSE(gateway.services().empty());
}
