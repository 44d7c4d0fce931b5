#ifndef HYSSOPDEAL_STANDINS_CLOUD_MODEL_HPP
#define HYSSOPDEAL_STANDINS_CLOUD_MODEL_HPP

/// @file
/// What a cloud does with orders for instances: starts or refuses them, once
/// for each order id, reclaims some with notice, and bills them.
///
/// Index: [settings] [instances] [cloud_model]

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/coordination/fleet_planner.hpp>
#include <hyssopdeal/protocol/contract.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::standins
{

// [settings] -----------------------------------------------------------------

/// A cloud's offers and habits.
struct cloud_settings
{
    std::vector<coordination::instance_price> prices;
    std::chrono::milliseconds start_time{90'000}; ///< Until it answers.
    double refusal = 0; ///< Probability that a start is refused.
    std::string address = "127.0.0.1:1"; ///< Of every instance.
};

// [instances] ----------------------------------------------------------------

/// An instance that the cloud has started.
struct cloud_instance
{
    std::string name;
    std::string order_id;
    std::string failure_domain;
    protocol::price_class price_class = protocol::price_class::on_demand;
    std::string service;
    std::string version;
    double price_per_hour = 1;
    transport::wall_time started_at{};
    transport::wall_time ready_at{};
    transport::wall_time gone_at{}; ///< Epoch: stays.
};

/// A reclaim notice.
struct cloud_notice
{
    std::uint64_t number = 0; ///< From 1.
    std::string instance;
    transport::wall_time gone_at{};
};

// [cloud_model] --------------------------------------------------------------

/// The cloud's books. Used by one thread.
class cloud_model
{
public:
    cloud_model(cloud_settings settings, std::uint64_t seed);

    /// Starts an instance.
    ///
    /// @return The instance, the same for the same order id; null: refused.
    const cloud_instance* start(transport::wall_time now,
                                const state::purchase_record& order);

    /// Stops an instance; does nothing when it is gone.
    void release(transport::wall_time now, std::string_view name);

    /// Reclaims reclaimable instances.
    ///
    /// @param part Of all of them, rounded up.
    void reclaim_part(transport::wall_time now, double part,
                      std::chrono::milliseconds notice);

    /// Reclaims all instances of a failure domain, whatever their class, and
    /// refuses starts there for a while.
    void reclaim_domain(transport::wall_time now, std::string_view domain,
                        std::chrono::milliseconds notice,
                        std::chrono::milliseconds closed);

    /// Reclaims one instance.
    void reclaim(transport::wall_time now, std::string_view name,
                 std::chrono::milliseconds notice);

    /// Takes away what is due; call it as time goes by.
    void advance(transport::wall_time now);

    /// @return Notices with a greater number.
    [[nodiscard]] std::vector<cloud_notice>
    notices_after(std::uint64_t number) const;

    /// @return Instances that exist.
    [[nodiscard]] const std::map<std::string, cloud_instance, std::less<>>&
    instances() const
    {
        return instances_;
    }

    /// @return Whether an order has started an instance.
    [[nodiscard]] bool knows_order(std::string_view order_id) const
    {
        return by_order_.contains(order_id);
    }

    /// @return Instances ever started.
    [[nodiscard]] std::uint64_t started() const
    {
        return started_;
    }

    /// @return Price of all that ran so far.
    [[nodiscard]] double billed(transport::wall_time now) const;

    /// @return The cloud's offers and habits, which may be changed.
    [[nodiscard]] cloud_settings& settings()
    {
        return settings_;
    }

private:
    void bill(transport::wall_time now, const cloud_instance& instance);

    cloud_settings settings_;
    std::mt19937_64 random_;
    std::map<std::string, cloud_instance, std::less<>> instances_;
    std::map<std::string, cloud_instance, std::less<>> by_order_;
    std::map<std::string, transport::wall_time, std::less<>> closed_until_;
    std::vector<cloud_notice> notices_;
    std::uint64_t started_ = 0;
    double billed_ = 0;
};

} // namespace hyssopdeal::standins

#endif
