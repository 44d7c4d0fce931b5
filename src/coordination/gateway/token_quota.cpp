/// @file
/// Token buckets for a process's shares of the organisations' quotas.

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

// Fraction of its capacity that a bucket holds when its share becomes positive.
// The previous process on this instance may have used the rest.
constexpr double initial_level_fraction = 0.25;
// Follows a shift of traffic between gateways within about two seconds.
constexpr seconds demand_time_constant{2.0};

} // namespace

token_quota::token_quota(quota_settings settings)
    : settings_(settings)
{}

double token_quota::capacity(const bucket& item)
{
    return std::max(0.0, item.share * item.burst - item.withheld);
}

void token_quota::refill(monotonic_time now)
{
    const seconds elapsed =
        std::min(now, std::max(shares_expire_at_, refilled_at_)) - refilled_at_;
    refilled_at_ = std::max(refilled_at_, now);
    if (elapsed.count() <= 0)
    {
        return;
    }
    for (auto& [name, item] : buckets_)
    {
        item.level =
            std::min(capacity(item),
                     item.level + item.share * item.rate * elapsed.count());
        item.deferred = std::max(0.0, item.deferred - item.share * item.rate *
                                                          elapsed.count());
    }
}

void token_quota::set_organisations(
    monotonic_time now,
    const std::vector<protocol::organisation_terms>& organisations)
{
    refill(now);
    std::map<std::string, bucket> next;
    for (const auto& terms : organisations)
    {
        auto& item = next[terms.name];
        if (const auto known = buckets_.find(terms.name);
            known != buckets_.end())
        {
            item = known->second;
        }
        else if (const auto held_share = shares_.find(terms.name);
                 held_share != shares_.end())
        {
            item.share = held_share->second;
        }
        const double window = seconds{settings_.window}.count();
        const double counted =
            terms.tokens_per_second * window + terms.burst_tokens;
        const double tolerated =
            settings_.tolerated_tokens + settings_.tolerated_fraction * counted;
        const bool limited = terms.tokens_per_second > 0;
        item.rate = limited ? terms.tokens_per_second +
                                  settings_.rate_fraction * tolerated / window
                            : 0;
        item.burst = terms.burst_tokens + settings_.burst_fraction * tolerated;
        item.level = std::min(item.level, capacity(item));
    }
    buckets_ = std::move(next);
}

void token_quota::set_shares(monotonic_time now,
                             const std::map<std::string, double>& shares,
                             monotonic_time expires_at)
{
    refill(now);
    shares_ = shares;
    shares_expire_at_ = expires_at;
    for (auto& [name, item] : buckets_)
    {
        const auto found = shares.find(name);
        const double next = found == shares.end() ? 0 : found->second;
        if (item.share <= 0 && next > 0)
        {
            item.level = next * item.burst * initial_level_fraction;
        }
        else if (next < item.share)
        {
            // The level shrinks in proportion to the share.
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
    refill(now);
    auto& item = found->second;
    item.asked += tokens;
    const bool shares_valid = now < shares_expire_at_;
    const double needed = settings_.debt == bucket_debt::none
                              ? tokens
                              : std::min(tokens, capacity(item));
    if (shares_valid && item.share > 0 && item.level >= needed)
    {
        item.level -= tokens;
        return milliseconds{0};
    }
    const double rate = std::max(item.share, 0.01) * item.rate;
    item.deferred += tokens;
    const double shortfall =
        std::max(1.0, needed - item.level + item.deferred - tokens);
    return milliseconds{
        static_cast<std::int64_t>(std::ceil(1'000 * shortfall / rate))};
}

void token_quota::withhold(monotonic_time now, const std::string& name,
                           double tokens)
{
    const auto found = buckets_.find(name);
    if (found != buckets_.end())
    {
        refill(now);
        found->second.withheld = tokens;
        found->second.level =
            std::min(found->second.level, capacity(found->second));
    }
}

void token_quota::withhold_fraction(monotonic_time now, double fraction)
{
    refill(now);
    for (auto& [name, item] : buckets_)
    {
        item.withheld = fraction * item.share * item.burst;
        item.level = std::min(item.level, capacity(item));
    }
}

double token_quota::whole_capacity(const std::string& name) const
{
    const auto found = buckets_.find(name);
    return found == buckets_.end() || found->second.rate <= 0
               ? 0
               : found->second.share * found->second.burst;
}

double token_quota::take_above(monotonic_time now, const std::string& name,
                               double tokens, double min_level)
{
    const auto found = buckets_.find(name);
    if (found == buckets_.end())
    {
        return 0;
    }
    refill(now);
    auto& item = found->second;
    const double taken =
        std::max(0.0, std::min(tokens, item.level - min_level));
    item.level -= taken;
    return taken;
}

void token_quota::refund(const std::string& name, double tokens)
{
    const auto found = buckets_.find(name);
    if (found != buckets_.end())
    {
        auto& item = found->second;
        item.level = std::min(capacity(item), item.level + tokens);
    }
}

std::map<std::string, double> token_quota::demand(monotonic_time now)
{
    const seconds elapsed = now - demand_sampled_at_;
    std::map<std::string, double> demands;
    if (elapsed.count() <= 0)
    {
        return demands;
    }
    const double weight = 1 - std::exp(-elapsed / demand_time_constant);
    demand_sampled_at_ = now;
    for (auto& [name, item] : buckets_)
    {
        const double latest = std::exchange(item.asked, 0) / elapsed.count();
        item.demand += weight * (latest - item.demand);
        demands[name] = item.demand;
    }
    return demands;
}

} // namespace hyssopdeal::coordination
