/// @file
/// Number of servers by the work that callers ask for: what entries count, what
/// replicas sum, and what callers get from a service that is planned by it.

#include <hyssopdeal/coordination/capacity/work_meter.hpp>
#include <hyssopdeal/coordination/capacity/work_plan.hpp>
#include <hyssopdeal/coordination/cluster/capacity_planner.hpp>
#include <hyssopdeal/coordination/cost/prefill_model.hpp>

#include <algorithm>
#include <cmath>
#include <random>
#include <set>
#include <utility>

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

using namespace hyssopdeal;
using namespace hyssopdeal::coordination;
using namespace std::chrono_literals;
using transport::monotonic_time;

// [entries] ------------------------------------------------------------------

TEST_GROUP(work_demand_tests)
{
    work_demand demand;
    monotonic_time now{100s};

    static protocol::service_works works(std::uint64_t requests,
                                         std::uint64_t prefill_ms)
    {
        protocol::service_work work;
        work.requests = requests;
        work.prefill_ms = prefill_ms;
        return {{"s", work}};
    }

    std::uint64_t taken()
    {
        return demand.take("s").prefill_ms;
    }
};

// Guards against services that state no load, which are planned as before.
TEST(work_demand_tests, only_services_that_state_their_load_are_counted)
{
    work_meter meter;
    meter.on_placed("s", 20ms, 500ms);
    meter.on_ended("s", true);
    CHECK_TRUE(meter.totals().empty());
    meter.on_load_stated("s");
    meter.on_placed("s", 20ms, 500ms);
    meter.on_placed("s", 30ms, 400ms);
    meter.on_ended("s", true);
    const auto total = meter.totals().at("s");
    LONGS_EQUAL(2, total.requests);
    LONGS_EQUAL(50, total.prefill_ms);
    LONGS_EQUAL(1'300, total.prefill_ms2);
    LONGS_EQUAL(900, total.target_ms);
    LONGS_EQUAL(1, total.late);
}

// Guards against work that is counted twice or lost when reports are repeated,
// overtake each other or come from an entry that has restarted.
TEST(work_demand_tests, each_request_counts_once)
{
    demand.on_report(now, "a", 1, works(2, 100));
    LONGS_EQUAL(0, taken()); // May be hours old at a replica that has started.
    demand.on_report(now, "a", 1, works(5, 250));
    demand.on_report(now, "a", 1, works(5, 250));
    demand.on_report(now, "a", 1, works(4, 200));
    LONGS_EQUAL(150, taken());
    LONGS_EQUAL(0, taken());
    demand.on_report(now, "a", 2, works(1, 40));
    demand.on_report(now, "b", 7, works(0, 0));
    demand.on_report(now, "b", 7, works(1, 60));
    LONGS_EQUAL(100, taken());
}

TEST(work_demand_tests, messages_carry_the_work_and_may_lack_it)
{
    protocol::entry_report report;
    CHECK_TRUE(protocol::decode_entry_report(encode(report))->work.empty());
    report.work = works(3, 70);
    const auto read = protocol::decode_entry_report(encode(report));
    LONGS_EQUAL(70, read->work.at("s").prefill_ms);
}

// [prefill] ------------------------------------------------------------------

TEST_GROUP(prefill_model_tests){};

// Guards against one mean speed for short and long prompts, which makes the
// prediction for either wrong by half.
TEST(prefill_model_tests, time_that_grows_with_the_square_is_learned)
{
    prefill_model model;
    const auto true_ms = [](double uncached, double prompt) {
        const double cached = prompt - uncached;
        return uncached / 64 +
               0.65 * (prompt * prompt - cached * cached) / 2 / 1e6;
    };
    std::mt19937_64 random{7};
    std::lognormal_distribution<double> size{8, 1.2};
    std::lognormal_distribution<double> noise{0, 0.2};
    for (int request = 0; request < 300; ++request)
    {
        const double prompt = std::clamp(size(random), 200.0, 60'000.0);
        const double uncached = request % 2 == 0 ? prompt : prompt / 2;
        model.learn("s", uncached, prompt,
                    30 + true_ms(uncached, prompt) * noise(random));
    }
    for (const double prompt : {2'000.0, 12'000.0, 40'000.0})
    {
        DOUBLES_EQUAL(
            1, model.prefill_ms("s", prompt, prompt) / true_ms(prompt, prompt),
            0.25);
    }
    CHECK_TRUE(model.overhead_ms("s") < 50);
    // Another service has learned nothing.
    DOUBLES_EQUAL(60, model.overhead_ms("t"), 1e-9);
}

// [plan] ---------------------------------------------------------------------

TEST_GROUP(work_plan_tests)
{
    work_plan plan;
    monotonic_time now{100s};
    std::uint32_t ready = 90;
    std::uint32_t planned = 20; ///< By concurrent requests.

    /// Half a second with a load of prompts of 100 ms.
    capacity_need step(double prompts_per_s, double late_share = 0)
    {
        now += 500ms;
        const auto count = static_cast<std::uint64_t>(prompts_per_s / 2);
        const auto late =
            static_cast<std::uint64_t>(late_share * static_cast<double>(count));
        return plan
            .step(
                now, "s",
                {count, count * 100, count * 10'000, count * 500, count, late},
                ready, planned, 3)
            .value();
    }

    capacity_need steps(std::chrono::seconds time, double prompts_per_s,
                        double late_share = 0)
    {
        capacity_need need;
        for (auto at = 0ms; at < time; at += 500ms)
        {
            need = step(prompts_per_s, late_share);
        }
        return need;
    }
};

TEST(work_plan_tests, service_without_prompts_is_not_planned)
{
    CHECK_FALSE(plan.step(now, "s", {}, 9, 9, 3).has_value());
}

// Guards against a number of servers that follows from how many there are.
TEST(work_plan_tests, need_depends_on_the_work_alone)
{
    const auto many = steps(30s, 100);
    ready = 20;
    const auto few = steps(30s, 100);
    DOUBLES_EQUAL(10, many.work, 0.5);
    LONGS_EQUAL(many.needed, few.needed);
    // 10 busy servers, each at most half of the time.
    CHECK_TRUE(many.needed >= 20 && many.needed <= 21);
}

// Guards against servers that are given back at once, although the load comes
// back and the platform may have none then.
TEST(work_plan_tests, servers_are_given_back_in_steps)
{
    LONGS_EQUAL(90, steps(9s, 100).wanted);
    const auto after = steps(60s, 100).wanted;
    CHECK_TRUE(after < 70 && after > 30);
    // None while servers are missing.
    ready = 30;
    LONGS_EQUAL(after, steps(30s, 100).wanted);
    ready = 90;
    LONGS_EQUAL(after, step(100).wanted);
}

// Guards against servers that are given back while streams are late though all
// of them are there.
TEST(work_plan_tests, late_streams_keep_servers)
{
    work_plan calm;
    std::swap(plan, calm);
    const auto without = steps(240s, 100).wanted;
    std::swap(plan, calm);
    CHECK_TRUE(steps(240s, 100, 0.1).wanted > without * 5 / 4);
}

// Guards against a number below that for the concurrent requests, which pile up
// after a loss of servers.
TEST(work_plan_tests, concurrent_requests_raise_the_number)
{
    planned = 120;
    LONGS_EQUAL(120, step(100).wanted);
    planned = 20;
    LONGS_EQUAL(120, steps(9s, 100).wanted);
}

// [service] ------------------------------------------------------------------

namespace
{

/// A service with reclaimable servers in three domains. Prompts are prefilled
/// one after the other; each goes to the server with the least work left. A
/// prompt that waits longer than its target is late.
struct planned_service
{
    struct server
    {
        protocol::listed_server listed;
        monotonic_time starts{};
        double work_s = 0;
    };

    bool by_work = true;
    std::set<std::string> dry; ///< Domains that have no servers to order.
    capacity_planner planner{{}};
    monotonic_time now{100s};
    std::vector<server> servers;
    std::vector<protocol::document_service> services;
    std::mt19937_64 random{11};
    std::uint64_t next_id = 0;
    std::uint64_t prompts = 0;
    std::uint64_t late = 0;
    protocol::service_work counted{};

    planned_service()
    {
        protocol::document_service service;
        service.name = "s";
        service.scaling = protocol::scaling_terms{
            1, 40, 4'000ms, 0.2, {{"a", 1.0}, {"b", 0.8}, {"c", 0.9}}};
        services = {service};
        for (const auto* domain : {"a", "b", "c"})
        {
            for (int at = 0; at < 20; ++at)
            {
                add(domain, now);
            }
        }
    }

    void add(const std::string& domain, monotonic_time starts)
    {
        server one;
        one.listed.id = fmt::format("w{}", ++next_id);
        one.listed.service = "s";
        one.listed.failure_domain = domain;
        one.listed.reclaimable = true;
        one.starts = starts;
        servers.push_back(one);
    }

    void carry_out(const capacity_order& order)
    {
        if (order.kind == server_kind::on_demand)
        {
            return planner.on_answer(now, order, order_outcome::accepted);
        }
        std::uint32_t present = 0;
        for (const auto& one : servers)
        {
            present += one.listed.failure_domain == order.domain ? 1 : 0;
        }
        if (order.count > present && dry.contains(order.domain))
        {
            return planner.on_answer(now, order, order_outcome::none_available);
        }
        for (; present < order.count; ++present)
        {
            add(order.domain, now + 4s);
        }
        for (std::size_t at = servers.size(); present > order.count && at > 0;)
        {
            --at;
            if (servers[at].listed.failure_domain == order.domain)
            {
                servers.erase(servers.begin() +
                              static_cast<std::ptrdiff_t>(at));
                --present;
            }
        }
        planner.on_answer(now, order, order_outcome::accepted);
    }

    void lose(const std::string& domain)
    {
        std::erase_if(servers, [&](const auto& one) {
            return one.listed.failure_domain == domain;
        });
    }

    std::uint32_t count(const std::string& domain) const
    {
        return static_cast<std::uint32_t>(
            std::count_if(servers.begin(), servers.end(), [&](const auto& one) {
                return one.listed.failure_domain == domain;
            }));
    }

    void plan()
    {
        std::vector<protocol::listed_server> listed;
        double running = 0;
        for (const auto& one : servers)
        {
            if (one.starts <= now)
            {
                listed.push_back(one.listed);
                // Streams write for a second after a prefill of 0.1 s.
                running += one.work_s * 10;
            }
        }
        service_loads loads{.running = {{"s", running}}};
        if (by_work)
        {
            loads.work["s"] = std::exchange(counted, {});
        }
        for (const auto& order : planner.step(now, services, listed, loads))
        {
            carry_out(order);
        }
    }

    void place()
    {
        constexpr double target_s = 0.5;
        std::exponential_distribution<double> size{10};
        const double prefill_s = size(random);
        const auto least = std::min_element(
            servers.begin(), servers.end(), [&](const auto& x, const auto& y) {
                const auto key = [&](const server& one) {
                    return one.starts > now ? 1e9 : one.work_s;
                };
                return key(x) < key(y);
            });
        const bool is_late = least->work_s > target_s / 2;
        least->work_s += prefill_s;
        const double ms = prefill_s * 1'000;
        counted += {1,
                    static_cast<std::uint64_t>(ms),
                    static_cast<std::uint64_t>(ms * ms),
                    500,
                    1,
                    is_late ? 1ULL : 0ULL};
        ++prompts;
        late += is_late ? 1 : 0;
    }

    /// @return Share of the prompts that were late.
    double play(std::chrono::seconds time, double prompts_per_s)
    {
        constexpr auto tick = 20ms;
        prompts = late = 0;
        double due = 0;
        for (auto end = now + time; now < end; now += tick)
        {
            for (auto& one : servers)
            {
                one.work_s = std::max(0.0, one.work_s - 0.02);
            }
            for (due += prompts_per_s * 0.02; due >= 1; --due)
            {
                place();
            }
            if (now.time_since_epoch() % 500ms == 0ms)
            {
                plan();
            }
        }
        return static_cast<double>(late) / static_cast<double>(prompts);
    }
};

} // namespace

TEST_GROUP(planned_service_tests){};

// Guards against a fleet that shrinks while it has many servers, as few requests
// run at once then, and cannot follow when the load doubles.
TEST(planned_service_tests, load_that_doubles_finds_the_servers_it_needs)
{
    planned_service service;
    CHECK_TRUE(service.play(40s, 120) < 0.01);
    CHECK_TRUE(service.play(10s, 240) < 0.03);
    CHECK_TRUE(service.play(20s, 240) < 0.01);
}

// Guards against the loss of a domain, with nothing to buy, right after servers
// were given back.
TEST(planned_service_tests, loss_of_a_domain_leaves_enough_servers)
{
    planned_service service;
    CHECK_TRUE(service.play(60s, 120) < 0.01);
    service.lose("b");
    service.dry = {"a", "b", "c"};
    CHECK_TRUE(service.play(20s, 120) < 0.01);
}

// Guards against a number that the platform's limits do not allow: servers would
// count as missing from then on, and none would be given back.
TEST(planned_service_tests, servers_are_given_back_after_an_overload)
{
    planned_service service;
    (void)service.play(10s, 120);
    (void)service.play(10s, 2'400);
    LONGS_EQUAL(120, service.servers.size());
    (void)service.play(120s, 120);
    CHECK_TRUE(service.servers.size() < 100);
}

// Guards against a domain without servers whose share no other domain takes.
TEST(planned_service_tests, other_domains_take_the_share_that_one_lacks)
{
    planned_service service;
    (void)service.play(5s, 240);
    service.lose("b");
    service.dry = {"b"};
    (void)service.play(10s, 240);
    LONGS_EQUAL(0, service.count("b"));
    CHECK_TRUE(service.count("a") >= 28 && service.count("c") >= 28);
    // Servers that stood in are kept until those of the domain have started.
    service.dry.clear();
    (void)service.play(3s, 240);
    CHECK_TRUE(service.count("a") >= 28);
}
