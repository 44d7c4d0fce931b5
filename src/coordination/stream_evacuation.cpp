#include <hyssopdeal/coordination/stream_evacuation.hpp>

#include <algorithm>

namespace hyssopdeal::coordination
{

std::vector<evacuation_step>
plan_evacuation(transport::monotonic_time now,
                transport::monotonic_time gone_at,
                const std::vector<evacuating_stream>& streams,
                const evacuation_settings& settings)
{
    std::vector<std::size_t> order(streams.size());
    for (std::size_t i = 0; i < order.size(); ++i)
    {
        order[i] = i;
    }
    std::stable_sort(order.begin(), order.end(),
                     [&](std::size_t left, std::size_t right) {
                         return streams[left].recompute_tokens >
                                streams[right].recompute_tokens;
                     });
    const auto last_moment = gone_at - settings.margin;
    std::vector<transport::monotonic_time> lanes(settings.kv_lanes, now);
    std::vector<evacuation_step> steps;
    steps.reserve(order.size());
    for (const auto position : order)
    {
        const auto& stream = streams[position];
        if (now + stream.remaining <= last_moment)
        {
            steps.push_back({position, evacuation_way::finish, now});
            continue;
        }
        auto lane = std::min_element(lanes.begin(), lanes.end());
        if (stream.kv_move_time.count() > 0 && lane != lanes.end() &&
            *lane + stream.kv_move_time <= last_moment)
        {
            steps.push_back({position, evacuation_way::move_kv, *lane});
            *lane += stream.kv_move_time;
            continue;
        }
        steps.push_back({position, evacuation_way::prefill, now});
    }
    std::stable_sort(steps.begin(), steps.end(),
                     [&](const auto& left, const auto& right) {
                         if (left.start != right.start)
                         {
                             return left.start < right.start;
                         }
                         // Short prefills first: they hold up the others least.
                         return streams[left.stream].recompute_tokens <
                                streams[right.stream].recompute_tokens;
                     });
    return steps;
}

} // namespace hyssopdeal::coordination
