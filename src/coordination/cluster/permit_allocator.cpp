/// @file
/// Splits servers' rate limits among the entries.

#include <hyssopdeal/coordination/cluster/permit_allocator.hpp>

#include <algorithm>
#include <cmath>

#include <hyssopdeal/transport/event_log.hpp>

namespace hyssopdeal::coordination
{

using std::chrono::milliseconds;
using transport::log_event;
using transport::monotonic_time;

namespace
{

double seconds(monotonic_time::duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

permit_allocator::permit_allocator(permit_pacing pacing)
    : pacing_(pacing)
{}

protocol::rate_limit_orders
permit_allocator::on_report(monotonic_time now, const std::string& entry,
                            const protocol::rate_limit_report& report,
                            milliseconds report_interval)
{
    // Longer than an entry needs to use a permit, if it wants one at all.
    constexpr milliseconds min_lifetime{1'000};
    constexpr milliseconds report_delay{250};
    merge(now, entry, report.stated);
    sweep(now, report_interval);
    const auto valid = pacing_.lifetime.value_or(
        std::max(min_lifetime, report_interval + report_delay));
    protocol::rate_limit_orders orders;
    orders.permits_valid_ms = valid.count();
    for (const auto& [id, server] : servers_)
    {
        orders.stated[id] = {
            server.born, server.per_s,
            std::chrono::duration_cast<milliseconds>(now - server.said_at)
                .count()};
    }
    for (const auto& [id, wanted] : report.wanted)
    {
        const auto known = servers_.find(id);
        if (known == servers_.end() || known->second.per_s == 0 || wanted == 0)
        {
            continue;
        }
        refill(now, known->second);
        if (const auto count = grant(now, known->second, entry, wanted, valid);
            count > 0)
        {
            orders.permits[id] = count;
        }
    }
    return orders;
}

void permit_allocator::merge(monotonic_time now, const std::string& entry,
                             const protocol::stated_rate_limits& stated)
{
    for (const auto& [id, said] : stated)
    {
        const auto said_at =
            now - milliseconds{std::max<std::int64_t>(0, said.age_ms)};
        auto& server = servers_[id];
        const bool newer = said.born > server.born ||
                           (said.born == server.born &&
                            (said_at > server.said_at ||
                             server.refilled_at == monotonic_time{}));
        if (!newer)
        {
            continue;
        }
        if (said.born != server.born ||
            server.refilled_at == monotonic_time{} || server.per_s == 0)
        {
            server.level = 0;
            server.refilled_at = now;
        }
        if (said.per_s != server.per_s)
        {
            log_event("server.rate_limit", {{"server", id},
                                            {"per_s", said.per_s},
                                            {"before", server.per_s},
                                            {"told_by", entry}});
        }
        server.born = said.born;
        server.per_s = std::max(0.0, said.per_s);
        server.said_at = said_at;
    }
}

void permit_allocator::set_limit(monotonic_time now, const std::string& id,
                                 std::uint64_t born, double per_s)
{
    auto& server = servers_[id];
    if (server.born != born || server.refilled_at == monotonic_time{})
    {
        server = {};
        server.born = born;
        server.refilled_at = now;
    }
    refill(now, server);
    server.per_s = per_s;
    server.said_at = now;
}

void permit_allocator::refill(monotonic_time now, bucket& server) const
{
    const double capacity = 1 + server.per_s * seconds(pacing_.bucket_time);
    server.level = std::min(
        capacity,
        server.level + server.per_s * seconds(now - server.refilled_at));
    server.refilled_at = now;
}

std::uint32_t permit_allocator::grant(monotonic_time now, bucket& server,
                                      const std::string& entry,
                                      std::uint32_t wanted, milliseconds valid)
{
    // Sums of fractions of a permit round down.
    constexpr double rounding = 1e-6;
    auto& taker = server.takers[entry];
    server.waiting.erase({taker.turn, entry});
    taker.wanted_at = now;
    // An entry saves no turns while it wants nothing.
    taker.turn = std::max(taker.turn, server.latest_turn);
    const bool next =
        server.waiting.empty() || taker.turn <= server.waiting.begin()->first;
    const double fair = std::ceil(server.per_s * seconds(valid) /
                                  static_cast<double>(server.takers.size()));
    const double count =
        next ? std::floor(std::min({server.level + rounding, fair,
                                    static_cast<double>(wanted)}))
             : 0;
    if (count > 0)
    {
        server.latest_turn = taker.turn;
        server.level = std::max(0.0, server.level - count);
        taker.turn += count;
    }
    if (count < wanted)
    {
        server.waiting.emplace(taker.turn, entry);
    }
    return static_cast<std::uint32_t>(count);
}

/// Drops ended limits and entries that no longer want permits.
void permit_allocator::sweep(monotonic_time now, milliseconds report_interval)
{
    constexpr milliseconds interval{250};
    if (now < next_sweep_)
    {
        return;
    }
    next_sweep_ = now + interval;
    std::erase_if(servers_, [&](const auto& item) {
        return item.second.per_s == 0 &&
               now - item.second.said_at > protocol::ended_limit_lifetime;
    });
    const auto wanted_since = now - 2 * report_interval - interval;
    for (auto& [id, server] : servers_)
    {
        std::erase_if(
            server.takers, [&, waiting = &server.waiting](const auto& item) {
                const bool gone = item.second.wanted_at < wanted_since;
                if (gone)
                {
                    waiting->erase({item.second.turn, item.first});
                }
                return gone;
            });
    }
}

void permit_allocator::set_servers(
    const std::vector<protocol::listed_server>& servers)
{
    std::erase_if(servers_, [&](const auto& item) {
        return std::none_of(servers.begin(), servers.end(),
                            [&](const auto& listed) {
                                return listed.id == item.first &&
                                       listed.born == item.second.born;
                            });
    });
}

std::size_t permit_allocator::limited() const noexcept
{
    return static_cast<std::size_t>(
        std::count_if(servers_.begin(), servers_.end(),
                      [](const auto& item) { return item.second.per_s > 0; }));
}

} // namespace hyssopdeal::coordination
