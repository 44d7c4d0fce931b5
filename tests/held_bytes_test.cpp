/// @file
/// Guards against a byte budget that refuses or cuts callers inside the limits:
/// a body counted more than once while a server reads it slowly, and a response
/// cut although its caller reads. Starts a real entry and a real replica on
/// loopback, with a server and an instance list of its own.
///
/// Index: [system] [callers] [tests]

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/event_loop.hpp>
#include <hyssopdeal/transport/http1_server.hpp>

#include "caller_crowd.hpp"
#include "platform/counterpart.hpp"
#include "platform/settings.hpp"
#include "process_group.hpp"
#include "slow_server.hpp"

using namespace hyssopdeal;
using namespace std::chrono_literals;
using tests::large_response;
using tests::response_to;
using tests::slow_server;
using tests::small_buffer;
using tests::target;
using tests::wait_for;

namespace
{

constexpr std::uint16_t callers_port = 8'080;
constexpr std::uint16_t link_port = 7'600;
constexpr std::uint16_t platform_port = 9'000;
constexpr std::uint16_t server_port = 9'001;
constexpr std::size_t max_descriptors = 512;
constexpr std::size_t most_memory_mb = 64;
constexpr std::size_t largest_body = 4'194'304;

// [system] -------------------------------------------------------------------

// Tells where the server is and accepts every order.
class listing_platform
{
public:
    listing_platform(const target& at, const target& server)
    {
        protocol::listed_server listed;
        listed.id = "i-0";
        listed.born = 1'700'000'000'000;
        listed.service = "app";
        listed.address = fmt::format("{}:{}", server.address, server.port);
        listed.failure_domain = "d0";
        listed.version = "v1";
        listed.slots = 64;
        transport::http1_server_settings settings;
        settings.address = at.address;
        settings.port = at.port;
        http_ = std::make_unique<transport::http1_server>(
            loop_, clock_, settings,
            [list = platform::encode_list({listed})](auto exchange) {
                const bool get = exchange.request().method == "GET";
                exchange.send({200,
                               {{"Content-Type", "application/json"}},
                               get ? list : "{}"});
            });
        (void)http_->start();
        thread_ = std::thread{[this] { loop_.run(); }};
    }

    listing_platform(const listing_platform&) = delete;
    listing_platform& operator=(const listing_platform&) = delete;

    ~listing_platform()
    {
        loop_.stop();
        thread_.join();
    }

private:
    transport::system_clock clock_;
    transport::event_loop loop_;
    std::unique_ptr<transport::http1_server> http_;
    std::thread thread_;
};

protocol::service_document one_route()
{
    protocol::service_document document;
    document.version = 1;
    protocol::document_route route;
    route.name = "x";
    route.host = "a.example";
    route.path_prefix = "/x/";
    route.rule = protocol::repeat_rule::once;
    route.time_limit = 60s;
    route.target_latency = 30s;
    route.target_gap = 30s;
    route.max_attempts = 1;
    route.shares = {{"app", 1}};
    document.routes = {route};
    document.services = {{"app", 64, {}, {}}};
    document.organisations = {{"o", {"k"}, {}, 0, 0, 1, false}};
    return document;
}

// [callers] ------------------------------------------------------------------

std::string request_text(const std::string& method, const std::string& path,
                         const std::string& body)
{
    static std::atomic<int> sent = 0; // Several threads ask.
    return fmt::format("{} {} HTTP/1.1\r\nHost: a.example\r\n"
                       "Authorization: Bearer k\r\nX-Attempt-Id: a{}\r\n"
                       "X-Deadline-Ms: 60000\r\nContent-Length: {}\r\n"
                       "Connection: close\r\n\r\n{}",
                       method, path, ++sent, body.size(), body);
}

} // namespace

