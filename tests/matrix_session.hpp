#ifndef HYSSOPDEAL_TESTS_MATRIX_SESSION_HPP
#define HYSSOPDEAL_TESTS_MATRIX_SESSION_HPP

/// @file
/// The sessions of the fault matrix: each plays one whole piece of work over
/// the decision modules and checks the promises at its end.
///
/// Index: [session_result] [session_kind] [sessions] [running]

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "matrix_world.hpp"

namespace hyssopdeal::tests
{

// [session_kind] -------------------------------------------------------------

/// One row of the table of sessions.
struct session_kind
{
    std::string_view name;    ///< On the command line.
    std::string_view promise; ///< What is checked, in words.

    /// Plays the session; violations are noted in the world.
    void (*play)(matrix_world& world);
};

// [sessions] -----------------------------------------------------------------

/// @return All sessions.
[[nodiscard]] const std::vector<session_kind>& all_sessions();

/// @return The session of a name, or nothing.
[[nodiscard]] const session_kind* find_session(std::string_view name);

// The sessions' own functions, each in a file of its own.
void play_stream(matrix_world& world);
void play_reclaim(matrix_world& world);
void play_drain(matrix_world& world);
void play_contract_change(matrix_world& world);
void play_at_most_once(matrix_world& world);
void play_replica_replacement(matrix_world& world);
void play_leaving(matrix_world& world);

// [running] ------------------------------------------------------------------

/// What a run brought.
struct session_result
{
    std::uint64_t steps = 0;
    std::uint64_t crashes = 0;
    std::vector<std::string> violations;
    std::vector<std::string> trace;
};

/// Plays one cell.
[[nodiscard]] session_result run_cell(const session_kind& session,
                                      const fault_plan& plan,
                                      matrix_break broken = matrix_break::none);

} // namespace hyssopdeal::tests

#endif
