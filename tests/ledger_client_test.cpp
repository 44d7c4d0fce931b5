/// @file
/// Tests of coordination/ledger_client.hpp against a simulated ledger that
/// loses requests and replies or refuses them.

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

/// How the simulated network and replicas handle a request.
enum class delivery_mode
{
    answered,
    request_lost, ///< Not executed; the sender sees a time-out.
    reply_lost,   ///< Executed; the sender sees a time-out.
    not_leader,
    no_quorum
};

/// The control replicas as one state machine; the test chooses how each request
/// is handled.
struct fake_ledger
{
    transport::manual_clock clock;
    state::control_state state;
    state::log_index next = 1;
    /// Modes of the next requests, in order; then default_mode.
    std::deque<delivery_mode> scripted_modes;
    delivery_mode default_mode = delivery_mode::answered;

    ledger_client::call_function calls()
    {
        return [this](const std::string&, const std::string& payload,
                      std::chrono::milliseconds,
                      auto on_reply) { on_reply(run(payload)); };
    }

    transport::result<std::string> run(const std::string& payload)
    {
        const auto mode =
            scripted_modes.empty() ? default_mode : scripted_modes.front();
        if (!scripted_modes.empty())
        {
            scripted_modes.pop_front();
        }
        const auto lost = transport::fail(transport::reason::timed_out, "",
                                          transport::verdict::may_have_run);
        if (mode == delivery_mode::request_lost)
        {
            return lost;
        }
        if (mode == delivery_mode::not_leader ||
            mode == delivery_mode::no_quorum)
        {
            const auto code = mode == delivery_mode::not_leader
                                  ? transport::reason::not_leader
                                  : transport::reason::no_quorum;
            return encode_ledger_reply({transport::fail(code, ""), ""});
        }
        auto command = decode_ledger_request(payload);
        CHECK(command.has_value());
        command->at = clock.wall_now();
        const auto result = state.apply({next++, 1}, *command);
        if (mode == delivery_mode::reply_lost)
        {
            return lost;
        }
        return encode_ledger_reply({result, "c1"});
    }
};

struct client_fixture
{
    fake_ledger ledger;
    ledger_client client{{"entry-1"}, ledger.clock, ledger.calls(), 7};
    std::vector<ledger_answer> answers;

    client_fixture()
    {
        client.set_replicas({"c1", "c2", "c3"});
    }

    void claim(const std::string& key, const std::string& digest = "d")
    {
        client.claim("pomar", key, digest, [this](ledger_answer answer) {
            answers.push_back(std::move(answer));
        });
    }

