/// @file
/// Golden files: the whole trace of each session, every message and decision
/// with its virtual time, byte for byte. HYSSOPDEAL_REWRITE_GOLDEN=1 in the
/// environment writes them anew; the difference is reviewed with the change.

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>
#include <string_view>

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include "matrix_session.hpp"

using namespace hyssopdeal::tests;

namespace
{

// A session and the faults of its golden run.
struct golden_run
{
    std::string_view name;
    std::string_view session;
    fault_plan plan;
};

const std::vector<golden_run>& golden_runs()
{
    static const std::vector<golden_run> runs = {
        {"stream", "stream", {}},
        {"stream-engine-dies",
         "stream",
         {1, {21, matrix_fault::crash_sender}, {}}},
        {"stream-entry-dies",
         "stream",
         {1, {21, matrix_fault::crash_before}, {}}},
        {"stream-gap", "stream", {1, {17, matrix_fault::lose}, {}}},
        {"reclaim", "reclaim", {}},
        {"drain", "drain", {}},
        {"contract-change", "contract-change", {}},
        {"contract-change-leader-dies",
         "contract-change",
         {1, {65, matrix_fault::crash_after}, {}}},
        {"at-most-once", "at-most-once", {}},
        {"at-most-once-answer-lost",
         "at-most-once",
         {1, {73, matrix_fault::lose}, {}}},
        {"leaving", "leaving", {}},
    };
    return runs;
}

std::string path_of(const golden_run& run)
{
    return fmt::format("{}/tests/golden/{}.txt", HYSSOPDEAL_SOURCE_DIR,
                       run.name);
}

std::string text_of(const golden_run& run)
{
    const auto result = run_cell(*find_session(run.session), run.plan);
    return fmt::format("{}\nbroken_promises={}\n",
                       fmt::join(result.trace, "\n"), result.violations.size());
}

std::string read_file(const std::string& path)
{
    std::ostringstream text;
    text << std::ifstream(path, std::ios::binary).rdbuf();
    return text.str();
}

} // namespace

TEST_GROUP(golden_files){};

TEST(golden_files, sessions_are_as_they_were)
{
    const bool rewrite = std::getenv("HYSSOPDEAL_REWRITE_GOLDEN") != nullptr;
    for (const auto& run : golden_runs())
    {
        const auto text = text_of(run);
        if (rewrite)
        {
            std::ofstream(path_of(run), std::ios::binary) << text;
        }
        STRCMP_EQUAL(read_file(path_of(run)).c_str(), text.c_str());
    }
}
