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
constexpr std::size_t min_buckets = 64; // power of two
constexpr double tokens_per_block =
    static_cast<double>(prefix_block_bytes) / bytes_per_token;

/// Number of prefix lengths that find() examines, from the longest down.
constexpr std::size_t max_lengths_examined = 16;

/// A server that has a block, and the order in which it was recorded.
struct holder
{
    std::uint32_t server = no_server;
    std::uint32_t sequence = 0; ///< Counted per server.
};

/// Bucket of the open-addressed hash table; hash 0 marks a free bucket.
struct bucket
{
    std::uint64_t hash = 0;
    std::array<holder, holders_per_block> holders{};

    [[nodiscard]] bool has_holders() const noexcept
    {
        return std::any_of(holders.begin(), holders.end(),
                           [](const auto& h) { return h.server != no_server; });
    }

    holder* find(std::uint32_t server) noexcept
    {
        auto* found = std::find_if(
            holders.begin(), holders.end(),
            [server](const auto& h) { return h.server == server; });
        return found == holders.end() ? nullptr : found;
    }
};

/// Hash table of blocks: linear probing, deletion by backward shift.
class block_table
{
public:
    block_table()
        : buckets_(min_buckets),
          mask_(min_buckets - 1)
    {}

    [[nodiscard]] const bucket* find(std::uint64_t hash) const noexcept
    {
        for (std::size_t at = hash & mask_; buckets_[at].hash != 0;
             at = (at + 1) & mask_)
        {
            if (buckets_[at].hash == hash)
            {
                return &buckets_[at];
            }
        }
        return nullptr;
    }

    bucket* find(std::uint64_t hash) noexcept
    {
        return const_cast<bucket*>(std::as_const(*this).find(hash));
    }

    bucket& find_or_add(std::uint64_t hash)
    {
        if ((used_ + 1) * 2 > buckets_.size())
        {
            grow();
        }
        auto& found = buckets_[bucket_for(hash)];
        used_ += found.hash == 0 ? 1 : 0;
        found.hash = hash;
        return found;
    }

    void erase(bucket& erased) noexcept
    {
        auto hole = static_cast<std::size_t>(&erased - buckets_.data());
        std::size_t at = (hole + 1) & mask_;
        while (buckets_[at].hash != 0)
        {
            const std::size_t home_bucket = buckets_[at].hash & mask_;
            if (((at - home_bucket) & mask_) >= ((at - hole) & mask_))
            {
                buckets_[hole] = buckets_[at];
                hole = at;
            }
            at = (at + 1) & mask_;
        }
        buckets_[hole] = {};
        --used_;
    }

private:
    /// @return Index of the bucket that holds a hash or can take it.
    [[nodiscard]] std::size_t bucket_for(std::uint64_t hash) const noexcept
    {
        std::size_t at = hash & mask_;
        while (buckets_[at].hash != 0 && buckets_[at].hash != hash)
        {
            at = (at + 1) & mask_;
        }
        return at;
    }

    void grow()
    {
        std::vector<bucket> old_buckets(buckets_.size() * 2);
        old_buckets.swap(buckets_);
        mask_ = buckets_.size() - 1;
        for (const auto& kept : old_buckets)
        {
            if (kept.hash != 0)
            {
                buckets_[bucket_for(kept.hash)] = kept;
            }
        }
    }

    std::vector<bucket> buckets_;
    std::size_t mask_;
    std::size_t used_ = 0;
};

/// Block in a server's eviction queue.
struct recorded_block
{
    std::uint64_t hash = 0;
    std::uint32_t sequence = 0;
};

/// Blocks recorded for one server.
struct server_blocks
{
    std::deque<recorded_block> queue; ///< Oldest first, for eviction.
    std::uint32_t count = 0;          ///< Blocks in the table.
    std::uint32_t sequence = 0;       ///< Last number given to a block.
    std::uint32_t gap_sequence = 0;   ///< Value of sequence at the last gap.
    std::uint64_t last_event = 0;     ///< Number of the last cache event.
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

