/// @file
/// Tests of coordination/cluster/report_pacing.hpp: a model of a replica that
/// answers entries' reports and requests for tokens one after the other.

#include <hyssopdeal/coordination/cluster/report_pacing.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

using namespace hyssopdeal;
using namespace hyssopdeal::coordination;
using namespace std::chrono_literals;
using std::chrono::microseconds;

namespace
{

/// What a request for tokens costs in terms of a report.
constexpr double token_cost = 0.1;
constexpr double tokens_per_s = 1'200;
constexpr auto token_time_limit = 150ms;

/// Plays a minute in steps of a millisecond, after which the model has settled.
class replica_model
{
public:
    replica_model(std::size_t entries, microseconds report_cost)
        : cost_(report_cost),
          due_(entries)
    {
        for (std::size_t index = 0; index < entries; ++index)
        {
            due_[index] = now_ + milliseconds{index % 300};
        }
    }

    void play(bool paced)
    {
        const auto end = now_ + 60s;
        const auto settled = now_ + 20s;
        report_pacing fixed{{}};
        auto tick = now_;
        double tokens = 0;
        for (; now_ < end; now_ += 1ms)
        {
            for (auto& due : due_)
            {
                if (now_ >= due)
                {
                    due = now_ + (paced ? pacing.next_report(now_, due_.size(),
                                                             report_use::lead)
                                        : fixed.interval(due_.size(),
                                                         report_use::lead));
                    queue_ += cost_;
                    reports_ += now_ >= settled ? 1 : 0;
                }
            }
            for (tokens += tokens_per_s / 1'000; tokens >= 1; --tokens)
            {
                queue_ += std::chrono::duration_cast<microseconds>(token_cost *
                                                                   cost_);
                if (now_ >= settled)
                {
                    ++asked_;
                    late_ += queue_ > token_time_limit ? 1 : 0;
                }
            }
            queue_ = std::max(0us, queue_ - 1'000us);
            if (now_ >= tick)
            {
                pacing.on_timer(
                    now_, std::chrono::duration_cast<milliseconds>(queue_));
                tick = now_ + 25ms;
            }
        }
    }

    [[nodiscard]] double late_share() const
    {
        return static_cast<double>(late_) / static_cast<double>(asked_);
    }

    [[nodiscard]] double reports_per_s() const
    {
        return static_cast<double>(reports_) / 40;
    }

    report_pacing pacing{{}};

private:
    using milliseconds = std::chrono::milliseconds;

    microseconds cost_;
    transport::monotonic_time now_{1h};
    std::vector<transport::monotonic_time> due_;
    microseconds queue_{0};
    std::size_t asked_ = 0;
    std::size_t late_ = 0;
    std::size_t reports_ = 0;
};

} // namespace

TEST_GROUP(report_pacing_tests){};

TEST(report_pacing_tests, token_requests_are_answered_whatever_a_report_costs)
{
    for (const auto cost : {200us, 800us, 1'400us, 1'800us, 2'200us})
    {
        replica_model model{294, cost};
        model.play(true);
        CHECK_TRUE(model.late_share() < 0.01);
    }
    // What is guarded against: the interval by the number of entries only.
    replica_model model{294, 1'800us};
    model.play(false);
    CHECK_TRUE(model.late_share() > 0.9);
}

TEST(report_pacing_tests, replica_that_keeps_up_gets_as_many_reports_as_before)
{
    replica_model model{294, 500us};
    model.play(true);
    CHECK_TRUE(model.reports_per_s() > 540);
}

TEST(report_pacing_tests, interval_returns_after_a_pause_of_the_replica)
{
    report_pacing pacing{{}};
    transport::monotonic_time now{1h};
    const auto usual = pacing.interval(294, report_use::lead);
    pacing.on_timer(now, 3s);
    CHECK_TRUE(pacing.interval(294, report_use::lead) > usual);
    for (int count = 0; count < 800; ++count)
    {
        pacing.on_timer(now += 25ms, 1ms);
    }
    CHECK_TRUE(pacing.interval(294, report_use::lead) == usual);
}

TEST(report_pacing_tests, interval_stays_within_its_bounds)
{
    report_pacing pacing{{}};
    transport::monotonic_time now{1h};
    CHECK_TRUE(pacing.interval(0, report_use::lead) == 100ms);
    CHECK_TRUE(pacing.interval(9, report_use::follow) == 1s);
    for (int count = 0; count < 400; ++count)
    {
        pacing.on_timer(now += 200ms, 1s);
    }
    CHECK_TRUE(pacing.interval(2'000, report_use::lead) == 1'250ms);
    CHECK_TRUE(pacing.interval(2'000, report_use::follow) == 1'250ms);
    for (int count = 0; count < 4'000; ++count)
    {
        CHECK_TRUE(pacing.next_report(now, 2'000, report_use::lead) <= 1'250ms);
    }
}
