#include "engine_orders.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "json_answer.hpp"

namespace hyssopdeal::standins
{

engine_orders::engine_orders(std::string version, fence_check check)
    : versions_{{std::move(version), {}}},
      check_(check)
{}

transport::http_response
engine_orders::apply(const std::string& body, transport::monotonic_time now,
                     std::chrono::milliseconds load_time)
try
{
    const auto order = nlohmann::json::parse(body);
    const auto kind = order.at("order").get<std::string>();
    const auto version = order.value("version", std::string{});
    const auto& fence = order.at("fence");
    const fencing_token token{fence.at("term").get<std::uint64_t>(),
                              fence.at("counter").get<std::uint64_t>()};
    if (token.older_than(newest_))
    {
        ++stale_;
        if (check_ == fence_check::refuses_old)
        {
            return error_answer(409, "stale_fence", "An older fencing token.");
        }
    }
    if (newest_.older_than(token))
    {
        newest_ = token;
    }
    const auto same = [&version](const loaded_version& known) {
        return known.name == version;
    };
    if (kind == "load")
    {
        if (std::none_of(versions_.begin(), versions_.end(), same))
        {
            versions_.push_back({version, now + load_time});
        }
    }
    else if (kind == "unload")
    {
        std::erase_if(versions_, same);
    }
    else if (kind == "role")
    {
        role_ = order.at("role").get<std::string>();
    }
    else if (kind == "adapter")
    {
        adapters_.push_back(version);
    }
    else
    {
        return error_answer(400, "bad_request", "An unknown order.");
    }
    return current(now);
}
catch (const nlohmann::json::exception& error)
{
    return error_answer(400, "bad_request", error.what());
}

transport::http_response
engine_orders::current(transport::monotonic_time now) const
{
    nlohmann::json body;
    body["loaded"] = nlohmann::json::array();
    for (const auto& version : versions_)
    {
        const char* state = version.ready_at <= now ? "loaded" : "loading";
        body["loaded"].push_back({{"version", version.name}, {"state", state}});
    }
    body["adapters"] = adapters_;
    body["role"] = role_;
    body["fence"] = {{"term", newest_.term}, {"counter", newest_.counter}};
    return json_answer(200, body.dump());
}

bool engine_orders::serves(std::string_view version,
                           transport::monotonic_time now) const
{
    return std::any_of(
        versions_.begin(), versions_.end(), [&](const loaded_version& known) {
            return known.name == version && known.ready_at <= now;
        });
}

std::string engine_orders::default_version(transport::monotonic_time now) const
{
    for (const auto& version : versions_)
    {
        if (version.ready_at <= now)
        {
            return version.name;
        }
    }
    return {};
}

} // namespace hyssopdeal::standins
