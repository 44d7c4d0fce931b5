/// @file
/// `hyssop_bench open_callers`: 10,000 callers open on one entry process, the
/// memory that each takes there, and what callers past the limit are told.
/// Callers and engine run in processes of their own, so that each has its own
/// file limit and the memory measured is the entry's.

#include "bench.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <thread>

#include <sys/wait.h>
#include <unistd.h>

#include "entry_fixture.hpp"

namespace hyssopdeal::bench
{

namespace
{

using std::chrono::milliseconds;

constexpr double bound_kib = 64;
constexpr std::uint32_t default_callers = 10'000;
constexpr std::uint32_t callers_past_limit = 100;
constexpr std::size_t services = 8;
constexpr std::size_t engines = 2;
constexpr std::size_t client_threads = 2;
constexpr std::uint32_t callers_in_step = 20;
constexpr milliseconds step{10};
constexpr milliseconds settle_time{4'000};
// Streams that stay open, with a token now and then.
constexpr token_pace slow_pace{1'000'000, std::chrono::seconds{5}};

/// Two ends that carry fixed-size values between two processes.
class value_pipe
{
public:
    value_pipe()
    {
        if (::pipe(ends_.data()) != 0)
        {
            std::abort();
        }
    }

    template <class T>
    void send(const T& value) const
    {
        if (::write(ends_[1], &value, sizeof value) != sizeof value)
        {
            std::abort();
        }
    }

    template <class T>
    [[nodiscard]] T receive() const
    {
        T value{};
        if (::read(ends_[0], &value, sizeof value) != sizeof value)
        {
            std::abort();
        }
        return value;
    }

private:
    std::array<int, 2> ends_{};
};

/// What the callers saw.
struct callers_report
{
    std::uint64_t events = 0;
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
    std::uint64_t ended = 0;
};

struct address_text
{
    std::array<char, 32> text{};
};

address_text to_value(const std::string& address)
{
    address_text value;
    address.copy(value.text.data(), value.text.size() - 1);
    return value;
}

template <class Run>
pid_t run_process(Run run)
{
    const auto child = ::fork();
    if (child == 0)
    {
        run();
        ::_exit(0);
    }
    return child;
}

void run_engines(const value_pipe& addresses, const value_pipe& stop)
{
    std::vector<std::unique_ptr<token_engine>> list;
    list.reserve(engines);
    for (std::size_t count = 0; count < engines; ++count)
    {
        list.push_back(std::make_unique<token_engine>(slow_pace));
        addresses.send(to_value(list.back()->address()));
    }
    static_cast<void>(stop.receive<char>());
}

callers_report report_of(const caller_totals& totals)
{
    return {totals.events, totals.failed, totals.refused, totals.ended};
}

void run_callers(std::uint32_t count, const value_pipe& orders,
                 const value_pipe& reports)
{
    const std::string address{orders.receive<address_text>().text.data()};
    caller_totals totals;
    std::vector<std::unique_ptr<caller>> clients;
    clients.reserve(client_threads);
    for (std::size_t at = 0; at < client_threads; ++at)
    {
        clients.push_back(std::make_unique<caller>(address, totals));
    }
    for (std::uint32_t at = 0; at < count; ++at)
    {
        clients[at % client_threads]->start_chat(at % services);
        if (at % callers_in_step == 0)
        {
            std::this_thread::sleep_for(step);
        }
    }
    std::this_thread::sleep_for(settle_time);
    reports.send(report_of(totals));
    for (std::uint32_t at = 0; at < callers_past_limit; ++at)
    {
        clients[at % client_threads]->start_chat(at % services);
    }
    std::this_thread::sleep_for(settle_time);
    reports.send(report_of(totals));
    static_cast<void>(orders.receive<char>());
}

int run(const bench_arguments& arguments)
{
    const auto count = arguments.quick ? default_callers / 10 : default_callers;
    const value_pipe addresses;
    const value_pipe stop_engines;
    const value_pipe orders;
    const value_pipe reports;
    const auto engine_process =
        run_process([&] { run_engines(addresses, stop_engines); });
    const auto caller_process =
        run_process([&] { run_callers(count, orders, reports); });
    std::vector<std::string> engine_addresses;
    for (std::size_t at = 0; at < engines; ++at)
    {
        engine_addresses.emplace_back(
            addresses.receive<address_text>().text.data());
    }
    entry_fixture entry{engine_addresses, 1, count, services};
    const auto empty = resident_kib();
    std::this_thread::sleep_for(settle_time / 4);
    const auto before = resident_kib();
    orders.send(to_value(entry.address()));
    const auto open = reports.receive<callers_report>();
    const auto after = resident_kib();
    const auto past = reports.receive<callers_report>();
    orders.send('x');
    stop_engines.send('x');
    int status = 0;
    ::waitpid(engine_process, &status, 0);
    ::waitpid(caller_process, &status, 0);
    const auto each = static_cast<double>(after - before) / count;
    const auto refused = past.refused - open.refused;
    print_line("open_callers",
               "callers={} failed={} refused={} ended={} kib_each={:.1f} "
               "bound_kib_each={:.0f} tables_kib={} past_limit={} "
               "refused_past_limit={} "
               "failed_past_limit={}",
               count, open.failed, open.refused, open.ended, each, bound_kib,
               before - empty, callers_past_limit, refused,
               past.failed - open.failed);
    const bool good = open.failed + open.refused + open.ended == 0 &&
                      each < bound_kib && refused == callers_past_limit;
    return good ? 0 : 1;
}

const bench_registration registration{
    "open_callers", "memory of 10,000 open callers and refusals past them",
    run};

} // namespace

} // namespace hyssopdeal::bench
