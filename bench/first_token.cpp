/// @file
/// `hyssop_bench first_token`: time that an entry adds to the first token while
/// 1,000 streams are open, beside direct calls with the same streams open. The
/// copy hop is not part of it: the entry has no other instance to copy to. An
/// argument sets another number of open streams.

#include "bench.hpp"

#include <chrono>
#include <memory>
#include <mutex>
#include <thread>

#include "entry_fixture.hpp"

namespace hyssopdeal::bench
{

namespace
{

using std::chrono::milliseconds;

constexpr double bound_p50_ms = 1;
constexpr double bound_p99_ms = 3;
constexpr std::uint32_t default_open_streams = 1'000;
constexpr milliseconds token_interval{50};
constexpr milliseconds probe_interval{5};
constexpr milliseconds settle_time{2'000};
constexpr std::size_t engines = 2;
constexpr std::uint32_t shards = 2;

/// First-token times of probes.
struct probe_times
{
    std::mutex guard; // the callers' thread adds, the main thread reads
    std::vector<std::chrono::nanoseconds> samples;
};

struct probe_result
{
    double p50 = 0;
    double p99 = 0;
    std::uint64_t failed = 0;
};

probe_result probe(const std::vector<std::string>& open_to,
                   const std::vector<std::string>& probed,
                   std::uint32_t open_streams, std::uint32_t probes)
{
    caller_totals background;
    caller_totals seen;
    probe_times times;
    std::vector<std::unique_ptr<caller>> crowd;
    crowd.reserve(open_to.size());
    for (const auto& address : open_to)
    {
        crowd.push_back(std::make_unique<caller>(address, background));
    }
    for (std::uint32_t stream = 0; stream < open_streams; ++stream)
    {
        crowd[stream % crowd.size()]->start_chat();
        std::this_thread::sleep_for(milliseconds{1});
    }
    std::this_thread::sleep_for(settle_time);
    caller prober{probed.front(), seen, [&times](auto first) {
                      const std::scoped_lock lock{times.guard};
                      times.samples.push_back(first);
                  }};
    for (std::uint32_t count = 0; count < probes; ++count)
    {
        prober.start_chat(1);
        std::this_thread::sleep_for(probe_interval);
    }
    std::this_thread::sleep_for(settle_time);
    const std::scoped_lock lock{times.guard};
    return {percentile_ms(times.samples, 0.5),
            percentile_ms(times.samples, 0.99),
            background.failed + background.refused + seen.failed +
                seen.refused + probes - times.samples.size()};
}

int run_with(std::uint32_t open_streams, std::uint32_t probes)
{
    std::vector<std::unique_ptr<token_engine>> list;
    std::vector<std::string> addresses;
    for (std::size_t count = 0; count < engines; ++count)
    {
        // Long enough to stay open for the whole run.
        list.push_back(std::make_unique<token_engine>(
            token_pace{1'000'000, token_interval}));
        addresses.push_back(list.back()->address());
    }
    token_engine quick{token_pace{1, {}}};
    const auto direct =
        probe(addresses, {quick.address()}, open_streams, probes);
    entry_fixture entry{{addresses[0], addresses[1]}, shards, 5'000, 1};
    entry.declare_second(quick.address());
    const auto cpu_before = entry.cpu_time();
    const auto wait_before = entry.core_wait_time();
    const auto through = probe({entry.address(), entry.address()},
                               {entry.address()}, open_streams, probes);
    const auto wait = entry.core_wait_time() - wait_before;
    const auto cpu = entry.cpu_time() - cpu_before;
    const double added_p50 = through.p50 - direct.p50;
    const double added_p99 = through.p99 - direct.p99;
    const auto failed = direct.failed + through.failed;
    print_line(
        "first_token",
        "open_streams={} shards={} probes={} direct_p50_ms={:.3f} "
        "direct_p99_ms={:.3f} entry_p50_ms={:.3f} entry_p99_ms={:.3f} "
        "added_p50_ms={:.3f} bound_p50_ms={:.0f} added_p99_ms={:.3f} "
        "bound_p99_ms={:.0f} entry_core_wait_for_each_cpu_ms={:.2f} "
        "failed={}",
        open_streams, shards, probes, direct.p50, direct.p99, through.p50,
        through.p99, added_p50, bound_p50_ms, added_p99, bound_p99_ms,
        static_cast<double>(wait.count()) / static_cast<double>(cpu.count()),
        failed);
    return failed == 0 && added_p50 <= bound_p50_ms && added_p99 <= bound_p99_ms
               ? 0
               : 1;
}

int run(const bench_arguments& arguments)
{
    const auto streams =
        arguments.rest.empty()
            ? default_open_streams
            : static_cast<std::uint32_t>(std::stoul(arguments.rest.front()));
    return run_with(streams, arguments.quick ? 200 : 2'000);
}

const bench_registration registration{
    "first_token", "first-token time that an entry adds", run};

} // namespace

} // namespace hyssopdeal::bench
