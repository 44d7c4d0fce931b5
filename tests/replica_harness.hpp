#ifndef HYSSOPDEAL_TESTS_REPLICA_HARNESS_HPP
#define HYSSOPDEAL_TESTS_REPLICA_HARNESS_HPP

/// @file
/// Control replicas in one process: virtual time, messages in a queue, disks
/// that lose what was not synced, and the checks that hold through all faults.
///
/// Index: [harness_node] [replica_harness] [checks]

#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <fmt/format.h>

#include <hyssopdeal/coordination/control_machine.hpp>
#include <hyssopdeal/state/log_storage.hpp>

#include "faulty_files.hpp"

namespace hyssopdeal::tests
{

using namespace std::chrono_literals;
using coordination::control_machine;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// [harness_node] -------------------------------------------------------------

/// One replica's process with its disk and clocks.
struct harness_node
{
    std::uint64_t id = 0;
    std::shared_ptr<faulty_disk> disk = std::make_shared<faulty_disk>();
    std::optional<state::log_storage<faulty_files>> storage;
    std::optional<control_machine> machine;
    std::uint64_t life = 0;     ///< Grows with each crash.
    nanoseconds paused_until{}; ///< Of the virtual time.
    nanoseconds clock_offset{};
    double clock_rate = 1;
    milliseconds wall_shift{};
    state::log_index applied_in_life = 0;
};

// [replica_harness] ----------------------------------------------------------

/// All replicas, the network and the record of what was answered.
class replica_harness
{
public:
    using propose_callback =
        std::function<void(transport::result<state::command_result>)>;

    coordination::control_machine_settings settings;
    state::log_storage_settings storage_settings;
    std::mt19937_64 random;
    nanoseconds now{1h};
    std::map<std::uint64_t, harness_node> nodes;
    std::set<std::pair<std::uint64_t, std::uint64_t>> blocked; // from, to
    double loss = 0.02;
    double duplication = 0.02;
    milliseconds least_delay{1};
    milliseconds most_delay{12};
    std::uint64_t slowest_disk = 8; ///< Milliseconds for a batch.
    std::uint64_t messages = 0;
    std::vector<std::string> faults; ///< Violations found.

    replica_harness(std::uint64_t seed, std::uint64_t voters)
        : random(seed)
    {
        settings.snapshot_records = 60;
        settings.replica.kept_records = 20;
        settings.replica.snapshot_chunk_bytes = 2'000;
        settings.propose_time_limit = 2'000ms;
        state::replica_set set;
        for (std::uint64_t id = 1; id <= voters; ++id)
        {
            set.members.push_back(member(id, state::replica_role::voter));
        }
        set.next_id = voters + 1;
        for (std::uint64_t id = 1; id <= voters; ++id)
        {
            add_node(id, coordination::bootstrap_request(id, set));
        }
    }

    static state::replica_member member(std::uint64_t id,
                                        state::replica_role role)
    {
        return {id, fmt::format("c{}", id), "", "", "", role};
    }

