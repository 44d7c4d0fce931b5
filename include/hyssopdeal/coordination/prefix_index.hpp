#ifndef HYSSOPDEAL_COORDINATION_PREFIX_INDEX_HPP
#define HYSSOPDEAL_COORDINATION_PREFIX_INDEX_HPP

/// @file
/// Which backend servers probably have which prompt prefixes in their cache.
///
/// Index: [prefix_chain] [settings] [cache_event] [prefix_index]
///
/// A prompt is cut into blocks of equal size; each block's hash covers all
/// blocks before it, so that one hash names a whole prefix.

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

/// Blocks of a prompt that are looked at.
inline constexpr std::size_t max_prefix_blocks = 64;

/// Bytes of text that make a token, for estimates.
inline constexpr double bytes_per_token = 4;

/// Hashes of a prompt's prefixes, shortest first.
struct prefix_chain
{
    std::array<std::uint64_t, max_prefix_blocks> blocks{};
    std::size_t size = 0;

    [[nodiscard]] std::span<const std::uint64_t> view() const noexcept;
};

/// Hashes a prompt; the last block that is not full is left out. A block's hash
/// is XXH3 of its bytes seeded by the hash before it (0 for the first).
[[nodiscard]] prefix_chain make_prefix_chain(std::string_view prompt) noexcept;

// [settings] -----------------------------------------------------------------

/// Bounds of the index.
struct prefix_index_settings
{
    std::uint32_t servers = 64;              ///< Positions that can be used.
    std::uint32_t blocks_per_server = 4'096; ///< Then the oldest goes.
    double gap_trust = 0.5; ///< Weight of blocks recorded before a gap.
};

// [cache_event] --------------------------------------------------------------

/// What a backend server says of one block.
enum class cache_event_kind : std::uint8_t
{
    stored,
    evicted
};

/// An event, late and perhaps after a gap in the numbers.
struct cache_event
{
    std::uint64_t number = 0; ///< Counted by the server.
    cache_event_kind kind = cache_event_kind::stored;
    std::uint64_t block = 0; ///< Hash as of make_prefix_chain().
};

// [prefix_index] -------------------------------------------------------------

/// Bounded index of all servers of one service; grows with what is recorded,
/// looks up without allocating.
class prefix_index
{
public:
    /// Most matches that find() gives.
    static constexpr std::size_t max_matches = 4;
    using match_list = std::array<prefix_match, max_matches>;

    explicit prefix_index(const prefix_index_settings& settings = {});
    prefix_index(prefix_index&&) noexcept;
    prefix_index& operator=(prefix_index&&) noexcept;
    ~prefix_index();

    /// Records that a prompt was sent to a server, which will have it cached.
    void on_dispatch(server_index server, const prefix_chain& chain);

    /// Applies a cache event; a gap before it lowers the trust in all that was
    /// recorded for the server before.
    void on_event(server_index server, const cache_event& event);

    /// Forgets all of a server, as when it restarted.
    void clear(server_index server);

    /// The server's whole cache is known again: what was recorded before and
    /// not confirmed since the last gap is forgotten.
    void resync(server_index server);

    /// Finds the servers with the longest known prefixes of a prompt.
    ///
    /// @param matches Filled, longest first.
    /// @return How many were filled.
    [[nodiscard]] std::size_t find(const prefix_chain& chain,
                                   match_list& matches) const noexcept;

    /// @return Blocks recorded for a server.
    [[nodiscard]] std::uint32_t blocks(server_index server) const noexcept;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::coordination

#endif
