/// @file
/// Tests of the capacity model, the fleet plan and the fleet planner under
/// faults.

#include <algorithm>
#include <cmath>
#include <random>
#include <set>

#include <CppUTest/TestHarness.h>

#include <hyssopdeal/coordination/fleet_planner.hpp>

#include "standins/fleet_session.hpp"

using namespace hyssopdeal;
using namespace hyssopdeal::coordination;
using namespace std::chrono_literals;
using protocol::price_class;
using standins::fleet_session;
using state::purchase_phase;

namespace
{

std::vector<instance_offer> make_offers(std::mt19937_64& random, int domains)
{
    std::uniform_real_distribution<double> part{0.2, 0.9};
    std::vector<instance_offer> offers;
    for (int i = 0; i < domains; ++i)
    {
        const auto name = "d" + std::to_string(i);
        offers.push_back({name, price_class::on_demand, 0.8 + part(random)});
        offers.push_back(
            {name, price_class::reclaimable, part(random), part(random)});
    }
    return offers;
}

/// The cheapest price by trying all counts up to a limit.
double brute_force(const std::vector<instance_offer>& offers,
                   const fleet_need& need, std::uint32_t limit)
{
    std::vector<std::uint32_t> counts(offers.size());
    double best = 1e9;
    while (true)
    {
        if (meets(offers, counts, need))
        {
            best = std::min(best, price_of(offers, counts, need));
        }
        std::size_t at = 0;
        while (at < counts.size() && ++counts[at] > limit)
        {
            counts[at++] = 0;
        }
        if (at == counts.size())
        {
            return best;
        }
    }
}

standins::fleet_session_settings small_fleet()
{
    standins::fleet_session_settings settings;
    for (const char* domain : {"a", "b", "c", "d"})
    {
        settings.cloud.prices.push_back({domain, price_class::on_demand, 1});
        settings.cloud.prices.push_back(
            {domain, price_class::reclaimable, 0.35});
    }
    fleet_demand demand;
    demand.service = "chat";
    demand.version = "v1";
    demand.load.busy_slots = 40;
    demand.load.interactive_slots = 15;
    demand.load.duration = 2'000ms;
    settings.demands = {demand};
    settings.tick = 1'000ms;
    settings.cloud.start_time = 30s;
    return settings;
}

void run_for(fleet_session& session, std::chrono::milliseconds time)
{
    const auto until = session.now() + time;
    while (session.now() < until)
    {
        session.step();
    }
}

bool carries_interactive(fleet_session& session)
{
    const auto& demand = session.demands().front();
    return service_level(demand.load, demand.load.interactive_slots,
                         session.ready_slots(demand)) >=
           demand.load.target_service_level;
}

/// Every instance in the cloud stands in the records, and no order twice.
void check_books(fleet_session& session)
{
    std::set<std::string> orders;
    for (const auto& [name, instance] : session.cloud().instances())
    {
        CHECK(orders.insert(instance.order_id).second);
        const auto& purchases = session.state().tables().purchases;
        const auto found = purchases.find(instance.order_id);
        CHECK(found != purchases.end());
        CHECK(found->second.phase == purchase_phase::started);
        STRCMP_EQUAL(name.c_str(), found->second.instance.c_str());
    }
}

} // namespace

TEST_GROUP(capacity_model_tests){};

TEST(capacity_model_tests, agrees_with_a_simulated_queue)
{
    service_load load;
    load.busy_slots = 10;
    load.duration = 1'000ms;
    load.wait_limit = 200ms;
    const auto slots = slots_needed(load, load.busy_slots);
    std::mt19937_64 random{5};
    std::exponential_distribution<double> gap{10};
    std::exponential_distribution<double> work{1};
    std::vector<double> free_at(slots, 0);
    double now = 0;
    int within = 0;
    constexpr int requests = 200'000;
    for (int i = 0; i < requests; ++i)
    {
        now += gap(random);
        auto& first = *std::ranges::min_element(free_at);
        const double begin = std::max(first, now);
        within += begin - now <= 0.2;
        first = begin + work(random);
    }
    const double part = static_cast<double>(within) / requests;
    DOUBLES_EQUAL(service_level(load, load.busy_slots, slots), part, 0.01);
    CHECK(part >= load.target_service_level - 0.01);
}

