/// @file
/// Tests of state/control_state.hpp, state/commands.hpp and
/// state/declarations.hpp.

#include <hyssopdeal/state/control_state.hpp>

#include <CppUTest/TestHarness.h>

using namespace hyssopdeal;
using namespace hyssopdeal::state;
using namespace std::chrono_literals;

namespace
{

const transport::wall_time start{std::chrono::milliseconds{1'700'000'000'000}};

/// Applies commands at growing indices, through their encoding.
struct machine
{
    control_state state;
    log_index next = 1;
    transport::wall_time now = start;

    command_result run(command_body body, std::string order_id = {})
    {
        const auto bytes =
            encode(command{now, std::move(order_id), std::move(body)});
        const auto decoded = decode_command(bytes);
        CHECK(decoded.has_value());
        return state.apply({next++, 3}, *decoded);
    }

    write_result write(command_body body, std::string order_id = {})
    {
        return std::get<write_result>(
            run(std::move(body), std::move(order_id)).body);
    }

    claim_result claim(const std::string& key, std::uint64_t nonce,
                       const std::string& digest = "d",
                       const std::string& claimant = "entry-1")
    {
        return std::get<claim_result>(
            run(claim_key{"pomar", key, digest, claimant, nonce, 5s, 1h}).body);
    }
};

put_contract contract_of(const std::string& name, double rate,
                         revision expected)
{
    put_contract command;
    command.contract.organisation = name;
    command.contract.requests_per_second = rate;
    command.expected = expected;
    return command;
}

put_service service_of(const std::string& name, revision expected)
{
    put_service command;
    command.service.name = name;
    command.service.servers.push_back({});
    command.service.servers.back().name = name + "-1";
    command.service.servers.back().version = "v1";
    command.expected = expected;
    return command;
}

} // namespace

// [declarations] -------------------------------------------------------------

TEST_GROUP(control_state_tests){};

TEST(control_state_tests, equal_revisions_race_and_one_wins)
{
    machine m;
    const auto first = m.write(contract_of("pomar", 1, 0));
    CHECK(first.status == write_status::applied);
    const auto winner = m.write(contract_of("pomar", 2, first.now));
    const auto loser = m.write(contract_of("pomar", 3, first.now));
    CHECK(winner.status == write_status::applied);
    CHECK(loser.status == write_status::conflict);
    CHECK(loser.now == winner.now);
    DOUBLES_EQUAL(
        2, m.state.tables().contracts.at("pomar").contract.requests_per_second,
        0);
}

TEST(control_state_tests, resent_order_gets_the_first_answer)
{
    machine m;
    const auto first = m.run(contract_of("pomar", 1, 0), "order-1");
    m.now += 5s;
    const auto changed =
        m.write(contract_of("pomar", 9, first.index), "order-2");
    CHECK(changed.status == write_status::applied);
    const auto again = m.run(contract_of("pomar", 1, 0), "order-1");
    CHECK(again == first);
    CHECK(m.write(contract_of("other", 1, 0), "order-1").status ==
          write_status::refused);
}

TEST(control_state_tests, revision_is_never_used_again_after_deletion)
{
    machine m;
    const auto first = m.write(contract_of("pomar", 1, 0));
    m.write(delete_contract{"pomar", first.now});
    const auto second = m.write(contract_of("pomar", 1, 0));
    CHECK(second.now > first.now);
    CHECK(m.write(contract_of("pomar", 2, first.now)).status ==
          write_status::conflict);
}

// [moves] --------------------------------------------------------------------

TEST(control_state_tests, move_owns_the_shares_until_it_ends)
{
    machine m;
    auto service = m.write(service_of("llm", 0));
    order_move order;
    order.order.service = "llm";
    order.order.version = "v2";
    const auto ordered = m.write(order);
    CHECK(ordered.status == write_status::applied);
    CHECK(m.write(order).status == write_status::conflict);
    order.expected = ordered.now;
    CHECK(m.write(order).status == write_status::refused);
    CHECK(m.write(set_shares{"llm", {{"v2", 1}}, service.now}).status ==
          write_status::refused);
    update_move step;
    step.service = "llm";
    step.status.phase = move_phase::shifting;
    step.status.share = 0.01;
    step.shares = {{"v1", 0.99}, {"v2", 0.01}};
    step.expected = ordered.now;
    const auto stepped = m.write(step);
    CHECK(stepped.status == write_status::applied);
    CHECK(m.write(step).status == write_status::conflict);
    const auto cancelled = m.write(cancel_move{"llm", stepped.now});
    CHECK(cancelled.status == write_status::applied);
    const auto& shares = m.state.tables().services.at("llm").service.shares;
    LONGS_EQUAL(1, shares.size());
    CHECK(shares.front().version == "v1");
    step.expected = cancelled.now;
    CHECK(m.write(step).status == write_status::refused);
}

