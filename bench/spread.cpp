/// @file
/// `spread`: time until a committed change is in force everywhere, and bytes
/// and processor time of each node, by the number of nodes.

#include "bench.hpp"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <functional>
#include <map>
#include <queue>
#include <random>

#include <hyssopdeal/coordination/learner.hpp>
#include <hyssopdeal/state/control_state.hpp>

namespace hyssopdeal::bench
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::nanoseconds;

constexpr std::size_t domains = 7;
constexpr std::size_t replicas = 5;
constexpr std::size_t organisations = 200;
constexpr std::size_t services = 20;
constexpr std::size_t servers_of_service = 360;
constexpr double changes_a_day = 23'000;
constexpr std::size_t frame_bytes = 100; // envelope, TCP and IP heads
constexpr nanoseconds tick_step = 20ms;

/// One entry in virtual time.
struct entry_node
{
    std::string name;
    std::string domain;
    coordination::learner follow;
    coordination::declaration_source relay;
    std::vector<std::string> sources;
    std::uint64_t bytes = 0; ///< Sent and received.
};

/// Entries and replicas with links of fixed delays.
class spread_lab
{
public:
    spread_lab(std::size_t entries, std::uint64_t seed)
        : random_(seed)
    {
        fill_state();
        for (std::size_t at = 0; at < replicas; ++at)
        {
            sources_.emplace(replica_name(at),
                             coordination::declaration_source{{}});
            replica_bytes_[replica_name(at)] = 0;
        }
        for (std::size_t at = 0; at < entries; ++at)
        {
            const auto name = fmt::format("entry-{}", at);
            entries_.emplace(name,
                             entry_node{name,
                                        fmt::format("domain-{}", at % domains),
                                        coordination::learner{name, {}, time()},
                                        coordination::declaration_source{{}},
                                        {},
                                        0});
        }
        choose();
        for (auto& [name, entry] : entries_)
        {
            const nanoseconds offset{
                static_cast<std::int64_t>(random_() % tick_step.count())};
            after(offset, [this, &entry = entry] { tick(entry); });
        }
        replica_tick();
    }

    void run_for(nanoseconds duration)
    {
        const auto end = now_ + duration;
        while (!queue_.empty() && queue_.top().at <= end)
        {
            auto item = queue_.top();
            queue_.pop();
            now_ = item.at;
            item.run();
        }
        now_ = end;
    }

