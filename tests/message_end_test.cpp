/// @file
/// Where messages end, on every listener and client: requests that two readers
/// could take for different ones, and responses that only look whole.

#include <hyssopdeal/transport/http1_client.hpp>
#include <hyssopdeal/transport/http1_server.hpp>
#include <hyssopdeal/transport/http_client.hpp>
#include <hyssopdeal/transport/http_server.hpp>
#include <hyssopdeal/transport/tcp_relay.hpp>

#include <optional>

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

#include "load/slow_call.hpp"
#include "loop_helper.hpp"
#include "raw_peer.hpp"

using namespace hyssopdeal;
using namespace hyssopdeal::transport;
using namespace std::chrono_literals;

namespace
{

std::size_t count(const std::string& text, std::string_view part)
{
    std::size_t found = 0;
    for (auto at = text.find(part); at != std::string::npos;
         at = text.find(part, at + 1))
    {
        ++found;
    }
    return found;
}

/// A request in the body of another.
const std::string inner = "POST /inner HTTP/1.1\r\nHost: h\r\n"
                          "Content-Length: 0\r\n\r\n";

} // namespace

// [requests] -----------------------------------------------------------------

TEST_GROUP(request_end_tests)
{
    event_loop loop;
    system_clock clock;
    std::vector<http_request> requests;
    http_response response{200, {}, "done"};
    bool streams = false;
    std::unique_ptr<http1_server> server;
    std::unique_ptr<http_server> other_server;
    std::vector<std::uint16_t> ports;

    void setup() override
    {
        server = std::make_unique<http1_server>(
            loop, clock, http1_server_settings{},
            [this](http1_exchange exchange) {
                requests.push_back(exchange.request());
                if (!streams)
                {
                    return exchange.send(response);
                }
                exchange.begin(response.status, response.headers);
                exchange.write(response.body);
                exchange.finish();
            });
        other_server = std::make_unique<http_server>(
            loop, http_server_settings{},
            [this](const http_request& request, http_responder responder) {
                requests.push_back(request);
                if (!streams)
                {
                    return responder.send(response);
                }
                responder.begin_stream(response.status, response.headers);
                responder.write(response.body);
                responder.end_stream();
            });
        ports = {server->start().value(), other_server->start().value()};
    }

    /// @return What a caller of a port gets for these bytes.
    std::string call(std::uint16_t port, const std::string& bytes)
    {
        requests.clear();
        const auto caller = tests::raw_call(loop, port);
        caller->send(bytes);
        CHECK_TRUE(tests::run_until(
            loop, [&] { return !caller->received.empty(); }, 3s));
        loop.run_for(20ms);
        return caller->received;
    }

    void expect_refusal(const std::string& bytes, const char* status)
    {
        for (const auto port : ports)
        {
            const auto got = call(port, bytes);
            if (!got.starts_with(status) || !requests.empty())
            {
                FAIL(fmt::format("{:?}\ngot\n{:?}\nrequests: {}", bytes, got,
                                 requests.size())
                         .c_str());
            }
            LONGS_EQUAL(1, count(got, "HTTP/1.1 "));
        }
    }
};

// Guards against a request in the body of CONNECT that is run as one of its own.
TEST(request_end_tests, body_of_connect_is_no_request)
{
    for (const auto* target : {"h:80", "/path"})
    {
        expect_refusal(fmt::format("CONNECT {} HTTP/1.1\r\nHost: h\r\n"
                                   "Content-Length: {}\r\n\r\n{}",
                                   target, inner.size(), inner),
                       "HTTP/1.1 501");
        expect_refusal(fmt::format("CONNECT {} HTTP/1.1\r\nHost: h\r\n\r\n{}",
                                   target, inner),
                       "HTTP/1.1 501");
    }
}

