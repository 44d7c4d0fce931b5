#ifndef HYSSOPDEAL_SRC_COORDINATION_ENTRY_ANSWERS_HPP
#define HYSSOPDEAL_SRC_COORDINATION_ENTRY_ANSWERS_HPP

/// @file
/// Internal: answers that an entry makes itself, and the headers that are
/// passed on in either direction.
///
/// Index: [failures] [headers]

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/transport/failure.hpp>
#include <hyssopdeal/transport/http_message.hpp>

namespace hyssopdeal::coordination
{

// [failures] -----------------------------------------------------------------

/// @return The HTTP status that tells a reason to a caller.
[[nodiscard]] int status_of(transport::reason code) noexcept;

/// @return `{"error":{"reason":...,"text":...,"verdict":...}}`.
[[nodiscard]] std::string failure_body(const transport::failure& error);

/// Makes the answer for a failure.
///
/// @param retry_after Told for 429 and 503; rounded up to whole seconds.
[[nodiscard]] transport::http_response
failure_answer(const transport::failure& error,
               std::chrono::milliseconds retry_after = std::chrono::seconds{1});

// [headers] ------------------------------------------------------------------

/// @return Whether a header belongs to one connection only.
[[nodiscard]] bool is_hop_by_hop(std::string_view name) noexcept;

/// @return The caller's headers that a backend server gets: not those of one
///     connection, the key, nor those that the entry itself sets.
[[nodiscard]] std::vector<transport::http_header>
headers_to_server(const std::vector<transport::http_header>& from_caller);

/// @return A backend server's headers that the caller gets.
[[nodiscard]] std::vector<transport::http_header>
headers_to_caller(const std::vector<transport::http_header>& from_server);

} // namespace hyssopdeal::coordination

#endif
