/// @file
/// State shared by all requests of one gateway instance.

#include <hyssopdeal/coordination/gateway/gateway_core.hpp>

#include <algorithm>
#include <utility>

#include <hyssopdeal/transport/digest.hpp>
#include <hyssopdeal/transport/event_log.hpp>

namespace hyssopdeal::coordination
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using transport::log_event;
using transport::monotonic_time;

namespace
{

// The current usage window and earlier ones whose totals are not final yet.
constexpr std::size_t max_usage_windows = 4;
// Most elections have ended by then.
constexpr milliseconds leader_retry_after{500};

} // namespace

// [counters] -----------------------------------------------------------------

void gateway_counters::count(selection_failure_reason reason)
{
    using enum selection_failure_reason;
    switch (reason)
    {
    case rate_limited:
        return rate_limited_refusals.add();
    case cold:
        return cold_refusals.add();
    case full:
        return brittle_refusals.add();
    case evacuated:
        return evacuation_refusals.add();
    case paused:
    case no_server:
        return; // They are counted among `refused` only.
    }
}

// [gateway_core] -------------------------------------------------------------

gateway_core::gateway_core(transport::event_loop& loop_ref,
                           const transport::clock& clock_ref,
                           gateway_settings initial_settings,
                           document_parser parse_document)
    : loop(loop_ref),
      clock(clock_ref),
      settings(std::move(initial_settings)),
      client(loop, clock, settings.client),
      quota(settings.quotas),
      repeats(settings.repeats),
      servers(settings.placement_options, settings.failure_domain,
              transport::random_seed()),
      reach(settings.reach, transport::random_seed()),
      rollouts(settings.name, transport::random_seed(), clock.monotonic_now()),
      random(transport::random_seed()),
      parse_document_(std::move(parse_document)),
      incarnation_(transport::random_seed()),
      started_at_(clock.monotonic_now())
{}

bool gateway_core::keys_valid() const
{
    return table_ && clock.monotonic_now() < keys_valid_until_;
}

milliseconds gateway_core::control_age() const
{
    return keys_valid_until_ == monotonic_time{}
               ? milliseconds{-1}
               : duration_cast<milliseconds>(clock.monotonic_now() -
                                             keys_valid_until_) +
                     settings.keys_valid_for;
}