// Guards against bodies that end elsewhere for a server, or for a proxy before
// this one.
TEST(request_end_tests, requests_that_readers_take_differently_are_refused)
{
    for (const auto* header :
         {"Content-Length : 5", "Content Length: 5", " Content-Length: 5",
          "Transfer-Encoding : chunked", "X Y: z", "X-Tenant : t",
          "Content-Length:", "Content-Length: ", "Content-Length: +5",
          "Content-Length: 5, 5", "Content-Length: 5\r\nContent-Length: 5",
          "Content-Length: 5\r\nTransfer-Encoding: chunked",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
          "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: identity",
          "Transfer-Encoding: xchunked", "Transfer-Encoding: chunked;q=1",
          "Transfer-Encoding:", "Transfer-Encoding: chunked\r\n folded"})
    {
        expect_refusal(
            fmt::format("POST / HTTP/1.1\r\n{}\r\n\r\n{}", header, inner),
            "HTTP/1.1 400");
    }
    expect_refusal("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "0\r\n\r\n",
                   "HTTP/1.1 400");
    expect_refusal("POST / HTTP/2.0\r\nContent-Length: 0\r\n\r\n",
                   "HTTP/1.1 400");
    expect_refusal("POST /a\tHTTP/1.1 HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
                   "HTTP/1.1 400");
}

