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

TEST(balancer_tests, prediction_prefers_cached_prefix_until_queue_is_long)
{
    auto table = make_table(3);
    const std::array matches{prefix_match{1, 4'000}};
    request_profile profile;
    profile.prompt_tokens = 4'096;
    profile.matches = matches;
    predicted_first_token policy;
    LONGS_EQUAL(1, policy.choose(now, profile, table, random));
    table[1].in_flight = 40;
    CHECK(policy.choose(now, profile, table, random) != 1);
}

TEST(balancer_tests, prediction_prefers_own_failure_domain_until_it_is_loaded)
{
    auto table = make_table(2);
    table[0].proximity = locality::other_failure_domain;
    predicted_first_token policy;
    LONGS_EQUAL(1, policy.choose(now, {}, table, random));
    table[1].in_flight = 20;
    LONGS_EQUAL(0, policy.choose(now, {}, table, random));
}

TEST(balancer_tests, prediction_weighs_price_against_recompute_cost)
{
    auto table = make_table(2);
    table[0].price_per_hour = 3;
    table[1].reclaim_hazard_per_hour = 6;
    request_profile profile;
    profile.prompt_tokens = 100;
    profile.expected_output_tokens = 20;
    predicted_first_token policy;
    LONGS_EQUAL(1, policy.choose(now, profile, table, random));
    profile.prompt_tokens = 16'000;
    profile.expected_output_tokens = 4'000;
    LONGS_EQUAL(0, policy.choose(now, profile, table, random));
}

TEST(balancer_tests, no_policy_chooses_ineligible_server)
{
    auto table = make_table(40);
    for (std::size_t i = 0; i < table.size(); ++i)
    {
        table[i].state = static_cast<server_availability>(i % 4);
    }
    table[20].own_in_flight = table[20].concurrency_limit;
    table[24].version = 1;
    const std::array<server_index, 1> failed{28};
    request_profile profile;
    profile.avoid = failed;
    const std::set<server_index> allowed{0, 4, 8, 12, 16, 32, 36};
    const auto check = [&](auto policy) {
        for (int i = 0; i < 2'000; ++i)
        {
            CHECK(allowed.contains(policy.choose(now, profile, table, random)));
        }
        LONGS_EQUAL(no_server, policy.choose(now, profile, {}, random));
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

TEST(load_estimate_tests, corrects_report_by_requests_sent_and_ended_since)
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

TEST(load_estimate_tests, scales_own_requests_by_number_of_entries)
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

TEST(version_shares_tests, version_without_share_or_server_gets_no_requests)
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
    const auto selected = deterministic_subset("e1", "a", members);
    LONGS_EQUAL(64, selected.size());
    CHECK(selected == deterministic_subset("e1", "a", members));
    CHECK(selected != deterministic_subset("e2", "a", members));
    const auto own =
        std::count_if(selected.begin(), selected.end(),
                      [](std::uint32_t position) { return position % 4 == 0; });
    LONGS_EQUAL(48, own);
    auto fewer = members;
    fewer.erase(fewer.begin() + selected.front());
    const auto after = deterministic_subset("e1", "a", fewer);
    int changed = 0;
    for (const auto position : after)
    {
        const auto& name = fewer[position].name;
        changed += std::none_of(selected.begin(), selected.end(),
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

TEST(outlier_tests, ejects_after_consecutive_failures_for_growing_time)
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

TEST(outlier_tests, ejects_only_part_of_servers_if_all_fail)
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

    /// Sends one request, ends it and returns the name of its server.
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

TEST(router_tests, leaving_server_gets_no_further_requests)
{
    router.set_leaving("w0");
    for (int i = 0; i < 50; ++i)
    {
        CHECK(serve_one() != "w0");
    }
    // A stale declaration that still lists w0 does not enable it again.
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
        // The requests stay open, so the servers fill up one after another.
        const auto choice = choose();
        CHECK_TRUE(choice.has_value());
        seen = seen || choice->server == "w0";
    }
    CHECK(seen);
}

TEST(router_tests, retry_avoids_failed_servers_if_others_are_eligible)
{
    route_request request;
    request.version = "v1";
    request.avoid = {"w0"};
    STRCMP_EQUAL("w1", choose(request)->server.c_str());
    request.avoid = {"w0", "w1"};
    CHECK(choose(request).has_value());
}

TEST(router_tests, prefers_server_with_cached_prefix)
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

TEST(router_tests, full_and_unavailable_servers_give_different_errors)
{
    auto settings = make_settings();
    settings.concurrency.initial = 1;
    service_router limited{settings};
    limited.set_service(declared, {});
    for (int i = 0; i < 3; ++i)
    {
        CHECK(limited.choose(clock.monotonic_now(), {}, random).has_value());
    }
    CHECK_FALSE(limited.has_room(clock.monotonic_now(),
                                 protocol::priority_class::standard));
    // A low concurrency limit does not block interactive requests.
    CHECK(limited.has_room(clock.monotonic_now(),
                           protocol::priority_class::interactive));
    const auto full = limited.choose(clock.monotonic_now(), {}, random);
    CHECK(full.error().code == transport::reason::overloaded);
    CHECK(full.error().ran == transport::verdict::not_run);
    for (const auto* name : {"w0", "w1", "w2"})
    {
        limited.set_state(name, server_availability::unreachable);
    }
    CHECK(limited.choose(clock.monotonic_now(), {}, random).error().code ==
          transport::reason::no_backend_server);
}

TEST(router_tests, standard_requests_leave_reserve_to_interactive)
{
    router.set_peers(1);
    route_request standard;
    standard.version = "v1";
    int accepted_without_reserve = 0;
    while (choose(standard).has_value())
    {
        ++accepted_without_reserve;
        CHECK(accepted_without_reserve < 100);
    }
    CHECK(accepted_without_reserve >= 16);
    service_router reserving{make_settings()};
    reserving.set_service(declared, {});
    route_request interactive;
    interactive.priority = protocol::priority_class::interactive;
    auto last =
        reserving.choose(clock.monotonic_now(), interactive, random).value();
    reserving.on_ended(clock.monotonic_now(), last, attempt_outcome::succeeded,
                       5);
    int accepted_with_reserve = 0;
    while (
        reserving.choose(clock.monotonic_now(), standard, random).has_value())
    {
        ++accepted_with_reserve;
    }
    // 3/4 of the 16 slots of the two servers.
    LONGS_EQUAL(12, accepted_with_reserve);
    CHECK(reserving.choose(clock.monotonic_now(), interactive, random)
              .has_value());
    clock.advance(11s);
    CHECK(
        reserving.choose(clock.monotonic_now(), standard, random).has_value());
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
