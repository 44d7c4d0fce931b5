#ifndef HYSSOPDEAL_SRC_STATE_CONTROL_STATE_IMPL_HPP
#define HYSSOPDEAL_SRC_STATE_CONTROL_STATE_IMPL_HPP

/// @file
/// The state machine's private part. Internal.
///
/// Index: [order_answers] [impl]

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include <hyssopdeal/state/control_state.hpp>

#include "state/ledger_table.hpp"

namespace hyssopdeal::state
{

// [order_answers] ------------------------------------------------------------

/// The first answer to an operator's order.
struct order_answer
{
    std::uint64_t digest = 0; ///< Of the command, without its time.
    command_result answer;
};

// [impl] ---------------------------------------------------------------------

struct control_state::impl
{
    explicit impl(ledger_bounds own_bounds)
        : bounds(own_bounds),
          ledger(own_bounds)
    {}

    ledger_bounds bounds;
    control_tables tables;
    ledger_table ledger;
    term_number term = 0;
    transport::wall_time time{};
    record_position at; ///< Of the record being applied.
    std::map<std::string, order_answer, std::less<>> answers;
    std::deque<std::string> answer_order; ///< Oldest first.

    void begin(record_position position, transport::wall_time record_time);
    void remember_answer(const std::string& order_id, order_answer answer);

    // control_state_commands.cpp
    write_result run(const put_contract& command);
    write_result run(const delete_contract& command);
    write_result run(const put_service& command);
    write_result run(const delete_service& command);
    write_result run(const order_move& command);
    write_result run(const update_move& command);
    write_result run(const set_shares& command);
    write_result run(const cancel_move& command);
    fence_result run(const allocate_fence& command);
    purchase_result run(const order_purchase& command);
    write_result run(const update_purchase& command);
    write_result run(const set_leaving& command);
    write_result run(const clear_leaving& command);
    write_result run(const order_evacuation& command);
    write_result run(const withdraw_evacuation& command);
    write_result run(const set_grants& command);
    claim_result run(const claim_key& command);
    write_result run(const release_claim& command);
    write_result run(const record_outcome& command);

    void forget_ended_purchases();
    [[nodiscard]] bool move_runs(const std::string& service) const;
    void write_shares(service_record& record,
                      const std::vector<protocol::version_share>& shares);
};

} // namespace hyssopdeal::state

#endif
