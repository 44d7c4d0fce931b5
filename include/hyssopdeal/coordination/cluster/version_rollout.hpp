#ifndef HYSSOPDEAL_COORDINATION_CLUSTER_VERSION_ROLLOUT_HPP
#define HYSSOPDEAL_COORDINATION_CLUSTER_VERSION_ROLLOUT_HPP

/// @file
/// Rollout of a new version of a service by a time limit, run by the leader.
/// The new version may fail or be slow, from the start or only later. Until the
/// end it gets no more than a bounded number of the service's requests, the
/// request budget. All traffic is shifted just before the limit, once the
/// remaining budget covers the requests until then. Does no I/O.
///
/// Index: [settings] [version_rollout_step] [version_rollout]

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <hyssopdeal/coordination/cluster/cluster_state.hpp>
#include <hyssopdeal/coordination/version_comparison.hpp>
#include <hyssopdeal/protocol/follow_messages.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

struct version_rollout_settings
{
    /// The request budget of a bad version: this part of the service's requests
    /// and `bound_requests`.
    double bound_share = 0.1;
    double bound_requests = 50;
    /// Part of the budget that is used; an entry that restarts loses its
    /// counts.
    double usable_fraction = 0.85;
    /// Part of the usable budget that is spent on the trial; the remainder
    /// covers the time from the shift of all traffic to the limit.
    double trial_fraction = 0.5;
    /// Highest share of the requests during the trial; limits failures before
    /// the first answers are judged.
    double max_trial_share = 0.25;
    /// Answers needed before a version is acceptable: one that fails a quarter
    /// of its requests has failed five by then.
    std::uint64_t min_answers = 20;
    /// Acceptable rate of failed or of slow answers beyond twice that of the
    /// other versions.
    double accepted_margin = 0.05;
    /// Failed or slow answers needed for a rollback by their rate; fewer may be
    /// chance.
    std::uint64_t min_bad_to_roll_back = 8;
    /// Rate of failed or of slow answers, beyond three times that of the other
    /// versions, above which the version is rolled back.
    double rollback_margin = 0.1;
    /// Time before the limit in which the end is committed and sent to the
    /// platform.
    std::chrono::milliseconds commit_margin{300};
    /// Interval over which the request rate is measured.
    std::chrono::milliseconds rate_window{500};
    /// Reference for the time to the first token while the other versions have
    /// no answers.
    std::chrono::milliseconds first_token_target{1'000};
    /// A rollout takes seconds: some dozens of windows, a few routes and loads.
    comparison_settings comparison{
        .failures = {.false_alarm = 0.005, .tests = 20, .windows = 200},
        .latency = {.tests = 20, .windows = 200, .effect = 0.2},
        .tail_quantile = 0.98};
};

// [version_rollout_step] -----------------------------------------------------

/// Decision of one step.
struct version_rollout_step
{
    double target_share = 0;          ///< Of new requests.
    std::optional<rollout_state> end; ///< Propose this outcome.
};

// [version_rollout] ----------------------------------------------------------

/// One rollout; constructed anew by each leader.
class version_rollout
{
public:
    /// @param others Versions that serve the traffic now.
    version_rollout(version_rollout_settings settings, rollout_record order,
                    std::vector<std::string> others);

    [[nodiscard]] const rollout_record& order() const noexcept
    {
        return order_;
    }

    /// Adds an entry's counts; replaces those that it reported before.
    void on_counts(const std::string& entry, std::uint64_t incarnation,
                   const protocol::version_counts& counts);

    /// Adds an entry's evidence on the quality of the answers.
    void on_evidence(const version_report& report);

    /// Decides on the next step; call it several times a second.
    ///
    /// @param true_now Time on the clock of the rollout's start.
    /// @param target_ready Whether any server of the new version is ready.
    [[nodiscard]] version_rollout_step advance(transport::monotonic_time now,
                                               transport::wall_time true_now,
                                               bool target_ready);

    /// @return How many requests an entry may send to the new version in total:
    ///     those that it reported and its part of the remaining budget.
    [[nodiscard]] std::uint64_t
    target_request_limit(const protocol::version_counts& reported) const;

    /// @return Share of the latest advance(); 0 before the first.
    [[nodiscard]] double target_share() const noexcept
    {
        return target_share_;
    }

    /// @return A summary of the evidence, for logs.
    [[nodiscard]] std::string evidence() const;

private:
    /// @return Requests that may still go to the new version.
    [[nodiscard]] double remaining_budget() const;
    [[nodiscard]] bool clearly_bad() const;
    [[nodiscard]] bool acceptable() const;
    [[nodiscard]] version_rollout_step decide(transport::wall_time true_now,
                                              bool target_ready);
    void measure_rate(transport::monotonic_time now);

    version_rollout_settings settings_;
    rollout_record order_;
    version_comparison comparison_;
    /// By entry and incarnation.
    std::map<std::pair<std::string, std::uint64_t>, protocol::version_counts>
        reported_counts_;
    /// Sum of `reported_counts_`, so that the cost of an answer to an entry
    /// does not grow with the number of entries.
    protocol::version_counts totals_;
    transport::monotonic_time rate_measured_at_{};
    std::uint64_t rate_measured_sent_ = 0;
    double requests_per_second_ = 0;
    bool shifted_all_ = false;
    double target_share_ = 0;
};

} // namespace hyssopdeal::coordination

#endif
