/// @file
/// `log_commit`: commits a second and their latency, synced, on three control
/// processes over loopback, beside one sync for each record.

#include "bench.hpp"

#include <algorithm>
#include <atomic>
#include <fstream>

#include <hyssopdeal/state/log_storage.hpp>
#include <hyssopdeal/transport/logging.hpp>

#include "tests/control_cluster.hpp"

namespace hyssopdeal::bench
{

namespace
{

using clock_type = std::chrono::steady_clock;

struct commit_run
{
    std::vector<double> latencies_ms;
    double seconds = 0;
    std::uint64_t failed = 0;
};

state::command claim_command(std::uint64_t number)
{
    state::claim_key body;
    body.organisation = fmt::format("organisation-{}", number % 100);
    body.key = fmt::format("key-{}", number);
    body.request_digest = std::string(64, 'd');
    body.claimant = "entry-1";
    body.nonce = number;
    return {{}, {}, body};
}

/// Keeps a number of commands in flight on the leader's thread.
class closed_loop
{
public:
    closed_loop(coordination::control_node& node, std::chrono::seconds duration)
        : node_(node),
          end_(clock_type::now() + duration)
    {}

    void propose()
    {
        if (clock_type::now() >= end_)
        {
            return;
        }
        ++in_flight;
        const auto sent = clock_type::now();
        node_.propose(claim_command(++next_number), [this, sent](auto result) {
            --in_flight;
            const std::chrono::duration<double, std::milli> took =
                clock_type::now() - sent;
            result.has_value() ? result_.latencies_ms.push_back(took.count())
                               : void(++result_.failed);
            propose();
        });
    }

    std::atomic<int> in_flight{0};
    commit_run result_;

private:
    coordination::control_node& node_;
    clock_type::time_point end_;
    static inline std::uint64_t next_number = 0;
};

double percentile(std::vector<double>& values, double part)
{
    if (values.empty())
    {
        return 0;
    }
    const auto at = static_cast<std::ptrdiff_t>(
        part * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + at, values.end());
    return values[static_cast<std::size_t>(at)];
}

void run_depth(tests::control_cluster& cluster, std::size_t leader, int depth,
               std::chrono::seconds duration)
{
    std::unique_ptr<closed_loop> load;
    const auto start = clock_type::now();
    cluster.on(leader, [&](auto& process) {
        load = std::make_unique<closed_loop>(process.node(), duration);
        for (int at = 0; at < depth; ++at)
        {
            load->propose();
        }
    });
    while (load->in_flight > 0)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds{5});
    }
    const std::chrono::duration<double> took = clock_type::now() - start;
    cluster.on(leader, [&](auto&) {
        auto& values = load->result_.latencies_ms;
        print_line("log_commit",
                   "in_flight={} commits_per_s={:.0f} p50_ms={:.2f} "
                   "p99_ms={:.2f} failed={}",
                   depth, static_cast<double>(values.size()) / took.count(),
                   percentile(values, 0.5), percentile(values, 0.99),
                   load->result_.failed);
    });
}

/// One record, one sync, one disk.
void run_baseline(std::chrono::seconds duration)
{
    const auto folder = std::filesystem::temp_directory_path() /
                        fmt::format("hyssopdeal-bench-{}", ::getpid());
    state::log_storage<state::posix_files> storage{
        state::posix_files{folder.string()}};
    (void)storage.open();
    state::persist_request request;
    request.hard = state::hard_state{1, 1, 0};
    (void)storage.write(request);
    std::vector<double> latencies;
    const auto start = clock_type::now();
    state::log_index index = 0;
    while (clock_type::now() - start < duration)
    {
        const auto sent = clock_type::now();
        state::persist_request one;
        ++index;
        one.records.push_back({index, 1, state::record_kind::command,
                               state::encode(claim_command(index))});
        (void)storage.write(one);
        const std::chrono::duration<double, std::milli> took =
            clock_type::now() - sent;
        latencies.push_back(took.count());
    }
    const std::chrono::duration<double> took = clock_type::now() - start;
    print_line("log_commit",
               "baseline=one_sync_a_record_one_disk records_per_s={:.0f} "
               "p50_ms={:.2f} p99_ms={:.2f}",
               static_cast<double>(latencies.size()) / took.count(),
               percentile(latencies, 0.5), percentile(latencies, 0.99));
    std::filesystem::remove_all(folder);
}

/// @return Resident bytes of this process.
std::size_t resident_bytes()
{
    std::ifstream status{"/proc/self/statm"};
    std::size_t total = 0;
    std::size_t resident = 0;
    status >> total >> resident;
    return resident * static_cast<std::size_t>(::getpagesize());
}

/// How long a snapshot of a large ledger holds the replica's thread, and what
/// the ledger holds of memory.
void run_snapshot(std::size_t claims)
{
    const auto before = resident_bytes();
    state::control_state state;
    for (std::size_t at = 1; at <= claims; ++at)
    {
        auto command = claim_command(at);
        command.at = transport::wall_time{std::chrono::milliseconds{1}};
        (void)state.apply({at, 1}, command);
    }
    const auto held = resident_bytes() - before;
    const auto start = clock_type::now();
    const auto bytes = state.encode_snapshot().size();
    const std::chrono::duration<double, std::milli> took =
        clock_type::now() - start;
    const auto copying = clock_type::now();
    const state::control_state copy{state};
    const std::chrono::duration<double, std::milli> copied =
        clock_type::now() - copying;
    print_line("log_commit",
               "snapshot_claims={} bytes={} encode_ms={:.1f} copy_ms={:.1f} "
               "held_bytes={}",
               copy.claim_count(), bytes, took.count(), copied.count(), held);
}

int run(const bench_arguments& arguments)
{
    for (const std::size_t claims : {200'000, 100'000, 10'000})
    {
        run_snapshot(claims);
    }
    transport::setup_logging(transport::log_level::warning);
    const std::chrono::seconds duration{arguments.quick ? 1 : 4};
    run_baseline(duration);
    tests::control_cluster cluster{3};
    for (std::size_t at = 0; at < 3; ++at)
    {
        const auto error = cluster.start(at);
        if (!error.empty())
        {
            fmt::print(stderr, "{}\n", error);
            return 1;
        }
    }
    const auto leader = cluster.leader();
    if (!leader)
    {
        fmt::print(stderr, "no leader\n");
        return 1;
    }
    for (const int depth : {1, 16, 256, 2'048})
    {
        run_depth(cluster, *leader, depth, duration);
    }
    return 0;
}

const bench_registration registered{
    "log_commit", "commits a second and latency, synced, three replicas", run};

} // namespace

} // namespace hyssopdeal::bench
