/// @file
/// An entry that serves by a configuration document.

#include <hyssopdeal/coordination/gateway/gateway_process.hpp>

#include <map>
#include <optional>
#include <set>
#include <utility>

#include <fmt/format.h>

#include <hyssopdeal/protocol/peer_hub.hpp>
#include <hyssopdeal/transport/event_log.hpp>

namespace hyssopdeal::coordination
{

using protocol::peer_channel;
using std::chrono::milliseconds;
using transport::http1_exchange;
using transport::log_event;
using transport::monotonic_time;

namespace
{

constexpr milliseconds drain_check_interval{50};
// Whoever hands out new connections asks once a second and believes two misses.
constexpr milliseconds still_accepting{3'000};
// What comes later may not end before the process does, and is refused.
constexpr double still_serving_part = 0.36; ///< Of the grace time.
// From the last answer to the kill: to write logs and end.
constexpr milliseconds end_margin{300};
// A replica that does not answer is asked less often, and one that nobody names
// any more is forgotten.
constexpr milliseconds silent_after{2'000};
constexpr milliseconds silent_interval{1'000};
constexpr milliseconds forget_after{30'000};
constexpr milliseconds report_time_limit{1'000};
// A leader that answers so much later than it was asked may be lost.
constexpr milliseconds late_answer{250};
// Beside the callers' connections: links, servers, logs.
constexpr std::size_t internal_max_connections = 64;

} // namespace

namespace
{

/// A replica that is told what goes on.
struct known_replica
{
    monotonic_time named{};    ///< By an answer, or by the settings.
    monotonic_time answered{}; ///< Its latest answer.
    monotonic_time asked{};
    monotonic_time led_at{}; ///< Its latest answer as the leader.
    milliseconds pause{0};   ///< That it wants between two reports.
    bool waiting = false; ///< For its answer: it gets nothing more meanwhile.
};

} // namespace

struct gateway_process::impl
{
    impl(transport::event_loop& own_loop, const transport::clock& own_clock,
         gateway_settings settings, gateway_core::read_document reads,
         request_handler handler)
        : loop(own_loop),
          clock(own_clock),
          core(loop, clock, std::move(settings), std::move(reads)),
          on_request(std::move(handler)),
          own_address(fmt::format("{}:{}", core.settings.address,
                                  core.settings.hub_port)),
          seeds(core.settings.seeds.begin(), core.settings.seeds.end())
    {}

    transport::result<void> listen();
    transport::result<void> listen_inside();
    std::unique_ptr<transport::http1_server>
    make_server(std::uint16_t port, std::size_t max_connections,
                std::function<void(http1_exchange)> handler);
    void take_request(http1_exchange exchange);
    [[nodiscard]] milliseconds pause_for(const std::string& address,
                                         const known_replica& replica) const;
    void report();
    void report_now();
    void ask(const std::string& replica, const std::string& bytes,
             milliseconds time_limit,
             const protocol::peer_hub::answer_handler& on_answer);
    std::uint64_t take_answer(const std::string& replica, monotonic_time asked,
                              const transport::result<std::string>& answer);
    void fetch_document(const std::string& replica);
    void
    ask_tokens(const std::string& organisation, double tokens,
               const std::function<void(protocol::token_answer)>& on_answer);
    void use_limits();
    void note_validity();
    void check_drained();
    [[nodiscard]] bool ready() const;
    [[nodiscard]] milliseconds drained_for() const;

    transport::event_loop& loop;
    const transport::clock& clock;
    gateway_core core;
    request_handler on_request;
    std::string own_address;
    std::set<std::string> seeds;
    /// Every replica that an answer named: any of them may come to lead, also
    /// one that is no seed.
    std::map<std::string, known_replica> replicas;
    std::unique_ptr<protocol::peer_hub> hub;
    std::unique_ptr<transport::http1_server> callers;
    std::unique_ptr<transport::http1_server> readiness;
    std::unique_ptr<transport::http1_server> metrics;
    std::string leader;                     ///< Hub address; empty: unknown.
    std::optional<monotonic_time> fetching; ///< A newer document, since then.
    bool was_valid = false;
    bool draining = false;
    bool accepting = true;
    monotonic_time drain_began{};
    std::function<void()> on_drained;
    transport::timer_handle reporter;
    transport::timer_handle drain_timer;
};

// [listeners] ----------------------------------------------------------------

std::unique_ptr<transport::http1_server>
gateway_process::impl::make_server(std::uint16_t port,
                                   std::size_t max_connections,
                                   std::function<void(http1_exchange)> handler)
{
    transport::http1_server_settings settings;
    settings.address = core.settings.address;
    settings.port = port;
    settings.max_connections = max_connections;
    return std::make_unique<transport::http1_server>(loop, clock, settings,
                                                     std::move(handler));
}

transport::result<void> gateway_process::impl::listen()
{
    callers = make_server(
        core.settings.callers_port, core.settings.max_connections,
        [this](http1_exchange exchange) { take_request(std::move(exchange)); });
    readiness = make_server(
        core.settings.readiness_port, internal_max_connections,
        [this](http1_exchange exchange) {
            const bool yes = ready();
            exchange.send(
                {yes ? 200 : 503, {}, yes ? "ready\n" : "not ready\n"});
        });
    for (auto* server : {callers.get(), readiness.get()})
    {
        if (const auto port = server->start(); !port)
        {
            return tl::make_unexpected(port.error());
        }
    }
    if (core.settings.metrics_port == 0)
    {
        return {};
    }
    metrics = make_server(core.settings.metrics_port, internal_max_connections,
                          [this](http1_exchange exchange) {
                              exchange.send({200,
                                             {{"Content-Type", "text/plain"}},
                                             core.metrics()});
                          });
    const auto port = metrics->start();
    return port ? transport::result<void>{} : tl::make_unexpected(port.error());
}

transport::result<void> gateway_process::impl::listen_inside()
{
    protocol::peer_hub_settings links;
    links.self = own_address;
    links.address = core.settings.link_listen_address.empty()
                        ? core.settings.address
                        : core.settings.link_listen_address;
    links.port = core.settings.hub_port;
    links.shared_key = core.settings.shared_key;
    hub = std::make_unique<protocol::peer_hub>(loop, links);
    const auto port = hub->start();
    return port ? transport::result<void>{} : tl::make_unexpected(port.error());
}

void gateway_process::impl::take_request(http1_exchange exchange)
{
    const auto serving = std::chrono::duration_cast<milliseconds>(
        core.settings.grace * still_serving_part);
    if (draining && drained_for() >= serving)
    {
        exchange.close_after();
        return exchange.send(
            {503, {{"Retry-After", "0.1"}}, "not_run: stop\n"});
    }
    on_request(core, std::move(exchange));
}

void gateway_process::impl::use_limits()
{
    const auto& limits = core.table()->document().limits;
    transport::http1_caller_limits next;
    next.max_head_bytes = limits.max_head_bytes;
    next.max_body_bytes = limits.max_body_bytes;
    next.head_time_limit = limits.head_time_limit;
    next.idle_time_limit = limits.idle_time_limit;
    callers->set_limits(next);
}

bool gateway_process::impl::ready() const
{
    return !draining && core.keys_valid();
}

// [reports] ------------------------------------------------------------------

/// @return In how long a replica is told again. While the leader answers, the
///     others are told as seldom as they want; when it does not, any of them
///     may lead.
milliseconds
gateway_process::impl::pause_for(const std::string& address,
                                 const known_replica& replica) const
{
    const auto now = clock.monotonic_now();
    if (!core.keys_valid())
    {
        return core.settings.search_interval;
    }
    if (now - replica.answered >= silent_after)
    {
        return silent_interval;
    }
    const auto leading = replicas.find(leader);
    const bool led =
        leading != replicas.end() &&
        leading->second.led_at == leading->second.answered &&
        now - leading->second.answered < leading->second.pause + late_answer;
    return led || address == leader
               ? std::max(core.settings.report_interval, replica.pause)
               : core.settings.report_interval;
}

/// Tells every replica: any may lead, and each has its own list and document.
void gateway_process::impl::report()
{
    reporter = loop.after(core.settings.search_interval, [this] { report(); });
    note_validity();
    const auto now = clock.monotonic_now();
    for (const auto& seed : seeds)
    {
        replicas[seed].named = now;
    }
    std::erase_if(replicas, [&](const auto& item) {
        return now - item.second.named > forget_after;
    });
    std::string bytes;
    for (auto& [address, replica] : replicas)
    {
        // The timer's own error is no reason to wait for its next round.
        const auto due = replica.asked + pause_for(address, replica) -
                         core.settings.search_interval / 2;
        if (!replica.waiting && now >= due)
        {
            if (bytes.empty())
            {
                bytes = protocol::encode(core.report());
            }
            replica.asked = now;
            replica.waiting = true;
            ask(address, bytes, report_time_limit,
                [this, from = address, now](const auto& answer) {
                    replicas[from].waiting = false;
                    if (take_answer(from, now, answer) >
                        core.document_version())
                    {
                        fetch_document(from);
                    }
                });
        }
    }
}

/// Tells all replicas that owe no answer, whatever their pauses are.
void gateway_process::impl::report_now()
{
    for (auto& [address, replica] : replicas)
    {
        replica.asked = {};
    }
    report();
}

/// Fetches a newer document from one replica at a time. It may be large: if
/// every replica sent it at every report, it would fill this entry's link and
/// the replicas' memory.
void gateway_process::impl::fetch_document(const std::string& replica)
{
    // A document of the largest size over a link of 10 Mbit/s, unpacked; a
    // usual one comes in some ms.
    constexpr milliseconds time_limit{3'000};
    constexpr milliseconds try_another_after{1'000};
    const auto now = clock.monotonic_now();
    if (fetching && now - *fetching < try_another_after)
    {
        return;
    }
    fetching = now;
    ask(replica, protocol::encode(core.report(true)), time_limit,
        [this, replica, now](const auto& answer) {
            fetching.reset();
            (void)take_answer(replica, now, answer);
            // Only the leader's word makes keys valid, and another replica may
            // have had the document first.
            if (core.document_version() > 0 && !core.keys_valid())
            {
                report_now();
            }
        });
}

void gateway_process::impl::ask(
    const std::string& replica, const std::string& bytes,
    milliseconds time_limit,
    const protocol::peer_hub::answer_handler& on_answer)
{
    hub->set_peer(replica, replica);
    hub->call(replica, peer_channel::following, bytes, time_limit, on_answer);
}

/// @return The version that the replica told of; 0 without an answer.
std::uint64_t
gateway_process::impl::take_answer(const std::string& replica,
                                   monotonic_time asked,
                                   const transport::result<std::string>& answer)
{
    if (!answer)
    {
        return 0;
    }
    auto orders = protocol::decode_entry_orders(*answer);
    if (!orders)
    {
        log_event("peer.bad_message", {{"what", "orders"},
                                       {"from", replica},
                                       {"error", orders.error().text}});
        return 0;
    }
    const auto now = clock.monotonic_now();
    auto& told = replicas[replica];
    told.answered = now;
    told.pause = milliseconds{orders->next_report_ms};
    for (const auto& named : orders->replicas)
    {
        replicas[named].named = now;
    }
    if (orders->leads)
    {
        leader = replica;
        told.led_at = now;
    }
    const auto version = orders->document_version;
    core.apply_orders(asked, std::move(*orders));
    note_validity();
    return version;
}

void gateway_process::impl::ask_tokens(
    const std::string& organisation, double tokens,
    const std::function<void(protocol::token_answer)>& on_answer)
{
    // A leader in reach answers in a few ms; a caller is not kept for longer
    // than it would need to come back.
    constexpr milliseconds time_limit{150};
    constexpr milliseconds come_back{500};
    if (leader.empty())
    {
        return on_answer({false, come_back.count()});
    }
    hub->call(
        leader, peer_channel::grants,
        protocol::encode(protocol::token_request{organisation, tokens}),
        time_limit, [on_answer, come_back](const auto& bytes) {
            const auto answer = bytes
                                    ? protocol::decode_token_answer(*bytes)
                                    : transport::result<protocol::token_answer>{
                                          tl::make_unexpected(bytes.error())};
            answer ? on_answer(*answer) : on_answer({false, come_back.count()});
        });
}

void gateway_process::impl::note_validity()
{
    const bool valid = core.keys_valid();
    if (valid != was_valid)
    {
        was_valid = valid;
        log_event(valid ? "control.regained" : "control.lost",
                  {{"document",
                    core.table() ? core.table()->document().version : 0}});
    }
}

// [drain] --------------------------------------------------------------------

milliseconds gateway_process::impl::drained_for() const
{
    return std::chrono::duration_cast<milliseconds>(clock.monotonic_now() -
                                                    drain_began);
}

void gateway_process::impl::check_drained()
{
    const auto passed = drained_for();
    const bool idle = callers->busy_connections() == 0;
    if (accepting && passed >= still_accepting)
    {
        accepting = false;
        callers->drain();
        if (idle)
        {
            callers->stop_accepting();
        }
    }
    const bool over = passed >= core.settings.grace - end_margin;
    if (over || (idle && passed >= still_accepting + end_margin))
    {
        log_event("process.drained",
                  {{"took_ms", passed}, {"open", callers->busy_connections()}});
        return on_drained();
    }
    drain_timer = loop.after(drain_check_interval, [this] { check_drained(); });
}

// [gateway_process] ----------------------------------------------------------

gateway_process::gateway_process(transport::event_loop& loop,
                                 const transport::clock& clock,
                                 gateway_settings settings,
                                 gateway_core::read_document reads,
                                 request_handler on_request)
    : impl_(std::make_unique<impl>(loop, clock, std::move(settings),
                                   std::move(reads), std::move(on_request)))
{}

gateway_process::~gateway_process() = default;

transport::result<void> gateway_process::start()
{
    auto done = impl_->listen_inside();
    if (done)
    {
        done = impl_->listen();
    }
    if (done)
    {
        impl_->core.on_document([this] { impl_->use_limits(); });
        impl_->core.lend_by(
            [this](const auto& organisation, double tokens, auto on_answer) {
                impl_->ask_tokens(organisation, tokens, std::move(on_answer));
            });
        impl_->report();
    }
    return done;
}

void gateway_process::set_seeds(std::vector<std::string> seeds)
{
    impl_->seeds = {seeds.begin(), seeds.end()};
}

void gateway_process::drain(std::function<void()> on_drained)
{
    if (impl_->draining)
    {
        return;
    }
    log_event("process.drains", {{"open", impl_->callers->busy_connections()}});
    impl_->draining = true;
    impl_->drain_began = impl_->clock.monotonic_now();
    impl_->on_drained = std::move(on_drained);
    impl_->callers->drain();
    impl_->check_drained();
}

} // namespace hyssopdeal::coordination