    /// Changes one contract on every replica at once.
    void change()
    {
        state::put_contract body;
        body.contract = contract(random_() % organisations);
        body.contract.requests_per_second =
            static_cast<double>(random_() % 10'000);
        body.expected =
            state_.tables().contracts.at(body.contract.organisation).changed;
        (void)state_.apply({state_.applied_index() + 1, 1},
                           state::command{{}, {}, body});
        waiting_.push_back({state_.applied_index(), now_, entries_.size()});
        push();
    }

    void reset_bytes()
    {
        for (auto& [name, entry] : entries_)
        {
            entry.bytes = 0;
        }
        for (auto& [name, bytes] : replica_bytes_)
        {
            bytes = 0;
        }
        spreads_ms.clear();
    }

    [[nodiscard]] std::uint64_t entry_bytes(bool worst) const
    {
        std::uint64_t sum = 0;
        std::uint64_t most = 0;
        for (const auto& [name, entry] : entries_)
        {
            sum += entry.bytes;
            most = std::max(most, entry.bytes);
        }
        return worst ? most : sum / entries_.size();
    }

    [[nodiscard]] std::uint64_t worst_replica_bytes() const
    {
        std::uint64_t most = 0;
        for (const auto& [name, bytes] : replica_bytes_)
        {
            most = std::max(most, bytes);
        }
        return most;
    }

    [[nodiscard]] std::size_t open_changes() const
    {
        return waiting_.size();
    }

    std::vector<double> spreads_ms; ///< Until the last entry had a change.

private:
    struct queued
    {
        nanoseconds at{};
        std::uint64_t order = 0;
        std::function<void()> run;

        bool operator<(const queued& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    struct open_change
    {
        state::log_index index = 0;
        nanoseconds made{};
        std::size_t missing = 0;
    };

    static std::string replica_name(std::size_t at)
    {
        return fmt::format("control-{}", at);
    }

    static protocol::organisation_contract contract(std::size_t at)
    {
        protocol::organisation_contract made;
        made.organisation = fmt::format("organisation-{}", at);
        made.key_sha256 = {std::string(64, 'a')};
        return made;
    }

    void fill_state()
    {
        state::log_index index = 0;
        for (std::size_t at = 0; at < organisations; ++at)
        {
            state::put_contract body;
            body.contract = contract(at);
            (void)state_.apply({++index, 1}, state::command{{}, {}, body});
        }
        for (std::size_t at = 0; at < services; ++at)
        {
            state::put_service body;
            body.service.name = fmt::format("service-{}", at);
            for (std::size_t of = 0; of < servers_of_service; ++of)
            {
                protocol::backend_server server;
                server.name = fmt::format("server-{}-{}", at, of);
                server.address = "10.0.0.1:8000";
                server.failure_domain = fmt::format("domain-{}", of % domains);
                server.version = "v1";
                body.service.servers.push_back(server);
            }
            (void)state_.apply({++index, 1}, state::command{{}, {}, body});
        }
    }

    [[nodiscard]] transport::monotonic_time time() const
    {
        return transport::monotonic_time{1h + now_};
    }

    void after(nanoseconds delay, std::function<void()> run)
    {
        queue_.push({now_ + delay, ++order_, std::move(run)});
    }

    [[nodiscard]] nanoseconds delay()
    {
        return 1'500us + nanoseconds{random_() % 500'000};
    }

    void choose()
    {
        std::vector<coordination::source_candidate> all;
        for (const auto& [name, source] : sources_)
        {
            all.push_back({name, "", true});
        }
        for (const auto& [name, entry] : entries_)
        {
            all.push_back({name, entry.domain, false});
        }
        for (auto& [name, entry] : entries_)
        {
            entry.sources =
                coordination::choose_sources({}, name, entry.domain, all);
        }
    }

    void count(const std::string& name, std::size_t size)
    {
        const auto found = entries_.find(name);
        auto& bytes = found == entries_.end() ? replica_bytes_[name]
                                              : found->second.bytes;
        bytes += size + frame_bytes;
    }

    void carried(const std::string& from, const std::string& to,
                 std::size_t size)
    {
        count(from, size);
        count(to, size);
    }

    void tick(entry_node& entry)
    {
        act(entry,
            entry.follow.tick(time(), {entry.sources, state_.applied_index()}));
        relay(entry);
        after(tick_step, [this, &entry] { tick(entry); });
    }

    void replica_tick()
    {
        push();
        after(tick_step, [this] { replica_tick(); });
    }

    void push()
    {
        for (auto& [name, source] : sources_)
        {
            send(name, source.push(time(), state_.tables()));
        }
    }

    void relay(entry_node& entry)
    {
        send(entry.name, entry.relay.push(time(), entry.follow.declarations()));
    }

    void send(const std::string& from,
              const std::vector<coordination::follow_push>& pushes)
    {
        for (const auto& item : pushes)
        {
            const auto bytes = encode(item.update);
            carried(from, item.to, bytes.size());
            after(delay(), [this, to = item.to, bytes] {
                auto& entry = entries_.at(to);
                act(entry,
                    entry.follow.pushed(
                        time(), *coordination::decode_follow_update(bytes)));
            });
        }
    }

    void act(entry_node& entry, const coordination::learner_actions& actions)
    {
        if (actions.pull)
        {
            pull(entry, *actions.pull);
        }
        if (actions.publish)
        {
            published(entry);
            relay(entry);
        }
    }

    void pull(entry_node& entry, const coordination::learner_pull& asked)
    {
        carried(entry.name, asked.to, encode(asked.request).size());
        after(delay(), [this, &entry, asked] {
            const auto near = entries_.find(asked.to);
            const auto update =
                near == entries_.end()
                    ? sources_.at(asked.to).answer(time(), state_.tables(),
                                                   asked.request)
                    : near->second.relay.answer(
                          time(), near->second.follow.declarations(),
                          asked.request);
            carried(asked.to, entry.name, encode(update).size());
            after(delay(), [this, &entry, update, from = asked.to] {
                act(entry, entry.follow.answered(time(), from, update));
            });
        });
    }

    void published(const entry_node& entry)
    {
        const auto applied = entry.follow.declarations().applied;
        auto& had = had_[entry.name];
        for (auto& item : waiting_)
        {
            item.missing -= item.index > had && item.index <= applied ? 1 : 0;
            if (item.missing == 0)
            {
                const std::chrono::duration<double, std::milli> took =
                    now_ - item.made;
                spreads_ms.push_back(took.count());
            }
        }
        had = applied;
        std::erase_if(waiting_,
                      [](const auto& item) { return item.missing == 0; });
    }

    std::mt19937_64 random_;
    nanoseconds now_{};
    std::priority_queue<queued> queue_;
    std::uint64_t order_ = 0;
    state::control_state state_;
    std::map<std::string, coordination::declaration_source> sources_;
    std::map<std::string, std::uint64_t> replica_bytes_;
    std::map<std::string, entry_node> entries_;
    std::map<std::string, state::log_index> had_;
    std::vector<open_change> waiting_;
};

double at_part(std::vector<double> values, double part)
{
    if (values.empty())
    {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(
        part * static_cast<double>(values.size() - 1))];
}

void print(std::string_view load, std::size_t nodes, const spread_lab& lab,
           double seconds, double cpu_seconds)
{
    print_line(
        "spread",
        "load={} nodes={} changes={} open={} p50_ms={:.1f} max_ms={:.1f} "
        "mean_B_per_s={:.0f} worst_entry_B_per_s={:.0f} "
        "worst_replica_B_per_s={:.0f} mean_core_percent={:.3f}",
        load, nodes, lab.spreads_ms.size(), lab.open_changes(),
        at_part(lab.spreads_ms, 0.5), at_part(lab.spreads_ms, 1),
        static_cast<double>(lab.entry_bytes(false)) / seconds,
        static_cast<double>(lab.entry_bytes(true)) / seconds,
        static_cast<double>(lab.worst_replica_bytes()) / seconds,
        100 * cpu_seconds / seconds / static_cast<double>(nodes));
}

double cpu_now()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

void run_nodes(std::size_t nodes, const bench_arguments& arguments)
{
    spread_lab lab{nodes, arguments.seed};
    lab.run_for(5s);
    lab.reset_bytes();
    const int steady = arguments.quick ? 10 : 30;
    auto cpu = cpu_now();
    double due = 0;
    for (int second = 0; second < steady; ++second)
    {
        due += changes_a_day / 86'400;
        while (due >= 1)
        {
            due -= 1;
            lab.change();
        }
        lab.run_for(1s);
    }
    print("23000_a_day", nodes, lab, steady, cpu_now() - cpu);
    lab.reset_bytes();
    cpu = cpu_now();
    for (int at = 0; at < 200; ++at)
    {
        lab.change();
        lab.run_for(5ms);
    }
    lab.run_for(4s);
    print("burst_200_in_1s", nodes, lab, 5, cpu_now() - cpu);
}

int run(const bench_arguments& arguments)
{
    for (const std::size_t nodes : {9, 100, 500, 2'000})
    {
        if (!arguments.quick || nodes <= 500)
        {
            run_nodes(nodes, arguments);
        }
    }
    return 0;
}

const bench_registration registered{
    "spread", "time until in force everywhere, and its cost", run};

} // namespace

} // namespace hyssopdeal::bench
