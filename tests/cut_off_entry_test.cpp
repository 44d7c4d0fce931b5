/// @file
/// Gateways that are partitioned from all servers while callers and the control
/// replicas reach them, with real links.

#include <algorithm>
#include <array>

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

#include "cluster_harness.hpp"
#include "raw_peer.hpp"

using namespace hyssopdeal;
using namespace std::chrono_literals;
using tests::cluster_harness;
using tests::raw_connection;
using transport::monotonic_time;

namespace
{

constexpr std::size_t gateway_count = 4;
constexpr std::size_t max_gateways = 8;
constexpr std::size_t server_count = 4;
constexpr auto callers_port = cluster_harness::callers_port;
constexpr std::uint16_t relay_port = 27'603;
// From a documentation range, so that no connection can be opened from it.
constexpr auto unusable_source = "192.0.2.1";

} // namespace

TEST_GROUP(cut_off_entry_tests)
{
    cluster_harness cluster{3};
    std::array<std::unique_ptr<coordination::gateway_process>, max_gateways>
        gateways;
    std::vector<std::shared_ptr<tests::raw_listener>> servers;
    std::array<std::vector<std::shared_ptr<raw_connection>>, max_gateways>
        callers;
    std::size_t started = 0; ///< Gateways.
    std::vector<transport::timer_handle> answers;
    std::size_t sent = 0;
    std::size_t arrived = 0;
    std::chrono::milliseconds response_time = 30ms;
    bool full = false; ///< Servers have no room and ask for a pause.
    bool connections_kept = true;

    void setup() override
    {
        for (std::size_t index = 0; index < server_count; ++index)
        {
            start_server(index);
        }
        CHECK_TRUE(cluster.put(0, "1:prompts"));
    }

    void teardown() override
    {
        for (auto& gateway : gateways)
        {
            gateway.reset();
        }
    }

    transport::event_loop& loop()
    {
        return cluster.loop;
    }

    void start_server(std::size_t index)
    {
        servers.push_back(std::make_shared<tests::raw_listener>(
            loop(), [this](raw_connection& connection) {
                if (connection.received.find("\r\n\r\n") != std::string::npos)
                {
                    answer(connection, std::exchange(connection.received, {}));
                }
            }));
        add_listed(fmt::format("w{}", index), servers.back()->address());
    }

    void add_listed(const std::string& id, const std::string& address)
    {
        auto listed = tests::listed(id);
        listed.address = address;
        listed.slots = 8;
        cluster.list.push_back(listed);
    }

    void answer(raw_connection & connection, const std::string& head)
    {
        ++arrived;
        if (full)
        {
            return connection.send(fmt::format(
                "HTTP/1.1 503 Service Unavailable\r\n"
                "Hyssopdeal-Attempt: {}\r\nHyssopdeal-Verdict: not_run\r\n"
                "Retry-After: 3\r\nContent-Length: 0\r\n"
                "Connection: close\r\n\r\n",
                tests::attempt_in(head)));
        }
        answers.push_back(loop().after(
            response_time, [this, attempt = tests::attempt_in(head),
                            open = connection.shared_from_this()] {
                open->send(fmt::format(
                    "HTTP/1.1 200 OK\r\nHyssopdeal-Attempt: {}\r\n"
                    "Content-Length: 19\r\n{}\r\nid: 1\ndata: whole\n\n",
                    attempt, connections_kept ? "" : "Connection: close\r\n"));
            }));
    }

    void start_gateways(std::size_t cut_off, std::size_t count = gateway_count)
    {
        started = count;
        for (std::size_t index = 0; index < count; ++index)
        {
            auto settings = cluster.gateway_settings(index);
            settings.failure_domain = fmt::format("d{}", index / 2);
            settings.relay_port = relay_port;
            settings.client.relay_key = "key";
            settings.client.source_address =
                index < cut_off ? unusable_source : "";
            settings.grace = 4s;
            gateways.at(index) = cluster.make_gateway(settings);
            CHECK_TRUE(gateways.at(index)->start().has_value());
        }
        loop().run_for(1'500ms);
    }

    void send(std::size_t gateway)
    {
        callers.at(gateway).push_back(tests::raw_call(
            loop(), callers_port, cluster_harness::ip(100 + gateway)));
        callers.at(gateway).back()->send(
            fmt::format("POST /stream/x HTTP/1.1\r\nHost: h\r\n"
                        "Hyssopdeal-Attempt: id{}\r\nContent-Length: 0\r\n\r\n",
                        ++sent));
    }

    /// Sends 20 requests a second to each gateway.
    void play(std::chrono::milliseconds time)
    {
        const auto end = cluster.clock.monotonic_now() + time;
        while (cluster.clock.monotonic_now() < end)
        {
            for (std::size_t gateway = 0; gateway < started; ++gateway)
            {
                send(gateway);
            }
            loop().run_for(50ms);
        }
    }

    [[nodiscard]] std::size_t served(std::size_t gateway) const
    {
        return static_cast<std::size_t>(
            std::count_if(callers.at(gateway).begin(),
                          callers.at(gateway).end(), [](const auto& caller) {
                              return caller->received.find("data: whole") !=
                                     std::string::npos;
                          }));
    }

    void check_callers_are_served()
    {
        play(1s);
        forget_callers();
        play(2s);
        loop().run_for(500ms);
        for (std::size_t gateway = 0; gateway < started; ++gateway)
        {
            CHECK_COMPARE(static_cast<double>(served(gateway)), >=,
                          0.95 *
                              static_cast<double>(callers.at(gateway).size()));
        }
    }

    void forget_callers()
    {
        for (auto& list : callers)
        {
            list.clear();
        }
    }
};

TEST(cut_off_entry_tests, callers_of_a_cut_off_gateway_are_served_like_others)
{
    start_gateways(1);
    play(1s);
    forget_callers();
    arrived = 0;
    play(3s);
    loop().run_for(500ms);
    const auto total = callers.at(0).size();
    CHECK_EQUAL(total, served(1));
    CHECK_COMPARE(static_cast<double>(served(0)), >=,
                  0.95 * static_cast<double>(total));
    CHECK_EQUAL(gateway_count * total, arrived);
}

TEST(cut_off_entry_tests, callers_are_served_when_most_gateways_are_cut_off)
{
    start_gateways(gateway_count - 1);
    check_callers_are_served();
}

// Regression: cut-off gateways that were each other's helpers took each other's
// refusals for a sign that the servers are down.
TEST(cut_off_entry_tests, one_gateway_helps_all_others)
{
    start_gateways(max_gateways - 1, max_gateways);
    check_callers_are_served();
}

// Guards against sound gateways that take silent servers for a sign that they
// are cut off themselves, and so are no helpers any more.
TEST(cut_off_entry_tests, callers_are_served_beside_silent_servers)
{
    const auto sound = std::exchange(cluster.list, {});
    const tests::silent_listener first{loop()};
    const tests::silent_listener second{loop()};
    add_listed("silent0", first.address());
    add_listed("silent1", second.address());
    start_gateways(gateway_count / 2);
    play(1s); // All gateways learn that the two are silent.
    cluster.list.insert(cluster.list.end(), sound.begin(), sound.end());
    check_callers_are_served();
}

// Guards against helpers that refuse to relay to servers which asked them for a
// pause, as if these could not be reached.
TEST(cut_off_entry_tests, servers_that_paused_the_helper_are_relayed_to)
{
    start_gateways(1, 2);
    connections_kept = false;
    play(2s);
    full = true;
    for (std::size_t round = 0; round < 3 * server_count; ++round)
    {
        send(1);
        loop().run_for(20ms);
    }
    full = false;
    forget_callers();
    for (std::size_t round = 0; round < 20; ++round)
    {
        send(0);
        loop().run_for(50ms);
    }
    loop().run_for(200ms);
    CHECK_EQUAL(callers.at(0).size(), served(0));
}

TEST(cut_off_entry_tests, planned_stop_of_a_helper_cuts_off_no_relayed_request)
{
    start_gateways(gateway_count - 2);
    play(1s);
    forget_callers();
    response_time = 800ms;
    play(300ms);
    bool drained = false;
    gateways.at(2)->drain([&] { drained = true; });
    play(1s);
    CHECK_TRUE(tests::run_until(loop(), [&] { return drained; }));
    gateways.at(2).reset();
    loop().run_for(1s);
    CHECK_EQUAL(callers.at(0).size(), served(0));
    CHECK_EQUAL(callers.at(1).size(), served(1));
}

TEST(cut_off_entry_tests, loss_of_a_helper_leaves_other_requests_served)
{
    start_gateways(gateway_count - 2);
    play(1s);
    gateways.at(2).reset();
    callers.at(2).clear();
    for (std::size_t round = 0; round < 20; ++round)
    {
        send(0);
        loop().run_for(50ms);
    }
    forget_callers();
    for (std::size_t round = 0; round < 20; ++round)
    {
        send(0);
        loop().run_for(50ms);
    }
    loop().run_for(200ms);
    CHECK_EQUAL(callers.at(0).size(), served(0));
}
