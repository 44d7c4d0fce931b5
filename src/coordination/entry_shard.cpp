#include "entry_shard.hpp"

#include <utility>

#include "stream_session.hpp"

namespace hyssopdeal::coordination
{

namespace
{

constexpr std::chrono::milliseconds count_interval{50};

router_settings router_settings_of(const entry_settings& from)
{
    router_settings settings;
    settings.entry = from.name;
    settings.failure_domain = from.failure_domain;
    settings.balancer = from.balancer;
    return settings;
}

floor_settings floors_of(const entry_settings& from)
{
    floor_settings floors;
    if (from.control_replicas.empty())
    {
        // Nobody grants and nobody else admits: the whole limit is here.
        floors.floor_share = 1;
        floors.nodes = 1;
    }
    floors.nodes *= from.shards;
    return floors;
}

} // namespace

entry_shard::entry_shard(entry_shared& of)
    : shared(of),
      random(std::random_device{}()),
      limits(floors_of(of.settings))
{}

entry_shard::~entry_shard() = default;

void entry_shard::refresh()
{
    shared.catalog.read([this](const entry_catalog& catalog) {
        const auto& view = catalog.view();
        if (applied_index != 0 && view.applied_index <= applied_index)
        {
            return;
        }
        const bool restarted =
            applied_index == 0 && !shared.settings.control_replicas.empty();
        applied_index = view.applied_index;
        limits.set_contracts(now(), view.contracts,
                             restarted ? bucket_start::empty
                                       : bucket_start::full);
        for (const auto& service : view.services)
        {
            auto& lane = lanes[service.name];
            if (!lane)
            {
                lane = std::make_unique<service_lane>(
                    loop, shared.clock, random,
                    router_settings_of(shared.settings));
            }
            lane->set_service(service, view.leaving_instances);
        }
    });
}

void entry_shard::count_work()
{
    published_streams = static_cast<std::uint32_t>(streams.open_streams());
    published_calls = open_calls;
    count_timer = loop.after(count_interval, [this] { count_work(); });
}

service_lane* entry_shard::find_lane(std::string_view service)
{
    const auto found = lanes.find(service);
    return found == lanes.end() ? nullptr : found->second.get();
}

attempt_id entry_shard::next_id()
{
    return {random(), random()};
}

} // namespace hyssopdeal::coordination
