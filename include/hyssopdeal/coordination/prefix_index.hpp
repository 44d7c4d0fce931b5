#ifndef HYSSOPDEAL_COORDINATION_PREFIX_INDEX_HPP
#define HYSSOPDEAL_COORDINATION_PREFIX_INDEX_HPP

/// @file
/// Index of the prompt prefixes that backend servers probably have cached.
///
/// Index: [prefix_chain] [settings] [cache_event] [prefix_index]
///
/// A prompt is split into blocks of equal size. The hash of a block also covers
/// all blocks before it, so one hash identifies a whole prefix.

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string_view>

#include <hyssopdeal/coordination/load_balancer.hpp>

namespace hyssopdeal::coordination
{

// [prefix_chain] -------------------------------------------------------------

/// Bytes of prompt text in one block.
inline constexpr std::size_t prefix_block_bytes = 256;

/// Blocks of a prompt that are hashed; the rest of the prompt is ignored.
inline constexpr std::size_t max_prefix_blocks = 64;

/// Mean bytes of text per token, for estimates.
inline constexpr double bytes_per_token = 4;

/// Hashes of the prefixes of a prompt, shortest first.
struct prefix_chain
{
    std::array<std::uint64_t, max_prefix_blocks> blocks{};
    std::size_t size = 0;

    [[nodiscard]] std::span<const std::uint64_t> view() const noexcept;
};

/// Hashes the full blocks of a prompt; a partial last block is ignored. The
/// hash of a block is XXH3 of its bytes, seeded with the hash of the previous
/// block (0 for the first).
[[nodiscard]] prefix_chain make_prefix_chain(std::string_view prompt) noexcept;

// [settings] -----------------------------------------------------------------

/// Limits of the index.
struct prefix_index_settings
{
    std::uint32_t servers = 64;              ///< Bound of server_index.
    std::uint32_t blocks_per_server = 4'096; ///< Oldest are evicted beyond.
    /// Weight of blocks recorded before a gap in the event numbers.
    double gap_weight = 0.5;
};

// [cache_event] --------------------------------------------------------------

/// Change of a block in a backend server's cache.
enum class cache_event_kind : std::uint8_t
{
    stored,
    evicted
};

/// Cache event of a backend server. Events arrive late, and some may be lost.
struct cache_event
{
    std::uint64_t number = 0; ///< Sequence number of the server.
    cache_event_kind kind = cache_event_kind::stored;
    std::uint64_t block = 0; ///< Hash, see make_prefix_chain().
};

// [prefix_index] -------------------------------------------------------------

/// Bounded index for all servers of one service. Memory grows with the recorded
/// blocks; look-ups don't allocate.
class prefix_index
{
public:
    /// Most matches that find() returns.
    static constexpr std::size_t max_matches = 4;
    using match_list = std::array<prefix_match, max_matches>;

    explicit prefix_index(const prefix_index_settings& settings = {});
    prefix_index(prefix_index&&) noexcept;
    prefix_index& operator=(prefix_index&&) noexcept;
    ~prefix_index();

    /// Records the blocks of a prompt sent to a server as cached there.
    void on_dispatch(server_index server, const prefix_chain& chain);

    /// Applies a cache event; repeated and out-of-order events are ignored. A
    /// gap in the event numbers lowers the weight of all blocks recorded before
    /// for the server to gap_weight.
    void on_event(server_index server, const cache_event& event);

    /// Removes all blocks of a server, for instance after its restart.
    void clear(server_index server);

    /// Removes the blocks of a server that were recorded before the last gap
    /// and not confirmed since. For use once its whole cache is known again.
    void resync(server_index server);

    /// Finds the servers that hold the longest recorded prefixes of a prompt.
    ///
    /// @param matches Filled, longest first.
    /// @return Number of matches filled.
    [[nodiscard]] std::size_t find(const prefix_chain& chain,
                                   match_list& matches) const noexcept;

    /// @return Number of blocks recorded for a server.
    [[nodiscard]] std::uint32_t blocks(server_index server) const noexcept;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::coordination

#endif
