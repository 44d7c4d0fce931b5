#include "plain_service.hpp"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <hyssopdeal/transport/http_server.hpp>

#include "json_answer.hpp"

namespace hyssopdeal::standins
{

namespace
{

using transport::http_request;
using transport::http_responder;
using transport::http_response;

constexpr std::string_view count_path = "/count/";
constexpr std::size_t max_connections = 20'000;

std::string_view status_of(std::string_view entry)
{
    constexpr std::string_view names[] = {"received", "at the bench", "judged"};
    return names[XXH64(entry.data(), entry.size(), 0) % std::size(names)];
}

http_response status_answer(std::string_view path)
{
    const auto id = path.substr(path.rfind('/') + 1);
    nlohmann::json body;
    body["id"] = id;
    body["status"] = status_of(id);
    return json_answer(200, body.dump());
}

} // namespace

void describe(protocol::settings_fields& fields, plain_service_settings& value)
{
    constexpr std::int64_t max_port = 65'535;
    fields.text("address", value.address, protocol::text_rule::ip_number);
    fields.integer("port", value.port, 0, max_port);
    fields.object("behaviour", value.behaviour);
}

struct plain_service::impl
{
    impl(transport::event_loop& on_loop, const transport::clock& with_clock,
         plain_service_settings wanted)
        : loop(on_loop),
          clock(with_clock),
          settings(std::move(wanted)),
          behaviour(settings.behaviour),
          server(loop, server_settings(),
                 [this](const http_request& request, http_responder responder) {
                     handle(request, std::move(responder));
                 })
    {}

    [[nodiscard]] transport::http_server_settings server_settings() const
    {
        transport::http_server_settings result;
        result.address = settings.address;
        result.port = settings.port;
        result.max_connections = max_connections;
        return result;
    }

    void handle(const http_request& request, http_responder responder)
    {
        const std::string target = request.target;
        const auto path = std::string_view(target).substr(0, target.find('?'));
        if (path == "/behaviour" || path == "/counts" || path == "/v1/load" ||
            path.starts_with(count_path))
        {
            responder.send(control(request, path));
            return;
        }
        ++requests;
        const bool faulty = shows_fault(path);
        if (faulty && behaviour.fault == version_fault::refuses)
        {
            responder.send(refusal("Refused by its behaviour."));
            return;
        }
        auto answer = run(request, path);
        if (faulty && behaviour.fault == version_fault::fails)
        {
            answer = error_answer(500, "failed", "The service failed.");
        }
        const bool answers =
            !(faulty && (behaviour.fault == version_fault::broken ||
                         behaviour.fault == version_fault::stalls));
        finish(std::move(answer), std::move(responder), answers);
    }

    // Answers after the work time; a broken call loses its answer instead.
    void finish(http_response answer, http_responder responder, bool answers)
    {
        const auto number = ++last_delay;
        ++running;
        delays[number] =
            loop.after(behaviour.work_time,
                       [this, number, answers, answer = std::move(answer),
                        responder = std::move(responder)]() mutable {
                           --running;
                           if (answers)
                           {
                               responder.send(std::move(answer));
                           }
                           else
                           {
                               responder.begin_stream(200, {});
                               responder.abort_stream();
                           }
                           loop.post([this, number] { delays.erase(number); });
                       });
    }

    bool shows_fault(std::string_view path) const
    {
        const bool here =
            behaviour.fault_on_path.empty() ||
            path.find(behaviour.fault_on_path) != std::string_view::npos;
        return behaviour.fault != version_fault::none && here &&
               requests % behaviour.fault_every == 0;
    }

    http_response run(const http_request& request, std::string_view path)
    {
        if (request.method == "GET")
        {
            return status_answer(path);
        }
        const std::string key(
            transport::find_header(request.headers, "Idempotency-Key"));
        const auto count = key.empty() ? 0 : ++counts[key];
        nlohmann::json body;
        body["done"] = path;
        body["run"] = count;
        body["receipt"] = fmt::format(
            "{:016x}", XXH64(request.body.data(), request.body.size(), 0));
        return json_answer(201, body.dump());
    }

    http_response control(const http_request& request, std::string_view path)
    {
        if (path == "/behaviour" && request.method == "PUT")
        {
            auto changed = protocol::read_settings<plain_behaviour>(
                request.body, "behaviour", behaviour);
            if (!changed)
            {
                return error_answer(400, "bad_settings", changed.error().text);
            }
            behaviour = *changed;
        }
        if (path == "/behaviour")
        {
            return json_answer(200, protocol::write_settings(behaviour));
        }
        if (path == "/v1/load")
        {
            return json_answer(
                200, fmt::format("{{\"taken_at_ms\":{},\"running\":{},"
                                 "\"queued\":0,\"slots\":64,\"kv_used\":0}}",
                                 clock.wall_now().time_since_epoch().count(),
                                 running));
        }
        if (path == "/counts")
        {
            return counts_answer();
        }
        const std::string key(path.substr(count_path.size()));
        nlohmann::json body;
        body["key"] = key;
        body["count"] = runs(key);
        return json_answer(200, body.dump());
    }

    http_response counts_answer() const
    {
        const auto repeated =
            std::count_if(counts.begin(), counts.end(),
                          [](const auto& entry) { return entry.second > 1; });
        return json_answer(200, fmt::format("{{\"keys\":{},\"repeated\":{}}}",
                                            counts.size(), repeated));
    }

    std::uint64_t runs(const std::string& key) const
    {
        const auto found = counts.find(key);
        return found == counts.end() ? 0 : found->second;
    }

    transport::event_loop& loop;
    const transport::clock& clock;
    plain_service_settings settings;
    plain_behaviour behaviour;
    std::unordered_map<std::string, std::uint64_t> counts;
    std::uint64_t requests = 0;
    std::uint32_t running = 0;
    std::uint64_t last_delay = 0;
    std::unordered_map<std::uint64_t, transport::timer_handle> delays;
    transport::http_server server;
};

plain_service::plain_service(transport::event_loop& loop,
                             const transport::clock& clock,
                             plain_service_settings settings)
    : impl_(std::make_unique<impl>(loop, clock, std::move(settings)))
{}

plain_service::~plain_service() = default;

transport::result<std::uint16_t> plain_service::start()
{
    return impl_->server.start();
}

void plain_service::set_behaviour(const plain_behaviour& behaviour)
{
    impl_->behaviour = behaviour;
}

std::uint64_t plain_service::runs(const std::string& key) const
{
    return impl_->runs(key);
}

std::uint64_t plain_service::most_runs() const
{
    std::uint64_t most = 0;
    for (const auto& entry : impl_->counts)
    {
        most = std::max(most, entry.second);
    }
    return most;
}

} // namespace hyssopdeal::standins
