/// @file
/// Requests through the gateway to servers that refuse or fail them, send
/// truncated, wrong or endless responses, or respond late:
/// coordination/gateway/request_flow.hpp.

#include <hyssopdeal/coordination/gateway/native_dialect.hpp>
#include <hyssopdeal/coordination/gateway/request_flow.hpp>

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

#include "loop_helper.hpp"
#include "raw_peer.hpp"

using namespace hyssopdeal;
using namespace hyssopdeal::coordination;
using namespace std::chrono_literals;

namespace
{

constexpr const char* document_text = "document";

protocol::service_document make_document()
{
    protocol::service_document document;
    document.version = 1;
    document.services = {{"s", 0, protocol::engine_terms{8, 100'000, true}, {}},
                         {"f", 0, {}, {}}};
    const auto add = [&](const char* prefix, protocol::repeat_rule rule,
                         bool resumable, const char* service = "s") {
        protocol::document_route route;
        route.name = prefix;
        route.host = "h";
        route.path_prefix = prefix;
        route.rule = rule;
        route.time_limit = 2s;
        route.target_latency = 300ms;
        route.max_attempts = 2;
        route.resumable = resumable;
        route.shares = {{service, 1}};
        document.routes.push_back(route);
    };
    add("/safe/", protocol::repeat_rule::safe, false);
    add("/once/", protocol::repeat_rule::once, false);
    add("/stream/", protocol::repeat_rule::stream, false);
    add("/resume/", protocol::repeat_rule::stream, true);
    add("/faulty/", protocol::repeat_rule::once, false, "f");
    protocol::organisation_terms terms;
    terms.name = "o";
    terms.keys = {"key"};
    document.organisations = {terms};
    terms.name = "limited";
    terms.keys = {"limited"};
    terms.tokens_per_second = 1;
    document.organisations.push_back(terms);
    return document;
}

std::string response_head(const std::string& id, const char* more_headers)
{
    return "HTTP/1.1 200 OK\r\nHyssopdeal-Attempt: " + id + "\r\n" +
           more_headers + "\r\n";
}

/// The native dialect with a call that asks servers for their start.
struct checking_dialect : native_dialect
{
    static std::optional<transport::http_request>
    make_liveness_check(const protocol::document_service&)
    {
        return transport::http_request{"GET", "/alive", {}, ""};
    }

    static std::optional<server_liveness>
    parse_liveness(int status, std::string_view body, std::string_view)
    {
        const auto started =
            std::strtoull(std::string{body}.c_str(), nullptr, 10);
        return status == 200 ? std::optional{server_liveness{started, false}}
                             : std::nullopt;
    }
};

/// The native dialect with servers that state their load.
struct stating_dialect : native_dialect
{
    static response_metadata
    parse_response(int status,
                   const std::vector<transport::http_header>& headers)
    {
        auto result = native_dialect::parse_response(status, headers);
        result.server_load = "1,0,8,100";
        return result;
    }
};

} // namespace

TEST_GROUP(request_flow_tests)
{
    using server_script = std::function<void(tests::raw_connection&)>;

    transport::event_loop loop;
    transport::system_clock clock;
    std::unique_ptr<gateway_core> core;
    std::unique_ptr<transport::http1_server> gateway_server;
    std::uint16_t gateway_port = 0;
    std::vector<std::unique_ptr<tests::raw_listener>> backend_listeners;
    std::vector<protocol::listed_server> listed_servers;
    /// Request heads in the order in which any server received them.
    std::vector<std::string> received_requests;

    void setup() override
    {
        start_gateway({});
    }

    void start_gateway(gateway_settings settings)
    {
        settings.name = "e";
        settings.keys_valid_for = 60s;
        gateway_server.reset();
        core = std::make_unique<gateway_core>(
            loop, clock, settings,
            [](const std::string&) { return make_document(); });
        gateway_server = std::make_unique<transport::http1_server>(
            loop, clock, transport::http1_server_settings{},
            [this](transport::http1_exchange exchange) {
                std::make_shared<request_flow<native_dialect>>(
                    *core, std::move(exchange))
                    ->start();
            });
        gateway_port = gateway_server->start().value();
    }

    /// Adds a server that runs a script for each request.
    void add_server(const server_script& respond)
    {
        backend_listeners.push_back(std::make_unique<tests::raw_listener>(
            loop, [this, respond](tests::raw_connection& connection) {
                if (connection.received.find("\r\n\r\n") != std::string::npos)
                {
                    received_requests.push_back(
                        std::exchange(connection.received, {}));
                    respond(connection);
                }
            }));
        protocol::listed_server listed;
        listed.id = "w" + std::to_string(listed_servers.size());
        listed.service = "s";
        listed.slots = 8;
        listed.address = backend_listeners.back()->address();
        listed_servers.push_back(listed);
    }

    void apply_configuration()
    {
        protocol::entry_orders orders;
        orders.leads = true;
        orders.document_version = 1;
        orders.packed_document = protocol::pack_text(document_text);
        orders.listing_age_ms = 0;
        orders.listing = protocol::server_listing{1, listed_servers};
        orders.shares = {{"o", 1.0}};
        core->apply_orders(clock.monotonic_now(), orders);
    }

    std::shared_ptr<tests::raw_connection> send(
        const std::string& path, const std::string& attempt = "id1")
    {
        auto caller = tests::raw_call(loop, gateway_port);
        caller->send("POST " + path +
                     "x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\n"
                     "Hyssopdeal-Attempt: " +
                     attempt + "\r\nContent-Length: 0\r\n\r\n");
        return caller;
    }

    std::shared_ptr<tests::raw_connection> send_prompt(
        const std::string& attempt, int tokens)
    {
        auto caller = tests::raw_call(loop, gateway_port);
        caller->send("POST /stream/x HTTP/1.1\r\nHost: h\r\n"
                     "Authorization: Bearer key\r\nHyssopdeal-Prompt: " +
                     std::to_string(tokens) + "\r\nHyssopdeal-Attempt: " +
                     attempt + "\r\nContent-Length: 0\r\n\r\n");
        return caller;
    }

    /// Sends a prompt while another one is queued at the only server.
    ///
    /// @return The response, a refusal that arrives without delay.
    std::string refusal_while_queued(int queued_tokens)
    {
        const auto ahead = send_prompt("id0", queued_tokens);
        CHECK_TRUE(tests::run_until(
            loop, [&] { return received_requests.size() == 1; }));
        const auto caller = send_prompt("id1", 10'000);
        CHECK_TRUE(tests::run_until(
            loop, [&] { return !caller->received.empty(); }, 500ms));
        STRCMP_CONTAINS("HTTP/1.1 503", caller->received.c_str());
        return caller->received;
    }

    /// Sends a request and waits for the end of its response.
    ///
    /// @return The bytes received.
    std::string fetch(const std::string& path)
    {
        const auto caller = send(path);
        (void)tests::run_until(
            loop,
            [&] {
                return caller->closed || (!caller->received.empty() &&
                                          gateway_server->open_requests() == 0);
            },
            4s);
        loop.run_for(20ms);
        return caller->received;
    }

    static server_script respond_with(const std::string& body)
    {
        return [body](tests::raw_connection& connection) {
            connection.send(
                response_head("id1", ("Content-Length: " +
                                      std::to_string(body.size()) + "\r\n")
                                         .c_str()) +
                body);
        };
    }

    /// Closes a connection and the server's listener in good order, as the
    /// kernel does for a process that was killed.
    void kill_server(std::size_t index, tests::raw_connection & connection)
    {
        backend_listeners.at(index)->stop();
        connection.close();
    }

    /// Adds two servers. The first that gets the stream is killed after its
    /// first event; the other one resumes it with some bytes.
    void add_servers_that_resume_with(const std::string& bytes)
    {
        const auto respond = [this, bytes](tests::raw_connection& connection) {
            const auto& request = received_requests.back();
            if (received_requests.size() > 1)
            {
                connection.send(response_head("id1", "") + bytes);
                return connection.close();
            }
            connection.send(response_head("id1", "") + "id: 1\ndata: a\n\n");
            const bool first =
                request.find("Hyssopdeal-Server: w0") != std::string::npos;
            kill_server(first ? 0 : 1, connection);
        };
        add_server(respond);
        add_server(respond);
        apply_configuration();
    }

    /// @return A server that is killed after it has sent some bytes of a
    ///     response without a length.
    server_script be_killed_after(const std::string& bytes)
    {
        return [this, bytes](tests::raw_connection& connection) {
            connection.send(response_head("id1", "") + bytes);
            kill_server(0, connection);
        };
    }

    static server_script reset()
    {
        return [](tests::raw_connection& connection) { connection.reset(); };
    }

    static server_script refuse()
    {
        return [](tests::raw_connection& connection) {
            connection.send("HTTP/1.1 503 Service Unavailable\r\n"
                            "Hyssopdeal-Attempt: id1\r\n"
                            "Hyssopdeal-Verdict: not_run\r\n"
                            "Content-Length: 0\r\n\r\n");
        };
    }
};

TEST(request_flow_tests, silent_leader_is_told_from_an_exceeded_quota)
{
    add_server([](auto&) {});
    apply_configuration();
    core->set_token_fetcher([](const auto&, double, const auto& on_answer) {
        on_answer(transport::fail(transport::reason::timed_out, "No answer."));
    });
    const auto caller = tests::raw_call(loop, gateway_port);
    caller->send("POST /once/x HTTP/1.1\r\nHost: h\r\n"
                 "Authorization: Bearer limited\r\n"
                 "Hyssopdeal-Attempt: id1\r\nContent-Length: 0\r\n\r\n");
    CHECK_TRUE(
        tests::run_until(loop, [&] { return !caller->received.empty(); }));
    CHECK_TRUE(caller->received.starts_with("HTTP/1.1 429 "));
    CHECK_TRUE(caller->received.find("not_run: quota_leader_silent") !=
               std::string::npos);
    CHECK_TRUE(received_requests.empty());
    CHECK_TRUE(
        core->metrics().find("hyssopdeal_leader_silent_refusals_total 1") !=
        std::string::npos);
}

TEST(request_flow_tests, request_carries_the_gateway_headers)
{
    add_server(respond_with("done"));
    apply_configuration();
    STRCMP_CONTAINS("done", fetch("/once/").c_str());
    STRCMP_CONTAINS("POST /once/x HTTP/1.1", received_requests.at(0).c_str());
    STRCMP_CONTAINS("Hyssopdeal-Organisation: o", received_requests[0].c_str());
    STRCMP_CONTAINS("Hyssopdeal-Server: w0", received_requests[0].c_str());
    CHECK_TRUE(received_requests[0].find("Bearer") == std::string::npos);
}

TEST(request_flow_tests, non_retryable_request_is_not_retried_after_a_reset)
{
    add_server(reset());
    add_server(reset());
    apply_configuration();
    STRCMP_CONTAINS("HTTP/1.1 502", fetch("/once/").c_str());
    STRCMP_CONTAINS("HTTP/1.1 502", fetch("/stream/").c_str());
    LONGS_EQUAL(2, received_requests.size());
}

TEST(request_flow_tests,
     safe_request_is_retried_on_another_server_after_a_reset)
{
    add_server(reset());
    add_server(respond_with("done"));
    apply_configuration();
    for (int round = 0; round < 4; ++round)
    {
        STRCMP_CONTAINS("done", fetch("/safe/").c_str());
    }
}

TEST(request_flow_tests, not_run_refusal_is_retried_on_another_server)
{
    add_server(refuse());
    add_server(respond_with("done"));
    apply_configuration();
    for (int round = 0; round < 2; ++round)
    {
        STRCMP_CONTAINS("done", fetch("/once/").c_str());
    }
}

TEST(request_flow_tests, refusal_by_all_servers_is_not_run_with_retry_after)
{
    add_server(refuse());
    apply_configuration();
    const auto response = fetch("/once/");
    STRCMP_CONTAINS("HTTP/1.1 503", response.c_str());
    STRCMP_CONTAINS("Retry-After:", response.c_str());
}

TEST(request_flow_tests, response_to_another_request_is_never_relayed)
{
    add_server([](tests::raw_connection& connection) {
        connection.send(
            response_head("other", "Content-Length: 5\r\n") + "wrong" +
            response_head("id1", "Content-Length: 5\r\n") + "right");
    });
    apply_configuration();
    const auto response = fetch("/once/");
    STRCMP_CONTAINS("right", response.c_str());
    CHECK_TRUE(response.find("wrong") == std::string::npos);
}

TEST(request_flow_tests, success_without_attempt_id_is_rejected)
{
    add_server([](tests::raw_connection& connection) {
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfake");
    });
    apply_configuration();
    STRCMP_CONTAINS("HTTP/1.1 502", fetch("/once/").c_str());
}

TEST(request_flow_tests, truncated_stream_does_not_look_complete)
{
    add_server([](tests::raw_connection& connection) {
        connection.send(response_head("id1", "") +
                        "id: 1\ndata: a\n\nid: 2\nda");
        connection.reset();
    });
    apply_configuration();
    const auto response = fetch("/stream/");
    STRCMP_CONTAINS("data: a", response.c_str());
    CHECK_TRUE(response.find("\r\n0\r\n") == std::string::npos);
    CHECK_TRUE(response.find("id: 2") == std::string::npos);
}

// Responses without a length end with their connection, whether the server
// completed them or crashed.
TEST(request_flow_tests, stream_closed_inside_an_event_does_not_look_complete)
{
    add_server([](tests::raw_connection& connection) {
        connection.send(response_head("id1", "") +
                        "id: 1\ndata: a\n\nid: 2\nda");
        connection.close();
    });
    apply_configuration();
    const auto response = fetch("/stream/");
    STRCMP_CONTAINS("data: a", response.c_str());
    CHECK_TRUE(response.find("\r\n0\r\n") == std::string::npos);
    CHECK_TRUE(response.find("id: 2") == std::string::npos);
}

TEST(request_flow_tests, stream_closed_before_its_first_event_is_no_success)
{
    add_server([](tests::raw_connection& connection) {
        connection.send(response_head("id1", ""));
        connection.close();
    });
    apply_configuration();
    STRCMP_CONTAINS("HTTP/1.1 502", fetch("/stream/").c_str());
}

// Regression: the end of a killed server's connection was taken for the end of
// the stream.
TEST(request_flow_tests, stream_of_a_killed_server_does_not_look_complete)
{
    add_server(be_killed_after("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
    apply_configuration();
    const auto response = fetch("/stream/");
    STRCMP_CONTAINS("data: b", response.c_str());
    CHECK_TRUE(response.find("\r\n0\r\n") == std::string::npos);
    LONGS_EQUAL(1, core->counters.unconfirmed_ends.value());
}

TEST(request_flow_tests, stream_of_a_killed_server_is_resumed)
{
    add_servers_that_resume_with("id: 2\ndata: b\n\n");
    const auto response = fetch("/resume/");
    STRCMP_CONTAINS("data: a", response.c_str());
    STRCMP_CONTAINS("data: b", response.c_str());
    STRCMP_CONTAINS("\r\n0\r\n", response.c_str());
    LONGS_EQUAL(2, received_requests.size());
}

// Regression: a stream whose server was killed right after the last event was
// broken off, as nothing was left to resume.
TEST(request_flow_tests, stream_is_resumed_after_its_last_event)
{
    add_servers_that_resume_with("");
    const auto response = fetch("/resume/");
    STRCMP_CONTAINS("data: a", response.c_str());
    STRCMP_CONTAINS("\r\n0\r\n", response.c_str());
    LONGS_EQUAL(2, received_requests.size());
}

// Regression: half of a body was passed on as the whole of it.
// Guards against a part of a response that looks whole because its server reset
// the connection while the request was still being sent.
TEST(request_flow_tests, response_cut_during_the_upload_is_no_success)
{
    const auto cut = [](tests::raw_connection& connection) {
        connection.send(response_head("id1", "") + std::string(600, 'a'));
        connection.reset();
    };
    add_server(cut);
    add_server(cut);
    apply_configuration();
    const std::string body(4'000'000, 'u');
    for (const auto* path : {"/once/", "/safe/", "/stream/"})
    {
        auto caller = tests::raw_call(loop, gateway_port);
        caller->send(fmt::format("POST {}x HTTP/1.1\r\nHost: h\r\n"
                                 "Authorization: Bearer key\r\n"
                                 "Hyssopdeal-Attempt: id1\r\n"
                                 "Content-Length: {}\r\n\r\n",
                                 path, body.size()));
        constexpr std::size_t piece = 50'000;
        for (std::size_t at = 0; at < body.size(); at += piece)
        {
            caller->send(body.substr(at, piece));
            loop.run_for(1ms);
        }
        CHECK_TRUE(tests::run_until(
            loop, [&] { return !caller->received.empty(); }, 4s));
        STRCMP_CONTAINS("HTTP/1.1 502", caller->received.c_str());
    }
}

// Guards against a response that no caller can read and that kept its request
// until the time limit.
TEST(request_flow_tests, unreadable_responses_end_their_attempt_at_once)
{
    for (const std::string head :
         {"HTTP/1.1 000 X\r\nContent-Length: 2\r\n",
          "HTTP/1.1 101 X\r\nContent-Length: 2\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n",
          "HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 2\r\n"})
    {
        listed_servers.clear();
        add_server([&](tests::raw_connection& connection) {
            connection.send(head + "Hyssopdeal-Attempt: id1\r\n\r\nok");
        });
        apply_configuration();
        const auto start = std::chrono::steady_clock::now();
        const auto response = fetch("/once/");
        STRCMP_CONTAINS("HTTP/1.1 502", response.c_str());
        STRCMP_CONTAINS("may_have_run", response.c_str());
        CHECK(std::chrono::steady_clock::now() - start < 1s);
    }
}

// Guards against a wait for the body that the length of such a response
// announces, and against one where the caller reads its next response.
TEST(request_flow_tests, response_to_head_has_no_body)
{
    add_server([](tests::raw_connection& connection) {
        connection.send(response_head("id1", "Content-Length: 9\r\n"));
    });
    apply_configuration();
    for (const auto* path : {"/safe/", "/once/", "/nowhere/"})
    {
        const auto caller = tests::raw_call(loop, gateway_port);
        caller->send(fmt::format("HEAD {}x HTTP/1.1\r\nHost: h\r\n"
                                 "Authorization: Bearer key\r\n"
                                 "Hyssopdeal-Attempt: id1\r\n\r\n",
                                 path));
        CHECK_TRUE(tests::run_until(
            loop, [&] { return !caller->received.empty(); }, 1s));
        loop.run_for(20ms);
        CHECK_TRUE(caller->received.ends_with("\r\n\r\n"));
        STRCMP_CONTAINS(std::string_view{path} == "/nowhere/" ? "HTTP/1.1 404"
                                                              : "HTTP/1.1 200",
                        caller->received.c_str());
    }
}

TEST(request_flow_tests, response_of_a_killed_server_is_no_success)
{
    add_server(be_killed_after("half of "));
    apply_configuration();
    STRCMP_CONTAINS("HTTP/1.1 502", fetch("/once/").c_str());
    LONGS_EQUAL(1, received_requests.size());
}

TEST(request_flow_tests,
     responses_without_a_length_of_running_servers_are_whole)
{
    add_server([](tests::raw_connection& connection) {
        connection.send(response_head("id1", "") + "id: 1\ndata: a\n\n");
        connection.close();
    });
    apply_configuration();
    for (const auto* path : {"/stream/", "/resume/"})
    {
        const auto response = fetch(path);
        STRCMP_CONTAINS("data: a", response.c_str());
        STRCMP_CONTAINS("\r\n0\r\n", response.c_str());
    }
    for (const auto* path : {"/once/", "/safe/"})
    {
        STRCMP_CONTAINS("HTTP/1.1 200", fetch(path).c_str());
    }
    LONGS_EQUAL(4, received_requests.size());
    LONGS_EQUAL(0, core->counters.unconfirmed_ends.value());
}

// Regression: something still accepted connections in the place of a server
// whose process had ended.
TEST(request_flow_tests, stream_of_a_server_that_does_not_answer_is_broken_off)
{
    std::string alive; // What the server answers; empty: nothing.
    add_server([&](tests::raw_connection& connection) {
        if (received_requests.back().starts_with("GET /alive"))
        {
            return alive.empty()
                       ? void()
                       : connection.send("HTTP/1.1 200 OK\r\nContent-Length: 1"
                                         "\r\n\r\n" +
                                         alive);
        }
        connection.send(response_head("id1", "") + "id: 1\ndata: a\n\n");
        connection.close();
    });
    listed_servers[0].born = 7;
    apply_configuration();
    transport::http1_server gateway{
        loop, clock, transport::http1_server_settings{},
        [this](transport::http1_exchange exchange) {
            std::make_shared<request_flow<checking_dialect>>(
                *core, std::move(exchange))
                ->start();
        }};
    gateway_port = gateway.start().value();
    const auto is_whole = [this] {
        const auto caller = send("/stream/");
        const auto has_end = [&] {
            return caller->received.find("\r\n0\r\n") != std::string::npos;
        };
        (void)tests::run_until(
            loop, [&] { return caller->closed || has_end(); }, 2s);
        return has_end();
    };
    CHECK_FALSE(is_whole());
    alive = "8"; // Another incarnation.
    CHECK_FALSE(is_whole());
    alive = "7";
    CHECK_TRUE(is_whole());
}

// Without the load or the durations, placement would learn nothing of servers.
TEST(request_flow_tests, loads_and_durations_reach_placement_and_metrics)
{
    gateway_settings settings;
    settings.placement_options.predict_by_work = true;
    start_gateway(settings);
    add_server(respond_with("done"));
    apply_configuration();
    transport::http1_server gateway{
        loop, clock, transport::http1_server_settings{},
        [this](transport::http1_exchange exchange) {
            std::make_shared<request_flow<stating_dialect>>(*core,
                                                            std::move(exchange))
                ->start();
        }};
    gateway_port = gateway.start().value();
    STRCMP_CONTAINS("200 OK", fetch("/safe/").c_str());
    STRCMP_CONTAINS("200 OK", fetch("/safe/").c_str());
    const auto metrics = core->metrics();
    STRCMP_CONTAINS("hyssopdeal_route_first_event_seconds_count"
                    "{route=\"/safe/ POST\"} 2",
                    metrics.c_str());
    STRCMP_CONTAINS("hyssopdeal_server_duration_ratio"
                    "{server=\"w0\",work=\"start\"}",
                    metrics.c_str());
}

// Regression: the end of a killed relay's connection was taken for the end of
// the stream.
TEST(request_flow_tests, stream_through_a_killed_relay_does_not_look_complete)
{
    // It speaks for the server, too.
    add_server([this](tests::raw_connection& connection) {
        if (received_requests.back().starts_with("CONNECT "))
        {
            return connection.send("HTTP/1.1 200 \r\n\r\n");
        }
        connection.send(response_head("id1", "") + "id: 1\ndata: a\n\n");
        kill_server(0, connection);
    });
    const auto relay = listed_servers.front().address;
    listed_servers.clear();
    for (const auto* id : {"w0", "w1"})
    {
        protocol::listed_server listed;
        listed.id = id;
        listed.service = "s";
        listed.slots = 8;
        listed.address = "127.0.0.1:1";
        listed_servers.push_back(listed);
    }
    apply_configuration();
    core->reach.set_servers(listed_servers);
    (void)core->reach.set_helpers({relay});
    for (const auto* id : {"w0", "w1"})
    {
        core->reach.on_unreached(clock.monotonic_now(), id);
    }
    const auto response = fetch("/stream/");
    STRCMP_CONTAINS("data: a", response.c_str());
    CHECK_TRUE(response.find("\r\n0\r\n") == std::string::npos);
}

TEST(request_flow_tests, stream_closed_inside_an_event_is_resumed)
{
    int round = 0;
    const server_script respond = [&round](tests::raw_connection& connection) {
        connection.send(response_head("id1", "") +
                        (round++ == 0 ? "id: 1\ndata: a\n\nid: 2\nda"
                                      : "id: 2\ndata: b\n\n"));
        connection.close();
    };
    add_server(respond);
    add_server(respond);
    apply_configuration();
    const auto response = fetch("/resume/");
    STRCMP_CONTAINS("id: 2\ndata: b", response.c_str());
    STRCMP_CONTAINS("\r\n0\r\n", response.c_str());
    STRCMP_CONTAINS("Last-Event-ID: 1", received_requests.at(1).c_str());
}

TEST(request_flow_tests, resumable_stream_resumes_after_its_last_complete_event)
{
    int round = 0;
    const server_script respond = [&round](tests::raw_connection& connection) {
        if (round++ == 0)
        {
            connection.send(response_head("id1", "") +
                            "id: 1\ndata: a\n\nid: 2\nda");
            return connection.reset();
        }
        connection.send(response_head("id1", "") + "id: 2\ndata: b\n\n");
        connection.close();
    };
    add_server(respond);
    add_server(respond);
    apply_configuration();
    const auto response = fetch("/resume/");
    STRCMP_CONTAINS("data: a", response.c_str());
    STRCMP_CONTAINS("id: 2\ndata: b", response.c_str());
    STRCMP_CONTAINS("\r\n0\r\n", response.c_str());
    LONGS_EQUAL(2, received_requests.size());
    STRCMP_CONTAINS("Last-Event-ID: 1", received_requests.at(1).c_str());
}

TEST(request_flow_tests, replayed_event_is_not_relayed_twice)
{
    int round = 0;
    const server_script respond = [&round](tests::raw_connection& connection) {
        if (round++ == 0)
        {
            connection.send(response_head("id1", "") + "id: 1\ndata: a\n\n");
            return connection.reset();
        }
        connection.send(response_head("id1", "") +
                        "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        connection.close();
    };
    add_server(respond);
    add_server(respond);
    apply_configuration();
    const auto response = fetch("/resume/");
    CHECK_TRUE(response.find("data: a") == response.rfind("data: a"));
    STRCMP_CONTAINS("data: b", response.c_str());
}

TEST(request_flow_tests, caller_disconnect_cancels_the_attempt)
{
    add_server([](tests::raw_connection& connection) {
        connection.send(response_head("id1", "") + "id: 1\ndata: a\n\n");
    });
    apply_configuration();
    const auto caller = send("/stream/");
    CHECK_TRUE(tests::run_until(loop, [&] {
        return caller->received.find("data: a") != std::string::npos;
    }));
    caller->close();
    CHECK_TRUE(tests::run_until(
        loop, [&] { return backend_listeners[0]->connections[0]->closed; },
        500ms));
}

TEST(request_flow_tests, missing_response_times_out_at_the_route_limit)
{
    add_server([](tests::raw_connection&) {});
    apply_configuration();
    const auto start = std::chrono::steady_clock::now();
    STRCMP_CONTAINS("HTTP/1.1 504", fetch("/once/").c_str());
    const auto elapsed = std::chrono::steady_clock::now() - start;
    CHECK(elapsed >= 2s);
    CHECK(elapsed < 2'500ms);
}

TEST(request_flow_tests, requests_without_route_key_or_document_are_refused)
{
    STRCMP_CONTAINS("HTTP/1.1 503", fetch("/once/").c_str());
    apply_configuration();
    STRCMP_CONTAINS("HTTP/1.1 404", fetch("/nowhere/").c_str());
    const auto caller = tests::raw_call(loop, gateway_port);
    caller->send("GET /safe/ HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer no"
                 "\r\nHyssopdeal-Attempt: a\r\n\r\n");
    CHECK_TRUE(tests::run_until(
        loop, [&] { return caller->received.find("HTTP/1.1 401") == 0; }));
    LONGS_EQUAL(0, received_requests.size());
}

// When all processes start at once, callers connect before the first document
// arrives. A caller that is refused at that time retries once and is refused
// again.
TEST(request_flow_tests, early_requests_wait_for_the_first_document)
{
    add_server(respond_with("done"));
    const auto caller = send("/safe/");
    loop.run_for(200ms);
    CHECK_TRUE(caller->received.empty());
    apply_configuration();
    CHECK_TRUE(tests::run_until(
        loop,
        [&] { return caller->received.find("done") != std::string::npos; },
        500ms));
}

// Forty callers arrive within the first 0.2 s. None may be refused, because
// each retries at most once.
TEST(request_flow_tests, early_callers_are_all_served)
{
    add_server(respond_with("done"));
    std::vector<std::shared_ptr<tests::raw_connection>> callers;
    for (int number = 0; number < 40; ++number)
    {
        callers.push_back(send("/safe/"));
        loop.run_for(5ms);
    }
    apply_configuration();
    const auto served = [&] {
        return std::count_if(callers.begin(), callers.end(), [](auto& caller) {
            return caller->received.find("done") != std::string::npos;
        });
    };
    CHECK_TRUE(tests::run_until(
        loop, [&] { return served() == 40; }, 1s));
    LONGS_EQUAL(0, core->counters.refused.value());
}

TEST(request_flow_tests, wait_for_the_first_document_is_bounded)
{
    const auto start = std::chrono::steady_clock::now();
    const auto caller = tests::raw_call(loop, gateway_port);
    caller->send("GET /safe/ HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key"
                 "\r\nX-Request-Deadline-Ms: 600\r\n"
                 "Hyssopdeal-Attempt: a\r\n\r\n");
    CHECK_TRUE(tests::run_until(
        loop, [&] { return !caller->received.empty(); }, 1s));
    const auto elapsed = std::chrono::steady_clock::now() - start;
    CHECK(elapsed >= 200ms);
    CHECK(elapsed < 300ms);
    STRCMP_CONTAINS("HTTP/1.1 503", caller->received.c_str());
    STRCMP_CONTAINS("Retry-After", caller->received.c_str());
}

// Guards against accepting streams that are predicted to start late. When those
// up to three times the target latency are accepted, most streams start late in
// overload and many exceed their time limit.
TEST(request_flow_tests, stream_predicted_late_is_refused_with_retry_after)
{
    add_server([](tests::raw_connection&) {});
    apply_configuration();
    STRCMP_CONTAINS("Retry-After: 0.6", refusal_while_queued(80'000).c_str());
    LONGS_EQUAL(1, received_requests.size());
}

TEST(request_flow_tests,
     stream_predicted_slightly_late_gets_a_short_retry_after)
{
    add_server([](tests::raw_connection&) {});
    apply_configuration();
    STRCMP_CONTAINS("Retry-After: 0.2", refusal_while_queued(40'000).c_str());
    LONGS_EQUAL(1, received_requests.size());
}

TEST(request_flow_tests, address_of_another_server_gets_no_more_requests)
{
    add_server([](tests::raw_connection& connection) {
        connection.send("HTTP/1.1 421 Misdirected Request\r\n"
                        "Hyssopdeal-Attempt: id1\r\n"
                        "Content-Length: 0\r\n\r\n");
    });
    apply_configuration();
    STRCMP_CONTAINS("HTTP/1.1 503", fetch("/once/").c_str());
    STRCMP_CONTAINS("HTTP/1.1 503", fetch("/once/").c_str());
    LONGS_EQUAL(1, received_requests.size());
}

// [server announcements] -----------------------------------------------------

// The instance list lags by a second or more, so the gateway must also act on a
// server's own announcement.
TEST(request_flow_tests, server_announcing_its_end_gets_no_new_requests)
{
    const std::vector<std::string> marked = {
        response_head("id1", "Hyssopdeal-Leaving: 1\r\nContent-Length: 2\r\n") +
            "ok",
        // The announcement is in a response to another request, which is not
        // relayed.
        response_head("other",
                      "Hyssopdeal-Leaving: 1\r\nContent-Length: 0\r\n") +
            response_head("id1", "Content-Length: 2\r\n") + "ok",
        "HTTP/1.1 500 Internal Server Error\r\nHyssopdeal-Attempt: id1\r\n"
        "Hyssopdeal-Leaving: 1\r\nContent-Length: 0\r\n\r\n"};
    for (const auto& bytes : marked)
    {
        listed_servers.clear();
        received_requests.clear();
        add_server(
            [&](tests::raw_connection& connection) { connection.send(bytes); });
        apply_configuration();
        (void)fetch("/once/");
        LONGS_EQUAL(1, received_requests.size());
        STRCMP_CONTAINS("HTTP/1.1 503", fetch("/once/").c_str());
        LONGS_EQUAL(1, received_requests.size());
        // A list that still shows the server as ready does not override its
        // announcement.
        apply_configuration();
        STRCMP_CONTAINS("HTTP/1.1 503", fetch("/once/").c_str());
        LONGS_EQUAL(1, core->report().leaving.size());
    }
}

TEST(request_flow_tests, stream_head_can_announce_the_end_of_a_server)
{
    add_server([](tests::raw_connection& connection) {
        connection.send(response_head("id1", "Hyssopdeal-Leaving: 1\r\n"));
    });
    apply_configuration();
    const auto caller = send("/stream/");
    CHECK_TRUE(
        tests::run_until(loop, [&] { return received_requests.size() == 1; }));
    (void)tests::run_until(
        loop, [] { return false; }, 50ms);
    STRCMP_CONTAINS("HTTP/1.1 503", fetch("/once/").c_str());
    caller->close();
}

TEST(request_flow_tests, leaving_server_reported_by_other_gateways_is_not_used)
{
    add_server(respond_with("ok"));
    listed_servers[0].born = 7;
    apply_configuration();
    protocol::entry_orders orders;
    orders.leaving = {{"w0", 6}};
    core->apply_orders(clock.monotonic_now(), orders);
    STRCMP_CONTAINS("ok", fetch("/once/").c_str());
    orders.leaving = {{"w0", 7}};
    core->apply_orders(clock.monotonic_now(), orders);
    STRCMP_CONTAINS("HTTP/1.1 503", fetch("/once/").c_str());
    // Only own observations are reported, so that reports do not circulate
    // between gateways.
    LONGS_EQUAL(0, core->report().leaving.size());
}

TEST(request_flow_tests, server_requesting_a_pause_gets_no_requests_meanwhile)
{
    add_server([this](tests::raw_connection& connection) {
        connection.send(
            received_requests.size() == 1
                ? "HTTP/1.1 503 Service Unavailable\r\n"
                  "Hyssopdeal-Attempt: id1\r\n"
                  "Hyssopdeal-Verdict: not_run\r\nRetry-After: 0.6\r\n"
                  "Content-Length: 0\r\n\r\n"
                : response_head("id1", "Content-Length: 2\r\n") + "ok");
    });
    apply_configuration();
    const auto start = std::chrono::steady_clock::now();
    STRCMP_CONTAINS("HTTP/1.1 503", fetch("/once/").c_str());
    // The refusal tells the caller when the server is available again.
    STRCMP_CONTAINS("Retry-After: 0.", fetch("/once/").c_str());
    while (std::chrono::steady_clock::now() - start < 550ms)
    {
        (void)fetch("/once/");
    }
    LONGS_EQUAL(1, received_requests.size());
    (void)tests::run_until(
        loop, [] { return false; }, 150ms);
    STRCMP_CONTAINS("ok", fetch("/once/").c_str());
}

// Guards against sending the next request to a full server right after its
// refusal. In a large fleet, the engines then refuse half of all requests for
// lack of a slot.
TEST(request_flow_tests, full_server_gets_no_requests_for_a_short_time)
{
    add_server(refuse());
    apply_configuration();
    const auto start = clock.monotonic_now();
    STRCMP_CONTAINS("HTTP/1.1 503", fetch("/once/").c_str());
    const auto refused = fetch("/once/");
    const auto elapsed = clock.monotonic_now() - start;
    STRCMP_CONTAINS("HTTP/1.1 503", refused.c_str());
    constexpr std::string_view name = "Retry-After: ";
    const auto at = refused.find(name);
    CHECK_TRUE(at != std::string::npos);
    const auto text = refused.substr(at + name.size());
    const auto retry_after =
        transport::read_seconds(text.substr(0, text.find('\r')));
    CHECK_TRUE(retry_after <= 150ms);
    CHECK_TRUE(retry_after + elapsed >= 150ms);
    LONGS_EQUAL(1, received_requests.size());
    (void)tests::run_until(
        loop, [] { return false; }, 150ms);
    (void)fetch("/once/");
    LONGS_EQUAL(2, received_requests.size());
}

TEST(request_flow_tests, retry_after_values_are_parsed_or_ignored)
{
    using transport::read_seconds;
    LONGS_EQUAL(1'500, read_seconds("1.5").count());
    LONGS_EQUAL(2'000, read_seconds("2").count());
    LONGS_EQUAL(1, read_seconds("0.0001").count());
    LONGS_EQUAL(86'400'000, read_seconds("999999999999999999999").count());
    for (const auto* text : {"", "-1", "1e9", "nan", "inf", "1.2.3", "1 s", ".",
                             "Wed, 21 Oct 2026 07:28:00 GMT"})
    {
        LONGS_EQUAL(0, read_seconds(text).count());
    }
}

// Callers may conclude from status 503 that a request has not run. Without the
// server's verdict it may have run, so the status must not be relayed.
TEST(request_flow_tests, unmarked_refusal_is_reported_as_may_have_run)
{
    for (const auto* status :
         {"503 Service Unavailable", "429 Too Many", "408 Request Timeout"})
    {
        listed_servers.clear();
        add_server([=](tests::raw_connection& connection) {
            connection.send(std::string{"HTTP/1.1 "} + status +
                            "\r\nHyssopdeal-Attempt: id1\r\n"
                            "Content-Length: 0\r\n\r\n");
        });
        apply_configuration();
        STRCMP_CONTAINS("HTTP/1.1 502", fetch("/once/").c_str());
    }
}

// [other operators' reports] --------------------------------------------------

// A faulty server may send an earlier refusal once more, after the next request
// has reached it.
TEST(request_flow_tests, repeated_refusal_is_not_taken_for_the_next_response)
{
    const auto refusal = [](const char* status, const std::string& id) {
        return std::string{"HTTP/1.1 "} + status + "\r\n" + id +
               "Hyssopdeal-Verdict: not_run\r\nContent-Length: 0\r\n\r\n";
    };
    using one = std::pair<const char*, const char*>;
    for (const auto& [status, id] :
         {one{"503 Service Unavailable", "Hyssopdeal-Attempt: id0\r\n"},
          one{"503 Service Unavailable", ""},
          one{"421 Misdirected Request", "Hyssopdeal-Attempt: id0\r\n"},
          one{"421 Misdirected Request", ""}})
    {
        listed_servers.clear();
        received_requests.clear();
        const auto respond = [=, first = refusal(status, id)](
                                 tests::raw_connection& connection) {
            connection.send(
                first + response_head("id1", "Content-Length: 4\r\n") + "done");
        };
        add_server(respond);
        add_server(respond);
        apply_configuration();
        const auto response = fetch("/once/");
        CHECK_TRUE(response.find("HTTP/1.1 503") == std::string::npos);
        CHECK_TRUE(response.find("not_run") == std::string::npos);
        LONGS_EQUAL(1, received_requests.size());
    }
}

TEST(request_flow_tests, error_of_a_second_server_does_not_enter_the_stream)
{
    for (const std::string error :
         {"HTTP/1.1 500 Internal Server Error\r\nHyssopdeal-Attempt: id1\r\n"
          "Content-Length: 8\r\n\r\nbad luck",
          "HTTP/1.1 404 Not Found\r\nHyssopdeal-Attempt: id1\r\n"
          "Content-Length: 8\r\n\r\nbad luck",
          "HTTP/1.1 503 Service Unavailable\r\nHyssopdeal-Attempt: id1\r\n"
          "Hyssopdeal-Verdict: not_run\r\nContent-Length: 8\r\n\r\nbad luck",
          "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 8\r\n\r\n"
          "bad luck",
          "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nbad luck",
          "HTTP/1.1 200 OK\r\nHyssopdeal-Attempt: id1\r\n"
          "Content-Length: 8\r\n\r\nbad luck",
          "bad luck\r\n\r\n"})
    {
        listed_servers.clear();
        int round = 0;
        const auto respond = [&round,
                              error](tests::raw_connection& connection) {
            if (round++ == 0)
            {
                connection.send(response_head("id1", "") +
                                "id: 1\ndata: a\n\nid: 2\nda");
                return connection.reset();
            }
            connection.send(error);
            connection.close();
        };
        add_server(respond);
        add_server(respond);
        apply_configuration();
        const auto response = fetch("/resume/");
        STRCMP_CONTAINS("data: a", response.c_str());
        CHECK_TRUE(response.find("bad luck") == std::string::npos);
        CHECK_TRUE(response.find("HTTP/1.1", 1) == std::string::npos);
        CHECK_TRUE(response.find("\r\n0\r\n") == std::string::npos);
    }
}

TEST(request_flow_tests, head_cut_off_at_any_byte_is_no_success)
{
    const auto head = response_head("id1", "Content-Length: 0\r\n");
    for (std::size_t length = 1; length < head.size(); ++length)
    {
        listed_servers.clear();
        core->servers.set_servers({});
        add_server([&](tests::raw_connection& connection) {
            connection.send(std::string_view{head}.substr(0, length));
            connection.close();
        });
        apply_configuration();
        STRCMP_CONTAINS("HTTP/1.1 502",
                        fetch(length % 2 == 0 ? "/once/" : "/stream/").c_str());
    }
}

// [unbounded responses] ------------------------------------------------------

namespace
{

/// Sends the same bytes repeatedly until the peer closes the connection.
void flood(const std::shared_ptr<tests::raw_connection>& to,
           const std::shared_ptr<const std::string>& chunk,
           const std::shared_ptr<std::size_t>& sent)
{
    asio::async_write(to->socket(), asio::buffer(*chunk),
                      [=](const auto& error, std::size_t length) {
                          *sent += length;
                          if (!error)
                          {
                              flood(to, chunk, sent);
                          }
                      });
}

} // namespace

// Guards against buffering an endless head, body or event until the deadline,
// which exhausts the memory.
TEST(request_flow_tests, endless_response_is_cancelled_and_reported)
{
    struct unbounded_response
    {
        const char* path;
        std::string head;
        std::string chunk;
    };
    const std::string filler(65'536, 'x');
    std::string interim;
    while (interim.size() < filler.size())
    {
        interim += "HTTP/1.1 100 Continue\r\n\r\n";
    }
    const auto plain = response_head("id1", "Content-Length: 9000000000\r\n");
    const auto chunked = response_head("id1", "Transfer-Encoding: chunked\r\n");
    const std::vector<unbounded_response> test_cases = {
        {"/once/", "HTTP/1.1 200 ", filler},
        {"/once/", "HTTP/1.1 200 OK\r\nA: ", filler},
        {"/once/", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
        {"/once/", plain, filler},
        {"/once/", response_head("id1", ""), filler},
        {"/once/", chunked, "10000\r\n" + filler + "\r\n"},
        {"/once/", chunked + "1;", filler},
        {"/once/", chunked + "1\r\nx\r\n0\r\nA: ", filler},
        {"/once/", "", interim},
        {"/once/", response_head("other", "Content-Length: 9000000000\r\n"),
         filler},
        {"/stream/", response_head("id1", "") + "id: 1\ndata: ", filler}};
    for (const auto& test_case : test_cases)
    {
        listed_servers.clear();
        const auto sent = std::make_shared<std::size_t>(0);
        add_server([&](tests::raw_connection& connection) {
            connection.send(test_case.head);
            flood(connection.shared_from_this(),
                  std::make_shared<const std::string>(test_case.chunk), sent);
        });
        apply_configuration();
        const auto start = std::chrono::steady_clock::now();
        const auto response = fetch(test_case.path);
        STRCMP_CONTAINS("HTTP/1.1 502", response.c_str());
        STRCMP_CONTAINS("may_have_run", response.c_str());
        CHECK(std::chrono::steady_clock::now() - start < 1'900ms);
        CHECK_TRUE(tests::run_until(
            loop,
            [&] {
                return backend_listeners.back()->connections.back()->closed;
            },
            1s));
        // The buffer limit plus the socket buffers.
        CHECK(*sent < 16'000'000);
        LONGS_EQUAL(0, core->buffered_bytes());
    }
}

// Report of other operators: a faulty server's bytes filled the buffers, and the
// sound responses that were under way beside it ended.
TEST(request_flow_tests, full_buffers_end_the_largest_responses_only)
{
    constexpr std::size_t sound = 20;
    constexpr std::size_t faulty = 6;
    gateway_settings settings;
    settings.max_buffered_bytes = 2'000'000;
    start_gateway(settings);
    const std::string half(20'000, 'y');
    const auto filler = std::make_shared<const std::string>(16'384, 'x');
    std::vector<std::shared_ptr<tests::raw_connection>> unfinished;
    add_server([&](tests::raw_connection& connection) {
        const auto& request = received_requests.back();
        const auto id = request.substr(request.find("Attempt: ") + 9, 3);
        connection.send(response_head(id, "Content-Length: 40000\r\n") + half);
        unfinished.push_back(connection.shared_from_this());
    });
    add_server([&](tests::raw_connection& connection) {
        const auto& request = received_requests.back();
        const auto id = request.substr(request.find("Attempt: ") + 9, 3);
        connection.send(response_head(id, ""));
        flood(connection.shared_from_this(), filler,
              std::make_shared<std::size_t>(0));
    });
    listed_servers[1].service = "f";
    apply_configuration();
    std::vector<std::shared_ptr<tests::raw_connection>> callers;
    for (std::size_t number = 0; number < sound; ++number)
    {
        callers.push_back(send("/once/", std::to_string(100 + number)));
    }
    CHECK_TRUE(tests::run_until(
        loop, [&] { return unfinished.size() == sound; }, 1s));
    std::vector<std::shared_ptr<tests::raw_connection>> flooded;
    for (std::size_t number = 0; number < faulty; ++number)
    {
        flooded.push_back(
            send("/faulty/", std::to_string(100 + sound + number)));
    }
    CHECK_TRUE(tests::run_until(
        loop,
        [&] { return core->counters.buffer_overflows.value() >= faulty - 1; },
        1'500ms));
    for (const auto& connection : unfinished)
    {
        connection->send(half);
    }
    CHECK_TRUE(tests::run_until(
        loop, [&] { return gateway_server->open_requests() == 0; }, 2s));
    loop.run_for(20ms);
    for (const auto& caller : callers)
    {
        STRCMP_CONTAINS("HTTP/1.1 200", caller->received.c_str());
        CHECK_TRUE(caller->received.ends_with(half + half));
    }
    for (const auto& caller : flooded)
    {
        STRCMP_CONTAINS("HTTP/1.1 502", caller->received.c_str());
    }
    LONGS_EQUAL(0, core->buffered_bytes());
}

// Guards against counting any byte as activity: a stalled server that sends
// single bytes must still reach the idle timeout.
TEST(request_flow_tests, stream_stalled_with_single_bytes_fails_over)
{
    const server_script respond = [this](tests::raw_connection& connection) {
        if (received_requests.size() == 1)
        {
            connection.send(response_head("id1", "") + "id: 1\ndata: a\n\n: ");
            return;
        }
        connection.send(response_head("id1", "Connection: close\r\n") +
                        "id: 2\ndata: b\n\n");
        connection.close();
    };
    add_server(respond);
    add_server(respond);
    apply_configuration();
    const auto caller = send("/resume/");
    const auto start = std::chrono::steady_clock::now();
    auto next = start;
    CHECK_TRUE(tests::run_until(
        loop,
        [&] {
            const auto now = std::chrono::steady_clock::now();
            if (now >= next)
            {
                next = now + 100ms;
                for (const auto& listener : backend_listeners)
                {
                    if (!listener->connections.empty() &&
                        !listener->connections.front()->closed)
                    {
                        listener->connections.front()->send(".");
                    }
                }
            }
            return caller->received.find("data: b") != std::string::npos;
        },
        1'800ms));
}

// Guards against restarting a stream that is queued behind long prompts on a
// live server: the other server would queue it again.
TEST(request_flow_tests, stream_queued_on_a_live_server_stays)
{
    std::vector<std::shared_ptr<tests::raw_connection>> waiting;
    const server_script wait = [&](tests::raw_connection& connection) {
        waiting.push_back(connection.shared_from_this());
    };
    add_server(wait);
    apply_configuration();
    const auto first = send("/resume/");
    CHECK_TRUE(tests::run_until(loop, [&] { return waiting.size() == 1; }));
    const auto second = send("/resume/");
    CHECK_TRUE(tests::run_until(loop, [&] { return waiting.size() == 2; }));
    add_server(wait);
    apply_configuration();
    // The server keeps sending events of the first stream.
    const auto start = std::chrono::steady_clock::now();
    auto next = start;
    int number = 0;
    waiting[0]->send(response_head("id1", ""));
    (void)tests::run_until(
        loop,
        [&] {
            const auto now = std::chrono::steady_clock::now();
            if (now >= next)
            {
                next = now + 300ms;
                ++number;
                waiting[0]->send("id: " + std::to_string(number) +
                                 "\ndata: a\n\n");
            }
            return received_requests.size() > 2;
        },
        1'700ms);
    LONGS_EQUAL(2, received_requests.size());
    first->close();
    second->close();
}

// [silent servers] -----------------------------------------------------------

TEST_GROUP_BASE(silent_server_tests, TEST_GROUP_CppUTestGrouprequest_flow_tests)
{
    /// Connections on which the servers got the request, in order.
    std::vector<std::shared_ptr<tests::raw_connection>> attempts;

    /// Adds two servers. The first that gets the request sends some bytes and
    /// is silent; the other one runs a script.
    void add_silent_server_and(const std::string& sent,
                               const server_script& respond)
    {
        const auto script = [this, sent,
                             respond](tests::raw_connection& connection) {
            attempts.push_back(connection.shared_from_this());
            attempts.size() == 1 ? connection.send(sent) : respond(connection);
        };
        add_server(script);
        add_server(script);
        apply_configuration();
    }

    /// Lets the first server send the rest of the response after a silence that
    /// is longer than the idle timeout.
    ///
    /// @return What the caller received.
    std::string finish_after_silence(
        const std::shared_ptr<tests::raw_connection>& caller,
        const std::string& rest, std::chrono::milliseconds silence)
    {
        loop.run_for(silence);
        attempts.at(0)->send(rest);
        (void)tests::run_until(
            loop, [&] { return gateway_server->open_requests() == 0; }, 500ms);
        loop.run_for(20ms);
        return caller->received;
    }

    std::string finish_stream_after_silence(
        const std::shared_ptr<tests::raw_connection>& caller)
    {
        return finish_after_silence(caller,
                                    "b\r\nid: 2\ndata:\r\n"
                                    "4\r\n b\n\n\r\n0\r\n\r\n",
                                    1'300ms);
    }

    static std::string first_event()
    {
        return response_head("id1", "Transfer-Encoding: chunked\r\n") +
               "f\r\nid: 1\ndata: a\n\n\r\n";
    }

    static void check_both_events(const std::string& response)
    {
        STRCMP_CONTAINS("data: a", response.c_str());
        STRCMP_CONTAINS("data: b", response.c_str());
        STRCMP_CONTAINS("\r\n0\r\n", response.c_str());
    }
};

TEST(silent_server_tests, begun_stream_without_a_retry_budget_goes_on)
{
    gateway_settings settings;
    settings.repeats.ratio = 0;
    settings.repeats.base = 0;
    start_gateway(settings);
    add_silent_server_and(first_event(), refuse());
    const auto caller = send("/resume/");
    check_both_events(finish_stream_after_silence(caller));
    LONGS_EQUAL(1, attempts.size());
}

TEST(silent_server_tests, begun_stream_goes_on_if_the_second_server_refuses_it)
{
    add_silent_server_and(first_event(), refuse());
    const auto caller = send("/resume/");
    check_both_events(finish_stream_after_silence(caller));
    LONGS_EQUAL(2, attempts.size());
}

TEST(silent_server_tests, begun_stream_goes_on_if_no_other_server_has_room)
{
    add_silent_server_and(first_event(), refuse());
    const auto caller = send("/resume/");
    CHECK_TRUE(tests::run_until(loop, [&] { return attempts.size() == 1; }));
    for (const auto& [id, server] : core->servers.servers())
    {
        core->servers.on_pause(clock.monotonic_now(), *server, 5s);
    }
    check_both_events(finish_stream_after_silence(caller));
    LONGS_EQUAL(1, attempts.size());
}

TEST(silent_server_tests, begun_stream_goes_on_if_the_second_server_is_silent)
{
    add_silent_server_and(first_event(), [](auto&) {});
    const auto caller = send("/resume/");
    check_both_events(finish_stream_after_silence(caller));
    CHECK_TRUE(tests::run_until(
        loop, [&] { return attempts.at(1)->closed; }, 400ms));
}

TEST(silent_server_tests, refused_second_attempt_is_sent_to_a_third_server)
{
    gateway_settings settings;
    settings.repeats.base = 5;
    start_gateway(settings);
    const server_script script = [this](tests::raw_connection& connection) {
        attempts.push_back(connection.shared_from_this());
        if (attempts.size() == 1)
        {
            return connection.send(first_event());
        }
        attempts.size() == 2
            ? refuse()(connection)
            : connection.send(response_head("id1", "Content-Length: 15\r\n") +
                              "id: 2\ndata: b\n\n");
    };
    add_server(script);
    add_server(script);
    add_server(script);
    apply_configuration();
    const auto caller = send("/resume/");
    // The idle timeout is 1 s, and its next check 250 ms later.
    CHECK_TRUE(tests::run_until(
        loop, [&] { return attempts.size() == 3; }, 1'200ms));
    CHECK_TRUE(tests::run_until(
        loop, [&] { return gateway_server->open_requests() == 0; }, 500ms));
    loop.run_for(20ms);
    check_both_events(caller->received);
}

TEST(silent_server_tests, begun_stream_goes_on_if_the_second_server_is_lost)
{
    add_silent_server_and(first_event(),
                          [](auto& connection) { connection.reset(); });
    const auto caller = send("/resume/");
    check_both_events(finish_stream_after_silence(caller));
}

// The first attempt must end within 400 ms of the start of the second run.
TEST(silent_server_tests, silent_stream_ends_when_another_server_resumes_it)
{
    add_silent_server_and(first_event(), [](auto& connection) {
        connection.send(response_head("id1", "Content-Length: 15\r\n") +
                        "id: 2\ndata: b\n\n");
    });
    const auto caller = send("/resume/");
    CHECK_TRUE(tests::run_until(
        loop, [&] { return attempts.size() == 2; }, 1'500ms));
    CHECK_TRUE(tests::run_until(
        loop, [&] { return attempts.at(0)->closed; }, 400ms));
    CHECK_TRUE(tests::run_until(
        loop, [&] { return gateway_server->open_requests() == 0; }, 500ms));
    loop.run_for(20ms);
    check_both_events(caller->received);
    STRCMP_CONTAINS("Last-Event-ID: 1", received_requests.at(1).c_str());
}

TEST(silent_server_tests, second_attempt_continues_if_the_silent_server_is_lost)
{
    add_silent_server_and(first_event(), [](auto&) {});
    const auto caller = send("/resume/");
    CHECK_TRUE(tests::run_until(
        loop, [&] { return attempts.size() == 2; }, 1'500ms));
    attempts.at(0)->reset();
    loop.run_for(50ms);
    attempts.at(1)->send(response_head("id1", "Content-Length: 15\r\n") +
                         "id: 2\ndata: b\n\n");
    CHECK_TRUE(tests::run_until(
        loop, [&] { return gateway_server->open_requests() == 0; }, 500ms));
    loop.run_for(20ms);
    check_both_events(caller->received);
    LONGS_EQUAL(2, attempts.size());
}

// A server that crashes under a prompt may fall silent.
TEST(silent_server_tests, quarantined_request_gets_no_second_attempt)
{
    add_silent_server_and(first_event(), [](auto&) {});
    const auto caller = send("/resume/");
    CHECK_TRUE(tests::run_until(loop, [&] { return attempts.size() == 1; }));
    const request_content content{
        {"POST", "/resume/x", {{"Host", "h"}}, ""}, "o", {}};
    protocol::crash_orders orders;
    orders.quarantine = {{{content.digest}, 60'000}};
    core->crashes.set_orders(clock.monotonic_now(), orders);
    loop.run_for(1'300ms);
    LONGS_EQUAL(1, attempts.size());
}

TEST(silent_server_tests, both_attempts_end_when_the_caller_disconnects)
{
    add_silent_server_and(first_event(), [](auto&) {});
    const auto caller = send("/resume/");
    CHECK_TRUE(tests::run_until(
        loop, [&] { return attempts.size() == 2; }, 1'500ms));
    caller->close();
    CHECK_TRUE(tests::run_until(
        loop, [&] { return attempts.at(0)->closed && attempts.at(1)->closed; },
        400ms));
}

TEST(silent_server_tests, safe_request_is_answered_if_the_second_server_refuses)
{
    add_silent_server_and("", refuse());
    const auto caller = send("/safe/");
    const auto response = finish_after_silence(
        caller, response_head("id1", "Content-Length: 2\r\n") + "ok", 450ms);
    STRCMP_CONTAINS("HTTP/1.1 200", response.c_str());
    STRCMP_CONTAINS("ok", response.c_str());
    LONGS_EQUAL(2, attempts.size());
}

TEST(silent_server_tests, error_of_the_second_server_is_not_relayed_in_part)
{
    const auto error =
        "HTTP/1.1 500 Internal Server Error\r\nHyssopdeal-Attempt: id1\r\n"
        "Content-Length: 10\r\n\r\nabc";
    add_silent_server_and(
        "", [error](auto& connection) { connection.send(error); });
    const auto caller = send("/safe/");
    CHECK_TRUE(tests::run_until(
        loop, [&] { return attempts.size() == 2; }, 600ms));
    loop.run_for(20ms);
    attempts.at(0)->reset();
    loop.run_for(20ms);
    attempts.at(1)->send("defghij");
    CHECK_TRUE(tests::run_until(
        loop, [&] { return gateway_server->open_requests() == 0; }, 500ms));
    loop.run_for(20ms);
    STRCMP_CONTAINS("HTTP/1.1 502", caller->received.c_str());
}

TEST(silent_server_tests, request_that_ran_on_the_second_server_is_not_refused)
{
    add_silent_server_and("", [](auto& connection) {
        connection.send("HTTP/1.1 500 Internal Server Error\r\n"
                        "Hyssopdeal-Attempt: id1\r\n"
                        "Content-Length: 10\r\n\r\nabc");
    });
    const auto caller = send("/safe/");
    CHECK_TRUE(tests::run_until(
        loop, [&] { return attempts.size() == 2; }, 600ms));
    loop.run_for(20ms);
    refuse()(*attempts.at(0));
    CHECK_TRUE(tests::run_until(
        loop, [&] { return gateway_server->open_requests() == 0; }, 500ms));
    loop.run_for(20ms);
    STRCMP_CONTAINS("HTTP/1.1 502", caller->received.c_str());
}

TEST(silent_server_tests, safe_request_without_a_retry_budget_is_answered)
{
    gateway_settings settings;
    settings.repeats.ratio = 0;
    settings.repeats.base = 0;
    start_gateway(settings);
    add_silent_server_and("", refuse());
    const auto caller = send("/safe/");
    const auto response = finish_after_silence(
        caller, response_head("id1", "Content-Length: 2\r\n") + "ok", 450ms);
    STRCMP_CONTAINS("HTTP/1.1 200", response.c_str());
    LONGS_EQUAL(1, attempts.size());
}

// [stream moves] -------------------------------------------------------------

TEST_GROUP_BASE(stream_move_tests, TEST_GROUP_CppUTestGrouprequest_flow_tests)
{
    /// Carries the stream on the first server.
    std::shared_ptr<tests::raw_connection> stream_connection;
    std::vector<std::string> move_requests; ///< Request heads.

    /// Adds the first server, which runs a stream and responds to requests to
    /// move it.
    void add_source(const server_script& on_move)
    {
        add_server([this, on_move](tests::raw_connection& connection) {
            if (received_requests.back().starts_with("POST /v1/streams/move"))
            {
                move_requests.push_back(received_requests.back());
                return on_move(connection);
            }
            stream_connection = connection.shared_from_this();
            connection.send(response_head("id1", "") + "id: 1\ndata: a\n\n");
        });
    }

    /// Adds a server that resumes the stream after its second event.
    void add_target()
    {
        add_server([](tests::raw_connection& connection) {
            connection.send(response_head("id1", "Connection: close\r\n") +
                            "id: 3\ndata: c\n\n");
            connection.close();
        });
    }

    server_script stop_and_respond(const char* status)
    {
        return [this, status](tests::raw_connection& connection) {
            stream_connection->reset();
            connection.send(std::string{"HTTP/1.1 "} + status +
                            "\r\nContent-Length: 2\r\n\r\nh7");
        };
    }

    /// Lists the first server as draining, with the time until it ends.
    void set_draining(std::chrono::milliseconds left)
    {
        listed_servers[0].state = protocol::server_state::draining;
        listed_servers[0].leaves_ms = left.count();
        apply_configuration();
    }

    /// Starts a stream on the first server, lists the server as draining and
    /// sends the second event.
    std::shared_ptr<tests::raw_connection> run_until_second_event(
        const std::string& path, std::chrono::milliseconds left)
    {
        apply_configuration();
        auto caller = send(path);
        CHECK_TRUE(wait_for_text(caller, "data: a"));
        set_draining(left);
        stream_connection->send("id: 2\ndata: b\n\n");
        return caller;
    }

    void evacuate(const std::string& domain)
    {
        protocol::entry_orders orders;
        orders.evacuation_revision = 1;
        orders.evacuated = {domain};
        core->apply_orders(clock.monotonic_now(), orders);
    }

    bool wait_for_text(const std::shared_ptr<tests::raw_connection>& caller,
                       const char* text)
    {
        return tests::run_until(
            loop,
            [&] { return caller->received.find(text) != std::string::npos; },
            1s);
    }
};

// Guards against losing every stream of a reclaimed server although the reclaim
// was announced seconds before.
TEST(stream_move_tests, stream_moves_before_its_server_ends)
{
    add_source(stop_and_respond("200 OK"));
    add_target();
    // The other domain costs more, so the stream starts on the first server.
    listed_servers[1].failure_domain = "far";
    listed_servers[0].failure_domain = "";
    const auto caller = run_until_second_event("/stream/", 800ms);
    CHECK_TRUE(wait_for_text(caller, "data: c"));
    LONGS_EQUAL(1, move_requests.size());
    STRCMP_CONTAINS("Hyssopdeal-Attempt: id1", move_requests[0].c_str());
    STRCMP_CONTAINS(
        ("Hyssopdeal-Move-To: " + listed_servers[1].address).c_str(),
        move_requests[0].c_str());
    STRCMP_CONTAINS(
        ("Hyssopdeal-Moved-Run: " + listed_servers[0].address + "/h7").c_str(),
        received_requests.back().c_str());
    STRCMP_CONTAINS("Last-Event-ID: 2", received_requests.back().c_str());
    LONGS_EQUAL(1, core->counters.moved.value());
}

// Twenty streams on a reclaimed server must all complete.
TEST(stream_move_tests, all_streams_of_a_reclaimed_server_complete)
{
    std::map<std::string, std::shared_ptr<tests::raw_connection>> streams;
    const auto attempt_id_of = [](const std::string& head) {
        const std::string name = "Hyssopdeal-Attempt: ";
        const auto at = head.find(name) + name.size();
        return head.substr(at, head.find('\r', at) - at);
    };
    add_server([&](tests::raw_connection& connection) {
        const auto attempt = attempt_id_of(received_requests.back());
        if (received_requests.back().starts_with("POST /v1/streams/move"))
        {
            streams.at(attempt)->reset();
            return connection.send(
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh7");
        }
        streams[attempt] = connection.shared_from_this();
        connection.send(response_head(attempt, "") + "id: 1\ndata: a\n\n");
    });
    add_server([&](tests::raw_connection& connection) {
        connection.send(response_head(attempt_id_of(received_requests.back()),
                                      "Connection: close\r\n") +
                        "id: 3\ndata: c\n\n");
        connection.close();
    });
    for (auto& listed : listed_servers)
    {
        listed.slots = 64;
    }
    listed_servers[1].state = protocol::server_state::draining;
    apply_configuration();
    // Moves use the retry budget, which grows with requests.
    for (int number = 0; number < 400; ++number)
    {
        core->repeats.on_request(clock.monotonic_now(), "s");
    }
    std::vector<std::shared_ptr<tests::raw_connection>> callers;
    callers.reserve(20);
    for (int number = 0; number < 20; ++number)
    {
        callers.push_back(send_prompt("id" + std::to_string(number), 10));
    }
    CHECK_TRUE(tests::run_until(
        loop, [&] { return streams.size() == 20; }, 2s));
    listed_servers[1].id = "w9";
    listed_servers[1].state = protocol::server_state::ready;
    set_draining(800ms);
    for (auto& [attempt, running] : streams)
    {
        running->send("id: 2\ndata: b\n\n");
    }
    const auto completed_streams = [&] {
        return std::count_if(callers.begin(), callers.end(), [](auto& caller) {
            return caller->received.find("data: c") != std::string::npos;
        });
    };
    CHECK_TRUE(tests::run_until(
        loop, [&] { return completed_streams() == 20; }, 2s));
    LONGS_EQUAL(0, core->counters.failed.value());
}

TEST(stream_move_tests, stream_does_not_move_long_before_its_server_ends)
{
    add_source(stop_and_respond("200 OK"));
    add_target();
    listed_servers[1].failure_domain = "far";
    const auto caller = run_until_second_event("/stream/", 5s);
    CHECK_TRUE(wait_for_text(caller, "data: b"));
    loop.run_for(100ms);
    LONGS_EQUAL(0, move_requests.size());
}

TEST(stream_move_tests, stream_stays_when_its_server_refuses_the_move)
{
    add_source([](tests::raw_connection& connection) {
        connection.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    });
    add_target();
    listed_servers[1].failure_domain = "far";
    const auto caller = run_until_second_event("/stream/", 800ms);
    CHECK_TRUE(
        tests::run_until(loop, [&] { return move_requests.size() == 1; }));
    stream_connection->send("id: 3\ndata: here\n\n");
    CHECK_TRUE(wait_for_text(caller, "data: here"));
}

// A stopped run that no other server accepted resumes on its source server.
TEST(stream_move_tests, stream_not_copied_resumes_on_its_source_server)
{
    add_source(stop_and_respond("503 Service Unavailable"));
    add_target();
    listed_servers[1].failure_domain = "far";
    const auto caller = run_until_second_event("/stream/", 800ms);
    CHECK_TRUE(
        tests::run_until(loop, [&] { return received_requests.size() == 3; }));
    STRCMP_CONTAINS(
        ("Hyssopdeal-Moved-Run: " + listed_servers[0].address + "/h7").c_str(),
        received_requests.back().c_str());
    STRCMP_CONTAINS(("Hyssopdeal-Server: " + listed_servers[0].id).c_str(),
                    received_requests.back().c_str());
}

// Guards against moves to an evacuated domain, ordered before or during one.
TEST(stream_move_tests, stream_does_not_move_to_an_evacuated_domain)
{
    add_source([this](tests::raw_connection& connection) {
        evacuate("far");
        stop_and_respond("200 OK")(connection);
    });
    add_target();
    listed_servers[1].failure_domain = "far";
    const auto caller = run_until_second_event("/stream/", 800ms);
    CHECK_TRUE(
        tests::run_until(loop, [&] { return received_requests.size() == 3; }));
    STRCMP_CONTAINS(("Hyssopdeal-Server: " + listed_servers[0].id).c_str(),
                    received_requests.back().c_str());
    stream_connection->send("id: 3\ndata: c\n\n");
    CHECK_TRUE(wait_for_text(caller, "data: c"));
    LONGS_EQUAL(1, move_requests.size());
    LONGS_EQUAL(3, received_requests.size());
}

// Guards against a request to a domain that was evacuated during the move.
TEST(stream_move_tests, stream_does_not_resume_in_an_evacuated_domain)
{
    add_source([this](tests::raw_connection& connection) {
        evacuate(listed_servers[0].failure_domain);
        stop_and_respond("503 Service Unavailable")(connection);
    });
    add_target();
    listed_servers[1].failure_domain = "far";
    const auto caller = run_until_second_event("/stream/", 800ms);
    CHECK_TRUE(tests::run_until(
        loop, [&] { return caller->closed; }, 1s));
    LONGS_EQUAL(2, received_requests.size());
}

// The request must not run twice: after its first attempt it is sent only with
// the handle of the stopped run.
TEST(stream_move_tests, moved_stream_refused_by_the_target_is_never_restarted)
{
    int sent = 0;
    add_server([&](tests::raw_connection& connection) {
        if (received_requests.back().starts_with("POST /v1/streams/move"))
        {
            return stop_and_respond("200 OK")(connection);
        }
        if (++sent > 1)
        {
            return refuse()(connection);
        }
        stream_connection = connection.shared_from_this();
        connection.send(response_head("id1", "") + "id: 1\ndata: a\n\n");
    });
    add_server(refuse());
    listed_servers[1].failure_domain = "far";
    const auto caller = run_until_second_event("/stream/", 800ms);
    CHECK_TRUE(tests::run_until(
        loop, [&] { return caller->closed; }, 1s));
    // The stream, the move, the refusal by the target, the one by the source.
    LONGS_EQUAL(4, received_requests.size());
    for (std::size_t at = 2; at < received_requests.size(); ++at)
    {
        STRCMP_CONTAINS("Hyssopdeal-Moved-Run: ",
                        received_requests[at].c_str());
    }
}

// Regression: the connection of a stopped stream without a length closes in good
// order before the move is answered, which was taken for the end of the stream.
TEST(stream_move_tests, stopped_stream_without_a_length_does_not_look_complete)
{
    transport::timer_handle answer;
    add_source([&, this](tests::raw_connection& connection) {
        stream_connection->close();
        answer = loop.after(50ms, [move = connection.shared_from_this()] {
            move->send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh7");
        });
    });
    add_target();
    listed_servers[1].failure_domain = "far";
    const auto caller = run_until_second_event("/stream/", 800ms);
    CHECK_TRUE(wait_for_text(caller, "data: c"));
    CHECK_TRUE(wait_for_text(caller, "\r\n0\r\n"));
    LONGS_EQUAL(1, core->counters.moved.value());
}

TEST(stream_move_tests, stream_stopped_by_an_unanswered_move_is_broken_off)
{
    add_source([this](tests::raw_connection& connection) {
        connection.reset();
        stream_connection->close();
    });
    add_target();
    listed_servers[1].failure_domain = "far";
    const auto caller = run_until_second_event("/stream/", 800ms);
    CHECK_TRUE(tests::run_until(
        loop, [&] { return caller->closed; }, 1s));
    CHECK_TRUE(caller->received.find("\r\n0\r\n") == std::string::npos);
}

TEST(stream_move_tests, stream_that_ends_before_its_move_is_whole)
{
    add_source([this](tests::raw_connection& connection) {
        stream_connection->close();
        connection.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    });
    add_target();
    listed_servers[1].failure_domain = "far";
    const auto caller = run_until_second_event("/stream/", 800ms);
    CHECK_TRUE(wait_for_text(caller, "\r\n0\r\n"));
    LONGS_EQUAL(2, received_requests.size());
}

// Regression: a late second response on the connection that was used for the move
// was taken for its answer, so that the stopped run was lost.
TEST(stream_move_tests,
     late_response_to_another_request_does_not_answer_the_move)
{
    add_source([this](tests::raw_connection& connection) {
        stream_connection->reset();
        connection.send(response_head("other", "Content-Length: 5\r\n") +
                        "wrong" +
                        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh7");
    });
    add_target();
    listed_servers[1].failure_domain = "far";
    const auto caller = run_until_second_event("/stream/", 800ms);
    CHECK_TRUE(wait_for_text(caller, "data: c"));
    CHECK_TRUE(wait_for_text(caller, "\r\n0\r\n"));
    STRCMP_CONTAINS("/h7", received_requests.back().c_str());
}

TEST(stream_move_tests, caller_disconnect_during_a_move_cancels_it)
{
    add_source([](tests::raw_connection&) {});
    add_target();
    listed_servers[1].failure_domain = "far";
    const auto caller = run_until_second_event("/stream/", 800ms);
    CHECK_TRUE(
        tests::run_until(loop, [&] { return move_requests.size() == 1; }));
    caller->close();
    CHECK_TRUE(tests::run_until(
        loop, [&] { return core->counters.left.value() == 1; }));
    loop.run_for(200ms);
    LONGS_EQUAL(2, received_requests.size());
}
