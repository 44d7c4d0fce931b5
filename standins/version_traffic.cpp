#include "version_traffic.hpp"

#include <algorithm>
#include <cmath>
#include <queue>
#include <random>

#include <hyssopdeal/coordination/version_guard.hpp>
#include <hyssopdeal/coordination/version_observer.hpp>
#include <hyssopdeal/coordination/version_shadow.hpp>

namespace hyssopdeal::standins
{

namespace
{

using coordination::answer_kind;
using coordination::load_bucket;
using std::chrono::microseconds;
using transport::monotonic_time;

/// Something that an entry sees at a later time.
struct pending_event
{
    monotonic_time at{};
    std::uint32_t entry = 0;
    std::uint32_t route = 0;
    bool is_new = false;
    bool is_end = false; ///< Else a first token.
    bool is_copy = false;
    std::uint32_t server = 0;
    load_bucket load = load_bucket::light;
    answer_kind answer = answer_kind::whole;
    microseconds first_token{};
    microseconds between_tokens{};
    microseconds busy{};

    bool operator>(const pending_event& other) const
    {
        return at > other.at;
    }
};

struct entry_state
{
    coordination::version_observer observer;
    coordination::version_guard guard;
    coordination::version_shadow shadow;
};

double seconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double>(time).count();
}

microseconds of_seconds(double value)
{
    return microseconds{static_cast<std::int64_t>(value * 1e6)};
}

} // namespace

struct version_traffic::impl
{
    traffic_settings settings;
    std::mt19937_64 random;
    monotonic_time now{};
    monotonic_time next_arrival{};
    std::vector<entry_state> entries;
    std::priority_queue<pending_event, std::vector<pending_event>,
                        std::greater<>>
        pending;
    std::vector<std::uint32_t> old_running;
    std::vector<std::uint32_t> new_running;
    std::optional<monotonic_time> first_new;
    std::discrete_distribution<std::uint32_t> route_choice;
    traffic_totals totals;

    double uniform()
    {
        return std::uniform_real_distribution<double>{}(random);
    }

    double spread()
    {
        return std::lognormal_distribution<double>{0, settings.spread}(random);
    }

    void deliver(const pending_event& event)
    {
        auto& entry = entries.at(event.entry);
        const auto& version =
            event.is_new ? settings.new_version : settings.old_version;
        const auto& route = settings.routes.at(event.route).name;
        if (!event.is_end)
        {
            entry.observer.on_first_token(settings.service, version, route,
                                          event.load, event.first_token);
            return;
        }
        auto& running = event.is_new ? new_running : old_running;
        --running.at(event.server);
        coordination::version_observation seen;
        seen.service = settings.service;
        seen.version = version;
        seen.route = route;
        seen.load = event.load;
        seen.answer = event.answer;
        seen.between_tokens = event.between_tokens;
        seen.busy = event.busy;
        entry.observer.on_answer(seen);
        entry.guard.on_answer(event.at, version, route, event.answer);
        if (event.is_copy)
        {
            entry.shadow.on_ended();
        }
    }

    std::uint32_t least_of_two(const std::vector<std::uint32_t>& running,
                               std::uint32_t count)
    {
        std::uniform_int_distribution<std::uint32_t> pick{0, count - 1};
        const auto a = pick(random);
        const auto b = pick(random);
        return running.at(a) <= running.at(b) ? a : b;
    }

    [[nodiscard]] bool fault_shows(const pending_event& event,
                                   std::uint32_t running)
    {
        const auto& fault = settings.fault;
        return event.is_new && fault.kind != version_fault::none &&
               now - *first_new >= fault.after &&
               running > fault.above_running &&
               (fault.route.empty() ||
                fault.route == settings.routes.at(event.route).name) &&
               uniform() < fault.probability;
    }

    void note_bad(const pending_event& event, double share)
    {
        totals.bad += event.is_copy ? 0 : 1;
        totals.last_bad = now;
        if (!totals.shown)
        {
            totals.shown = now;
            totals.share_when_shown = share;
            totals.before_shown = totals.requests;
        }
    }

    void arrive(const std::vector<protocol::version_share>& shares,
                std::uint32_t ready_new_servers)
    {
        ++totals.requests;
        pending_event event;
        event.entry = static_cast<std::uint32_t>(
            std::uniform_int_distribution<std::size_t>{0, entries.size() -
                                                              1}(random));
        event.route = route_choice(random);
        auto& entry = entries.at(event.entry);
        entry.observer.on_offered(settings.service,
                                  protocol::priority_class::standard);
        const auto effective = entry.guard.effective_shares(now, shares);
        double new_share = 0;
        for (const auto& share : effective)
        {
            new_share +=
                share.version == settings.new_version ? share.share : 0;
        }
        if (settings.copies == request_copies::made && ready_new_servers > 0 &&
            !entry.shadow
                 .choose(shares, effective,
                         settings.routes.at(event.route).repeats, random)
                 .empty())
        {
            auto copy = event;
            copy.is_new = true;
            copy.is_copy = true;
            ++totals.copies;
            serve(copy, ready_new_servers, new_share);
        }
        event.is_new = ready_new_servers > 0 && uniform() < new_share;
        serve(event, ready_new_servers, new_share);
    }

