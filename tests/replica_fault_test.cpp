/// @file
/// Thousands of seeded schedules of faults over 3 and 5 control replicas.
///
/// Checked: every answer agrees with one order of all commands that respects
/// real time, nothing acknowledged is lost, no index goes back, one leader for
/// each term, one dispatch for each key, and "not run" truly did not run.

#include <cstdlib>

#include <CppUTest/TestHarness.h>

#include "replica_harness.hpp"

using namespace hyssopdeal;
using namespace hyssopdeal::tests;

namespace
{

// [clients] ------------------------------------------------------------------

/// One order of a client, resent until its fate is known.
struct client_order
{
    state::command command;
    state::log_index floor = 0; ///< When it was first sent.
    int attempts = 0;
    bool all_not_run = true;
    std::optional<state::command_result> answer;
    std::function<void(const state::command_result&)> done;
};

/// Clients that write contracts, read them and dispatch calls.
class clients
{
public:
    explicit clients(replica_harness& cluster)
        : cluster_(cluster)
    {}

    void start(int count)
    {
        for (int client = 0; client < count; ++client)
        {
            next(client);
        }
    }

    bool stopped = false;
    std::uint64_t acknowledged = 0;
    std::map<std::string, int> dispatches; ///< By key.
    std::set<std::string> never; ///< Order ids that were told "not run".
    std::set<std::uint64_t> never_nonces;

    void check_not_run() const
    {
        for (const auto& [index, item] : cluster_.committed)
        {
            const auto* claim =
                std::get_if<state::claim_key>(&item.command.body);
            if (never.contains(item.command.order_id) ||
                (claim != nullptr && never_nonces.contains(claim->nonce)))
            {
                cluster_.fault(
                    fmt::format("record {} was told not run", index));
            }
        }
        for (const auto& [key, count] : dispatches)
        {
            if (count > 1)
            {
                cluster_.fault("key " + key + " was dispatched twice");
            }
        }
    }

private:
    void next(int client)
    {
        const milliseconds wait{5 + cluster_.random() % 60};
        cluster_.after(wait, [this, client] {
            if (stopped)
            {
                return;
            }
            const auto kind = cluster_.random() % 10;
            if (kind < 3)
            {
                read();
            }
            else if (kind < 6)
            {
                write();
            }
            else
            {
                claim(client);
            }
            next(client);
        });
    }

    /// A process that runs, the leader more often than not.
    std::uint64_t pick()
    {
        std::vector<std::uint64_t> running;
        for (const auto& [id, node] : cluster_.nodes)
        {
            if (node.machine && node.paused_until <= cluster_.now)
            {
                running.push_back(id);
            }
        }
        if (running.empty())
        {
            return 0;
        }
        const auto leader = cluster_.reader();
        return leader != 0 && cluster_.chance() < 0.8
                   ? leader
                   : running[cluster_.random() % running.size()];
    }

    void read()
    {
        const auto id = pick();
        if (id == 0 || !cluster_.may_read(cluster_.nodes.at(id)))
        {
            return;
        }
        const auto& state = cluster_.nodes.at(id).machine->state();
        if (state.applied_index() < cluster_.floor)
        {
            cluster_.fault(fmt::format("read at {} after answer {}",
                                       state.applied_index(), cluster_.floor));
        }
        cluster_.floor = std::max(cluster_.floor, state.applied_index());
        for (const auto& [name, record] : state.tables().contracts)
        {
            seen_[name] = record.changed;
        }
    }

