/// @file
/// Unit tests of the gateway's decision logic without I/O: validation of the
/// service document, route_table, token_quota, service_retry_budgets,
/// placement, version_split and event_splitter.

#include <hyssopdeal/coordination/gateway/event_splitter.hpp>
#include <hyssopdeal/coordination/gateway/gateway_core.hpp>
#include <hyssopdeal/coordination/gateway/gateway_features.hpp>
#include <hyssopdeal/coordination/gateway/placement.hpp>
#include <hyssopdeal/coordination/gateway/route_table.hpp>
#include <hyssopdeal/coordination/gateway/service_retry_budgets.hpp>
#include <hyssopdeal/coordination/gateway/token_quota.hpp>
#include <hyssopdeal/coordination/gateway/version_split.hpp>

#include <functional>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

using namespace hyssopdeal;
using namespace hyssopdeal::coordination;
using namespace std::chrono_literals;
using transport::monotonic_time;

namespace
{

protocol::service_document make_document()
{
    protocol::service_document document;
    document.version = 1;
    document.services = {{"s", 0, {}, {}}};
    const auto add = [&](const char* name, const char* host,
                         const char* prefix) {
        protocol::document_route route;
        route.name = name;
        route.host = host;
        route.path_prefix = prefix;
        route.time_limit = 1s;
        route.shares = {{"s", 1}};
        document.routes.push_back(route);
    };
    add("root", "a.example", "/");
    add("deep", "a.example", "/x/y/");
    add("other", "b.example", "/x/");
    protocol::organisation_terms terms;
    terms.name = "o";
    terms.keys = {"key"};
    document.organisations = {terms};
    return document;
}

} // namespace

// [document] -----------------------------------------------------------------

TEST_GROUP(service_document_tests){};

TEST(service_document_tests, each_error_makes_the_document_invalid)
{
    using change = std::function<void(protocol::service_document&)>;
    const auto valid_after = [](const change& edit) {
        auto document = make_document();
        edit(document);
        return protocol::check(document).has_value();
    };
    CHECK_TRUE(valid_after([](auto&) {}));
    CHECK_FALSE(
        valid_after([](auto& d) { d.routes[0].shares[0].service = "no"; }));
    CHECK_FALSE(valid_after([](auto& d) { d.routes[0].shares[0].weight = 0; }));
    CHECK_FALSE(valid_after([](auto& d) { d.routes[0].time_limit = 0ms; }));
    CHECK_FALSE(valid_after([](auto& d) {
        d.routes[1].host = "b.example";
        d.routes[1].path_prefix = "/x/";
    }));
    CHECK_FALSE(valid_after([](auto& d) {
        d.organisations.push_back({"p", {"key"}, {}, 0, 0, 0, false});
    }));
    CHECK_TRUE(valid_after([](auto& d) {
        d.organisations[0].keys = {"k", "k"};
    }));
}

// [routes] -------------------------------------------------------------------

TEST_GROUP(route_table_tests)
{
    route_table table{make_document()};

    const char* name(const char* host, const char* target)
    {
        const auto* route = table.find_route(host, target);
        return route == nullptr ? "none" : route->name.c_str();
    }
};

TEST(route_table_tests, longest_prefix_of_the_host_wins)
{
    STRCMP_EQUAL("deep", name("a.example", "/x/y/z"));
    STRCMP_EQUAL("deep", name("A.EXAMPLE:80", "/x/y/?q=/x"));
    STRCMP_EQUAL("root", name("a.example", "/x/yz"));
    STRCMP_EQUAL("other", name("b.example", "/x/"));
    STRCMP_EQUAL("none", name("b.example", "/"));
    STRCMP_EQUAL("none", name("c.example", "/x/"));
    STRCMP_EQUAL("none", name("a.example", "x"));
}

TEST(route_table_tests, keys_name_their_organisation)
{
    STRCMP_EQUAL("o", table.find_organisation("key")->name.c_str());
    CHECK_TRUE(table.find_organisation("") == nullptr);
}

// [quota] --------------------------------------------------------------------

