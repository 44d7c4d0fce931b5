#include "engine.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <hyssopdeal/transport/http_server.hpp>

#include "engine_orders.hpp"
#include "engine_scheduler.hpp"
#include "json_answer.hpp"
#include "kv_transfer.hpp"
#include "prefix_cache.hpp"

namespace hyssopdeal::standins
{

namespace
{

using transport::http_request;
using transport::http_responder;
using transport::http_response;

constexpr std::string_view attempts_path = "/v1/attempts/";
constexpr std::string_view export_path = "/v1/kv/export/";
constexpr std::uint64_t max_connections = 20'000;

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::string_view header(const http_request& request, std::string_view name)
{
    return transport::find_header(request.headers, name);
}

std::uint32_t priority_of(const http_request& request)
{
    constexpr std::uint32_t standard = 1;
    const auto text = header(request, "Hyssopdeal-Priority");
    return text.size() == 1 && text[0] >= '0' && text[0] <= '2'
               ? static_cast<std::uint32_t>(text[0] - '0')
               : standard;
}

} // namespace

void describe(protocol::settings_fields& fields, engine_settings& value)
{
    constexpr std::int64_t max_port = 65'535;
    constexpr std::int64_t max_count = 1'000'000;
    fields.text("address", value.address, protocol::text_rule::ip_number);
    fields.integer("port", value.port, 0, max_port);
    fields.text("version", value.version, protocol::text_rule::name);
    fields.integer("slots", value.slots, 1, max_count);
    fields.integer("max_queued", value.max_queued, 0, max_count);
    fields.integer("cache_blocks", value.cache_blocks, 0, max_count);
    fields.flag("checks_orders", value.checks_orders);
    fields.object("behaviour", value.behaviour);
}

void describe(protocol::settings_fields& fields, engine_counters& value)
{
    constexpr auto most = std::numeric_limits<std::int64_t>::max();
    fields.integer("requests", value.requests, 0, most);
    fields.integer("refused", value.refused, 0, most);
    fields.integer("faults", value.faults, 0, most);
    fields.integer("cancelled", value.cancelled, 0, most);
    fields.integer("resumed", value.resumed, 0, most);
    fields.integer("continued", value.continued, 0, most);
    fields.integer("generated_tokens", value.generated_tokens, 0, most);
    fields.integer("prompt_tokens", value.prompt_tokens, 0, most);
    fields.integer("cached_tokens", value.cached_tokens, 0, most);
    fields.integer("repeated_tokens", value.repeated_tokens, 0, most);
    fields.integer("stale_orders", value.stale_orders, 0, most);
}

struct engine::impl
{
    impl(transport::event_loop& on_loop, const transport::clock& with_clock,
         engine_settings wanted)
        : loop(on_loop),
          clock(with_clock),
          settings(std::move(wanted)),
          behaviour(settings.behaviour),
          orders(settings.version, settings.checks_orders
                                       ? fence_check::refuses_old
                                       : fence_check::ignores),
          cache(settings.cache_blocks),
          kv(loop, clock, cache),
          scheduler(loop, clock, settings.slots,
                    [this](const engine_attempt& attempt) { ended(attempt); }),
          server(loop, server_settings(),
                 [this](const http_request& request, http_responder responder) {
                     handle(request, std::move(responder));
                 })
    {
        scheduler.set_behaviour(behaviour);
    }

    [[nodiscard]] transport::http_server_settings server_settings() const
    {
        constexpr std::size_t max_body_bytes = 16'777'216;
        transport::http_server_settings result;
        result.address = settings.address;
        result.port = settings.port;
        result.max_connections = max_connections;
        result.max_body_bytes = max_body_bytes;
        return result;
    }

    void handle(const http_request& request, http_responder responder)
    {
        const std::string target = request.target;
        const auto path = path_of(target);
        if (request.method == "POST" && path.ends_with("/chat/completions"))
        {
            complete(request, std::move(responder));
        }
        else if (path.starts_with(attempts_path))
        {
            on_attempt(request, path.substr(attempts_path.size()),
                       std::move(responder));
        }
        else if (request.method == "POST" && path == "/v1/kv/import")
        {
            kv.import_blocks(request.body, behaviour.kv_bytes_per_ms,
                             std::move(responder));
        }
        else
        {
            responder.send(answer(request, path));
        }
    }

