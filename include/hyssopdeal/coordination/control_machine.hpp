#ifndef HYSSOPDEAL_COORDINATION_CONTROL_MACHINE_HPP
#define HYSSOPDEAL_COORDINATION_CONTROL_MACHINE_HPP

/// @file
/// A replica with its state machine: commands go in, results come out once
/// their records are committed and applied. A decision module without I/O.
///
/// Index: [settings] [actions] [control_machine]

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include <hyssopdeal/coordination/replica.hpp>
#include <hyssopdeal/state/control_state.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

/// Settings of the replica, its state and its proposals.
struct control_machine_settings
{
    replica_settings replica;
    state::ledger_bounds ledger;
    std::chrono::milliseconds propose_time_limit{5'000}; ///< To a result.
    std::size_t snapshot_records = 10'000;   ///< Between snapshots, at least.
    std::size_t snapshot_bytes = 67'108'864; ///< Or payload bytes.
};

// [actions] ------------------------------------------------------------------

/// Result of a command or of a change of the replica set.
struct proposal_result
{
    std::uint64_t id = 0;
    transport::result<state::command_result> result;
};

/// A command that was applied.
struct committed_command
{
    state::log_index index = 0;
    state::term_number term = 0;
    state::command command;
    state::command_result result;
};

/// What to do after a step.
struct machine_actions
{
    std::optional<state::persist_request> persist; ///< Then persisted_event.
    std::vector<replica_message> sends;
    std::vector<proposal_result> results;
    std::vector<committed_command> committed;
    leadership_change change = leadership_change::none;
};

// [control_machine] ----------------------------------------------------------

/// One control replica; used by one thread.
class control_machine
{
public:
    /// @param recovered What the disk holds.
    /// @param seed For the spread of election timeouts.
    /// @return The machine, or `corrupt` when its snapshot is not understood.
    [[nodiscard]] static transport::result<control_machine>
    make(control_machine_settings settings, state::recovered_state recovered,
         std::uint64_t seed, transport::monotonic_time now);

    control_machine(control_machine&&) noexcept;
    control_machine& operator=(control_machine&&) noexcept;
    ~control_machine();

    /// Takes an event of the replica; proposals go through propose().
    [[nodiscard]] machine_actions step(transport::monotonic_time now,
                                       transport::wall_time wall,
                                       replica_event event);

    /// Proposes a command; its time is set here.
    ///
    /// @param id Chosen by the caller; comes back with the result.
    [[nodiscard]] machine_actions propose(transport::monotonic_time now,
                                          transport::wall_time wall,
                                          std::uint64_t id,
                                          state::command command);

    [[nodiscard]] const state::control_state& state() const noexcept;

    /// @return Whether state() may answer a linearizable read now.
    [[nodiscard]] bool may_read(transport::monotonic_time now) const;

    [[nodiscard]] replica_status status(transport::monotonic_time now) const;

    [[nodiscard]] std::vector<follower_status> followers() const;

private:
    struct impl;
    explicit control_machine(std::unique_ptr<impl> made) noexcept;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::coordination

#endif
