/// @file
/// Orders to engines through changes of leader, lost and late messages, and
/// engines that ignore fencing tokens.

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

#include <hyssopdeal/coordination/order_sender.hpp>

using namespace hyssopdeal;
using namespace hyssopdeal::coordination;
using namespace std::chrono_literals;
using protocol::engine_order;
using protocol::engine_order_kind;
using protocol::engine_status;
using protocol::load_state;
using transport::monotonic_time;

namespace
{

/// An engine at the other end of a bad network.
struct fake_engine
{
    fence_check check = fence_check::checks;
    engine_status status;
    std::map<std::string, monotonic_time> ready_at;
    std::vector<protocol::order_fence> applied; ///< In order of arrival.
    int failing_loads = 0;

    order_answer apply(monotonic_time now, const engine_order& order)
    {
        if (check == fence_check::checks && order.fence < status.fence)
        {
            return order_answer::stale_fence;
        }
        status.fence = std::max(status.fence, order.fence);
        applied.push_back(order.fence);
        if (order.kind == engine_order_kind::load)
        {
            load(now, order.version);
        }
        if (order.kind == engine_order_kind::unload)
        {
            std::erase_if(status.versions, [&](const auto& held) {
                return held.version == order.version;
            });
        }
        if (order.kind == engine_order_kind::role)
        {
            status.role = order.role;
        }
        return order_answer::accepted;
    }

    void load(monotonic_time now, const std::string& version)
    {
        std::erase_if(status.versions, [&](const auto& held) {
            return held.version == version && held.state == load_state::failed;
        });
        const bool held =
            std::ranges::any_of(status.versions, [&](const auto& item) {
                return item.version == version;
            });
        if (!held)
        {
            status.versions.push_back({version, load_state::loading});
            ready_at[version] = now + 1s;
        }
    }

    engine_status read(monotonic_time now)
    {
        for (auto& held : status.versions)
        {
            if (held.state == load_state::loading &&
                now >= ready_at[held.version])
            {
                held.state =
                    failing_loads > 0 ? load_state::failed : load_state::loaded;
                failing_loads -= failing_loads > 0 ? 1 : 0;
            }
        }
        return status;
    }
};

/// A replica that leads, its sender, and what it believes.
struct fake_leader
{
    order_sender sender;
    leadership leads;
    bool paused = false;
    std::vector<order_to_send> held; ///< Decided before the pause.
};

/// Delivers after random delays, loses and repeats.
class order_network
{
public:
    explicit order_network(std::uint64_t seed)
        : random_{seed}
    {}

    std::map<std::string, fake_engine, std::less<>> engines;
    double loss = 0.1;
    monotonic_time now = monotonic_time{1h};
    std::uint64_t counter = 0;

    void tick(fake_leader& leader)
    {
        const auto actions = leader.sender.advance(now, leader.leads);
        if (actions.allocate_fence && !cut_off(leader))
        {
            leader.sender.on_fence({leader.leads.term, ++counter});
        }
        for (const auto& order : actions.orders)
        {
            write(leader, order);
        }
        for (const auto& reading : actions.readings)
        {
            read(leader, reading.server);
        }
    }

    /// Writes an order if it is not too late, as the adapter does.
    void write(fake_leader& leader, const order_to_send& order)
    {
        if (leader.paused)
        {
            leader.held.push_back(order);
            return;
        }
        if (now > order.send_by)
        {
            return;
        }
        const bool repeat = chance(0.05);
        for (int copy = 0; copy < (repeat ? 2 : 1); ++copy)
        {
            const auto at = now + delay(order.time_limit);
            later(at, [this, &leader, order] { arrive(leader, order); });
        }
    }

    void advance(std::chrono::milliseconds step)
    {
        now += step;
        std::vector<event> due;
        std::erase_if(events_, [&](const event& item) {
            if (item.at <= now)
            {
                due.push_back(item);
                return true;
            }
            return false;
        });
        std::ranges::stable_sort(due, {}, &event::at);
        for (const auto& item : due)
        {
            item.run();
        }
    }

    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>{}(random_) < probability;
    }

