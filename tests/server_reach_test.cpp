/// @file
/// Paths of a gateway to servers, and the helpers that the leader names.

#include <algorithm>
#include <set>

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

#include <hyssopdeal/coordination/cluster/relay_directory.hpp>
#include <hyssopdeal/coordination/gateway/server_reach.hpp>

using namespace hyssopdeal;
using namespace std::chrono_literals;
using coordination::relay_directory;
using coordination::server_reach;
using transport::monotonic_time;

TEST_GROUP(server_reach_tests)
{
    server_reach reach{{}, 1};
    monotonic_time now{10s};

    void setup() override
    {
        std::vector<protocol::listed_server> servers;
        for (int index = 0; index < 6; ++index)
        {
            protocol::listed_server server;
            server.id = fmt::format("w{}", index);
            server.address = fmt::format("10.0.0.{}:80", index + 1);
            servers.push_back(server);
        }
        reach.set_servers(servers);
        (void)reach.set_helpers({"10.1.0.1:7601", "10.1.0.2:7601"});
    }
};

TEST(server_reach_tests, one_unreached_server_is_not_relayed_to)
{
    reach.on_unreached(now, "w0");
    CHECK_FALSE(reach.partitioned());
    CHECK_FALSE(reach.relay_for(now, "w0").has_value());
}

TEST(server_reach_tests, all_servers_are_relayed_to_when_none_was_reached_since)
{
    reach.on_reached(now, "w3");
    reach.on_unreached(now + 1ms, "w0");
    reach.on_unreached(now + 2ms, "w1");
    CHECK_TRUE(reach.relay_for(now + 3ms, "w0").has_value());
    CHECK_TRUE(reach.relay_for(now + 3ms, "w3").has_value());
}

TEST(server_reach_tests, only_unreached_servers_are_relayed_to_in_a_partial_cut)
{
    reach.on_unreached(now, "w0");
    reach.on_unreached(now, "w1");
    reach.on_reached(now + 1ms, "w3");
    CHECK_TRUE(reach.relay_for(now + 2ms, "w0").has_value());
    CHECK_FALSE(reach.relay_for(now + 2ms, "w4").has_value());
}

