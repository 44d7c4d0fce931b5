#ifndef HYSSOPDEAL_COORDINATION_RECONCILE_HPP
#define HYSSOPDEAL_COORDINATION_RECONCILE_HPP

/// @file
/// How a leader finds the last record that a follower's log shares with its
/// own, behind one concept.
///
/// Index: [outline] [hint] [concept] [term_history] [index_probing]
///        [term_probing]

#include <concepts>
#include <vector>

#include <hyssopdeal/state/records.hpp>

namespace hyssopdeal::coordination
{

// [outline] ------------------------------------------------------------------

/// First record of a term in a log.
struct term_start
{
    state::term_number term = 0;
    state::log_index first = 0;

    bool operator==(const term_start&) const = default;
};

/// Terms of all records that a log still has.
struct log_outline
{
    state::log_index base = 0; ///< Index before the first record.
    state::term_number base_term = 0;
    state::log_index last = 0;       ///< Index of the last record.
    std::vector<term_start> history; ///< By index, after the base.

    /// @return The term at an index from base to last; 0 outside.
    [[nodiscard]] state::term_number term_at(state::log_index index) const;
};

// [hint] ---------------------------------------------------------------------

/// What a follower tells of its log when it refuses an append.
struct reconcile_hint
{
    state::log_index refused = 0; ///< Index that did not match.
    state::log_index base = 0;    ///< Of the follower's log.
    state::term_number base_term = 0;
    state::log_index last = 0;       ///< Of the follower's log.
    std::vector<term_start> history; ///< As much as the strategy sends.

    bool operator==(const reconcile_hint&) const = default;
};

// [concept] ------------------------------------------------------------------

/// A way to reconcile two logs.
template <class Strategy>
concept reconcile_strategy = requires(const log_outline& log,
                                      const reconcile_hint& hint,
                                      state::log_index refused)
{
    {
        Strategy::make_hint(log, refused)
        } -> std::same_as<reconcile_hint>;
    {
        Strategy::next_match(log, hint)
        } -> std::same_as<state::log_index>;
    {
        Strategy::exact
        } -> std::convertible_to<bool>;
};

// [term_history] -------------------------------------------------------------

/// The follower sends its whole term history, also with its vote; the leader
/// compares it with its own and knows the answer.
struct term_history
{
    static constexpr bool exact = true; ///< next_match() is the answer.

    static reconcile_hint make_hint(const log_outline& log,
                                    state::log_index refused);
    static state::log_index next_match(const log_outline& log,
                                       const reconcile_hint& hint);
};

// [index_probing] ------------------------------------------------------------

/// The leader goes back one index with each refusal.
struct index_probing
{
    static constexpr bool exact = false;

    static reconcile_hint make_hint(const log_outline& log,
                                    state::log_index refused);
    static state::log_index next_match(const log_outline& log,
                                       const reconcile_hint& hint);
};

// [term_probing] -------------------------------------------------------------

/// The leader goes back one term of the follower with each refusal.
struct term_probing
{
    static constexpr bool exact = false;

    static reconcile_hint make_hint(const log_outline& log,
                                    state::log_index refused);
    static state::log_index next_match(const log_outline& log,
                                       const reconcile_hint& hint);
};

static_assert(reconcile_strategy<term_history>);
static_assert(reconcile_strategy<index_probing>);
static_assert(reconcile_strategy<term_probing>);

} // namespace hyssopdeal::coordination

#endif
