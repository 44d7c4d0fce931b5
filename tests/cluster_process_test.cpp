/// @file
/// Clusters that form, lose and replace replicas, over real links and disks:
/// coordination/cluster/cluster_process.hpp.

#include <csignal>
#include <optional>

#include <sys/resource.h>

#include <CppUTest/TestHarness.h>

#include <hyssopdeal/protocol/peer_hub.hpp>

#include "cluster_harness.hpp"

using namespace hyssopdeal;
using namespace std::chrono_literals;
using coordination::cluster_start;
using tests::cluster_harness;

TEST_GROUP(cluster_process_tests){};

TEST(cluster_process_tests, replicas_form_one_cluster_from_their_seeds)
{
    cluster_harness cluster{4};
    CHECK_TRUE(cluster.put(3, "1:first"));
    for (std::size_t at = 0; at < 4; ++at)
    {
        CHECK_TRUE(cluster.reads(at, "1:first"));
    }
    CHECK_TRUE(tests::run_until(cluster.loop, [&] {
        return cluster.metric(3, "hyssopdeal_replica_members") == 4;
    }));
}

TEST(cluster_process_tests, versions_only_rise_and_repeats_are_acknowledged)
{
    cluster_harness cluster{3};
    CHECK_TRUE(cluster.put(0, "5:five"));
    CHECK_TRUE(cluster.put(1, "4:older"));
    CHECK_TRUE(cluster.put(2, "5:other content"));
    CHECK_TRUE(cluster.put(1, "5:five"));
    CHECK_TRUE(cluster.reads(2, "5:five"));
    transport::result<void> refused;
    cluster.replicas.at(0)->put_document("no version",
                                         [&](auto done) { refused = done; });
    CHECK_FALSE(refused.has_value());
    CHECK_TRUE(cluster.put(1, "6:six"));
    CHECK_TRUE(cluster.reads(0, "6:six"));
}

TEST(cluster_process_tests, all_replicas_ended_at_once_keep_what_was_accepted)
{
    cluster_harness cluster{4};
    CHECK_TRUE(cluster.put(0, "1:kept"));
    for (std::size_t at = 0; at < 4; ++at)
    {
        cluster.stop(at);
    }
    for (std::size_t at = 0; at < 4; ++at)
    {
        cluster.start(at, cluster_start::later);
    }
    CHECK_TRUE(cluster.reads(2, "1:kept"));
}

TEST(cluster_process_tests, lost_disk_is_replaced_and_the_next_loss_borne)
{
    cluster_harness cluster{4};
    CHECK_TRUE(cluster.put(0, "1:kept"));
    cluster.stop(0);
    cluster.wipe(0);
    cluster.start(0, cluster_start::later);
    // The fourth replica takes the lost one's vote; the new one learns.
    CHECK_TRUE(tests::run_until(cluster.loop, [&] {
        return cluster.metric(0, "hyssopdeal_replica_members") == 4 &&
               cluster.metric(3, "hyssopdeal_replica_members") == 4 &&
               cluster.metric(0, "hyssopdeal_document_version") == 1;
    }));
    cluster.stop(1);
    CHECK_TRUE(cluster.put(0, "2:on"));
    CHECK_TRUE(cluster.reads(3, "2:on"));
}

TEST(cluster_process_tests, minority_refuses_to_read_and_write)
{
    cluster_harness cluster{3};
    CHECK_TRUE(cluster.put(0, "1:kept"));
    cluster.stop(1);
    cluster.stop(2);
    CHECK_TRUE(tests::run_until(cluster.loop,
                                [&] { return cluster.read(0).empty(); }));
    CHECK_FALSE(cluster.put_once(0, "2:lost").has_value());
}

// A removed learner remembered its leader and never asked again.
TEST(cluster_process_tests, replica_that_was_removed_while_away_joins_anew)
{
    cluster_harness cluster{4};
    CHECK_TRUE(cluster.put(0, "1:kept"));
    CHECK_TRUE(tests::run_until(cluster.loop, [&] {
        return cluster.metric(3, "hyssopdeal_replica_members") == 4;
    }));
    cluster.stop(3);
    CHECK_TRUE(tests::run_until(cluster.loop, [&] {
        return cluster.metric(0, "hyssopdeal_replica_members") == 3;
    }));
    cluster.start(3, cluster_start::later);
    CHECK_TRUE(tests::run_until(cluster.loop, [&] {
        return cluster.metric(0, "hyssopdeal_replica_members") == 4 &&
               cluster.metric(3, "hyssopdeal_document_version") == 1;
    }));
}

