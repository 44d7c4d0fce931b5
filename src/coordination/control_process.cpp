/// @file
/// One control process.

#include <hyssopdeal/coordination/control_process.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <utility>

#include <fmt/format.h>

#include <hyssopdeal/coordination/fleet_runner.hpp>
#include <hyssopdeal/coordination/instance_watch.hpp>
#include <hyssopdeal/coordination/move_runner.hpp>
#include <hyssopdeal/protocol/settings_reader.hpp>
#include <hyssopdeal/transport/http_server.hpp>
#include <hyssopdeal/transport/logging.hpp>

#include "coordination/control_api.hpp"
#include "coordination/control_disk.hpp"
#include "coordination/ledger_wire.hpp"

namespace hyssopdeal::coordination
{

using protocol::peer_channel;
using transport::fail;
using transport::log_part;
using transport::reason;

namespace
{

constexpr std::chrono::milliseconds tick_interval{20};
constexpr std::chrono::milliseconds promote_interval{200};

} // namespace

// [impl] ---------------------------------------------------------------------

struct control_process::impl : control_node
{
    impl(transport::event_loop& own_loop, const transport::clock& own_clock,
         control_settings own_settings)
        : loop(own_loop),
          clock(own_clock),
          settings(std::move(own_settings)),
          source(settings.learning)
    {}

    // control_node
    void propose(state::command value, propose_callback on_result) override;
    [[nodiscard]] const state::control_state& state() const override;
    [[nodiscard]] leadership leads() const override;
    void on_committed(committed_handler handler) override;
    void on_leadership(leadership_handler handler) override;

    transport::result<void> open_folder();
    transport::result<control_ports> bind(const std::string& shared_key);
    void start_membership(const std::string& shared_key);
    void start_controllers();
    void know_peers();
    void know_members(const state::replica_set& set);
    void tick();
    void step(replica_event event);
    void take(machine_actions actions);
    void written(std::uint64_t number, const transport::result<void>& done);
    void send(const replica_message& message);
    void on_replica_message(const std::string& from,
                            const std::string& payload);
    void on_follow(const std::string& payload,
                   const protocol::peer_hub::reply_function& reply);
    void on_ledger(const std::string& payload,
                   const protocol::peer_hub::reply_function& reply);
    void push_declarations();
    void promote_learners();
    void change(replica_change kind, state::replica_member member,
                propose_callback on_result);
    [[nodiscard]] control_access access();
    [[nodiscard]] std::string leader_name() const;
    void drain();

