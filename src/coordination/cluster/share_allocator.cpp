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

void share_allocator::set_known(const std::set<std::string>& entries)
{
    known_ = entries;
}

std::optional<std::set<std::string>>
share_allocator::next_known(monotonic_time now) const
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

double share_allocator::outstanding(const entry_state& entry,
                                    const std::string& organisation) const
{
    double most = 0;
    for (const auto& item : entry.grants)
    {
        const auto found = item.shares.find(organisation);
        most = std::max(most, found == item.shares.end() ? 0 : found->second);
    }
    return most;
}

double share_allocator::target(const std::string& entry,
                               const std::string& organisation) const
{
    double all = 0;
    double own = 0;
    for (const auto& [name, state] : entries_)
    {
        const auto found = state.demand.find(organisation);
        const double asked =
            found == state.demand.end() ? 0 : std::max(0.0, found->second);
        all += asked;
        own = name == entry ? asked : own;
    }
    const double even = 1.0 / static_cast<double>(entries_.size());
    const double by_demand = all > 0 ? own / all : even;
    return settings_.split_part *
           (settings_.even_part * even + (1 - settings_.even_part) * by_demand);
}

void share_allocator::forget_expired(monotonic_time now)
{
    for (auto at = entries_.begin(); at != entries_.end();)
    {
        std::erase_if(at->second.grants,
                      [&](const auto& item) { return item.until <= now; });
        const bool silent = now - at->second.reported > settings_.valid_for;
        at = silent && at->second.grants.empty() ? entries_.erase(at)
                                                 : std::next(at);
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
    own.demand = report.demand;
    const bool unknown = others_unknown(now);
    const bool own_known = known_.contains(report.entry);
    grant made;
    made.until = now + settings_.valid_for;
    for (const auto& organisation : organisations)
    {
        double others = 0;
        for (const auto& [name, state] : entries_)
        {
            others +=
                name == report.entry ? 0 : outstanding(state, organisation);
        }
        const auto held = report.shares.find(organisation);
        const double keeps =
            report.shares_held_ms > 0 && held != report.shares.end()
                ? held->second
                : 0;
        const double wanted = !own_known ? 0
                              : unknown  ? keeps
                                         : target(report.entry, organisation);
        made.shares[organisation] = std::clamp(
            wanted, 0.0, std::max(0.0, settings_.split_part - others));
    }
    own.grants.push_back(made);
    return made.shares;
}

} // namespace hyssopdeal::coordination