TEST_GROUP(held_bytes)
{
    const target replica{tests::own_address(94), callers_port};
    const target entry{tests::own_address(93), callers_port};
    const target platform_at{tests::own_address(95), platform_port};
    const target server_at{tests::own_address(95), server_port};
    slow_server server{server_at};
    listing_platform platform_{platform_at, server_at};
    tests::process_group group;

    // A quarter of the memory is the budget.
    void start(std::size_t memory_mb)
    {
        platform::process_settings own;
        own.instance = "c0";
        own.address = replica.address;
        own.failure_domain = "d0";
        own.first_internal_port = link_port;
        own.seeds = {fmt::format("{}:{}", replica.address, callers_port)};
        own.operators = own.seeds.front();
        own.first_start = true;
        own.max_descriptors = max_descriptors;
        own.platform_address =
            fmt::format("{}:{}", platform_at.address, platform_at.port);
        own.data_folder = group.path("data");
        run("c0", "hyssop-platform-controld", own);
        own.instance = "e0";
        own.address = entry.address;
        own.operators = "";
        own.first_start = false;
        own.data_folder = "";
        own.relay_port = link_port + 1;
        own.callers = fmt::format("{}:{}", entry.address, callers_port);
        own.readiness = fmt::format("{}:{}", entry.address, callers_port + 1);
        own.memory_mb = memory_mb;
        run("e0", "hyssop-platform-entryd", own);
        const auto order = platform::put_document_request(one_route());
        CHECK_TRUE(wait_for([&] {
            return response_to(replica, request_text(order.method, order.target,
                                                     order.body))
                .starts_with("HTTP/1.1 2");
        }));
        CHECK_TRUE(wait_for([&] { return is_served(); }));
    }

    void run(const std::string& name, const std::string& program,
             const platform::process_settings& settings)
    {
        group.write(name + ".yaml", platform::encode_settings(settings));
        group.start(
            name, program, {},
            {{platform::settings_variable, group.path(name + ".yaml")}});
    }

    bool is_served() const
    {
        return response_to(entry, request_text("POST", "/x/small", "x"))
            .starts_with("HTTP/1.1 200");
    }

    void check_entry()
    {
        LONGS_EQUAL(-1, group.wait("e0", 0s));
        const auto memory = tests::peak_memory_mb(group.id("e0"));
        fmt::print("\nentry: {} MB of {}\n", memory, most_memory_mb);
        CHECK_TRUE(!tests::memory_is_measured || memory < most_memory_mb);
        CHECK_TRUE(tests::descriptors_of(group.id("e0")) < max_descriptors);
        CHECK_TRUE(is_served());
    }
};

// Guards against a body that is counted for its reader and again for the client
// that sends it on: the largest legal one was then refused by a budget that is
// one and a half times as large.
TEST(held_bytes, body_that_a_server_reads_slowly_is_counted_once)
{
    constexpr std::size_t memory_mb = 24;
    start(memory_mb);
    std::string answer;
    std::thread caller{[&] {
        answer =
            response_to(entry, request_text("POST", "/x/a",
                                            std::string(largest_body, 'x')));
    }};
    std::string metrics;
    const bool begun = wait_for([&] { return server.begun() > 0; });
    const bool others_served = is_served();
    metrics = response_to({entry.address, platform::metrics_port},
                          request_text("GET", "/metrics", ""));
    caller.join();
    CHECK_TRUE_TEXT(begun, answer.substr(0, 400).c_str());
    CHECK_TRUE(others_served);
    STRCMP_EQUAL("HTTP/1.1 200", answer.substr(0, 12).c_str());
    LONGS_EQUAL(1, server.whole());
    const std::string key = "\nhyssopdeal_held_caller_bytes ";
    const auto at = metrics.find(key);
    CHECK_TRUE(at != std::string::npos);
    const auto held = std::stod(metrics.substr(at + key.size()));
    fmt::print("\nheld while the server read: {} bytes\n", held);
    CHECK_TRUE(held < 1.5 * largest_body);
    check_entry();
}

// Guards against a response that is cut, when the budget is reached, although
// its caller reads on, while callers that read nothing keep theirs.
TEST(held_bytes, slow_reader_gets_its_response_beside_callers_that_read_nothing)
{
    constexpr std::size_t memory_mb = 64;
    constexpr std::size_t crowd_size = 16;
    start(memory_mb);
    const auto ask = [&] {
        const int file = tests::connect_to(entry, small_buffer);
        tests::send_all(file, request_text("GET", "/x/large", ""));
        return file;
    };
    std::string answer;
    std::thread slow{
        [&] { answer = tests::read_all(ask(), small_buffer / 4, 50ms); }};
    std::vector<int> crowd;
    for (std::size_t at = 0; at < crowd_size; ++at)
    {
        std::this_thread::sleep_for(150ms);
        crowd.push_back(ask());
        pollfd wait{crowd.back(), POLLIN, 0};
        (void)::poll(&wait, 1, 5'000);
    }
    slow.join();
    fmt::print("\nslow reader: {} bytes of {}\n", answer.size(),
               large_response);
    STRCMP_EQUAL("HTTP/1.1 200", answer.substr(0, 12).c_str());
    CHECK_TRUE(answer.size() > large_response);
    check_entry();
    for (const int file : crowd)
    {
        ::close(file);
    }
}
