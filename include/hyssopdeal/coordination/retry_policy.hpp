#ifndef HYSSOPDEAL_COORDINATION_RETRY_POLICY_HPP
#define HYSSOPDEAL_COORDINATION_RETRY_POLICY_HPP

/// @file
/// Decides whether and when a failed attempt is retried.
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

/// A failed attempt, with everything that the retry decision depends on.
struct failed_attempt
{
    std::string_view organisation;
    std::string_view service;
    std::uint32_t attempts = 1; ///< Attempts made so far, this one included.
    transport::verdict ran = transport::verdict::not_run;
    transport::reason code = transport::reason::internal;
    protocol::repeatability repeats = protocol::repeatability::at_most_once;
    transport::monotonic_time deadline; ///< Of the request, over all attempts.
    std::chrono::milliseconds expected_time{0}; ///< Of one more attempt.
};

// [retry_decision] -----------------------------------------------------------

/// Whether to retry, and if not, the reason.
enum class retry_outcome : std::uint8_t
{
    retry,
    not_repeatable, ///< May have run, and must not run twice.
    not_retryable,  ///< Another attempt would fail the same way.
    attempts_exhausted,
    budget_exhausted, ///< Budget of the organisation and service.
    deadline_too_close
};

/// Decision about a failed attempt.
struct retry_decision
{
    retry_outcome outcome = retry_outcome::retry;
    std::chrono::milliseconds delay{0}; ///< Before the retry; unused otherwise.
};

// [retry_policy] -------------------------------------------------------------

/// Is told of each new request and decides about each failed attempt.
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

/// Limits of attempts, delays and budgets.
struct budgeted_retry_settings
{
    std::uint32_t max_attempts = 4;           ///< Per request.
    std::chrono::milliseconds base_delay{10}; ///< Maximum first delay.
    std::chrono::milliseconds max_delay{1'000};
    double initial_budget = 3; ///< Retries allowed before any are earned.
    double max_budget = 100;   ///< Maximum number of accumulated retries.
};

/// Retry policy with a budget per pair of organisation and service. Each
/// request earns the retry ratio of its contract for the budget; each retry
/// costs one. Delays use exponential backoff with full jitter.
class budgeted_retry
{
public:
    explicit budgeted_retry(budgeted_retry_settings settings = {});
    budgeted_retry(budgeted_retry&&) noexcept;
    budgeted_retry& operator=(budgeted_retry&&) noexcept;
    ~budgeted_retry();

    /// Credits the budget for a new request. Not called for retries.
    void on_request(transport::monotonic_time now,
                    std::string_view organisation, std::string_view service,
                    double retry_ratio);

    /// Decides about a failed attempt. A result of `retry` has already been
    /// charged to the budget.
    [[nodiscard]] retry_decision decide(transport::monotonic_time now,
                                        const failed_attempt& attempt,
                                        std::mt19937_64& random);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::coordination

#endif
