#ifndef HYSSOPDEAL_PROGRAMS_LOAD_REPORT_HPP
#define HYSSOPDEAL_PROGRAMS_LOAD_REPORT_HPP

/// @file
/// Results of a run: latency table, JSON, CSV, and the comparison of two.
///
/// Index: [engine_sample] [class_summary] [run_results] [run_report]
///        [writing] [comparing]

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <hyssopdeal/protocol/settings_reader.hpp>
#include <hyssopdeal/transport/failure.hpp>

#include "load/call.hpp"
#include "load/scenario.hpp"

namespace hyssopdeal::load
{

// [engine_sample] ------------------------------------------------------------

/// Sums over all engines that were watched, at one time.
struct engine_sample
{
    std::chrono::nanoseconds at{};      ///< Since the start of the run.
    std::uint64_t repeated_tokens = 0;  ///< Prefilled a second time.
    std::uint64_t generated_tokens = 0; ///< Made.
};

// [class_summary] ------------------------------------------------------------

/// One row of the latency table.
struct class_summary
{
    std::string name;
    std::uint64_t calls = 0;
    std::uint64_t whole = 0;
    std::uint64_t not_run = 0;
    std::uint64_t may_have_run = 0;
    std::uint64_t failed = 0;
    std::uint64_t cut_short = 0;
    std::uint64_t wrong = 0;
    std::uint64_t reconnects = 0;
    std::uint64_t tokens = 0;
    double first_p50_ms = 0; ///< Of whole answers.
    double first_p95_ms = 0;
    double first_p99_ms = 0;
    double total_p50_ms = 0;
    double total_p99_ms = 0;
};

/// Binds the members under their own names.
void describe(protocol::settings_fields& fields, class_summary& value);

// [run_results] --------------------------------------------------------------

/// Everything that a run brought.
struct run_results
{
    std::vector<call_result> calls;
    std::vector<engine_sample> engines;
    std::uint64_t purchases_checked = 0; ///< Keys looked up afterwards.
    std::uint64_t purchases_broken = 0;  ///< Run twice, or run although told
                                         ///< not_run, or not run although
                                         ///< answered.
};

// [run_report] ---------------------------------------------------------------

/// Figures of a run, as written to and read from JSON.
struct run_report
{
    std::string scenario;
    std::uint64_t seed = 0;
    double seconds = 0;
    double tokens_per_second = 0;
    std::uint64_t repeated_tokens = 0;
    std::uint64_t generated_tokens = 0;
    std::uint64_t purchases_checked = 0;
    std::uint64_t purchases_broken = 0;
    std::vector<class_summary> classes;
};

/// Binds the members under their own names.
void describe(protocol::settings_fields& fields, run_report& value);

/// Works the figures out.
[[nodiscard]] run_report summarise(const scenario& plan,
                                   const run_results& results);

/// @return Whether no promise was broken: no wrong text, no answer cut short,
/// no purchase run against what its caller was told.
[[nodiscard]] bool promises_kept(const run_report& report);

// [writing] ------------------------------------------------------------------

/// @return The latency table for people.
[[nodiscard]] std::string table_text(const run_report& report);

/// @return One line for each call, with a head line.
[[nodiscard]] std::string csv_text(const scenario& plan,
                                   const run_results& results);

// [comparing] ----------------------------------------------------------------

/// Compares two reports class by class.
///
/// @return Ratios new / old.
[[nodiscard]] std::string compare_text(const run_report& old_report,
                                       const run_report& new_report);

} // namespace hyssopdeal::load

#endif
