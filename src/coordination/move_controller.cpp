#include <hyssopdeal/coordination/move_controller.hpp>

#include <algorithm>
#include <cmath>
#include <set>

#include <fmt/format.h>

#include "move_servers.hpp"

namespace hyssopdeal::coordination
{

namespace
{

using state::move_phase;

/// Smallest change of a share that is worth a record.
constexpr double share_resolution = 0.005;

/// Smallest change of the expected time that is worth a record.
constexpr std::chrono::milliseconds expected_resolution{15'000};

} // namespace

struct move_controller::impl
{
    move_settings settings;
    version_comparison comparison;
    std::uint64_t answers_at_step = 0; ///< Count when the step was first seen.
    std::uint32_t step = 0;
    double share = -1;
    state::revision proposed_on = 0; ///< Revision that a proposal expected.
    transport::wall_time proposed_at{};
    transport::wall_time informed_at{};
    transport::wall_time first_look{}; ///< Of this leader.
    bool warned_late = false;

    [[nodiscard]] bool proposal_pending(const move_view& view) const
    {
        return proposed_on == view.move.changed &&
               view.now < proposed_at + settings.proposal_time_limit &&
               view.now >= proposed_at;
    }

    move_plan plan_of(const move_view& view) const
    {
        const auto& move = view.move;
        const bool stepping = move.status.phase == move_phase::shifting;
        plan_input input;
        input.now = stepping ? move.status.step_since : view.now;
        input.ordered_at = move.ordered_at;
        input.complete_by = move.order.complete_by;
        input.canary_share = move.order.largest_canary_share;
        input.load_time =
            stepping ? std::chrono::milliseconds{0} : view.load_time;
        input.requests_per_second = view.requests_per_second;
        input.from_step = stepping ? move.status.step : 0;
        return make_plan(settings.plan, input);
    }

    /// A step later than planned moves all that follows.
    static transport::wall_time expected_at(const move_view& view,
                                            const move_plan& plan)
    {
        const auto& status = view.move.status;
        if (status.phase != move_phase::shifting ||
            status.step + 1 >= plan.steps.size())
        {
            return plan.expected_at;
        }
        const auto planned = status.step_since + plan.steps[status.step].stay;
        const auto late =
            std::max(view.now - planned, transport::wall_time::duration{0});
        return plan.expected_at + late;
    }

    void propose(const move_view& view, move_actions& actions,
                 state::move_status status,
                 std::vector<protocol::version_share> shares)
    {
        proposed_on = view.move.changed;
        proposed_at = view.now;
        informed_at = view.now;
        actions.update =
            state::update_move{view.move.order.service, std::move(status),
                               std::move(shares), view.move.changed};
    }

    void enter(const move_view& view, move_actions& actions, move_phase phase,
               std::uint32_t to_step, double to_share)
    {
        auto status = view.move.status;
        status.phase = phase;
        status.step = to_step;
        status.share = to_share;
        status.step_since = view.now;
        status.evidence = comparison.text();
        status.waits_for.clear();
        propose(view, actions, status, shares_during(view.move, to_share));
    }

    void take_back(const move_view& view, move_actions& actions,
                   std::string_view why)
    {
        auto status = view.move.status;
        status.phase = move_phase::taken_back;
        status.share = 0;
        status.step_since = view.now;
        status.waits_for.clear();
        status.evidence = fmt::format("{}\n{}", why, comparison.text());
        auto shares = shares_during(view.move, 0);
        if (shares.size() > 1)
        {
            shares.pop_back();
        }
        propose(view, actions, status, std::move(shares));
    }

    /// Writes what an operator should see, at most every status_interval.
    void inform(const move_view& view, move_actions& actions,
                const move_plan& plan, std::string waits_for)
    {
        const auto expected = expected_at(view, plan);
        const bool late = expected > view.move.order.complete_by;
        if (late && !warned_late)
        {
            warned_late = true;
            actions.notice = move_notice::will_be_late;
        }
        const auto& status = view.move.status;
        const auto drift = std::chrono::abs(expected - status.expected_at);
        if (view.now < informed_at + settings.status_interval ||
            (status.waits_for == waits_for && drift < expected_resolution))
        {
            return;
        }
        auto next = status;
        next.expected_at = expected;
        next.waits_for = std::move(waits_for);
        next.evidence = comparison.text();
        propose(view, actions, next, {});
    }

