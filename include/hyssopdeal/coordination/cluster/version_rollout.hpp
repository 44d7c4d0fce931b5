#ifndef HYSSOPDEAL_COORDINATION_CLUSTER_VERSION_ROLLOUT_HPP
#define HYSSOPDEAL_COORDINATION_CLUSTER_VERSION_ROLLOUT_HPP

/// @file
/// The leader's part of a service's move to a new version that has to end by a
/// time limit. Answers versions that fail or are slow, at once or only later:
/// until the end they get no more than a bound of the service's requests. All
/// traffic goes over just before the limit, when what is left of the bound
/// pays for it. A decision module without I/O.
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
    double bound_share = 0.1;   ///< Of the requests, for a bad version.
    double bound_requests = 50; ///< And so many beside.
    double used_part = 0.85; ///< Of the bound: an entry that starts again has
                             ///< lost its counts.
    double trial_part = 0.5; ///< Of what is used; the rest pays for the time
                             ///< from the shift to the limit.
    double steepest_trial = 0.25;      ///< Share of the requests at most, until
                                       ///< first answers are judged.
    std::uint64_t least_answers = 20;  ///< To be called good: of a version that
                                       ///< fails a quarter, five have failed.
    double tolerated_failures = 0.05;  ///< Beyond twice the others' rate.
    std::uint64_t failures_to_end = 8; ///< With a rate that is clearly worse;
                                       ///< fewer may be chance.
    double clearly_worse_failures = 0.1; ///< Beyond three times the others'.
    /// To commit the end and to tell the platform before the limit.
    std::chrono::milliseconds end_margin{300};
    std::chrono::milliseconds rate_window{500}; ///< Of measured requests.
    std::chrono::milliseconds first_event_target{1'000}; ///< Without answers of
                                                         ///< other versions.
    /// A move takes seconds: some dozens of windows, a few routes and loads.
    comparison_settings comparison{
        .failures = {.false_alarm = 0.005, .tests = 20, .windows = 200},
        .latency = {.tests = 20, .windows = 200, .effect = 0.2}};
};

// [version_rollout_step] --------------------------------------------------------

/// What is to be done now.
struct version_rollout_step
{
    double target_share = 0; ///< Of the requests that come from now on.
    std::optional<rollout_state> end; ///< Propose this.
};

// [version_rollout] -------------------------------------------------------------

/// One move; made anew by each leader.
class version_rollout
{
public:
    /// @param others Versions that have the traffic.
    version_rollout(version_rollout_settings settings, rollout_record order,
                 std::vector<std::string> others);

    /// @return The order that it carries out.
    [[nodiscard]] const rollout_record& order() const noexcept
    {
        return order_;
    }

    /// Takes in what an entry has counted.
    void on_counts(const std::string& entry, std::uint64_t incarnation,
                   const protocol::version_counts& counts);

    /// Takes in an entry's evidence on the answers.
    void on_evidence(const version_report& report);

    /// Decides; to be called some times a second.
    ///
    /// @param true_now Time by which the move's start was stamped.
    /// @param target_ready Whether any server of the new version is ready.
    [[nodiscard]] version_rollout_step advance(transport::monotonic_time now,
                                            transport::wall_time true_now,
                                            bool target_ready);

    /// @return How many requests an entry may send to the new version in all,
    ///     with what it has told: its part of what the bound leaves.
    [[nodiscard]] std::uint64_t
    target_request_limit(const protocol::version_counts& told) const;

    /// @return What advance() said last; 0 before.
    [[nodiscard]] double target_share() const noexcept
    {
        return target_share_;
    }

    /// @return The evidence, for logs.
    [[nodiscard]] std::string evidence() const;

private:
    /// @return Requests that may still go to the new version.
    [[nodiscard]] double rest() const;
    [[nodiscard]] bool clearly_bad() const;
    [[nodiscard]] bool good() const;
    [[nodiscard]] version_rollout_step decide(transport::wall_time true_now,
                                           bool target_ready);
    void measure_rate(transport::monotonic_time now);

    version_rollout_settings settings_;
    rollout_record order_;
    version_comparison comparison_;
    /// By entry and incarnation.
    std::map<std::pair<std::string, std::uint64_t>, protocol::version_counts>
        counts_;
    /// Their sum: an answer to an entry must not cost more with each entry.
    protocol::version_counts seen_;
    transport::monotonic_time measured_{};
    std::uint64_t measured_sent_ = 0;
    double per_second_ = 0;
    bool all_moved_ = false;
    double target_share_ = 0;
};

} // namespace hyssopdeal::coordination

#endif
