/// @file
/// Order and Retry-After of the reasons why no server was selected:
/// coordination/gateway/selection_failure.hpp. The load is one request at a
/// time to at most four servers, none of which can be selected.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

#include <hyssopdeal/coordination/gateway/selection_failure.hpp>

using namespace hyssopdeal;
using namespace hyssopdeal::coordination;
using namespace std::chrono_literals;
using transport::monotonic_time;

using enum selection_failure_reason;

TEST_GROUP(selection_failure_tests)
{
    monotonic_time now{100s};
    placement servers{{}, "d0", 7};

    void setup() override
    {
        protocol::document_service service;
        service.name = std::string{"s"};
        service.cold_start = 8s;
        service.cold_per_s = 4;
        servers.cold().set_services({service});
    }

    /// Lists servers, each with its id and failure domain. Those of a first
    /// list are not presumed cold.
    void list(const std::map<std::string, std::string>& domains)
    {
        std::vector<protocol::listed_server> listed;
        for (const auto& [id, domain] : domains)
        {
            protocol::listed_server server;
            server.id = id;
            server.born = 1;
            // g++ 12 warns wrongly about the assignment of a literal here.
            server.service = std::string{"s"};
            server.address = id + ":1";
            server.failure_domain = domain;
            server.slots = 8;
            listed.push_back(server);
        }
        (void)servers.set_servers(listed);
        servers.cold().set_servers(now, listed, now);
    }

    known_server& at(const std::string& id)
    {
        return *servers.servers().at(id);
    }

    /// Sets a limit of 5 requests a second, for which there is no permit: this
    /// gateway has never heard of a leader.
    void limit_rate(const known_server& server)
    {
        servers.permits().on_response(now, server.listed, "5", std::nullopt);
    }

    /// Makes the server cold. It tolerates 4 requests a second then, for which
    /// there is no permit either.
    void make_cold(const known_server& server)
    {
        servers.cold().on_response(now, server.listed, "8000", std::nullopt);
    }

    /// Occupies the only slot that a gateway without a leader uses on a brittle
    /// server. The other servers of the service become brittle with it.
    void make_full(known_server & server)
    {
        servers.brittle().on_response(now, server.listed, "3", std::nullopt);
        server.running = 1;
    }

    void check(selection_failure_reason reason,
               std::chrono::milliseconds retry_after,
               const std::set<std::string>& tried = {})
    {
        CHECK_FALSE(servers.choose(now, "s", {}, tried));
        const auto failure =
            explain_selection_failure(now, "s", tried, servers);
        STRCMP_EQUAL(std::string{to_string(reason)}.c_str(),
                     std::string{to_string(failure.reason)}.c_str());
        CHECK(failure.reason == reason);
        LONGS_EQUAL(retry_after.count(), failure.retry_after.count());
    }
};

// A reason of a later server must not hide that of an earlier one: the caller
// would return at the wrong time, and its turn would not be reserved.
TEST(selection_failure_tests, reasons_of_several_servers_have_an_order)
{
    // In the reverse of the reasons' order, also by id.
    list({{"a_paused", "d0"},
          {"b_full", "d0"},
          {"c_cold", "d0"},
          {"d_limited", "d0"}});
    servers.on_pause(now, at("a_paused"), 700ms);
    make_full(at("b_full"));
    make_cold(at("c_cold"));
    limit_rate(at("d_limited"));
    check(rate_limited, 200ms);
    check(cold, 250ms, {"d_limited"});
    check(full, 400ms, {"d_limited", "c_cold"});
    check(paused, 700ms, {"d_limited", "c_cold", "b_full"});
    now += 700ms;
    check(no_server, 1'000ms, {"d_limited", "c_cold", "b_full", "a_paused"});
}

TEST(selection_failure_tests, reasons_of_one_server_have_an_order)
{
    list({{"a", "d0"}});
    auto& server = at("a");
    make_full(server);
    check(full, 400ms);
    make_cold(server);
    check(cold, 250ms);
    limit_rate(server);
    check(rate_limited, 200ms);
    // A paused server gets no request even with a permit and a slot.
    servers.on_pause(now, server, 300ms);
    check(paused, 300ms);
    servers.evacuated().apply(now, 1, {"d0"});
    check(evacuated, 1'000ms);
    // A server that ends is missing, whatever its domain's state is.
    servers.on_leaving(server);
    check(no_server, 1'000ms);
}

// Callers that are refused together must not return together, and a refusal
// takes no turn of a reason that it does not name.
TEST(selection_failure_tests, each_refusal_reserves_one_turn)
{
    list({{"a", "d0"}, {"b", "d0"}});
    limit_rate(at("a"));
    make_cold(at("b"));
    check(rate_limited, 200ms);
    check(rate_limited, 400ms);
    check(cold, 250ms, {"a"});
    check(cold, 500ms, {"a"});
    check(rate_limited, 600ms);
    now += 500ms;
    check(rate_limited, 300ms);
}

// Only servers that a request has not tried make it wait for a permit or a slot.
TEST(selection_failure_tests, tried_servers_lack_nothing)
{
    list({{"a", "d0"}});
    auto& server = at("a");
    limit_rate(server);
    make_cold(server);
    make_full(server);
    check(no_server, 1'000ms, {"a"});
}

TEST(selection_failure_tests, retry_after_of_a_pause_has_a_limit)
{
    list({{"a", "d0"}, {"b", "d0"}});
    servers.on_pause(now, at("a"), 5s);
    servers.on_pause(now, at("b"), 10s);
    check(paused, 1'000ms);
    now += 4'200ms;
    // The first of two servers to end its pause counts.
    check(paused, 800ms);
}

TEST(selection_failure_tests, no_listed_server_is_no_evacuation)
{
    servers.evacuated().apply(now, 1, {"d0"});
    check(no_server, 1'000ms);
    // A tried server outside the evacuated domain.
    list({{"a", "d0"}, {"b", "d1"}});
    check(no_server, 1'000ms, {"b"});
}

// Operators and callers read these texts, and only a lack of room may make
// less urgent requests yield.
TEST(selection_failure_tests, reasons_have_a_text_and_may_show_a_lack_of_room)
{
    struct
    {
        selection_failure_reason reason;
        const char* text;
        bool lacks_room;
    } const expected[] = {
        {rate_limited, "servers_rate_limited", true},
        {cold, "servers_cold", false},
        {full, "servers_full", true},
        {evacuated, "no_server", false},
        {paused, "servers_paused", false},
        {no_server, "no_server", false},
    };
    for (const auto& item : expected)
    {
        STRCMP_EQUAL(item.text, std::string{to_string(item.reason)}.c_str());
        CHECK_EQUAL(item.lacks_room,
                    (selection_failure{item.reason, 0ms}.lacks_room()));
    }
}
