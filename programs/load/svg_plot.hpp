#ifndef HYSSOPDEAL_PROGRAMS_LOAD_SVG_PLOT_HPP
#define HYSSOPDEAL_PROGRAMS_LOAD_SVG_PLOT_HPP

/// @file
/// Draws results as SVG pictures.
///
/// Index: [plot_line] [drawing] [plots]

#include <string>
#include <string_view>
#include <vector>

#include "load/report.hpp"

namespace hyssopdeal::load
{

// [plot_line] ----------------------------------------------------------------

/// One point.
struct plot_point
{
    double x = 0;
    double y = 0;
};

/// One line of a picture.
struct plot_line
{
    std::string name;
    std::vector<plot_point> points; ///< By x.
};

// [drawing] ------------------------------------------------------------------

/// @return A picture with axes, scales, a legend and the lines.
[[nodiscard]] std::string svg_plot(std::string_view title,
                                   std::string_view x_name,
                                   std::string_view y_name,
                                   const std::vector<plot_line>& lines);

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
