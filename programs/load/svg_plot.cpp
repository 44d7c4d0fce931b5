#include "load/svg_plot.hpp"

#include <algorithm>
#include <array>
#include <map>

#include <fmt/format.h>

namespace hyssopdeal::load
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
constexpr std::size_t intervals = 60;

constexpr std::array<std::string_view, 8> colours = {
    "#1f77b4", "#d62728", "#2ca02c", "#ff7f0e",
    "#9467bd", "#8c564b", "#17becf", "#7f7f7f"};

double seconds_of(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double>(time).count();
}

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

// Puts the calls of a run into intervals of equal length.
class time_slots
{
public:
    explicit time_slots(const run_results& results)
    {
        std::chrono::nanoseconds last{1};
        for (const auto& entry : results.calls)
        {
            last = std::max(last, entry.arrived);
        }
        length_ = last / intervals + std::chrono::nanoseconds{1};
    }

    [[nodiscard]] std::size_t slot(const call_result& entry) const
    {
        return static_cast<std::size_t>(entry.arrived / length_);
    }

    [[nodiscard]] double middle(std::size_t slot) const
    {
        return seconds_of(length_) * (static_cast<double>(slot) + 0.5);
    }

private:
    std::chrono::nanoseconds length_{};
};

double p95(std::vector<double>& values)
{
    constexpr double part = 0.95;
    const auto last = static_cast<double>(values.size() - 1);
    const auto at = static_cast<std::ptrdiff_t>(part * last);
    std::nth_element(values.begin(), values.begin() + at, values.end());
    return values[static_cast<std::size_t>(at)];
}

} // namespace

std::string svg_plot(std::string_view title, std::string_view x_name,
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

std::string latency_plot(const scenario& plan, const run_results& results)
{
    const time_slots slots(results);
    std::vector<plot_line> lines;
    for (std::size_t index = 0; index < plan.classes.size(); ++index)
    {
        std::map<std::size_t, std::vector<double>> values;
        for (const auto& entry : results.calls)
        {
            if (entry.class_index == index &&
                entry.outcome == call_outcome::whole)
            {
                values[slots.slot(entry)].push_back(seconds_of(entry.first) *
                                                    1'000);
            }
        }
        plot_line line;
        line.name = plan.classes[index].name;
        for (auto& [slot, latencies] : values)
        {
            line.points.push_back({slots.middle(slot), p95(latencies)});
        }
        lines.push_back(std::move(line));
    }
    return svg_plot(plan.name + ": first token or answer, p95", "seconds",
                    "milliseconds", lines);
}

std::string version_plot(const run_results& results)
{
    const time_slots slots(results);
    std::map<std::size_t, double> all;
    std::map<std::string, std::map<std::size_t, double>> by_version;
    for (const auto& entry : results.calls)
    {
        if (!entry.version.empty())
        {
            all[slots.slot(entry)] += 1;
            by_version[entry.version][slots.slot(entry)] += 1;
        }
    }
    std::vector<plot_line> lines;
    for (const auto& [version, counts] : by_version)
    {
        plot_line line;
        line.name = version;
        for (const auto& [slot, count] : all)
        {
            const auto found = counts.find(slot);
            const double part = found == counts.end() ? 0 : found->second;
            line.points.push_back({slots.middle(slot), part / count});
        }
        lines.push_back(std::move(line));
    }
    return svg_plot("share by version", "seconds", "share", lines);
}

std::string repeated_plot(const run_results& results)
{
    plot_line line;
    line.name = "prefilled again";
    for (const auto& sample : results.engines)
    {
        line.points.push_back(
            {seconds_of(sample.at),
             static_cast<double>(sample.repeated_tokens -
                                 results.engines.front().repeated_tokens)});
    }
    return svg_plot("recomputed tokens", "seconds", "tokens", {line});
}

} // namespace hyssopdeal::load
