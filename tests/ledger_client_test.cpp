/// @file
/// Tests of coordination/ledger_client.hpp against a ledger whose answers are
/// lost, late or refused.

#include <hyssopdeal/coordination/ledger_client.hpp>

#include <deque>
#include <random>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <hyssopdeal/state/control_state.hpp>

#include "coordination/ledger_wire.hpp"

using namespace hyssopdeal;
using namespace hyssopdeal::coordination;
using namespace std::chrono_literals;

namespace
{

/// What becomes of a message.
enum class fate
{
    answered,
    lost_before, ///< Never arrives; the sender cannot know.
    lost_after,  ///< Takes effect, the answer is lost.
    not_leader,
    no_quorum
};

/// The replicas: one state, and fates drawn by the test.
struct fake_ledger
{
    transport::manual_clock clock;
    state::control_state state;
    state::log_index next = 1;
    std::deque<fate> fates;
    fate otherwise = fate::answered;

    ledger_client::call_function calls()
    {
        return [this](const std::string&, const std::string& payload,
                      std::chrono::milliseconds,
                      auto on_reply) { on_reply(run(payload)); };
    }

    transport::result<std::string> run(const std::string& payload)
    {
        const auto now = fates.empty() ? otherwise : fates.front();
        if (!fates.empty())
        {
            fates.pop_front();
        }
        const auto lost = transport::fail(transport::reason::timed_out, "",
                                          transport::verdict::may_have_run);
        if (now == fate::lost_before)
        {
            return lost;
        }
        if (now == fate::not_leader || now == fate::no_quorum)
        {
            const auto code = now == fate::not_leader
                                  ? transport::reason::not_leader
                                  : transport::reason::no_quorum;
            return encode_ledger_reply({transport::fail(code, ""), ""});
        }
        auto command = decode_ledger_request(payload);
        CHECK(command.has_value());
        command->at = clock.wall_now();
        const auto result = state.apply({next++, 1}, *command);
        if (now == fate::lost_after)
        {
            return lost;
        }
        return encode_ledger_reply({result, "c1"});
    }
};

struct client_bench
{
    fake_ledger ledger;
    ledger_client client{{"entry-1"}, ledger.clock, ledger.calls(), 7};
    std::vector<ledger_answer> answers;

    client_bench()
    {
        client.set_replicas({"c1", "c2", "c3"});
    }

    void claim(const std::string& key, const std::string& digest = "d")
    {
        client.claim("pomar", key, digest, [this](ledger_answer answer) {
            answers.push_back(std::move(answer));
        });
    }

    void pass(std::chrono::milliseconds time)
    {
        for (auto spent = 0ms; spent < time; spent += 50ms)
        {
            ledger.clock.advance(50ms);
            client.tick();
        }
    }
};

} // namespace

TEST_GROUP(ledger_client_tests){};

TEST(ledger_client_tests, claim_dispatch_outcome_replay)
{
    client_bench bench;
    bench.claim("k");
    CHECK(bench.answers.at(0).verdict == ledger_verdict::dispatch);
    bench.claim("k");
    CHECK(bench.answers.at(1).failure.code == transport::reason::key_in_use);
    CHECK(bench.answers.at(1).failure.ran == transport::verdict::may_have_run);
    bench.client.finish(bench.answers.at(0).claim, {200, {}, "booked", false});
    bench.claim("k");
    CHECK(bench.answers.at(2).verdict == ledger_verdict::replay);
    CHECK(bench.answers.at(2).outcome.body == "booked");
    bench.claim("k", "another");
    CHECK(bench.answers.at(3).failure.code == transport::reason::key_mismatch);
    LONGS_EQUAL(0, bench.client.open());
}

TEST(ledger_client_tests, lost_answer_is_asked_for_again)
{
    client_bench bench;
    bench.ledger.fates = {fate::lost_after, fate::not_leader};
    bench.claim("k");
    CHECK(bench.answers.empty());
    bench.pass(200ms);
    CHECK(bench.answers.at(0).verdict == ledger_verdict::dispatch);
    LONGS_EQUAL(1, bench.ledger.state.claim_count());
}