    transport::event_loop& loop;
    const transport::clock& clock;
    control_settings settings;
    std::optional<control_machine> machine;
    std::unique_ptr<protocol::peer_hub> hub;
    std::unique_ptr<membership_runner> members;
    std::unique_ptr<transport::http_server> http;
    std::unique_ptr<control_api> api;
    std::unique_ptr<move_runner> moves;
    std::unique_ptr<fleet_runner> fleet; // uses moves
    declaration_source source;
    std::map<std::uint64_t, propose_callback> waiting; ///< By proposal.
    std::map<std::uint64_t, std::string> names;        ///< Of replicas, by id.
    std::vector<committed_handler> committed_handlers;
    std::vector<leadership_handler> leadership_handlers;
    std::uint64_t next_proposal = 0;
    transport::monotonic_time next_promotion{};
    transport::monotonic_time drain_until{};
    bool draining = false;
    transport::timer_handle ticker;
    std::unique_ptr<control_disk> disk; // its thread ends first
};

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
    on_committed([this](auto, const auto& command, const auto&) {
        const auto* order = std::get_if<state::set_leaving>(&command.body);
        if (order != nullptr)
        {
            members->report(
                leaving_update(members->state().table(), order->instance, {}));
        }
    });
    moves = std::make_unique<move_runner>(loop, clock, *this, settings.moves);
    moves->start(*hub);
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

// [steps] --------------------------------------------------------------------

void control_process::impl::tick()
{
    step(tick_event{});
    const auto now = clock.monotonic_now();
    if (now >= next_promotion)
    {
        next_promotion = now + promote_interval;
        promote_learners();
    }
    push_declarations();
    members->set_applied_index(machine->state().applied_index());
    if (draining)
    {
        const bool leading = leads().role == leadership_role::leader;
        if (!leading || now >= drain_until)
        {
            return loop.stop();
        }
    }
    ticker = loop.after(tick_interval, [this] { tick(); });
}

void control_process::impl::step(replica_event event)
{
    take(machine->step(clock.monotonic_now(), clock.wall_now(),
                       std::move(event)));
}

void control_process::impl::take(machine_actions actions)
{
    if (actions.persist)
    {
        disk->write(std::move(*actions.persist));
    }
    for (const auto& message : actions.sends)
    {
        send(message);
    }
    for (const auto& item : actions.committed)
    {
        for (const auto& handler : committed_handlers)
        {
            handler(item.index, item.command, item.result);
        }
    }
    if (actions.change == leadership_change::changed)
    {
        const auto status = machine->status(clock.monotonic_now());
        know_members(status.replicas);
        transport::log_info(log_part::log,
                            "Leadership changed. term={} leader={} leads={}",
                            status.leads.term, status.leads.leader,
                            status.leads.role == leadership_role::leader);
        for (const auto& handler : leadership_handlers)
        {
            handler(status.leads);
        }
    }
    for (auto& item : actions.results)
    {
        const auto found = waiting.find(item.id);
        if (found != waiting.end())
        {
            auto callback = std::move(found->second);
            waiting.erase(found);
            callback(std::move(item.result));
        }
    }
    if (!actions.committed.empty())
    {
        members->set_applied_index(machine->state().applied_index());
        push_declarations();
    }
}

void control_process::impl::written(std::uint64_t number,
                                    const transport::result<void>& done)
{
    if (done)
    {
        return step(persisted_event{number});
    }
    transport::log_error(log_part::log,
                         "The disk has failed, this replica is silent. {}",
                         done.error().text);
    step(disk_failed_event{});
}

// [replicas] -----------------------------------------------------------------

void control_process::impl::send(const replica_message& message)
{
    const auto found = names.find(message.to);
    if (found == names.end())
    {
        know_members(machine->status(clock.monotonic_now()).replicas);
    }
    const auto known = names.find(message.to);
    if (known != names.end())
    {
        hub->send(known->second, peer_channel::replication, encode(message));
    }
}

void control_process::impl::on_replica_message(const std::string& from,
                                               const std::string& payload)
{
    auto message = decode_replica_message(payload);
    if (!message || message->to != settings.id)
    {
        transport::log_warning(log_part::log, "Dropped a message. from={}",
                               from);
        return;
    }
    const auto known = names.try_emplace(message->from, from);
    if (known.first->second != from)
    {
        transport::log_warning(
            log_part::log, "Dropped a message under a wrong id. from={} id={}",
            from, message->from);
        return;
    }
    step(message_event{std::move(*message)});
}

/// A learner that has caught up gets its vote.
void control_process::impl::promote_learners()
{
    const auto status = machine->status(clock.monotonic_now());
    if (status.leads.role != leadership_role::leader)
    {
        return;
    }
    for (const auto& member : status.replicas.members)
    {
        if (member.role == state::replica_role::learner)
        {
            return change(replica_change::promote, member, [](auto) {});
        }
    }
}

void control_process::impl::change(replica_change kind,
                                   state::replica_member member,
                                   propose_callback on_result)
{
    const auto id = ++next_proposal;
    waiting.emplace(id, std::move(on_result));
    step(change_event{id, kind, std::move(member)});
    know_members(machine->status(clock.monotonic_now()).replicas);
}

// [entries] ------------------------------------------------------------------

void control_process::impl::on_follow(
    const std::string& payload, const protocol::peer_hub::reply_function& reply)
{
    const auto request = decode_follow_request(payload);
    if (!request)
    {
        return;
    }
    reply(encode(source.answer(clock.monotonic_now(), machine->state().tables(),
                               *request)));
}

void control_process::impl::push_declarations()
{
    const auto pushes =
        source.push(clock.monotonic_now(), machine->state().tables());
    for (const auto& item : pushes)
    {
        hub->send(item.to, peer_channel::learning, encode(item.update));
    }
}

void control_process::impl::on_ledger(
    const std::string& payload, const protocol::peer_hub::reply_function& reply)
{
    auto command = decode_ledger_request(payload);
    if (!command)
    {
        return;
    }
    propose(std::move(*command), [this, reply](auto result) {
        reply(encode_ledger_reply({std::move(result), leader_name()}));
    });
}

std::string control_process::impl::leader_name() const
{
    return machine->status(clock.monotonic_now()).leads.leader;
}

// [control_node] -------------------------------------------------------------

void control_process::impl::propose(state::command value,
                                    propose_callback on_result)
{
    const auto id = ++next_proposal;
    waiting.emplace(id, std::move(on_result));
    take(machine->propose(clock.monotonic_now(), clock.wall_now(), id,
                          std::move(value)));
}

const state::control_state& control_process::impl::state() const
{
    return machine->state();
}

leadership control_process::impl::leads() const
{
    return machine->status(clock.monotonic_now()).leads;
}

void control_process::impl::on_committed(committed_handler handler)
{
    committed_handlers.push_back(std::move(handler));
}

void control_process::impl::on_leadership(leadership_handler handler)
{
    leadership_handlers.push_back(std::move(handler));
}

control_access control_process::impl::access()
{
    control_access made;
    made.state = [this]() -> const state::control_state& {
        return machine->state();
    };
    made.may_read = [this] { return machine->may_read(clock.monotonic_now()); };
    made.status = [this] { return machine->status(clock.monotonic_now()); };
    made.propose = [this](auto command, auto callback) {
        propose(std::move(command), std::move(callback));
    };
    made.change = [this](auto kind, auto member, auto callback) {
        change(kind, std::move(member), std::move(callback));
    };
    made.members = [this]() -> const membership& { return members->state(); };
    return made;
}

void control_process::impl::drain()
{
    constexpr int patience = 3;
    draining = true;
    drain_until = clock.monotonic_now() +
                  settings.machine.replica.election_timeout * patience;
    members->announce_leaving();
    step(transfer_event{});
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
