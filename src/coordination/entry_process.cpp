#include <hyssopdeal/coordination/entry_process.hpp>

#include <csignal>
#include <thread>
#include <utility>
#include <vector>

#include <pthread.h>

#include <fmt/format.h>

#include <hyssopdeal/coordination/drain_entry.hpp>
#include <hyssopdeal/coordination/evacuation/evacuated_domains.hpp>
#include <hyssopdeal/coordination/evacuation/evacuation_orders.hpp>
#include <hyssopdeal/coordination/learner_runner.hpp>
#include <hyssopdeal/protocol/contract_json.hpp>
#include <hyssopdeal/transport/byte_budget.hpp>
#include <hyssopdeal/transport/file_limit.hpp>
#include <hyssopdeal/transport/http_server.hpp>
#include <hyssopdeal/transport/logging.hpp>

#include "entry_links.hpp"
#include "entry_service.hpp"
#include "entry_shard.hpp"
#include "stream_exchange.hpp"

namespace hyssopdeal::coordination
{

using transport::http_request;
using transport::http_responder;
using transport::log_info;
using transport::log_part;
using transport::result;

namespace
{

constexpr std::chrono::milliseconds drain_tick{50};
constexpr std::size_t reserved_files = 512;      // links, logs, spans
constexpr std::size_t refused_connections = 256; // accepted to be refused
constexpr std::size_t fewest_server_connections = 64;

transport::http_server_settings server_settings_of(const entry_settings& from)
{
    transport::http_server_settings settings;
    settings.address = from.address;
    settings.port = from.port;
    settings.reuse_port = from.shards > 1;
    settings.max_connections = from.max_connections;
    settings.max_header_bytes = from.max_header_bytes;
    settings.max_body_bytes = from.max_body_bytes;
    settings.read_time_limit = from.read_time_limit;
    settings.write_time_limit = from.write_time_limit;
    settings.shares_body = true;
    return settings;
}

// Without a free file no connection could be accepted any more: what callers
// may take is kept free of connections to backend servers.
result<std::size_t> max_server_connections(const entry_settings& from)
{
    const auto limit = transport::open_file_limit();
    const auto for_callers = from.max_connections + refused_connections;
    const auto taken = reserved_files + for_callers * from.shards;
    const auto fewest = taken + from.shards * fewest_server_connections;
    if (limit < fewest)
    {
        return transport::fail(
            transport::reason::bad_settings,
            fmt::format("max_connections {} on {} threads needs {} open files, "
                        "{} are allowed.",
                        from.max_connections, from.shards, fewest, limit));
    }
    return (limit - taken) / from.shards;
}

/// A shard with its server and its thread.
struct running_shard
{
    running_shard(entry_shared& shared, std::uint16_t port,
                  std::size_t max_server_connections,
                  std::shared_ptr<transport::byte_budget> budget)
        : shard(shared, max_server_connections),
          service(shard),
          server(shard.loop, with_port(shared.settings, port),
                 [this](http_request request, http_responder responder) {
                     service.handle(std::move(request), std::move(responder));
                 })
    {
        transport::set_byte_budget(shard.loop, std::move(budget));
    }

    running_shard(const running_shard&) = delete;
    running_shard& operator=(const running_shard&) = delete;

    ~running_shard()
    {
        shard.loop.stop();
        if (thread.joinable())
        {
            thread.join();
        }
    }

    static transport::http_server_settings with_port(const entry_settings& from,
                                                     std::uint16_t port)
    {
        auto settings = server_settings_of(from);
        settings.port = port;
        return settings;
    }

