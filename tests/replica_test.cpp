/// @file
/// Tests of coordination/replica.hpp and coordination/control_machine.hpp
/// without faults, or with one chosen fault.

#include <CppUTest/TestHarness.h>

#include "replica_harness.hpp"

using namespace hyssopdeal;
using namespace hyssopdeal::tests;

namespace
{

state::command contract_command(const std::string& name, double rate,
                                state::revision expected)
{
    state::put_contract body;
    body.contract.organisation = name;
    body.contract.requests_per_second = rate;
    body.expected = expected;
    return {{}, {}, body};
}

struct quiet_cluster : replica_harness
{
    explicit quiet_cluster(std::uint64_t voters, std::uint64_t seed = 1)
        : replica_harness(seed, voters)
    {
        loss = 0;
        duplication = 0;
        run_for(3s);
    }

    /// Restarts all replicas with a log that is short in bytes.
    void keep_short_logs()
    {
        settings.snapshot_bytes = 10'000;
        settings.replica.kept_records = 1'000;
        settings.replica.kept_bytes = 20'000;
        settings.replica.max_unpersisted_bytes = 20'000;
        storage_settings.segment_bytes = 5'000;
        restart_all();
    }

    void restart_all()
    {
        for (const auto& [id, node] : nodes)
        {
            crash(id);
            start(id);
        }
        run_for(3s);
    }

    /// Lets all replicas catch up and checks what they hold.
    void check_converges()
    {
        std::set<std::uint64_t> ids;
        for (const auto& [id, node] : nodes)
        {
            ids.insert(id);
        }
        run_for(3s);
        check_converged(ids);
        CHECK_TRUE(faults.empty());
    }

    /// Makes room on a replica's disk again; then writes must be accepted, and
    /// the former leader catch up.
    void check_recovers(faulty_disk& disk, std::uint64_t former_leader)
    {
        disk.capacity = std::numeric_limits<std::size_t>::max();
        CHECK_TRUE(accepts_writes_within(2s));
        start(former_leader);
        check_converges();
    }

    /// Writes a contract whose record has about 1,000 bytes.
    bool write_large(double rate)
    {
        static const std::string name(900, 'n');
        return write(name, rate).has_value();
    }

    /// @return Whether all running replicas follow one leader within a time.
    bool elects_within(milliseconds limit)
    {
        const auto end = now + limit;
        while (now < end)
        {
            run_for(20ms);
            std::set<std::uint64_t> leaders_now;
            for (const auto& [id, node] : nodes)
            {
                if (node.machine)
                {
                    leaders_now.insert(
                        node.machine->status(clock_of(node)).leader_id);
                }
            }
            if (leaders_now.size() == 1 && !leaders_now.contains(0) &&
                nodes.at(*leaders_now.begin()).machine)
            {
                return true;
            }
        }
        return false;
    }

    /// @return Whether a write is accepted within a time.
    bool accepts_writes_within(milliseconds limit)
    {
        const auto end = now + limit;
        double rate = 0;
        while (now < end)
        {
            if (write_large(++rate))
            {
                return true;
            }
            run_for(50ms);
        }
        return false;
    }

    /// Writes through the leader and waits.
    transport::result<state::command_result> write(const std::string& name,
                                                   double rate)
    {
        // The answer may come after this returns.
        const auto answer =
            std::make_shared<transport::result<state::command_result>>(
                transport::fail(transport::reason::timed_out, ""));
        const auto leader = reader();
        if (leader == 0)
        {
            return *answer;
        }
        const auto& contracts =
            nodes.at(leader).machine->state().tables().contracts;
        const auto found = contracts.find(name);
        const auto revision =
            found == contracts.end() ? 0 : found->second.changed;
        propose(leader, contract_command(name, rate, revision),
                [answer](auto result) { *answer = std::move(result); });
        run_for(300ms);
        return *answer;
    }

