#ifndef HYSSOPDEAL_COORDINATION_GATEWAY_ROLLOUT_EVIDENCE_HPP
#define HYSSOPDEAL_COORDINATION_GATEWAY_ROLLOUT_EVIDENCE_HPP

/// @file
/// Delivers what a gateway observed of rollouts to the leader: each answer
/// once, also if a report is lost, and all of a rollout again to a new leader,
/// which has no evidence of its own. Performs no I/O.
///
/// Index: [rollout_evidence]

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <hyssopdeal/coordination/version_observer.hpp>
#include <hyssopdeal/protocol/follow_messages.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [rollout_evidence] ---------------------------------------------------------

class rollout_evidence
{
public:
    /// @param entry Name that the reports carry.
    /// @param incarnation Grows with each restart of the entry.
    rollout_evidence(std::string entry, std::uint64_t incarnation,
                     transport::monotonic_time now);

    version_observer observer;

    /// @param leader_term Term of the leader that gets the reports.
    /// @param running Rollouts that are running, by service.
    /// @return What that leader has not confirmed yet.
    [[nodiscard]] std::vector<version_report>
    reports_for(transport::monotonic_time now, std::uint64_t leader_term,
                const std::map<std::string, protocol::version_counts>& running);

    /// Records that the leader has answered the latest reports_for().
    void on_confirmed(std::uint64_t leader_term);

private:
    struct rollout_history
    {
        std::int64_t started_ms = 0;
        version_report all; ///< Of the whole rollout, as one report.
    };

    std::map<std::string, rollout_history> history_; ///< By service.
    std::vector<version_report> unconfirmed_;
    std::uint64_t leader_term_ = 0; ///< That `unconfirmed_` is meant for.
};

} // namespace hyssopdeal::coordination

#endif
