/// @file
/// Tests of coordination/load_balancer.hpp, load_balancer_router.hpp,
/// load_balancer_shares.hpp, load_estimate.hpp, subset.hpp and
/// outlier_detector.hpp.

#include <hyssopdeal/coordination/load_balancer_router.hpp>
#include <hyssopdeal/coordination/load_balancer_shares.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <set>

#include <CppUTest/TestHarness.h>

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

router_settings make_settings()
{
    router_settings settings;
    settings.entry = "e1";
    settings.failure_domain = "sul-a";
    settings.concurrency.initial = 512;
    return settings;
}

std::vector<routing_candidate> make_table(std::size_t size)
{
    return std::vector<routing_candidate>(size);
}

} // namespace

TEST_GROUP(balancer_tests)
{
    transport::manual_clock clock;
    std::mt19937_64 random{1};
    transport::monotonic_time now = clock.monotonic_now();
};

TEST(balancer_tests, prediction_prefers_cached_prefix_until_its_queue_is_long)
{
    auto table = make_table(3);
    const std::array matches{prefix_match{1, 4'000}};
    request_profile facts;
    facts.prompt_tokens = 4'096;
    facts.matches = matches;
    predicted_first_token policy;
    LONGS_EQUAL(1, policy.choose(now, facts, table, random));
    table[1].in_flight = 40;
    CHECK(policy.choose(now, facts, table, random) != 1);
}

TEST(balancer_tests, prediction_takes_own_failure_domain_and_spills_by_load)
{
    auto table = make_table(2);
    table[0].where = locality::other_failure_domain;
    predicted_first_token policy;
    LONGS_EQUAL(1, policy.choose(now, {}, table, random));
    table[1].in_flight = 20;
    LONGS_EQUAL(0, policy.choose(now, {}, table, random));
}

TEST(balancer_tests, prediction_takes_cheap_server_but_not_for_long_streams)
{
    auto table = make_table(2);
    table[0].price_per_hour = 3;
    table[1].reclaim_hazard_per_hour = 6;
    request_profile facts;
    facts.prompt_tokens = 100;
    facts.expected_output_tokens = 20;
    predicted_first_token policy;
    LONGS_EQUAL(1, policy.choose(now, facts, table, random));
    facts.prompt_tokens = 16'000;
    facts.expected_output_tokens = 4'000;
    LONGS_EQUAL(0, policy.choose(now, facts, table, random));
}

TEST(balancer_tests, no_balancer_takes_server_that_may_not_be_used)
{
    auto table = make_table(40);
    for (std::size_t i = 0; i < table.size(); ++i)
    {
        table[i].state = static_cast<server_availability>(i % 4);
    }
    table[20].own_in_flight = table[20].concurrency_limit;
    table[24].version = 1;
    const std::array<server_index, 1> failed{28};
    request_profile facts;
    facts.avoid = failed;
    const std::set<server_index> allowed{0, 4, 8, 12, 16, 32, 36};
    const auto check = [&](auto policy) {
        for (int i = 0; i < 2'000; ++i)
        {
            CHECK(allowed.contains(policy.choose(now, facts, table, random)));
        }
        LONGS_EQUAL(no_server, policy.choose(now, facts, {}, random));
    };
    check(predicted_first_token{});
    check(round_robin{});
    check(least_reported_load{});
    check(power_of_two_reported{});
}

TEST_GROUP(load_estimate_tests)
{
    transport::manual_clock clock;
    load_estimate loads;

    void setup() override
    {
        loads.resize(1);
    }

    const routing_candidate& row()
    {
        return loads.table()[0];
    }
};

TEST(load_estimate_tests, corrects_lagging_report_by_what_happened_since)
{
    auto first = loads.on_sent(clock.monotonic_now(), 0, 100);
    clock.advance(10ms);
    const auto taken_at = clock.monotonic_now();
    clock.advance(10ms);
    static_cast<void>(loads.on_sent(clock.monotonic_now(), 0, 50));
    static_cast<void>(loads.on_sent(clock.monotonic_now(), 0, 50));
    clock.advance(10ms);
    loads.on_ended(clock.monotonic_now(), first, 10);
    loads.on_report(clock.monotonic_now(), 0, {taken_at, 5, 3, 8});
    DOUBLES_EQUAL(8, row().reported_in_flight, 0);
    DOUBLES_EQUAL(9, row().in_flight, 0);
    LONGS_EQUAL(2, row().own_in_flight);
    DOUBLES_EQUAL(100, row().queued_prompt_tokens, 0);
}

TEST(load_estimate_tests, ignores_report_older_than_the_last)
{
    const auto early = clock.monotonic_now();
    clock.advance(1s);
    loads.on_report(clock.monotonic_now(), 0, {clock.monotonic_now(), 2, 0, 8});
    loads.on_report(clock.monotonic_now(), 0, {early, 7, 0, 8});
    DOUBLES_EQUAL(2, row().in_flight, 0);
}

TEST(load_estimate_tests, never_estimates_less_than_own_requests)
{
    const auto sent = loads.on_sent(clock.monotonic_now(), 0, 1);
    clock.advance(1s);
    loads.on_report(clock.monotonic_now(), 0, {clock.monotonic_now(), 0, 0, 8});
    DOUBLES_EQUAL(1, row().in_flight, 0);
    loads.on_ended(clock.monotonic_now(), sent, 0);
    DOUBLES_EQUAL(0, row().in_flight, 0);
    DOUBLES_EQUAL(0, row().queued_prompt_tokens, 0);
}

TEST(load_estimate_tests, own_requests_stand_for_those_of_other_entries)
{
    loads.set_peers(9);
    loads.on_report(clock.monotonic_now(), 0,
                    {clock.monotonic_now() - 500ms, 6, 0, 8});
    const auto sent = loads.on_sent(clock.monotonic_now(), 0, 1);
    DOUBLES_EQUAL(9, row().in_flight, 0);
    loads.on_ended(clock.monotonic_now(), sent, 1);
    DOUBLES_EQUAL(6, row().in_flight, 0);
}

TEST_GROUP(version_shares_tests){};

TEST(version_shares_tests, each_version_stays_within_one_request_of_its_share)
{
    std::mt19937_64 random{3};
    for (int round = 0; round < 50; ++round)
    {
        std::vector<version_weight> weights;
        double total = 0;
        const auto versions = 2 + random() % 4;
        for (std::uint16_t i = 0; i < versions; ++i)
        {
            const auto share = static_cast<double>(1 + random() % 100);
            weights.push_back({i, share, 1});
            total += share;
        }
        version_shares shares;
        shares.set(weights);
        std::map<std::uint16_t, double> served;
        for (int n = 1; n <= 1'000; ++n)
        {
            const auto version = shares.next();
            CHECK(version.has_value());
            shares.count(*version);
            served[*version] += 1;
            for (const auto& weight : weights)
            {
                const double due = n * weight.share / total;
                CHECK(std::abs(served[weight.version] - due) <= 1 + 1e-6);
            }
        }
    }
}

TEST(version_shares_tests, version_without_share_or_server_gets_nothing)
{
    version_shares shares;
    const std::array weights{version_weight{0, 0.0, 3},
                             version_weight{1, 0.9, 0},
                             version_weight{2, 0.1, 1}};
    shares.set(weights);
    for (int i = 0; i < 100; ++i)
    {
        LONGS_EQUAL(2, *shares.next());
        shares.count(2);
    }
    const std::array none{version_weight{0, 0.0, 3}};
    shares.set(none);
    CHECK_FALSE(shares.next().has_value());
}

TEST_GROUP(subset_tests){};

TEST(subset_tests, is_stable_and_spread_and_own_domain_first)
{
    std::vector<std::string> names(1'000);
    for (std::size_t i = 0; i < names.size(); ++i)
    {
        names[i] = "server-" + std::to_string(i);
    }
    const std::array<std::string_view, 4> domains{"a", "b", "c", "d"};
    std::vector<subset_member> members;
    for (std::size_t i = 0; i < names.size(); ++i)
    {
        members.push_back({names[i], domains.at(i % 4)});
    }
    const auto picked = deterministic_subset("e1", "a", members);
    LONGS_EQUAL(64, picked.size());
    CHECK(picked == deterministic_subset("e1", "a", members));
    CHECK(picked != deterministic_subset("e2", "a", members));
    const auto own =
        std::count_if(picked.begin(), picked.end(),
                      [](std::uint32_t at) { return at % 4 == 0; });
    LONGS_EQUAL(48, own);
    auto fewer = members;
    fewer.erase(fewer.begin() + picked.front());
    const auto after = deterministic_subset("e1", "a", fewer);
    int changed = 0;
    for (const auto at : after)
    {
        const auto& name = fewer[at].name;
        changed += std::none_of(picked.begin(), picked.end(),
                                [&](std::uint32_t before) {
                                    return members[before].name == name;
                                })
                       ? 1
                       : 0;
    }
    LONGS_EQUAL(1, changed);
}

TEST_GROUP(outlier_tests)
{
    transport::manual_clock clock;
    outlier_detector outliers;

    void setup() override
    {
        outliers.resize(9);
    }

    void fail(server_index server, int times)
    {
        for (int i = 0; i < times; ++i)
        {
            outliers.on_outcome(clock.monotonic_now(), server,
                                attempt_outcome::failed);
        }
    }
};

TEST(outlier_tests, ejects_after_failures_in_a_row_and_lets_back_by_time)
{
    fail(0, 4);
    outliers.on_outcome(clock.monotonic_now(), 0, attempt_outcome::succeeded);
    fail(0, 4);
    CHECK_FALSE(outliers.is_ejected(clock.monotonic_now(), 0));
    fail(0, 1);
    CHECK(outliers.is_ejected(clock.monotonic_now(), 0));
    clock.advance(5s);
    CHECK_FALSE(outliers.is_ejected(clock.monotonic_now(), 0));
    fail(0, 5);
    clock.advance(9s);
    CHECK(outliers.is_ejected(clock.monotonic_now(), 0));
}

TEST(outlier_tests, bad_minute_does_not_eject_everything)
{
    for (server_index server = 0; server < 9; ++server)
    {
        fail(server, 20);
    }
    LONGS_EQUAL(3, outliers.ejected(clock.monotonic_now()));
}

TEST(outlier_tests, only_server_is_never_ejected)
{
    outliers.resize(1);
    fail(0, 100);
    LONGS_EQUAL(0, outliers.ejected(clock.monotonic_now()));
}

TEST_GROUP(router_tests)
{
    transport::manual_clock clock;
    std::mt19937_64 random{5};
    service_router router{make_settings()};
    protocol::service declared;

    void setup() override
    {
        declared.name = "sidra-llm";
        declared.servers = {make_server(0, "sul-a"), make_server(1, "sul-b"),
                            make_server(2, "sul-c", "v2")};
        declared.shares = {{"v1", 0.75}, {"v2", 0.25}};
        router.set_service(declared, {});
    }

    transport::result<route_choice> choose(const route_request& request = {})
    {
        return router.choose(clock.monotonic_now(), request, random);
    }

    void end(const route_choice& choice,
             attempt_outcome outcome = attempt_outcome::succeeded)
    {
        router.on_ended(clock.monotonic_now(), choice, outcome, 10);
    }

    /// Sends one request and ends it at once.
    std::string serve_one()
    {
        const auto choice = choose();
        CHECK_TRUE(choice.has_value());
        end(*choice);
        return choice->server;
    }
};

TEST(router_tests, honours_shares_and_pinned_versions)
{
    std::map<std::string, int> served;
    for (int i = 0; i < 100; ++i)
    {
        const auto choice = choose();
        CHECK(choice.has_value());
        ++served[choice->version];
        end(*choice);
    }
    LONGS_EQUAL(75, served["v1"]);
    LONGS_EQUAL(25, served["v2"]);
    route_request pinned;
    pinned.version = "v2";
    STRCMP_EQUAL("w2", choose(pinned)->server.c_str());
    pinned.version = "v9";
    CHECK(choose(pinned).error().code == transport::reason::no_backend_server);
}

TEST(router_tests, leaving_server_gets_nothing_from_the_next_choice_on)
{
    router.set_leaving("w0");
    for (int i = 0; i < 50; ++i)
    {
        CHECK(serve_one() != "w0");
    }
    // A late list that still has it does not bring it back.
    router.set_service(declared, {});
    for (int i = 0; i < 50; ++i)
    {
        CHECK(serve_one() != "w0");
    }
    declared.servers[0].address = "127.0.0.1:9999";
    router.set_service(declared, {});
    bool seen = false;
    for (int i = 0; i < 30; ++i)
    {
        // Left open, so that the servers fill up one after the other.
        const auto choice = choose();
        CHECK_TRUE(choice.has_value());
        seen = seen || choice->server == "w0";
    }
    CHECK(seen);
}

TEST(router_tests, retry_goes_elsewhere_when_there_is_an_elsewhere)
{
    route_request request;
    request.version = "v1";
    request.avoid = {"w0"};
    STRCMP_EQUAL("w1", choose(request)->server.c_str());
    request.avoid = {"w0", "w1"};
    CHECK(choose(request).has_value());
}

TEST(router_tests, follows_prefix_and_reports_expected_cached_tokens)
{
    const std::string prompt(8'192, 'x');
    route_request request;
    request.prompt = prompt;
    request.version = "v1";
    const auto first = choose(request);
    DOUBLES_EQUAL(0, first->cached_tokens, 0);
    end(*first);
    const auto second = choose(request);
    CHECK(second->server == first->server);
    DOUBLES_EQUAL(2'048, second->cached_tokens, 0);
}

TEST(router_tests, full_servers_are_overloaded_and_no_servers_are_said_so)
{
    auto settings = make_settings();
    settings.concurrency.initial = 1;
    service_router small{settings};
    small.set_service(declared, {});
    for (int i = 0; i < 3; ++i)
    {
        CHECK(small.choose(clock.monotonic_now(), {}, random).has_value());
    }
    CHECK_FALSE(small.has_room(clock.monotonic_now(),
                               protocol::priority_class::standard));
    // A shrunk limit does not hold up interactive calls.
    CHECK(small.has_room(clock.monotonic_now(),
                         protocol::priority_class::interactive));
    const auto full = small.choose(clock.monotonic_now(), {}, random);
    CHECK(full.error().code == transport::reason::overloaded);
    CHECK(full.error().ran == transport::verdict::not_run);
    for (const auto* name : {"w0", "w1", "w2"})
    {
        small.set_state(name, server_availability::unreachable);
    }
    CHECK(small.choose(clock.monotonic_now(), {}, random).error().code ==
          transport::reason::no_backend_server);
}

TEST(router_tests, drafts_leave_slots_while_interactive_calls_come)
{
    router.set_peers(1);
    route_request draft;
    draft.version = "v1";
    int started = 0;
    while (choose(draft).has_value())
    {
        ++started;
        CHECK(started < 100);
    }
    CHECK(started >= 16);
    service_router busy{make_settings()};
    busy.set_service(declared, {});
    route_request call;
    call.priority = protocol::priority_class::interactive;
    auto last = busy.choose(clock.monotonic_now(), call, random).value();
    busy.on_ended(clock.monotonic_now(), last, attempt_outcome::succeeded, 5);
    int beside = 0;
    while (busy.choose(clock.monotonic_now(), draft, random).has_value())
    {
        ++beside;
    }
    LONGS_EQUAL(12, beside); // Three quarters of two servers' slots.
    CHECK(busy.choose(clock.monotonic_now(), call, random).has_value());
    clock.advance(11s);
    CHECK(busy.choose(clock.monotonic_now(), draft, random).has_value());
}

TEST(router_tests, redeclaration_keeps_open_requests_counted)
{
    const auto open = choose();
    CHECK(open.has_value());
    declared.servers.erase(declared.servers.begin());
    declared.servers.push_back(make_server(7, "sul-d"));
    router.set_service(declared, {});
    end(*open);
    for (const auto& row : router.rows())
    {
        LONGS_EQUAL(0, row.state.own_in_flight);
    }
    LONGS_EQUAL(3, router.rows().size());
}
