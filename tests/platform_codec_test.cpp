/// @file
/// The platform's formats, good and bad: platform/.

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

#include <hyssopdeal/protocol/follow_messages.hpp>

#include "platform/counterpart.hpp"
#include "platform/documents.hpp"
#include "platform/messages.hpp"
#include "platform/settings.hpp"

using namespace hyssopdeal;
using namespace hyssopdeal::platform;
using namespace std::chrono_literals;

namespace
{

const std::string good_document = R"({"version":7,"routes":[
 {"name":"r","host":"h.example","path_prefix":"/a/","route_kind":"stream",
  "timeout_ms":15000,"target_latency_ms":1000,"priority":1,
  "traffic_split":[{"service":"s","weight":90},{"service":"t","weight":10}],
  "max_attempts":1,"auth_exempt":false,"stream_resume":true,
  "target_gap_ms":500},
 {"host":"h.example","path_prefix":"/b/","route_kind":"safe",
  "timeout_ms":500.0,"service":"t","auth_exempt":true}],
 "services":[{"name":"s","max_connections":370,
  "engine":{"slots":64,"kv_capacity_tokens":598552,"moves":true},
  "scaling":{"min":1,"max":6,"boot_time_s":4.0,"spot_price":0.18,
   "zone_prices":{"z1":1.0,"z2":0.8}}},{"name":"t"}],
 "limits":{"max_header_bytes":16384,"idle_timeout_ms":15000},
 "tenants":[{"name":"o","api_keys":["k"],"priority":1,"unit":"tokenize",
  "plain_tokens":200,"rate_per_s":147487,"burst_size":147487}],
 "news":{"of":"later"}})";

std::string replaced(std::string text, const std::string& from,
                     const std::string& to)
{
    const auto at = text.find(from);
    return at == std::string::npos ? text : text.replace(at, from.size(), to);
}

} // namespace

TEST_GROUP(platform_codec_tests){};

TEST(platform_codec_tests, document_is_decoded_into_our_types)
{
    const auto document = decode_document(good_document);
    CHECK_TRUE(document.has_value());
    CHECK_TRUE(protocol::check(*document).has_value());
    LONGS_EQUAL(7, document->version);
    const auto& route = document->routes.at(0);
    CHECK_TRUE(route.rule == protocol::repeat_rule::stream);
    CHECK_TRUE(route.resumable && route.needs_key);
    CHECK_TRUE(route.time_limit == 15s);
    LONGS_EQUAL(10, route.shares.at(1).weight);
    CHECK_FALSE(document->routes.at(1).needs_key);
    CHECK_TRUE(document->services.at(0).scaling->start_time == 4s);
    CHECK_TRUE(document->organisations.at(0).counts_tokens);
}

TEST(platform_codec_tests, spoiled_documents_are_refused_with_a_reason)
{
    const auto refused = [](const std::string& text) {
        const auto document = decode_document(text);
        return !document.has_value() && !document.error().text.empty() &&
               document.error().code == transport::reason::bad_request;
    };
    CHECK_TRUE(refused(""));
    CHECK_TRUE(refused("[]"));
    CHECK_TRUE(refused(good_document.substr(0, good_document.size() / 2)));
    CHECK_TRUE(refused(replaced(good_document, "\"version\":7", "\"v\":7")));
    CHECK_TRUE(
        refused(replaced(good_document, "\"version\":7", "\"version\":-7")));
    CHECK_TRUE(refused(replaced(good_document, "15000", "\"soon\"")));
    CHECK_TRUE(
        refused(replaced(good_document, "\"weight\":90", "\"weight\":null")));
    CHECK_TRUE(refused(replaced(good_document, "[\"k\"]", "[7]")));
    CHECK_TRUE(refused(replaced(good_document, "\"routes\":[", "\"r\":[")));
}

