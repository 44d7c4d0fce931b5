#include "soak/soak_servers.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <deque>
#include <list>
#include <set>

#include <fmt/format.h>

#include "platform/counterpart.hpp"
#include "transport/http1_writer.hpp"

namespace hyssopdeal::soak
{

using transport::http1_exchange;

namespace
{

constexpr std::uint32_t slots = 16;
constexpr std::uint32_t queue = 8;
constexpr std::uint32_t brittle_queue = 2;
constexpr double long_part = 0.1;
constexpr int times_long = 8;

/// A server tells its state as of this time ago.
constexpr std::chrono::milliseconds report_lag{400};

/// The instance list shows a server as cold after at most this time.
constexpr std::uint64_t list_lag_ms = 800;

/// Some responses end with their connection.
const tests::link_fault usual_link{.without_length = 0.3};

/// The number at the end of a server's id.
std::uint64_t number_in(const std::string& text)
{
    std::uint64_t value = 0;
    (void)std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

} // namespace

std::string event_text(int number, const std::string& id)
{
    return fmt::format("id: {}\ndata: {}\n\n", number, id);
}

std::string plain_text(const std::string& id)
{
    return "whole " + id;
}

struct soak_servers::impl
{
    /// A run, for reports.
    struct run_record
    {
        std::string id;
        transport::monotonic_time from;
        transport::monotonic_time to = transport::monotonic_time::max();
    };

    struct server
    {
        protocol::listed_server listed;
        server_manner manner;
        double rate = 0;                   ///< Named in each answer; 0: none.
        std::uint32_t withstood_per_s = 0; ///< Said in each answer; 0: all.
        std::deque<transport::monotonic_time> rejections;
        transport::monotonic_time cold_shown{}; ///< From then on the list.
        transport::monotonic_time cold_until{};
        bool on_list = true;
        bool runs = true;
        std::uint32_t running = 0;
        std::list<run_record> records;
        std::unique_ptr<transport::http1_server> listener;
        std::unique_ptr<tests::fault_relay> relay;
        std::unique_ptr<transport::http1_server> after_end;
    };

    /// One request that a server works on.
    struct work
    {
        work(http1_exchange own, std::string own_id, std::size_t own_server)
            : exchange(std::move(own)),
              id(std::move(own_id)),
              at(own_server)
        {}
        http1_exchange exchange;
        std::string id;
        std::size_t at;
        int next_event = 1;
        std::chrono::milliseconds step{0}; ///< Between two events.
        bool over = false;
        std::list<run_record>::iterator record;
        transport::timer_handle timer;
    };

    impl(transport::event_loop& own_loop, const transport::clock& own_clock,
         soak_ledger& own_ledger, std::uint64_t seed, address_of own_address,
         std::uint16_t own_port)
        : loop(own_loop),
          clock(own_clock),
          ledger(own_ledger),
          random(seed),
          load_random(seed),
          address(std::move(own_address)),
          port(own_port)
    {}

    std::unique_ptr<transport::http1_server>
    listen(const std::string& own_address, std::uint16_t own_port,
           transport::http1_server::handler on_request);
    void answer(std::size_t at, const http1_exchange& exchange);
    std::vector<std::string> reported_runs(std::size_t at);
    transport::http1_server::handler after_end(std::size_t at,
                                               address_answer answer);
    void add_limits(std::size_t at, const std::string& id,
                    std::vector<transport::http_header>& headers);
    std::string load_text(std::size_t at);
    void make_cold(std::size_t at, std::chrono::milliseconds lag);
    void reject(std::size_t at);
    void step(const std::shared_ptr<work>& one);
    void end(const std::shared_ptr<work>& one);
    void answer_platform(http1_exchange exchange);

    bool drawn(double part)
    {
        return std::uniform_real_distribution<double>{0, 1}(random) < part;
    }

