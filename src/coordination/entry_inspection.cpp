#include "entry_inspection.hpp"

#include <functional>
#include <memory>
#include <utility>

#include <nlohmann/json.hpp>

#include <hyssopdeal/protocol/peer_hub.hpp>
#include <hyssopdeal/transport/byte_budget.hpp>
#include <hyssopdeal/transport/json_text.hpp>

#include "entry_answers.hpp"
#include "stream_session.hpp"

namespace hyssopdeal::coordination
{

using nlohmann::ordered_json;
using transport::counter;
using transport::duration_histogram;
using transport::http_responder;
using transport::reason;

namespace
{

/// A counter of every shard and how it is shown.
struct shown_counter
{
    counter entry_metrics::*member;
    std::string_view name;
    std::string_view help;
};

constexpr shown_counter shown_counters[] = {
    {&entry_metrics::requests, "hyssopdeal_requests_total",
     "Requests for services."},
    {&entry_metrics::attempts, "hyssopdeal_attempts_total",
     "Attempts sent to backend servers."},
    {&entry_metrics::events, "hyssopdeal_stream_events_total",
     "Events sent to callers."},
    {&entry_metrics::streams_opened, "hyssopdeal_streams_opened_total",
     "Streams with a first event."},
    {&entry_metrics::streams_finished, "hyssopdeal_streams_finished_total",
     "Streams delivered whole."},
    {&entry_metrics::streams_failed, "hyssopdeal_streams_failed_total",
     "Streams ended by an error."},
    {&entry_metrics::resumes, "hyssopdeal_stream_resumes_total",
     "Streams gone on with after the loss of an engine."},
    {&entry_metrics::recomputed_tokens, "hyssopdeal_recomputed_tokens_total",
     "Tokens prefilled again by resumes."}};

/// A gauge of every shard and how it is shown.
struct shown_gauge
{
    std::atomic<std::uint32_t> entry_metrics::*member;
    std::string_view name;
    std::string_view help;
};

constexpr shown_gauge shown_gauges[] = {
    {&entry_metrics::open_streams, "hyssopdeal_open_streams",
     "Streams open now."},
    {&entry_metrics::open_calls, "hyssopdeal_open_calls",
     "Calls open now that are not streamed."},
    {&entry_metrics::waiting, "hyssopdeal_waiting_requests",
     "Requests that wait for a backend server."}};

void write_failures(transport::prometheus_text& text,
                    const std::vector<entry_shard*>& shards)
{
    text.family("hyssopdeal_failures_total", "counter",
                "Failures told to callers, by reason.");
    for (std::size_t code = 0; code < reason_count; ++code)
    {
        double sum = 0;
        for (const auto* shard : shards)
        {
            sum += static_cast<double>(shard->metrics.failures[code].value());
        }
        text.sample(sum, {{"reason", to_string(static_cast<reason>(code))}});
    }
}

void write_times(transport::prometheus_text& text,
                 const std::vector<entry_shard*>& shards,
                 duration_histogram entry_metrics::*member,
                 std::string_view name, std::string_view help)
{
    duration_histogram::totals sum;
    for (const auto* shard : shards)
    {
        (shard->metrics.*member).add_to(sum);
    }
    text.family(name, "histogram", help);
    text.samples(sum);
}

/// Rows that come in from each shard; used on the asking shard's thread.
struct gathering
{
    ordered_json rows = ordered_json::array();
    std::size_t missing = 0;
    std::string page;
    http_responder responder;