    http_response answer(const http_request& request, std::string_view path)
    {
        if (request.method == "GET")
        {
            return answer_get(request, path);
        }
        if (request.method == "POST" && path == "/v1/orders")
        {
            return orders.apply(request.body, clock.monotonic_now(),
                                behaviour.load_time);
        }
        if (request.method == "POST" && path.starts_with(export_path))
        {
            return export_kv(path.substr(export_path.size()));
        }
        if (request.method == "PUT" && path == "/behaviour")
        {
            return change_behaviour(request.body);
        }
        return error_answer(404, "not_found", "No such path or method.");
    }

    http_response answer_get(const http_request& request, std::string_view path)
    {
        if (path == "/v1/load")
        {
            return load();
        }
        if (path == "/v1/cache-events")
        {
            return cache_events(query_number(request.target, "after", 0));
        }
        if (path == "/v1/orders")
        {
            return orders.current(clock.monotonic_now());
        }
        if (path == "/behaviour")
        {
            return json_answer(200, protocol::write_settings(behaviour));
        }
        if (path == "/counters")
        {
            return json_answer(200, protocol::write_settings(current()));
        }
        if (path.starts_with(kv_path))
        {
            return kv.stored_blocks(path.substr(kv_path.size()));
        }
        return error_answer(404, "not_found", "No such path.");
    }

    http_response load() const
    {
        const auto sample = scheduler.report();
        const double used =
            settings.cache_blocks == 0
                ? 0
                : static_cast<double>(cache.size()) / settings.cache_blocks;
        return json_answer(
            200,
            fmt::format("{{\"taken_at_ms\":{},\"running\":{},"
                        "\"queued\":{},\"slots\":{},\"kv_used\":{:.4f}}}",
                        sample.taken_at.time_since_epoch().count(),
                        sample.running, sample.queued, settings.slots, used));
    }

    http_response cache_events(std::uint64_t after) const
    {
        const auto before = clock.monotonic_now() - behaviour.cache_event_lag;
        const auto found = cache.events(after, before);
        nlohmann::json body;
        body["events"] = nlohmann::json::array();
        auto next = after;
        for (const auto& event : found)
        {
            next = event.number;
            const auto gap = behaviour.cache_event_gap_every;
            if (gap != 0 && event.number % gap == 0)
            {
                continue;
            }
            body["events"].push_back(
                {{"number", event.number},
                 {"kind", event.kind == cache_event_kind::stored ? "stored"
                                                                 : "evicted"},
                 {"block", fmt::format("{:016x}", event.block)}});
        }
        body["next"] = next;
        return json_answer(200, body.dump());
    }

    http_response change_behaviour(const std::string& body)
    {
        auto changed = protocol::read_settings<engine_behaviour>(
            body, "behaviour", behaviour);
        if (!changed)
        {
            return error_answer(400, "bad_settings", changed.error().text);
        }
        behaviour = *changed;
        scheduler.set_behaviour(behaviour);
        return json_answer(200, protocol::write_settings(behaviour));
    }

    bool shows_fault(const http_request& request, const chat_prompt& prompt,
                     const std::string& version) const
    {
        const auto holds = [](std::string_view text, const std::string& part) {
            return part.empty() || text.find(part) != std::string_view::npos;
        };
        const auto& on = behaviour;
        const bool route =
            on.fault_on_path.empty() ||
            holds(request.target, on.fault_on_path) ||
            holds(header(request, "Hyssopdeal-Route"), on.fault_on_path);
        return on.fault != version_fault::none && route &&
               (on.fault_on_version.empty() ||
                on.fault_on_version == version) &&
               counters.requests > on.fault_after_requests &&
               (on.fault_above_running == 0 ||
                scheduler.running() > on.fault_above_running) &&
               counters.requests % on.fault_every == 0 &&
               holds(prompt.rendered, on.fault_on_text);
    }

    void complete(const http_request& request, http_responder responder)
    {
        auto prompt = read_chat_prompt(request.body);
        if (!prompt)
        {
            responder.send(
                error_answer(400, "bad_request", prompt.error().text));
            return;
        }
        const auto now = clock.monotonic_now();
        const auto version =
            prompt->model.empty() ? orders.default_version(now) : prompt->model;
        if (!orders.serves(version, now))
        {
            refuse(std::move(responder), "The version is not loaded here.");
            return;
        }
        if (scheduler.queued() >= settings.max_queued)
        {
            refuse(std::move(responder), "The queue is full.");
            return;
        }
        ++counters.requests;
        attempt_request wanted;
        wanted.version = version;
        wanted.fault = shows_fault(request, *prompt, version)
                           ? behaviour.fault
                           : version_fault::none;
        wanted.prompt = std::move(*prompt);
        begin(request, std::move(wanted), std::move(responder));
    }

