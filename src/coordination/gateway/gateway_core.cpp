/// @file
/// What all requests of one entry share.

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

// Windows that are reported: the open one, and those not yet decided.
constexpr std::size_t reported_windows = 4;

} // namespace

gateway_core::gateway_core(transport::event_loop& own_loop,
                           const transport::clock& own_clock,
                           gateway_settings own_settings, read_document reads)
    : loop(own_loop),
      clock(own_clock),
      settings(std::move(own_settings)),
      client(loop, clock, settings.client),
      quota(settings.quotas),
      repeats(settings.repeats),
      servers(settings.placing, settings.failure_domain,
              transport::random_seed()),
      observer(settings.name, transport::random_seed(), clock.monotonic_now()),
      random(transport::random_seed()),
      reads_(std::move(reads)),
      incarnation_(transport::random_seed()),
      started_(clock.monotonic_now())
{}

bool gateway_core::keys_valid() const
{
    return table_ && clock.monotonic_now() < valid_until_;
}

milliseconds gateway_core::control_age() const
{
    return valid_until_ == monotonic_time{}
               ? milliseconds{-1}
               : duration_cast<milliseconds>(clock.monotonic_now() -
                                             valid_until_) +
                     settings.keys_valid_for;
}

milliseconds gateway_core::expected_wait() const
{
    // From a start of all processes to a leader and its first answer: 0.35 s
    // when the leader has kept its disk, a second when another is elected.
    constexpr milliseconds start_time{700};
    // An election and a report, once the former leader's lease is over.
    constexpr milliseconds election_time{2'000};
    constexpr milliseconds least{250};
    if (valid_until_ != monotonic_time{})
    {
        return election_time;
    }
    const auto up =
        duration_cast<milliseconds>(clock.monotonic_now() - started_);
    return up < start_time ? std::max(least, start_time - up) : election_time;
}

bool gateway_core::await_start(milliseconds most, std::function<void()> on_end)
{
    // An election after the leader's loss, and two reports.
    constexpr milliseconds start_ends{1'500};
    const auto up =
        duration_cast<milliseconds>(clock.monotonic_now() - started_);
    const bool starts = valid_until_ == monotonic_time{} && up < start_ends;
    if (!starts || keys_valid() || most.count() <= 0)
    {
        return false;
    }
    const auto number = ++last_wait_;
    auto& wait = start_waits_[number];
    wait.on_end = std::move(on_end);
    wait.timer = loop.after(std::min(most, start_ends - up), [this, number] {
        const auto ended = start_waits_.extract(number);
        ended.mapped().on_end();
    });
    return true;
}

void gateway_core::end_waits()
{
    for (auto& [number, wait] : std::exchange(start_waits_, {}))
    {
        wait.timer.cancel();
        wait.on_end();
    }
}

void gateway_core::on_document(std::function<void()> handler)
{
    document_handler_ = std::move(handler);
}

// [reports] ------------------------------------------------------------------

protocol::entry_report gateway_core::report(bool wants_document)
{
    const auto now = clock.monotonic_now();
    protocol::entry_report told;
    told.entry = settings.name;
    told.incarnation = incarnation_;
    told.failure_domain = settings.failure_domain;
    told.document_version = document_version();
    told.wants_document = wants_document;
    told.listing_digest = listing_digest_;
    told.shares = quota.shares();
    told.shares_held_ms = std::max<std::int64_t>(
        0, duration_cast<milliseconds>(quota.shares_until() - now).count());
    told.demand = quota.demand(now);
    for (const auto& [window, counts] : usage_)
    {
        told.usage.push_back({window, counts});
    }
    told.load = servers.own_load();
    told.moves = versions.counts();
    told.leaving = servers.seen_leaving();
    for (const auto& seen : observer.take_reports(now))
    {
        told.evidence.push_back(encode(seen));
    }
    return told;
}

void gateway_core::count_usage(const std::string& organisation,
                               monotonic_time at)
{
    if (organisation.empty() || !time_known_)
    {
        return;
    }
    const auto true_ms =
        duration_cast<milliseconds>(at.time_since_epoch()) + true_offset_;
    ++usage_[static_cast<std::uint64_t>(true_ms / settings.usage_window)]
            [organisation];
    while (usage_.size() > reported_windows)
    {
        usage_.erase(usage_.begin());
    }
}

// [tokens] -------------------------------------------------------------------

void gateway_core::lend_by(fetch_tokens fetch)
{
    fetch_ = std::move(fetch);
}

void gateway_core::take_tokens(const std::string& organisation, double tokens,
                               const std::function<void(milliseconds)>& on_end)
{
    const auto wait = quota.take(clock.monotonic_now(), organisation, tokens);
    if (wait.count() == 0 || !fetch_)
    {
        return on_end(wait);
    }
    fetch_(organisation, tokens, [on_end](protocol::token_answer answer) {
        on_end(answer.granted
                   ? milliseconds{0}
                   : milliseconds{std::max<std::int64_t>(1, answer.wait_ms)});
    });
}

// [orders] -------------------------------------------------------------------

void gateway_core::apply_orders(monotonic_time asked,
                               protocol::entry_orders orders)
{
    take_document(orders);
    take_listing(orders);
    servers.set_leaving(orders.leaving);
    // A key that is valid here may have been taken away by a document that has
    // not come yet.
    if (orders.leads && orders.document_version <= document_version())
    {
        take_leaders_word(asked, orders);
    }
}

/// A document never gives way to an older one.
void gateway_core::take_document(protocol::entry_orders& orders)
{
    const auto held = document_version();
    if (!orders.packed_document || orders.document_version <= held)
    {
        return;
    }
    const auto text = protocol::unpack_text(*orders.packed_document);
    auto document = text ? reads_(*text)
                         : transport::result<protocol::service_document>{
                               tl::make_unexpected(text.error())};
    if (!document)
    {
        return log_event("document.unreadable",
                         {{"version", orders.document_version},
                          {"error", document.error().text}});
    }
    log_event("document.in_force", {{"version", document->version},
                                    {"before", held},
                                    {"routes", document->routes.size()}});
    quota.set_organisations(clock.monotonic_now(), document->organisations);
    table_ = std::make_shared<const route_table>(std::move(*document));
    if (document_handler_)
    {
        document_handler_();
    }
}

/// Each replica reads the list by itself; the latest reading counts.
void gateway_core::take_listing(protocol::entry_orders& orders)
{
    if (orders.listing_age_ms < 0)
    {
        return;
    }
    const auto read =
        clock.monotonic_now() - milliseconds{orders.listing_age_ms};
    if (read <= listing_read_)
    {
        return;
    }
    if (!orders.listing)
    {
        listing_read_ = read;
        return;
    }
    listing_read_ = read;
    listing_digest_ = orders.listing->digest;
    // Entries that do not know the true time yet take the list for fresh.
    const auto shown =
        time_known_ && orders.listing->read_ms > 0
            ? monotonic_time{milliseconds{orders.listing->read_ms} -
                             true_offset_}
            : read;
    for (const auto& lost : servers.set_servers(orders.listing->servers, shown))
    {
        client.forget(lost->listed.address);
    }
    log_event("servers.changed", {{"listed", orders.listing->servers.size()},
                                  {"age_ms", orders.listing_age_ms}});
}

void gateway_core::take_leaders_word(monotonic_time asked,
                                     const protocol::entry_orders& orders)
{
    const auto now = clock.monotonic_now();
    valid_until_ = std::max(valid_until_, asked + settings.keys_valid_for);
    quota.set_shares(now, orders.shares, asked + settings.keys_valid_for);
    servers.set_others(orders.others_load);
    servers.set_entries(orders.entries);
    versions.set_orders(asked, orders.moves);
    const auto middle = asked + (now - asked) / 2;
    true_offset_ = milliseconds{orders.true_time_ms} -
                   duration_cast<milliseconds>(middle.time_since_epoch());
    time_known_ = true;
    if (keys_valid())
    {
        end_waits();
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
    out.family("hyssopdeal_dropped_log_lines_total", "counter",
               "Log lines that were not written");
    out.sample(static_cast<double>(transport::dropped_events()));
    return out.text();
}

} // namespace hyssopdeal::coordination
