/// @file
/// Tests rank_admission and shortage_controller with a fleet that lacks half of
/// its servers, without a network and on simulated time.

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <hyssopdeal/coordination/admission/rank_admission.hpp>
#include <hyssopdeal/coordination/admission/shortage_controller.hpp>

#include <CppUTest/TestHarness.h>

using namespace hyssopdeal;
using namespace hyssopdeal::coordination;
using namespace std::chrono_literals;
using transport::monotonic_time;

namespace
{

constexpr std::size_t entry_count = 84;
constexpr std::size_t rank_count = 3;
constexpr std::array<double, rank_count> targets_s{1.2, 1.0, 2.0};
constexpr double asked_per_s = 1'000;
constexpr auto step = 5ms;
constexpr auto report_interval = 140ms;

using shares = std::array<double, rank_count>;

struct entry
{
    rank_admission ranks;
    monotonic_time next_report{};
};

/// One service; its servers are one queue, and a request is refused when its
/// predicted start is half of its target too late, as in request_flow.
class fleet
{
public:
    explicit fleet(bool steered)
        : steered_(steered),
          entries_(entry_count)
    {
        for (std::size_t at = 0; at < entry_count; ++at)
        {
            entries_[at].next_report = now_ + at * 1ms;
        }
        elect();
    }

    void elect()
    {
        leader_.emplace(now_);
    }
    void lose_leader()
    {
        leader_.reset();
    }

    /// @return Served part of each rank.
    shares run(std::chrono::milliseconds span, double room_per_s)
    {
        constexpr double step_s = std::chrono::duration<double>(step).count();
        shares asked{};
        shares served{};
        std::poisson_distribution<int> arrivals{asked_per_s * step_s};
        for (auto passed = 0ms; passed < span; passed += step)
        {
            now_ += step;
            queue_ = std::max(0.0, queue_ - room_per_s * step_s);
            for (auto& own : entries_)
            {
                report(own);
            }
            for (int left = arrivals(random_); left > 0; --left)
            {
                const auto rank =
                    static_cast<std::uint32_t>(random_() % rank_count);
                ++asked[rank];
                served[rank] += serve(rank, room_per_s) ? 1 : 0;
            }
        }
        for (std::size_t rank = 0; rank < rank_count; ++rank)
        {
            served[rank] /= asked[rank];
        }
        return served;
    }

    [[nodiscard]] double largest_share() const
    {
        double result = 0;
        for (const auto& own : entries_)
        {
            for (std::uint32_t rank = 0; rank < rank_count; ++rank)
            {
                result = std::max(result, own.ranks.share(now_, "s", rank));
            }
        }
        return result;
    }

private:
    void report(entry& own)
    {
        if (now_ < own.next_report)
        {
            return;
        }
        own.next_report = now_ + report_interval;
        if (steered_)
        {
            own.ranks.on_server_load_seen(now_, "s");
        }
        const auto told = own.ranks.report(now_);
        if (leader_)
        {
            leader_->on_report(now_, told);
            own.ranks.set_orders(now_, leader_->turns());
        }
    }

    bool serve(std::uint32_t rank, double room_per_s)
    {
        auto& own = entries_[random_() % entry_count];
        if (own.ranks.on_request(now_, "s", rank, std::to_string(random_())))
        {
            return false;
        }
        std::uniform_real_distribution<double> error{0.8, 1.2};
        const double predicted = 0.3 + queue_ / room_per_s * error(random_);
        if (predicted > 1.5 * targets_s[rank])
        {
            own.ranks.on_late(now_, "s", rank);
            return false;
        }
        ++queue_;
        return true;
    }

    monotonic_time now_{1h};
    bool steered_;
    std::vector<entry> entries_;
    std::optional<shortage_controller> leader_;
    std::mt19937_64 random_{11};
    double queue_ = 0; ///< Requests.
};

void print(const char* what, const shares& served)
{
    std::printf("%s: served %.3f %.3f %.3f\n", what, served[0], served[1],
                served[2]);
}

} // namespace

TEST_GROUP(rank_admission_tests){};

