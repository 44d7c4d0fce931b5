/// @file
/// Guards against clients that make a process hold bytes until its memory runs
/// out. Starts the real programs on loopback, each for one kind of client at
/// one listener, and checks that the process lives, that its memory and its
/// open descriptors stay under the bounds, and that an ordinary request is
/// answered while the clients still hold their connections.
///
/// Index: [process under test] [cases] [tests]

#include <algorithm>
#include <atomic>
#include <chrono>
#include <filesystem>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <hyssopdeal/transport/digest.hpp>

#include "caller_crowd.hpp"
#include "platform/counterpart.hpp"
#include "platform/settings.hpp"
#include "process_group.hpp"
#include "slow_server.hpp"
#include "standins/free_ports.hpp"

using namespace hyssopdeal;
using namespace std::chrono_literals;
using tests::answer_to;
using tests::crowd;
using tests::descriptors_of;
using tests::memory_is_measured;
using tests::own_address;
using tests::peak_memory_mb;
using tests::script;
using tests::target;

namespace
{

// The bounds are the memory and the descriptors that the settings state for
// the instance. The native programs have no such setting; theirs is that of
// the smallest instance of the platform.
constexpr std::size_t platform_memory_mb = 64;
constexpr std::size_t native_memory_mb = 120;
constexpr std::size_t max_descriptors = 512;
constexpr std::size_t idle_count = 600;
constexpr auto backstop = tests::crowd_time_limit;

// [process under test] -------------------------------------------------------

// A process, the port that clients attack and one that must still answer.
struct subject
{
    std::string program;
    std::size_t memory_mb = 0;
    std::size_t most_descriptors = max_descriptors;
    target attacked;
    target asked;
    std::string path = "/";
    std::function<void(tests::process_group&)> start;
    std::vector<std::uint16_t> others{}; // Ports attacked at the same time.
};

// Says what was measured, and notes in `faults` what is out of bounds.
void run_case(const subject& on, const script& plan, std::string& faults)
{
    tests::process_group group;
    on.start(group);
    const bool ready = !answer_to(on.asked, on.path).empty();
    const int id = group.id("it");
    const auto before = peak_memory_mb(id);
    std::vector<std::unique_ptr<crowd>> crowds;
    crowds.push_back(std::make_unique<crowd>(on.attacked, plan));
    for (const auto port : on.others)
    {
        crowds.push_back(
            std::make_unique<crowd>(target{on.attacked.address, port}, plan));
    }
    std::vector<std::thread> running;
    std::atomic<std::size_t> left = crowds.size();
    running.reserve(crowds.size());
    for (const auto& clients : crowds)
    {
        running.emplace_back([&] {
            clients->run();
            --left;
        });
    }
    std::size_t descriptors = 0;
    while (left > 0)
    {
        descriptors = std::max(descriptors, descriptors_of(id));
        std::this_thread::sleep_for(10ms);
    }
    for (auto& one : running)
    {
        one.join();
    }
    descriptors = std::max(descriptors, descriptors_of(id));
    const auto answer = answer_to(on.asked, on.path);
    const auto memory = peak_memory_mb(id);
    const int code = group.wait("it", 0s);
    const bool good =
        ready && code == -1 && (!memory_is_measured || memory < on.memory_mb) &&
        descriptors < on.most_descriptors && answer.starts_with("HTTP/1.1 ");
    const auto line = fmt::format(
        "{:4} {}:{} {}: {} to {} MB of {}, {} descriptors of {}, exit {}, "
        "answer \"{}\"\n",
        good ? "ok" : "BAD", on.program, on.attacked.port, plan.name, before,
        memory, on.memory_mb, descriptors, on.most_descriptors, code,
        answer.substr(0, answer.find('\r')));
    fmt::print("{}", line);
    faults += good ? "" : line;
}

void run_cases(const subject& on, const std::vector<script>& plans)
{
    std::string faults;
    fmt::print("\n");
    for (const auto& plan : plans)
    {
        run_case(on, plan, faults);
    }
    CHECK_TEXT(faults.empty(), faults.c_str());
}

// [cases] --------------------------------------------------------------------

std::string post(const std::string& framing)
{
    return "POST /v1/x HTTP/1.1\r\nHost: a.example\r\n" + framing + "\r\n\r\n";
}

const std::string chunked = "Transfer-Encoding: chunked";

std::vector<script> body_cases(std::size_t clients, std::size_t limit)
{
    constexpr std::size_t piece = 65'536;
    constexpr std::size_t small_chunks = 300'000;
    const auto announced = [](std::size_t bytes) {
        return post(fmt::format("Content-Length: {}", bytes));
    };
    const auto large =
        fmt::format("{:x}\r\n{}\r\n", piece, std::string(piece, 'x'));
    const auto legal = std::string(limit - 1, 'x');
    return {
        {"whole bodies", clients, announced(limit), legal, 1},
        {"bodies in pieces", clients, announced(limit), legal, 1, 4'096},
        {"large chunks", clients, post(chunked), large, limit / piece},
        {"one-byte chunks", clients, post(chunked), "1\r\nx\r\n", small_chunks},
        {"over the limit, announced", clients, announced(16 * limit), legal, 2},
        {"over the limit, sent", clients, post(chunked), large,
         2 * limit / piece}};
}

std::vector<script> head_cases()
{
    constexpr std::size_t clients = 200;
    constexpr std::size_t short_lines = 5'000;
    constexpr std::size_t many = 2'000;
    const std::string get = "GET / HTTP/1.1\r\nHost: a\r\n";
    return {{"heads without an end", clients, get, "a:b\r\n", short_lines},
            {"pipelined requests", clients / 4, "", get + "\r\n", many},
            {"answers that nobody reads", clients / 4, "", get + "\r\n", many,
             65'536, false},
            {"idle connections", idle_count, "", "", 0}};
}

std::vector<script> all_cases(std::size_t clients, std::size_t limit)
{
    auto all = body_cases(clients, limit);
    const auto heads = head_cases();
    all.insert(all.end(), heads.begin(), heads.end());
    return all;
}

// Of strangers at the ports of peers and relays.
std::vector<script> stranger_cases()
{
    return {{"idle connections", idle_count, "", "", 0},
            {"frames without an end", idle_count, "\xff\xff\xff", "x", 65'536},
            {"small frames without an end",
             idle_count,
             {"\0\0\x3f\xff", 4},
             "x",
             16'000},
            {"heads without an end", idle_count, "CONNECT a HTTP/1.1\r\n",
             "a:b\r\n", 200}};
}

constexpr std::size_t platform_clients = 24;
constexpr std::size_t platform_body = 4'194'304;
constexpr std::size_t native_clients = 160;
constexpr std::size_t native_body = 1'048'576;
constexpr std::uint16_t callers_port = 8'080;
constexpr std::uint16_t readiness_port = 8'081;
constexpr std::uint16_t link_port = 7'600;

subject platform_subject(bool entry, std::uint16_t attacked)
{
    platform::process_settings own;
    own.instance = entry ? "e0" : "c0";
    own.address = own_address();
    own.failure_domain = "d0";
    own.first_internal_port = link_port;
    own.seeds = {fmt::format("{}:1", own.address)};
    own.max_descriptors = max_descriptors;
    own.memory_mb = platform_memory_mb;
    own.platform_address = fmt::format("{}:1", own.address);
    const auto callers = fmt::format("{}:{}", own.address, callers_port);
    if (entry)
    {
        own.relay_port = link_port + 1;
        own.callers = callers;
        own.readiness = fmt::format("{}:{}", own.address, readiness_port);
    }
    else
    {
        own.operators = callers;
        own.seeds = {callers};
        own.first_start = true;
    }
    subject made;
    made.program =
        entry ? "hyssop-platform-entryd" : "hyssop-platform-controld";
    made.memory_mb = platform_memory_mb;
    made.attacked = {own.address, attacked};
    made.asked = {own.address, callers_port};
    made.start = [own, program = made.program,
                  entry](tests::process_group& group) {
        auto settings = own;
        settings.data_folder = entry ? "" : group.path("data");
        group.write("it.yaml", platform::encode_settings(settings));
        group.start("it", program, {},
                    {{platform::settings_variable, group.path("it.yaml")}});
    };
    return made;
}

subject native_subject(const std::string& program, std::uint16_t port,
                       std::function<void(tests::process_group&)> start)
{
    // These accept 256 connections past their limit, to refuse them.
    constexpr std::size_t native_descriptors = 1'024;
    return {program,
            native_memory_mb,
            native_descriptors,
            {"127.0.0.1", port},
            {"127.0.0.1", port},
            "/",
            std::move(start)};
}

const std::string no_replica =
    R"({"id":1,"name":"c1","failure_domain":"d0","address":"127.0.0.1:1",)"
    R"("gossip_address":"127.0.0.1:1")";

subject native_entry(const std::vector<std::uint16_t>& ports)
{
    const auto start = [ports](tests::process_group& group) {
        group.write("shared.key", std::string(32, 'k'));
        group.write(
            "it.json",
            fmt::format(R"({{"name":"e1","failure_domain":"d0",)"
                        R"("port":{},"peer_port":{},)"
                        R"("gossip_port":{},"max_connections":256,)"
                        R"("shared_key_file":"{}",)"
                        R"("control_replicas":[{}}}]}})",
                        ports[0], ports[1], ports[2], group.path("shared.key"),
                        no_replica.substr(0, 1) + no_replica.substr(8)));
        group.start("it", "hyssop-entryd",
                    {"--settings", group.path("it.json")});
    };
    return native_subject("hyssop-entryd", ports[0], start);
}

subject native_replica(const std::vector<std::uint16_t>& ports)
{
    const auto start = [ports](tests::process_group& group) {
        group.write("shared.key", std::string(32, 'k'));
        std::filesystem::create_directory(group.path("data"));
        group.write(
            "it.json",
            fmt::format(R"({{"id":1,"name":"c1","failure_domain":"d0",)"
                        R"("data_folder":"{}","peer_port":{},"gossip_port":{},)"
                        R"("operators_port":{},"shared_key_file":"{}",)"
                        R"("tokens":[{{"sha256":"{}","role":"write"}}],)"
                        R"("replicas":[{},"operators":"127.0.0.1:{}"}}]}})",
                        group.path("data"), ports[0], ports[1], ports[2],
                        group.path("shared.key"),
                        transport::sha256_hex("token"), no_replica, ports[2]));
        (void)group.run("init", "hyssop-controld",
                        {"--settings", group.path("it.json"), "--init"},
                        backstop);
        group.start("it", "hyssop-controld",
                    {"--settings", group.path("it.json")});
    };
    return native_subject("hyssop-controld", ports[2], start);
}

} // namespace

// [tests] --------------------------------------------------------------------

TEST_GROUP(hostile_callers){};

TEST(hostile_callers, entry_on_the_platform_holds_no_more_than_its_memory)
{
    run_cases(platform_subject(true, callers_port),
              all_cases(platform_clients, platform_body));
}

TEST(hostile_callers, replica_on_the_platform_holds_no_more_than_its_memory)
{
    run_cases(platform_subject(false, callers_port),
              all_cases(platform_clients, platform_body));
}

// A document's values once took 64 bytes for each byte of nested lists.
TEST(hostile_callers, replica_reads_no_document_that_fills_its_memory)
{
    constexpr std::size_t replica_memory_mb = 256;
    auto on = platform_subject(false, callers_port);
    on.memory_mb = replica_memory_mb;
    const auto head = fmt::format("PUT /api/config HTTP/1.1\r\nHost: a\r\n"
                                  "Content-Length: {}\r\n\r\n",
                                  platform_body);
    run_cases(on, {{"nested lists", 2, head, "[", platform_body},
                   {"empty lists", 2, head + "[", "[],", platform_body / 3}});
}

TEST(hostile_callers, readiness_is_told_while_strangers_hold_connections)
{
    auto on = platform_subject(true, readiness_port);
    on.asked = on.attacked;
    on.path = "/ready";
    run_cases(on, all_cases(platform_clients, platform_body));
}

TEST(hostile_callers, metrics_are_told_while_strangers_hold_connections)
{
    for (const bool entry : {true, false})
    {
        auto on = platform_subject(entry, platform::metrics_port);
        on.asked = on.attacked;
        on.path = "/metrics";
        run_cases(on, all_cases(platform_clients, platform_body));
    }
}

TEST(hostile_callers, strangers_at_ports_of_links_and_relays_are_bounded)
{
    run_cases(platform_subject(true, link_port), stranger_cases());
    run_cases(platform_subject(true, link_port + 1), stranger_cases());
    run_cases(platform_subject(false, link_port), stranger_cases());
}

// Guards against unknown peers that show nowhere once their log lines are
// bounded.
TEST(hostile_callers, unknown_peers_are_counted_at_the_metrics_address)
{
    constexpr int peers = 50; // At each of the two ports.
    const auto subject = platform_subject(true, link_port);
    tests::process_group group;
    subject.start(group);
    CHECK_FALSE(answer_to(subject.asked, subject.path).empty());
    const auto& address = subject.attacked.address;
    for (int peer = 0; peer < peers; ++peer)
    {
        (void)tests::response_to({address, link_port},
                                 std::string("\0\0\0\4abcd", 8));
        (void)tests::response_to({address, link_port + 1},
                                 "CONNECT 127.0.0.1:1 HTTP/1.1\r\n\r\n");
    }
    const auto metrics = tests::response_to(
        {address, platform::metrics_port},
        "GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    for (const auto* name : {"hyssopdeal_bad_input_links_total",
                             "hyssopdeal_relay_refusals_total"})
    {
        STRCMP_CONTAINS(fmt::format("\n{} {}\n", name, peers).c_str(),
                        metrics.c_str());
    }
    const auto log = group.output("it");
    STRCMP_CONTAINS("Closed a link for bad input.", log.c_str());
    STRCMP_CONTAINS("\"relay.refused\"", log.c_str());
}

// Guards against bounds that hold for each port but together exceed the
// descriptors of the instance.
TEST(hostile_callers, strangers_at_all_ports_leave_descriptors)
{
    constexpr std::size_t clients = 300; // At each port.
    script plan{"idle connections at all ports", clients, "", "", 0};
    plan.returns = true;
    const std::vector<script> plans{plan};
    auto entry = platform_subject(true, callers_port);
    entry.others = {readiness_port, platform::metrics_port, link_port,
                    link_port + 1};
    run_cases(entry, plans);
    auto replica = platform_subject(false, callers_port);
    replica.others = {platform::metrics_port, link_port};
    run_cases(replica, plans);
}

TEST(hostile_callers, native_entry_holds_no_more_than_its_memory)
{
    run_cases(native_entry(*standins::free_ports(3)),
              all_cases(native_clients, native_body));
}

TEST(hostile_callers, native_replica_holds_no_more_than_its_memory)
{
    run_cases(native_replica(*standins::free_ports(3)),
              all_cases(native_clients, native_body));
}

TEST(hostile_callers, strangers_at_ports_of_native_peers_are_bounded)
{
    const auto ports = *standins::free_ports(3);
    auto entry = native_entry(ports);
    entry.attacked.port = ports[1];
    run_cases(entry, stranger_cases());
    auto replica = native_replica(ports);
    replica.attacked.port = ports[0];
    run_cases(replica, stranger_cases());
}
