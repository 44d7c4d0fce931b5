/// @file
/// Evacuation of a failure domain: what an entry keeps of the orders, and
/// requests through a gateway and a cluster of control replicas with real links.

#include <array>

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

#include <hyssopdeal/coordination/evacuation/evacuated_domains.hpp>

#include "cluster_harness.hpp"
#include "raw_peer.hpp"

using namespace hyssopdeal;
using namespace std::chrono_literals;
using coordination::evacuated_domains;
using coordination::evacuation_progress;
using tests::cluster_harness;
using tests::raw_connection;

TEST_GROUP(evacuated_domains_tests)
{
    evacuated_domains domains;
    transport::monotonic_time now{100s};
};

// Guards against a replica that lags behind and reverts an order.
TEST(evacuated_domains_tests, highest_revision_is_kept)
{
    LONGS_EQUAL(1, domains.apply(now, 3, {"a"}).seen.size());
    CHECK_TRUE(domains.apply(now, 2, {}).seen.empty());
    CHECK_TRUE(domains.apply(now, 3, {"b"}).seen.empty());
    CHECK_TRUE(domains.contains("a"));
    CHECK_FALSE(domains.ended_at("a").has_value());
    LONGS_EQUAL(2, domains.apply(now + 1s, 5, {"b"}).seen.size());
    CHECK_TRUE(domains.ended_at("a") == now + 1s);
    CHECK_FALSE(domains.ended_at("b").has_value());
    // A second evacuation is not over yet.
    (void)domains.apply(now + 2s, 6, {"a", "b"});
    CHECK_FALSE(domains.ended_at("a").has_value());
}

// Guards against an entry that was partitioned, or got its first orders from a
// replica that lags behind, and takes servers for warm that an evacuation it
// did not see has left cold.
TEST(evacuated_domains_tests, evacuations_that_no_set_showed_are_noticed)
{
    CHECK_FALSE(domains.apply(now, 1, {"a"}).missed);
    CHECK_FALSE(domains.apply(now, 2, {}).missed);
    CHECK_TRUE(domains.apply(now, 4, {}).missed);
    CHECK_FALSE(domains.apply(now, 4, {}).missed);
    CHECK_FALSE(domains.apply(now, 6, {"a", "b"}).missed);
    CHECK_TRUE(domains.apply(now, 9, {"a"}).missed);
    evacuated_domains started;
    CHECK_FALSE(started.apply(now, 0, {}).missed);
    CHECK_TRUE(started.apply(now, 2, {}).missed);
}

TEST(evacuated_domains_tests, messages_carry_the_set_and_may_lack_it)
{
    protocol::entry_orders orders;
    CHECK_TRUE(
        protocol::decode_entry_orders(encode(orders))->evacuated.empty());
    orders.evacuation_revision = 4;
    orders.evacuated = {"a"};
    const auto read = protocol::decode_entry_orders(encode(orders));
    LONGS_EQUAL(4, read->evacuation_revision);
    CHECK_TRUE(read->evacuated == orders.evacuated);
    protocol::entry_report report;
    report.evacuation_revision = 4;
    LONGS_EQUAL(
        4, protocol::decode_entry_report(encode(report))->evacuation_revision);
}

TEST(evacuated_domains_tests, entries_behind_are_named_after_the_limit)
{
    evacuation_progress progress;
    const auto report_at = [&](transport::monotonic_time at) {
        progress.on_report(at, "e1", 2);
        progress.on_report(at, "e2", 1);
    };
    report_at(now);
    CHECK_TRUE(progress.take_behind(now, 2).empty());
    report_at(now + 2s);
    const auto behind = progress.take_behind(now + 2s, 2);
    LONGS_EQUAL(1, behind.size());
    STRCMP_EQUAL("e2", behind[0].c_str());
    CHECK_TRUE(progress.take_behind(now + 3s, 2).empty());
    // Entries that no longer report are not connected.
    CHECK_TRUE(progress.take_behind(now + 5s, 2).empty());
}