    /// Makes a process with an empty disk and starts it.
    void add_node(std::uint64_t id, const state::persist_request& first)
    {
        auto& node = nodes[id];
        node.id = id;
        node.clock_offset = milliseconds{random() % 100'000};
        node.clock_rate = 0.97 + 0.06 * chance();
        state::log_storage<faulty_files> storage{faulty_files{node.disk}};
        if (!storage.open() || !storage.write(first))
        {
            fault("a new disk could not be written");
        }
        start(id);
        tick(id);
    }

    [[nodiscard]] double chance()
    {
        return std::uniform_real_distribution<double>{0, 1}(random);
    }

    // Time -------------------------------------------------------------------

    void after(nanoseconds delay, std::function<void()> run)
    {
        queue_.push({now + delay, ++sequence_, std::move(run)});
    }

    void run_for(nanoseconds duration)
    {
        const auto end = now + duration;
        while (!queue_.empty() && queue_.top().at <= end)
        {
            auto item = queue_.top();
            queue_.pop();
            now = item.at;
            item.run();
        }
        now = end;
    }

    [[nodiscard]] transport::monotonic_time
    clock_of(const harness_node& node) const
    {
        const auto elapsed = static_cast<double>(now.count());
        return transport::monotonic_time{
            node.clock_offset +
            nanoseconds{static_cast<std::int64_t>(elapsed * node.clock_rate)}};
    }

    [[nodiscard]] transport::wall_time wall_of(const harness_node& node) const
    {
        return transport::wall_time{
            std::chrono::duration_cast<milliseconds>(now) +
            milliseconds{1'700'000'000'000} + node.wall_shift};
    }

    // Processes --------------------------------------------------------------

    void start(std::uint64_t id)
    {
        auto& node = nodes.at(id);
        if (node.machine)
        {
            return;
        }
        node.storage.emplace(faulty_files{node.disk}, storage_settings);
        auto recovered = node.storage->open();
        if (!recovered)
        {
            return fault("recovery: " + recovered.error().text);
        }
        auto made = control_machine::make(settings, std::move(*recovered),
                                          random(), clock_of(node));
        if (!made)
        {
            return fault("start: " + made.error().text);
        }
        node.machine.emplace(std::move(*made));
        node.applied_in_life = node.machine->state().applied_index();
    }

    void crash(std::uint64_t id)
    {
        auto& node = nodes.at(id);
        if (!node.machine)
        {
            return;
        }
        node.machine.reset();
        node.storage.reset();
        ++node.life;
        node.disk->crash(random);
        auto waiting = std::move(waiting_[id]);
        waiting_[id].clear();
        for (auto& [number, callback] : waiting)
        {
            callback(transport::fail(transport::reason::connection_lost, "",
                                     transport::verdict::may_have_run));
        }
    }

    /// Runs something on a process unless it died; later when it is paused.
    void on_node(std::uint64_t id, std::uint64_t life,
                 const std::function<void(harness_node&)>& run)
    {
        const auto found = nodes.find(id);
        if (found == nodes.end() || !found->second.machine ||
            found->second.life != life)
        {
            return;
        }
        auto& node = found->second;
        if (node.paused_until > now)
        {
            return after(node.paused_until - now,
                         [=, this] { on_node(id, life, run); });
        }
        run(node);
    }

    void step(harness_node& node, coordination::replica_event event)
    {
        take(node, node.machine->step(clock_of(node), wall_of(node),
                                      std::move(event)));
    }

    void propose(std::uint64_t id, state::command command,
                 propose_callback callback)
    {
        auto& node = nodes.at(id);
        const auto number = ++sequence_;
        waiting_[id][number] = std::move(callback);
        take(node, node.machine->propose(clock_of(node), wall_of(node), number,
                                         std::move(command)));
    }

    void change(std::uint64_t id, coordination::replica_change kind,
                const state::replica_member& who, propose_callback callback)
    {
        auto& node = nodes.at(id);
        const auto number = ++sequence_;
        waiting_[id][number] = std::move(callback);
        step(node, coordination::change_event{number, kind, who});
    }

    /// @return A running replica that may answer reads; 0: none.
    [[nodiscard]] std::uint64_t reader() const
    {
        for (const auto& [id, node] : nodes)
        {
            if (may_read(node))
            {
                return id;
            }
        }
        return 0;
    }

    [[nodiscard]] bool may_read(const harness_node& node) const
    {
        return node.machine && node.paused_until <= now &&
               node.machine->may_read(clock_of(node));
    }

    // [checks] ---------------------------------------------------------------

    /// What each index holds, from whoever applied it first.
    std::map<state::log_index, coordination::committed_command> committed;
    std::map<state::term_number, std::uint64_t> leaders;
    state::log_index floor = 0; ///< Highest index that anybody was told.

    void fault(std::string text)
    {
        faults.push_back(fmt::format("{} ms: {}", now / 1ms, text));
    }

    /// Applies all commands again, in order, and compares every result.
    void check_replay()
    {
        state::control_state reference{settings.ledger};
        for (const auto& [index, item] : committed)
        {
            const auto result =
                reference.apply({index, item.term}, item.command);
            if (!(result == item.result))
            {
                fault(fmt::format("result of record {} differs", index));
            }
        }
    }

    /// After healing: all live replicas have the same state.
    void check_converged(const std::set<std::uint64_t>& ids)
    {
        std::optional<std::string> first;
        for (const auto id : ids)
        {
            const auto& node = nodes.at(id);
            if (!node.machine)
            {
                fault(fmt::format("replica {} does not run", id));
                continue;
            }
            auto bytes = node.machine->state().encode_snapshot();
            if (first && *first != bytes)
            {
                fault(fmt::format("replica {} has another state", id));
            }
            first = first ? first : std::move(bytes);
        }
    }

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

    void tick(std::uint64_t id)
    {
        after(20ms, [this, id] {
            const auto found = nodes.find(id);
            if (found == nodes.end())
            {
                return;
            }
            on_node(id, found->second.life, [this](harness_node& node) {
                step(node, coordination::tick_event{});
            });
            tick(id);
        });
    }

    void take(harness_node& node, coordination::machine_actions actions)
    {
        const auto id = node.id;
        const auto life = node.life;
        for (const auto& item : actions.committed)
        {
            note_committed(node, item);
        }
        if (actions.change == coordination::leadership_change::changed)
        {
            note_leader(node);
        }
        if (actions.persist)
        {
            const auto request = std::make_shared<state::persist_request>(
                std::move(*actions.persist));
            after(milliseconds{1 + random() % slowest_disk},
                  [this, id, life, request] {
                      on_node(id, life, [this, request](harness_node& writer) {
                          persist(writer, *request);
                      });
                  });
        }
        for (auto& message : actions.sends)
        {
            deliver(std::move(message));
        }
        for (auto& item : actions.results)
        {
            auto& waiting = waiting_[id];
            const auto found = waiting.find(item.id);
            if (found != waiting.end())
            {
                auto callback = std::move(found->second);
                waiting.erase(found);
                callback(std::move(item.result));
            }
        }
    }

    void persist(harness_node& node, const state::persist_request& request)
    {
        try
        {
            const auto done = node.storage->write(request);
            if (done)
            {
                return step(node,
                            coordination::persisted_event{request.number});
            }
            if (done.error().code == transport::reason::storage_full)
            {
                return step(node,
                            coordination::disk_full_event{request.number});
            }
            step(node, coordination::disk_failed_event{});
        }
        catch (const crashed&)
        {
            crash(node.id);
        }
    }

    void deliver(coordination::replica_message sent)
    {
        const auto message =
            std::make_shared<coordination::replica_message>(std::move(sent));
        ++messages;
        const int copies = chance() < loss ? 0 : chance() < duplication ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy)
        {
            const auto spread = most_delay - least_delay;
            const auto delay =
                least_delay +
                std::chrono::duration_cast<nanoseconds>(spread * chance());
            after(delay, [this, message] {
                const auto to = nodes.find(message->to);
                if (blocked.contains({message->from, message->to}) ||
                    to == nodes.end())
                {
                    return;
                }
                on_node(message->to, to->second.life,
                        [this, message](harness_node& node) {
                            step(node, coordination::message_event{*message});
                        });
            });
        }
    }

    void note_committed(harness_node& node,
                        const coordination::committed_command& item)
    {
        if (item.index <= node.applied_in_life)
        {
            fault(
                fmt::format("replica {} went back to {}", node.id, item.index));
        }
        node.applied_in_life = item.index;
        const auto known = committed.try_emplace(item.index, item);
        const auto& first = known.first->second;
        const bool same = first.term == item.term &&
                          first.result == item.result &&
                          encode(first.command) == encode(item.command);
        if (!same)
        {
            fault(fmt::format("record {} differs on replica {}", item.index,
                              node.id));
        }
    }

    void note_leader(const harness_node& node)
    {
        const auto status = node.machine->status(clock_of(node));
        if (status.leads.role != coordination::leadership_role::leader)
        {
            return;
        }
        const auto known = leaders.try_emplace(status.leads.term, node.id);
        if (known.first->second != node.id)
        {
            fault(fmt::format("two leaders in term {}", status.leads.term));
        }
    }

    std::priority_queue<queued> queue_;
    std::uint64_t sequence_ = 0;
    std::map<std::uint64_t, std::map<std::uint64_t, propose_callback>> waiting_;
};

} // namespace hyssopdeal::tests

#endif
