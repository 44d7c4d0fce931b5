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

/// Gives each request to the version that is furthest behind its share, so that
/// after n requests each version has its share of n to within one request.
/// A version without a usable server gives its requests to the others.
class version_shares
{
public:
    /// Sets the shares; counting starts anew when they changed.
    void set(std::span<const version_weight> weights);

    /// Sets how many servers of a version can be used now.
    void set_usable(std::uint16_t version, std::uint32_t usable_servers);

    /// @return The version of the next request, if any can be served.
    [[nodiscard]] std::optional<std::uint16_t> next();

private:
    struct entry
    {
        version_weight weight;
        double credit = 0; ///< Requests owed.
    };
    std::vector<entry> entries_;
};

} // namespace hyssopdeal::coordination

#endif
