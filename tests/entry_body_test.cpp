/// @file
/// Guards against a body that hyssop-entryd counts for its reader and holds
/// again for each call that sends it on: the largest legal one was then refused
/// by a budget that is one and a half times as large. Starts the real program
/// on loopback, without control replicas, with a server of its own.

#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <hyssopdeal/protocol/contract_json.hpp>
#include <hyssopdeal/transport/digest.hpp>

#include "caller_crowd.hpp"
#include "process_group.hpp"
#include "slow_server.hpp"

using namespace hyssopdeal;
using namespace std::chrono_literals;
using tests::response_to;
using tests::target;
using tests::wait_for;

namespace
{

constexpr std::uint16_t callers_port = 8'080;
constexpr std::uint16_t server_port = 9'001;
constexpr std::size_t largest_body = 8'388'608;
constexpr std::size_t budget = largest_body / 2 * 3;
constexpr std::size_t bytes_in_mb = 1'048'576;

std::string post(const std::string& body)
{
    return fmt::format("POST /v1/app/a HTTP/1.1\r\nHost: a.example\r\n"
                       "Authorization: Bearer key\r\nContent-Length: {}\r\n"
                       "Connection: close\r\n\r\n{}",
                       body.size(), body);
}

protocol::organisation_contract one_contract()
{
    protocol::organisation_contract contract;
    contract.organisation = "o";
    contract.key_sha256 = {transport::sha256_hex("key")};
    return contract;
}

protocol::service one_service(const target& server)
{
    protocol::route route;
    route.name = "a";
    route.method = "POST";
    route.path_prefix = "/a";
    route.time_limit = 60s;
    protocol::backend_server listed;
    listed.name = "s";
    listed.address = fmt::format("{}:{}", server.address, server.port);
    listed.failure_domain = "d0";
    listed.version = "v1";
    listed.slots = 8;
    protocol::service service;
    service.name = "app";
    service.kind = protocol::service_kind::plain;
    service.routes = {route};
    service.servers = {listed};
    service.shares = {{"v1", 1}};
    return service;
}

} // namespace

TEST_GROUP(entry_bodies)
{
    const target entry{tests::own_address(96), callers_port};
    const target server_at{tests::own_address(97), server_port};
    tests::slow_server server{server_at};
    tests::process_group group;

    void setup() override
    {
        group.write("contract.json", protocol::write_contract(one_contract()));
        group.write("service.json",
                    protocol::write_service(one_service(server_at)));
        group.write(
            "it.json",
            fmt::format(R"({{"name":"e1","failure_domain":"d0",)"
                        R"("address":"{}","port":{},"max_connections":256,)"
                        R"("max_body_bytes":{},"max_held_caller_bytes":{},)"
                        R"("read_time_limit_ms":60000,)"
                        R"("contract_files":["{}"],"service_files":["{}"]}})",
                        entry.address, entry.port, largest_body, budget,
                        group.path("contract.json"),
                        group.path("service.json")));
        group.start("it", "hyssop-entryd",
                    {"--settings", group.path("it.json")});
        CHECK_TRUE_TEXT(wait_for([&] { return is_served(); }),
                        group.output("it").c_str());
    }

    bool is_served() const
    {
        return response_to(entry, post("x")).starts_with("HTTP/1.1 200");
    }

    std::string read_metrics() const
    {
        return response_to(entry, "GET /metrics HTTP/1.1\r\nHost: a\r\n"
                                  "Connection: close\r\n\r\n");
    }

    std::size_t held() const
    {
        return held_in(read_metrics());
    }

    static std::size_t held_in(const std::string& metrics)
    {
        const std::string key = "\nhyssopdeal_held_caller_bytes ";
        const auto at = metrics.find(key);
        CHECK_TRUE_TEXT(at != std::string::npos, metrics.c_str());
        return static_cast<std::size_t>(
            std::stod(metrics.substr(at + key.size())));
    }
};

TEST(entry_bodies, body_that_a_server_reads_slowly_is_held_and_counted_once)
{
    const auto memory_before = tests::peak_memory_mb(group.id("it"));
    server.hold();
    std::string answer;
    std::atomic<bool> answered = false;
    std::thread caller{[&] {
        answer = response_to(entry, post(std::string(largest_body, 'x')));
        answered = true;
    }};
    (void)wait_for([&] { return server.begun() > 0 || answered; });
    const auto metrics = read_metrics();
    const bool others_served = is_served();
    server.release();
    caller.join();
    const auto while_read = held_in(metrics);
    STRCMP_EQUAL("HTTP/1.1 200", answer.substr(0, 12).c_str());
    LONGS_EQUAL(1, server.whole());
    CHECK_TRUE(others_served);
    const auto memory = tests::peak_memory_mb(group.id("it"));
    fmt::print("\nheld while the server read: {} bytes of {}; memory: {} to {} "
               "MB\n",
               while_read, largest_body, memory_before, memory);
    CHECK_TRUE(while_read >= largest_body);
    CHECK_TRUE(while_read < budget);
    CHECK_TRUE(!tests::memory_is_measured ||
               memory - memory_before < budget / bytes_in_mb);
    CHECK_TRUE(wait_for([&] { return held() < tests::small_buffer; }));
    LONGS_EQUAL(-1, group.wait("it", 0s));
}

// Guards against bytes that are no longer counted when their caller has left
// while a server still reads them.
TEST(entry_bodies, body_stays_counted_until_its_call_ends)
{
    server.hold();
    const int file = tests::connect_to(entry);
    tests::send_all(file, post(std::string(largest_body, 'x')));
    const bool begun = wait_for([&] { return server.begun() > 0; });
    ::close(file);
    const bool served = is_served();
    const auto while_read = held();
    server.release();
    CHECK_TRUE(begun);
    CHECK_TRUE(served);
    CHECK_TRUE(while_read >= largest_body);
    CHECK_TRUE(wait_for([&] { return server.whole() == 1; }));
    CHECK_TRUE(wait_for([&] { return held() < tests::small_buffer; }));
}
