#ifndef HYSSOPDEAL_COORDINATION_RETRY_POLICY_HPP
#define HYSSOPDEAL_COORDINATION_RETRY_POLICY_HPP

/// @file
/// Decides whether and when a failed attempt is made again.
///
/// Index: [failed_attempt] [retry_decision] [retry_policy] [budgeted_retry]

#include <chrono>
#include <concepts>
#include <cstdint>
#include <memory>
#include <random>
#include <string_view>

#include <hyssopdeal/protocol/contract.hpp>
#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::coordination
{

// [failed_attempt] -----------------------------------------------------------

/// What the decision depends on.
struct failed_attempt
{
    std::string_view organisation; ///< Whose request.
    std::string_view service;      ///< Where to.
    std::uint32_t attempts = 1;    ///< Made so far.
    transport::verdict ran = transport::verdict::not_run;
    transport::reason code = transport::reason::internal;
    protocol::repeatability repeats = protocol::repeatability::at_most_once;
    transport::monotonic_time deadline;         ///< Of the whole request.
    std::chrono::milliseconds expected_time{0}; ///< For one more attempt.
};

// [retry_decision] -----------------------------------------------------------

/// Why there is no further attempt, or that there is one.
enum class retry_outcome : std::uint8_t
{
    retry,
    not_repeatable, ///< It may have run, and must not run twice.
    not_retryable,  ///< Another attempt would fail the same way.
    attempts_exhausted,
    budget_used_up, ///< Of the organisation and service.
    deadline_too_close
};

/// A decision, with the time to wait before the attempt.
struct retry_decision
{
    retry_outcome outcome = retry_outcome::retry;
    std::chrono::milliseconds delay{0}; ///< Meaningful for retry only.
};

// [retry_policy] -------------------------------------------------------------

/// Hears of each request and decides about each failed attempt.
template <class Policy>
concept retry_policy = requires(Policy& policy, transport::monotonic_time now,
                                std::string_view name,
                                const failed_attempt& attempt, double ratio,
                                std::mt19937_64& random)
{
    policy.on_request(now, name, name, ratio);
    {
        policy.decide(now, attempt, random)
        } -> std::same_as<retry_decision>;
};

// [budgeted_retry] -----------------------------------------------------------

/// Limits of the policy.
struct budgeted_retry_settings
{
    std::uint32_t max_attempts = 4;           ///< For each request.
    std::chrono::milliseconds base_delay{10}; ///< Cap of the first wait.
    std::chrono::milliseconds max_delay{1'000};
    double initial_budget = 3; ///< Retries before any request.
    double max_budget = 100;   ///< Retries saved up.
};

/// Each request adds its contract's retry ratio to the budget of its
/// (organisation, service); each retry takes one. Waits have full jitter.
class budgeted_retry
{
public:
    explicit budgeted_retry(budgeted_retry_settings settings = {});
    budgeted_retry(budgeted_retry&&) noexcept;
    budgeted_retry& operator=(budgeted_retry&&) noexcept;
    ~budgeted_retry();

    /// Counts a new request, not a retry.
    void on_request(transport::monotonic_time now,
                    std::string_view organisation, std::string_view service,
                    double retry_ratio);

    /// Decides about a failed attempt; a `retry` has taken its budget.
    [[nodiscard]] retry_decision decide(transport::monotonic_time now,
                                        const failed_attempt& attempt,
                                        std::mt19937_64& random);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::coordination

#endif
