#include <hyssopdeal/coordination/version_summary.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

#include <boost/histogram/axis/regular.hpp>

namespace hyssopdeal::coordination
{

namespace
{

using log_axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;

constexpr double lowest_us = 100;
constexpr double highest_us = 200'000'000;

const log_axis& latency_axis()
{
    static const log_axis axis{latency_counts::bin_count - 2, lowest_us,
                               highest_us};
    return axis;
}

} // namespace

load_bucket bucket_of(std::uint32_t running, std::uint32_t slots) noexcept
{
    const auto used = 3ULL * running;
    if (used < slots)
    {
        return load_bucket::light;
    }
    return used < 2ULL * slots ? load_bucket::moderate : load_bucket::heavy;
}

std::string_view to_string(load_bucket value) noexcept
{
    switch (value)
    {
    case load_bucket::light:
        return "light";
    case load_bucket::moderate:
        return "moderate";
    case load_bucket::heavy:
        return "heavy";
    }
    return "light";
}

void latency_counts::add(std::chrono::microseconds value) noexcept
{
    const auto us = std::max(static_cast<double>(value.count()), 1.0);
    // The axis gives -1 for underflow, which is bin 0 here.
    const int bin = latency_axis().index(us) + 1;
    ++bins.at(static_cast<std::size_t>(bin));
}

void latency_counts::merge(const latency_counts& other) noexcept
{
    for (std::size_t bin = 0; bin < bin_count; ++bin)
    {
        bins.at(bin) += other.bins.at(bin);
    }
}

std::uint64_t latency_counts::total() const noexcept
{
    return std::accumulate(bins.begin(), bins.end(), std::uint64_t{0});
}

std::size_t latency_counts::quantile_bin(double quantile) const noexcept
{
    const auto wanted = quantile * static_cast<double>(total());
    std::uint64_t seen = 0;
    for (std::size_t bin = 0; bin < bin_count; ++bin)
    {
        seen += bins.at(bin);
        if (static_cast<double>(seen) >= wanted)
        {
            return bin;
        }
    }
    return bin_count - 1;
}

std::uint64_t latency_counts::above(std::size_t bin) const noexcept
{
    std::uint64_t sum = 0;
    for (std::size_t next = bin + 1; next < bin_count; ++next)
    {
        sum += bins.at(next);
    }
    return sum;
}

std::chrono::microseconds latency_counts::upper_edge(std::size_t bin) noexcept
{
    const auto edge = latency_axis().value(static_cast<double>(bin));
    const auto capped = std::isfinite(edge) ? edge : highest_us;
    return std::chrono::microseconds{static_cast<std::int64_t>(capped)};
}

} // namespace hyssopdeal::coordination
