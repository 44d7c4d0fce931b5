#ifndef HYSSOPDEAL_TRANSPORT_LOG_LIMIT_HPP
#define HYSSOPDEAL_TRANSPORT_LOG_LIMIT_HPP

/// @file
/// Bounds the log lines of one kind that anyone who can connect may cause, and
/// counts all occurrences.
///
/// Index: [log_limit]

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>

#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::transport
{

// [log_limit] ----------------------------------------------------------------

/// Admits at most ten lines in any second. Safe to use from several threads.
class log_limit
{
public:
    static constexpr std::size_t lines_per_s = 10;

    /// Counts an occurrence.
    ///
    /// @return Nothing when it is not to be logged; otherwise how many were
    ///     not logged since the line before.
    [[nodiscard]] std::optional<std::uint64_t> count(monotonic_time now);

    /// Counts an occurrence at the present time of the system's clock.
    [[nodiscard]] std::optional<std::uint64_t> count();

    /// @return All occurrences, logged or not.
    [[nodiscard]] std::uint64_t total() const;

private:
    mutable std::mutex lock_;
    std::array<monotonic_time, lines_per_s> logged_at_{}; ///< Latest lines.
    std::uint64_t lines_ = 0;
    std::uint64_t total_ = 0;
    std::uint64_t suppressed_ = 0; ///< Since the latest line.
};

} // namespace hyssopdeal::transport

#endif
