/// @file
/// Tests of coordination/control_process.hpp: three processes on loopback,
/// with an entry that follows them, and their folders afterwards.

#include <CppUTest/TestHarness.h>

#include <hyssopdeal/coordination/learner_runner.hpp>
#include <hyssopdeal/transport/http_client.hpp>

#include "control_cluster.hpp"
#include "loop_helper.hpp"

using namespace hyssopdeal;
using namespace hyssopdeal::tests;
using namespace std::chrono_literals;

namespace
{

state::command contract_command(double rate, state::revision expected,
                                std::string order_id = {})
{
    state::put_contract body;
    body.contract.organisation = "pomar";
    body.contract.requests_per_second = rate;
    body.expected = expected;
    return {{}, std::move(order_id), body};
}

struct three : control_cluster
{
    three()
        : control_cluster(3)
    {
        STRCMP_EQUAL("", start_all().c_str());
    }

    std::size_t need_leader()
    {
        const auto found = leader();
        CHECK(found.has_value());
        return found.value_or(0);
    }

    /// Writes through whoever leads, resending until the answer is known.
    state::command_result write(const state::command& command)
    {
        for (int round = 0; round < 20; ++round)
        {
            const auto result = propose(need_leader(), command);
            if (result)
            {
                return *result;
            }
        }
        FAIL("no write went through");
        return {};
    }
};

/// Asks the operators' API of a process.
transport::http_response ask(control_cluster& cluster, std::size_t at,
                             const std::string& method,
                             const std::string& target,
                             const std::string& body = {},
                             const std::string& token = "token")
{
    transport::event_loop loop;
    transport::http_client client{loop};
    transport::http_request request;
    request.method = method;
    request.target = target;
    request.body = body;
    request.headers = {{"Authorization", "Bearer " + token},
                       {"Hyssopdeal-Order-Id", "order-" + body}};
    if (!target.starts_with("/v1/evacuations"))
    {
        request.headers.push_back({"If-Match", "0"});
    }
    transport::http_response answer;
    answer.status = 0;
    const auto address =
        fmt::format("127.0.0.1:{}", cluster.settings(at).operators_port);
    const auto call = client.fetch(address, request, {}, [&](auto got) {
        answer = got ? std::move(*got) : transport::http_response{0, {}, ""};
        loop.stop();
    });
    loop.run_for(5s);
    return answer;
}

/// Asks as an operator does: goes where the leader is, resends the order.
transport::http_response ask_leader(three& cluster, const std::string& method,
                                    const std::string& target,
                                    const std::string& body = {})
{
    transport::http_response answer;
    for (int round = 0; round < 20; ++round)
    {
        answer = ask(cluster, cluster.need_leader(), method, target, body);
        const bool settled =
            answer.status != 0 && answer.status != 421 && answer.status != 503;
        if (settled)
        {
            return answer;
        }
    }
    return answer;
}

} // namespace

TEST_GROUP(control_process_tests){};

TEST(control_process_tests, writes_survive_the_leader_and_all_restarts)
{
    three cluster;
    const auto command = contract_command(7, 0, "o-1");
    const auto written = cluster.write(command);
    const auto first = cluster.need_leader();
    cluster.stop(first);
    CHECK(cluster.need_leader() != first);
    CHECK(cluster.write(command) == written);
    for (std::size_t at = 0; at < 3; ++at)
    {
        cluster.stop(at);
    }
    for (std::size_t at = 0; at < 3; ++at)
    {
        STRCMP_EQUAL("", cluster.start(at).c_str());
    }
    double rate = 0;
    cluster.on(cluster.need_leader(), [&](auto& process) {
        rate = process.node()
                   .state()
                   .tables()
                   .contracts.at("pomar")
                   .contract.requests_per_second;
    });
    DOUBLES_EQUAL(7, rate, 0);
}

TEST(control_process_tests, operators_api_keeps_its_rules)
{
    three cluster;
    const std::string path = "/v1/contracts/pomar";
    const std::string body = R"({"organisation":"pomar"})";
    LONGS_EQUAL(401, ask(cluster, 0, "GET", path, "", "wrong").status);
    LONGS_EQUAL(404, ask_leader(cluster, "GET", path).status);
    LONGS_EQUAL(400, ask_leader(cluster, "PUT", path, "{").status);
    LONGS_EQUAL(200, ask_leader(cluster, "PUT", path, body).status);
    LONGS_EQUAL(200, ask_leader(cluster, "PUT", path, body).status);
    const auto loser = ask_leader(
        cluster, "PUT", path, R"({"organisation":"pomar","retry_ratio":0.2})");
    LONGS_EQUAL(409, loser.status);
    STRCMP_CONTAINS("\"retry_ratio\":0.1", loser.body.c_str());
    LONGS_EQUAL(404, ask_leader(cluster, "GET", "/v1/nothing").status);
    for (std::size_t at = 0; at < 3; ++at)
    {
        LONGS_EQUAL(200, ask(cluster, at, "GET", "/v1/inspect/log").status);
    }
}

