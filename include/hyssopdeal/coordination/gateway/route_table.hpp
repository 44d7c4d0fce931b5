#ifndef HYSSOPDEAL_COORDINATION_GATEWAY_ROUTE_TABLE_HPP
#define HYSSOPDEAL_COORDINATION_GATEWAY_ROUTE_TABLE_HPP

/// @file
/// A configuration document with lookup tables for routes, API keys and
/// services.
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

/// Immutable. A new document gets a new table; requests keep the table that was
/// active when they arrived.
class route_table
{
public:
    explicit route_table(protocol::service_document document);

    /// Finds the host's route with the longest prefix of the path.
    ///
    /// @param host Value of the Host header, with or without a port.
    /// @param target Path, with or without a query.
    /// @return Null if there is none.
    [[nodiscard]] const protocol::document_route*
    find_route(std::string_view host, std::string_view target) const;

    /// @return The organisation that an API key belongs to; null if the key is
    ///     unknown.
    [[nodiscard]] const protocol::organisation_terms*
    find_organisation(std::string_view key) const;

    /// @return The service with a name; null if there is none.
    [[nodiscard]] const protocol::document_service*
    find_service(std::string_view name) const;

    [[nodiscard]] const protocol::service_document& document() const noexcept
    {
        return document_;
    }

private:
    protocol::service_document document_;
    std::unordered_map<std::string, const protocol::document_route*>
        routes_; ///< By lower-case host, a space, and path prefix.
    std::unordered_map<std::string, const protocol::organisation_terms*>
        organisations_; ///< By API key.
    std::unordered_map<std::string, const protocol::document_service*>
        services_; ///< By name.
};

} // namespace hyssopdeal::coordination

#endif
