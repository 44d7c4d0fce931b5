/// @file
/// Tests of coordination/grant_allocator.hpp and grant_holder.hpp, including
/// the property that floors and unexpired grants never exceed the limit.

#include <hyssopdeal/coordination/grant_allocator.hpp>
#include <hyssopdeal/coordination/grant_holder.hpp>

#include <algorithm>
#include <deque>
#include <optional>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace hyssopdeal;
using namespace hyssopdeal::coordination;
using namespace std::chrono_literals;
using transport::monotonic_time;

namespace
{

protocol::organisation_contract make_contract()
{
    protocol::organisation_contract contract;
    contract.organisation = "orchard";
    contract.requests_per_second = 90;
    contract.request_burst = 45;
    contract.tokens_per_second = 9'000;
    contract.token_burst = 18'000;
    contract.concurrent_streams = 40;
    return contract;
}

grant_settings make_settings()
{
    grant_settings settings;
    settings.floors = {0.25, 5};
    return settings;
}

bool is_within(const allotment& used, const allotment& limit)
{
    constexpr double rounding = 1e-6;
    return used.requests_per_second <= limit.requests_per_second + rounding &&
           used.request_burst <= limit.request_burst + rounding &&
           used.tokens_per_second <= limit.tokens_per_second + rounding &&
           used.token_burst <= limit.token_burst + rounding &&
           used.concurrent_streams <= limit.concurrent_streams + rounding;
}

/// A request or an answer in flight.
struct message
{
    std::chrono::nanoseconds arrives_at{};
    std::uint64_t request_id = 0;
    std::size_t node = 0;
    std::size_t leader = 0;
    std::optional<grant_request> request;
    std::optional<grant_answer> answer;
};

/// An entry whose clock runs at its own rate.
struct entry_node
{
    explicit entry_node(const std::string& name)
        : limits(make_settings().floors),
          holder({name, 1s})
    {}

    limiter limits;
    grant_holder holder;
    std::uint64_t request_id = 0;
    std::chrono::nanoseconds times_out_at{};
    std::vector<permit> open;
};

struct control_leader
{
    grant_allocator allocator;
    bool leads = true;
};

/// Simulates entries, successive leaders and an unreliable network.
class grant_simulation
{
public:
    explicit grant_simulation(std::uint64_t seed)
        : random_(seed)
    {
        for (std::size_t i = 0; i < nodes; ++i)
        {
            clock_rates_.push_back(0.995 + 0.01 * random_fraction());
            entries_.push_back(start_entry(i));
            partitioned_.push_back(false);
        }
        elect();
    }

    void step()
    {
        now_ += 20ms;
        inject_faults();
        deliver();
        for (std::size_t i = 0; i < nodes; ++i)
        {
            send_request(i);
            offer_load(i);
        }
    }

    [[nodiscard]] allotment in_force()
    {
        allotment all;
        for (std::size_t i = 0; i < nodes; ++i)
        {
            all = sum(all, entries_[i]->limits.allowed(clock_of(i), "orchard"));
        }
        return all;
    }

    [[nodiscard]] double open_streams() const
    {
        double open = 0;
        for (const auto& entry : entries_)
        {
            open += entry->limits.open_streams("orchard");
        }
        return open;
    }

    [[nodiscard]] double admitted() const
    {
        return admitted_;
    }

    [[nodiscard]] double refused() const
    {
        return refused_;
    }

private:
    static constexpr std::size_t nodes = 5;

    double random_fraction()
    {
        return std::uniform_real_distribution<double>{0, 1}(random_);
    }

    /// Time according to the clock of one entry.
    monotonic_time clock_of(std::size_t node)
    {
        return monotonic_time{1h} +
               std::chrono::duration_cast<std::chrono::nanoseconds>(
                   now_ * clock_rates_[node]);
    }

    monotonic_time leader_clock() const
    {
        return monotonic_time{2h} + now_;
    }

    std::unique_ptr<entry_node> start_entry(std::size_t node)
    {
        auto entry = std::make_unique<entry_node>(
            "e" + std::to_string(node) + "#" + std::to_string(++starts_));
        entry->limits.set_contracts(clock_of(node), {make_contract()},
                                    bucket_start::empty);
        return entry;
    }