    entry_shard shard;
    entry_service service;
    transport::http_server server;
    std::thread thread;
};

/// Reads each file of a list; mistakes of all files are put together.
template <class Item, class Read>
std::vector<Item> read_files(const std::vector<std::string>& files, Read read,
                             std::string& mistakes)
{
    std::vector<Item> items;
    for (const auto& file : files)
    {
        const auto text = protocol::read_text_file(file);
        auto item = text ? read(*text, file)
                         : result<Item>{tl::unexpected(text.error())};
        if (item)
        {
            items.push_back(std::move(*item));
            continue;
        }
        mistakes += mistakes.empty() ? "" : "\n";
        mistakes += item.error().text;
    }
    return items;
}

} // namespace

result<protocol::control_view> read_static_view(const entry_settings& settings)
{
    std::string mistakes;
    protocol::control_view view;
    view.contracts = read_files<protocol::organisation_contract>(
        settings.contract_files, protocol::read_contract, mistakes);
    view.services = read_files<protocol::service>(
        settings.service_files, protocol::read_service, mistakes);
    if (!mistakes.empty())
    {
        return transport::fail(transport::reason::bad_settings, mistakes);
    }
    return view;
}

struct entry_process::impl
{
    impl(entry_settings settings, const transport::clock& clock)
        : shared(std::move(settings), clock)
    {}

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    // The threads read what the other members hold.
    ~impl()
    {
        shards.clear();
    }

    [[nodiscard]] result<void> start_links();
    [[nodiscard]] entry_links_handlers links_handlers();
    void start_learner();
    void publish(protocol::control_view view);
    template <class Action>
    void on_each_shard(Action action);
    void on_drain();
    void tick();
    void act(drain_action action);
    [[nodiscard]] open_work count_work();

