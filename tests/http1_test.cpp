/// @file
/// HTTP/1.1 over sockets that do what they should not:
/// transport/http1_server.hpp, transport/http1_client.hpp.

#include <hyssopdeal/transport/byte_budget.hpp>
#include <hyssopdeal/transport/http1_client.hpp>
#include <hyssopdeal/transport/http1_server.hpp>
#include <hyssopdeal/transport/tcp_relay.hpp>

#include <optional>

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

#include "loop_helper.hpp"
#include "raw_peer.hpp"

using namespace hyssopdeal;
using namespace std::chrono_literals;
using transport::head_choice;

// [server] -------------------------------------------------------------------

TEST_GROUP(http1_server_tests)
{
    transport::event_loop loop;
    transport::system_clock clock;
    std::vector<transport::http1_exchange> held;
    std::vector<std::string> bodies;
    bool answer_at_once = true;
    std::unique_ptr<transport::http1_server> server;
    std::uint16_t port = 0;

    void setup() override
    {
        transport::http1_server_settings settings;
        settings.limits.max_body_bytes = 100'000;
        settings.limits.max_head_bytes = 1'000;
        settings.limits.head_time_limit = 150ms;
        settings.limits.idle_time_limit = 300ms;
        server = std::make_unique<transport::http1_server>(
            loop, clock, settings, [this](transport::http1_exchange exchange) {
                bodies.push_back(exchange.request().body);
                if (answer_at_once)
                {
                    return exchange.send({200, {}, "done"});
                }
                held.push_back(std::move(exchange));
            });
        port = server->start().value();
    }

    static std::size_t answers(const tests::raw_connection& caller)
    {
        std::size_t count = 0;
        for (auto at = caller.received.find("HTTP/1.1 200");
             at != std::string::npos;
             at = caller.received.find("HTTP/1.1 200", at + 1))
        {
            ++count;
        }
        return count;
    }

    /// Sends requests; the first one is held without an answer.
    std::shared_ptr<tests::raw_connection> call_held(
        const std::string& requests = "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    {
        answer_at_once = false;
        auto caller = tests::raw_call(loop, port);
        caller->send(requests);
        CHECK_TRUE(tests::run_until(loop, [&] { return !held.empty(); }));
        return caller;
    }

    void raise_idle_limit()
    {
        transport::http1_caller_limits limits;
        limits.idle_time_limit = 10s;
        server->set_limits(limits);
    }
};

