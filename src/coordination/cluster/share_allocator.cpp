/// @file
/// Splits quotas among the entries.

#include <hyssopdeal/coordination/cluster/share_allocator.hpp>

#include <algorithm>

namespace hyssopdeal::coordination
{

using transport::monotonic_time;

share_allocator::share_allocator(monotonic_time now, share_settings settings)
    : settings_(settings),
      leader_since_(now)
{}

void share_allocator::set_eligible_entries(const std::set<std::string>& entries)
{
    eligible_ = entries;
}

std::optional<std::set<std::string>>
share_allocator::next_eligible_entries(monotonic_time now) const
{
    std::set<std::string> next;
    for (const auto& [name, state] : entries_)
    {
        next.insert(name);
    }
    // Entries that have not reported may hold unexpired shares.
    if (now - leader_since_ < settings_.valid_for)
    {
        next.insert(eligible_.begin(), eligible_.end());
    }
    return next == eligible_ ? std::nullopt : std::optional{next};
}

bool share_allocator::waits_for_reports(monotonic_time now) const
{
    return now - leader_since_ < settings_.valid_for &&
           std::any_of(
               eligible_.begin(), eligible_.end(),
               [&](const auto& name) { return !entries_.contains(name); });
}

double share_allocator::value_or_zero(const amounts& from,
                                      const std::string& organisation)
{
    const auto found = from.find(organisation);
    return found == from.end() ? 0 : found->second;
}

void share_allocator::add_scaled(amounts& to, const amounts& values,
                                 double factor)
{
    for (const auto& [organisation, value] : values)
    {
        to[organisation] += factor * value;
    }
}

double share_allocator::target_share(const entry_state& entry,
                                     const std::string& organisation) const
{
    const double all = value_or_zero(demand_, organisation);
    const double own = value_or_zero(entry.demand, organisation);
    const double even = 1.0 / static_cast<double>(entries_.size());
    const double by_demand = all > 0 ? own / all : even;
    return settings_.allocated_fraction *
           (settings_.even_fraction * even +
            (1 - settings_.even_fraction) * by_demand);
}

/// Drops expired grants and recomputes what the entry may still use.
void share_allocator::update_outstanding(monotonic_time now, entry_state& entry)
{
    while (!entry.grants.empty() && entry.grants.front().expires_at <= now)
    {
        entry.grants.pop_front();
    }
    add_scaled(outstanding_, entry.outstanding, -1);
    entry.outstanding.clear();
    for (const auto& item : entry.grants)
    {
        for (const auto& [organisation, share] : item.shares)
        {
            auto& most = entry.outstanding[organisation];
            most = std::max(most, share);
        }
    }
    add_scaled(outstanding_, entry.outstanding, 1);
}

void share_allocator::sweep_expired(monotonic_time now)
{
    // Between sweeps expired grants still count, which only makes grants
    // smaller.
    constexpr std::chrono::milliseconds min_interval{250};
    // A sweep takes a few microseconds for each entry; this keeps it below one
    // percent of the time.
    constexpr std::chrono::milliseconds interval_per_entry{3};
    if (now < next_sweep_)
    {
        return;
    }
    next_sweep_ =
        now + std::max(min_interval,
                       interval_per_entry * static_cast<int>(entries_.size()));
    // Summed up anew, as additions and subtractions accumulate rounding errors.
    outstanding_.clear();
    demand_.clear();
    for (auto at = entries_.begin(); at != entries_.end();)
    {
        auto& entry = at->second;
        entry.outstanding.clear();
        update_outstanding(now, entry);
        const bool silent = now - entry.reported_at > settings_.valid_for;
        if (silent && entry.grants.empty())
        {
            at = entries_.erase(at);
            continue;
        }
        add_scaled(demand_, entry.demand, 1);
        ++at;
    }
}

/// Merges grants that expire within a second of each other into their maximum,
/// which can only overstate what is outstanding.
void share_allocator::record_grant(entry_state& entry, const grant& granted)
{
    constexpr std::chrono::milliseconds merge_interval{1'000};
    if (entry.grants.empty() ||
        granted.expires_at - entry.first_expiry > merge_interval)
    {
        entry.first_expiry = granted.expires_at;
        entry.grants.push_back(granted);
        return;
    }
    auto& last = entry.grants.back();
    last.expires_at = std::max(last.expires_at, granted.expires_at);
    for (const auto& [organisation, share] : granted.shares)
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
    sweep_expired(now);
    auto& own = entries_[report.entry];
    const bool same_process = own.incarnation == report.incarnation;
    if (!same_process)
    {
        // The process that held the earlier grants has ended.
        own.grants.clear();
        own.incarnation = report.incarnation;
    }
    if (!same_process && report.shares_held_ms > 0)
    {
        own.grants.push_back({report.shares, now + std::chrono::milliseconds{
                                                       report.shares_held_ms}});
    }
    own.reported_at = now;
    add_scaled(demand_, own.demand, -1);
    own.demand = report.demand;
    for (auto& [organisation, demand] : own.demand)
    {
        demand = std::max(0.0, demand);
    }
    add_scaled(demand_, own.demand, 1);
    update_outstanding(now, own);
    const bool keep_shares = waits_for_reports(now);
    const bool eligible = eligible_.contains(report.entry);
    grant granted;
    granted.expires_at = now + settings_.valid_for;
    for (const auto& organisation : organisations)
    {
        const double others = value_or_zero(outstanding_, organisation) -
                              value_or_zero(own.outstanding, organisation);
        const double held = report.shares_held_ms > 0
                                ? value_or_zero(report.shares, organisation)
                                : 0;
        const double wanted = !eligible     ? 0
                              : keep_shares ? held
                                            : target_share(own, organisation);
        granted.shares[organisation] = std::clamp(
            wanted, 0.0, std::max(0.0, settings_.allocated_fraction - others));
    }
    record_grant(own, granted);
    update_outstanding(now, own);
    return granted.shares;
}

} // namespace hyssopdeal::coordination
