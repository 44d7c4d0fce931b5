/// @file
/// A control replica of a cluster: start-up, event handling and links.

#include "coordination/cluster/cluster_process_impl.hpp"

#include <random>
#include <utility>

#include <fmt/format.h>

#include <hyssopdeal/transport/digest.hpp>
#include <hyssopdeal/transport/event_log.hpp>
#include <hyssopdeal/transport/metrics.hpp>

namespace hyssopdeal::coordination
{

using protocol::peer_channel;
using transport::log_event;

namespace
{

// Well below the heartbeat interval, so that the replica's timers fire on time.
constexpr std::chrono::milliseconds tick_interval{25};

} // namespace

cluster_process::impl::impl(transport::event_loop& own_loop,
                            const transport::clock& own_clock,
                            cluster_settings own_settings,
                            platform_callbacks own_platform)
    : loop(own_loop),
      clock(own_clock),
      settings(std::move(own_settings)),
      platform(std::move(own_platform)),
      own_address(fmt::format("{}:{}", settings.address, settings.hub_port)),
      capacity(settings.capacity),
      usage(settings.usage)
{}

// [start] --------------------------------------------------------------------

transport::result<void> cluster_process::impl::open_disk()
{
    control_disk::storage_type storage{
        state::posix_files{settings.data_folder}};
    auto recovered = storage.open();
    if (!recovered)
    {
        return tl::make_unexpected(recovered.error());
    }
    if (recovered->hard.id != 0)
    {
        return use_disk(std::move(storage), std::move(*recovered));
    }
    const auto founders = bootstrap_replicas(settings.seeds);
    const auto id = bootstrap_replica_id(founders, own_address);
    if (settings.start == cluster_start::later || id == 0)
    {
        log_event("cluster.joins", {{"replica", settings.name}});
        return {};
    }
    log_event("cluster.founds", {{"replica", settings.name}, {"id", id}});
    bootstrap_id = id;
    return bootstrap_cluster();
}

/// Stores the initial state of a new cluster. On a full disk the attempt is
/// repeated by retry_bootstrap().
transport::result<void> cluster_process::impl::bootstrap_cluster()
{
    control_disk::storage_type storage{
        state::posix_files{settings.data_folder}};
    const auto founders = bootstrap_replicas(settings.seeds);
    auto opened = storage.open();
    auto written =
        opened ? storage.write(bootstrap_request(
                     bootstrap_id, founders, cluster_state{}.encode_snapshot()))
               : transport::result<void>{tl::make_unexpected(opened.error())};
    if (!written && written.error().code == transport::reason::storage_full)
    {
        set_disk_full(true, written.error().text);
        return {};
    }
    if (!written)
    {
        return written;
    }
    set_disk_full(false, {});
    bootstrap_id = 0;
    control_disk::storage_type again{state::posix_files{settings.data_folder}};
    auto founded = again.open();
    if (!founded)
    {
        return tl::make_unexpected(founded.error());
    }
    return use_disk(std::move(again), std::move(*founded));
}

/// A full disk doesn't stop the process: writes wait for free space, everything
/// else continues.
void cluster_process::impl::set_disk_full(bool full, const std::string& why)
{
    if (std::exchange(disk_full, full) != full)
    {
        full ? log_event("disk.full", {{"error", why}})
             : log_event("disk.has_room", {});
    }
}

transport::result<void>
cluster_process::impl::use_disk(control_disk::storage_type storage,
                                state::recovered_state recovered)
{
    log_event("replica.opened", {{"id", recovered.hard.id},
                                 {"term", recovered.hard.term},
                                 {"snapshot", recovered.snap.index},
                                 {"records", recovered.records.size()},
                                 {"torn_bytes", recovered.torn_bytes}});
    auto made =
        cluster_machine::make(settings.machine, std::move(recovered),
                              transport::random_seed(), clock.monotonic_now());
    if (!made)
    {
        return tl::make_unexpected(made.error());
    }
    machine.emplace(std::move(*made));
    const auto epoch = ++disk_epoch;
    disk_busy = false;
    disk = std::make_unique<control_disk>(
        std::move(storage),
        [this, epoch, process_alive = alive](std::uint64_t number, auto ended) {
            loop.post(
                [this, epoch, process_alive, number, ended = std::move(ended)] {
                    if (*process_alive && epoch == disk_epoch)
                    {
                        on_disk_written(number, ended);
                    }
                });
        });
    for (const auto& member : status().replicas.members)
    {
        known_replicas.insert(member.address);
    }
    return {};
}

transport::result<void> cluster_process::impl::open_links()
{
    protocol::peer_hub_settings links;
    links.self = own_address;
    links.address = settings.link_listen_address.empty()
                        ? settings.address
                        : settings.link_listen_address;
    links.port = settings.hub_port;
    links.shared_key = settings.shared_key;
    links.max_unproved = settings.max_unproved_links;
    hub = std::make_unique<protocol::peer_hub>(loop, links);
    hub->on_message(peer_channel::replication,
                    [this](auto from, auto payload, auto) {
                        on_replica_message(from, payload);
                    });
    hub->on_message(peer_channel::joining, [this](auto, auto payload,
                                                  auto reply) {
        const auto request = protocol::decode_join_message(payload);
        if (!request)
        {
            return log_event("peer.bad_message", {{"what", "join request"}});
        }
        reply(protocol::encode(on_join_request(*request)));
    });
    hub->on_message(peer_channel::operators,
                    [this](auto, auto payload, auto reply) {
                        on_forwarded_request(payload, reply);
                    });
    hub->on_message(
        peer_channel::following,
        [this](auto, auto payload, auto reply) { on_report(payload, reply); });
    hub->on_message(peer_channel::grants,
                    [this](auto, auto payload, auto reply) {
                        on_token_request(payload, reply);
                    });
    const auto port = hub->start();
    if (!port)
    {
        return tl::make_unexpected(port.error());
    }
    return {};
}

// [steps] --------------------------------------------------------------------

void cluster_process::impl::tick()
{
    const auto now = clock.monotonic_now();
    if (tick_due_at != transport::monotonic_time{})
    {
        pacing.on_timer(now,
                        std::chrono::duration_cast<std::chrono::milliseconds>(
                            now - tick_due_at));
    }
    if (machine)
    {
        step(tick_event{});
        if (leads())
        {
            if (auto change = next_voter_change(
                    now, status(), machine->followers(), settings.voters))
            {
                change->id = ++next_proposal;
                log_event("cluster.change",
                          {{"id", change->member.id},
                           {"address", change->member.address},
                           {"kind", static_cast<int>(change->change)}});
                step(std::move(*change));
            }
            if (disk_full || (disk_busy && now - disk_busy_since >
                                               settings.disk_stall_limit))
            {
                step(transfer_event{});
            }
        }
    }
    if (bootstrap_id != 0)
    {
        retry_bootstrap(now);
    }
    find_cluster();
    poll_instance_list();
    run_leader_tasks();
    plan_servers();
    advance_moves();
    advance_quarantines();
    log_entries_behind();
    propose_eligible_entries();
    if (drained_handler && (!machine || !leads() || now >= drain_deadline))
    {
        loop.post(std::exchange(drained_handler, nullptr));
    }
    tick_due_at = clock.monotonic_now() + tick_interval;
    tick_timer = loop.after(tick_interval, [this] { tick(); });
}

void cluster_process::impl::retry_bootstrap(transport::monotonic_time now)
{
    constexpr std::chrono::milliseconds interval{200};
    if (now < next_bootstrap)
    {
        return;
    }
    next_bootstrap = now + interval;
    if (const auto done = bootstrap_cluster(); !done)
    {
        on_disk_error(done.error().text);
    }
}

/// A replica can't run without its disk: the process has to exit and recover
/// its state from the disk when it is restarted.
void cluster_process::impl::on_disk_error(const std::string& text)
{
    log_event("disk.failed", {{"error", text}});
    step(disk_failed_event{});
    disk_failed = true;
    if (disk_failed_handler)
    {
        disk_failed_handler();
    }
}

void cluster_process::impl::step(replica_event event)
{
    if (machine)
    {
        execute(machine->step(clock.monotonic_now(), clock.wall_now(),
                              std::move(event)));
    }
}

void cluster_process::impl::execute(cluster_actions actions)
{
    if (actions.persist)
    {
        disk_busy = true;
        disk_busy_since = clock.monotonic_now();
        disk->write(std::move(*actions.persist));
    }
    for (const auto& message : actions.sends)
    {
        send(message);
    }
    if (actions.change == leadership_change::changed)
    {
        on_leadership_change();
    }
    for (auto& item : actions.results)
    {
        const auto found = pending_proposals.find(item.id);
        if (found != pending_proposals.end())
        {
            const auto callback = std::move(found->second);
            pending_proposals.erase(found);
            callback(std::move(item.done));
        }
    }
}

void cluster_process::impl::on_disk_written(
    std::uint64_t number, const transport::result<void>& ended)
{
    disk_busy = false;
    if (ended)
    {
        step(persisted_event{number});
        return set_disk_full(status().disk_full, {});
    }
    if (ended.error().code == transport::reason::storage_full)
    {
        set_disk_full(true, ended.error().text);
        return step(disk_full_event{number});
    }
    on_disk_error(ended.error().text);
}

void cluster_process::impl::on_leadership_change()
{
    const auto now = clock.monotonic_now();
    const auto current = status();
    const bool leading = current.leads.role == leadership_role::leader;
    if (leading && leading_term != current.leads.term)
    {
        leading_term = current.leads.term;
        leader_since = now;
        allocator.emplace(now, settings.shares);
        permits = permit_allocator{};
        cold = cold_permits{};
        shared_quota.emplace(settings.quotas);
        reserves.emplace(now);
        shortage.emplace(now);
        shared_quota_version = 0;
        usage_accepted.clear();
        usage_in_flight.clear();
        usage_proposed = false;
        entries_proposed = false;
        moves.clear();
        move_end_proposed = false;
        quarantine_proposed = false;
    }
    else if (!leading)
    {
        leading_term = 0;
        allocator.reset();
        permits = permit_allocator{};
        cold = cold_permits{};
        shared_quota.reset();
        reserves.reset();
        shortage.reset();
    }
    for (const auto& member : current.replicas.members)
    {
        known_replicas.insert(member.address);
    }
    log_event("leadership.changed", {{"term", current.leads.term},
                                     {"leader", current.leads.leader},
                                     {"role", leading ? "leader" : "follower"},
                                     {"commit", current.commit}});
}

void cluster_process::impl::propose(const cluster_command& command,
                                    result_callback on_done)
{
    if (disk_full)
    {
        return on_done(transport::fail(transport::reason::storage_full,
                                       "This replica's disk is full."));
    }
    const auto id = ++next_proposal;
    pending_proposals.emplace(id, std::move(on_done));
    execute(
        machine->propose(clock.monotonic_now(), clock.wall_now(), id, command));
}

// [links] --------------------------------------------------------------------

void cluster_process::impl::send(const replica_message& message)
{
    for (const auto& member : status().replicas.members)
    {
        if (member.id == message.to)
        {
            hub->set_peer(member.address, member.address);
            return hub->send(member.address, peer_channel::replication,
                             encode(message));
        }
    }
    // A new learner does not have the replica set yet and replies to the
    // address that the message came from.
    const auto found = address_by_id.find(message.to);
    if (found != address_by_id.end())
    {
        hub->set_peer(found->second, found->second);
        hub->send(found->second, peer_channel::replication, encode(message));
    }
}

void cluster_process::impl::on_replica_message(const std::string& from,
                                               const std::string& payload)
{
    auto message = decode_replica_message(payload);
    if (!message || !machine || message->to != status().id)
    {
        return;
    }
    address_by_id[message->from] = from;
    known_replicas.insert(from);
    if (std::holds_alternative<append_request>(message->body) ||
        std::holds_alternative<snapshot_chunk>(message->body))
    {
        last_leader_contact = clock.monotonic_now();
    }
    step(message_event{std::move(*message)});
}

// [reading] ------------------------------------------------------------------

replica_status cluster_process::impl::status() const
{
    return machine ? machine->status(clock.monotonic_now()) : replica_status{};
}

bool cluster_process::impl::leads() const
{
    return machine && machine->may_read(clock.monotonic_now());
}

transport::wall_time cluster_process::impl::quorum_time() const
{
    const auto own = clock.wall_now();
    return machine ? machine->quorum_wall(clock.monotonic_now(), own) : own;
}

// [cluster_process] ----------------------------------------------------------

cluster_process::cluster_process(transport::event_loop& loop,
                                 const transport::clock& clock,
                                 cluster_settings settings,
                                 platform_callbacks platform)
    : impl_(std::make_unique<impl>(loop, clock, std::move(settings),
                                   std::move(platform)))
{}

cluster_process::~cluster_process()
{
    *impl_->alive = false;
}

transport::result<void> cluster_process::start()
{
    auto opened = impl_->open_disk();
    if (opened)
    {
        opened = impl_->open_links();
    }
    if (opened)
    {
        impl_->tick();
    }
    return opened;
}

void cluster_process::on_disk_failed(std::function<void()> handler)
{
    impl_->disk_failed_handler = std::move(handler);
}

void cluster_process::set_seeds(std::vector<std::string> seeds)
{
    impl_->settings.seeds = std::move(seeds);
}

void cluster_process::set_known_domains(std::set<std::string> domains)
{
    impl_->settings.known_domains = std::move(domains);
}

void cluster_process::drain(std::function<void()> on_drained)
{
    // Longer than a leadership transfer takes.
    constexpr std::chrono::milliseconds transfer_time_limit{1'500};
    impl_->drained_handler = std::move(on_drained);
    impl_->drain_deadline = impl_->clock.monotonic_now() + transfer_time_limit;
    impl_->step(transfer_event{});
}

std::string cluster_process::metrics() const
{
    const auto current = impl_->status();
    transport::prometheus_text out;
    const auto gauge = [&](std::string_view name, double value,
                           std::string_view help) {
        out.family(name, "gauge", help);
        out.sample(value);
    };
    gauge("hyssopdeal_replica_term", static_cast<double>(current.leads.term),
          "Latest election term");
    gauge("hyssopdeal_replica_leads", impl_->leads() ? 1 : 0,
          "Whether this replica leads and holds its lease");
    gauge("hyssopdeal_replica_commit", static_cast<double>(current.commit),
          "Last committed record");
    gauge("hyssopdeal_replica_applied", static_cast<double>(current.applied),
          "Last applied record");
    gauge("hyssopdeal_replica_members",
          static_cast<double>(current.replicas.members.size()),
          "Replicas of the cluster");
    gauge("hyssopdeal_document_version",
          impl_->machine
              ? static_cast<double>(impl_->machine->state().document_version())
              : 0,
          "Version of the document in force");
    constexpr double ms_in_s = 1'000;
    gauge("hyssopdeal_list_age_seconds",
          static_cast<double>(impl_->listing_age_ms()) / ms_in_s,
          "Age of the instance list; negative before the first");
    gauge("hyssopdeal_disk_full", impl_->disk_full ? 1 : 0,
          "Whether what is to be stored waits for room");
    gauge("hyssopdeal_listed_servers",
          static_cast<double>(impl_->listing.servers.size()),
          "Servers on the instance list");
    gauge("hyssopdeal_quarantined_prompts",
          impl_->machine ? static_cast<double>(
                               impl_->machine->state().quarantines().size())
                         : 0,
          "Prompts that crashed servers, some of them released again");
    out.family("hyssopdeal_capacity_work", "gauge",
               "Servers that the prefill of prompts keeps busy");
    for (const auto& [service, need] : impl_->capacity.needs())
    {
        out.sample(need.work, {{"service", service}});
    }
    out.family("hyssopdeal_capacity_needed", "gauge",
               "Servers that the load needs without reserve");
    for (const auto& [service, need] : impl_->capacity.needs())
    {
        out.sample(static_cast<double>(need.needed), {{"service", service}});
    }
    gauge("hyssopdeal_evacuated_domains",
          impl_->machine ? static_cast<double>(
                               impl_->machine->state().evacuations().size())
                         : 0,
          "Failure domains whose servers get no new requests");
    gauge("hyssopdeal_rate_limited_servers",
          static_cast<double>(impl_->permits.limited()),
          "Servers that named a rate limit; 0 on followers");
    out.family("hyssopdeal_cold_permits_total", "counter",
               "Permits for cold servers that this leader has granted");
    out.sample(static_cast<double>(impl_->cold.granted()));
    gauge("hyssopdeal_reporting_entries",
          static_cast<double>(impl_->loads.entries()), "Entries that report");
    return impl_->hub ? out.text() +
                            protocol::bad_input_metrics(impl_->hub->bad_input())
                      : out.text();
}

} // namespace hyssopdeal::coordination