TEST(platform_codec_tests, spoiled_list_items_hide_no_others)
{
    const auto page = decode_list_page(
        R"({"instances":[
         {"id":"i1","service":"s","address":"10.0.0.1:80","zone":"z",
          "version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,
          "spot":true,"born":12},
         {"id":"i2","service":"s","address":"10.0.0.1:80","zone":"z",
          "state":"weird"},
         {"id":3},"junk",null,
         {"id":"i4","service":"s","address":"10.0.0.2:80","zone":"z",
          "slots":8,"state":"draining"}],"next_token":"p-50"})");
    CHECK_TRUE(page.has_value());
    LONGS_EQUAL(2, page->servers.size());
    LONGS_EQUAL(4, page->skipped);
    CHECK_TRUE(page->servers[0].reclaimable);
    LONGS_EQUAL(12, page->servers[0].born);
    CHECK_TRUE(page->servers[1].state == protocol::server_state::draining);
    STRCMP_EQUAL("p-50", page->next.c_str());
    CHECK_FALSE(decode_list_page("nothing").has_value());
    CHECK_FALSE(decode_list_page("{\"instances\":7}").has_value());
}

// Another program may write into the same list.
TEST(platform_codec_tests, odd_list_item_hides_no_others)
{
    const auto item = [](std::string_view id, std::string_view more) {
        return fmt::format(R"({{"id":"{}","service":"s","zone":"z",)"
                           R"("state":"ready",{}}})",
                           id, more);
    };
    const std::string address = R"("address":"10.0.0.1:80")";
    constexpr std::size_t levels = 200'000;
    const std::string deep =
        std::string(levels, '[') + std::string(levels, ']');
    const std::vector<std::string> odd = {
        item("odd", address + R"(,"other":1e999)"),
        item("odd", address + R"(,"leaves_ms":1e999)"),
        item("odd", address + R"(,"leaves_ms":1e300)"),
        item("odd", address + R"(,"cold_remaining_ms":-1e300)"),
        item("odd", address + R"(,"born":1e300)"),
        item("odd", address + R"(,"slots":4294967297)"),
        item("odd", address + R"(,"slots":99999999999999999999)"),
        item("odd", address + R"(,"slots":-1)"),
        item("odd", R"("address":"10.0.0.1:99999")"),
        item("odd", R"("address":"10.0.0.1:0")"),
        item("odd", R"("address":"10.0.0.1:")"),
        item("odd", R"("address":"some.host:80")"),
        item("odd", address + R"(,"other":)" + deep),
        item("odd\xff", address),
        item("odd\n", address),
        item("odd", address + ","),
        deep,
        "1e999",
        "nothing",
        ""};
    for (const auto& text : odd)
    {
        const auto page = decode_list_page(
            fmt::format(R"({{"other":[[1,"]"],{{"instances":[7]}}],)"
                        R"("instances":[{},{},{}],"next_token":"p-50"}})",
                        item("i1", address + R"(,"note":"\"],[{")"), text,
                        item("i2", address)));
        CHECK_TRUE(page.has_value());
        LONGS_EQUAL(2, page->servers.size());
        STRCMP_EQUAL("i1", page->servers[0].id.c_str());
        STRCMP_EQUAL("i2", page->servers[1].id.c_str());
        LONGS_EQUAL(1, page->skipped);
        STRCMP_EQUAL("p-50", page->next.c_str());
    }
    CHECK_TRUE(decode_list_page(R"({"instances":[]})")->servers.empty());
    CHECK_FALSE(decode_list_page(R"({"instances":[{"id":"i1"})").has_value());
    CHECK_FALSE(decode_list_page(R"({"instances":[]}])").has_value());
}

TEST(platform_codec_tests, numbers_out_of_range_are_refused_in_documents)
{
    const auto refused = [](const char* from, const char* to) {
        return !decode_document(replaced(good_document, from, to)).has_value();
    };
    CHECK_TRUE(refused("15000", "1e300"));
    CHECK_TRUE(refused("15000", "1e999"));
    CHECK_TRUE(refused("\"weight\":90", "\"weight\":4294967386"));
    CHECK_TRUE(refused("\"version\":7", "\"version\":1e300"));
}

