/// @file
/// Tests of grants over peer connections: src/coordination/grant_service.hpp,
/// grant_client.hpp and grant_wire.hpp.

#include "coordination/grant_client.hpp"
#include "coordination/grant_service.hpp"
#include "coordination/grant_wire.hpp"

#include <limits>

#include <CppUTest/TestHarness.h>

#include "loop_helper.hpp"

using namespace hyssopdeal;
using namespace hyssopdeal::coordination;
using namespace std::chrono_literals;

namespace
{

/// Control replica whose role and term are set by the test.
class fake_control_node final : public control_node
{
public:
    explicit fake_control_node(const transport::clock& clock)
        : clock_(clock)
    {}

    void propose(state::command, propose_callback) override {}

    [[nodiscard]] const state::control_state& state() const override
    {
        return state_;
    }

    [[nodiscard]] leadership leads() const override
    {
        leadership result;
        result.role = role;
        result.term = term;
        result.lease_until = clock_.monotonic_now() + 1s;
        return result;
    }

    void on_committed(committed_handler) override {}
    void on_leadership(leadership_handler) override {}

    void declare(const protocol::organisation_contract& contract)
    {
        state::command order;
        order.body = state::put_contract{contract, 0};
        static_cast<void>(state_.apply({1, 1}, order));
    }

    leadership_role role = leadership_role::follower;
    state::term_number term = 1;

private:
    const transport::clock& clock_;
    state::control_state state_;
};

protocol::peer_hub_settings hub_settings(const std::string& name)
{
    protocol::peer_hub_settings settings;
    settings.self = name;
    settings.shared_key = "a shared key for tests";
    return settings;
}

protocol::organisation_contract make_contract()
{
    protocol::organisation_contract contract;
    contract.organisation = "orchard";
    contract.requests_per_second = 90;
    return contract;
}

} // namespace

TEST_GROUP(grant_exchange_tests)
{
    transport::system_clock clock;
    transport::event_loop loop;
    protocol::peer_hub follower_hub{loop, hub_settings("c1")};
    protocol::peer_hub leader_hub{loop, hub_settings("c2")};
    protocol::peer_hub entry_hub{loop, hub_settings("e1")};
    fake_control_node follower{clock};
    fake_control_node leader{clock};
    grant_settings settings;
    limiter limits{settings.floors};

    void setup() override
    {
        leader.role = leadership_role::leader;
        settings.valid_for = 1'500ms;
        for (auto* node : {&follower, &leader})
        {
            node->declare(make_contract());
        }
        limits.set_contracts(clock.monotonic_now(), {make_contract()},
                             bucket_start::full);
        entry_hub.set_peer("c1", address_of(follower_hub));
        entry_hub.set_peer("c2", address_of(leader_hub));
    }

    static std::string address_of(protocol::peer_hub & hub)
    {
        return "127.0.0.1:" + std::to_string(hub.start().value());
    }

    double rate()
    {
        return limits.allowed(clock.monotonic_now(), "orchard")
            .requests_per_second;
    }
};

TEST(grant_exchange_tests, entry_finds_the_leader_and_falls_back_to_its_floor)
{
    grant_service on_follower{clock, follower, settings};
    grant_service on_leader{clock, leader, settings};
    on_follower.start(follower_hub);
    on_leader.start(leader_hub);
    const double floor = rate();
    grant_client client{loop, clock, entry_hub, limits, "e1/1", {"c1", "c2"}};
    client.start();
    CHECK_TRUE(tests::run_until(loop, [&] { return rate() > 60; }));
    leader.role = leadership_role::follower;
    CHECK_TRUE(tests::run_until(loop, [&] { return rate() == floor; }));
}

TEST(grant_exchange_tests, messages_round_trip_and_corrupt_messages_are_refused)
{
    grant_request request;
    request.node = "e1/1";
    request.held_term = 3;
    request.held_number = 9;
    request.held = {{"orchard", {1, 2, 3, 4, 5}}};
    request.demand = {{"orchard", 10, 20, 3, 4}};
    const auto read = decode_grant_request(encode(request));
    CHECK(read.has_value());
    CHECK(read->held.at(0).amounts == request.held.at(0).amounts);
    LONGS_EQUAL(4, read->demand.at(0).refused_streams);
    request.held.at(0).amounts.token_burst =
        std::numeric_limits<double>::infinity();
    CHECK_FALSE(decode_grant_request(encode(request)).has_value());
    CHECK_FALSE(decode_grant_answer("nonsense").has_value());
    CHECK_FALSE(decode_grant_answer("").has_value());
}