TEST(request_end_tests, chunks_end_with_their_line_ends)
{
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";
    for (const auto* body :
         {"3\r\nabcXX0\r\n\r\n", "3\rXabc\r\n0\r\n\r\n", "3\r\nabc\rX0\r\n\r\n",
          "3\r\nabcX\n0\r\n\r\n", "0\r\n\rX"})
    {
        const auto got = call(ports.front(), head + body);
        STRCMP_CONTAINS("HTTP/1.1 400", got.c_str());
        CHECK_TRUE(requests.empty());
        // In the smallest pieces.
        const auto caller = tests::raw_call(loop, ports.front());
        for (const char byte : head + body)
        {
            caller->send({&byte, 1});
            loop.run_for(1ms);
        }
        CHECK_TRUE(tests::run_until(
            loop, [&] { return !caller->received.empty(); }, 3s));
        STRCMP_CONTAINS("HTTP/1.1 400", caller->received.c_str());
        CHECK_TRUE(requests.empty());
    }
    const auto caller = tests::raw_call(loop, ports.front());
    for (const char byte : head + "3;x=y\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
    {
        caller->send({&byte, 1});
        loop.run_for(1ms);
    }
    CHECK_TRUE(tests::run_until(
        loop, [&] { return requests.size() == 1; }, 3s));
    STRCMP_EQUAL("abcde", requests.front().body.c_str());
}

// Guards against headers that come after the head was judged.
TEST(request_end_tests, trailers_are_no_headers)
{
    for (const auto port : ports)
    {
        const auto got =
            call(port, "POST / HTTP/1.1\r\nHost: h\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"
                       "Authorization: Bearer key\r\nX-Late: 1\r\n\r\n");
        STRCMP_CONTAINS("HTTP/1.1 200", got.c_str());
        LONGS_EQUAL(1, requests.size());
        STRCMP_EQUAL("abc", requests.front().body.c_str());
        for (const auto* name : {"Authorization", "X-Late"})
        {
            CHECK_TRUE(find_header(requests.front().headers, name).empty());
        }
    }
}

// Guards against a body where the caller reads the head of the next response.
TEST(request_end_tests, responses_without_a_body_leave_the_next_one_in_place)
{
    struct expected_response
    {
        const char* method;
        int status;
    };
    for (const auto port : ports)
    {
        for (const auto& [method, status] : {expected_response{"HEAD", 200},
                                             {"HEAD", 404},
                                             {"GET", 204},
                                             {"GET", 304}})
        {
            for (const bool as_stream : {false, true})
            {
                streams = as_stream;
                response.status = status;
                const auto got =
                    call(port, fmt::format("{} / HTTP/1.1\r\nHost: h\r\n\r\n"
                                           "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
                                           method));
                LONGS_EQUAL(2, requests.size());
                const auto head_end = got.find("\r\n\r\n");
                CHECK_TRUE(got.substr(head_end + 4).starts_with("HTTP/1.1 "));
                if (std::string_view{method} == "GET")
                {
                    LONGS_EQUAL(0, count(got, "Content-Length"));
                    LONGS_EQUAL(0, count(got, "Transfer-Encoding"));
                    LONGS_EQUAL(0, count(got, "done"));
                }
            }
        }
    }
}

// [responses] ----------------------------------------------------------------

TEST_GROUP(response_end_of_message_tests)
{
    /// How a call ended, whichever client made it.
    struct call_end
    {
        bool complete = false;
        bool ended_by_close = false;
        failure error;
    };

    event_loop loop;
    system_clock clock;
    http1_client client{loop, clock, {}};
    http_client other_client{loop};
    std::string bytes; ///< What the server sends once.
    std::function<void(tests::raw_connection&)> after;
    tests::raw_listener peer{loop, [this](tests::raw_connection& from) {
                                 from.received.clear();
                                 from.send(std::exchange(bytes, {}));
                                 if (after)
                                 {
                                     after(from);
                                 }
                             }};
    std::string body;
    std::optional<call_end> end;

    template <class End>
    void on_end(const End& how)
    {
        end = call_end{how.complete, how.ended_by_close, how.error};
    }

    void wait_for_end()
    {
        CHECK_TRUE(tests::run_until(
            loop, [&] { return end.has_value(); }, 3s));
    }

    /// Calls the server with both clients, one after the other.
    void call_with_both(const http_request& request, const std::string& sent,
                        const std::function<void()>& check,
                        const http1_call_settings& settings = {})
    {
        const auto on_data = [this](std::string_view piece) { body += piece; };
        bytes = sent;
        body.clear();
        end.reset();
        http1_call_handlers handlers;
        handlers.on_data = on_data;
        handlers.on_end = [this](const auto& how) { on_end(how); };
        const auto first = client.start(peer.address(), request, settings,
                                        std::move(handlers));
        wait_for_end();
        check();
        if (!settings.relay.empty())
        {
            return;
        }
        bytes = sent;
        body.clear();
        end.reset();
        http_call_handlers other_handlers;
        other_handlers.on_data = on_data;
        other_handlers.on_end = [this](const auto& how) { on_end(how); };
        const auto second = other_client.start(peer.address(), request, {},
                                               std::move(other_handlers));
        wait_for_end();
        check();
    }

    void expect_broken(const std::string& sent)
    {
        call_with_both({"GET", "/", {{"Host", "h"}}, ""}, sent, [&] {
            if (end->complete || end->error.code != reason::broken_answer ||
                !body.empty())
            {
                FAIL(fmt::format("{:?}", sent).c_str());
            }
            CHECK_TRUE(end->error.ran == verdict::may_have_run);
        });
    }
};

// Guards against a response that a reset cuts while the request is being sent:
// the write that fails takes the error off the socket, and the read after it
// sees an end in good order.
TEST(response_end_of_message_tests,
     reset_during_the_request_ends_no_response_in_good_order)
{
    const http_request upload{
        "POST", "/", {{"Host", "h"}}, std::string(8'000'000, 'u')};
    const auto part = "HTTP/1.1 200 OK\r\n\r\n" + std::string(600, 'a');
    after = [](tests::raw_connection& from) { from.reset(); };
    const auto check = [&] {
        CHECK_FALSE(end->complete);
        CHECK_TRUE(end->error.code == reason::connection_lost);
        CHECK_TRUE(end->error.ran == verdict::may_have_run);
    };
    call_with_both(upload, part, check);
    tcp_relay relay{loop, {}, [](const auto&) { return true; }};
    http1_call_settings relayed;
    relayed.relay = fmt::format("127.0.0.1:{}", relay.start().value());
    call_with_both(upload, part, check, relayed);
}

// Guards against a reset that the parser takes for the end of the connection.
TEST(response_end_of_message_tests, slow_call_is_not_complete_after_a_reset)
{
    const auto complete = [this] {
        end.reset();
        bytes = "HTTP/1.1 200 OK\r\n\r\npart";
        http_call_handlers handlers;
        handlers.on_head = [](int, const auto&) {};
        handlers.on_data = [](std::string_view) {};
        handlers.on_end = [this](const auto& how) { on_end(how); };
        const load::slow_call running{loop,
                                      peer.address(),
                                      {"GET", "/", {}, ""},
                                      1'000'000,
                                      std::move(handlers)};
        wait_for_end();
        return end->complete;
    };
    after = [](tests::raw_connection& from) { from.close(); };
    CHECK_TRUE(complete());
    after = [](tests::raw_connection& from) { from.reset(); };
    CHECK_FALSE(complete());
}

// The other side of the guard: such a server needs no more of the request.
TEST(response_end_of_message_tests,
     response_that_ends_in_good_order_during_the_request_is_whole)
{
    after = [](tests::raw_connection& from) {
        asio::error_code ignored;
        from.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    };
    bytes = "HTTP/1.1 413 Too Large\r\n\r\nrefused";
    http1_call_handlers handlers;
    handlers.on_data = [this](std::string_view piece) { body += piece; };
    handlers.on_end = [this](const auto& how) { on_end(how); };
    const auto running = client.start(
        peer.address(),
        {"POST", "/", {{"Host", "h"}}, std::string(8'000'000, 'u')}, {},
        std::move(handlers));
    wait_for_end();
    CHECK_TRUE(end->complete);
    CHECK_TRUE(end->ended_by_close);
    STRCMP_EQUAL("refused", body.c_str());
}

// Guards against statuses that no caller can read, and that kept their call
// until its time limit.
TEST(response_end_of_message_tests, unknown_statuses_are_broken_responses)
{
    for (const auto* status : {"000", "001", "099", "101"})
    {
        for (const auto* rest :
             {"Content-Length: 2\r\n\r\nok", "\r\nok",
              "Upgrade: other\r\nConnection: Upgrade\r\n\r\nok"})
        {
            expect_broken(fmt::format("HTTP/1.1 {} X\r\n{}", status, rest));
        }
    }
}

// Guards against lines that some readers take for a length and others for a
// header without meaning.
TEST(response_end_of_message_tests, unclear_heads_are_broken_responses)
{
    for (const auto* header :
         {"Content-Length : 2", "Content Length: 2", "X Y: z", "X-\x01Y: z",
          "X-\tY: z", "X\x7f: z", ": z", "no colon", "X: a\x01z",
          "Content-Length: +2",
          "Content-Length:", "Content-Length: 2\r\nTransfer-Encoding: chunked",
          "Transfer-Encoding : chunked", "Transfer-Encoding: gzip, chunked",
          "Transfer-Encoding: identity", "HTTP/1.1 : z"})
    {
        expect_broken(fmt::format("HTTP/1.1 200 OK\r\n{}\r\n\r\nok", header));
    }
}

TEST(response_end_of_message_tests, response_to_head_has_no_body)
{
    for (const auto* headers :
         {"Content-Length: 9\r\n", "Transfer-Encoding: chunked\r\n", ""})
    {
        call_with_both({"HEAD", "/", {{"Host", "h"}}, ""},
                       fmt::format("HTTP/1.1 200 OK\r\n{}\r\n", headers), [&] {
                           CHECK_TRUE(end->complete);
                           CHECK_FALSE(end->ended_by_close);
                           STRCMP_EQUAL("", body.c_str());
                       });
    }
}

// Guards against a length that is the length of what did not change.
TEST(response_end_of_message_tests, some_statuses_have_no_body)
{
    for (const auto* status : {"204", "304"})
    {
        call_with_both(
            {"GET", "/", {{"Host", "h"}}, ""},
            fmt::format("HTTP/1.1 {} X\r\nContent-Length: 9\r\n\r\n", status),
            [&] {
                CHECK_TRUE(end->complete);
                CHECK_FALSE(end->ended_by_close);
            });
    }
}