// [full disks] ---------------------------------------------------------------

namespace
{

/// No file of this process grows while it lives.
class disk_full_guard
{
public:
    disk_full_guard()
    {
        (void)std::signal(SIGXFSZ, SIG_IGN);
        (void)::getrlimit(RLIMIT_FSIZE, &before_);
        rlimit none = before_;
        none.rlim_cur = 1;
        (void)::setrlimit(RLIMIT_FSIZE, &none);
    }
    disk_full_guard(const disk_full_guard&) = delete;
    disk_full_guard& operator=(const disk_full_guard&) = delete;
    ~disk_full_guard()
    {
        (void)::setrlimit(RLIMIT_FSIZE, &before_);
    }

private:
    rlimit before_{};
};

} // namespace

// A replica ended on its first write without room, and again after each start.
TEST(cluster_process_tests, full_disks_refuse_writes_and_answer_reads)
{
    cluster_harness cluster{3};
    int ended_disks = 0;
    for (auto& [at, replica] : cluster.replicas)
    {
        replica->on_disk_failed([&] { ++ended_disks; });
    }
    CHECK_TRUE(cluster.put(0, "1:kept"));
    {
        const disk_full_guard full;
        for (int tries = 0; tries < 3; ++tries)
        {
            CHECK_FALSE(cluster.put_once(0, "2:lost").has_value());
        }
        CHECK_TRUE(cluster.reads(0, "1:kept"));
        CHECK_TRUE(cluster.reads(2, "1:kept"));
    }
    CHECK_TRUE(cluster.put(0, "3:on"));
    CHECK_TRUE(cluster.reads(1, "3:on"));
    LONGS_EQUAL(0, ended_disks);
}

TEST(cluster_process_tests, replicas_found_and_join_once_there_is_room)
{
    std::optional<disk_full_guard> full{std::in_place};
    cluster_harness cluster{4};
    for (const auto& started : cluster.start_results)
    {
        CHECK_TRUE(started.has_value());
    }
    (void)tests::run_until(
        cluster.loop, [] { return false; }, 500ms);
    full.reset();
    CHECK_TRUE(cluster.put(3, "1:first"));
    CHECK_TRUE(tests::run_until(cluster.loop, [&] {
        return cluster.metric(3, "hyssopdeal_replica_members") == 4;
    }));
}

// [moves] --------------------------------------------------------------------

// The order was kept and answered, and nothing moved.
TEST(cluster_process_tests, move_runs_to_its_end_through_a_leaders_loss)
{
    cluster_harness cluster{3};
    cluster.list = {tests::listed("a"), tests::listed("b")};
    cluster.list[0].version = "v1";
    cluster.list[1].version = "v2";
    CHECK_TRUE(cluster.put(0, "1:x"));
    coordination::rollout_record order;
    order.service = "s";
    order.target = "v2";
    order.duration_ms = 3'000;
    bool accepted = false;
    cluster.replicas.at(0)->put_rollout(
        order, [&](const auto& done) { accepted = done.has_value(); });
    CHECK_TRUE(tests::run_until(cluster.loop, [&] { return accepted; }));
    const auto leader = cluster.leader();
    cluster.stop(leader);
    const auto other = leader == 0 ? 1U : 0U;
    auto state = coordination::rollout_state::running;
    bool asked = false;
    // Nothing was sent to it, so it was not judged.
    CHECK_TRUE(tests::run_until(
        cluster.loop,
        [&] {
            if (!std::exchange(asked, true))
            {
                cluster.replicas.at(other)->read_rollout(
                    "s", [&](const auto& held) {
                        state = held ? held->state : state;
                        asked = false;
                    });
            }
            return state == coordination::rollout_state::rolled_back;
        },
        15s));
}

// [list] ---------------------------------------------------------------------

