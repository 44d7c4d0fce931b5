#include "linked_entries.hpp"

#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <utility>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <fmt/format.h>
#include <unistd.h>

#include <hyssopdeal/protocol/chat_codec.hpp>
#include <hyssopdeal/transport/digest.hpp>

#include "loop_helper.hpp"

namespace hyssopdeal::tests
{

using namespace std::chrono_literals;
using transport::http_header;
using transport::http_request;

namespace
{

/// A port that the kernel picked and that is free again.
template <class Protocol>
std::uint16_t free_port()
{
    asio::io_context context;
    typename Protocol::socket socket{
        context,
        typename Protocol::endpoint{asio::ip::address_v4::loopback(), 0}};
    return socket.local_endpoint().port();
}

std::string loopback(std::uint16_t port)
{
    return fmt::format("127.0.0.1:{}", port);
}

std::string write_key_file()
{
    auto path = std::filesystem::temp_directory_path() /
                fmt::format("hyssopdeal-linked-{}", ::getpid());
    std::ofstream{path} << "a shared key for tests";
    std::filesystem::permissions(path, std::filesystem::perms::owner_read |
                                           std::filesystem::perms::owner_write);
    return path.string();
}

protocol::control_view make_view(const std::vector<std::uint16_t>& engines)
{
    protocol::control_view view;
    view.applied_index = 1;
    for (const auto* name : {"serra", "vale"})
    {
        protocol::organisation_contract contract;
        contract.organisation = name;
        contract.key_sha256 = {
            transport::sha256_hex(contract.organisation + "-key")};
        contract.requests_per_second = 10'000;
        contract.request_burst = 10'000;
        contract.tokens_per_second = 1e9;
        contract.token_burst = 1e9;
        contract.concurrent_streams = 10'000;
        view.contracts.push_back(contract);
    }
    protocol::service sidra;
    sidra.name = "sidra";
    sidra.routes.resize(1);
    sidra.routes[0].name = "chat";
    sidra.routes[0].path_prefix = "/chat/completions";
    sidra.routes[0].time_limit = 20s;
    sidra.shares = {{"v1", 1}};
    for (std::size_t i = 0; i < engines.size(); ++i)
    {
        protocol::backend_server server;
        server.name = fmt::format("w{}", i);
        server.address = loopback(engines[i]);
        server.failure_domain = fmt::format("d{}", i);
        server.version = "v1";
        sidra.servers.push_back(server);
    }
    view.services = {sidra};
    return view;
}

} // namespace

stream_caller::stream_caller(transport::http_client& client, std::string key)
    : client_(client),
      key_(std::move(key))
{}

void stream_caller::open(const std::string& address, const std::string& body)
{
    start(address, {"POST",
                    "/v1/sidra/chat/completions",
                    {{"Authorization", "Bearer " + key_}},
                    body});
}

void stream_caller::resume(const std::string& address)
{
    start(address, {"GET",
                    "/v1/streams/" + stream,
                    {{"Authorization", "Bearer " + key_},
                     {"Last-Event-ID", std::to_string(last_event)}},
                    {}});
}

void stream_caller::leave()
{
    call_ = {};
    connected_ = false;
}

bool stream_caller::is_whole() const noexcept
{
    return whole_;
}

bool stream_caller::is_connected() const noexcept
{
    return connected_;
}

void stream_caller::start(const std::string& address,
                          const http_request& request)
{
    parser_ = protocol::sse_parser{};
    connected_ = true;
    transport::http_call_handlers handlers;
    handlers.on_head = [this](int code, const std::vector<http_header>& head) {
        status = code;
        const auto id = transport::find_header(head, "Hyssopdeal-Stream");
        stream = id.empty() ? stream : std::string{id};
        one_copy = transport::find_header(head, "Hyssopdeal-Copies") == "1";
    };
    handlers.on_data = [this](std::string_view piece) {
        const auto fed =
            parser_.feed(piece, [this](const auto& event) { take(event); });
        defect = fed ? defect : fed.error().text;
    };
    handlers.on_end = [this](const auto&) { connected_ = false; };
    call_ = client_.start(address, request, {}, std::move(handlers));
}

void stream_caller::take(const protocol::sse_event& event)
{
    if (event.id != std::to_string(last_event + 1))
    {
        defect += fmt::format("event {} after {}; ", event.id, last_event);
        return;
    }
    ++last_event;
    const auto read = protocol::read_chat_event(event.data);
    if (!read)
    {
        defect += "unreadable event; ";
        return;
    }
    text += read->text;
    whole_ = read->kind == protocol::chat_event_kind::done;
}

linked_entries::linked_entries(std::size_t entries, std::size_t engine_count)
    : key_file_(write_key_file())
{
    for (std::size_t i = 0; i < engine_count; ++i)
    {
        standins::engine_settings settings;
        engines.push_back(
            std::make_unique<standins::engine>(loop, clock, settings));
        engine_links_.push_back(std::make_unique<fault_relay>(
            loop, relay_end{},
            relay_end{.port = engines.back()->start().value()}));
        engine_ports_.push_back(engine_links_.back()->port());
    }
    entries_.resize(entries);
    // Another process may take a port between picking and binding it.
    constexpr int most_tries = 10;
    for (int tries = 0; tries < most_tries; ++tries)
    {
        pick_ports();
        if (start_all())
        {
            return;
        }
    }
    throw std::runtime_error{"No free ports were found."};
}

void linked_entries::pick_ports()
{
    for (std::size_t i = 0; i < entries_.size(); ++i)
    {
        auto& settings = entries_[i].settings;
        settings.name = fmt::format("e{}", i);
        settings.failure_domain = fmt::format("d{}", i);
        settings.shared_key_file = key_file_;
        settings.peer_port = free_port<asio::ip::tcp>();
        settings.gossip_port = free_port<asio::ip::udp>();
        settings.entries.clear();
    }
    for (auto& known : entries_)
    {
        for (const auto& other : entries_)
        {
            known.settings.entries.push_back(
                {other.settings.name, other.settings.failure_domain,
                 loopback(other.settings.peer_port),
                 loopback(other.settings.gossip_port)});
        }
    }
}

bool linked_entries::start_all()
{
    for (std::size_t i = 0; i < entries_.size(); ++i)
    {
        if (!start_entry(i))
        {
            for (std::size_t started = 0; started < i; ++started)
            {
                kill_entry(started);
            }
            return false;
        }
    }
    return true;
}

linked_entries::~linked_entries()
{
    for (std::size_t i = 0; i < entries_.size(); ++i)
    {
        kill_entry(i);
    }
    std::filesystem::remove(key_file_);
}

bool linked_entries::start_entry(std::size_t number)
{
    auto& starting = entries_[number];
    starting.process =
        std::make_unique<coordination::entry_process>(starting.settings, clock);
    const auto port = starting.process->start();
    if (!port)
    {
        starting.process.reset();
        return false;
    }
    starting.callers = std::make_unique<fault_relay>(loop, relay_end{},
                                                     relay_end{.port = *port});
    starting.process->publish(make_view(engine_ports_));
    starting.ended = std::make_shared<std::atomic<bool>>(false);
    starting.waiter =
        std::thread{[process = starting.process.get(), ended = starting.ended] {
            process->wait();
            *ended = true;
        }};
    return true;
}

void linked_entries::kill_entry(std::size_t number)
{
    auto& ending = entries_[number];
    if (!ending.process)
    {
        return;
    }
    ending.callers->cut();
    ending.process->stop();
    ending.waiter.join();
    ending.process.reset();
}

void linked_entries::kill_engine(std::size_t number)
{
    engine_links_[number]->cut();
}

void linked_entries::drain_entry(std::size_t number)
{
    entries_[number].process->drain();
}

std::string linked_entries::address(std::size_t entry) const
{
    return loopback(entries_[entry].callers->port());
}

void linked_entries::close_ended()
{
    for (const auto& known : entries_)
    {
        if (known.ended && *known.ended)
        {
            known.callers->cut();
        }
    }
}

bool linked_entries::run(const std::function<bool()>& holds,
                         std::chrono::milliseconds limit)
{
    return run_until(
        loop,
        [&] {
            close_ended();
            return holds();
        },
        limit);
}

} // namespace hyssopdeal::tests
