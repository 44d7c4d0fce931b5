#include "soak/soak_ledger.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace hyssopdeal::soak
{

using std::chrono::milliseconds;

namespace
{

constexpr std::size_t most_findings = 40;
constexpr int first_error = 300;

/// @return Whether a status says that the request has not run and never will.
bool promises_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

bool repeatable(route_kind kind)
{
    return kind == route_kind::safe || kind == route_kind::stream ||
           kind == route_kind::probe;
}

std::int64_t ms_between(monotonic_time from, monotonic_time to)
{
    return std::chrono::duration_cast<milliseconds>(to - from).count();
}

/// What distinguishes the causes of a call without an answer.
std::string describe(const request_record& seen)
{
    std::string run = "never";
    if (seen.runs > 0)
    {
        run = seen.run_open
                  ? "open"
                  : fmt::format("ended {} ms before",
                                ms_between(seen.run_ended, seen.ended));
    }
    return fmt::format(
        "kind {}, status {}, sent {} ms before, run: {}; {}, {}: "
        "{}",
        static_cast<int>(seen.kind), seen.status,
        ms_between(seen.sent, seen.ended), run, to_string(seen.lost.ran),
        to_string(seen.lost.code), seen.lost.text);
}

} // namespace

soak_ledger::soak_ledger(const transport::clock& clock, soak_bounds bounds)
    : clock_(clock),
      bounds_(bounds),
      started_(clock.monotonic_now())
{}

void soak_ledger::broken(const std::string& promise, const std::string& how)
{
    auto text = fmt::format("{}: {}", promise, how);
    if (findings_.size() < most_findings && known_findings_.insert(text).second)
    {
        const auto after = std::chrono::duration_cast<milliseconds>(
            clock_.monotonic_now() - started_);
        findings_.push_back(
            fmt::format("{} (after {} ms)", text, after.count()));
    }
}

// [faults] -------------------------------------------------------------------

std::size_t soak_ledger::begin_fault(fault_place place, std::size_t which,
                                     bool planned, std::string what)
{
    faults_.push_back(
        {place, which, planned, std::move(what), clock_.monotonic_now()});
    return faults_.size() - 1;
}

void soak_ledger::end_fault(std::size_t number)
{
    faults_.at(number).to = clock_.monotonic_now();
}

bool soak_ledger::touches(const fault_record& fault, monotonic_time from,
                          monotonic_time to) const
{
    return fault.from <= to && (fault.to == monotonic_time::max() ||
                                fault.to + bounds_.contact >= from);
}

bool soak_ledger::calm(fault_place place, std::size_t which,
                       monotonic_time from, monotonic_time to) const
{
    return std::none_of(faults_.begin(), faults_.end(), [&](const auto& fault) {
        const bool here = fault.place == fault_place::replica ||
                          (fault.place == place && fault.which == which);
        // Also a planned stop of a replica makes the core unstable.
        const bool counts =
            !fault.planned || fault.place == fault_place::replica;
        return here && counts && touches(fault, from, to);
    });
}

// [callers] ------------------------------------------------------------------

void soak_ledger::sent(const std::string& id, request_record record)
{
    record.sent = clock_.monotonic_now();
    requests_[id] = record;
}

void soak_ledger::answered(const std::string& id, int status,
                           const transport::http1_call_end& how)
{
    auto& seen = requests_.at(id);
    seen.ended = clock_.monotonic_now();
    seen.status = status;
    seen.complete = how.complete;
    seen.lost = how.error;
    seen.over = true;
    if (seen.kind == route_kind::probe && status > 0 && status < first_error)
    {
        shown_[{seen.entry, seen.entry_life}].emplace(seen.version, seen.ended);
    }
}

void soak_ledger::left(const std::string& id)
{
    auto& seen = requests_.at(id);
    seen.ended = clock_.monotonic_now();
    seen.left = true;
    seen.over = true;
}

// [servers] ------------------------------------------------------------------

void soak_ledger::run_began(const std::string& id, std::size_t server,
                            bool resumed)
{
    const auto found = requests_.find(id);
    if (found == requests_.end())
    {
        return broken(
            "unasked",
            fmt::format("server {} ran {} that no caller sent", server, id));
    }
    auto& seen = found->second;
    seen.runs += resumed ? 0 : 1;
    seen.run_open = true;
    if (seen.runs > 1 && !repeatable(seen.kind))
    {
        broken("unsafe requests run at most once",
               fmt::format("{} ran {} times", id, seen.runs));
    }
    if (seen.over && promises_not_run(seen.status))
    {
        broken("\"not run\" is true",
               fmt::format("{} ran after status {}", id, seen.status));
    }
}

void soak_ledger::run_ended(const std::string& id)
{
    if (const auto found = requests_.find(id); found != requests_.end())
    {
        found->second.run_open = false;
        found->second.run_ended = clock_.monotonic_now();
    }
}

void soak_ledger::arrived(const std::string& id, std::size_t server,
                          bool target)
{
    const auto now = clock_.monotonic_now();
    const auto found = requests_.find(id);
    if (found == requests_.end())
    {
        return;
    }
    if (move_runs_)
    {
        ++move_all_;
        move_target_ += target ? 1 : 0;
    }
    auto& seen = found->second;
    if (seen.runs > 0)
    {
        repeats_.push_back(now);
    }
    judge_rate(seen, server);
    const auto since = draining_since_.find(server);
    if (since != draining_since_.end() && now - since->second > bounds_.drain &&
        calm(fault_place::entry, seen.entry, since->second, now) &&
        calm(fault_place::platform, 0, since->second, now) &&
        calm(fault_place::server, server, since->second, now))
    {
        broken("a leaving server gets no new work",
               fmt::format(
                   "{} reached server {} {} ms after it was draining", id,
                   server,
                   std::chrono::duration_cast<milliseconds>(now - since->second)
                       .count()));
    }
}

void soak_ledger::named_rate(std::size_t server, double per_s)
{
    limits_[server] = {per_s, clock_.monotonic_now(), {}, {}};
}

void soak_ledger::told_rate(const std::string& id, std::size_t server)
{
    const auto seen = requests_.find(id);
    if (seen == requests_.end())
    {
        return;
    }
    const auto now = clock_.monotonic_now();
    const auto entry = seen->second.entry;
    const auto [told, first] = limits_[server].told.try_emplace(entry, now);
    if (!first && hit_since(entry, told->second))
    {
        told->second = now;
    }
}

/// @return Whether a fault or a planned stop hit an entry at a time or later.
bool soak_ledger::hit_since(std::size_t entry, monotonic_time since) const
{
    return std::any_of(faults_.begin(), faults_.end(), [&](const auto& fault) {
        return fault.place == fault_place::entry && fault.which == entry &&
               fault.to >= since;
    });
}

/// Counts requests of entries that have been told and that nothing hit since.
void soak_ledger::judge_rate(const request_record& seen, std::size_t server)
{
    const auto found = limits_.find(server);
    if (found == limits_.end() || found->second.per_s == 0)
    {
        return;
    }
    auto& limit = found->second;
    const auto now = clock_.monotonic_now();
    const auto told = limit.told.find(seen.entry);
    if (now < limit.since + bounds_.contact || told == limit.told.end() ||
        now < told->second + bounds_.told_slack ||
        hit_since(seen.entry, told->second))
    {
        return;
    }
    while (!limit.arrivals.empty() &&
           limit.arrivals.front() + bounds_.rate_window < now)
    {
        limit.arrivals.pop_front();
    }
    limit.arrivals.push_back(now);
    const double window =
        std::chrono::duration<double>(bounds_.rate_window).count();
    const double allowed =
        bounds_.rate_tolerance * limit.per_s * window + bounds_.rate_slack;
    if (static_cast<double>(limit.arrivals.size()) > allowed)
    {
        broken("a server gets no more than the rate that it named",
               fmt::format("server {} named {:.1f} a second and got more than "
                           "{:.0f} in {} s",
                           server, limit.per_s, allowed, window));
    }
}

void soak_ledger::brittle(std::size_t servers)
{
    const double allowed =
        bounds_.falls +
        bounds_.falls_of_servers * static_cast<double>(brittle_servers_);
    if (static_cast<double>(falls_) > allowed)
    {
        broken("brittle servers are not made to fall over",
               fmt::format("{} falls of {} servers, allowed {:.1f}", falls_,
                           brittle_servers_, allowed));
    }
    brittle_servers_ = servers;
    brittle_since_ = clock_.monotonic_now();
    falls_ = 0;
}

void soak_ledger::fell_over()
{
    if (clock_.monotonic_now() >= brittle_since_ + bounds_.contact)
    {
        ++falls_;
    }
}

void soak_ledger::draining(std::size_t server)
{
    draining_since_[server] = clock_.monotonic_now();
}

// [cold_servers] -------------------------------------------------------------

void soak_ledger::became_cold(std::size_t server, double per_s,
                              monotonic_time until)
{
    cold_[server] = {per_s, until, {}};
}

void soak_ledger::arrived_cold(std::size_t server)
{
    const auto now = clock_.monotonic_now();
    const auto found = cold_.find(server);
    if (found == cold_.end() || now >= found->second.until)
    {
        return;
    }
    auto& [per_s, until, arrivals] = found->second;
    arrivals.push_back(now);
    while (now - arrivals.front() >= std::chrono::seconds{1})
    {
        arrivals.pop_front();
    }
    most_to_cold_ = std::max(most_to_cold_, arrivals.size());
    const double allowed = bounds_.cold_ratio * per_s + bounds_.cold_slack;
    if (static_cast<double>(arrivals.size()) > allowed)
    {
        broken("a cold server gets no more than it tolerates",
               fmt::format("server {} got more than {} requests in a second",
                           server, allowed));
    }
}

// [evacuations] --------------------------------------------------------------

void soak_ledger::evacuated(const std::string& domain)
{
    evacuations_[domain] = {clock_.monotonic_now(), {}};
}

void soak_ledger::withdrawing(const std::string& domain)
{
    evacuations_.erase(domain);
}

bool soak_ledger::hit_within(fault_place place, std::size_t which,
                             monotonic_time from, monotonic_time to,
                             std::string_view what) const
{
    return std::any_of(faults_.begin(), faults_.end(), [&](const auto& fault) {
        return fault.place == place && fault.which == which &&
               (what.empty() || fault.what == what) && fault.from <= to &&
               fault.to >= from;
    });
}

/// @return Whether an entry must apply an evacuation: nothing has hit it
///     lately, or it was to apply it before and has not been restarted since.
bool soak_ledger::knows_evacuation(std::size_t entry,
                                   monotonic_time acknowledged) const
{
    constexpr auto place = fault_place::entry;
    const auto now = clock_.monotonic_now();
    const auto in_force = acknowledged + bounds_.evacuation;
    const auto untouched_at = [&](monotonic_time when) {
        return !hit_within(place, entry, when - bounds_.contact, when);
    };
    return untouched_at(now) ||
           (untouched_at(in_force) &&
            !hit_within(place, entry, in_force, now, "stop") &&
            !hit_within(place, entry, in_force, now, "kill"));
}

void soak_ledger::arrived_evacuated(const std::string& id, std::size_t server,
                                    const std::string& domain)
{
    const auto now = clock_.monotonic_now();
    const auto found = evacuations_.find(domain);
    const auto seen = requests_.find(id);
    if (found == evacuations_.end() || seen == requests_.end() ||
        now - found->second.acknowledged <= bounds_.evacuation)
    {
        return;
    }
    auto& [acknowledged, reported] = found->second;
    // A harmed link may deliver what was sent long before.
    const bool held = hit_within(fault_place::server, server,
                                 now - bounds_.contact, now, "server");
    const auto entry = seen->second.entry;
    if (!held && knows_evacuation(entry, acknowledged) &&
        reported.insert(entry).second)
    {
        broken("an acknowledged evacuation is in force in time and stays",
               fmt::format(
                   "{} from entry {} reached server {} of {} {} ms after the "
                   "acknowledgement",
                   id, entry, server, domain,
                   std::chrono::duration_cast<milliseconds>(now - acknowledged)
                       .count()));
    }
}

// [operators] ----------------------------------------------------------------

void soak_ledger::accepted(std::uint64_t version)
{
    accepted_at_.emplace(version, clock_.monotonic_now());
    newest_accepted_ = std::max(newest_accepted_, version);
}

void soak_ledger::read_back(monotonic_time asked, std::uint64_t version)
{
    for (const auto& [number, when] : accepted_at_)
    {
        if (number > version && when + bounds_.apply < asked)
        {
            return broken(
                "accepted configuration never reverts",
                fmt::format("version {} was read after {} had been accepted",
                            version, number));
        }
    }
}

// [platform] -----------------------------------------------------------------

void soak_ledger::ordered(const std::string& holder, std::uint64_t token,
                          bool usage, std::uint64_t window,
                          const std::string& counts)
{
    const auto known = holders_.emplace(token, holder);
    if (known.first->second != holder)
    {
        broken("one holder of a duty",
               fmt::format("{} and {} both used fence {}", holder,
                           known.first->second, token));
    }
    if (token < highest_token_)
    {
        broken("one holder of a duty",
               fmt::format("{} ordered with fence {} after {}", holder, token,
                           highest_token_));
    }
    highest_token_ = std::max(highest_token_, token);
    if (usage)
    {
        const auto told = usage_.emplace(window, counts);
        if (told.first->second != counts)
        {
            broken("one report for a window",
                   fmt::format("window {} was reported as {} and as {}", window,
                               told.first->second, counts));
        }
    }
}

void soak_ledger::begin_move(bool bad)
{
    move_runs_ = true;
    move_bad_ = bad;
    move_all_ = 0;
    move_target_ = 0;
}

void soak_ledger::end_move()
{
    move_runs_ = false;
    const double most =
        bounds_.bad_version_share * static_cast<double>(move_all_) +
        static_cast<double>(bounds_.bad_version_requests);
    if (move_bad_ && static_cast<double>(move_target_) > most)
    {
        broken(
            "a bad version gets a small share",
            fmt::format("it got {} of {} requests", move_target_, move_all_));
    }
}

// [judging] ------------------------------------------------------------------

void soak_ledger::judge(monotonic_time steady_from)
{
    for (const auto& [id, seen] : requests_)
    {
        judge_request(id, seen);
        judge_stop(id, seen);
        judge_probe(id, seen);
    }
    judge_recovery(steady_from);
    judge_repeats();
    judge_leavers();
}

void soak_ledger::judge_request(const std::string& id,
                                const request_record& seen)
{
    if (seen.over && !seen.left && promises_not_run(seen.status) &&
        seen.runs > 0 && !repeatable(seen.kind))
    {
        broken("\"not run\" is true",
               fmt::format("{} ran and was answered {}", id, seen.status));
    }
    if (seen.status > 0 && seen.status < first_error && seen.complete &&
        seen.runs == 0)
    {
        broken(
            "answers are the servers'",
            fmt::format("{} was answered {} and never ran", id, seen.status));
    }
}

/// A stop that was planned, with nothing unplanned beside it, cuts off nothing.
void soak_ledger::judge_stop(const std::string& id, const request_record& seen)
{
    const bool cut = seen.over && !seen.left && !seen.complete;
    const bool passed_on = seen.runs > 0;
    const bool read = seen.ended - seen.sent > bounds_.loss_slack;
    if (!cut || !(passed_on || read))
    {
        return;
    }
    const bool alone =
        std::none_of(faults_.begin(), faults_.end(), [&](const auto& fault) {
            return !fault.planned && touches(fault, seen.sent, seen.ended);
        });
    const auto last_sixth = bounds_.grace * 5 / 6;
    for (const auto& fault : faults_)
    {
        const bool stop = fault.planned && fault.place == fault_place::entry &&
                          fault.which == seen.entry && fault.what == "stop" &&
                          fault.from <= seen.ended && seen.sent <= fault.to &&
                          seen.ended <= fault.from + last_sixth;
        if (stop && alone)
        {
            broken("planned stops cut off nothing",
                   fmt::format("{} ended without an answer, {} ms after its "
                               "entry was told to stop ({})",
                               id, ms_between(fault.from, seen.ended),
                               describe(seen)));
            return;
        }
    }
}

void soak_ledger::judge_probe(const std::string& id, const request_record& seen)
{
    constexpr int no_route = 404;
    if (seen.kind != route_kind::probe || seen.status != no_route)
    {
        return;
    }
    const auto accepted = accepted_at_.find(seen.version);
    if (accepted != accepted_at_.end() &&
        seen.sent > accepted->second + bounds_.apply &&
        calm(fault_place::entry, seen.entry, seen.sent, seen.ended))
    {
        broken("accepted configuration is in force in time",
               fmt::format("{}: entry {} did not know version {}", id,
                           seen.entry, seen.version));
    }
    const auto shown = shown_.find({seen.entry, seen.entry_life});
    if (shown == shown_.end())
    {
        return;
    }
    const auto before = shown->second.lower_bound(seen.version);
    if (before != shown->second.end() &&
        seen.sent > before->second + bounds_.regress_slack)
    {
        broken("accepted configuration never reverts",
               fmt::format("{}: entry {} forgot version {}", id, seen.entry,
                           seen.version));
    }
}

void soak_ledger::judge_recovery(monotonic_time steady_from)
{
    constexpr double least_served = 0.9;
    std::uint64_t all = 0;
    std::uint64_t served = 0;
    for (const auto& [id, seen] : requests_)
    {
        if (seen.sent < steady_from || !seen.over || seen.left ||
            seen.kind == route_kind::probe)
        {
            continue;
        }
        ++all;
        served += seen.complete && seen.status < first_error ? 1 : 0;
    }
    if (all == 0 ||
        static_cast<double>(served) < least_served * static_cast<double>(all))
    {
        broken("service recovers",
               fmt::format("{} of {} requests were served after all faults "
                           "were over",
                           served, all));
    }
}

void soak_ledger::judge_repeats()
{
    std::vector<monotonic_time> all;
    for (const auto& [id, seen] : requests_)
    {
        all.push_back(seen.sent);
    }
    std::sort(all.begin(), all.end());
    std::sort(repeats_.begin(), repeats_.end());
    for (std::size_t at = 0; at < repeats_.size(); ++at)
    {
        const auto from = repeats_[at];
        const auto to = from + bounds_.repeat_window;
        const auto count = [&](const auto& times, auto since) {
            return std::upper_bound(times.begin(), times.end(), to) -
                   std::lower_bound(times.begin(), times.end(), since);
        };
        const auto asked = std::max(count(all, from),
                                    count(all, from - bounds_.repeat_window) -
                                        count(all, from));
        const double most = bounds_.repeat_ratio * static_cast<double>(asked) +
                            static_cast<double>(bounds_.repeat_slack);
        if (static_cast<double>(count(repeats_, from)) > most)
        {
            return broken("repeats are bounded",
                          fmt::format("{} repeats beside {} requests",
                                      count(repeats_, from), asked));
        }
    }
}

/// Work whose caller has left ends soon.
void soak_ledger::judge_leavers()
{
    constexpr milliseconds soon{500};
    constexpr std::uint64_t enough = 8;
    std::uint64_t all = 0;
    std::uint64_t late = 0;
    for (const auto& [id, seen] : requests_)
    {
        const bool counts =
            seen.left && seen.runs > 0 && repeatable(seen.kind) &&
            calm(fault_place::entry, seen.entry, seen.sent, seen.ended + soon);
        if (!counts)
        {
            continue;
        }
        ++all;
        late += seen.run_open || seen.run_ended > seen.ended + soon ? 1 : 0;
    }
    if (late >= enough && late * 4 > all)
    {
        broken("work ends when its caller has left",
               fmt::format("{} of {} went on", late, all));
    }
}

std::string soak_ledger::summary() const
{
    std::map<std::string, std::uint64_t> counts;
    for (const auto& [id, seen] : requests_)
    {
        const auto outcome = !seen.over  ? "open"
                             : seen.left ? "left"
                             : seen.complete && seen.status < first_error
                                 ? "served"
                             : promises_not_run(seen.status) ? "not_run"
                             : seen.status > 0 && seen.complete
                                 ? fmt::format("status_{}", seen.status)
                                 : std::string{"cut"};
        ++counts[seen.kind == route_kind::probe
                     ? "probe_" + std::string{outcome}
                     : std::string{outcome}];
    }
    std::string text = fmt::format(
        "{} faults, {} repeats, at most {} a second to a cold server",
        faults_.size(), repeats_.size(), most_to_cold_);
    for (const auto& [name, count] : counts)
    {
        text += fmt::format(", {} {}", name, count);
    }
    return text;
}

} // namespace hyssopdeal::soak