    /// @return Why the routes' evidence does not allow a share; empty: it does.
    [[nodiscard]] std::string unjudged_route(double now_share,
                                             double next_share) const
    {
        for (const auto& route : comparison.routes())
        {
            const auto old = static_cast<double>(route.old_requests);
            const bool judged = route.verdict == test_verdict::not_worse;
            const double expected =
                now_share < 1 ? old * now_share / (1 - now_share) : old;
            const bool required = next_share > settings.unjudged_share_limit
                                      ? old >= settings.plan.samples
                                      : expected >= settings.plan.samples;
            if (!judged && required)
            {
                return fmt::format("evidence on route {}", route.route);
            }
        }
        return {};
    }

    /// Copies of requests judge the version before callers meet it. A service
    /// without repeatable routes has none and does not wait for them.
    [[nodiscard]] std::string
    waits_for_copies(std::chrono::milliseconds since,
                     std::chrono::milliseconds stay) const
    {
        const auto answers = comparison.new_requests() - answers_at_step;
        const bool enough = answers == 0 || answers >= settings.step_answers;
        return enough || since >= 2 * stay ? "" : "answers to copied requests";
    }

    /// @return What the next step waits for; empty: nothing.
    [[nodiscard]] std::string waits_for(const move_view& view,
                                        const move_plan& plan) const
    {
        const auto& status = view.move.status;
        const auto& now_step = plan.steps.at(status.step);
        const auto& next_step = plan.steps.at(status.step + 1);
        const auto since = view.now - status.step_since;
        if (since < now_step.stay)
        {
            return "the planned time at this step";
        }
        if (now_step.share <= 0)
        {
            return waits_for_copies(since, now_step.stay);
        }
        if (comparison.new_requests() - answers_at_step < settings.step_answers)
        {
            return "answers of the new version";
        }
        auto route = unjudged_route(now_step.share, next_step.share);
        if (!route.empty())
        {
            return route;
        }
        if (next_step.share > carried_share(view) + share_resolution)
        {
            return "loaded backend servers of the new version";
        }
        const bool large = next_step.share > settings.unjudged_share_limit;
        const bool time_left = since < 2 * now_step.stay &&
                               expected_at(view, plan) + view.load_time <
                                   view.move.order.complete_by;
        if (large && time_left && !comparison.seen_at_load())
        {
            return "the load that the old version sees";
        }
        return {};
    }

    void load(const move_view& view, move_actions& actions,
              const move_plan& plan)
    {
        const bool any = std::ranges::any_of(view.servers, may_serve);
        const bool all_failed =
            !view.servers.empty() &&
            std::ranges::all_of(view.servers, [](const auto& server) {
                return server.state == version_state::failed;
            });
        if (all_failed)
        {
            take_back(view, actions, "No backend server could load it.");
            return;
        }
        if (spread_over_domains(view))
        {
            const auto at = std::min<std::size_t>(view.move.status.step,
                                                  plan.steps.size() - 2);
            enter(view, actions, move_phase::shifting,
                  static_cast<std::uint32_t>(at),
                  std::min(plan.steps[at].share, carried_share(view)));
            return;
        }
        inform(view, actions, plan,
               any ? "a loaded backend server in each failure domain"
                   : "a backend server of the new version");
    }

    void shift(const move_view& view, move_actions& actions,
               const move_plan& plan)
    {
        const auto& status = view.move.status;
        const auto carried = carried_share(view);
        const auto at =
            std::min<std::size_t>(status.step, plan.steps.size() - 2);
        if (carried <= 0)
        {
            enter(view, actions, move_phase::loading, status.step, 0);
            return;
        }
        const auto wanted = std::min(plan.steps[at].share, carried);
        if (std::abs(wanted - status.share) > share_resolution)
        {
            enter(view, actions, move_phase::shifting, status.step, wanted);
            return;
        }
        auto waits = waits_for(view, plan);
        if (!waits.empty())
        {
            inform(view, actions, plan, std::move(waits));
            return;
        }
        const auto next = static_cast<std::uint32_t>(at + 1);
        const bool last = next + 1 == plan.steps.size();
        enter(view, actions, last ? move_phase::watching : move_phase::shifting,
              next, plan.steps[next].share);
    }

