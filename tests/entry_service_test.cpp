/// @file
/// Tests of callers' requests through an entry process to a scripted backend
/// server.

#include <fstream>
#include <functional>
#include <iterator>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include "entry_harness.hpp"
#include "loop_helper.hpp"
#include "raw_peer.hpp"

using namespace hyssopdeal::tests;
using namespace hyssopdeal::transport;
using namespace std::chrono_literals;

namespace
{

std::string read_file(const std::string& path)
{
    std::ifstream file{path};
    return {std::istreambuf_iterator<char>{file}, {}};
}

/// Streams two words and ends properly.
void answer_well(const http_request& request, http_responder responder)
{
    const std::string attempt{
        find_header(request.headers, "Hyssopdeal-Attempt")};
    responder.begin_stream(200, {{"Content-Type", "text/event-stream"}});
    responder.write(engine_event_text(attempt, 1, "one "));
    responder.write(engine_event_text(attempt, 2, "two"));
    responder.write(engine_end_text(attempt, 3));
    responder.end_stream();
}

constexpr const char* whole_stream =
    "id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"one \"}}]}\n\n"
    "id: 2\ndata: {\"choices\":[{\"delta\":{\"content\":\"two\"}}]}\n\n"
    "id: 3\ndata: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],"
    "\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":2}}\n\n"
    "id: 4\ndata: [DONE]\n\n";

http_request get(std::string target, std::string key = "vale-key")
{
    return {"GET",
            std::move(target),
            {{"Authorization", fmt::format("Bearer {}", key)}},
            ""};
}

} // namespace

TEST_GROUP(entry_service_tests)
{
    entry_harness entry;

    void expect(const result<http_response>& answer, int status,
                const char* code, const char* ran)
    {
        CHECK_TRUE(answer.has_value());
        LONGS_EQUAL(status, answer->status);
        CHECK(find_header(answer->headers, "Hyssopdeal-Verdict") == ran);
        const auto part = fmt::format("\"reason\":\"{}\"", code);
        STRCMP_CONTAINS(part.c_str(), answer->body.c_str());
    }

    void setup() override
    {
        entry.on_backend_request = answer_well;
    }
};

TEST(entry_service_tests, streams_a_whole_answer)
{
    const auto answer = entry.fetch(entry_harness::chat());
    CHECK_TRUE(answer.has_value());
    LONGS_EQUAL(200, answer->status);
    STRCMP_EQUAL(whole_stream, answer->body.c_str());
    LONGS_EQUAL(32, find_header(answer->headers, "Hyssopdeal-Stream").size());
}

