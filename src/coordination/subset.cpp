#include <hyssopdeal/coordination/subset.hpp>

#include <algorithm>
#include <numeric>

#include <xxhash.h>

namespace hyssopdeal::coordination
{

namespace
{

struct ranked_server
{
    std::uint32_t position = 0;
    std::uint64_t rank = 0;
};

std::uint64_t rank_of(std::string_view entry, std::string_view server)
{
    const auto seed = XXH3_64bits(entry.data(), entry.size());
    return XXH3_64bits_withSeed(server.data(), server.size(), seed);
}

/// Moves the best of `from` to the end of `picked`.
void take_best(std::vector<ranked_server>& from, std::size_t count,
               std::vector<std::uint32_t>& picked)
{
    std::sort(from.begin(), from.end(),
              [](const auto& left, const auto& right) {
                  return left.rank > right.rank;
              });
    const auto taken = std::min(count, from.size());
    for (std::size_t i = 0; i < taken; ++i)
    {
        picked.push_back(from[i].position);
    }
    from.erase(from.begin(), from.begin() + static_cast<std::ptrdiff_t>(taken));
}

} // namespace

std::vector<std::uint32_t> deterministic_subset(
    std::string_view entry, std::string_view own_failure_domain,
    const std::vector<subset_member>& servers, const subset_settings& settings)
{
    std::vector<std::uint32_t> picked;
    if (servers.size() <= settings.size)
    {
        picked.resize(servers.size());
        std::iota(picked.begin(), picked.end(), 0U);
        return picked;
    }
    std::vector<ranked_server> own;
    std::vector<ranked_server> other;
    for (std::uint32_t position = 0; position < servers.size(); ++position)
    {
        const auto& server = servers[position];
        auto& list = server.failure_domain == own_failure_domain ? own : other;
        list.push_back({position, rank_of(entry, server.name)});
    }
    const auto kept = static_cast<std::size_t>(
        static_cast<double>(settings.size) * settings.other_domains);
    take_best(own, settings.size - std::min(kept, other.size()), picked);
    take_best(other, settings.size - picked.size(), picked);
    take_best(own, settings.size - picked.size(), picked);
    std::sort(picked.begin(), picked.end());
    return picked;
}

} // namespace hyssopdeal::coordination