    void watch(const move_view& view, move_actions& actions)
    {
        const auto& move = view.move;
        const auto carried = carried_share(view);
        if (carried < move.status.share - share_resolution)
        {
            // The old version is still loaded and takes what is too much.
            const auto plan = plan_of(view);
            enter(view, actions, move_phase::shifting,
                  static_cast<std::uint32_t>(plan.steps.size() - 2),
                  std::min(carried, plan.steps[plan.steps.size() - 2].share));
            return;
        }
        // What a former leader saw is not known: the window begins anew.
        if (view.now <
            std::max(move.status.step_since, first_look) + move.order.watch)
        {
            return;
        }
        auto status = move.status;
        status.phase = move_phase::done;
        status.step_since = view.now;
        status.evidence = comparison.text();
        status.waits_for.clear();
        propose(view, actions, status, {{move.order.version, 1}});
    }

    [[nodiscard]] bool overdue(const move_view& view) const
    {
        const auto& move = view.move;
        const auto allowed = move.order.complete_by - move.ordered_at;
        const auto grace = std::max<transport::wall_time::duration>(
            settings.shortest_grace, allowed);
        return move.status.phase != move_phase::watching &&
               view.now > move.order.complete_by + grace;
    }

    void note_step(const move_view& view)
    {
        if (first_look == transport::wall_time{})
        {
            first_look = view.now;
        }
        const auto& status = view.move.status;
        if (status.step != step || status.share != share)
        {
            step = status.step;
            share = status.share;
            answers_at_step = comparison.new_requests();
        }
    }

    void set_wanted(const move_view& view, const move_plan& plan,
                    move_actions& actions) const
    {
        const auto& status = view.move.status;
        const auto last = plan.steps.size() - 1;
        const auto at = std::min<std::size_t>(status.step, last);
        const auto next = std::min<std::size_t>(at + 1, last);
        actions.slots_wanted = view.needed_slots * plan.steps[next].share;
        const auto load_next_at =
            status.step_since + plan.steps[at].stay -
            std::max(plan.steps[at].stay / 2, 2 * view.load_time);
        const bool for_next =
            status.phase == move_phase::shifting && view.now >= load_next_at;
        actions.hold =
            servers_to_hold(view, plan.steps[for_next ? next : at].share);
    }
};

move_controller::move_controller(move_settings settings,
                                 const state::move_record& move,
                                 std::chrono::milliseconds first_token_target)
    : impl_{std::make_unique<impl>(
          impl{settings,
               version_comparison{settings.comparison, versions_before(move),
                                  move.order.version, first_token_target}})}
{}

move_controller::move_controller(move_controller&&) noexcept = default;
move_controller::~move_controller() = default;

void move_controller::on_report(const version_report& report)
{
    impl_->comparison.on_report(report);
}

move_actions move_controller::advance(const move_view& view)
{
    move_actions actions;
    const auto phase = view.move.status.phase;
    if (state::ended(phase))
    {
        return actions;
    }
    impl_->comparison.close_window();
    impl_->note_step(view);
    const auto plan = impl_->plan_of(view);
    impl_->set_wanted(view, plan, actions);
    // A take-back does not wait for another proposal: at most it conflicts
    // with that one and is proposed again on its outcome.
    const bool worse = impl_->comparison.worse();
    if (worse || impl_->overdue(view))
    {
        impl_->take_back(view, actions,
                         worse ? "The new version is worse."
                               : "The move is overdue.");
        return actions;
    }
    if (impl_->proposal_pending(view))
    {
        return actions;
    }
    switch (phase)
    {
    case move_phase::planned:
        impl_->enter(view, actions, move_phase::loading, 0, 0);
        break;
    case move_phase::loading:
        impl_->load(view, actions, plan);
        break;
    case move_phase::shifting:
        impl_->shift(view, actions, plan);
        break;
    case move_phase::watching:
        impl_->watch(view, actions);
        break;
    case move_phase::done:
    case move_phase::taken_back:
    case move_phase::cancelled:
        break;
    }
    return actions;
}

const version_comparison& move_controller::comparison() const
{
    return impl_->comparison;
}

} // namespace hyssopdeal::coordination
