#include "load/svg_plot.hpp"

#include <algorithm>
#include <map>

#include <fmt/format.h>

#include "plot/line_plot.hpp"

namespace hyssopdeal::load
{

using plot::line_plot;
using plot::plot_line;

namespace
{

constexpr std::size_t intervals = 60;

double seconds_of(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double>(time).count();
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
    return line_plot(plan.name + ": first token or answer, p95", "seconds",
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
    return line_plot("share by version", "seconds", "share", lines);
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
    return line_plot("recomputed tokens", "seconds", "tokens", {line});
}

} // namespace hyssopdeal::load
