#ifndef HYSSOPDEAL_TRANSPORT_DIGEST_HPP
#define HYSSOPDEAL_TRANSPORT_DIGEST_HPP

/// @file
/// Digests, random bytes and comparison of secrets, on OpenSSL.
///
/// Index: [digests] [random] [comparison]

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace hyssopdeal::transport
{

// [digests] ------------------------------------------------------------------

/// Bytes of a SHA-256 digest or MAC.
inline constexpr std::size_t sha256_bytes = 32;

/// @return SHA-256 of the bytes, 64 lower-case hex digits.
[[nodiscard]] std::string sha256_hex(std::string_view bytes);

/// @return HMAC-SHA256 of the bytes, 32 bytes.
[[nodiscard]] std::string hmac_sha256(std::string_view key,
                                      std::string_view bytes);

/// @return The bytes as lower-case hex digits.
[[nodiscard]] std::string to_hex(std::string_view bytes);

// [random] -------------------------------------------------------------------

/// @return A seed from the operating system's source of randomness.
[[nodiscard]] std::uint64_t random_seed();

/// @return Bytes that nobody can foretell; empty if the system has none.
[[nodiscard]] std::string random_bytes(std::size_t count);

// [comparison] ---------------------------------------------------------------

/// Compares in a time that does not depend on the contents.
[[nodiscard]] bool same_secret(std::string_view left,
                               std::string_view right) noexcept;

} // namespace hyssopdeal::transport

#endif
