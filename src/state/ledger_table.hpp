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
#include <vector>

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

    /// Puts a claim of a snapshot back.
    void restore(claim_record claim);

    [[nodiscard]] const claim_record* find(std::string_view organisation,
                                           std::string_view key) const;
    [[nodiscard]] std::size_t size() const noexcept
    {
        return claims_.size();
    }

    /// @return All claims, by organisation and key.
    [[nodiscard]] std::vector<claim_record> all() const;

private:
    struct expiry
    {
        transport::wall_time at{};
        claim_id id;

        auto operator<=>(const expiry&) const = default;
    };

    [[nodiscard]] bool full(const std::string& organisation) const;
    claim_record* find_number(const std::string& organisation,
                              const std::string& key, std::uint64_t number);
    void forget(const claim_id& id);
    void insert(claim_record claim);
    void drop_old_bodies();

    ledger_bounds bounds_;
    std::map<claim_id, claim_record> claims_;
    std::set<expiry> expiries_;
    std::map<std::uint64_t, claim_id> with_body_; // by claim number
    std::map<std::string, std::size_t> by_organisation_;
    std::size_t body_bytes_ = 0;
};

} // namespace hyssopdeal::state

#endif