    void write()
    {
        state::put_contract body;
        const auto name = fmt::format("org-{}", cluster_.random() % 3);
        body.contract.organisation = name;
        body.contract.requests_per_second =
            static_cast<double>(cluster_.random() % 1'000);
        body.expected = seen_[name];
        auto order = std::make_shared<client_order>();
        order->command = {{}, fmt::format("order-{}", ++orders_), body};
        order->done = [this, name](const state::command_result& answer) {
            const auto& result = std::get<state::write_result>(answer.body);
            seen_[name] = result.now;
        };
        send(order);
    }

    void claim(int client)
    {
        state::claim_key body;
        body.organisation = "org-0";
        body.key = fmt::format("key-{}", cluster_.random() % 12);
        body.request_digest = "same";
        body.claimant = fmt::format("entry-{}", client);
        body.nonce = ++orders_;
        auto order = std::make_shared<client_order>();
        order->command = {{}, {}, body};
        const auto sent = cluster_.now;
        order->done = [this, sent](const state::command_result& answer) {
            const auto& result = std::get<state::claim_result>(answer.body);
            if (result.status == state::claim_status::granted)
            {
                dispatch(result.claim, sent);
            }
        };
        send(order);
    }

    void dispatch(const state::claim_record& claim, nanoseconds sent)
    {
        auto order = std::make_shared<client_order>();
        const bool late = cluster_.now - sent > 5s;
        if (late || cluster_.chance() < 0.3)
        {
            order->command = {{},
                              {},
                              state::release_claim{claim.organisation,
                                                   claim.key, claim.number}};
            return send(order);
        }
        ++dispatches[claim.key];
        if (cluster_.chance() < 0.3)
        {
            return; // the claimant dies
        }
        order->command = {{},
                          {},
                          state::record_outcome{claim.organisation,
                                                claim.key,
                                                claim.number,
                                                {200, {}, "done", false}}};
        send(order);
    }

    void send(const std::shared_ptr<client_order>& order)
    {
        const auto id = pick();
        if (id == 0)
        {
            return retry(order);
        }
        if (++order->attempts == 1)
        {
            order->floor = cluster_.floor;
        }
        cluster_.propose(id, order->command, [=, this](auto result) {
            const bool lost = cluster_.chance() < 0.05;
            if (result && !lost)
            {
                return answered(order, *result);
            }
            const bool not_run =
                !result && result.error().ran == transport::verdict::not_run;
            order->all_not_run = order->all_not_run && not_run;
            retry(order);
        });
    }

    void retry(const std::shared_ptr<client_order>& order)
    {
        if (stopped || order->attempts >= 8)
        {
            return give_up(*order);
        }
        cluster_.after(milliseconds{20 + cluster_.random() % 200},
                       [=, this] { send(order); });
    }

    void give_up(const client_order& order)
    {
        if (!order.all_not_run)
        {
            return;
        }
        const auto* claim = std::get_if<state::claim_key>(&order.command.body);
        if (claim != nullptr)
        {
            never_nonces.insert(claim->nonce);
        }
        else if (!order.command.order_id.empty())
        {
            never.insert(order.command.order_id);
        }
    }

    void answered(const std::shared_ptr<client_order>& order,
                  const state::command_result& answer)
    {
        ++acknowledged;
        if (answer.index <= order->floor)
        {
            cluster_.fault(fmt::format("write at {} after answer {}",
                                       answer.index, order->floor));
        }
        cluster_.floor = std::max(cluster_.floor, answer.index);
        const auto held = cluster_.committed.find(answer.index);
        if (held == cluster_.committed.end() ||
            !(held->second.result == answer))
        {
            cluster_.fault(
                fmt::format("answer of {} is not its record's", answer.index));
        }
        if (order->done)
        {
            order->done(answer);
        }
    }

    replica_harness& cluster_;
    std::map<std::string, state::revision> seen_;
    std::uint64_t orders_ = 0;
};

// [faults] -------------------------------------------------------------------

/// Brings faults and repairs them, one after another or two at once.
class trouble
{
public:
    trouble(replica_harness& cluster)
        : cluster_(cluster)
    {
        for (const auto& [id, node] : cluster_.nodes)
        {
            live.insert(id);
        }
    }

    std::set<std::uint64_t> live; ///< Not replaced.
    bool fills_disks = false;

