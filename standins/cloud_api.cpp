#include "cloud_api.hpp"

#include <algorithm>
#include <limits>
#include <random>
#include <utility>

#include <nlohmann/json.hpp>

#include <hyssopdeal/transport/http_server.hpp>

#include "json_answer.hpp"

namespace hyssopdeal::standins
{

namespace
{

using nlohmann::json;
using protocol::price_class;
using std::chrono::milliseconds;
using transport::http_request;
using transport::http_response;

constexpr std::string_view instances_path = "/v1/instances";

const char* name_of(price_class value)
{
    return value == price_class::reclaimable ? "reclaimable" : "on_demand";
}

cloud_settings model_settings(const cloud_api_settings& from)
{
    cloud_settings result;
    for (const auto& price : from.prices)
    {
        result.prices.push_back(
            {price.failure_domain, price_class::on_demand, price.on_demand});
        if (price.reclaimable > 0)
        {
            result.prices.push_back({price.failure_domain,
                                     price_class::reclaimable,
                                     price.reclaimable});
        }
    }
    result.refusal = from.refusal;
    result.start_time = milliseconds{0};
    return result;
}

} // namespace

void describe(protocol::settings_fields& fields, cloud_price_setting& value)
{
    constexpr double max_price = 1e6;
    fields.text("failure_domain", value.failure_domain,
                protocol::text_rule::name, protocol::presence::required);
    fields.real("on_demand", value.on_demand, 0, max_price);
    fields.real("reclaimable", value.reclaimable, 0, max_price);
}

void describe(protocol::settings_fields& fields, cloud_api_settings& value)
{
    constexpr std::int64_t max_port = 65'535;
    constexpr std::size_t max_items = 10'000;
    fields.text("address", value.address, protocol::text_rule::ip_number);
    fields.integer("port", value.port, 0, max_port);
    fields.list("prices", value.prices, max_items);
    fields.text_list("addresses", value.addresses, protocol::text_rule::address,
                     max_items);
    fields.real("refusal", value.refusal, 0, 1);
    fields.real("lost_answers", value.lost_answers, 0, 1);
    fields.integer("seed", value.seed, 0,
                   std::numeric_limits<std::int64_t>::max());
}

struct cloud_api::impl
{
    impl(transport::event_loop& loop, const transport::clock& with,
         cloud_api_settings own)
        : clock{with},
          settings{std::move(own)},
          model{model_settings(settings), settings.seed},
          random{settings.seed},
          server{loop, server_settings(),
                 [this](const http_request& request,
                        transport::http_responder responder) {
                     responder.send(handle(request));
                 }}
    {}

    [[nodiscard]] transport::http_server_settings server_settings() const
    {
        transport::http_server_settings result;
        result.address = settings.address;
        result.port = settings.port;
        return result;
    }

    http_response handle(const http_request& request)
    try
    {
        model.advance(clock.wall_now());
        const std::string_view target = request.target;
        const auto path = target.substr(0, target.find('?'));
        if (request.method == "POST" && path == instances_path)
        {
            return start(json::parse(request.body));
        }
        if (request.method == "DELETE" && path.starts_with(instances_path))
        {
            model.release(clock.wall_now(),
                          path.substr(instances_path.size() + 1));
            return json_answer(200, "{}");
        }
        if (request.method == "POST" && path == "/reclaim")
        {
            return reclaim(json::parse(request.body));
        }
        return list(path, query_number(target, "after", 0));
    }
    catch (const json::exception& error)
    {
        return error_answer(400, "bad_request", error.what());
    }

    http_response start(const json& body)
    {
        state::purchase_record order;
        order.order_id = body.at("order_id");
        order.failure_domain = body.at("failure_domain");
        order.service = body.at("service");
        order.version = body.at("version");
        order.price = body.at("class") == "reclaimable"
                          ? price_class::reclaimable
                          : price_class::on_demand;
        const bool room = model.started() < settings.addresses.size() ||
                          model.knows_order(order.order_id);
        const auto* started =
            room ? model.start(clock.wall_now(), order) : nullptr;
        if (started == nullptr)
        {
            return error_answer(503, "refused", "No capacity.");
        }
        if (std::uniform_real_distribution<double>{}(random) <
            settings.lost_answers)
        {
            return error_answer(500, "internal", "The answer is lost.");
        }
        return json_answer(201, describe_instance(*started).dump());
    }

    /// The n-th instance runs at the n-th address.
    [[nodiscard]] json describe_instance(const cloud_instance& instance) const
    {
        const auto number = std::stoul(instance.name.substr(1));
        return {{"name", instance.name},
                {"address", settings.addresses.at(number - 1)},
                {"order_id", instance.order_id},
                {"failure_domain", instance.failure_domain},
                {"class", name_of(instance.price_class)}};
    }

    http_response reclaim(const json& body)
    {
        const auto now = clock.wall_now();
        const milliseconds notice{body.value("notice_ms", 1'000)};
        if (body.contains("instance"))
        {
            model.reclaim(now, body.at("instance").get<std::string>(), notice);
        }
        else if (body.contains("failure_domain"))
        {
            model.reclaim_domain(now,
                                 body.at("failure_domain").get<std::string>(),
                                 notice, milliseconds{0});
        }
        else
        {
            model.reclaim_part(now, body.at("part").get<double>(), notice);
        }
        return json_answer(200, "{}");
    }

    http_response list(std::string_view path, std::uint64_t after)
    {
        json body;
        if (path == instances_path)
        {
            body["instances"] = json::array();
            for (const auto& [name, instance] : model.instances())
            {
                body["instances"].push_back(describe_instance(instance));
            }
        }
        else if (path == "/v1/notices")
        {
            body["notices"] = json::array();
            for (const auto& notice : model.notices_after(after))
            {
                const auto left = std::max(notice.gone_at - clock.wall_now(),
                                           milliseconds{0});
                body["notices"].push_back({{"number", notice.number},
                                           {"instance", notice.instance},
                                           {"reclaim_in_ms", left.count()}});
            }
        }
        else if (path == "/v1/prices")
        {
            body["prices"] = json::array();
            for (const auto& price : model.settings().prices)
            {
                body["prices"].push_back(
                    {{"failure_domain", price.failure_domain},
                     {"class", name_of(price.price_class)},
                     {"price_per_hour", price.price_per_hour}});
            }
        }
        else if (path == "/counts")
        {
            body = {{"started", model.started()},
                    {"running", model.instances().size()}};
        }
        else
        {
            return error_answer(404, "not_found", "No such path.");
        }
        return json_answer(200, body.dump());
    }

    const transport::clock& clock;
    cloud_api_settings settings;
    cloud_model model;
    std::mt19937_64 random;
    transport::http_server server;
};

cloud_api::cloud_api(transport::event_loop& loop, const transport::clock& clock,
                     cloud_api_settings settings)
    : impl_{std::make_unique<impl>(loop, clock, std::move(settings))}
{}

cloud_api::~cloud_api() = default;

transport::result<std::uint16_t> cloud_api::start()
{
    return impl_->server.start();
}

cloud_model& cloud_api::model()
{
    return impl_->model;
}

} // namespace hyssopdeal::standins
