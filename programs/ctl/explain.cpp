#include "ctl/explain.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <set>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace hyssopdeal::ctl
{

namespace
{

using nlohmann::json;

// Longer than an election and a fetch of the document.
constexpr std::int64_t before_ms = 5'000;

// Beginnings of events that change what a process believes.
constexpr std::array<std::string_view, 9> belief_events = {
    "control.", "document.", "leadership.", "servers.changed", "list.",
    "process.", "settings.", "disk.",       "cluster."};

struct log_line
{
    std::int64_t at_ms = 0;
    std::string instance;
    std::string event;
    json fields;
    bool of_request = false;
};

std::vector<log_line> read_lines(std::string_view request,
                                 const std::string& text)
{
    std::vector<log_line> lines;
    for (std::size_t at = 0; at < text.size();)
    {
        const auto end = std::min(text.find('\n', at), text.size());
        auto read = json::parse(text.begin() + static_cast<std::ptrdiff_t>(at),
                                text.begin() + static_cast<std::ptrdiff_t>(end),
                                nullptr, false);
        at = end + 1;
        const bool good = read.is_object() && read.contains("at_ms") &&
                          read["at_ms"].is_number_integer() &&
                          read.contains("event") && read["event"].is_string();
        if (!good)
        {
            continue;
        }
        log_line line;
        line.at_ms = read["at_ms"].get<std::int64_t>();
        line.instance = read.value("instance", json{""}).is_string()
                            ? read.value("instance", "")
                            : "";
        line.event = read["event"].get<std::string>();
        line.of_request =
            read.contains("request") && read["request"] == request;
        for (const auto* known : {"at_ms", "instance", "event", "request"})
        {
            read.erase(known);
        }
        line.fields = std::move(read);
        lines.push_back(std::move(line));
    }
    return lines;
}

bool changes_beliefs(const log_line& line)
{
    return std::any_of(belief_events.begin(), belief_events.end(),
                       [&](auto name) { return line.event.starts_with(name); });
}

std::string text_of(const log_line& line, std::int64_t began_ms)
{
    std::string text =
        fmt::format("{:+9} ms  {:<18} {} {:<20}", line.at_ms - began_ms,
                    line.instance, line.of_request ? '*' : ' ', line.event);
    for (const auto& [name, value] : line.fields.items())
    {
        text += fmt::format(" {}={}", name,
                            value.is_string() ? value.get<std::string>()
                                              : value.dump());
    }
    return text + '\n';
}

} // namespace

transport::result<std::string>
explain_request(std::string_view request, const std::vector<std::string>& logs)
{
    std::vector<log_line> lines;
    for (const auto& text : logs)
    {
        auto more = read_lines(request, text);
        std::move(more.begin(), more.end(), std::back_inserter(lines));
    }
    std::stable_sort(lines.begin(), lines.end(),
                     [](const auto& left, const auto& right) {
                         return left.at_ms < right.at_ms;
                     });
    const auto first =
        std::find_if(lines.begin(), lines.end(),
                     [](const auto& line) { return line.of_request; });
    if (first == lines.end())
    {
        return transport::fail(
            transport::reason::not_found,
            fmt::format("No line tells of request {}.", request));
    }
    const auto last =
        std::find_if(lines.rbegin(), lines.rend(),
                     [](const auto& line) { return line.of_request; });
    std::set<std::string> instances;
    for (const auto& line : lines)
    {
        if (line.of_request)
        {
            instances.insert(line.instance);
        }
    }
    std::string text;
    for (const auto& line : lines)
    {
        const bool near =
            line.at_ms >= first->at_ms - before_ms && line.at_ms <= last->at_ms;
        // Who leads matters to all instances.
        const bool concerns = instances.contains(line.instance) ||
                              line.event.starts_with("leadership.");
        if (line.of_request || (near && concerns && changes_beliefs(line)))
        {
            text += text_of(line, first->at_ms);
        }
    }
    return text;
}

} // namespace hyssopdeal::ctl
