#ifndef HYSSOPDEAL_STANDINS_PREFIX_CACHE_HPP
#define HYSSOPDEAL_STANDINS_PREFIX_CACHE_HPP

/// @file
/// An engine's prefix cache: which blocks of text it holds, in limited memory,
/// and the events that it publishes about them.
///
/// Index: [blocks] [cache_event] [prefix_cache]

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::standins
{

// [blocks] -------------------------------------------------------------------

/// Bytes of rendered text in one block.
constexpr std::size_t block_bytes = 256;

/// Hashes the whole blocks of a text, each one chained to those before it:
/// XXH3 (64 bits) of the block with the former hash as the seed, 0 at first.
[[nodiscard]] std::vector<std::uint64_t> block_chain(std::string_view text);

// [cache_event] --------------------------------------------------------------

/// What happened to a block.
enum class cache_event_kind : std::uint8_t
{
    stored,
    evicted
};

/// One published change of the cache.
struct cache_event
{
    std::uint64_t number = 0; ///< Counted from 1.
    cache_event_kind kind = cache_event_kind::stored;
    std::uint64_t block = 0;      ///< The block's chained hash.
    transport::monotonic_time at; ///< When it happened.
};

// [prefix_cache] -------------------------------------------------------------

/// Blocks in least-recently-used order.
class prefix_cache
{
public:
    explicit prefix_cache(std::size_t max_blocks)
        : max_blocks_(max_blocks)
    {}

    /// @return How many leading blocks of a chain are held.
    [[nodiscard]] std::size_t
    leading(const std::vector<std::uint64_t>& chain) const;

    /// Holds all blocks of a chain, evicting others.
    void store(const std::vector<std::uint64_t>& chain,
               transport::monotonic_time now);

    /// @return Events after a number that happened before a time, oldest
    /// first; at most 1,000.
    [[nodiscard]] std::vector<cache_event>
    events(std::uint64_t after, transport::monotonic_time before) const;

    /// @return Blocks held.
    [[nodiscard]] std::size_t size() const noexcept
    {
        return places_.size();
    }

private:
    void record(cache_event_kind kind, std::uint64_t block,
                transport::monotonic_time now);

    std::size_t max_blocks_;
    std::list<std::uint64_t> order_; // most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        places_;
    std::vector<cache_event> events_;
};

} // namespace hyssopdeal::standins

#endif