TEST(control_state_tests, shares_that_do_not_add_up_are_refused)
{
    machine m;
    const auto service = m.write(service_of("llm", 0));
    for (const double share : {0.5, -0.5, 1.5})
    {
        CHECK(m.write(set_shares{"llm", {{"v1", share}}, service.now}).status ==
              write_status::refused);
    }
}

TEST(control_state_tests, fencing_tokens_grow)
{
    machine m;
    const auto a = std::get<fence_result>(m.run(allocate_fence{}).body).token;
    const auto b = std::get<fence_result>(m.run(allocate_fence{}).body).token;
    CHECK(a < b);
    CHECK(a.term == 3);
}

TEST(control_state_tests, purchase_of_one_order_id_is_recorded_once)
{
    machine m;
    order_purchase order;
    order.purchase.order_id = "p-1";
    order.purchase.service = "llm";
    const auto first = std::get<purchase_result>(m.run(order).body);
    order.purchase.service = "other";
    const auto again = std::get<purchase_result>(m.run(order).body);
    CHECK(first.status == write_status::applied);
    CHECK(again.status == write_status::unchanged);
    CHECK(again.purchase == first.purchase);
}

TEST(control_state_tests, ended_purchase_is_forgotten_after_a_day)
{
    machine m;
    order_purchase order;
    order.purchase.order_id = "p-1";
    const auto first = std::get<purchase_result>(m.run(order).body);
    order.purchase.order_id = "p-2";
    m.run(order);
    m.write(update_purchase{"p-1", purchase_phase::refused, "", "",
                            first.purchase.changed});
    m.now += 25h;
    order.purchase.order_id = "p-3";
    m.run(order);
    CHECK_FALSE(m.state.tables().purchases.contains("p-1"));
    CHECK(m.state.tables().purchases.contains("p-2"));
}

TEST(control_state_tests, late_list_entry_does_not_replace_leaving)
{
    machine m;
    m.write(set_leaving{"i-1", leaving_source::reclaim_notice, 2, start + 9s});
    const auto later = m.write(
        set_leaving{"i-1", leaving_source::instance_list, 2, start + 20s});
    CHECK(later.status == write_status::unchanged);
    const auto sooner = m.write(
        set_leaving{"i-1", leaving_source::operator_order, 2, start + 3s});
    CHECK(sooner.status == write_status::applied);
    CHECK(m.state.tables().leaving.at("i-1").gone_at == start + 3s);
}

// [evacuations] --------------------------------------------------------------

// Guards against an order that is refused, or takes effect twice, because an
// operator who got no answer gives it again.
TEST(control_state_tests, repeated_evacuations_are_acknowledged)
{
    machine m;
    const auto first = m.write(order_evacuation{"sul-a"}, "o-1");
    CHECK(first.status == write_status::applied);
    const auto since = m.state.tables().evacuations.at("sul-a").since;
    CHECK(since == start);
    m.now += 5s;
    CHECK(m.write(order_evacuation{"sul-a"}, "o-1") == first);
    const auto again = m.write(order_evacuation{"sul-a"}, "o-2");
    CHECK(again.status == write_status::unchanged);
    CHECK(again.now == first.now);
    CHECK(m.write(order_evacuation{"sul-a", 0}, "o-3").status ==
          write_status::unchanged);
    CHECK(m.state.tables().evacuations.at("sul-a").since == since);
    CHECK(m.write(withdraw_evacuation{"sul-b"}).status ==
          write_status::unchanged);
    const auto ended = m.write(withdraw_evacuation{"sul-a", first.now}, "o-4");
    CHECK(ended.status == write_status::applied);
    CHECK_FALSE(m.state.tables().evacuations.at("sul-a").in_force());
    CHECK(m.write(withdraw_evacuation{"sul-a"}, "o-5").status ==
          write_status::unchanged);
    CHECK(m.write(order_evacuation{""}).status == write_status::refused);
}

// Guards against a late order that replaces a newer one that it has not seen.
TEST(control_state_tests, evacuation_with_an_old_revision_conflicts)
{
    machine m;
    const auto first = m.write(order_evacuation{"sul-a", 0});
    CHECK(m.write(withdraw_evacuation{"sul-a", first.now + 1}).status ==
          write_status::conflict);
    const auto ended = m.write(withdraw_evacuation{"sul-a", first.now});
    CHECK(m.write(order_evacuation{"sul-a", first.now}).status ==
          write_status::conflict);
    CHECK(m.write(order_evacuation{"sul-a", ended.now}).status ==
          write_status::applied);
}

