#ifndef HYSSOPDEAL_STATE_CONTROL_STATE_HPP
#define HYSSOPDEAL_STATE_CONTROL_STATE_HPP

/// @file
/// The deterministic state machine behind the replicated log. The same records
/// give the same state on every replica: all times come in the records.
///
/// Index: [settings] [control_tables] [control_state]

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <hyssopdeal/state/commands.hpp>
#include <hyssopdeal/state/declarations.hpp>
#include <hyssopdeal/state/records.hpp>

namespace hyssopdeal::state
{

// [settings] -----------------------------------------------------------------

/// Bounds of the ledger; part of the state's definition, so equal on all
/// replicas of a schema version.
struct ledger_bounds
{
    std::size_t max_records = 200'000;              ///< Claims kept.
    std::size_t max_organisation_records = 100'000; ///< Claims of one.
    std::size_t max_body_bytes = 33'554'432;        ///< Oldest bodies go first.
    std::size_t max_order_answers = 20'000;         ///< Oldest go first.
};

// [control_tables] -----------------------------------------------------------

/// The tables, read only.
struct control_tables : declarations
{
    record_table<move_record> moves;         ///< By service.
    record_table<purchase_record> purchases; ///< By order id.
    record_table<grant_record> grants;       ///< By organisation.
    replica_set replicas;                    ///< As last committed.
    std::uint64_t fence_counter = 0;         ///< Last one given out.

    bool operator==(const control_tables&) const = default;
};

// [control_state] ------------------------------------------------------------

/// Where a record stands in the log.
struct record_position
{
    log_index index = 0;
    term_number term = 0;
};

/// Applies committed records in order; used by one thread.
class control_state
{
public:
    explicit control_state(ledger_bounds bounds = {});
    control_state(const control_state& other);
    control_state(control_state&&) noexcept;
    control_state& operator=(const control_state& other);
    control_state& operator=(control_state&&) noexcept;
    ~control_state();

    /// Applies a command.
    ///
    /// @param position Its place; must follow applied_index().
    /// @return What the proposer is told.
    command_result apply(record_position position, const command& value);

    /// Applies a change of the replica set.
    void apply(record_position position, const replica_set& value);

    /// Applies a record without content, as a new leader writes.
    void apply_empty(record_position position);

    /// @return Index of the last record applied.
    [[nodiscard]] log_index applied_index() const noexcept;

    /// @return Term of the last record applied.
    [[nodiscard]] term_number applied_term() const noexcept;

    /// @return Latest time seen in a record; never goes back.
    [[nodiscard]] transport::wall_time time() const noexcept;

    /// @return All tables but the ledger.
    [[nodiscard]] const control_tables& tables() const noexcept;

    /// Looks an idempotency key up.
    ///
    /// @return The record, or null.
    [[nodiscard]] const claim_record* find_claim(std::string_view organisation,
                                                 std::string_view key) const;

    /// @return Claims kept now.
    [[nodiscard]] std::size_t claim_count() const noexcept;

    /// @return The whole state, with its schema version.
    [[nodiscard]] std::string encode_snapshot() const;

    /// Replaces the whole state.
    ///
    /// @return `corrupt` when the bytes are not understood; then nothing
    ///     changes.
    [[nodiscard]] transport::result<void>
    restore_snapshot(std::string_view bytes);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::state

#endif
