/// @file
/// Tests of coordination/membership.hpp and member_table.hpp under loss,
/// partitions, restarts and late reports.

#include <hyssopdeal/coordination/membership.hpp>

#include <algorithm>
#include <random>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <standins/gossip_network.hpp>

using namespace hyssopdeal::coordination;
using namespace hyssopdeal::protocol;
using hyssopdeal::standins::gossip_network;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t today_nodes = 9;
constexpr std::size_t today_domains = 4;

member_update server(const char* name, member_state state,
                     std::uint64_t incarnation)
{
    member_update update;
    update.name = name;
    update.kind = member_kind::backend_server;
    update.state = state;
    update.incarnation = incarnation;
    return update;
}

bool all_alive(gossip_network& network)
{
    for (std::size_t node = 0; node < network.size(); ++node)
    {
        if (network.seen_by(fmt::format("n{}", node), member_state::suspect) !=
            0)
        {
            return false;
        }
    }
    return true;
}

} // namespace

TEST_GROUP(member_table_tests){};

TEST(member_table_tests, every_order_of_updates_gives_the_same_table)
{
    std::vector<member_update> updates;
    for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation)
    {
        for (const auto state : {member_state::alive, member_state::suspect,
                                 member_state::leaving, member_state::dead})
        {
            updates.push_back(server("a", state, incarnation));
            updates.push_back(server("b", state, 4 - incarnation));
        }
    }
    std::mt19937_64 random{7};
    for (int round = 0; round < 500; ++round)
    {
        std::shuffle(updates.begin(), updates.end(), random);
        member_table table;
        for (const auto& update : updates)
        {
            table.merge(update);
        }
        CHECK(*table.find("a") == server("a", member_state::dead, 3));
        CHECK(*table.find("b") == server("b", member_state::dead, 3));
    }
}

TEST(member_table_tests, late_list_entry_does_not_revive)
{
    member_table table;
    table.merge(server("w1", member_state::leaving, 5));
    CHECK_FALSE(table.merge(server("w1", member_state::alive, 5)));
    CHECK_FALSE(table.merge(server("w1", member_state::alive, 4)));
    CHECK(table.find("w1")->state == member_state::leaving);
}

TEST(member_table_tests, digests_find_just_the_differences)
{
    member_table left;
    member_table right;
    for (int number = 0; number < 500; ++number)
    {
        const auto name = fmt::format("w{}", number);
        left.merge(server(name.c_str(), member_state::alive, 1));
        right.merge(server(name.c_str(), member_state::alive, 1));
    }
    CHECK(left.digest() == right.digest());
    right.merge(server("w77", member_state::leaving, 1));
    CHECK(left.digest() != right.digest());
    const auto sent = right.differing(left.buckets());
    CHECK(sent.size() < 30);
    CHECK(std::any_of(sent.begin(), sent.end(),
                      [](const auto& item) { return item.name == "w77"; }));
}

TEST_GROUP(membership_tests){};

TEST(membership_tests, quiet_network_suspects_nobody)
{
    gossip_network network{today_nodes, today_domains, 1};
    network.run_for(30s);
    CHECK(all_alive(network));
}

TEST(membership_tests, loss_of_one_datagram_in_ten_declares_nobody_dead)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        gossip_network network{today_nodes, today_domains, seed};
        std::mt19937_64 random{seed};
        network.lose(
            [&](std::size_t, std::size_t) { return random() % 10 == 0; });
        network.run_for(60s);
        for (std::size_t node = 0; node < today_nodes; ++node)
        {
            LONGS_EQUAL(0, network.seen_by(fmt::format("n{}", node),
                                           member_state::dead));
        }
    }
}

TEST(membership_tests, dead_instance_is_found_in_its_domain_and_told_everywhere)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        gossip_network network{today_nodes, today_domains, seed};
        network.run_for(5s);
        network.stop(4);
        network.run_for(6s);
        LONGS_EQUAL(today_nodes - 1, network.seen_by("n4", member_state::dead));
    }
}

TEST(membership_tests, restarted_instance_is_alive_again)
{
    gossip_network network{today_nodes, today_domains, 3};
    network.run_for(5s);
    network.stop(4);
    network.run_for(6s);
    network.restart(4);
    network.run_for(5s);
    LONGS_EQUAL(0, network.seen_by("n4", member_state::suspect));
    LONGS_EQUAL(today_nodes, network.at(4).table().entries().size());
}

TEST(membership_tests, frozen_instance_refutes_its_death)
{
    gossip_network network{today_nodes, today_domains, 3};
    network.run_for(5s);
    bool frozen = true;
    network.lose([&](std::size_t from, std::size_t to) {
        return frozen && (from == 4 || to == 4);
    });
    network.run_for(10s);
    LONGS_EQUAL(today_nodes - 1, network.seen_by("n4", member_state::dead));
    frozen = false;
    network.run_for(5s);
    LONGS_EQUAL(0, network.seen_by("n4", member_state::suspect));
}

