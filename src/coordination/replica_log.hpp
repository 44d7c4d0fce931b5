#ifndef HYSSOPDEAL_SRC_COORDINATION_REPLICA_LOG_HPP
#define HYSSOPDEAL_SRC_COORDINATION_REPLICA_LOG_HPP

/// @file
/// The records that a replica holds in memory. Internal.
///
/// Index: [replica_log]

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include <hyssopdeal/coordination/reconcile.hpp>
#include <hyssopdeal/state/log_record.hpp>

namespace hyssopdeal::coordination
{

// [replica_log] --------------------------------------------------------------

/// Records after a base, without a gap, with their term history.
class replica_log
{
public:
    /// Begins again, empty, after an index.
    void reset(state::log_index base, state::term_number base_term);

    void append(state::log_record record);

    /// Drops the records from an index on.
    void truncate(state::log_index from);

    /// Drops the records up to an index.
    void cut(state::log_index up_to);

    [[nodiscard]] const log_outline& outline() const noexcept
    {
        return outline_;
    }
    [[nodiscard]] state::log_index base() const noexcept
    {
        return outline_.base;
    }
    [[nodiscard]] state::log_index last() const noexcept
    {
        return outline_.last;
    }
    [[nodiscard]] state::term_number last_term() const
    {
        return outline_.term_at(outline_.last);
    }
    [[nodiscard]] state::term_number term_at(state::log_index index) const
    {
        return outline_.term_at(index);
    }
    [[nodiscard]] const state::log_record& at(state::log_index index) const
    {
        return records_[index - outline_.base - 1];
    }

    /// @return Payload bytes of the records after an index.
    [[nodiscard]] std::size_t
    payload_bytes_after(state::log_index index) const noexcept;

    /// Copies records from an index on, at least one if there is one.
    ///
    /// @param up_to Last index at most.
    /// @param max_bytes Payloads together, past the first record.
    [[nodiscard]] std::vector<state::log_record>
    slice(state::log_index from, state::log_index up_to,
          std::size_t max_bytes) const;

private:
    log_outline outline_;
    std::deque<state::log_record> records_;
};

} // namespace hyssopdeal::coordination

#endif