    transport::result<state::command_result>
    change_set(coordination::replica_change kind, std::uint64_t id)
    {
        transport::result<state::command_result> answer =
            transport::fail(transport::reason::timed_out, "");
        change(reader(), kind, member(id, state::replica_role::learner),
               [&](auto result) { answer = std::move(result); });
        run_for(500ms);
        return answer;
    }

    void cut(std::uint64_t id)
    {
        for (const auto& [other, node] : nodes)
        {
            blocked.insert({id, other});
            blocked.insert({other, id});
        }
    }
};

} // namespace

TEST_GROUP(replica_tests){};

TEST(replica_tests, one_leader_commits_on_all)
{
    quiet_cluster cluster{3};
    CHECK(cluster.reader() != 0);
    for (int round = 0; round < 150; ++round)
    {
        CHECK(cluster.write("pomar", round).has_value());
    }
    cluster.run_for(500ms);
    cluster.check_converged({1, 2, 3});
    cluster.check_replay();
    CHECK(cluster.faults.empty());
}

TEST(replica_tests, single_replica_leads_alone)
{
    quiet_cluster cluster{1};
    CHECK(cluster.write("pomar", 1).has_value());
}

TEST(replica_tests, cut_off_leader_stops_answering_within_its_lease)
{
    quiet_cluster cluster{3};
    const auto old = cluster.reader();
    cluster.cut(old);
    cluster.run_for(cluster.settings.replica.lease + 20ms);
    CHECK_FALSE(cluster.may_read(cluster.nodes.at(old)));
    cluster.run_for(3s);
    const auto next = cluster.reader();
    CHECK(next != 0 && next != old);
    CHECK(cluster.write("pomar", 1).has_value());
    cluster.blocked.clear();
    cluster.run_for(2s);
    cluster.check_converged({1, 2, 3});
    CHECK(cluster.faults.empty());
}

TEST(replica_tests, replica_back_from_a_partition_does_not_disturb_the_leader)
{
    quiet_cluster cluster{3};
    const auto leader = cluster.reader();
    const auto other = leader == 1 ? 2 : 1;
    const auto term = cluster.leaders.rbegin()->first;
    cluster.cut(other);
    cluster.run_for(10s);
    cluster.blocked.clear();
    cluster.run_for(3s);
    LONGS_EQUAL(leader, cluster.reader());
    LONGS_EQUAL(term, cluster.leaders.rbegin()->first);
}

TEST(replica_tests, proposal_without_a_majority_may_have_run)
{
    quiet_cluster cluster{3};
    const auto leader = cluster.reader();
    cluster.cut(leader);
    std::optional<transport::result<state::command_result>> answer;
    cluster.propose(leader, contract_command("x", 1, 0),
                    [&](auto result) { answer = std::move(result); });
    cluster.run_for(3s);
    CHECK(answer.has_value());
    CHECK(answer->error().ran == transport::verdict::may_have_run);
    CHECK(answer->error().code == transport::reason::no_quorum);
    answer.reset();
    cluster.propose(leader, contract_command("y", 1, 0),
                    [&](auto result) { answer = std::move(result); });
    CHECK(answer.has_value());
    CHECK(answer->error().ran == transport::verdict::not_run);
}

TEST(replica_tests, learner_votes_only_after_it_caught_up_on_its_disk)
{
    quiet_cluster cluster{3};
    for (int round = 0; round < 100; ++round)
    {
        (void)cluster.write("pomar", round);
    }
    using coordination::replica_change;
    CHECK_FALSE(cluster.change_set(replica_change::add_learner, 3).has_value());
    CHECK(cluster.change_set(replica_change::add_learner, 4).has_value());
    CHECK_FALSE(cluster.change_set(replica_change::promote, 4).has_value());
    cluster.add_node(4, coordination::join_request(4));
    cluster.run_for(1s);
    CHECK(cluster.change_set(replica_change::promote, 4).has_value());
    const auto lost = cluster.reader() == 1 ? 2 : 1;
    CHECK(cluster.change_set(replica_change::remove, lost).has_value());
    cluster.crash(lost);
    cluster.nodes.erase(lost);
    cluster.run_for(1s);
    std::set<std::uint64_t> rest;
    for (const auto& [id, node] : cluster.nodes)
    {
        rest.insert(id);
    }
    cluster.check_converged(rest);
    CHECK(cluster.write("pomar", 777).has_value());
    CHECK(cluster.faults.empty());
}

