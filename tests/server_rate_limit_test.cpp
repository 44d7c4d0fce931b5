/// @file
/// Servers that name the rate of requests that they take from all gateways
/// together, behind several gateways and a cluster of control replicas with
/// real links.

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

constexpr auto contact_time = 3s;
constexpr auto window = 4s;
constexpr std::size_t gateway_count = 5;
constexpr std::size_t server_count = 4;
constexpr auto callers_port = cluster_harness::callers_port;

/// @return Requests that a server may get in some window, by the platform's
///     rule.
double allowed_in_window(double limit_per_s)
{
    constexpr double tolerance = 1.5;
    constexpr double slack = 5;
    return tolerance * limit_per_s *
               std::chrono::duration<double>(window).count() +
           slack;
}

} // namespace

TEST_GROUP(server_rate_limit_tests)
{
    struct server
    {
        std::shared_ptr<tests::raw_listener> listener;
        std::string limit; ///< Named in each response; empty: none.
        std::deque<monotonic_time> arrivals;
    };

    cluster_harness cluster{3};
    std::array<std::unique_ptr<coordination::gateway_process>, gateway_count>
        gateways;
    std::array<server, server_count> servers;
    std::vector<std::shared_ptr<raw_connection>> callers;
    std::vector<transport::timer_handle> answers;
    std::size_t sent = 0;

    void setup() override
    {
        for (std::size_t index = 0; index < server_count; ++index)
        {
            start_server(index);
        }
        CHECK_TRUE(cluster.put(0, "1:prompts"));
        for (std::size_t index = 0; index < gateway_count; ++index)
        {
            start_gateway(index);
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

    void start_gateway(std::size_t index)
    {
        gateways.at(index) =
            cluster.make_gateway(cluster.gateway_settings(index));
        CHECK_TRUE(gateways.at(index)->start().has_value());
    }

    void start_server(std::size_t index)
    {
        auto& item = servers.at(index);
        item.listener = std::make_shared<tests::raw_listener>(
            loop(), [this, index](raw_connection& connection) {
                if (connection.received.find("\r\n\r\n") != std::string::npos)
                {
                    answer(index, connection,
                           std::exchange(connection.received, {}));
                }
            });
        auto listed = tests::listed(fmt::format("w{}", index));
        listed.address = item.listener->address();
        listed.slots = 8;
        cluster.list.push_back(listed);
    }

    void answer(std::size_t index, raw_connection & connection,
                const std::string& head)
    {
        constexpr auto time_to_first_event = 30ms;
        auto& item = servers.at(index);
        item.arrivals.push_back(now());
        answers.push_back(loop().after(
            time_to_first_event,
            [limit = item.limit, attempt = tests::attempt_in(head),
             open = connection.shared_from_this()] {
                open->send(fmt::format(
                    "HTTP/1.1 200 OK\r\nHyssopdeal-Attempt: {}\r\n{}"
                    "Content-Length: 19\r\n\r\nid: 1\ndata: whole\n\n",
                    attempt,
                    limit.empty()
                        ? ""
                        : fmt::format("Hyssopdeal-Rate-Limit: {}\r\n", limit)));
            }));
    }

    void send()
    {
        const auto gateway = sent++ % gateway_count;
        callers.push_back(tests::raw_call(loop(), callers_port,
                                          cluster_harness::ip(100 + gateway)));
        callers.back()->send(fmt::format(
            "POST /stream/x HTTP/1.1\r\nHost: h\r\nHyssopdeal-Prompt: 100\r\n"
            "Hyssopdeal-Prompt-Parts: a1:40,{:x}:60\r\n"
            "Hyssopdeal-Attempt: id{}\r\nContent-Length: 0\r\n\r\n",
            0x10'000 + sent, sent));
    }

    /// Sends 40 requests a second, in turn to each running gateway.
    void play(std::chrono::milliseconds time)
    {
        const auto end = now() + time;
        while (now() < end)
        {
            send();
            loop().run_for(25ms);
        }
    }

    [[nodiscard]] std::size_t arrived_since(std::size_t index,
                                            monotonic_time since) const
    {
        const auto& arrivals = servers.at(index).arrivals;
        return static_cast<std::size_t>(
            std::count_if(arrivals.begin(), arrivals.end(),
                          [&](const auto at) { return at >= since; }));
    }

    /// @return The most requests that a server got in a window that begins at
    ///     some time or later.
    [[nodiscard]] std::size_t most_in_window(std::size_t index,
                                             monotonic_time since) const
    {
        const auto& arrivals = servers.at(index).arrivals;
        std::size_t most = 0;
        for (const auto first : arrivals)
        {
            const auto count =
                std::count_if(arrivals.begin(), arrivals.end(), [&](auto at) {
                    return at >= first && at < first + window;
                });
            most = first < since
                       ? most
                       : std::max(most, static_cast<std::size_t>(count));
        }
        return most;
    }

    [[nodiscard]] std::size_t served() const
    {
        return count_responses("data: whole");
    }

    [[nodiscard]] std::size_t count_responses(std::string_view text) const
    {
        return static_cast<std::size_t>(std::count_if(
            callers.begin(), callers.end(), [&](const auto& caller) {
                return caller->received.find(text) != std::string::npos;
            }));
    }
};

TEST(server_rate_limit_tests, server_gets_no_more_than_the_rate_that_it_named)
{
    constexpr double limit = 1;
    play(1s);
    servers[0].limit = "1";
    const auto named = now();
    play(contact_time + 2 * window);
    CHECK_TRUE(
        tests::run_until(loop(), [&] { return served() == callers.size(); }));
    const auto most = most_in_window(0, named + contact_time);
    CHECK_COMPARE(static_cast<double>(most), <=, allowed_in_window(limit));
}

TEST(server_rate_limit_tests, limit_is_used_until_it_is_no_longer_named)
{
    cluster.list.resize(1);
    servers[0].limit = "2";
    play(contact_time);
    const auto settled = now();
    play(window);
    CHECK_COMPARE(arrived_since(0, settled), >=, 5U);
    servers[0].limit.clear();
    play(1'500ms);
    const auto sent_before = callers.size();
    const auto ended = now();
    play(1s);
    CHECK_TRUE(tests::run_until(loop(), [&] {
        return arrived_since(0, ended) == callers.size() - sent_before;
    }));
}

TEST(server_rate_limit_tests,
     limit_holds_when_the_leader_and_a_gateway_are_lost)
{
    servers[0].limit = "1";
    const auto named = now();
    play(contact_time);
    cluster.stop(cluster.leader());
    gateways[1].reset();
    start_gateway(1);
    play(window);
    play(2s);
    loop().run_for(200ms);
    CHECK_COMPARE(static_cast<double>(most_in_window(0, named + contact_time)),
                  <=, allowed_in_window(1));
}

TEST(server_rate_limit_tests,
     callers_beyond_the_limits_of_all_servers_are_refused_with_a_time_to_return)
{
    constexpr double limit = 3;
    for (auto& item : servers)
    {
        item.limit = "3";
    }
    const auto named = now();
    play(contact_time);
    const auto settled = now();
    const auto served_before = served();
    play(window);
    loop().run_for(200ms);
    for (std::size_t index = 0; index < server_count; ++index)
    {
        CHECK_COMPARE(
            static_cast<double>(most_in_window(index, named + contact_time)),
            <=, allowed_in_window(limit));
    }
    const auto seconds = std::chrono::duration<double>(now() - settled).count();
    CHECK_COMPARE(static_cast<double>(served() - served_before), >=,
                  0.7 * limit * server_count * seconds);
    CHECK_EQUAL(callers.size(),
                served() + count_responses("not_run: servers_rate_limited"));
    CHECK_EQUAL(callers.size() - served(), count_responses("Retry-After: "));
}
