#include <hyssopdeal/coordination/version_comparison.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <optional>
#include <set>

#include <fmt/format.h>

namespace hyssopdeal::coordination
{

namespace
{

/// Counts of one side of a cell.
struct side
{
    std::uint64_t requests = 0;
    std::uint64_t bad = 0;
    latency_counts first_token;
    latency_counts between_tokens;

    void merge(const version_cell& cell)
    {
        requests += cell.requests;
        bad += cell.failed + cell.broken + cell.empty;
        first_token.merge(cell.first_token);
        between_tokens.merge(cell.between_tokens);
    }

    void merge(const side& other)
    {
        requests += other.requests;
        bad += other.bad;
        first_token.merge(other.first_token);
        between_tokens.merge(other.between_tokens);
    }

    /// Halves all counts, so that newer answers weigh more.
    void age()
    {
        const auto halve = [](std::uint64_t value) { return value / 2; };
        requests /= 2;
        bad /= 2;
        std::ranges::transform(first_token.bins, first_token.bins.begin(),
                               halve);
        std::ranges::transform(between_tokens.bins, between_tokens.bins.begin(),
                               halve);
    }
};

/// An upper bound of a rate at about two standard deviations.
double upper_rate(std::uint64_t hits, std::uint64_t total)
{
    const auto k = static_cast<double>(hits);
    const auto n = static_cast<double>(total);
    return std::min(1.0, (k + 2 + 2 * std::sqrt(k + 1)) / (n + 4));
}

struct load_cell
{
    side old_memory; ///< Of all windows, aged.
    side old_window; ///< Since the last judgement.
    side new_window; ///< Since the last judgement.
    bool old_seen = false;
    bool new_seen = false;
    sequential_test failures;
    sequential_test first_token;
    sequential_test between_tokens;
    sequential_test first_token_tail;
    sequential_test between_tokens_tail;

    [[nodiscard]] bool worse() const
    {
        return failures.verdict() == test_verdict::worse ||
               first_token.verdict() == test_verdict::worse ||
               first_token_tail.verdict() == test_verdict::worse ||
               between_tokens_tail.verdict() == test_verdict::worse ||
               between_tokens.verdict() == test_verdict::worse;
    }
};

struct route_state
{
    std::array<load_cell, load_bucket_count> loads;
    sequential_test failures; ///< Over all loads, to pass the route.
    sequential_test first_token;
    sequential_test between_tokens;
    std::uint64_t new_requests = 0;
    std::uint64_t new_bad = 0;
    std::uint64_t old_requests = 0;
    std::uint64_t old_bad = 0;
    bool has_first_token = false;
    bool has_gaps = false;

    [[nodiscard]] test_verdict verdict() const
    {
        if (std::ranges::any_of(loads, &load_cell::worse))
        {
            return test_verdict::worse;
        }
        const auto passed = [](const sequential_test& test) {
            return test.verdict() != test_verdict::undecided;
        };
        const bool all = passed(failures) &&
                         (!has_first_token || passed(first_token)) &&
                         (!has_gaps || passed(between_tokens));
        return all ? test_verdict::not_worse : test_verdict::undecided;
    }
};

/// Which report of an entry came last.
struct report_position
{
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;

    [[nodiscard]] bool after(const report_position& other) const
    {
        return incarnation != other.incarnation
                   ? incarnation > other.incarnation
                   : sequence > other.sequence;
    }
};

/// Which latency is meant.
using latency_member = latency_counts side::*;

} // namespace

struct version_comparison::impl
{
    comparison_settings settings;
    std::vector<std::string> old_versions;
    std::string new_version;
    std::chrono::milliseconds first_token_target{};
    std::map<std::string, route_state, std::less<>> routes;
    std::map<std::string, report_position, std::less<>> seen;
    std::map<std::string, std::vector<guard_trip>, std::less<>> trips;
    std::uint64_t new_requests = 0;
    sequential_test all_failures; ///< Over all routes and loads.
    sequential_test all_first_token;
    sequential_test all_between_tokens;
    sequential_test all_first_token_tail;
    sequential_test all_between_tokens_tail;
    tail_summary first_token_tail;
    tail_summary between_tokens_tail;

