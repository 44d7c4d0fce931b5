/// @file
/// Requests that crash every server that begins to answer them, sent through
/// two gateways and a cluster of control replicas with real links.

#include <algorithm>
#include <array>

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

#include <hyssopdeal/coordination/cluster/crash_attribution.hpp>
#include <hyssopdeal/coordination/gateway/crash_evidence.hpp>

#include "cluster_harness.hpp"
#include "raw_peer.hpp"

using namespace hyssopdeal;
using namespace std::chrono_literals;
using tests::cluster_harness;
using tests::raw_connection;

namespace
{

constexpr std::string_view crashing_part = "dead";
constexpr std::string_view crashing_body = "crash";
constexpr std::size_t crashes_before_the_bound = 5;
constexpr std::size_t crashes_by_one_request_before_the_bound = 3;
constexpr std::size_t allowed_after_the_bound = 3;
constexpr auto contact_time = 3s;
constexpr auto callers_port = cluster_harness::callers_port;

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
    bool event_before_crash = false;
    std::size_t bound_crashes = crashes_before_the_bound;
    std::size_t crashes = 0;
    /// Times at which crashing requests reached servers.
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
        auto gateway = cluster.make_gateway(cluster.gateway_settings(index));
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
            parts_of(head).find(crashing_part) != std::string::npos ||
            head.ends_with(crashing_body);
        if (crashing)
        {
            reached.push_back(cluster.clock.monotonic_now());
        }
        answers.push_back(loop().after(
            time_to_first_event,
            [this, index, crashing, attempt = tests::attempt_in(head),
             open = connection.shared_from_this()] {
                if (open->closed)
                {
                    return;
                }
                if (crashing)
                {
                    if (event_before_crash)
                    {
                        open->send("HTTP/1.1 200 OK\r\nHyssopdeal-Attempt: " +
                                   attempt +
                                   "\r\nContent-Length: 99\r\n\r\n"
                                   "id: 1\ndata: last\n\n");
                    }
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
        if (++crashes == bound_crashes)
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

    /// @param head Request line and headers of the request's own.
    std::shared_ptr<raw_connection> send(std::string_view head,
                                         std::string_view body)
    {
        ++sent;
        const std::size_t gateway = static_cast<std::size_t>(sent) % 2;
        auto caller = tests::raw_call(loop(), callers_port,
                                      cluster_harness::ip(100 + gateway));
        caller->send(fmt::format("{}Host: h\r\nHyssopdeal-Attempt: id{}\r\n"
                                 "Content-Length: {}\r\n\r\n{}",
                                 head, sent, body.size(), body));
        return caller;
    }

    std::shared_ptr<raw_connection> send_prompt(const std::string& parts)
    {
        return send(fmt::format("POST /stream/x HTTP/1.1\r\n"
                                "Hyssopdeal-Prompt: 100\r\n"
                                "Hyssopdeal-Prompt-Parts: {},{:x}:5\r\n",
                                parts, 0x10'001 + sent),
                    "");
    }

    /// Sends a crashing request every 150 ms and a sound one in between.
    ///
    /// @return The sound requests' callers.
    template <class SendCrashing, class SendSound>
    std::vector<std::shared_ptr<raw_connection>> alternate(
        std::chrono::milliseconds time, SendCrashing send_crashing,
        SendSound send_sound)
    {
        std::vector<std::shared_ptr<raw_connection>> sound;
        const auto end = cluster.clock.monotonic_now() + time;
        while (cluster.clock.monotonic_now() < end)
        {
            callers.push_back(send_crashing());
            loop().run_for(75ms);
            sound.push_back(send_sound());
            loop().run_for(75ms);
        }
        loop().run_for(500ms);
        return sound;
    }

    /// Sends crashing prompts, and sound ones that share all other parts.
    std::vector<std::shared_ptr<raw_connection>> play(
        std::chrono::milliseconds time)
    {
        return alternate(
            time,
            [this] {
                return send_prompt(
                    fmt::format("a1:40,b2:30,{}:20", crashing_part));
            },
            [this] { return send_prompt("a1:40,b2:30"); });
    }

    /// Sends one crashing request again and again, and sound ones that differ
    /// from it by their body only.
    std::vector<std::shared_ptr<raw_connection>> play_repeated(
        std::string_view head, std::chrono::milliseconds time)
    {
        bound_crashes = crashes_by_one_request_before_the_bound;
        return alternate(
            time, [&] { return send(head, crashing_body); },
            [&] { return send(head, fmt::format("sound{}", sent)); });
    }

    /// Checks that crashing requests reach no more servers after the bound, and
    /// that sound ones fail only while they share a server with one of them.
    void check_contained(
        const std::vector<std::shared_ptr<raw_connection>>& sound) const
    {
        CHECK_TRUE(crashes > 0);
        CHECK_TRUE(reached_after_the_bound() <= allowed_after_the_bound);
        const auto served =
            std::count_if(sound.begin(), sound.end(), [](const auto& caller) {
                return caller->received.find("data: sound") !=
                       std::string::npos;
            });
        CHECK_TRUE(served * 10 >=
                   static_cast<std::ptrdiff_t>(sound.size()) * 9);
    }

    [[nodiscard]] std::size_t reached_after_the_bound() const
    {
        const auto bound = last_counted_crash + contact_time;
        return crashes < bound_crashes
                   ? 0
                   : static_cast<std::size_t>(std::count_if(
                         reached.begin(), reached.end(),
                         [&](const auto at) { return at > bound; }));
    }
};

TEST(crash_quarantine_tests,
     prompt_part_that_crashes_servers_after_one_event_is_quarantined_too)
{
    event_before_crash = true;
    (void)play(8s);
    CHECK_TRUE(crashes > 0);
    CHECK_TRUE(reached_after_the_bound() <= allowed_after_the_bound);
}

TEST(crash_quarantine_tests,
     prompt_part_that_crashes_servers_reaches_no_more_of_them)
{
    check_contained(play(8s));
}

TEST(crash_quarantine_tests,
     request_without_a_prompt_that_crashes_servers_reaches_no_more_of_them)
{
    check_contained(play_repeated("POST /once/x HTTP/1.1\r\n", 8s));
}

TEST(crash_quarantine_tests,
     request_that_crashes_servers_by_its_body_reaches_no_more_of_them)
{
    check_contained(
        play_repeated("POST /stream/x HTTP/1.1\r\nHyssopdeal-Prompt: 100\r\n"
                      "Hyssopdeal-Prompt-Parts: a1:40,b2:30,c3:30\r\n",
                      8s));
}

// Several messages between processes are needed before a quarantine holds, so
// it must not be lost with the process that decided it.
TEST(crash_quarantine_tests, quarantine_survives_restart_of_all_processes)
{
    (void)play(3s);
    const auto crashes_before = crashes;
    CHECK_TRUE(tests::run_until(loop(), [&] {
        return cluster.metric(cluster.leader(),
                              "hyssopdeal_quarantined_prompts") == 1;
    }));
    gateways.clear();
    for (std::size_t index = 0; index < 3; ++index)
    {
        cluster.stop(index);
    }
    for (std::size_t index = 0; index < 3; ++index)
    {
        cluster.start(index, coordination::cluster_start::later);
    }
    for (std::size_t index = 0; index < 2; ++index)
    {
        gateways.push_back(start_gateway(index));
    }
    CHECK_TRUE(tests::run_until(loop(), [&] {
        return cluster.leader() != cluster_harness::no_leader;
    }));
    loop().run_for(1'500ms);
    (void)play(2s);
    CHECK_EQUAL(crashes_before, crashes);
}

// [decisions] ----------------------------------------------------------------

namespace
{

constexpr auto settle_time = 350ms;

} // namespace

TEST_GROUP(crash_attribution_tests)
{
    coordination::crash_attribution attribution{{}};
    coordination::crash_attribution::quarantines held;
    transport::monotonic_time now{1h};
    transport::monotonic_time leader_since{0s};
    std::uint64_t broken = 0;

    [[nodiscard]] transport::wall_time true_now() const
    {
        return transport::wall_time{
            std::chrono::duration_cast<std::chrono::milliseconds>(
                now.time_since_epoch())};
    }

    /// A server crashes under requests that were sent 200 ms ago.
    void crash(const std::string& server,
               const std::vector<protocol::part_ids>& requests)
    {
        protocol::crash_report report;
        for (const auto& parts : requests)
        {
            report.broken.push_back({++broken, server, 1, 200, 0, parts});
        }
        attribution.on_report(now, "e", 1, report);
    }

    void answered(std::uint64_t part)
    {
        protocol::crash_report report;
        report.answered[part] = 0;
        attribution.on_report(now, "e", 1, report);
    }

    /// @return The parts that are quarantined after the evidence has settled.
    protocol::part_ids decide()
    {
        now += settle_time;
        const auto next = attribution.next_quarantine(
            now, true_now(), leader_since, settle_time, held);
        if (next)
        {
            held[next->parts] = *next;
        }
        return next ? next->parts : protocol::part_ids{};
    }
};

TEST(crash_attribution_tests, part_of_every_crash_is_told_from_answered_ones)
{
    std::uint64_t other = 20;
    for (const auto* server : {"w1", "w2", "w3"})
    {
        crash(server, {{1, 2, 9}, {1, ++other}});
        now += 500ms;
        answered(1);
        answered(2);
    }
    CHECK_TRUE(decide() == protocol::part_ids{9});
    CHECK_TRUE(decide().empty());
}

TEST(crash_attribution_tests, sound_requests_of_the_same_crashes_are_not_blamed)
{
    for (const auto* server : {"w1", "w2", "w3"})
    {
        crash(server, {{1, 2, 9}, {1, 3}});
        now += 500ms;
    }
    // Nothing with part 1 was answered, but each crash has a request with more
    // parts in common.
    CHECK_TRUE(decide() == (protocol::part_ids{1, 2, 9}));
    CHECK_TRUE(decide().empty());
}

// Requests with the harmful part are under way to many servers when the first
// one crashes; other requests are sent on to servers that crash next.
TEST(crash_attribution_tests,
     frequent_part_is_not_blamed_before_the_harmful_one)
{
    const auto crash_with_late_sound_request = [&](const char* server) {
        protocol::crash_report report;
        report.broken.push_back({++broken, server, 1, 900, 0, {1, 9}});
        report.broken.push_back(
            {++broken, server, 1, 50, 0, {5, 100 + broken}});
        attribution.on_report(now, "e", 1, report);
    };
    for (const auto* server : {"w1", "w2", "w3"})
    {
        crash_with_late_sound_request(server);
        now += 100ms;
    }
    CHECK_TRUE(decide().empty());
    crash("w4", {{1, 9}});
    CHECK_TRUE(decide() == (protocol::part_ids{1, 9}));
    CHECK_TRUE(decide().empty());
}

TEST(crash_attribution_tests, quarantine_is_widened_by_one_further_crash)
{
    for (const auto* server : {"w1", "w2", "w3"})
    {
        crash(server, {{2, 9}});
        now += 500ms;
    }
    CHECK_TRUE(decide() == (protocol::part_ids{2, 9}));
    crash("w4", {{4, 9}});
    CHECK_TRUE(decide() == protocol::part_ids{9});
}

TEST(crash_attribution_tests, servers_lost_at_the_same_moment_blame_no_prompt)
{
    for (const auto* server : {"w1", "w2", "w3", "w4", "w5"})
    {
        crash(server, {{1, 2}});
    }
    CHECK_TRUE(decide().empty());
}

TEST(crash_attribution_tests, answered_part_is_cleared_of_earlier_crashes)
{
    for (const auto* server : {"w1", "w2", "w3"})
    {
        crash(server, {{1}});
        now += 500ms;
    }
    CHECK_TRUE(attribution.suspects() == protocol::part_ids{1});
    answered(1);
    CHECK_TRUE(decide().empty());
    CHECK_TRUE(attribution.suspects().empty());
}

TEST(crash_attribution_tests, evidence_that_has_not_settled_decides_nothing)
{
    for (const auto* server : {"w1", "w2", "w3"})
    {
        crash(server, {{1}});
        now += 500ms;
    }
    now -= 500ms;
    CHECK_FALSE(
        attribution
            .next_quarantine(now, true_now(), leader_since, settle_time, held)
            .has_value());
}

// A follower hears of crashes, but not always of the answers that cleared the
// parts at the leader.
TEST(crash_attribution_tests, new_leader_asks_for_answers_before_it_decides)
{
    for (const auto* server : {"w1", "w2", "w3"})
    {
        crash(server, {{1}});
        now += 10s;
    }
    leader_since = now;
    CHECK_TRUE(decide().empty());
    CHECK_TRUE(attribution.suspects() == protocol::part_ids{1});
    answered(1);
    now += 2s;
    CHECK_TRUE(decide().empty());
}

TEST(crash_attribution_tests, repeated_reports_of_a_crash_count_once)
{
    protocol::crash_report report;
    report.broken.push_back({1, "w1", 1, 200, 0, {1}});
    for (int round = 0; round < 9; ++round)
    {
        attribution.on_report(now, "e", 1, report);
        now += 100ms;
        report.broken.front().sent_age_ms += 100;
        report.broken.front().broken_age_ms += 100;
    }
    CHECK_TRUE(attribution.suspects().empty());
}

TEST(crash_attribution_tests, ended_quarantine_is_renewed_for_twice_the_time)
{
    for (const auto* server : {"w1", "w2", "w3"})
    {
        crash(server, {{9}});
        now += 500ms;
    }
    CHECK_TRUE(decide() == protocol::part_ids{9});
    const auto first = held.begin()->second.duration_ms;
    now += std::chrono::milliseconds{first};
    CHECK_TRUE(decide().empty());
    crash("w4", {{9}});
    CHECK_TRUE(decide() == protocol::part_ids{9});
    CHECK_EQUAL(2 * first, held.begin()->second.duration_ms);
}

TEST_GROUP(crash_evidence_tests)
{
    coordination::crash_evidence evidence;
    transport::monotonic_time now{1h};
    std::shared_ptr<coordination::known_server> server =
        std::make_shared<coordination::known_server>();

    static coordination::request_content prompt(
        const std::vector<std::uint64_t>& ids)
    {
        coordination::prompt_size size;
        for (const auto id : ids)
        {
            size.parts.push_back({id, 10});
        }
        return {{}, {}, size};
    }

    void quarantine(const protocol::part_ids& parts)
    {
        protocol::crash_orders orders;
        orders.quarantine = {{parts, 60'000}};
        evidence.set_orders(now, orders);
    }
};

TEST(crash_evidence_tests, prompt_with_all_parts_is_quarantined_until_the_end)
{
    quarantine({2, 9});
    CHECK_TRUE(evidence.quarantine_of(now, prompt({1, 2, 9, 5})) == 60s);
    CHECK_FALSE(evidence.quarantine_of(now, prompt({1, 2, 5})).has_value());
    CHECK_FALSE(evidence.quarantine_of(now, prompt({})).has_value());
    now += 60s;
    CHECK_FALSE(evidence.quarantine_of(now, prompt({2, 9})).has_value());
}

TEST(crash_evidence_tests, server_that_sends_events_afterwards_has_not_crashed)
{
    evidence.on_broken(now, now - 200ms, server, prompt({1, 2}));
    CHECK_FALSE(evidence.has_news(now));
    now += 100ms;
    CHECK_TRUE(evidence.has_news(now));
    LONGS_EQUAL(1, evidence.report(now).broken.size());
    evidence.mark_reported(now);
    CHECK_FALSE(evidence.has_news(now));
    server->last_heard = now;
    CHECK_TRUE(evidence.report(now).broken.empty());
}

TEST(crash_evidence_tests, answers_with_suspected_parts_are_reported)
{
    evidence.on_answered(now, prompt({1, 2}));
    now += 40ms;
    CHECK_TRUE(evidence.report(now).answered.empty());
    protocol::crash_orders orders;
    orders.suspects = {2, 3};
    evidence.set_orders(now, orders);
    CHECK_TRUE(evidence.has_news(now));
    const auto report = evidence.report(now);
    LONGS_EQUAL(1, report.answered.size());
    LONGS_EQUAL(40, report.answered.at(2));
}

TEST(crash_evidence_tests, answer_to_a_quarantined_prompt_disproves_it)
{
    quarantine({2, 9});
    evidence.on_answered(now, prompt({2, 9, 5}));
    const auto report = evidence.report(now);
    LONGS_EQUAL(1, report.disproved.size());
    CHECK_TRUE(report.disproved.front() == (protocol::part_ids{2, 9}));
}
