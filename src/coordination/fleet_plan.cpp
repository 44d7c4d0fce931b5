#include <hyssopdeal/coordination/fleet_plan.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>

namespace hyssopdeal::coordination
{

namespace
{

using protocol::price_class;
using counts_type = std::vector<std::uint32_t>;

std::uint32_t instances_for(double slots, const fleet_need& need)
{
    return static_cast<std::uint32_t>(
        std::ceil(std::max(slots, 0.0) / need.slots_per_instance - 1e-9));
}

std::uint32_t total_of(const std::vector<instance_offer>& offers,
                       const counts_type& counts, price_class wanted)
{
    std::uint32_t sum = 0;
    for (std::size_t i = 0; i < offers.size(); ++i)
    {
        sum += offers[i].price_class == wanted ? counts[i] : 0;
    }
    return sum;
}

std::map<std::string_view, std::uint32_t>
by_domain(const std::vector<instance_offer>& offers, const counts_type& counts)
{
    std::map<std::string_view, std::uint32_t> sums;
    for (std::size_t i = 0; i < offers.size(); ++i)
    {
        sums[offers[i].failure_domain] += counts[i];
    }
    return sums;
}

/// Positions of the open offers of a class, cheapest first.
std::vector<std::size_t> cheapest(const std::vector<instance_offer>& offers,
                                  price_class wanted, const fleet_need& need)
{
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < offers.size(); ++i)
    {
        if (offers[i].open && offers[i].price_class == wanted)
        {
            order.push_back(i);
        }
    }
    std::ranges::stable_sort(order, {}, [&](std::size_t i) {
        return offers[i].expected_price(need.reclaim_cost);
    });
    return order;
}

/// Adds instances to the cheapest offers of a class.
///
/// @param domain_limit Most instances in one failure domain.
/// @return Whether all found a place.
bool add(const std::vector<instance_offer>& offers, counts_type& counts,
         price_class wanted, std::uint32_t more, std::uint32_t domain_limit,
         const fleet_need& need)
{
    auto used = by_domain(offers, counts);
    for (const auto at : cheapest(offers, wanted, need))
    {
        auto& in_domain = used[offers[at].failure_domain];
        const auto room =
            domain_limit > in_domain ? domain_limit - in_domain : 0;
        const auto taken = std::min(room, more);
        counts[at] += taken;
        in_domain += taken;
        more -= taken;
    }
    return more == 0;
}

/// @return Price of the cheapest open offer of a class; 0 when there is none.
double lowest_price(const std::vector<instance_offer>& offers,
                    price_class wanted, const fleet_need& need)
{
    const auto order = cheapest(offers, wanted, need);
    return order.empty()
               ? 0
               : offers[order.front()].expected_price(need.reclaim_cost);
}

/// One way to split the instances between the two classes.
struct split
{
    std::uint32_t reclaimable = 0; ///< In all.
    std::uint32_t on_demand = 0;   ///< In all.
};

std::optional<counts_type> fill(const std::vector<instance_offer>& offers,
                                const counts_type& start, const split& wanted,
                                std::uint32_t domain_limit, price_class first,
                                const fleet_need& need)
{
    auto counts = start;
    const auto other = first == price_class::on_demand
                           ? price_class::reclaimable
                           : price_class::on_demand;
    for (const auto kind : {first, other})
    {
        const auto goal = kind == price_class::on_demand ? wanted.on_demand
                                                         : wanted.reclaimable;
        const auto have = total_of(offers, counts, kind);
        if (goal > have &&
            !add(offers, counts, kind, goal - have, domain_limit, need))
        {
            return std::nullopt;
        }
    }
    return counts;
}

counts_type running_counts(const std::vector<instance_offer>& offers,
                           plan_from from)
{
    counts_type counts;
    for (const auto& offer : offers)
    {
        counts.push_back(from == plan_from::running ? offer.running : 0);
    }
    return counts;
}

/// As many as needed in the cheapest open offers, whatever the spread.
fleet_plan nearest(const std::vector<instance_offer>& offers,
                   const counts_type& start, const fleet_need& need)
{
    auto counts = start;
    const auto wanted =
        instances_for(std::max(need.slots, need.interactive_slots), need);
    const auto have = std::accumulate(counts.begin(), counts.end(), 0U);
    const auto more = wanted > have ? wanted - have : 0;
    const auto no_limit = wanted + have;
    if (!add(offers, counts, price_class::on_demand, more, no_limit, need))
    {
        counts = start;
        add(offers, counts, price_class::reclaimable, more, no_limit, need);
    }
    const double price = price_of(offers, counts, need);
    return {std::move(counts), price};
}

} // namespace

double price_of(const std::vector<instance_offer>& offers,
                const counts_type& counts, const fleet_need& need)
{
    double sum = 0;
    for (std::size_t i = 0; i < offers.size(); ++i)
    {
        sum += counts[i] * offers[i].expected_price(need.reclaim_cost);
    }
    return sum;
}

