#include <hyssopdeal/coordination/member_table.hpp>

#include <array>
#include <functional>
#include <string>
#include <unordered_map>
#include <utility>

#include <xxhash.h>

namespace hyssopdeal::coordination
{

using protocol::bucket_digest;
using protocol::member_state;
using protocol::member_update;

namespace
{

struct name_hash
{
    using is_transparent = void;

    std::size_t operator()(std::string_view name) const noexcept
    {
        return XXH3_64bits(name.data(), name.size());
    }
};

/// Hash of what two tables must agree on; addresses follow the incarnation.
std::uint64_t entry_digest(const member_update& entry) noexcept
{
    const std::uint64_t version =
        entry.incarnation * 4 + static_cast<std::uint64_t>(entry.state);
    return XXH3_64bits_withSeed(entry.name.data(), entry.name.size(), version);
}

std::uint32_t bucket_of(std::string_view name) noexcept
{
    return static_cast<std::uint32_t>(name_hash{}(name) %
                                      member_table::bucket_count);
}

void keep_known_fields(member_update& merged, const member_update& known)
{
    if (merged.gossip_address.empty())
    {
        merged.gossip_address = known.gossip_address;
    }
    if (merged.peer_address.empty())
    {
        merged.peer_address = known.peer_address;
    }
    if (merged.failure_domain.empty())
    {
        merged.failure_domain = known.failure_domain;
    }
}

} // namespace

bool supersedes(const member_update& update,
                const member_update& known) noexcept
{
    if (update.incarnation != known.incarnation)
    {
        return update.incarnation > known.incarnation;
    }
    return update.state > known.state;
}

struct member_table::impl
{
    std::vector<member_update> entries;
    std::unordered_map<std::string, std::size_t, name_hash, std::equal_to<>>
        positions;
    std::array<std::uint64_t, bucket_count> digests{};

    void toggle_digest(const member_update& entry) noexcept
    {
        if (entry.state != member_state::dead)
        {
            digests.at(bucket_of(entry.name)) ^= entry_digest(entry);
        }
    }

    void insert(const member_update& update)
    {
        positions.emplace(update.name, entries.size());
        entries.push_back(update);
        toggle_digest(update);
    }
};

member_table::member_table()
    : impl_(std::make_unique<impl>())
{}

member_table::member_table(member_table&&) noexcept = default;
member_table& member_table::operator=(member_table&&) noexcept = default;
member_table::~member_table() = default;

bool member_table::merge(const member_update& update)
{
    const auto found = impl_->positions.find(update.name);
    if (found == impl_->positions.end())
    {
        impl_->insert(update);
        return true;
    }
    auto& known = impl_->entries[found->second];
    if (!supersedes(update, known))
    {
        return false;
    }
    auto merged = update;
    keep_known_fields(merged, known);
    impl_->toggle_digest(known);
    known = std::move(merged);
    impl_->toggle_digest(known);
    return true;
}

void member_table::erase(std::string_view name)
{
    const auto found = impl_->positions.find(name);
    if (found == impl_->positions.end())
    {
        return;
    }
    const auto position = found->second;
    impl_->toggle_digest(impl_->entries[position]);
    impl_->positions.erase(found);
    if (position + 1 != impl_->entries.size())
    {
        impl_->entries[position] = std::move(impl_->entries.back());
        impl_->positions.find(impl_->entries[position].name)->second = position;
    }
    impl_->entries.pop_back();
}

const member_update* member_table::find(std::string_view name) const noexcept
{
    const auto found = impl_->positions.find(name);
    return found == impl_->positions.end() ? nullptr
                                           : &impl_->entries[found->second];
}

const std::vector<member_update>& member_table::entries() const noexcept
{
    return impl_->entries;
}

std::uint64_t member_table::digest() const noexcept
{
    return XXH3_64bits(impl_->digests.data(), sizeof(impl_->digests));
}

std::vector<bucket_digest> member_table::buckets() const
{
    std::vector<bucket_digest> result;
    for (std::uint32_t bucket = 0; bucket < bucket_count; ++bucket)
    {
        if (impl_->digests.at(bucket) != 0)
        {
            result.push_back({bucket, impl_->digests.at(bucket)});
        }
    }
    return result;
}

std::vector<member_update>
member_table::differing(const std::vector<bucket_digest>& others) const
{
    std::array<std::uint64_t, bucket_count> theirs{};
    for (const auto& item : others)
    {
        if (item.bucket < bucket_count)
        {
            theirs.at(item.bucket) = item.digest;
        }
    }
    std::vector<member_update> result;
    for (const auto& entry : impl_->entries)
    {
        const auto bucket = bucket_of(entry.name);
        if (theirs.at(bucket) != impl_->digests.at(bucket))
        {
            result.push_back(entry);
        }
    }
    return result;
}

} // namespace hyssopdeal::coordination
