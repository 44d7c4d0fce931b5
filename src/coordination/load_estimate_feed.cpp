#include "load_estimate_feed.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <hyssopdeal/protocol/exact_json.hpp>

namespace hyssopdeal::coordination
{

using nlohmann::json;
using std::chrono::milliseconds;
using transport::http_request;

namespace
{

constexpr milliseconds poll_interval{250};
constexpr milliseconds max_report_age{10'000};
constexpr std::size_t max_response_bytes = 1'048'576;

transport::http_call_settings poll_call_settings()
{
    transport::http_call_settings settings;
    settings.connect_time_limit = poll_interval;
    settings.total_time_limit = 2 * poll_interval;
    settings.max_body_bytes = max_response_bytes;
    return settings;
}

/// @return The named member, or the fallback if it is missing or no integer of
/// that size.
template <class Integer>
Integer integer_or(const json& object, const char* name, Integer fallback)
{
    const auto found = object.find(name);
    return found == object.end()
               ? fallback
               : protocol::number_as<Integer>(*found).value_or(fallback);
}

/// @return The hexadecimal block hash of a cache event, or 0 if it is invalid.
std::uint64_t parse_block_hash(const json& event)
{
    const auto found = event.find("block");
    if (found == event.end() || !found->is_string())
    {
        return 0;
    }
    const auto& text = found->get_ref<const std::string&>();
    std::uint64_t block = 0;
    constexpr int base = 16;
    const auto* end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, block, base);
    return read.ptr == end ? block : 0;
}

} // namespace

load_estimate_feed::load_estimate_feed(transport::event_loop& loop,
                                       const transport::clock& clock,
                                       transport::http_client& client,
                                       service_router& router,
                                       std::function<void()> on_change)
    : loop_(loop),
      clock_(clock),
      client_(client),
      router_(router),
      on_change_(std::move(on_change))
{
    poll_engines();
}

load_estimate_feed::~load_estimate_feed() = default;

void load_estimate_feed::set_service(const protocol::service& declared)
{
    std::vector<engine_poll> next;
    for (const auto& row : router_.rows())
    {
        const auto found = std::find_if(
            declared.servers.begin(), declared.servers.end(),
            [&](const auto& server) { return server.name == row.server; });
        if (declared.kind != protocol::service_kind::model ||
            found == declared.servers.end())
        {
            continue;
        }
        engine_poll engine;
        if (auto* known = find(row.server);
            known != nullptr && known->address == found->address)
        {
            engine.next_event = known->next_event;
        }
        engine.name = row.server;
        engine.address = found->address;
        next.push_back(std::move(engine));
    }
    engines_ = std::move(next);
}

load_estimate_feed::engine_poll*
load_estimate_feed::find(const std::string& server)
{
    const auto found =
        std::find_if(engines_.begin(), engines_.end(),
                     [&](const auto& known) { return known.name == server; });
    return found != engines_.end() ? &*found : nullptr;
}

void load_estimate_feed::poll_engines()
{
    for (auto& engine : engines_)
    {
        if (!engine.poll_in_progress)
        {
            request_load(engine);
        }
    }
    timer_ = loop_.after(poll_interval, [this] { poll_engines(); });
}

void load_estimate_feed::request_load(engine_poll& engine)
{
    engine.poll_in_progress = true;
    http_request request;
    request.target = "/v1/load";
    engine.call =
        client_.fetch(engine.address, request, poll_call_settings(),
                      [this, name = engine.name](const auto& response) {
                          auto* polled = find(name);
                          if (polled == nullptr)
                          {
                              return;
                          }
                          if (!response || response->status != 200)
                          {
                              polled->poll_in_progress = false;
                              return;
                          }
                          on_load(name, response->body);
                          request_cache_events(*polled);
                      });
}

void load_estimate_feed::request_cache_events(engine_poll& engine)
{
    http_request request;
    request.target =
        fmt::format("/v1/cache-events?after={}", engine.next_event);
    engine.call =
        client_.fetch(engine.address, request, poll_call_settings(),
                      [this, name = engine.name](const auto& response) {
                          auto* polled = find(name);
                          if (polled == nullptr)
                          {
                              return;
                          }
                          polled->poll_in_progress = false;
                          if (response && response->status == 200)
                          {
                              on_cache_events(*polled, response->body);
                          }
                      });
}

void load_estimate_feed::on_load(const std::string& server,
                                 const std::string& body)
{
    const auto report = json::parse(body, nullptr, false);
    if (!report.is_object())
    {
        return;
    }
    // The age is clamped because the clocks of engine and node can differ.
    const auto found = report.find("taken_at_ms");
    const double taken_ms =
        found != report.end() && found->is_number() ? found->get<double>() : 0;
    const auto now_ms = clock_.wall_now().time_since_epoch().count();
    const milliseconds age{
        std::llround(std::clamp(static_cast<double>(now_ms) - taken_ms, 0.0,
                                static_cast<double>(max_report_age.count())))};
    load_report load;
    load.taken_at = clock_.monotonic_now() - age;
    load.running = integer_or<std::uint32_t>(report, "running", 0);
    load.queued = integer_or<std::uint32_t>(report, "queued", 0);
    load.slots = integer_or<std::uint32_t>(report, "slots", 0);
    router_.on_report(clock_.monotonic_now(), server, load);
    on_change_();
}

void load_estimate_feed::on_cache_events(engine_poll& engine,
                                         const std::string& body)
{
    const auto response = json::parse(body, nullptr, false);
    if (!response.is_object() || !response.contains("events") ||
        !response["events"].is_array())
    {
        return;
    }
    for (const auto& event : response["events"])
    {
        if (!event.is_object())
        {
            continue;
        }
        cache_event parsed;
        parsed.number = integer_or<std::uint64_t>(event, "number", 0);
        parsed.block = parse_block_hash(event);
        const auto kind = event.find("kind");
        parsed.kind = kind != event.end() && *kind == "evicted"
                          ? cache_event_kind::evicted
                          : cache_event_kind::stored;
        if (parsed.block != 0)
        {
            router_.on_cache_event(engine.name, parsed);
        }
    }
    engine.next_event =
        integer_or<std::uint64_t>(response, "next", engine.next_event);
}

} // namespace hyssopdeal::coordination