TEST_GROUP(evacuation_tests)
{
    struct server
    {
        std::shared_ptr<tests::raw_listener> listener;
        std::size_t arrivals = 0;
        bool breaks = false; ///< Closes without a response.
    };

    cluster_harness cluster{3};
    std::unique_ptr<coordination::gateway_process> gateway;
    std::array<server, 4> servers; ///< Two in each of the domains d0 and d1.
    std::vector<std::shared_ptr<raw_connection>> callers;
    static constexpr std::uint16_t metrics_port =
        cluster_harness::callers_port + 2;

    void setup() override
    {
        for (std::size_t index = 0; index < servers.size(); ++index)
        {
            auto& item = servers.at(index);
            item.listener = std::make_shared<tests::raw_listener>(
                cluster.loop, [this, index](raw_connection& connection) {
                    answer(servers.at(index), connection);
                });
            auto listed = tests::listed(fmt::format("w{}", index));
            listed.address = item.listener->address();
            listed.failure_domain = index < 2 ? "d0" : "d1";
            listed.slots = 8;
            cluster.list.push_back(listed);
        }
        CHECK_TRUE(cluster.put(0, "1:prompts"));
        auto settings = cluster.gateway_settings();
        settings.metrics_port = metrics_port;
        gateway = cluster.make_gateway(settings);
        CHECK_TRUE(gateway->start().has_value());
        CHECK_TRUE(tests::run_until(cluster.loop, [&] { return serves(); }));
    }

    static void answer(server & item, raw_connection & connection)
    {
        if (connection.received.find("\r\n\r\n") == std::string::npos)
        {
            return;
        }
        ++item.arrivals;
        const auto head = std::exchange(connection.received, {});
        if (item.breaks)
        {
            return connection.close();
        }
        connection.send(fmt::format("HTTP/1.1 200 OK\r\n"
                                    "Hyssopdeal-Attempt: {}\r\n"
                                    "Content-Length: 19\r\n\r\n"
                                    "id: 1\ndata: whole\n\n",
                                    tests::attempt_in(head)));
    }

    /// Sends a request and waits for the response.
    std::string call(const std::string& target = "/stream/x",
                     std::uint16_t port = cluster_harness::callers_port)
    {
        auto caller =
            tests::raw_call(cluster.loop, port, cluster_harness::ip(100));
        callers.push_back(caller);
        caller->send(fmt::format(
            "POST {} HTTP/1.1\r\nHost: h\r\nHyssopdeal-Prompt: 100\r\n"
            "Hyssopdeal-Prompt-Parts: a1:40,{:x}:60\r\n"
            "Hyssopdeal-Attempt: id{}\r\nContent-Length: 0\r\n\r\n",
            target, 0x10'000 + callers.size(), callers.size()));
        (void)tests::run_until(cluster.loop, [&] {
            return caller->closed ||
                   caller->received.find("\r\n\r\n") != std::string::npos;
        });
        return caller->received;
    }

    bool serves()
    {
        return call().find("data: whole") != std::string::npos;
    }

    /// Resends an order until it is acknowledged, as operators do.
    bool order(std::size_t replica, const std::string& domain, bool evacuated)
    {
        bool accepted = false;
        bool asked = false;
        return tests::run_until(cluster.loop, [&] {
            if (!accepted && !std::exchange(asked, true))
            {
                cluster.replicas.at(replica)->put_evacuation(
                    domain, evacuated, [&](const auto& done) {
                        accepted = done.has_value();
                        asked = false;
                    });
            }
            return accepted;
        });
    }

    std::size_t arrivals_after_calls(std::size_t first, std::size_t last)
    {
        cluster.loop.run_for(1'200ms); // A report interval.
        const auto count = [&] {
            std::size_t sum = 0;
            for (auto index = first; index <= last; ++index)
            {
                sum += servers.at(index).arrivals;
            }
            return sum;
        };
        const auto before = count();
        for (int round = 0; round < 20; ++round)
        {
            (void)call();
        }
        return count() - before;
    }
};

// Guards against an acknowledged order that is lost with its leader.
TEST(evacuation_tests, order_survives_the_loss_of_the_leader)
{
    const auto leader = cluster.leader();
    CHECK_TRUE(order((leader + 1) % 3, "d0", true));
    CHECK_TRUE(order(leader, "d0", true));
    LONGS_EQUAL(0, arrivals_after_calls(0, 1));
    CHECK_TRUE(serves());
    cluster.stop(leader);
    CHECK_TRUE(order((leader + 1) % 3, "d1", false));
    LONGS_EQUAL(
        1, cluster.metric((leader + 1) % 3, "hyssopdeal_evacuated_domains"));
    // A gateway that starts later does not use the domain either.
    gateway.reset();
    gateway = cluster.make_gateway(cluster.gateway_settings());
    CHECK_TRUE(gateway->start().has_value());
    CHECK_TRUE(tests::run_until(cluster.loop, [&] { return serves(); }));
    LONGS_EQUAL(0, arrivals_after_calls(0, 1));
    CHECK_TRUE(order((leader + 2) % 3, "d0", false));
    CHECK_TRUE(order((leader + 2) % 3, "d1", true));
    LONGS_EQUAL(20, arrivals_after_calls(0, 1));
}

// Guards against retries in an evacuated domain, and against a late refusal
// when no server is left.
TEST(evacuation_tests, retries_stay_outside_and_nothing_left_is_refused)
{
    CHECK_TRUE(order(0, "d0", true));
    LONGS_EQUAL(0, arrivals_after_calls(0, 1));
    servers[2].breaks = true;
    servers[3].breaks = true;
    LONGS_EQUAL(0, arrivals_after_calls(0, 1));
    CHECK_TRUE(order(0, "d1", true));
    LONGS_EQUAL(0, arrivals_after_calls(0, 3));
    const auto refused = call();
    STRCMP_CONTAINS("503", refused.c_str());
    STRCMP_CONTAINS("no_server", refused.c_str());
    STRCMP_CONTAINS("Retry-After", refused.c_str());
    const auto metrics = call("/metrics", metrics_port);
    STRCMP_CONTAINS("hyssopdeal_evacuated_domains 2", metrics.c_str());
    STRCMP_CONTAINS("hyssopdeal_evacuation_refusals_total 21", metrics.c_str());
}
