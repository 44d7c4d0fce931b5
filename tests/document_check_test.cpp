/// @file
/// The check of a configuration document before it is sent: what it finds, what
/// it compares, and the command's exit codes. No output may contain an API key.

#include <algorithm>
#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>

#include <fmt/format.h>
#include <sys/wait.h>
#include <unistd.h>

#include <hyssopdeal/protocol/document_check.hpp>

#include <CppUTest/TestHarness.h>

using namespace hyssopdeal::protocol;
using namespace std::chrono_literals;

namespace
{

using change = std::function<void(service_document&)>;

service_document make_document()
{
    service_document document;
    document.version = 3;
    document_route route;
    route.name = "r";
    route.host = "a.example";
    route.path_prefix = "/";
    route.time_limit = 20s; // Above the callers' idle time limit: no finding.
    route.shares = {{"s", 1}};
    document.routes = {route};
    document.services.resize(1);
    document.services[0].name = "s";
    document.organisations = {{"o", {"secret"}, {}, 10, 20, 5, true}};
    return document;
}

/// @return Findings as `severity place: text` lines; 0 is an error.
std::string findings(const change& edit)
{
    auto document = make_document();
    edit(document);
    std::string lines;
    for (const auto& found : check_document(document))
    {
        lines += fmt::format("{} {}: {}\n", static_cast<int>(found.severity),
                             found.place, found.text);
    }
    return lines;
}

std::string differences(const change& edit)
{
    auto document = make_document();
    edit(document);
    std::string lines;
    for (const auto& found : compare_documents(make_document(), document))
    {
        lines += fmt::format("{} {}: {}\n", static_cast<int>(found.kind),
                             found.place, found.text);
    }
    return lines;
}

} // namespace

// [module] -------------------------------------------------------------------

TEST_GROUP(document_check_tests){};

// Guards against a finding that stops the search for later ones.
TEST(document_check_tests, all_errors_are_found_not_only_the_first)
{
    STRCMP_EQUAL("", findings([](auto&) {}).c_str());
    const auto found = findings([](auto& d) {
        d.routes[0].shares = {{"x", 0}, {"s", 0}};
        d.routes[0].time_limit = 0ms;
        d.routes.push_back(d.routes[0]);
        d.organisations.push_back(d.organisations[0]);
        d.organisations[1].name = "p";
    });
    for (const char* text :
         {"0 Route r: service x is not declared.", "0 Route r: its weights",
          "0 Route r: its time limit", "0 Route r: another route has host",
          "0 Organisation p: one of its keys"})
    {
        STRCMP_CONTAINS(text, found.c_str());
    }
    CHECK_TRUE(found.find("secret") == std::string::npos);
}

// Guards against entries and limits that are accepted but cannot work as stated
// and pass unnoticed, or are reported beside others that have no fault.
TEST(document_check_tests, each_entry_without_effect_gives_one_finding)
{
    const std::vector<std::pair<const char*, change>> cases = {
        {"1 Route r: its host is empty",
         [](auto& d) { d.routes[0].host = ""; }},
        {"1 Route r: its host contains a port",
         [](auto& d) { d.routes[0].host = "a:80"; }},
        {"1 Route r: its prefix '/a'",
         [](auto& d) { d.routes[0].path_prefix = "/a"; }},
        {"1 Route r: its prefix ''",
         [](auto& d) { d.routes[0].path_prefix = ""; }},
        {"1 Route r: its prefix contains a question mark",
         [](auto& d) { d.routes[0].path_prefix = "/?/"; }},
        {"1 Route r: an earlier route",
         [](auto& d) {
             d.routes.push_back(d.routes[0]);
             d.routes[1].host = "A.example";
         }},
        {"1 Route r: its share of service s has weight 0",
         [](auto& d) {
             d.routes[0].shares.push_back({"s", 0});
         }},
        {"1 Route r: it needs a key", [](auto& d) { d.organisations.clear(); }},
        {"1 Route r: its target latency",
         [](auto& d) { d.routes[0].target_latency = 21s; }},
        {"1 Route r: its target gap",
         [](auto& d) { d.routes[0].target_gap = 21s; }},
        {"1 Route r: its attempts are limited to 0",
         [](auto& d) { d.routes[0].max_attempts = 0; }},
        {"1 Service t: no route uses it",
         [](auto& d) {
             d.services.resize(2);
             d.services[1].name = "t";
         }},
        {"1 Service s: an earlier service has its name",
         [](auto& d) { d.services.push_back(d.services[0]); }},
        {"1 Service s: its least number",
         [](auto& d) {
             d.services[0].scaling = {2, 1, 1s, 1, {}};
         }},
        {"1 Service s: it states how long",
         [](auto& d) { d.services[0].cold_start = 1s; }},
        {"1 Service s: it states how many",
         [](auto& d) { d.services[0].cold_per_s = 1; }},
        {"1 Organisation p: it has no keys",
         [](auto& d) {
             d.organisations.push_back({"p", {}, {}, 0, 0, 1, false});
         }},
        {"1 Organisation o: no route needs a key",
         [](auto& d) { d.routes[0].needs_key = false; }},
        {"1 Organisation o: its burst of 4 tokens is below the 5",
         [](auto& d) { d.organisations[0].burst_tokens = 4; }},
        {"1 Organisation o: it has a rate but no burst",
         [](auto& d) { d.organisations[0].burst_tokens = 0; }},
        {"1 Organisation o: it has a burst but no rate",
         [](auto& d) { d.organisations[0].tokens_per_second = 0; }},
        {"2 Limits of callers: the limit of headers",
         [](auto& d) { d.limits.max_head_bytes = 5'000'000; }}};
    for (const auto& [expected, edit] : cases)
    {
        const auto found = findings(edit);
        STRCMP_CONTAINS(expected, found.c_str());
        LONGS_EQUAL_TEXT(1, std::count(found.begin(), found.end(), '\n'),
                         found.c_str());
    }
}

