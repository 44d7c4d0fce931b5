/// @file
/// Every session under every single fault at every step, with one second fault
/// for each; and every deliberate break must be found by some cell.

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include "matrix_table.hpp"

using namespace hyssopdeal::tests;

namespace
{

std::string failures_of(const session_kind& session, pair_choice pairs)
{
    table_options options;
    options.pairs = pairs;
    return fmt::format("{}",
                       fmt::join(run_table(session, options).failures, "\n"));
}

} // namespace

TEST_GROUP(fault_matrix){};

TEST(fault_matrix, single_faults_keep_every_promise)
{
    for (const auto& session : all_sessions())
    {
        STRCMP_EQUAL("", failures_of(session, pair_choice::none).c_str());
    }
}

TEST(fault_matrix, same_cell_gives_the_same_trace)
{
    for (const auto& session : all_sessions())
    {
        const fault_plan plan{7, {3, matrix_fault::crash_after}, {}};
        CHECK(run_cell(session, plan).trace == run_cell(session, plan).trace);
    }
}

TEST(fault_matrix, every_break_is_found)
{
    for (const auto& broken : all_breaks())
    {
        CHECK_TEXT(!find_break(broken).empty(), to_string(broken.kind).data());
    }
}