    void serve(pending_event& event, std::uint32_t ready_new_servers,
               double share)
    {
        auto& running = event.is_new ? new_running : old_running;
        const auto servers =
            event.is_new ? ready_new_servers : settings.old_servers;
        event.server = least_of_two(running, servers);
        auto& on_server = running.at(event.server);
        if (event.is_new)
        {
            totals.new_version += event.is_copy ? 0 : 1;
            first_new = first_new.value_or(now);
        }
        event.load = coordination::bucket_of(on_server, settings.slots);
        const double load = static_cast<double>(on_server) /
                            static_cast<double>(settings.slots);
        ++on_server;
        schedule(event, load, fault_shows(event, on_server), share);
    }

    void schedule(pending_event& event, double load, bool faulty, double share)
    {
        const auto& route = settings.routes.at(event.route);
        const auto& fault = settings.fault;
        if (faulty)
        {
            note_bad(event, share);
        }
        const bool slow = faulty && fault.kind == version_fault::slow;
        const double factor = (1 + load + 2 * std::max(0.0, load - 1)) *
                              (slow ? fault.slow_factor : 1);
        double first = seconds(route.first_token) * factor * spread();
        const double gap = seconds(route.between_tokens) * factor * spread();
        double whole = first + gap * route.tokens;
        event.answer = uniform() < settings.ordinary_failures
                           ? answer_kind::failed
                           : answer_kind::whole;
        if (faulty && fault.kind == version_fault::fails)
        {
            event.answer = answer_kind::failed;
        }
        if (faulty && fault.kind == version_fault::empty)
        {
            event.answer = answer_kind::empty;
            whole = first;
        }
        if (faulty && fault.kind == version_fault::broken)
        {
            event.answer = answer_kind::broken;
            whole = first + (whole - first) * uniform();
        }
        if (event.answer == answer_kind::failed)
        {
            first = whole = 0.02;
        }
        else if (event.answer != answer_kind::empty)
        {
            event.first_token = of_seconds(first);
            event.at = now + event.first_token;
            pending.push(event);
        }
        event.is_end = true;
        event.between_tokens = event.answer == answer_kind::whole
                                   ? of_seconds(gap)
                                   : microseconds{0};
        event.busy = of_seconds(whole);
        event.at = now + event.busy;
        pending.push(event);
    }
};

version_traffic::version_traffic(traffic_settings settings, std::uint64_t seed,
                                 monotonic_time now)
    : impl_{std::make_unique<impl>()}
{
    impl_->settings = std::move(settings);
    impl_->random.seed(seed);
    impl_->now = now;
    impl_->next_arrival = now;
    const auto& kept = impl_->settings;
    std::vector<double> weights;
    for (const auto& route : kept.routes)
    {
        weights.push_back(route.weight);
    }
    impl_->route_choice = {weights.begin(), weights.end()};
    impl_->old_running.resize(kept.old_servers);
    impl_->new_running.resize(kept.new_servers);
    for (std::uint32_t i = 0; i < kept.entries; ++i)
    {
        impl_->entries.push_back(
            {coordination::version_observer{"entry-" + std::to_string(i), 1,
                                            now},
             coordination::version_guard{}, coordination::version_shadow{}});
    }
}

version_traffic::version_traffic(version_traffic&&) noexcept = default;
version_traffic::~version_traffic() = default;

void version_traffic::run_until(
    monotonic_time now, const std::vector<protocol::version_share>& shares,
    std::uint32_t ready_new_servers)
{
    auto& state = *impl_;
    std::exponential_distribution<double> gap{
        state.settings.requests_per_second};
    while (true)
    {
        const bool event_first = !state.pending.empty() &&
                                 state.pending.top().at <= state.next_arrival;
        const auto next =
            event_first ? state.pending.top().at : state.next_arrival;
        if (next > now)
        {
            break;
        }
        state.now = next;
        if (event_first)
        {
            const auto event = state.pending.top();
            state.pending.pop();
            state.deliver(event);
            continue;
        }
        state.arrive(shares, ready_new_servers);
        state.next_arrival = next + of_seconds(gap(state.random));
    }
    state.now = now;
}

std::vector<coordination::version_report>
version_traffic::take_reports(monotonic_time now)
{
    std::vector<coordination::version_report> result;
    for (auto& entry : impl_->entries)
    {
        for (auto& report : entry.observer.take_reports(now))
        {
            report.trips = entry.guard.trips(now);
            auto decoded = coordination::decode_version_report(
                coordination::encode(report));
            if (decoded)
            {
                result.push_back(std::move(*decoded));
            }
        }
    }
    return result;
}

const traffic_totals& version_traffic::totals() const
{
    return impl_->totals;
}

double version_traffic::needed_slots() const
{
    const auto& settings = impl_->settings;
    double weights = 0;
    double busy = 0;
    for (const auto& route : settings.routes)
    {
        weights += route.weight;
        busy += route.weight * seconds(route.first_token +
                                       route.between_tokens * route.tokens);
    }
    return settings.requests_per_second * busy / weights;
}

} // namespace hyssopdeal::standins
