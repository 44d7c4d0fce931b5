#include "plot/line_plot.hpp"

#include <algorithm>
#include <array>

#include <fmt/format.h>

namespace hyssopdeal::plot
{

namespace
{

constexpr double width = 800;
constexpr double height = 400;
constexpr double left = 70;
constexpr double right = 150;
constexpr double top = 40;
constexpr double bottom = 50;
constexpr int ticks = 5;

constexpr std::array<std::string_view, 8> colours = {
    "#1f77b4", "#d62728", "#2ca02c", "#ff7f0e",
    "#9467bd", "#8c564b", "#17becf", "#7f7f7f"};

// Maps values to places in the picture.
class axes
{
public:
    explicit axes(const std::vector<plot_line>& lines)
    {
        for (const auto& line : lines)
        {
            for (const auto& point : line.points)
            {
                most_x_ = std::max(most_x_, point.x);
                most_y_ = std::max(most_y_, point.y);
            }
        }
    }

    [[nodiscard]] double x(double value) const
    {
        return left + value / most_x_ * (width - left - right);
    }

    [[nodiscard]] double y(double value) const
    {
        return height - bottom - value / most_y_ * (height - top - bottom);
    }

    [[nodiscard]] std::string draw() const
    {
        std::string text = fmt::format(
            "<path d='M{0} {1}V{2}H{3}' fill='none' stroke='#333'/>\n", left,
            top, height - bottom, width - right);
        for (int at = 0; at <= ticks; ++at)
        {
            const double part = static_cast<double>(at) / ticks;
            text += fmt::format(
                "<text x='{:.0f}' y='{:.0f}' text-anchor='middle'>{:.4g}"
                "</text>\n<text x='{:.0f}' y='{:.0f}' text-anchor='end'>{:.4g}"
                "</text>\n",
                x(part * most_x_), height - bottom + 18, part * most_x_,
                left - 6, y(part * most_y_) + 4, part * most_y_);
        }
        return text;
    }

private:
    double most_x_ = 1e-9;
    double most_y_ = 1e-9;
};

std::string draw_line(const axes& on, const plot_line& line, std::size_t at)
{
    const auto colour = colours[at % colours.size()];
    std::string points;
    for (const auto& point : line.points)
    {
        points += fmt::format("{:.1f},{:.1f} ", on.x(point.x), on.y(point.y));
    }
    constexpr double row = 18;
    const double legend_y = top + row * static_cast<double>(at);
    return fmt::format(
        "<polyline points='{}' fill='none' stroke='{}' stroke-width='1.5'/>\n"
        "<text x='{:.0f}' y='{:.0f}' fill='{}'>{}</text>\n",
        points, colour, width - right + 10, legend_y, colour, line.name);
}

} // namespace

std::string line_plot(std::string_view title, std::string_view x_name,
                      std::string_view y_name,
                      const std::vector<plot_line>& lines)
{
    const axes on(lines);
    auto text = fmt::format(
        "<svg xmlns='http://www.w3.org/2000/svg' width='{0}' height='{1}' "
        "font-family='sans-serif' font-size='12'>\n<rect width='{0}' "
        "height='{1}' fill='white'/>\n<text x='{2}' y='22' font-size='15'>{3}"
        "</text>\n<text x='{4:.0f}' y='{5:.0f}' text-anchor='middle'>{6}"
        "</text>\n<text x='14' y='{7:.0f}' transform='rotate(-90 14 {7:.0f})' "
        "text-anchor='middle'>{8}</text>\n",
        width, height, left, title, (left + width - right) / 2, height - 10,
        x_name, height / 2, y_name);
    text += on.draw();
    for (std::size_t at = 0; at < lines.size(); ++at)
    {
        text += draw_line(on, lines[at], at);
    }
    return text + "</svg>\n";
}

} // namespace hyssopdeal::plot
