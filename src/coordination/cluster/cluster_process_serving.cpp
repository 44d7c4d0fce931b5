/// @file
/// Requests of operators, other replicas and entries.

#include "coordination/cluster/cluster_process_impl.hpp"

#include <utility>

#include <hyssopdeal/transport/event_log.hpp>

#include "coordination/cluster/rollout_json.hpp"
#include "protocol/message_pack.hpp"

namespace hyssopdeal::coordination
{

using json = protocol::exact_json;
using protocol::pack_message;
using protocol::peer_channel;
using transport::fail;
using transport::log_event;
using transport::reason;
using transport::verdict;

HYSSOPDEAL_EXACT_JSON(versioned_document, version, bytes)

namespace
{

// Operators' clients give up on a replica that does not answer within a second.
constexpr std::chrono::milliseconds forward_time_limit{900};

json unpack(std::string_view bytes)
{
    return json::from_msgpack(bytes.begin(), bytes.end(), true, false);
}

std::string pack_answer(const transport::result<std::string>& answer)
{
    if (answer)
    {
        return pack_message(json{{"body", *answer}});
    }
    return pack_message(json{{"ran", answer.error().ran},
                             {"code", answer.error().code},
                             {"text", answer.error().text}});
}

transport::result<std::string> unpack_answer(const std::string& bytes)
{
    const auto read = unpack(bytes);
    if (read.is_object() && read.contains("body"))
    {
        return read["body"].get<std::string>();
    }
    if (read.is_object() && read.contains("code"))
    {
        return fail(read["code"].get<reason>(), read["text"].get<std::string>(),
                    read["ran"].get<verdict>());
    }
    return fail(reason::corrupt, "The leader's answer is not understood.",
                verdict::may_have_run);
}

} // namespace

// [operators] ----------------------------------------------------------------

void cluster_process::impl::submit(
    request_kind kind, const std::string& body,
    const std::function<void(transport::result<std::string>)>& on_end)
{
    leads() ? execute_as_leader(kind, body, on_end)
            : forward_to_leader(kind, body, on_end);
}

void cluster_process::impl::execute_as_leader(
    request_kind kind, const std::string& body,
    const std::function<void(transport::result<std::string>)>& on_end)
{
    const auto& replicated = machine->state();
    const auto ended = [on_end](const transport::result<void>& ran) {
        ran ? on_end(std::string{}) : on_end(tl::make_unexpected(ran.error()));
    };
    switch (kind)
    {
    case request_kind::read_document:
        return on_end(pack_message(versioned_document{
            replicated.document_version(), replicated.document()}));
    case request_kind::read_rollout: {
        const auto found = replicated.rollouts().find(body);
        if (found == replicated.rollouts().end())
        {
            return on_end(fail(reason::not_found, "No move was ordered."));
        }
        return on_end(pack_message(found->second));
    }
    case request_kind::read_listing: {
        protocol::listing_answer answer;
        answer.age_ms = listing_age_ms();
        if (std::to_string(listing.digest) != body)
        {
            answer.listing = listing;
        }
        return on_end(protocol::encode(answer));
    }
    case request_kind::put_document: {
        auto document = unpack(body).get<versioned_document>();
        if (document.version <= replicated.document_version())
        {
            log_event("document.not_newer",
                      {{"version", document.version},
                       {"held", replicated.document_version()}});
            return on_end(std::string{});
        }
        return propose(
            put_document_command{document.version, std::move(document.bytes)},
            ended);
    }
    case request_kind::put_rollout: {
        auto record = unpack(body).get<rollout_record>();
        record.started_ms = quorum_time().time_since_epoch().count();
        return propose(put_rollout_command{std::move(record)}, ended);
    }
    case request_kind::put_evacuation:
        return propose_evacuation(unpack(body), ended);
    }
}

void cluster_process::impl::forward_to_leader(
    request_kind kind, const std::string& body,
    const std::function<void(transport::result<std::string>)>& on_answer)
{
    const auto current = status();
    for (const auto& member : current.replicas.members)
    {
        if (member.id == current.leader_id && member.id != current.id)
        {
            hub->set_peer(member.address, member.address);
            return hub->call(
                member.address, peer_channel::operators,
                pack_message(json{{"kind", kind}, {"body", body}}),
                forward_time_limit,
                [on_answer](const transport::result<std::string>& answer) {
                    answer ? on_answer(unpack_answer(*answer))
                           : on_answer(tl::make_unexpected(answer.error()));
                });
        }
    }
    on_answer(fail(reason::no_quorum, "No replica leads now."));
}

void cluster_process::impl::on_forwarded_request(
    const std::string& payload, const protocol::peer_hub::reply_function& reply)
{
    const auto read = unpack(payload);
    if (!read.is_object() || !read.contains("kind") || !read.contains("body"))
    {
        return log_event("peer.bad_message", {{"what", "order"}});
    }
    if (!leads())
    {
        return reply(pack_answer(
            fail(reason::not_leader, "This replica does not lead.")));
    }
    try
    {
        execute_as_leader(
            read["kind"].get<request_kind>(), read["body"].get<std::string>(),
            [reply](const auto& answer) { reply(pack_answer(answer)); });
    }
    catch (const json::exception& error)
    {
        log_event("peer.bad_message",
                  {{"what", "order"}, {"error", error.what()}});
    }
}

void cluster_process::put_document(std::string bytes,
                                   const result_callback& on_done)
{
    const auto document = impl_->platform.read_document(bytes);
    const auto checked =
        document
            ? protocol::check(*document)
            : transport::result<void>{tl::make_unexpected(document.error())};
    if (!checked)
    {
        log_event("document.refused", {{"error", checked.error().text}});
        return on_done(checked);
    }
    const auto version = document->version;
    impl_->submit(
        request_kind::put_document,
        pack_message(versioned_document{version, std::move(bytes)}),
        [version, on_done](const auto& ended) {
            log_event("document.put",
                      {{"version", version},
                       {"outcome", ended ? "accepted" : ended.error().text}});
            ended ? on_done({}) : on_done(tl::make_unexpected(ended.error()));
        });
}

void cluster_process::read_document(const document_callback& on_done)
{
    impl_->submit(request_kind::read_document, {},
                  [on_done](const transport::result<std::string>& bytes) {
                      bytes ? on_done(unpack(*bytes).get<versioned_document>())
                            : on_done(tl::make_unexpected(bytes.error()));
                  });
}

void cluster_process::put_rollout(const rollout_record& record,
                                  const result_callback& on_done)
{
    impl_->submit(request_kind::put_rollout, pack_message(record),
                  [on_done](const auto& ended) {
                      ended ? on_done({})
                            : on_done(tl::make_unexpected(ended.error()));
                  });
}

void cluster_process::read_rollout(const std::string& service,
                                   const rollout_callback& on_done)
{
    impl_->submit(request_kind::read_rollout, service,
                  [on_done](const transport::result<std::string>& bytes) {
                      bytes ? on_done(unpack(*bytes).get<rollout_record>())
                            : on_done(tl::make_unexpected(bytes.error()));
                  });
}

// [entries] ------------------------------------------------------------------

void cluster_process::impl::on_report(
    const std::string& payload, const protocol::peer_hub::reply_function& reply)
{
    const auto report = protocol::decode_entry_report(payload);
    if (!report)
    {
        return log_event("peer.bad_message", {{"what", "entry report"},
                                              {"error", report.error().text}});
    }
    usage.on_report(quorum_time(), *report);
    const auto load_before = loads.of(report->entry);
    loads.on_report(clock.monotonic_now(), report->entry, report->load);
    work.on_report(clock.monotonic_now(), report->entry, report->incarnation,
                   report->work);
    brittle.on_report(clock.monotonic_now(), report->brittle);
    relays.on_report(clock.monotonic_now(), *report);
    evacuation_reports.on_report(clock.monotonic_now(), report->entry,
                                 report->evacuation_revision);
    on_version_reports(*report);
    on_leaving_servers(*report);
    on_crash_report(*report);
    reply(protocol::encode(orders_for(*report, load_before)));
}

/// Records servers that an entry reports as leaving while the list still shows
/// them as ready, so that all entries are told.
void cluster_process::impl::on_leaving_servers(
    const protocol::entry_report& report)
{
    for (const auto& [id, born] : report.leaving)
    {
        const bool listed = std::any_of(
            listing.servers.begin(), listing.servers.end(),
            [&, own = &id, of = born](const auto& server) {
                return server.id == *own && server.born == of &&
                       server.state == protocol::server_state::ready;
            });
        if (listed && leaving.insert_or_assign(id, born).second)
        {
            log_event("server.leaving",
                      {{"server", id}, {"told_by", report.entry}});
        }
    }
}

/// Caches the parts of the document in force that the leader needs.
void cluster_process::impl::cache_document()
{
    const auto& replicated = machine->state();
    if (cached_document_version == replicated.document_version())
    {
        return;
    }
    cached_document_version = replicated.document_version();
    const auto document = platform.read_document(replicated.document());
    if (!document)
    {
        return log_event("document.unreadable",
                         {{"version", cached_document_version},
                          {"error", document.error().text}});
    }
    services = document->services;
    quota_terms = document->organisations;
    organisations.clear();
    for (const auto& item : document->organisations)
    {
        organisations.push_back(item.name);
    }
}

/// Sets the leader's part of the quotas as in the document in force.
void cluster_process::impl::update_shared_quota(transport::monotonic_time now)
{
    // Longer than any leadership lasts; a leader drops its shared quota when it
    // steps down.
    constexpr std::chrono::hours shared_quota_lifetime{24 * 365};
    cache_document();
    if (shared_quota_version == cached_document_version)
    {
        return;
    }
    shared_quota_version = cached_document_version;
    std::map<std::string, double> parts;
    for (const auto& name : organisations)
    {
        parts[name] = 1 - settings.shares.allocated_fraction;
    }
    shared_quota->set_organisations(now, quota_terms);
    shared_quota->set_shares(now, parts, now + shared_quota_lifetime);
    reserves->on_quota_changed(now, *shared_quota);
}

/// Grants tokens of the shared quota for one request. If the answer is lost,
/// the tokens are not returned.
void cluster_process::impl::on_token_request(
    const std::string& payload, const protocol::peer_hub::reply_function& reply)
{
    const auto request = protocol::decode_token_request(payload);
    if (!request)
    {
        return log_event("peer.bad_message", {{"what", "token request"}});
    }
    if (!leads() || !shared_quota)
    {
        return;
    }
    const auto now = clock.monotonic_now();
    update_shared_quota(now);
    const auto wait =
        shared_quota->take(now, request->organisation, request->tokens);
    if (wait.count() > 0)
    {
        reserves->on_declined(now, request->organisation);
    }
    reply(protocol::encode(
        protocol::token_answer{wait.count() == 0, wait.count()}));
}

/// @return Time since the request for the current list was sent; -1 if there is
/// no list yet.
std::int64_t cluster_process::impl::listing_age_ms() const
{
    return listing_read_at
               ? std::chrono::duration_cast<std::chrono::milliseconds>(
                     clock.monotonic_now() - *listing_read_at)
                     .count()
               : -1;
}

/// Encodes the summed loads, at most once in a short interval for all entries
/// that report in it.
///
/// @return Whether the sums were encoded now and include the latest report.
bool cluster_process::impl::refresh_packed_load(transport::monotonic_time now)
{
    // A small part of an entry's report interval, so that sums from an earlier
    // call include the entry's previous report.
    constexpr std::chrono::milliseconds max_age{25};
    if (now - load_packed_at < max_age && !packed_load.empty())
    {
        return false;
    }
    load_packed_at = now;
    packed_load = protocol::pack_load(loads.all());
    return true;
}

report_use cluster_process::impl::use_of_reports() const
{
    return leads() ? report_use::lead : report_use::follow;
}

std::chrono::milliseconds cluster_process::impl::report_interval() const
{
    return pacing.interval(loads.entries(), use_of_reports());
}

/// Records which entries may hold shares of quotas. Compares all entries, so it
/// is done by the clock and not for each report.
void cluster_process::impl::propose_eligible_entries()
{
    if (!leads() || !allocator || entries_proposed)
    {
        return;
    }
    allocator->set_eligible_entries(machine->state().entries());
    const auto next = allocator->next_eligible_entries(clock.monotonic_now());
    if (next)
    {
        entries_proposed = true;
        propose(set_entries_command{*next},
                [this](const auto&) { entries_proposed = false; });
    }
}

protocol::entry_orders
cluster_process::impl::orders_for(const protocol::entry_report& report,
                                  const load_table::loads& load_before)
{
    const auto now = clock.monotonic_now();
    protocol::entry_orders orders;
    orders.replicas.assign(known_replicas.begin(), known_replicas.end());
    orders.next_report_ms =
        pacing.next_report(now, loads.entries(), use_of_reports()).count();
    orders.listing_age_ms = listing_age_ms();
    if (listing_read_at)
    {
        if (report.listing_digest != listing.digest)
        {
            if (packed_listing_digest != listing.digest ||
                packed_listing.empty())
            {
                packed_listing_digest = listing.digest;
                packed_listing = protocol::pack_listing(listing);
            }
            orders.packed_listing = packed_listing;
        }
    }
    orders.leaving = leaving;
    if (!machine)
    {
        return orders;
    }
    const auto& replicated = machine->state();
    orders.document_version = replicated.document_version();
    orders.evacuation_revision = replicated.evacuation_revision();
    orders.evacuated = evacuated();
    if (report.wants_document &&
        replicated.document_version() > report.document_version)
    {
        if (packed_version != replicated.document_version())
        {
            packed_version = replicated.document_version();
            packed_document = protocol::pack_text(replicated.document());
        }
        orders.packed_document = packed_document;
    }
    if (!leads() || !allocator)
    {
        return orders;
    }
    orders.leads = true;
    orders.leader_term = leading_term;
    orders.true_time_ms = quorum_time().time_since_epoch().count();
    cache_document();
    allocator->set_eligible_entries(replicated.entries());
    orders.shares = allocator->on_report(now, report, organisations);
    update_shared_quota(now);
    orders.reserves =
        reserves->on_report(now, report, replicated.entries(), *shared_quota);
    shortage->on_report(now, report.pressure);
    orders.turns = shortage->turns();
    const bool refreshed = refresh_packed_load(now);
    orders.packed_load = packed_load;
    orders.entries = static_cast<std::uint32_t>(loads.entries());
    orders.own_load = refreshed ? loads.of(report.entry) : load_before;
    orders.moves = version_orders(report);
    orders.crashes = crash_orders();
    orders.rate_limits = permits.on_report(
        now, report.entry, report.rate_limits, report_interval());
    orders.cold =
        cold.on_report(now, report.entry, report.cold,
                       {services, listing.servers, replicated.entries(),
                        report_interval(), listed_cold.extended(now)});
    orders.brittle = brittle.services(now);
    if (!orders.brittle.empty())
    {
        orders.entry_number =
            static_cast<std::uint32_t>(loads.position(report.entry));
    }
    orders.helpers = relays.helpers_for(now, report);
    return orders;
}

} // namespace hyssopdeal::coordination
