#ifndef HYSSOPDEAL_TRANSPORT_CLOCK_HPP
#define HYSSOPDEAL_TRANSPORT_CLOCK_HPP

/// @file
/// The two kinds of time, kept apart by type, and the clock that is passed in.
///
/// Index: [times] [clock] [system_clock] [manual_clock]

#include <atomic>
#include <chrono>

namespace hyssopdeal::transport
{

// [times] --------------------------------------------------------------------

/// Monotonic time: for timeouts, leases and measured durations.
using monotonic_time = std::chrono::time_point<std::chrono::steady_clock,
                                               std::chrono::nanoseconds>;

/// Wall time: for deadlines that operators write and for records.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

// [clock] --------------------------------------------------------------------

/// Source of time; handed to whatever needs the time of day or a timeout.
class clock
{
public:
    virtual ~clock() = default;

    /// @return The monotonic time now.
    [[nodiscard]] virtual monotonic_time monotonic_now() const noexcept = 0;

    /// @return The wall time now.
    [[nodiscard]] virtual wall_time wall_now() const noexcept = 0;
};

// [system_clock] -------------------------------------------------------------

/// The operating system's clocks.
class system_clock final : public clock
{
public:
    [[nodiscard]] monotonic_time monotonic_now() const noexcept override;
    [[nodiscard]] wall_time wall_now() const noexcept override;
};

// [manual_clock] -------------------------------------------------------------

/// A clock that moves only when it is told to; safe to read from any thread.
class manual_clock final : public clock
{
public:
    [[nodiscard]] monotonic_time monotonic_now() const noexcept override;
    [[nodiscard]] wall_time wall_now() const noexcept override;

    /// Moves both times forward.
    ///
    /// @param step How far; not negative.
    void advance(std::chrono::nanoseconds step) noexcept;

    /// Moves only the wall time, as a clock adjustment does.
    ///
    /// @param step How far; negative to go back.
    void shift_wall(std::chrono::milliseconds step) noexcept;

private:
    std::atomic<std::chrono::nanoseconds> elapsed_{std::chrono::hours{1}};
    std::atomic<std::chrono::milliseconds> shift_{
        std::chrono::milliseconds{1'700'000'000'000}};
};

} // namespace hyssopdeal::transport

#endif
