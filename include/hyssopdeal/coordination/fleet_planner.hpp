#ifndef HYSSOPDEAL_COORDINATION_FLEET_PLANNER_HPP
#define HYSSOPDEAL_COORDINATION_FLEET_PLANNER_HPP

/// @file
/// Buys and gives back instances so that each service keeps its latency target
/// at the least cost. Does no I/O: the leader calls advance() on every tick.
///
/// Index: [settings] [fleet_view] [fleet_actions] [fleet_planner]
///
/// An order to the cloud is recorded before it is sent and carries its order
/// id, so that the next leader sends the same one again and nothing is bought
/// twice. An instance is given back only after it has drained.

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/coordination/capacity_model.hpp>
#include <hyssopdeal/coordination/evacuation/evacuated_domains.hpp>
#include <hyssopdeal/coordination/fleet_plan.hpp>
#include <hyssopdeal/protocol/contract.hpp>
#include <hyssopdeal/state/commands.hpp>
#include <hyssopdeal/state/records.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

/// How the fleet is run.
struct fleet_settings
{
    double wave = 0.64;           ///< Reclaimable ones that may go at once.
    double wave_spread = 1.5;     ///< Standard deviations more for one service.
    double reclaim_cost = 0.25;   ///< Of one reclaim, in instance hours.
    double scale_in_saving = 0.1; ///< Least part of the price to be saved.
    std::chrono::milliseconds scale_in_delay{600'000}; ///< Saving seen so long.
    std::chrono::milliseconds compare_interval{60'000};   ///< For a saving.
    std::chrono::milliseconds drain_limit{600'000};       ///< Then given back.
    std::chrono::milliseconds first_backoff{5'000};       ///< After a refusal.
    std::chrono::milliseconds longest_backoff{300'000};   ///< Doubled up to it.
    std::chrono::milliseconds call_time_limit{5'000};     ///< Then sent again.
    std::chrono::milliseconds proposal_time_limit{2'000}; ///< Then again.
};

// [fleet_view] ---------------------------------------------------------------

/// What one service and version has to carry.
struct fleet_demand
{
    std::string service;
    std::string version;
    service_load load;
    std::uint32_t slots_per_instance = 8;
    std::uint32_t declared_slots = 0; ///< Of servers that operators run.
};

/// Price of instances of one class in one failure domain.
struct instance_price
{
    std::string failure_domain;
    protocol::price_class price_class = protocol::price_class::on_demand;
    double price_per_hour = 1;
};

/// What the planner looks at on a tick.
struct fleet_view
{
    transport::wall_time now{};
    state::term_number term = 0; ///< Led by this replica.
    std::vector<fleet_demand> demands;
    std::vector<instance_price> prices;
    std::vector<state::purchase_record> purchases; ///< As committed.
    std::vector<state::leaving_record> leaving;    ///< As committed.
    std::vector<std::string> drained; ///< Leaving ones without work.
    /// Domains in which nothing is ordered and whose instances do not count.
    domain_names evacuated;
};

// [fleet_actions] ------------------------------------------------------------

/// What is to be done now.
struct fleet_actions
{
    std::vector<state::command_body> proposals; ///< Propose each.
    std::vector<state::purchase_record> starts; ///< Send to the cloud.
    std::vector<std::string> releases;          ///< Instances to give back.
};

/// How the cloud answered an order.
enum class start_answer : std::uint8_t
{
    started,
    refused,
    lost ///< No answer; sent again under the same order id.
};

/// What the cloud started.
struct started_instance
{
    std::string name;
    std::string address; ///< `IP:port`.
};

// [fleet_planner] ------------------------------------------------------------

/// Runs on the control leader. Used by one thread.
class fleet_planner
{
public:
    explicit fleet_planner(fleet_settings settings = {});
    fleet_planner(fleet_planner&&) noexcept;
    ~fleet_planner();

    /// Decides what to buy and what to give back.
    [[nodiscard]] fleet_actions advance(const fleet_view& view);

    /// Takes in the cloud's answer to an order.
    ///
    /// @param instance Meaningful when started.
    /// @return What to propose, if anything.
    [[nodiscard]] std::vector<state::command_body>
    on_start_answer(transport::wall_time now,
                    const state::purchase_record& purchase, start_answer answer,
                    const started_instance& instance);

    /// Takes in that the cloud has taken an instance back, or that it is not
    /// there any more.
    ///
    /// @return What to propose, if anything.
    [[nodiscard]] std::vector<state::command_body>
    on_released(const state::purchase_record& purchase);

    /// Takes in a reclaim notice; one that was seen before changes nothing.
    ///
    /// @return What to propose, if anything.
    [[nodiscard]] std::vector<state::command_body>
    on_notice(const fleet_view& view, std::string_view instance,
              transport::wall_time gone_at);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::coordination

#endif
