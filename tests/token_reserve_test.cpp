/// @file
/// Tests token_reserve and reserve_ledger with the shares and the shared quota
/// of a fleet, without a network and on simulated time.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <hyssopdeal/coordination/admission/reserve_ledger.hpp>
#include <hyssopdeal/coordination/admission/token_reserve.hpp>
#include <hyssopdeal/coordination/cluster/share_allocator.hpp>
#include <hyssopdeal/coordination/gateway/token_quota.hpp>

#include <CppUTest/TestHarness.h>

using namespace hyssopdeal;
using namespace hyssopdeal::coordination;
using namespace std::chrono_literals;
using transport::monotonic_time;

namespace
{

constexpr double rate = 36'000;
constexpr double burst = 36'000;
constexpr std::size_t entry_count = 84;
constexpr auto step = 5ms;
constexpr auto report_interval = 140ms;
constexpr double allocated_fraction = 0.35;

struct demand_shape
{
    double tokens_per_s = 0;
    double mean_size = 0;
};

struct entry
{
    std::string name;
    token_quota quota;
    token_reserve reserve;
    monotonic_time next_report{};
};

struct leader
{
    share_allocator shares;
    token_quota shared;
    reserve_ledger ledger;
};

struct outcome
{
    double worst_window = 0;
    int refused = 0;        ///< In all, as beyond the quota or without answer.
    int refused_silent = 0; ///< While no leader answered.
    int asked_silent = 0;
    double reserve_used = 0;
};

quota_settings tolerant()
{
    quota_settings settings;
    settings.tolerated_fraction = 0.1;
    settings.tolerated_tokens = 140'000;
    return settings;
}

/// 84 entries with real shares and a leader that is lost at times.
class fleet
{
public:
    fleet(std::map<std::string, demand_shape> demands, bool with_reserves)
        : demands_(std::move(demands)),
          with_reserves_(with_reserves)
    {
        for (const auto& [name, shape] : demands_)
        {
            protocol::organisation_terms terms;
            terms.name = name;
            terms.tokens_per_second = rate;
            terms.burst_tokens = burst;
            terms_.push_back(terms);
            names_.push_back(name);
        }
        for (std::size_t at = 0; at < entry_count; ++at)
        {
            entries_.push_back({"e" + std::to_string(at),
                                token_quota{tolerant()}, token_reserve{},
                                now_ + at * 1ms});
            entries_.back().quota.set_organisations(now_, terms_);
            eligible_.insert(entries_.back().name);
        }
        elect();
    }

    void elect()
    {
        leader_.emplace(leader{share_allocator{now_, {}},
                               token_quota{tolerant()}, reserve_ledger{now_}});
        std::map<std::string, double> parts;
        for (const auto& name : names_)
        {
            parts[name] = 1 - allocated_fraction;
        }
        leader_->shared.set_organisations(now_, terms_);
        leader_->shared.set_shares(now_, parts, now_ + 24h);
        leader_->ledger.on_quota_changed(now_, leader_->shared);
        leader_->shares.set_eligible_entries(eligible_);
    }

    void set_surge(double factor)
    {
        demands_.at("surge").tokens_per_s = factor * rate;
    }

    void lose_leader()
    {
        leader_.reset();
    }

    /// The entry's reports do not reach the leader.
    void cut_off(std::size_t entry)
    {
        cut_off_.insert(entry);
    }

    void run(std::chrono::milliseconds span)
    {
        for (auto passed = 0ms; passed < span; passed += step)
        {
            now_ += step;
            for (std::size_t at = 0; at < entries_.size(); ++at)
            {
                report(at);
                ask(at);
            }
        }
    }

