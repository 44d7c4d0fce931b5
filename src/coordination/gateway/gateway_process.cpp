/// @file
/// A gateway instance: listeners, reports to the control replicas, shutdown.

#include <hyssopdeal/coordination/gateway/gateway_process.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include <fmt/format.h>

#include <hyssopdeal/protocol/peer_hub.hpp>
#include <hyssopdeal/transport/byte_budget.hpp>
#include <hyssopdeal/transport/event_log.hpp>
#include <hyssopdeal/transport/metrics.hpp>
#include <hyssopdeal/transport/tcp_relay.hpp>

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
// How long connections are accepted after the start of a shutdown. The load
// balancer checks readiness once a second and stops sending new connections
// after two failed checks.
constexpr milliseconds accept_period{3'000};
// Requests that arrive after this part of the grace period are rejected, as
// they might not complete before the process exits.
constexpr double serving_share_of_grace = 0.36;
// Requests that have been accepted by then are not sent to servers later.
constexpr double attempt_share_of_grace = 0.5;
// Kept free at the end of the grace period for writing logs and exiting.
constexpr milliseconds exit_margin{300};
// Of which: for the last responses to leave.
constexpr milliseconds last_responses_time{100};
// A replica that does not answer gets reports less often. One that is neither a
// seed nor listed in any answer is removed after `forget_after`.
constexpr milliseconds unresponsive_after{2'000};
constexpr milliseconds unresponsive_interval{1'000};
constexpr milliseconds forget_after{30'000};
constexpr milliseconds report_time_limit{1'000};
// A leader may be lost when its latest answer is older than its report interval
// plus this margin.
constexpr milliseconds leader_answer_margin{250};
// Connection limit of the readiness listener and of the metrics listener.

} // namespace

namespace
{

/// Who connects to a listener.
enum class listener_kind : std::uint8_t
{
    callers,
    probes ///< Of readiness and metrics.
};

/// A control replica that receives reports.
struct known_replica
{
    monotonic_time listed_at{};   ///< Last seen in an answer or in the seeds.
    monotonic_time answered_at{}; ///< Latest answer.
    monotonic_time reported_at{}; ///< Latest report sent to it.
    monotonic_time led_at{};      ///< Latest answer that it gave as the leader.
    milliseconds min_report_interval{0}; ///< As requested by the replica.
    bool awaiting_answer = false; ///< No further report until it answers.
};

} // namespace

struct gateway_process::impl
{
    impl(transport::event_loop& loop_ref, const transport::clock& clock_ref,
         gateway_settings settings,
         gateway_core::document_parser parse_document, request_handler handler)
        : loop(loop_ref),
          clock(clock_ref),
          core(loop, clock, std::move(settings), std::move(parse_document)),
          on_request(std::move(handler)),
          own_address(fmt::format("{}:{}", core.settings.address,
                                  core.settings.hub_port)),
          seeds(core.settings.seeds.begin(), core.settings.seeds.end())
    {}

    transport::result<void> listen();
    transport::result<void> listen_for_peers();
    transport::result<void> listen_for_relayed();
    [[nodiscard]] bool on_relay_connect(const std::string& target,
                                        bool connected);
    void probe_servers();
    std::unique_ptr<transport::http1_server>
    make_server(listener_kind kind, std::uint16_t port,
                std::function<void(http1_exchange)> handler);
    [[nodiscard]] std::string link_metrics() const;
    void handle_request(http1_exchange exchange);
    [[nodiscard]] milliseconds
    report_interval_for(const std::string& address,
                        const known_replica& replica) const;
    void report();
    void report_now();
    void call_replica(const std::string& replica, const std::string& bytes,
                      milliseconds time_limit,
                      const protocol::peer_hub::answer_handler& on_answer);
    std::uint64_t handle_answer(const std::string& replica,
                                monotonic_time sent_at,
                                const transport::result<std::string>& answer);
    void fetch_document(const std::string& replica);
    void request_tokens(const std::string& organisation, double tokens,
                        const gateway_core::token_handler& on_answer);
    void apply_limits();
    void log_validity_change();
    void check_drained();
    [[nodiscard]] bool ready() const;
    [[nodiscard]] milliseconds drain_elapsed() const;

    transport::event_loop& loop;
    const transport::clock& clock;
    gateway_core core;
    request_handler on_request;
    std::string own_address;
    std::set<std::string> seeds;
    /// Seeds and all replicas listed in answers, by hub address. Any of them
    /// may become the leader, including those that are not seeds.
    std::map<std::string, known_replica> replicas;
    std::unique_ptr<protocol::peer_hub> hub;
    std::unique_ptr<transport::tcp_relay> relay;
    std::unique_ptr<transport::http1_server> callers;
    std::unique_ptr<transport::http1_server> readiness;
    std::unique_ptr<transport::http1_server> metrics;
    std::string leader; ///< Hub address; empty if unknown.
    /// Start of the document fetch in progress.
    std::optional<monotonic_time> fetch_started_at;
    bool was_valid = false;
    bool draining = false;
    bool accepting = true;
    monotonic_time drain_started_at{};
    std::function<void()> on_drained;
    transport::timer_handle report_timer;
    transport::timer_handle drain_timer;
};

// [listeners] ----------------------------------------------------------------

std::unique_ptr<transport::http1_server>
gateway_process::impl::make_server(listener_kind kind, std::uint16_t port,
                                   std::function<void(http1_exchange)> handler)
{
    transport::http1_server_settings settings;
    settings.address = core.settings.address;
    settings.port = port;
    settings.max_connections = core.settings.max_connections;
    settings.copies_of_body = 1; // Attempts send the shared one.
    return std::make_unique<transport::http1_server>(
        loop, clock,
        kind == listener_kind::callers ? settings
                                       : transport::for_probes(settings),
        std::move(handler));
}

transport::result<void> gateway_process::impl::listen()
{
    callers = make_server(listener_kind::callers, core.settings.callers_port,
                          [this](http1_exchange exchange) {
                              handle_request(std::move(exchange));
                          });
    readiness =
        make_server(listener_kind::probes, core.settings.readiness_port,
                    [this](http1_exchange exchange) {
                        const bool is_ready = ready();
                        exchange.send({is_ready ? 200 : 503,
                                       {},
                                       is_ready ? "ready\n" : "not ready\n"});
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
    metrics = make_server(listener_kind::probes, core.settings.metrics_port,
                          [this, budget = transport::byte_budget_of(loop)](
                              http1_exchange exchange) {
                              exchange.send({200,
                                             {{"Content-Type", "text/plain"}},
                                             core.metrics() + link_metrics() +
                                                 budget->metrics()});
                          });
    const auto port = metrics->start();
    return port ? transport::result<void>{} : tl::make_unexpected(port.error());
}

transport::result<void> gateway_process::impl::listen_for_peers()
{
    protocol::peer_hub_settings links;
    links.self = own_address;
    links.address = core.settings.link_listen_address.empty()
                        ? core.settings.address
                        : core.settings.link_listen_address;
    links.port = core.settings.hub_port;
    links.shared_key = core.settings.shared_key;
    links.max_unproved = core.settings.max_unproved_links;
    hub = std::make_unique<protocol::peer_hub>(loop, links);
    const auto port = hub->start();
    return port ? transport::result<void>{} : tl::make_unexpected(port.error());
}

/// Learns from a relayed connection as from one of this gateway's own.
///
/// @return Whether this gateway reaches other servers.
bool gateway_process::impl::on_relay_connect(const std::string& target,
                                             bool connected)
{
    const auto now = clock.monotonic_now();
    for (const auto& [id, server] : core.servers.servers())
    {
        if (server->listed.address == target)
        {
            connected ? core.reach.on_reached(now, id)
                      : core.reach.on_unreached(now, id);
        }
    }
    return !core.reach.cut_off();
}

/// Other gateways reach servers through this one while it does.
transport::result<void> gateway_process::impl::listen_for_relayed()
{
    if (core.settings.relay_port == 0)
    {
        return {};
    }
    transport::tcp_relay_settings settings;
    settings.address = core.settings.link_listen_address.empty()
                           ? core.settings.address
                           : core.settings.link_listen_address;
    settings.port = core.settings.relay_port;
    settings.shared_key = core.settings.shared_key;
    settings.max_unproved = core.settings.max_unproved_relayed;
    settings.source_address = core.settings.client.source_address;
    relay = std::make_unique<transport::tcp_relay>(
        loop, settings,
        [this](const auto& target) {
            // Also to a server that has paused this gateway: the pause tells
            // of the server's room, not of the path to it.
            const auto& servers = core.servers.servers();
            return std::any_of(servers.begin(), servers.end(),
                               [&](const auto& item) {
                                   return item.second->listed.address == target;
                               });
        },
        [this](const auto& target, bool connected) {
            return on_relay_connect(target, connected);
        });
    const auto port = relay->start();
    if (!port)
    {
        return tl::make_unexpected(port.error());
    }
    core.relay_address = fmt::format("{}:{}", core.settings.address, *port);
    return {};
}

/// @return What was closed or refused at the ports of links and relays.
std::string gateway_process::impl::link_metrics() const
{
    auto text = protocol::bad_input_metrics(hub->bad_input());
    if (relay)
    {
        transport::prometheus_text out;
        out.family("hyssopdeal_relay_refusals_total", "counter",
                   "Requests for relayed connections that were refused");
        out.sample(static_cast<double>(relay->refused()));
        text += out.text();
    }
    return text;
}

void gateway_process::impl::handle_request(http1_exchange exchange)
{
    const auto serving_period = std::chrono::duration_cast<milliseconds>(
        core.settings.grace * serving_share_of_grace);
    if (draining && drain_elapsed() >= serving_period)
    {
        return exchange.send(
            {503, {{"Retry-After", "0.1"}}, "not_run: stop\n"});
    }
    on_request(core, std::move(exchange));
}

void gateway_process::impl::apply_limits()
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

/// @return Interval between two reports to a replica. While the leader
///     responds, each replica gets reports at the interval that it requested.
///     Otherwise any other replica may be the new leader, and all of these get
///     reports at the configured interval.
milliseconds
gateway_process::impl::report_interval_for(const std::string& address,
                                           const known_replica& replica) const
{
    const auto now = clock.monotonic_now();
    if (!core.keys_valid())
    {
        return core.settings.leader_search_interval;
    }
    if (now - replica.answered_at >= unresponsive_after)
    {
        return unresponsive_interval;
    }
    const auto leader_entry = replicas.find(leader);
    const bool leader_responsive =
        leader_entry != replicas.end() &&
        leader_entry->second.led_at == leader_entry->second.answered_at &&
        now - leader_entry->second.answered_at <
            leader_entry->second.min_report_interval + leader_answer_margin;
    return leader_responsive || address == leader
               ? std::max(core.settings.report_interval,
                          replica.min_report_interval)
               : core.settings.report_interval;
}

/// Sends a report to each replica for which one is due. Reports go to all
/// replicas, as any may be the leader and each has its own copy of the server
/// list and of the document.
void gateway_process::impl::report()
{
    report_timer =
        loop.after(core.settings.leader_search_interval, [this] { report(); });
    log_validity_change();
    probe_servers();
    const auto now = clock.monotonic_now();
    for (const auto& seed : seeds)
    {
        replicas[seed].listed_at = now;
    }
    std::erase_if(replicas, [&](const auto& item) {
        return now - item.second.listed_at > forget_after;
    });
    std::string bytes;
    for (auto& [address, replica] : replicas)
    {
        // Allows for timer jitter: a report due within half a timer period is
        // sent now instead of one period later.
        const auto due = replica.reported_at +
                         report_interval_for(address, replica) -
                         core.settings.leader_search_interval / 2;
        // Prompts that crash servers are reported without delay.
        const bool news = address == leader && core.crashes.has_news(now);
        if (!replica.awaiting_answer && (now >= due || news))
        {
            const bool to_leader = address == leader;
            if (!to_leader && bytes.empty())
            {
                bytes = protocol::encode(core.report());
            }
            replica.reported_at = now;
            replica.awaiting_answer = true;
            call_replica(
                address,
                to_leader ? protocol::encode(
                                core.report(report_purpose::inform_leader))
                          : bytes,
                report_time_limit,
                [this, from = address, now, to_leader,
                 term = core.leader_term()](const auto& answer) {
                    auto& answering = replicas[from];
                    answering.awaiting_answer = false;
                    const auto version = handle_answer(from, now, answer);
                    const bool led = answering.answered_at >= now &&
                                     answering.led_at == answering.answered_at;
                    if (to_leader && led)
                    {
                        core.on_report_confirmed(term);
                    }
                    if (version > core.document_version())
                    {
                        fetch_document(from);
                    }
                });
        }
    }
}

/// Finds out when servers that were not reached directly are reached again.
void gateway_process::impl::probe_servers()
{
    constexpr milliseconds time_limit{250};
    for (const auto& id : core.reach.due_probes(clock.monotonic_now()))
    {
        const auto server = core.servers.servers().find(id);
        if (server == core.servers.servers().end())
        {
            continue;
        }
        core.client.probe(server->second->listed.address, time_limit,
                          [this, id](bool reached) {
                              const auto ended = clock.monotonic_now();
                              reached ? core.reach.on_reached(ended, id)
                                      : core.reach.on_unreached(ended, id);
                          });
    }
}

/// Sends a report at once to every replica that has no answer outstanding,
/// regardless of its report interval.
void gateway_process::impl::report_now()
{
    for (auto& [address, replica] : replicas)
    {
        replica.reported_at = {};
    }
    report();
}

/// Fetches a newer document from one replica at a time. Documents may be large:
/// if every replica sent its copy with every answer, they would saturate this
/// instance's network link and fill the replicas' memory.
void gateway_process::impl::fetch_document(const std::string& replica)
{
    // Enough to transfer a document of the maximum size at 10 Mbit/s and unpack
    // it; a typical document takes a few ms.
    constexpr milliseconds time_limit{3'000};
    constexpr milliseconds next_replica_delay{1'000};
    const auto now = clock.monotonic_now();
    if (fetch_started_at && now - *fetch_started_at < next_replica_delay)
    {
        return;
    }
    fetch_started_at = now;
    call_replica(replica,
                 protocol::encode(core.report(report_purpose::fetch_document)),
                 time_limit, [this, replica, now](const auto& answer) {
                     fetch_started_at.reset();
                     (void)handle_answer(replica, now, answer);
                     // Keys become valid only by an answer of the leader, but
                     // the document may have come from another replica.
                     if (core.document_version() > 0 && !core.keys_valid())
                     {
                         report_now();
                     }
                 });
}

void gateway_process::impl::call_replica(
    const std::string& replica, const std::string& bytes,
    milliseconds time_limit,
    const protocol::peer_hub::answer_handler& on_answer)
{
    hub->set_peer(replica, replica);
    hub->call(replica, peer_channel::following, bytes, time_limit, on_answer);
}

/// @return The replica's document version; 0 without a valid answer.
std::uint64_t gateway_process::impl::handle_answer(
    const std::string& replica, monotonic_time sent_at,
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
    auto& known = replicas[replica];
    known.answered_at = now;
    known.min_report_interval = milliseconds{orders->next_report_ms};
    for (const auto& address : orders->replicas)
    {
        replicas[address].listed_at = now;
    }
    if (orders->leads)
    {
        leader = replica;
        known.led_at = now;
    }
    const auto version = orders->document_version;
    core.apply_orders(sent_at, std::move(*orders));
    log_validity_change();
    return version;
}

void gateway_process::impl::request_tokens(
    const std::string& organisation, double tokens,
    const gateway_core::token_handler& on_answer)
{
    // A reachable leader answers within a few ms. The time limit is below the
    // retry delay, so that waiting never costs a caller more than a retry.
    constexpr milliseconds time_limit{150};
    if (leader.empty())
    {
        return on_answer(transport::fail(transport::reason::no_quorum,
                                         "No leader is known."));
    }
    hub->call(leader, peer_channel::grants,
              protocol::encode(protocol::token_request{organisation, tokens}),
              time_limit,
              [on_answer](const transport::result<std::string>& bytes) {
                  on_answer(bytes.and_then(protocol::decode_token_answer));
              });
}

void gateway_process::impl::log_validity_change()
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

milliseconds gateway_process::impl::drain_elapsed() const
{
    return std::chrono::duration_cast<milliseconds>(clock.monotonic_now() -
                                                    drain_started_at);
}

void gateway_process::impl::check_drained()
{
    const auto elapsed = drain_elapsed();
    const bool idle = callers->busy_connections() == 0 &&
                      (!relay || relay->open_connections() == 0);
    if (accepting && elapsed >= accept_period)
    {
        accepting = false;
        callers->drain();
        if (idle)
        {
            callers->stop_accepting();
        }
    }
    const bool grace_expired = elapsed >= core.settings.grace - exit_margin;
    if (grace_expired || (idle && elapsed >= accept_period + exit_margin))
    {
        log_event("process.drained", {{"took_ms", elapsed},
                                      {"open", callers->busy_connections()}});
        core.end_requests();
        drain_timer = loop.after(idle ? milliseconds{0} : last_responses_time,
                                 [this] { on_drained(); });
        return;
    }
    drain_timer = loop.after(drain_check_interval, [this] { check_drained(); });
}

// [gateway_process] ----------------------------------------------------------

gateway_process::gateway_process(transport::event_loop& loop,
                                 const transport::clock& clock,
                                 gateway_settings settings,
                                 gateway_core::document_parser parse_document,
                                 request_handler on_request)
    : impl_(std::make_unique<impl>(loop, clock, std::move(settings),
                                   std::move(parse_document),
                                   std::move(on_request)))
{}

gateway_process::~gateway_process() = default;

transport::result<void> gateway_process::start()
{
    auto done = impl_->listen_for_peers();
    if (done)
    {
        done = impl_->listen_for_relayed();
    }
    if (done)
    {
        done = impl_->listen();
    }
    if (done)
    {
        impl_->core.set_document_handler([this] { impl_->apply_limits(); });
        impl_->core.set_token_fetcher([this](const auto& organisation,
                                             double tokens, auto on_answer) {
            impl_->request_tokens(organisation, tokens, std::move(on_answer));
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
    impl_->drain_started_at = impl_->clock.monotonic_now();
    const auto& grace = impl_->core.settings.grace;
    impl_->core.shutdown = shutdown_times{
        impl_->drain_started_at + std::chrono::duration_cast<milliseconds>(
                                      grace * attempt_share_of_grace),
        impl_->drain_started_at + grace - exit_margin - server_response_margin};
    impl_->on_drained = std::move(on_drained);
    impl_->callers->drain();
    if (impl_->relay)
    {
        // The leader names other helpers, and gateways close their connections
        // through this one once these are idle.
        impl_->core.relay_address.clear();
        impl_->relay->drain();
        impl_->report_now();
    }
    impl_->check_drained();
}

} // namespace hyssopdeal::coordination