TEST(ledger_client_tests, no_quorum_is_refused_not_run)
{
    client_bench bench;
    bench.ledger.otherwise = fate::no_quorum;
    bench.claim("k");
    bench.pass(2'100ms);
    CHECK(bench.answers.at(0).failure.code == transport::reason::no_quorum);
    CHECK(bench.answers.at(0).failure.ran == transport::verdict::not_run);
    LONGS_EQUAL(0, bench.client.open());
}

TEST(ledger_client_tests, claim_granted_too_late_is_released)
{
    client_bench bench;
    bench.ledger.otherwise = fate::lost_after;
    bench.claim("k");
    bench.pass(2'100ms);
    CHECK(bench.answers.at(0).failure.ran == transport::verdict::not_run);
    bench.ledger.otherwise = fate::answered;
    bench.pass(500ms);
    LONGS_EQUAL(0, bench.client.open());
    bench.claim("k");
    CHECK(bench.answers.at(1).verdict == ledger_verdict::dispatch);
}

TEST(ledger_client_tests, sleeper_may_not_dispatch)
{
    client_bench bench;
    bench.claim("k");
    const auto& claim = bench.answers.at(0).claim;
    CHECK(bench.client.may_dispatch(claim));
    bench.ledger.clock.advance(5s);
    CHECK_FALSE(bench.client.may_dispatch(claim));
    bench.client.release(claim);
    bench.claim("k");
    CHECK(bench.answers.at(1).verdict == ledger_verdict::dispatch);
}

TEST(ledger_client_tests, dead_claimant_leaves_the_key_open)
{
    client_bench bench;
    bench.claim("k");
    ledger_client other{
        {"entry-2"}, bench.ledger.clock, bench.ledger.calls(), 8};
    other.set_replicas({"c1"});
    ledger_answer answer;
    other.claim("pomar", "k", "d",
                [&](ledger_answer got) { answer = std::move(got); });
    CHECK(answer.verdict == ledger_verdict::refuse);
    CHECK(answer.failure.ran == transport::verdict::may_have_run);
}

TEST(ledger_client_tests, long_body_is_cut_and_said_so)
{
    client_bench bench;
    bench.claim("k");
    bench.client.finish(bench.answers.at(0).claim,
                        {200, {}, std::string(100'000, 'x'), false});
    bench.claim("k");
    LONGS_EQUAL(state::max_outcome_body_bytes,
                bench.answers.at(1).outcome.body.size());
    CHECK(bench.answers.at(1).outcome.body_cut);
}

TEST(ledger_client_tests, one_dispatch_for_each_key_through_all_fates)
{
    for (std::uint64_t seed = 1; seed <= 2'000; ++seed)
    {
        std::mt19937_64 random{seed};
        fake_ledger ledger;
        const fate kinds[] = {fate::answered,   fate::answered,
                              fate::answered,   fate::lost_before,
                              fate::lost_after, fate::not_leader,
                              fate::no_quorum};
        std::vector<std::unique_ptr<ledger_client>> entries;
        for (int at = 0; at < 3; ++at)
        {
            entries.push_back(std::make_unique<ledger_client>(
                ledger_client_settings{fmt::format("entry-{}", at)},
                ledger.clock, ledger.calls(), random()));
            entries.back()->set_replicas({"c1", "c2"});
        }
        int dispatches = 0;
        for (int step = 0; step < 60; ++step)
        {
            ledger.fates = {kinds[random() % 7]};
            auto& entry = *entries[random() % entries.size()];
            entry.claim("pomar", "k", "d", [&](const ledger_answer& answer) {
                if (answer.verdict != ledger_verdict::dispatch)
                {
                    return;
                }
                const bool sent =
                    random() % 2 == 0 && entry.may_dispatch(answer.claim);
                dispatches += sent ? 1 : 0;
                if (!sent)
                {
                    entry.release(answer.claim);
                }
                else if (random() % 3 != 0)
                {
                    entry.finish(answer.claim, {200, {}, "", false});
                }
            });
            ledger.clock.advance(std::chrono::milliseconds{random() % 900});
            for (auto& one : entries)
            {
                ledger.fates = {kinds[random() % 7]};
                one->tick();
            }
        }
        CHECK(dispatches <= 1);
    }
}