TEST(entry_service_tests, passes_on_what_a_backend_server_needs)
{
    auto request = entry_harness::chat();
    request.headers.push_back({"X-Request-Deadline-Ms", "1500"});
    request.headers.push_back({"X-Other", "kept"});
    request.headers.push_back({"Hyssopdeal-Attempt", "forged"});
    request.headers.push_back(
        {"traceparent",
         "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"});
    CHECK_TRUE(entry.fetch(request).has_value());
    const auto& sent = entry.backend_requests.front();
    STRCMP_EQUAL("/v1/chat/completions", sent.target.c_str());
    STRCMP_EQUAL(request.body.c_str(), sent.body.c_str());
    CHECK(find_header(sent.headers, "Authorization").empty());
    CHECK(find_header(sent.headers, "X-Other") == "kept");
    CHECK(find_header(sent.headers, "Hyssopdeal-Route") == "chat");
    CHECK(find_header(sent.headers, "Hyssopdeal-Priority") == "1");
    LONGS_EQUAL(32, find_header(sent.headers, "Hyssopdeal-Attempt").size());
    const auto left = std::stoi(
        std::string{find_header(sent.headers, "X-Request-Deadline-Ms")});
    CHECK_TRUE(left > 0 && left <= 1'500);
    const auto trace = find_header(sent.headers, "traceparent");
    CHECK(trace.starts_with("00-0af7651916cd43dd8448eb211c80319c-"));
    CHECK(trace.find("b7ad6b7169203331") == std::string_view::npos);
}

TEST(entry_service_tests, passes_a_plain_call_through)
{
    entry.on_backend_request = [](const http_request& request,
                                  http_responder responder) {
        responder.send({418, {{"X-Kind", "teapot"}}, request.target});
    };
    const auto answer = entry.fetch(get("/v1/books/status/7?full=1"));
    CHECK_TRUE(answer.has_value());
    LONGS_EQUAL(418, answer->status);
    STRCMP_EQUAL("/status/7?full=1", answer->body.c_str());
    CHECK(find_header(answer->headers, "X-Kind") == "teapot");
    CHECK(find_header(answer->headers, "Hyssopdeal-Verdict") == "ran");
}

TEST(entry_service_tests, refuses_what_is_not_known_or_allowed)
{
    expect(entry.fetch({"GET", "/v1/books/status/7", {}, ""}), 401,
           "unauthenticated", "not_run");
    expect(entry.fetch(get("/v1/books/status/7", "nobody")), 401,
           "unauthenticated", "not_run");
    expect(entry.fetch(get("/v1/none/status/7")), 404, "not_found", "not_run");
    expect(entry.fetch(get("/v1/books/other")), 404, "not_found", "not_run");
    expect(entry.fetch(get("/v1/books/statusless")), 404, "not_found",
           "not_run");
    expect(entry.fetch(get("/v1/books/payments")), 404, "not_found", "not_run");
    expect(entry.fetch(get("/v1/sidra/chat/completions", "serra-key")), 403,
           "forbidden", "not_run");
    expect(entry.fetch(get("/elsewhere")), 404, "not_found", "not_run");
    expect(entry.fetch(get("/v1/books/status/../payments")), 400, "bad_request",
           "not_run");
    LONGS_EQUAL(0, entry.backend_requests.size());
}

TEST(entry_service_tests, refuses_bad_bodies_and_deadlines)
{
    for (const char* body :
         {"", "not json", "[]", "{}", R"({"messages":[]})",
          R"({"messages":[1]})", R"({"messages":[{"content":"x"}]})",
          R"({"stream":"yes","messages":[{"role":"user"}]})",
          R"({"max_tokens":-1,"messages":[{"role":"user"}]})",
          "{\"messages\":[{\"role\":\"\xff\xfe\"}]}"})
    {
        expect(entry.fetch(entry_harness::chat(body)), 400, "bad_request",
               "not_run");
    }
    auto request = entry_harness::chat();
    request.headers.push_back({"X-Request-Deadline-Ms", "soon"});
    expect(entry.fetch(request), 400, "bad_request", "not_run");
    request.headers.back().value = std::string{"0"};
    expect(entry.fetch(request), 504, "deadline_passed", "not_run");
    LONGS_EQUAL(0, entry.backend_requests.size());
}

TEST(entry_service_tests, server_that_is_not_there_is_not_run)
{
    entry.backend.stop_accepting();
    entry.on_backend_request = nullptr;
    const auto answer = entry.fetch(get("/v1/books/status/7"));
    CHECK_TRUE(answer.has_value());
    CHECK(find_header(answer->headers, "Hyssopdeal-Verdict") == "not_run");
    CHECK_TRUE(answer->status == 502 || answer->status == 503);
}

TEST(entry_service_tests, refusal_before_running_is_not_run)
{
    entry.on_backend_request = [](const http_request&,
                                  http_responder responder) {
        responder.send({503, {{"Hyssopdeal-Refused", "before_run"}}, ""});
    };
    const auto answer = entry.fetch(get("/v1/books/status/7"));
    CHECK_TRUE(answer.has_value());
    LONGS_EQUAL(503, answer->status);
    CHECK(find_header(answer->headers, "Hyssopdeal-Verdict") == "not_run");
    CHECK_FALSE(find_header(answer->headers, "Retry-After").empty());
}

TEST(entry_service_tests, silent_server_may_have_run)
{
    std::vector<http_responder> held;
    entry.on_backend_request = [&](const http_request&,
                                   http_responder responder) {
        held.push_back(std::move(responder));
    };
    expect(entry.fetch(get("/v1/books/status/7")), 504, "timed_out",
           "may_have_run");
}

TEST(entry_service_tests, stream_goes_on_after_each_kind_of_break)
{
    // How the first attempt breaks after its first event.
    using break_function =
        std::function<void(const std::string& attempt, http_responder&)>;
    const std::vector<break_function> breaks = {
        [](const auto&, auto& to) { to.abort_stream(); },
        [](const auto&, auto& to) { to.end_stream(); },
        [](const auto& attempt, auto& to) {
            to.write(fmt::format("id: {}:2\ndata: not json\n\n", attempt));
        },
        [](const auto& attempt, auto& to) {
            to.write(fmt::format("id: {}:2\ndata: {{}}\n\n", attempt));
        },
        [](const auto&, auto& to) { to.write("data: {\"choices\":[]}\n\n"); },
        [](const auto& attempt, auto& to) {
            to.write(engine_event_text(attempt, 3, "skipped"));
        }};
    for (const auto& break_it : breaks)
    {
        std::vector<http_responder> held;
        entry.on_backend_request = [&](const http_request& request,
                                       http_responder responder) {
            if (request.method == "GET")
            {
                const auto attempt = request.target.substr(13, 32);
                STRCMP_EQUAL(
                    fmt::format("/v1/attempts/{}?from=2", attempt).c_str(),
                    request.target.c_str());
                responder.begin_stream(200,
                                       {{"Content-Type", "text/event-stream"}});
                responder.write(engine_event_text(attempt, 2, "two"));
                responder.write(engine_end_text(attempt, 3));
                responder.end_stream();
                return;
            }
            const std::string attempt{
                find_header(request.headers, "Hyssopdeal-Attempt")};
            responder.begin_stream(200,
                                   {{"Content-Type", "text/event-stream"}});
            responder.write(engine_event_text(attempt, 1, "one "));
            break_it(attempt, responder);
            held.push_back(std::move(responder));
        };
        const auto answer = entry.fetch(entry_harness::chat());
        CHECK_TRUE(answer.has_value());
        STRCMP_EQUAL(whole_stream, answer->body.c_str());
    }
}

/// A server whose process ends after each answer.
TEST_GROUP(entry_closing_server_tests)
{
    entry_harness entry;
    std::function<std::string(const std::string& request)> respond;
    int requests = 0;
    raw_listener server{entry.loop, [this](raw_connection& from) {
                            if (from.received.find("\r\n\r\n") ==
                                std::string::npos)
                            {
                                return;
                            }
                            ++requests;
                            from.send(respond(from.received));
                            from.close();
                        }};

    void setup() override
    {
        entry.use_backend(server.port());
    }

    void expect(const result<http_response>& answer, int status,
                const char* ran)
    {
        CHECK_TRUE(answer.has_value());
        LONGS_EQUAL(status, answer->status);
        CHECK(find_header(answer->headers, "Hyssopdeal-Verdict") == ran);
    }
};

TEST(entry_closing_server_tests, cut_answer_is_not_passed_on_as_whole)
{
    respond = [](const auto&) {
        return "HTTP/1.1 200 OK\r\nX-Kind: cut\r\n\r\nhalf of";
    };
    const auto answer = entry.fetch(get("/v1/books/status/7"));
    expect(answer, 502, "may_have_run");
    STRCMP_CONTAINS("connection_lost", answer->body.c_str());
    CHECK(requests > 0);
}

TEST(entry_closing_server_tests, answers_without_a_body_are_whole)
{
    respond = [](const auto&) { return "HTTP/1.1 204 No Content\r\n\r\n"; };
    expect(entry.fetch(get("/v1/books/status/7")), 204, "ran");
}

TEST(entry_closing_server_tests, refusal_needs_no_length_to_be_not_run)
{
    respond = [](const auto&) {
        return "HTTP/1.1 503 Full\r\nHyssopdeal-Refused: before_run\r\n\r\n"
               "no ro";
    };
    expect(entry.fetch(get("/v1/books/status/7")), 503, "not_run");
}

TEST(entry_closing_server_tests, cut_error_is_not_passed_on_as_whole)
{
    respond = [](const auto&) {
        return "HTTP/1.1 422 No\r\nContent-Type: text/plain\r\n\r\nno su";
    };
    expect(entry.fetch(entry_harness::chat()), 502, "may_have_run");
}

TEST(entry_service_tests, error_beyond_its_cap_is_not_passed_on_in_part)
{
    entry.on_backend_request = [](const http_request&,
                                  http_responder responder) {
        responder.send({422, {}, std::string(70'000, 'x')});
    };
    expect(entry.fetch(entry_harness::chat()), 502, "broken_answer",
           "may_have_run");
}

TEST(entry_closing_server_tests, stream_ends_by_its_end_mark_only)
{
    respond = [](const std::string& request) {
        constexpr std::string_view header = "Hyssopdeal-Attempt: ";
        constexpr std::string_view target = "GET /v1/attempts/";
        constexpr std::size_t id_length = 32;
        std::string head =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
        if (request.starts_with(target))
        {
            const auto attempt = request.substr(target.size(), id_length);
            return head + engine_event_text(attempt, 2, "two") +
                   engine_end_text(attempt, 3);
        }
        const auto at = request.find(header) + header.size();
        return head +
               engine_event_text(request.substr(at, id_length), 1, "one ");
    };
    const auto answer = entry.fetch(entry_harness::chat());
    CHECK_TRUE(answer.has_value());
    STRCMP_EQUAL(whole_stream, answer->body.c_str());
    LONGS_EQUAL(2, requests);
}

TEST(entry_service_tests, duplicate_and_foreign_events_are_dropped)
{
    entry.on_backend_request = [](const http_request& request,
                                  http_responder responder) {
        const std::string attempt{
            find_header(request.headers, "Hyssopdeal-Attempt")};
        responder.begin_stream(200, {{"Content-Type", "text/event-stream"}});
        responder.write(engine_event_text(attempt, 1, "one "));
        responder.write(engine_event_text(attempt, 1, "one "));
        responder.write(engine_event_text(std::string(32, 'a'), 2, "foreign"));
        responder.write(engine_event_text(attempt, 2, "two"));
        responder.write(engine_end_text(attempt, 3));
        responder.end_stream();
    };
    const auto answer = entry.fetch(entry_harness::chat());
    CHECK_TRUE(answer.has_value());
    STRCMP_EQUAL(whole_stream, answer->body.c_str());
}

TEST(entry_service_tests, error_of_the_request_itself_is_passed_on)
{
    entry.on_backend_request = [](const http_request&,
                                  http_responder responder) {
        responder.send({422, {{"Content-Type", "text/plain"}}, "no such"});
    };
    const auto answer = entry.fetch(entry_harness::chat());
    CHECK_TRUE(answer.has_value());
    LONGS_EQUAL(422, answer->status);
    STRCMP_EQUAL("no such", answer->body.c_str());
    CHECK(find_header(answer->headers, "Hyssopdeal-Verdict") == "ran");
}

TEST(entry_service_tests, stream_is_resumed_after_the_last_event)
{
    const auto first = entry.fetch(entry_harness::chat());
    const std::string id{find_header(first->headers, "Hyssopdeal-Stream")};
    auto request = get(fmt::format("/v1/streams/{}", id));
    request.headers.push_back({"Last-Event-ID", "3"});
    const auto rest = entry.fetch(request);
    CHECK_TRUE(rest.has_value());
    STRCMP_EQUAL("id: 4\ndata: [DONE]\n\n", rest->body.c_str());
}

TEST(entry_service_tests, stream_of_another_organisation_is_not_there)
{
    const auto first = entry.fetch(entry_harness::chat());
    const std::string id{find_header(first->headers, "Hyssopdeal-Stream")};
    expect(entry.fetch(get(fmt::format("/v1/streams/{}", id), "serra-key")),
           404, "not_found", "not_run");
    expect(entry.fetch(get("/v1/streams/none")), 404, "not_found", "not_run");
    auto request = get(fmt::format("/v1/streams/{}", id));
    request.headers.push_back({"Last-Event-ID", "-1"});
    expect(entry.fetch(request), 400, "bad_request", "not_run");
}

TEST(entry_service_tests, health_and_readiness_are_told)
{
    LONGS_EQUAL(200, entry.fetch(get("/healthz"))->status);
    LONGS_EQUAL(200, entry.fetch(get("/readyz"))->status);
}

TEST(entry_service_tests, metrics_count_what_happened)
{
    CHECK_TRUE(entry.fetch(entry_harness::chat()).has_value());
    entry.fetch(get("/v1/none/status/7"));
    const auto page = entry.fetch(get("/metrics"));
    CHECK_TRUE(page.has_value());
    for (const char* line :
         {"hyssopdeal_requests_total 2\n", "hyssopdeal_attempts_total 1\n",
          "hyssopdeal_stream_events_total 4\n",
          "hyssopdeal_streams_finished_total 1\n",
          "hyssopdeal_failures_total{reason=\"not_found\"} 1\n",
          "hyssopdeal_first_token_seconds_count 1\n",
          "hyssopdeal_applied_index 1\n"})
    {
        STRCMP_CONTAINS(line, page->body.c_str());
    }
}

TEST(entry_service_tests, debug_pages_list_what_there_is)
{
    CHECK_TRUE(entry.fetch(entry_harness::chat()).has_value());
    STRCMP_CONTAINS("\"organisation\":\"vale\"",
                    entry.fetch(get("/debug/streams"))->body.c_str());
    STRCMP_CONTAINS("\"server\":\"sidra-1\"",
                    entry.fetch(get("/debug/routes"))->body.c_str());
    STRCMP_CONTAINS("\"organisation\":\"serra\"",
                    entry.fetch(get("/debug/grants"))->body.c_str());
    STRCMP_CONTAINS("\"members\":[",
                    entry.fetch(get("/debug/members"))->body.c_str());
    expect(entry.fetch(get("/debug/other")), 404, "not_found", "not_run");
}

// Guards against requests to an evacuated domain, and against callers who wait
// or do not learn that nothing has run.
TEST(entry_service_tests, evacuated_servers_get_nothing_and_callers_are_told)
{
    STRCMP_EQUAL("{\"evacuations\":[]}",
                 entry.fetch(get("/debug/evacuations"))->body.c_str());
    entry.evacuate();
    // Each shard takes the configuration in on its own thread.
    bool applied = false;
    for (int round = 0; round < 500 && !applied; ++round)
    {
        const auto routes = entry.fetch(get("/debug/routes"));
        applied = routes->body.find("\"available\"") == std::string::npos;
    }
    CHECK(applied);
    STRCMP_CONTAINS("\"state\":\"evacuated\"",
                    entry.fetch(get("/debug/routes"))->body.c_str());
    for (const auto& request :
         {entry_harness::chat(), get("/v1/books/status/7")})
    {
        const auto answer = entry.fetch(request);
        expect(answer, 503, "no_backend_server", "not_run");
        CHECK_FALSE(find_header(answer->headers, "Retry-After").empty());
    }
    LONGS_EQUAL(0, entry.backend_requests.size());
    STRCMP_CONTAINS("{\"failure_domain\":\"sul-a\",\"since_ms\":1234}",
                    entry.fetch(get("/debug/evacuations"))->body.c_str());
    STRCMP_CONTAINS("hyssopdeal_evacuated_domains 1\n",
                    entry.fetch(get("/metrics"))->body.c_str());
}

TEST(entry_service_tests, spans_of_a_stream_are_written)
{
    auto request = entry_harness::chat();
    request.headers.push_back(
        {"traceparent",
         "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"});
    CHECK_TRUE(entry.fetch(request).has_value());
    std::string written;
    CHECK_TRUE(run_until(entry.loop, [&] {
        written = read_file(entry.trace_file);
        return written.find("\"entry\"") != std::string::npos;
    }));
    for (const char* part :
         {"\"name\":\"queue\"", "\"name\":\"attempt\"",
          "\"traceId\":\"0af7651916cd43dd8448eb211c80319c\"",
          "\"parentSpanId\":\"b7ad6b7169203331\",\"name\":\"entry\""})
    {
        STRCMP_CONTAINS(part, written.c_str());
    }
}

TEST(entry_service_tests, guarded_route_needs_a_key_and_a_ledger)
{
    http_request request{"POST",
                         "/v1/books/payments",
                         {{"Authorization", "Bearer vale-key"}},
                         "{}"};
    expect(entry.fetch(request), 400, "bad_request", "not_run");
    request.headers.push_back({"Idempotency-Key", "k-1"});
    expect(entry.fetch(request), 503, "no_quorum", "not_run");
    LONGS_EQUAL(0, entry.backend_requests.size());
}

TEST(entry_service_tests, more_callers_than_files_are_refused_at_the_start)
{
    hyssopdeal::coordination::entry_settings settings;
    settings.max_connections = 1'000'000'000;
    hyssopdeal::coordination::entry_process process{settings, entry.clock};
    const auto started = process.start();
    CHECK_FALSE(started.has_value());
    CHECK(started.error().code == reason::bad_settings);
}

TEST(entry_service_tests, drain_fails_readiness_and_refuses_new_work)
{
    entry.entry->drain();
    std::thread waiting{[&] { entry.entry->wait(); }};
    CHECK_TRUE(run_until(entry.loop, [&] {
        return entry.fetch(get("/readyz"))->status == 503;
    }));
    CHECK_TRUE(entry.fetch(entry_harness::chat()).has_value());
    CHECK_TRUE(run_until(entry.loop, [&] {
        const auto answer = entry.fetch(get("/v1/books/status/7"));
        return !answer || answer->status == 503;
    }));
    waiting.join();
}