    void advance(std::chrono::milliseconds duration)
    {
        for (auto elapsed = 0ms; elapsed < duration; elapsed += 50ms)
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
    client_fixture fixture;
    fixture.claim("k");
    CHECK(fixture.answers.at(0).verdict == ledger_verdict::dispatch);
    fixture.claim("k");
    CHECK(fixture.answers.at(1).failure.code == transport::reason::key_in_use);
    CHECK(fixture.answers.at(1).failure.ran ==
          transport::verdict::may_have_run);
    fixture.client.finish(fixture.answers.at(0).claim,
                          {200, {}, "booked", false});
    fixture.claim("k");
    CHECK(fixture.answers.at(2).verdict == ledger_verdict::replay);
    CHECK(fixture.answers.at(2).outcome.body == "booked");
    fixture.claim("k", "another");
    CHECK(fixture.answers.at(3).failure.code ==
          transport::reason::key_mismatch);
    LONGS_EQUAL(0, fixture.client.pending_count());
}

TEST(ledger_client_tests, lost_reply_is_retried)
{
    client_fixture fixture;
    fixture.ledger.scripted_modes = {delivery_mode::reply_lost,
                                     delivery_mode::not_leader};
    fixture.claim("k");
    CHECK(fixture.answers.empty());
    fixture.advance(200ms);
    CHECK(fixture.answers.at(0).verdict == ledger_verdict::dispatch);
    LONGS_EQUAL(1, fixture.ledger.state.claim_count());
}

TEST(ledger_client_tests, without_quorum_claim_is_refused_as_not_run)
{
    client_fixture fixture;
    fixture.ledger.default_mode = delivery_mode::no_quorum;
    fixture.claim("k");
    fixture.advance(2'100ms);
    CHECK(fixture.answers.at(0).failure.code == transport::reason::no_quorum);
    CHECK(fixture.answers.at(0).failure.ran == transport::verdict::not_run);
    LONGS_EQUAL(0, fixture.client.pending_count());
}

TEST(ledger_client_tests, claim_granted_too_late_is_released)
{
    client_fixture fixture;
    fixture.ledger.default_mode = delivery_mode::reply_lost;
    fixture.claim("k");
    fixture.advance(2'100ms);
    CHECK(fixture.answers.at(0).failure.ran == transport::verdict::not_run);
    fixture.ledger.default_mode = delivery_mode::answered;
    fixture.advance(500ms);
    LONGS_EQUAL(0, fixture.client.pending_count());
    fixture.claim("k");
    CHECK(fixture.answers.at(1).verdict == ledger_verdict::dispatch);
}

// An entry that was suspended between claim and dispatch must not dispatch
// after the deadline. It releases the claim, and the key can be claimed again.
TEST(ledger_client_tests, no_dispatch_after_the_deadline)
{
    client_fixture fixture;
    fixture.claim("k");
    const auto& claim = fixture.answers.at(0).claim;
    CHECK(fixture.client.may_dispatch(claim));
    fixture.ledger.clock.advance(5s);
    CHECK_FALSE(fixture.client.may_dispatch(claim));
    fixture.client.release(claim);
    fixture.claim("k");
    CHECK(fixture.answers.at(1).verdict == ledger_verdict::dispatch);
}

// An entry that ends before it records an outcome leaves it unknown whether the
// call ran, so no other entry gets the claim.
TEST(ledger_client_tests, unfinished_claim_keeps_the_key_open)
{
    client_fixture fixture;
    fixture.claim("k");
    ledger_client other{
        {"entry-2"}, fixture.ledger.clock, fixture.ledger.calls(), 8};
    other.set_replicas({"c1"});
    ledger_answer answer;
    other.claim("pomar", "k", "d",
                [&](ledger_answer got) { answer = std::move(got); });
    CHECK(answer.verdict == ledger_verdict::refuse);
    CHECK(answer.failure.ran == transport::verdict::may_have_run);
}

TEST(ledger_client_tests, long_body_is_truncated_and_flagged)
{
    client_fixture fixture;
    fixture.claim("k");
    fixture.client.finish(fixture.answers.at(0).claim,
                          {200, {}, std::string(100'000, 'x'), false});
    fixture.claim("k");
    LONGS_EQUAL(state::max_outcome_body_bytes,
                fixture.answers.at(1).outcome.body.size());
    CHECK(fixture.answers.at(1).outcome.body_cut);
}

TEST(ledger_client_tests, at_most_one_dispatch_per_key_under_failures)
{
    for (std::uint64_t seed = 1; seed <= 2'000; ++seed)
    {
        std::mt19937_64 random{seed};
        fake_ledger ledger;
        const delivery_mode modes[] = {
            delivery_mode::answered,   delivery_mode::answered,
            delivery_mode::answered,   delivery_mode::request_lost,
            delivery_mode::reply_lost, delivery_mode::not_leader,
            delivery_mode::no_quorum};
        std::vector<std::unique_ptr<ledger_client>> entries;
        for (int number = 0; number < 3; ++number)
        {
            entries.push_back(std::make_unique<ledger_client>(
                ledger_client_settings{fmt::format("entry-{}", number)},
                ledger.clock, ledger.calls(), random()));
            entries.back()->set_replicas({"c1", "c2"});
        }
        int dispatches = 0;
        for (int step = 0; step < 60; ++step)
        {
            ledger.scripted_modes = {modes[random() % 7]};
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
            for (auto& client : entries)
            {
                ledger.scripted_modes = {modes[random() % 7]};
                client->tick();
            }
        }
        CHECK(dispatches <= 1);
    }
}
