#ifndef HYSSOPDEAL_PROGRAMS_LOAD_OPTIONS_HPP
#define HYSSOPDEAL_PROGRAMS_LOAD_OPTIONS_HPP

/// @file
/// Command line of hyssop-load.
///
/// Index: [load_options] [reading]

#include <cstdint>
#include <optional>
#include <string>

#include "load/call.hpp"
#include "load/runner.hpp"

namespace hyssopdeal::load
{

// [load_options] -------------------------------------------------------------

/// What hyssop-load is to do.
enum class load_command : std::uint8_t
{
    run,    ///< A scenario.
    check,  ///< Only read the scenario.
    ask,    ///< One streamed question, its text printed as it comes.
    compare ///< Two result files.
};

/// Exit status of hyssop-load.
enum class load_exit : int
{
    done = 0,     ///< Run to its end, every promise kept.
    broken = 1,   ///< A promise was broken, or the answer is not whole.
    bad_usage = 2 ///< Bad command line or file.
};

/// What the command line says.
struct load_options
{
    load_command command = load_command::run;
    std::string input_file; ///< Scenario, or the body of --ask.
    run_targets targets;
    std::string json_file;  ///< Results; empty: none.
    std::string csv_file;   ///< Calls; empty: none.
    std::string svg_prefix; ///< Pictures PREFIX-latency.svg ...; empty: none.
    std::string old_file;   ///< To compare.
    std::string new_file;   ///< To compare.
    std::optional<std::uint64_t> seed; ///< In place of the scenario's.
    std::optional<double> rate;        ///< In place of the scenario's.
    std::optional<std::chrono::seconds> duration; ///< In place of its own.
    call_plan question;                           ///< For load_command::ask.
};

// [reading] ------------------------------------------------------------------

/// Reads the command line.
///
/// @param end Set when the program is to end at once.
[[nodiscard]] load_options read_options(int argc, char** argv,
                                        std::optional<load_exit>& end);

} // namespace hyssopdeal::load

#endif
