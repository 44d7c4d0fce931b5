/// @file
/// `fleet`: cost at the latency target through reclaim waves and the loss of a
/// failure domain, by the planner, by on-demand alone and by cheapest first.

#include "bench.hpp"

#include <algorithm>
#include <array>
#include <string>
#include <vector>

#include "standins/fleet_session.hpp"

namespace hyssopdeal::bench
{

namespace
{

using namespace std::chrono_literals;
using coordination::fleet_demand;
using protocol::price_class;

enum class fleet_policy
{
    planner,
    on_demand,
    cheapest_first
};

constexpr std::array<fleet_policy, 3> policies{fleet_policy::planner,
                                               fleet_policy::on_demand,
                                               fleet_policy::cheapest_first};

const char* to_string(fleet_policy policy)
{
    switch (policy)
    {
    case fleet_policy::planner:
        return "planner";
    case fleet_policy::on_demand:
        return "on_demand";
    case fleet_policy::cheapest_first:
        return "cheapest_first";
    }
    return "planner";
}

/// One user's services and prices.
struct fleet_size
{
    std::string name;
    std::vector<std::string> domains;
    std::vector<double> reclaimable; ///< Price by failure domain.
    std::vector<fleet_demand> demands;
};

fleet_demand demand(const std::string& service, double busy, double interactive,
                    std::chrono::milliseconds duration,
                    std::chrono::milliseconds wait)
{
    fleet_demand result;
    result.service = service;
    result.version = "v1";
    result.load.busy_slots = busy;
    result.load.interactive_slots = busy * interactive;
    result.load.duration = duration;
    result.load.wait_limit = wait;
    return result;
}

std::vector<fleet_size> sizes()
{
    // Nine and four instances of eight slots carry these at the target.
    return {{"pomarada",
             {"sul-a", "sul-b", "sul-c", "sul-d"},
             {0.30, 0.34, 0.38, 0.45},
             {demand("sidra-llm", 55, 0.4, 4'000ms, 300ms),
              demand("inscricoes", 22, 0.6, 100ms, 20ms)}},
            {"litoral",
             {"tamarindo", "nosara", "samara", "liberia"},
             {0.25, 0.28, 0.40, 0.42},
             {demand("hyssop-llm", 55, 0.25, 8'000ms, 500ms),
              demand("bitacora-app", 22, 0.4, 100ms, 20ms)}}};
}

standins::fleet_session_settings make_settings(const fleet_size& size,
                                               fleet_policy policy)
{
    standins::fleet_session_settings settings;
    for (std::size_t i = 0; i < size.domains.size(); ++i)
    {
        settings.cloud.prices.push_back(
            {size.domains[i], price_class::on_demand, 1});
        if (policy != fleet_policy::on_demand)
        {
            settings.cloud.prices.push_back({size.domains[i],
                                             price_class::reclaimable,
                                             size.reclaimable[i]});
        }
    }
    settings.cloud.refusal = 0.05;
    settings.demands = size.demands;
    if (policy == fleet_policy::cheapest_first)
    {
        settings.fleet.wave = 0;
        settings.fleet.reclaim_cost = 0;
        for (auto& item : settings.demands)
        {
            item.load.interactive_slots = 0;
        }
    }
    return settings;
}

/// What callers and the bill say of one run.
struct fleet_sums
{
    double hours = 0;
    double billed = 0;
    double interactive = 0; ///< Part within the target, summed by time.
    double all = 0;         ///< The same for all requests.
    double ticks = 0;
    double short_ticks = 0; ///< Interactive class outside the target.
    std::uint64_t started = 0;
};

void measure(const fleet_size& size, const standins::fleet_session& session,
             fleet_sums& sums)
{
    for (const auto& item : size.demands)
    {
        const auto slots = session.ready_slots(item);
        const double interactive = coordination::service_level(
            item.load, item.load.interactive_slots, slots);
        sums.interactive += interactive;
        sums.all +=
            coordination::service_level(item.load, item.load.busy_slots, slots);
        sums.short_ticks += interactive < item.load.target_service_level;
        ++sums.ticks;
    }
}

/// What strikes the fleet once in two hours.
enum class strike
{
    none,
    wave,  ///< 64% of the reclaimable instances, 30 s of notice.
    domain ///< A whole failure domain, 10 s of notice.
};

constexpr std::array<strike, 3> strikes{strike::none, strike::wave,
                                        strike::domain};

const char* to_string(strike value)
{
    switch (value)
    {
    case strike::none:
        return "none";
    case strike::wave:
        return "wave64";
    case strike::domain:
        return "domain";
    }
    return "none";
}

void run_once(const fleet_size& size, fleet_policy policy, strike fault,
              std::uint64_t seed, std::chrono::hours length, fleet_sums& sums)
{
    standins::fleet_session session{make_settings(size, policy), seed};
    const auto begin = session.now();
    while (session.now() < begin + 30min)
    {
        session.step();
    }
    const auto start = session.now();
    const double before = session.cloud().billed(start);
    auto next = start + 30min;
    std::size_t domain = seed;
    while (session.now() < start + length)
    {
        if (fault != strike::none && session.now() >= next)
        {
            next += 2h;
            if (fault == strike::wave)
            {
                session.cloud().reclaim_part(session.now(), 0.64, 30s);
            }
            else
            {
                const auto& name = size.domains[domain++ % size.domains.size()];
                session.cloud().reclaim_domain(session.now(), name, 10s, 20min);
            }
        }
        session.step();
        measure(size, session, sums);
    }
    sums.hours += static_cast<double>(length.count());
    sums.billed += session.cloud().billed(session.now()) - before;
    sums.started += session.cloud().started();
}

/// `fleet [RUNS]`
int run_fleet(const bench_arguments& arguments)
{
    const auto& rest = arguments.rest;
    const int runs =
        !rest.empty() ? std::stoi(rest[0]) : (arguments.quick ? 1 : 10);
    for (const auto& size : sizes())
    {
        for (const auto fault : strikes)
        {
            for (const auto policy : policies)
            {
                fleet_sums sums;
                for (int i = 0; i < runs; ++i)
                {
                    run_once(size, policy, fault,
                             arguments.seed + static_cast<std::uint64_t>(i),
                             24h, sums);
                }
                print_line(
                    "fleet",
                    "size={} strike={} policy={} runs={} "
                    "cost_per_hour={:.2f} interactive_within={:.5f} "
                    "all_within={:.5f} interactive_short_s_per_day={:.1f} "
                    "started={}",
                    size.name, to_string(fault), to_string(policy), runs,
                    sums.billed / sums.hours, sums.interactive / sums.ticks,
                    sums.all / sums.ticks, 5 * sums.short_ticks / runs,
                    sums.started / runs);
            }
        }
    }
    return 0;
}

const bench_registration registration{
    "fleet", "cost at the latency target through reclaim waves", run_fleet};

} // namespace

} // namespace hyssopdeal::bench