// An answer from within the read's handler once started a second read into the
// same buffer: later bodies were mixed up.
TEST(http1_server_tests, answers_at_once_leave_later_bodies_alone)
{
    const auto caller = tests::raw_call(loop, port);
    const std::string body(30'000, 'b');
    for (std::size_t round = 1; round <= 5; ++round)
    {
        caller->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        CHECK_TRUE(tests::run_until(
            loop, [&] { return answers(*caller) == 2 * round - 1; }));
        caller->send(fmt::format("POST / HTTP/1.1\r\nHost: h\r\n"
                                 "Content-Length: {}\r\n\r\n",
                                 body.size()));
        for (std::size_t at = 0; at < body.size(); at += 5'000)
        {
            caller->send(body.substr(at, 5'000));
            loop.run_for(2ms);
        }
        CHECK_TRUE(tests::run_until(
            loop, [&] { return answers(*caller) == 2 * round; }));
        CHECK_TRUE(bodies.back() == body);
    }
}

TEST(http1_server_tests, broken_off_answer_has_no_last_chunk)
{
    answer_at_once = false;
    const std::vector<std::function<void()>> breaks = {
        [this] { held.back().abort(); }, [this] { held.clear(); },
        [this] {
            // More than a caller may leave unread.
            held.back().write(std::string(5'000'000, 'x'));
        },
        [this] { server.reset(); }};
    for (const auto& break_off : breaks)
    {
        const auto caller = tests::raw_call(loop, port);
        caller->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        CHECK_TRUE(tests::run_until(loop, [&] { return !held.empty(); }));
        held.back().begin(200, {});
        held.back().write("piece");
        loop.run_for(10ms);
        break_off();
        CHECK_TRUE(tests::run_until(
            loop, [&] { return caller->closed; }, 3s));
        STRCMP_CONTAINS("piece", caller->received.c_str());
        CHECK_TRUE(caller->received.find("\r\n0\r\n") == std::string::npos);
        held.clear();
    }
}

// Regression: such a caller got the chunks as its body, and the end of the
// connection of a broken-off answer for its end.
TEST(http1_server_tests, caller_without_chunks_gets_a_whole_answer_or_none)
{
    answer_at_once = false;
    const std::vector<std::function<void()>> ends = {
        [this] { held.back().finish(); }, [this] { held.back().abort(); },
        [this] { held.back().write(std::string(5'000'000, 'x')); },
        [this] { server.reset(); }};
    for (const auto& end : ends)
    {
        const auto caller = tests::raw_call(loop, port);
        caller->send("GET / HTTP/1.0\r\nHost: h\r\n\r\n");
        CHECK_TRUE(tests::run_until(loop, [&] { return !held.empty(); }));
        held.back().begin(200, {});
        held.back().write("pie");
        held.back().write("ce");
        loop.run_for(10ms);
        end();
        CHECK_TRUE(tests::run_until(
            loop, [&] { return caller->closed; }, 3s));
        if (&end == &ends.front())
        {
            STRCMP_CONTAINS("Content-Length: 5\r\n", caller->received.c_str());
            STRCMP_CONTAINS("\r\n\r\npiece", caller->received.c_str());
        }
        else
        {
            STRCMP_EQUAL("", caller->received.c_str());
        }
        held.clear();
    }
}

TEST(http1_server_tests, caller_who_leaves_is_seen_while_the_answer_is_open)
{
    answer_at_once = false;
    const auto caller = tests::raw_call(loop, port);
    caller->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK_TRUE(tests::run_until(loop, [&] { return !held.empty(); }));
    bool left = false;
    held[0].on_left([&] { left = true; });
    held[0].begin(200, {});
    caller->close();
    CHECK_TRUE(tests::run_until(
        loop, [&] { return left; }, 1s));
    LONGS_EQUAL(0, server->open_requests());
}

TEST(http1_server_tests, dropped_answer_closes_without_an_end_mark)
{
    answer_at_once = false;
    const auto caller = tests::raw_call(loop, port);
    caller->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK_TRUE(tests::run_until(loop, [&] { return !held.empty(); }));
    held[0].begin(200, {});
    held[0].write("part");
    loop.run_for(10ms);
    held.clear();
    CHECK_TRUE(tests::run_until(
        loop, [&] { return caller->closed; }, 1s));
    CHECK_TRUE(caller->received.find("0\r\n\r\n") == std::string::npos);
}

// A process that ended once no request was open cut answers on their way.
TEST(http1_server_tests, answer_that_has_not_left_keeps_its_connection_busy)
{
    answer_at_once = false;
    asio::ip::tcp::socket caller{loop.context()};
    caller.open(asio::ip::tcp::v4());
    caller.set_option(asio::socket_base::receive_buffer_size{4'096});
    caller.connect({asio::ip::make_address("127.0.0.1"), port});
    asio::write(caller,
                asio::buffer(std::string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n"}));
    CHECK_TRUE(tests::run_until(loop, [&] { return !held.empty(); }));
    server->drain();
    const std::size_t beyond_socket_buffers = 4'000'000;
    held[0].send({200, {}, std::string(beyond_socket_buffers, 'x')});
    loop.run_for(20ms);
    LONGS_EQUAL(0, server->open_requests());
    LONGS_EQUAL(1, server->busy_connections());
    std::vector<char> taken(1'000'000);
    std::size_t received = 0;
    std::function<void()> read = [&] {
        caller.async_read_some(asio::buffer(taken),
                               [&](const auto& error, std::size_t length) {
                                   received += length;
                                   error ? caller.close() : read();
                               });
    };
    read();
    CHECK_TRUE(tests::run_until(
        loop, [&] { return server->busy_connections() == 0; }, 8s));
    CHECK_TRUE(received > beyond_socket_buffers);
}

// Each answer from within the read's handler once began the next request in a
// deeper call: many small requests used up the stack.
TEST(http1_server_tests, many_small_requests_at_once_are_all_answered)
{
    constexpr std::size_t count = 3'000;
    const auto caller = tests::raw_call(loop, port);
    std::string requests;
    for (std::size_t at = 0; at < count; ++at)
    {
        requests += "GET / HTTP/1.1\r\n\r\n";
    }
    caller->send(requests);
    CHECK_TRUE(
        tests::run_until(loop, [&] { return answers(*caller) == count; }));
}

// The body was read up to the limit before.
TEST(http1_server_tests, announced_body_over_the_limit_is_refused_unread)
{
    const auto caller = tests::raw_call(loop, port);
    caller->send("POST / HTTP/1.1\r\nContent-Length: 100001\r\n\r\n");
    CHECK_TRUE(tests::run_until(
        loop, [&] { return caller->received.starts_with("HTTP/1.1 413"); }));
}

// Guards against bodies that stop short of their end and keep others out, and
// against a cut of a request that may have run.
TEST(http1_server_tests, stalled_body_makes_room_and_open_requests_stay)
{
    // Three quarters of it may be held by bodies of this size.
    transport::set_byte_budget(
        loop, std::make_shared<transport::byte_budget>(267'000));
    setup();
    answer_at_once = false;
    const auto post = [this](std::size_t announced, std::size_t sent) {
        auto caller = tests::raw_call(loop, port);
        caller->send(fmt::format("POST / HTTP/1.1\r\nContent-Length: {}\r\n"
                                 "\r\n{}",
                                 announced, std::string(sent, 'b')));
        return caller;
    };
    const auto open = post(30'000, 30'000);
    CHECK_TRUE(tests::run_until(loop, [&] { return held.size() == 1; }));
    const auto stalled = post(90'000, 89'999);
    loop.run_for(30ms);
    const auto other = post(50'000, 50'000);
    CHECK_TRUE(tests::run_until(loop, [&] { return held.size() == 2; }));
    CHECK_TRUE(tests::run_until(
        loop, [&] { return stalled->received.starts_with("HTTP/1.1 503"); }));
    STRCMP_CONTAINS("Retry-After", stalled->received.c_str());
    for (auto& exchange : held)
    {
        exchange.send({200, {}, "done"});
    }
    CHECK_TRUE(tests::run_until(
        loop, [&] { return answers(*open) + answers(*other) == 2; }));
    held.clear();
    CHECK_TRUE(transport::byte_budget_of(loop)->held() < 60'000);
}

TEST(http1_server_tests, bad_and_oversized_input_gets_a_clear_error)
{
    const auto refused = [&](const std::string& bytes,
                             std::string_view status) {
        const auto caller = tests::raw_call(loop, port);
        caller->send(bytes);
        CHECK_TRUE(tests::run_until(
            loop, [&] { return caller->closed; }, 3s));
        STRCMP_CONTAINS(std::string{status}.c_str(), caller->received.c_str());
    };
    refused("not http at all\r\n\r\n", "HTTP/1.1 400");
    refused("GET / HTTP/1.1\r\nA: " + std::string(2'000, 'a') + "\r\n\r\n",
            "HTTP/1.1 431");
    refused("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n" +
                std::string(150'000, 'x'),
            "HTTP/1.1 413");
    refused("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
            "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "HTTP/1.1 400");
    refused("GET / HTTP/1.1\r\nHost", "HTTP/1.1 408");
    LONGS_EQUAL(0, bodies.size());
}

// Guards against limits of an old configuration on connections that were open
// when it changed.
TEST(http1_server_tests, changed_limits_hold_on_open_connections)
{
    const auto caller = tests::raw_call(loop, port);
    const auto request = [&](std::size_t header_bytes) {
        caller->received.clear();
        caller->send("GET / HTTP/1.1\r\nA: " + std::string(header_bytes, 'a') +
                     "\r\n\r\n");
        CHECK_TRUE(tests::run_until(
            loop, [&] { return !caller->received.empty(); }, 3s));
        return caller->received.substr(0, 12);
    };
    STRCMP_EQUAL("HTTP/1.1 200", request(500).c_str());
    transport::http1_caller_limits raised;
    raised.max_head_bytes = 10'000;
    raised.idle_time_limit = 1'500ms;
    server->set_limits(raised);
    loop.run_for(800ms); // More than the limit that was.
    CHECK_FALSE(caller->closed);
    STRCMP_EQUAL("HTTP/1.1 200", request(9'000).c_str());
    auto lowered = raised;
    lowered.max_head_bytes = 2'000;
    server->set_limits(lowered);
    STRCMP_EQUAL("HTTP/1.1 431", request(3'000).c_str());
}

TEST(http1_server_tests, drain_closes_no_connection_that_a_response_keeps)
{
    const auto caller = call_held();
    held.back().begin(200, {});
    held.back().write("piece");
    server->drain();
    answer_at_once = true;
    held.back().finish();
    CHECK_TRUE(tests::run_until(loop, [&] {
        return caller->received.find("\r\n0\r\n") != std::string::npos;
    }));
    CHECK_TRUE(caller->received.find("Connection: close") == std::string::npos);
    caller->received.clear();
    caller->send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK_TRUE(tests::run_until(
        loop, [&] { return caller->closed; }, 3s));
    LONGS_EQUAL(1, answers(*caller));
    STRCMP_CONTAINS("Connection: close", caller->received.c_str());
}

// Callers would go on to use a server that is to end.
TEST(http1_server_tests, drain_soon_closes_an_idle_connection_that_was_kept)
{
    raise_idle_limit();
    const auto caller = call_held();
    held.back().begin(200, {});
    server->drain();
    held.back().finish();
    CHECK_TRUE(tests::run_until(
        loop, [&] { return caller->closed; }, 1s));
    STRCMP_CONTAINS("\r\n0\r\n", caller->received.c_str());
}

TEST(http1_server_tests, drain_waits_for_the_reader_of_a_kept_response)
{
    answer_at_once = false;
    raise_idle_limit();
    asio::ip::tcp::socket caller{loop.context()};
    caller.open(asio::ip::tcp::v4());
    caller.set_option(asio::socket_base::receive_buffer_size{4'096});
    caller.connect({asio::ip::make_address("127.0.0.1"), port});
    asio::write(caller,
                asio::buffer(std::string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n"}));
    CHECK_TRUE(tests::run_until(loop, [&] { return !held.empty(); }));
    held.back().begin(200, {});
    server->drain();
    const std::size_t beyond_socket_buffers = 4'000'000;
    held.back().write(std::string(beyond_socket_buffers, 'x'));
    held.back().finish();
    loop.run_for(800ms);
    LONGS_EQUAL(1, server->busy_connections());
}

TEST(http1_server_tests, drain_discards_no_request_that_was_read)
{
    const auto caller = call_held("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                                  "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    server->drain();
    answer_at_once = true;
    held.back().send({200, {}, "done"});
    CHECK_TRUE(tests::run_until(
        loop, [&] { return caller->closed; }, 3s));
    LONGS_EQUAL(2, answers(*caller));
    const auto last = caller->received.rfind("HTTP/1.1 200");
    CHECK_TRUE(caller->received.find("Connection: close") > last);
}

TEST(http1_server_tests, idle_connections_are_closed)
{
    const auto caller = tests::raw_call(loop, port);
    CHECK_TRUE(tests::run_until(
        loop, [&] { return caller->closed; }, 2s));
    STRCMP_EQUAL("", caller->received.c_str());
}

TEST(http1_server_tests, chunked_bodies_are_read_whole)
{
    const auto caller = tests::raw_call(loop, port);
    caller->send("POST / HTTP/1.1\r\nHost: h\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    loop.run_for(5ms);
    caller->send("2\r\nde\r\n0\r\n\r\n");
    CHECK_TRUE(tests::run_until(loop, [&] { return answers(*caller) == 1; }));
    STRCMP_EQUAL("abcde", bodies.at(0).c_str());
}

// [client] -------------------------------------------------------------------

TEST_GROUP(http1_client_tests)
{
    transport::event_loop loop;
    transport::system_clock clock;
    transport::http1_client client{loop, clock, {}};
    std::string reply; ///< Sent when a request's head has come.
    std::function<void(tests::raw_connection&)> after;
    tests::raw_listener peer{loop, [this](tests::raw_connection& from) {
                                 if (from.received.find("\r\n\r\n") ==
                                     std::string::npos)
                                 {
                                     return;
                                 }
                                 from.received.clear();
                                 from.send(reply);
                                 if (after)
                                 {
                                     after(from);
                                 }
                             }};
    std::string body;
    int skip = 0;
    std::optional<transport::http1_call_end> end;

    transport::http1_call call()
    {
        body.clear();
        end.reset();
        transport::http1_call_handlers handlers;
        handlers.on_head = [this](int, const auto&) {
            return skip-- > 0 ? head_choice::skip : head_choice::take;
        };
        handlers.on_data = [this](std::string_view piece) { body += piece; };
        handlers.on_end = [this](const auto& how) { end = how; };
        return client.start(peer.address(), {"GET", "/", {{"Host", "h"}}, ""},
                            {}, std::move(handlers));
    }

    void wait_for_end()
    {
        CHECK_TRUE(tests::run_until(
            loop, [&] { return end.has_value(); }, 3s));
    }
};

TEST(http1_client_tests, connections_are_kept_after_clean_answers)
{
    reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    for (int round = 0; round < 3; ++round)
    {
        const auto running = call();
        wait_for_end();
        CHECK_TRUE(end->complete);
        STRCMP_EQUAL("ok", body.c_str());
    }
    LONGS_EQUAL(1, client.connections_opened());
}

TEST(http1_client_tests, late_answer_of_an_earlier_request_is_skipped)
{
    reply = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold"
            "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew";
    skip = 1;
    const auto running = call();
    wait_for_end();
    CHECK_TRUE(end->complete);
    STRCMP_EQUAL("new", body.c_str());
}

TEST(http1_client_tests, bytes_after_an_answer_end_the_connection)
{
    reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokjunk";
    const auto first = call();
    wait_for_end();
    CHECK_TRUE(end->complete);
    reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    const auto second = call();
    wait_for_end();
    LONGS_EQUAL(2, client.connections_opened());
}

TEST(http1_client_tests, answer_without_a_length_ends_with_its_connection)
{
    reply = "HTTP/1.1 200 OK\r\n\r\nwhole";
    after = [](tests::raw_connection& from) { from.close(); };
    const auto first = call();
    wait_for_end();
    CHECK_TRUE(end->complete);
    STRCMP_EQUAL("whole", body.c_str());
    after = [](tests::raw_connection& from) { from.reset(); };
    const auto second = call();
    wait_for_end();
    CHECK_FALSE(end->complete);
}

TEST(http1_client_tests, fetched_answer_that_may_be_cut_is_lost)
{
    after = [](tests::raw_connection& from) { from.close(); };
    std::optional<transport::result<transport::http_response>> got;
    const auto fetch = [&](const std::string& bytes,
                           transport::end_proof proof) {
        got.reset();
        reply = "HTTP/1.1 200 OK\r\n\r\n" + bytes;
        const auto running =
            client.fetch(peer.address(), {"GET", "/", {{"Host", "h"}}, ""},
                         {.time_limit = 3s, .proves_end = std::move(proof)},
                         [&](const auto& answer) { got = answer; });
        CHECK_TRUE(tests::run_until(
            loop, [&] { return got.has_value(); }, 4s));
    };
    for (const auto* cut : {"", "ru", "7", R"({"handle":"ab")"})
    {
        fetch(cut, transport::has_whole_json);
        CHECK_FALSE(got->has_value());
        CHECK_TRUE(got->error().code == transport::reason::connection_lost);
        CHECK_TRUE(got->error().ran == transport::verdict::may_have_run);
    }
    fetch(R"({"handle":"ab"})", transport::has_whole_json);
    CHECK_TRUE(got->has_value());
    fetch("run", transport::needs_no_end);
    CHECK_TRUE(got->has_value());
}

// Regression: a relay that was killed and had started again was taken for the
// one that had carried the answer.
TEST(http1_client_tests, relay_that_has_started_again_confirms_no_end)
{
    transport::tcp_relay_settings settings;
    const auto start_relay = [&] {
        auto relay = std::make_unique<transport::tcp_relay>(
            loop, settings, [](const auto&) { return true; });
        settings.port = relay->start().value();
        return relay;
    };
    auto relay = start_relay();
    transport::http1_call_settings path;
    path.relay = "127.0.0.1:" + std::to_string(settings.port);
    path.connect_time_limit = 1s;
    reply = "HTTP/1.1 200 OK\r\n\r\nhalf";
    after = [](tests::raw_connection& from) { from.close(); };
    transport::http1_call_handlers handlers;
    handlers.on_end = [this](const auto& how) { end = how; };
    const auto running =
        client.start(peer.address(), {"GET", "/", {{"Host", "h"}}, ""}, path,
                     std::move(handlers));
    wait_for_end();
    CHECK_TRUE(end->ended_by_close);
    CHECK_FALSE(end->relay_start.value().empty());
    path.relay_start = end->relay_start;
    const auto runs = [&] {
        std::optional<bool> got;
        client.check_path(peer.address(), path,
                          [&](bool result) { got = result; });
        CHECK_TRUE(tests::run_until(
            loop, [&] { return got.has_value(); }, 3s));
        return *got;
    };
    CHECK_TRUE(runs());
    relay.reset();
    loop.run_for(20ms);
    relay = start_relay();
    CHECK_FALSE(runs());
    path.relay_start.reset();
    CHECK_TRUE(runs());
}

// Guards against refusals that show nowhere once their log lines are bounded.
TEST(http1_client_tests, relay_counts_each_request_that_it_refuses)
{
    transport::tcp_relay relay{loop, {}, [](const auto&) { return true; }};
    const auto port = relay.start().value();
    for (int stranger = 0; stranger < 30; ++stranger)
    {
        const auto response = tests::raw_exchange(
            loop, port, "CONNECT 127.0.0.1:1 HTTP/1.1\r\n\r\n");
        STRCMP_CONTAINS("HTTP/1.1 407", response.c_str());
    }
    LONGS_EQUAL(30, relay.refused());
    LONGS_EQUAL(0, relay.relayed());
}

TEST(http1_client_tests, cut_and_spoiled_answers_may_have_run)
{
    reply = "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\npart";
    after = [](tests::raw_connection& from) { from.close(); };
    const auto first = call();
    wait_for_end();
    CHECK_FALSE(end->complete);
    CHECK_TRUE(end->error.ran == transport::verdict::may_have_run);
    reply = "this is no answer\r\n\r\n";
    const auto second = call();
    wait_for_end();
    CHECK_FALSE(end->complete);
    CHECK_TRUE(end->error.ran == transport::verdict::may_have_run);
}

TEST(http1_client_tests, refused_connection_has_not_run)
{
    transport::http1_call_handlers handlers;
    handlers.on_end = [this](const auto& how) { end = how; };
    const auto running = client.start("127.0.0.1:1", {}, {}, handlers);
    wait_for_end();
    CHECK_TRUE(end->error.ran == transport::verdict::not_run);
}

TEST(http1_client_tests, call_may_be_cancelled_from_within_its_handlers)
{
    reply = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
    transport::http1_call running;
    int pieces = 0;
    transport::http1_call_handlers handlers;
    handlers.on_data = [&, owned = std::string(100, 'x')](std::string_view) {
        running.cancel();
        pieces += owned.size() == 100 ? 1 : 100;
    };
    handlers.on_end = [this](const auto& how) { end = how; };
    running = client.start(peer.address(), {"GET", "/", {}, ""}, {}, handlers);
    CHECK_TRUE(tests::run_until(
        loop, [&] { return pieces > 0; }, 1s));
    loop.run_for(20ms);
    LONGS_EQUAL(1, pieces);
    CHECK_FALSE(end.has_value());
}

// An order that had been given up arrived after a partition, when another
// leader had sent its own.
TEST(http1_client_tests, request_that_is_given_up_is_taken_back_by_a_reset)
{
    reply = "";
    {
        const auto running = call();
        CHECK_TRUE(tests::run_until(
            loop, [&] { return !peer.connections.empty(); }, 1s));
        loop.run_for(20ms);
    }
    CHECK_TRUE(tests::run_until(
        loop, [&] { return peer.connections[0]->was_reset; }, 1s));
}

TEST(http1_client_tests, rest_of_a_long_body_goes_out_after_an_early_answer)
{
    reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    const std::string long_body(3'000'000, 'z');
    std::size_t got = 0;
    bool answered = false;
    tests::raw_listener early{loop, [&](tests::raw_connection& from) {
                                  got += from.received.size();
                                  from.received.clear();
                                  if (!std::exchange(answered, true))
                                  {
                                      from.send(reply);
                                  }
                              }};
    transport::http1_call_handlers handlers;
    handlers.on_end = [this](const auto& how) { end = how; };
    const auto running = client.start(
        early.address(), {"POST", "/", {}, long_body}, {}, handlers);
    wait_for_end();
    CHECK_TRUE(end->complete);
    CHECK_TRUE(tests::run_until(
        loop, [&] { return got > long_body.size(); }, 3s));
}
