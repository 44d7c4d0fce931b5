/// @file
/// Tests of hyssopctl's commands against a small operators' API.

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <string>

#include <unistd.h>

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include "ctl/analyze.hpp"
#include "ctl/commands.hpp"
#include "ctl/explain.hpp"
#include "ctl/json_table.hpp"
#include "ctl/move_commands.hpp"
#include "ctl/text_diff.hpp"
#include "ctl/trace_view.hpp"
#include "fake_control.hpp"

using namespace std::chrono_literals;
using namespace hyssopdeal;
using ctl::exit_code;

TEST_GROUP(hyssopctl)
{
    tests::fake_control control;
    transport::system_clock clock;
    ctl::command_output output;
    std::string path = fmt::format(
        "{}/hyssopctl_test.{}.json",
        std::filesystem::temp_directory_path().string(), ::getpid());

    void teardown() override
    {
        std::filesystem::remove(path);
    }

    ctl::ctl_options options(std::vector<std::string> words)
    {
        ctl::ctl_options result;
        result.words = std::move(words);
        result.settings.control = {control.address()};
        result.token = "t0ken";
        result.time_limit = 3s;
        return result;
    }

    exit_code run(const ctl::ctl_options& with)
    {
        output = {};
        return ctl::run_command(with, clock, output);
    }

    exit_code run(std::vector<std::string> words)
    {
        return run(options(std::move(words)));
    }

    void write_contract(int rate)
    {
        std::ofstream(path) << "// a comment\n{\"organisation\":\"pomar\","
                               "\"requests_per_second\":"
                            << rate << "}";
    }
};

TEST(hyssopctl, applies_once_and_finds_an_unchanged_file)
{
    write_contract(10);
    CHECK(run({"contract", "apply", path}) == exit_code::done);
    CHECK(run({"contract", "apply", path}) == exit_code::done);
    STRCMP_CONTAINS("unchanged", output.text.c_str());
    LONGS_EQUAL(1, control.writes());
}

TEST(hyssopctl, shows_what_apply_would_change)
{
    write_contract(10);
    CHECK(run({"contract", "apply", path}) == exit_code::done);
    CHECK(run({"contract", "diff", path}) == exit_code::done);
    write_contract(20);
    CHECK(run({"contract", "diff", path}) == exit_code::differs);
    STRCMP_CONTAINS("-   \"requests_per_second\": 10.0", output.text.c_str());
    STRCMP_CONTAINS("+   \"requests_per_second\": 20.0", output.text.c_str());
    LONGS_EQUAL(1, control.writes());
}

// Guards against an order that needs the record's revision, and against one
// that is reported as in force although an entry has not applied it.
TEST(hyssopctl, orders_and_withdraws_an_evacuation)
{
    CHECK(run({"evacuation", "begin", "sul-a"}) == exit_code::done);
    STRCMP_CONTAINS("evacuation of sul-a: accepted", output.text.c_str());
    CHECK(run({"evacuation", "begin", "sul-a"}) == exit_code::done);
    auto with = options({"evacuation", "end", "sul-a"});
    with.wait = 1s;
    control.set_applied(0);
    CHECK(run(with) == exit_code::not_everywhere);
    STRCMP_CONTAINS("entry-1", output.errors.c_str());
    control.overwrite("/v1/evacuations", R"({"evacuations":[)"
                                         R"({"failure_domain":"sul-b",)"
                                         R"("since_ms":5}]})");
    CHECK(run({"evacuation", "list"}) == exit_code::done);
    STRCMP_CONTAINS("sul-b", output.text.c_str());
    CHECK(run({"evacuation", "begin"}) == exit_code::bad_usage);
    CHECK(run({"evacuation", "stop", "sul-a"}) == exit_code::bad_usage);
}

