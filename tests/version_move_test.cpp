/// @file
/// A version move over whole processes on loopback: a control replica, an
/// entry, callers and two versions of a plain service.

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

#include <hyssopdeal/coordination/entry_process.hpp>
#include <hyssopdeal/transport/http_client.hpp>

#include "standins/plain_service.hpp"

#include "control_cluster.hpp"
#include "loop_helper.hpp"

using namespace hyssopdeal;
using namespace hyssopdeal::tests;
using namespace std::chrono_literals;
using state::move_phase;

TEST_GROUP(version_move_tests)
{
    transport::system_clock clock;
    transport::event_loop loop;
    transport::http_client client{loop};
    std::unique_ptr<control_cluster> control;
    std::vector<std::unique_ptr<standins::plain_service>> servers;
    std::unique_ptr<coordination::entry_process> entry;
    std::thread entry_thread;
    std::string address;
    int whole = 0;
    int failed = 0;
    int sent = 0;

    void setup() override {}

    /// @param shadow_stay Time of the step at which requests are copied.
    void begin(std::chrono::milliseconds shadow_stay)
    {
        control = std::make_unique<control_cluster>(1);
        auto& settings = control->settings(0);
        settings.moves.tick = 50ms;
        settings.moves.moves.plan.shadow_stay = shadow_stay;
        settings.moves.moves.plan.shortest_stay = 500ms;
        settings.moves.moves.plan.samples = 20;
        settings.moves.moves.step_answers = 5;
        STRCMP_EQUAL("", control->start(0).c_str());
        CHECK(control->leader().has_value());
        coordination::entry_settings own;
        own.name = "entry-1";
        own.failure_domain = "domain-1";
        own.without_key = coordination::missing_key::run_unguarded;
        own.shared_key_file = settings.shared_key_file;
        const auto& replica = settings.replicas.front();
        own.control_replicas = {{replica.name, replica.failure_domain,
                                 replica.address, replica.gossip_address}};
        entry = std::make_unique<coordination::entry_process>(own, clock);
        const auto port = entry->start();
        CHECK(port.has_value());
        address = fmt::format("127.0.0.1:{}", *port);
        entry_thread = std::thread{[this] { entry->wait(); }};
    }

    void teardown() override
    {
        entry->stop();
        entry_thread.join();
        entry.reset();
        control.reset();
        servers.clear();
    }

    protocol::backend_server add_server(const std::string& version,
                                        standins::version_fault fault)
    {
        standins::plain_service_settings settings;
        settings.behaviour.fault = fault;
        servers.push_back(
            std::make_unique<standins::plain_service>(loop, clock, settings));
        protocol::backend_server server;
        server.name = "server-" + version;
        server.failure_domain = "domain-1";
        server.version = version;
        server.address =
            fmt::format("127.0.0.1:{}", servers.back()->start().value());
        return server;
    }

    void write(state::command_body body)
    {
        const auto result = control->propose(0, {{}, {}, std::move(body)});
        CHECK(result.has_value());
    }

    void declare(standins::version_fault fault,
                 protocol::repeatability repeats =
                     protocol::repeatability::repeatable)
    {
        state::put_contract contract;
        contract.contract.organisation = "vale";
        contract.contract.key_sha256 = {transport::sha256_hex("key")};
        contract.contract.requests_per_second = 100'000;
        contract.contract.request_burst = 100'000;
        write(contract);
        state::put_service put;
        put.service.name = "books";
        put.service.kind = protocol::service_kind::plain;
        put.service.routes = {{"read", "GET", "/", repeats}};
        put.service.servers = {add_server("v1", standins::version_fault::none),
                               add_server("v2", fault)};
        put.service.shares = {{"v1", 1}};
        write(put);
    }

    void order_move()
    {
        state::order_move order;
        order.order.service = "books";
        order.order.version = "v2";
        order.order.complete_by = clock.wall_now() + 20s;
        order.order.watch = 1s;
        write(order);
    }

    state::move_record move()
    {
        state::move_record found;
        control->on(0, [&](auto& process) {
            found = process.node().state().tables().moves.at("books");
        });
        return found;
    }

    /// Sends requests, a few at once.
    void call(int count)
    {
        std::vector<transport::http_call> open;
        int ended = 0;
        for (int i = 0; i < count; ++i)
        {
            transport::http_request request;
            request.method = "GET";
            request.target = "/v1/books/status/1";
            request.headers = {{"Authorization", "Bearer key"}};
            open.push_back(client.fetch(address, request, {}, [&](auto answer) {
                ++ended;
                whole += answer && answer->status == 200;
                failed += !answer || answer->status != 200;
            }));
        }
        sent += count;
        CHECK(run_until(loop, [&] { return ended == count; }));
    }

    bool served()
    {
        call(1);
        return whole > 0;
    }
};

TEST(version_move_tests, a_good_version_gets_all_traffic)
{
    begin(1s);
    declare(standins::version_fault::none);
    CHECK(run_until(loop, [&] { return served(); }));
    order_move();
    for (int i = 0; i < 2'000 && !state::ended(move().status.phase); ++i)
    {
        call(10);
        loop.run_for(10ms);
    }
    CHECK(move().status.phase == move_phase::done);
}

TEST(version_move_tests, copies_show_a_bad_version_and_no_caller_meets_it)
{
    begin(10s);
    declare(standins::version_fault::fails);
    CHECK(run_until(loop, [&] { return served(); }));
    failed = 0;
    order_move();
    for (int i = 0; i < 2'000 && !state::ended(move().status.phase); ++i)
    {
        call(10);
        loop.run_for(10ms);
    }
    CHECK(move().status.phase == move_phase::taken_back);
    LONGS_EQUAL(0, failed);
}

TEST(version_move_tests, a_bad_version_is_taken_back_with_few_failures)
{
    // Such calls are not copied: callers meet the fault.
    begin(0ms);
    declare(standins::version_fault::fails,
            protocol::repeatability::at_most_once);
    CHECK(run_until(loop, [&] { return served(); }));
    failed = 0;
    sent = 0;
    order_move();
    for (int i = 0; i < 2'000 && !state::ended(move().status.phase); ++i)
    {
        call(10);
        loop.run_for(10ms);
    }
    CHECK(move().status.phase == move_phase::taken_back);
    CHECK(failed > 0);
    // The share is 1 in 100; the guard trips at four failures in a row, and
    // one more may be on its way.
    CHECK(failed <= 6);
    loop.run_for(500ms);
    const int before = failed;
    for (int i = 0; i < 50; ++i)
    {
        call(10);
    }
    LONGS_EQUAL(before, failed);
}