    void bring()
    {
        const auto id = any();
        if (fills_disks && cluster_.random() % 2 == 0)
        {
            return fill_disk(cluster_.random() % 2 == 0 ? leader_or(id) : id);
        }
        switch (cluster_.random() % 12)
        {
        case 0:
            cluster_.crash(id);
            return repair([=, this] { restart(id); });
        case 1:
        case 2:
            return break_disk(id);
        case 3:
            return cut_one_way(id, any());
        case 4:
            return cut_off(id);
        case 5:
            cluster_.nodes.at(id).paused_until =
                cluster_.now + milliseconds{200 + cluster_.random() % 2'500};
            return;
        case 6:
            cluster_.nodes.at(id).wall_shift =
                milliseconds{cluster_.random() % 7'200'000} - 3'600s;
            return;
        case 7:
            return lose_disk(id);
        case 8:
        case 9:
            return lose_power();
        case 10:
            return cut_off(leader_or(id));
        default:
            return split();
        }
    }

    void end()
    {
        ended_ = true;
        cluster_.blocked.clear();
        for (const auto id : live)
        {
            auto& node = cluster_.nodes.at(id);
            node.paused_until = {};
            node.disk->fault = disk_fault::none;
            node.disk->full = false;
            node.disk->capacity = std::numeric_limits<std::size_t>::max();
            restart(id);
        }
    }

private:
    std::uint64_t any()
    {
        auto at = live.begin();
        std::advance(
            at, static_cast<std::ptrdiff_t>(cluster_.random() % live.size()));
        return *at;
    }

    void repair(const std::function<void()>& run)
    {
        const milliseconds wait{100 + cluster_.random() % 2'500};
        cluster_.after(wait, [=, this] {
            if (!ended_)
            {
                run();
            }
        });
    }

    std::uint64_t leader_or(std::uint64_t other) const
    {
        const auto leader = cluster_.reader();
        return leader == 0 ? other : leader;
    }

    /// All but one die at the same time.
    void lose_power()
    {
        const auto spared = any();
        for (const auto id : std::set<std::uint64_t>{live})
        {
            if (id != spared)
            {
                cluster_.crash(id);
                repair([=, this] { restart(id); });
            }
        }
    }

    void restart(std::uint64_t id)
    {
        const auto found = cluster_.nodes.find(id);
        if (found == cluster_.nodes.end() || !live.contains(id))
        {
            return;
        }
        auto& node = found->second;
        const bool silent =
            node.machine &&
            node.machine->status(cluster_.clock_of(node)).halted;
        if (silent)
        {
            cluster_.crash(id);
        }
        node.disk->fault = disk_fault::none;
        cluster_.start(id);
    }

    /// The process dies, or the disk fails, at one of its next operations.
    void break_disk(std::uint64_t id)
    {
        auto& disk = *cluster_.nodes.at(id).disk;
        disk.fault_at = disk.operations + 1 + cluster_.random() % 12;
        const disk_fault kinds[] = {disk_fault::crash_before,
                                    disk_fault::crash_after, disk_fault::error,
                                    disk_fault::torn_write};
        disk.fault = kinds[cluster_.random() % 4];
        repair([=, this] { restart(id); });
    }

    /// No room at all, or only for small writes.
    void fill_disk(std::uint64_t id)
    {
        const auto disk = cluster_.nodes.at(id).disk;
        disk->full = cluster_.random() % 2 == 0;
        disk->capacity = disk->used() + cluster_.random() % 400;
        repair([=] {
            disk->full = false;
            disk->capacity = std::numeric_limits<std::size_t>::max();
        });
    }

    void block(std::uint64_t from, std::uint64_t to)
    {
        cluster_.blocked.insert({from, to});
        repair([=, this] { cluster_.blocked.erase({from, to}); });
    }

    void cut_one_way(std::uint64_t from, std::uint64_t to)
    {
        block(from, to);
    }

    void cut_off(std::uint64_t id)
    {
        for (const auto& [other, node] : cluster_.nodes)
        {
            block(id, other);
            block(other, id);
        }
    }

    void split()
    {
        for (const auto& [a, node_a] : cluster_.nodes)
        {
            for (const auto& [b, node_b] : cluster_.nodes)
            {
                if (a % 2 != b % 2)
                {
                    block(a, b);
                }
            }
        }
    }

    /// The disk is gone: the replica comes back empty, under a new id.
    void lose_disk(std::uint64_t id)
    {
        if (replacing_)
        {
            return;
        }
        replacing_ = true;
        cluster_.crash(id);
        live.erase(id);
        cluster_.nodes.erase(id);
        const auto fresh = next_id_++;
        cluster_.add_node(fresh, coordination::join_request(fresh));
        live.insert(fresh);
        using coordination::replica_change;
        change(replica_change::remove, id, [=, this] {
            change(replica_change::add_learner, fresh, [=, this] {
                change(replica_change::promote, fresh,
                       [this] { replacing_ = false; });
            });
        });
    }

    /// Asks until the change is made.
    void change(coordination::replica_change kind, std::uint64_t id,
                const std::function<void()>& done)
    {
        const auto again = [=, this] {
            cluster_.after(100ms, [=, this] { change(kind, id, done); });
        };
        const auto leader = cluster_.reader();
        if (leader == 0)
        {
            return again();
        }
        if (made(kind, id, leader))
        {
            return done();
        }
        cluster_.change(
            leader, kind,
            replica_harness::member(id, state::replica_role::learner),
            [=](auto) { again(); });
    }

    bool made(coordination::replica_change kind, std::uint64_t id,
              std::uint64_t leader)
    {
        const auto& set =
            cluster_.nodes.at(leader).machine->state().tables().replicas;
        for (const auto& member : set.members)
        {
            if (member.id == id)
            {
                return kind == coordination::replica_change::add_learner ||
                       (kind == coordination::replica_change::promote &&
                        member.role == state::replica_role::voter);
            }
        }
        return kind == coordination::replica_change::remove;
    }

    replica_harness& cluster_;
    bool ended_ = false;
    bool replacing_ = false;
    std::uint64_t next_id_ = 100;
};

// [schedules] ----------------------------------------------------------------

struct schedule_result
{
    std::uint64_t acknowledged = 0;
    std::vector<std::string> faults;
};

/// What a schedule draws from.
enum class fault_kinds
{
    all_but_full_disks,
    all
};

schedule_result run_schedule(std::uint64_t seed, std::uint64_t voters,
                             fault_kinds kinds)
{
    replica_harness cluster{seed, voters};
    const std::uint64_t disks[] = {8, 60, 300};
    cluster.slowest_disk = disks[cluster.random() % 3];
    clients callers{cluster};
    trouble faults{cluster};
    if (kinds == fault_kinds::all)
    {
        faults.fills_disks = true;
        cluster.settings.snapshot_bytes = 3'000;
        cluster.settings.replica.kept_bytes = 2'000;
        cluster.settings.replica.max_unpersisted_bytes = 10'000;
        cluster.storage_settings.segment_bytes = 1'000;
    }
    cluster.run_for(1'500ms);
    callers.start(4);
    const auto count = 2 + cluster.random() % 9;
    for (std::uint64_t at = 0; at < count; ++at)
    {
        cluster.after(milliseconds{cluster.random() % 5'000},
                      [&] { faults.bring(); });
    }
    cluster.run_for(6s);
    faults.end();
    cluster.loss = 0;
    cluster.run_for(8s);
    callers.stopped = true;
    cluster.run_for(4s);
    if (cluster.reader() == 0)
    {
        cluster.fault("no leader after the faults have ended");
    }
    cluster.check_converged(faults.live);
    cluster.check_replay();
    callers.check_not_run();
    return {callers.acknowledged, cluster.faults};
}

std::uint64_t schedules()
{
    const char* asked = std::getenv("HYSSOPDEAL_SCHEDULES");
    return asked == nullptr ? 150 : std::strtoull(asked, nullptr, 10);
}

void run_schedules(std::uint64_t first_seed, std::uint64_t voters,
                   fault_kinds kinds = fault_kinds::all_but_full_disks)
{
    std::uint64_t acknowledged = 0;
    for (std::uint64_t at = 0; at < schedules(); ++at)
    {
        const auto result = run_schedule(first_seed + at, voters, kinds);
        acknowledged += result.acknowledged;
        if (!result.faults.empty())
        {
            FAIL(fmt::format("seed {}, {} replicas: {} faults, first: {}",
                             first_seed + at, voters, result.faults.size(),
                             result.faults.front())
                     .c_str());
        }
    }
    CHECK(acknowledged > schedules() * 50);
}

} // namespace

TEST_GROUP(replica_fault_tests){};

TEST(replica_fault_tests, three_replicas_keep_their_promises)
{
    run_schedules(1'000, 3);
}

TEST(replica_fault_tests, five_replicas_keep_their_promises)
{
    run_schedules(500'000, 5);
}

TEST(replica_fault_tests, three_replicas_with_full_disks_keep_their_promises)
{
    run_schedules(700'000, 3, fault_kinds::all);
}

TEST(replica_fault_tests, five_replicas_with_full_disks_keep_their_promises)
{
    run_schedules(800'000, 5, fault_kinds::all);
}
