#ifndef HYSSOPDEAL_STANDINS_FLEET_SESSION_HPP
#define HYSSOPDEAL_STANDINS_FLEET_SESSION_HPP

/// @file
/// A fleet planner over the real state machine and a cloud, with leaders that
/// are lost and answers that do not come.
///
/// Index: [settings] [fleet_session]

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <hyssopdeal/coordination/fleet_planner.hpp>
#include <hyssopdeal/state/control_state.hpp>
#include <hyssopdeal/transport/clock.hpp>

#include "cloud_model.hpp"

namespace hyssopdeal::standins
{

// [settings] -----------------------------------------------------------------

/// Times and faults of a session.
struct fleet_session_settings
{
    coordination::fleet_settings fleet;
    cloud_settings cloud;
    std::vector<coordination::fleet_demand> demands;
    std::chrono::milliseconds tick{5'000};
    double lost_answers = 0;   ///< Probability for each call.
    double lost_proposals = 0; ///< Probability for each proposal.
};

// [fleet_session] ------------------------------------------------------------

/// Runs on a manual clock.
class fleet_session
{
public:
    fleet_session(const fleet_session_settings& settings, std::uint64_t seed);

    /// Runs one tick.
    void step();

    /// Commits an operator's order.
    void order(state::command_body body)
    {
        apply(std::move(body));
    }

    /// The leader is lost and another one elected, which knows the committed
    /// records only. Proposals on their way are lost, or still committed.
    enum class proposals
    {
        lost,
        kept
    };
    void change_leader(proposals fate);

    /// @return Slots of a service's version that answer now.
    [[nodiscard]] std::uint32_t
    ready_slots(const coordination::fleet_demand& demand) const;

    [[nodiscard]] transport::wall_time now() const
    {
        return clock_.wall_now();
    }

    [[nodiscard]] cloud_model& cloud()
    {
        return cloud_;
    }

    [[nodiscard]] std::vector<coordination::fleet_demand>& demands()
    {
        return settings_.demands;
    }

    [[nodiscard]] const state::control_state& state() const
    {
        return state_;
    }

private:
    void apply(state::command_body body);
    void propose(std::vector<state::command_body> bodies);
    void carry_out(const coordination::fleet_actions& actions);
    [[nodiscard]] coordination::fleet_view view() const;
    [[nodiscard]] bool chance(double probability);

    fleet_session_settings settings_;
    transport::manual_clock clock_;
    std::mt19937_64 random_;
    cloud_model cloud_;
    state::control_state state_;
    state::log_index index_ = 0;
    state::term_number term_ = 1;
    std::unique_ptr<coordination::fleet_planner> planner_;
    std::deque<state::command_body> proposed_;
    std::uint64_t notices_read_ = 0;
};

} // namespace hyssopdeal::standins

#endif
