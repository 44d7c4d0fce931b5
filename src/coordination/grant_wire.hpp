#ifndef HYSSOPDEAL_SRC_COORDINATION_GRANT_WIRE_HPP
#define HYSSOPDEAL_SRC_COORDINATION_GRANT_WIRE_HPP

/// @file
/// Internal: serialization of the messages on the channel `grants`.
///
/// Index: [grants]

#include <string>
#include <string_view>

#include <hyssopdeal/coordination/grant_allocator.hpp>
#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::coordination
{

// [grants] -------------------------------------------------------------------

[[nodiscard]] std::string encode(const grant_request& request);
[[nodiscard]] std::string encode(const grant_answer& answer);

/// @return The message, or `corrupt` if an amount is negative or not finite.
[[nodiscard]] transport::result<grant_request>
decode_grant_request(std::string_view bytes);
[[nodiscard]] transport::result<grant_answer>
decode_grant_answer(std::string_view bytes);

} // namespace hyssopdeal::coordination

#endif
