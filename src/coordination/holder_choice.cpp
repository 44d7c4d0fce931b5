#include <hyssopdeal/coordination/holder_choice.hpp>

#include <algorithm>

#include <xxhash.h>

namespace hyssopdeal::coordination
{

namespace
{

std::uint64_t rank_of(std::string_view stream, std::string_view member)
{
    const auto seed = XXH3_64bits(stream.data(), stream.size());
    return XXH3_64bits_withSeed(member.data(), member.size(), seed);
}

/// Which members a pass over the list looks at.
struct holder_pass
{
    entry_liveness state;
    copy_spread spread;
};

constexpr holder_pass passes[] = {
    {entry_liveness::alive, copy_spread::other_failure_domain},
    {entry_liveness::alive, copy_spread::own_failure_domain},
    {entry_liveness::suspect, copy_spread::other_failure_domain},
    {entry_liveness::suspect, copy_spread::own_failure_domain}};

copy_spread spread_of(const entry_member& member, std::string_view own_domain)
{
    return member.failure_domain == own_domain
               ? copy_spread::own_failure_domain
               : copy_spread::other_failure_domain;
}

} // namespace

holder_choice choose_holder(std::string_view stream, std::string_view owner,
                            std::string_view own_failure_domain,
                            const std::vector<entry_member>& members,
                            const std::vector<std::string>& avoid)
{
    for (const auto& pass : passes)
    {
        const entry_member* best = nullptr;
        std::uint64_t best_rank = 0;
        for (const auto& member : members)
        {
            const bool fits =
                member.name != owner && member.state == pass.state &&
                spread_of(member, own_failure_domain) == pass.spread &&
                std::find(avoid.begin(), avoid.end(), member.name) ==
                    avoid.end();
            const auto rank = fits ? rank_of(stream, member.name) : 0;
            if (fits && (best == nullptr || rank > best_rank))
            {
                best = &member;
                best_rank = rank;
            }
        }
        if (best != nullptr)
        {
            return {best->name, pass.spread};
        }
    }
    return {};
}

std::vector<std::string> lookup_order(std::string_view stream,
                                      const std::vector<entry_member>& members)
{
    std::vector<const entry_member*> order;
    order.reserve(members.size());
    for (const auto& member : members)
    {
        order.push_back(&member);
    }
    std::sort(order.begin(), order.end(),
              [stream](const auto* left, const auto* right) {
                  if (left->state != right->state)
                  {
                      return left->state < right->state;
                  }
                  return rank_of(stream, left->name) >
                         rank_of(stream, right->name);
              });
    std::vector<std::string> names;
    names.reserve(order.size());
    for (const auto* member : order)
    {
        names.push_back(member->name);
    }
    return names;
}

} // namespace hyssopdeal::coordination