milliseconds gateway_core::expected_wait() const
{
    // From a start of all processes to the first answer of a leader: 0.35 s if
    // the former leader still has its disk, 1 s if another one is elected.
    constexpr milliseconds usual_start_time{700};
    // An election and one report after the former leader's lease has expired.
    constexpr milliseconds election_time{2'000};
    constexpr milliseconds min_wait{250};
    if (keys_valid_until_ != monotonic_time{})
    {
        return election_time;
    }
    const auto uptime =
        duration_cast<milliseconds>(clock.monotonic_now() - started_at_);
    return uptime < usual_start_time
               ? std::max(min_wait, usual_start_time - uptime)
               : election_time;
}

bool gateway_core::await_start(milliseconds max_wait,
                               std::function<void()> on_end)
{
    // An election after the loss of a leader, and two reports.
    constexpr milliseconds start_period{1'500};
    const auto uptime =
        duration_cast<milliseconds>(clock.monotonic_now() - started_at_);
    const bool starting =
        keys_valid_until_ == monotonic_time{} && uptime < start_period;
    if (!starting || keys_valid() || max_wait.count() <= 0)
    {
        return false;
    }
    const auto id = ++last_wait_id_;
    auto& wait = start_waits_[id];
    wait.on_end = std::move(on_end);
    wait.timer =
        loop.after(std::min(max_wait, start_period - uptime), [this, id] {
            const auto ended = start_waits_.extract(id);
            ended.mapped().on_end();
        });
    return true;
}

void gateway_core::finish_start_waits()
{
    for (auto& [id, wait] : std::exchange(start_waits_, {}))
    {
        wait.timer.cancel();
        wait.on_end();
    }
}

// [requests] -----------------------------------------------------------------

std::uint64_t gateway_core::add_request(std::function<void()> on_end,
                                        std::function<void()> on_overflow)
{
    requests_[++last_request_id_] = {std::move(on_end), std::move(on_overflow)};
    return last_request_id_;
}

void gateway_core::remove_request(std::uint64_t id)
{
    set_buffered_bytes(id, 0);
    requests_.erase(id);
}

void gateway_core::set_buffered_bytes(std::uint64_t id, std::size_t bytes)
{
    const auto found = requests_.find(id);
    if (found == requests_.end())
    {
        return;
    }
    buffered_bytes_ += bytes;
    buffered_bytes_ -= std::exchange(found->second.buffered_bytes, bytes);
    if (buffered_bytes_ <= settings.max_buffered_bytes)
    {
        return;
    }
    const auto largest = std::max_element(
        requests_.begin(), requests_.end(),
        [](const auto& left, const auto& right) {
            return left.second.buffered_bytes < right.second.buffered_bytes;
        });
    log_event("buffers.full", {{"bytes", buffered_bytes_},
                               {"largest", largest->second.buffered_bytes}});
    counters.buffer_overflows.add();
    // The handler may remove the request.
    const auto on_overflow = largest->second.on_overflow;
    on_overflow();
}

void gateway_core::end_requests()
{
    std::vector<std::function<void()>> handlers;
    for (const auto& [id, request] : requests_)
    {
        handlers.push_back(request.on_end);
    }
    for (const auto& on_end : handlers)
    {
        on_end();
    }
}

bool gateway_core::may_attempt() const
{
    return !shutdown || clock.monotonic_now() < shutdown->last_attempt;
}

// [document] -----------------------------------------------------------------

void gateway_core::set_document_handler(std::function<void()> handler)
{
    document_handler_ = std::move(handler);
}

// [reports] ------------------------------------------------------------------

protocol::entry_report gateway_core::report(report_purpose purpose)
{
    const auto now = clock.monotonic_now();
    protocol::entry_report result;
    result.entry = settings.name;
    result.incarnation = incarnation_;
    result.failure_domain = settings.failure_domain;
    result.document_version = document_version();
    result.wants_document = purpose == report_purpose::fetch_document;
    result.listing_digest = server_list_digest_;
    result.shares = quota.shares();
    result.shares_held_ms = std::max<std::int64_t>(
        0, duration_cast<milliseconds>(quota.shares_expire_at() - now).count());
    result.demand = quota.demand(now);
    for (const auto& [window, counts] : usage_by_window_)
    {
        result.usage.push_back({window, counts});
    }
    result.load = servers.own_load();
    result.moves = versions.counts();
    result.leaving = servers.seen_leaving();
    result.crashes = crashes.report(now);
    result.rate_limits = servers.permits().report(now);
    result.cold = servers.cold().report(now);
    result.brittle = servers.brittle().report(now);
    result.evacuation_revision = servers.evacuated().revision();
    result.work = work.totals();
    result.relay = {relay_address, reach.cut_off(), reach.helpers()};
    if (purpose == report_purpose::inform_leader)
    {
        crashes.mark_reported(now);
        result.reserves = reserve.report(now);
        result.pressure = ranks.report(now);
        for (const auto& seen :
             rollouts.reports_for(now, leader_term_, versions.counts()))
        {
            result.evidence.push_back(encode(seen));
        }
    }
    return result;
}

void gateway_core::on_report_confirmed(std::uint64_t leader_term)
{
    rollouts.on_confirmed(leader_term);
}

void gateway_core::count_usage(const std::string& organisation,
                               monotonic_time at)
{
    if (organisation.empty() || !wall_clock_known_)
    {
        return;
    }
    const auto wall_clock_ms =
        duration_cast<milliseconds>(at.time_since_epoch()) + wall_clock_offset_;
    ++usage_by_window_[static_cast<std::uint64_t>(
        wall_clock_ms / settings.usage_window)][organisation];
    while (usage_by_window_.size() > max_usage_windows)
    {
        usage_by_window_.erase(usage_by_window_.begin());
    }
}

// [tokens] -------------------------------------------------------------------

void gateway_core::set_token_fetcher(token_fetcher fetcher)
{
    fetch_tokens_ = std::move(fetcher);
}

void gateway_core::take_tokens(const std::string& organisation, double tokens,
                               const std::function<void(quota_result)>& on_end)
{
    const auto wait = quota.take(clock.monotonic_now(), organisation, tokens);
    if (wait.count() == 0)
    {
        return on_end({});
    }
    if (!fetch_tokens_)
    {
        return on_end({quota_refusal::exceeded, wait});
    }
    if (reserve.leader_silent(clock.monotonic_now()) &&
        use_reserve(organisation, tokens))
    {
        return on_end({});
    }
    fetch_tokens_(
        organisation, tokens,
        [this, organisation, tokens, on_end](const auto& answer) {
            if (!answer)
            {
                if (use_reserve(organisation, tokens))
                {
                    return on_end({});
                }
                counters.leader_silent_refusals.add();
                return on_end(
                    {quota_refusal::leader_silent, leader_retry_after});
            }
            if (answer->granted)
            {
                reserve.on_granted(clock.monotonic_now(), organisation, tokens);
                return on_end({});
            }
            // Reserves are taken from the leader's bucket, so a burst within
            // the quota can find it empty.
            if (use_reserve(organisation, tokens))
            {
                return on_end({});
            }
            on_end({quota_refusal::exceeded,
                    milliseconds{std::max<std::int64_t>(1, answer->wait_ms)}});
        });
}

/// Takes tokens from the reserve, which the leader has already counted as used.
bool gateway_core::use_reserve(const std::string& organisation, double tokens)
{
    constexpr milliseconds log_interval{1'000};
    const auto now = clock.monotonic_now();
    if (!reserve.take(now, organisation, tokens))
    {
        return false;
    }
    counters.reserve_tokens_used.add(static_cast<std::uint64_t>(tokens));
    if (now - reserve_logged_at_ >= log_interval)
    {
        reserve_logged_at_ = now;
        log_event("quota.reserve_used",
                  {{"organisation", organisation},
                   {"left", reserve.held(now, organisation)}});
    }
    return true;
}

// [orders] -------------------------------------------------------------------

void gateway_core::apply_orders(monotonic_time sent_at,
                                protocol::entry_orders orders)
{
    apply_document(orders);
    apply_evacuations(orders);
    apply_server_list(orders);
    servers.set_leaving(orders.leaving);
    // While the leader has a newer document, a key that is valid in the local
    // one may have been revoked, so the answer must not extend the validity.
    if (orders.leads && orders.document_version <= document_version())
    {
        apply_leader_orders(sent_at, orders);
    }
}

/// Ignores documents that are not newer than the active one.
void gateway_core::apply_document(protocol::entry_orders& orders)
{
    const auto previous_version = document_version();
    if (!orders.packed_document || orders.document_version <= previous_version)
    {
        return;
    }
    const auto text = protocol::unpack_text(*orders.packed_document);
    auto document = text ? parse_document_(*text)
                         : transport::result<protocol::service_document>{
                               tl::make_unexpected(text.error())};
    if (!document)
    {
        return log_event("document.unreadable",
                         {{"version", orders.document_version},
                          {"error", document.error().text}});
    }
    log_event("document.in_force", {{"version", document->version},
                                    {"before", previous_version},
                                    {"routes", document->routes.size()}});
    quota.set_organisations(clock.monotonic_now(), document->organisations);
    table_ = std::make_shared<const route_table>(std::move(*document));
    servers.cold().set_services(table_->document().services);
    if (document_handler_)
    {
        document_handler_();
    }
}

/// Each replica answers with its own copy of the server list. Of these, the
/// copy that was read last is used.
void gateway_core::apply_server_list(protocol::entry_orders& orders)
{
    if (orders.listing_age_ms < 0)
    {
        return;
    }
    const auto read_at =
        clock.monotonic_now() - milliseconds{orders.listing_age_ms};
    if (read_at <= server_list_read_at_)
    {
        return;
    }
    if (!orders.listing)
    {
        server_list_read_at_ = read_at;
        servers.cold().on_list_read(read_at);
        return;
    }
    server_list_read_at_ = read_at;
    server_list_digest_ = orders.listing->digest;
    // `read_ms` is the replicas' time, which cannot be converted to local time
    // before the clock offset is known. The replica's reading time, computed
    // from the list's age, is used until then.
    const auto state_at =
        wall_clock_known_ && orders.listing->read_ms > 0
            ? monotonic_time{milliseconds{orders.listing->read_ms} -
                             wall_clock_offset_}
            : read_at;
    reach.set_servers(orders.listing->servers);
    servers.cold().set_servers(clock.monotonic_now(), orders.listing->servers,
                               state_at);
    servers.cold().on_list_read(read_at);
    for (const auto& removed :
         servers.set_servers(orders.listing->servers, state_at))
    {
        client.forget(removed->listed.address);
    }
    log_event("servers.changed", {{"listed", orders.listing->servers.size()},
                                  {"age_ms", orders.listing_age_ms}});
}

void gateway_core::apply_evacuations(const protocol::entry_orders& orders)
{
    const auto now = clock.monotonic_now();
    const auto changes = servers.evacuated().apply(
        now, orders.evacuation_revision, orders.evacuated);
    if (changes.missed)
    {
        log_event("evacuation.missed",
                  {{"revision", orders.evacuation_revision}});
        servers.cold().presume_all(now);
    }
    for (const auto& [domain, evacuated] : changes.seen)
    {
        log_event("evacuation.in_force",
                  {{"domain", domain},
                   {"order", evacuated ? "begin" : "end"},
                   {"revision", orders.evacuation_revision}});
        if (!evacuated)
        {
            servers.cold().on_evacuation_ended(now, domain);
        }
    }
}

void gateway_core::apply_leader_orders(monotonic_time sent_at,
                                       const protocol::entry_orders& orders)
{
    const auto now = clock.monotonic_now();
    leader_term_ = orders.leader_term;
    keys_valid_until_ =
        std::max(keys_valid_until_, sent_at + settings.keys_valid_for);
    quota.set_shares(now, orders.shares, sent_at + settings.keys_valid_for);
    reserve.set_orders(now, orders.reserves);
    ranks.set_orders(now, orders.turns);
    servers.set_peer_loads(orders.others_load);
    servers.set_gateway_count(orders.entries);
    versions.set_orders(sent_at, orders.moves);
    crashes.set_orders(now, orders.crashes);
    servers.permits().set_orders(sent_at, now, orders.rate_limits,
                                 orders.entries);
    servers.cold().set_orders(sent_at, now, orders.cold, orders.entries);
    servers.brittle().set_orders(now, orders.brittle, orders.entries,
                                 orders.entry_number);
    for (const auto& dropped : reach.set_helpers(orders.helpers))
    {
        client.forget_relay(dropped);
    }
    const auto midpoint = sent_at + (now - sent_at) / 2;
    wall_clock_offset_ =
        milliseconds{orders.true_time_ms} -
        duration_cast<milliseconds>(midpoint.time_since_epoch());
    wall_clock_known_ = true;
    if (keys_valid())
    {
        finish_start_waits();
    }
}

// [metrics] ------------------------------------------------------------------

std::string gateway_core::metrics() const
{
    transport::prometheus_text out;
    const auto total = [&](std::string_view name,
                           const transport::counter& value,
                           std::string_view help) {
        out.family(name, "counter", help);
        out.sample(static_cast<double>(value.value()));
    };
    total("hyssopdeal_requests_total", counters.received, "Requests read");
    total("hyssopdeal_served_total", counters.served, "Complete answers");
    total("hyssopdeal_passed_failures_total", counters.forwarded_errors,
          "Failures of servers that were passed on");
    total("hyssopdeal_refused_total", counters.refused, "Requests not run");
    total("hyssopdeal_failed_total", counters.failed,
          "Requests that failed here");
    total("hyssopdeal_left_total", counters.left, "Callers who left");
    total("hyssopdeal_repeats_total", counters.repeats, "Repeated attempts");
    total("hyssopdeal_resumed_total", counters.resumed, "Resumed streams");
    total("hyssopdeal_moved_total", counters.moved,
          "Streams moved from servers that were to end");
    out.family("hyssopdeal_broken_attempts_total", "counter",
               "Attempts without a complete answer that may have run");
    out.sample(static_cast<double>(counters.broken_before_event.value()),
               {{"event", "none"}});
    out.sample(static_cast<double>(counters.broken_after_event.value()),
               {{"event", "some"}});
    total("hyssopdeal_buffer_overflows_total", counters.buffer_overflows,
          "Answers given up as the largest when the buffers were full");
    total("hyssopdeal_unconfirmed_ends_total", counters.unconfirmed_ends,
          "Answers without a length whose server or relay was gone at their "
          "end");
    total("hyssopdeal_quarantine_refusals_total", counters.quarantined,
          "Requests refused because their prompt crashes servers");
    out.family("hyssopdeal_quarantined_prompts", "gauge",
               "Prompts that are not sent to servers");
    out.sample(static_cast<double>(crashes.quarantined()));
    out.family("hyssopdeal_rate_limited_attempts_total", "counter",
               "Attempts sent to servers that named a rate limit");
    out.sample(
        static_cast<double>(counters.rate_limited_first_attempts.value()),
        {{"attempt", "first"}});
    out.sample(static_cast<double>(counters.rate_limited_retries.value()),
               {{"attempt", "retry"}});
    out.family("hyssopdeal_server_rate_limit", "gauge",
               "Requests per second that a server takes from all entries");
    for (const auto& [id, per_s] : servers.permits().limits())
    {
        out.sample(per_s, {{"server", id}});
    }
    total("hyssopdeal_rate_limit_refusals_total",
          counters.rate_limited_refusals,
          "Requests refused because no server took one more at that time");
    out.family("hyssopdeal_cold_servers", "gauge",
               "Servers that are cold, or presumed to be");
    out.sample(
        static_cast<double>(servers.cold().count(clock.monotonic_now())));
    total("hyssopdeal_cold_refusals_total", counters.cold_refusals,
          "Requests refused because only cold servers without a permit were "
          "left");
    out.family("hyssopdeal_brittle_servers", "gauge",
               "Rejections per second after which a server of the service "
               "falls over");
    for (const auto& [service, per_s] : servers.brittle().services())
    {
        out.sample(per_s, {{"service", service}});
    }
    total("hyssopdeal_brittle_refusals_total", counters.brittle_refusals,
          "Requests refused because no slot of a brittle server was left to "
          "this entry");
    total("hyssopdeal_leader_silent_refusals_total",
          counters.leader_silent_refusals,
          "Requests refused because the leader did not answer on their quota");
    total("hyssopdeal_evacuation_refusals_total", counters.evacuation_refusals,
          "Requests refused because all servers are in evacuated domains");
    out.family("hyssopdeal_evacuated_domains", "gauge",
               "Failure domains whose servers get no new requests");
    out.sample(static_cast<double>(servers.evacuated().domains().size()));
    out.family("hyssopdeal_yielded_total", "counter",
               "Requests refused so that more urgent ones are served");
    for (const auto& [rank, count] : ranks.yielded())
    {
        out.sample(static_cast<double>(count),
                   {{"rank", std::to_string(rank)}});
    }
    total("hyssopdeal_reserve_tokens_used_total", counters.reserve_tokens_used,
          "Tokens of quotas used from the reserve, as the leader was silent or "
          "declined");
    total("hyssopdeal_relayed_attempts_total", counters.relayed_attempts,
          "Attempts sent through another gateway");
    out.family("hyssopdeal_unreached_servers", "gauge",
               "Servers to which no direct connection could be opened");
    out.sample(static_cast<double>(reach.unreached()));
    out.family("hyssopdeal_connections_total", "counter",
               "Connections opened to servers");
    out.sample(static_cast<double>(client.connections_opened()));
    out.family("hyssopdeal_document_version", "gauge", "Document in force");
    out.sample(table_ ? static_cast<double>(table_->document().version) : 0);
    out.family("hyssopdeal_keys_valid", "gauge",
               "Whether the control state is recent enough to serve");
    out.sample(keys_valid() ? 1 : 0);
    out.family("hyssopdeal_running", "gauge", "Requests at each server");
    for (const auto& [id, server] : servers.servers())
    {
        out.sample(server->running, {{"server", id}});
    }
    const auto histogram = [&](std::string_view name,
                               const transport::duration_histogram& values,
                               std::string_view help) {
        transport::duration_histogram::totals sums;
        values.add_to(sums);
        out.family(name, "histogram", help);
        out.samples(sums);
    };
    histogram("hyssopdeal_first_event_seconds", counters.first_event,
              "From the request to the first event");
    histogram("hyssopdeal_answer_seconds", counters.whole_answer,
              "From the request to the whole answer");
    histogram("hyssopdeal_prediction_error_seconds", counters.prediction_error,
              "Between predicted and actual time from sending to first event");
    servers.timings().write(out);
    out.family("hyssopdeal_server_duration_ratio", "gauge",
               "Duration of work at a server to the mean of its service");
    for (const auto& ratio : servers.speeds().learned())
    {
        if (!servers.servers().contains(ratio.server))
        {
            continue;
        }
        out.sample(ratio.work, {{"server", ratio.server}, {"work", "start"}});
        out.sample(ratio.event, {{"server", ratio.server}, {"work", "event"}});
    }
    out.family("hyssopdeal_dropped_log_lines_total", "counter",
               "Log lines that were not written");
    out.sample(static_cast<double>(transport::dropped_events()));
    return out.text();
}

} // namespace hyssopdeal::coordination