TEST(server_reach_tests, server_that_no_helper_reaches_is_left_to_its_backoff)
{
    reach.on_unreached(now, "w0");
    reach.on_unreached(now, "w1");
    reach.on_unreached(now, "w2");
    reach.on_helper_unreached(now, "w0");
    CHECK_FALSE(reach.relay_for(now, "w0").has_value());
    CHECK_TRUE(reach.relay_for(now, "w1").has_value());
    CHECK_TRUE(reach.relay_for(now + 1'001ms, "w0").has_value());
}

// Guards against callers of cut-off gateways that are refused because other
// cut-off gateways, as their helpers, reported that the servers are down.
TEST(server_reach_tests, gateway_is_cut_off_by_servers_that_fail_after_the_last)
{
    reach.on_reached(now, "w0");
    reach.on_unreached(now + 1ms, "w1");
    CHECK_FALSE(reach.cut_off());
    reach.on_unreached(now + 2ms, "w2");
    CHECK_TRUE(reach.cut_off());
    // In a partial cut others are reached.
    reach.on_reached(now + 3ms, "w3");
    reach.on_unreached(now + 4ms, "w1");
    reach.on_unreached(now + 4ms, "w2");
    CHECK_FALSE(reach.cut_off());
    reach.on_unreached(now + 5ms, "w3");
    reach.on_unreached(now + 5ms, "w4");
    CHECK_TRUE(reach.cut_off());
}

// Connections that are kept say nothing of new ones, so a gateway may have
// reached no server for long when two of them fail.
TEST(server_reach_tests, doubt_about_the_own_paths_is_settled_by_a_probe)
{
    reach.on_reached(now, "w5");
    reach.on_unreached(now + 1s, "w0");
    reach.on_unreached(now + 1s, "w1");
    const auto due = reach.due_probes(now + 1s + 1ms);
    const auto other =
        std::find_if(due.begin(), due.end(), [](const auto& server) {
            return server != "w0" && server != "w1";
        });
    CHECK_TRUE(other != due.end());
    reach.on_reached(now + 1s + 2ms, *other);
    CHECK_FALSE(reach.cut_off());
    CHECK_FALSE(reach.relay_for(now + 1s + 3ms, "w5").has_value());
}

// Guards against callers who wait for the dead paths of their gateway: two
// servers that a helper called down once hid the cut from all others.
TEST(server_reach_tests, servers_that_are_down_do_not_hide_a_cut)
{
    reach.on_unreached(now, "w0");
    reach.on_unreached(now, "w1");
    reach.on_helper_unreached(now, "w0");
    reach.on_helper_unreached(now, "w1");
    CHECK_TRUE(reach.relay_for(now, "w2").has_value());
    CHECK_FALSE(reach.relay_for(now, "w1").has_value());
}

TEST(server_reach_tests, failed_helper_is_paused_and_a_connected_one_preferred)
{
    reach.on_unreached(now, "w0");
    reach.on_unreached(now, "w1");
    reach.on_helper_failed(now, "10.1.0.1:7601");
    STRCMP_EQUAL("10.1.0.2:7601",
                 reach.relay_for(now, "w0").value_or("").c_str());
    const auto connected = [](const auto& relay) {
        return relay == "10.1.0.1:7601";
    };
    STRCMP_EQUAL(
        "10.1.0.1:7601",
        reach.relay_for(now + 501ms, "w0", connected).value_or("").c_str());
}

TEST(server_reach_tests, all_servers_are_probed_soon_after_the_partition_ends)
{
    for (int index = 0; index < 6; ++index)
    {
        reach.on_unreached(now, fmt::format("w{}", index));
    }
    std::set<std::string> probed;
    auto at = now;
    for (; at < now + 1s; at += 100ms)
    {
        const auto due = reach.due_probes(at);
        CHECK_EQUAL(1U, due.size());
        probed.insert(due.front());
    }
    CHECK_EQUAL(6U, probed.size());
    reach.on_reached(at, "w2");
    CHECK_EQUAL(5U, reach.due_probes(at).size());
}

TEST(server_reach_tests, helpers_are_kept_and_never_partitioned_or_stopping)
{
    relay_directory directory{2'500ms, 1};
    std::vector<protocol::entry_report> reports;
    for (int index = 0; index < 12; ++index)
    {
        protocol::entry_report report;
        report.entry = fmt::format("e{}", index);
        report.failure_domain = fmt::format("d{}", index % 3);
        report.relay.address = fmt::format("10.1.0.{}:7601", index + 1);
        report.relay.partitioned = index == 3 || index == 1;
        reports.push_back(report);
        directory.on_report(now, report);
    }
    auto& asking = reports[0];
    asking.relay.helpers = directory.helpers_for(now, asking);
    CHECK_EQUAL(6U, asking.relay.helpers.size());
    const auto again = directory.helpers_for(now, asking);
    CHECK_TRUE(std::set<std::string>(again.begin(), again.end()) ==
               std::set<std::string>(asking.relay.helpers.begin(),
                                     asking.relay.helpers.end()));
    const auto has = [](const auto& list, const std::string& address) {
        return std::find(list.begin(), list.end(), address) != list.end();
    };
    CHECK_FALSE(has(again, reports[3].relay.address));
    CHECK_FALSE(has(again, reports[1].relay.address));
    CHECK_FALSE(has(again, asking.relay.address));
    const auto stopping = asking.relay.helpers.front();
    for (auto& report : reports)
    {
        report.relay.address =
            report.relay.address == stopping ? "" : report.relay.address;
        directory.on_report(now, report);
    }
    CHECK_FALSE(has(directory.helpers_for(now, asking), stopping));
    CHECK_TRUE(directory.helpers_for(now + 3s, asking).empty());
}