    void add(const ordered_json& more)
    {
        rows.insert(rows.end(), more.begin(), more.end());
        --missing;
        if (missing == 0)
        {
            const ordered_json body = {{page, rows}};
            responder.send({200,
                            {{"Content-Type", "application/json"}},
                            transport::json_text(body)});
        }
    }
};

using row_maker = ordered_json (*)(entry_shard&);

ordered_json stream_rows(entry_shard& shard)
{
    auto rows = ordered_json::array();
    shard.streams.visit([&rows](const stream_session& session) {
        const auto* const record = session.record();
        rows.push_back({{"stream", session.id()},
                        {"organisation", session.request().organisation},
                        {"service", session.request().service},
                        {"version", record ? record->origin().version : ""},
                        {"events", record ? record->events().size() : 0},
                        {"delivered", record ? record->delivered_to() : 0},
                        {"copied", record ? record->copied_to() : 0},
                        {"epoch", record ? record->epoch() : 0},
                        {"open", session.is_open()}});
    });
    return rows;
}

std::string_view state_name(server_availability state) noexcept
{
    switch (state)
    {
    case server_availability::available:
        return "available";
    case server_availability::ejected:
        return "ejected";
    case server_availability::unreachable:
        return "unreachable";
    case server_availability::leaving:
        return "leaving";
    case server_availability::evacuated:
        return "evacuated";
    }
    return "unreachable";
}

ordered_json route_rows(entry_shard& shard)
{
    auto rows = ordered_json::array();
    for (auto& [service, lane] : shard.lanes)
    {
        for (const auto& row : lane->router().rows())
        {
            rows.push_back({{"service", service},
                            {"server", row.server},
                            {"version", row.version},
                            {"state", state_name(row.state.state)},
                            {"own_in_flight", row.state.own_in_flight},
                            {"in_flight", row.state.in_flight},
                            {"limit", row.state.concurrency_limit},
                            {"queued_tokens", row.state.queued_prompt_tokens},
                            {"waiting", lane->waiting()}});
        }
    }
    return rows;
}

ordered_json grant_rows(entry_shard& shard)
{
    auto rows = ordered_json::array();
    const auto names = shard.shared.catalog.read([](const auto& catalog) {
        std::vector<std::string> organisations;
        for (const auto& contract : catalog.view().contracts)
        {
            organisations.push_back(contract.organisation);
        }
        return organisations;
    });
    for (const auto& name : names)
    {
        const auto allowed = shard.limits.allowed(shard.now(), name);
        rows.push_back({{"organisation", name},
                        {"requests_per_second", allowed.requests_per_second},
                        {"tokens_per_second", allowed.tokens_per_second},
                        {"concurrent_streams", allowed.concurrent_streams},
                        {"open_streams", shard.limits.open_streams(name)}});
    }
    return rows;
}

ordered_json member_rows(const entry_shared& shared)
{
    auto rows = ordered_json::array();
    const auto* const members = shared.members.load();
    if (members != nullptr)
    {
        members->read([&rows](const member_view& view) {
            for (const auto& member : view.members)
            {
                rows.push_back({{"name", member.name},
                                {"failure_domain", member.failure_domain},
                                {"peer_address", member.peer_address},
                                {"usable", member.usable}});
            }
        });
    }
    return rows;
}

ordered_json evacuation_rows(const entry_shared& shared)
{
    auto rows = ordered_json::array();
    shared.catalog.read([&rows](const entry_catalog& catalog) {
        for (const auto& order : catalog.view().evacuations)
        {
            rows.push_back(
                {{"failure_domain", order.failure_domain},
                 {"since_ms", order.since.time_since_epoch().count()}});
        }
    });
    return rows;
}

void gather(entry_shard& shard, std::string_view page, row_maker make,
            http_responder responder)
{
    const auto all = std::make_shared<gathering>(
        gathering{ordered_json::array(), shard.shared.shards.size(),
                  std::string{page}, std::move(responder)});
    for (auto* const asked : shard.shared.shards)
    {
        asked->loop.post([&home = shard, asked, make, all] {
            home.loop.post([all, rows = make(*asked)] { all->add(rows); });
        });
    }
}

} // namespace

std::string metrics_page(const entry_shared& shared)
{
    transport::prometheus_text text;
    for (const auto& shown : shown_counters)
    {
        double sum = 0;
        for (const auto* shard : shared.shards)
        {
            sum += static_cast<double>((shard->metrics.*shown.member).value());
        }
        text.family(shown.name, "counter", shown.help);
        text.sample(sum);
    }
    for (const auto& shown : shown_gauges)
    {
        double sum = 0;
        for (const auto* shard : shared.shards)
        {
            sum += (shard->metrics.*shown.member).load();
        }
        text.family(shown.name, "gauge", shown.help);
        text.sample(sum);
    }
    write_failures(text, shared.shards);
    write_times(text, shared.shards, &entry_metrics::first_token,
                "hyssopdeal_first_token_seconds",
                "From the request to the first event sent.");
    write_times(text, shared.shards, &entry_metrics::whole_answer,
                "hyssopdeal_answer_seconds",
                "From the request to a whole answer.");
    text.family("hyssopdeal_applied_index", "gauge",
                "Log index of the configuration in force.");
    text.sample(shared.catalog.read([](const auto& catalog) {
        return static_cast<double>(catalog.view().applied_index);
    }));
    text.family("hyssopdeal_evacuated_domains", "gauge",
                "Failure domains whose servers get no new requests.");
    text.sample(shared.catalog.read([](const auto& catalog) {
        return static_cast<double>(catalog.view().evacuations.size());
    }));
    const auto links = protocol::bad_input_metrics(*shared.bad_input);
    if (shared.shards.empty())
    {
        return text.text() + links;
    }
    const auto budget = transport::byte_budget_of(shared.shards.front()->loop);
    return text.text() + links + budget->metrics();
}

void answer_debug(entry_shard& shard, std::string_view page,
                  http_responder responder)
{
    if (page == "streams")
    {
        gather(shard, page, &stream_rows, std::move(responder));
    }
    else if (page == "routes")
    {
        gather(shard, page, &route_rows, std::move(responder));
    }
    else if (page == "grants")
    {
        gather(shard, page, &grant_rows, std::move(responder));
    }
    else if (page == "members")
    {
        const ordered_json body = {{"members", member_rows(shard.shared)}};
        responder.send({200,
                        {{"Content-Type", "application/json"}},
                        transport::json_text(body)});
    }
    else if (page == "evacuations")
    {
        const ordered_json body = {
            {"evacuations", evacuation_rows(shard.shared)}};
        responder.send({200,
                        {{"Content-Type", "application/json"}},
                        transport::json_text(body)});
    }
    else
    {
        responder.send(failure_answer(
            {transport::verdict::not_run, reason::not_found,
             "Pages are members, routes, streams, grants and evacuations."}));
    }
}

} // namespace hyssopdeal::coordination
