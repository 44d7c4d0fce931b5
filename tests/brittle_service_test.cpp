/// @file
/// Servers that fall over if they reject more than a few requests a second,
/// behind several gateways and a cluster of control replicas with real links.

#include <algorithm>
#include <array>
#include <deque>

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

constexpr std::size_t gateway_count = 3;
constexpr std::size_t server_count = 4;
constexpr std::uint32_t slots = 4;
constexpr std::uint32_t queue_length = 2;
constexpr std::size_t withstood_per_s = 3;
constexpr auto work = 100ms;
constexpr auto callers_port = cluster_harness::callers_port;

} // namespace

TEST_GROUP(brittle_service_tests)
{
    struct waiting_request
    {
        std::shared_ptr<raw_connection> open;
        std::string attempt;
    };

    struct server
    {
        std::shared_ptr<tests::raw_listener> listener;
        std::uint32_t running = 0;
        std::deque<waiting_request> queue;
        std::vector<monotonic_time> rejections;
    };

    cluster_harness cluster{3};
    std::array<std::unique_ptr<coordination::gateway_process>, gateway_count>
        gateways;
    std::array<server, server_count> servers;
    std::vector<std::shared_ptr<raw_connection>> callers;
    std::vector<transport::timer_handle> timers;
    std::size_t sent = 0;
    bool brittle = true;

    void setup() override
    {
        for (std::size_t index = 0; index < server_count; ++index)
        {
            start_server(index);
        }
        CHECK_TRUE(cluster.put(0, "1:prompts"));
        for (std::size_t index = 0; index < gateway_count; ++index)
        {
            gateways.at(index) =
                cluster.make_gateway(cluster.gateway_settings(index));
            CHECK_TRUE(gateways.at(index)->start().has_value());
        }
        loop().run_for(1'500ms);
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

    monotonic_time now()
    {
        return cluster.clock.monotonic_now();
    }

    void start_server(std::size_t index)
    {
        auto& item = servers.at(index);
        item.listener = std::make_shared<tests::raw_listener>(
            loop(), [this, index](raw_connection& connection) {
                if (connection.received.find("\r\n\r\n") != std::string::npos)
                {
                    const auto head = std::exchange(connection.received, {});
                    take(servers.at(index), {connection.shared_from_this(),
                                             tests::attempt_in(head)});
                }
            });
        auto listed = tests::listed(fmt::format("w{}", index));
        listed.address = item.listener->address();
        listed.slots = slots;
        cluster.list.push_back(listed);
    }

    [[nodiscard]] std::string head(int status, const std::string& attempt) const
    {
        return fmt::format(
            "HTTP/1.1 {} x\r\nHyssopdeal-Attempt: {}\r\n{}", status, attempt,
            brittle ? fmt::format("Hyssopdeal-Brittle: {}\r\n", withstood_per_s)
                    : "");
    }

    void take(server & own, const waiting_request& request)
    {
        if (own.running < slots)
        {
            return run(own, request);
        }
        if (own.queue.size() < queue_length)
        {
            return own.queue.push_back(request);
        }
        own.rejections.push_back(now());
        request.open->send(head(503, request.attempt) +
                           "Hyssopdeal-Verdict: not_run\r\n"
                           "Content-Length: 0\r\n\r\n");
    }

    void run(server & own, const waiting_request& request)
    {
        ++own.running;
        timers.push_back(loop().after(work, [this, &own, request] {
            --own.running;
            request.open->send(head(200, request.attempt) +
                               "Content-Length: 5\r\n\r\nwhole");
            if (!own.queue.empty())
            {
                const auto next = own.queue.front();
                own.queue.pop_front();
                run(own, next);
            }
        }));
    }

    void send(std::size_t gateway)
    {
        callers.push_back(tests::raw_call(loop(), callers_port,
                                          cluster_harness::ip(100 + gateway)));
        callers.back()->send(
            fmt::format("POST /once/x HTTP/1.1\r\nHost: h\r\n"
                        "Hyssopdeal-Attempt: id{}\r\nContent-Length: 0\r\n\r\n",
                        ++sent));
    }

    /// Sends requests to the first gateways in turn, with a pause after each.
    void play(std::chrono::milliseconds time, std::chrono::microseconds pause,
              std::size_t to = gateway_count)
    {
        const auto end = now() + time;
        for (auto next = now(); next < end; next += pause)
        {
            send(sent % to);
            if (next > now())
            {
                loop().run_for(next - now());
            }
        }
    }

    [[nodiscard]] std::size_t count_responses(std::string_view text) const
    {
        return static_cast<std::size_t>(std::count_if(
            callers.begin(), callers.end(), [&](const auto& caller) {
                return caller->received.find(text) != std::string::npos;
            }));
    }

    /// @return Times that a server would have fallen over.
    [[nodiscard]] std::size_t falls() const
    {
        std::size_t count = 0;
        for (const auto& item : servers)
        {
            std::size_t first = 0;
            for (std::size_t last = 0; last < item.rejections.size(); ++last)
            {
                while (item.rejections[last] - item.rejections[first] >= 1s)
                {
                    ++first;
                }
                if (last - first + 1 > withstood_per_s)
                {
                    ++count;
                    first = last + 1;
                }
            }
        }
        return count;
    }
};

// Guards against servers that fall over together: all gateways filled the
// queues of all servers in a burst (review/4).
TEST(brittle_service_tests, burst_makes_no_brittle_server_fall_over)
{
    play(3s, 12'000us);
    callers.clear();
    play(3s, 3'000us);
    play(1s, 12'000us);
    loop().run_for(500ms);
    LONGS_EQUAL(0, falls());
    // Both are whole answers: what has no slot is refused at once.
    const auto refused = count_responses("not_run: servers_full");
    const auto served = count_responses("whole");
    CHECK_EQUAL(callers.size(), served + refused);
    CHECK_EQUAL(refused, count_responses("Retry-After: "));
    // Of what the slots could have run in the burst alone.
    CHECK_COMPARE(static_cast<double>(served), >=,
                  0.6 * 3 * server_count * slots * 10);
}

// Guards against a burst at a gateway that had no response of these servers.
TEST(brittle_service_tests, gateway_is_told_of_brittle_servers)
{
    play(3s, 24'000us, 1);
    callers.clear();
    for (std::size_t round = 0; round < 40; ++round)
    {
        send(1);
        send(2);
    }
    loop().run_for(1s);
    LONGS_EQUAL(0, falls());
    CHECK_EQUAL(callers.size(), count_responses("whole") +
                                    count_responses("not_run: servers_full"));
}

TEST(brittle_service_tests, queues_are_used_again_after_the_brittle_time)
{
    play(1s, 12'000us);
    brittle = false;
    play(4s, 12'000us);
    callers.clear();
    for (std::size_t round = 0; round < server_count * slots; ++round)
    {
        send(0);
    }
    loop().run_for(1s);
    CHECK_EQUAL(callers.size(), count_responses("whole"));
}