// Guards against a version that replicas accept and never apply.
TEST(document_check_tests, a_change_without_a_higher_version_is_found)
{
    const auto in_force = make_document();
    auto next = in_force;
    CHECK_TRUE(check_document(next, &in_force).empty());
    next.routes[0].rank = 1;
    STRCMP_EQUAL("Version 3",
                 check_document(next, &in_force).at(0).place.c_str());
    ++next.version;
    CHECK_TRUE(check_document(next, &in_force).empty());
}

// Guards against a change that is not shown, and against keys in the output.
TEST(document_check_tests, differences_name_fields_and_only_count_keys)
{
    STRCMP_EQUAL("", differences([](auto&) {}).c_str());
    STRCMP_EQUAL("2 Version: 3 -> 4\n"
                 "1 Route r (a.example /): \n"
                 "0 Route r (b.example /): \n"
                 "2 Service s: scaling: none -> least 1, most 2, start time "
                 "1000 ms, reclaimable price 1, price in z 0.5\n"
                 "0 Service t: \n"
                 "2 Limits of callers: idle time limit: 15000 ms -> 1000 ms\n"
                 "2 Organisation o: counts tokens: true -> false\n"
                 "2 Organisation o: keys: 2 added, 1 removed\n",
                 differences([](auto& d) {
                     d.version = 4;
                     d.routes[0].host = "b.example";
                     d.services[0].scaling = {1, 2, 1s, 1, {{"z", 0.5}}};
                     d.services.insert(d.services.begin(), document_service{});
                     d.services[0].name = "t";
                     d.limits.idle_time_limit = 1s;
                     d.organisations[0].keys = {"secret2", "secret3"};
                     d.organisations[0].counts_tokens = false;
                 }).c_str());
    STRCMP_EQUAL("2 Route r (a.example /): shares: s=1 -> s=1,t=2\n",
                 differences([](auto& d) {
                     d.routes[0].shares.push_back({"t", 2});
                 }).c_str());
}

// [command] ------------------------------------------------------------------

TEST_GROUP(document_command_tests)
{
    std::filesystem::path folder =
        std::filesystem::temp_directory_path() /
        fmt::format("hyssopdeal-document-check-{}", ::getpid());
    std::string output;

    void setup() override
    {
        std::filesystem::create_directory(folder);
    }

    void teardown() override
    {
        std::filesystem::remove_all(folder);
    }

    void write(const char* name, const std::string& text) const
    {
        std::ofstream{folder / name} << text;
    }

    // Runs the real program; arguments are relative to the folder.
    int run(const std::string& arguments)
    {
        const auto command =
            fmt::format("cd {} && {}/hyssop-platform-controld {} 2>&1",
                        folder.string(), HYSSOPDEAL_BINARY_DIR, arguments);
        output.clear();
        auto* pipe = ::popen(command.c_str(), "r");
        std::array<char, 1'024> part{};
        while (std::fgets(part.data(), part.size(), pipe) != nullptr)
        {
            output += part.data();
        }
        return WEXITSTATUS(::pclose(pipe));
    }
};

// Guards against an exit code that lets a refused document pass, and against
// the parser's quote of what it read last, which may be a key.
TEST(document_command_tests, exit_codes_and_output_fit_the_documents)
{
    const std::string form =
        R"({{"version":{},"routes":[{{"name":"r","host":"a","path_prefix":"/",)"
        R"("route_kind":"safe","timeout_ms":{},"service":"s",)"
        R"("auth_exempt":true}}],"services":[{{"name":"s"}}]}})";
    write("old", fmt::format(fmt::runtime(form), 1, 500));
    write("new", fmt::format(fmt::runtime(form), 2, 600));
    write("wrong", fmt::format(fmt::runtime(form), 2, 0));
    write("broken", R"({"tenants":[{"api_keys":["k" "secret"]}]})");
    LONGS_EQUAL(0, run("--check-document new"));
    STRCMP_EQUAL("no findings\nchecked alone, without --against\n",
                 output.c_str());
    LONGS_EQUAL(0, run("--check-document new --against old"));
    STRCMP_EQUAL("no findings\nchanged: Version: 1 -> 2\n"
                 "changed: Route r (a /): time limit: 500 ms -> 600 ms\n",
                 output.c_str());
    LONGS_EQUAL(1, run("--check-document wrong --against old"));
    STRCMP_CONTAINS("error: Route r: its time limit", output.c_str());
    LONGS_EQUAL(1, run("--check-document broken"));
    STRCMP_CONTAINS("broken: [json.exception.parse_error", output.c_str());
    CHECK_TRUE(output.find("secret") == std::string::npos);
    LONGS_EQUAL(2, run("--check-document new --against broken"));
    LONGS_EQUAL(2, run("--check-document missing"));
    LONGS_EQUAL(2, run("--check-document ."));
    LONGS_EQUAL(2, run("--check-document"));
    LONGS_EQUAL(2, run("--check-document new --other old"));
}
