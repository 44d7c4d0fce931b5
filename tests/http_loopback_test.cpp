/// @file
/// Tests of transport/http_server.hpp and transport/http_client.hpp against
/// each other on loopback.

#include <hyssopdeal/transport/http_client.hpp>
#include <hyssopdeal/transport/http_server.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

#include <hyssopdeal/transport/byte_budget.hpp>

#include "loop_helper.hpp"
#include "raw_peer.hpp"

using namespace hyssopdeal::transport;
using namespace std::chrono_literals;
using hyssopdeal::tests::after_sending;
using hyssopdeal::tests::raw_exchange;
using hyssopdeal::tests::run_until;

namespace
{

http_server_settings small_limits()
{
    http_server_settings settings;
    settings.max_body_bytes = 1'000;
    settings.max_header_bytes = 2'000;
    settings.read_time_limit = 300ms;
    return settings;
}

bool contains(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_GROUP(http_loopback_tests)
{
    event_loop loop;
    std::vector<http_responder> open;
    std::string last_method;
    std::string last_body;
    http_server server{
        loop, small_limits(),
        [this](const http_request& request, http_responder responder) {
            answer(request, std::move(responder));
        }};
    http_client client{loop};
    std::string address;
    std::uint16_t port = 0;

    void setup() override
    {
        const auto started = server.start();
        CHECK_TRUE(started.has_value());
        port = *started;
        address = "127.0.0.1:" + std::to_string(port);
    }

    void answer(const http_request& request, http_responder responder)
    {
        last_method = request.method;
        last_body = request.body;
        if (request.target == "/dropped")
        {
            return;
        }
        if (request.target == "/held")
        {
            open.push_back(std::move(responder));
            return;
        }
        if (request.target == "/stream" || request.target == "/cut")
        {
            responder.begin_stream(200, {{"Content-Type", "text/plain"}});
            responder.write("one ");
            responder.write("two ");
            request.target == "/cut" ? responder.abort_stream()
                                     : responder.end_stream();
            return;
        }
        http_response response;
        response.headers = {
            {"X-Echo", std::string{find_header(request.headers, "x-sent")}}};
        response.body = request.body;
        responder.send(std::move(response));
    }

    result<http_response> fetch(const http_request& request,
                                const http_call_settings& settings = {})
    {
        std::optional<result<http_response>> got;
        const auto call =
            client.fetch(address, request, settings,
                         [&](auto outcome) { got = std::move(outcome); });
        CHECK_TRUE(run_until(loop, [&] { return got.has_value(); }));
        return std::move(*got);
    }
};

TEST(http_loopback_tests, passes_method_headers_and_body)
{
    http_request request{"PUT", "/echo", {{"X-Sent", "a b"}}, "hello"};
    const auto answer = fetch(request);
    CHECK_TRUE(answer.has_value());
    STRCMP_EQUAL("hello", answer->body.c_str());
    CHECK(find_header(answer->headers, "x-echo") == "a b");
    STRCMP_EQUAL("PUT", last_method.c_str());
}

TEST(http_loopback_tests, streams_to_the_proper_end)
{
    const auto answer = fetch({"GET", "/stream", {}, ""});
    CHECK_TRUE(answer.has_value());
    STRCMP_EQUAL("one two ", answer->body.c_str());
}

TEST(http_loopback_tests, aborted_stream_is_a_fault)
{
    const auto answer = fetch({"GET", "/cut", {}, ""});
    CHECK_FALSE(answer.has_value());
    CHECK(answer.error().code == reason::connection_lost);
    CHECK(answer.error().ran == verdict::may_have_run);
}

TEST(http_loopback_tests, connection_is_used_again_after_a_whole_answer)
{
    for (int round = 0; round < 3; ++round)
    {
        CHECK_TRUE(fetch({"GET", "/stream", {}, ""}).has_value());
    }
    LONGS_EQUAL(1, server.open_connections());
}

TEST(http_loopback_tests, dropped_responder_answers_500)
{
    const auto answer = fetch({"GET", "/dropped", {}, ""});
    CHECK_TRUE(answer.has_value());
    LONGS_EQUAL(500, answer->status);
    CHECK(find_header(answer->headers, "Hyssopdeal-Verdict") == "may_have_run");
}

TEST(http_loopback_tests, refused_connection_is_not_run)
{
    address = "127.0.0.1:1";
    const auto answer = fetch({"POST", "/echo", {}, "x"});
    CHECK_FALSE(answer.has_value());
    CHECK(answer.error().code == reason::connect_failed);
    CHECK(answer.error().ran == verdict::not_run);
}

TEST(http_loopback_tests, names_are_not_resolved)
{
    address = "localhost:80";
    const auto answer = fetch({"GET", "/", {}, ""});
    CHECK_FALSE(answer.has_value());
    CHECK(answer.error().code == reason::bad_request);
    CHECK(answer.error().ran == verdict::not_run);
}

TEST(http_loopback_tests, total_time_limit_ends_a_call)
{
    http_call_settings settings;
    settings.total_time_limit = 100ms;
    const auto answer = fetch({"POST", "/held", {}, "x"}, settings);
    CHECK_FALSE(answer.has_value());
    CHECK(answer.error().code == reason::timed_out);
    CHECK(answer.error().ran == verdict::may_have_run);
}

TEST(http_loopback_tests, answer_above_its_cap_is_a_fault)
{
    http_call_settings settings;
    settings.max_body_bytes = 4;
    const auto answer = fetch({"GET", "/stream", {}, ""}, settings);
    CHECK_FALSE(answer.has_value());
    CHECK(answer.error().code == reason::too_large);
}

TEST(http_loopback_tests, cancelled_call_calls_nothing)
{
    int called = 0;
    auto call = client.fetch(address, {"GET", "/stream", {}, ""}, {},
                             [&](const auto&) { ++called; });
    call.cancel();
    loop.run_for(50ms);
    LONGS_EQUAL(0, called);
}

TEST(http_loopback_tests, cancel_within_a_handler_is_safe)
{
    int pieces = 0;
    int ends = 0;
    http_call call;
    http_call_handlers handlers;
    handlers.on_data = [&](std::string_view) {
        ++pieces;
        call.cancel();
    };
    handlers.on_end = [&](const auto&) { ++ends; };
    call = client.start(address, {"GET", "/stream", {}, ""}, {}, handlers);
    run_until(loop, [&] { return pieces > 0; });
    loop.run_for(50ms);
    LONGS_EQUAL(1, pieces);
    LONGS_EQUAL(0, ends);
}

TEST(http_loopback_tests, paused_call_goes_on_after_resume)
{
    std::string got;
    bool ended = false;
    http_call_handlers handlers;
    handlers.on_data = [&](std::string_view piece) { got += piece; };
    handlers.on_end = [&](const auto& end) { ended = end.complete; };
    auto call = client.start(address, {"GET", "/stream", {}, ""}, {}, handlers);
    call.pause();
    loop.run_for(100ms);
    STRCMP_EQUAL("", got.c_str());
    call.resume();
    CHECK_TRUE(run_until(loop, [&] { return ended; }));
    STRCMP_EQUAL("one two ", got.c_str());
}

TEST(http_loopback_tests, write_reports_that_the_caller_left)
{
    std::optional<write_status> last;
    auto call = client.start(address, {"GET", "/held", {}, ""}, {}, {});
    CHECK_TRUE(run_until(loop, [&] { return !open.empty(); }));
    open.front().begin_stream(200, {});
    loop.run_for(20ms);
    call.cancel();
    loop.run_for(20ms);
    CHECK_TRUE(run_until(loop, [&] {
        open.front().write("x", [&](write_status status) { last = status; });
        return last == write_status::caller_left;
    }));
}

TEST(http_loopback_tests, calls_beyond_the_connection_cap_wait)
{
    http_client capped{loop, 1};
    const auto held = capped.start(address, {"GET", "/held", {}, ""}, {}, {});
    CHECK_TRUE(run_until(loop, [&] { return open.size() == 1; }));
    std::optional<result<http_response>> got;
    const auto waiting =
        capped.fetch(address, {"GET", "/stream", {}, ""}, {},
                     [&](auto outcome) { got = std::move(outcome); });
    loop.run_for(50ms);
    CHECK_FALSE(got.has_value());
    open.front().send({});
    CHECK_TRUE(run_until(loop, [&] { return got.has_value(); }));
    CHECK_TRUE(got->has_value());
}

TEST(http_loopback_tests, body_above_the_cap_gets_413)
{
    const auto answer = fetch({"POST", "/echo", {}, std::string(1'001, 'x')});
    CHECK_TRUE(answer.has_value());
    LONGS_EQUAL(413, answer->status);
    CHECK(find_header(answer->headers, "Hyssopdeal-Verdict") == "not_run");
}

TEST(http_loopback_tests, chunked_body_above_the_cap_gets_413)
{
    const auto got = raw_exchange(
        loop, port,
        "POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        "7d0\r\n" +
            std::string(2'000, 'x') + "\r\n0\r\n\r\n");
    CHECK_TRUE(contains(got, "HTTP/1.1 413"));
    CHECK_TRUE(contains(got, "too_large"));
}

TEST(http_loopback_tests, long_header_gets_431)
{
    const auto got = raw_exchange(loop, port,
                                  "GET / HTTP/1.1\r\nHost: a\r\nX-Long: " +
                                      std::string(3'000, 'x') + "\r\n\r\n");
    CHECK_TRUE(contains(got, "HTTP/1.1 431"));
}

TEST(http_loopback_tests, many_headers_get_431)
{
    std::string text = "GET / HTTP/1.1\r\nHost: a\r\n";
    for (int line = 0; line < 60; ++line)
    {
        text += "X-Many: 0123456789012345678901234567890123456789\r\n";
    }
    text += "Connection: close\r\n\r\n";
    CHECK_TRUE(contains(raw_exchange(loop, port, text), "HTTP/1.1 431"));
}

TEST(http_loopback_tests, long_target_gets_414)
{
    const auto got = raw_exchange(
        loop, port, "GET /" + std::string(9'000, 'x') + " HTTP/1.1\r\n\r\n");
    CHECK_TRUE(contains(got, "HTTP/1.1 414"));
}

TEST(http_loopback_tests, garbage_gets_400_with_verdict)
{
    const auto got = raw_exchange(loop, port, "no such thing\r\n\r\n");
    CHECK_TRUE(contains(got, "HTTP/1.1 400"));
    CHECK_TRUE(contains(got, "Hyssopdeal-Verdict: not_run"));
    CHECK_TRUE(contains(got, "\"reason\":\"bad_request\""));
}

TEST(http_loopback_tests, slow_request_gets_408)
{
    const auto got = raw_exchange(
        loop, port, "POST /echo HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf");
    CHECK_TRUE(contains(got, "HTTP/1.1 408"));
    CHECK_TRUE(contains(got, "timed_out"));
}

TEST(http_loopback_tests, half_closed_unfinished_request_gets_400)
{
    const auto got = raw_exchange(
        loop, port, "POST /echo HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf",
        after_sending::half_close);
    CHECK_TRUE(contains(got, "HTTP/1.1 400"));
}

TEST(http_loopback_tests, half_closed_whole_request_is_answered)
{
    const auto got =
        raw_exchange(loop, port, "GET /stream HTTP/1.1\r\nHost: a\r\n\r\n",
                     after_sending::half_close);
    CHECK_TRUE(contains(got, "one"));
    CHECK_TRUE(contains(got, "0\r\n\r\n"));
}

TEST(http_loopback_tests, idle_connection_is_closed_without_an_answer)
{
    STRCMP_EQUAL("", raw_exchange(loop, port, "").c_str());
}

TEST_GROUP(http_connection_limit_tests){};

TEST(http_connection_limit_tests, past_the_limit_gets_503)
{
    event_loop loop;
    auto settings = small_limits();
    settings.max_connections = 1;
    std::vector<http_responder> open;
    http_server server{loop, settings,
                       [&](const http_request&, http_responder responder) {
                           open.push_back(std::move(responder));
                       }};
    const auto port = *server.start();
    http_client client{loop};
    const auto address = "127.0.0.1:" + std::to_string(port);
    const auto held = client.start(address, {"GET", "/", {}, ""}, {}, {});
    CHECK_TRUE(run_until(loop, [&] { return !open.empty(); }));
    std::optional<result<http_response>> got;
    const auto second =
        client.fetch(address, {"GET", "/", {}, ""}, {},
                     [&](auto outcome) { got = std::move(outcome); });
    CHECK_TRUE(run_until(loop, [&] { return got.has_value(); }));
    CHECK_TRUE(got->has_value());
    LONGS_EQUAL(503, (*got)->status);
    CHECK(find_header((*got)->headers, "Hyssopdeal-Verdict") == "not_run");
    CHECK_FALSE(find_header((*got)->headers, "Retry-After").empty());
}

// Guards against bytes of a request that nobody counts once it is answered,
// while a call still sends them.
TEST_GROUP(http_shared_body_tests)
{
    event_loop loop;
    std::shared_ptr<byte_budget> budget = std::make_shared<byte_budget>();
    std::vector<std::shared_ptr<const std::string>> kept;
    std::unique_ptr<http_server> server;
    std::uint16_t port = 0;

    void setup() override
    {
        set_byte_budget(loop, budget);
        auto settings = small_limits();
        settings.max_body_bytes = 100'000;
        settings.shares_body = true;
        server = std::make_unique<http_server>(
            loop, settings,
            [this](const http_request& request, http_responder responder) {
                CHECK_TRUE(request.body.empty());
                kept.push_back(responder.take_body());
                responder.send({200, {}, "ok"});
            });
        port = server->start().value();
    }

    std::size_t answered(const std::string& requests)
    {
        const auto got = raw_exchange(loop, port, requests);
        std::size_t count = 0;
        for (auto at = got.find("200 OK"); at != std::string::npos;
             at = got.find("200 OK", at + 1))
        {
            ++count;
        }
        return count;
    }
};

TEST(http_shared_body_tests, body_of_announced_length_is_counted_once)
{
    const std::string body(50'000, 'x');
    LONGS_EQUAL(1, answered("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: "
                            "50000\r\nConnection: close\r\n\r\n" +
                            body));
    CHECK_TRUE(*kept.at(0) == body);
    CHECK_TRUE(budget->held() >= body.size());
    CHECK_TRUE(budget->held() < body.size() + 1'000);
    kept.clear();
    LONGS_EQUAL(0, budget->held());
}

TEST(http_shared_body_tests, body_in_chunks_is_counted_as_it_grows)
{
    const std::string body(50'000, 'x');
    LONGS_EQUAL(1, answered("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
                            "chunked\r\nConnection: close\r\n\r\nc350\r\n" +
                            body + "\r\n0\r\n\r\n"));
    CHECK_TRUE(*kept.at(0) == body);
    CHECK_TRUE(budget->held() >= 2 * body.size());
    kept.clear();
    LONGS_EQUAL(0, budget->held());
}

TEST(http_shared_body_tests, bodies_of_pipelined_requests_are_all_counted)
{
    const std::string first =
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 300\r\n";
    LONGS_EQUAL(2,
                answered(first + "\r\n" + std::string(300, 'x') + first +
                         "Connection: close\r\n\r\n" + std::string(300, 'y')));
    LONGS_EQUAL(2, kept.size());
    CHECK_TRUE(*kept.at(1) == std::string(300, 'y'));
    CHECK_TRUE(budget->held() >= 600);
    kept.clear();
    LONGS_EQUAL(0, budget->held());
}

TEST(http_shared_body_tests, request_without_a_body_has_an_empty_one)
{
    LONGS_EQUAL(1, answered("GET / HTTP/1.1\r\nHost: a\r\nConnection: "
                            "close\r\n\r\n"));
    CHECK_TRUE(kept.at(0)->empty());
    LONGS_EQUAL(0, budget->held());
}

TEST_GROUP(http_client_peer_tests)
{
    event_loop loop;
    http_client client{loop};
    std::vector<std::unique_ptr<hyssopdeal::tests::raw_listener>> peers;

    /// @return The address of a server that sends these bytes and closes.
    std::string serve(std::string_view response)
    {
        peers.push_back(std::make_unique<hyssopdeal::tests::raw_listener>(
            loop, [response](auto& connection) {
                connection.send(response);
                connection.close();
            }));
        return peers.back()->address();
    }

    /// @return How a call ended whose server sent these bytes and closed.
    http_call_end call(std::string_view response,
                       const std::string& method = "GET")
    {
        std::optional<http_call_end> end;
        http_call_handlers handlers;
        handlers.on_end = [&](http_call_end how) { end = std::move(how); };
        const auto running = client.start(
            serve(response), {method, "/", {}, {}}, {}, std::move(handlers));
        CHECK_TRUE(run_until(loop, [&] { return end.has_value(); }));
        return *end;
    }

    /// @return What fetch() makes of an answer with these bytes.
    result<http_response> fetch(std::string_view response,
                                const http_call_settings& settings = {})
    {
        std::optional<result<http_response>> got;
        const auto running =
            client.fetch(serve(response), {}, settings,
                         [&](auto outcome) { got = std::move(outcome); });
        CHECK_TRUE(run_until(loop, [&] { return got.has_value(); }));
        return std::move(*got);
    }

    void expect_lost(const result<http_response>& answer)
    {
        CHECK_FALSE(answer.has_value());
        CHECK(answer.error().code == reason::connection_lost);
        CHECK(answer.error().ran == verdict::may_have_run);
    }
};

TEST(http_client_peer_tests, head_cut_off_at_any_byte_is_no_whole_answer)
{
    constexpr std::string_view head =
        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n";
    CHECK_TRUE(call(head).complete);
    for (std::size_t length = 1; length < head.size(); ++length)
    {
        const auto end = call(head.substr(0, length));
        CHECK_FALSE(end.complete);
        CHECK_TRUE(end.error.ran == verdict::may_have_run);
    }
}

TEST(http_client_peer_tests,
     end_of_a_connection_is_told_from_an_end_of_an_answer)
{
    CHECK_TRUE(call("HTTP/1.1 200 OK\r\n\r\nhalf").ended_by_close);
    CHECK_TRUE(call("HTTP/1.0 200 OK\r\n\r\nhalf").ended_by_close);
    CHECK_TRUE(call("HTTP/1.1 200 OK\r\n\r\n").ended_by_close);
    // A length of an interim answer is not the answer's.
    CHECK_TRUE(call("HTTP/1.1 103 Early\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "HTTP/1.1 200 OK\r\n\r\nhalf")
                   .ended_by_close);
    constexpr const char* in_chunks =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "4\r\nbody\r\n0\r\n\r\n";
    for (const auto* bytes :
         {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", in_chunks,
          "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n0\r\n\r\n",
          "HTTP/1.1 204 No Content\r\n\r\n",
          "HTTP/1.1 304 Not Modified\r\n\r\n"})
    {
        const auto end = call(bytes);
        CHECK_TRUE(end.complete);
        CHECK_FALSE(end.ended_by_close);
    }
    const auto end = call("HTTP/1.1 200 OK\r\n\r\n", "HEAD");
    CHECK_TRUE(end.complete);
    CHECK_FALSE(end.ended_by_close);
}

TEST(http_client_peer_tests, cut_answer_without_a_length_is_lost)
{
    for (const auto* bytes :
         {"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nhalf",
          "HTTP/1.1 200 OK\r\n\r\n{\"a\":[1,2]", "HTTP/1.1 200 OK\r\n\r\n12"})
    {
        expect_lost(fetch(bytes));
    }
}

TEST(http_client_peer_tests, json_without_a_length_is_whole_at_its_last_bracket)
{
    const auto answer = fetch("HTTP/1.1 200 OK\r\n\r\n {\"a\":[1,2]}\n");
    CHECK_TRUE(answer.has_value());
    STRCMP_EQUAL(" {\"a\":[1,2]}\n", answer->body.c_str());
}

TEST(http_client_peer_tests, answer_of_a_status_only_needs_no_end)
{
    http_call_settings settings;
    settings.proves_end = needs_no_end;
    CHECK_TRUE(fetch("HTTP/1.1 200 OK\r\n\r\nhalf", settings).has_value());
    expect_lost(
        fetch("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", settings));
}