// Guards against terms of cold servers that allow any rate or none.
TEST(platform_codec_tests, terms_of_cold_servers_are_read_and_checked)
{
    const auto decode = [](const std::string& terms) {
        return decode_document(fmt::format(R"({{"version":1,"routes":[],)"
                                           R"("services":[{{"name":"s"{}}}]}})",
                                           terms));
    };
    const auto cold =
        decode(R"(,"cold_start_s":8.25,"cold_per_s":14.5)")->services.at(0);
    CHECK_TRUE(cold.cold_start == 8'250ms);
    DOUBLES_EQUAL(14.5, cold.cold_per_s, 0);
    const auto never = decode("")->services.at(0);
    CHECK_TRUE(never.cold_start == 0ms);
    DOUBLES_EQUAL(0, never.cold_per_s, 0);
    for (const char* value :
         {"-1", "-0.5", "1e999", "\"8\"", "[8]", "{}", "true"})
    {
        for (const char* name : {"cold_start_s", "cold_per_s"})
        {
            const auto refused =
                decode(fmt::format(R"(,"{}":{})", name, value));
            CHECK_FALSE(refused.has_value());
            CHECK_TRUE(refused.error().code == transport::reason::bad_request);
        }
    }
    STRCMP_CONTAINS("cold_per_s",
                    decode(R"(,"cold_per_s":-1)").error().text.c_str());
    STRCMP_CONTAINS("cold_start_s",
                    decode(R"(,"cold_start_s":-1)").error().text.c_str());
    STRCMP_EQUAL("250",
                 platform_dialect::parse_response(200, {{"x-cold-ms", "250"}})
                     .cold_time.c_str());
}

TEST(platform_codec_tests, callers_cannot_set_what_is_the_systems_to_set)
{
    transport::http_request original{
        "POST",
        "/a/b?c",
        {{"Host", "h"},
         {"X-Attempt-Id", "id"},
         {"Authorization", "Bearer k"},
         {"X-Tenant", "other"},
         {"x-hold", "1"},
         {"X-Pin-Ms", "1"},
         {"X-Kv-Backup", "1"},
         {"Kv-From", "1"},
         {"Connection", "keep-alive, X-Hop"},
         {"X-Hop", "1"},
         {"X-Token-Counts", "1460,80"},
         {"X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410"},
         {"X-Deadline-Ms", "9000"}},
        "body"};
    const auto terms = platform_dialect::parse_request(original);
    STRCMP_EQUAL("k", terms.key.c_str());
    LONGS_EQUAL(1460, terms.size.prompt_tokens);
    LONGS_EQUAL(0x91bd3f06, terms.size.parts.at(1).id);
    CHECK_TRUE(*terms.time_limit == 9s);
    const auto sent =
        platform_dialect::make_request(original, {"o", "i1", 800ms, 0, "", ""});
    const auto header = [&](const char* name) {
        return std::string{transport::find_header(sent.headers, name)};
    };
    STRCMP_EQUAL("o", header("X-Tenant").c_str());
    STRCMP_EQUAL("800", header("X-Deadline-Ms").c_str());
    STRCMP_EQUAL("i1", header("X-Expected-Instance").c_str());
    STRCMP_EQUAL("1460,80", header("X-Token-Counts").c_str());
    for (const auto* name : {"Authorization", "X-Hold", "X-Pin-Ms",
                             "X-Kv-Backup", "Kv-From", "X-Hop", "Connection"})
    {
        STRCMP_EQUAL("", header(name).c_str());
    }
    // The flow sends the caller's own body; held_bytes_test checks it whole.
    STRCMP_EQUAL("", sent.body.c_str());
}

TEST(platform_codec_tests, bad_numbers_in_headers_are_left_out)
{
    const auto terms =
        platform_dialect::parse_request({"GET",
                                         "/",
                                         {{"X-Token-Counts", "many"},
                                          {"X-Prompt-Prefix", "12:5,zz:1,13:2"},
                                          {"X-Deadline-Ms", "soon"}},
                                         ""});
    CHECK_FALSE(terms.has_token_counts);
    LONGS_EQUAL(1, terms.size.parts.size());
    CHECK_FALSE(terms.time_limit.has_value());
}

TEST(platform_codec_tests, settings_name_what_is_wrong)
{
    const std::string good = "node_name: n\nip: 10.0.0.1\nzone: z\n"
                             "listen: {front: '10.0.0.1:81'}\n"
                             "internal_ports: [7600, 7615]\n"
                             "seeds: ['10.0.0.2:90']\nnew_field: {a: 1}\n"
                             "data_dir: null\nlimits: {max_fds: 4100}\n"
                             "bounds: {revoke_ms: 4000, grace_s: 2.5}\n";
    const auto settings = read_settings(good);
    CHECK_TRUE(settings.has_value());
    CHECK_TRUE(settings->grace == 2'500ms);
    STRCMP_EQUAL("10.0.0.2:7600", seed_hubs(*settings).at(0).c_str());
    const auto entry = entry_settings(*settings);
    LONGS_EQUAL(81, entry.callers_port);
    CHECK_TRUE(entry.keys_valid_for == 3s);
    CHECK(entry.max_connections < 4'100 - 200);
    const auto error = [&](const std::string& from, const std::string& to) {
        const auto read = read_settings(replaced(good, from, to));
        return read ? std::string{} : read.error().text;
    };
    STRCMP_CONTAINS("node_name", error("node_name: n", "other: n").c_str());
    STRCMP_CONTAINS("limits.max_fds", error("4100", "many").c_str());
    CHECK_TRUE(settings->known_domains.empty());
    const std::set<std::string> zones{"a", "b"};
    CHECK_TRUE(
        read_settings(good + "zones: {a: {x: 1}, b: }\n")->known_domains ==
        zones);
    STRCMP_CONTAINS("zones", error("new_field", "zones: 5\nnew_field").c_str());
    STRCMP_CONTAINS("internal_ports", error("[7600, 7615]", "[a, b]").c_str());
    CHECK_FALSE(read_settings("{").has_value());
    CHECK_FALSE(read_settings("").has_value());
}

TEST(platform_codec_tests, moves_of_running_streams_are_spoken)
{
    const auto move = platform_dialect::make_move("a7", "10.0.0.2:80");
    STRCMP_EQUAL("/api/kv-move", move.target.c_str());
    STRCMP_EQUAL(R"({"id":"a7","last":true,"target":"10.0.0.2:80"})",
                 move.body.c_str());
    const auto copied = platform_dialect::parse_move_result(
        "10.0.0.1:80", 200, R"({"handle":"h3","made":5})");
    STRCMP_EQUAL("10.0.0.1:80/h3", copied.moved_run.c_str());
    CHECK_TRUE(copied.copied);
    const auto stopped = platform_dialect::parse_move_result(
        "10.0.0.1:80", 503, R"({"handle":"h3"})");
    STRCMP_EQUAL("10.0.0.1:80/h3", stopped.moved_run.c_str());
    CHECK_FALSE(stopped.copied);
    // Nothing was stopped.
    for (const auto& [status, body] :
         std::vector<std::pair<int, std::string>>{{503, "{}"},
                                                  {404, R"({"handle":"h"})"},
                                                  {200, "no json"},
                                                  {200, "[]"}})
    {
        const auto read =
            platform_dialect::parse_move_result("10.0.0.1:80", status, body);
        STRCMP_EQUAL("", read.moved_run.c_str());
    }
    const auto request = platform_dialect::make_request(
        {}, {"", "i2", 800ms, 0, "5", copied.moved_run});
    STRCMP_EQUAL("10.0.0.1:80/h3",
                 std::string{transport::find_header(request.headers, "Kv-From")}
                     .c_str());
}

TEST(platform_codec_tests, list_tells_when_a_server_ends)
{
    const auto page = decode_list_page(
        R"({"instances":[{"id":"a","service":"s","address":"10.0.0.1:80",
        "zone":"z","state":"draining","spot":true,"leaves_ms":1800},
        {"id":"b","service":"s","address":"10.0.0.2:80","zone":"z",
        "state":"ready"}],"next_token":null})");
    CHECK_TRUE(page.has_value());
    LONGS_EQUAL(1'800, page->servers[0].leaves_ms);
    LONGS_EQUAL(-1, page->servers[1].leaves_ms);
    // The time runs down by itself: it makes no new list.
    auto later = page->servers;
    later[0].leaves_ms = 900;
    CHECK_TRUE(protocol::digest_of(page->servers) ==
               protocol::digest_of(later));
}

TEST(platform_codec_tests, servers_that_run_prompts_are_asked_whether_they_live)
{
    using platform::platform_dialect;
    protocol::document_service service;
    CHECK_FALSE(platform_dialect::make_liveness_check(service).has_value());
    service.engine = protocol::engine_terms{8, 1'000, false};
    const auto check = platform_dialect::make_liveness_check(service);
    STRCMP_EQUAL("/api/report", check.value().target.c_str());
    const auto parse = [](int status, const char* body) {
        return platform_dialect::parse_liveness(status, body, "id1");
    };
    LONGS_EQUAL(7, parse(200, R"({"born":7})").value().started);
    for (const auto* odd :
         {"", "[]", "{}", R"({"born":"7"})", R"({"born":-1})"})
    {
        CHECK_FALSE(parse(200, odd).has_value());
    }
    for (const int status : {204, 404, 503})
    {
        CHECK_FALSE(parse(status, R"({"born":7})").has_value());
    }
    const auto runs = [&](const std::string& list) {
        return parse(200, (R"({"born":7,"runs":)" + list + "}").c_str())
            .value()
            .runs_attempt;
    };
    CHECK_TRUE(runs(R"([["id0",1,1,5],["id1",40,3,5]])"));
    for (const auto* list : {"[]", "{}", "7", "[[]]", R"([[7,1]])",
                             R"(["id1"])", R"([["id0",1,1,5]])"})
    {
        CHECK_FALSE(runs(list));
    }
}

TEST(platform_codec_tests, stated_loads_and_length_hints_are_read)
{
    const auto hint = [](const char* text) {
        return platform_dialect::parse_request(
                   {"GET", "/", {{"X-Length-Hint", text}}, ""})
            .size.kind.length_hint;
    };
    LONGS_EQUAL(80, hint("80").value_or(0));
    CHECK_FALSE(hint("-1").has_value());
    CHECK_FALSE(hint("80 tokens").has_value());
    CHECK_FALSE(hint("").has_value());
    STRCMP_EQUAL("3,1,8,250", platform_dialect::parse_response(
                                  200, {{"X-Server-Load", "3,1,8,250"}})
                                  .server_load.c_str());
}

TEST(platform_codec_tests, brittle_servers_are_told_from_others)
{
    using platform::platform_dialect;
    STRCMP_EQUAL("3", platform_dialect::parse_response(
                          503, {platform::brittle_header(3)})
                          .withstood_rejections.c_str());
    STRCMP_EQUAL(
        "",
        platform_dialect::parse_response(503, {}).withstood_rejections.c_str());
}

// Guards against a key of an organisation in the log line of a document that
// was refused.
TEST(platform_codec_tests, problem_of_a_document_quotes_none_of_it)
{
    const auto read = platform::decode_document(
        R"({"version":1,"tenants":[{"name":"a","api_keys":["secret-key)");
    CHECK_FALSE(read.has_value());
    CHECK_TRUE(read.error().text.find("line 1") != std::string::npos);
    CHECK_TRUE(read.error().text.find("secret") == std::string::npos);
}
