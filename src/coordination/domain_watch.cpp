#include "domain_watch.hpp"

#include <algorithm>
#include <utility>

namespace hyssopdeal::coordination
{

domain_watch::domain_watch(std::uint32_t failure_threshold)
    : failure_threshold_(failure_threshold)
{}

const domain_watch::domain_record*
domain_watch::find(std::string_view domain) const noexcept
{
    const auto found = std::find_if(
        records_.begin(), records_.end(),
        [&](const domain_record& item) { return item.domain == domain; });
    return found == records_.end() ? nullptr : &*found;
}

domain_watch::domain_record*
domain_watch::find(std::string_view domain) noexcept
{
    return const_cast<domain_record*>(std::as_const(*this).find(domain));
}

void domain_watch::add(std::string_view domain)
{
    if (!domain.empty() && find(domain) == nullptr)
    {
        records_.push_back({std::string{domain}, {}, 0});
    }
}

void domain_watch::on_message(std::string_view domain)
{
    if (auto* known = find(domain))
    {
        known->consecutive_failures = 0;
        known->last_failed.clear();
    }
    if (retry_domain_ == domain)
    {
        retry_domain_.clear();
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
    ++known->consecutive_failures;
    known->last_failed = target;
    retry_domain_ = known->consecutive_failures < failure_threshold_
                        ? std::string{domain}
                        : "";
}

reachability domain_watch::state(std::string_view domain) const noexcept
{
    const auto* known = find(domain);
    return known != nullptr && known->consecutive_failures >= failure_threshold_
               ? reachability::cut_off
               : reachability::reachable;
}

std::string domain_watch::next_domain()
{
    if (!retry_domain_.empty())
    {
        return std::exchange(retry_domain_, std::string{});
    }
    if (records_.empty())
    {
        return {};
    }
    last_index_ = (last_index_ + 1) % records_.size();
    return records_[last_index_].domain;
}

std::vector<std::string> domain_watch::domains() const
{
    std::vector<std::string> names;
    names.reserve(records_.size());
    for (const auto& item : records_)
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
