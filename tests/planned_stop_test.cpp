/// @file
/// Requests that are under way when an entry is stopped: gateway_process with
/// real links to control replicas and scripted servers.

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

constexpr auto callers_port = cluster_harness::callers_port;
constexpr auto grace = 3s;

std::string not_executed(const std::string& request)
{
    return "HTTP/1.1 503 Full\r\nHyssopdeal-Verdict: not_run\r\n"
           "Hyssopdeal-Attempt: " +
           tests::attempt_in(request) + "\r\nContent-Length: 0\r\n\r\n";
}

} // namespace

TEST_GROUP(planned_stop_tests)
{
    using server_script =
        std::function<void(raw_connection&, const std::string& request)>;

    cluster_harness cluster{3};
    std::unique_ptr<coordination::gateway_process> gateway;
    std::vector<std::unique_ptr<tests::raw_listener>> servers;
    std::vector<std::string> received; ///< By any server.
    std::vector<transport::timer_handle> timers;
    bool drained = false;

    void teardown() override
    {
        gateway.reset();
    }

    transport::event_loop& loop()
    {
        return cluster.loop;
    }

    void add_server(const server_script& script)
    {
        servers.push_back(std::make_unique<tests::raw_listener>(
            loop(), [this, script](raw_connection& connection) {
                if (connection.received.find("\r\n\r\n") != std::string::npos)
                {
                    received.push_back(std::exchange(connection.received, {}));
                    script(connection, received.back());
                }
            }));
        auto listed = tests::listed(fmt::format("w{}", servers.size()));
        listed.address = servers.back()->address();
        listed.slots = 8;
        cluster.list.push_back(listed);
    }

    void start()
    {
        CHECK_TRUE(cluster.put(0, "1:prompts"));
        auto settings = cluster.gateway_settings();
        settings.grace = grace;
        gateway = cluster.make_gateway(settings);
        CHECK_TRUE(gateway->start().has_value());
        loop().run_for(1'500ms);
    }

    std::shared_ptr<raw_connection> send(const std::string& path)
    {
        auto caller =
            tests::raw_call(loop(), callers_port, cluster_harness::ip(100));
        caller->send("POST " + path +
                     " HTTP/1.1\r\nHost: h\r\nHyssopdeal-Attempt: id1\r\n"
                     "Content-Length: 0\r\n\r\n");
        return caller;
    }

    /// Stops the gateway as its program does, until the process would end.
    void stop()
    {
        gateway->drain([this] { drained = true; });
        CHECK_TRUE(tests::run_until(
            loop(), [this] { return drained; }, grace));
        gateway.reset();
        loop().run_for(100ms);
    }
};

TEST(planned_stop_tests, request_still_running_at_the_end_is_answered)
{
    add_server([](auto&, const auto&) {});
    start();
    const auto caller = send("/once/x");
    CHECK_TRUE(tests::run_until(loop(), [&] { return !received.empty(); }));
    stop();
    CHECK_TRUE(caller->received.starts_with("HTTP/1.1 504 "));
}

TEST(planned_stop_tests, request_is_not_passed_on_late_in_the_grace_period)
{
    // Both servers refuse late, so the request is passed on again.
    for (int count = 0; count < 2; ++count)
    {
        add_server([this](raw_connection& connection, const auto& request) {
            timers.push_back(loop().after(
                grace * 7 / 10,
                [open = connection.shared_from_this(),
                 answer = not_executed(request)] { open->send(answer); }));
        });
    }
    start();
    const auto caller = send("/once/x");
    CHECK_TRUE(tests::run_until(loop(), [&] { return !received.empty(); }));
    stop();
    LONGS_EQUAL(1, received.size());
    CHECK_TRUE(caller->received.starts_with("HTTP/1.1 503 "));
    CHECK_TRUE(caller->received.find("not_run") != std::string::npos);
}

TEST(planned_stop_tests, servers_are_told_the_time_that_is_left_of_the_grace)
{
    add_server([](auto&, const auto&) {});
    start();
    gateway->drain([this] { drained = true; });
    (void)send("/once/x");
    CHECK_TRUE(tests::run_until(loop(), [&] { return !received.empty(); }));
    const std::string name = "X-Request-Deadline-Ms: ";
    const auto at = received.front().find(name);
    CHECK_TRUE(std::stoi(received.front().substr(at + name.size())) <
               std::chrono::milliseconds{grace}.count());
}
