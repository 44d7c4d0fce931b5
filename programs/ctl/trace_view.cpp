#include "ctl/trace_view.hpp"

#include <algorithm>
#include <cstdint>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "ctl/json_lines.hpp"

namespace hyssopdeal::ctl
{

namespace
{

using nlohmann::json;

constexpr std::size_t bar_width = 40;
constexpr std::size_t name_width = 32;
constexpr std::size_t max_depth = 32;
constexpr double ns_per_ms = 1e6;

struct span
{
    std::string trace;
    std::string id;
    std::string parent;
    std::string name;
    std::string where; ///< Service or instance that made it.
    std::uint64_t start_ns = 0;
    std::uint64_t end_ns = 0;
};

// OTLP JSON writes 64-bit numbers as texts; a number is taken as well.
std::uint64_t time_in(const json& from, const char* key)
{
    if (!from.contains(key))
    {
        return 0;
    }
    const auto& value = from[key];
    if (value.is_string())
    {
        return std::strtoull(value.get_ref<const std::string&>().c_str(),
                             nullptr, 10);
    }
    return value.is_number_unsigned() ? value.get<std::uint64_t>() : 0;
}

std::string resource_name(const json& resource_spans)
{
    const auto attributes = resource_spans.value(
        json::json_pointer("/resource/attributes"), json::array());
    std::string name;
    for (const auto& attribute : attributes)
    {
        const auto key = attribute.value("key", "");
        if (key == "service.instance.id" ||
            (key == "service.name" && name.empty()))
        {
            name = attribute.value(json::json_pointer("/value/stringValue"),
                                   std::string{});
        }
    }
    return name;
}

void add_span(const json& from, const std::string& where,
              std::vector<span>& spans)
{
    span found;
    found.trace = from.value("traceId", "");
    found.id = from.value("spanId", "");
    found.parent = from.value("parentSpanId", "");
    found.name = from.value("name", "");
    found.where = where;
    found.start_ns = time_in(from, "startTimeUnixNano");
    found.end_ns = std::max(time_in(from, "endTimeUnixNano"), found.start_ns);
    spans.push_back(std::move(found));
}

void add_export(const json& value, std::vector<span>& spans)
{
    if (value.contains("traceId"))
    {
        add_span(value, "", spans);
        return;
    }
    for (const auto& resource : value.value("resourceSpans", json::array()))
    {
        const auto where = resource_name(resource);
        for (const auto& scope : resource.value("scopeSpans", json::array()))
        {
            for (const auto& entry : scope.value("spans", json::array()))
            {
                add_span(entry, where, spans);
            }
        }
    }
}

std::vector<span> read_spans(std::string_view text)
{
    std::vector<span> spans;
    for_each_json_line(text, [&](const json& value) {
        try
        {
            add_export(value, spans);
        }
        catch (const json::exception&)
        {
            // A line of another form; the others still show the trace.
            return;
        }
    });
    return spans;
}

std::string latest_trace(const std::vector<span>& spans)
{
    const auto latest = std::max_element(
        spans.begin(), spans.end(),
        [](const span& a, const span& b) { return a.start_ns < b.start_ns; });
    return latest == spans.end() ? std::string{} : latest->trace;
}

// Draws spans below their parents, in the order of their starts.
class waterfall
{
public:
    explicit waterfall(std::vector<span> spans)
        : spans_(std::move(spans))
    {
        std::stable_sort(spans_.begin(), spans_.end(),
                         [](const span& a, const span& b) {
                             return a.start_ns < b.start_ns;
                         });
        first_ns_ = spans_.front().start_ns;
        last_ns_ = first_ns_ + 1;
        for (const auto& entry : spans_)
        {
            last_ns_ = std::max(last_ns_, entry.end_ns);
        }
    }

    std::string draw()
    {
        text_ =
            fmt::format("trace {}  {} spans  {:.3f} ms\n", spans_.front().trace,
                        spans_.size(),
                        static_cast<double>(last_ns_ - first_ns_) / ns_per_ms);
        for (const auto& entry : spans_)
        {
            if (is_root(entry))
            {
                draw_span(entry, 0);
            }
        }
        return text_;
    }

private:
    [[nodiscard]] bool is_root(const span& entry) const
    {
        return std::none_of(
            spans_.begin(), spans_.end(), [&entry](const span& other) {
                return other.id == entry.parent && other.id != entry.id;
            });
    }

    void draw_span(const span& entry, std::size_t depth)
    {
        if (depth > max_depth)
        {
            return;
        }
        const auto name = std::string(2 * depth, ' ') + entry.name;
        text_ += fmt::format(
            "{:<{}} {:>10.3f} {:>10.3f} |{}| {}\n", name, name_width,
            static_cast<double>(entry.start_ns - first_ns_) / ns_per_ms,
            static_cast<double>(entry.end_ns - entry.start_ns) / ns_per_ms,
            bar(entry), entry.where);
        for (const auto& child : spans_)
        {
            if (child.parent == entry.id && child.id != entry.id)
            {
                draw_span(child, depth + 1);
            }
        }
    }

    [[nodiscard]] std::string bar(const span& entry) const
    {
        const auto place = [this](std::uint64_t time) {
            return static_cast<std::size_t>(
                static_cast<double>(time - first_ns_) * bar_width /
                static_cast<double>(last_ns_ - first_ns_));
        };
        const auto from = std::min(place(entry.start_ns), bar_width - 1);
        const auto to = std::max(place(entry.end_ns), from + 1);
        return std::string(from, ' ') + std::string(to - from, '=') +
               std::string(bar_width - to, ' ');
    }

    std::vector<span> spans_;
    std::uint64_t first_ns_ = 0;
    std::uint64_t last_ns_ = 0;
    std::string text_;
};

} // namespace

transport::result<std::string> draw_trace(std::string_view text,
                                          std::string_view trace_id)
{
    auto spans = read_spans(text);
    const auto wanted =
        trace_id.empty() ? latest_trace(spans) : std::string(trace_id);
    std::erase_if(
        spans, [&wanted](const span& entry) { return entry.trace != wanted; });
    if (spans.empty())
    {
        return transport::fail(transport::reason::not_found,
                               "The file holds no such trace.");
    }
    return waterfall(std::move(spans)).draw();
}

} // namespace hyssopdeal::ctl