TEST_GROUP(fleet_plan_tests){};

TEST(fleet_plan_tests, is_near_the_cheapest_by_brute_force)
{
    std::mt19937_64 random{11};
    for (int run = 0; run < 25; ++run)
    {
        const auto offers = make_offers(random, 2 + run % 2);
        fleet_need need;
        need.slots =
            8 * std::uniform_int_distribution<std::uint32_t>{1, 6}(random);
        need.interactive_slots = need.slots / 2;
        const auto plan = plan_fleet(offers, need, plan_from::nothing);
        CHECK(meets(offers, plan.counts, need));
        CHECK(plan.price_per_hour <= 1.05 * brute_force(offers, need, 4));
    }
}

TEST(fleet_plan_tests, survives_the_loss_of_any_one_failure_domain)
{
    std::mt19937_64 random{12};
    for (int run = 0; run < 200; ++run)
    {
        const auto offers = make_offers(random, 4);
        fleet_need need;
        need.slots =
            std::uniform_int_distribution<std::uint32_t>{8, 200}(random);
        need.interactive_slots = need.slots * 7 / 10;
        const auto plan = plan_fleet(offers, need, plan_from::nothing);
        for (std::size_t lost = 0; lost < offers.size(); lost += 2)
        {
            std::uint32_t slots = 0;
            for (std::size_t i = 0; i < offers.size(); ++i)
            {
                const bool gone =
                    offers[i].failure_domain == offers[lost].failure_domain;
                slots += gone ? 0 : 8 * plan.counts[i];
            }
            CHECK(slots >= need.interactive_slots);
        }
    }
}

TEST(fleet_plan_tests, avoids_offers_that_are_backed_off)
{
    std::mt19937_64 random{13};
    auto offers = make_offers(random, 4);
    offers[1].open = offers[3].open = false;
    fleet_need need;
    need.slots = 80;
    need.interactive_slots = 40;
    const auto plan = plan_fleet(offers, need, plan_from::nothing);
    CHECK(meets(offers, plan.counts, need));
    LONGS_EQUAL(0, plan.counts[1] + plan.counts[3]);
}

TEST_GROUP(fleet_planner_tests){};

