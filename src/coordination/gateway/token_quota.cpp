/// @file
/// An entry's part of each organisation's quota.

#include <hyssopdeal/coordination/gateway/token_quota.hpp>

#include <algorithm>
#include <cmath>

namespace hyssopdeal::coordination
{

using std::chrono::milliseconds;
using transport::monotonic_time;
using seconds = std::chrono::duration<double>;

namespace
{

// An entry's first share starts with a part of its bucket only: the process
// before it may have used up the rest.
constexpr double first_level = 0.25;
// Follows a shift of callers within about two seconds.
constexpr seconds demand_memory{2.0};

} // namespace

token_quota::token_quota(quota_settings settings)
    : settings_(settings)
{}

void token_quota::fill(monotonic_time now)
{
    const seconds passed = std::min(now, std::max(until_, filled_)) - filled_;
    filled_ = std::max(filled_, now);
    if (passed.count() <= 0)
    {
        return;
    }
    for (auto& [name, item] : buckets_)
    {
        item.level =
            std::min(item.share * item.burst,
                     item.level + item.share * item.rate * passed.count());
        item.promised = std::max(0.0, item.promised - item.share * item.rate *
                                                          passed.count());
    }
}

void token_quota::set_organisations(
    monotonic_time now,
    const std::vector<protocol::organisation_terms>& organisations)
{
    fill(now);
    std::map<std::string, bucket> next;
    for (const auto& terms : organisations)
    {
        auto& item = next[terms.name];
        if (const auto known = buckets_.find(terms.name);
            known != buckets_.end())
        {
            item = known->second;
        }
        else if (const auto held = shares_.find(terms.name);
                 held != shares_.end())
        {
            item.share = held->second;
        }
        const double window = seconds{settings_.window}.count();
        const double counted =
            terms.tokens_per_second * window + terms.burst_tokens;
        const double tolerated =
            settings_.tolerated_tokens + settings_.tolerated_fraction * counted;
        const bool limited = terms.tokens_per_second > 0;
        item.rate = limited ? terms.tokens_per_second +
                                  settings_.rate_part * tolerated / window
                            : 0;
        item.burst = terms.burst_tokens + settings_.burst_part * tolerated;
        item.level = std::min(item.level, item.share * item.burst);
    }
    buckets_ = std::move(next);
}

void token_quota::set_shares(monotonic_time now,
                             const std::map<std::string, double>& shares,
                             monotonic_time until)
{
    fill(now);
    shares_ = shares;
    until_ = until;
    for (auto& [name, item] : buckets_)
    {
        const auto found = shares.find(name);
        const double next = found == shares.end() ? 0 : found->second;
        if (item.share <= 0 && next > 0)
        {
            item.level = next * item.burst * first_level;
        }
        else if (next < item.share)
        {
            // The rest of the level goes with the rest of the share.
            item.level *= next / item.share;
        }
        item.share = next;
    }
}

milliseconds token_quota::take(monotonic_time now, const std::string& name,
                               double tokens)
{
    const auto found = buckets_.find(name);
    if (found == buckets_.end() || found->second.rate <= 0)
    {
        return milliseconds{0};
    }
    fill(now);
    auto& item = found->second;
    item.asked += tokens;
    const bool held = now < until_;
    const double needed = settings_.debt == bucket_debt::none
                              ? tokens
                              : std::min(tokens, item.share * item.burst);
    if (held && item.share > 0 && item.level >= needed)
    {
        item.level -= tokens;
        return milliseconds{0};
    }
    const double rate = std::max(item.share, 0.01) * item.rate;
    item.promised += tokens;
    const double missing =
        std::max(1.0, needed - item.level + item.promised - tokens);
    return milliseconds{
        static_cast<std::int64_t>(std::ceil(1'000 * missing / rate))};
}

void token_quota::refund(const std::string& name, double tokens)
{
    const auto found = buckets_.find(name);
    if (found != buckets_.end())
    {
        auto& item = found->second;
        item.level = std::min(item.share * item.burst, item.level + tokens);
    }
}

std::map<std::string, double> token_quota::demand(monotonic_time now)
{
    const seconds passed = now - measured_;
    std::map<std::string, double> shown;
    if (passed.count() <= 0)
    {
        return shown;
    }
    const double weight = 1 - std::exp(-passed / demand_memory);
    measured_ = now;
    for (auto& [name, item] : buckets_)
    {
        const double latest = std::exchange(item.asked, 0) / passed.count();
        item.demand += weight * (latest - item.demand);
        shown[name] = item.demand;
    }
    return shown;
}

} // namespace hyssopdeal::coordination
