#ifndef HYSSOPDEAL_PROGRAMS_LOAD_SVG_PLOT_HPP
#define HYSSOPDEAL_PROGRAMS_LOAD_SVG_PLOT_HPP

/// @file
/// Draws results as SVG pictures.
///
/// Index: [plots]

#include <string>
#include <string_view>
#include <vector>

#include "load/report.hpp"

namespace hyssopdeal::load
{

// [plots] --------------------------------------------------------------------

/// @return First-token latency at p95 by time, a line for each class.
[[nodiscard]] std::string latency_plot(const scenario& plan,
                                       const run_results& results);

/// @return Share of the streams by time, a line for each version.
[[nodiscard]] std::string version_plot(const run_results& results);

/// @return Tokens prefilled again by time.
[[nodiscard]] std::string repeated_plot(const run_results& results);

} // namespace hyssopdeal::load

#endif
