#include "ctl/analyze.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <nlohmann/json.hpp>

#include "ctl/json_lines.hpp"
#include "plot/line_plot.hpp"

namespace hyssopdeal::ctl
{

using nlohmann::json;

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(request_counts, asked, in_time, late,
                                   refused, failed, server_failed, left,
                                   not_allowed, reasons)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(prediction_row, from_ms, requests, p50_ms,
                                   p90_ms, p99_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(server_counts, usual, reclaimable, leaving)

namespace
{

constexpr std::int64_t ms_in_s = 1'000;
constexpr std::size_t worst_seconds = 12;
constexpr std::array<std::int64_t, 7> prediction_limits = {
    0, 100, 200, 400, 800, 1'600, 3'200};
// Beginnings of events that tell of dependencies and processes.
constexpr std::array<std::string_view, 9> told_events = {
    "control.", "leadership.", "process.", "disk.",     "list.lost",
    "cluster.", "loop.",       "move.",    "server.lea"};

std::int64_t number_in(const json& from, const char* key, std::int64_t other)
{
    const auto found = from.find(key);
    return found != from.end() && found->is_number_integer()
               ? found->get<std::int64_t>()
               : other;
}

template <class Values>
std::int64_t quantile(const Values& sorted, double part)
{
    return sorted.empty() ? 0
                          : sorted[static_cast<std::size_t>(
                                part * static_cast<double>(sorted.size() - 1))];
}

/// Adds one `request.ended`.
void count(request_counts& to, const json& line)
{
    const auto outcome = text_in(line, "outcome");
    const auto status = number_in(line, "status", 0);
    ++to.asked;
    if (outcome == "served")
    {
        const auto timing = text_in(line, "timing");
        const bool late = timing.starts_with("late");
        ++(late ? to.late : to.in_time);
        to.reasons[timing] += late ? 1 : 0;
        std::erase_if(to.reasons,
                      [](const auto& item) { return item.second == 0; });
        return;
    }
    auto& sum =
        outcome == "passed_failure" ? to.server_failed
        : outcome == "caller_left"  ? to.left
        : status == 429 || status == 503
            ? to.refused
            : (status >= 400 && status < 500 ? to.not_allowed : to.failed);
    ++sum;
    ++to.reasons[outcome];
}

/// Reads lines of all files, in order of time.
std::vector<json> read_lines(const std::vector<std::string>& logs)
{
    std::vector<json> lines;
    for (const auto& text : logs)
    {
        for_each_json_line(text, [&](json value) {
            if (number_in(value, "at_ms", -1) >= 0 &&
                !text_in(value, "event").empty())
            {
                lines.push_back(std::move(value));
            }
        });
    }
    std::stable_sort(
        lines.begin(), lines.end(), [](const auto& left, const auto& right) {
            return number_in(left, "at_ms", 0) < number_in(right, "at_ms", 0);
        });
    return lines;
}

/// Adds lines to the sums.
class analyzer
{
public:
    explicit analyzer(std::int64_t began_ms)
    {
        sums_.began_ms = began_ms;
    }

    void add(const json& line)
    {
        const auto event = text_in(line, "event");
        const auto second =
            (number_in(line, "at_ms", 0) - sums_.began_ms) / ms_in_s;
        if (event == "request.ended")
        {
            return add_request(second, line);
        }
        if (event == "process.started")
        {
            domains_[text_in(line, "instance")] =
                text_in(line, "failure_domain");
        }
        if (event == "attempt.broken")
        {
            ++sums_.broken[fmt::format(
                "{}: {}, then {}", text_in(line, "server_state"),
                text_in(line, "error"), text_in(line, "next"))];
        }
        if (event == "list.changed")
        {
            add_servers(second, line);
        }
        if (std::any_of(told_events.begin(), told_events.end(),
                        [&](auto name) { return event.starts_with(name); }))
        {
            sums_.events.emplace_back(
                second, fmt::format("{} {}", text_in(line, "instance"), event));
        }
    }

    [[nodiscard]] log_analysis finish()
    {
        for (std::size_t at = 0; at < prediction_limits.size(); ++at)
        {
            auto& took = took_[at];
            std::sort(took.begin(), took.end());
            sums_.predictions.push_back(
                {prediction_limits[at], took.size(), quantile(took, 0.5),
                 quantile(took, 0.9), quantile(took, 0.99)});
        }
        std::sort(sums_.largest_gaps_ms.begin(), sums_.largest_gaps_ms.end());
        return std::move(sums_);
    }

private:
    void add_request(std::int64_t second, const json& line)
    {
        const auto instance = domains_.find(text_in(line, "instance"));
        count(sums_.all, line);
        count(sums_.seconds[second], line);
        count(sums_.routes[text_in(line, "route")], line);
        count(sums_.organisations[text_in(line, "organisation")], line);
        count(sums_.domains[instance == domains_.end() ? "unknown"
                                                       : instance->second],
              line);
        const auto took = number_in(line, "first_event_ms", -1);
        const auto predicted = number_in(line, "predicted_ms", 0);
        if (took >= 0 && predicted > 0)
        {
            const auto above = std::upper_bound(
                prediction_limits.begin(), prediction_limits.end(), predicted);
            took_[static_cast<std::size_t>(above - prediction_limits.begin() -
                                           1)]
                .push_back(took);
        }
        if (const auto gap = number_in(line, "largest_gap_ms", 0); gap > 0)
        {
            sums_.largest_gaps_ms.push_back(gap);
        }
    }

    void add_servers(std::int64_t second, const json& line)
    {
        const auto all =
            static_cast<std::uint64_t>(number_in(line, "servers", 0));
        const auto reclaimable =
            static_cast<std::uint64_t>(number_in(line, "reclaimable", 0));
        sums_.servers[second] = {
            all - std::min(all, reclaimable), reclaimable,
            static_cast<std::uint64_t>(number_in(line, "leaving", 0))};
    }

    log_analysis sums_;
    std::map<std::string, std::string> domains_; ///< By instance.
    std::array<std::vector<std::int64_t>, prediction_limits.size()> took_;
};

std::string row_of(std::string_view name, const request_counts& counts)
{
    std::vector<std::pair<std::uint64_t, std::string>> reasons;
    for (const auto& [reason, number] : counts.reasons)
    {
        reasons.emplace_back(number, reason);
    }
    std::sort(reasons.rbegin(), reasons.rend());
    std::string why;
    for (const auto& [number, reason] : reasons)
    {
        why += fmt::format(" {}={}", reason, number);
    }
    return fmt::format("{:<20} {:>7} {:>7} {:>6} {:>7} {:>6} {:>6} {:>5} {:>6} "
                       "{}\n",
                       name, counts.asked, counts.in_time, counts.late,
                       counts.refused, counts.failed, counts.server_failed,
                       counts.left, counts.not_allowed, why);
}

std::string table_head(std::string_view name)
{
    return fmt::format("\n{:<20} {:>7} {:>7} {:>6} {:>7} {:>6} {:>6} {:>5} "
                       "{:>6}  reasons\n",
                       name, "asked", "in time", "late", "refused", "failed",
                       "server", "left", "denied");
}

/// @return How much of a second was lost, for the order of the worst.
std::uint64_t lost_in(const request_counts& counts)
{
    return counts.late + counts.refused + counts.failed;
}

std::string table_of(std::string_view name,
                     const std::map<std::string, request_counts>& groups)
{
    auto text = table_head(name);
    for (const auto& [group, counts] : groups)
    {
        text += row_of(group.empty() ? "(none)" : group, counts);
    }
    return text;
}

std::string worst_seconds_of(const log_analysis& sums)
{
    std::vector<std::pair<std::int64_t, request_counts>> rows(
        sums.seconds.begin(), sums.seconds.end());
    std::stable_sort(rows.begin(), rows.end(),
                     [](const auto& left, const auto& right) {
                         return lost_in(left.second) > lost_in(right.second);
                     });
    rows.resize(std::min(rows.size(), worst_seconds));
    auto text = table_head("worst seconds");
    for (const auto& [second, counts] : rows)
    {
        text += row_of(fmt::format("{} s", second), counts);
    }
    return text;
}

} // namespace

transport::result<log_analysis>
analyze_logs(const std::vector<std::string>& logs)
{
    const auto lines = read_lines(logs);
    const bool any = std::any_of(lines.begin(), lines.end(), [](const auto& l) {
        return text_in(l, "event") == "request.ended";
    });
    if (!any)
    {
        return transport::fail(transport::reason::not_found,
                               "No line tells of a request that ended.");
    }
    analyzer sums{number_in(lines.front(), "at_ms", 0)};
    for (const auto& line : lines)
    {
        sums.add(line);
    }
    return sums.finish();
}

std::string text_of(const log_analysis& sums)
{
    auto text = table_head("") + row_of("all", sums.all);
    text += table_of("route", sums.routes);
    text += table_of("organisation", sums.organisations);
    text += table_of("failure domain", sums.domains);
    text += worst_seconds_of(sums);
    text += "\npredicted, ms        requests    p50    p90    p99 (actual)\n";
    for (const auto& row : sums.predictions)
    {
        text +=
            fmt::format("from {:<15} {:>8} {:>6} {:>6} {:>6}\n", row.from_ms,
                        row.requests, row.p50_ms, row.p90_ms, row.p99_ms);
    }
    text += fmt::format("\nlargest gap of streams, ms: p50 {} p90 {} p99 {}\n",
                        quantile(sums.largest_gaps_ms, 0.5),
                        quantile(sums.largest_gaps_ms, 0.9),
                        quantile(sums.largest_gaps_ms, 0.99));
    text += "\nbroken tries, by what was believed of the server\n";
    for (const auto& [what, number] : sums.broken)
    {
        text += fmt::format("{:>7}  {}\n", number, what);
    }
    text += "\nservers listed       usual reclaimable leaving\n";
    for (const auto& [second, servers] : sums.servers)
    {
        text += fmt::format("{:<20} {:>5} {:>11} {:>7}\n",
                            fmt::format("{} s", second), servers.usual,
                            servers.reclaimable, servers.leaving);
    }
    text += "\nprocesses and dependencies\n";
    for (const auto& [second, what] : sums.events)
    {
        text += fmt::format("{:>5} s  {}\n", second, what);
    }
    return text;
}

json json_of(const log_analysis& sums)
{
    const auto by_second = [](const auto& rows) {
        json list = json::array();
        for (const auto& [second, counts] : rows)
        {
            json row = counts;
            row["second"] = second;
            list.push_back(std::move(row));
        }
        return list;
    };
    json events = json::array();
    for (const auto& [second, what] : sums.events)
    {
        events.push_back({{"second", second}, {"what", what}});
    }
    return {{"began_ms", sums.began_ms},
            {"all", sums.all},
            {"seconds", by_second(sums.seconds)},
            {"routes", sums.routes},
            {"organisations", sums.organisations},
            {"failure_domains", sums.domains},
            {"predictions", sums.predictions},
            {"largest_gap_ms",
             {{"p50", quantile(sums.largest_gaps_ms, 0.5)},
              {"p90", quantile(sums.largest_gaps_ms, 0.9)},
              {"p99", quantile(sums.largest_gaps_ms, 0.99)}}},
            {"broken", sums.broken},
            {"servers", by_second(sums.servers)},
            {"events", std::move(events)}};
}

std::string svg_of(const log_analysis& sums)
{
    using counts = request_counts;
    const std::array<std::pair<std::string_view, std::uint64_t counts::*>, 5>
        shown = {{{"in time", &counts::in_time},
                  {"late", &counts::late},
                  {"refused", &counts::refused},
                  {"failed", &counts::failed},
                  {"left", &counts::left}}};
    std::vector<plot::plot_line> lines;
    for (const auto& [name, member] : shown)
    {
        plot::plot_line line{std::string{name}, {}};
        for (const auto& [second, row] : sums.seconds)
        {
            line.points.push_back({static_cast<double>(second),
                                   static_cast<double>(row.*member)});
        }
        lines.push_back(std::move(line));
    }
    return plot::line_plot("Requests by their end", "seconds",
                           "requests a second", lines);
}

} // namespace hyssopdeal::ctl