TEST_GROUP(token_quota_tests)
{
    monotonic_time now{1'000s};
    token_quota quota{{}};

    void start(double rate, double share)
    {
        protocol::organisation_terms terms;
        terms.name = "o";
        terms.tokens_per_second = rate;
        terms.burst_tokens = rate;
        quota.set_organisations(now, {terms});
        quota.set_shares(now, {{"o", share}}, now + 1h);
    }

    double taken(std::chrono::milliseconds span, double each)
    {
        double sum = 0;
        for (auto passed = 0ms; passed < span; passed += 10ms)
        {
            now += 10ms;
            sum += quota.take(now, "o", each).count() == 0 ? each : 0;
        }
        return sum;
    }
};

TEST(token_quota_tests, rate_times_share_holds_over_time)
{
    start(1'000, 0.5);
    const double sum = taken(20s, 50);
    CHECK(sum <= 20 * 500 + 500);
    CHECK(sum >= 20 * 500 * 0.95);
}

// Shares follow shifts of traffic with a delay. The tolerated excess keeps
// requests within the quota from being refused, and no window exceeds it.
TEST(token_quota_tests, tolerated_excess_is_used_and_never_exceeded)
{
    constexpr double rate = 36'000;
    quota_settings settings;
    settings.tolerated_fraction = 0.1;
    settings.tolerated_tokens = 140'000;
    token_quota tolerant{settings};
    protocol::organisation_terms terms;
    terms.name = "o";
    terms.tokens_per_second = rate;
    terms.burst_tokens = rate;
    tolerant.set_organisations(now, {terms});
    tolerant.set_shares(now, {{"o", 1}}, now + 1h);
    const double bound = (rate * 8 + rate) * 1.1 + 140'000;
    std::vector<double> each_second;
    double steady_refusals = 0;
    for (int second = 0; second < 60; ++second)
    {
        // Slightly above the quota first, then far above the tolerated excess.
        const int asked = second < 30 ? 40 : 400;
        each_second.push_back(0);
        for (int count = 0; count < asked; ++count)
        {
            now += std::chrono::microseconds{1'000'000 / asked};
            const bool taken = tolerant.take(now, "o", 1'000).count() == 0;
            each_second.back() += taken ? 1'000 : 0;
            steady_refusals += !taken && second < 30 ? 1 : 0;
        }
    }
    DOUBLES_EQUAL(0, steady_refusals, 0.5);
    for (std::size_t at = 7; at < each_second.size(); ++at)
    {
        double sum = 0;
        for (std::size_t back = 0; back < 8; ++back)
        {
            sum += each_second[at - back];
        }
        CHECK_TRUE(sum <= bound);
    }
}

TEST(token_quota_tests, request_larger_than_a_full_bucket_is_admitted)
{
    start(1'000, 0.1);
    now += 10s;
    CHECK_EQUAL(0, quota.take(now, "o", 5'000).count());
    CHECK(quota.take(now, "o", 10).count() > 0);
    // Refills repay the debt before the next request is admitted.
    now += 40s;
    CHECK(quota.take(now, "o", 50).count() > 0);
    now += 15s;
    CHECK_EQUAL(0, quota.take(now, "o", 50).count());
}

TEST(token_quota_tests, expired_shares_admit_no_requests)
{
    start(1'000, 1);
    now += 10s;
    quota.set_shares(now, {{"o", 1}}, now + 1s);
    now += 1s;
    CHECK(quota.take(now, "o", 1).count() > 0);
}

TEST(token_quota_tests, reduced_share_reduces_the_level_in_proportion)
{
    start(1'000, 1);
    now += 10s;
    quota.set_shares(now, {{"o", 0.1}}, now + 1h);
    CHECK_EQUAL(0, quota.take(now, "o", 100).count());
    CHECK(quota.take(now, "o", 50).count() > 0);
}

// Requests refused at the same moment got the same retry time, so all of them
// were retried at once.
TEST(token_quota_tests, retry_times_are_spaced)
{
    start(1'000, 1);
    (void)taken(5s, 100);
    auto last = 0ms;
    for (int caller = 0; caller < 5; ++caller)
    {
        const auto wait = quota.take(now, "o", 500);
        CHECK(wait >= last + 400ms);
        last = wait;
    }
}

TEST(token_quota_tests, organisation_without_a_limit_is_never_refused)
{
    start(0, 0);
    CHECK_EQUAL(0, quota.take(now, "o", 1e9).count());
    CHECK_EQUAL(0, quota.take(now, "unknown", 1e9).count());
}

TEST(token_quota_tests, demand_counts_refused_requests_too)
{
    start(100, 1);
    (void)quota.demand(now);
    (void)taken(10s, 10);
    CHECK(quota.demand(now).at("o") > 900);
}

// [retries] ------------------------------------------------------------------

TEST_GROUP(retry_budget_tests){};

TEST(retry_budget_tests, ratio_holds_when_all_requests_fail)
{
    service_retry_budgets budgets{{}};
    monotonic_time now{100s};
    int retries = 0;
    for (int request = 0; request < 2'000; ++request)
    {
        now += 5ms;
        budgets.on_request(now, "s");
        retries += budgets.take(now, "s") ? 1 : 0;
    }
    CHECK(retries <= 2'000 * 0.2);
    CHECK(retries >= 2'000 * 0.13);
}

TEST(retry_budget_tests, services_do_not_share_a_budget)
{
    service_retry_budgets budgets{{}};
    const monotonic_time now{100s};
    for (int request = 0; request < 100; ++request)
    {
        budgets.on_request(now, "busy");
    }
    CHECK_TRUE(budgets.take(now, "idle"));
    CHECK_FALSE(budgets.take(now, "idle"));
    CHECK_TRUE(budgets.take(now, "busy"));
}

// [placement] ----------------------------------------------------------------

TEST_GROUP(placement_tests)
{
    monotonic_time now{100s};
    placement servers{{}, "d0", 7};
    std::vector<protocol::listed_server> list;

    void add(const std::string& id, const std::string& domain = "d0")
    {
        protocol::listed_server server;
        server.id = id;
        server.service = "s";
        server.address = id + ":1";
        server.failure_domain = domain;
        server.slots = 8;
        list.push_back(server);
        (void)servers.set_servers(list);
    }

    std::optional<placement_choice> choose(
        const prompt_size& prompt = {}, const std::set<std::string>& tried = {})
    {
        return servers.choose(now, "s", prompt, tried);
    }
};

// Placement by work serves uneven servers better and even ones no better.
TEST(placement_tests, work_is_predicted_where_servers_state_how_long_it_takes)
{
    add("a");
    const auto& server = *servers.servers().at("a");
    prompt_size prompt;
    prompt.prompt_tokens = 1'000;
    servers.on_load(now, server, "3,0,8");
    CHECK_FALSE(choose(prompt)->work.has_value());
    servers.on_load(now, server, "3,0,8,100");
    CHECK_TRUE(choose(prompt)->work.has_value());
}

// Gateways sent prompts of the same session to whichever server had slightly
// less load, and each of these servers prefilled the shared prefix again.
TEST(placement_tests, prompts_of_a_session_go_to_the_same_server)
{
    placement other{{}, "d0", 8};
    for (const auto* id : {"a", "b", "c", "d"})
    {
        add(id);
    }
    (void)other.set_servers(list);
    for (std::uint64_t session = 1; session <= 50; ++session)
    {
        prompt_size prompt;
        prompt.prompt_tokens = 6'000;
        prompt.parts = {{1, 500}, {session * 10, 4'500}, {session * 77, 1'000}};
        const auto first = choose(prompt);
        // Meanwhile other gateways have sent that server a long prompt.
        other.set_peer_loads({{first->server->listed.id, {3, 12'000}}});
        const auto second = other.choose(now, "s", prompt, {});
        STRCMP_EQUAL(first->server->listed.id.c_str(),
                     second->server->listed.id.c_str());
        // A queue that costs more than another prefill is avoided.
        other.set_peer_loads({{first->server->listed.id, {60, 400'000}}});
        const auto third = other.choose(now, "s", prompt, {});
        CHECK_TRUE(first->server->listed.id != third->server->listed.id);
        other.set_peer_loads({});
    }
}

TEST(placement_tests, open_connection_is_preferred_between_equal_servers)
{
    for (const auto* id : {"a", "b", "c"})
    {
        add(id);
    }
    for (int round = 0; round < 20; ++round)
    {
        const auto choice =
            servers.choose(now, "s", {}, {}, [](const auto& address) {
                return address == "b:1";
            });
        STRCMP_EQUAL("b", choice->server->listed.id.c_str());
    }
}

TEST(placement_tests, draining_and_removed_servers_get_no_new_requests)
{
    add("a");
    add("b");
    list[0].state = protocol::server_state::draining;
    (void)servers.set_servers(list);
    for (int round = 0; round < 20; ++round)
    {
        STRCMP_EQUAL("b", choose()->server->listed.id.c_str());
    }
    // A delayed list does not make the same incarnation usable again.
    list[0].state = protocol::server_state::ready;
    (void)servers.set_servers(list);
    STRCMP_EQUAL("b", choose()->server->listed.id.c_str());
    list[0].born = 5;
    (void)servers.set_servers(list);
    CHECK_TRUE(choose({}, {"b"}).has_value());
    list.erase(list.begin() + 1);
    LONGS_EQUAL(1, servers.set_servers(list).size());
    STRCMP_EQUAL("a", choose()->server->listed.id.c_str());
}

TEST(placement_tests, tried_servers_are_excluded)
{
    add("a");
    CHECK_FALSE(choose({}, {"a"}).has_value());
}

TEST(placement_tests, prompt_avoids_a_server_with_queued_prompts)
{
    add("a");
    add("b");
    const prompt_size big{50'000, 100, {}};
    const auto first = choose(big);
    servers.on_sent(now, *first, big);
    const auto second = choose({500, 100, {}});
    CHECK(first->server->listed.id != second->server->listed.id);
}

TEST(placement_tests, shared_prefixes_go_to_the_server_that_has_cached_them)
{
    for (const auto* id : {"a", "b", "c", "d"})
    {
        add(id);
    }
    const auto prompt = [](std::uint64_t own) {
        return prompt_size{6'000, 100, {{1, 500}, {77, 5'000}, {own, 500}}};
    };
    const auto first = choose(prompt(1'000));
    servers.on_sent(now, *first, prompt(1'000));
    servers.on_first_event(*first, 100ms);
    servers.on_ended(*first, true);
    for (std::uint64_t own = 1'001; own < 1'020; ++own)
    {
        const auto next = choose(prompt(own));
        CHECK_TRUE(next->server == first->server);
        CHECK(next->uncached_tokens <= 500);
    }
}

// The estimate started at 100 tokens/ms and moved by a twentieth with each long
// prompt, which is too slow for gateways that get one such prompt per second.
TEST(placement_tests, prefill_speed_is_learned_from_a_few_prompts)
{
    add("a");
    add("b");
    constexpr double tokens_per_ms = 32;
    prompt_size prompt;
    prompt.prompt_tokens = 9'000;
    for (int round = 0; round < 3; ++round)
    {
        const auto choice = choose(prompt);
        servers.on_sent(now, *choice, prompt);
        const std::chrono::milliseconds latency{
            60 + static_cast<int>(prompt.prompt_tokens / tokens_per_ms)};
        servers.on_first_event(*choice, latency);
        servers.on_ended(*choice, true);
    }
    const auto unloaded = choose(prompt);
    CHECK(unloaded->predicted > 250ms);
    CHECK(unloaded->predicted < 450ms);
    // With a prompt queued on each server, the prediction includes its prefill.
    for (int ahead = 0; ahead < 2; ++ahead)
    {
        const auto choice = choose(prompt);
        servers.on_sent(now, *choice, prompt);
    }
    const auto queued = choose(prompt);
    CHECK(queued->predicted > 500ms);
    CHECK(queued->predicted < 900ms);
    // Time spent in the queue does not change the estimated prefill speed.
    servers.on_first_event(*queued, 3s);
    servers.on_ended(*queued, true);
    CHECK(choose(prompt)->predicted_unloaded < 700ms);
}

// Gateways with the same load reports all chose the same server.
TEST(placement_tests, many_gateways_spread_over_servers_between_reports)
{
    constexpr std::size_t gateways = 294;
    constexpr int server_count = 163;
    for (int number = 0; number < server_count; ++number)
    {
        add("s" + std::to_string(number));
    }
    // One server has slightly less load than the others.
    std::map<std::string, protocol::sent_load> others;
    for (const auto& server : list)
    {
        others[server.id] = {4, 2'000};
    }
    others["s7"] = {1, 0};
    prompt_size prompt;
    prompt.prompt_tokens = 700;
    std::map<std::string, int> chosen;
    std::vector<std::unique_ptr<placement>> all;
    for (std::size_t number = 0; number < gateways; ++number)
    {
        all.push_back(std::make_unique<placement>(placement_settings{}, "d0",
                                                  number + 1));
        (void)all.back()->set_servers(list);
        all.back()->set_gateway_count(gateways);
        all.back()->set_peer_loads(others);
        ++chosen[all.back()->choose(now, "s", prompt, {})->server->listed.id];
    }
    int most = 0;
    for (const auto& [id, count] : chosen)
    {
        most = std::max(most, count);
    }
    // About six gateways have the server in their subset, a few others pick it
    // at random.
    CHECK(most <= 20);
    CHECK(chosen.size() > server_count / 2);
    // A gateway keeps using its subset, to which it has open connections.
    std::set<std::string> used;
    for (int round = 0; round < 100; ++round)
    {
        used.insert(all.front()
                        ->choose(now, "s", prompt, {},
                                 [&](const auto& address) {
                                     return used.contains(
                                         address.substr(0, address.find(':')));
                                 })
                        ->server->listed.id);
    }
    CHECK(used.size() < 12);
}

namespace
{

// Simulates a small site: six gateways and ten model engines under bursts of
// prompts.
struct interference_model
{
    /// @return How many prompts had more than 0.4 s of other prefill queued
    ///     ahead. Prefill delays the events of all streams on the same engine.
    static int delayed_prompts(std::chrono::milliseconds report_interval,
                               std::uint64_t seed)
    {
        constexpr int gateways = 6;
        constexpr int engines = 10;
        constexpr double tokens_per_ms = 32.4;
        constexpr double delay_threshold_ms = 400;
        constexpr auto duration_ms = 60'000;
        std::mt19937_64 random{seed};
        std::vector<protocol::listed_server> list;
        for (int number = 0; number < engines; ++number)
        {
            protocol::listed_server server;
            server.id = "s" + std::to_string(number);
            server.service = "s";
            server.slots = 128;
            server.address = server.id + ":1";
            list.push_back(server);
        }
        std::vector<std::unique_ptr<placement>> all;
        for (int number = 0; number < gateways; ++number)
        {
            all.push_back(std::make_unique<placement>(
                placement_settings{}, "d", seed * gateways + number));
            (void)all.back()->set_servers(list);
            all.back()->set_gateway_count(gateways);
        }
        struct running
        {
            int gateway;
            placement_choice choice;
            double sent_ms;
            double first_ms;
        };
        std::vector<running> open;
        std::map<std::string, double> busy_until;
        std::vector<double> next_report(gateways);
        for (int number = 0; number < gateways; ++number)
        {
            next_report[number] = static_cast<double>(
                random() % static_cast<std::uint64_t>(report_interval.count()));
        }
        std::vector<std::map<std::string, protocol::sent_load>> reported(
            gateways);
        int delayed = 0;
        for (int ms = 0; ms < duration_ms; ++ms)
        {
            const transport::monotonic_time now{1h +
                                                std::chrono::milliseconds{ms}};
            for (auto at = open.begin(); at != open.end();)
            {
                if (at->first_ms > ms)
                {
                    ++at;
                    continue;
                }
                const std::chrono::milliseconds latency{
                    static_cast<std::int64_t>(at->first_ms - at->sent_ms)};
                all[at->gateway]->on_first_event(at->choice, latency);
                all[at->gateway]->on_ended(at->choice, true, 1s);
                at = open.erase(at);
            }
            for (int number = 0; number < gateways; ++number)
            {
                if (ms < next_report[number])
                {
                    continue;
                }
                next_report[number] += report_interval.count();
                reported[number] = all[number]->own_load();
                std::map<std::string, protocol::sent_load> others;
                for (int other = 0; other < gateways; ++other)
                {
                    for (const auto& [id, load] : reported[other])
                    {
                        const bool own = other == number;
                        others[id].running += own ? 0 : load.running;
                        others[id].waiting_tokens +=
                            own ? 0 : load.waiting_tokens;
                    }
                }
                all[number]->set_peer_loads(others);
            }
            // Forty prompts per second, in bursts of three.
            for (int one = 0; ms % 75 == 0 && one < 3; ++one)
            {
                const int gateway = static_cast<int>(random() % gateways);
                prompt_size prompt;
                prompt.prompt_tokens =
                    static_cast<std::uint32_t>(500 + random() % 9'000);
                const auto choice = *all[gateway]->choose(now, "s", prompt, {});
                all[gateway]->on_sent(now, choice, prompt);
                auto& busy = busy_until[choice.server->listed.id];
                const double ahead = std::max(0.0, busy - ms);
                delayed += ahead > delay_threshold_ms ? 1 : 0;
                busy = ms + ahead + prompt.prompt_tokens / tokens_per_ms;
                constexpr double first_event_overhead_ms = 60;
                open.push_back({gateway, choice, static_cast<double>(ms),
                                busy + first_event_overhead_ms});
            }
        }
        return delayed;
    }
};

} // namespace

// Gateways used loads that were up to 0.25 s old and sent several long prompts
// to the same engine, where the prefill delayed all streams.
TEST(placement_tests, default_report_interval_keeps_long_prompts_apart)
{
    int at_default = 0;
    int at_quarter_second = 0;
    for (std::uint64_t seed = 1; seed <= 4; ++seed)
    {
        at_default += interference_model::delayed_prompts(
            gateway_settings{}.report_interval, seed);
        at_quarter_second += interference_model::delayed_prompts(250ms, seed);
    }
    CHECK(at_quarter_second > 100);
    CHECK_TEXT(at_default * 10 < at_quarter_second * 9,
               fmt::format("{} of {}", at_default, at_quarter_second).c_str());
}

// Each request to a server behind a partition waited for a new connection.
TEST(placement_tests, unreachable_server_is_avoided_at_once)
{
    add("a");
    add("b");
    servers.on_unreachable(now, *servers.servers().at("a"));
    for (int round = 0; round < 20; ++round)
    {
        STRCMP_EQUAL("b", choose()->server->listed.id.c_str());
    }
    now += 1s;
    CHECK_TRUE(choose({}, {"b"}).has_value());
}

TEST(placement_tests, failing_server_is_avoided_and_retried_later)
{
    add("a");
    add("b");
    const auto bad = servers.servers().at("a");
    for (int failure = 0; failure < 3; ++failure)
    {
        servers.on_failure(now, *bad);
    }
    for (int round = 0; round < 20; ++round)
    {
        STRCMP_EQUAL("b", choose()->server->listed.id.c_str());
    }
    CHECK_TRUE(choose({}, {"b"}).has_value());
    now += 10s;
    servers.on_success(*bad);
    CHECK_TRUE(bad->backoff_until <= now);
}

// [versions] -----------------------------------------------------------------

TEST_GROUP(version_split_tests)
{
    monotonic_time now{100s};
    version_split versions;

    void order(double share, bool running,
               const std::set<std::string>& retired = {})
    {
        versions.set_orders(now,
                            {{"s", {"v2", 5, running, share, 2, retired}}});
    }
};

TEST(version_split_tests, without_an_order_all_versions_are_eligible)
{
    const auto choice = versions.choose(now, "s", 0.5, false);
    CHECK_TRUE(choice.admits("v1") && choice.admits("v2"));
}

TEST(version_split_tests, new_version_gets_its_share_of_the_requests)
{
    order(0.25, true);
    CHECK_TRUE(versions.choose(now, "s", 0.2, false).admits("v2"));
    CHECK_FALSE(versions.choose(now, "s", 0.2, false).admits("v1"));
    CHECK_FALSE(versions.choose(now, "s", 0.3, false).admits("v2"));
    CHECK_TRUE(versions.choose(now, "t", 0.2, false).admits("v1"));
}

TEST(version_split_tests, new_version_gets_no_more_requests_than_permitted)
{
    order(1, true);
    for (int sent = 0; sent < 2; ++sent)
    {
        CHECK_TRUE(versions.choose(now, "s", 0.2, false).to_target);
        versions.on_sent("s", "v2");
    }
    CHECK_FALSE(versions.choose(now, "s", 0.2, false).to_target);
    order(1, false);
    CHECK_TRUE(versions.choose(now, "s", 0.2, false).to_target);
}

TEST(version_split_tests, partly_rolled_out_version_gets_no_retries)
{
    order(0.25, true);
    CHECK_FALSE(versions.choose(now, "s", 0.2, true).admits("v2"));
}

// A gateway that is partitioned from the leader must not keep using a share
// that the leader may have revoked.
TEST(version_split_tests, expired_order_gives_the_new_version_no_requests)
{
    order(1, true);
    now += 1'600ms;
    CHECK_FALSE(versions.choose(now, "s", 0.2, false).admits("v2"));
    order(1, false);
    now += 60s;
    CHECK_TRUE(versions.choose(now, "s", 0.2, false).admits("v2"));
}

TEST(version_split_tests, rolled_back_version_gets_no_requests)
{
    order(0, false, {"v0"});
    CHECK_FALSE(versions.choose(now, "s", 0, false).admits("v2"));
    CHECK_FALSE(versions.choose(now, "s", 0, false).admits("v0"));
    CHECK_TRUE(versions.choose(now, "s", 0, false).admits("v1"));
}

TEST(version_split_tests, counts_are_reset_by_a_new_order)
{
    order(0.5, true);
    versions.on_sent("s", "v1");
    versions.on_sent("s", "v2");
    versions.on_ended("s", "v2", true);
    CHECK_EQUAL(2, versions.counts().at("s").sent);
    CHECK_EQUAL(1, versions.counts().at("s").target_sent);
    CHECK_EQUAL(1, versions.counts().at("s").target_bad);
    versions.set_orders(now, {{"s", {"v3", 6, true, 0.5, 2, {"v2"}}}});
    CHECK_EQUAL(0, versions.counts().at("s").sent);
}

TEST(placement_tests, only_servers_of_the_chosen_version_are_used)
{
    add("a");
    add("b");
    list[0].version = "v1";
    list[1].version = "v2";
    (void)servers.set_servers(list);
    const auto at = [&](bool to_target) {
        return servers
            .choose(now, "s", {}, {}, {}, version_choice{"v2", to_target, {}})
            ->server->listed.id;
    };
    for (int round = 0; round < 20; ++round)
    {
        STRCMP_EQUAL("b", at(true).c_str());
        STRCMP_EQUAL("a", at(false).c_str());
    }
}

// [events] -------------------------------------------------------------------

TEST_GROUP(event_splitter_tests)
{
    event_splitter events;
};

TEST(event_splitter_tests, incomplete_events_are_not_returned)
{
    events.feed("id: 1\ndata: a\n");
    CHECK_FALSE(events.next_event().has_value());
    events.feed("\nid: 2\r\ndata: b\r\n\r");
    STRCMP_EQUAL("id: 1\ndata: a\n\n", events.next_event()->c_str());
    CHECK_FALSE(events.next_event().has_value());
    events.feed("\nid: 3");
    STRCMP_EQUAL("id: 2\r\ndata: b\r\n\r\n", events.next_event()->c_str());
    STRCMP_EQUAL("id: 3", events.remainder().c_str());
}

TEST(event_splitter_tests, id_is_parsed)
{
    CHECK_TRUE(event_splitter::event_id("data: id: 4\nid: 7\n\n") == "7");
    CHECK_TRUE(event_splitter::event_id("id:8\r\n\r\n") == "8");
    CHECK_TRUE(event_splitter::event_id("data: x\n\n").empty());
}

// Guards against a misspelt feature that is silently left off.
TEST_GROUP(gateway_feature_tests){};

TEST(gateway_feature_tests,
     features_are_off_until_named_and_unknown_is_an_error)
{
    gateway_settings settings;
    CHECK_TRUE(enable_features(settings, nullptr).has_value());
    CHECK_FALSE(settings.placement_options.predict_by_work);
    CHECK_FALSE(settings.priority_admission);
    CHECK_TRUE(enable_features(settings, "work_placement,priority_admission")
                   .has_value());
    CHECK_TRUE(settings.placement_options.predict_by_work);
    CHECK_TRUE(settings.priority_admission);
    CHECK_FALSE(enable_features(settings, "work-placement").has_value());
}
