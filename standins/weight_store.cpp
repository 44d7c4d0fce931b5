#include "weight_store.hpp"

#include <utility>

#include <nlohmann/json.hpp>

#include <hyssopdeal/transport/http_server.hpp>

#include "json_answer.hpp"

namespace hyssopdeal::standins
{

using transport::http_request;
using transport::http_response;

void describe(protocol::settings_fields& fields, weight_store_settings& value)
{
    constexpr std::int64_t max_port = 65'535;
    constexpr std::int64_t max_count = 1'000'000;
    constexpr std::chrono::milliseconds longest{3'600'000};
    fields.text("address", value.address, protocol::text_rule::ip_number);
    fields.integer("port", value.port, 0, max_port);
    fields.duration("fetch_time_ms", value.fetch_time,
                    std::chrono::milliseconds{0}, longest);
    fields.integer("fetches", value.fetches, 0, max_count);
    fields.duration("window_ms", value.window, std::chrono::milliseconds{1},
                    longest);
    fields.integer("fail_every", value.fail_every, 0, max_count);
}

struct weight_store::impl
{
    impl(transport::event_loop& loop, const transport::clock& with,
         weight_store_settings own)
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
    {
        ++requests;
        if (settings.fail_every > 0 && requests % settings.fail_every == 0)
        {
            return error_answer(500, "internal", "A fault was asked for.");
        }
        if (request.method != "POST" || request.target != "/v1/fetch")
        {
            return error_answer(404, "not_found", "No such path.");
        }
        const auto body = nlohmann::json::parse(request.body, nullptr, false);
        if (!body.is_object() || !body.contains("version") ||
            !body.contains("server"))
        {
            return error_answer(400, "bad_request", "Version and server.");
        }
        return fetch();
    }

    http_response fetch()
    {
        const auto now = clock.monotonic_now();
        if (now >= window_ends)
        {
            window_ends = now + settings.window;
            in_window = 0;
        }
        if (in_window >= settings.fetches)
        {
            ++limited;
            auto answer = error_answer(429, "limited", "Too many fetches.");
            const auto wait =
                std::chrono::ceil<std::chrono::seconds>(window_ends - now);
            answer.headers.push_back(
                {"Retry-After", std::to_string(wait.count())});
            return answer;
        }
        ++in_window;
        ++accepted;
        const nlohmann::json body{{"ready_in_ms", settings.fetch_time.count()}};
        return json_answer(202, body.dump());
    }

    const transport::clock& clock;
    weight_store_settings settings;
    transport::monotonic_time window_ends{};
    std::uint32_t in_window = 0;
    std::uint64_t requests = 0;
    std::uint64_t accepted = 0;
    std::uint64_t limited = 0;
    transport::http_server server;
};

weight_store::weight_store(transport::event_loop& loop,
                           const transport::clock& clock,
                           weight_store_settings settings)
    : impl_{std::make_unique<impl>(loop, clock, std::move(settings))}
{}

weight_store::~weight_store() = default;

transport::result<std::uint16_t> weight_store::start()
{
    return impl_->server.start();
}

std::uint64_t weight_store::accepted() const
{
    return impl_->accepted;
}

std::uint64_t weight_store::limited() const
{
    return impl_->limited;
}

} // namespace hyssopdeal::standins
