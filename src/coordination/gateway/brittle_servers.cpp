/// @file
/// Shares of the slots of brittle servers.

#include <hyssopdeal/coordination/gateway/brittle_servers.hpp>

#include <algorithm>
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

// Below it, a server would be left unused for minutes.
constexpr double min_rejections_per_s = 0.2;
constexpr double max_rejections_per_s = 1'000'000;
constexpr milliseconds max_rejection_pause{5'000};
// How long the word of a server counts for its service after it has left the
// list. All servers may have fallen over at once.
constexpr milliseconds unlisted_statement_ttl{10'000};

/// @return The number of slots that a gateway gets of the first ones.
std::uint64_t dealt(std::uint64_t slots, std::uint64_t number,
                    std::uint64_t gateways)
{
    return slots <= number ? 0 : (slots - 1 - number) / gateways + 1;
}

std::uint64_t slots_of(const protocol::listed_server& server)
{
    return std::max(1U, server.slots);
}

} // namespace

void brittle_servers::set_servers(
    const std::vector<protocol::listed_server>& servers)
{
    std::map<std::string, const protocol::listed_server*> by_id;
    for (const auto& server : servers)
    {
        by_id[server.id] = &server;
    }
    slots_.clear();
    slots_before_.clear();
    for (const auto& [id, server] : by_id)
    {
        auto& total = slots_[server->service];
        slots_before_[id] = total;
        total += slots_of(*server);
    }
    unreadable_.keep(slots_before_);
}

void brittle_servers::on_response(monotonic_time now,
                                  const protocol::listed_server& server,
                                  std::string_view text,
                                  std::optional<monotonic_time> sent_at)
{
    if (services_.empty() && text.empty())
    {
        return;
    }
    std::erase_if(statements_, [&](const auto& item) {
        return !slots_before_.contains(item.first) &&
               now - item.second.said_at >= unlisted_statement_ttl;
    });
    const auto known = statements_.find(server.id);
    if (text.empty())
    {
        if (known != statements_.end() && sent_at &&
            *sent_at > known->second.said_at)
        {
            statements_.erase(known);
        }
        return update_services(now);
    }
    if (const auto named = transport::read_decimal(text))
    {
        statements_[server.id] = {
            server.service,
            std::clamp(*named, min_rejections_per_s, max_rejections_per_s),
            now};
        return update_services(now);
    }
    unreadable_.add(now, server.id, text);
}

bool brittle_servers::may_send(const protocol::listed_server& server,
                               std::uint32_t own, std::uint32_t others) const
{
    if (!services_.contains(server.service))
    {
        return true;
    }
    const auto before = slots_before_.find(server.id);
    const auto total = slots_.find(server.service);
    if (gateways_ == 0 || before == slots_before_.end() ||
        total == slots_.end())
    {
        return own == 0;
    }
    const auto slots = slots_of(server);
    const auto number = number_ % gateways_;
    if (total->second <= number)
    {
        // More gateways than slots: this one gets none of its own.
        return own == 0 && others < slots / 2;
    }
    return own < dealt(before->second + slots, number, gateways_) -
                     dealt(before->second, number, gateways_);
}

milliseconds
brittle_servers::rejection_pause(const protocol::listed_server& server) const
{
    const auto withstands = services_.find(server.service);
    if (withstands == services_.end())
    {
        return milliseconds{0};
    }
    const std::chrono::duration<double> pause{
        static_cast<double>(std::max<std::uint64_t>(1, gateways_)) /
        withstands->second};
    return std::min(max_rejection_pause,
                    std::chrono::ceil<milliseconds>(pause));
}

void brittle_servers::set_orders(monotonic_time now,
                                 const protocol::brittle_services& told,
                                 std::uint32_t gateways, std::uint32_t number)
{
    gateways_ = gateways;
    number_ = told.empty() ? number_ : number;
    if (told.empty() && told_.empty())
    {
        return;
    }
    told_.clear();
    for (const auto& [service, said] : told)
    {
        told_[service] = {
            service,
            std::clamp(said.rejections_per_s, min_rejections_per_s,
                       max_rejections_per_s),
            now - milliseconds{std::max<std::int64_t>(0, said.age_ms)}};
    }
    update_services(now);
}

protocol::brittle_services brittle_servers::report(monotonic_time now) const
{
    protocol::brittle_services found;
    for (const auto& [id, said] : statements_)
    {
        const auto age =
            std::chrono::duration_cast<milliseconds>(now - said.said_at);
        const auto known = found.find(said.service);
        if (age <= protocol::brittle_statement_lifetime &&
            (known == found.end() || age.count() < known->second.age_ms))
        {
            found[said.service] = {said.rejections_per_s, age.count()};
        }
    }
    return found;
}

void brittle_servers::update_services(monotonic_time now)
{
    std::erase_if(told_, [&](const auto& item) {
        return now - item.second.said_at > protocol::brittle_statement_lifetime;
    });
    const auto before = std::exchange(services_, {});
    for (const auto* const source : {&statements_, &told_})
    {
        for (const auto& [key, said] : *source)
        {
            const auto known =
                services_.try_emplace(said.service, said.rejections_per_s)
                    .first;
            known->second = std::min(known->second, said.rejections_per_s);
        }
    }
    for (const auto& [service, rejections_per_s] : services_)
    {
        if (!before.contains(service))
        {
            log_event(
                "service.brittle",
                {{"service", service}, {"rejections_per_s", rejections_per_s}});
        }
    }
    for (const auto& [service, rejections_per_s] : before)
    {
        if (!services_.contains(service))
        {
            log_event("service.no_longer_brittle", {{"service", service}});
        }
    }
}

} // namespace hyssopdeal::coordination
