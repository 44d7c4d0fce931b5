#include <hyssopdeal/coordination/concurrency_limit.hpp>

#include <algorithm>

namespace hyssopdeal::coordination
{

concurrency_limit::concurrency_limit(concurrency_settings settings)
    : settings_(settings),
      limit_(settings.initial)
{}

bool concurrency_limit::has_room() const noexcept
{
    return in_flight_ < limit();
}

void concurrency_limit::on_sent() noexcept
{
    ++in_flight_;
}

void concurrency_limit::on_sample(transport::monotonic_time now,
                                  concurrency_sample sample,
                                  std::chrono::microseconds observed,
                                  std::chrono::microseconds unloaded) noexcept
{
    const bool is_congested =
        std::chrono::duration<double>(observed) >
        std::chrono::duration<double>(unloaded) * settings_.latency_tolerance +
            settings_.latency_slack;
    if (sample == concurrency_sample::answered && !is_congested)
    {
        // Answers far below the limit do not show that the server can take
        // more.
        const bool in_use = in_flight_ * 2 >= limit();
        limit_ += in_use ? 1 / limit_ : 0;
        limit_ = std::min(limit_, static_cast<double>(settings_.highest));
        return;
    }
    if (now - last_decrease_ < settings_.decrease_interval)
    {
        return;
    }
    last_decrease_ = now;
    limit_ = std::max(limit_ * settings_.decrease_factor,
                      static_cast<double>(settings_.lowest));
}

void concurrency_limit::on_ended() noexcept
{
    in_flight_ -= in_flight_ > 0 ? 1 : 0;
}

std::uint32_t concurrency_limit::limit() const noexcept
{
    return static_cast<std::uint32_t>(limit_);
}

std::uint32_t concurrency_limit::in_flight() const noexcept
{
    return in_flight_;
}

} // namespace hyssopdeal::coordination
