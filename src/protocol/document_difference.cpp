/// @file
/// Differences between two configuration documents.

#include <hyssopdeal/protocol/document_check.hpp>

#include <map>
#include <optional>
#include <set>
#include <utility>

#include <fmt/format.h>

namespace hyssopdeal::protocol
{

namespace
{

/// One entry as text; entries of one kind have the same fields in one order.
struct entry_text
{
    std::string id; ///< Matches entries of two documents.
    std::string place;
    std::vector<std::pair<std::string, std::string>> fields;
    std::set<std::string> keys; ///< Only counted, never printed.
};

std::string in_ms(std::chrono::milliseconds time)
{
    return fmt::format("{} ms", time.count());
}

const char* rule_name(repeat_rule rule)
{
    return rule == repeat_rule::safe   ? "safe"
           : rule == repeat_rule::once ? "once"
                                       : "stream";
}

entry_text describe(const document_route& route)
{
    std::string shares;
    for (const auto& share : route.shares)
    {
        shares += fmt::format("{}{}={}", shares.empty() ? "" : ",",
                              share.service, share.weight);
    }
    return {route.host + ' ' + route.path_prefix,
            fmt::format("Route {} ({} {})", route.name, route.host,
                        route.path_prefix),
            {{"name", route.name},
             {"repeat rule", rule_name(route.rule)},
             {"time limit", in_ms(route.time_limit)},
             {"target latency", in_ms(route.target_latency)},
             {"target gap", in_ms(route.target_gap)},
             {"rank", fmt::to_string(route.rank)},
             {"most attempts", fmt::to_string(route.max_attempts)},
             {"needs a key", fmt::to_string(route.needs_key)},
             {"resumable", fmt::to_string(route.resumable)},
             {"shares", shares}},
            {}};
}

std::string describe_engine(const std::optional<engine_terms>& engine)
{
    return engine ? fmt::format("slots {}, memory tokens {}, moves streams {}",
                                engine->slots, engine->memory_tokens,
                                engine->moves_streams)
                  : "none";
}

std::string describe_scaling(const std::optional<scaling_terms>& scaling)
{
    if (!scaling)
    {
        return "none";
    }
    auto text =
        fmt::format("least {}, most {}, start time {} ms, reclaimable price {}",
                    scaling->least, scaling->most, scaling->start_time.count(),
                    scaling->reclaimable_price);
    for (const auto& [domain, price] : scaling->domain_prices)
    {
        text += fmt::format(", price in {} {}", domain, price);
    }
    return text;
}

entry_text describe(const document_service& service)
{
    return {
        service.name,
        "Service " + service.name,
        {{"connections per server", fmt::to_string(service.max_connections)},
         {"engine", describe_engine(service.engine)},
         {"scaling", describe_scaling(service.scaling)},
         {"cold start", in_ms(service.cold_start)},
         {"requests per second while cold",
          fmt::to_string(service.cold_per_s)}},
        {}};
}

entry_text describe(const organisation_terms& terms)
{
    return {terms.name,
            "Organisation " + terms.name,
            {{"rank", terms.rank ? fmt::to_string(*terms.rank) : "none"},
             {"tokens per second", fmt::to_string(terms.tokens_per_second)},
             {"burst tokens", fmt::to_string(terms.burst_tokens)},
             {"tokens of a plain request",
              fmt::to_string(terms.tokens_of_plain_request)},
             {"counts tokens", fmt::to_string(terms.counts_tokens)}},
            {terms.keys.begin(), terms.keys.end()}};
}

entry_text describe(const caller_limits& limits)
{
    return {"",
            "Limits of callers",
            {{"header bytes", fmt::to_string(limits.max_head_bytes)},
             {"body bytes", fmt::to_string(limits.max_body_bytes)},
             {"header time limit", in_ms(limits.head_time_limit)},
             {"idle time limit", in_ms(limits.idle_time_limit)}},
            {}};
}

std::size_t count_missing(const std::set<std::string>& keys,
                          const std::set<std::string>& in)
{
    std::size_t count = 0;
    for (const auto& key : keys)
    {
        count += in.contains(key) ? 0 : 1;
    }
    return count;
}

void compare(const entry_text& from, const entry_text& to,
             std::vector<document_difference>& differences)
{
    const auto changed = [&](std::string text) {
        differences.push_back(
            {difference_kind::changed, to.place, std::move(text)});
    };
    for (std::size_t at = 0; at < to.fields.size(); ++at)
    {
        const auto& old_value = from.fields[at].second;
        const auto& [name, value] = to.fields[at];
        if (old_value != value)
        {
            changed(fmt::format("{}: {} -> {}", name, old_value, value));
        }
    }
    const auto added = count_missing(to.keys, from.keys);
    const auto removed = count_missing(from.keys, to.keys);
    if (added + removed > 0)
    {
        changed(fmt::format("keys: {} added, {} removed", added, removed));
    }
}

/// Entries by their id. A repeated id gets a number, so that no entry of an
/// invalid document is left out.
template <class Entry>
std::map<std::string, entry_text> by_id(const std::vector<Entry>& entries)
{
    std::map<std::string, entry_text> result;
    for (const auto& entry : entries)
    {
        auto text = describe(entry);
        const auto id = text.id;
        for (int number = 2; result.contains(text.id); ++number)
        {
            text.id = fmt::format("{}\n{}", id, number);
        }
        result.emplace(text.id, std::move(text));
    }
    return result;
}

template <class Entry>
void compare_all(const std::vector<Entry>& from, const std::vector<Entry>& to,
                 std::vector<document_difference>& differences)
{
    const auto old_entries = by_id(from);
    const auto entries = by_id(to);
    for (const auto& [id, entry] : old_entries)
    {
        if (!entries.contains(id))
        {
            differences.push_back({difference_kind::removed, entry.place, ""});
        }
    }
    for (const auto& [id, entry] : entries)
    {
        const auto found = old_entries.find(id);
        if (found == old_entries.end())
        {
            differences.push_back({difference_kind::added, entry.place, ""});
            continue;
        }
        compare(found->second, entry, differences);
    }
}

} // namespace

std::vector<document_difference> compare_documents(const service_document& from,
                                                   const service_document& to)
{
    std::vector<document_difference> differences;
    if (from.version != to.version)
    {
        differences.push_back(
            {difference_kind::changed, "Version",
             fmt::format("{} -> {}", from.version, to.version)});
    }
    compare_all(from.routes, to.routes, differences);
    compare_all(from.services, to.services, differences);
    compare(describe(from.limits), describe(to.limits), differences);
    compare_all(from.organisations, to.organisations, differences);
    return differences;
}

} // namespace hyssopdeal::protocol
