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

/// Moves up to `count` servers with the highest rank from `candidates` to
/// `selected`.
void move_highest_ranked(std::vector<ranked_server>& candidates,
                         std::size_t count,
                         std::vector<std::uint32_t>& selected)
{
    std::sort(candidates.begin(), candidates.end(),
              [](const auto& left, const auto& right) {
                  return left.rank > right.rank;
              });
    const auto moved = std::min(count, candidates.size());
    for (std::size_t i = 0; i < moved; ++i)
    {
        selected.push_back(candidates[i].position);
    }
    candidates.erase(candidates.begin(),
                     candidates.begin() + static_cast<std::ptrdiff_t>(moved));
}

} // namespace

std::vector<std::uint32_t> deterministic_subset(
    std::string_view entry, std::string_view own_failure_domain,
    const std::vector<subset_member>& servers, const subset_settings& settings)
{
    std::vector<std::uint32_t> selected;
    if (servers.size() <= settings.size)
    {
        selected.resize(servers.size());
        std::iota(selected.begin(), selected.end(), 0U);
        return selected;
    }
    std::vector<ranked_server> own_domain;
    std::vector<ranked_server> other_domains;
    for (std::uint32_t position = 0; position < servers.size(); ++position)
    {
        const auto& server = servers[position];
        auto& group = server.failure_domain == own_failure_domain
                          ? own_domain
                          : other_domains;
        group.push_back({position, rank_of(entry, server.name)});
    }
    const auto reserved = static_cast<std::size_t>(
        static_cast<double>(settings.size) * settings.other_domain_fraction);
    move_highest_ranked(
        own_domain, settings.size - std::min(reserved, other_domains.size()),
        selected);
    move_highest_ranked(other_domains, settings.size - selected.size(),
                        selected);
    move_highest_ranked(own_domain, settings.size - selected.size(), selected);
    std::sort(selected.begin(), selected.end());
    return selected;
}

} // namespace hyssopdeal::coordination
