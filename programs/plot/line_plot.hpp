#ifndef HYSSOPDEAL_PROGRAMS_PLOT_LINE_PLOT_HPP
#define HYSSOPDEAL_PROGRAMS_PLOT_LINE_PLOT_HPP

/// @file
/// Lines over an axis as a picture (SVG).
///
/// Index: [plot_line] [drawing]

#include <string>
#include <string_view>
#include <vector>

namespace hyssopdeal::plot
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
[[nodiscard]] std::string line_plot(std::string_view title,
                                    std::string_view x_name,
                                    std::string_view y_name,
                                    const std::vector<plot_line>& lines);

} // namespace hyssopdeal::plot

#endif
