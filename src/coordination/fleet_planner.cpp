#include <hyssopdeal/coordination/fleet_planner.hpp>

#include <algorithm>
#include <map>
#include <numeric>
#include <set>

#include <fmt/format.h>

namespace hyssopdeal::coordination
{

namespace
{

using protocol::price_class;
using state::purchase_phase;
using state::purchase_record;
using transport::wall_time;

/// Instances of one class in one failure domain.
struct offer_key
{
    std::string failure_domain;
    price_class kind = price_class::on_demand;

    bool operator<(const offer_key& other) const
    {
        return failure_domain != other.failure_domain
                   ? failure_domain < other.failure_domain
                   : kind < other.kind;
    }
};

struct offer_memory
{
    reclaim_hazard hazard;
    std::chrono::milliseconds backoff{};
    wall_time closed_until{};
};

/// A demand that could be met for less, and since when.
struct saving_memory
{
    wall_time since{};
    wall_time compared_at{};
    bool seen = false;
};

bool alive(const purchase_record& purchase)
{
    return purchase.phase == purchase_phase::ordered ||
           purchase.phase == purchase_phase::started;
}

const state::leaving_record* find_leaving(const fleet_view& view,
                                          std::string_view instance)
{
    const auto found = std::ranges::find(view.leaving, instance,
                                         &state::leaving_record::instance);
    return found == view.leaving.end() ? nullptr : &*found;
}

std::vector<std::uint32_t>
running_counts(const std::vector<instance_offer>& offers)
{
    std::vector<std::uint32_t> counts(offers.size());
    std::ranges::transform(offers, counts.begin(), &instance_offer::running);
    return counts;
}

} // namespace

struct fleet_planner::impl
{
    fleet_settings settings;
    std::map<offer_key, offer_memory> offers;
    std::map<std::string, wall_time> called_at;      ///< By order id.
    std::map<std::string, wall_time> released_at;    ///< Calls by instance.
    std::map<std::string, purchase_record> proposed; ///< Not yet committed.
    std::map<std::string, wall_time> proposed_at;
    std::map<std::string, wall_time> leaving_proposed; ///< By instance.
    std::map<std::string, saving_memory> savings; ///< By service and version.
    std::set<std::string> noticed;
    state::term_number term = 0;
    std::uint64_t next_number = 1;
    wall_time last_tick{};

    void enter_term(const fleet_view& view)
    {
        if (term == view.term)
        {
            return;
        }
        term = view.term;
        next_number = 1;
        called_at.clear();
        released_at.clear();
        proposed.clear();
        proposed_at.clear();
        leaving_proposed.clear();
        savings.clear();
    }

    void observe_running(const fleet_view& view)
    {
        if (last_tick != wall_time{} && view.now > last_tick)
        {
            for (const auto& purchase : view.purchases)
            {
                if (purchase.phase == purchase_phase::started)
                {
                    offers[{purchase.failure_domain, purchase.price}]
                        .hazard.on_running(view.now, 1, view.now - last_tick);
                }
            }
        }
        last_tick = view.now;
    }

    /// Proposals that are committed now are known from the view; those for an
    /// evacuated domain are not made again.
    void forget_proposals(const fleet_view& view)
    {
        std::erase_if(proposed, [&](const auto& item) {
            return view.evacuated.contains(item.second.failure_domain);
        });
        std::erase_if(proposed_at, [&](const auto& item) {
            return !proposed.contains(item.first);
        });
        for (const auto& purchase : view.purchases)
        {
            proposed.erase(purchase.order_id);
            proposed_at.erase(purchase.order_id);
        }
    }

    [[nodiscard]] bool counts_as_running(const fleet_view& view,
                                         const purchase_record& purchase) const
    {
        return alive(purchase) &&
               (purchase.instance.empty() ||
                (find_leaving(view, purchase.instance) == nullptr &&
                 !leaving_proposed.contains(purchase.instance)));
    }

