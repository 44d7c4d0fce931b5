#include <hyssopdeal/coordination/prefix_index.hpp>

#include <algorithm>
#include <deque>
#include <utility>
#include <vector>

#include <xxhash.h>

namespace hyssopdeal::coordination
{

namespace
{

constexpr std::size_t holders_per_block = 4;
constexpr std::size_t smallest_table = 64; // places, a power of two
constexpr std::uint32_t nobody = no_server;
constexpr double tokens_per_block =
    static_cast<double>(prefix_block_bytes) / bytes_per_token;

/// Steps down the chain that find() makes for further matches.
constexpr std::size_t max_walk = 16;

/// A server that has a block, and when it was recorded.
struct holder
{
    std::uint32_t server = nobody;
    std::uint32_t stamp = 0; ///< Of the server's own count.
};

/// One place of the open-addressed table; hash 0 is free.
struct place
{
    std::uint64_t hash = 0;
    std::array<holder, holders_per_block> holders{};

    [[nodiscard]] bool is_held() const noexcept
    {
        return std::any_of(holders.begin(), holders.end(),
                           [](const auto& h) { return h.server != nobody; });
    }

    holder* find(std::uint32_t server) noexcept
    {
        auto* found = std::find_if(
            holders.begin(), holders.end(),
            [server](const auto& h) { return h.server == server; });
        return found == holders.end() ? nullptr : found;
    }
};

/// Blocks by hash, linear probing, deletion by moving back.
class block_table
{
public:
    block_table()
        : places_(smallest_table),
          mask_(smallest_table - 1)
    {}

    [[nodiscard]] const place* find(std::uint64_t hash) const noexcept
    {
        for (std::size_t at = hash & mask_; places_[at].hash != 0;
             at = (at + 1) & mask_)
        {
            if (places_[at].hash == hash)
            {
                return &places_[at];
            }
        }
        return nullptr;
    }

    place* find(std::uint64_t hash) noexcept
    {
        return const_cast<place*>(std::as_const(*this).find(hash));
    }

    place& find_or_add(std::uint64_t hash)
    {
        if ((used_ + 1) * 2 > places_.size())
        {
            grow();
        }
        auto& found = places_[position_for(hash)];
        used_ += found.hash == 0 ? 1 : 0;
        found.hash = hash;
        return found;
    }

    void erase(place& gone) noexcept
    {
        auto hole = static_cast<std::size_t>(&gone - places_.data());
        std::size_t at = (hole + 1) & mask_;
        while (places_[at].hash != 0)
        {
            const std::size_t home = places_[at].hash & mask_;
            if (((at - home) & mask_) >= ((at - hole) & mask_))
            {
                places_[hole] = places_[at];
                hole = at;
            }
            at = (at + 1) & mask_;
        }
        places_[hole] = {};
        --used_;
    }

private:
    /// Where a hash is, or where it can be put.
    [[nodiscard]] std::size_t position_for(std::uint64_t hash) const noexcept
    {
        std::size_t at = hash & mask_;
        while (places_[at].hash != 0 && places_[at].hash != hash)
        {
            at = (at + 1) & mask_;
        }
        return at;
    }

    void grow()
    {
        std::vector<place> former(places_.size() * 2);
        former.swap(places_);
        mask_ = places_.size() - 1;
        for (const auto& kept : former)
        {
            if (kept.hash != 0)
            {
                places_[position_for(kept.hash)] = kept;
            }
        }
    }

    std::vector<place> places_;
    std::size_t mask_;
    std::size_t used_ = 0;
};

/// A block in the order of recording.
struct recorded_block
{
    std::uint64_t hash = 0;
    std::uint32_t stamp = 0;
};

/// What one server has recorded.
struct server_blocks
{
    std::deque<recorded_block> ring; ///< Oldest first.
    std::uint32_t held = 0;          ///< Blocks in the table.
    std::uint32_t stamp = 0;         ///< Of the last recording.
    std::uint32_t gap_stamp = 0;     ///< Last recording before a gap.
    std::uint64_t last_event = 0;
};

} // namespace

std::span<const std::uint64_t> prefix_chain::view() const noexcept
{
    return {blocks.data(), size};
}

prefix_chain make_prefix_chain(std::string_view prompt) noexcept
{
    prefix_chain chain;
    std::uint64_t previous = 0;
    while (prompt.size() >= prefix_block_bytes &&
           chain.size < max_prefix_blocks)
    {
        previous =
            XXH3_64bits_withSeed(prompt.data(), prefix_block_bytes, previous);
        chain.blocks.at(chain.size) = previous;
        ++chain.size;
        prompt.remove_prefix(prefix_block_bytes);
    }
    return chain;
}

struct prefix_index::impl
{
    explicit impl(const prefix_index_settings& wanted)
        : settings(wanted),
          servers(wanted.servers)
    {}

    void drop(server_index server, std::uint64_t hash)
    {
        auto* found = table.find(hash);
        auto* held = found != nullptr ? found->find(server) : nullptr;
        if (held == nullptr)
        {
            return;
        }
        *held = {};
        --servers[server].held;
        if (!found->is_held())
        {
            table.erase(*found);
        }
    }