// Guards against an order that is lost with the leader or by a restart, and
// against one for an unknown domain that is accepted.
TEST(control_process_tests, evacuation_survives_the_leader_and_all_restarts)
{
    three cluster;
    const auto read = [&cluster](const std::string& target) {
        return ask_leader(cluster, "GET", target).body;
    };
    const std::string path = "/v1/evacuations/domain-2";
    const auto unknown = ask_leader(cluster, "PUT", "/v1/evacuations/domain-9");
    LONGS_EQUAL(404, unknown.status);
    STRCMP_CONTAINS("domain-1, domain-2, domain-3", unknown.body.c_str());
    LONGS_EQUAL(404, ask_leader(cluster, "POST", path, "post").status);
    const auto first = ask_leader(cluster, "PUT", path, "1");
    LONGS_EQUAL(200, first.status);
    STRCMP_CONTAINS("\"since_ms\":1", first.body.c_str());
    const auto leader = cluster.need_leader();
    cluster.stop(leader);
    CHECK(cluster.need_leader() != leader);
    STRCMP_CONTAINS("\"failure_domain\":\"domain-2\"",
                    read("/v1/evacuations").c_str());
    // The same order again, and another one of the same content.
    for (const char* order : {"1", "2"})
    {
        const auto again = ask_leader(cluster, "PUT", path, order);
        LONGS_EQUAL(200, again.status);
        STRCMP_EQUAL(first.body.c_str(), again.body.c_str());
        CHECK(transport::find_header(again.headers, "Hyssopdeal-Index") ==
              transport::find_header(first.headers, "Hyssopdeal-Index"));
    }
    for (std::size_t at = 0; at < 3; ++at)
    {
        cluster.stop(at);
    }
    for (std::size_t at = 0; at < 3; ++at)
    {
        STRCMP_EQUAL("", cluster.start(at).c_str());
    }
    STRCMP_CONTAINS("domain-2", read("/v1/evacuations").c_str());
    STRCMP_CONTAINS("domain-2", read("/v1/inspect/evacuations").c_str());
    LONGS_EQUAL(200, ask_leader(cluster, "DELETE", path, "3").status);
    LONGS_EQUAL(200, ask_leader(cluster, "DELETE", path, "4").status);
    STRCMP_EQUAL("{\"evacuations\":[]}\n", read("/v1/evacuations").c_str());
}

TEST(control_process_tests, follower_names_the_leader)
{
    three cluster;
    std::string hint;
    const auto named = [&] {
        const auto leader = cluster.need_leader();
        const auto answer =
            ask(cluster, (leader + 1) % 3, "GET", "/v1/contracts");
        hint = transport::find_header(answer.headers, "Hyssopdeal-Leader");
        return answer.status == 421 &&
               hint.ends_with(
                   std::to_string(cluster.settings(leader).operators_port));
    };
    bool seen = false;
    for (int round = 0; round < 20 && !seen; ++round)
    {
        seen = named();
    }
    CHECK(seen);
}

TEST(control_process_tests, entry_follows_pushed_changes)
{
    three cluster;
    transport::event_loop loop;
    protocol::peer_hub_settings links;
    links.self = "entry-1";
    links.shared_key = "0123456789abcdef0123456789abcdef";
    protocol::peer_hub hub{loop, links};
    CHECK(hub.start().has_value());
    coordination::membership_runner_settings own;
    own.name = "entry-1";
    own.failure_domain = "domain-1";
    own.shared_key = links.shared_key;
    coordination::membership_runner members{loop, cluster.clock(), own, 1};
    CHECK(members.start().has_value());
    std::vector<std::string> names;
    for (const auto& item : cluster.settings(0).replicas)
    {
        hub.set_peer(item.name, item.address);
        names.push_back(item.name);
    }
    state::log_index applied = 0;
    double rate = 0;
    coordination::learner_runner follow{
        loop,
        cluster.clock(),
        hub,
        members,
        {"entry-1", "domain-1", names, {}},
        [&](protocol::control_view view) {
            CHECK(view.applied_index > applied);
            applied = view.applied_index;
            rate = view.contracts.empty()
                       ? 0
                       : view.contracts.front().requests_per_second;
        }};
    follow.start();
    CHECK(run_until(loop, [&] {
        return follow.phase() == coordination::learning_phase::current;
    }));
    state::revision revision = 0;
    for (int round = 1; round <= 5; ++round)
    {
        revision = cluster
                       .write(contract_command(round, revision,
                                               fmt::format("order-{}", round)))
                       .index;
    }
    CHECK(run_until(loop, [&] { return applied >= revision; }));
    DOUBLES_EQUAL(5, rate, 0);
}

// [folders] ------------------------------------------------------------------

TEST(control_process_tests, folders_are_checked_and_never_made_twice)
{
    three cluster;
    (void)cluster.write(contract_command(7, 0, "o-1"));
    const auto leader = cluster.need_leader();
    cluster.stop(leader);
    auto& settings = cluster.settings(leader);
    const auto report = coordination::verify_folder(settings.data_folder);
    CHECK(report.has_value());
    LONGS_EQUAL(leader + 1, report->id);
    const auto text = coordination::export_folder(settings.data_folder);
    CHECK(text.has_value());
    STRCMP_CONTAINS("\"organisation\": \"pomar\"", text->c_str());
    CHECK_FALSE(coordination::prepare_folder(
                    settings, coordination::folder_start::new_cluster)
                    .has_value());
    CHECK_FALSE(coordination::verify_folder("/nonexistent").has_value());
    std::filesystem::remove_all(settings.data_folder);
    const auto lost = cluster.start(leader);
    STRCMP_CONTAINS("--join", lost.c_str());
    cluster.stop(leader);
}