    void elect()
    {
        for (auto& leader : leaders_)
        {
            leader.leads = false;
        }
        leaders_.push_back({grant_allocator{leader_clock(), leaders_.size() + 1,
                                            make_settings()},
                            true});
        leaders_.back().allocator.set_contracts({make_contract()});
    }

    void inject_faults()
    {
        if (random_fraction() < 0.002)
        {
            elect();
        }
        for (std::size_t i = 0; i < nodes; ++i)
        {
            if (random_fraction() < 0.002)
            {
                entries_[i] = start_entry(i);
            }
            if (random_fraction() < 0.005)
            {
                partitioned_[i] = !partitioned_[i];
            }
        }
    }

    void send_request(std::size_t node)
    {
        auto& entry = *entries_[node];
        if (entry.request_id != 0 && now_ >= entry.times_out_at)
        {
            entry.holder.on_no_answer(clock_of(node));
            entry.request_id = 0;
        }
        auto request = entry.holder.next_request(clock_of(node), entry.limits);
        if (request)
        {
            entry.request_id = ++requests_;
            entry.times_out_at = now_ + 1500ms;
            send({{},
                  entry.request_id,
                  node,
                  leaders_.size() - 1,
                  std::move(request),
                  std::nullopt});
        }
    }

    /// Drops most messages of partitioned nodes. Delays the others by up to
    /// 60 ms, or sometimes 4 s, and sometimes duplicates them.
    void send(const message& sent)
    {
        if (partitioned_[sent.node] && random_fraction() < 0.9)
        {
            return;
        }
        const int times = random_fraction() < 0.05 ? 2 : 1;
        for (int i = 0; i < times; ++i)
        {
            auto copy = sent;
            const auto max_delay_ms = random_fraction() < 0.1 ? 4'000 : 60;
            copy.arrives_at = now_ + std::chrono::milliseconds{static_cast<int>(
                                         random_fraction() * max_delay_ms)};
            in_flight_.push_back(std::move(copy));
        }
    }

    void deliver()
    {
        const auto due = std::stable_partition(
            in_flight_.begin(), in_flight_.end(),
            [this](const auto& sent) { return sent.arrives_at > now_; });
        std::vector<message> arrived(std::make_move_iterator(due),
                                     std::make_move_iterator(in_flight_.end()));
        in_flight_.erase(due, in_flight_.end());
        for (auto& sent : arrived)
        {
            sent.request ? handle_request(sent) : handle_answer(sent);
        }
    }

    void handle_request(const message& sent)
    {
        auto& leader = leaders_[sent.leader];
        if (leader.leads)
        {
            send({{},
                  sent.request_id,
                  sent.node,
                  sent.leader,
                  std::nullopt,
                  leader.allocator.on_request(leader_clock(), *sent.request)});
        }
    }

    void handle_answer(const message& sent)
    {
        auto& entry = *entries_[sent.node];
        if (entry.request_id == sent.request_id)
        {
            entry.request_id = 0;
            entry.holder.on_answer(clock_of(sent.node), *sent.answer,
                                   entry.limits);
        }
    }

    /// Offers uneven load above the limit and ends streams at random.
    void offer_load(std::size_t node)
    {
        auto& entry = *entries_[node];
        const auto offered = node == 0 ? 3 : 1;
        for (int i = 0; i < offered; ++i)
        {
            auto admitted =
                entry.limits.admit(clock_of(node), "orchard", {50, 1, {}});
            admitted_ += admitted ? 1 : 0;
            refused_ += admitted ? 0 : 1;
            if (admitted)
            {
                entry.open.push_back(std::move(*admitted));
            }
        }
        while (!entry.open.empty() && random_fraction() < 0.3)
        {
            entry.limits.settle(clock_of(node), entry.open.back(), 50);
            entry.open.pop_back();
        }
    }

    std::mt19937_64 random_;
    std::chrono::nanoseconds now_{};
    std::vector<double> clock_rates_;
    std::vector<std::unique_ptr<entry_node>> entries_;
    std::vector<bool> partitioned_;
    std::vector<control_leader> leaders_;
    std::vector<message> in_flight_;
    std::uint64_t requests_ = 0;
    int starts_ = 0;
    double admitted_ = 0;
    double refused_ = 0;
};

} // namespace

