#include <hyssopdeal/coordination/retry_policy.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace hyssopdeal::coordination
{

namespace
{

using std::chrono::milliseconds;
using transport::reason;
using transport::verdict;

/// Retry budget of one pair of organisation and service.
struct retry_budget
{
    std::string organisation;
    std::string service;
    double available = 0; ///< Number of retries.
    /// Part of the initial budget that requests have not yet earned. Repaid
    /// before the budget grows, so that the retry ratio holds in total.
    double debt = 0;
};

/// Whether an attempt on another server could succeed.
bool is_retryable(reason code) noexcept
{
    switch (code)
    {
    case reason::connect_failed:
    case reason::connection_lost:
    case reason::timed_out:
    case reason::broken_answer:
    case reason::overloaded:
    case reason::no_backend_server:
    case reason::draining:
    case reason::internal:
        return true;
    default:
        return false;
    }
}

/// Exponential backoff with full jitter: uniformly distributed between zero
/// and a cap that doubles with each attempt.
milliseconds jittered_delay(const budgeted_retry_settings& settings,
                            std::uint32_t attempts, std::mt19937_64& random)
{
    constexpr std::uint32_t max_doublings = 16;
    const auto doublings = std::min(attempts - 1, max_doublings);
    const auto cap =
        std::min(settings.base_delay * (1U << doublings), settings.max_delay);
    std::uniform_int_distribution<milliseconds::rep> delay{0, cap.count()};
    return milliseconds{delay(random)};
}

} // namespace

struct budgeted_retry::impl
{
    budgeted_retry_settings settings;
    std::vector<retry_budget> budgets;

    retry_budget& budget_of(std::string_view organisation,
                            std::string_view service)
    {
        for (auto& budget : budgets)
        {
            if (budget.organisation == organisation &&
                budget.service == service)
            {
                return budget;
            }
        }
        budgets.push_back({std::string{organisation}, std::string{service},
                           settings.initial_budget, settings.initial_budget});
        return budgets.back();
    }
};

budgeted_retry::budgeted_retry(budgeted_retry_settings settings)
    : impl_(std::make_unique<impl>(impl{settings, {}}))
{}

budgeted_retry::budgeted_retry(budgeted_retry&&) noexcept = default;
budgeted_retry& budgeted_retry::operator=(budgeted_retry&&) noexcept = default;
budgeted_retry::~budgeted_retry() = default;

void budgeted_retry::on_request(transport::monotonic_time,
                                std::string_view organisation,
                                std::string_view service, double retry_ratio)
{
    auto& budget = impl_->budget_of(organisation, service);
    const double repayment = std::min(budget.debt, retry_ratio);
    budget.debt -= repayment;
    budget.available = std::min(budget.available + retry_ratio - repayment,
                                impl_->settings.max_budget);
}

retry_decision budgeted_retry::decide(transport::monotonic_time now,
                                      const failed_attempt& attempt,
                                      std::mt19937_64& random)
{
    const bool may_repeat =
        attempt.ran == verdict::not_run ||
        attempt.repeats == protocol::repeatability::repeatable;
    if (!may_repeat)
    {
        return {retry_outcome::not_repeatable, {}};
    }
    if (!is_retryable(attempt.code))
    {
        return {retry_outcome::not_retryable, {}};
    }
    if (attempt.attempts >= impl_->settings.max_attempts)
    {
        return {retry_outcome::attempts_exhausted, {}};
    }
    const auto delay =
        jittered_delay(impl_->settings, std::max(attempt.attempts, 1U), random);
    if (now + delay + attempt.expected_time >= attempt.deadline)
    {
        return {retry_outcome::deadline_too_close, {}};
    }
    auto& budget = impl_->budget_of(attempt.organisation, attempt.service);
    if (budget.available < 1)
    {
        return {retry_outcome::budget_exhausted, {}};
    }
    budget.available -= 1;
    return {retry_outcome::retry, delay};
}

} // namespace hyssopdeal::coordination