// Guards against followers that miss the begin or the end of an evacuation.
TEST(control_state_tests, evacuations_reach_followers)
{
    machine m;
    m.write(service_of("llm", 0));
    declarations follower;
    const auto follow = [&] {
        const auto delta = decode_delta(
            encode(delta_since(m.state.tables(), follower.applied)));
        CHECK(delta.has_value());
        CHECK(apply_delta(follower, *delta) == delta_outcome::applied);
        return make_view(follower).evacuations;
    };
    CHECK_TRUE(follow().empty());
    m.write(order_evacuation{"sul-a"});
    m.write(order_evacuation{"sul-b"});
    const auto begun = follow();
    LONGS_EQUAL(2, begun.size());
    STRCMP_EQUAL("sul-a", begun.front().failure_domain.c_str());
    CHECK(begun.front().since == start);
    m.write(withdraw_evacuation{"sul-a"});
    LONGS_EQUAL(1, follow().size());
    m.write(withdraw_evacuation{"sul-b"});
    CHECK_TRUE(follow().empty());
    const auto late = delta_since(m.state.tables(), 0);
    declarations fresh;
    CHECK(apply_delta(fresh, late) == delta_outcome::applied);
    CHECK_TRUE(make_view(fresh).evacuations.empty());
}

// [ledger] -------------------------------------------------------------------

TEST(control_state_tests, key_is_granted_once)
{
    machine m;
    const auto first = m.claim("k", 1);
    CHECK(first.status == claim_status::granted);
    const auto resent = m.claim("k", 1);
    CHECK(resent.status == claim_status::granted);
    CHECK(resent.claim.number == first.claim.number);
    CHECK(m.claim("k", 2).status == claim_status::open);
    CHECK(m.claim("k", 3, "other").status == claim_status::mismatch);
}

TEST(control_state_tests, outcome_is_replayed_to_a_repeat)
{
    machine m;
    const auto claim = m.claim("k", 1);
    call_outcome outcome{
        201, {{"Content-Type", "text/plain"}}, "booked", false};
    const record_outcome record{"pomar", "k", claim.claim.number, outcome};
    CHECK(m.write(record).status == write_status::applied);
    CHECK(m.write(record).status == write_status::unchanged);
    const auto repeat = m.claim("k", 2);
    CHECK(repeat.status == claim_status::finished);
    CHECK(repeat.claim.outcome == outcome);
    CHECK(m.write(release_claim{"pomar", "k", claim.claim.number}).status ==
          write_status::refused);
}

TEST(control_state_tests, release_frees_the_key_but_not_for_a_late_claim)
{
    machine m;
    const auto first = m.claim("k", 1);
    m.write(release_claim{"pomar", "k", first.claim.number});
    CHECK(m.claim("k", 1).status == claim_status::open);
    const auto second = m.claim("k", 2);
    CHECK(second.status == claim_status::granted);
    CHECK(m.write(release_claim{"pomar", "k", first.claim.number}).status ==
          write_status::missing);
    CHECK(m.claim("k", 3).status == claim_status::open);
}

TEST(control_state_tests, full_ledger_refuses_and_forgets_only_after_time)
{
    machine m;
    m.state = control_state{{3, 2, 10, 5}};
    CHECK(m.claim("a", 1).status == claim_status::granted);
    CHECK(m.claim("b", 2).status == claim_status::granted);
    CHECK(m.claim("c", 3).status == claim_status::full);
    CHECK(m.claim("a", 4).status == claim_status::open);
    m.now += 1h;
    CHECK(m.claim("c", 5).status == claim_status::granted);
    LONGS_EQUAL(1, m.state.claim_count());
}

TEST(control_state_tests, oldest_body_makes_room_but_the_key_stays)
{
    machine m;
    m.state = control_state{{10, 10, 10, 5}};
    for (const char* key : {"a", "b"})
    {
        const auto claim = m.claim(key, 1);
        m.write(record_outcome{
            "pomar", key, claim.claim.number, {200, {}, "12345678", false}});
    }
    const auto old = m.claim("a", 2);
    CHECK(old.status == claim_status::finished);
    CHECK(old.claim.outcome.body_cut);
    CHECK(m.claim("b", 2).claim.outcome.body == "12345678");
}

TEST(control_state_tests, wall_clock_going_back_expires_nothing_early)
{
    machine m;
    m.claim("a", 1);
    m.now -= 2h;
    m.claim("b", 1);
    CHECK(m.state.time() == start);
    const auto* late = m.state.find_claim("pomar", "b");
    CHECK(late != nullptr);
    CHECK(late->expires_at == start + 1h);
}

// [snapshots] ----------------------------------------------------------------

