/// @file
/// Cold servers as known to one entry.

#include <hyssopdeal/coordination/cold_start/cold_servers.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include <hyssopdeal/transport/event_log.hpp>
#include <hyssopdeal/transport/http_message.hpp>

namespace hyssopdeal::coordination
{

using std::chrono::milliseconds;
using transport::log_event;
using transport::monotonic_time;

namespace
{

// The list lags by up to 800 ms, and its reading by several hundred more.
constexpr milliseconds list_lag{2'000};
// A list counts from when it was asked for, but its cold times from when the
// platform wrote it; a process may stand still in between.
constexpr milliseconds list_delay{500};
constexpr milliseconds unknown_cold_time{10'000};
// Bounds sums with a clock.
constexpr milliseconds max_cold_time{600'000};
// Longer than several report intervals.
constexpr milliseconds statement_lifetime{2'000};

milliseconds clamp_cold_time(std::int64_t ms)
{
    return milliseconds{std::clamp<std::int64_t>(ms, 0, max_cold_time.count())};
}

} // namespace

cold_servers::cold_servers(std::uint64_t seed)
    : permits_(seed)
{}

// [list] ---------------------------------------------------------------------

void cold_servers::set_services(
    const std::vector<protocol::document_service>& services)
{
    terms_.clear();
    for (const auto& service : services)
    {
        if (service.cold_start.count() > 0 && service.cold_per_s > 0)
        {
            terms_[service.name] = {std::min(service.cold_start, max_cold_time),
                                    service.cold_per_s};
        }
    }
}

void cold_servers::set_servers(
    monotonic_time now, const std::vector<protocol::listed_server>& servers,
    monotonic_time read_at)
{
    permits_.set_servers(servers);
    std::map<std::string, server_state> next;
    for (const auto& listed : servers)
    {
        const auto* const known = find(listed);
        auto& server = next[listed.id];
        server = known == nullptr ? server_state{} : *known;
        server.born = listed.born;
        server.service = listed.service;
        server.failure_domain = listed.failure_domain;
        server.listed_cold = listed.cold_remaining_ms > 0;
        if (known == nullptr && (has_list_ || presumes_first_list_))
        {
            presume(now, listed.id, server, source::start);
        }
        apply_listed(now, listed, server, read_at);
    }
    servers_ = std::move(next);
    has_list_ = has_list_ || !servers.empty();
    unreadable_.keep(servers_);
}

void cold_servers::apply_listed(monotonic_time now,
                                const protocol::listed_server& listed,
                                server_state& server, monotonic_time read_at)
{
    const auto until =
        read_at + clamp_cold_time(listed.cold_remaining_ms) + list_delay;
    // The list lags: what it says soon after a presumption may be older.
    const auto outdated_until =
        server.said_at + (is_presumed(server) ? list_lag : milliseconds{0});
    if (read_at > outdated_until)
    {
        if (server.listed_cold)
        {
            record(now, listed.id, server, until, read_at, source::list);
        }
        else if (server.told_by == source::list)
        {
            server.until = {};
        }
    }
    else if (is_presumed(server))
    {
        server.until = std::max(server.until, until);
    }
}

void cold_servers::on_list_read(monotonic_time read_at)
{
    for (auto& [id, server] : servers_)
    {
        if (!server.listed_cold && is_presumed(server) && !server.unreachable &&
            read_at > server.said_at + list_lag)
        {
            server.until = {};
            server.told_by = source::none;
        }
    }
}

// [statements] ---------------------------------------------------------------

void cold_servers::record(monotonic_time now, const std::string& id,
                          server_state& server, monotonic_time until,
                          monotonic_time said_at, source told_by)
{
    constexpr milliseconds log_interval{1'000};
    static constexpr std::array<std::string_view, 7> names = {
        "none", "list", "response", "leader", "start", "evacuation", "restart"};
    const bool was_cold = server.until > now;
    server.until = until;
    server.said_at = said_at;
    server.told_by = told_by;
    if (!was_cold && until > now && terms_of(server) != nullptr &&
        now - server.logged_at >= log_interval)
    {
        server.logged_at = now;
        log_event("server.cold",
                  {{"server", id},
                   {"for_ms", std::chrono::ceil<milliseconds>(until - now)},
                   {"told_by", names.at(static_cast<std::size_t>(told_by))}});
    }
}

void cold_servers::presume(monotonic_time now, const std::string& id,
                           server_state& server, source told_by)
{
    const auto* const terms = terms_of(server);
    // The first list may arrive before the services' terms.
    const auto cold_time = terms != nullptr ? terms->cold_time
                           : terms_.empty() ? unknown_cold_time
                                            : milliseconds{0};
    if (now + cold_time > std::max(now, server.until))
    {
        record(now, id, server, now + cold_time, now, told_by);
    }
}

bool cold_servers::is_presumed(const server_state& server)
{
    return server.told_by == source::start ||
           server.told_by == source::evacuation ||
           server.told_by == source::restart;
}

void cold_servers::on_response(monotonic_time now,
                               const protocol::listed_server& listed,
                               std::string_view text,
                               std::optional<monotonic_time> sent_at)
{
    auto* const server = find(listed);
    if (server == nullptr)
    {
        return;
    }
    if (std::exchange(server->unreachable, false))
    {
        presume(now, listed.id, *server, source::restart);
    }
    if (text.empty())
    {
        return;
    }
    const auto stated = transport::read_decimal(text);
    if (!stated || !std::isfinite(*stated))
    {
        return unreadable_.add(now, listed.id, text);
    }
    if (*stated > 0)
    {
        const auto most = static_cast<double>(max_cold_time.count());
        const milliseconds remaining{
            static_cast<std::int64_t>(std::ceil(std::min(*stated, most)))};
        record(now, listed.id, *server, now + remaining, now, source::response);
    }
    else if (sent_at && *sent_at > server->said_at)
    {
        record(now, listed.id, *server, {}, *sent_at, source::none);
    }
}

void cold_servers::on_unreachable(monotonic_time now,
                                  const protocol::listed_server& listed)
{
    if (auto* const server = find(listed))
    {
        server->unreachable = true;
        presume(now, listed.id, *server, source::restart);
    }
}

void cold_servers::presume_all(monotonic_time now)
{
    presumes_first_list_ = true;
    for (auto& [id, server] : servers_)
    {
        presume(now, id, server, source::evacuation);
    }
}

void cold_servers::on_evacuation_ended(monotonic_time now,
                                       std::string_view failure_domain)
{
    for (auto& [id, server] : servers_)
    {
        if (server.failure_domain == failure_domain)
        {
            presume(now, id, server, source::evacuation);
        }
    }
}

// [requests] -----------------------------------------------------------------

cold_servers::server_state*
cold_servers::find(const protocol::listed_server& listed)
{
    const auto known = servers_.find(listed.id);
    return known == servers_.end() || known->second.born != listed.born
               ? nullptr
               : &known->second;
}

const cold_servers::server_state*
cold_servers::find(const protocol::listed_server& listed) const
{
    const auto known = servers_.find(listed.id);
    return known == servers_.end() || known->second.born != listed.born
               ? nullptr
               : &known->second;
}

const cold_servers::cold_terms*
cold_servers::terms_of(const server_state& server) const
{
    const auto known = terms_.find(server.service);
    return known == terms_.end() ? nullptr : &known->second;
}

double cold_servers::limit_of(monotonic_time now,
                              const server_state& server) const
{
    // How long a server that cannot be reached will be cold after its return is
    // not known before it responds.
    const bool cold = server.until > now || server.unreachable;
    const auto* const terms = cold ? terms_of(server) : nullptr;
    return terms == nullptr ? 0 : terms->per_s;
}

void cold_servers::update_limit(monotonic_time now, const std::string& id,
                                server_state& server)
{
    const double limit = limit_of(now, server);
    if (limit != server.limit_per_s)
    {
        server.limit_per_s = limit;
        permits_.set_limit(id, server.born, limit);
    }
}

bool cold_servers::is_cold(monotonic_time now,
                           const protocol::listed_server& listed) const
{
    const auto* const server = find(listed);
    return server != nullptr && limit_of(now, *server) > 0;
}

bool cold_servers::may_send(monotonic_time now,
                            const protocol::listed_server& listed)
{
    if (terms_.empty())
    {
        return true;
    }
    auto* const server = find(listed);
    if (server == nullptr)
    {
        // Another incarnation is listed under the id, or none: no permit can be
        // for this one.
        return !terms_.contains(listed.service);
    }
    update_limit(now, listed.id, *server);
    return permits_.may_send(now, listed);
}

void cold_servers::take(monotonic_time now,
                        const protocol::listed_server& listed)
{
    if (auto* const server = find(listed))
    {
        update_limit(now, listed.id, *server);
        (void)permits_.take(now, listed);
    }
}

std::size_t cold_servers::count(monotonic_time now) const
{
    return static_cast<std::size_t>(
        std::count_if(servers_.begin(), servers_.end(), [&](const auto& item) {
            return limit_of(now, item.second) > 0;
        }));
}

// [reports] ------------------------------------------------------------------

protocol::cold_report cold_servers::report(monotonic_time now)
{
    protocol::cold_report report;
    for (auto& [id, server] : servers_)
    {
        update_limit(now, id, server);
        if (server.limit_per_s > 0 && server.told_by == source::response &&
            now - server.said_at <= statement_lifetime)
        {
            const auto ms = [](auto time) {
                return std::chrono::ceil<milliseconds>(time).count();
            };
            report.stated[id] = {server.born, ms(server.until - now),
                                 ms(now - server.said_at)};
        }
    }
    report.wanted = permits_.report(now).wanted;
    return report;
}

void cold_servers::set_orders(monotonic_time sent_at, monotonic_time now,
                              const protocol::cold_orders& orders,
                              std::uint32_t entries)
{
    for (const auto& [id, stated] : orders.stated)
    {
        const auto known = servers_.find(id);
        const auto said_at = now - clamp_cold_time(stated.age_ms);
        if (known != servers_.end() && known->second.born == stated.born &&
            said_at > known->second.said_at && stated.remaining_ms > 0)
        {
            record(now, id, known->second,
                   now + clamp_cold_time(stated.remaining_ms), said_at,
                   source::leader);
        }
        if (known != servers_.end())
        {
            // Permits of this answer count only for servers with a limit.
            update_limit(now, id, known->second);
        }
    }
    permits_.set_orders(sent_at, now,
                        {{}, orders.permits, orders.permits_valid_ms}, entries);
}

} // namespace hyssopdeal::coordination
