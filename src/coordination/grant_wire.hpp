#ifndef HYSSOPDEAL_SRC_COORDINATION_GRANT_WIRE_HPP
#define HYSSOPDEAL_SRC_COORDINATION_GRANT_WIRE_HPP

/// @file
/// Internal: messages of the channel `grants` as bytes.
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

/// @return The message, or `corrupt` when an amount is no number from 0 up.
[[nodiscard]] transport::result<grant_request>
decode_grant_request(std::string_view bytes);
[[nodiscard]] transport::result<grant_answer>
decode_grant_answer(std::string_view bytes);

} // namespace hyssopdeal::coordination

#endif
