#include "ctl/json_table.hpp"

#include <algorithm>
#include <cstddef>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace hyssopdeal::ctl
{

namespace
{

using nlohmann::ordered_json;

constexpr std::size_t widest_cell = 60;

struct column
{
    std::string key;
    std::size_t width = 0;
};

std::string cell(const ordered_json& row, const std::string& key)
{
    if (!row.contains(key))
    {
        return "-";
    }
    const auto& value = row[key];
    auto text = value.is_string() ? value.get<std::string>() : value.dump();
    if (text.size() > widest_cell)
    {
        text = text.substr(0, widest_cell - 3) + "...";
    }
    return text.empty() ? "-" : text;
}

std::vector<column> columns_of(const ordered_json& rows,
                               const std::vector<std::string>& keys)
{
    std::vector<column> columns;
    columns.reserve(keys.size());
    for (const auto& key : keys)
    {
        columns.push_back({key, key.size()});
    }
    for (const auto& row : rows)
    {
        for (const auto& [key, value] : row.items())
        {
            auto known = std::find_if(
                columns.begin(), columns.end(),
                [&key = key](const column& entry) { return entry.key == key; });
            if (known == columns.end() && !keys.empty())
            {
                continue;
            }
            if (known == columns.end())
            {
                known = columns.insert(known, {key, key.size()});
            }
            known->width = std::max(known->width, cell(row, key).size());
        }
    }
    return columns;
}

std::string table(const ordered_json& rows,
                  const std::vector<std::string>& keys)
{
    const auto columns = columns_of(rows, keys);
    std::string text;
    for (const auto& entry : columns)
    {
        text += fmt::format("{:<{}}  ", entry.key, entry.width);
    }
    text += '\n';
    for (const auto& row : rows)
    {
        for (const auto& entry : columns)
        {
            text += fmt::format("{:<{}}  ", cell(row, entry.key), entry.width);
        }
        text += '\n';
    }
    return text;
}

bool is_table(const ordered_json& value)
{
    return value.is_array() && !value.empty() &&
           std::all_of(value.begin(), value.end(),
                       [](const ordered_json& row) { return row.is_object(); });
}

} // namespace

std::string json_table(const std::string& json,
                       const std::vector<std::string>& keys)
{
    constexpr int indentation = 2;
    const auto value = ordered_json::parse(json, nullptr, false);
    if (value.is_discarded())
    {
        return json + '\n';
    }
    if (is_table(value))
    {
        return table(value, keys);
    }
    if (value.is_object() && value.size() == 1)
    {
        const auto& inner = value.begin().value();
        if (is_table(inner))
        {
            return table(inner, keys);
        }
        if (inner.is_array() && inner.empty())
        {
            return "none\n";
        }
    }
    return value.dump(indentation) + '\n';
}

} // namespace hyssopdeal::ctl
