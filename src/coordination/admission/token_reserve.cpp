/// @file
/// A gateway's reserves of the organisations' quotas.

#include <hyssopdeal/coordination/admission/token_reserve.hpp>

#include <algorithm>
#include <cmath>

namespace hyssopdeal::coordination
{

using transport::monotonic_time;

token_reserve::token_reserve(token_reserve_settings settings)
    : settings_(settings)
{}

void token_reserve::add_use(monotonic_time now, reserve& item, double tokens)
{
    // Bounds the number of records at high request rates.
    constexpr std::chrono::milliseconds merge_interval{50};
    if (item.uses.empty() || now - item.uses.back().at > merge_interval)
    {
        item.uses.push_back({now, 0});
    }
    item.uses.back().tokens += tokens;
    item.used += tokens;
}

void token_reserve::on_granted(monotonic_time now,
                               const std::string& organisation, double tokens)
{
    add_use(now, reserves_[organisation], tokens);
}

double token_reserve::held(monotonic_time now,
                           const std::string& organisation) const
{
    const auto found = reserves_.find(organisation);
    return found == reserves_.end() || now >= expires_at_ ? 0
                                                          : found->second.held;
}

bool token_reserve::take(monotonic_time now, const std::string& organisation,
                         double tokens)
{
    if (tokens > held(now, organisation))
    {
        return false;
    }
    auto& item = reserves_[organisation];
    item.held -= tokens;
    item.used_since_report += tokens;
    add_use(now, item, tokens);
    return true;
}

protocol::reserve_report token_reserve::report(monotonic_time now)
{
    protocol::reserve_report result;
    result.number = ++number_;
    reported_at_ = now;
    const bool silent = leader_silent(now);
    for (auto at = reserves_.begin(); at != reserves_.end();)
    {
        auto& [organisation, item] = *at;
        while (!item.uses.empty() &&
               now - item.uses.front().at > settings_.covered)
        {
            item.used -= item.uses.front().tokens;
            item.uses.pop_front();
        }
        item.used = item.uses.empty() ? 0 : item.used;
        item.held = now < expires_at_ ? item.held : 0;
        item.used_since_report = 0;
        protocol::organisation_reserve reported;
        reported.wanted = exhausted_.contains(organisation) ? 0 : item.used;
        if (silent)
        {
            // What is returned to a leader that does not answer is lost.
            reported.wanted = std::max(item.used, item.held);
        }
        reported.returned = std::max(0.0, item.held - reported.wanted);
        item.held -= reported.returned;
        reported.held = item.held;
        if (item.uses.empty() && reported.returned <= 0 && item.held <= 0)
        {
            at = reserves_.erase(at);
            continue;
        }
        result.by_organisation.emplace(organisation, reported);
        ++at;
    }
    return result;
}

void token_reserve::set_orders(monotonic_time now,
                               const protocol::reserve_orders& orders)
{
    leader_answered_at_ = now;
    if (orders.number != number_ || number_ == 0)
    {
        return;
    }
    expires_at_ = reported_at_ + settings_.valid_for;
    exhausted_ = orders.exhausted;
    for (auto& [organisation, item] : reserves_)
    {
        const auto found = orders.tokens.find(organisation);
        const double granted = found == orders.tokens.end() ? 0 : found->second;
        item.held = std::isfinite(granted)
                        ? std::max(0.0, granted - item.used_since_report)
                        : 0;
    }
}

} // namespace hyssopdeal::coordination
