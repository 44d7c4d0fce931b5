#ifndef HYSSOPDEAL_STANDINS_JSON_ANSWER_HPP
#define HYSSOPDEAL_STANDINS_JSON_ANSWER_HPP

/// @file
/// Answers that all stand-ins give.
///
/// Index: [json_answer]

#include <cstdint>
#include <string>
#include <string_view>

#include <hyssopdeal/transport/http_message.hpp>

namespace hyssopdeal::standins
{

// [json_answer] --------------------------------------------------------------

/// @return An answer with a JSON body.
[[nodiscard]] transport::http_response json_answer(int status,
                                                   std::string body);

/// @return An error with a reason and a text.
[[nodiscard]] transport::http_response
error_answer(int status, std::string_view reason, std::string_view text);

/// @return A refusal that says in the documented way that nothing ran.
[[nodiscard]] transport::http_response refusal(std::string_view text);

/// Takes the value of one key from a query such as `/path?after=3`.
///
/// @return The number, or the default when it is missing or not a number.
[[nodiscard]] std::uint64_t query_number(std::string_view target,
                                         std::string_view key,
                                         std::uint64_t otherwise) noexcept;

} // namespace hyssopdeal::standins

#endif
