/// @file
/// Requests that crash every server that begins to answer them, sent through
/// two gateways and a cluster of control replicas with real links.

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

namespace
{

constexpr std::string_view crashing_part = "dead";
constexpr std::size_t crashes_before_the_bound = 5;
constexpr std::size_t allowed_after_the_bound = 3;
constexpr auto contact_time = 3s;
constexpr std::uint16_t callers_port = 27'601;

std::string parts_of(const std::string& head)
{
    constexpr std::string_view name = "Hyssopdeal-Prompt-Parts: ";
    const auto begin = head.find(name) + name.size();
    return head.substr(begin, head.find('\r', begin) - begin);
}

} // namespace

TEST_GROUP(crash_quarantine_tests)
{
    /// A model server that crashes when it begins to answer a crashing prompt,
    /// and starts again after some time.
    struct server
    {
        bool running = false;
        std::shared_ptr<tests::raw_listener> listener;
        transport::timer_handle restart;
    };

    static constexpr std::size_t server_count = 8;

    cluster_harness cluster{3};
    std::vector<std::unique_ptr<coordination::gateway_process>> gateways;
    std::array<server, server_count> servers;
    int starts = 0;
    std::size_t crashes = 0;
    /// Times at which requests with the crashing part reached servers.
    std::vector<transport::monotonic_time> reached;
    transport::monotonic_time last_counted_crash{};
    std::vector<std::shared_ptr<raw_connection>> callers;
    std::vector<std::shared_ptr<tests::raw_listener>>
        listeners; ///< Ever started.
    std::vector<transport::timer_handle> answers;
    int sent = 0;

    void setup() override
    {
        for (std::size_t index = 0; index < server_count; ++index)
        {
            start_server(index);
        }
        CHECK_TRUE(cluster.put(0, "1:prompts"));
        for (std::size_t index = 0; index < 2; ++index)
        {
            gateways.push_back(start_gateway(index));
        }
        loop().run_for(1'500ms);
    }

    void teardown() override
    {
        for (auto& item : servers)
        {
            item.restart.cancel();
        }
        gateways.clear();
    }

    transport::event_loop& loop()
    {
        return cluster.loop;
    }

    std::unique_ptr<coordination::gateway_process> start_gateway(
        std::size_t index)
    {
        coordination::gateway_settings settings;
        settings.name = fmt::format("e{}", index);
        settings.failure_domain = "d0";
        settings.address = cluster_harness::ip(100 + index);
        settings.hub_port = cluster_harness::hub_port;
        settings.seeds = cluster.seeds();
        settings.shared_key = "key";
        settings.callers_port = callers_port;
        settings.readiness_port = callers_port + 1;
        auto gateway = std::make_unique<coordination::gateway_process>(
            loop(), cluster.clock, settings, tests::read_test_document,
            coordination::make_request_handler<coordination::native_dialect>());
        CHECK_TRUE(gateway->start().has_value());
        return gateway;
    }

    void start_server(std::size_t index)
    {
        auto& item = servers.at(index);
        item.running = true;
        item.listener = std::make_shared<tests::raw_listener>(
            loop(), [this, index](raw_connection& connection) {
                if (connection.received.find("\r\n\r\n") != std::string::npos)
                {
                    answer(index, connection,
                           std::exchange(connection.received, {}));
                }
            });
        listeners.push_back(item.listener);
        auto listed = tests::listed(fmt::format("w{}", ++starts));
        listed.address = item.listener->address();
        listed.slots = 8;
        cluster.list.resize(server_count);
        cluster.list.at(index) = listed;
    }

    void answer(std::size_t index, raw_connection & connection,
                const std::string& head)
    {
        constexpr auto time_to_first_event = 30ms;
        const bool crashing =
            parts_of(head).find(crashing_part) != std::string::npos;
        if (crashing)
        {
            reached.push_back(cluster.clock.monotonic_now());
        }
        const auto id = head.find("Hyssopdeal-Attempt: ") + 20;
        answers.push_back(loop().after(
            time_to_first_event,
            [this, index, crashing,
             attempt = head.substr(id, head.find('\r', id) - id),
             open = connection.shared_from_this()] {
                if (open->closed)
                {
                    return;
                }
                if (crashing)
                {
                    return crash(index);
                }
                open->send("HTTP/1.1 200 OK\r\nHyssopdeal-Attempt: " + attempt +
                           "\r\nContent-Length: 19\r\n\r\n"
                           "id: 1\ndata: sound\n\n");
            }));
    }

    void crash(std::size_t index)
    {
        constexpr auto restart_time = 1s;
        auto& item = servers.at(index);
        if (!item.running)
        {
            return;
        }
        item.running = false;
        if (++crashes == crashes_before_the_bound)
        {
            last_counted_crash = cluster.clock.monotonic_now();
        }
        for (const auto& connection : item.listener->connections)
        {
            connection->closed = true;
            connection->close();
        }
        item.listener->stop();
        item.restart =
            loop().after(restart_time, [this, index] { start_server(index); });
    }

    std::shared_ptr<raw_connection> send(const std::string& parts)
    {
        ++sent;
        const std::size_t gateway = static_cast<std::size_t>(sent) % 2;
        auto caller = tests::raw_call(loop(), callers_port,
                                      cluster_harness::ip(100 + gateway));
        caller->send(fmt::format("POST /stream/x HTTP/1.1\r\nHost: h\r\n"
                                 "Hyssopdeal-Prompt: 100\r\n"
                                 "Hyssopdeal-Prompt-Parts: {},{:x}:5\r\n"
                                 "Hyssopdeal-Attempt: id{}\r\n"
                                 "Content-Length: 0\r\n\r\n",
                                 parts, 0x10'000 + sent, sent));
        return caller;
    }

    /// Sends crashing prompts every 150 ms and sound ones that share all other
    /// parts in between.
    ///
    /// @return The sound prompts' callers.
    std::vector<std::shared_ptr<raw_connection>> play(
        std::chrono::milliseconds time)
    {
        std::vector<std::shared_ptr<raw_connection>> sound;
        const auto end = cluster.clock.monotonic_now() + time;
        while (cluster.clock.monotonic_now() < end)
        {
            callers.push_back(
                send(fmt::format("a1:40,b2:30,{}:20", crashing_part)));
            loop().run_for(75ms);
            sound.push_back(send("a1:40,b2:30"));
            loop().run_for(75ms);
        }
        loop().run_for(500ms);
        return sound;
    }

    [[nodiscard]] std::size_t reached_after_the_bound() const
    {
        const auto bound = last_counted_crash + contact_time;
        return crashes < crashes_before_the_bound
                   ? 0
                   : static_cast<std::size_t>(std::count_if(
                         reached.begin(), reached.end(),
                         [&](const auto at) { return at > bound; }));
    }
};

TEST(crash_quarantine_tests,
     prompt_part_that_crashes_servers_reaches_no_more_of_them)
{
    const auto sound = play(8s);
    CHECK_TRUE(crashes > 0);
    CHECK_TRUE(reached_after_the_bound() <= allowed_after_the_bound);
    // Sound prompts fail only while they share a server with a crashing one.
    const auto served =
        std::count_if(sound.begin(), sound.end(), [](const auto& caller) {
            return caller->received.find("data: sound") != std::string::npos;
        });
    CHECK_TRUE(served * 10 >= static_cast<std::ptrdiff_t>(sound.size()) * 9);
}
