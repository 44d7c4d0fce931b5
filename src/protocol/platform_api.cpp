#include <hyssopdeal/protocol/exact_json.hpp>
#include <hyssopdeal/protocol/platform_api.hpp>
#include <hyssopdeal/transport/json_text.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>

#include <nlohmann/json.hpp>

namespace hyssopdeal::protocol
{

namespace
{

using nlohmann::json;
using std::chrono::milliseconds;
using transport::http_request;
using transport::http_response;

constexpr int status_ok = 200;
constexpr int status_created = 201;
constexpr int status_accepted = 202;
constexpr int status_limited = 429;
constexpr int status_refused = 503;
constexpr milliseconds longest_wait{3'600'000};
constexpr std::size_t max_lines = 100'000;

tl::unexpected<transport::failure> broken(const char* text)
{
    return transport::fail(transport::reason::broken_answer, text,
                           transport::verdict::may_have_run);
}

http_request make_get(std::string target)
{
    http_request request;
    request.target = std::move(target);
    return request;
}

http_request make_post(std::string target, const json& body)
{
    http_request request;
    request.method = "POST";
    request.target = std::move(target);
    request.headers = {{"Content-Type", "application/json"}};
    request.body = transport::json_text(body);
    return request;
}

const char* name_of(price_class value)
{
    return value == price_class::reclaimable ? "reclaimable" : "on_demand";
}

price_class class_of(const std::string& name)
{
    return name == "reclaimable" ? price_class::reclaimable
                                 : price_class::on_demand;
}

milliseconds bounded(double wait_ms)
{
    const auto longest = static_cast<double>(longest_wait.count());
    return milliseconds{std::llround(std::clamp(wait_ms, 0.0, longest))};
}

milliseconds retry_after(const http_response& answer)
{
    const auto text = transport::find_header(answer.headers, "Retry-After");
    std::int64_t seconds = 1;
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    const auto longest = std::chrono::floor<std::chrono::seconds>(longest_wait);
    return std::chrono::seconds{
        std::clamp<std::int64_t>(seconds, 0, longest.count())};
}

cloud_instance_info instance_of(const exact_json& item)
{
    return {item.at("name").get<std::string>(),
            item.value("address", std::string{}),
            item.value("order_id", std::string{})};
}

/// Reads the list under a key of a 200 answer.
template <class Item, class Read>
transport::result<std::vector<Item>> read_list(const http_response& answer,
                                               const char* key, Read read)
{
    if (answer.status != status_ok)
    {
        return broken("The platform did not answer with a list.");
    }
    try
    {
        const auto body = exact_json::parse(answer.body);
        const auto& items = body.at(key);
        std::vector<Item> result;
        if (items.size() > max_lines)
        {
            return broken("The platform's list is too long.");
        }
        for (const auto& item : items)
        {
            result.push_back(read(item));
        }
        return result;
    }
    catch (const exact_json::exception&)
    {
        return broken("The platform's list is not understood.");
    }
}

} // namespace

http_request make_weight_request(std::string_view version,
                                 std::string_view server)
{
    return make_post("/v1/fetch", {{"version", version}, {"server", server}});
}

transport::result<weight_fetch> read_weight_answer(const http_response& answer)
{
    if (answer.status == status_limited)
    {
        return weight_fetch{fetch_answer::limited, retry_after(answer)};
    }
    if (answer.status != status_accepted)
    {
        return broken("The weight store did not accept the fetch.");
    }
    try
    {
        const auto wait = exact_json::parse(answer.body).at("ready_in_ms");
        return weight_fetch{fetch_answer::accepted,
                            bounded(wait.get<double>())};
    }
    catch (const exact_json::exception&)
    {
        return broken("The weight store's answer is not understood.");
    }
}

http_request make_start_request(const instance_order& order)
{
    return make_post("/v1/instances", {{"order_id", order.order_id},
                                       {"failure_domain", order.failure_domain},
                                       {"class", name_of(order.price)},
                                       {"service", order.service},
                                       {"version", order.version}});
}

transport::result<cloud_instance_info>
read_start_answer(const http_response& answer)
{
    if (answer.status == status_refused)
    {
        return transport::fail(transport::reason::overloaded,
                               "The cloud refused the start.");
    }
    if (answer.status != status_created && answer.status != status_ok)
    {
        return broken("The cloud did not start the instance.");
    }
    try
    {
        auto info = instance_of(exact_json::parse(answer.body));
        if (!info.name.empty() && !info.address.empty())
        {
            return info;
        }
    }
    catch (const exact_json::exception&)
    {
        // Told below.
    }
    return broken("The cloud's answer is not understood.");
}

http_request make_release_request(std::string_view instance)
{
    http_request request;
    request.method = "DELETE";
    request.target = "/v1/instances/" + std::string{instance};
    return request;
}

http_request make_instances_request()
{
    return make_get("/v1/instances");
}

http_request make_notices_request(std::uint64_t after)
{
    return make_get("/v1/notices?after=" + std::to_string(after));
}

http_request make_prices_request()
{
    return make_get("/v1/prices");
}

http_request make_instance_list_request()
{
    return make_get("/v1/instance-list");
}

transport::result<std::vector<cloud_instance_info>>
read_instances(const http_response& answer)
{
    return read_list<cloud_instance_info>(answer, "instances", instance_of);
}

transport::result<std::vector<reclaim_notice>>
read_notices(const http_response& answer)
{
    return read_list<reclaim_notice>(
        answer, "notices", [](const exact_json& item) {
            return reclaim_notice{
                item.at("number").get<std::uint64_t>(),
                item.at("instance").get<std::string>(),
                bounded(item.at("reclaim_in_ms").get<double>())};
        });
}

transport::result<std::vector<price_info>>
read_prices(const http_response& answer)
{
    return read_list<price_info>(answer, "prices", [](const exact_json& item) {
        return price_info{item.at("failure_domain").get<std::string>(),
                          class_of(item.at("class").get<std::string>()),
                          item.at("price_per_hour").get<double>()};
    });
}

transport::result<std::vector<instance_line>>
read_instance_list(const http_response& answer)
{
    return read_list<instance_line>(
        answer, "instances", [](const exact_json& item) {
            const auto state = item.at("state").get<std::string>();
            return instance_line{item.at("name").get<std::string>(),
                                 state == "leaving" ? instance_state::leaving
                                                    : instance_state::live,
                                 item.value("incarnation", std::uint64_t{0})};
        });
}

} // namespace hyssopdeal::protocol
