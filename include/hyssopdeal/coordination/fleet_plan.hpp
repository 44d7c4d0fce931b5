#ifndef HYSSOPDEAL_COORDINATION_FLEET_PLAN_HPP
#define HYSSOPDEAL_COORDINATION_FLEET_PLAN_HPP

/// @file
/// The cheapest set of instances that carries a service, also after the loss
/// of any one failure domain and after a wave of reclaims.
///
/// Index: [hazard] [instance_offer] [fleet_need] [fleet_plan]

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <hyssopdeal/protocol/contract.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [hazard] -------------------------------------------------------------------

/// Reclaims per instance and hour, as observed; older observations weigh less.
class reclaim_hazard
{
public:
    /// @param half_life Of an observation's weight.
    explicit reclaim_hazard(
        std::chrono::minutes half_life = std::chrono::minutes{60});

    /// Takes in instances that ran for a while.
    void on_running(transport::wall_time now, double instances,
                    std::chrono::milliseconds time);

    /// Takes in one reclaim.
    void on_reclaim(transport::wall_time now);

    /// @return Expected reclaims of one instance in an hour.
    [[nodiscard]] double per_hour(transport::wall_time now) const;

private:
    void age(transport::wall_time now);

    std::chrono::minutes half_life_;
    double reclaims_ = 0.5; ///< Starts as half a reclaim in ten hours.
    double hours_ = 10;
    transport::wall_time aged_at_{};
};

// [instance_offer] -----------------------------------------------------------

/// Instances of one class in one failure domain.
struct instance_offer
{
    std::string failure_domain;
    protocol::price_class price_class = protocol::price_class::on_demand;
    double price_per_hour = 1;
    double hazard_per_hour = 0; ///< Expected reclaims of one instance.
    std::uint32_t running = 0;  ///< Bought, being started or running.
    bool open = true;           ///< Not backed off after a refusal.

    /// Price of one instance with what its reclaims are expected to cost.
    ///
    /// @param reclaim_cost Of one reclaim, in instance hours.
    [[nodiscard]] double expected_price(double reclaim_cost) const
    {
        return price_per_hour * (1 + hazard_per_hour * reclaim_cost);
    }
};

// [fleet_need] ---------------------------------------------------------------

/// What the instances have to carry.
struct fleet_need
{
    std::uint32_t slots = 0;             ///< For all traffic.
    std::uint32_t interactive_slots = 0; ///< Also after a loss.
    std::uint32_t slots_per_instance = 8;
    double wave = 0.64;         ///< Part of all reclaimable instances that
                                ///< may go at once.
    double wave_spread = 1.5;   ///< Standard deviations more, as a wave does
                                ///< not hit all services alike.
    double reclaim_cost = 0.25; ///< Of one reclaim, in instance hours.
};

// [fleet_plan] ---------------------------------------------------------------

/// Whether running instances may be left out of a plan.
enum class plan_from
{
    running, ///< Keep all that run.
    nothing  ///< As if nothing ran.
};

/// Counts by offer.
struct fleet_plan
{
    std::vector<std::uint32_t> counts; ///< Same order as the offers.
    double price_per_hour = 0;         ///< With expected reclaims.
};

/// @return The price of counts, with expected reclaims.
[[nodiscard]] double price_of(const std::vector<instance_offer>& offers,
                              const std::vector<std::uint32_t>& counts,
                              const fleet_need& need);

/// Finds the cheapest counts that meet the need. When the offers cannot meet
/// it, as when all are backed off, gives what comes nearest.
[[nodiscard]] fleet_plan plan_fleet(const std::vector<instance_offer>& offers,
                                    const fleet_need& need, plan_from from);

/// @return Reclaimable instances of one service that a wave leaves.
[[nodiscard]] std::uint32_t left_by_wave(std::uint32_t reclaimable,
                                         const fleet_need& need);

/// @return Whether counts meet a need.
[[nodiscard]] bool meets(const std::vector<instance_offer>& offers,
                         const std::vector<std::uint32_t>& counts,
                         const fleet_need& need);

} // namespace hyssopdeal::coordination

#endif
