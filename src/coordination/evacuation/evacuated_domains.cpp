/// @file
/// Evacuated failure domains.

#include <hyssopdeal/coordination/evacuation/evacuated_domains.hpp>

namespace hyssopdeal::coordination
{

using transport::monotonic_time;

// [evacuated_domains] --------------------------------------------------------

evacuated_domains::changes evacuated_domains::apply(monotonic_time now,
                                                    std::uint64_t revision,
                                                    const domain_names& domains)
{
    changes result;
    if (revision <= revision_)
    {
        return result;
    }
    for (const auto& domain : domains_)
    {
        if (!domains.contains(domain))
        {
            ended_[domain] = now;
            result.seen.push_back({domain, false});
        }
    }
    for (const auto& domain : domains)
    {
        if (!domains_.contains(domain))
        {
            ended_.erase(domain);
            result.seen.push_back({domain, true});
        }
    }
    // Each begin and each end raises the revision by one.
    result.missed = revision - revision_ > result.seen.size();
    revision_ = revision;
    domains_ = domains;
    return result;
}

std::optional<monotonic_time>
evacuated_domains::ended_at(const std::string& domain) const
{
    const auto found = ended_.find(domain);
    return found == ended_.end() ? std::nullopt : std::optional{found->second};
}

// [evacuation_progress] ------------------------------------------------------

void evacuation_progress::on_report(monotonic_time now,
                                    const std::string& entry,
                                    std::uint64_t revision)
{
    entries_[entry] = {now, revision};
}

std::vector<std::string>
evacuation_progress::take_behind(monotonic_time now, std::uint64_t revision)
{
    std::vector<std::string> behind;
    if (revision != revision_)
    {
        revision_ = revision;
        next_check_ = now + behind_limit;
    }
    if (now < next_check_)
    {
        return behind;
    }
    next_check_ = now + behind_limit;
    std::erase_if(entries_, [&](const auto& item) {
        return now - item.second.reported_at > report_lifetime;
    });
    for (const auto& [entry, state] : entries_)
    {
        if (state.revision < revision)
        {
            behind.push_back(entry);
        }
    }
    return behind;
}

} // namespace hyssopdeal::coordination
