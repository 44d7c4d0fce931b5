#ifndef HYSSOPDEAL_COORDINATION_LOAD_BALANCER_SHARES_HPP
#define HYSSOPDEAL_COORDINATION_LOAD_BALANCER_SHARES_HPP

/// @file
/// Weighted traffic split of a service's new requests among its versions.
///
/// Index: [version_weight] [version_shares]

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace hyssopdeal::coordination
{

// [version_weight] -----------------------------------------------------------

/// Weight of a version and its number of usable servers.
struct version_weight
{
    std::uint16_t version = 0; ///< Index in the routing table.
    double share = 0;          ///< Configured weight; 0 gets no requests.
    std::uint32_t usable_servers = 0;
};

// [version_shares] -----------------------------------------------------------

/// Deterministic weighted scheduler: earliest due version first, so that after
/// n requests each version's count differs from its share of n by at most one.
/// The shares of versions without usable servers are split among the others.
class version_shares
{
public:
    /// Sets the weights. Resets the counts if a share, or whether a version
    /// has usable servers, has changed.
    void set(std::span<const version_weight> weights);

    /// @return The version due next, or nullopt if no version is usable.
    [[nodiscard]] std::optional<std::uint16_t> next() const;

    /// Counts a request for the version that next() returned, even if another
    /// version served it: a version that was full gets no burst of requests
    /// afterwards to make up for its share.
    void count(std::uint16_t version);

private:
    struct counted_version
    {
        version_weight weight;
        std::uint64_t requests = 0;
    };
    std::vector<counted_version> versions_;
    std::uint64_t requests_ = 0;
    double usable_share_ = 0;
};

} // namespace hyssopdeal::coordination

#endif
