#ifndef HYSSOPDEAL_COORDINATION_ENTRY_CATALOG_HPP
#define HYSSOPDEAL_COORDINATION_ENTRY_CATALOG_HPP

/// @file
/// The accepted configuration, indexed for the path of a request.
///
/// Index: [entry_catalog]

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <hyssopdeal/protocol/contract.hpp>

namespace hyssopdeal::coordination
{

// [entry_catalog] ------------------------------------------------------------

/// Never changed after it is made; published through read-copy-update.
class entry_catalog
{
public:
    explicit entry_catalog(protocol::control_view view = {});

    /// Finds whose key it is. Compares digests in constant time.
    ///
    /// @return The contract, or nullptr for an unknown key.
    [[nodiscard]] const protocol::organisation_contract*
    find_by_key(std::string_view key) const;

    /// @return The service, or nullptr.
    [[nodiscard]] const protocol::service*
    find_service(std::string_view name) const;

    /// Finds the route with the longest matching prefix.
    ///
    /// @param path After /v1/{service}.
    /// @return The route, or nullptr when no method and prefix match.
    [[nodiscard]] static const protocol::route*
    find_route(const protocol::service& in, std::string_view method,
               std::string_view path);

    /// @return The configuration itself.
    [[nodiscard]] const protocol::control_view& view() const noexcept;

private:
    struct key_entry
    {
        std::string digest;     ///< SHA-256 in hex.
        std::size_t contract{}; ///< Position in the view.
    };

    protocol::control_view view_;
    // By the first digits of the digest, so that few are compared.
    std::unordered_map<std::string, std::vector<key_entry>> keys_;
};

} // namespace hyssopdeal::coordination

#endif