TEST(replica_tests, second_change_waits_for_the_first)
{
    quiet_cluster cluster{3};
    const auto leader = cluster.reader();
    int refused = 0;
    const auto count = [&](auto result) { refused += result ? 0 : 1; };
    using coordination::replica_change;
    const auto learner = state::replica_role::learner;
    cluster.change(leader, replica_change::add_learner,
                   replica_harness::member(4, learner), count);
    cluster.change(leader, replica_change::add_learner,
                   replica_harness::member(5, learner), count);
    LONGS_EQUAL(1, refused);
}

TEST(replica_tests, transfer_hands_over_within_one_round)
{
    quiet_cluster cluster{3};
    const auto old = cluster.reader();
    cluster.step(cluster.nodes.at(old), coordination::transfer_event{});
    CHECK_FALSE(cluster.may_read(cluster.nodes.at(old)));
    cluster.run_for(250ms);
    const auto next = cluster.reader();
    CHECK(next != 0 && next != old);
}

TEST(replica_tests, leader_that_restarts_with_all_others_leads_at_once)
{
    quiet_cluster cluster{3};
    const auto old = cluster.reader();
    for (const auto id : {1U, 2U, 3U})
    {
        cluster.crash(id);
    }
    cluster.run_for(500ms);
    // The others are not there yet when it asks for the first time.
    cluster.start(old);
    cluster.run_for(100ms);
    for (const auto id : {1U, 2U, 3U})
    {
        cluster.start(id);
    }
    cluster.run_for(200ms);
    LONGS_EQUAL(old, cluster.reader());
}

// They waited for a whole election timeout, as if it might still lead.
TEST(replica_tests, others_lead_at_once_when_the_former_leader_lost_its_disk)
{
    quiet_cluster cluster{3};
    const auto old = cluster.reader();
    for (const auto id : {1U, 2U, 3U})
    {
        cluster.crash(id);
    }
    cluster.run_for(500ms);
    std::vector<std::uint64_t> left;
    for (const auto id : {1U, 2U, 3U})
    {
        if (id != old)
        {
            cluster.start(id);
            left.push_back(id);
        }
    }
    cluster.run_for(20ms);
    for (const auto id : left)
    {
        cluster.step(cluster.nodes.at(id), coordination::voter_lost_event{old});
    }
    cluster.run_for(250ms);
    CHECK(cluster.reader() != 0 && cluster.reader() != old);
}

// Only what the lost voter was granted is over; the next leader's is not.
TEST(replica_tests, loss_of_an_earlier_leader_disturbs_no_later_one)
{
    quiet_cluster cluster{3};
    const auto old = cluster.reader();
    cluster.crash(old);
    cluster.run_for(3s);
    const auto next = cluster.reader();
    CHECK(next != 0);
    const auto& node = cluster.nodes.at(next);
    const auto term = node.machine->status(cluster.clock_of(node)).leads.term;
    for (const auto id : {1U, 2U, 3U})
    {
        if (id != old)
        {
            cluster.step(cluster.nodes.at(id),
                         coordination::voter_lost_event{old});
        }
    }
    cluster.run_for(1s);
    LONGS_EQUAL(next, cluster.reader());
    LONGS_EQUAL(term, node.machine->status(cluster.clock_of(node)).leads.term);
}

TEST(replica_tests, former_leader_does_not_disturb_its_successor)
{
    quiet_cluster cluster{3};
    const auto old = cluster.reader();
    cluster.crash(old);
    cluster.run_for(3s);
    const auto next = cluster.reader();
    CHECK(next != 0);
    const auto term_of = [&] {
        const auto& node = cluster.nodes.at(next);
        return node.machine->status(cluster.clock_of(node)).leads.term;
    };
    const auto term = term_of();
    cluster.start(old);
    cluster.run_for(1s);
    LONGS_EQUAL(next, cluster.reader());
    LONGS_EQUAL(term, term_of());
}

