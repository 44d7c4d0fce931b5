#include <hyssopdeal/transport/clock.hpp>

#include <ctime>

namespace hyssopdeal::transport
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// A lease must not outlive a suspension of the machine, during which the steady
// clock stands still.
monotonic_time system_clock::monotonic_now() const noexcept
{
    timespec now{};
    (void)::clock_gettime(CLOCK_BOOTTIME, &now);
    return monotonic_time{std::chrono::seconds{now.tv_sec} +
                          std::chrono::nanoseconds{now.tv_nsec}};
}

wall_time system_clock::wall_now() const noexcept
{
    return std::chrono::time_point_cast<milliseconds>(
        std::chrono::system_clock::now());
}

monotonic_time manual_clock::monotonic_now() const noexcept
{
    return monotonic_time{elapsed_.load()};
}

wall_time manual_clock::wall_now() const noexcept
{
    return wall_time{shift_.load() +
                     duration_cast<milliseconds>(elapsed_.load())};
}

void manual_clock::advance(std::chrono::nanoseconds step) noexcept
{
    elapsed_.store(elapsed_.load() + step);
}

void manual_clock::shift_wall(milliseconds step) noexcept
{
    shift_.store(shift_.load() + step);
}

} // namespace hyssopdeal::transport