TEST(hyssopctl, loses_the_race_and_prints_the_winner)
{
    write_contract(10);
    CHECK(run({"contract", "apply", path}) == exit_code::done);
    control.overwrite("/v1/contracts/pomar",
                      R"({"organisation":"pomar","retry_ratio":0.5})");
    auto late = options({"contract", "apply", path});
    late.expected = 1;
    CHECK(run(late) == exit_code::conflict);
    STRCMP_CONTAINS("0.5", output.text.c_str());
}

TEST(hyssopctl, sends_a_lost_order_again_under_its_id)
{
    write_contract(10);
    control.lose_answers(2);
    CHECK(run({"contract", "apply", path}) == exit_code::done);
    LONGS_EQUAL(1, control.writes());
}

TEST(hyssopctl, says_when_an_order_may_have_run)
{
    write_contract(10);
    control.lose_answers(1'000);
    auto with = options({"contract", "apply", path});
    with.time_limit = 1s;
    CHECK(run(with) == exit_code::may_have_run);
    STRCMP_CONTAINS("--order-id", output.errors.c_str());
}

TEST(hyssopctl, follows_the_leader)
{
    write_contract(10);
    tests::fake_control other;
    auto with = options({"contract", "apply", path});
    with.settings.control = {other.address()};
    other.set_leader(control.address());
    CHECK(run(with) == exit_code::done);
    LONGS_EQUAL(1, control.writes());
}

TEST(hyssopctl, tells_that_nothing_ran_when_nobody_listens)
{
    write_contract(10);
    auto with = options({"contract", "apply", path});
    with.settings.control = {"127.0.0.1:1"};
    with.time_limit = 1s;
    CHECK(run(with) == exit_code::unreachable);
    STRCMP_CONTAINS("not_run", output.errors.c_str());
}

TEST(hyssopctl, waits_until_in_force_and_names_who_is_missing)
{
    write_contract(10);
    auto with = options({"contract", "apply", path});
    with.wait = 1s;
    control.set_applied(0);
    CHECK(run(with) == exit_code::not_everywhere);
    STRCMP_CONTAINS("entry-1 (alive, applied 0)", output.errors.c_str());
    write_contract(20);
    control.set_applied(2);
    CHECK(run(with) == exit_code::done);
    STRCMP_CONTAINS("in force on all 1", output.text.c_str());
}

TEST(hyssopctl, keeps_a_moved_services_shares)
{
    const std::string server =
        R"("servers":[{"name":"e","address":"127.0.0.1:1",)"
        R"("failure_domain":"d","version":"v1"},{"name":"f",)"
        R"("address":"127.0.0.1:2","failure_domain":"d","version":"v2"}],)";
    std::ofstream(path) << "{\"name\":\"llm\"," << server
                        << "\"shares\":[{\"version\":\"v1\",\"share\":1}]}";
    CHECK(run({"service", "apply", path}) == exit_code::done);
    control.overwrite("/v1/services/llm",
                      "{\"name\":\"llm\"," + server +
                          "\"shares\":[{\"version\":\"v2\",\"share\":1}]}");
    CHECK(run({"service", "apply", path}) == exit_code::done);
    STRCMP_CONTAINS("unchanged", output.text.c_str());
}

TEST(hyssopctl, bad_file_is_named_and_sends_nothing)
{
    std::ofstream(path) << "{\"organisation\":\"pomar\",\n\"burst\":1}";
    CHECK(run({"contract", "apply", path}) == exit_code::bad_usage);
    STRCMP_CONTAINS(":2: burst: found an unknown key", output.errors.c_str());
    LONGS_EQUAL(0, control.writes());
}

TEST(hyssopctl, refuses_unknown_words)
{
    CHECK(run({"contract", "aply", "x"}) == exit_code::bad_usage);
    CHECK(run({"contract", "apply"}) == exit_code::bad_usage);
    CHECK(run({"inspect", "all"}) == exit_code::bad_usage);
    CHECK(run({"restart"}) == exit_code::bad_usage);
}

TEST(hyssopctl, move_status_ends_by_phase)
{
    control.overwrite("/v1/moves/llm",
                      R"({"service":"llm","phase":"taken_back"})");
    auto with = options({"move", "status", "llm"});
    with.wait = 1s;
    CHECK(run(with) == exit_code::ended_without_move);
    control.overwrite("/v1/moves/llm", R"({"service":"llm","phase":"done"})");
    CHECK(run(with) == exit_code::done);
}

TEST_GROUP(hyssopctl_text){};

TEST(hyssopctl_text, reads_times)
{
    const transport::wall_time now{1'000'000ms};
    CHECK(*ctl::parse_time("+90", now) == now + 90s);
    CHECK(ctl::parse_time("2026-05-01T18:00:00Z", now)->time_since_epoch() ==
          1'777'658'400s);
    CHECK_FALSE(ctl::parse_time("tomorrow", now).has_value());
    CHECK_FALSE(ctl::parse_time("+x", now).has_value());
    CHECK_FALSE(ctl::parse_time("2026-05-01T18:00:00Zx", now).has_value());
}

TEST(hyssopctl_text, diff_is_empty_for_equal_texts)
{
    STRCMP_EQUAL("", ctl::text_diff("a\nb\n", "a\nb\n").c_str());
    STRCMP_EQUAL("  b\n- c\n+ d\n", ctl::text_diff("b\nc\n", "b\nd\n").c_str());
    STRCMP_EQUAL("+ a\n", ctl::text_diff("", "a\n").c_str());
}

TEST(hyssopctl_text, table_takes_lists_of_objects)
{
    STRCMP_EQUAL(
        "name  n  \na     1  \nbb    -  \n",
        ctl::json_table(R"({"rows":[{"name":"a","n":1},{"name":"bb"}]})")
            .c_str());
    STRCMP_EQUAL("none\n", ctl::json_table(R"({"rows":[]})").c_str());
    STRCMP_EQUAL("not json\n", ctl::json_table("not json").c_str());
}

TEST(hyssopctl_text, waterfall_puts_children_below_parents)
{
    const std::string line =
        R"({"resourceSpans":[{"resource":{"attributes":[{"key":)"
        R"("service.name","value":{"stringValue":"entry"}}]},"scopeSpans":)"
        R"([{"spans":[{"traceId":"t","spanId":"2","parentSpanId":"1",)"
        R"("name":"attempt","startTimeUnixNano":"1500000",)"
        R"("endTimeUnixNano":"2000000"},{"traceId":"t","spanId":"1",)"
        R"("name":"request","startTimeUnixNano":"1000000",)"
        R"("endTimeUnixNano":"3000000"}]}]}]})";
    const auto drawn = ctl::draw_trace("garbage\n" + line + "\n", "");
    CHECK(drawn.has_value());
    STRCMP_CONTAINS("trace t  2 spans  2.000 ms", drawn->c_str());
    CHECK(drawn->find("\nrequest") < drawn->find("\n  attempt"));
    CHECK_FALSE(ctl::draw_trace(line, "other").has_value());
}

TEST(hyssopctl, explains_a_request_from_the_logs_of_all_instances)
{
    const std::string entry =
        R"({"at_ms":9000,"instance":"e0","event":"control.lost","document":3})"
        "\ngarbage\n"
        R"({"at_ms":12000,"instance":"e0","event":"attempt.failed","request":"r1","server":"s1","status":500})"
        "\n"
        R"({"at_ms":12050,"instance":"e0","event":"request.ended","request":"r1","outcome":"served"})"
        "\n"
        R"({"at_ms":12051,"instance":"e0","event":"request.ended","request":"r2","outcome":"served"})";
    const std::string replica =
        R"({"at_ms":1000,"instance":"c0","event":"leadership.changed","term":1})"
        "\n"
        R"({"at_ms":11000,"instance":"c0","event":"leadership.changed","term":2})"
        "\n"
        R"({"at_ms":11500,"instance":"c0","event":"list.changed","servers":4})";
    const auto told = ctl::explain_request("r1", {entry, replica});
    CHECK_TRUE(told.has_value());
    std::vector<std::size_t> places;
    for (const char* part :
         {"control.lost", "term=2", "server=s1 status=500", "outcome=served"})
    {
        places.push_back(told->find(part));
    }
    CHECK_TRUE(std::is_sorted(places.begin(), places.end()));
    CHECK_TRUE(places.back() != std::string::npos);
    for (const char* part : {"term=1", "list.changed", "r2", "garbage"})
    {
        CHECK_TRUE(told->find(part) == std::string::npos);
    }
    CHECK_FALSE(ctl::explain_request("r3", {entry}).has_value());
    CHECK_TRUE(run({"explain", "r1"}) == exit_code::bad_usage);
    CHECK_TRUE(run({"explain", "r1", "/no/such/file"}) == exit_code::bad_usage);
}

TEST(hyssopctl, analyzes_where_requests_were_lost)
{
    const std::string replica =
        R"({"at_ms":1000,"instance":"c0","event":"leadership.changed","term":1})"
        "\n"
        R"({"at_ms":1500,"instance":"c0","event":"list.changed","servers":5,"reclaimable":3,"leaving":1})";
    const std::string entry =
        R"({"at_ms":1100,"instance":"e0","event":"process.started","failure_domain":"a"})"
        "\n"
        R"({"at_ms":3000,"instance":"e0","event":"request.ended","outcome":"served","status":200,"route":"long","organisation":"o","timing":"in_time","predicted_ms":150,"first_event_ms":120,"largest_gap_ms":30})"
        "\nno json\n"
        R"({"at_ms":3001,"instance":"e0","event":"request.ended","outcome":"served","status":200,"route":"long","organisation":"o","timing":"late_gap","predicted_ms":110,"first_event_ms":300,"largest_gap_ms":900})"
        "\n"
        R"({"at_ms":5000,"instance":"e0","event":"request.ended","outcome":"quota","status":429,"route":"short","organisation":"o"})"
        "\n"
        R"({"at_ms":5100,"instance":"e0","event":"attempt.broken","server_state":"gone","error":"reset","next":"end"})"
        "\n"
        R"({"at_ms":5101,"instance":"e0","event":"request.ended","outcome":"attempt_broken","status":0,"route":"short","organisation":"o"})";
    const auto sums = ctl::analyze_logs({entry, replica});
    CHECK_TRUE(sums.has_value());
    LONGS_EQUAL(4, sums->all.asked);
    LONGS_EQUAL(1, sums->routes.at("long").in_time);
    LONGS_EQUAL(1, sums->routes.at("long").late);
    LONGS_EQUAL(1, sums->routes.at("long").reasons.at("late_gap"));
    LONGS_EQUAL(1, sums->seconds.at(4).refused);
    LONGS_EQUAL(1, sums->seconds.at(4).failed);
    LONGS_EQUAL(4, sums->domains.at("a").asked);
    LONGS_EQUAL(2, sums->predictions.at(1).requests);
    LONGS_EQUAL(2, sums->servers.at(0).usual);
    LONGS_EQUAL(1, sums->broken.at("gone: reset, then end"));
    STRCMP_CONTAINS("quota=1", ctl::text_of(*sums).c_str());
    LONGS_EQUAL(4, ctl::json_of(*sums)["all"]["asked"].get<int>());
    STRCMP_CONTAINS("refused", ctl::svg_of(*sums).c_str());
    CHECK_FALSE(ctl::analyze_logs({replica}).has_value());
    CHECK_TRUE(run({"analyze"}) == exit_code::bad_usage);
    CHECK_TRUE(run({"analyze", "/no/such/file"}) == exit_code::bad_usage);
}
