#include "soak/soak_world.hpp"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>

#include <fmt/format.h>
#include <unistd.h>

#include "platform/counterpart.hpp"

namespace hyssopdeal::soak
{

namespace fs = std::filesystem;

namespace
{

constexpr std::uint16_t link_port = 27'600;
constexpr std::uint16_t callers_port = 27'601;
constexpr std::uint16_t readiness_port = 27'602;
constexpr std::uint16_t operators_port = 27'603;
constexpr std::uint16_t platform_port = 27'604;
constexpr std::uint16_t server_port = 27'605;
constexpr std::size_t domain_count = 3;
constexpr std::size_t seed_count = 3;
constexpr std::size_t descriptors = 1'024;

// Kinds of addresses; those of replicas follow those of entries.
constexpr int seen_address = 0;
constexpr int link_address = 1;
constexpr int server_seen = 2;
constexpr int server_own = 3;
constexpr std::size_t first_replica = 150;

std::string domain_of(std::size_t at)
{
    return fmt::format("d{}", at % domain_count);
}

/// @return The log file that was written last; empty when there is none.
fs::path newest_log(const fs::path& folder)
{
    fs::path newest;
    for (const auto& item : fs::recursive_directory_iterator{folder})
    {
        const bool log =
            item.is_regular_file() &&
            item.path().filename().string().find("log") != std::string::npos;
        if (log && (newest.empty() ||
                    fs::last_write_time(newest) < item.last_write_time()))
        {
            newest = item.path();
        }
    }
    return newest;
}

} // namespace

soak_world::soak_world(const soak_settings& own, soak_ledger& own_ledger)
    : random(own.seed),
      settings(own),
      ledger(own_ledger),
      client(loop, clock, {})
{
    group_.hold_signals_at_start();
    servers = std::make_unique<soak_servers>(
        loop, clock, ledger, own.seed,
        [](std::size_t number, bool seen) {
            return ip(seen ? server_seen : server_own, number);
        },
        server_port);
}

double soak_world::drawn()
{
    return std::uniform_real_distribution<double>{0, 1}(random);
}

std::size_t soak_world::drawn_below(std::size_t end)
{
    return std::uniform_int_distribution<std::size_t>{0, end - 1}(random);
}

// [addresses] ----------------------------------------------------------------

/// Each soak has addresses of its own, so that several run at once.
std::string soak_world::ip(int kind, std::size_t number)
{
    constexpr int first_block = 20;
    constexpr int blocks = 200;
    constexpr int kinds = 4;
    constexpr int parts = 60;
    const int id = ::getpid();
    return fmt::format("127.{}.{}.{}", first_block + id % blocks,
                       kinds * ((id / blocks) % parts) + kind, number + 1);
}

std::string soak_world::callers_address(std::size_t entry) const
{
    return fmt::format("{}:{}", ip(seen_address, entry), callers_port);
}

std::string soak_world::operators_address(std::size_t replica) const
{
    return fmt::format("{}:{}", ip(seen_address, first_replica + replica),
                       operators_port);
}

std::string soak_world::folder() const
{
    return group_.path("");
}

soak_world::process& soak_world::at(fault_place place, std::size_t which)
{
    return (place == fault_place::entry ? entries_ : replicas_)[which];
}

bool soak_world::runs(fault_place place, std::size_t which) const
{
    const auto& all = place == fault_place::entry ? entries_ : replicas_;
    const auto found = all.find(which);
    return found != all.end() && found->second.runs;
}

tests::fault_relay& soak_world::link(fault_place place, std::size_t which)
{
    return *at(place, which).relay;
}

// [processes] ----------------------------------------------------------------

std::string soak_world::settings_text(fault_place place, std::size_t which,
                                      bool first_start) const
{
    const bool entry = place == fault_place::entry;
    const auto number = entry ? which : first_replica + which;
    platform::process_settings own;
    own.instance = fmt::format("{}{}", entry ? "e" : "c", which);
    own.address = ip(seen_address, number);
    own.failure_domain = domain_of(which);
    if (entry)
    {
        own.callers = callers_address(which);
        own.readiness = fmt::format("{}:{}", own.address, readiness_port);
    }
    else
    {
        own.operators = operators_address(which);
        own.data_folder = group_.path("data-" + own.instance);
    }
    own.first_internal_port = link_port;
    own.seeds = seeds_;
    own.first_start = first_start;
    own.max_descriptors = descriptors;
    own.platform_address =
        fmt::format("{}:{}", ip(server_own, first_replica), platform_port);
    return platform::encode_settings(own);
}

void soak_world::start_process(fault_place place, std::size_t which,
                               bool first_start)
{
    const bool entry = place == fault_place::entry;
    const auto number = entry ? which : first_replica + which;
    auto& one = at(place, which);
    one.name = fmt::format("{}{}", entry ? "e" : "c", which);
    if (!one.relay)
    {
        one.relay = std::make_unique<tests::fault_relay>(
            loop, tests::relay_end{ip(seen_address, number), link_port},
            tests::relay_end{ip(link_address, number), link_port});
    }
    const auto file = one.name + ".yaml";
    group_.write(file, settings_text(place, which, first_start));
    group_.start(one.name,
                 entry ? "hyssop-platform-entryd" : "hyssop-platform-controld",
                 {},
                 {{platform::settings_variable, group_.path(file)},
                  {platform::link_listen_variable, ip(link_address, number)}});
    one.runs = true;
    one.end_signal = 0;
    one.started = clock.monotonic_now();
    ++one.lives;
}

void soak_world::start()
{
    for (std::size_t which = 0; which < std::min(settings.replicas, seed_count);
         ++which)
    {
        seeds_.push_back(operators_address(which));
    }
    servers->serve_platform(ip(server_own, first_replica), platform_port);
    for (std::size_t number = 0; number < settings.servers; ++number)
    {
        (void)servers->add("llm", domain_of(number), "v1");
        (void)servers->add("app", domain_of(number), "v1");
    }
    for (std::size_t which = 0; which < settings.replicas; ++which)
    {
        live_replicas_.push_back(which);
        start_process(fault_place::replica, which, true);
    }
    for (std::size_t which = 0; which < settings.entries; ++which)
    {
        start_process(fault_place::entry, which, true);
    }
}

void soak_world::start_entry(std::size_t which)
{
    start_process(fault_place::entry, which, false);
}

/// Appends bytes that were never synced.
void soak_world::tear(const fs::path& file)
{
    constexpr std::size_t most_bytes = 60;
    if (file.empty())
    {
        return;
    }
    std::string bytes(1 + drawn_below(most_bytes), '\0');
    std::generate(bytes.begin(), bytes.end(),
                  [this] { return static_cast<char>(random()); });
    std::ofstream{file, std::ios::binary | std::ios::app} << bytes;
}

void soak_world::start_replica(std::size_t which, disk_state disk)
{
    const fs::path data = group_.path(fmt::format("data-c{}", which));
    if (disk == disk_state::wiped)
    {
        fs::remove_all(data);
    }
    else if (disk == disk_state::torn)
    {
        tear(newest_log(data));
    }
    start_process(fault_place::replica, which, false);
}

void soak_world::replace_replica(std::size_t which)
{
    const auto next = replicas_.rbegin()->first + 1;
    std::erase(live_replicas_, which);
    live_replicas_.push_back(next);
    start_process(fault_place::replica, next, false);
}

void soak_world::rewrite_settings(std::size_t entry)
{
    std::shuffle(seeds_.begin(), seeds_.end(), random);
    group_.write(fmt::format("e{}.yaml", entry),
                 settings_text(fault_place::entry, entry, false));
}

void soak_world::signal(fault_place place, std::size_t which, int number)
{
    auto& one = at(place, which);
    if (number == SIGKILL || number == SIGTERM)
    {
        one.end_signal = number;
    }
    group_.signal(one.name, number);
}

/// Notes that a process has ended, and whether it was to.
void soak_world::look_at(process& one)
{
    const int code =
        one.runs ? group_.wait(one.name, std::chrono::seconds{0}) : -1;
    if (code < 0)
    {
        return;
    }
    one.runs = false;
    const auto lived = std::chrono::duration_cast<std::chrono::milliseconds>(
        clock.monotonic_now() - one.started);
    const auto how = fmt::format("{} ended with code {}, {} ms after its start",
                                 one.name, code, lived.count());
    if (one.end_signal == 0)
    {
        ledger.broken("no process ends by itself", how);
    }
    else if (one.end_signal == SIGTERM && code > 0)
    {
        ledger.broken("planned stops end well", how);
    }
}

bool soak_world::ended(fault_place place, std::size_t which)
{
    auto& one = at(place, which);
    look_at(one);
    return !one.runs;
}

void soak_world::watch()
{
    for (auto* all : {&entries_, &replicas_})
    {
        for (auto& [which, one] : *all)
        {
            look_at(one);
        }
    }
}

} // namespace hyssopdeal::soak
