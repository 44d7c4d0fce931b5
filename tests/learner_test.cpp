/// @file
/// Tests of coordination/learner.hpp: order, restart, cut-off domains, relays.

#include <hyssopdeal/coordination/learner.hpp>

#include <random>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <hyssopdeal/state/control_state.hpp>

using namespace hyssopdeal;
using namespace hyssopdeal::coordination;
using namespace std::chrono_literals;

namespace
{

/// A state that changes, as a replica would serve it.
struct source_state
{
    state::control_state state;
    state::log_index next = 1;

    void change(const std::string& name, double rate)
    {
        const auto found = state.tables().contracts.find(name);
        state::put_contract body;
        body.contract.organisation = name;
        body.contract.requests_per_second = rate;
        body.expected =
            found == state.tables().contracts.end() ? 0 : found->second.changed;
        (void)state.apply({next++, 1}, state::command{{}, {}, body});
    }

    void remove(const std::string& name)
    {
        const auto revision = state.tables().contracts.at(name).changed;
        (void)state.apply(
            {next++, 1},
            state::command{{}, {}, state::delete_contract{name, revision}});
    }

    [[nodiscard]] const state::declarations& tables() const
    {
        return state.tables();
    }
};

const transport::monotonic_time start{std::chrono::hours{1}};

follow_update update_of(const source_state& source, state::log_index follower)
{
    follow_update update{source.tables().applied, {}};
    if (source.tables().applied > follower)
    {
        update.delta = state::delta_since(source.tables(), follower);
    }
    return update;
}

} // namespace

TEST_GROUP(learner_tests){};

// [learner] ------------------------------------------------------------------

TEST(learner_tests, pulls_and_publishes)
{
    source_state source;
    source.change("pomar", 1);
    learner entry{"entry-1", {}, start};
    const auto asked = entry.tick(start, {{"c1"}, 0});
    CHECK(asked.pull.has_value());
    CHECK(asked.pull->to == "c1");
    CHECK(entry.phase() == learning_phase::waiting);
    const auto took = entry.answered(start, "c1", update_of(source, 0));
    CHECK(took.publish);
    CHECK(entry.phase() == learning_phase::current);
    CHECK_FALSE(entry.tick(start + 10ms, {{"c1"}, 0}).pull.has_value());
    CHECK(entry.tick(start + 1s, {{"c1"}, 0}).pull.has_value());
}

TEST(learner_tests, restarted_entry_waits_for_the_highest_index_heard)
{
    source_state old;
    old.change("pomar", 1);
    source_state latest = old;
    latest.change("pomar", 2);
    learner entry{"entry-1", {}, start};
    (void)entry.tick(start, {{"c1", "c2"}, 2});
    CHECK_FALSE(entry.answered(start, "c1", update_of(old, 0)).publish);
    CHECK(entry.phase() == learning_phase::waiting);
    CHECK_FALSE(entry.pushed(start, update_of(old, 0)).publish);
    const auto asked = entry.tick(start + 100ms, {{"c1", "c2"}, 2});
    CHECK(asked.pull->to == "c2");
    CHECK(entry.answered(start + 100ms, "c2", update_of(latest, 0)).publish);
    CHECK(entry.phase() == learning_phase::current);
}

TEST(learner_tests, cut_off_entry_serves_on_the_best_and_says_so)
{
    source_state old;
    old.change("pomar", 1);
    learner entry{"entry-1", {}, start};
    (void)entry.tick(start, {{"near"}, 9});
    CHECK_FALSE(entry.answered(start, "near", update_of(old, 0)).publish);
    const auto later = start + 3s;
    (void)entry.tick(later, {{"near"}, 9});
    CHECK(entry.answered(later, "near", update_of(old, 0)).publish);
    CHECK(entry.phase() == learning_phase::behind);
    source_state latest = old;
    for (int round = 0; round < 8; ++round)
    {
        latest.change("pomar", round);
    }
    (void)entry.tick(later + 200ms, {{"c1"}, 9});
    CHECK(entry.answered(later + 200ms, "c1", update_of(latest, 1)).publish);
    CHECK(entry.phase() == learning_phase::current);
}

