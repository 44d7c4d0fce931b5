#ifndef HYSSOPDEAL_TESTS_MATRIX_TABLE_HPP
#define HYSSOPDEAL_TESTS_MATRIX_TABLE_HPP

/// @file
/// All cells of the fault matrix, their counts, and the breaks that the checks
/// must find.
///
/// Index: [table_options] [table] [breaks]

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "matrix_session.hpp"

namespace hyssopdeal::tests
{

// [table_options] ------------------------------------------------------------

/// Whether cells with a second fault are run.
enum class pair_choice : std::uint8_t
{
    none,
    sample,    ///< One second fault for each first one.
    neighbours ///< Every second fault at some of the steps that follow.
};

/// Which cells are run.
struct table_options
{
    pair_choice pairs = pair_choice::none;
    std::uint64_t seed = 1;
};

// [table] --------------------------------------------------------------------

/// Runs of one session under one fault, over all steps.
struct fault_row
{
    matrix_fault fault = matrix_fault::none;
    std::uint64_t singles = 0;
    std::uint64_t pairs = 0;
    std::uint64_t broken = 0; ///< Runs in which a promise was broken.
};

/// Runs of one session.
struct session_table
{
    std::string_view session;
    std::string_view promise;
    std::uint64_t steps = 0; ///< Without a fault.
    std::vector<fault_row> rows;
    std::vector<std::string> failures; ///< How to see each broken cell.
};

/// Runs all cells of a session.
[[nodiscard]] session_table run_table(const session_kind& session,
                                      const table_options& options);

/// Runs all sessions, prints the tables and writes them as Markdown.
///
/// @param file Written; empty: only printed.
/// @return Whether every promise was kept.
[[nodiscard]] bool report_table(const table_options& options,
                                const std::string& file);

// [breaks] -------------------------------------------------------------------

/// A break and the session whose checks must find it.
struct known_break
{
    matrix_break kind = matrix_break::none;
    std::string_view session;
    fault_plan first_try{}; ///< A cell that shows it.
};

/// @return All deliberate breaks.
[[nodiscard]] const std::vector<known_break>& all_breaks();

/// Runs the cells of a break's session until one shows it.
///
/// @return How to see it; empty: it was not found.
[[nodiscard]] std::string find_break(const known_break& broken);

/// Looks for all breaks and prints where each was found.
///
/// @return Whether all were found.
[[nodiscard]] bool report_breaks();

} // namespace hyssopdeal::tests

#endif
