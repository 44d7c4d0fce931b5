#include "entry_fixture.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>
#include <utility>

#include <fmt/format.h>

#include <hyssopdeal/transport/digest.hpp>

namespace hyssopdeal::bench
{

using transport::http_request;
using transport::http_responder;

namespace
{

constexpr const char* key = "bench-key";
constexpr double no_limit = 1e12;
// An entry sends few requests at once to a server that it does not know yet:
// each engine is declared several times.
constexpr std::size_t declared_servers = 256;
constexpr std::chrono::minutes chat_time_limit{10};

std::set<std::string> thread_numbers()
{
    std::set<std::string> numbers;
    for (const auto& item :
         std::filesystem::directory_iterator{"/proc/self/task"})
    {
        numbers.insert(item.path().filename().string());
    }
    return numbers;
}

std::string token_event(std::string_view attempt, std::uint32_t sequence)
{
    return fmt::format("id: {}:{}\ndata: {{\"choices\":[{{\"delta\":{{"
                       "\"content\":\"token \"}}}}]}}\n\n",
                       attempt, sequence);
}

std::string end_events(std::string_view attempt, std::uint32_t sequence)
{
    return fmt::format(
        "id: {}:{}\ndata: {{\"choices\":[{{\"delta\":{{}},\"finish_reason\":"
        "\"stop\"}}]}}\n\ndata: [DONE]\n\n",
        attempt, sequence);
}

std::string service_name(std::size_t number)
{
    return fmt::format("bench-{}", number);
}

protocol::organisation_contract unlimited_contract()
{
    protocol::organisation_contract contract;
    contract.organisation = "bench";
    contract.key_sha256 = {transport::sha256_hex(key)};
    contract.requests_per_second = no_limit;
    contract.request_burst = no_limit;
    contract.tokens_per_second = no_limit;
    contract.token_burst = no_limit;
    contract.concurrent_streams = 1'000'000'000;
    return contract;
}

protocol::service service_for(std::size_t number,
                              const std::vector<std::string>& engines)
{
    protocol::service service;
    service.name = service_name(number);
    service.routes.resize(1);
    service.routes[0].name = "chat";
    service.routes[0].time_limit = chat_time_limit;
    for (std::size_t count = 0; count < declared_servers; ++count)
    {
        protocol::backend_server server;
        server.name = fmt::format("engine-{}-{}", number, count);
        server.address = engines[count % engines.size()];
        server.failure_domain = "bench";
        server.version = "v1";
        server.slots = 100'000;
        service.servers.push_back(server);
    }
    service.shares = {{"v1", 1}};
    return service;
}

protocol::control_view view_for(const std::vector<std::string>& engines,
                                std::size_t services)
{
    protocol::control_view view;
    view.applied_index = 1;
    view.contracts = {unlimited_contract()};
    for (std::size_t number = 0; number < services; ++number)
    {
        view.services.push_back(service_for(number, engines));
    }
    return view;
}

} // namespace

loop_thread::loop_thread() = default;

loop_thread::~loop_thread()
{
    stop();
}

void loop_thread::run()
{
    thread_ = std::thread{[this] { loop.run(); }};
}

void loop_thread::stop()
{
    loop.stop();
    if (thread_.joinable())
    {
        thread_.join();
    }
}

/// One answer that is being streamed.
struct token_engine::stream : std::enable_shared_from_this<stream>
{
    stream(transport::event_loop& on, token_pace with, std::string name,
           http_responder to)
        : loop(on),
          pace(with),
          attempt(std::move(name)),
          responder(std::move(to))
    {}

    void start()
    {
        responder.begin_stream(200, {{"Content-Type", "text/event-stream"}});
        next();
    }

    void next()
    {
        if (sent == pace.tokens)
        {
            responder.write(end_events(attempt, sent + 1));
            responder.end_stream();
            return;
        }
        ++sent;
        auto event = token_event(attempt, sent);
        if (pace.interval.count() > 0)
        {
            responder.write(std::move(event));
            timer = loop.after(pace.interval,
                               [self = shared_from_this()] { self->next(); });
            return;
        }
        responder.write(std::move(event),
                        [self = shared_from_this()](auto status) {
                            if (status == transport::write_status::written)
                            {
                                self->next();
                            }
                        });
    }