    route_state& route_of(const std::string& name)
    {
        const auto found = routes.find(name);
        if (found != routes.end())
        {
            return found->second;
        }
        auto& made = routes[name];
        made.failures = sequential_test{settings.failures};
        made.first_token = sequential_test{settings.latency};
        made.between_tokens = sequential_test{settings.latency};
        for (auto& cell : made.loads)
        {
            cell.failures = made.failures;
            cell.first_token = made.first_token;
            cell.between_tokens = made.between_tokens;
            cell.first_token_tail = made.first_token;
            cell.between_tokens_tail = made.first_token;
        }
        return made;
    }

    /// The old version at the same load, else at the next higher one with
    /// enough answers, else at all of these together: being slower there, it
    /// raises no false alarm.
    std::optional<side> reference_of(const route_state& route,
                                     std::size_t load) const
    {
        side pooled;
        for (auto at = load; at < load_bucket_count; ++at)
        {
            const auto& memory = route.loads.at(at).old_memory;
            if (memory.requests >= settings.reference_requests)
            {
                return memory;
            }
            pooled.merge(memory);
        }
        return pooled.requests >= settings.reference_requests
                   ? std::optional{pooled}
                   : std::nullopt;
    }

    double failure_reference(const route_state& route,
                             const load_cell& cell) const
    {
        side all;
        for (const auto& item : route.loads)
        {
            all.requests += item.old_memory.requests;
            all.bad += item.old_memory.bad;
        }
        double rate = settings.failure_rate_unknown;
        if (all.requests >= settings.reference_requests)
        {
            rate = upper_rate(all.bad, all.requests);
        }
        else if (all.bad > 0)
        {
            // Some routes fail on every version.
            rate = std::max(rate, static_cast<double>(all.bad + 1) /
                                      static_cast<double>(all.requests + 2));
        }
        const auto& now = cell.old_window;
        if (now.requests > 0 && now.bad * 4 > now.requests)
        {
            rate = std::max(rate, upper_rate(now.bad, now.requests));
        }
        return rate + settings.failure_tolerance;
    }

    /// Judges the latencies that exceed nearly all of the old version's: where
    /// only some answers are slow, these differ most.
    void judge_tail(const route_state& route, std::size_t load,
                    latency_member member, sequential_test& by_load,
                    sequential_test& overall, tail_summary& summary) const
    {
        const auto& cell = route.loads.at(load);
        const auto& fresh = cell.new_window.*member;
        const auto reference = reference_of(route, load);
        if (settings.tail_quantile <= 0 || fresh.total() == 0 || !reference ||
            ((*reference).*member).total() < settings.reference_requests)
        {
            return;
        }
        const auto& old = (*reference).*member;
        const auto bin = old.quantile_bin(settings.tail_quantile);
        const auto& now = cell.old_window.*member;
        const double rate =
            std::max(upper_rate(old.above(bin), old.total()),
                     now.total() >= settings.reference_requests
                         ? upper_rate(now.above(bin), now.total())
                         : 0) +
            settings.tail_tolerance;
        const auto slow = fresh.above(bin);
        by_load.add(slow, fresh.total(), rate);
        overall.add(slow, fresh.total(), rate);
        summary.answers += fresh.total();
        summary.slow += slow;
        summary.expected_slow += rate * static_cast<double>(fresh.total());
    }

    /// Judges the new answers, and keeps them for later while there is nothing
    /// to compare them with.
    void judge_latency(route_state& route, std::size_t load,
                       latency_member member, sequential_test& by_load,
                       sequential_test& by_route, sequential_test& overall)
    {
        auto& fresh = route.loads.at(load).new_window.*member;
        const auto total = fresh.total();
        if (total == 0)
        {
            return;
        }
        const auto reference = reference_of(route, load);
        std::size_t bin = 0;
        double rate = 0;
        if (reference &&
            ((*reference).*member).total() >= settings.reference_requests)
        {
            const auto& old = (*reference).*member;
            bin = old.quantile_bin(settings.slow_quantile);
            rate = upper_rate(old.above(bin), old.total());
            const auto& now = route.loads.at(load).old_window.*member;
            if (now.total() >= settings.reference_requests)
            {
                rate = std::max(rate, upper_rate(now.above(bin), now.total()));
            }
        }
        else if (member == &side::first_token && old_gone(route))
        {
            latency_counts target;
            target.add(first_token_target);
            bin = target.quantile_bin(1);
            rate = 1 - settings.slow_quantile;
        }
        else
        {
            return;
        }
        const auto slow = fresh.above(bin);
        by_load.add(slow, total, rate + settings.slow_tolerance);
        by_route.add(slow, total, rate + settings.slow_tolerance);
        overall.add(slow, total, rate + settings.slow_tolerance);
        fresh = {};
    }