TEST(replica_tests, only_the_leader_of_the_latest_term_stands_at_its_start)
{
    const auto stands = [](const std::string& first_record_by) {
        state::replica_set set;
        for (const auto id : {1U, 2U, 3U})
        {
            set.members.push_back(
                replica_harness::member(id, state::replica_role::voter));
        }
        state::recovered_state recovered;
        // It stood in this term itself; another may have won.
        recovered.hard = {1, 5, 1};
        recovered.snap.replicas = set;
        recovered.records.push_back(
            {1, 5, state::record_kind::empty, first_record_by});
        const transport::monotonic_time start{1h};
        coordination::replica one{{}, std::move(recovered), 1, start};
        (void)one.step(start, {}, coordination::tick_event{});
        return one.status(start).leads.term == 6;
    };
    CHECK_TRUE(stands("1"));
    CHECK_FALSE(stands("2"));
    CHECK_FALSE(stands(""));
}

// Votes are answered only once they are synced. Where that took longer than the
// election timeout, each election was given up for the next one, for ever.
TEST(replica_tests, slow_disks_delay_elections_but_do_not_prevent_them)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        quiet_cluster cluster{3, seed};
        const auto old = cluster.reader();
        cluster.slowest_disk = 3'000;
        cluster.crash(old);
        cluster.run_for(30s);
        CHECK(cluster.reader() != 0);
    }
}

TEST(replica_tests, failed_disk_silences_the_leader)
{
    quiet_cluster cluster{3};
    const auto leader = cluster.reader();
    auto& disk = *cluster.nodes.at(leader).disk;
    disk.fault_at = disk.operations + 2;
    disk.fault = disk_fault::error;
    const auto answer = cluster.write("pomar", 1);
    CHECK_FALSE(answer.has_value());
    CHECK(answer.error().ran == transport::verdict::may_have_run);
    cluster.run_for(3s);
    const auto next = cluster.reader();
    CHECK(next != 0 && next != leader);
}

TEST(replica_tests, one_wrong_wall_clock_does_not_move_the_time)
{
    quiet_cluster cluster{3};
    const auto leader = cluster.reader();
    cluster.nodes.at(leader).wall_shift = std::chrono::hours{24 * 365};
    CHECK(cluster.write("pomar", 1).has_value());
    const auto& node = cluster.nodes.at(leader);
    const auto error =
        cluster.wall_of(node) - node.wall_shift - node.machine->state().time();
    CHECK(std::chrono::abs(error) < 2s);
}

TEST(replica_tests, lagging_replica_catches_up_by_snapshot_chunks)
{
    quiet_cluster cluster{3};
    const auto leader = cluster.reader();
    const auto other = leader == 1 ? 2 : 1;
    cluster.crash(other);
    for (int round = 0; round < 200; ++round)
    {
        (void)cluster.write(fmt::format("org-{}", round), round);
    }
    cluster.loss = 0.2;
    cluster.start(other);
    cluster.run_for(8s);
    cluster.check_converged({1, 2, 3});
    CHECK(cluster.faults.empty());
}

// [full disks] ---------------------------------------------------------------