    void refuse(http_responder responder, std::string_view text)
    {
        ++counters.refused;
        responder.send(refusal(text));
    }

    void begin(const http_request& request, attempt_request wanted,
               http_responder responder)
    {
        counters.faults += wanted.fault == version_fault::none ? 0 : 1;
        if (wanted.fault == version_fault::refuses)
        {
            refuse(std::move(responder), "Refused by its behaviour.");
            return;
        }
        if (wanted.fault == version_fault::fails)
        {
            responder.send(error_answer(500, "failed", "The engine failed."));
            return;
        }
        wanted.id = header(request, "Hyssopdeal-Attempt");
        if (wanted.id.empty())
        {
            wanted.id = fmt::format("{:032x}", ++made_ids);
        }
        if (scheduler.find(wanted.id) != nullptr)
        {
            responder.send(
                error_answer(409, "attempt_exists", "The attempt is known."));
            return;
        }
        wanted.priority = priority_of(request);
        count_prompt(wanted);
        auto attempt =
            std::make_shared<engine_attempt>(std::move(wanted), behaviour);
        attempt->attach(std::move(responder), 1);
        scheduler.add(std::move(attempt));
    }

    void count_prompt(attempt_request& wanted)
    {
        const auto text = wanted.prompt.rendered + wanted.prompt.begun;
        const auto chain = block_chain(text);
        const auto held = cache.leading(chain);
        wanted.prompt_tokens = count_prompt_tokens(text);
        wanted.cached_tokens =
            count_prompt_tokens(text.substr(0, held * block_bytes));
        cache.store(chain, clock.monotonic_now());
        counters.prompt_tokens += wanted.prompt_tokens;
        counters.cached_tokens += wanted.cached_tokens;
        if (!wanted.prompt.begun.empty())
        {
            ++counters.continued;
            const auto before = count_prompt_tokens(wanted.prompt.rendered);
            counters.repeated_tokens +=
                wanted.prompt_tokens - std::max(before, wanted.cached_tokens);
        }
    }

    void ended(const engine_attempt& attempt)
    {
        counters.generated_tokens += attempt.generated();
        cache.store(block_chain(attempt.whole_text()), clock.monotonic_now());
    }

    void on_attempt(const http_request& request, std::string_view id,
                    http_responder responder)
    {
        const auto attempt = scheduler.find(id);
        if (attempt == nullptr)
        {
            responder.send(error_answer(404, "not_found", "No such attempt."));
        }
        else if (request.method == "GET")
        {
            ++counters.resumed;
            attempt->attach(std::move(responder),
                            query_number(request.target, "from", 1));
        }
        else if (request.method == "DELETE")
        {
            ++counters.cancelled;
            scheduler.cancel(attempt);
            responder.send(json_answer(200, "{}"));
        }
        else
        {
            responder.send(error_answer(405, "bad_request", "GET or DELETE."));
        }
    }

    http_response export_kv(std::string_view id)
    {
        const auto attempt = scheduler.find(id);
        if (attempt == nullptr)
        {
            return error_answer(404, "not_found", "No such attempt.");
        }
        return kv.export_blocks(id, attempt->whole_text());
    }

    [[nodiscard]] engine_counters current() const
    {
        auto result = counters;
        result.stale_orders = orders.stale();
        return result;
    }

    transport::event_loop& loop;
    const transport::clock& clock;
    engine_settings settings;
    engine_behaviour behaviour;
    engine_orders orders;
    prefix_cache cache;
    engine_counters counters;
    std::uint64_t made_ids = 0;
    kv_transfer kv;
    engine_scheduler scheduler;
    transport::http_server server;
};

engine::engine(transport::event_loop& loop, const transport::clock& clock,
               engine_settings settings)
    : impl_(std::make_unique<impl>(loop, clock, std::move(settings)))
{}

engine::~engine() = default;

transport::result<std::uint16_t> engine::start()
{
    return impl_->server.start();
}

void engine::set_behaviour(const engine_behaviour& behaviour)
{
    impl_->behaviour = behaviour;
    impl_->scheduler.set_behaviour(behaviour);
}

engine_counters engine::counters() const
{
    return impl_->current();
}

} // namespace hyssopdeal::standins