    void remove(server_index server, std::uint64_t hash)
    {
        auto* found = table.find(hash);
        auto* held = found != nullptr ? found->find(server) : nullptr;
        if (held == nullptr)
        {
            return;
        }
        *held = {};
        --servers[server].count;
        if (!found->has_holders())
        {
            table.erase(*found);
        }
    }

    void evict_oldest(server_index server)
    {
        auto& blocks = servers[server];
        const auto oldest = blocks.queue.front();
        blocks.queue.pop_front();
        auto* found = table.find(oldest.hash);
        auto* held = found != nullptr ? found->find(server) : nullptr;
        if (held != nullptr && held->sequence == oldest.sequence)
        {
            remove(server, oldest.hash);
        }
    }

    /// A recently recorded block keeps its position in the queue: queueing hot
    /// prefixes again on each use would evict all other blocks. A block from
    /// before a gap doesn't count as recent, so that recording confirms it.
    [[nodiscard]] bool is_recent(server_index server, std::uint64_t hash)
    {
        const auto& blocks = servers[server];
        auto* found = table.find(hash);
        const auto* held = found != nullptr ? found->find(server) : nullptr;
        return held != nullptr && held->sequence > blocks.gap_sequence &&
               blocks.sequence - held->sequence <
                   settings.blocks_per_server / 2;
    }

    void record(server_index server, std::uint64_t hash)
    {
        if (is_recent(server, hash))
        {
            return;
        }
        auto& blocks = servers[server];
        if (blocks.queue.size() >= settings.blocks_per_server)
        {
            evict_oldest(server);
        }
        auto& target = table.find_or_add(hash);
        auto* held = target.find(server);
        if (held == nullptr)
        {
            held = allocate_holder(target);
            held->server = server;
            ++blocks.count;
        }
        held->sequence = ++blocks.sequence;
        blocks.queue.push_back({hash, held->sequence});
    }

    /// @return A free holder of the bucket. If none is free, the first holder's
    /// server is removed to free one.
    holder* allocate_holder(bucket& target)
    {
        auto* free = target.find(no_server);
        if (free != nullptr)
        {
            return free;
        }
        auto* first = target.holders.data();
        --servers[first->server].count;
        std::rotate(target.holders.begin(), target.holders.begin() + 1,
                    target.holders.end());
        return &target.holders.back();
    }

    [[nodiscard]] double weight(const holder& held) const noexcept
    {
        return held.sequence <= servers[held.server].gap_sequence
                   ? settings.gap_weight
                   : 1.0;
    }

    /// Binary search over the prefix lengths; assumes that all shorter prefixes
    /// of a recorded prefix are recorded too.
    ///
    /// @return Length in blocks of the longest prefix that any server has.
    [[nodiscard]] std::size_t
    longest_known(const prefix_chain& chain) const noexcept
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
        blocks.gap_sequence = blocks.sequence;
    }
    blocks.last_event = event.number;
    if (event.kind == cache_event_kind::stored)
    {
        impl_->record(server, event.block);
    }
    else
    {
        impl_->remove(server, event.block);
    }
}

void prefix_index::clear(server_index server)
{
    if (server >= impl_->servers.size())
    {
        return;
    }
    auto& blocks = impl_->servers[server];
    while (!blocks.queue.empty())
    {
        impl_->evict_oldest(server);
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
    while (!blocks.queue.empty() &&
           blocks.queue.front().sequence <= blocks.gap_sequence)
    {
        impl_->evict_oldest(server);
    }
}

std::size_t prefix_index::find(const prefix_chain& chain,
                               match_list& matches) const noexcept
{
    std::size_t filled = 0;
    const auto longest = impl_->longest_known(chain);
    const auto shortest =
        longest > max_lengths_examined ? longest - max_lengths_examined : 0;
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
            if (held.server == no_server || known || filled == max_matches)
            {
                continue;
            }
            matches[filled] = {held.server, static_cast<double>(length) *
                                                tokens_per_block *
                                                impl_->weight(held)};
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
    return server < impl_->servers.size() ? impl_->servers[server].count : 0;
}

} // namespace hyssopdeal::coordination