reclaim_hazard::reclaim_hazard(std::chrono::minutes half_life)
    : half_life_{half_life}
{}

void reclaim_hazard::age(transport::wall_time now)
{
    if (aged_at_ != transport::wall_time{} && now > aged_at_)
    {
        const std::chrono::duration<double, std::milli> past = now - aged_at_;
        const std::chrono::duration<double, std::milli> half = half_life_;
        const double kept = std::exp2(-past / half);
        reclaims_ *= kept;
        hours_ *= kept;
    }
    aged_at_ = std::max(aged_at_, now);
}

void reclaim_hazard::on_running(transport::wall_time now, double instances,
                                std::chrono::milliseconds time)
{
    age(now);
    hours_ += instances *
              std::chrono::duration<double, std::ratio<3'600>>{time}.count();
}

void reclaim_hazard::on_reclaim(transport::wall_time now)
{
    age(now);
    ++reclaims_;
}

double reclaim_hazard::per_hour(transport::wall_time now) const
{
    auto copy = *this;
    copy.age(now);
    return (copy.reclaims_ + 0.05) / (copy.hours_ + 1);
}

std::uint32_t left_by_wave(std::uint32_t reclaimable, const fleet_need& need)
{
    const double all = reclaimable;
    const double spread = std::sqrt(all * need.wave * (1 - need.wave));
    const double lost =
        std::ceil(need.wave * all + need.wave_spread * spread - 1e-9);
    return static_cast<std::uint32_t>(std::max(all - lost, 0.0));
}

bool meets(const std::vector<instance_offer>& offers, const counts_type& counts,
           const fleet_need& need)
{
    const auto reclaimable = total_of(offers, counts, price_class::reclaimable);
    const auto on_demand = total_of(offers, counts, price_class::on_demand);
    const double per = need.slots_per_instance;
    const double total = (reclaimable + on_demand) * per;
    const double after_wave =
        (on_demand + left_by_wave(reclaimable, need)) * per;
    if (total < need.slots || after_wave < need.interactive_slots)
    {
        return false;
    }
    const auto domains = by_domain(offers, counts);
    return domains.size() < 2 ||
           std::ranges::all_of(domains, [&](const auto& domain) {
               return total - domain.second * per >= need.interactive_slots;
           });
}

fleet_plan plan_fleet(const std::vector<instance_offer>& offers,
                      const fleet_need& need, plan_from from)
{
    const auto start = running_counts(offers, from);
    const auto interactive = instances_for(need.interactive_slots, need);
    const auto all = instances_for(need.slots, need);
    const auto have = std::accumulate(start.begin(), start.end(), 0U);
    // Twice the interactive class covers any failure domain; of reclaimable
    // ones alone, so many are needed that a wave leaves enough.
    const auto through_wave = instances_for(
        need.interactive_slots / std::max(1 - need.wave, 0.05), need);
    const auto most =
        std::max({all, 2 * interactive, 2 * through_wave, have}) + 2;
    const bool spreads = by_domain(offers, start).size() > 1;
    const auto reclaimable_now =
        total_of(offers, start, price_class::reclaimable);
    const auto on_demand_now = total_of(offers, start, price_class::on_demand);
    const double start_price = price_of(offers, start, need);
    const double lowest_reclaimable =
        lowest_price(offers, price_class::reclaimable, need);
    const double lowest_on_demand =
        lowest_price(offers, price_class::on_demand, need);
    fleet_plan best;
    for (std::uint32_t total = std::max(all, interactive); total <= most;
         ++total)
    {
        const auto domain_limit = spreads ? total - interactive : total;
        for (auto on_demand = on_demand_now;
             on_demand + reclaimable_now <= total; ++on_demand)
        {
            const split wanted{total - on_demand, on_demand};
            const double at_least =
                start_price +
                (wanted.reclaimable - reclaimable_now) * lowest_reclaimable +
                (on_demand - on_demand_now) * lowest_on_demand;
            if (!best.counts.empty() && at_least >= best.price_per_hour)
            {
                continue;
            }
            if (on_demand + left_by_wave(wanted.reclaimable, need) <
                interactive)
            {
                continue;
            }
            for (const auto first :
                 {price_class::reclaimable, price_class::on_demand})
            {
                const auto counts =
                    fill(offers, start, wanted, domain_limit, first, need);
                if (!counts || !meets(offers, *counts, need))
                {
                    continue;
                }
                const double price = price_of(offers, *counts, need);
                if (best.counts.empty() || price < best.price_per_hour)
                {
                    best = {*counts, price};
                }
            }
        }
    }
    return best.counts.empty() ? nearest(offers, start, need) : best;
}

} // namespace hyssopdeal::coordination
