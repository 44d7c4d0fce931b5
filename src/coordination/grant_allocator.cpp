#include <hyssopdeal/coordination/grant_allocator.hpp>

#include <algorithm>
#include <cmath>

namespace hyssopdeal::coordination
{

namespace
{

using transport::monotonic_time;

/// A grant sent to a node that may be in force there.
struct issued_grant
{
    std::uint64_t number = 0;
    allotment amounts;
    monotonic_time expires_at;     ///< According to the slowest clock.
    monotonic_time streams_end_at; ///< Latest end of its streams.
};

/// Demand and issued grants of one organisation on one node.
struct node_share
{
    std::string node;
    limit_demand demand;
    monotonic_time last_request_at;
    std::vector<issued_grant> issued;

    [[nodiscard]] allotment outstanding(monotonic_time now) const
    {
        allotment maximum;
        for (const auto& grant : issued)
        {
            if (now < grant.expires_at)
            {
                maximum = elementwise_max(maximum, grant.amounts);
            }
            else if (now < grant.streams_end_at)
            {
                maximum.concurrent_streams =
                    std::max(maximum.concurrent_streams,
                             grant.amounts.concurrent_streams);
            }
        }
        return maximum;
    }
};

struct organisation_shares
{
    protocol::organisation_contract contract;
    std::vector<node_share> nodes;
};

/// Demand as weights for dividing an allotment.
allotment weight_of(const limit_demand& demand)
{
    return {demand.requests_per_second, demand.requests_per_second,
            demand.tokens_per_second, demand.tokens_per_second,
            static_cast<double>(demand.open_streams) + demand.refused_streams};
}

double proportional_share(double total, double weight,
                          double total_weight) noexcept
{
    return total_weight > 0 ? total * weight / total_weight : 0;
}

/// Raises an amount to one unit if there is demand and one unit is available.
double at_least_one(double amount, double demand, double available) noexcept
{
    return demand > 0 && amount < 1 && available >= 1 ? 1 : amount;
}

} // namespace

struct grant_allocator::impl
{
    std::uint64_t term;
    grant_settings settings;
    monotonic_time earlier_grants_expire_at; ///< On the slowest clock.
    std::uint64_t number = 0;
    std::vector<organisation_shares> organisations{};

    [[nodiscard]] std::chrono::nanoseconds max_validity() const
    {
        return std::chrono::duration_cast<std::chrono::nanoseconds>(
            settings.valid_for * (1 + settings.max_clock_rate_error));
    }

    /// Limits minus the floors of all nodes.
    [[nodiscard]] allotment
    grantable(const protocol::organisation_contract& contract) const
    {
        const auto floors =
            scaled(floor_of(contract, settings.floors), settings.floors.nodes);
        return saturating_difference(contract_limits(contract), floors);
    }

    organisation_shares* find(const std::string& organisation)
    {
        for (auto& known : organisations)
        {
            if (known.contract.organisation == organisation)
            {
                return &known;
            }
        }
        return nullptr;
    }

    static node_share& share_of(organisation_shares& known,
                                const std::string& node)
    {
        for (auto& share : known.nodes)
        {
            if (share.node == node)
            {
                return share;
            }
        }
        known.nodes.push_back({node, {}, {}, {}});
        return known.nodes.back();
    }

    /// Removes grants older than the one the node holds, which it can no longer
    /// use. Its open streams above the floor remain counted.
    void confirm(monotonic_time now, const organisation_shares& known,
                 node_share& share, std::uint64_t held_number)
    {
        auto& issued = share.issued;
        const auto is_older = [&](const issued_grant& grant) {
            return grant.number < held_number;
        };
        issued.erase(std::remove_if(issued.begin(), issued.end(), is_older),
                     issued.end());
        issued_grant open;
        open.number = held_number;
        const auto floor = floor_of(known.contract, settings.floors);
        open.amounts.concurrent_streams =
            std::max(share.demand.open_streams - floor.concurrent_streams, 0.0);
        open.expires_at = now;
        open.streams_end_at = now + settings.stream_time_limit;
        issued.push_back(open);
        erase_ended(now, share);
    }

    static void erase_ended(monotonic_time now, node_share& share)
    {
        auto& issued = share.issued;
        issued.erase(std::remove_if(issued.begin(), issued.end(),
                                    [now](const auto& grant) {
                                        return grant.expires_at <= now &&
                                               grant.streams_end_at <= now;
                                    }),
                     issued.end());
    }

    /// Total demand of recently active nodes, each with the weight of an idle
    /// node added.
    [[nodiscard]] allotment total_weight(monotonic_time now,
                                         const organisation_shares& known,
                                         const allotment& idle_weight) const
    {
        allotment all;
        for (const auto& share : known.nodes)
        {
            if (now - share.last_request_at < settings.valid_for)
            {
                all = sum(all, sum(weight_of(share.demand), idle_weight));
            }
        }
        return all;
    }

