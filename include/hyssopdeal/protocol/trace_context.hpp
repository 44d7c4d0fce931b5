#ifndef HYSSOPDEAL_PROTOCOL_TRACE_CONTEXT_HPP
#define HYSSOPDEAL_PROTOCOL_TRACE_CONTEXT_HPP

/// @file
/// W3C trace context: the `traceparent` header in and out.
///
/// Index: [trace_context]

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace hyssopdeal::protocol
{

// [trace_context] ------------------------------------------------------------

/// Names a span and the trace that it belongs to.
struct trace_context
{
    std::uint64_t trace_high = 0; ///< Upper half of the trace's 128 bits.
    std::uint64_t trace_low = 0;  ///< Lower half; not both are 0.
    std::uint64_t span = 0;       ///< Not 0.
    std::uint8_t flags = 0;       ///< Bit 0: the caller records the trace.

    bool operator==(const trace_context&) const = default;
};

/// Reads a `traceparent` header.
///
/// @return Nothing when it is not valid; the caller then starts a trace.
[[nodiscard]] std::optional<trace_context>
parse_traceparent(std::string_view text) noexcept;

/// @return The header's text.
[[nodiscard]] std::string to_traceparent(const trace_context& context);

/// Starts a span in the same trace.
[[nodiscard]] trace_context child_of(const trace_context& parent,
                                     std::mt19937_64& random);

/// Starts a trace that is recorded.
[[nodiscard]] trace_context new_trace(std::mt19937_64& random);

} // namespace hyssopdeal::protocol

#endif
