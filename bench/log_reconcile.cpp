/// @file
/// `log_reconcile`: what each way to reconcile two logs costs.

#include "bench.hpp"
#include "replica_lab.hpp"

namespace hyssopdeal::bench
{

namespace
{

constexpr std::size_t payload_bytes = 200;
constexpr std::chrono::hours longest{2};

struct reconcile_case
{
    std::string name;
    std::vector<lab_run> leader;
    std::vector<lab_run> follower;
};

/// Terms that both hold, then terms that each holds alone.
reconcile_case many_terms(std::size_t shared, std::size_t own,
                          std::size_t records)
{
    reconcile_case made{fmt::format("terms_{}", shared + own), {}, {}};
    for (std::size_t at = 0; at < shared; ++at)
    {
        made.leader.push_back({at + 2, records});
        made.follower.push_back({at + 2, records});
    }
    for (std::size_t at = 0; at < own; ++at)
    {
        const state::term_number term = shared + 2 + 2 * at;
        made.follower.push_back({term, records});
        made.leader.push_back({term + 1, records});
    }
    return made;
}

std::vector<reconcile_case> cases(bool quick)
{
    std::vector<reconcile_case> made{
        {"paper_example", {{1, 1}, {2, 2}, {3, 1}}, {{1, 4}}},
        {"equal", {{2, 1'000}}, {{2, 1'000}}},
        {"lagging_100", {{2, 1'000}}, {{2, 900}}},
        {"lagging_10000", {{2, 11'000}}, {{2, 1'000}}},
        {"diverged_100", {{2, 500}, {4, 100}}, {{2, 500}, {3, 100}}},
        {"diverged_5000", {{2, 500}, {4, 5'000}}, {{2, 500}, {3, 5'000}}},
    };
    made.push_back(many_terms(50, 10, 5));
    made.push_back(many_terms(500, 100, 5));
    if (!quick)
    {
        made.push_back({"lagging_100000", {{2, 101'000}}, {{2, 1'000}}});
        made.push_back(many_terms(2'000, 500, 5));
    }
    return made;
}

template <class Strategy>
void run_case(std::string_view strategy, const reconcile_case& item)
{
    replica_lab<Strategy> lab;
    const auto cost =
        lab.run(lab_log(1, item.leader, payload_bytes),
                lab_log(3, item.follower, payload_bytes), longest);
    print_line("log_reconcile",
               "case={} strategy={} refused_round_trips={} messages={} "
               "hint_bytes={} bytes={} virtual_ms={:.1f} caught_up={}",
               item.name, strategy, cost.refusals, cost.messages,
               cost.hint_bytes, cost.bytes,
               static_cast<double>(cost.time.count()) / 1e6, cost.caught_up);
}

int run(const bench_arguments& arguments)
{
    for (const auto& item : cases(arguments.quick))
    {
        run_case<coordination::term_history>("term_history", item);
        run_case<coordination::term_probing>("term_probing", item);
        run_case<coordination::index_probing>("index_probing", item);
    }
    return 0;
}

const bench_registration registered{"log_reconcile",
                                    "term history against probing back", run};

} // namespace

} // namespace hyssopdeal::bench