// Every replica read it: the calls were the largest price of many machines.
TEST(cluster_process_tests, only_the_leader_reads_the_list_while_it_can)
{
    cluster_harness cluster{3};
    cluster.list = {tests::listed("a")};
    CHECK_TRUE(cluster.put(0, "1:x"));
    const auto leader = cluster.leader();
    (void)tests::run_until(
        cluster.loop, [] { return false; }, 1'500ms);
    const auto reads_of_others = [&] {
        int all = 0;
        for (const auto& [at, count] : cluster.list_reads)
        {
            all += at == leader ? 0 : count;
        }
        return all;
    };
    const auto before = reads_of_others();
    cluster.list.push_back(tests::listed("b"));
    (void)tests::run_until(
        cluster.loop, [] { return false; }, 3s);
    LONGS_EQUAL(before, reads_of_others());
    for (std::size_t at = 0; at < 3; ++at)
    {
        CHECK_EQUAL(2, cluster.metric(at, "hyssopdeal_listed_servers"));
        CHECK(cluster.metric(at, "hyssopdeal_list_age_seconds") < 3);
    }
    // A leader that is cut off from the platform is no source.
    cluster.cut_off_from_platform = {leader};
    cluster.list.push_back(tests::listed("c"));
    CHECK_TRUE(tests::run_until(
        cluster.loop,
        [&] {
            return cluster.metric((leader + 1) % 3,
                                  "hyssopdeal_listed_servers") == 3;
        },
        4s));
    // Nor is one that is gone.
    cluster.cut_off_from_platform.clear();
    cluster.stop(leader);
    cluster.list.push_back(tests::listed("d"));
    CHECK_TRUE(tests::run_until(
        cluster.loop,
        [&] {
            return cluster.metric((leader + 1) % 3,
                                  "hyssopdeal_listed_servers") == 4 &&
                   cluster.metric((leader + 2) % 3,
                                  "hyssopdeal_listed_servers") == 4;
        },
        4s));
}

// [orders] -------------------------------------------------------------------

// The list was read every 700 ms and a plan made every 500 ms, whatever
// happened: over a second of the two or three that a reclaim is told ahead.
TEST(cluster_process_tests, leader_plans_at_once_when_servers_change)
{
    std::chrono::milliseconds longest{0};
    // At different times of the two rhythms.
    for (const auto phase : {0ms, 150ms, 300ms})
    {
        cluster_harness cluster{1};
        for (const char* id : {"a", "b", "c"})
        {
            cluster.list.push_back(tests::listed(id));
            cluster.list.back().reclaimable = true;
        }
        CHECK_TRUE(cluster.put(0, "1:scaled"));
        cluster.loop.run_for(1'500ms + phase);
        CHECK_TRUE(cluster.orders.empty());
        const auto when = cluster.clock.monotonic_now();
        cluster.list.front().state = protocol::server_state::draining;
        CHECK_TRUE(tests::run_until(cluster.loop,
                                    [&] { return !cluster.orders.empty(); }));
        longest = std::max(
            longest, std::chrono::duration_cast<std::chrono::milliseconds>(
                         cluster.orders.front().second - when));
    }
    CHECK_TRUE(longest < 500ms);
}

TEST(cluster_process_tests, next_leader_orders_late_and_with_a_higher_fence)
{
    cluster_harness cluster{3};
    cluster.list = {tests::listed("a")};
    CHECK_TRUE(cluster.put(0, "1:scaled"));
    CHECK_TRUE(tests::run_until(cluster.loop,
                                [&] { return !cluster.orders.empty(); }));
    const auto first = cluster.orders.back().first;
    const auto leader = cluster.leader();
    cluster.stop(leader);
    cluster.orders.clear();
    CHECK_TRUE(tests::run_until(cluster.loop, [&] {
        return cluster.leader() != cluster_harness::no_leader;
    }));
    const auto elected = cluster.clock.monotonic_now();
    CHECK_TRUE(tests::run_until(cluster.loop,
                                [&] { return !cluster.orders.empty(); }));
    const auto& [next, when] = cluster.orders.front();
    CHECK_TRUE(next.token > first.token);
    CHECK_TRUE(next.holder != first.holder);
    // The loop looks for the leader every few ms.
    CHECK_TRUE(when - elected > cluster_harness::order_lease * 9 / 10);
}

// [entry] --------------------------------------------------------------------

TEST_GROUP(cluster_entry_tests){
    static coordination::gateway_settings entry_settings(
        const cluster_harness& cluster){coordination::gateway_settings settings;
settings.name = "e0";
settings.failure_domain = "d0";
settings.address = cluster_harness::ip(100);
settings.hub_port = cluster_harness::hub_port;
settings.seeds = cluster.seeds();
settings.shared_key = "key";
settings.callers_port = 27'601;
settings.readiness_port = 27'602;
return settings;
}

static int readiness(cluster_harness& cluster)
{
    transport::http1_client client{cluster.loop, cluster.clock, {}};
    int status = 0;
    const auto call = client.fetch(
        cluster_harness::ip(100) + ":27602", {"GET", "/", {}, ""}, 500ms,
        [&](const auto& answer) { status = answer ? answer->status : -1; });
    (void)tests::run_until(cluster.loop, [&] { return status != 0; });
    return status;
}
}
;

// An entry looked for the leader only among the seeds, unless the leader itself
// had told it of others.
TEST(cluster_entry_tests, leader_that_is_no_seed_is_found)
{
    cluster_harness cluster{4};
    CHECK_TRUE(cluster.put(0, "1:x"));
    CHECK_TRUE(tests::run_until(cluster.loop, [&] {
        return cluster.metric(3, "hyssopdeal_replica_members") == 4;
    }));
    // The one that is no seed gets a vote, and the others hand over to it.
    cluster.stop(0);
    cluster.wipe(0);
    CHECK_TRUE(tests::run_until(cluster.loop, [&] {
        return cluster.metric(3, "hyssopdeal_replica_members") == 3;
    }));
    cluster.stop(1);
    // The first hand-over may go to the one that has just ended.
    bool draining = false;
    CHECK_TRUE(tests::run_until(
        cluster.loop,
        [&] {
            if (cluster.leader() == 2 && !std::exchange(draining, true))
            {
                cluster.replicas.at(2)->drain([&] { draining = false; });
            }
            return cluster.leader() == 3;
        },
        30s));
    coordination::gateway_process entry{
        cluster.loop, cluster.clock, entry_settings(cluster),
        tests::read_test_document,
        coordination::serve_requests<coordination::own_dialect>()};
    CHECK_TRUE(entry.start().has_value());
    CHECK_TRUE(tests::run_until(
        cluster.loop, [&] { return readiness(cluster) == 200; }, 5s));
}

namespace
{

/// @return Links of a scripted replica at the first address.
protocol::peer_hub_settings replica_links()
{
    protocol::peer_hub_settings hub;
    hub.self = cluster_harness::hub_address(0);
    hub.address = cluster_harness::ip(0);
    hub.port = cluster_harness::hub_port;
    hub.shared_key = "key";
    return hub;
}

} // namespace

// Entries told silent replicas ten times a second at a start, each report
// before the former was answered: with three hundred entries a replica never
// came to the newest.
TEST(cluster_entry_tests, report_is_answered_before_the_next_is_sent)
{
    cluster_harness cluster{0};
    protocol::peer_hub replica{cluster.loop, replica_links()};
    std::vector<protocol::peer_hub::reply_function> waiting;
    replica.on_message(protocol::peer_channel::following,
                       [&](const auto&, const auto&, const auto& reply) {
                           waiting.push_back(reply);
                       });
    CHECK_TRUE(replica.start().has_value());
    auto settings = entry_settings(cluster);
    settings.seeds = {cluster_harness::hub_address(0)};
    coordination::gateway_process entry{
        cluster.loop, cluster.clock, settings, tests::read_test_document,
        coordination::serve_requests<coordination::own_dialect>()};
    CHECK_TRUE(entry.start().has_value());
    CHECK_TRUE(
        tests::run_until(cluster.loop, [&] { return !waiting.empty(); }));
    (void)tests::run_until(
        cluster.loop, [] { return false; }, 700ms);
    LONGS_EQUAL(1, waiting.size());
    // A leader that many entries report to asks for fewer reports.
    protocol::entry_orders orders;
    orders.leads = true;
    orders.document_version = 7;
    orders.packed_document = protocol::pack_text("7:x");
    orders.next_report_ms = 1'000;
    waiting.front()(protocol::encode(orders));
    waiting.clear();
    CHECK_TRUE(tests::run_until(cluster.loop,
                                [&] { return readiness(cluster) == 200; }));
    const auto began = cluster.clock.monotonic_now();
    std::size_t reports = 0;
    (void)tests::run_until(
        cluster.loop,
        [&] {
            for (const auto& reply : std::exchange(waiting, {}))
            {
                ++reports;
                reply(protocol::encode(orders));
            }
            return cluster.clock.monotonic_now() - began > 3'200ms;
        },
        4s);
    CHECK(reports >= 2 && reports <= 4);
    CHECK_EQUAL(200, readiness(cluster));
}

// Every answer held the document until the entry had it: on a slow link the
// answers queued up in the replicas' memory.
TEST(cluster_entry_tests, large_document_is_fetched_once)
{
    cluster_harness cluster{0};
    protocol::peer_hub replica{cluster.loop, replica_links()};
    protocol::entry_orders orders;
    orders.leads = true;
    orders.document_version = 7;
    int reports = 0;
    std::vector<protocol::peer_hub::reply_function> fetches;
    replica.on_message(
        protocol::peer_channel::following,
        [&](const auto&, const auto& payload, const auto& reply) {
            const auto report = protocol::decode_entry_report(payload);
            if (report->wants_document)
            {
                return fetches.push_back(reply);
            }
            ++reports;
            reply(protocol::encode(orders));
        });
    CHECK_TRUE(replica.start().has_value());
    auto settings = entry_settings(cluster);
    settings.seeds = {cluster_harness::hub_address(0)};
    coordination::gateway_process entry{
        cluster.loop, cluster.clock, settings, tests::read_test_document,
        coordination::serve_requests<coordination::own_dialect>()};
    CHECK_TRUE(entry.start().has_value());
    CHECK_TRUE(tests::run_until(cluster.loop, [&] { return reports > 6; }));
    CHECK_EQUAL(1, fetches.size());
    // Keys of a document that is not the newest may have been taken away.
    CHECK_EQUAL(503, readiness(cluster));
    orders.packed_document =
        protocol::pack_text("7:" + std::string(400'000, 'x'));
    fetches.front()(protocol::encode(orders));
    CHECK_TRUE(tests::run_until(cluster.loop,
                                [&] { return readiness(cluster) == 200; }));
}

// Whoever hands out connections asks for readiness once a second and believes
// two misses: until then the entry takes and serves what comes.
TEST(cluster_entry_tests, stopping_entry_serves_on_until_it_is_taken_out)
{
    cluster_harness cluster{3};
    CHECK_TRUE(cluster.put(0, "1:x"));
    const auto settings = entry_settings(cluster);
    coordination::gateway_process entry{
        cluster.loop, cluster.clock, settings, tests::read_test_document,
        coordination::serve_requests<coordination::own_dialect>()};
    CHECK_TRUE(entry.start().has_value());
    CHECK_TRUE(tests::run_until(cluster.loop,
                                [&] { return readiness(cluster) == 200; }));
    const auto call = [&] {
        transport::http1_client client{cluster.loop, cluster.clock, {}};
        int status = 0;
        const auto sent = client.fetch(
            cluster_harness::ip(100) + ":27601", {"GET", "/", {}, ""}, 500ms,
            [&](const auto& answer) { status = answer ? answer->status : -1; });
        (void)tests::run_until(cluster.loop, [&] { return status != 0; });
        return status;
    };
    const auto began = cluster.clock.monotonic_now();
    const auto passed = [&] { return cluster.clock.monotonic_now() - began; };
    std::optional<transport::monotonic_time::duration> drained;
    entry.drain([&] { drained = passed(); });
    while (passed() < 2'500ms)
    {
        CHECK_EQUAL(503, readiness(cluster));
        // No route: it was read and answered.
        CHECK_EQUAL(404, call());
        cluster.loop.run_for(100ms);
        CHECK_FALSE(drained.has_value());
    }
    CHECK_TRUE(
        tests::run_until(cluster.loop, [&] { return drained.has_value(); }));
    CHECK_TRUE(*drained < settings.grace);
}

TEST(cluster_entry_tests, entry_without_a_leader_is_not_ready)
{
    cluster_harness cluster{3};
    CHECK_TRUE(cluster.put(0, "1:x"));
    auto settings = entry_settings(cluster);
    settings.keys_valid_for = 700ms;
    coordination::gateway_process entry{
        cluster.loop, cluster.clock, settings, tests::read_test_document,
        coordination::serve_requests<coordination::own_dialect>()};
    CHECK_TRUE(entry.start().has_value());
    CHECK_TRUE(tests::run_until(cluster.loop,
                                [&] { return readiness(cluster) == 200; }));
    cluster.stop(1);
    cluster.stop(2);
    CHECK_TRUE(tests::run_until(
        cluster.loop, [&] { return readiness(cluster) == 503; }, 5s));
}
