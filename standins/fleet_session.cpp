#include "fleet_session.hpp"

#include <utility>

#include <hyssopdeal/coordination/evacuation/evacuation_orders.hpp>

namespace hyssopdeal::standins
{

using coordination::fleet_planner;
using coordination::start_answer;
using state::purchase_phase;

fleet_session::fleet_session(const fleet_session_settings& settings,
                             std::uint64_t seed)
    : settings_{settings},
      random_{seed},
      cloud_{settings.cloud, seed + 1},
      planner_{std::make_unique<fleet_planner>(settings.fleet)}
{}

bool fleet_session::chance(double probability)
{
    return std::uniform_real_distribution<double>{}(random_) < probability;
}

void fleet_session::apply(state::command_body body)
{
    ++index_;
    state_.apply({index_, term_}, {clock_.wall_now(), {}, std::move(body)});
}

void fleet_session::propose(std::vector<state::command_body> bodies)
{
    for (auto& body : bodies)
    {
        if (!chance(settings_.lost_proposals))
        {
            proposed_.push_back(std::move(body));
        }
    }
}

coordination::fleet_view fleet_session::view() const
{
    coordination::fleet_view result;
    result.now = clock_.wall_now();
    result.term = term_;
    result.demands = settings_.demands;
    result.prices = settings_.cloud.prices;
    result.evacuated = coordination::evacuated_in(state_.tables());
    for (const auto& [id, purchase] : state_.tables().purchases)
    {
        if (purchase.phase == purchase_phase::ordered ||
            purchase.phase == purchase_phase::started)
        {
            result.purchases.push_back(purchase);
        }
    }
    for (const auto& [name, leaving] : state_.tables().leaving)
    {
        result.leaving.push_back(leaving);
        // Work is done a minute after the last new request.
        if (result.now >= leaving.since + std::chrono::minutes{1})
        {
            result.drained.push_back(name);
        }
    }
    return result;
}

void fleet_session::step()
{
    clock_.advance(settings_.tick);
    const auto time = clock_.wall_now();
    cloud_.advance(time);
    while (!proposed_.empty())
    {
        apply(std::move(proposed_.front()));
        proposed_.pop_front();
    }
    const auto seen = view();
    for (const auto& notice : cloud_.notices_after(notices_read_))
    {
        notices_read_ = notice.number;
        propose(planner_->on_notice(seen, notice.instance, notice.gone_at));
    }
    for (const auto& purchase : seen.purchases)
    {
        if (purchase.phase == purchase_phase::started &&
            !cloud_.instances().contains(purchase.instance))
        {
            propose(planner_->on_released(purchase));
        }
    }
    carry_out(planner_->advance(seen));
}

void fleet_session::carry_out(const coordination::fleet_actions& actions)
{
    const auto time = clock_.wall_now();
    propose(actions.proposals);
    for (const auto& order : actions.starts)
    {
        const auto* started = cloud_.start(time, order);
        auto answer =
            started != nullptr ? start_answer::started : start_answer::refused;
        answer = chance(settings_.lost_answers) ? start_answer::lost : answer;
        coordination::started_instance instance;
        if (started != nullptr)
        {
            instance = {started->name, settings_.cloud.address};
        }
        propose(planner_->on_start_answer(time, order, answer, instance));
    }
    for (const auto& name : actions.releases)
    {
        cloud_.release(time, name);
    }
}

void fleet_session::change_leader(proposals fate)
{
    if (fate == proposals::lost)
    {
        proposed_.clear();
    }
    ++term_;
    // The next leader reads the notices from the first one on.
    notices_read_ = 0;
    planner_ = std::make_unique<fleet_planner>(settings_.fleet);
}

std::uint32_t
fleet_session::ready_slots(const coordination::fleet_demand& demand) const
{
    std::uint32_t slots = demand.declared_slots;
    for (const auto& [name, instance] : cloud_.instances())
    {
        if (instance.service == demand.service &&
            instance.version == demand.version &&
            clock_.wall_now() >= instance.ready_at)
        {
            slots += demand.slots_per_instance;
        }
    }
    return slots;
}

} // namespace hyssopdeal::standins
