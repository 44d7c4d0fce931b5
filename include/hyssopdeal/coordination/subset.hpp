#ifndef HYSSOPDEAL_COORDINATION_SUBSET_HPP
#define HYSSOPDEAL_COORDINATION_SUBSET_HPP

/// @file
/// The backend servers that one entry instance watches and uses in a fleet too
/// large for all of them.
///
/// Index: [subset_member] [deterministic_subset]

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopdeal::coordination
{

// [subset_member] ------------------------------------------------------------

/// A server as the choice sees it.
struct subset_member
{
    std::string_view name;
    std::string_view failure_domain;
};

/// How many servers an entry uses.
struct subset_settings
{
    std::uint32_t size = 64;     ///< All of a smaller fleet are used.
    double other_domains = 0.25; ///< Part kept for other failure domains.
};

// [deterministic_subset] -----------------------------------------------------

/// Picks by rendezvous hash of entry and server: the same at each start, a
/// server's coming or going changes one pick, and each server has about equally
/// many entries. Own failure domain first; places left go to other domains.
///
/// @return Positions in `servers`, ascending.
[[nodiscard]] std::vector<std::uint32_t>
deterministic_subset(std::string_view entry,
                     std::string_view own_failure_domain,
                     const std::vector<subset_member>& servers,
                     const subset_settings& settings = {});

} // namespace hyssopdeal::coordination

#endif
