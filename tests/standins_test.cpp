/// @file
/// Tests of the stand-ins: their answers follow the interface, can be checked
/// byte for byte, and their quirks show when they are asked for.

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <hyssopdeal/transport/event_loop.hpp>
#include <hyssopdeal/transport/http_client.hpp>

#include "standins/answer_text.hpp"
#include "standins/engine.hpp"
#include "standins/engine_orders.hpp"
#include "standins/plain_service.hpp"
#include "standins/prefix_cache.hpp"

using namespace std::chrono_literals;
using namespace hyssopdeal;

namespace
{

// What a call brought.
struct answer
{
    int status = 0;
    bool complete = false;
    std::string body;
};

// Drives one loop until calls have ended.
struct bench_loop
{
    transport::event_loop loop;
    transport::system_clock clock;
    transport::http_client client{loop};

    answer call(std::uint16_t port, const transport::http_request& request)
    {
        answer got;
        bool ended = false;
        transport::http_call_handlers handlers;
        handlers.on_head = [&got](int status, const auto&) {
            got.status = status;
        };
        handlers.on_data = [&got](std::string_view piece) {
            got.body += piece;
        };
        handlers.on_end = [&](const transport::http_call_end& end) {
            got.complete = end.complete;
            ended = true;
        };
        const auto running = client.start(fmt::format("127.0.0.1:{}", port),
                                          request, {}, std::move(handlers));
        for (int turns = 0; turns < 2'000 && !ended; ++turns)
        {
            loop.run_for(5ms);
        }
        CHECK(ended);
        return got;
    }

    answer get(std::uint16_t port, std::string target)
    {
        return call(port, {"GET", std::move(target), {}, {}});
    }
};

std::string chat_body(const std::string& text, const std::string& more = {})
{
    return fmt::format("{{\"messages\":[{{\"role\":\"user\",\"content\":\"{}\""
                       "}}],\"stream\":true{}}}",
                       text, more);
}

transport::http_request chat(const std::string& attempt, std::string body)
{
    return {"POST",
            "/v1/chat/completions",
            {{"Hyssopdeal-Attempt", attempt}},
            std::move(body)};
}

// The contents of all token events, in the order of the stream.
std::string contents(const std::string& stream)
{
    constexpr std::string_view mark = "\"content\":\"";
    std::string text;
    auto at = stream.find(mark);
    while (at != std::string::npos)
    {
        const auto start = at + mark.size();
        const auto end = stream.find('"', start);
        text += stream.substr(start, end - start);
        at = stream.find(mark, end);
    }
    return text;
}

standins::engine_settings quick_engine()
{
    standins::engine_settings settings;
    settings.behaviour.token_interval = 100us;
    settings.behaviour.prefill_per_token = 1us;
    settings.behaviour.cache_event_lag = 0ms;
    return settings;
}

} // namespace

TEST_GROUP(answer_text_tests){};

TEST(answer_text_tests, goes_on_from_any_byte)
{
    const standins::answer_text whole("v1", "user:hello [tokens=20]\n");
    const auto text = whole.first(whole.size());
    for (std::size_t cut = 0; cut <= text.size(); ++cut)
    {
        std::string rest;
        const auto at = whole.position(text.substr(0, cut), rest);
        CHECK(at.has_value());
        auto joined = text.substr(0, cut) + rest;
        for (auto next = *at; next < whole.size(); ++next)
        {
            joined += whole.token(next);
        }
        CHECK(joined == text);
    }
}

TEST(answer_text_tests, tells_whole_cut_and_wrong)
{
    const auto body = chat_body("taste this [tokens=10]");
    const auto prompt = standins::read_chat_prompt(body);
    const standins::answer_text expected("v7", prompt->rendered);
    const auto text = expected.first(10);
    CHECK(standins::check_answer(body, text) == standins::answer_check::whole);
    CHECK(standins::check_answer(body, expected.first(9)) ==
          standins::answer_check::cut_short);
    CHECK(standins::check_answer(body, text + "more ") ==
          standins::answer_check::wrong);
    CHECK(standins::check_answer(chat_body("other"), text) ==
          standins::answer_check::wrong);
}

TEST_GROUP(engine_tests)
{
    bench_loop bench;
};

TEST(engine_tests, streams_an_answer_that_checks_whole)
{
    standins::engine engine(bench.loop, bench.clock, quick_engine());
    const auto port = engine.start();
    const auto body = chat_body("a critique [tokens=30]");
    const auto got = bench.call(*port, chat(std::string(32, 'a'), body));
    LONGS_EQUAL(200, got.status);
    CHECK(got.complete);
    CHECK(got.body.ends_with("data: [DONE]\n\n"));
    CHECK(got.body.find("\"finish_reason\":\"stop\"") != std::string::npos);
    CHECK(standins::check_answer(body, contents(got.body)) ==
          standins::answer_check::whole);
}

TEST(engine_tests, goes_on_from_given_text)
{
    standins::engine engine(bench.loop, bench.clock, quick_engine());
    const auto port = engine.start();
    const auto body = chat_body("a critique [tokens=30]");
    const auto prompt = standins::read_chat_prompt(body);
    const auto begun = standins::answer_text("v1", prompt->rendered).first(12);
    const auto rest = fmt::format(
        "{{\"messages\":[{{\"role\":\"user\",\"content\":\"a critique "
        "[tokens=30]\"}},{{\"role\":\"assistant\",\"content\":\"{}\"}}],"
        "\"stream\":true,\"continue_final_message\":true}}",
        begun);
    const auto got = bench.call(*port, chat(std::string(32, 'b'), rest));
    CHECK(standins::check_answer(body, begun + contents(got.body)) ==
          standins::answer_check::whole);
    LONGS_EQUAL(1, engine.counters().continued);
}

TEST(engine_tests, gives_a_known_attempt_again_from_an_event)
{
    standins::engine engine(bench.loop, bench.clock, quick_engine());
    const auto port = engine.start();
    const std::string id(32, 'c');
    const auto first = bench.call(*port, chat(id, chat_body("x [tokens=9]")));
    const auto again = bench.get(*port, "/v1/attempts/" + id + "?from=4");
    CHECK(again.complete);
    STRCMP_EQUAL(first.body.substr(first.body.find("id: " + id + ":4")).c_str(),
                 again.body.c_str());
}

TEST(engine_tests, broken_version_cuts_the_stream)
{
    auto settings = quick_engine();
    settings.behaviour.fault = standins::version_fault::broken;
    settings.behaviour.fault_after_requests = 1;
    standins::engine engine(bench.loop, bench.clock, settings);
    const auto port = engine.start();
    const auto body = chat_body("y [tokens=20]");
    CHECK(bench.call(*port, chat(std::string(32, 'd'), body)).complete);
    const auto cut = bench.call(*port, chat(std::string(32, 'e'), body));
    CHECK_FALSE(cut.complete);
    CHECK(standins::check_answer(body, contents(cut.body)) ==
          standins::answer_check::cut_short);
}

TEST(engine_tests, refuses_before_running_in_the_documented_way)
{
    auto settings = quick_engine();
    standins::engine engine(bench.loop, bench.clock, settings);
    const auto port = engine.start();
    const auto got =
        bench.call(*port, chat(std::string(32, 'f'),
                               chat_body("z", ",\"model\":\"not-loaded\"")));
    LONGS_EQUAL(503, got.status);
    LONGS_EQUAL(1, engine.counters().refused);
    LONGS_EQUAL(0, engine.counters().requests);
}

TEST(engine_tests, counts_cached_prompts_and_publishes_blocks)
{
    standins::engine engine(bench.loop, bench.clock, quick_engine());
    const auto port = engine.start();
    const auto body = chat_body(std::string(2'000, 'q') + " [tokens=3]");
    (void)bench.call(*port, chat(std::string(32, '1'), body));
    (void)bench.call(*port, chat(std::string(32, '2'), body));
    CHECK(engine.counters().cached_tokens > 400);
    const auto events = bench.get(*port, "/v1/cache-events?after=0");
    CHECK(events.body.find("\"number\":6") != std::string::npos);
    CHECK(events.body.find("\"number\":7,") == std::string::npos);
}

TEST(engine_tests, moves_kv_blocks_between_engines)
{
    standins::engine from(bench.loop, bench.clock, quick_engine());
    standins::engine to(bench.loop, bench.clock, quick_engine());
    const auto from_port = from.start();
    const auto to_port = to.start();
    const auto body = chat_body(std::string(2'000, 'k') + " [tokens=3]");
    const std::string id(32, '3');
    (void)bench.call(*from_port, chat(id, body));
    CHECK(bench.call(*from_port, {"POST", "/v1/kv/export/" + id, {}, {}})
              .body.find("handle") != std::string::npos);
    const auto imported = bench.call(
        *to_port,
        {"POST",
         "/v1/kv/import",
         {},
         fmt::format("{{\"handle\":\"{}\",\"from\":\"127.0.0.1:{}\"}}", id,
                     *from_port)});
    LONGS_EQUAL(200, imported.status);
    (void)bench.call(*to_port, chat(std::string(32, '4'), body));
    CHECK(to.counters().cached_tokens > 400);
}

TEST(engine_tests, reports_its_load_late)
{
    auto settings = quick_engine();
    settings.behaviour.load_report_lag = 10'000ms;
    settings.behaviour.fault = standins::version_fault::stalls;
    standins::engine engine(bench.loop, bench.clock, settings);
    const auto port = engine.start();
    const auto running = bench.client.start(
        fmt::format("127.0.0.1:{}", *port),
        chat(std::string(32, '5'), chat_body("stall [tokens=9]")), {}, {});
    bench.loop.run_for(50ms);
    const auto load = bench.get(*port, "/v1/load");
    CHECK(load.body.find("\"running\":0") != std::string::npos);
}

TEST_GROUP(engine_orders_tests){};

TEST(engine_orders_tests, old_fence_is_refused_only_by_a_checking_engine)
{
    const std::string newer =
        R"({"order":"load","version":"v2","fence":{"term":2,"counter":1}})";
    const std::string older =
        R"({"order":"unload","version":"v1","fence":{"term":1,"counter":9}})";
    const transport::monotonic_time now{};
    standins::engine_orders checks("v1", standins::fence_check::refuses_old);
    LONGS_EQUAL(200, checks.apply(newer, now, 5ms).status);
    LONGS_EQUAL(409, checks.apply(older, now, 5ms).status);
    CHECK(checks.serves("v1", now));
    CHECK_FALSE(checks.serves("v2", now));
    CHECK(checks.serves("v2", now + 5ms));
    standins::engine_orders ignores("v1", standins::fence_check::ignores);
    LONGS_EQUAL(200, ignores.apply(newer, now, 5ms).status);
    LONGS_EQUAL(200, ignores.apply(older, now, 5ms).status);
    CHECK_FALSE(ignores.serves("v1", now));
    LONGS_EQUAL(1, ignores.stale());
}

TEST_GROUP(plain_service_tests)
{
    bench_loop bench;
};

TEST(plain_service_tests, counts_a_call_whose_answer_is_lost)
{
    standins::plain_service_settings settings;
    settings.behaviour.fault = standins::version_fault::broken;
    standins::plain_service service(bench.loop, bench.clock, settings);
    const auto port = service.start();
    const auto got = bench.call(
        *port,
        {"POST", "/payments", {{"Idempotency-Key", "k1"}}, "{\"amount\":5}"});
    CHECK_FALSE(got.complete);
    LONGS_EQUAL(1, service.runs("k1"));
    const auto count = bench.get(*port, "/count/k1");
    STRCMP_EQUAL("{\"count\":1,\"key\":\"k1\"}", count.body.c_str());
}