    std::chrono::milliseconds delay(std::chrono::milliseconds longest)
    {
        std::uniform_int_distribution<std::int64_t> pick{1, longest.count()};
        return std::chrono::milliseconds{pick(random_)};
    }

private:
    struct event
    {
        monotonic_time at;
        std::function<void()> run;
    };

    bool cut_off(const fake_leader& leader) const
    {
        return now >= leader.leads.lease_until;
    }

    void later(monotonic_time at, std::function<void()> run)
    {
        events_.push_back({at, std::move(run)});
    }

    void arrive(fake_leader& leader, const order_to_send& order)
    {
        if (chance(loss))
        {
            return;
        }
        const auto answer =
            engines.find(order.server)->second.apply(now, order.order);
        if (!chance(loss))
        {
            leader.sender.on_order_answer(now, order.server, order.order,
                                          answer);
        }
    }

    void read(fake_leader& leader, const std::string& server)
    {
        later(now + delay(300ms), [this, &leader, server] {
            if (chance(loss))
            {
                leader.sender.on_status(
                    now, server,
                    transport::fail(transport::reason::timed_out, "Lost."));
                return;
            }
            const auto status = engines.find(server)->second.read(now);
            later(now + delay(300ms), [this, &leader, server, status] {
                leader.sender.on_status(now, server, status);
            });
        });
    }

    std::mt19937_64 random_;
    std::vector<event> events_;
};

std::vector<engine_target> targets(const std::string& version)
{
    return {{"e0",
             "127.0.0.1:1",
             fence_check::checks,
             {version},
             {},
             "decode",
             other_versions::unload},
            {"e1",
             "127.0.0.1:2",
             fence_check::ignores,
             {version},
             {},
             "decode",
             other_versions::unload}};
}

void add_engines(order_network& network)
{
    network.engines["e0"].check = fence_check::checks;
    network.engines["e1"].check = fence_check::ignores;
}

bool holds_exactly(const fake_engine& engine, const std::string& version)
{
    return engine.status.versions.size() == 1 &&
           engine.status.versions[0].version == version &&
           engine.status.versions[0].state == load_state::loaded &&
           engine.status.role == "decode";
}

} // namespace

TEST_GROUP(order_sender_tests){};