    transport::event_loop& loop;
    const transport::clock& clock;
    soak_ledger& ledger;
    std::mt19937_64 random;
    /// For loads and cold times, apart from `random`, so that the other answers
    /// of a seed stay as they were.
    std::mt19937_64 load_random;
    bool traffic = false;
    address_of address;
    std::uint16_t port;
    std::vector<std::unique_ptr<server>> servers;
    std::unique_ptr<transport::http1_server> platform;
    platform_manner manner = platform_manner::well;
    std::vector<http1_exchange> unanswered; ///< While the platform is silent.
    std::string target;
};

std::unique_ptr<transport::http1_server>
soak_servers::impl::listen(const std::string& own_address,
                           std::uint16_t own_port,
                           transport::http1_server::handler on_request)
{
    transport::http1_server_settings settings;
    settings.address = own_address;
    settings.port = own_port;
    auto made = std::make_unique<transport::http1_server>(
        loop, clock, settings, std::move(on_request));
    if (const auto started = made->start(); !started)
    {
        ledger.broken("soak", started.error().text);
    }
    return made;
}

// [requests] -----------------------------------------------------------------

void soak_servers::impl::answer(std::size_t at, const http1_exchange& exchange)
{
    constexpr int misdirected = 421;
    auto& self = *servers.at(at);
    const auto& request = exchange.request();
    if (const auto report = platform::report_answer(request, self.listed.born,
                                                    reported_runs(at)))
    {
        auto copy = exchange;
        return copy.send(*report);
    }
    const auto call = platform::read_server_call(request);
    const auto refuse = [&](int status) {
        auto copy = exchange;
        auto response = platform::not_run_answer(status, call.attempt_id);
        if (status != misdirected)
        {
            add_limits(at, call.attempt_id, response.headers);
        }
        copy.send(response);
    };
    if (!call.expected_server.empty() && call.expected_server != self.listed.id)
    {
        return refuse(misdirected);
    }
    ledger.arrived_cold(at);
    ledger.arrived_evacuated(call.attempt_id, at, self.listed.failure_domain);
    ledger.arrived(call.attempt_id, at,
                   !target.empty() && self.listed.version == target);
    const auto room =
        slots + (self.withstood_per_s > 0 ? brittle_queue : queue);
    const bool full = self.running >= room;
    if (full || drawn(self.manner.full))
    {
        refuse(503);
        return full ? reject(at) : void();
    }
    if (call.organisation != "o")
    {
        ledger.broken("each caller gets only their own",
                      fmt::format("{} came as organisation '{}'",
                                  call.attempt_id, call.organisation));
    }
    ledger.run_began(call.attempt_id, at, !call.resume_after.empty());
    ++self.running;
    auto one = std::make_shared<work>(exchange, call.attempt_id, at);
    one->record = self.records.insert(self.records.end(),
                                      {call.attempt_id, clock.monotonic_now()});
    one->next_event = 1 + static_cast<int>(number_in(call.resume_after));
    // Some take a second and more, so that a stop or a leaving server finds
    // them under way.
    one->step = self.manner.step * (drawn(long_part) ? times_long : 1);
    one->exchange.on_left([this, one] { end(one); });
    const bool stream = request.target.starts_with("/stream/") ||
                        request.target.starts_with("/say/");
    if (drawn(self.manner.failing))
    {
        auto headers = platform::answer_headers(one->id);
        add_limits(at, one->id, headers);
        one->exchange.send({500, headers, "server " + one->id});
        return end(one);
    }
    if (stream)
    {
        auto headers = platform::answer_headers(one->id);
        add_limits(at, one->id, headers);
        headers.push_back({"Content-Type", "text/event-stream"});
        one->exchange.begin(200, headers);
    }
    one->timer = loop.after(one->step, [this, one, stream] {
        if (stream)
        {
            return step(one);
        }
        if (!one->over)
        {
            auto headers = platform::answer_headers(one->id);
            add_limits(one->at, one->id, headers);
            one->exchange.send({200, headers, plain_text(one->id)});
            end(one);
        }
    });
}

/// @return Ids of the runs that a server's report lists.
std::vector<std::string> soak_servers::impl::reported_runs(std::size_t at)
{
    const auto then = clock.monotonic_now() - report_lag;
    auto& records = servers.at(at)->records;
    records.remove_if([&](const auto& one) { return one.to <= then; });
    std::vector<std::string> ids;
    for (const auto& one : records)
    {
        if (one.from <= then)
        {
            ids.push_back(one.id);
        }
    }
    return ids;
}

/// Answers what comes to the address of a server that has ended.
transport::http1_server::handler
soak_servers::impl::after_end(std::size_t at, address_answer answer)
{
    const auto born = servers.at(at)->listed.born + 1;
    return [=, held = std::vector<http1_exchange>{}](
               http1_exchange exchange) mutable {
        constexpr int misdirected = 421;
        const auto& request = exchange.request();
        switch (answer)
        {
        case address_answer::unavailable:
            return exchange.send({503, {}, ""});
        case address_answer::not_found:
            return exchange.send({404, {}, ""});
        case address_answer::empty_object:
            return exchange.send(
                {200, {{"Content-Type", "application/json"}}, "{}"});
        case address_answer::other_start:
            return exchange.send(
                platform::report_answer(request, born, {})
                    .value_or(platform::not_run_answer(
                        misdirected,
                        platform::read_server_call(request).attempt_id)));
        default:
            return held.push_back(std::move(exchange));
        }
    };
}

void soak_servers::impl::add_limits(
    std::size_t at, const std::string& id,
    std::vector<transport::http_header>& headers)
{
    const auto rate = servers.at(at)->rate;
    if (rate > 0)
    {
        headers.push_back(platform::rate_limit_header(rate));
        ledger.told_rate(id, at);
    }
    if (const auto load = load_text(at); !load.empty())
    {
        headers.push_back(platform::load_header(load));
    }
    if (const auto withstood = servers.at(at)->withstood_per_s; withstood > 0)
    {
        headers.push_back(platform::brittle_header(withstood));
    }
}

/// @return The load as a server states it: at times malformed, false or missing.
std::string soak_servers::impl::load_text(std::size_t at)
{
    static constexpr std::array malformed = {"1,2",
                                             "a,b,c",
                                             "-1,0,16",
                                             ",,,",
                                             "99999999999999999999,0,16",
                                             "1,0,16,nan",
                                             "1,0,16,0",
                                             "1,0,16,100,7"};
    constexpr std::uint64_t kinds = 10;
    constexpr std::uint64_t most = 100;
    const auto& self = *servers.at(at);
    const auto kind = load_random() % kinds;
    const auto drawn = load_random();
    if (kind == 0)
    {
        return {};
    }
    if (kind == 1)
    {
        return malformed.at(drawn % malformed.size());
    }
    const auto running = kind == 2 ? drawn % most : self.running;
    auto text = fmt::format("{},0,{}", running, slots);
    if (self.listed.service == "llm")
    {
        text += fmt::format(",{}", 100 + drawn % (2 * most));
    }
    return text;
}

/// @param lag Time until the instance list shows it.
void soak_servers::impl::make_cold(std::size_t at,
                                   std::chrono::milliseconds lag)
{
    auto& self = *servers.at(at);
    const auto now = clock.monotonic_now();
    self.cold_shown = now + lag;
    self.cold_until = now + cold_time;
    ledger.became_cold(at, cold_per_s, self.cold_until);
}

/// Counts a rejection for want of room. A server that falls over loses its
/// connections and is back at once.
void soak_servers::impl::reject(std::size_t at)
{
    auto& self = *servers.at(at);
    const auto now = clock.monotonic_now();
    self.rejections.push_back(now);
    while (now - self.rejections.front() >= std::chrono::seconds{1})
    {
        self.rejections.pop_front();
    }
    if (self.withstood_per_s > 0 &&
        self.rejections.size() > self.withstood_per_s)
    {
        self.rejections.clear();
        ledger.fell_over();
        loop.post([link = self.relay.get(), &self] {
            if (self.relay.get() == link)
            {
                link->reset();
            }
        });
    }
}

void soak_servers::impl::step(const std::shared_ptr<work>& one)
{
    if (one->over)
    {
        return;
    }
    const auto& self = *servers.at(one->at);
    if (drawn(self.manner.cutting / events_of_stream))
    {
        one->exchange.write("id: ");
        one->exchange.abort();
        return end(one);
    }
    // A stream may be resumed after its last event.
    if (one->next_event <= events_of_stream)
    {
        one->exchange.write(event_text(one->next_event, one->id));
    }
    if (++one->next_event > events_of_stream)
    {
        one->exchange.finish();
        return end(one);
    }
    one->timer = loop.after(one->step, [this, one] { step(one); });
}

void soak_servers::impl::end(const std::shared_ptr<work>& one)
{
    if (std::exchange(one->over, true))
    {
        return;
    }
    one->timer.cancel();
    one->record->to = clock.monotonic_now();
    auto& running = servers.at(one->at)->running;
    running -= running > 0 ? 1 : 0;
    ledger.run_ended(one->id);
}

// [platform] -----------------------------------------------------------------

void soak_servers::impl::answer_platform(http1_exchange exchange)
{
    if (manner == platform_manner::silent)
    {
        return unanswered.push_back(std::move(exchange));
    }
    if (manner == platform_manner::busy)
    {
        return exchange.send({429, {}, ""});
    }
    if (exchange.request().method == "GET")
    {
        std::vector<protocol::listed_server> list;
        for (const auto& one : servers)
        {
            if (one->on_list)
            {
                const auto now = clock.monotonic_now();
                const auto left = now < one->cold_shown
                                      ? std::chrono::nanoseconds{0}
                                      : one->cold_until - now;
                one->listed.cold_remaining_ms = std::max<std::int64_t>(
                    0,
                    std::chrono::ceil<std::chrono::milliseconds>(left).count());
                list.push_back(one->listed);
            }
        }
        return exchange.send({200,
                              {{"Content-Type", "application/json"}},
                              platform::encode_list(list)});
    }
    const auto order = platform::read_order(exchange.request());
    if (!order)
    {
        ledger.broken("orders are well formed", order.error().text);
        return exchange.send({400, {}, ""});
    }
    ledger.ordered(order->fence.holder, order->fence.token, order->usage,
                   order->window, order->counts);
    exchange.send({200, {{"Content-Type", "application/json"}}, "{}"});
}

// [soak_servers] -------------------------------------------------------------

soak_servers::soak_servers(transport::event_loop& loop,
                           const transport::clock& clock, soak_ledger& ledger,
                           std::uint64_t seed, address_of address,
                           std::uint16_t port)
    : impl_(std::make_unique<impl>(loop, clock, ledger, seed,
                                   std::move(address), port))
{}

soak_servers::~soak_servers() = default;

std::size_t soak_servers::add(const std::string& service,
                              const std::string& domain,
                              const std::string& version, server_manner manner)
{
    const auto at = impl_->servers.size();
    auto made = std::make_unique<impl::server>();
    made->listed.id = fmt::format("i-{}", at);
    made->listed.born = static_cast<std::uint64_t>(
        impl_->clock.wall_now().time_since_epoch().count());
    made->listed.service = service;
    made->listed.address =
        fmt::format("{}:{}", impl_->address(at, true), impl_->port);
    made->listed.failure_domain = domain;
    made->listed.version = version;
    made->listed.slots = slots;
    made->manner = manner;
    made->listener = impl_->listen(impl_->address(at, false), impl_->port,
                                   [this, at](const http1_exchange& exchange) {
                                       impl_->answer(at, exchange);
                                   });
    made->relay = std::make_unique<tests::fault_relay>(
        impl_->loop, tests::relay_end{impl_->address(at, true), impl_->port},
        tests::relay_end{impl_->address(at, false), impl_->port});
    impl_->servers.push_back(std::move(made));
    impl_->servers.back()->relay->set(usual_link);
    if (impl_->traffic)
    {
        impl_->make_cold(at, std::chrono::milliseconds{0});
    }
    return at;
}

void soak_servers::begin_traffic()
{
    impl_->traffic = true;
}

void soak_servers::make_cold(const std::string& domain)
{
    for (std::size_t at = 0; at < impl_->servers.size(); ++at)
    {
        const auto& one = *impl_->servers[at];
        if (one.runs && one.on_list && one.listed.failure_domain == domain)
        {
            impl_->make_cold(at, std::chrono::milliseconds{
                                     impl_->load_random() % list_lag_ms});
        }
    }
}

void soak_servers::drain(std::size_t server)
{
    impl_->servers.at(server)->listed.state = protocol::server_state::draining;
    impl_->ledger.draining(server);
}

void soak_servers::close_streams(std::size_t server)
{
    auto& one = *impl_->servers.at(server);
    one.manner = {.full = 1};
    one.relay->close_open();
}

void soak_servers::crash(std::size_t server, connection_end how,
                         address_answer answer)
{
    auto& one = *impl_->servers.at(server);
    one.runs = false;
    how == connection_end::closed ? one.relay->cut() : one.relay->reset();
    one.relay.reset();
    if (answer != address_answer::refused)
    {
        one.after_end = impl_->listen(impl_->address(server, true), impl_->port,
                                      impl_->after_end(server, answer));
    }
}

void soak_servers::forget(std::size_t server)
{
    auto& one = *impl_->servers.at(server);
    one.on_list = false;
    one.after_end.reset();
}

void soak_servers::behave(std::size_t server, server_manner manner)
{
    impl_->servers.at(server)->manner = manner;
}

void soak_servers::repeat_refusals(std::size_t server, std::uint64_t seed)
{
    constexpr double refused_part = 0.4;
    auto& one = *impl_->servers.at(server);
    one.manner = {.full = refused_part};
    auto fault = usual_link;
    fault.repeat = [random = std::mt19937_64{seed}](
                       std::string_view sent) mutable -> std::string {
        constexpr int full = 503;
        const bool refusal = sent.starts_with(fmt::format("HTTP/1.1 {}", full));
        switch (refusal ? random() % 3 : 2)
        {
        case 0:
            return std::string{sent};
        case 1:
            return transport::write_response(platform::not_run_answer(full, ""),
                                             transport::connection_use::keep);
        default:
            return {};
        }
    };
    one.relay->set(fault);
}

void soak_servers::name_rate(std::size_t server, double per_s)
{
    impl_->servers.at(server)->rate = per_s;
    impl_->ledger.named_rate(server, per_s);
}

void soak_servers::be_brittle(std::size_t server,
                              std::uint32_t rejections_per_s)
{
    impl_->servers.at(server)->withstood_per_s = rejections_per_s;
}

tests::fault_relay& soak_servers::link(std::size_t server)
{
    return *impl_->servers.at(server)->relay;
}

void soak_servers::heal_link(std::size_t server)
{
    impl_->servers.at(server)->relay->set(usual_link);
}

std::vector<std::size_t> soak_servers::ready(const std::string& service) const
{
    std::vector<std::size_t> found;
    for (std::size_t at = 0; at < impl_->servers.size(); ++at)
    {
        const auto& one = *impl_->servers[at];
        if (one.runs && one.on_list && one.listed.service == service &&
            one.listed.state == protocol::server_state::ready)
        {
            found.push_back(at);
        }
    }
    return found;
}

std::vector<std::string> soak_servers::services() const
{
    std::set<std::string> names;
    for (const auto& one : impl_->servers)
    {
        names.insert(one->listed.service);
    }
    return {names.begin(), names.end()};
}

const protocol::listed_server& soak_servers::listed(std::size_t server) const
{
    return impl_->servers.at(server)->listed;
}

void soak_servers::serve_platform(const std::string& address,
                                  std::uint16_t port)
{
    impl_->platform =
        impl_->listen(address, port, [this](http1_exchange exchange) {
            impl_->answer_platform(std::move(exchange));
        });
}

void soak_servers::behave(platform_manner manner)
{
    impl_->manner = manner;
    impl_->unanswered.clear();
}

void soak_servers::watch_target(const std::string& version)
{
    impl_->target = version;
}

} // namespace hyssopdeal::soak
