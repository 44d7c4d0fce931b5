/// @file
/// Tests of coordination/evacuation/evacuation_orders.hpp and of what follows
/// from an order on an entry: the router and the queue of a service.

#include <hyssopdeal/coordination/evacuation/evacuation_orders.hpp>

#include <set>

#include <CppUTest/TestHarness.h>

#include "coordination/move_servers.hpp"
#include "coordination/service_lane.hpp"

using namespace hyssopdeal;
using namespace hyssopdeal::coordination;
using namespace std::chrono_literals;

namespace
{

protocol::backend_server make_server(int number, const std::string& domain,
                                     const std::string& version = "v1")
{
    protocol::backend_server server;
    server.name = "w" + std::to_string(number);
    server.address = "127.0.0.1:" + std::to_string(9000 + number);
    server.failure_domain = domain;
    server.version = version;
    return server;
}

protocol::service make_service()
{
    protocol::service service;
    service.name = "books";
    service.kind = protocol::service_kind::plain;
    for (int number = 0; number < 4; ++number)
    {
        service.servers.push_back(make_server(number, "sul-a"));
    }
    service.servers.push_back(make_server(4, "sul-b"));
    service.servers.push_back(make_server(5, "sul-b", "v2"));
    service.shares = {{"v1", 0.5}, {"v2", 0.5}};
    return service;
}

router_settings make_settings()
{
    router_settings settings;
    settings.entry = "e1";
    settings.failure_domain = "sul-a";
    settings.concurrency.initial = 512;
    return settings;
}

} // namespace

// [orders] -------------------------------------------------------------------

TEST_GROUP(evacuation_orders_tests)
{
    state::control_state state;
    state::log_index index = 0;

    void run(state::command_body body)
    {
        (void)state.apply({++index, 1},
                          {transport::wall_time{1s}, {}, std::move(body)});
    }
};

// Guards against an order for a misspelt domain that is accepted and has no
// effect, and against one for a domain without servers that is refused.
TEST(evacuation_orders_tests, only_known_domains_may_be_named)
{
    CHECK_FALSE(check_domain(known_domains(state.tables(), {}), "sul-a"));
    run(state::put_service{make_service(), 0});
    state::order_purchase bought;
    bought.purchase.order_id = "p-1";
    bought.purchase.failure_domain = "sul-c";
    run(bought);
    protocol::member_update member;
    member.name = "entry-1";
    member.failure_domain = "sul-d";
    protocol::member_update unplaced;
    const auto known = known_domains(state.tables(), {member, unplaced});
    CHECK(known == domain_names({"sul-a", "sul-b", "sul-c", "sul-d"}));
    CHECK_TRUE(check_domain(known, "sul-d").has_value());
    const auto refusal = check_domain(known, "sul");
    CHECK(refusal.error().code == transport::reason::not_found);
    CHECK(refusal.error().ran == transport::verdict::not_run);
    STRCMP_CONTAINS("sul-a, sul-b, sul-c, sul-d", refusal.error().text.c_str());
}

// Guards against an order that cannot be withdrawn because the servers of its
// domain are no longer declared.
TEST(evacuation_orders_tests, evacuated_domain_stays_known)
{
    run(state::order_evacuation{"sul-a"});
    CHECK_TRUE(check_domain(known_domains(state.tables(), {}), "sul-a"));
    CHECK(evacuated_in(state.tables()) == domain_names{"sul-a"});
    run(state::withdraw_evacuation{"sul-a"});
    CHECK_TRUE(evacuated_in(state.tables()).empty());
    CHECK_TRUE(check_domain(known_domains(state.tables(), {}), "sul-a"));
}

// [router] -------------------------------------------------------------------

TEST_GROUP(evacuated_router_tests)
{
    transport::manual_clock clock;
    std::mt19937_64 random{5};
    protocol::service declared = make_service();

    transport::result<route_choice> choose(service_router & router,
                                           const std::string& version = {})
    {
        route_request request;
        request.version = version;
        return router.choose(clock.monotonic_now(), request, random);
    }

    static void end(service_router & router, transport::monotonic_time now,
                    const route_choice& choice)
    {
        router.on_ended(now, choice, attempt_outcome::succeeded, 1);
    }
};

// Guards against new requests to an evacuated domain: at first, pinned to a
// version (resumes, copies to a new version), and after all others have failed
// the request (retries).
TEST(evacuated_router_tests, evacuated_servers_get_nothing_new)
{
    service_router router{make_settings()};
    router.set_service(declared, {}, {"sul-a"});
    for (int i = 0; i < 50; ++i)
    {
        for (const char* version : {"", "v1", "v2"})
        {
            const auto choice = choose(router, version);
            CHECK_TRUE(choice.has_value());
            CHECK(choice->server == "w4" || choice->server == "w5");
            end(router, clock.monotonic_now(), *choice);
        }
    }
    route_request retry;
    retry.version = "v1";
    retry.avoid = {"w4"};
    STRCMP_EQUAL(
        "w4",
        router.choose(clock.monotonic_now(), retry, random)->server.c_str());
}

