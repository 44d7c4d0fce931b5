/// @file
/// `retry`: attempts for each request while everything fails, and answers got
/// while some attempts fail.

#include "bench.hpp"

#include <random>
#include <string_view>

#include <hyssopdeal/coordination/retry_policy.hpp>

namespace hyssopdeal::bench
{

namespace
{

using namespace coordination;
using namespace std::chrono_literals;

constexpr double most_attempts = 1.1; ///< For each request, all failing.

/// Tries again without a budget, as often as the policy at most.
class unbudgeted_retry
{
public:
    void on_request(transport::monotonic_time, std::string_view,
                    std::string_view, double)
    {}

    retry_decision decide(transport::monotonic_time,
                          const failed_attempt& attempt, std::mt19937_64&)
    {
        constexpr std::uint32_t attempts = 4;
        return {attempt.attempts < attempts ? retry_outcome::retry
                                            : retry_outcome::attempts_exhausted,
                10ms};
    }
};

static_assert(retry_policy<unbudgeted_retry>);

struct retry_result
{
    double attempts_per_request = 0;
    double answered = 0;
};

template <retry_policy Policy>
retry_result run(Policy policy, double failing, std::uint64_t seed)
{
    constexpr int requests = 100'000;
    std::mt19937_64 random{seed};
    std::bernoulli_distribution fails{failing};
    transport::manual_clock clock;
    std::uint64_t attempts = 0;
    std::uint64_t answered = 0;
    for (int i = 0; i < requests; ++i)
    {
        clock.advance(2ms);
        const auto now = clock.monotonic_now();
        policy.on_request(now, "orchard", "sidra-llm", 0.1);
        failed_attempt attempt;
        attempt.organisation = "orchard";
        attempt.service = "sidra-llm";
        attempt.code = transport::reason::connect_failed;
        attempt.deadline = now + 10s;
        ++attempts;
        bool failed = fails(random);
        while (failed && policy.decide(now, attempt, random).outcome ==
                             retry_outcome::retry)
        {
            ++attempt.attempts;
            ++attempts;
            failed = fails(random);
        }
        answered += failed ? 0 : 1;
    }
    return {static_cast<double>(attempts) / requests,
            static_cast<double>(answered) / requests};
}

int run_retry(const bench_arguments& arguments)
{
    bool is_bound = true;
    for (const double failing : {0.01, 0.05, 0.2, 1.0})
    {
        const auto ours = run(budgeted_retry{}, failing, arguments.seed);
        const auto other = run(unbudgeted_retry{}, failing, arguments.seed);
        print_line("retry",
                   "failing={} policy=budgeted attempts_per_request={:.4f} "
                   "answered={:.4f} bound={}",
                   failing, ours.attempts_per_request, ours.answered,
                   most_attempts);
        print_line("retry",
                   "failing={} policy=unbudgeted attempts_per_request={:.4f} "
                   "answered={:.4f}",
                   failing, other.attempts_per_request, other.answered);
        is_bound = is_bound && ours.attempts_per_request <= most_attempts;
    }
    return is_bound ? 0 : 1;
}

const bench_registration registration{
    "retry", "attempts for each request while attempts fail", run_retry};

} // namespace

} // namespace hyssopdeal::bench
