/// @file
/// Permits for cold servers, as the leader grants them.

#include <hyssopdeal/coordination/cold_start/cold_servers.hpp>

#include <algorithm>

namespace hyssopdeal::coordination
{

using std::chrono::milliseconds;
using transport::monotonic_time;

namespace
{

constexpr milliseconds bucket_time{100};
constexpr std::int64_t max_ms = 600'000; // Bounds sums with a clock.

double seconds(monotonic_time::duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

double cold_permit_pace(double tolerated_per_s, double silent_share)
{
    // The server crashes beyond this count in a second.
    const double bound = 1.5 * tolerated_per_s + 5;
    // Twice the half of the rate that entries without a leader draw together.
    const double drawn = tolerated_per_s * silent_share;
    const double time = seconds(std::chrono::seconds{1} + cold_permit_lifetime +
                                cold_arrival_delay + bucket_time);
    return std::min(tolerated_per_s, (bound - drawn - 1) / time);
}

// [listed_cold_times] --------------------------------------------------------

void listed_cold_times::on_listing(
    monotonic_time read_at, const std::vector<protocol::listed_server>& servers)
{
    // The remaining time is as of some hundred milliseconds before the reading.
    constexpr milliseconds list_jitter{1'000};
    std::map<std::string, cold_time> next;
    for (const auto& listed : servers)
    {
        if (listed.cold_remaining_ms <= 0)
        {
            continue;
        }
        const auto until =
            read_at + milliseconds{std::min(listed.cold_remaining_ms, max_ms)};
        const auto found = servers_.find(listed.id);
        auto& server = next[listed.id];
        if (found == servers_.end() || found->second.born != listed.born)
        {
            server = {listed.born, until, std::nullopt};
            continue;
        }
        server = found->second;
        if (until > server.until + list_jitter)
        {
            server.until = until;
            server.extended_at = read_at;
        }
    }
    servers_ = std::move(next);
}

protocol::cold_statements listed_cold_times::extended(monotonic_time now) const
{
    protocol::cold_statements statements;
    for (const auto& [id, server] : servers_)
    {
        if (server.extended_at && server.until > now)
        {
            const auto ms = [](auto time) {
                return std::chrono::ceil<milliseconds>(time).count();
            };
            statements[id] = {server.born, ms(server.until - now),
                              ms(now - *server.extended_at)};
        }
    }
    return statements;
}

// [cold_permits] -------------------------------------------------------------

cold_permits::cold_permits()
    : allocator_({cold_permit_lifetime, bucket_time})
{}

protocol::cold_orders
cold_permits::on_report(monotonic_time now, const std::string& entry,
                        const protocol::cold_report& report,
                        const cold_permit_context& context)
{
    entries_[entry] = now;
    sweep(now, context);
    merge(now, report.stated);
    merge(now, context.extended);
    protocol::cold_orders orders;
    for (const auto& [id, said] : statements_)
    {
        const auto ms = [](auto time) {
            return std::chrono::ceil<milliseconds>(time).count();
        };
        if (said.until > now)
        {
            orders.stated[id] = {said.born, ms(said.until - now),
                                 ms(now - said.said_at)};
        }
    }
    const auto granted = allocator_.on_report(
        now, entry, {{}, limit_wanted(now, report.wanted, context)},
        context.report_interval);
    orders.permits = granted.permits;
    orders.permits_valid_ms = granted.permits_valid_ms;
    for (const auto& [id, count] : granted.permits)
    {
        granted_ += count;
    }
    return orders;
}

std::map<std::string, std::uint32_t>
cold_permits::limit_wanted(monotonic_time now,
                           const std::map<std::string, std::uint32_t>& wanted,
                           const cold_permit_context& context)
{
    std::map<std::string, std::uint32_t> limited;
    if (wanted.empty())
    {
        return limited;
    }
    for (const auto& listed : context.servers)
    {
        const auto found = wanted.find(listed.id);
        if (found == wanted.end())
        {
            continue;
        }
        const auto service = std::find_if(
            context.services.begin(), context.services.end(),
            [&](const auto& item) { return item.name == listed.service; });
        if (service != context.services.end() && service->cold_per_s > 0)
        {
            allocator_.set_limit(
                now, listed.id, listed.born,
                cold_permit_pace(service->cold_per_s, silent_share_));
            limited.insert(*found);
        }
    }
    return limited;
}

void cold_permits::merge(monotonic_time now,
                         const protocol::cold_statements& stated)
{
    const auto bounded = [](std::int64_t ms) {
        return milliseconds{std::clamp<std::int64_t>(ms, 0, max_ms)};
    };
    for (const auto& [id, said] : stated)
    {
        const auto said_at = now - bounded(said.age_ms);
        auto& known = statements_[id];
        if (said.born > known.born ||
            (said.born == known.born && said_at > known.said_at))
        {
            known = {said.born, said_at, now + bounded(said.remaining_ms)};
        }
    }
}

void cold_permits::sweep(monotonic_time now, const cold_permit_context& context)
{
    constexpr milliseconds interval{250};
    // Entries report at least once a second, and begin to draw permits 1,500 ms
    // after the latest report that was answered.
    constexpr milliseconds silence{1'250};
    constexpr std::chrono::minutes entry_lifetime{10};
    if (now < next_sweep_)
    {
        return;
    }
    next_sweep_ = now + interval;
    std::erase_if(entries_, [&](const auto& item) {
        return now - item.second > entry_lifetime;
    });
    std::erase_if(statements_,
                  [&](const auto& item) { return item.second.until <= now; });
    allocator_.set_servers(context.servers);
    const auto reporting =
        std::count_if(entries_.begin(), entries_.end(), [&](const auto& item) {
            return now - item.second <= silence;
        });
    // A new leader does not know when the others have reported.
    const auto unknown = std::count_if(
        context.entries.begin(), context.entries.end(),
        [&](const auto& entry) { return !entries_.contains(entry); });
    const auto all =
        static_cast<double>(entries_.size()) + static_cast<double>(unknown);
    silent_share_ = 1 - static_cast<double>(reporting) / all;
}

} // namespace hyssopdeal::coordination
