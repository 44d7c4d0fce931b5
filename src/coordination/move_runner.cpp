#include <hyssopdeal/coordination/move_runner.hpp>

#include <algorithm>
#include <map>
#include <utility>

#include <hyssopdeal/transport/logging.hpp>

#include "move_calls.hpp"
#include "move_webhook.hpp"

namespace hyssopdeal::coordination
{

namespace
{

using protocol::service_kind;
using transport::log_part;

/// A server that may run a service's version.
struct placed_server
{
    std::string name;
    std::string address;
    std::string failure_domain;
    std::string version;
    std::uint32_t slots = 0;
    fence_check check = fence_check::checks;
};

} // namespace

void describe(protocol::settings_fields& fields, move_runner_settings& value)
{
    using protocol::text_rule;
    fields.text("weight_store", value.weight_store);
    fields.text("webhook_address", value.webhook_address);
    fields.text("webhook_path", value.webhook_path, text_rule::url_path);
    fields.duration("tick_ms", value.tick, std::chrono::milliseconds{50},
                    std::chrono::milliseconds{5'000});
    fields.duration("call_limit_ms", value.call_limit,
                    std::chrono::milliseconds{50},
                    std::chrono::milliseconds{60'000});
    fields.duration("shortest_stay_ms", value.moves.plan.shortest_stay,
                    std::chrono::milliseconds{500},
                    std::chrono::milliseconds{3'600'000});
    fields.duration("order_time_limit_ms", value.orders.order_time_limit,
                    std::chrono::milliseconds{50},
                    std::chrono::milliseconds{30'000});
    fields.duration("lease_margin_ms", value.orders.lease_margin,
                    std::chrono::milliseconds{0},
                    std::chrono::milliseconds{10'000});
}

struct move_runner::impl
{
    impl(transport::event_loop& on_loop, const transport::clock& with,
         control_node& of, move_runner_settings own)
        : loop{on_loop},
          clock{with},
          node{of},
          settings{std::move(own)},
          calls{on_loop},
          webhook{on_loop, calls, settings},
          sender{settings.orders},
          weights{settings.weights}
    {}

    /// One move that this leader runs.
    struct running_move
    {
        state::revision ordered = 0;
        move_controller controller;
        double slots_wanted = 0;
        std::vector<std::string> hold{};
    };

    void tick();
    void run_moves(const state::control_tables& tables);
    void run_move(const state::move_record& move,
                  const protocol::service& service);
    void send_orders(const state::control_tables& tables);
    void fetch_weights();
    void send_order(const order_to_send& order);
    void read_status(const status_to_read& reading);
    void propose(state::command_body body);
    void on_committed(const state::command& command);
    [[nodiscard]] std::vector<placed_server>
    servers_of(const protocol::service& service) const;
    [[nodiscard]] version_server server_view(const protocol::service& service,
                                             const placed_server& server);

    transport::event_loop& loop;
    const transport::clock& clock;
    control_node& node;
    move_runner_settings settings;
    move_calls calls;
    move_webhook webhook;
    order_sender sender;
    move_weights weights;
    fleet_load load;
    std::map<std::string, running_move, std::less<>> moves; ///< By service.
    transport::timer_handle timer;
};

std::vector<placed_server>
move_runner::impl::servers_of(const protocol::service& service) const
{
    std::vector<placed_server> result;
    for (const auto& server : service.servers)
    {
        result.push_back({server.name, server.address, server.failure_domain,
                          server.version, server.slots,
                          server.checks_orders ? fence_check::checks
                                               : fence_check::ignores});
    }
    for (const auto& [id, purchase] : node.state().tables().purchases)
    {
        const bool declared = std::ranges::any_of(
            result, [&purchase = purchase](const auto& server) {
                return server.name == purchase.instance;
            });
        if (purchase.phase == state::purchase_phase::started &&
            purchase.service == service.name && !declared)
        {
            // Whether a bought engine checks tokens is not known: assume not.
            const auto slots =
                service.servers.empty() ? 8 : service.servers.front().slots;
            result.push_back({purchase.instance, purchase.address,
                              purchase.failure_domain, purchase.version, slots,
                              fence_check::ignores});
        }
    }
    return result;
}

version_server move_runner::impl::server_view(const protocol::service& service,
                                              const placed_server& server)
{
    version_server view{server.name, server.failure_domain, server.slots};
    const auto& tables = node.state().tables();
    view.leaving = tables.leaving.contains(server.name);
    const auto order = tables.evacuations.find(server.failure_domain);
    view.evacuated =
        order != tables.evacuations.end() && order->second.in_force();
    if (service.kind == service_kind::plain)
    {
        view.state = version_state::ready;
        return view;
    }
    const auto status = sender.status_of(server.name);
    if (status)
    {
        for (const auto& held : status->versions)
        {
            if (held.version == server.version)
            {
                view.state = held.state == protocol::load_state::loaded
                                 ? version_state::ready
                                 : version_state::loading;
            }
        }
    }
    if (sender.load_failed(server.name, server.version))
    {
        view.state = version_state::failed;
    }
    return view;
}

void move_runner::impl::tick()
{
    const auto leads = node.leads();
    const auto now = clock.monotonic_now();
    if (leads.role != leadership_role::leader)
    {
        moves.clear();
    }
    else
    {
        const auto& tables = node.state().tables();
        run_moves(tables);
        send_orders(tables);
        fetch_weights();
    }
    const auto actions = sender.advance(now, leads);
    if (actions.allocate_fence)
    {
        node.propose({{}, {}, state::allocate_fence{}}, [this](auto result) {
            if (!result)
            {
                return;
            }
            const auto* fence = std::get_if<state::fence_result>(&result->body);
            if (fence != nullptr)
            {
                sender.on_fence({fence->token.term, fence->token.counter});
            }
        });
    }
    for (const auto& order : actions.orders)
    {
        send_order(order);
    }
    for (const auto& reading : actions.readings)
    {
        read_status(reading);
    }
    calls.collect();
    timer = loop.after(settings.tick, [this] { tick(); });
}

void move_runner::impl::run_moves(const state::control_tables& tables)
{
    std::erase_if(moves, [&tables](const auto& item) {
        const auto found = tables.moves.find(item.first);
        return found == tables.moves.end() ||
               state::ended(found->second.status.phase) ||
               found->second.ordered != item.second.ordered;
    });
    for (const auto& [name, move] : tables.moves)
    {
        const auto service = tables.services.find(name);
        if (!state::ended(move.status.phase) &&
            service != tables.services.end())
        {
            run_move(move, service->second.service);
        }
    }
}

void move_runner::impl::run_move(const state::move_record& move,
                                 const protocol::service& service)
{
    auto found = moves.find(service.name);
    if (found == moves.end())
    {
        transport::log_info(log_part::move,
                            "Running a move. service={} version={}",
                            service.name, move.order.version);
        found = moves
                    .emplace(service.name,
                             running_move{
                                 move.ordered,
                                 move_controller{settings.moves, move,
                                                 service.first_token_target}})
                    .first;
    }
    const auto now = clock.monotonic_now();
    const auto measured = load.of(now, service.name);
    move_view view;
    view.now = clock.wall_now();
    view.move = move;
    view.needed_slots = measured.busy_slots;
    view.requests_per_second = measured.requests_per_second;
    view.load_time = weights.time_left(now);
    view.first_token_target = service.first_token_target;
    for (const auto& server : servers_of(service))
    {
        if (server.version == move.order.version)
        {
            view.servers.push_back(server_view(service, server));
        }
    }
    auto actions = found->second.controller.advance(view);
    found->second.slots_wanted = actions.slots_wanted;
    found->second.hold = std::move(actions.hold);
    if (actions.notice == move_notice::will_be_late)
    {
        transport::log_warning(log_part::move,
                               "A move will miss its deadline. service={} "
                               "version={}",
                               service.name, move.order.version);
    }
    if (actions.update)
    {
        propose(std::move(*actions.update));
    }
}

void move_runner::impl::send_orders(const state::control_tables& tables)
{
    const auto now = clock.monotonic_now();
    std::vector<engine_target> targets;
    std::vector<weight_need> needs;
    for (const auto& [name, record] : tables.services)
    {
        if (record.service.kind != service_kind::model)
        {
            continue;
        }
        const auto move = moves.find(name);
        for (const auto& server : servers_of(record.service))
        {
            engine_target target;
            target.server = server.name;
            target.address = server.address;
            target.check = server.check;
            const bool moving =
                move != moves.end() &&
                tables.moves.at(name).order.version == server.version;
            const bool held =
                !moving || std::ranges::find(move->second.hold, server.name) !=
                               move->second.hold.end();
            const auto status = sender.status_of(server.name);
            const bool loaded =
                status &&
                std::ranges::any_of(status->versions, [&](const auto& version) {
                    return version.version == server.version;
                });
            // After a lost reading it stays as it was.
            const bool known =
                status || weights.needed(server.version, server.name);
            if (held && known && !loaded && !settings.weight_store.empty())
            {
                needs.push_back({server.version, server.name});
            }
            if (held && (loaded || settings.weight_store.empty() ||
                         weights.ready(now, server.version, server.name)))
            {
                target.versions = {server.version};
            }
            targets.push_back(std::move(target));
        }
    }
    sender.set_targets(std::move(targets));
    weights.set_needs(std::move(needs));
}

void move_runner::impl::fetch_weights()
{
    if (settings.weight_store.empty())
    {
        return;
    }
    for (const auto& need : weights.advance(clock.monotonic_now()))
    {
        calls.start(settings.weight_store,
                    protocol::make_weight_request(need.version, need.server),
                    settings.call_limit, [this, need](const auto& answer) {
                        const auto read =
                            answer ? protocol::read_weight_answer(*answer)
                                   : transport::result<protocol::weight_fetch>{
                                         tl::unexpected{answer.error()}};
                        weights.on_answer(clock.monotonic_now(), need, read);
                    });
    }
}

void move_runner::impl::send_order(const order_to_send& order)
{
    // The process may have slept since the decision.
    if (clock.monotonic_now() > order.send_by)
    {
        return;
    }
    calls.start(order.address, protocol::make_request(order.order),
                order.time_limit, [this, order](const auto& answer) {
                    constexpr int accepted = 200;
                    constexpr int stale = 409;
                    auto told = order_answer::lost;
                    if (answer)
                    {
                        told = answer->status == accepted
                                   ? order_answer::accepted
                               : answer->status == stale
                                   ? order_answer::stale_fence
                                   : order_answer::refused;
                    }
                    sender.on_order_answer(clock.monotonic_now(), order.server,
                                           order.order, told);
                });
}

void move_runner::impl::read_status(const status_to_read& reading)
{
    calls.start(reading.address, protocol::make_status_request(),
                settings.orders.order_time_limit,
                [this, server = reading.server](const auto& answer) {
                    const auto status =
                        answer ? protocol::read_engine_status(answer->body)
                               : transport::result<protocol::engine_status>{
                                     tl::unexpected{answer.error()}};
                    sender.on_status(clock.monotonic_now(), server, status);
                });
}

void move_runner::impl::propose(state::command_body body)
{
    node.propose({{}, {}, std::move(body)}, [](const auto& result) {
        if (!result)
        {
            transport::log_warning(log_part::move,
                                   "A proposal failed. reason={}",
                                   transport::to_string(result.error().code));
        }
    });
}

void move_runner::impl::on_committed(const state::command& command)
{
    const auto* update = std::get_if<state::update_move>(&command.body);
    const auto* cancel = std::get_if<state::cancel_move>(&command.body);
    if (update == nullptr && cancel == nullptr)
    {
        return;
    }
    const auto& service = update != nullptr ? update->service : cancel->service;
    const auto& tables = node.state().tables();
    const auto move = tables.moves.find(service);
    if (move == tables.moves.end())
    {
        return;
    }
    const auto& status = move->second.status;
    transport::log_info(log_part::move,
                        "A move goes on. service={} version={} step={} "
                        "share={:.3f} state={}",
                        service, move->second.order.version, status.step,
                        status.share, outcome_of(status.phase));
    if (state::ended(status.phase) &&
        node.leads().role == leadership_role::leader)
    {
        webhook.tell(move->second);
    }
}

move_runner::move_runner(transport::event_loop& loop,
                         const transport::clock& clock, control_node& node,
                         move_runner_settings settings)
    : impl_{std::make_unique<impl>(loop, clock, node, std::move(settings))}
{}

move_runner::~move_runner() = default;

void move_runner::start(protocol::peer_hub& hub)
{
    hub.on_message(protocol::peer_channel::reports,
                   [this](const std::string&, const std::string& payload,
                          const auto&) { on_report(payload); });
    impl_->node.on_committed(
        [this](state::log_index, const state::command& command,
               const state::command_result&) { impl_->on_committed(command); });
    impl_->tick();
}

void move_runner::on_report(std::string_view payload)
{
    const auto report = decode_version_report(payload);
    if (!report)
    {
        transport::log_warning(log_part::move, "A report is not valid.");
        return;
    }
    impl_->load.on_report(impl_->clock.monotonic_now(), *report);
    const auto found = impl_->moves.find(report->service);
    if (found != impl_->moves.end())
    {
        found->second.controller.on_report(*report);
    }
}

const fleet_load& move_runner::load() const
{
    return impl_->load;
}

std::vector<version_slots> move_runner::wanted_slots() const
{
    std::vector<version_slots> result;
    const auto& tables = impl_->node.state().tables();
    for (const auto& [service, move] : impl_->moves)
    {
        const auto record = tables.moves.find(service);
        if (record != tables.moves.end())
        {
            result.push_back(
                {service, record->second.order.version, move.slots_wanted});
        }
    }
    return result;
}

bool move_runner::serves(std::string_view server,
                         std::string_view version) const
{
    const auto status = impl_->sender.status_of(server);
    return status &&
           std::ranges::any_of(status->versions, [&](const auto& held) {
               return held.version == version &&
                      held.state == protocol::load_state::loaded;
           });
}

} // namespace hyssopdeal::coordination
