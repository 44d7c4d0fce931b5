#include <hyssopdeal/protocol/contract_json.hpp>

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace hyssopdeal::protocol
{

namespace
{

using std::chrono::milliseconds;

constexpr double max_rate = 1e9;
constexpr milliseconds max_time_limit{86'400'000};
constexpr milliseconds max_target{600'000};
constexpr double max_share_error = 1e-6;

std::vector<choice_name<priority_class>> priorities()
{
    return {{priority_class::interactive, "interactive"},
            {priority_class::standard, "standard"},
            {priority_class::batch, "batch"}};
}

// Finds a name that two items of a list have in common.
template <class Item>
std::string repeated(const std::vector<Item>& items, std::string Item::*name)
{
    for (std::size_t at = 1; at < items.size(); ++at)
    {
        const auto same = [&](const Item& earlier) {
            return earlier.*name == items[at].*name;
        };
        const auto here = items.begin() + static_cast<std::ptrdiff_t>(at);
        if (std::any_of(items.begin(), here, same))
        {
            return fmt::format("\"{}\" twice", items[at].*name);
        }
    }
    return {};
}

std::string wrong_sum(const std::vector<version_share>& shares)
{
    double sum = 0;
    for (const auto& entry : shares)
    {
        sum += entry.share;
    }
    const bool good = shares.empty() || std::abs(sum - 1) <= max_share_error;
    return good ? std::string{} : fmt::format("shares that add up to {}", sum);
}

std::string unserved(const service& value)
{
    for (const auto& entry : value.shares)
    {
        const auto serves = [&entry](const backend_server& server) {
            return server.version == entry.version;
        };
        if (entry.share > 0 &&
            std::none_of(value.servers.begin(), value.servers.end(), serves))
        {
            return fmt::format("version \"{}\", which no server serves",
                               entry.version);
        }
    }
    return {};
}

std::string bad_method(const std::string& method)
{
    const auto capital = [](char letter) {
        return letter >= 'A' && letter <= 'Z';
    };
    const bool good =
        method == "*" ||
        (!method.empty() && std::all_of(method.begin(), method.end(), capital));
    return good ? std::string{} : fmt::format("\"{}\"", method);
}

template <class T>
transport::result<T> read_declaration(std::string_view text,
                                      std::string_view name)
{
    T value;
    settings_fields fields;
    describe(fields, value);
    fields.ignore("revision");
    if (auto read = read_fields(text, name, fields); !read)
    {
        return tl::unexpected(std::move(read.error()));
    }
    return value;
}

} // namespace

void describe(settings_fields& fields, organisation_contract& value)
{
    constexpr std::size_t max_keys = 64;
    constexpr std::size_t max_services = 256;
    constexpr std::int64_t max_streams = 10'000'000;
    fields.text("organisation", value.organisation, text_rule::name,
                presence::required);
    fields.text_list("key_sha256", value.key_sha256, text_rule::sha256_hex,
                     max_keys);
    fields.text_list("services", value.services, text_rule::name, max_services);
    fields.real("requests_per_second", value.requests_per_second, 0, max_rate);
    fields.real("request_burst", value.request_burst, 0, max_rate);
    fields.real("tokens_per_second", value.tokens_per_second, 0, max_rate);
    fields.real("token_burst", value.token_burst, 0, max_rate);
    fields.integer("concurrent_streams", value.concurrent_streams, 0,
                   max_streams);
    fields.choice("priority_ceiling", value.priority_ceiling, priorities());
    fields.duration("first_token_target_ms", value.first_token_target,
                    milliseconds{1}, max_target);
    fields.real("retry_ratio", value.retry_ratio, 0, 1);
}

void describe(settings_fields& fields, route& value)
{
    fields.text("name", value.name, text_rule::name, presence::required);
    fields.text("method", value.method);
    fields.text("path_prefix", value.path_prefix, text_rule::url_path);
    fields.choice<repeatability>(
        "repeats", value.repeats,
        {{repeatability::repeatable, "repeatable"},
         {repeatability::at_most_once, "at_most_once"}});
    fields.choice("priority", value.priority, priorities());
    fields.duration("time_limit_ms", value.time_limit, milliseconds{1},
                    max_time_limit);
    fields.check(
        "method", [&value] { return bad_method(value.method); },
        "a method in capitals, or \"*\"");
}

void describe(settings_fields& fields, backend_server& value)
{
    constexpr std::int64_t max_slots = 100'000;
    fields.text("name", value.name, text_rule::name, presence::required);
    fields.text("address", value.address, text_rule::address,
                presence::required);
    fields.text("failure_domain", value.failure_domain, text_rule::name,
                presence::required);
    fields.text("version", value.version, text_rule::name, presence::required);
    fields.integer("slots", value.slots, 1, max_slots);
    fields.real("prefill_tokens_per_second", value.prefill_tokens_per_second, 1,
                max_rate);
    fields.real("decode_tokens_per_second", value.decode_tokens_per_second, 1,
                max_rate);
    fields.choice<price_class>("price", value.price,
                               {{price_class::reclaimable, "reclaimable"},
                                {price_class::on_demand, "on_demand"}});
    fields.real("price_per_hour", value.price_per_hour, 0, max_rate);
    fields.flag("checks_orders", value.checks_orders);
}

void describe(settings_fields& fields, version_share& value)
{
    fields.text("version", value.version, text_rule::name, presence::required);
    fields.real("share", value.share, 0, 1, presence::required);
}

void describe(settings_fields& fields, service& value)
{
    constexpr std::size_t max_routes = 256;
    constexpr std::size_t max_servers = 20'000;
    constexpr std::size_t max_versions = 16;
    fields.text("name", value.name, text_rule::name, presence::required);
    fields.choice<service_kind>(
        "kind", value.kind,
        {{service_kind::model, "model"}, {service_kind::plain, "plain"}});
    fields.list("routes", value.routes, max_routes);
    fields.list("servers", value.servers, max_servers);
    fields.list("shares", value.shares, max_versions);
    fields.duration("first_token_target_ms", value.first_token_target,
                    milliseconds{1}, max_target);
    fields.check(
        "routes", [&value] { return repeated(value.routes, &route::name); },
        "names that stand once");
    fields.check(
        "servers",
        [&value] { return repeated(value.servers, &backend_server::name); },
        "names that stand once");
    fields.check(
        "shares",
        [&value] { return repeated(value.shares, &version_share::version); },
        "versions that stand once");
    fields.check(
        "shares", [&value] { return wrong_sum(value.shares); },
        "no shares, or a sum of 1");
    fields.check(
        "shares", [&value] { return unserved(value); },
        "versions that a server serves");
}

transport::result<organisation_contract> read_contract(std::string_view text,
                                                       std::string_view name)
{
    return read_declaration<organisation_contract>(text, name);
}

transport::result<service> read_service(std::string_view text,
                                        std::string_view name)
{
    return read_declaration<service>(text, name);
}

std::string write_contract(const organisation_contract& value)
{
    return write_settings(value);
}

std::string write_service(const service& value)
{
    return write_settings(value);
}

} // namespace hyssopdeal::protocol