    /// A leader elected after the old version lost its traffic never saw it.
    static bool old_gone(const route_state& route)
    {
        return route.old_requests == 0;
    }

    void judge(route_state& route, std::size_t load)
    {
        auto& cell = route.loads.at(load);
        const auto& fresh = cell.new_window;
        if (fresh.requests > 0)
        {
            const auto rate = failure_reference(route, cell);
            cell.failures.add(fresh.bad, fresh.requests, rate);
            route.failures.add(fresh.bad, fresh.requests, rate);
            all_failures.add(fresh.bad, fresh.requests, rate);
        }
        judge_tail(route, load, &side::first_token, cell.first_token_tail,
                   all_first_token_tail, first_token_tail);
        judge_tail(route, load, &side::between_tokens, cell.between_tokens_tail,
                   all_between_tokens_tail, between_tokens_tail);
        judge_latency(route, load, &side::first_token, cell.first_token,
                      route.first_token, all_first_token);
        judge_latency(route, load, &side::between_tokens, cell.between_tokens,
                      route.between_tokens, all_between_tokens);
    }

    void remember_old(route_state& route) const
    {
        for (auto& cell : route.loads)
        {
            cell.old_memory.merge(cell.old_window);
            if (cell.old_memory.requests > settings.memory)
            {
                cell.old_memory.age();
            }
        }
    }
};

version_comparison::version_comparison(
    comparison_settings settings, std::vector<std::string> old_versions,
    std::string new_version, std::chrono::milliseconds first_token_target)
    : impl_{std::make_unique<impl>()}
{
    impl_->settings = settings;
    impl_->all_failures = sequential_test{settings.failures};
    impl_->all_first_token = sequential_test{settings.latency};
    impl_->all_between_tokens = sequential_test{settings.latency};
    impl_->all_first_token_tail = sequential_test{settings.latency};
    impl_->all_between_tokens_tail = sequential_test{settings.latency};
    impl_->old_versions = std::move(old_versions);
    impl_->new_version = std::move(new_version);
    impl_->first_token_target = first_token_target;
}

version_comparison::version_comparison(version_comparison&&) noexcept = default;
version_comparison&
version_comparison::operator=(version_comparison&&) noexcept = default;
version_comparison::~version_comparison() = default;

void version_comparison::on_report(const version_report& report)
{
    auto& last = impl_->seen[report.entry];
    const report_position position{report.incarnation, report.sequence};
    if (!position.after(last))
    {
        return;
    }
    last = position;
    auto& trips = impl_->trips[report.entry];
    trips.clear();
    std::ranges::copy_if(report.trips, std::back_inserter(trips),
                         [this](const guard_trip& trip) {
                             return trip.version == impl_->new_version;
                         });
    for (const auto& cell : report.cells)
    {
        const auto bad = cell.failed + cell.broken + cell.empty;
        const auto load = static_cast<std::size_t>(cell.load);
        if (cell.version == impl_->new_version)
        {
            auto& route = impl_->route_of(cell.route);
            route.loads.at(load).new_window.merge(cell);
            route.loads.at(load).new_seen = true;
            route.new_requests += cell.requests;
            route.new_bad += bad;
            route.has_first_token |= cell.first_token.total() > 0;
            route.has_gaps |= cell.between_tokens.total() > 0;
            impl_->new_requests += cell.requests;
        }
        else if (std::ranges::find(impl_->old_versions, cell.version) !=
                 impl_->old_versions.end())
        {
            auto& route = impl_->route_of(cell.route);
            route.loads.at(load).old_window.merge(cell);
            route.loads.at(load).old_seen = true;
            route.old_requests += cell.requests;
            route.old_bad += bad;
        }
    }
}

void version_comparison::close_window()
{
    for (auto& [name, route] : impl_->routes)
    {
        impl_->remember_old(route);
        for (std::size_t load = 0; load < load_bucket_count; ++load)
        {
            impl_->judge(route, load);
        }
        for (auto& cell : route.loads)
        {
            cell.old_window = {};
            cell.new_window.requests = 0;
            cell.new_window.bad = 0;
        }
    }
}

bool version_comparison::worse() const
{
    std::size_t entries = 0;
    for (const auto& [entry, trips] : impl_->trips)
    {
        entries += trips.empty() ? 0 : 1;
    }
    // With fewer entries than are asked for, all that there are confirm.
    const auto needed = std::min(impl_->settings.confirming_entries,
                                 std::max<std::size_t>(impl_->trips.size(), 1));
    if (entries >= needed)
    {
        return true;
    }
    for (const auto* test :
         {&impl_->all_failures, &impl_->all_first_token,
          &impl_->all_between_tokens, &impl_->all_first_token_tail,
          &impl_->all_between_tokens_tail})
    {
        if (test->verdict() == test_verdict::worse)
        {
            return true;
        }
    }
    return std::ranges::any_of(impl_->routes, [](const auto& item) {
        return item.second.verdict() == test_verdict::worse;
    });
}

std::vector<route_evidence> version_comparison::routes() const
{
    std::vector<route_evidence> result;
    for (const auto& [name, route] : impl_->routes)
    {
        result.push_back({name, route.verdict(), route.new_requests,
                          route.new_bad, route.old_requests, route.old_bad});
    }
    return result;
}

const tail_summary& version_comparison::first_token_tail() const
{
    return impl_->first_token_tail;
}

const tail_summary& version_comparison::between_tokens_tail() const
{
    return impl_->between_tokens_tail;
}

std::uint64_t version_comparison::new_requests() const
{
    return impl_->new_requests;
}

bool version_comparison::seen_at_load() const
{
    const auto highest = [this](bool load_cell::*seen) {
        std::size_t result = 0;
        for (const auto& [name, route] : impl_->routes)
        {
            for (std::size_t load = 0; load < load_bucket_count; ++load)
            {
                if (route.loads.at(load).*seen)
                {
                    result = std::max(result, load + 1);
                }
            }
        }
        return result;
    };
    return highest(&load_cell::new_seen) >= highest(&load_cell::old_seen);
}

std::string version_comparison::text() const
{
    auto all = routes();
    std::ranges::stable_sort(all, [](const auto& a, const auto& b) {
        return a.verdict > b.verdict;
    });
    std::string result;
    for (const auto& item : all)
    {
        constexpr std::array<const char*, 3> names{"undecided", "not_worse",
                                                   "worse"};
        const auto& route = impl_->routes.at(item.route);
        std::string why;
        for (std::size_t load = 0; load < load_bucket_count; ++load)
        {
            const auto& cell = route.loads.at(load);
            const auto name = to_string(static_cast<load_bucket>(load));
            const auto note = [&](const sequential_test& test,
                                  const char* what) {
                if (test.verdict() == test_verdict::worse)
                {
                    why += fmt::format(" {}@{}", what, name);
                }
            };
            note(cell.failures, "failures");
            note(cell.first_token, "first_token");
            note(cell.between_tokens, "between_tokens");
            note(cell.first_token_tail, "first_token_tail");
            note(cell.between_tokens_tail, "between_tokens_tail");
        }
        result += fmt::format(
            "route={} verdict={} new={}/{} old={}/{}{}{}\n", item.route,
            names.at(static_cast<std::size_t>(item.verdict)), item.new_bad,
            item.new_requests, item.old_bad, item.old_requests,
            why.empty() ? "" : " because", why);
    }
    const auto add_tail = [&](const char* name, const tail_summary& tail) {
        if (tail.answers > 0)
        {
            result += fmt::format("{} slow={}/{} expected={:.1f}\n", name,
                                  tail.slow, tail.answers, tail.expected_slow);
        }
    };
    add_tail("first_token_tail", impl_->first_token_tail);
    add_tail("between_tokens_tail", impl_->between_tokens_tail);
    for (const auto& [entry, trips] : impl_->trips)
    {
        for (const auto& trip : trips)
        {
            result += fmt::format("guard entry={} route={} failures={}\n",
                                  entry, trip.route, trip.failures_in_a_row);
        }
    }
    return result;
}

} // namespace hyssopdeal::coordination
