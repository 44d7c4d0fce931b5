#include "soak/soak_faults.hpp"

#include <algorithm>
#include <array>
#include <csignal>

#include <fmt/format.h>

namespace hyssopdeal::soak
{

using std::chrono::milliseconds;

namespace
{

// A replica counts as lost until it has caught up.
constexpr milliseconds catch_up{6'000};
constexpr milliseconds soon{50};
// So that several overlap within the seconds that each takes.
constexpr double planned_part = 0.4;
constexpr int least_pause_ms = 100;
constexpr int most_pause_ms = 1'500;
constexpr std::size_t planned_acts = 10;
constexpr std::size_t fault_acts = 13;

} // namespace

soak_faults::soak_faults(soak_world& world, soak_operator& changes)
    : world_(world),
      changes_(changes),
      rates_random_(world.settings.seed),
      refusals_random_(world.settings.seed),
      ends_random_(world.settings.seed),
      brittle_random_(world.settings.seed),
      evacuations_random_(world.settings.seed)
{}

void soak_faults::start(std::chrono::seconds duration)
{
    until_ = world_.clock.monotonic_now() + duration;
    drawing_ = true;
    next();
    limit_rates();
    world_.servers->begin_traffic();
    draw_evacuation();
    if (!world_.settings.planned_only)
    {
        repeat_refusals();
        end_servers();
        make_brittle();
    }
}

bool soak_faults::over() const noexcept
{
    return !drawing_ && open_ == 0;
}

void soak_faults::after(milliseconds delay, std::function<void()> act)
{
    timers_.push_back(world_.loop.after(delay, std::move(act)));
}

milliseconds soak_faults::drawn_between(int least_ms, int most_ms)
{
    return milliseconds{
        std::uniform_int_distribution<int>{least_ms, most_ms}(world_.random)};
}

std::size_t soak_faults::begin(fault_place place, std::size_t which,
                               bool planned, const std::string& what)
{
    busy_.insert({place, which});
    ++open_;
    return world_.ledger.begin_fault(place, which, planned, what);
}

void soak_faults::end(fault_place place, std::size_t which, std::size_t record,
                      milliseconds later)
{
    after(later, [=, this] {
        world_.ledger.end_fault(record);
        busy_.erase({place, which});
        --open_;
    });
}

/// Undoes a fault after some time, and ends it.
void soak_faults::end_after(milliseconds time, fault_place place,
                            std::size_t which, std::size_t record,
                            std::function<void()> undo)
{
    after(time, [=, this, undo = std::move(undo)] {
        undo();
        end(place, which, record, milliseconds{0});
    });
}

bool soak_faults::free(fault_place place, std::size_t which) const
{
    // One control replica at a time.
    return place == fault_place::replica
               ? std::none_of(busy_.begin(), busy_.end(),
                              [](const auto& item) {
                                  return item.first == fault_place::replica;
                              })
               : !busy_.contains({place, which});
}

// [drawing] ------------------------------------------------------------------

void soak_faults::next()
{
    if (world_.clock.monotonic_now() >= until_)
    {
        drawing_ = false;
        return;
    }
    world_.drawn() < planned_part || world_.settings.planned_only ? plan()
                                                                  : disturb();
    after(drawn_between(least_pause_ms, most_pause_ms), [this] { next(); });
}

void soak_faults::plan()
{
    const auto entry = world_.drawn_below(world_.settings.entries);
    switch (world_.drawn_below(planned_acts))
    {
    case 0:
        return changes_.race();
    case 1:
        return changes_.send_invalid();
    case 2:
        return change_settings(entry);
    case 3:
        return restart(fault_place::entry, entry, SIGTERM, disk_state::kept);
    case 4:
        return std::exchange(rolling_, true) ? changes_.change()
                                             : roll_entries(0);
    case 5:
    case 6:
        if (const auto server = any_server())
        {
            replace_server(*server);
        }
        return;
    case 7:
        return moves_ == 0 && !world_.settings.planned_only ? move_version()
                                                            : changes_.change();
    default:
        return changes_.change();
    }
}

/// @return One of those that are ready.
std::optional<std::size_t> soak_faults::any_server()
{
    const auto ready =
        world_.servers->ready(world_.drawn() < 0.5 ? "llm" : "app");
    return ready.empty()
               ? std::nullopt
               : std::optional{ready.at(world_.drawn_below(ready.size()))};
}

void soak_faults::disturb()
{
    const auto entry = world_.drawn_below(world_.settings.entries);
    const auto& replicas = world_.replicas();
    const auto replica = replicas.at(world_.drawn_below(replicas.size()));
    const auto place =
        world_.drawn() < 0.5 ? fault_place::entry : fault_place::replica;
    const auto which = place == fault_place::entry ? entry : replica;
    const auto server = any_server();
    if (!server)
    {
        return changes_.change();
    }
    switch (world_.drawn_below(fault_acts))
    {
    case 0:
        return restart(fault_place::entry, entry, SIGKILL, disk_state::kept);
    case 1:
        return restart(fault_place::replica, replica, SIGKILL,
                       disk_state::kept);
    case 2:
        return restart(fault_place::replica, replica, SIGKILL,
                       disk_state::wiped);
    case 3:
        return restart(fault_place::replica, replica, SIGKILL,
                       disk_state::torn);
    case 4:
        return restart(fault_place::replica, replica, SIGTERM,
                       disk_state::kept);
    case 5:
        return freeze(place, which);
    case 6:
        return harm_link(place, which);
    case 7:
        return break_connections(place, which);
    case 8:
        return harm_server(*server);
    case 9:
        return crash_server(*server, connection_end::reset);
    case 10:
        return harm_platform();
    case 11:
        return kill_all_replicas();
    default:
        return replace_replica(replica);
    }
}

// [processes] ----------------------------------------------------------------

void soak_faults::restart(fault_place place, std::size_t which, int number,
                          disk_state disk)
{
    if (!free(place, which) || !world_.runs(place, which))
    {
        return;
    }
    const bool planned = number == SIGTERM;
    const auto record = begin(place, which, planned, planned ? "stop" : "kill");
    world_.signal(place, which, number);
    await_end(place, which, record, disk);
}

void soak_faults::await_end(fault_place place, std::size_t which,
                            std::size_t record, disk_state disk)
{
    if (!world_.ended(place, which))
    {
        return after(soon,
                     [=, this] { await_end(place, which, record, disk); });
    }
    after(drawn_between(0, 1'500), [=, this] {
        const bool entry = place == fault_place::entry;
        entry ? world_.start_entry(which) : world_.start_replica(which, disk);
        end(place, which, record, entry ? milliseconds{0} : catch_up);
    });
}

void soak_faults::freeze(fault_place place, std::size_t which)
{
    if (!free(place, which) || !world_.runs(place, which))
    {
        return;
    }
    const auto record = begin(place, which, false, "freeze");
    world_.signal(place, which, SIGSTOP);
    end_after(drawn_between(200, 4'000), place, which, record,
              [=, this] { world_.signal(place, which, SIGCONT); });
}

/// Their disks stay, and they are back within a second.
void soak_faults::kill_all_replicas()
{
    const auto all = world_.replicas();
    if (!free(fault_place::replica, 0))
    {
        return;
    }
    for (const auto which : all)
    {
        const auto record = begin(fault_place::replica, which, false, "kill");
        world_.signal(fault_place::replica, which, SIGKILL);
        await_end(fault_place::replica, which, record, disk_state::kept);
    }
}

void soak_faults::replace_replica(std::size_t which)
{
    if (!free(fault_place::replica, which) ||
        !world_.runs(fault_place::replica, which))
    {
        return;
    }
    const auto record = begin(fault_place::replica, which, false, "replace");
    world_.signal(fault_place::replica, which, SIGKILL);
    after(drawn_between(300, 1'500), [=, this] {
        (void)world_.ended(fault_place::replica, which);
        world_.replace_replica(which);
        end(fault_place::replica, which, record, 2 * catch_up);
    });
}

/// Stops one entry after the other, each as soon as the last is back.
void soak_faults::roll_entries(std::size_t which)
{
    if (which >= world_.settings.entries)
    {
        rolling_ = false;
        return;
    }
    restart(fault_place::entry, which, SIGTERM, disk_state::kept);
    after(drawn_between(400, 1'500), [=, this] { roll_entries(which + 1); });
}

void soak_faults::change_settings(std::size_t which)
{
    if (!free(fault_place::entry, which) ||
        !world_.runs(fault_place::entry, which))
    {
        return;
    }
    const auto record = begin(fault_place::entry, which, true, "settings");
    world_.rewrite_settings(which);
    if (world_.drawn() < 0.7)
    {
        world_.signal(fault_place::entry, which, SIGHUP);
    }
    end(fault_place::entry, which, record, milliseconds{0});
}

// [links] --------------------------------------------------------------------

void soak_faults::harm_link(fault_place place, std::size_t which)
{
    if (!free(place, which))
    {
        return;
    }
    const auto record = begin(place, which, false, "link");
    tests::link_fault fault;
    const auto kind = world_.drawn_below(4);
    fault.silent_in = kind == 0 || kind == 1;
    fault.silent_out = kind == 1 || kind == 2;
    fault.delay = kind == 3 ? drawn_between(20, 400) : milliseconds{0};
    world_.link(place, which).set(fault);
    end_after(drawn_between(300, 5'000), place, which, record,
              [=, this] { world_.link(place, which).set({}); });
}

void soak_faults::break_connections(fault_place place, std::size_t which)
{
    if (!free(place, which))
    {
        return;
    }
    const auto record = begin(place, which, false, "connections");
    auto& link = world_.link(place, which);
    world_.drawn() < 0.5 ? link.reset() : link.silence_open();
    end(place, which, record, milliseconds{0});
}

// [servers] ------------------------------------------------------------------

void soak_faults::harm_server(std::size_t server)
{
    if (!free(fault_place::server, server))
    {
        return;
    }
    const auto record = begin(fault_place::server, server, false, "server");
    server_manner manner;
    switch (world_.drawn_below(6))
    {
    case 0:
        manner.failing = 0.4;
        break;
    case 1:
        manner.cutting = 0.4;
        break;
    case 2:
        manner.full = 0.6;
        break;
    case 3:
        manner.step = milliseconds{90};
        break;
    case 4:
        world_.servers->link(server).set(
            {.silent_in = true, .silent_out = true});
        break;
    default:
        world_.servers->link(server).reset();
        break;
    }
    world_.servers->behave(server, manner);
    end_after(drawn_between(500, 4'000), fault_place::server, server, record,
              [=, this] {
                  world_.servers->behave(server, {});
                  world_.servers->heal_link(server);
              });
}

/// A server of the same service and domain, with the version in force.
void soak_faults::add_successor(std::size_t server)
{
    // Listing another one may move what is listed.
    const auto before = world_.servers->listed(server);
    (void)world_.servers->add(before.service, before.failure_domain,
                              before.service == "llm" ? version_ : "v1");
}

void soak_faults::crash_server(std::size_t server, connection_end how)
{
    if (!free(fault_place::server, server))
    {
        return;
    }
    const auto record = begin(fault_place::server, server, false, "crash");
    world_.servers->crash(server, how);
    replace_later(server, record);
}

/// A server ends as a process does that closes its streams first.
///
/// @param lives_on How long it goes on telling its state; 0: it is killed.
/// @param answer At its address after that.
void soak_faults::end_server(std::size_t server, milliseconds lives_on,
                             address_answer answer)
{
    if (!free(fault_place::server, server))
    {
        return;
    }
    const auto record = begin(fault_place::server, server, false, "ends");
    if (lives_on > milliseconds{0})
    {
        world_.servers->close_streams(server);
    }
    after(lives_on, [=, this] {
        world_.servers->crash(server, connection_end::closed, answer);
        replace_later(server, record);
    });
}

/// The list shows for a while that nothing has happened.
void soak_faults::replace_later(std::size_t server, std::size_t record)
{
    end_after(drawn_between(500, 3'000), fault_place::server, server, record,
              [=, this] {
                  world_.servers->forget(server);
                  add_successor(server);
              });
}

/// The new one starts first; the old one leaves well after it is shown as
/// leaving.
void soak_faults::replace_server(std::size_t server)
{
    if (!free(fault_place::server, server))
    {
        return;
    }
    const auto record = begin(fault_place::server, server, true, "leaves");
    add_successor(server);
    after(drawn_between(500, 2'000), [=, this] {
        world_.servers->drain(server);
        end_after(drawn_between(5'000, 8'000), fault_place::server, server,
                  record, [=, this] { world_.servers->forget(server); });
    });
}

void soak_faults::harm_platform()
{
    if (!free(fault_place::platform, 0))
    {
        return;
    }
    const auto record = begin(fault_place::platform, 0, false, "platform");
    world_.servers->behave(world_.drawn() < 0.5 ? platform_manner::silent
                                                : platform_manner::busy);
    end_after(drawn_between(500, 4'000), fault_place::platform, 0, record,
              [this] { world_.servers->behave(platform_manner::well); });
}

/// Servers of a new version come; it is good, or fails from some time on.
void soak_faults::move_version()
{
    constexpr milliseconds duration{12'000};
    constexpr double bad_part = 0.5;
    ++moves_;
    ++open_;
    const bool bad = world_.drawn() < 0.6;
    const std::string target = "v2";
    const auto old_ones = world_.servers->ready("llm");
    std::vector<std::size_t> made;
    for (std::size_t at = 0; at < old_ones.size(); ++at)
    {
        made.push_back(world_.servers->add(
            "llm", world_.servers->listed(at).failure_domain, target, {}));
    }
    if (bad)
    {
        after(drawn_between(0, 8'000), [=, this] {
            for (const auto server : made)
            {
                world_.servers->behave(server, {.failing = bad_part});
            }
        });
    }
    changes_.move(target, bad, duration, [=, this](bool completed) {
        for (const auto server : completed ? old_ones : made)
        {
            world_.servers->drain(server);
        }
        version_ = completed ? target : version_;
        after(drawn_between(5'000, 7'000), [=, this] {
            for (const auto server : completed ? old_ones : made)
            {
                world_.servers->forget(server);
            }
            --open_;
        });
    });
}

/// One server after the other repeats refusals for some seconds.
void soak_faults::repeat_refusals()
{
    if (world_.clock.monotonic_now() >= until_)
    {
        return;
    }
    const auto services = world_.servers->services();
    const auto servers = world_.servers->ready(
        services.at(refusals_random_() % services.size()));
    const milliseconds time{1'000 + refusals_random_() % 2'000};
    const auto seed = refusals_random_();
    after(time, [this] { repeat_refusals(); });
    const auto server = servers.empty() ? 0 : servers[seed % servers.size()];
    if (servers.empty() || !free(fault_place::server, server))
    {
        return;
    }
    const auto record = begin(fault_place::server, server, false, "refusals");
    world_.servers->repeat_refusals(server, seed);
    end_after(time, fault_place::server, server, record, [=, this] {
        world_.servers->behave(server, {});
        world_.servers->heal_link(server);
    });
}

/// One server after the other ends between the events of its streams, half of
/// them slowly.
void soak_faults::end_servers()
{
    constexpr std::uint64_t longest_end_ms = 300;
    constexpr std::array answers = {
        address_answer::refused,     address_answer::unavailable,
        address_answer::not_found,   address_answer::empty_object,
        address_answer::other_start, address_answer::silent};
    if (world_.clock.monotonic_now() >= until_)
    {
        return;
    }
    const auto services = world_.servers->services();
    const auto servers =
        world_.servers->ready(services.at(ends_random_() % services.size()));
    const auto drawn = ends_random_();
    const auto answer = answers.at(ends_random_() % answers.size());
    const bool slow = ends_random_() % 2 == 0;
    const milliseconds lives_on{slow ? 1 + ends_random_() % longest_end_ms : 0};
    after(milliseconds{300 + ends_random_() % 1'200},
          [this] { end_servers(); });
    // The last of a service is spared.
    if (servers.size() > 1)
    {
        end_server(servers[drawn % servers.size()], lives_on, answer);
    }
}

/// All servers of a service are slow and brittle for some seconds; a burst comes
/// when entries know that.
void soak_faults::make_brittle()
{
    constexpr std::uint32_t withstood_per_s = 3;
    constexpr milliseconds before_burst{5'000};
    constexpr milliseconds burst{2'000};
    constexpr double load_factor = 4;
    const server_manner slow{.step = milliseconds{60}};
    const auto services = world_.servers->services();
    const auto& service = services.at(brittle_random_() % services.size());
    after(milliseconds{1'000 + brittle_random_() % 10'000}, [=, this] {
        const auto servers = world_.servers->ready(service);
        if (world_.clock.monotonic_now() >= until_ || servers.empty())
        {
            return;
        }
        ++open_;
        world_.ledger.brittle(servers.size());
        for (const auto server : servers)
        {
            world_.servers->be_brittle(server, withstood_per_s);
            world_.servers->behave(server, slow);
        }
        after(before_burst, [=, this] { world_.load_factor = load_factor; });
        after(before_burst + burst, [=, this] {
            world_.load_factor = 1;
            world_.ledger.brittle(0);
            for (const auto server : servers)
            {
                world_.servers->be_brittle(server, 0);
                world_.servers->behave(server, {});
            }
            --open_;
            make_brittle();
        });
    });
}

/// Evacuates one failure domain after the other; two may overlap. Servers have
/// become cold at the end of those that were in force at all entries.
void soak_faults::draw_evacuation()
{
    constexpr std::size_t domains = 3;
    constexpr std::size_t most_at_once = 2;
    if (world_.clock.monotonic_now() >= until_)
    {
        return;
    }
    const auto domain = fmt::format("d{}", evacuations_random_() % domains);
    const bool cold = evacuations_random_() % 4 > 0;
    const milliseconds time{cold ? 6'000 + evacuations_random_() % 5'000
                                 : evacuations_random_() % 2'000};
    after(milliseconds{500 + evacuations_random_() % 2'500},
          [this] { draw_evacuation(); });
    if (evacuations_ >= most_at_once || !evacuated_.insert(domain).second)
    {
        return;
    }
    ++evacuations_;
    ++open_;
    changes_.evacuate(domain, true, [=, this] {
        world_.ledger.evacuated(domain);
        hold_evacuation(domain, time, cold);
    });
}

/// Withdraws an evacuation after some time.
void soak_faults::hold_evacuation(const std::string& domain, milliseconds time,
                                  bool cold)
{
    // A resent order may still be under way to the log.
    constexpr milliseconds before_next{10'000};
    after(time, [=, this] {
        world_.ledger.withdrawing(domain);
        if (cold)
        {
            world_.servers->make_cold(domain);
        }
        changes_.evacuate(domain, false, [=, this] {
            --evacuations_;
            --open_;
            after(before_next, [=, this] { evacuated_.erase(domain); });
        });
    });
}

/// One server of a service, or all of them, name a rate for some seconds.
void soak_faults::limit_rates()
{
    const auto between = [this](int least, int most) {
        return std::uniform_int_distribution<int>{least, most}(rates_random_);
    };
    const auto services = world_.servers->services();
    const auto drawn_service = static_cast<std::size_t>(
        between(0, static_cast<int>(services.size()) - 1));
    const bool all = between(0, 2) == 0;
    const double per_s = between(1, 6);
    auto limited = world_.servers->ready(services.at(drawn_service));
    const milliseconds time{between(6'000, 12'000)};
    if (world_.clock.monotonic_now() >= until_ || limited.empty())
    {
        return;
    }
    limited.resize(all ? limited.size() : 1);
    ++open_;
    for (const auto server : limited)
    {
        world_.servers->name_rate(server, per_s);
    }
    after(time, [=, this] {
        for (const auto server : limited)
        {
            world_.servers->name_rate(server, 0);
        }
        --open_;
        limit_rates();
    });
}

} // namespace hyssopdeal::soak
