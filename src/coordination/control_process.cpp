/// @file
/// One control process: start and end.

#include "coordination/control_process_impl.hpp"

#include <random>
#include <utility>
#include <variant>

#include <fmt/format.h>

#include <hyssopdeal/coordination/instance_watch.hpp>
#include <hyssopdeal/protocol/settings_reader.hpp>
#include <hyssopdeal/transport/byte_budget.hpp>
#include <hyssopdeal/transport/logging.hpp>

namespace hyssopdeal::coordination
{

using protocol::peer_channel;
using transport::fail;
using transport::log_part;
using transport::reason;

namespace
{

/// An order that changed nothing is not logged.
void log_evacuation(const state::command& command,
                    const state::command_result& result)
{
    const auto* begin = std::get_if<state::order_evacuation>(&command.body);
    const auto* end = std::get_if<state::withdraw_evacuation>(&command.body);
    const auto* written = std::get_if<state::write_result>(&result.body);
    if ((begin == nullptr && end == nullptr) || written == nullptr ||
        written->status != state::write_status::applied)
    {
        return;
    }
    transport::log_info(log_part::fleet,
                        "An evacuation is ordered. domain={} order={} index={}",
                        begin != nullptr ? begin->failure_domain
                                         : end->failure_domain,
                        begin != nullptr ? "begin" : "end", result.index);
}

} // namespace

// [start] --------------------------------------------------------------------

transport::result<void> control_process::impl::open_folder()
{
    control_disk::storage_type storage{
        state::posix_files{settings.data_folder}};
    auto recovered = storage.open();
    if (!recovered)
    {
        return tl::make_unexpected(recovered.error());
    }
    if (recovered->hard.id == 0)
    {
        return fail(reason::storage_failed,
                    fmt::format("{} holds no replica: prepare it with --init "
                                "or, after a lost disk, with --join and a new "
                                "id.",
                                settings.data_folder));
    }
    if (recovered->hard.id != settings.id)
    {
        return fail(reason::bad_settings,
                    fmt::format("{} belongs to id {}, the settings say {}.",
                                settings.data_folder, recovered->hard.id,
                                settings.id));
    }
    transport::log_info(log_part::log,
                        "Opened. snapshot={} records={} term={} torn={}",
                        recovered->snap.index, recovered->records.size(),
                        recovered->hard.term, recovered->torn_bytes);
    auto made =
        control_machine::make(settings.machine, std::move(*recovered),
                              std::random_device{}(), clock.monotonic_now());
    if (!made)
    {
        return tl::make_unexpected(made.error());
    }
    machine.emplace(std::move(*made));
    disk = std::make_unique<control_disk>(
        std::move(storage), [this](std::uint64_t number, auto done) {
            loop.post([this, number, done = std::move(done)] {
                written(number, done);
            });
        });
    return {};
}

transport::result<control_ports>
control_process::impl::bind(const std::string& shared_key)
{
    protocol::peer_hub_settings links;
    links.self = settings.name;
    links.address = settings.address;
    links.port = settings.peer_port;
    links.shared_key = shared_key;
    hub = std::make_unique<protocol::peer_hub>(loop, links);
    hub->on_message(peer_channel::replication,
                    [this](auto from, auto payload, auto) {
                        on_replica_message(from, payload);
                    });
    hub->on_message(
        peer_channel::learning,
        [this](auto, auto payload, auto reply) { on_follow(payload, reply); });
    hub->on_message(
        peer_channel::ledger,
        [this](auto, auto payload, auto reply) { on_ledger(payload, reply); });
    hub->on_message(peer_channel::grants,
                    [this](auto, auto payload, auto reply) {
                        on_grant_request(payload, reply);
                    });
    const auto peers = hub->start();
    if (!peers)
    {
        return tl::make_unexpected(peers.error());
    }
    settings.peer_port = *peers;
    start_membership(shared_key);
    const auto gossip = members->start();
    if (!gossip)
    {
        return tl::make_unexpected(gossip.error());
    }
    api = std::make_unique<control_api>(settings.tokens, access());
    transport::http_server_settings server;
    server.address = settings.address;
    server.port = settings.operators_port;
    transport::set_byte_budget(loop, std::make_shared<transport::byte_budget>(
                                         settings.max_held_caller_bytes));
    http = std::make_unique<transport::http_server>(
        loop, server, [this](auto request, auto responder) {
            api->handle(request, std::move(responder));
        });
    const auto operators = http->start();
    if (!operators)
    {
        return tl::make_unexpected(operators.error());
    }
    return control_ports{*peers, *gossip, *operators};
}

namespace
{

protocol::member_update seed_of(const replica_address& from,
                                protocol::member_kind kind)
{
    protocol::member_update seed;
    seed.name = from.name;
    seed.gossip_address = from.gossip_address;
    seed.peer_address = from.address;
    seed.failure_domain = from.failure_domain;
    seed.kind = kind;
    return seed;
}

} // namespace

void control_process::impl::start_membership(const std::string& shared_key)
{
    membership_runner_settings own;
    own.name = settings.name;
    own.failure_domain = settings.failure_domain;
    own.kind = protocol::member_kind::control;
    own.address = settings.address;
    own.port = settings.gossip_port;
    own.peer_address =
        fmt::format("{}:{}", settings.address, settings.peer_port);
    own.shared_key = shared_key;
    for (const auto& item : settings.replicas)
    {
        if (item.name != settings.name && !item.gossip_address.empty())
        {
            own.seeds.push_back(seed_of(item, protocol::member_kind::control));
        }
    }
    for (const auto& item : settings.entries)
    {
        if (!item.gossip_address.empty())
        {
            own.seeds.push_back(seed_of(item, protocol::member_kind::entry));
        }
    }
    members = std::make_unique<membership_runner>(loop, clock, std::move(own),
                                                  std::random_device{}());
    members->on_change([this](const protocol::member_update& changed) {
        if (!changed.peer_address.empty() && changed.name != settings.name)
        {
            hub->set_peer(changed.name, changed.peer_address);
        }
    });
}

/// What only the leader decides; runs on every replica and acts on one.
void control_process::impl::start_controllers()
{
    on_committed([this](auto, const auto& command, const auto& result) {
        const auto* order = std::get_if<state::set_leaving>(&command.body);
        if (order != nullptr)
        {
            members->report(
                leaving_update(members->state().table(), order->instance, {}));
        }
        log_evacuation(command, result);
    });
    moves = std::make_unique<move_runner>(loop, clock, *this, settings.moves);
    moves->start(*hub);
    grants = std::make_unique<grant_service>(clock, *this);
    grants->start(*hub);
    fleet_handlers handlers;
    handlers.on_notice = [this](const std::string& instance) {
        members->report(leaving_update(members->state().table(), instance, {}));
    };
    handlers.on_list = [this](const std::vector<listed_instance>& list) {
        const auto updates = updates_from_list(members->state().table(), list);
        for (const auto& update : updates)
        {
            members->report(update);
        }
    };
    fleet = std::make_unique<fleet_runner>(loop, clock, *this, *moves,
                                           settings.fleet, std::move(handlers));
    fleet->start();
}

void control_process::impl::know_peers()
{
    for (const auto* list : {&settings.replicas, &settings.entries})
    {
        for (const auto& item : *list)
        {
            if (item.name != settings.name && !item.address.empty())
            {
                hub->set_peer(item.name, item.address);
            }
        }
    }
    know_members(machine->status(clock.monotonic_now()).replicas);
}

void control_process::impl::know_members(const state::replica_set& set)
{
    for (const auto& member : set.members)
    {
        names[member.id] = member.name;
        if (member.id != settings.id && !member.address.empty())
        {
            hub->set_peer(member.name, member.address);
        }
    }
}

// [control_process] ----------------------------------------------------------

control_process::control_process(transport::event_loop& loop,
                                 const transport::clock& clock,
                                 control_settings settings)
    : impl_(std::make_unique<impl>(loop, clock, std::move(settings)))
{}

control_process::~control_process() = default;

transport::result<control_ports> control_process::start()
{
    const auto key =
        protocol::read_secret_file(impl_->settings.shared_key_file);
    if (!key)
    {
        return tl::make_unexpected(key.error());
    }
    const auto opened = impl_->open_folder();
    if (!opened)
    {
        return tl::make_unexpected(opened.error());
    }
    auto ports = impl_->bind(*key);
    if (ports)
    {
        impl_->know_peers();
        impl_->members->set_applied_index(impl_->state().applied_index());
        impl_->start_controllers();
        impl_->tick();
    }
    return ports;
}

control_node& control_process::node() noexcept
{
    return *impl_;
}

protocol::peer_hub& control_process::hub() noexcept
{
    return *impl_->hub;
}

membership_runner& control_process::members() noexcept
{
    return *impl_->members;
}

void control_process::drain()
{
    impl_->drain();
}

} // namespace hyssopdeal::coordination
