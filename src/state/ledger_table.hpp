#ifndef HYSSOPDEAL_SRC_STATE_LEDGER_TABLE_HPP
#define HYSSOPDEAL_SRC_STATE_LEDGER_TABLE_HPP

/// @file
/// The idempotency keys of all organisations, bounded in records and bytes.
/// Internal.
///
/// Index: [claim_id] [ledger_table]
///
/// A full ledger refuses new claims rather than forget a key that could then
/// be dispatched twice; only bodies of answers make room for newer ones.

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include <hyssopdeal/state/commands.hpp>
#include <hyssopdeal/state/control_state.hpp>

namespace hyssopdeal::state
{

// [claim_id] -----------------------------------------------------------------

/// Whose key.
struct claim_id
{
    std::string organisation;
    std::string key;

    auto operator<=>(const claim_id&) const = default;
};

// [ledger_table] -------------------------------------------------------------

/// Claims with their bounds.
class ledger_table
{
public:
    explicit ledger_table(ledger_bounds bounds)
        : bounds_(bounds)
    {}

    claim_result claim(log_index index, transport::wall_time at,
                       const claim_key& command);
    write_result release(const release_claim& command);
    write_result finish(const record_outcome& command);

    /// Forgets claims whose retention is over.
    void expire(transport::wall_time now);

    [[nodiscard]] const claim_record* find(std::string_view organisation,
                                           std::string_view key) const;
    [[nodiscard]] std::size_t size() const noexcept
    {
        return claims_.size();
    }

    /// @return All claims for a snapshot. Each claim is encoded when it
    ///     changes, so that this is little more than a copy.
    [[nodiscard]] std::string encode_all() const;

    /// Puts the claims of encode_all() back.
    ///
    /// @return Whether they were understood.
    [[nodiscard]] bool restore_all(std::string_view bytes);

private:
    struct expiry
    {
        transport::wall_time at{};
        claim_id id;

        auto operator<=>(const expiry&) const = default;
    };

    /// A claim and its bytes in a snapshot.
    struct held_claim
    {
        claim_record record;
        std::string encoded;
    };

    void restore(claim_record claim);
    static void encode(held_claim& claim);
    [[nodiscard]] bool full(const std::string& organisation) const;
    held_claim* find_number(const std::string& organisation,
                            const std::string& key, std::uint64_t number);
    void forget(const claim_id& id);
    void insert(claim_record claim);
    void drop_old_bodies();

    ledger_bounds bounds_;
    std::map<claim_id, held_claim> claims_;
    std::set<expiry> expiries_;
    std::map<std::uint64_t, claim_id> with_body_; // by claim number
    std::map<std::string, std::size_t> by_organisation_;
    std::size_t body_bytes_ = 0;
};

} // namespace hyssopdeal::state

#endif
