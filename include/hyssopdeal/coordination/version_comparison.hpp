#ifndef HYSSOPDEAL_COORDINATION_VERSION_COMPARISON_HPP
#define HYSSOPDEAL_COORDINATION_VERSION_COMPARISON_HPP

/// @file
/// Judges a new version against the old one at the same time, for each route
/// and load, from the entries' reports.
///
/// Index: [settings] [route_evidence] [version_comparison]

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <hyssopdeal/coordination/version_sequential_test.hpp>
#include <hyssopdeal/coordination/version_summary.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

/// What is compared and how much difference is allowed.
struct comparison_settings
{
    sequential_test_settings failures{
        .false_alarm = 0.005}; ///< Failed, broken or empty answers.
    sequential_test_settings latency{.effect = 0.2}; ///< Slow answers.
    double failure_tolerance = 0.005; ///< Added to the old version's rate.
    double slow_quantile = 0.9;       ///< Of the old version; slower is slow.
    double slow_tolerance = 0.05;     ///< Added to the old version's rate.
    /// Of the old version's latencies; slower ones are judged by themselves.
    /// 0: off.
    double tail_quantile = 0;
    double tail_tolerance = 0.02;          ///< Added to the old version's rate.
    std::uint64_t reference_requests = 50; ///< Fewer give no reference.
    double failure_rate_unknown = 0.05;    ///< Without any reference.
    std::uint64_t memory = 4'000;          ///< Old answers kept for each cell.
    std::size_t confirming_entries = 2;    ///< Guards that count as proof.
};

// [route_evidence] -----------------------------------------------------------

/// What is known of one route.
struct route_evidence
{
    std::string route;
    test_verdict verdict = test_verdict::undecided;
    std::uint64_t new_requests = 0; ///< Answers of the new version.
    std::uint64_t new_bad = 0;      ///< Failed, broken or empty.
    std::uint64_t old_requests = 0; ///< Answers of the old version.
    std::uint64_t old_bad = 0;      ///< Failed, broken or empty.
};

// [tail_summary] -------------------------------------------------------------

/// Answers of the new version that are slower than nearly all of the old one's.
struct tail_summary
{
    std::uint64_t answers = 0; ///< Those for which there was a reference.
    std::uint64_t slow = 0;
    double expected_slow = 0; ///< At the old version's rate, as an upper bound.
};

// [version_comparison] -------------------------------------------------------

/// Evidence of one move, kept in the leader's memory only: the next leader
/// gathers its own from the reports that follow.
class version_comparison
{
public:
    /// @param old_versions Versions that had the traffic before.
    /// @param new_version Version that is judged.
    /// @param first_token_target Stands in for a reference that is missing.
    version_comparison(comparison_settings settings,
                       std::vector<std::string> old_versions,
                       std::string new_version,
                       std::chrono::milliseconds first_token_target);
    version_comparison(version_comparison&&) noexcept;
    version_comparison& operator=(version_comparison&&) noexcept;
    ~version_comparison();

    /// Takes in a report; one that was seen before changes nothing.
    void on_report(const version_report& report);

    /// Judges all that came since the last call.
    void close_window();

    /// @return Whether the new version is worse.
    [[nodiscard]] bool worse() const;

    /// @return What is known by route, for each route with any traffic.
    [[nodiscard]] std::vector<route_evidence> routes() const;

    /// @return The slow answers so far, by the time to the first token; empty
    ///     unless `tail_quantile` is set.
    [[nodiscard]] const tail_summary& first_token_tail() const;

    /// @return The same by the time between tokens.
    [[nodiscard]] const tail_summary& between_tokens_tail() const;

    /// @return Answers of the new version so far.
    [[nodiscard]] std::uint64_t new_requests() const;

    /// @return Whether the new version was seen at the highest load at which
    ///     the old version answers, or at a higher one.
    [[nodiscard]] bool seen_at_load() const;

    /// @return The evidence as one line for each route, worst first.
    [[nodiscard]] std::string text() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::coordination

#endif
