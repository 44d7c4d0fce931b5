/// @file
/// Benchmark `membership`: cost of a quiet node and time to detect a death
/// and to spread a leaving mark, by number of nodes.

#include "bench.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <ctime>
#include <vector>

#include <standins/gossip_network.hpp>

namespace hyssopdeal::bench
{

namespace
{

using protocol::member_kind;
using protocol::member_state;
using protocol::member_update;
using standins::gossip_network;
using namespace std::chrono_literals;

constexpr double bound_bytes_per_second = 21'000;
constexpr double bound_core_percent = 2.7;

/// Figures of one size.
struct size_result
{
    std::size_t nodes = 0;
    double bytes_per_second = 0;
};

double cpu_seconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/// Runs until enough nodes see a state.
///
/// @return Virtual time taken, at most the limit.
std::chrono::milliseconds time_until_seen(gossip_network& network,
                                          std::string_view name,
                                          member_state state,
                                          std::size_t enough,
                                          std::chrono::milliseconds limit)
{
    const auto start = network.now();
    while (network.seen_by(name, state) < enough &&
           network.now() - start < limit)
    {
        network.run_for(50ms);
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(network.now() -
                                                                 start);
}

size_result measure(std::size_t nodes, std::size_t domains,
                    const bench_arguments& arguments)
{
    gossip_network network{nodes, domains, arguments.seed};
    network.run_for(30s);
    const auto before = network.traffic();
    const auto cpu_before = cpu_seconds();
    const auto window = arguments.quick ? 5s : 20s;
    network.run_for(window);
    const auto node_seconds = static_cast<double>(nodes) *
                              std::chrono::duration<double>(window).count();
    const auto after = network.traffic();
    const double bytes =
        static_cast<double>(after.bytes - before.bytes) / node_seconds;
    const double datagrams =
        static_cast<double>(after.datagrams - before.datagrams) / node_seconds;
    const double core = 100 * (cpu_seconds() - cpu_before) / node_seconds;

    member_update notice;
    notice.name = "w1";
    notice.kind = member_kind::backend_server;
    notice.state = member_state::leaving;
    notice.incarnation = 1;
    notice.failure_domain = "d0";
    network.report(0, notice);
    const auto leaving =
        time_until_seen(network, "w1", member_state::leaving, nodes, 60s);
    network.stop(1);
    const auto first =
        time_until_seen(network, "n1", member_state::dead, 1, 120s);
    const auto all = first + time_until_seen(network, "n1", member_state::dead,
                                             nodes - 1, 120s);
    print_line(
        "membership",
        "nodes={} domains={} bytes_per_s={:.0f} bound_bytes_per_s={:.0f} "
        "datagrams_per_s={:.2f} core_percent={:.4f} "
        "bound_core_percent={} leaving_everywhere_ms={} "
        "death_first_ms={} death_everywhere_ms={}",
        nodes, domains, bytes, bound_bytes_per_second, datagrams, core,
        bound_core_percent, leaving.count(), first.count(), all.count());
    return {nodes, bytes};
}

int run(const bench_arguments& arguments)
{
    std::vector<size_result> results;
    results.push_back(measure(9, 4, arguments));
    results.push_back(measure(100, 7, arguments));
    results.push_back(measure(500, 7, arguments));
    if (!arguments.quick)
    {
        results.push_back(measure(2'000, 7, arguments));
    }
    const auto& small = results[1];
    const auto& large = results.back();
    print_line("membership", "slope_bytes_per_s_per_doubling={:.1f}",
               (large.bytes_per_second - small.bytes_per_second) /
                   std::log2(static_cast<double>(large.nodes) /
                             static_cast<double>(small.nodes)));
    return 0;
}

const bench_registration registration{
    "membership", "cost, detection and spreading by number of nodes", &run};

} // namespace

} // namespace hyssopdeal::bench
