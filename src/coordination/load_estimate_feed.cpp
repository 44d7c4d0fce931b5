#include "load_estimate_feed.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace hyssopdeal::coordination
{

using nlohmann::json;
using std::chrono::milliseconds;
using transport::http_request;

namespace
{

constexpr milliseconds ask_interval{250};
constexpr milliseconds longest_age{10'000};
constexpr std::size_t most_body_bytes = 1'048'576;

transport::http_call_settings call_limits()
{
    transport::http_call_settings limits;
    limits.connect_time_limit = ask_interval;
    limits.total_time_limit = 2 * ask_interval;
    limits.max_body_bytes = most_body_bytes;
    return limits;
}

/// @return A member as a number, or the fallback.
template <class Number>
Number number_in(const json& object, const char* name, Number fallback)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_number() ? found->get<Number>()
                                                       : fallback;
}

std::uint64_t block_of(const json& event)
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
    tick();
}

load_estimate_feed::~load_estimate_feed() = default;

void load_estimate_feed::set_service(const protocol::service& declared)
{
    std::vector<engine_feed> next;
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
        engine_feed engine;
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

load_estimate_feed::engine_feed*
load_estimate_feed::find(const std::string& server)
{
    const auto found =
        std::find_if(engines_.begin(), engines_.end(),
                     [&](const auto& known) { return known.name == server; });
    return found != engines_.end() ? &*found : nullptr;
}

void load_estimate_feed::tick()
{
    for (auto& engine : engines_)
    {
        if (!engine.is_asked)
        {
            ask_load(engine);
        }
    }
    timer_ = loop_.after(ask_interval, [this] { tick(); });
}

void load_estimate_feed::ask_load(engine_feed& engine)
{
    engine.is_asked = true;
    http_request request;
    request.target = "/v1/load";
    engine.call = client_.fetch(engine.address, request, call_limits(),
                                [this, name = engine.name](const auto& answer) {
                                    auto* asked = find(name);
                                    if (asked == nullptr)
                                    {
                                        return;
                                    }
                                    if (!answer || answer->status != 200)
                                    {
                                        asked->is_asked = false;
                                        return;
                                    }
                                    on_load(name, answer->body);
                                    ask_events(*asked);
                                });
}

void load_estimate_feed::ask_events(engine_feed& engine)
{
    http_request request;
    request.target =
        fmt::format("/v1/cache-events?after={}", engine.next_event);
    engine.call = client_.fetch(engine.address, request, call_limits(),
                                [this, name = engine.name](const auto& answer) {
                                    auto* asked = find(name);
                                    if (asked == nullptr)
                                    {
                                        return;
                                    }
                                    asked->is_asked = false;
                                    if (answer && answer->status == 200)
                                    {
                                        on_events(*asked, answer->body);
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
    const transport::wall_time taken_at{
        milliseconds{number_in<std::int64_t>(report, "taken_at_ms", 0)}};
    const auto age =
        std::clamp(clock_.wall_now() - taken_at, milliseconds{0}, longest_age);
    load_report taken;
    taken.taken_at = clock_.monotonic_now() - age;
    taken.running = number_in<std::uint32_t>(report, "running", 0);
    taken.queued = number_in<std::uint32_t>(report, "queued", 0);
    taken.slots = number_in<std::uint32_t>(report, "slots", 0);
    router_.on_report(clock_.monotonic_now(), server, taken);
    on_change_();
}

void load_estimate_feed::on_events(engine_feed& engine, const std::string& body)
{
    const auto answer = json::parse(body, nullptr, false);
    if (!answer.is_object() || !answer.contains("events") ||
        !answer["events"].is_array())
    {
        return;
    }
    for (const auto& event : answer["events"])
    {
        if (!event.is_object())
        {
            continue;
        }
        cache_event taken;
        taken.number = number_in<std::uint64_t>(event, "number", 0);
        taken.block = block_of(event);
        const auto kind = event.find("kind");
        taken.kind = kind != event.end() && *kind == "evicted"
                         ? cache_event_kind::evicted
                         : cache_event_kind::stored;
        if (taken.block != 0)
        {
            router_.on_cache_event(engine.name, taken);
        }
    }
    engine.next_event =
        number_in<std::uint64_t>(answer, "next", engine.next_event);
}

} // namespace hyssopdeal::coordination
