/// @file
/// The leader's account of reserves.

#include <hyssopdeal/coordination/admission/reserve_ledger.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

#include <hyssopdeal/transport/event_log.hpp>

namespace hyssopdeal::coordination
{

using transport::monotonic_time;

namespace
{

/// @return The reported amount, or 0 if it is none.
double amount(double reported)
{
    return std::isfinite(reported) ? std::max(0.0, reported) : 0;
}

} // namespace

reserve_ledger::reserve_ledger(monotonic_time now,
                               reserve_ledger_settings settings)
    : settings_(settings),
      leader_since_(now)
{}

void reserve_ledger::on_declined(monotonic_time now,
                                 const std::string& organisation)
{
    // Until the reserves of a former leader are known, the bucket is small, and
    // what is returned to it would be lost.
    if (!assuming_)
    {
        declined_at_[organisation] = now;
    }
}

bool reserve_ledger::exhausted(monotonic_time now,
                               const std::string& organisation) const
{
    const auto found = declined_at_.find(organisation);
    return found != declined_at_.end() &&
           now - found->second < settings_.exhausted_for;
}

double reserve_ledger::outstanding(const std::string& organisation) const
{
    const auto found = outstanding_.find(organisation);
    return found == outstanding_.end() ? 0 : found->second;
}

void reserve_ledger::on_quota_changed(monotonic_time now, token_quota& shared)
{
    shared.withhold_fraction(now, assuming_ ? settings_.max_fraction : 0);
    if (!assuming_)
    {
        for (const auto& [organisation, tokens] : outstanding_)
        {
            shared.withhold(now, organisation, tokens);
        }
    }
}

/// Removes what an entry held from the sums; the tokens do not go back to the
/// bucket.
void reserve_ledger::release(const entry_state& entry, token_quota& shared,
                             monotonic_time now)
{
    for (const auto& [organisation, tokens] : entry.held)
    {
        auto& sum = outstanding_[organisation];
        sum = std::max(0.0, sum - tokens);
        if (!assuming_)
        {
            shared.withhold(now, organisation, sum);
        }
    }
}

/// Ends the assumption on a former leader's reserves, and drops expired ones.
void reserve_ledger::update(monotonic_time now,
                            const std::set<std::string>& eligible,
                            token_quota& shared)
{
    constexpr std::chrono::milliseconds sweep_interval{250};
    const bool all_reported =
        assuming_ &&
        std::all_of(eligible.begin(), eligible.end(),
                    [&](const auto& name) { return entries_.contains(name); });
    if (assuming_ &&
        (all_reported || now - leader_since_ >= settings_.valid_for))
    {
        assuming_ = false;
        on_quota_changed(now, shared);
        transport::log_event(
            "quota.reserves_known",
            {{"entries", entries_.size()}, {"after_ms", now - leader_since_}});
    }
    if (now < next_sweep_)
    {
        return;
    }
    next_sweep_ = now + sweep_interval;
    std::erase_if(declined_at_, [&](const auto& item) {
        return !exhausted(now, item.first);
    });
    std::erase_if(entries_, [&](const auto& item) {
        const bool expired = item.second.expires_at <= now;
        if (expired)
        {
            release(item.second, shared, now);
        }
        return expired;
    });
}

/// @return What the entry holds after this report.
double reserve_ledger::grant(monotonic_time now,
                             const std::string& organisation,
                             const protocol::organisation_reserve& reported,
                             token_quota& shared)
{
    const double held = amount(reported.held);
    auto& sum = outstanding_[organisation];
    sum += held;
    if (!assuming_)
    {
        shared.withhold(now, organisation, sum);
    }
    shared.refund(organisation, amount(reported.returned));
    if (assuming_)
    {
        return held;
    }
    const double capacity = shared.whole_capacity(organisation);
    const double room = settings_.max_fraction * capacity - sum;
    const double granted = shared.take_above(
        now, organisation, std::min(room, amount(reported.wanted) - held),
        settings_.min_level * capacity);
    if (granted > 0)
    {
        sum += granted;
        shared.withhold(now, organisation, sum);
    }
    return held + granted;
}

protocol::reserve_orders reserve_ledger::on_report(
    monotonic_time now, const protocol::entry_report& report,
    const std::set<std::string>& eligible, token_quota& shared)
{
    protocol::reserve_orders orders;
    if (report.reserves.number != 0)
    {
        auto& own = entries_[report.entry];
        release(std::exchange(own, {}), shared, now);
        own.expires_at = now + settings_.valid_for;
        orders.number = report.reserves.number;
        // Only the entries in the replicated state are known to the next
        // leader, so only they may hold reserves.
        const bool may_grow = eligible.contains(report.entry);
        for (const auto& [organisation, reported] :
             report.reserves.by_organisation)
        {
            const bool used_up = exhausted(now, organisation);
            if (used_up)
            {
                orders.exhausted.insert(organisation);
            }
            auto asked = reported;
            asked.wanted = may_grow && !used_up ? reported.wanted : 0;
            const double tokens = grant(now, organisation, asked, shared);
            if (tokens > 0)
            {
                own.held[organisation] = tokens;
                orders.tokens[organisation] = tokens;
            }
        }
    }
    update(now, eligible, shared);
    return orders;
}

} // namespace hyssopdeal::coordination
