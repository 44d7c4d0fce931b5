#include "ctl/explain.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <set>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "ctl/json_lines.hpp"

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

void read_lines(std::string_view request, std::string_view text,
                std::vector<log_line>& lines)
{
    for_each_json_line(text, [&](json value) {
        const auto at = value.find("at_ms");
        log_line line;
        line.event = text_in(value, "event");
        if (at == value.end() || !at->is_number_integer() || line.event.empty())
        {
            return;
        }
        line.at_ms = at->get<std::int64_t>();
        line.instance = text_in(value, "instance");
        line.of_request = text_in(value, "request") == request;
        for (const auto* known : {"at_ms", "instance", "event", "request"})
        {
            value.erase(known);
        }
        line.fields = std::move(value);
        lines.push_back(std::move(line));
    });
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
        read_lines(request, text, lines);
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