TEST(membership_tests, cut_off_domain_is_not_taken_for_dead_instances)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        gossip_network network{today_nodes, today_domains, seed};
        network.run_for(5s);
        bool cut = true;
        network.lose([&](std::size_t from, std::size_t to) {
            return cut && (network.domain_of(from) == 1) !=
                              (network.domain_of(to) == 1);
        });
        network.run_for(15s);
        LONGS_EQUAL(0, network.seen_by("n1", member_state::dead));
        CHECK_FALSE(network.at(0).is_usable("n1"));
        CHECK_FALSE(network.at(1).is_usable("n0"));
        CHECK(network.at(1).is_usable("n5"));
        CHECK(network.at(0).is_usable("n2"));
        cut = false;
        network.run_for(10s);
        CHECK(all_alive(network));
        CHECK(network.at(0).is_usable("n1"));
        CHECK(network.at(1).is_usable("n0"));
    }
}

TEST(membership_tests, death_inside_a_cut_off_domain_is_learnt_after_it_heals)
{
    gossip_network network{today_nodes, today_domains, 5};
    network.run_for(5s);
    bool cut = true;
    network.lose([&](std::size_t from, std::size_t to) {
        return cut &&
               (network.domain_of(from) == 1) != (network.domain_of(to) == 1);
    });
    network.run_for(2s);
    network.stop(5);
    network.run_for(60s);
    LONGS_EQUAL(1, network.seen_by("n5", member_state::dead));
    cut = false;
    network.run_for(10s);
    LONGS_EQUAL(today_nodes - 1, network.seen_by("n5", member_state::dead));
}

TEST(membership_tests, one_way_loss_is_bridged_by_helpers)
{
    gossip_network network{today_nodes, today_domains, 2};
    network.lose(
        [&](std::size_t from, std::size_t to) { return from == 0 && to == 4; });
    network.run_for(60s);
    LONGS_EQUAL(0, network.seen_by("n4", member_state::dead));
    LONGS_EQUAL(0, network.seen_by("n0", member_state::dead));
}

TEST(membership_tests, leaving_server_is_known_everywhere_in_time)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        gossip_network network{today_nodes, today_domains, seed};
        std::mt19937_64 random{seed};
        network.lose(
            [&](std::size_t, std::size_t) { return random() % 20 == 0; });
        network.run_for(5s);
        auto notice = server("w7", member_state::leaving, 1);
        notice.failure_domain = "d0";
        network.report(0, notice);
        network.run_for(2s);
        for (const std::size_t node : {0, 4, 8})
        {
            CHECK(network.at(node).table().find("w7") != nullptr);
        }
        network.run_for(2s);
        LONGS_EQUAL(today_nodes, network.seen_by("w7", member_state::leaving));
    }
}

TEST(membership_tests, leaving_instance_stays_leaving_and_gets_no_work)
{
    gossip_network network{today_nodes, today_domains, 2};
    network.run_for(5s);
    network.announce_leaving(3);
    network.run_for(4s);
    LONGS_EQUAL(today_nodes, network.seen_by("n3", member_state::leaving));
    CHECK_FALSE(network.at(0).is_usable("n3"));
    auto late = *network.at(0).table().find("n3");
    late.state = member_state::alive;
    network.report(0, late);
    network.run_for(4s);
    LONGS_EQUAL(today_nodes, network.seen_by("n3", member_state::leaving));
}

TEST(membership_tests, restart_with_a_clock_gone_back_still_becomes_alive)
{
    gossip_network network{today_nodes, today_domains, 2};
    network.run_for(5s);
    auto ahead = *network.at(0).table().find("n4");
    ahead.incarnation += 1'000'000'000;
    ahead.state = member_state::dead;
    network.report(0, ahead);
    network.run_for(8s);
    LONGS_EQUAL(0, network.seen_by("n4", member_state::suspect));
}

TEST(membership_tests, highest_index_spreads)
{
    gossip_network network{today_nodes, today_domains, 2};
    network.at(3).set_applied_index(42);
    network.run_for(8s);
    for (std::size_t node = 0; node < today_nodes; ++node)
    {
        LONGS_EQUAL(42, network.at(node).highest_index());
    }
}

TEST_GROUP(gossip_codec_tests){};

TEST(gossip_codec_tests, message_survives_the_wire)
{
    gossip_message message;
    message.kind = gossip_kind::digest;
    message.from = "n1";
    message.sequence = 9;
    message.highest_index = 77;
    message.updates.push_back(server("w1", member_state::leaving, 3));
    message.buckets.push_back({3, 0xfeed'beef'dead'cafeULL});
    const auto decoded = decode_gossip(encode_gossip(message));
    CHECK(decoded.has_value());
    CHECK(*decoded == message);
}

TEST(gossip_codec_tests, too_many_updates_are_left_for_later)
{
    gossip_message message;
    message.from = "n1";
    for (int number = 0; number < 60; ++number)
    {
        message.updates.push_back(server(fmt::format("{:0>60}", number).c_str(),
                                         member_state::leaving, 3));
    }
    const auto bytes = encode_gossip(message);
    CHECK(bytes.size() <= max_gossip_bytes);
    CHECK(decode_gossip(bytes)->updates.size() > 10);
}

TEST(gossip_codec_tests, damaged_bytes_are_refused)
{
    gossip_message message;
    message.from = "n1";
    message.updates.push_back(server("w1", member_state::leaving, 3));
    const auto bytes = encode_gossip(message);
    for (std::size_t length = 0; length < bytes.size(); ++length)
    {
        CHECK_FALSE(decode_gossip(bytes.substr(0, length)).has_value());
    }
}