    std::vector<instance_offer> make_offers(const fleet_view& view,
                                            const fleet_demand& demand)
    {
        std::vector<instance_offer> result;
        for (const auto& price : view.prices)
        {
            if (view.evacuated.contains(price.failure_domain))
            {
                continue;
            }
            auto& memory = offers[{price.failure_domain, price.price_class}];
            instance_offer offer;
            offer.failure_domain = price.failure_domain;
            offer.price_class = price.price_class;
            offer.price_per_hour = price.price_per_hour;
            offer.hazard_per_hour =
                price.price_class == price_class::reclaimable
                    ? memory.hazard.per_hour(view.now)
                    : 0;
            offer.open = view.now >= memory.closed_until;
            const auto same = [&](const purchase_record& purchase) {
                return purchase.service == demand.service &&
                       purchase.version == demand.version &&
                       purchase.failure_domain == price.failure_domain &&
                       purchase.price == price.price_class;
            };
            for (const auto& purchase : view.purchases)
            {
                offer.running +=
                    same(purchase) && counts_as_running(view, purchase);
            }
            for (const auto& [id, purchase] : proposed)
            {
                offer.running += same(purchase);
            }
            result.push_back(std::move(offer));
        }
        return result;
    }

    [[nodiscard]] fleet_need need_of(const fleet_demand& demand) const
    {
        const auto less_declared = [&](std::uint32_t slots) {
            return slots > demand.declared_slots ? slots - demand.declared_slots
                                                 : 0;
        };
        fleet_need need;
        need.slots =
            less_declared(slots_needed(demand.load, demand.load.busy_slots));
        need.interactive_slots = less_declared(
            slots_needed(demand.load, demand.load.interactive_slots));
        need.slots_per_instance = demand.slots_per_instance;
        need.wave = settings.wave;
        need.wave_spread = settings.wave_spread;
        need.reclaim_cost = settings.reclaim_cost;
        return need;
    }

    void buy(const fleet_view& view, const fleet_demand& demand,
             const instance_offer& offer, fleet_actions& actions)
    {
        purchase_record purchase;
        purchase.order_id = fmt::format("fleet-{}-{}", term, next_number++);
        purchase.failure_domain = offer.failure_domain;
        purchase.service = demand.service;
        purchase.version = demand.version;
        purchase.price = offer.price_class;
        proposed[purchase.order_id] = purchase;
        proposed_at[purchase.order_id] = view.now;
        actions.proposals.emplace_back(state::order_purchase{purchase});
    }

    /// @return Whether anything is missing.
    bool buy_missing(const fleet_view& view, const fleet_demand& demand,
                     const std::vector<instance_offer>& offered,
                     const fleet_plan& plan, std::uint32_t at_most,
                     fleet_actions& actions)
    {
        bool missing = false;
        for (std::size_t i = 0; i < offered.size(); ++i)
        {
            for (auto n = offered[i].running; n < plan.counts[i]; ++n)
            {
                missing = true;
                if (at_most == 0)
                {
                    return true;
                }
                --at_most;
                buy(view, demand, offered[i], actions);
            }
        }
        return missing;
    }

    /// Gives back the dearest instance that the need does not require.
    void give_back_one(const fleet_view& view, const fleet_demand& demand,
                       const std::vector<instance_offer>& offered,
                       const fleet_need& need, fleet_actions& actions)
    {
        std::vector<std::size_t> order(offered.size());
        std::iota(order.begin(), order.end(), std::size_t{0});
        std::ranges::stable_sort(order, std::greater<>{}, [&](std::size_t i) {
            return offered[i].expected_price(need.reclaim_cost);
        });
        auto counts = running_counts(offered);
        for (const auto at : order)
        {
            if (counts[at] == 0)
            {
                continue;
            }
            --counts[at];
            if (meets(offered, counts, need) &&
                drain_one(view, demand, offered[at], actions))
            {
                return;
            }
            ++counts[at];
        }
    }