TEST(fleet_planner_tests, buys_what_is_needed_and_then_rests)
{
    fleet_session session{small_fleet(), 1};
    run_for(session, 120s);
    CHECK(carries_interactive(session));
    check_books(session);
    const auto started = session.cloud().started();
    run_for(session, 3'600s);
    LONGS_EQUAL(started, session.cloud().started());
}

TEST(fleet_planner_tests, buys_nothing_twice_through_leaders_and_lost_answers)
{
    fleet_session calm{small_fleet(), 2};
    run_for(calm, 300s);
    for (std::uint64_t seed = 1; seed <= 100; ++seed)
    {
        auto settings = small_fleet();
        settings.lost_answers = 0.4;
        settings.lost_proposals = 0.2;
        settings.cloud.refusal = 0;
        fleet_session session{settings, seed};
        std::mt19937_64 random{seed};
        for (int i = 0; i < 60; ++i)
        {
            session.step();
            if (std::uniform_int_distribution<int>{0, 4}(random) == 0)
            {
                session.change_leader(i % 2 == 0
                                          ? fleet_session::proposals::lost
                                          : fleet_session::proposals::kept);
            }
        }
        run_for(session, 120s);
        check_books(session);
        CHECK(carries_interactive(session));
        // A proposal that outlived its leader may add to what the next one
        // proposed; the plan itself never orders more.
        CHECK(session.cloud().started() >= calm.cloud().started());
        LONGS_EQUAL(session.cloud().started(),
                    session.state().tables().purchases.size());
    }
}

TEST(fleet_planner_tests, orders_elsewhere_when_starts_are_refused)
{
    auto settings = small_fleet();
    settings.cloud.refusal = 0.6;
    fleet_session session{settings, 3};
    run_for(session, 600s);
    CHECK(carries_interactive(session));
    check_books(session);
}

TEST(fleet_planner_tests, a_wave_raises_orders_before_the_capacity_is_gone)
{
    fleet_session session{small_fleet(), 4};
    run_for(session, 120s);
    const auto started = session.cloud().started();
    session.cloud().reclaim_part(session.now(), 0.64, 60s);
    run_for(session, 5s);
    CHECK(session.cloud().started() > started);
    for (int i = 0; i < 300; ++i)
    {
        session.step();
        CHECK(carries_interactive(session));
    }
}

TEST(fleet_planner_tests, a_lost_failure_domain_leaves_the_interactive_class)
{
    for (const char* domain : {"a", "b", "c", "d"})
    {
        fleet_session session{small_fleet(), 5};
        run_for(session, 120s);
        session.cloud().reclaim_domain(session.now(), domain, 2s, 1'200s);
        session.change_leader(fleet_session::proposals::lost);
        for (int i = 0; i < 300; ++i)
        {
            session.step();
            CHECK(carries_interactive(session));
        }
        check_books(session);
    }
}

namespace
{

std::size_t instances_in(fleet_session& session, const std::string& domain)
{
    const auto& purchases = session.state().tables().purchases;
    return static_cast<std::size_t>(
        std::ranges::count_if(purchases, [&](const auto& item) {
            return item.second.failure_domain == domain &&
                   (item.second.phase == purchase_phase::ordered ||
                    item.second.phase == purchase_phase::started);
        }));
}

} // namespace

// Guards against orders in a domain that is to be lost, and against counting
// its instances, which get nothing new, as capacity.
TEST(fleet_planner_tests, orders_nothing_in_an_evacuated_domain)
{
    for (const char* domain : {"a", "b", "c", "d"})
    {
        fleet_session session{small_fleet(), 7};
        run_for(session, 120s);
        session.order(state::order_evacuation{domain});
        const auto before = instances_in(session, domain);
        run_for(session, 120s);
        CHECK(instances_in(session, domain) <= before);
        session.cloud().reclaim_domain(session.now(), domain, 2s, 1'200s);
        for (int i = 0; i < 300; ++i)
        {
            session.step();
            CHECK(carries_interactive(session));
        }
        LONGS_EQUAL(0, instances_in(session, domain));
        check_books(session);
    }
}

// Guards against an order to the cloud that was recorded just before the
// evacuation and is sent after it.
TEST(fleet_planner_tests, recorded_orders_wait_for_the_end_of_an_evacuation)
{
    auto settings = small_fleet();
    fleet_session session{settings, 8};
    for (const char* domain : {"a", "b", "c", "d"})
    {
        session.order(state::order_evacuation{domain});
    }
    state::order_purchase recorded;
    recorded.purchase.order_id = "fleet-0-1";
    recorded.purchase.failure_domain = "a";
    recorded.purchase.service = "chat";
    recorded.purchase.version = "v1";
    session.order(recorded);
    run_for(session, 120s);
    LONGS_EQUAL(0, session.cloud().started());
    LONGS_EQUAL(1, session.state().tables().purchases.size());
    for (const char* domain : {"a", "b", "c", "d"})
    {
        session.order(state::withdraw_evacuation{domain});
    }
    run_for(session, 120s);
    CHECK(carries_interactive(session));
    check_books(session);
}

TEST(fleet_planner_tests, gives_back_by_drain_what_is_no_longer_needed)
{
    fleet_session session{small_fleet(), 6};
    run_for(session, 120s);
    const auto before = session.cloud().instances().size();
    session.demands().front().load.busy_slots = 10;
    session.demands().front().load.interactive_slots = 4;
    run_for(session, 3h);
    CHECK(session.cloud().instances().size() < before);
    CHECK(carries_interactive(session));
    for (const auto& [id, purchase] : session.state().tables().purchases)
    {
        if (purchase.phase == purchase_phase::released)
        {
            CHECK(session.state().tables().leaving.contains(purchase.instance));
        }
    }
}