    std::map<std::string, outcome> results()
    {
        for (const auto& name : names_)
        {
            const auto& admitted = admitted_[name];
            double sum = 0;
            std::size_t first = 0;
            for (const auto& [at, tokens] : admitted)
            {
                sum += tokens;
                while (admitted[first].first + 8s <= at)
                {
                    sum -= admitted[first++].second;
                }
                auto& worst = outcomes_[name].worst_window;
                worst = std::max(worst, sum);
            }
        }
        return outcomes_;
    }

private:
    void report(std::size_t number)
    {
        auto& own = entries_[number];
        if (now_ < own.next_report)
        {
            return;
        }
        own.next_report = now_ + report_interval;
        protocol::entry_report told;
        told.entry = own.name;
        told.shares = own.quota.shares();
        told.shares_held_ms = std::max<std::int64_t>(
            0, std::chrono::duration_cast<std::chrono::milliseconds>(
                   own.quota.shares_expire_at() - now_)
                   .count());
        told.demand = own.quota.demand(now_);
        if (with_reserves_)
        {
            told.reserves = own.reserve.report(now_);
        }
        if (!leader_ || cut_off_.contains(number))
        {
            return;
        }
        own.quota.set_shares(now_,
                             leader_->shares.on_report(now_, told, names_),
                             now_ + 3'750ms);
        if (with_reserves_)
        {
            own.reserve.set_orders(
                now_, leader_->ledger.on_report(now_, told, eligible_,
                                                leader_->shared));
        }
    }

    void ask(std::size_t number)
    {
        for (const auto& name : names_)
        {
            const auto& shape = demands_.at(name);
            const double per_step = shape.tokens_per_s / shape.mean_size /
                                    entry_count *
                                    std::chrono::duration<double>(step).count();
            const int count = std::poisson_distribution<int>{per_step}(random_);
            for (int request = 0; request < count; ++request)
            {
                const double tokens =
                    shape.mean_size *
                    std::uniform_real_distribution<double>{0.2, 1.8}(random_);
                serve(number, name, tokens);
            }
        }
    }

    /// As gateway_core::take_tokens.
    void serve(std::size_t number, const std::string& name, double tokens)
    {
        auto& own = entries_[number];
        auto& seen = outcomes_[name];
        const bool silent = !leader_ || cut_off_.contains(number);
        seen.asked_silent += silent ? 1 : 0;
        bool taken = own.quota.take(now_, name, tokens).count() == 0;
        if (!taken && !silent)
        {
            taken = leader_->shared.take(now_, name, tokens).count() == 0;
            if (taken)
            {
                own.reserve.on_granted(now_, name, tokens);
            }
            else
            {
                leader_->ledger.on_declined(now_, name);
            }
        }
        if (!taken && with_reserves_ && own.reserve.take(now_, name, tokens))
        {
            taken = true;
            seen.reserve_used += tokens;
        }
        if (taken)
        {
            admitted_[name].emplace_back(now_, tokens);
            return;
        }
        ++seen.refused;
        seen.refused_silent += silent ? 1 : 0;
    }

    monotonic_time now_{1h};
    std::map<std::string, demand_shape> demands_;
    bool with_reserves_;
    std::mt19937_64 random_{7};
    std::vector<protocol::organisation_terms> terms_;
    std::vector<std::string> names_;
    std::vector<entry> entries_;
    std::set<std::string> eligible_;
    std::set<std::size_t> cut_off_;
    std::optional<leader> leader_;
    std::map<std::string, std::vector<std::pair<monotonic_time, double>>>
        admitted_;
    std::map<std::string, outcome> outcomes_;
};

constexpr double bound = (rate * 8 + burst) * 1.1 + 140'000;

std::map<std::string, outcome>
run_with_losses(std::chrono::milliseconds lost_for, double mean_size,
                bool with_reserves, bool one_cut_off = false)
{
    // The third has reserves when the leader is lost, and then asks for more.
    fleet simulated{{{"usual", {0.8 * rate, mean_size}},
                     {"over", {7 * rate, mean_size}},
                     {"surge", {0.8 * rate, mean_size}}},
                    with_reserves};
    simulated.run(20s);
    for (int loss = 0; loss < 3; ++loss)
    {
        if (one_cut_off && loss == 1)
        {
            simulated.cut_off(3);
        }
        simulated.lose_leader();
        simulated.set_surge(7);
        simulated.run(lost_for);
        simulated.elect();
        simulated.run(6s);
        simulated.set_surge(0.8);
        simulated.run(6s);
    }
    auto seen = simulated.results();
    for (const auto& [name, item] : seen)
    {
        std::printf("%s, lost %d ms, size %.0f, reserves %d: window %.0f, "
                    "refused %d, while silent %d of %d\n",
                    name.c_str(), static_cast<int>(lost_for.count()), mean_size,
                    with_reserves ? 1 : 0, item.worst_window, item.refused,
                    item.refused_silent, item.asked_silent);
    }
    return seen;
}

/// The part of the quota of one organisation, "o", that a leader lends.
token_quota make_shared_quota(monotonic_time start)
{
    protocol::organisation_terms terms;
    terms.name = "o";
    terms.tokens_per_second = rate;
    terms.burst_tokens = burst;
    token_quota shared{tolerant()};
    shared.set_organisations(start, {terms});
    shared.set_shares(start, {{"o", 1 - allocated_fraction}}, start + 24h);
    return shared;
}

} // namespace

TEST_GROUP(token_reserve_tests){};

// Reserves that a former leader granted are unknown to the next one. If it lent
// its whole bucket at once, both together would exceed the quota.
TEST(token_reserve_tests, no_window_exceeds_the_quota_when_leaders_are_lost)
{
    for (const auto lost_for : {1'300ms, 3'000ms})
    {
        for (const double size : {200.0, 1'000.0})
        {
            for (const bool cut_off : {false, true})
            {
                for (const auto& [name, seen] :
                     run_with_losses(lost_for, size, true, cut_off))
                {
                    CHECK_TRUE(seen.worst_window <= bound);
                    CHECK_TRUE((name == "over") == (seen.reserve_used == 0));
                }
            }
        }
    }
}

// An organisation within its quota was refused for as long as no leader
// answered, as an entry's share covers a third of its use.
TEST(token_reserve_tests, fewer_requests_within_the_quota_are_refused)
{
    for (const auto lost_for : {1'300ms, 3'000ms})
    {
        for (const double size : {200.0, 1'000.0})
        {
            const auto without =
                run_with_losses(lost_for, size, false).at("usual");
            const auto with = run_with_losses(lost_for, size, true).at("usual");
            CHECK_TRUE(with.refused_silent < without.refused_silent);
            CHECK_TRUE(with.refused <= without.refused);
        }
    }
}

// Reserves lower what the leader can lend at once. An organisation whose use
// comes in bursts, within its quota, was refused while entries held its tokens.
TEST(token_reserve_tests, reserves_cost_no_requests_of_a_burst_in_the_quota)
{
    constexpr int bursts = 20;
    const auto play = [](bool with_reserves) {
        fleet simulated{{{"surge", {0.5 * rate, 3'000}}}, with_reserves};
        simulated.run(10s);
        for (int count = 0; count < bursts; ++count)
        {
            simulated.set_surge(4);
            simulated.run(1s);
            simulated.set_surge(0.3);
            simulated.run(4s);
        }
        return simulated.results().at("surge");
    };
    const auto without = play(false);
    const auto with = play(true);
    std::printf("bursts: refused %d without reserves, %d with\n",
                without.refused, with.refused);
    CHECK_TRUE(with.worst_window <= bound);
    CHECK_TRUE(with.refused <= without.refused);
}

// A late answer would restore tokens that later reports no longer contain, and
// that a new leader therefore does not count.
TEST(token_reserve_tests, answer_to_an_earlier_report_is_ignored)
{
    token_reserve reserve;
    reserve.on_granted(monotonic_time{1s}, "o", 100);
    const auto first = reserve.report(monotonic_time{1s});
    (void)reserve.report(monotonic_time{1'100ms});
    reserve.set_orders(monotonic_time{1'150ms},
                       {first.number, {{"o", 100}}, {}});
    CHECK_FALSE(reserve.take(monotonic_time{1'200ms}, "o", 1));
}

// The leader counts a reserve as lost when it expires.
TEST(token_reserve_tests, expired_reserve_is_not_used)
{
    token_reserve reserve;
    reserve.on_granted(monotonic_time{1s}, "o", 100);
    const auto report = reserve.report(monotonic_time{1s});
    reserve.set_orders(monotonic_time{1'500ms},
                       {report.number, {{"o", 100}}, {}});
    CHECK_TRUE(reserve.take(monotonic_time{4'749ms}, "o", 50));
    CHECK_FALSE(reserve.take(monotonic_time{4'750ms}, "o", 50));
}

// A new leader that counted only what it knows would grant a second reserve
// beside that of the former leader.
TEST(token_reserve_tests, new_leader_grants_nothing_before_all_have_reported)
{
    constexpr auto start = monotonic_time{1h};
    auto shared = make_shared_quota(start);
    reserve_ledger ledger{start};
    ledger.on_quota_changed(start, shared);
    const std::set<std::string> eligible{"a", "b"};
    protocol::entry_report report;
    report.entry = "a";
    report.reserves = {1, {{"o", {100, 300, 0}}}};
    const auto first = ledger.on_report(start, report, eligible, shared);
    DOUBLES_EQUAL(100, first.tokens.at("o"), 0.5);
    report.entry = "b";
    (void)ledger.on_report(start + 1s, report, eligible, shared);
    const auto second = ledger.on_report(start + 2s, report, eligible, shared);
    DOUBLES_EQUAL(300, second.tokens.at("o"), 0.5);
    DOUBLES_EQUAL(400, ledger.outstanding("o"), 0.5);
}

// Entries kept the reserves of an organisation that had used its whole quota,
// so that requests of a burst were refused although its tokens were not used.
TEST(token_reserve_tests, exhausted_quota_gets_its_reserves_back)
{
    constexpr auto start = monotonic_time{1h};
    auto shared = make_shared_quota(start);
    reserve_ledger ledger{start};
    const std::set<std::string> eligible{"a"};
    token_reserve reserve;
    auto now = start + 10s;
    const auto exchange = [&] {
        protocol::entry_report report;
        report.entry = "a";
        report.reserves = reserve.report(now);
        reserve.set_orders(now,
                           ledger.on_report(now, report, eligible, shared));
    };
    exchange();
    reserve.on_granted(now, "o", 20'000);
    exchange();
    DOUBLES_EQUAL(20'000, reserve.held(now, "o"), 0.5);
    DOUBLES_EQUAL(20'000, ledger.outstanding("o"), 0.5);
    ledger.on_declined(now, "o");
    now += 100ms;
    exchange();
    now += 100ms;
    exchange();
    DOUBLES_EQUAL(0, reserve.held(now, "o"), 0.5);
    DOUBLES_EQUAL(0, ledger.outstanding("o"), 0.5);
    // Granted again, by the use of the time before too, once a window of the
    // quota has passed without a refusal.
    now += 6s;
    reserve.on_granted(now, "o", 20'000);
    exchange();
    DOUBLES_EQUAL(0, reserve.held(now, "o"), 0.5);
    now += 2s;
    exchange();
    exchange();
    DOUBLES_EQUAL(20'000, reserve.held(now, "o"), 0.5);
}

// The bucket of a new leader is small until it knows the reserves. Entries that
// returned them for a request that it declined lost them.
TEST(token_reserve_tests, new_leader_asks_for_no_reserves_it_does_not_know)
{
    constexpr auto start = monotonic_time{1h};
    auto shared = make_shared_quota(start);
    reserve_ledger ledger{start};
    ledger.on_quota_changed(start, shared);
    ledger.on_declined(start, "o");
    protocol::entry_report report;
    report.entry = "a";
    report.reserves = {1, {{"o", {20'000, 20'000, 0}}}};
    const auto orders =
        ledger.on_report(start + 100ms, report, {"a", "b"}, shared);
    CHECK_TRUE(orders.exhausted.empty());
    DOUBLES_EQUAL(20'000, orders.tokens.at("o"), 0.5);
}
