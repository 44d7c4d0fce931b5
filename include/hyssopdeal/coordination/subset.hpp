#ifndef HYSSOPDEAL_COORDINATION_SUBSET_HPP
#define HYSSOPDEAL_COORDINATION_SUBSET_HPP

/// @file
/// Deterministic subsetting: selects the backend servers that one entry
/// instance monitors and uses when the fleet is too large to use all of them.
///
/// Index: [subset_member] [deterministic_subset]

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopdeal::coordination
{

// [subset_member] ------------------------------------------------------------

/// A server that may be selected.
struct subset_member
{
    std::string_view name;
    std::string_view failure_domain;
};

/// Size and composition of the subset.
struct subset_settings
{
    std::uint32_t size = 64; ///< Smaller fleets are used completely.
    /// Fraction of the places reserved for other failure domains.
    double other_domain_fraction = 0.25;
};

// [deterministic_subset] -----------------------------------------------------

/// Selects servers by rendezvous hashing of the entry and server names: the
/// result is stable across restarts, adding or removing a server replaces
/// at most one selected server, and each server is selected by about the same
/// number of entries. Servers of the own failure domain take all places except
/// those reserved for other domains; unused places go to the other group.
///
/// @return Indexes into `servers`, ascending.
[[nodiscard]] std::vector<std::uint32_t>
deterministic_subset(std::string_view entry,
                     std::string_view own_failure_domain,
                     const std::vector<subset_member>& servers,
                     const subset_settings& settings = {});

} // namespace hyssopdeal::coordination

#endif