    void drop_oldest(server_index server)
    {
        auto& blocks = servers[server];
        const auto oldest = blocks.ring.front();
        blocks.ring.pop_front();
        auto* found = table.find(oldest.hash);
        auto* held = found != nullptr ? found->find(server) : nullptr;
        if (held != nullptr && held->stamp == oldest.stamp)
        {
            drop(server, oldest.hash);
        }
    }

    /// A block recorded lately keeps its turn, so that hot prefixes do not push
    /// everything else out of the ring.
    [[nodiscard]] bool is_recent(server_index server, std::uint64_t hash)
    {
        const auto& blocks = servers[server];
        auto* found = table.find(hash);
        const auto* held = found != nullptr ? found->find(server) : nullptr;
        return held != nullptr && held->stamp > blocks.gap_stamp &&
               blocks.stamp - held->stamp < settings.blocks_per_server / 2;
    }

    void record(server_index server, std::uint64_t hash)
    {
        if (is_recent(server, hash))
        {
            return;
        }
        auto& blocks = servers[server];
        if (blocks.ring.size() >= settings.blocks_per_server)
        {
            drop_oldest(server);
        }
        auto& where = table.find_or_add(hash);
        auto* held = where.find(server);
        if (held == nullptr)
        {
            held = place_for(where);
            held->server = server;
            ++blocks.held;
        }
        held->stamp = ++blocks.stamp;
        blocks.ring.push_back({hash, held->stamp});
    }

    /// A free holder, or the first one, whose server is forgotten.
    holder* place_for(place& where)
    {
        auto* free = where.find(nobody);
        if (free != nullptr)
        {
            return free;
        }
        auto* first = where.holders.data();
        --servers[first->server].held;
        std::rotate(where.holders.begin(), where.holders.begin() + 1,
                    where.holders.end());
        return &where.holders.back();
    }

    [[nodiscard]] double trust(const holder& held) const noexcept
    {
        return held.stamp <= servers[held.server].gap_stamp ? settings.gap_trust
                                                            : 1.0;
    }

    /// Length of the longest prefix that anybody has.
    [[nodiscard]] std::size_t longest(const prefix_chain& chain) const noexcept
    {
        std::size_t known = 0;
        std::size_t unknown = chain.size + 1;
        while (unknown - known > 1)
        {
            const auto middle = (known + unknown) / 2;
            if (table.find(chain.blocks[middle - 1]) != nullptr)
            {
                known = middle;
            }
            else
            {
                unknown = middle;
            }
        }
        return known;
    }

    prefix_index_settings settings;
    block_table table;
    std::vector<server_blocks> servers;
};

prefix_index::prefix_index(const prefix_index_settings& settings)
    : impl_(std::make_unique<impl>(settings))
{}

prefix_index::prefix_index(prefix_index&&) noexcept = default;
prefix_index& prefix_index::operator=(prefix_index&&) noexcept = default;
prefix_index::~prefix_index() = default;

void prefix_index::on_dispatch(server_index server, const prefix_chain& chain)
{
    if (server >= impl_->servers.size())
    {
        return;
    }
    for (const auto hash : chain.view())
    {
        impl_->record(server, hash);
    }
}

void prefix_index::on_event(server_index server, const cache_event& event)
{
    if (server >= impl_->servers.size())
    {
        return;
    }
    auto& blocks = impl_->servers[server];
    if (event.number <= blocks.last_event)
    {
        return;
    }
    if (event.number > blocks.last_event + 1)
    {
        blocks.gap_stamp = blocks.stamp;
    }
    blocks.last_event = event.number;
    if (event.kind == cache_event_kind::stored)
    {
        impl_->record(server, event.block);
    }
    else
    {
        impl_->drop(server, event.block);
    }
}

void prefix_index::clear(server_index server)
{
    if (server >= impl_->servers.size())
    {
        return;
    }
    auto& blocks = impl_->servers[server];
    while (!blocks.ring.empty())
    {
        impl_->drop_oldest(server);
    }
    blocks.last_event = 0;
}

void prefix_index::resync(server_index server)
{
    if (server >= impl_->servers.size())
    {
        return;
    }
    auto& blocks = impl_->servers[server];
    while (!blocks.ring.empty() &&
           blocks.ring.front().stamp <= blocks.gap_stamp)
    {
        impl_->drop_oldest(server);
    }
}

std::size_t prefix_index::find(const prefix_chain& chain,
                               match_list& matches) const noexcept
{
    std::size_t filled = 0;
    const auto longest = impl_->longest(chain);
    const auto shortest = longest > max_walk ? longest - max_walk : 0;
    for (auto length = longest; length > shortest; --length)
    {
        const auto* found = impl_->table.find(chain.blocks[length - 1]);
        if (found == nullptr)
        {
            continue;
        }
        for (const auto& held : found->holders)
        {
            const auto* begin = matches.data();
            const bool known =
                std::any_of(begin, begin + filled, [&held](const auto& match) {
                    return match.server == held.server;
                });
            if (held.server == nobody || known || filled == max_matches)
            {
                continue;
            }
            matches[filled] = {held.server, static_cast<double>(length) *
                                                tokens_per_block *
                                                impl_->trust(held)};
            ++filled;
        }
        if (filled == max_matches)
        {
            break;
        }
    }
    return filled;
}

std::uint32_t prefix_index::blocks(server_index server) const noexcept
{
    return server < impl_->servers.size() ? impl_->servers[server].held : 0;
}

} // namespace hyssopdeal::coordination
