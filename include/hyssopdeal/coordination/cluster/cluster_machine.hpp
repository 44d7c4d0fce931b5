#ifndef HYSSOPDEAL_COORDINATION_CLUSTER_CLUSTER_MACHINE_HPP
#define HYSSOPDEAL_COORDINATION_CLUSTER_CLUSTER_MACHINE_HPP

/// @file
/// Replicated state machine of a cluster: a log replica with the cluster_state
/// that its commands are applied to. The result of a command is reported once
/// its log record is committed and applied. Does no I/O.
///
/// Index: [settings] [actions] [cluster_machine]

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include <hyssopdeal/coordination/cluster/cluster_state.hpp>
#include <hyssopdeal/coordination/replica.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

struct cluster_machine_settings
{
    replica_settings replica;
    std::chrono::milliseconds propose_time_limit{2'000};
    std::size_t snapshot_records = 200; ///< A snapshot is due after so many.
    /// Payload bytes after which a snapshot is due; an instance's disk may be
    /// small.
    std::size_t snapshot_bytes = 4'194'304;
};

// [actions] ------------------------------------------------------------------

/// Outcome of a proposal.
struct cluster_result
{
    std::uint64_t id = 0;
    transport::result<void> done;
};

/// Output of a step, for the caller to carry out.
struct cluster_actions
{
    std::optional<state::persist_request>
        persist; ///< Answer with persisted_event.
    std::vector<replica_message> sends;
    std::vector<cluster_result> results;
    leadership_change change = leadership_change::none;
    bool applied = false; ///< The state may have changed.
};

// [cluster_machine] ----------------------------------------------------------

/// Not thread-safe.
class cluster_machine
{
public:
    /// @param recovered Log and snapshot read from disk.
    /// @param seed Randomizes election timeouts.
    /// @return The machine, or `corrupt` if the snapshot cannot be decoded.
    [[nodiscard]] static transport::result<cluster_machine>
    make(cluster_machine_settings settings, state::recovered_state recovered,
         std::uint64_t seed, transport::monotonic_time now);

    cluster_machine(cluster_machine&&) noexcept;
    cluster_machine& operator=(cluster_machine&&) noexcept;
    ~cluster_machine();

    /// Handles an event of the log replica; use propose() for commands.
    [[nodiscard]] cluster_actions step(transport::monotonic_time now,
                                       transport::wall_time wall,
                                       replica_event event);

    /// Proposes a command.
    ///
    /// @param id Chosen by the caller; returned with the result.
    [[nodiscard]] cluster_actions propose(transport::monotonic_time now,
                                          transport::wall_time wall,
                                          std::uint64_t id,
                                          const cluster_command& command);

    [[nodiscard]] const cluster_state& state() const noexcept;

    /// @return Whether state() may answer a linearizable read now.
    [[nodiscard]] bool may_read(transport::monotonic_time now) const;

    [[nodiscard]] replica_status status(transport::monotonic_time now) const;

    [[nodiscard]] std::vector<follower_status> followers() const;

    /// @return The median of the voters' wall clocks.
    [[nodiscard]] transport::wall_time
    quorum_wall(transport::monotonic_time now, transport::wall_time own) const;

private:
    struct impl;
    explicit cluster_machine(std::unique_ptr<impl> implementation) noexcept;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::coordination

#endif
