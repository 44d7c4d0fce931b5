#ifndef HYSSOPDEAL_PROTOCOL_DOCUMENT_CHECK_HPP
#define HYSSOPDEAL_PROTOCOL_DOCUMENT_CHECK_HPP

/// @file
/// What operators should know of a configuration document before they send it:
/// errors, entries without effect, limits that contradict each other, and the
/// differences from another document. No text contains an API key.
///
/// Index: [findings] [differences]

#include <cstdint>
#include <string>
#include <vector>

#include <hyssopdeal/protocol/service_document.hpp>

namespace hyssopdeal::protocol
{

// [findings] -----------------------------------------------------------------

enum class finding_severity : std::uint8_t
{
    error,   ///< The document would be refused.
    warning, ///< Accepted, but an entry cannot do what it states.
    note     ///< Accepted, and possibly intended.
};

/// One thing found in a document.
struct document_finding
{
    finding_severity severity = finding_severity::error;
    std::string place; ///< Route, service, organisation, or the whole.
    std::string text;
};

/// @param in_force Where known, the document that this one is to replace.
/// @return Errors first (those that check() refuses), then what has no effect
///     or contradicts itself, in the order of the document.
[[nodiscard]] std::vector<document_finding>
check_document(const service_document& document,
               const service_document* in_force = nullptr);

// [differences] --------------------------------------------------------------

enum class difference_kind : std::uint8_t
{
    added,
    removed,
    changed
};

/// One entry that only one document has, or one field that differs.
struct document_difference
{
    difference_kind kind = difference_kind::changed;
    std::string place;
    std::string text; ///< Of a field: `name: old -> new`.
};

/// Compares two documents field by field. Routes are matched by host and
/// prefix as written, services and organisations by name; the order of entries and of keys
/// does not count.
///
/// @param from The document in force.
/// @param to The document to be sent.
[[nodiscard]] std::vector<document_difference>
compare_documents(const service_document& from, const service_document& to);

} // namespace hyssopdeal::protocol

#endif
