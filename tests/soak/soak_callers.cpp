#include "soak/soak_callers.hpp"

#include <charconv>

#include <fmt/format.h>

#include "platform/counterpart.hpp"
#include "platform/documents.hpp"

namespace hyssopdeal::soak
{

using std::chrono::milliseconds;

namespace
{

constexpr const char* host = "h.example";
constexpr const char* key = "key-of-o";
constexpr milliseconds call_time_limit{3'000};
constexpr int good = 200;
constexpr milliseconds patience{1'000}; ///< Of an operator, for one answer.
constexpr milliseconds pause{150};      ///< Before the same order again.
constexpr std::uint64_t probed_versions = 8; ///< That a document has routes of.

std::string path_of(route_kind kind, std::uint64_t version)
{
    switch (kind)
    {
    case route_kind::safe:
        return "/safe/x";
    case route_kind::once:
        return "/once/x";
    case route_kind::stream:
        return "/stream/x";
    case route_kind::once_stream:
        return "/say/x";
    case route_kind::probe:
        break;
    }
    return fmt::format("/v{}/x", version);
}

bool streams(route_kind kind)
{
    return kind == route_kind::stream || kind == route_kind::once_stream;
}

} // namespace

// [soak_callers] -------------------------------------------------------------

struct soak_callers::call
{
    std::uint64_t number = 0;
    std::string id;
    route_kind kind = route_kind::safe;
    int status = 0;
    bool proven = false;
    std::string body;
    transport::http1_call running;
    transport::timer_handle leaves;
};

soak_callers::soak_callers(soak_world& world)
    : world_(world)
{}

soak_callers::~soak_callers() = default;

void soak_callers::start()
{
    running_ = true;
    next();
}

void soak_callers::stop()
{
    running_ = false;
    timer_.cancel();
}

std::size_t soak_callers::open() const noexcept
{
    return open_.size();
}

void soak_callers::next()
{
    std::exponential_distribution<double> pause{
        world_.settings.calls_per_second * world_.load_factor};
    timer_ = world_.loop.after(
        std::chrono::duration_cast<std::chrono::nanoseconds>(
            std::chrono::duration<double>{pause(world_.random)}),
        [this] {
            constexpr std::array kinds = {route_kind::safe, route_kind::once,
                                          route_kind::once, route_kind::stream,
                                          route_kind::once_stream};
            send(world_.drawn_below(world_.settings.entries),
                 kinds.at(world_.drawn_below(kinds.size())), 0);
            next();
        });
}

void soak_callers::probe(std::uint64_t version)
{
    for (std::size_t entry = 0; entry < world_.settings.entries; ++entry)
    {
        if (version > 0 && world_.runs(fault_place::entry, entry))
        {
            send(entry, route_kind::probe, version);
        }
    }
}

void soak_callers::send(std::size_t entry, route_kind kind,
                        std::uint64_t version)
{
    constexpr double leaving = 0.04;
    constexpr milliseconds longest_stay{200};
    auto one = std::make_shared<call>();
    one->number = ++last_;
    one->id = fmt::format("e{}-{}", entry, one->number);
    one->kind = kind;
    request_record record;
    record.entry = entry;
    record.entry_life = world_.life(entry);
    record.kind = kind;
    record.version = version;
    world_.ledger.sent(one->id, record);
    platform::caller_call told;
    told.host = host;
    told.target = path_of(kind, version);
    told.attempt_id = one->id;
    told.key = key;
    told.time_limit = call_time_limit;
    told.prompt_tokens = streams(kind) ? 100 : 0;
    told.output_tokens = streams(kind) ? 20 : 0;
    transport::http1_call_handlers handlers;
    handlers.on_head = [one](int status, const auto& headers) {
        one->status = status;
        one->proven = platform::bears_proof(headers);
        return transport::head_choice::take;
    };
    handlers.on_data = [one](std::string_view piece) { one->body += piece; };
    handlers.on_end = [this, one](const auto& how) { end(one, how); };
    open_[one->number] = one;
    one->running = world_.client.start(world_.callers_address(entry),
                                       platform::encode_call(told), {},
                                       std::move(handlers));
    one->running.limit(world_.loop, call_time_limit + milliseconds{1'000});
    if (kind != route_kind::probe && world_.drawn() < leaving)
    {
        const auto stay = milliseconds{
            world_.drawn_below(static_cast<std::size_t>(longest_stay.count()))};
        one->leaves = world_.loop.after(stay, [this, one] {
            one->running.cancel();
            world_.ledger.left(one->id);
            open_.erase(one->number);
        });
    }
}

void soak_callers::end(const std::shared_ptr<call>& one,
                       const transport::http1_call_end& how)
{
    constexpr int first_error = 300;
    one->leaves.cancel();
    world_.ledger.answered(one->id, one->status, how);
    open_.erase(one->number);
    const bool good = one->status > 0 && one->status < first_error;
    if (!good || !how.complete)
    {
        return;
    }
    std::string expected = plain_text(one->id);
    if (streams(one->kind))
    {
        expected.clear();
        for (int event = 1; event <= events_of_stream; ++event)
        {
            expected += event_text(event, one->id);
        }
    }
    if (!one->proven || one->body != expected)
    {
        world_.ledger.broken(
            "each caller gets the whole answer and only their own",
            fmt::format("{}: proof {}, body '{}'", one->id, one->proven,
                        one->body));
    }
}

// [soak_operator] ------------------------------------------------------------

/// A document that is sent until it is accepted.
struct soak_operator::order
{
    std::uint64_t version = 0;
    transport::http_request request;
    int tries = 0;
};

soak_operator::soak_operator(soak_world& world)
    : world_(world),
      evacuations_random_(world.settings.seed)
{}

soak_operator::~soak_operator() = default;

protocol::service_document
soak_operator::document_of(std::uint64_t version) const
{
    protocol::service_document document;
    document.version = version;
    const auto add = [&](std::string prefix, protocol::repeat_rule rule,
                         const char* service, bool resumable) {
        protocol::document_route route;
        route.name = prefix;
        route.host = host;
        route.path_prefix = std::move(prefix);
        route.rule = rule;
        route.time_limit = call_time_limit;
        route.target_latency = milliseconds{500};
        route.target_gap = milliseconds{400};
        route.max_attempts = 2;
        route.resumable = resumable;
        route.shares = {{service, 1}};
        document.routes.push_back(std::move(route));
    };
    using protocol::repeat_rule;
    add("/safe/", repeat_rule::safe, "app", false);
    add("/once/", repeat_rule::once, "app", false);
    add("/stream/", repeat_rule::stream, "llm", true);
    add("/say/", repeat_rule::stream, "llm", false);
    const auto first =
        version > probed_versions ? version - probed_versions + 1 : 1;
    for (auto number = first; number <= version; ++number)
    {
        add(fmt::format("/v{}/", number), repeat_rule::safe, "app", false);
    }
    // Servers may be ordered, so that every leader sends orders.
    protocol::scaling_terms scaling;
    scaling.least = 1;
    scaling.most = 6;
    scaling.start_time = milliseconds{1'000};
    scaling.domain_prices = {{"d0", 1.0}, {"d1", 0.9}, {"d2", 1.1}};
    const protocol::engine_terms engine{16, 1'000'000, false};
    document.services = {{"llm", 64, engine, scaling}, {"app", 64, {}, {}}};
    for (auto& service : document.services)
    {
        service.cold_start = cold_time;
        service.cold_per_s = cold_per_s;
    }
    document.organisations = {{"o", {key}, {}, 0, 0, 1, false}};
    return document;
}

/// Sends a request to a replica that is drawn.
void soak_operator::ask(transport::http_request request,
                        const answer_handler& on_answer)
{
    const auto& replicas = world_.replicas();
    ask_replica(replicas.at(world_.drawn_below(replicas.size())),
                std::move(request), on_answer);
}

void soak_operator::ask_replica(std::size_t replica,
                                transport::http_request request,
                                const answer_handler& on_answer)
{
    const auto address = world_.operators_address(replica);
    request.headers.push_back({"Host", address});
    calls_.push_back(world_.client.fetch(address, request,
                                         {.time_limit = patience}, on_answer));
}

void soak_operator::change()
{
    auto one = std::make_shared<order>();
    one->version = ++last_version_;
    one->request = platform::put_document_request(document_of(one->version));
    ++open_;
    put(one);
}

void soak_operator::race()
{
    change();
    change();
}

void soak_operator::put(const std::shared_ptr<order>& one)
{
    ask(one->request, [this, one](const auto& answer) {
        if (answer && answer->status == good)
        {
            --open_;
            world_.ledger.accepted(one->version);
            return;
        }
        if (answer && answer->status < 500)
        {
            --open_;
            world_.ledger.broken("valid documents are accepted",
                                 fmt::format("version {} was refused with {}",
                                             one->version, answer->status));
            return;
        }
        timers_.push_back(
            world_.loop.after(pause * ++one->tries, [this, one] { put(one); }));
    });
}

void soak_operator::send_invalid()
{
    auto document = document_of(last_version_ + 1'000);
    document.routes.front().shares = {{"no-such-service", 1}};
    ask(platform::put_document_request(document), [this](const auto& answer) {
        if (answer && answer->status == good)
        {
            world_.ledger.broken("invalid documents are refused",
                                 "one with an unknown service was taken");
        }
    });
}

void soak_operator::read()
{
    ask(platform::get_document_request(),
        [this, asked = world_.clock.monotonic_now()](const auto& answer) {
            if (!answer || answer->status != good)
            {
                return;
            }
            const auto held = platform::decode_document(answer->body);
            if (!held)
            {
                return world_.ledger.broken("a document is read as it was sent",
                                            held.error().text);
            }
            world_.ledger.read_back(asked, held->version);
            const auto sent =
                platform::put_document_request(document_of(held->version));
            if (answer->body != sent.body)
            {
                world_.ledger.broken(
                    "a document is read as it was sent",
                    fmt::format("version {} differs", held->version));
            }
            read_back_ =
                read_back_ ||
                (steady_ && held->version >= world_.ledger.newest_accepted());
        });
}

void soak_operator::steady()
{
    steady_ = true;
}

bool soak_operator::settled() const noexcept
{
    return open_ == 0 && read_back_;
}

// [evacuations] --------------------------------------------------------------

struct soak_operator::evacuation_order
{
    std::string domain;
    bool evacuated = false;
    bool acknowledged = false;
    std::function<void()> on_acknowledged;
};

void soak_operator::evacuate(const std::string& domain, bool evacuated,
                             std::function<void()> on_acknowledged)
{
    send_evacuation(std::make_shared<evacuation_order>(evacuation_order{
        domain, evacuated, false, std::move(on_acknowledged)}));
}

void soak_operator::send_evacuation(
    const std::shared_ptr<evacuation_order>& one)
{
    constexpr std::uint64_t most_at_once = 8;
    if (one->acknowledged)
    {
        return;
    }
    const auto count = 1 + evacuations_random_() % most_at_once;
    const auto& replicas = world_.replicas();
    for (std::uint64_t at = 0; at < count; ++at)
    {
        ask_replica(replicas.at(evacuations_random_() % replicas.size()),
                    platform::evacuation_request(one->domain, one->evacuated),
                    [this, one](const auto& answer) {
                        if (answer && answer->status < 500 &&
                            answer->status != good)
                        {
                            world_.ledger.broken(
                                "evacuations of known domains are acknowledged",
                                fmt::format("{} was refused with {}",
                                            one->domain, answer->status));
                        }
                        if (answer && answer->status == good &&
                            !std::exchange(one->acknowledged, true))
                        {
                            one->on_acknowledged();
                        }
                    });
    }
    timers_.push_back(world_.loop.after(patience + pause,
                                        [=, this] { send_evacuation(one); }));
}

// [moves] --------------------------------------------------------------------

void soak_operator::move(const std::string& target, bool bad,
                         milliseconds duration,
                         std::function<void(bool)> on_end)
{
    on_move_end_ = std::move(on_end);
    world_.ledger.begin_move(bad);
    world_.servers->watch_target(target);
    coordination::rollout_record told;
    told.service = "llm";
    told.target = target;
    told.duration_ms = duration.count();
    order_move(platform::put_rollout_request(told), duration);
}

/// Sends the order until it is accepted.
void soak_operator::order_move(const transport::http_request& request,
                               milliseconds duration)
{
    ask(request, [this, request, duration](const auto& answer) {
        if (answer && answer->status == good)
        {
            return follow_move(duration);
        }
        timers_.push_back(world_.loop.after(
            pause, [=, this] { order_move(request, duration); }));
    });
}

/// Asks for the move's state until it has ended.
void soak_operator::follow_move(milliseconds left)
{
    // A leader may be lost at the limit.
    constexpr milliseconds longest_delay{20'000};
    if (left < -longest_delay)
    {
        world_.ledger.broken("a move ends", "it still runs after its limit");
        world_.ledger.end_move();
        return on_move_end_(false);
    }
    const auto asked = world_.clock.monotonic_now();
    ask(platform::get_rollout_request("llm"),
        [this, left, asked](const auto& answer) {
            const auto state =
                answer ? platform::read_rollout_answer(*answer) : std::nullopt;
            if (state)
            {
                world_.ledger.end_move();
                return on_move_end_(*state ==
                                    coordination::rollout_state::completed);
            }
            const auto passed = std::chrono::duration_cast<milliseconds>(
                world_.clock.monotonic_now() - asked);
            timers_.push_back(world_.loop.after(
                pause, [=, this] { follow_move(left - passed - pause); }));
        });
}

} // namespace hyssopdeal::soak
