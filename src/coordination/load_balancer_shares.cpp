#include <hyssopdeal/coordination/load_balancer_shares.hpp>

#include <algorithm>

namespace hyssopdeal::coordination
{

namespace
{

bool has_same_split(const version_weight& left, const version_weight& right)
{
    return left.version == right.version && left.share == right.share &&
           (left.usable_servers == 0) == (right.usable_servers == 0);
}

bool is_usable(const version_weight& weight)
{
    return weight.share > 0 && weight.usable_servers > 0;
}

} // namespace

void version_shares::set(std::span<const version_weight> weights)
{
    const bool unchanged = std::equal(
        weights.begin(), weights.end(), versions_.begin(), versions_.end(),
        [](const auto& weight, const auto& counted) {
            return has_same_split(weight, counted.weight);
        });
    if (unchanged)
    {
        return;
    }
    versions_.clear();
    requests_ = 0;
    usable_share_ = 0;
    for (const auto& weight : weights)
    {
        versions_.push_back({weight, 0});
        usable_share_ += is_usable(weight) ? weight.share : 0;
    }
}

std::optional<std::uint16_t> version_shares::next() const
{
    // Earliest due time first, among the versions whose count is below their
    // share of the requests including the next one. This quota condition keeps
    // each version within one request of its share.
    std::optional<std::uint16_t> selected;
    double earliest = 0;
    for (const auto& counted : versions_)
    {
        if (!is_usable(counted.weight))
        {
            continue;
        }
        const double share = counted.weight.share / usable_share_;
        const auto served = static_cast<double>(counted.requests);
        if (served >= share * static_cast<double>(requests_ + 1))
        {
            continue;
        }
        const double due = (served + 1) / share;
        if (!selected || due < earliest)
        {
            selected = counted.weight.version;
            earliest = due;
        }
    }
    return selected;
}

void version_shares::count(std::uint16_t version)
{
    ++requests_;
    for (auto& counted : versions_)
    {
        counted.requests += counted.weight.version == version ? 1 : 0;
    }
}

} // namespace hyssopdeal::coordination
