#include "domain_watch.hpp"

#include <algorithm>
#include <utility>

namespace hyssopdeal::coordination
{

domain_watch::domain_watch(std::uint32_t cut_off_after)
    : cut_off_after_(cut_off_after)
{}

const domain_watch::entry*
domain_watch::find(std::string_view domain) const noexcept
{
    const auto found =
        std::find_if(entries_.begin(), entries_.end(),
                     [&](const entry& item) { return item.domain == domain; });
    return found == entries_.end() ? nullptr : &*found;
}

domain_watch::entry* domain_watch::find(std::string_view domain) noexcept
{
    return const_cast<entry*>(std::as_const(*this).find(domain));
}

void domain_watch::add(std::string_view domain)
{
    if (!domain.empty() && find(domain) == nullptr)
    {
        entries_.push_back({std::string{domain}, {}, 0});
    }
}

void domain_watch::on_message(std::string_view domain)
{
    if (auto* known = find(domain))
    {
        known->failures = 0;
        known->last_failed.clear();
    }
    if (urgent_ == domain)
    {
        urgent_.clear();
    }
}

void domain_watch::on_probe_failed(std::string_view domain,
                                   std::string_view target)
{
    auto* known = find(domain);
    if (known == nullptr)
    {
        return;
    }
    ++known->failures;
    known->last_failed = target;
    urgent_ = known->failures < cut_off_after_ ? std::string{domain} : "";
}

reachability domain_watch::state(std::string_view domain) const noexcept
{
    const auto* known = find(domain);
    return known != nullptr && known->failures >= cut_off_after_
               ? reachability::cut_off
               : reachability::reachable;
}

std::string domain_watch::next_domain()
{
    if (!urgent_.empty())
    {
        return std::exchange(urgent_, std::string{});
    }
    if (entries_.empty())
    {
        return {};
    }
    next_ = (next_ + 1) % entries_.size();
    return entries_[next_].domain;
}

std::vector<std::string> domain_watch::domains() const
{
    std::vector<std::string> names;
    names.reserve(entries_.size());
    for (const auto& item : entries_)
    {
        names.push_back(item.domain);
    }
    return names;
}

std::string domain_watch::last_failed(std::string_view domain) const
{
    const auto* known = find(domain);
    return known == nullptr ? std::string{} : known->last_failed;
}

} // namespace hyssopdeal::coordination