    [[nodiscard]] allotment demand_share(monotonic_time now,
                                         const organisation_shares& known,
                                         const node_share& share,
                                         const allotment& available) const
    {
        const auto total = grantable(known.contract);
        const auto idle_weight =
            scaled(total, settings.idle_node_share /
                              std::max(settings.floors.nodes, 1U));
        const auto weight = weight_of(share.demand);
        const auto own = sum(weight, idle_weight);
        const auto all = total_weight(now, known, idle_weight);
        allotment wanted{
            proportional_share(total.requests_per_second,
                               own.requests_per_second,
                               all.requests_per_second),
            proportional_share(total.request_burst, own.request_burst,
                               all.request_burst),
            proportional_share(total.tokens_per_second, own.tokens_per_second,
                               all.tokens_per_second),
            proportional_share(total.token_burst, own.token_burst,
                               all.token_burst),
            proportional_share(total.concurrent_streams, own.concurrent_streams,
                               all.concurrent_streams)};
        wanted = elementwise_min(wanted, available);
        wanted.request_burst =
            at_least_one(wanted.request_burst, weight.requests_per_second,
                         available.request_burst);
        wanted.concurrent_streams = std::floor(
            at_least_one(wanted.concurrent_streams, weight.concurrent_streams,
                         available.concurrent_streams));
        return wanted;
    }

    allotment compute_grant(monotonic_time now, organisation_shares& known,
                            const grant_request& request,
                            const node_share& share)
    {
        auto others = allotment{};
        for (const auto& other : known.nodes)
        {
            if (other.node != request.node)
            {
                others = sum(others, other.outstanding(now));
            }
        }
        const auto available =
            saturating_difference(grantable(known.contract), others);
        if (now >= earlier_grants_expire_at)
        {
            return demand_share(now, known, share, available);
        }
        allotment held;
        for (const auto& grant : request.held)
        {
            held = grant.organisation == known.contract.organisation
                       ? grant.amounts
                       : held;
        }
        return elementwise_min(held, available);
    }
};

grant_allocator::grant_allocator(monotonic_time now, std::uint64_t term,
                                 grant_settings settings)
    : impl_(std::make_unique<impl>(impl{term, settings, now}))
{
    // No leader precedes term 1, so there are no earlier grants to wait for.
    impl_->earlier_grants_expire_at =
        term <= 1 ? now : now + impl_->max_validity();
}

grant_allocator::grant_allocator(grant_allocator&&) noexcept = default;
grant_allocator&
grant_allocator::operator=(grant_allocator&&) noexcept = default;
grant_allocator::~grant_allocator() = default;

void grant_allocator::set_contracts(
    const std::vector<protocol::organisation_contract>& contracts)
{
    std::vector<organisation_shares> next;
    next.reserve(contracts.size());
    for (const auto& contract : contracts)
    {
        auto* known = impl_->find(contract.organisation);
        next.push_back({contract, known != nullptr
                                      ? std::move(known->nodes)
                                      : std::vector<node_share>{}});
    }
    impl_->organisations = std::move(next);
}

grant_answer grant_allocator::on_request(monotonic_time now,
                                         const grant_request& request)
{
    grant_answer answer;
    answer.term = impl_->term;
    answer.number = ++impl_->number;
    answer.valid_for = impl_->settings.valid_for;
    const bool is_current_term = request.held_term == impl_->term;
    for (const auto& demand : request.demand)
    {
        auto* known = impl_->find(demand.organisation);
        if (known == nullptr)
        {
            continue;
        }
        auto& share = impl_->share_of(*known, request.node);
        share.demand = demand;
        share.last_request_at = now;
        impl_->confirm(now, *known, share,
                       is_current_term ? request.held_number : 0);
        const auto amounts = impl_->compute_grant(now, *known, request, share);
        const auto expires_at = now + impl_->max_validity();
        share.issued.push_back(
            {answer.number, amounts, expires_at,
             expires_at + impl_->settings.stream_time_limit});
        answer.grants.push_back({demand.organisation, amounts});
    }
    return answer;
}

allotment grant_allocator::outstanding(monotonic_time now,
                                       const std::string& node,
                                       const std::string& organisation) const
{
    auto* known = impl_->find(organisation);
    for (std::size_t i = 0; known != nullptr && i < known->nodes.size(); ++i)
    {
        if (known->nodes[i].node == node)
        {
            return known->nodes[i].outstanding(now);
        }
    }
    return {};
}

allotment grant_allocator::outstanding(monotonic_time now,
                                       const std::string& organisation) const
{
    allotment all;
    auto* known = impl_->find(organisation);
    for (std::size_t i = 0; known != nullptr && i < known->nodes.size(); ++i)
    {
        all = sum(all, known->nodes[i].outstanding(now));
    }
    return all;
}

} // namespace hyssopdeal::coordination
