#ifndef HYSSOPDEAL_COORDINATION_GATEWAY_ROUTE_TABLE_HPP
#define HYSSOPDEAL_COORDINATION_GATEWAY_ROUTE_TABLE_HPP

/// @file
/// A configuration document prepared for looking up requests.
///
/// Index: [route_table]

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include <hyssopdeal/protocol/service_document.hpp>

namespace hyssopdeal::coordination
{

// [route_table] --------------------------------------------------------------

/// Immutable; requests that began under an older table keep it.
class route_table
{
public:
    explicit route_table(protocol::service_document document);

    /// Finds the route of the host with the longest prefix that begins the
    /// path.
    ///
    /// @param host As sent, with or without a port.
    /// @param target Path, perhaps with a query.
    /// @return Null when there is none.
    [[nodiscard]] const protocol::document_route*
    find_route(std::string_view host, std::string_view target) const;

    /// @return The organisation that holds a key; null when there is none.
    [[nodiscard]] const protocol::organisation_terms*
    find_organisation(std::string_view key) const;

    /// @return A service by name; null when there is none.
    [[nodiscard]] const protocol::document_service*
    find_service(std::string_view name) const;

    [[nodiscard]] const protocol::service_document& document() const noexcept
    {
        return document_;
    }

private:
    protocol::service_document document_;
    std::unordered_map<std::string, const protocol::document_route*>
        routes_; ///< By host, a space, and prefix.
    std::unordered_map<std::string, const protocol::organisation_terms*>
        organisations_; ///< By key.
    std::unordered_map<std::string, const protocol::document_service*>
        services_;
};

} // namespace hyssopdeal::coordination

#endif
