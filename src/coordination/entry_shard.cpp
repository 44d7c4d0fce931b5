#include "entry_shard.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include <hyssopdeal/coordination/evacuation/evacuation_orders.hpp>

#include "entry_links.hpp"
#include "stream_exchange.hpp"
#include "stream_session.hpp"

namespace hyssopdeal::coordination
{

namespace
{

constexpr std::chrono::milliseconds count_interval{50};
constexpr std::chrono::milliseconds members_interval{1'000};
constexpr std::chrono::milliseconds ledger_interval{50};
constexpr std::chrono::milliseconds report_interval{250};

router_settings router_settings_of(const entry_settings& from)
{
    router_settings settings;
    settings.entry = from.name;
    settings.failure_domain = from.failure_domain;
    settings.balancer = from.balancer;
    return settings;
}

floor_settings floors_of(const entry_settings& from)
{
    floor_settings floors;
    if (from.control_replicas.empty())
    {
        // Nobody grants and nobody else admits: the whole limit is here.
        floors.floor_share = 1;
        floors.nodes = 1;
    }
    if (from.control_replicas.empty())
    {
        // Nobody grants: the entries that know each other share everything.
        floors.floor_share = 1;
        floors.nodes = std::max<std::uint32_t>(
            static_cast<std::uint32_t>(from.entries.size()), 1);
    }
    floors.nodes *= from.shards;
    return floors;
}

/// Later starts give greater numbers.
std::uint64_t incarnation_of(const transport::clock& clock)
{
    return static_cast<std::uint64_t>(
        clock.wall_now().time_since_epoch().count());
}

} // namespace

entry_shard::entry_shard(entry_shared& of, std::size_t max_server_connections)
    : shared(of),
      client(loop, max_server_connections),
      random(std::random_device{}()),
      limits(floors_of(of.settings)),
      versions(fmt::format("{}/{:x}", of.settings.name, random()),
               incarnation_of(of.clock), of.clock.monotonic_now())
{}

entry_shard::~entry_shard() = default;

void entry_shard::refresh()
{
    shared.catalog.read([this](const entry_catalog& catalog) {
        const auto& view = catalog.view();
        if (applied_index != 0 && view.applied_index <= applied_index)
        {
            return;
        }
        const bool restarted =
            applied_index == 0 && !shared.settings.control_replicas.empty();
        applied_index = view.applied_index;
        limits.set_contracts(now(), view.contracts,
                             restarted ? bucket_start::empty
                                       : bucket_start::full);
        const auto evacuated = evacuated_in(view);
        for (const auto& service : view.services)
        {
            auto& lane = lanes[service.name];
            if (!lane)
            {
                lane = std::make_unique<service_lane>(
                    loop, shared.clock, client, random,
                    router_settings_of(shared.settings));
            }
            copies.set_shares(service);
            auto used = service;
            used.shares = versions.effective_shares(now(), service);
            applied_shares_[service.name] = used.shares;
            lane->set_service(used, view.leaving_instances, evacuated);
        }
    });
}

void entry_shard::link(std::string_view shared_key)
{
    peers.emplace(
        loop, hub_settings_of(shared.settings, shared_key, shared.bad_input));
    watch_members();
    if (shared.settings.control_replicas.empty())
    {
        return;
    }
    ledger_client_settings settings;
    settings.entry = shared.settings.name;
    ledger.emplace(
        settings, shared.clock,
        [this](const std::string& to, std::string payload,
               std::chrono::milliseconds time_limit,
               ledger_client::reply_handler on_reply) {
            peers->call(to, protocol::peer_channel::ledger, std::move(payload),
                        time_limit, std::move(on_reply));
        },
        random());
    std::vector<std::string> names;
    for (const auto& replica : shared.settings.control_replicas)
    {
        names.push_back(replica.name);
    }
    grants = std::make_unique<grant_client>(
        loop, shared.clock, *peers, limits,
        shared.settings.name + "/" + to_string(next_id()), names);
    grants->start();
    ledger->set_replicas(std::move(names));
    tick_ledger();
}

void entry_shard::watch_members()
{
    std::uint32_t entries = 0;
    for (const auto& member : entry_members(*this))
    {
        entries += member.state == entry_liveness::alive ? 1 : 0;
    }
    for (const auto& [name, lane] : lanes)
    {
        lane->router().set_peers(std::max(entries, 1U) *
                                 shared.settings.shards);
    }
    members_timer = loop.after(members_interval, [this] { watch_members(); });
}

void entry_shard::tick_ledger()
{
    ledger->tick();
    ledger_timer = loop.after(ledger_interval, [this] { tick_ledger(); });
}

void entry_shard::apply_guards()
{
    shared.catalog.read([this](const entry_catalog& catalog) {
        const auto& view = catalog.view();
        if (view.applied_index != applied_index)
        {
            return; // refresh() applies both.
        }
        const auto evacuated = evacuated_in(view);
        for (const auto& service : view.services)
        {
            const auto shares = versions.effective_shares(now(), service);
            auto& applied = applied_shares_[service.name];
            auto* const lane = find_lane(service.name);
            if (lane == nullptr || applied == shares)
            {
                continue;
            }
            applied = shares;
            auto used = service;
            used.shares = shares;
            lane->set_service(used, view.leaving_instances, evacuated);
        }
    });
}

void entry_shard::watch_versions()
{
    apply_guards();
    copies.collect();
    for (const auto& report : versions.take_reports(now()))
    {
        const auto payload = encode(report);
        for (const auto& replica : shared.settings.control_replicas)
        {
            if (peers)
            {
                peers->send(replica.name, protocol::peer_channel::reports,
                            payload);
            }
        }
    }
    versions_timer = loop.after(report_interval, [this] { watch_versions(); });
}

bool entry_shard::is_leaving(std::string_view server) const
{
    const auto* const members = shared.members.load();
    return members != nullptr &&
           members->read([server](const member_view& view) {
               return std::binary_search(view.leaving_servers.begin(),
                                         view.leaving_servers.end(), server);
           });
}

void entry_shard::count_work()
{
    metrics.open_streams = static_cast<std::uint32_t>(streams.open_streams());
    metrics.open_calls = open_calls;
    if (spans)
    {
        spans->flush();
    }
    std::size_t waiting = 0;
    for (const auto& [name, lane] : lanes)
    {
        waiting += lane->waiting();
    }
    metrics.waiting = static_cast<std::uint32_t>(waiting);
    count_timer = loop.after(count_interval, [this] { count_work(); });
}

transport::result<void> entry_shard::open_spans()
{
    if (shared.settings.trace_file.empty())
    {
        return {};
    }
    spans = std::make_unique<protocol::span_writer>(shared.settings.trace_file,
                                                    shared.settings.name);
    return spans->open();
}

protocol::span entry_shard::make_span(std::string_view name,
                                      const accepted_request& request,
                                      transport::monotonic_time started) const
{
    protocol::span made;
    made.context = request.trace;
    made.name = name;
    made.end = shared.clock.wall_now();
    made.start = made.end - (now() - started);
    return made;
}

retry_decision entry_shard::decide_retry(const accepted_request& request,
                                         const transport::failure& error,
                                         std::uint32_t attempts)
{
    failed_attempt failed;
    failed.organisation = request.organisation;
    failed.service = request.service;
    failed.attempts = attempts;
    failed.ran = error.ran;
    failed.code = error.code;
    failed.repeats = request.route.repeats;
    failed.deadline = request.deadline;
    return retries.decide(now(), failed, random);
}

void entry_shard::record_span(std::string_view name,
                              const accepted_request& request,
                              transport::monotonic_time started,
                              std::vector<protocol::span_attribute> attributes)
{
    if (!spans || (request.trace.flags & 1U) == 0)
    {
        return;
    }
    auto made = make_span(name, request, started);
    made.context = protocol::child_of(request.trace, random);
    made.parent = request.trace.span;
    made.attributes = std::move(attributes);
    spans->add(made);
}

void entry_shard::record_entry_span(const accepted_request& request,
                                    protocol::span_status status)
{
    if (!spans || (request.trace.flags & 1U) == 0)
    {
        return;
    }
    auto made = make_span("entry", request, request.arrived);
    made.parent = request.caller_span;
    made.kind = protocol::span_kind::server;
    made.status = status;
    made.attributes = {{"organisation", request.organisation},
                       {"service", request.service},
                       {"route", request.route.name}};
    spans->add(made);
}

service_lane* entry_shard::find_lane(std::string_view service)
{
    const auto found = lanes.find(service);
    return found == lanes.end() ? nullptr : found->second.get();
}

attempt_id entry_shard::next_id()
{
    return {random(), random()};
}

} // namespace hyssopdeal::coordination
