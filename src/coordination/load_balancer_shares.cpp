#include <hyssopdeal/coordination/load_balancer_shares.hpp>

#include <algorithm>

namespace hyssopdeal::coordination
{

namespace
{

bool same_split(const version_weight& left, const version_weight& right)
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
    const bool unchanged =
        std::equal(weights.begin(), weights.end(), entries_.begin(),
                   entries_.end(), [](const auto& weight, const auto& known) {
                       return same_split(weight, known.weight);
                   });
    if (unchanged)
    {
        return;
    }
    entries_.clear();
    requests_ = 0;
    usable_share_ = 0;
    for (const auto& weight : weights)
    {
        entries_.push_back({weight, 0});
        usable_share_ += is_usable(weight) ? weight.share : 0;
    }
}

std::optional<std::uint16_t> version_shares::next() const
{
    // Earliest due time among the versions that stay below their upper quota:
    // keeps every version within one request of its share.
    std::optional<std::uint16_t> picked;
    double earliest = 0;
    for (const auto& known : entries_)
    {
        if (!is_usable(known.weight))
        {
            continue;
        }
        const double share = known.weight.share / usable_share_;
        const auto served = static_cast<double>(known.requests);
        if (served >= share * static_cast<double>(requests_ + 1))
        {
            continue;
        }
        const double due = (served + 1) / share;
        if (!picked || due < earliest)
        {
            picked = known.weight.version;
            earliest = due;
        }
    }
    return picked;
}

void version_shares::count(std::uint16_t version)
{
    ++requests_;
    for (auto& known : entries_)
    {
        known.requests += known.weight.version == version ? 1 : 0;
    }
}

} // namespace hyssopdeal::coordination
