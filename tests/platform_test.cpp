/// @file
/// Moves and the fleet over loopback HTTP: real adapters, engines, weight
/// store, cloud and instance list as stand-ins.

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

#include <hyssopdeal/coordination/fleet_runner.hpp>
#include <hyssopdeal/coordination/move_runner.hpp>
#include <hyssopdeal/coordination/version_observer.hpp>
#include <hyssopdeal/protocol/platform_api.hpp>

#include "standins/cloud_api.hpp"
#include "standins/engine.hpp"
#include "standins/instance_list.hpp"
#include "standins/weight_store.hpp"

#include "local_control_node.hpp"

using namespace hyssopdeal;
using namespace hyssopdeal::coordination;
using namespace std::chrono_literals;
using state::move_phase;

namespace
{

std::string local(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

TEST_GROUP(platform_tests)
{
    transport::system_clock clock;
    transport::event_loop loop;
    tests::local_control_node node{loop, clock};
    std::vector<std::unique_ptr<standins::engine>> engines;
    std::unique_ptr<standins::weight_store> store;
    std::uint64_t sequence = 0;
    protocol::service service;

    std::string add_engine(const std::string& version, bool checks)
    {
        standins::engine_settings settings;
        settings.version = version;
        settings.checks_orders = checks;
        engines.push_back(
            std::make_unique<standins::engine>(loop, clock, settings));
        return local(engines.back()->start().value());
    }

    void add_server(const std::string& name, const std::string& version,
                    const std::string& address, bool checks)
    {
        protocol::backend_server server;
        server.name = name;
        server.address = address;
        server.failure_domain = "domain-" + name;
        server.version = version;
        server.checks_orders = checks;
        service.servers.push_back(server);
    }

    bool run_until(const std::function<bool()>& done)
    {
        for (int i = 0; i < 300 && !done(); ++i)
        {
            loop.run_for(50ms);
        }
        return done();
    }

    void declare_and_order()
    {
        service.name = "chat";
        service.shares = {{"v1", 1}};
        node.apply({{}, {}, state::put_service{service, 0}});
        state::move_order order;
        order.service = "chat";
        order.version = "v2";
        order.complete_by = clock.wall_now() + 1h;
        node.apply({{}, {}, state::order_move{order, 0}});
    }

    const state::move_record& move()
    {
        return node.state().tables().moves.at("chat");
    }

    std::string report(std::uint64_t old_requests, std::uint64_t new_failed)
    {
        version_report made;
        made.entry = "entry";
        made.incarnation = 1;
        made.sequence = ++sequence;
        made.service = "chat";
        made.period = 250ms;
        made.busy = 2s;
        made.offered_requests = old_requests + new_failed;
        made.cells.resize(2);
        made.cells[0].version = "v1";
        made.cells[0].route = made.cells[1].route = "talk";
        made.cells[0].requests = old_requests;
        made.cells[1].version = "v2";
        made.cells[1].requests = made.cells[1].failed = new_failed;
        return encode(made);
    }

    std::string start_store()
    {
        standins::weight_store_settings settings;
        settings.fetch_time = 200ms;
        settings.fetches = 1;
        settings.fail_every = 3;
        store = std::make_unique<standins::weight_store>(loop, clock, settings);
        return local(store->start().value());
    }
};

TEST(platform_tests, a_move_loads_engines_and_takes_a_bad_version_back)
{
    add_server("a", "v1", add_engine("v1", true), true);
    add_server("b", "v2", add_engine("v0", true), true);
    add_server("c", "v2", add_engine("v0", false), false);
    declare_and_order();
    move_runner_settings settings;
    settings.weight_store = start_store();
    settings.tick = 50ms;
    move_runner runner{loop, clock, node, settings};
    protocol::peer_hub hub{loop, {}};
    runner.start(hub);
    CHECK(
        run_until([&] { return move().status.phase == move_phase::shifting; }));
    CHECK(runner.serves("b", "v2"));
    CHECK(runner.serves("c", "v2"));
    CHECK(store->accepted() >= 2);
    for (int i = 0; i < 40 && !state::ended(move().status.phase); ++i)
    {
        runner.on_report(report(100, i < 5 ? 0 : 2));
        loop.run_for(60ms);
    }
    CHECK(move().status.phase == move_phase::taken_back);
    CHECK(move().status.evidence.find("talk") != std::string::npos);
    const auto& shares =
        node.state().tables().services.at("chat").service.shares;
    LONGS_EQUAL(1, shares.size());
    STRCMP_EQUAL("v1", shares[0].version.c_str());
}

TEST(platform_tests, the_fleet_buys_declares_and_replaces)
{
    add_server("a", "v1", add_engine("v1", true), true);
    service.name = "chat";
    service.shares = {{"v1", 1}};
    node.apply({{}, {}, state::put_service{service, 0}});
    standins::cloud_api_settings cloud_settings;
    cloud_settings.prices = {{"d1", 1, 0.3}, {"d2", 1, 0.3}};
    cloud_settings.lost_answers = 0.3;
    for (int i = 0; i < 8; ++i)
    {
        cloud_settings.addresses.push_back(add_engine("v1", false));
    }
    standins::cloud_api cloud{loop, clock, cloud_settings};
    move_runner_settings move_settings;
    move_settings.tick = 50ms;
    move_runner moves{loop, clock, node, move_settings};
    protocol::peer_hub hub{loop, {}};
    moves.start(hub);
    fleet_runner_settings settings;
    settings.cloud = local(cloud.start().value());
    settings.services = {"chat"};
    settings.tick = 100ms;
    settings.notice_interval = 100ms;
    settings.list_interval = 500ms;
    settings.fleet.call_time_limit = 500ms;
    std::vector<std::string> noticed;
    fleet_handlers handlers;
    handlers.on_notice = [&](const std::string& name) {
        noticed.push_back(name);
    };
    fleet_runner fleet{loop, clock, node, moves, settings, handlers};
    fleet.start();
    const auto declared = [&] {
        return node.state().tables().services.at("chat").service.servers;
    };
    // Ten busy slots: the declared server's eight are not enough.
    CHECK(run_until([&] {
        auto sent = decode_version_report(report(10, 0)).value();
        sent.busy = 2'500ms;
        moves.on_report(encode(sent));
        return declared().size() > 1;
    }));
    const auto bought = declared().back().name;
    cloud.model().reclaim(clock.wall_now(), bought, 300ms);
    CHECK(run_until([&] {
        auto sent = decode_version_report(report(10, 0)).value();
        sent.busy = 2'500ms;
        moves.on_report(encode(sent));
        return std::ranges::none_of(
                   declared(),
                   [&](const auto& item) { return item.name == bought; }) &&
               declared().size() > 1;
    }));
    CHECK(node.state().tables().leaving.contains(bought));
    CHECK_FALSE(noticed.empty());
    LONGS_EQUAL(cloud.model().started(),
                node.state().tables().purchases.size());
}

TEST(platform_tests, answers_that_are_not_understood_are_failures)
{
    using namespace protocol;
    for (const char* body : {"", "[]", "{", R"({"notices":{"a":1}})"})
    {
        const transport::http_response answer{200, {}, body};
        CHECK_FALSE(read_notices(answer).has_value());
        CHECK_FALSE(read_prices(answer).has_value());
        CHECK_FALSE(read_instances(answer).has_value());
        CHECK_FALSE(read_instance_list(answer).has_value());
        CHECK_FALSE(read_start_answer(answer).has_value());
        CHECK_FALSE(read_weight_answer(answer).has_value());
    }
    const transport::http_response refused{503, {}, "{}"};
    CHECK(read_start_answer(refused).error().ran ==
          transport::verdict::not_run);
}