    entry_shared shared;
    transport::event_loop loop; // of the main thread
    std::vector<std::unique_ptr<running_shard>> shards;
    std::unique_ptr<entry_links> links;        // none without a shared key
    std::unique_ptr<stream_exchange> exchange; // with links
    std::unique_ptr<learner_runner> learner;   // none without replicas
    drain_entry drain;
    transport::timer_handle drain_timer;
    std::uint64_t published_index = 0;
    evacuated_domains evacuations; ///< As published.
    bool published = false;
};

template <class Action>
void entry_process::impl::on_each_shard(Action action)
{
    for (const auto& running : shards)
    {
        running->shard.loop.post(
            [&shard = running->shard, action] { action(shard); });
    }
}

entry_links_handlers entry_process::impl::links_handlers()
{
    entry_links_handlers handlers;
    handlers.on_peer = [this](const std::string& name,
                              const std::string& address) {
        on_each_shard([name, address](entry_shard& shard) {
            if (shard.peers)
            {
                shard.peers->set_peer(name, address);
            }
        });
    };
    handlers.on_server_leaving = [this](const std::string& server) {
        on_each_shard([server](entry_shard& shard) {
            for (auto& [name, lane] : shard.lanes)
            {
                lane->router().set_leaving(server);
            }
        });
    };
    handlers.on_ordered_to_leave = [this] {
        if (shared.readiness == entry_readiness::serving)
        {
            on_drain();
        }
    };
    return handlers;
}

result<void> entry_process::impl::start_links()
{
    const auto& file = shared.settings.shared_key_file;
    if (file.empty())
    {
        return {};
    }
    auto key = protocol::read_secret_file(file);
    if (!key)
    {
        return tl::unexpected(key.error());
    }
    for (const auto& running : shards)
    {
        running->shard.link(*key);
    }
    links = std::make_unique<entry_links>(loop, shared.clock, shared.settings,
                                          std::move(*key), shared.bad_input,
                                          links_handlers());
    exchange =
        std::make_unique<stream_exchange>(loop, shared.clock, links->hub());
    auto started = links->start();
    if (started)
    {
        shared.members = &links->members().view();
        start_learner();
    }
    return started;
}

void entry_process::impl::start_learner()
{
    learner_runner_settings settings;
    settings.name = shared.settings.name;
    settings.failure_domain = shared.settings.failure_domain;
    for (const auto& replica : shared.settings.control_replicas)
    {
        settings.replicas.push_back(replica.name);
    }
    if (settings.replicas.empty())
    {
        return;
    }
    learner = std::make_unique<learner_runner>(
        loop, shared.clock, links->hub(), links->members(), std::move(settings),
        [this](protocol::control_view view) { publish(std::move(view)); });
    learner->start();
}

void entry_process::impl::publish(protocol::control_view view)
{
    if (std::exchange(published, true) && view.applied_index <= published_index)
    {
        return;
    }
    published_index = view.applied_index;
    log_info(log_part::process, "Configuration is in force. index={}",
             view.applied_index);
    const auto changes = evacuations.apply(
        shared.clock.monotonic_now(), view.applied_index, evacuated_in(view));
    for (const auto& change : changes.seen)
    {
        log_info(log_part::process,
                 "An evacuation is in force. domain={} order={} index={}",
                 change.domain, change.evacuated ? "begin" : "end",
                 view.applied_index);
    }
    shared.catalog.publish(entry_catalog{std::move(view)});
    on_each_shard([](entry_shard& shard) { shard.refresh(); });
    auto expected = entry_readiness::starting;
    shared.readiness.compare_exchange_strong(expected,
                                             entry_readiness::serving);
}

void entry_process::impl::on_drain()
{
    drain.on_signal(shared.clock.monotonic_now());
    tick();
}

void entry_process::impl::tick()
{
    drain.on_progress(shared.clock.monotonic_now(), count_work());
    for (const auto action : drain.take_actions())
    {
        act(action);
    }
    drain_timer = loop.after(drain_tick, [this] { tick(); });
}

open_work entry_process::impl::count_work()
{
    open_work work;
    for (const auto& running : shards)
    {
        work.streams += running->shard.metrics.open_streams.load();
        work.plain_calls += running->shard.metrics.open_calls.load();
    }
    return work;
}

void entry_process::impl::act(drain_action action)
{
    switch (action)
    {
    case drain_action::fail_readiness:
        shared.readiness = entry_readiness::unready;
        if (links)
        {
            links->announce_leaving();
        }
        break;
    case drain_action::refuse_queue:
        on_each_shard([](entry_shard& shard) {
            for (auto& [name, lane] : shard.lanes)
            {
                lane->refuse_all(transport::reason::draining);
            }
        });
        break;
    case drain_action::refuse_new:
        shared.readiness = entry_readiness::draining;
        break;
    case drain_action::hand_over_streams:
        on_each_shard([](entry_shard& shard) { shard.streams.hand_over(); });
        break;
    case drain_action::close_rest:
        log_info(log_part::process, "Cutting what is left.");
        break;
    case drain_action::exit:
        loop.stop();
        break;
    }
}

entry_process::entry_process(entry_settings settings,
                             const transport::clock& clock)
    : impl_(std::make_unique<impl>(std::move(settings), clock))
{}

entry_process::~entry_process() = default;

result<std::uint16_t> entry_process::start()
{
    const auto server_connections =
        max_server_connections(impl_->shared.settings);
    if (!server_connections)
    {
        return tl::unexpected(server_connections.error());
    }
    auto port = impl_->shared.settings.port;
    const auto budget = std::make_shared<transport::byte_budget>(
        impl_->shared.settings.max_held_caller_bytes);
    for (std::uint32_t count = 0; count < impl_->shared.settings.shards;
         ++count)
    {
        auto running = std::make_unique<running_shard>(
            impl_->shared, port, *server_connections, budget);
        auto bound = running->server.start();
        if (!bound)
        {
            return bound;
        }
        port = *bound;
        if (const auto opened = running->shard.open_spans(); !opened)
        {
            return tl::unexpected(opened.error());
        }
        impl_->shared.shards.push_back(&running->shard);
        impl_->shards.push_back(std::move(running));
    }
    if (const auto linked = impl_->start_links(); !linked)
    {
        return tl::unexpected(linked.error());
    }
    for (const auto& running : impl_->shards)
    {
        running->shard.count_work();
        running->shard.watch_versions();
        running->thread =
            std::thread{[&loop = running->shard.loop] { loop.run(); }};
        pthread_setname_np(running->thread.native_handle(), "entry-shard");
    }
    return port;
}

void entry_process::publish(protocol::control_view view)
{
    impl_->publish(std::move(view));
}

void entry_process::drain()
{
    impl_->loop.post([state = impl_.get()] { state->on_drain(); });
}

void entry_process::handle_signals(std::function<void()> on_reload)
{
    impl_->loop.on_signal(
        [state = impl_.get(), reload = std::move(on_reload)](int number) {
            number == SIGHUP ? reload() : state->on_drain();
        });
}

void entry_process::stop()
{
    impl_->loop.stop();
}

void entry_process::wait()
{
    impl_->loop.run();
    impl_->shards.clear();
}

} // namespace hyssopdeal::coordination