TEST_GROUP(grant_tests)
{
    transport::manual_clock clock;
    protocol::organisation_contract contract = make_contract();

    monotonic_time now()
    {
        return clock.monotonic_now();
    }

    grant_request make_request(const std::string& node, double rate)
    {
        grant_request request;
        request.node = node;
        request.demand = {{"orchard", rate, rate * 100, 0, 1}};
        return request;
    }
};

TEST(grant_tests, follows_recent_demand)
{
    grant_allocator allocator{now(), 1, make_settings()};
    allocator.set_contracts({contract});
    clock.advance(6s);
    std::uint64_t held = 0;
    double granted_rate = 0;
    for (int round = 0; round < 6; ++round)
    {
        auto request = make_request("e1", 80);
        request.held_term = held != 0 ? 1 : 0;
        request.held_number = held;
        const auto answer = allocator.on_request(now(), request);
        held = answer.number;
        granted_rate = answer.grants.at(0).amounts.requests_per_second;
        static_cast<void>(allocator.on_request(now(), make_request("e2", 8)));
        clock.advance(1s);
    }
    CHECK(granted_rate > 0.75 * 90 * 0.85);
    CHECK(allocator.outstanding(now(), "orchard").requests_per_second <=
          0.75 * 90 + 1e-9);
}

TEST(grant_tests, new_leader_only_renews_until_old_grants_have_expired)
{
    grant_allocator allocator{now(), 2, make_settings()};
    allocator.set_contracts({contract});
    auto request = make_request("e1", 80);
    CHECK(allocator.on_request(now(), request).grants.at(0).amounts ==
          allotment{});
    request.held_term = 1;
    request.held_number = 9;
    request.held = {{"orchard", {10, 5, 1'000, 500, 3}}};
    CHECK(allocator.on_request(now(), request).grants.at(0).amounts ==
          request.held.at(0).amounts);
    clock.advance(5'050ms);
    CHECK(allocator.on_request(now(), request)
              .grants.at(0)
              .amounts.requests_per_second > 60);
}

TEST(grant_tests, open_streams_of_an_unreachable_node_stay_counted)
{
    grant_allocator allocator{now(), 1, make_settings()};
    allocator.set_contracts({contract});
    clock.advance(6s);
    const auto answer = allocator.on_request(now(), make_request("e1", 80));
    const auto streams = answer.grants.at(0).amounts.concurrent_streams;
    CHECK(streams >= 20);
    clock.advance(30s);
    const auto outstanding = allocator.outstanding(now(), "e1", "orchard");
    DOUBLES_EQUAL(0, outstanding.requests_per_second, 0);
    DOUBLES_EQUAL(streams, outstanding.concurrent_streams, 0);
    clock.advance(60s);
    CHECK(allocator.outstanding(now(), "e1", "orchard") == allotment{});
}

TEST(grant_tests, small_limits_survive_rounding)
{
    contract.concurrent_streams = 2;
    contract.request_burst = 2;
    grant_allocator allocator{now(), 1, make_settings()};
    allocator.set_contracts({contract});
    clock.advance(6s);
    for (const auto* node : {"e1", "e2", "e3"})
    {
        static_cast<void>(allocator.on_request(now(), make_request(node, 1)));
    }
    const auto outstanding = allocator.outstanding(now(), "orchard");
    DOUBLES_EQUAL(2, outstanding.concurrent_streams, 0);
}

TEST(grant_tests, total_never_exceeds_the_limit_under_faults)
{
    const auto limit = contract_limits(contract);
    double admitted = 0;
    double refused = 0;
    for (std::uint64_t seed = 1; seed <= 30; ++seed)
    {
        grant_simulation simulation{seed};
        std::deque<double> totals;
        for (int step = 0; step < 3'000; ++step)
        {
            simulation.step();
            CHECK(is_within(simulation.in_force(), limit));
            CHECK(simulation.open_streams() <= limit.concurrent_streams);
            // 50 steps of 20 ms: any second admits at most the burst plus
            // the rate, allowing for clocks that run up to 0.5 % fast.
            totals.push_back(simulation.admitted());
            if (totals.size() > 50)
            {
                const auto admitted_in_window = totals.back() - totals.front();
                CHECK(admitted_in_window <=
                      limit.request_burst + limit.requests_per_second * 1.006);
                totals.pop_front();
            }
        }
        admitted += simulation.admitted();
        refused += simulation.refused();
    }
    CHECK(admitted > 30'000);
    CHECK(refused > 30'000);
}