TEST(learner_tests, silence_of_all_sources_shows)
{
    source_state source;
    source.change("pomar", 1);
    learner entry{"entry-1", {}, start};
    (void)entry.tick(start, {{"c1"}, 0});
    (void)entry.answered(start, "c1", update_of(source, 0));
    auto now = start;
    for (int round = 0; round < 60; ++round)
    {
        now += 100ms;
        if (entry.tick(now, {{"c1", "c2"}, 1}).pull)
        {
            entry.failed(now, "c1");
        }
    }
    CHECK(entry.phase() == learning_phase::behind);
    LONGS_EQUAL(1, entry.declarations().applied);
}

TEST(learner_tests, shuffled_lost_and_repeated_updates_never_go_back)
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed)
    {
        std::mt19937_64 random{seed};
        source_state source;
        learner entry{"entry-1", {}, start};
        std::vector<follow_update> sent;
        state::log_index applied = 0;
        for (int round = 0; round < 60; ++round)
        {
            const auto name = fmt::format("org-{}", random() % 5);
            const bool exists =
                source.tables().contracts.contains(name) && random() % 3 == 0;
            exists ? source.remove(name)
                   : source.change(name, static_cast<double>(random() % 99));
            sent.push_back(update_of(source, random() % source.next));
            const auto& update = sent[random() % sent.size()];
            (void)entry.pushed(start, update);
            CHECK(entry.declarations().applied >= applied);
            applied = entry.declarations().applied;
        }
        (void)entry.pushed(start, update_of(source, applied));
        CHECK(entry.declarations().contracts == source.tables().contracts);
    }
}

// [declaration_source] -------------------------------------------------------

TEST(learner_tests, source_pushes_each_change_once)
{
    source_state source;
    source.change("pomar", 1);
    declaration_source serve{{}};
    (void)serve.answer(start, source.tables(), {"entry-1", 1});
    CHECK(serve.push(start, source.tables()).empty());
    source.change("pomar", 2);
    const auto pushes = serve.push(start, source.tables());
    LONGS_EQUAL(1, pushes.size());
    CHECK(pushes.front().update.delta->from == 1);
    CHECK(serve.push(start + 30ms, source.tables()).empty());
    (void)serve.push(start + 10s, source.tables());
    LONGS_EQUAL(0, serve.followers());
}

TEST(learner_tests, burst_is_sent_as_few_deltas)
{
    source_state source;
    source.change("pomar", 1);
    declaration_source serve{{}};
    (void)serve.answer(start, source.tables(), {"entry-1", 1});
    std::size_t pushes = 0;
    for (int at = 0; at < 100; ++at)
    {
        source.change("pomar", at);
        pushes += serve.push(start + at * 1ms, source.tables()).size();
    }
    CHECK(pushes <= 6);
    CHECK(serve.next_push().has_value());
    LONGS_EQUAL(1, serve.push(start + 200ms, source.tables()).size());
}

// [source_choice] ------------------------------------------------------------

TEST(learner_tests, large_domain_asks_its_relays_and_few_ask_replicas)
{
    const learning_settings settings;
    std::vector<source_candidate> members{{"c1", "a", true}, {"c2", "b", true}};
    for (int at = 0; at < 100; ++at)
    {
        members.push_back({fmt::format("entry-{}", at), "a", false});
    }
    std::size_t direct = 0;
    for (int at = 0; at < 100; ++at)
    {
        const auto sources =
            choose_sources(settings, fmt::format("entry-{}", at), "a", members);
        const bool replica = sources.front().starts_with("c");
        direct += replica ? 1 : 0;
        CHECK(replica || sources.size() == 5 + 2);
    }
    LONGS_EQUAL(5, direct); // 100 members, 24 followers of each relay
    members.resize(10);
    CHECK(choose_sources(settings, "entry-0", "a", members)
              .front()
              .starts_with("c"));
}

// [encoding] -----------------------------------------------------------------

TEST(learner_tests, messages_are_told_apart)
{
    source_state source;
    source.change("pomar", 1);
    const auto update = update_of(source, 0);
    const follow_request request{"entry-1", 7};
    CHECK(*decode_follow_request(encode(request)) == request);
    CHECK(*decode_follow_update(encode(update)) == update);
    CHECK_FALSE(decode_follow_request(encode(update)).has_value());
    CHECK_FALSE(decode_follow_update(encode(request)).has_value());
}
