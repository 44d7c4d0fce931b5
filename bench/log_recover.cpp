/// @file
/// `log_recover`: time and bytes to catch up a replica that missed records.

#include "bench.hpp"
#include "replica_lab.hpp"

#include <hyssopdeal/state/control_state.hpp>

namespace hyssopdeal::bench
{

namespace
{

constexpr std::size_t payload_bytes = 200;
constexpr std::size_t base_records = 1'000;
constexpr std::size_t contracts = 200;

/// A state as large as a user's, saved at an index.
state::snapshot snapshot_at(state::log_index index)
{
    state::control_state made;
    for (std::size_t at = 0; at < contracts; ++at)
    {
        state::put_contract body;
        body.contract.organisation = fmt::format("organisation-{}", at);
        body.contract.key_sha256 = {std::string(64, 'a')};
        (void)made.apply({at + 1, 1}, state::command{{}, {}, body});
    }
    return {index, 2, lab_set(),
            std::make_shared<const std::string>(made.encode_snapshot())};
}

void print(std::string_view way, std::size_t missed, const lab_cost& cost)
{
    print_line("log_recover",
               "way={} missed={} messages={} bytes={} virtual_ms={:.1f} "
               "caught_up={}",
               way, missed, cost.messages, cost.bytes,
               static_cast<double>(cost.time.count()) / 1e6, cost.caught_up);
}

void by_log(std::size_t missed)
{
    replica_lab<coordination::term_history> lab;
    print("log", missed,
          lab.run(lab_log(1, {{2, base_records + missed}}, payload_bytes),
                  lab_log(3, {{2, base_records}}, payload_bytes),
                  std::chrono::minutes{10}));
}

/// The leader has cut its log behind a snapshot, but for the last records.
void by_snapshot(std::size_t missed)
{
    auto leader = lab_log(1, {{2, base_records + missed}}, payload_bytes);
    const auto kept = std::min<std::size_t>(missed / 2, 1'000);
    const auto index = base_records + missed - kept + 1;
    leader.records.erase(leader.records.begin(),
                         leader.records.begin() +
                             static_cast<std::ptrdiff_t>(index - 1));
    leader.snap = snapshot_at(index);
    replica_lab<coordination::term_history> lab;
    print("snapshot", missed,
          lab.run(leader, lab_log(3, {{2, base_records}}, payload_bytes),
                  std::chrono::minutes{10}));
}

int run(const bench_arguments& arguments)
{
    for (const std::size_t missed : {100, 1'000, 100'000})
    {
        if (arguments.quick && missed > 10'000)
        {
            continue;
        }
        by_log(missed);
        by_snapshot(missed);
    }
    return 0;
}

const bench_registration registered{
    "log_recover", "catching up a replica by log and by snapshot", run};

} // namespace

} // namespace hyssopdeal::bench
