/// @file
/// Version selection during progressive rollouts.

#include <hyssopdeal/coordination/gateway/version_split.hpp>

#include <utility>

namespace hyssopdeal::coordination
{

using transport::monotonic_time;

bool version_choice::admits(const std::string& version) const
{
    if (target.empty())
    {
        return true;
    }
    return to_target ? version == target
                     : version != target && !retired.contains(version);
}

version_split::version_split(version_split_settings settings)
    : settings_(settings)
{}

void version_split::set_orders(
    monotonic_time as_of, std::map<std::string, protocol::version_order> orders)
{
    orders_as_of_ = as_of;
    orders_ = std::move(orders);
    std::erase_if(counts_, [this](const auto& item) {
        return !moves(item.first) ||
               orders_.at(item.first).started_ms != item.second.started_ms;
    });
    for (const auto& [service, order] : orders_)
    {
        if (order.running)
        {
            counts_[service].started_ms = order.started_ms;
        }
    }
}

version_choice version_split::choose(monotonic_time now,
                                     const std::string& service,
                                     double random_draw, bool retry) const
{
    const auto found = orders_.find(service);
    if (found == orders_.end())
    {
        return {};
    }
    const auto& order = found->second;
    const bool order_valid =
        !order.running || now - orders_as_of_ <= settings_.order_validity;
    const bool partial_rollout = order.running && order.target_share < 1;
    const bool below_limit =
        !order.running || counts_.at(service).target_sent < order.target_most;
    const bool to_target = order_valid && below_limit &&
                           random_draw < order.target_share &&
                           !(retry && partial_rollout);
    return {order.target, to_target, order.retired};
}

bool version_split::moves(const std::string& service) const
{
    const auto found = orders_.find(service);
    return found != orders_.end() && found->second.running;
}

void version_split::on_sent(const std::string& service,
                            const std::string& version)
{
    if (const auto found = counts_.find(service); found != counts_.end())
    {
        ++found->second.sent;
        found->second.target_sent +=
            version == orders_.at(service).target ? 1 : 0;
    }
}

void version_split::on_ended(const std::string& service,
                             const std::string& version, bool bad)
{
    const auto found = counts_.find(service);
    if (found == counts_.end())
    {
        return;
    }
    auto& service_counts = found->second;
    const bool is_target = version == orders_.at(service).target;
    ++(is_target ? service_counts.target_ended : service_counts.others_ended);
    (is_target ? service_counts.target_bad : service_counts.others_bad) +=
        bad ? 1 : 0;
}

} // namespace hyssopdeal::coordination
