/// @file
/// `hyssop_bench forward`: streamed tokens a second for each core that an
/// entry process uses, beside a direct call to the same engine. An argument
/// `saturated` or `paced` runs only that.

#include "bench.hpp"

#include <chrono>
#include <memory>
#include <thread>

#include "entry_fixture.hpp"

namespace hyssopdeal::bench
{

namespace
{

constexpr double bound_tokens_per_core = 100'000;
constexpr std::size_t engines = 2;
constexpr std::size_t callers = 2;
constexpr std::chrono::milliseconds poll{2};

/// One run.
struct forward_run
{
    const char* name;
    std::uint32_t streams;
    token_pace pace;
};

using engine_list = std::vector<std::unique_ptr<token_engine>>;

double seconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double>(time).count();
}

struct outcome
{
    double wall = 0; // seconds
    std::uint64_t events = 0;
    std::uint64_t failed = 0;
};

outcome stream_all(const std::vector<std::string>& addresses,
                   const forward_run& run)
{
    caller_totals totals;
    std::vector<std::unique_ptr<caller>> clients;
    for (std::size_t count = 0; count < callers; ++count)
    {
        clients.push_back(std::make_unique<caller>(
            addresses[count % addresses.size()], totals));
    }
    const auto start = std::chrono::steady_clock::now();
    for (std::uint32_t stream = 0; stream < run.streams; ++stream)
    {
        clients[stream % clients.size()]->start_chat();
    }
    while (totals.ended + totals.refused + totals.failed < run.streams)
    {
        std::this_thread::sleep_for(poll);
    }
    outcome seen;
    seen.wall = seconds(std::chrono::steady_clock::now() - start);
    seen.events = totals.events;
    seen.failed = totals.failed + totals.refused;
    return seen;
}

int run_one(const forward_run& run)
{
    engine_list list;
    std::vector<std::string> addresses;
    for (std::size_t count = 0; count < engines; ++count)
    {
        list.push_back(std::make_unique<token_engine>(run.pace));
        addresses.push_back(list.back()->address());
    }
    const auto direct = stream_all(addresses, run);
    entry_fixture entry{addresses, 1, 5'000};
    const auto before = entry.cpu_time();
    const auto through = stream_all({entry.address()}, run);
    const double cores = seconds(entry.cpu_time() - before) / through.wall;
    const double rate = static_cast<double>(through.events) / through.wall;
    print_line(
        "forward",
        "run={} streams={} tokens_each={} interval_us={} "
        "direct_tokens_per_s={:.0f} entry_tokens_per_s={:.0f} "
        "entry_cores={:.2f} tokens_per_s_per_core={:.0f} bound={:.0f} "
        "failed={}",
        run.name, run.streams, run.pace.tokens, run.pace.interval.count(),
        static_cast<double>(direct.events) / direct.wall, rate, cores,
        rate / cores, bound_tokens_per_core, direct.failed + through.failed);
    return direct.failed + through.failed == 0 ? 0 : 1;
}

int run(const bench_arguments& arguments)
{
    using std::chrono::milliseconds;
    const std::uint32_t part = arguments.quick ? 10 : 1;
    const forward_run saturated{"saturated", 256, {4'000 / part, {}}};
    const forward_run paced{"paced", 1'000, {500 / part, milliseconds{20}}};
    int failed = 0;
    for (const auto& chosen : {saturated, paced})
    {
        if (arguments.rest.empty() || arguments.rest.front() == chosen.name)
        {
            failed += run_one(chosen);
        }
    }
    return failed;
}

const bench_registration registration{
    "forward", "streamed tokens a second for each core of an entry", run};

} // namespace

} // namespace hyssopdeal::bench