namespace
{

void fill(machine& m)
{
    const auto pomar = m.write(contract_of("pomar", 1, 0), "o-1");
    m.write(contract_of("litoral", 2, 0), "o-2");
    m.write(set_grants{"pomar", {{"entry-1", 1, 2, 3, start + 9s}}, 0});
    m.write(service_of("llm", 0));
    m.write(order_move{{"llm", "v2", start + 1h, 0.05, 60s, "o-3"}, 0});
    m.run(allocate_fence{});
    order_purchase purchase;
    purchase.purchase.order_id = "p-1";
    m.run(purchase);
    m.write(set_leaving{"i-1", leaving_source::scale_in, 1, {}});
    m.write(order_evacuation{"sul-b"}, "o-4");
    m.write(order_evacuation{"sul-c"});
    m.write(withdraw_evacuation{"sul-c"});
    const auto claim = m.claim("k", 1);
    m.write(record_outcome{
        "pomar", "k", claim.claim.number, {200, {{"A", "b"}}, "x", false}});
    m.claim("open", 1);
    m.write(delete_contract{"litoral", 2});
    m.state.apply(
        {m.next++, 3},
        replica_set{{{1, "c1", "a", "b", "sul-a", replica_role::voter}}, 2});
    (void)pomar;
}

} // namespace

TEST(control_state_tests, snapshot_gives_the_same_state_and_future)
{
    machine m;
    fill(m);
    machine copy;
    const auto bytes = m.state.encode_snapshot();
    CHECK(copy.state.restore_snapshot(bytes).has_value());
    copy.next = m.next;
    CHECK(copy.state.tables() == m.state.tables());
    CHECK(copy.state.encode_snapshot() == bytes);
    CHECK(copy.run(contract_of("pomar", 1, 0), "o-1") ==
          m.run(contract_of("pomar", 1, 0), "o-1"));
    CHECK(copy.claim("k", 2) == m.claim("k", 2));
    CHECK(copy.state.encode_snapshot() == m.state.encode_snapshot());
}

TEST(control_state_tests, damaged_bytes_change_nothing)
{
    machine m;
    fill(m);
    const auto bytes = m.state.encode_snapshot();
    const auto tables = m.state.tables();
    for (std::size_t length = 0; length < bytes.size(); length += 7)
    {
        (void)m.state.restore_snapshot(bytes.substr(0, length));
    }
    CHECK_FALSE(m.state.restore_snapshot("").has_value());
    CHECK_FALSE(m.state.restore_snapshot(bytes.substr(0, 20)).has_value());
    CHECK(m.state.tables() == tables);
    CHECK_FALSE(decode_command("nonsense").has_value());
    CHECK_FALSE(decode_result("").has_value());
    CHECK_FALSE(decode_delta("\x01\x02").has_value());
}

// [deltas] -------------------------------------------------------------------

TEST(control_state_tests, one_delta_catches_up_many_changes)
{
    machine m;
    declarations follower;
    revision now = 0;
    for (int round = 0; round < 500; ++round)
    {
        now = m.write(contract_of("pomar", round, now)).now;
    }
    const auto delta = delta_since(m.state.tables(), 0);
    LONGS_EQUAL(1, delta.contracts.size());
    CHECK(apply_delta(follower, delta) == delta_outcome::applied);
    CHECK(follower.contracts == m.state.tables().contracts);
    CHECK(apply_delta(follower, delta) == delta_outcome::stale);
}

TEST(control_state_tests, deltas_in_any_order_never_go_back)
{
    machine m;
    fill(m);
    const auto old = delta_since(m.state.tables(), 0);
    const auto middle = m.state.applied_index();
    const auto again = m.write(contract_of("litoral", 5, 0));
    const auto pomar = m.state.tables().contracts.at("pomar").changed;
    m.write(delete_contract{"pomar", pomar});
    const auto bytes = encode(delta_since(m.state.tables(), middle));
    const auto change = decode_delta(bytes);
    CHECK(change.has_value());
    declarations follower;
    CHECK(apply_delta(follower, *change) == delta_outcome::gap);
    CHECK(apply_delta(follower, old) == delta_outcome::applied);
    CHECK(apply_delta(follower, *change) == delta_outcome::applied);
    CHECK(apply_delta(follower, old) == delta_outcome::stale);
    CHECK(follower == static_cast<const declarations&>(m.state.tables()));
    CHECK(follower.contracts.at("litoral").changed == again.now);
}

TEST(control_state_tests, follower_that_missed_too_many_removals_gets_all)
{
    machine m;
    m.write(contract_of("gone", 1, 0));
    declarations follower;
    apply_delta(follower, delta_since(m.state.tables(), 0));
    m.write(delete_contract{"gone", 1});
    for (std::size_t round = 0; round < max_removals; ++round)
    {
        const auto made = m.write(contract_of("x", 1, 0));
        m.write(delete_contract{"x", made.now});
    }
    const auto delta = delta_since(m.state.tables(), follower.applied);
    CHECK(delta.kind == delta_kind::whole);
    CHECK(apply_delta(follower, delta) == delta_outcome::applied);
    CHECK(follower.contracts.empty());
}
