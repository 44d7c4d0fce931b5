#ifndef HYSSOPDEAL_PROTOCOL_CONTRACT_JSON_HPP
#define HYSSOPDEAL_PROTOCOL_CONTRACT_JSON_HPP

/// @file
/// Declarations of operators from and to JSON with comments.
///
/// Index: [descriptions] [reading] [writing]
///
/// Keys are the members' names; times end in `_ms`. The written text is
/// canonical: equal declarations give equal bytes, whatever the order of keys
/// and comments in the file that they were read from.

#include <string>
#include <string_view>

#include <hyssopdeal/protocol/contract.hpp>
#include <hyssopdeal/protocol/settings_reader.hpp>
#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::protocol
{

// [descriptions] -------------------------------------------------------------

/// Binds the keys of each declaration, for use inside larger ones.
void describe(settings_fields& fields, organisation_contract& value);
void describe(settings_fields& fields, route& value);
void describe(settings_fields& fields, backend_server& value);
void describe(settings_fields& fields, version_share& value);
void describe(settings_fields& fields, service& value);

// [reading] ------------------------------------------------------------------

/// Reads a contract. A key `revision` is allowed and skipped.
///
/// @param text JSON with comments.
/// @param name Named in mistakes, such as the file's name.
/// @return The contract, or every mistake in it.
[[nodiscard]] transport::result<organisation_contract>
read_contract(std::string_view text, std::string_view name);

/// Reads a service. A key `revision` is allowed and skipped.
[[nodiscard]] transport::result<service> read_service(std::string_view text,
                                                      std::string_view name);

// [writing] ------------------------------------------------------------------

/// @return The contract's canonical text.
[[nodiscard]] std::string write_contract(const organisation_contract& value);

/// @return The service's canonical text.
[[nodiscard]] std::string write_service(const service& value);

} // namespace hyssopdeal::protocol

#endif
