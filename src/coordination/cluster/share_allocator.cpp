/// @file
/// Splits quotas among entries.

#include <hyssopdeal/coordination/cluster/share_allocator.hpp>

#include <algorithm>

namespace hyssopdeal::coordination
{

using transport::monotonic_time;

share_allocator::share_allocator(monotonic_time now, share_settings settings)
    : settings_(settings),
      since_(now)
{}

void share_allocator::set_eligible_entries(const std::set<std::string>& entries)
{
    known_ = entries;
}

std::optional<std::set<std::string>>
share_allocator::next_eligible_entries(monotonic_time now) const
{
    std::set<std::string> next;
    for (const auto& [name, state] : entries_)
    {
        next.insert(name);
    }
    // Those that have not reported may hold shares until these have expired.
    if (now - since_ < settings_.valid_for)
    {
        next.insert(known_.begin(), known_.end());
    }
    return next == known_ ? std::nullopt : std::optional{next};
}

bool share_allocator::others_unknown(monotonic_time now) const
{
    return now - since_ < settings_.valid_for &&
           std::any_of(known_.begin(), known_.end(), [&](const auto& name) {
               return !entries_.contains(name);
           });
}

double share_allocator::value_of(const amounts& from,
                                 const std::string& organisation)
{
    const auto found = from.find(organisation);
    return found == from.end() ? 0 : found->second;
}

void share_allocator::add(amounts& to, const amounts& values, double factor)
{
    for (const auto& [organisation, value] : values)
    {
        to[organisation] += factor * value;
    }
}

double share_allocator::target(const entry_state& entry,
                               const std::string& organisation) const
{
    const double all = value_of(demand_, organisation);
    const double own = value_of(entry.demand, organisation);
    const double even = 1.0 / static_cast<double>(entries_.size());
    const double by_demand = all > 0 ? own / all : even;
    return settings_.allocated_fraction *
           (settings_.even_part * even + (1 - settings_.even_part) * by_demand);
}

/// Drops what has expired and counts what is left.
void share_allocator::count_outstanding(monotonic_time now, entry_state& entry)
{
    while (!entry.grants.empty() && entry.grants.front().until <= now)
    {
        entry.grants.pop_front();
    }
    add(outstanding_, entry.outstanding, -1);
    entry.outstanding.clear();
    for (const auto& item : entry.grants)
    {
        for (const auto& [organisation, share] : item.shares)
        {
            auto& most = entry.outstanding[organisation];
            most = std::max(most, share);
        }
    }
    add(outstanding_, entry.outstanding, 1);
}

void share_allocator::forget_expired(monotonic_time now)
{
    // What has expired a moment ago still counts: that only grants less.
    constexpr std::chrono::milliseconds least_interval{250};
    // It costs some us for each entry: below a hundredth of the time.
    constexpr std::chrono::milliseconds for_each_entry{3};
    if (now < next_sweep_)
    {
        return;
    }
    next_sweep_ =
        now + std::max(least_interval,
                       for_each_entry * static_cast<int>(entries_.size()));
    // From the start: sums and differences add up rounding errors.
    outstanding_.clear();
    demand_.clear();
    for (auto at = entries_.begin(); at != entries_.end();)
    {
        auto& entry = at->second;
        entry.outstanding.clear();
        count_outstanding(now, entry);
        const bool silent = now - entry.reported > settings_.valid_for;
        if (silent && entry.grants.empty())
        {
            at = entries_.erase(at);
            continue;
        }
        add(demand_, entry.demand, 1);
        ++at;
    }
}

/// Grants of nearly the same time are kept as one that covers them all, which
/// only counts more as outstanding.
void share_allocator::add_grant(entry_state& entry, const grant& made)
{
    constexpr std::chrono::milliseconds same_time{1'000};
    if (entry.grants.empty() || made.until - entry.last_first > same_time)
    {
        entry.last_first = made.until;
        entry.grants.push_back(made);
        return;
    }
    auto& last = entry.grants.back();
    last.until = std::max(last.until, made.until);
    for (const auto& [organisation, share] : made.shares)
    {
        auto& most = last.shares[organisation];
        most = std::max(most, share);
    }
}

std::map<std::string, double>
share_allocator::on_report(monotonic_time now,
                           const protocol::entry_report& report,
                           const std::vector<std::string>& organisations)
{
    forget_expired(now);
    auto& own = entries_[report.entry];
    const bool known = own.incarnation == report.incarnation;
    if (!known)
    {
        // The process that held the older grants has ended.
        own.grants.clear();
        own.incarnation = report.incarnation;
    }
    if (!known && report.shares_held_ms > 0)
    {
        own.grants.push_back({report.shares, now + std::chrono::milliseconds{
                                                       report.shares_held_ms}});
    }
    own.reported = now;
    add(demand_, own.demand, -1);
    own.demand = report.demand;
    for (auto& [organisation, asked] : own.demand)
    {
        asked = std::max(0.0, asked);
    }
    add(demand_, own.demand, 1);
    count_outstanding(now, own);
    const bool unknown = others_unknown(now);
    const bool own_known = known_.contains(report.entry);
    grant made;
    made.until = now + settings_.valid_for;
    for (const auto& organisation : organisations)
    {
        const double others = value_of(outstanding_, organisation) -
                              value_of(own.outstanding, organisation);
        const double keeps = report.shares_held_ms > 0
                                 ? value_of(report.shares, organisation)
                                 : 0;
        const double wanted = !own_known ? 0
                              : unknown  ? keeps
                                         : target(own, organisation);
        made.shares[organisation] = std::clamp(
            wanted, 0.0, std::max(0.0, settings_.allocated_fraction - others));
    }
    add_grant(own, made);
    count_outstanding(now, own);
    return made.shares;
}

} // namespace hyssopdeal::coordination