    bool drain_one(const fleet_view& view, const fleet_demand& demand,
                   const instance_offer& offer, fleet_actions& actions)
    {
        for (const auto& purchase : view.purchases)
        {
            if (purchase.phase == purchase_phase::started &&
                purchase.service == demand.service &&
                purchase.version == demand.version &&
                purchase.failure_domain == offer.failure_domain &&
                purchase.price == offer.price_class &&
                counts_as_running(view, purchase))
            {
                leaving_proposed[purchase.instance] = view.now;
                actions.proposals.emplace_back(state::set_leaving{
                    purchase.instance, state::leaving_source::scale_in, 0, {}});
                return true;
            }
        }
        return false;
    }

    static fleet_plan keep_or_add(const std::vector<instance_offer>& offered,
                                  const fleet_need& need)
    {
        fleet_plan running;
        running.counts = running_counts(offered);
        if (!meets(offered, running.counts, need))
        {
            return plan_fleet(offered, need, plan_from::running);
        }
        running.price_per_hour = price_of(offered, running.counts, need);
        return running;
    }

    void plan(const fleet_view& view, const fleet_demand& demand,
              fleet_actions& actions)
    {
        const auto offered = make_offers(view, demand);
        const auto need = need_of(demand);
        const auto kept = keep_or_add(offered, need);
        constexpr std::uint32_t no_limit = 1'000;
        auto& saving = savings[demand.service + '/' + demand.version];
        if (buy_missing(view, demand, offered, kept, no_limit, actions))
        {
            saving.seen = false;
            return;
        }
        if (view.now < saving.compared_at + settings.compare_interval)
        {
            return;
        }
        saving.compared_at = view.now;
        const auto best = plan_fleet(offered, need, plan_from::nothing);
        const bool cheaper =
            best.price_per_hour <
            (1 - settings.scale_in_saving) * kept.price_per_hour;
        if (!cheaper || !saving.seen)
        {
            saving.since = view.now;
            saving.seen = cheaper;
            return;
        }
        if (view.now < saving.since + settings.scale_in_delay)
        {
            return;
        }
        saving.since = view.now - settings.scale_in_delay * 9 / 10;
        const auto before = actions.proposals.size();
        give_back_one(view, demand, offered, need, actions);
        if (actions.proposals.size() == before)
        {
            // All are needed as they are: a cheaper one comes first.
            buy_missing(view, demand, offered, best, 1, actions);
        }
    }

    /// Demands that are gone need nothing: their instances drain.
    void drain_unwanted(const fleet_view& view, fleet_actions& actions)
    {
        for (const auto& purchase : view.purchases)
        {
            const bool wanted =
                std::ranges::any_of(view.demands, [&](const auto& demand) {
                    return demand.service == purchase.service &&
                           demand.version == purchase.version;
                });
            if (!wanted && purchase.phase == purchase_phase::started &&
                counts_as_running(view, purchase))
            {
                leaving_proposed[purchase.instance] = view.now;
                actions.proposals.emplace_back(state::set_leaving{
                    purchase.instance, state::leaving_source::scale_in, 0, {}});
            }
        }
    }

    void repeat_proposals(const fleet_view& view, fleet_actions& actions)
    {
        for (auto& [id, at] : proposed_at)
        {
            if (view.now >= at + settings.proposal_time_limit)
            {
                at = view.now;
                actions.proposals.emplace_back(
                    state::order_purchase{proposed.at(id)});
            }
        }
        std::erase_if(leaving_proposed, [&](const auto& item) {
            return view.now >= item.second + settings.proposal_time_limit ||
                   find_leaving(view, item.first) != nullptr;
        });
    }

