#ifndef HYSSOPDEAL_COORDINATION_LOAD_BALANCER_SHARES_HPP
#define HYSSOPDEAL_COORDINATION_LOAD_BALANCER_SHARES_HPP

/// @file
/// Splits a service's new requests among its versions by their shares.
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

/// A version's share, and whether it can be served now.
struct version_weight
{
    std::uint16_t version = 0; ///< Number in the routing table.
    double share = 0;          ///< Ordered; 0 never gets a request.
    std::uint32_t usable_servers = 0;
};

// [version_shares] -----------------------------------------------------------

/// Gives each request to the version whose next request is due first, so that
/// after n requests each version has its share of n to within one request.
/// A version without a usable server leaves its requests to the others.
class version_shares
{
public:
    /// Sets the shares; counting starts anew when they changed.
    void set(std::span<const version_weight> weights);

    /// @return The version of the next request, if any can be served.
    [[nodiscard]] std::optional<std::uint16_t> next() const;

    /// Counts a request for the version that next() named, also when another
    /// version had to serve it: a share is never made up for later.
    void count(std::uint16_t version);

private:
    struct entry
    {
        version_weight weight;
        std::uint64_t requests = 0;
    };
    std::vector<entry> entries_;
    std::uint64_t requests_ = 0;
    double usable_share_ = 0;
};

} // namespace hyssopdeal::coordination

#endif
