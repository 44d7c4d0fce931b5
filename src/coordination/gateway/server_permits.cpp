/// @file
/// Permits for requests to servers that have named a rate limit.

#include <hyssopdeal/coordination/gateway/server_permits.hpp>

#include <algorithm>
#include <cmath>

#include <hyssopdeal/transport/event_log.hpp>
#include <hyssopdeal/transport/http_message.hpp>

namespace hyssopdeal::coordination
{

using std::chrono::milliseconds;
using transport::log_event;
using transport::monotonic_time;

namespace
{

// Some requests still reach a server that names 0, as only their responses can
// end the limit.
constexpr double min_limit_per_s = 0.2;
constexpr double max_limit_per_s = 1'000'000;
// Longer than the longest interval between reports.
constexpr milliseconds leader_timeout{1'500};
constexpr milliseconds draw_slot_length{250};
// Draws of many gateways vary around their mean.
constexpr double drawn_fraction = 0.5;
constexpr milliseconds rate_time_constant{1'000};

double seconds(transport::monotonic_time::duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

server_permits::server_permits(std::uint64_t seed)
    : random_(seed)
{}

void server_permits::set_servers(
    const std::vector<protocol::listed_server>& servers)
{
    services_.clear();
    for (const auto& server : servers)
    {
        services_[server.id] = {server.born, server.service};
    }
    std::erase_if(limited_, [this](const auto& item) {
        const auto listed = services_.find(item.first);
        return listed == services_.end() ||
               listed->second.born != item.second.born;
    });
    unreadable_.keep(services_);
}

// [requests] -----------------------------------------------------------------

void server_permits::on_request(monotonic_time now, const std::string& service)
{
    const auto rate = rate_of(now, service);
    rates_[service] = {rate + 1 / seconds(rate_time_constant), now};
}

double server_permits::rate_of(monotonic_time now,
                               const std::string& service) const
{
    const auto known = rates_.find(service);
    return known == rates_.end()
               ? 0
               : known->second.per_s *
                     std::exp(-seconds(now - known->second.at) /
                              seconds(rate_time_constant));
}

server_permits::limited_server*
server_permits::find_limited(const protocol::listed_server& server)
{
    const auto known = limited_.find(server.id);
    return known == limited_.end() || known->second.per_s == 0 ||
                   known->second.born != server.born
               ? nullptr
               : &known->second;
}

bool server_permits::may_send(monotonic_time now,
                              const protocol::listed_server& server)
{
    auto* const limited = find_limited(server);
    return limited == nullptr || permits(now, *limited) > 0;
}

std::uint32_t server_permits::permits(monotonic_time now,
                                      limited_server& server)
{
    std::erase_if(server.grants, [&](const auto& grant) {
        return grant.count == 0 || grant.expires_at <= now;
    });
    std::uint32_t count = 0;
    for (const auto& grant : server.grants)
    {
        count += grant.count;
    }
    if (now - orders_at_ > leader_timeout)
    {
        draw(now, server);
        count += server.drawn;
    }
    return count;
}

/// Permits of a slot that are not used in it are lost.
void server_permits::draw(monotonic_time now, limited_server& server)
{
    const auto slot = now.time_since_epoch() / draw_slot_length;
    if (gateways_ == 0 || server.draw_slot == slot)
    {
        return;
    }
    std::uniform_real_distribution<double> rounding{0, 1};
    const double expected =
        drawn_fraction * server.per_s * seconds(draw_slot_length) / gateways_;
    server.draw_slot = slot;
    server.drawn = static_cast<std::uint32_t>(expected + rounding(random_));
}

bool server_permits::take(monotonic_time now,
                          const protocol::listed_server& server)
{
    auto* const limited = find_limited(server);
    if (limited == nullptr)
    {
        return false;
    }
    if (permits(now, *limited) > 0)
    {
        auto& count = limited->grants.empty() ? limited->drawn
                                              : limited->grants.front().count;
        --count;
    }
    return true;
}

milliseconds server_permits::reserve_turn(monotonic_time now,
                                          const std::string& service)
{
    constexpr milliseconds max_wait{10'000};
    double per_s = 0;
    for (const auto& [id, limited] : limited_)
    {
        const auto listed = services_.find(id);
        const bool same_service =
            listed != services_.end() && listed->second.service == service;
        per_s += same_service ? limited.per_s : 0;
    }
    if (per_s == 0)
    {
        return milliseconds{0};
    }
    const auto between_turns = std::chrono::ceil<milliseconds>(
        std::chrono::duration<double>(std::max(1U, gateways_) / per_s));
    auto& next = next_turns_[service];
    next = std::min(std::max(next, now) + between_turns, now + max_wait);
    return std::chrono::ceil<milliseconds>(next - now);
}

// [limits] -------------------------------------------------------------------

void server_permits::on_response(monotonic_time now,
                                 const protocol::listed_server& server,
                                 std::string_view text,
                                 std::optional<monotonic_time> sent_at)
{
    const auto listed = services_.find(server.id);
    if (listed == services_.end() || listed->second.born != server.born)
    {
        return;
    }
    if (text.empty())
    {
        const auto* const limited = find_limited(server);
        if (limited != nullptr && sent_at && *sent_at > limited->said_at)
        {
            record(now, server.id, server.born, 0, *sent_at, "response");
        }
        return;
    }
    const auto limit = transport::read_decimal(text);
    if (limit)
    {
        return record(now, server.id, server.born,
                      std::clamp(*limit, min_limit_per_s, max_limit_per_s), now,
                      "response");
    }
    unreadable_.add(now, server.id, text);
}

void server_permits::record(monotonic_time now, const std::string& id,
                            std::uint64_t born, double per_s,
                            monotonic_time said_at, std::string_view source)
{
    constexpr milliseconds change_log_interval{1'000};
    auto& limited = limited_[id];
    const double previous = limited.born == born ? limited.per_s : 0;
    if (limited.born != born)
    {
        limited = {};
        limited.born = born;
    }
    if (per_s < previous)
    {
        limited.grants.clear();
    }
    limited.per_s = per_s;
    limited.said_at = said_at;
    limited.known_to_leader = false;
    if (previous != per_s &&
        now - limited.change_logged_at >= change_log_interval)
    {
        limited.change_logged_at = now;
        log_event("server.rate_limit", {{"server", id},
                                        {"per_s", per_s},
                                        {"before", previous},
                                        {"told_by", source}});
    }
}

void server_permits::set_limit(const std::string& id, std::uint64_t born,
                               double per_s)
{
    if (per_s == 0)
    {
        limited_.erase(id);
        return;
    }
    auto& limited = limited_[id];
    if (limited.born != born || per_s < limited.per_s)
    {
        limited = {};
    }
    limited.born = born;
    limited.per_s = per_s;
}

void server_permits::set_orders(monotonic_time sent_at, monotonic_time now,
                                const protocol::rate_limit_orders& orders,
                                std::uint32_t gateways)
{
    orders_at_ = std::max(orders_at_, sent_at);
    gateways_ = gateways;
    for (const auto& [id, said] : orders.stated)
    {
        const auto listed = services_.find(id);
        if (listed == services_.end() || listed->second.born != said.born)
        {
            continue;
        }
        // Late for a limit and early for its end, by at most the time that the
        // answer was under way: the limit holds rather too long.
        const auto said_at =
            (said.per_s > 0 ? now : sent_at) -
            milliseconds{std::max<std::int64_t>(0, said.age_ms)};
        const auto known = limited_.find(id);
        if (known == limited_.end() || known->second.born != said.born ||
            known->second.said_at < said_at)
        {
            record(now, id, said.born,
                   std::clamp(said.per_s, 0.0, max_limit_per_s), said_at,
                   "leader");
        }
    }
    for (auto& [id, limited] : limited_)
    {
        const auto said = orders.stated.find(id);
        limited.known_to_leader = said != orders.stated.end() &&
                                  said->second.born == limited.born &&
                                  said->second.per_s == limited.per_s;
    }
    for (const auto& [id, count] : orders.permits)
    {
        const auto limited = limited_.find(id);
        if (limited != limited_.end())
        {
            limited->second.grants.push_back(
                {count, sent_at + milliseconds{orders.permits_valid_ms}});
        }
    }
}

protocol::rate_limit_report server_permits::report(monotonic_time now)
{
    std::erase_if(limited_, [&](const auto& item) {
        return item.second.per_s == 0 &&
               now - item.second.said_at > protocol::ended_limit_lifetime;
    });
    protocol::rate_limit_report report;
    std::map<std::string, std::vector<std::string>> by_service;
    for (const auto& [id, limited] : limited_)
    {
        const auto listed = services_.find(id);
        if (!limited.known_to_leader)
        {
            report.stated[id] = {
                limited.born, limited.per_s,
                std::chrono::duration_cast<milliseconds>(now - limited.said_at)
                    .count()};
        }
        if (limited.per_s > 0 && listed != services_.end())
        {
            by_service[listed->second.service].push_back(id);
        }
    }
    for (auto& [service, ids] : by_service)
    {
        want_permits(now, rate_of(now, service), ids, report.wanted);
    }
    return report;
}

/// Wants as many permits as there are requests to send, whichever of the
/// servers they are for, so that few expire unused.
void server_permits::want_permits(monotonic_time now, double requests_per_s,
                                  std::vector<std::string>& ids,
                                  std::map<std::string, std::uint32_t>& wanted)
{
    // While this time passes, the next permits arrive.
    constexpr milliseconds horizon{500};
    // Requests in the horizon below which a gateway has no use for a permit.
    constexpr double min_expected = 0.05;
    const double expected = requests_per_s * seconds(horizon);
    std::uint32_t held = 0;
    for (const auto& id : ids)
    {
        held += permits(now, limited_[id]);
    }
    if (expected <= std::max<double>(min_expected, held))
    {
        return;
    }
    auto missing = static_cast<std::uint32_t>(std::ceil(expected)) - held;
    std::shuffle(ids.begin(), ids.end(), random_);
    for (auto left = static_cast<std::uint32_t>(ids.size());
         left > 0 && missing > 0; --left)
    {
        const auto part = (missing + left - 1) / left;
        wanted[ids[left - 1]] = part;
        missing -= part;
    }
}

std::map<std::string, double> server_permits::limits() const
{
    std::map<std::string, double> result;
    for (const auto& [id, limited] : limited_)
    {
        if (limited.per_s > 0)
        {
            result[id] = limited.per_s;
        }
    }
    return result;
}

} // namespace hyssopdeal::coordination