// Guards against an entry whose subset holds servers of the evacuated domain
// only, so that it refuses although others could serve.
TEST(evacuated_router_tests, subset_is_filled_from_other_domains)
{
    auto settings = make_settings();
    settings.subset.size = 2;
    declared.shares = {{"v1", 1}};
    service_router router{settings};
    router.set_service(declared, {});
    router.set_service(declared, {}, {"sul-a"});
    const auto choice = choose(router);
    CHECK_TRUE(choice.has_value());
    STRCMP_EQUAL("w4", choice->server.c_str());
}

// Guards against losing the counts of requests that still run in the domain,
// and against forgetting that a server is leaving.
TEST(evacuated_router_tests, servers_keep_their_state_through_an_evacuation)
{
    service_router router{make_settings()};
    declared.servers.resize(4);
    declared.shares = {{"v1", 1}};
    router.set_service(declared, {});
    const auto running = choose(router);
    CHECK_TRUE(running.has_value());
    router.set_leaving("w3");
    router.set_service(declared, {}, {"sul-a"});
    for (const auto& row : router.rows())
    {
        LONGS_EQUAL(row.server == running->server ? 1 : 0,
                    row.state.own_in_flight);
    }
    CHECK(choose(router).error().code == transport::reason::no_backend_server);
    CHECK_FALSE(router.has_server(clock.monotonic_now()));
    end(router, clock.monotonic_now(), *running);
    router.set_service(declared, {});
    std::set<std::string> seen;
    for (int i = 0; i < 24; ++i)
    {
        // The requests stay open, so the servers fill up one after another.
        const auto choice = choose(router);
        CHECK_TRUE(choice.has_value());
        seen.insert(choice->server);
    }
    CHECK(seen == std::set<std::string>({"w0", "w1", "w2"}));
}

// [moves] --------------------------------------------------------------------

// Guards against a version move that counts on servers which get no requests,
// loads a version there, or unloads one under requests that still run.
TEST_GROUP(evacuated_move_tests){};

TEST(evacuated_move_tests, move_counts_on_other_domains_only)
{
    move_view view;
    view.needed_slots = 16;
    view.servers = {{"w0", "sul-a", 8, version_state::ready},
                    {"w1", "sul-b", 8, version_state::ready},
                    {"w2", "sul-a", 8, version_state::absent},
                    {"w3", "sul-c", 8, version_state::absent}};
    DOUBLES_EQUAL(1, carried_share(view), 1e-9);
    CHECK_FALSE(spread_over_domains(view));
    for (auto& server : view.servers)
    {
        server.evacuated = server.failure_domain == "sul-a";
    }
    DOUBLES_EQUAL(0.5, carried_share(view), 1e-9);
    CHECK(servers_to_hold(view, 0.01) ==
          std::vector<std::string>({"w0", "w1", "w3"}));
    view.servers.back().state = version_state::ready;
    CHECK_TRUE(spread_over_domains(view));
}

// [queue] --------------------------------------------------------------------

TEST_GROUP(evacuated_lane_tests)
{
    transport::manual_clock clock;
    transport::event_loop loop;
    transport::http_client client{loop};
    std::mt19937_64 random{1};
    protocol::service declared = make_service();
    std::vector<lane_outcome> outcomes;

    void enter(service_lane & lane)
    {
        lane_request request;
        request.deadline = clock.monotonic_now() + 60s;
        request.on_outcome = [this](lane_outcome outcome) {
            outcomes.push_back(std::move(outcome));
        };
        lane.enter(std::move(request));
    }
};

// Guards against callers who wait until their deadline for servers that will
// not be used, and against a refusal that does not say that nothing has run.
TEST(evacuated_lane_tests, refuses_at_once_when_no_server_is_left)
{
    auto settings = make_settings();
    settings.concurrency.initial = 1;
    service_lane lane{loop, clock, client, random, settings};
    lane.set_service(declared, {}, {"sul-a"});
    for (int i = 0; i < 4; ++i)
    {
        enter(lane);
    }
    LONGS_EQUAL(2, outcomes.size());
    LONGS_EQUAL(2, lane.waiting());
    lane.set_service(declared, {}, {"sul-a", "sul-b"});
    enter(lane);
    LONGS_EQUAL(5, outcomes.size());
    LONGS_EQUAL(0, lane.waiting());
    for (std::size_t at = 2; at < outcomes.size(); ++at)
    {
        const auto& error = outcomes[at].choice.error();
        CHECK(error.code == transport::reason::no_backend_server);
        CHECK(error.ran == transport::verdict::not_run);
        CHECK(outcomes[at].retry_after > 0ms);
    }
    for (std::size_t at = 0; at < 2; ++at)
    {
        lane.on_ended(*outcomes[at].choice, attempt_outcome::succeeded, 1);
    }
    lane.set_service(declared, {}, {});
    enter(lane);
    CHECK_TRUE(outcomes.back().choice.has_value());
}