// The old leader is cut off silently, may be paused at any moment with orders
// in hand, and wants another version than the new one.
TEST(order_sender_tests, no_order_of_an_older_leader_stays_in_force)
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed)
    {
        order_network network{seed};
        add_engines(network);
        const auto start = network.now;
        fake_leader old_leader;
        old_leader.leads = {leadership_role::leader, 1, start + 3s, start, {}};
        old_leader.sender.set_targets(targets("old"));
        fake_leader new_leader;
        new_leader.leads = {
            leadership_role::leader, 2, start + 1h, start + 3s + 100ms, {}};
        new_leader.sender.set_targets(targets("new"));
        const auto elected = start + network.delay(2'900ms);
        const auto pause = start + network.delay(2'900ms);
        const auto wake = pause + network.delay(8'000ms);
        while (network.now < start + 30s)
        {
            network.advance(50ms);
            old_leader.paused = network.now >= pause && network.now < wake;
            if (!old_leader.paused)
            {
                for (const auto& order : std::exchange(old_leader.held, {}))
                {
                    network.write(old_leader, order);
                }
            }
            if (network.now < start + 10s)
            {
                network.tick(old_leader);
            }
            if (network.now >= elected)
            {
                network.tick(new_leader);
            }
            network.loss = network.now < start + 12s ? 0.2 : 0;
        }
        for (const auto& [name, engine] : network.engines)
        {
            CHECK(holds_exactly(engine, "new"));
            LONGS_EQUAL(2, engine.status.fence.term);
            CHECK(std::ranges::is_sorted(engine.applied, {},
                                         &protocol::order_fence::term));
        }
    }
}

TEST(order_sender_tests, repairs_an_engine_that_forgot_everything)
{
    order_network network{1};
    add_engines(network);
    fake_leader leader;
    leader.leads = {
        leadership_role::leader, 1, network.now + 1h, network.now, {}};
    leader.sender.set_targets(targets("v"));
    for (int i = 0; i < 400; ++i)
    {
        network.advance(50ms);
        network.tick(leader);
        if (i == 200)
        {
            network.engines["e0"].status = {};
            network.engines["e1"].status = {};
        }
    }
    CHECK(holds_exactly(network.engines["e0"], "v"));
    CHECK(holds_exactly(network.engines["e1"], "v"));
}

TEST(order_sender_tests, loads_again_after_a_failure_and_then_gives_up)
{
    for (const int failures : {1, 99})
    {
        order_network network{2};
        network.loss = 0;
        add_engines(network);
        network.engines["e0"].failing_loads = failures;
        fake_leader leader;
        leader.leads = {
            leadership_role::leader, 1, network.now + 1h, network.now, {}};
        leader.sender.set_targets(targets("v"));
        for (int i = 0; i < 1'200; ++i)
        {
            network.advance(50ms);
            network.tick(leader);
        }
        const bool gives_up = failures > 3;
        CHECK_EQUAL(gives_up, leader.sender.load_failed("e0", "v"));
        CHECK_EQUAL(!gives_up, holds_exactly(network.engines["e0"], "v"));
    }
}

TEST(order_sender_tests, a_follower_sends_and_reads_nothing)
{
    order_sender sender;
    sender.set_targets(targets("v"));
    const auto actions = sender.advance(monotonic_time{1h}, {});
    CHECK(actions.orders.empty());
    CHECK(actions.readings.empty());
    CHECK_FALSE(actions.allocate_fence);
}

TEST(order_sender_tests, settles_without_further_orders)
{
    order_network network{3};
    network.loss = 0;
    add_engines(network);
    fake_leader leader;
    leader.leads = {
        leadership_role::leader, 4, network.now + 1h, network.now, {}};
    leader.sender.set_targets(targets("v"));
    std::size_t before = 0;
    for (int i = 0; i < 1'200; ++i)
    {
        network.advance(50ms);
        network.tick(leader);
        if (i == 600)
        {
            before = network.engines["e1"].applied.size();
        }
    }
    LONGS_EQUAL(before, network.engines["e1"].applied.size());
    LONGS_EQUAL(4, network.engines["e0"].status.fence.term);
}

TEST_GROUP(engine_order_codec_tests){};

TEST(engine_order_codec_tests, writes_orders_and_reads_status)
{
    const auto request =
        protocol::make_request({engine_order_kind::load, "v2", {}, {7, 9}});
    STRCMP_EQUAL("POST", request.method.c_str());
    STRCMP_EQUAL("/v1/orders", request.target.c_str());
    STRCMP_EQUAL(R"({"fence":{"counter":9,"term":7},"order":"load",)"
                 R"("version":"v2"})",
                 request.body.c_str());
    const auto status = protocol::read_engine_status(
        R"({"loaded":[{"version":"v2","state":"loaded"}],"adapters":["a"],)"
        R"("role":"mixed","fence":{"term":7,"counter":9}})");
    CHECK(status.has_value());
    CHECK(status->versions[0].state == load_state::loaded);
    CHECK((status->fence == protocol::order_fence{7, 9}));
}

TEST(engine_order_codec_tests, refuses_a_status_that_is_not_understood)
{
    for (const char* body : {"", "{", "[]", R"({"loaded":3})",
                             R"({"loaded":[],"fence":{"term":"x"}})"})
    {
        CHECK_FALSE(protocol::read_engine_status(body).has_value());
    }
}
