/// @file
/// Requests through the gateway to servers that refuse, fail, cut, spoil and
/// answer late: coordination/gateway/request_flow.hpp.

#include <hyssopdeal/coordination/gateway/native_dialect.hpp>
#include <hyssopdeal/coordination/gateway/request_flow.hpp>

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
    document.services = {
        {"s", 0, protocol::engine_terms{8, 100'000, true}, {}}};
    const auto add = [&](const char* prefix, protocol::repeat_rule rule,
                         bool resumable) {
        protocol::document_route route;
        route.name = prefix;
        route.host = "h";
        route.path_prefix = prefix;
        route.rule = rule;
        route.time_limit = 2s;
        route.target_latency = 300ms;
        route.max_attempts = 2;
        route.resumable = resumable;
        route.shares = {{"s", 1}};
        document.routes.push_back(route);
    };
    add("/safe/", protocol::repeat_rule::safe, false);
    add("/once/", protocol::repeat_rule::once, false);
    add("/stream/", protocol::repeat_rule::stream, false);
    add("/resume/", protocol::repeat_rule::stream, true);
    protocol::organisation_terms terms;
    terms.name = "o";
    terms.keys = {"key"};
    document.organisations = {terms};
    return document;
}

std::string head_of(const std::string& id, const char* more)
{
    return "HTTP/1.1 200 OK\r\nHyssopdeal-Attempt: " + id + "\r\n" + more +
           "\r\n";
}

} // namespace

TEST_GROUP(request_flow_tests)
{
    using script = std::function<void(tests::raw_connection&)>;

    transport::event_loop loop;
    transport::system_clock clock;
    std::unique_ptr<gateway_core> core;
    std::unique_ptr<transport::http1_server> server;
    std::uint16_t port = 0;
    std::vector<std::unique_ptr<tests::raw_listener>> servers;
    std::vector<protocol::listed_server> list;
    std::vector<std::string> arrivals; ///< Heads at any server, in order.

    void setup() override
    {
        gateway_settings settings;
        settings.name = "e";
        settings.keys_valid_for = 60s;
        core = std::make_unique<gateway_core>(
            loop, clock, settings,
            [](const std::string&) { return make_document(); });
        server = std::make_unique<transport::http1_server>(
            loop, clock, transport::http1_server_settings{},
            [this](transport::http1_exchange exchange) {
                std::make_shared<request_flow<native_dialect>>(
                    *core, std::move(exchange))
                    ->start();
            });
        port = server->start().value();
    }

    /// Adds a server that follows a script for each request.
    void add_server(const script& act)
    {
        servers.push_back(std::make_unique<tests::raw_listener>(
            loop, [this, act](tests::raw_connection& from) {
                if (from.received.find("\r\n\r\n") != std::string::npos)
                {
                    arrivals.push_back(std::exchange(from.received, {}));
                    act(from);
                }
            }));
        protocol::listed_server listed;
        listed.id = "w" + std::to_string(list.size());
        listed.service = "s";
        listed.slots = 8;
        listed.address = servers.back()->address();
        list.push_back(listed);
    }

    void put_in_force()
    {
        protocol::entry_orders orders;
        orders.leads = true;
        orders.document_version = 1;
        orders.packed_document = protocol::pack_text(document_text);
        orders.listing_age_ms = 0;
        orders.listing = protocol::server_listing{1, list};
        orders.shares = {{"o", 1.0}};
        core->apply_orders(clock.monotonic_now(), orders);
    }

    std::shared_ptr<tests::raw_connection> send(const std::string& path)
    {
        auto caller = tests::raw_call(loop, port);
        caller->send("POST " + path +
                     "x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\n"
                     "Hyssopdeal-Attempt: id1\r\nContent-Length: 0\r\n\r\n");
        return caller;
    }

    std::shared_ptr<tests::raw_connection> send_prompt(
        const std::string& attempt, int tokens)
    {
        auto caller = tests::raw_call(loop, port);
        caller->send("POST /stream/x HTTP/1.1\r\nHost: h\r\n"
                     "Authorization: Bearer key\r\nHyssopdeal-Prompt: " +
                     std::to_string(tokens) + "\r\nHyssopdeal-Attempt: " +
                     attempt + "\r\nContent-Length: 0\r\n\r\n");
        return caller;
    }

    /// @return The refusal of a prompt behind a long one, given at once.
    std::string refusal_behind(int tokens_ahead)
    {
        const auto ahead = send_prompt("id0", tokens_ahead);
        CHECK_TRUE(
            tests::run_until(loop, [&] { return arrivals.size() == 1; }));
        const auto caller = send_prompt("id1", 10'000);
        CHECK_TRUE(tests::run_until(
            loop, [&] { return !caller->received.empty(); }, 500ms));
        STRCMP_CONTAINS("HTTP/1.1 503", caller->received.c_str());
        return caller->received;
    }

    /// Sends a request and waits for the end of its answer.
    std::string answer(const std::string& path)
    {
        const auto caller = send(path);
        (void)tests::run_until(
            loop,
            [&] {
                return caller->closed || (!caller->received.empty() &&
                                          server->open_requests() == 0);
            },
            4s);
        loop.run_for(20ms);
        return caller->received;
    }

    static script whole(const std::string& body)
    {
        return [body](tests::raw_connection& from) {
            from.send(head_of("id1", ("Content-Length: " +
                                      std::to_string(body.size()) + "\r\n")
                                         .c_str()) +
                      body);
        };
    }

    static script reset()
    {
        return [](tests::raw_connection& from) { from.reset(); };
    }

    static script refuse()
    {
        return [](tests::raw_connection& from) {
            from.send("HTTP/1.1 503 Service Unavailable\r\n"
                      "Hyssopdeal-Attempt: id1\r\n"
                      "Hyssopdeal-Verdict: not_run\r\n"
                      "Content-Length: 0\r\n\r\n");
        };
    }
};

TEST(request_flow_tests, request_goes_out_with_what_the_system_sets)
{
    add_server(whole("done"));
    put_in_force();
    STRCMP_CONTAINS("done", answer("/once/").c_str());
    STRCMP_CONTAINS("POST /once/x HTTP/1.1", arrivals.at(0).c_str());
    STRCMP_CONTAINS("Hyssopdeal-Organisation: o", arrivals[0].c_str());
    STRCMP_CONTAINS("Hyssopdeal-Server: w0", arrivals[0].c_str());
    CHECK_TRUE(arrivals[0].find("Bearer") == std::string::npos);
}

TEST(request_flow_tests, what_may_run_once_is_not_sent_again_after_a_reset)
{
    add_server(reset());
    add_server(reset());
    put_in_force();
    STRCMP_CONTAINS("HTTP/1.1 502", answer("/once/").c_str());
    STRCMP_CONTAINS("HTTP/1.1 502", answer("/stream/").c_str());
    LONGS_EQUAL(2, arrivals.size());
}

TEST(request_flow_tests, safe_request_goes_to_another_server_after_a_reset)
{
    add_server(reset());
    add_server(whole("done"));
    put_in_force();
    for (int round = 0; round < 4; ++round)
    {
        STRCMP_CONTAINS("done", answer("/safe/").c_str());
    }
}

TEST(request_flow_tests, refusal_before_running_sends_it_elsewhere)
{
    add_server(refuse());
    add_server(whole("done"));
    put_in_force();
    for (int round = 0; round < 2; ++round)
    {
        STRCMP_CONTAINS("done", answer("/once/").c_str());
    }
}

TEST(request_flow_tests,
     all_servers_refusing_is_not_run_and_says_when_to_return)
{
    add_server(refuse());
    put_in_force();
    const auto got = answer("/once/");
    STRCMP_CONTAINS("HTTP/1.1 503", got.c_str());
    STRCMP_CONTAINS("Retry-After:", got.c_str());
}

TEST(request_flow_tests, answer_of_another_request_is_never_passed_on)
{
    add_server([](tests::raw_connection& from) {
        from.send(head_of("other", "Content-Length: 5\r\n") + "wrong" +
                  head_of("id1", "Content-Length: 5\r\n") + "right");
    });
    put_in_force();
    const auto got = answer("/once/");
    STRCMP_CONTAINS("right", got.c_str());
    CHECK_TRUE(got.find("wrong") == std::string::npos);
}

TEST(request_flow_tests, unproven_success_is_no_success)
{
    add_server([](tests::raw_connection& from) {
        from.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfake");
    });
    put_in_force();
    STRCMP_CONTAINS("HTTP/1.1 502", answer("/once/").c_str());
}

TEST(request_flow_tests, cut_stream_does_not_look_complete)
{
    add_server([](tests::raw_connection& from) {
        from.send(head_of("id1", "") + "id: 1\ndata: a\n\nid: 2\nda");
        from.reset();
    });
    put_in_force();
    const auto got = answer("/stream/");
    STRCMP_CONTAINS("data: a", got.c_str());
    CHECK_TRUE(got.find("\r\n0\r\n") == std::string::npos);
    CHECK_TRUE(got.find("id: 2") == std::string::npos);
}

TEST(request_flow_tests, resumable_stream_goes_on_after_its_last_whole_event)
{
    int round = 0;
    const script act = [&round](tests::raw_connection& from) {
        if (round++ == 0)
        {
            from.send(head_of("id1", "") + "id: 1\ndata: a\n\nid: 2\nda");
            return from.reset();
        }
        from.send(head_of("id1", "") + "id: 2\ndata: b\n\n");
        from.close();
    };
    add_server(act);
    add_server(act);
    put_in_force();
    const auto got = answer("/resume/");
    STRCMP_CONTAINS("data: a", got.c_str());
    STRCMP_CONTAINS("id: 2\ndata: b", got.c_str());
    STRCMP_CONTAINS("\r\n0\r\n", got.c_str());
    LONGS_EQUAL(2, arrivals.size());
    STRCMP_CONTAINS("Last-Event-ID: 1", arrivals.at(1).c_str());
}

TEST(request_flow_tests, event_that_the_caller_has_is_not_sent_twice)
{
    int round = 0;
    const script act = [&round](tests::raw_connection& from) {
        if (round++ == 0)
        {
            from.send(head_of("id1", "") + "id: 1\ndata: a\n\n");
            return from.reset();
        }
        from.send(head_of("id1", "") + "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        from.close();
    };
    add_server(act);
    add_server(act);
    put_in_force();
    const auto got = answer("/resume/");
    CHECK_TRUE(got.find("data: a") == got.rfind("data: a"));
    STRCMP_CONTAINS("data: b", got.c_str());
}

TEST(request_flow_tests, caller_who_leaves_ends_the_work)
{
    add_server([](tests::raw_connection& from) {
        from.send(head_of("id1", "") + "id: 1\ndata: a\n\n");
    });
    put_in_force();
    const auto caller = send("/stream/");
    CHECK_TRUE(tests::run_until(loop, [&] {
        return caller->received.find("data: a") != std::string::npos;
    }));
    caller->close();
    CHECK_TRUE(tests::run_until(
        loop, [&] { return servers[0]->connections[0]->closed; }, 500ms));
}

TEST(request_flow_tests, no_answer_ends_at_the_routes_time_limit)
{
    add_server([](tests::raw_connection&) {});
    put_in_force();
    const auto began = std::chrono::steady_clock::now();
    STRCMP_CONTAINS("HTTP/1.1 504", answer("/once/").c_str());
    const auto took = std::chrono::steady_clock::now() - began;
    CHECK(took >= 2s);
    CHECK(took < 2'500ms);
}

TEST(request_flow_tests, requests_without_route_key_or_document_are_refused)
{
    STRCMP_CONTAINS("HTTP/1.1 503", answer("/once/").c_str());
    put_in_force();
    STRCMP_CONTAINS("HTTP/1.1 404", answer("/nowhere/").c_str());
    const auto caller = tests::raw_call(loop, port);
    caller->send("GET /safe/ HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer no"
                 "\r\nHyssopdeal-Attempt: a\r\n\r\n");
    CHECK_TRUE(tests::run_until(
        loop, [&] { return caller->received.find("HTTP/1.1 401") == 0; }));
    LONGS_EQUAL(0, arrivals.size());
}

// All processes start at once and their callers are there at once: each was
// refused, came back once, and was refused again.
TEST(request_flow_tests, requests_of_the_start_wait_for_the_first_document)
{
    add_server(whole("done"));
    const auto caller = send("/safe/");
    loop.run_for(200ms);
    CHECK_TRUE(caller->received.empty());
    put_in_force();
    CHECK_TRUE(tests::run_until(
        loop,
        [&] { return caller->received.find("done") != std::string::npos; },
        500ms));
}

// Forty callers of the first 0.2 s, each of whom comes back once at most.
TEST(request_flow_tests, callers_of_the_start_are_all_served)
{
    add_server(whole("done"));
    std::vector<std::shared_ptr<tests::raw_connection>> callers;
    for (int number = 0; number < 40; ++number)
    {
        callers.push_back(send("/safe/"));
        loop.run_for(5ms);
    }
    put_in_force();
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
    const auto began = std::chrono::steady_clock::now();
    const auto caller = tests::raw_call(loop, port);
    caller->send("GET /safe/ HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key"
                 "\r\nX-Request-Deadline-Ms: 600\r\n"
                 "Hyssopdeal-Attempt: a\r\n\r\n");
    CHECK_TRUE(tests::run_until(
        loop, [&] { return !caller->received.empty(); }, 1s));
    const auto took = std::chrono::steady_clock::now() - began;
    CHECK(took >= 200ms);
    CHECK(took < 300ms);
    STRCMP_CONTAINS("HTTP/1.1 503", caller->received.c_str());
    STRCMP_CONTAINS("Retry-After", caller->received.c_str());
}

// Streams were taken until they would begin at three times their target: in
// overload most were late, and many ran into their time limit.
TEST(request_flow_tests, stream_that_would_begin_too_late_is_told_to_return)
{
    add_server([](tests::raw_connection&) {});
    put_in_force();
    STRCMP_CONTAINS("Retry-After: 0.6", refusal_behind(80'000).c_str());
    LONGS_EQUAL(1, arrivals.size());
}

TEST(request_flow_tests, stream_that_would_begin_somewhat_too_late_returns_soon)
{
    add_server([](tests::raw_connection&) {});
    put_in_force();
    STRCMP_CONTAINS("Retry-After: 0.2", refusal_behind(40'000).c_str());
    LONGS_EQUAL(1, arrivals.size());
}

TEST(request_flow_tests, other_server_at_the_address_gets_nothing_more)
{
    add_server([](tests::raw_connection& from) {
        from.send("HTTP/1.1 421 Misdirected Request\r\n"
                  "Content-Length: 0\r\n\r\n");
    });
    put_in_force();
    STRCMP_CONTAINS("HTTP/1.1 503", answer("/once/").c_str());
    STRCMP_CONTAINS("HTTP/1.1 503", answer("/once/").c_str());
    LONGS_EQUAL(1, arrivals.size());
}

// [servers' own terms] -------------------------------------------------------

// The list was the only sign, which lags by a second and more.
TEST(request_flow_tests, server_that_says_it_leaves_gets_no_new_work)
{
    const std::vector<std::string> marked = {
        head_of("id1", "Hyssopdeal-Leaving: 1\r\nContent-Length: 2\r\n") + "ok",
        // An answer to another request, which its caller never gets.
        head_of("other", "Hyssopdeal-Leaving: 1\r\nContent-Length: 0\r\n") +
            head_of("id1", "Content-Length: 2\r\n") + "ok",
        "HTTP/1.1 500 Internal Server Error\r\nHyssopdeal-Attempt: id1\r\n"
        "Hyssopdeal-Leaving: 1\r\nContent-Length: 0\r\n\r\n"};
    for (const auto& bytes : marked)
    {
        list.clear();
        arrivals.clear();
        add_server([&](tests::raw_connection& from) { from.send(bytes); });
        put_in_force();
        (void)answer("/once/");
        LONGS_EQUAL(1, arrivals.size());
        STRCMP_CONTAINS("HTTP/1.1 503", answer("/once/").c_str());
        LONGS_EQUAL(1, arrivals.size());
        // The list that still shows it as ready changes nothing.
        put_in_force();
        STRCMP_CONTAINS("HTTP/1.1 503", answer("/once/").c_str());
        LONGS_EQUAL(1, core->report().leaving.size());
    }
}

TEST(request_flow_tests, server_that_leaves_by_the_head_of_a_stream)
{
    add_server([](tests::raw_connection& from) {
        from.send(head_of("id1", "Hyssopdeal-Leaving: 1\r\n"));
    });
    put_in_force();
    const auto caller = send("/stream/");
    CHECK_TRUE(tests::run_until(loop, [&] { return arrivals.size() == 1; }));
    (void)tests::run_until(
        loop, [] { return false; }, 50ms);
    STRCMP_CONTAINS("HTTP/1.1 503", answer("/once/").c_str());
    caller->close();
}

TEST(request_flow_tests, word_of_other_entries_takes_a_leaving_server_out)
{
    add_server(whole("ok"));
    list[0].born = 7;
    put_in_force();
    protocol::entry_orders orders;
    orders.leaving = {{"w0", 6}};
    core->apply_orders(clock.monotonic_now(), orders);
    STRCMP_CONTAINS("ok", answer("/once/").c_str());
    orders.leaving = {{"w0", 7}};
    core->apply_orders(clock.monotonic_now(), orders);
    STRCMP_CONTAINS("HTTP/1.1 503", answer("/once/").c_str());
    // Only what was seen here is told: no word goes in a circle.
    LONGS_EQUAL(0, core->report().leaving.size());
}

TEST(request_flow_tests, server_that_asks_for_a_pause_gets_nothing_meanwhile)
{
    add_server([this](tests::raw_connection& from) {
        from.send(arrivals.size() == 1
                      ? "HTTP/1.1 503 Service Unavailable\r\n"
                        "Hyssopdeal-Attempt: id1\r\n"
                        "Hyssopdeal-Verdict: not_run\r\nRetry-After: 0.6\r\n"
                        "Content-Length: 0\r\n\r\n"
                      : head_of("id1", "Content-Length: 2\r\n") + "ok");
    });
    put_in_force();
    const auto began = std::chrono::steady_clock::now();
    STRCMP_CONTAINS("HTTP/1.1 503", answer("/once/").c_str());
    // Callers learn when there is a server again.
    STRCMP_CONTAINS("Retry-After: 0.", answer("/once/").c_str());
    while (std::chrono::steady_clock::now() - began < 550ms)
    {
        (void)answer("/once/");
    }
    LONGS_EQUAL(1, arrivals.size());
    (void)tests::run_until(
        loop, [] { return false; }, 150ms);
    STRCMP_CONTAINS("ok", answer("/once/").c_str());
}

// Half of all arrivals at the engines of a large fleet were refused for want of
// a slot: each refusal was followed by the next request.
TEST(request_flow_tests, full_server_gets_nothing_for_a_moment)
{
    add_server(refuse());
    put_in_force();
    STRCMP_CONTAINS("HTTP/1.1 503", answer("/once/").c_str());
    const auto refused = answer("/once/");
    STRCMP_CONTAINS("HTTP/1.1 503", refused.c_str());
    STRCMP_CONTAINS("Retry-After: 0.1", refused.c_str());
    LONGS_EQUAL(1, arrivals.size());
    (void)tests::run_until(
        loop, [] { return false; }, 150ms);
    (void)answer("/once/");
    LONGS_EQUAL(2, arrivals.size());
}

TEST(request_flow_tests, pauses_of_any_form_are_read_or_left)
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

// A caller may take 503 for "has not run"; this one may have.
TEST(request_flow_tests, refusal_without_its_mark_is_no_promise)
{
    for (const auto* status :
         {"503 Service Unavailable", "429 Too Many", "408 Request Timeout"})
    {
        list.clear();
        add_server([=](tests::raw_connection& from) {
            from.send(std::string{"HTTP/1.1 "} + status +
                      "\r\nHyssopdeal-Attempt: id1\r\n"
                      "Content-Length: 0\r\n\r\n");
        });
        put_in_force();
        STRCMP_CONTAINS("HTTP/1.1 502", answer("/once/").c_str());
    }
}

// [bytes without end] --------------------------------------------------------

namespace
{

/// Sends a piece again and again until the other side closes.
void flood(const std::shared_ptr<tests::raw_connection>& to,
           const std::shared_ptr<const std::string>& piece,
           const std::shared_ptr<std::size_t>& sent)
{
    asio::async_write(to->socket(), asio::buffer(*piece),
                      [=](const auto& error, std::size_t length) {
                          *sent += length;
                          if (!error)
                          {
                              flood(to, piece, sent);
                          }
                      });
}

} // namespace

// Bodies and events without end filled the memory until the deadline.
TEST(request_flow_tests, endless_bytes_are_cut_and_the_caller_is_told)
{
    struct endless
    {
        const char* path;
        std::string head;
        std::string piece;
    };
    const std::string filler(65'536, 'x');
    const auto plain = head_of("id1", "Content-Length: 9000000000\r\n");
    const auto chunked = head_of("id1", "Transfer-Encoding: chunked\r\n");
    const std::vector<endless> all = {
        {"/once/", "HTTP/1.1 200 ", filler},
        {"/once/", "HTTP/1.1 200 OK\r\nA: ", filler},
        {"/once/", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
        {"/once/", plain, filler},
        {"/once/", head_of("id1", ""), filler},
        {"/once/", chunked, "10000\r\n" + filler + "\r\n"},
        {"/once/", chunked + "1;", filler},
        {"/once/", chunked + "1\r\nx\r\n0\r\nA: ", filler},
        {"/stream/", head_of("id1", "") + "id: 1\ndata: ", filler}};
    for (const auto& one : all)
    {
        list.clear();
        const auto sent = std::make_shared<std::size_t>(0);
        add_server([&](tests::raw_connection& from) {
            from.send(one.head);
            flood(from.shared_from_this(),
                  std::make_shared<const std::string>(one.piece), sent);
        });
        put_in_force();
        const auto began = std::chrono::steady_clock::now();
        const auto got = answer(one.path);
        STRCMP_CONTAINS("HTTP/1.1 502", got.c_str());
        STRCMP_CONTAINS("may_have_run", got.c_str());
        CHECK(std::chrono::steady_clock::now() - began < 1'900ms);
        CHECK_TRUE(tests::run_until(
            loop, [&] { return servers.back()->connections.back()->closed; },
            1s));
        // The cap, and what the sockets hold.
        CHECK(*sent < 16'000'000);
        LONGS_EQUAL(0, core->buffered_bytes);
    }
}

// Any byte counted as a sign of life.
TEST(request_flow_tests, stream_that_stalls_with_a_byte_now_and_then_goes_on)
{
    const script stall = [this](tests::raw_connection& from) {
        if (arrivals.size() == 1)
        {
            from.send(head_of("id1", "") + "id: 1\ndata: a\n\n: ");
            return;
        }
        from.send(head_of("id1", "Connection: close\r\n") +
                  "id: 2\ndata: b\n\n");
        from.close();
    };
    add_server(stall);
    add_server(stall);
    put_in_force();
    const auto caller = send("/resume/");
    const auto drips = std::chrono::steady_clock::now();
    auto next = drips;
    CHECK_TRUE(tests::run_until(
        loop,
        [&] {
            const auto now = std::chrono::steady_clock::now();
            if (now >= next)
            {
                next = now + 100ms;
                for (const auto& one : servers)
                {
                    if (!one->connections.empty() &&
                        !one->connections.front()->closed)
                    {
                        one->connections.front()->send(".");
                    }
                }
            }
            return caller->received.find("data: b") != std::string::npos;
        },
        1'800ms));
}

// Slow by one long prompt after the other, but alive: it was cut and begun anew
// at another server, where it waited again.
TEST(request_flow_tests, stream_that_waits_its_turn_at_a_live_server_stays)
{
    std::vector<std::shared_ptr<tests::raw_connection>> held;
    const script wait = [&](tests::raw_connection& from) {
        held.push_back(from.shared_from_this());
    };
    add_server(wait);
    put_in_force();
    const auto first = send("/resume/");
    CHECK_TRUE(tests::run_until(loop, [&] { return held.size() == 1; }));
    const auto second = send("/resume/");
    CHECK_TRUE(tests::run_until(loop, [&] { return held.size() == 2; }));
    add_server(wait);
    put_in_force();
    // It makes events of the first all the while.
    const auto began = std::chrono::steady_clock::now();
    auto next = began;
    int number = 0;
    held[0]->send(head_of("id1", ""));
    (void)tests::run_until(
        loop,
        [&] {
            const auto now = std::chrono::steady_clock::now();
            if (now >= next)
            {
                next = now + 300ms;
                ++number;
                held[0]->send("id: " + std::to_string(number) +
                              "\ndata: a\n\n");
            }
            return arrivals.size() > 2;
        },
        1'700ms);
    LONGS_EQUAL(2, arrivals.size());
    first->close();
    second->close();
}

// [moving] -------------------------------------------------------------------

TEST_GROUP_BASE(stream_move_tests, TEST_GROUP_CppUTestGrouprequest_flow_tests)
{
    std::shared_ptr<tests::raw_connection> stream; ///< At the first server.
    std::vector<std::string> moves;                ///< Heads of move calls.

    /// The first server runs a stream and answers calls that move it.
    void add_source(const script& on_move)
    {
        add_server([this, on_move](tests::raw_connection& from) {
            if (arrivals.back().starts_with("POST /v1/streams/move"))
            {
                moves.push_back(arrivals.back());
                return on_move(from);
            }
            stream = from.shared_from_this();
            from.send(head_of("id1", "") + "id: 1\ndata: a\n\n");
        });
    }

    /// A server that goes on after the second event.
    void add_target()
    {
        add_server([](tests::raw_connection& from) {
            from.send(head_of("id1", "Connection: close\r\n") +
                      "id: 3\ndata: c\n\n");
            from.close();
        });
    }

    script hand_over(const char* status)
    {
        return [this, status](tests::raw_connection& from) {
            stream->reset();
            from.send(std::string{"HTTP/1.1 "} + status +
                      "\r\nContent-Length: 2\r\n\r\nh7");
        };
    }

    /// Tells that the first server ends soon.
    void put_leaving(std::chrono::milliseconds left)
    {
        list[0].state = protocol::server_state::draining;
        list[0].leaves_ms = left.count();
        put_in_force();
    }

    /// Starts a stream at the first server, then lets it learn that it ends.
    std::shared_ptr<tests::raw_connection> run_until_second_event(
        const std::string& path, std::chrono::milliseconds left)
    {
        put_in_force();
        auto caller = send(path);
        CHECK_TRUE(received(caller, "data: a"));
        put_leaving(left);
        stream->send("id: 2\ndata: b\n\n");
        return caller;
    }

    bool received(const std::shared_ptr<tests::raw_connection>& caller,
                  const char* text)
    {
        return tests::run_until(
            loop,
            [&] { return caller->received.find(text) != std::string::npos; },
            1s);
    }
};

// A reclaim cut every stream of its servers, told though it was seconds before.
TEST(stream_move_tests, stream_goes_on_elsewhere_before_its_server_ends)
{
    add_source(hand_over("200 OK"));
    add_target();
    // Cheaper by far, so that the first server gets it.
    list[1].failure_domain = "far";
    list[0].failure_domain = "";
    const auto caller = run_until_second_event("/stream/", 800ms);
    CHECK_TRUE(received(caller, "data: c"));
    LONGS_EQUAL(1, moves.size());
    STRCMP_CONTAINS("Hyssopdeal-Attempt: id1", moves[0].c_str());
    STRCMP_CONTAINS(("Hyssopdeal-Move-To: " + list[1].address).c_str(),
                    moves[0].c_str());
    STRCMP_CONTAINS(
        ("Hyssopdeal-Moved-Run: " + list[0].address + "/h7").c_str(),
        arrivals.back().c_str());
    STRCMP_CONTAINS("Last-Event-ID: 2", arrivals.back().c_str());
    LONGS_EQUAL(1, core->counters.moved.value());
}

// Twenty streams on the server that is reclaimed: all of them end whole.
TEST(stream_move_tests, all_streams_of_a_reclaimed_server_end_whole)
{
    std::map<std::string, std::shared_ptr<tests::raw_connection>> streams;
    const auto attempt_in = [](const std::string& head) {
        const std::string name = "Hyssopdeal-Attempt: ";
        const auto at = head.find(name) + name.size();
        return head.substr(at, head.find('\r', at) - at);
    };
    add_server([&](tests::raw_connection& from) {
        const auto attempt = attempt_in(arrivals.back());
        if (arrivals.back().starts_with("POST /v1/streams/move"))
        {
            streams.at(attempt)->reset();
            return from.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh7");
        }
        streams[attempt] = from.shared_from_this();
        from.send(head_of(attempt, "") + "id: 1\ndata: a\n\n");
    });
    add_server([&](tests::raw_connection& from) {
        from.send(
            head_of(attempt_in(arrivals.back()), "Connection: close\r\n") +
            "id: 3\ndata: c\n\n");
        from.close();
    });
    for (auto& listed : list)
    {
        listed.slots = 64;
    }
    list[1].state = protocol::server_state::draining;
    put_in_force();
    // Moves are repeats, and the budget of these grows with requests.
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
    list[1].id = "w9";
    list[1].state = protocol::server_state::ready;
    put_leaving(800ms);
    for (auto& [attempt, running] : streams)
    {
        running->send("id: 2\ndata: b\n\n");
    }
    const auto whole_streams = [&] {
        return std::count_if(callers.begin(), callers.end(), [](auto& caller) {
            return caller->received.find("data: c") != std::string::npos;
        });
    };
    CHECK_TRUE(tests::run_until(
        loop, [&] { return whole_streams() == 20; }, 2s));
    LONGS_EQUAL(0, core->counters.failed.value());
}

TEST(stream_move_tests, stream_of_a_server_that_has_time_stays)
{
    add_source(hand_over("200 OK"));
    add_target();
    list[1].failure_domain = "far";
    const auto caller = run_until_second_event("/stream/", 5s);
    CHECK_TRUE(received(caller, "data: b"));
    loop.run_for(100ms);
    LONGS_EQUAL(0, moves.size());
}

TEST(stream_move_tests, stream_that_is_not_handed_over_goes_on_where_it_is)
{
    add_source([](tests::raw_connection& from) {
        from.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    });
    add_target();
    list[1].failure_domain = "far";
    const auto caller = run_until_second_event("/stream/", 800ms);
    CHECK_TRUE(tests::run_until(loop, [&] { return moves.size() == 1; }));
    stream->send("id: 3\ndata: here\n\n");
    CHECK_TRUE(received(caller, "data: here"));
}

// A stopped run that no other server took goes on at its own one.
TEST(stream_move_tests, stream_without_room_elsewhere_goes_on_at_its_server)
{
    add_source(hand_over("503 Service Unavailable"));
    add_target();
    list[1].failure_domain = "far";
    const auto caller = run_until_second_event("/stream/", 800ms);
    CHECK_TRUE(tests::run_until(loop, [&] { return arrivals.size() == 3; }));
    STRCMP_CONTAINS(
        ("Hyssopdeal-Moved-Run: " + list[0].address + "/h7").c_str(),
        arrivals.back().c_str());
    STRCMP_CONTAINS(("Hyssopdeal-Server: " + list[0].id).c_str(),
                    arrivals.back().c_str());
}

// It may run only once: without its state it never goes out again.
TEST(stream_move_tests, refused_stream_goes_back_and_is_never_begun_anew)
{
    int sent = 0;
    add_server([&](tests::raw_connection& from) {
        if (arrivals.back().starts_with("POST /v1/streams/move"))
        {
            return hand_over("200 OK")(from);
        }
        if (++sent > 1)
        {
            return refuse()(from);
        }
        stream = from.shared_from_this();
        from.send(head_of("id1", "") + "id: 1\ndata: a\n\n");
    });
    add_server(refuse());
    list[1].failure_domain = "far";
    const auto caller = run_until_second_event("/stream/", 800ms);
    CHECK_TRUE(tests::run_until(
        loop, [&] { return caller->closed; }, 1s));
    // The stream, the move, the refusal at the second, the one at the first.
    LONGS_EQUAL(4, arrivals.size());
    for (std::size_t at = 2; at < arrivals.size(); ++at)
    {
        STRCMP_CONTAINS("Hyssopdeal-Moved-Run: ", arrivals[at].c_str());
    }
}

TEST(stream_move_tests, caller_who_leaves_during_a_move_ends_it)
{
    add_source([](tests::raw_connection&) {});
    add_target();
    list[1].failure_domain = "far";
    const auto caller = run_until_second_event("/stream/", 800ms);
    CHECK_TRUE(tests::run_until(loop, [&] { return moves.size() == 1; }));
    caller->close();
    CHECK_TRUE(tests::run_until(
        loop, [&] { return core->counters.left.value() == 1; }));
    loop.run_for(200ms);
    LONGS_EQUAL(2, arrivals.size());
}