// Regression: records were kept by their number only, so that some hundred large
// ones filled the disks of all replicas for good.
TEST(replica_tests, large_records_leave_room_on_the_disk)
{
    constexpr std::size_t capacity = 70'000;
    quiet_cluster cluster{3};
    cluster.keep_short_logs();
    for (auto& [id, node] : cluster.nodes)
    {
        node.disk->capacity = capacity;
    }
    for (int round = 1; round <= 300; ++round)
    {
        CHECK_TRUE(cluster.write_large(round));
    }
    const auto leader = cluster.reader();
    cluster.crash(leader);
    cluster.run_for(3s);
    CHECK_TRUE(cluster.reader() != 0);
    CHECK_TRUE(cluster.write_large(1'000));
    cluster.start(leader);
    cluster.check_converges();
}

// Regression: a vote waited behind the records that found no room, so that
// nobody was elected.
TEST(replica_tests, replica_without_room_for_records_still_votes)
{
    quiet_cluster cluster{3};
    cluster.keep_short_logs();
    const auto leader = cluster.reader();
    const std::uint64_t short_of_room = leader == 1 ? 2 : 1;
    auto& disk = *cluster.nodes.at(short_of_room).disk;
    disk.capacity = disk.used() + 300;
    CHECK_TRUE(cluster.write_large(1));
    const auto& machine = *cluster.nodes.at(short_of_room).machine;
    CHECK_TRUE(machine.status(cluster.clock_of(cluster.nodes.at(short_of_room)))
                   .disk_full);
    cluster.crash(leader);
    // Nothing can be committed yet, but the leader is elected.
    CHECK_TRUE(cluster.elects_within(5s));
    cluster.check_recovers(disk, leader);
}

// Regression: a partly written file took the room that smaller writes needed.
TEST(replica_tests, snapshot_without_room_does_not_block_votes)
{
    quiet_cluster cluster{3};
    cluster.keep_short_logs();
    const auto leader = cluster.reader();
    const auto behind = leader == 1 ? 2 : 1;
    auto& disk = *cluster.nodes.at(behind).disk;
    cluster.crash(behind);
    for (int round = 1; round <= 60; ++round)
    {
        CHECK_TRUE(cluster.write_large(round));
    }
    disk.capacity = disk.used() + 300;
    cluster.start(behind);
    cluster.run_for(2s);
    cluster.crash(leader);
    CHECK_TRUE(cluster.elects_within(5s));
    cluster.check_recovers(disk, leader);
}

// Report of other operators: after disks had been full one after another, changes
// were refused to the end of the day.
TEST(replica_tests, writes_go_on_after_disks_were_full_in_turn)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        quiet_cluster cluster{4, seed};
        cluster.keep_short_logs();
        for (std::uint64_t turn = 0; turn < 8; ++turn)
        {
            // Each second turn the leader's.
            const auto leader = cluster.reader();
            const auto id =
                turn % 2 == 1 && leader != 0 ? leader : 1 + turn / 2 % 4;
            auto& disk = *cluster.nodes.at(id).disk;
            disk.full = true;
            for (int round = 0; round < 40; ++round)
            {
                (void)cluster.write_large(round);
                const bool lost = turn % 3 == 2 && round == 20;
                if (lost)
                {
                    cluster.crash(id);
                    cluster.start(id);
                }
            }
            disk.full = false;
            CHECK_TRUE(cluster.accepts_writes_within(2s));
        }
        cluster.check_converges();
    }
}

// Regression: a transfer started again with each newer snapshot, so that a
// replica stayed behind while large changes went on.
TEST(replica_tests, snapshot_arrives_although_newer_ones_are_made)
{
    quiet_cluster cluster{3};
    cluster.keep_short_logs();
    cluster.settings.replica.kept_bytes = 60'000;
    cluster.restart_all();
    const auto leader = cluster.reader();
    const std::uint64_t behind = leader == 1 ? 2 : 1;
    const auto name_of = [](int number) {
        return fmt::format("{}-{}", std::string(900, 'n'), number);
    };
    cluster.crash(behind);
    for (int number = 0; number < 90; ++number)
    {
        (void)cluster.write(name_of(number), 1);
    }
    cluster.start(behind);
    const auto before =
        cluster.nodes.at(behind).machine->state().applied_index();
    // Half a second for the transfer, a newer snapshot each fifth of a second.
    for (int number = 0; number < 100; ++number)
    {
        cluster.propose(leader, contract_command(name_of(number % 90), 2, 0),
                        [](auto) {});
        cluster.run_for(20ms);
    }
    CHECK_TRUE(cluster.nodes.at(behind).machine->state().applied_index() >
               before);
    cluster.check_converges();
}