    transport::event_loop& loop;
    token_pace pace;
    std::string attempt;
    http_responder responder;
    std::uint32_t sent = 0;
    transport::timer_handle timer;
};

token_engine::token_engine(token_pace pace)
    : pace_(pace),
      server_(
          thread_.loop,
          [] {
              transport::http_server_settings settings;
              settings.max_connections = 20'000;
              return settings;
          }(),
          [this](const http_request& request, http_responder responder) {
              answer(request, std::move(responder));
          })
{
    address_ = fmt::format("127.0.0.1:{}", server_.start().value());
    thread_.run();
}

token_engine::~token_engine()
{
    thread_.stop();
}

const std::string& token_engine::address() const noexcept
{
    return address_;
}

void token_engine::answer(const http_request& request, http_responder responder)
{
    std::string attempt{find_header(request.headers, "Hyssopdeal-Attempt")};
    std::make_shared<stream>(thread_.loop, pace_, std::move(attempt),
                             std::move(responder))
        ->start();
}

struct caller::chat
{
    transport::http_call call;
    std::chrono::steady_clock::time_point started;
    bool first_seen = false;
    char last = ' ';
};

caller::caller(std::string address, caller_totals& totals,
               std::function<void(std::chrono::nanoseconds)> on_first)
    : address_(std::move(address)),
      totals_(totals),
      on_first_(std::move(on_first)),
      client_(thread_.loop)
{
    thread_.run();
}

caller::~caller()
{
    thread_.stop();
}

void caller::start_chat(std::size_t service)
{
    thread_.loop.post([this, service] {
        auto item = std::make_shared<chat>();
        chats_.push_back(item);
        item->started = std::chrono::steady_clock::now();
        http_request request;
        request.method = "POST";
        request.target =
            fmt::format("/v1/{}/chat/completions", service_name(service));
        request.headers = {{"Authorization", fmt::format("Bearer {}", key)},
                           {"Hyssopdeal-Attempt", std::string(32, 'a')}};
        request.body = R"({"stream":true,"messages":[{"role":"user",)"
                       R"("content":"Tell me of the orchard."}]})";
        transport::http_call_settings settings;
        settings.total_time_limit = chat_time_limit;
        transport::http_call_handlers handlers;
        handlers.on_data = [this, raw = item.get()](std::string_view piece) {
            if (!std::exchange(raw->first_seen, true) && on_first_)
            {
                on_first_(std::chrono::steady_clock::now() - raw->started);
            }
            std::uint64_t events = 0;
            for (const char letter : piece)
            {
                events += letter == '\n' && raw->last == '\n' ? 1 : 0;
                raw->last = letter;
            }
            totals_.events += events;
        };
        handlers.on_end = [this](const transport::http_call_end& end) {
            const bool whole = end.complete;
            ++(whole && end.status == 200   ? totals_.ended
               : whole && end.status == 503 ? totals_.refused
                                            : totals_.failed);
        };
        item->call =
            client_.start(address_, request, settings, std::move(handlers));
    });
}

entry_fixture::entry_fixture(const std::vector<std::string>& engines,
                             std::uint32_t shards, std::size_t max_connections,
                             std::size_t services)
{
    coordination::entry_settings settings;
    settings.name = "bench";
    settings.failure_domain = "bench";
    settings.shards = shards;
    settings.max_connections = max_connections;
    process_ = std::make_unique<coordination::entry_process>(settings, clock_);
    const auto before = thread_numbers();
    address_ = fmt::format("127.0.0.1:{}", process_->start().value());
    for (const auto& number : thread_numbers())
    {
        if (before.count(number) == 0)
        {
            threads_.push_back(number);
        }
    }
    view_ = view_for(engines, services);
    process_->publish(view_);
}

void entry_fixture::declare_second(const std::string& engine)
{
    view_.services.push_back(service_for(view_.services.size(), {engine}));
    ++view_.applied_index;
    process_->publish(view_);
}

entry_fixture::~entry_fixture() = default;

const std::string& entry_fixture::address() const noexcept
{
    return address_;
}

std::chrono::nanoseconds entry_fixture::cpu_time() const
{
    return thread_times(0);
}

std::chrono::nanoseconds entry_fixture::core_wait_time() const
{
    return thread_times(1);
}

std::chrono::nanoseconds entry_fixture::thread_times(int column) const
{
    std::int64_t total = 0;
    for (const auto& number : threads_)
    {
        std::ifstream file{fmt::format("/proc/self/task/{}/schedstat", number)};
        std::int64_t time = 0;
        for (int at = 0; at <= column; ++at)
        {
            file >> time;
        }
        total += time;
    }
    return std::chrono::nanoseconds{total};
}

std::uint64_t resident_kib()
{
    std::ifstream file{"/proc/self/statm"};
    std::uint64_t size = 0;
    std::uint64_t resident_pages = 0;
    file >> size >> resident_pages;
    constexpr std::uint64_t kib_in_page = 4;
    return resident_pages * kib_in_page;
}

double percentile_ms(std::vector<std::chrono::nanoseconds> samples,
                     double share)
{
    if (samples.empty())
    {
        return 0;
    }
    std::sort(samples.begin(), samples.end());
    const auto at = std::min(
        samples.size() - 1,
        static_cast<std::size_t>(share * static_cast<double>(samples.size())));
    return std::chrono::duration<double, std::milli>(samples[at]).count();
}

} // namespace hyssopdeal::bench
