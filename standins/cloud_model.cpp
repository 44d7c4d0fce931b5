#include "cloud_model.hpp"

#include <algorithm>
#include <cmath>

namespace hyssopdeal::standins
{

namespace
{

double hours(transport::wall_time::duration time)
{
    return std::chrono::duration<double, std::ratio<3'600>>{time}.count();
}

} // namespace

cloud_model::cloud_model(cloud_settings settings, std::uint64_t seed)
    : settings_{std::move(settings)},
      random_{seed}
{}

const cloud_instance* cloud_model::start(transport::wall_time now,
                                         const state::purchase_record& order)
{
    const auto known = by_order_.find(order.order_id);
    if (known != by_order_.end())
    {
        return &known->second;
    }
    const auto price =
        std::ranges::find_if(settings_.prices, [&order](const auto& item) {
            return item.failure_domain == order.failure_domain &&
                   item.price_class == order.price;
        });
    const auto closed = closed_until_.find(order.failure_domain);
    const bool is_closed =
        closed != closed_until_.end() && now < closed->second;
    if (price == settings_.prices.end() || is_closed ||
        std::uniform_real_distribution<double>{}(random_) < settings_.refusal)
    {
        return nullptr;
    }
    cloud_instance made;
    made.name = "i" + std::to_string(++started_);
    made.order_id = order.order_id;
    made.failure_domain = order.failure_domain;
    made.price_class = order.price;
    made.service = order.service;
    made.version = order.version;
    made.price_per_hour = price->price_per_hour;
    made.started_at = now;
    made.ready_at = now + settings_.start_time;
    instances_.emplace(made.name, made);
    return &by_order_.emplace(made.order_id, made).first->second;
}

void cloud_model::bill(transport::wall_time now, const cloud_instance& instance)
{
    billed_ += hours(now - instance.started_at) * instance.price_per_hour;
}

void cloud_model::release(transport::wall_time now, std::string_view name)
{
    const auto found = instances_.find(name);
    if (found != instances_.end())
    {
        bill(now, found->second);
        instances_.erase(found);
    }
}

void cloud_model::reclaim(transport::wall_time now, std::string_view name,
                          std::chrono::milliseconds notice)
{
    const auto found = instances_.find(name);
    if (found == instances_.end() ||
        found->second.gone_at != transport::wall_time{})
    {
        return;
    }
    found->second.gone_at = now + notice;
    notices_.push_back(
        {notices_.size() + 1, found->first, found->second.gone_at});
}

void cloud_model::reclaim_part(transport::wall_time now, double part,
                               std::chrono::milliseconds notice)
{
    std::vector<std::string> names;
    for (const auto& [name, instance] : instances_)
    {
        if (instance.price_class == protocol::price_class::reclaimable)
        {
            names.push_back(name);
        }
    }
    std::ranges::shuffle(names, random_);
    const auto count = static_cast<std::size_t>(
        std::ceil(part * static_cast<double>(names.size()) - 1e-9));
    for (std::size_t i = 0; i < count; ++i)
    {
        reclaim(now, names[i], notice);
    }
}

void cloud_model::reclaim_domain(transport::wall_time now,
                                 std::string_view domain,
                                 std::chrono::milliseconds notice,
                                 std::chrono::milliseconds closed)
{
    closed_until_[std::string{domain}] = now + closed;
    std::vector<std::string> names;
    for (const auto& [name, instance] : instances_)
    {
        if (instance.failure_domain == domain)
        {
            names.push_back(name);
        }
    }
    for (const auto& name : names)
    {
        reclaim(now, name, notice);
    }
}

void cloud_model::advance(transport::wall_time now)
{
    std::erase_if(instances_, [&](const auto& item) {
        const auto& instance = item.second;
        const bool gone = instance.gone_at != transport::wall_time{} &&
                          now >= instance.gone_at;
        if (gone)
        {
            bill(instance.gone_at, instance);
        }
        return gone;
    });
}

std::vector<cloud_notice> cloud_model::notices_after(std::uint64_t number) const
{
    std::vector<cloud_notice> result;
    std::ranges::copy_if(
        notices_, std::back_inserter(result),
        [number](const auto& notice) { return notice.number > number; });
    return result;
}

double cloud_model::billed(transport::wall_time now) const
{
    double sum = billed_;
    for (const auto& [name, instance] : instances_)
    {
        sum += hours(now - instance.started_at) * instance.price_per_hour;
    }
    return sum;
}

} // namespace hyssopdeal::standins