    void call_cloud(const fleet_view& view, fleet_actions& actions)
    {
        const auto due = [&](std::map<std::string, wall_time>& calls,
                             const std::string& key) {
            const auto found = calls.find(key);
            if (found != calls.end() &&
                view.now < found->second + settings.call_time_limit)
            {
                return false;
            }
            calls[key] = view.now;
            return true;
        };
        for (const auto& purchase : view.purchases)
        {
            // One that was recorded before an evacuation waits for its end.
            if (purchase.phase == purchase_phase::ordered &&
                !view.evacuated.contains(purchase.failure_domain) &&
                due(called_at, purchase.order_id))
            {
                actions.starts.push_back(purchase);
            }
            if (purchase.phase == purchase_phase::started &&
                may_release(view, purchase) &&
                due(released_at, purchase.instance))
            {
                actions.releases.push_back(purchase.instance);
            }
        }
    }

    [[nodiscard]] bool may_release(const fleet_view& view,
                                   const purchase_record& purchase) const
    {
        const auto* leaving = find_leaving(view, purchase.instance);
        if (leaving == nullptr)
        {
            return false;
        }
        const bool drained =
            std::ranges::find(view.drained, purchase.instance) !=
            view.drained.end();
        const bool gone =
            leaving->gone_at != wall_time{} && view.now >= leaving->gone_at;
        return drained || gone ||
               view.now >= leaving->since + settings.drain_limit;
    }
};

fleet_planner::fleet_planner(fleet_settings settings)
    : impl_{std::make_unique<impl>()}
{
    impl_->settings = settings;
}

fleet_planner::fleet_planner(fleet_planner&&) noexcept = default;
fleet_planner::~fleet_planner() = default;

fleet_actions fleet_planner::advance(const fleet_view& view)
{
    fleet_actions actions;
    auto& state = *impl_;
    state.enter_term(view);
    state.observe_running(view);
    state.forget_proposals(view);
    state.repeat_proposals(view, actions);
    for (const auto& demand : view.demands)
    {
        state.plan(view, demand, actions);
    }
    state.drain_unwanted(view, actions);
    state.call_cloud(view, actions);
    return actions;
}

std::vector<state::command_body>
fleet_planner::on_start_answer(wall_time now, const purchase_record& purchase,
                               start_answer answer,
                               const started_instance& instance)
{
    auto& offer = impl_->offers[{purchase.failure_domain, purchase.price}];
    if (answer == start_answer::lost)
    {
        return {};
    }
    if (answer == start_answer::started)
    {
        offer.backoff = {};
        return {state::update_purchase{purchase.order_id,
                                       purchase_phase::started, instance.name,
                                       instance.address, purchase.changed}};
    }
    offer.backoff = std::clamp(2 * offer.backoff, impl_->settings.first_backoff,
                               impl_->settings.longest_backoff);
    offer.closed_until = now + offer.backoff;
    return {state::update_purchase{
        purchase.order_id, purchase_phase::refused, {}, {}, purchase.changed}};
}

std::vector<state::command_body>
fleet_planner::on_released(const purchase_record& purchase)
{
    if (purchase.phase != purchase_phase::started)
    {
        return {};
    }
    return {state::update_purchase{purchase.order_id, purchase_phase::released,
                                   purchase.instance, purchase.address,
                                   purchase.changed}};
}

std::vector<state::command_body>
fleet_planner::on_notice(const fleet_view& view, std::string_view instance,
                         wall_time gone_at)
{
    const auto purchase =
        std::ranges::find(view.purchases, instance, &purchase_record::instance);
    if (impl_->noticed.insert(std::string{instance}).second &&
        purchase != view.purchases.end())
    {
        impl_->offers[{purchase->failure_domain, purchase->price}]
            .hazard.on_reclaim(view.now);
    }
    const auto* leaving = find_leaving(view, instance);
    if (leaving != nullptr && leaving->gone_at != wall_time{} &&
        leaving->gone_at <= gone_at)
    {
        return {};
    }
    impl_->leaving_proposed[std::string{instance}] = view.now;
    return {state::set_leaving{std::string{instance},
                               state::leaving_source::reclaim_notice, 0,
                               gone_at}};
}

} // namespace hyssopdeal::coordination
