#ifndef HYSSOPDEAL_COORDINATION_MEMBER_TABLE_HPP
#define HYSSOPDEAL_COORDINATION_MEMBER_TABLE_HPP

/// @file
/// The member table: one entry for each name, merged so that every order of
/// the same updates gives the same table.
///
/// Index: [precedence] [member_table]

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include <hyssopdeal/protocol/gossip.hpp>

namespace hyssopdeal::coordination
{

// [precedence] ---------------------------------------------------------------

/// @return Whether `update` replaces `known`: a higher incarnation does, and
///     within one incarnation a later state. A late list entry can therefore
///     not revive what is leaving or dead.
[[nodiscard]] bool supersedes(const protocol::member_update& update,
                              const protocol::member_update& known) noexcept;

// [member_table] -------------------------------------------------------------

/// Entries by name, with digests by which two tables find their differences.
/// Dead entries count as absent in the digests, so that tables that forgot
/// them at different times still agree.
class member_table
{
public:
    /// Buckets that digests are kept for.
    static constexpr std::uint32_t bucket_count = 64;

    member_table();
    member_table(member_table&&) noexcept;
    member_table& operator=(member_table&&) noexcept;
    ~member_table();

    /// Merges one update. Addresses and domain that the update leaves empty
    /// keep their known value.
    ///
    /// @return Whether the entry changed.
    bool merge(const protocol::member_update& update);

    /// Removes a name, whatever its state.
    void erase(std::string_view name);

    /// @return The entry of a name, or nullptr; valid until the next change.
    [[nodiscard]] const protocol::member_update*
    find(std::string_view name) const noexcept;

    /// @return All entries, in no order; valid until the next change.
    [[nodiscard]] const std::vector<protocol::member_update>&
    entries() const noexcept;

    /// @return Digest of the whole table; equal tables have equal digests.
    [[nodiscard]] std::uint64_t digest() const noexcept;

    /// @return The digests of all buckets that are not empty.
    [[nodiscard]] std::vector<protocol::bucket_digest> buckets() const;

    /// Finds the entries of buckets whose digest differs from the other
    /// table's; a bucket that the other left out counts as empty there.
    [[nodiscard]] std::vector<protocol::member_update>
    differing(const std::vector<protocol::bucket_digest>& others) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::coordination

#endif
