/// @file
/// Every session under a second fault while the first one is noticed and
/// repaired: one second fault for each step and first fault. The program
/// hyssop_fault_matrix --all --pairs runs the others.

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include "matrix_table.hpp"

using namespace hyssopdeal::tests;

TEST_GROUP(fault_matrix_pairs){};

TEST(fault_matrix_pairs, second_faults_keep_every_promise)
{
    table_options options;
    options.pairs = pair_choice::sample;
    for (const auto& session : all_sessions())
    {
        const auto failures = run_table(session, options).failures;
        STRCMP_EQUAL("", fmt::format("{}", fmt::join(failures, "\n")).c_str());
    }
}
