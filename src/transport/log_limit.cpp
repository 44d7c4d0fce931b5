/// @file
/// Bound for log lines of one kind.

#include <hyssopdeal/transport/log_limit.hpp>

#include <utility>

namespace hyssopdeal::transport
{

std::optional<std::uint64_t> log_limit::count(monotonic_time now)
{
    const std::lock_guard guard{lock_};
    ++total_;
    auto& oldest = logged_at_.at(lines_ % lines_per_s);
    if (lines_ >= lines_per_s && now - oldest < std::chrono::seconds{1})
    {
        ++suppressed_;
        return std::nullopt;
    }
    oldest = now;
    ++lines_;
    return std::exchange(suppressed_, 0);
}

std::optional<std::uint64_t> log_limit::count()
{
    return count(system_clock{}.monotonic_now());
}

std::uint64_t log_limit::total() const
{
    const std::lock_guard guard{lock_};
    return total_;
}

} // namespace hyssopdeal::transport
