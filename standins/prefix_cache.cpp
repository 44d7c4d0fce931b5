#include "prefix_cache.hpp"

#include <algorithm>

#include <xxhash.h>

namespace hyssopdeal::standins
{

namespace
{

constexpr std::size_t max_kept_events = 100'000;
constexpr std::size_t max_events_at_once = 1'000;

} // namespace

std::vector<std::uint64_t> block_chain(std::string_view text)
{
    std::vector<std::uint64_t> chain;
    std::uint64_t former = 0;
    for (std::size_t at = 0; at + block_bytes <= text.size(); at += block_bytes)
    {
        former = XXH3_64bits_withSeed(text.data() + at, block_bytes, former);
        chain.push_back(former);
    }
    return chain;
}

std::size_t prefix_cache::leading(const std::vector<std::uint64_t>& chain) const
{
    const auto missing =
        std::find_if(chain.begin(), chain.end(), [this](std::uint64_t block) {
            return !places_.contains(block);
        });
    return static_cast<std::size_t>(missing - chain.begin());
}

void prefix_cache::store(const std::vector<std::uint64_t>& chain,
                         transport::monotonic_time now)
{
    // From the last block to the first, so that the ends of chains go first.
    for (auto block = chain.rbegin(); block != chain.rend(); ++block)
    {
        const auto known = places_.find(*block);
        if (known != places_.end())
        {
            order_.splice(order_.begin(), order_, known->second);
            continue;
        }
        order_.push_front(*block);
        places_.emplace(*block, order_.begin());
        record(cache_event_kind::stored, *block, now);
    }
    while (places_.size() > max_blocks_)
    {
        record(cache_event_kind::evicted, order_.back(), now);
        places_.erase(order_.back());
        order_.pop_back();
    }
}

std::vector<cache_event>
prefix_cache::events(std::uint64_t after,
                     transport::monotonic_time before) const
{
    std::vector<cache_event> found;
    for (const auto& event : events_)
    {
        if (event.at > before || found.size() >= max_events_at_once)
        {
            break;
        }
        if (event.number > after)
        {
            found.push_back(event);
        }
    }
    return found;
}

void prefix_cache::record(cache_event_kind kind, std::uint64_t block,
                          transport::monotonic_time now)
{
    const auto number = events_.empty() ? 1 : events_.back().number + 1;
    events_.push_back({number, kind, block, now});
    if (events_.size() > max_kept_events)
    {
        const auto half = static_cast<std::ptrdiff_t>(max_kept_events / 2);
        events_.erase(events_.begin(), events_.begin() + half);
    }
}

} // namespace hyssopdeal::standins
