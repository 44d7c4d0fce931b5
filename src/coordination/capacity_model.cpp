#include <hyssopdeal/coordination/capacity_model.hpp>

#include <algorithm>
#include <cmath>

namespace hyssopdeal::coordination
{

double waiting_probability(std::uint32_t slots, double busy_slots) noexcept
{
    if (busy_slots <= 0)
    {
        return 0;
    }
    if (slots <= busy_slots)
    {
        return 1;
    }
    // Erlang C is derived from the recursive form of Erlang B, which avoids the
    // large powers and factorials of the closed form.
    double blocking_probability = 1;
    for (std::uint32_t n = 1; n <= slots; ++n)
    {
        blocking_probability = busy_slots * blocking_probability /
                               (n + busy_slots * blocking_probability);
    }
    const double utilization = busy_slots / slots;
    return blocking_probability /
           (1 - utilization * (1 - blocking_probability));
}

double service_level(const service_load& load, double busy_slots,
                     std::uint32_t slots) noexcept
{
    if (busy_slots <= 0)
    {
        return 1;
    }
    if (slots <= busy_slots)
    {
        return 0;
    }
    const double limit = std::chrono::duration<double>(load.wait_limit).count();
    const double duration =
        std::max(std::chrono::duration<double>(load.duration).count(), 0.001);
    const double late_fraction =
        waiting_probability(slots, busy_slots) *
        std::exp(-(slots - busy_slots) * limit / duration);
    return 1 - late_fraction;
}

std::uint32_t slots_needed(const service_load& load, double busy_slots) noexcept
{
    if (busy_slots <= 0)
    {
        return 0;
    }
    auto low = static_cast<std::uint32_t>(busy_slots) + 1;
    auto high = low;
    while (service_level(load, busy_slots, high) < load.target_service_level)
    {
        high *= 2;
    }
    while (low < high)
    {
        const auto middle = low + (high - low) / 2;
        if (service_level(load, busy_slots, middle) >=
            load.target_service_level)
        {
            high = middle;
        }
        else
        {
            low = middle + 1;
        }
    }
    return low;
}

} // namespace hyssopdeal::coordination
