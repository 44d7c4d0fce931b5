#include <hyssopdeal/coordination/fleet_runner.hpp>

#include <algorithm>
#include <map>
#include <utility>

#include <hyssopdeal/coordination/evacuation/evacuation_orders.hpp>
#include <hyssopdeal/protocol/engine_orders.hpp>
#include <hyssopdeal/protocol/platform_api.hpp>
#include <hyssopdeal/transport/logging.hpp>

#include "fleet_demands.hpp"
#include "move_calls.hpp"

namespace hyssopdeal::coordination
{

namespace
{

using state::purchase_phase;
using state::purchase_record;
using transport::log_part;
using transport::monotonic_time;

/// Reads that are made again and again.
struct periodic_reads
{
    monotonic_time notices{};
    monotonic_time lists{};
};

} // namespace

void describe(protocol::settings_fields& fields, fleet_runner_settings& value)
{
    using protocol::text_rule;
    constexpr std::size_t max_services = 1'000;
    fields.text("cloud", value.cloud);
    fields.text("instance_list", value.instance_list);
    fields.text_list("services", value.services, text_rule::name, max_services);
    fields.duration("tick_ms", value.tick, std::chrono::milliseconds{100},
                    std::chrono::milliseconds{60'000});
    fields.duration("notice_interval_ms", value.notice_interval,
                    std::chrono::milliseconds{100},
                    std::chrono::milliseconds{10'000});
    fields.duration("list_interval_ms", value.list_interval,
                    std::chrono::milliseconds{500},
                    std::chrono::milliseconds{600'000});
    fields.duration("call_limit_ms", value.call_limit,
                    std::chrono::milliseconds{50},
                    std::chrono::milliseconds{60'000});
    fields.real("wave", value.fleet.wave, 0, 1);
    constexpr double max_spread = 10;
    fields.real("wave_spread", value.fleet.wave_spread, 0, max_spread);
    fields.duration("scale_in_delay_ms", value.fleet.scale_in_delay,
                    std::chrono::milliseconds{1'000},
                    std::chrono::milliseconds{86'400'000});
    fields.duration("drain_limit_ms", value.fleet.drain_limit,
                    std::chrono::milliseconds{1'000},
                    std::chrono::milliseconds{86'400'000});
}

struct fleet_runner::impl
{
    impl(transport::event_loop& on_loop, const transport::clock& with,
         control_node& of, const move_runner& with_moves,
         fleet_runner_settings own, fleet_handlers own_handlers)
        : loop{on_loop},
          clock{with},
          node{of},
          moves{with_moves},
          settings{std::move(own)},
          handlers{std::move(own_handlers)},
          calls{on_loop},
          planner{settings.fleet},
          drains{settings.drain}
    {}

    void tick();
    void read_platform();
    void decide();
    void call(const std::string& address,
              const transport::http_request& request,
              move_calls::answer_handler handler);
    void on_notices(const std::vector<protocol::reclaim_notice>& notices);
    void
    on_instances(const std::vector<protocol::cloud_instance_info>& instances,
                 state::log_index applied_when_asked);
    void start(const purchase_record& purchase);
    void release(const std::string& instance);
    void propose(std::vector<state::command_body> bodies);
    void watch_drains();
    void declare_bought(const state::control_tables& tables);
    [[nodiscard]] fleet_view view() const;

    transport::event_loop& loop;
    const transport::clock& clock;
    control_node& node;
    const move_runner& moves;
    fleet_runner_settings settings;
    fleet_handlers handlers;
    move_calls calls;
    fleet_planner planner;
    drain_backend drains;
    std::vector<instance_price> prices;
    std::uint64_t last_notice = 0;
    std::map<std::string, transport::wall_time> noticed; ///< Gone when.
    periodic_reads next;
    std::map<std::string, monotonic_time> declared_at; ///< By service.
    transport::timer_handle timer;
};

void fleet_runner::impl::call(const std::string& address,
                              const transport::http_request& request,
                              move_calls::answer_handler handler)
{
    calls.start(address, request, settings.call_limit, std::move(handler));
}

void fleet_runner::impl::tick()
{
    calls.collect();
    read_platform();
    const auto leads = node.leads();
    if (!settings.cloud.empty() && may_order(leads, clock.monotonic_now()))
    {
        decide();
    }
    const auto soonest = std::min(settings.tick, settings.notice_interval);
    timer = loop.after(soonest, [this] { tick(); });
}

void fleet_runner::impl::read_platform()
{
    const auto now = clock.monotonic_now();
    if (!settings.cloud.empty() && now >= next.notices)
    {
        next.notices = now + settings.notice_interval;
        call(settings.cloud, protocol::make_notices_request(last_notice),
             [this](const auto& answer) {
                 const auto read = answer.and_then(protocol::read_notices);
                 if (read)
                 {
                     on_notices(*read);
                 }
             });
    }
    if (now < next.lists)
    {
        return;
    }
    next.lists = now + settings.list_interval;
    if (!settings.cloud.empty())
    {
        call(settings.cloud, protocol::make_prices_request(),
             [this](const auto& answer) {
                 const auto read = answer.and_then(protocol::read_prices);
                 if (!read)
                 {
                     return;
                 }
                 prices.clear();
                 for (const auto& price : *read)
                 {
                     prices.push_back(
                         {price.failure_domain, price.price, price.per_hour});
                 }
             });
        const auto applied = node.state().applied_index();
        call(settings.cloud, protocol::make_instances_request(),
             [this, applied](const auto& answer) {
                 const auto read = answer.and_then(protocol::read_instances);
                 if (read)
                 {
                     on_instances(*read, applied);
                 }
             });
    }
    if (!settings.instance_list.empty() && handlers.on_list)
    {
        call(settings.instance_list, protocol::make_instance_list_request(),
             [this](const auto& answer) {
                 const auto read =
                     answer.and_then(protocol::read_instance_list);
                 if (!read)
                 {
                     return;
                 }
                 std::vector<listed_instance> list;
                 for (const auto& line : *read)
                 {
                     list.push_back(
                         {line.name,
                          line.state == protocol::instance_state::leaving
                              ? listed_state::leaving
                              : listed_state::live,
                          line.incarnation});
                 }
                 handlers.on_list(list);
             });
    }
}

void fleet_runner::impl::on_notices(
    const std::vector<protocol::reclaim_notice>& notices)
{
    const auto now = clock.wall_now();
    for (const auto& notice : notices)
    {
        last_notice = std::max(last_notice, notice.number);
        noticed[notice.instance] = now + notice.reclaim_in;
        transport::log_info(log_part::fleet,
                            "A reclaim notice came. instance={} in_ms={}",
                            notice.instance, notice.reclaim_in.count());
        if (handlers.on_notice)
        {
            handlers.on_notice(notice.instance);
        }
    }
}

void fleet_runner::impl::on_instances(
    const std::vector<protocol::cloud_instance_info>& instances,
    state::log_index applied_when_asked)
{
    if (!may_order(node.leads(), clock.monotonic_now()))
    {
        return;
    }
    for (const auto& [id, purchase] : node.state().tables().purchases)
    {
        const bool there = std::ranges::any_of(
            instances, [&purchase = purchase](const auto& instance) {
                return instance.name == purchase.instance;
            });
        // A record that is younger than the question may be missing in it.
        if (purchase.phase == purchase_phase::started && !there &&
            purchase.changed <= applied_when_asked)
        {
            propose(planner.on_released(purchase));
        }
    }
}

fleet_view fleet_runner::impl::view() const
{
    const auto& tables = node.state().tables();
    fleet_view result;
    result.now = clock.wall_now();
    result.term = node.leads().term;
    result.prices = prices;
    result.evacuated = evacuated_in(tables);
    const auto wanted = moves.wanted_slots();
    for (const auto& name : settings.services)
    {
        const auto service = tables.services.find(name);
        if (service != tables.services.end())
        {
            const auto measured = moves.load().of(clock.monotonic_now(), name);
            add_demands(service->second.service, measured, wanted, tables,
                        result.demands);
        }
    }
    for (const auto& [id, purchase] : tables.purchases)
    {
        if (purchase.phase == purchase_phase::ordered ||
            purchase.phase == purchase_phase::started)
        {
            result.purchases.push_back(purchase);
        }
    }
    for (const auto& [name, leaving] : tables.leaving)
    {
        result.leaving.push_back(leaving);
        if (drains.drained(clock.monotonic_now(), name))
        {
            result.drained.push_back(name);
        }
    }
    return result;
}

/// Asks leaving instances whether they have work left.
void fleet_runner::impl::watch_drains()
{
    const auto& tables = node.state().tables();
    std::vector<draining_server> leaving;
    for (const auto& [id, purchase] : tables.purchases)
    {
        if (purchase.phase == purchase_phase::started &&
            tables.leaving.contains(purchase.instance))
        {
            leaving.push_back({purchase.instance, purchase.address});
        }
    }
    const auto now = clock.monotonic_now();
    drains.set_leaving(now, leaving);
    for (const auto& server : drains.advance(now))
    {
        call(server.address, protocol::make_load_request(),
             [this, server](const auto& answer) {
                 const auto load = answer.and_then([](const auto& read) {
                     return protocol::read_engine_load(read.body);
                 });
                 drains.on_load(clock.monotonic_now(), server.name, load);
             });
    }
}

void fleet_runner::impl::decide()
{
    watch_drains();
    const auto seen = view();
    for (const auto& [instance, gone_at] : noticed)
    {
        propose(planner.on_notice(seen, instance, gone_at));
    }
    std::erase_if(noticed, [&](const auto& item) {
        return node.state().tables().leaving.contains(item.first);
    });
    if (prices.empty())
    {
        return;
    }
    auto actions = planner.advance(seen);
    propose(std::move(actions.proposals));
    for (const auto& purchase : actions.starts)
    {
        start(purchase);
    }
    for (const auto& instance : actions.releases)
    {
        release(instance);
    }
    declare_bought(node.state().tables());
}

void fleet_runner::impl::start(const purchase_record& purchase)
{
    const protocol::instance_order order{
        purchase.order_id, purchase.failure_domain, purchase.price,
        purchase.service, purchase.version};
    call(settings.cloud, protocol::make_start_request(order),
         [this, purchase](const auto& answer) {
             const auto started = answer.and_then(protocol::read_start_answer);
             auto told = start_answer::started;
             started_instance instance;
             if (started)
             {
                 instance = {started->name, started->address};
             }
             else
             {
                 told = answer && started.error().code ==
                                      transport::reason::overloaded
                            ? start_answer::refused
                            : start_answer::lost;
             }
             if (told != start_answer::lost)
             {
                 transport::log_info(
                     log_part::fleet, "The cloud answered. order={} {}",
                     purchase.order_id,
                     started ? "instance=" + instance.name : "refused=1");
             }
             propose(planner.on_start_answer(clock.wall_now(), purchase, told,
                                             instance));
         });
}

void fleet_runner::impl::release(const std::string& instance)
{
    call(settings.cloud, protocol::make_release_request(instance),
         [instance](const auto& answer) {
             constexpr int first_redirect = 300;
             constexpr int gone = 404;
             if (answer &&
                 (answer->status < first_redirect || answer->status == gone))
             {
                 transport::log_info(log_part::fleet,
                                     "Gave an instance back. instance={}",
                                     instance);
             }
         });
}

/// An operator's write wins over this one; then it is made anew.
void fleet_runner::impl::declare_bought(const state::control_tables& tables)
{
    const auto now = clock.monotonic_now();
    for (const auto& name : settings.services)
    {
        const auto record = tables.services.find(name);
        if (record == tables.services.end() || now < declared_at[name])
        {
            continue;
        }
        auto service = record->second.service;
        service.servers = servers_with_bought(
            service, tables, [this](const state::purchase_record& purchase) {
                return moves.serves(purchase.instance, purchase.version);
            });
        if (service.servers != record->second.service.servers)
        {
            declared_at[name] = now + settings.call_limit;
            service.shares.clear();
            propose({state::put_service{std::move(service),
                                        record->second.changed}});
        }
    }
}

void fleet_runner::impl::propose(std::vector<state::command_body> bodies)
{
    for (auto& body : bodies)
    {
        node.propose({{}, {}, std::move(body)}, [](const auto& result) {
            if (!result)
            {
                transport::log_warning(
                    log_part::fleet, "A proposal failed. reason={}",
                    transport::to_string(result.error().code));
            }
        });
    }
}

fleet_runner::fleet_runner(transport::event_loop& loop,
                           const transport::clock& clock, control_node& node,
                           const move_runner& moves,
                           fleet_runner_settings settings,
                           fleet_handlers handlers)
    : impl_{std::make_unique<impl>(loop, clock, node, moves,
                                   std::move(settings), std::move(handlers))}
{}

fleet_runner::~fleet_runner() = default;

void fleet_runner::start()
{
    impl_->tick();
}

} // namespace hyssopdeal::coordination