// The most urgent requests were refused, as the queue is as long as the least
// urgent ones tolerate.
TEST(rank_admission_tests, urgent_requests_are_served_and_no_rank_starves)
{
    fleet alone{false};
    fleet steered{true};
    const auto alone_at_first = alone.run(5s, asked_per_s * 1.3);
    const auto at_first = steered.run(5s, asked_per_s * 1.3);
    for (std::size_t rank = 0; rank < rank_count; ++rank)
    {
        DOUBLES_EQUAL(1, at_first[rank], 0);
        DOUBLES_EQUAL(1, alone_at_first[rank], 0);
    }
    const auto without = alone.run(60s, asked_per_s / 2);
    const auto begin = steered.run(5s, asked_per_s / 2);
    const auto with = steered.run(55s, asked_per_s / 2);
    print("without", without);
    print("with, first 5 s", begin);
    print("with", with);
    const double all = (with[0] + with[1] + with[2]) / 3;
    CHECK_TRUE(with[0] > without[0] + 0.1);
    CHECK_TRUE(with[0] > with[2]);
    CHECK_TRUE(all > 0.47);
    for (const double part : with)
    {
        CHECK_TRUE(part > all / 4);
    }
    (void)steered.run(10s, asked_per_s * 1.3);
    DOUBLES_EQUAL(0, steered.largest_share(), 0);
    const auto after = steered.run(5s, asked_per_s * 1.3);
    for (const double part : after)
    {
        DOUBLES_EQUAL(1, part, 0);
    }
}

// A rank with a short target is refused most; the shares must not give it up.
TEST(rank_admission_tests, every_rank_is_served_more_than_a_quarter_as_all)
{
    for (const double room : {0.25, 0.75, 0.9})
    {
        fleet steered{true};
        const auto served = steered.run(60s, asked_per_s * room);
        print("with other room", served);
        const double all = (served[0] + served[1] + served[2]) / 3;
        for (const double part : served)
        {
            CHECK_TRUE(part > all / 4);
        }
    }
}

// An entry that went on refusing without a leader would refuse for ever.
TEST(rank_admission_tests, entry_without_orders_lets_go)
{
    fleet steered{true};
    (void)steered.run(20s, asked_per_s / 2);
    CHECK_TRUE(steered.largest_share() > 0.3);
    steered.lose_leader();
    (void)steered.run(1'800ms, asked_per_s / 2);
    CHECK_TRUE(steered.largest_share() > 0.3);
    (void)steered.run(1'400ms, asked_per_s / 2);
    DOUBLES_EQUAL(0, steered.largest_share(), 0);
}

// A new leader that began without shares would let the queue fill again.
TEST(rank_admission_tests, new_leader_takes_shares_over)
{
    fleet steered{true};
    (void)steered.run(20s, asked_per_s / 2);
    steered.lose_leader();
    (void)steered.run(1'300ms, asked_per_s / 2);
    steered.elect();
    const auto served = steered.run(3s, asked_per_s / 2);
    print("after a change of leader", served);
    CHECK_TRUE(steered.largest_share() > 0.3);
    CHECK_TRUE(served[0] > served[2]);
}

// Services whose servers report no load are served as before.
TEST(rank_admission_tests, nothing_is_counted_or_refused_without_server_load)
{
    const monotonic_time now{1h};
    rank_admission ranks;
    ranks.set_orders(now, {{"s", {{2, 1.0}}}});
    CHECK_FALSE(ranks.on_request(now, "s", 2, "a").has_value());
    ranks.on_late(now, "s", 2);
    CHECK_TRUE(ranks.report(now).empty());
    ranks.on_server_load_seen(now, "s");
    const auto wait = ranks.on_request(now, "s", 2, "a");
    CHECK_TRUE(wait.has_value() && *wait >= 500ms && *wait <= 2'000ms);
    LONGS_EQUAL(1, ranks.yielded().at(2));
}

// With one rank there is nobody to make room for.
TEST(rank_admission_tests, service_with_one_rank_is_not_controlled)
{
    shortage_controller controller{monotonic_time{1h}};
    for (int window = 0; window < 40; ++window)
    {
        controller.on_report(monotonic_time{1h} + window * 250ms,
                             {{"s", {{2, {100, 50, 0}}}}});
    }
    CHECK_TRUE(controller.turns().empty());
}

// Ranks are numbers, which a map in a message cannot have as keys.
TEST(rank_admission_tests, messages_carry_pressure_shares_and_reserves)
{
    protocol::entry_report report;
    report.pressure = {{"s", {{2, {7, 3, 0.5}}}}};
    report.reserves = {4, {{"o", {1, 2, 3}}}};
    const auto read = protocol::decode_entry_report(protocol::encode(report));
    CHECK_TRUE(read.has_value());
    LONGS_EQUAL(3, read->pressure.at("s").at(2).late);
    DOUBLES_EQUAL(2, read->reserves.by_organisation.at("o").wanted, 0);
    protocol::entry_orders orders;
    orders.turns = {{"s", {{2, 0.25}}}};
    orders.reserves = {4, {{"o", 5}}, {"p"}};
    const auto told = protocol::decode_entry_orders(protocol::encode(orders));
    CHECK_TRUE(told.has_value());
    DOUBLES_EQUAL(0.25, told->turns.at("s").at(2), 0);
    DOUBLES_EQUAL(5, told->reserves.tokens.at("o"), 0);
    CHECK_TRUE(told->reserves.exhausted.contains("p"));
}
