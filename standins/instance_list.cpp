#include "instance_list.hpp"

#include <deque>
#include <map>
#include <utility>

#include <nlohmann/json.hpp>

#include <hyssopdeal/transport/http_server.hpp>

#include "json_answer.hpp"

namespace hyssopdeal::standins
{

namespace
{

using nlohmann::json;
using transport::http_request;
using transport::http_response;

constexpr std::string_view change_path = "/instances/";

/// What was told of an instance.
struct instance_change
{
    transport::monotonic_time shown_at{};
    std::string name;
    std::string state; ///< Empty: removed.
    std::uint64_t incarnation = 0;
};

} // namespace

void describe(protocol::settings_fields& fields, instance_list_settings& value)
{
    constexpr std::int64_t max_port = 65'535;
    fields.text("address", value.address, protocol::text_rule::ip_number);
    fields.integer("port", value.port, 0, max_port);
    fields.duration("lag_ms", value.lag, std::chrono::milliseconds{0},
                    std::chrono::milliseconds{3'600'000});
}

struct instance_list::impl
{
    impl(transport::event_loop& loop, const transport::clock& with,
         instance_list_settings own)
        : clock{with},
          settings{std::move(own)},
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
        const std::string_view target = request.target;
        if (request.method == "GET" && target == "/v1/instance-list")
        {
            return list();
        }
        if (!target.starts_with(change_path))
        {
            return error_answer(404, "not_found", "No such path.");
        }
        instance_change change;
        change.shown_at = clock.monotonic_now() + settings.lag;
        change.name = target.substr(change_path.size());
        if (request.method == "PUT")
        {
            const auto body = json::parse(request.body);
            change.state = body.at("state");
            change.incarnation = body.value("incarnation", 0);
        }
        changes.push_back(std::move(change));
        return json_answer(200, "{}");
    }
    catch (const json::exception& error)
    {
        return error_answer(400, "bad_request", error.what());
    }

    http_response list()
    {
        const auto now = clock.monotonic_now();
        while (!changes.empty() && changes.front().shown_at <= now)
        {
            shown[changes.front().name] = changes.front();
            changes.pop_front();
        }
        const auto taken_at = clock.wall_now() - settings.lag;
        json body{{"taken_at_ms", taken_at.time_since_epoch().count()},
                  {"instances", json::array()}};
        for (const auto& [name, instance] : shown)
        {
            if (!instance.state.empty())
            {
                body["instances"].push_back(
                    {{"name", name},
                     {"state", instance.state},
                     {"incarnation", instance.incarnation}});
            }
        }
        return json_answer(200, body.dump());
    }

    const transport::clock& clock;
    instance_list_settings settings;
    std::deque<instance_change> changes;
    std::map<std::string, instance_change> shown;
    transport::http_server server;
};

instance_list::instance_list(transport::event_loop& loop,
                             const transport::clock& clock,
                             instance_list_settings settings)
    : impl_{std::make_unique<impl>(loop, clock, std::move(settings))}
{}

instance_list::~instance_list() = default;

transport::result<std::uint16_t> instance_list::start()
{
    return impl_->server.start();
}

} // namespace hyssopdeal::standins
