#ifndef HYSSOPDEAL_TRANSPORT_FAILURE_HPP
#define HYSSOPDEAL_TRANSPORT_FAILURE_HPP

/// @file
/// Errors that say whether a request may have run.
///
/// Index: [verdict] [reason] [failure] [result]

#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace hyssopdeal::transport
{

// [verdict] ------------------------------------------------------------------

/// Whether the request that an error is about may have run on a backend server.
enum class verdict
{
    not_run,      ///< No byte of it was handed to a connection, or it was
                  ///< refused in a documented way before running.
    may_have_run, ///< A byte may have left; nothing else is known.
    ran           ///< A backend server answered it.
};

/// @return `not_run`, `may_have_run` or `ran`, as used in headers.
[[nodiscard]] std::string_view to_string(verdict value) noexcept;

// [reason] -------------------------------------------------------------------

/// Machine-readable cause of a failure; `to_string` is its code on the wire.
enum class reason
{
    bad_request,       ///< The request is malformed.
    bad_settings,      ///< A settings file or declaration is not valid.
    unauthenticated,   ///< No or an unknown key.
    forbidden,         ///< The key does not allow this.
    not_found,         ///< No such route, service, stream or record.
    too_large,         ///< A size cap was passed.
    limit_reached,     ///< A limit of the contract was reached.
    overloaded,        ///< The request cannot be served in time.
    deadline_passed,   ///< The caller's deadline has passed.
    draining,          ///< This instance is shutting down.
    no_backend_server, ///< No backend server can take the request.
    connect_failed,    ///< No connection to the other side.
    connection_lost,   ///< The connection broke after use.
    timed_out,         ///< No answer within the time limit.
    broken_answer,     ///< The answer was cut short or not understood.
    no_quorum,         ///< The control state cannot be written now.
    not_leader,        ///< Another control replica leads.
    revision_conflict, ///< The compare-and-set lost against another write.
    key_in_use,        ///< The idempotency key is claimed and still open.
    key_mismatch,      ///< The idempotency key came with another body.
    storage_failed,    ///< A file could not be written, synced or read.
    storage_full,      ///< No room on the disk; nothing was stored.
    corrupt,           ///< Stored data does not match its checksum.
    internal           ///< A defect of this program.
};

/// @return The reason's code, such as `limit_reached`.
[[nodiscard]] std::string_view to_string(reason value) noexcept;

// [failure] ------------------------------------------------------------------

/// An error, with the verdict on the request that it is about.
struct failure
{
    verdict ran = verdict::not_run; ///< Whether the request may have run.
    reason code = reason::internal; ///< Machine-readable cause.
    std::string text;               ///< One sentence for a person.
};

// [result] -------------------------------------------------------------------

/// A value or a failure.
template <class T>
using result = tl::expected<T, failure>;

/// Makes the failure side of a result.
///
/// @param code Machine-readable cause.
/// @param text One sentence for a person.
/// @param ran Whether the request may have run.
[[nodiscard]] tl::unexpected<failure> fail(reason code, std::string text,
                                           verdict ran = verdict::not_run);

} // namespace hyssopdeal::transport

#endif
