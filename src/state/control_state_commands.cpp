/// @file
/// What each command does to the tables.

#include <algorithm>
#include <cmath>
#include <utility>

#include "state/control_state_impl.hpp"
#include "state/write_answers.hpp"

namespace hyssopdeal::state
{

namespace
{

constexpr double share_tolerance = 1e-6;

bool valid_shares(const std::vector<protocol::version_share>& shares)
{
    double sum = 0;
    for (const auto& item : shares)
    {
        if (!(item.share >= 0 && item.share <= 1))
        {
            return false;
        }
        sum += item.share;
    }
    return std::abs(sum - 1) <= share_tolerance;
}

/// All to the version of the first server, when there is one.
std::vector<protocol::version_share>
first_shares(const protocol::service& service)
{
    if (service.servers.empty())
    {
        return {};
    }
    return {{service.servers.front().version, 1}};
}

bool has_all_traffic(const protocol::service& service,
                     const std::string& version)
{
    return std::any_of(service.shares.begin(), service.shares.end(),
                       [&](const auto& item) {
                           return item.version == version && item.share >= 1;
                       });
}

} // namespace

// [declarations] -------------------------------------------------------------

write_result control_state::impl::run(const put_contract& command)
{
    const auto& name = command.contract.organisation;
    const revision now = revision_of(tables.contracts, name);
    if (name.empty())
    {
        return refused(0, "The contract has no organisation.");
    }
    if (now != command.expected)
    {
        return conflict(now);
    }
    auto& record = tables.contracts[name];
    if (now != 0 && record.contract == command.contract)
    {
        return {write_status::unchanged, now, {}};
    }
    record = {command.contract, at.index};
    return {write_status::applied, at.index, {}};
}

write_result control_state::impl::run(const delete_contract& command)
{
    const revision now = revision_of(tables.contracts, command.organisation);
    if (now == 0)
    {
        return missing();
    }
    if (now != command.expected)
    {
        return conflict(now);
    }
    tables.contracts.erase(command.organisation);
    tables.grants.erase(command.organisation);
    tables.remember({removal_kind::contract, command.organisation, at.index});
    return {write_status::applied, 0, {}};
}

write_result control_state::impl::run(const put_service& command)
{
    const auto& name = command.service.name;
    const revision now = revision_of(tables.services, name);
    if (name.empty())
    {
        return refused(0, "The service has no name.");
    }
    if (now != command.expected)
    {
        return conflict(now);
    }
    auto next = command.service;
    if (next.shares.empty())
    {
        next.shares = now != 0 ? tables.services[name].service.shares
                               : first_shares(next);
    }
    else if (!valid_shares(next.shares))
    {
        return refused(now, "The shares do not add up to 1.");
    }
    else if (move_runs(name) &&
             next.shares != tables.services[name].service.shares)
    {
        return refused(now, "A move of the service sets its shares.");
    }
    auto& record = tables.services[name];
    if (now != 0 && record.service == next)
    {
        return {write_status::unchanged, now, {}};
    }
    record = {std::move(next), at.index};
    return {write_status::applied, at.index, {}};
}

write_result control_state::impl::run(const delete_service& command)
{
    const revision now = revision_of(tables.services, command.service);
    if (now == 0)
    {
        return missing();
    }
    if (now != command.expected)
    {
        return conflict(now);
    }
    if (move_runs(command.service))
    {
        return refused(now, "A move of the service runs.");
    }
    tables.services.erase(command.service);
    tables.moves.erase(command.service);
    tables.remember({removal_kind::service, command.service, at.index});
    return {write_status::applied, 0, {}};
}

// [moves] --------------------------------------------------------------------

bool control_state::impl::move_runs(const std::string& service) const
{
    const auto found = tables.moves.find(service);
    return found != tables.moves.end() && !ended(found->second.status.phase);
}

void control_state::impl::write_shares(
    service_record& record, const std::vector<protocol::version_share>& shares)
{
    if (record.service.shares != shares)
    {
        record.service.shares = shares;
        record.changed = at.index;
    }
}

write_result control_state::impl::run(const order_move& command)
{
    const auto& order = command.order;
    const auto service = tables.services.find(order.service);
    const revision now = revision_of(tables.moves, order.service);
    if (service == tables.services.end())
    {
        return missing();
    }
    if (now != command.expected)
    {
        return conflict(now);
    }
    if (move_runs(order.service))
    {
        return refused(now, "Another move of the service runs.");
    }
    if (order.version.empty() ||
        has_all_traffic(service->second.service, order.version))
    {
        return refused(now, "The version has all traffic already.");
    }
    if (!(order.largest_canary_share > 0 && order.largest_canary_share <= 1))
    {
        return refused(now, "The largest canary share is not in (0, 1].");
    }
    move_record record;
    record.order = order;
    record.before = service->second.service.shares;
    record.ordered_at = time;
    record.status.step_since = time;
    record.ordered = at.index;
    record.changed = at.index;
    tables.moves.insert_or_assign(order.service, std::move(record));
    return {write_status::applied, at.index, {}};
}

write_result control_state::impl::run(const update_move& command)
{
    const auto move = tables.moves.find(command.service);
    const auto service = tables.services.find(command.service);
    if (move == tables.moves.end() || service == tables.services.end())
    {
        return missing();
    }
    if (move->second.changed != command.expected)
    {
        return conflict(move->second.changed);
    }
    if (ended(move->second.status.phase))
    {
        return refused(move->second.changed, "The move has ended.");
    }
    if (!command.shares.empty())
    {
        if (!valid_shares(command.shares))
        {
            return refused(move->second.changed,
                           "The shares do not add up to 1.");
        }
        write_shares(service->second, command.shares);
    }
    move->second.status = command.status;
    move->second.changed = at.index;
    return {write_status::applied, at.index, {}};
}

write_result control_state::impl::run(const set_shares& command)
{
    const auto service = tables.services.find(command.service);
    if (service == tables.services.end())
    {
        return missing();
    }
    const revision now = service->second.changed;
    if (now != command.expected)
    {
        return conflict(now);
    }
    if (move_runs(command.service))
    {
        return refused(now, "A move of the service sets its shares.");
    }
    if (!valid_shares(command.shares))
    {
        return refused(now, "The shares do not add up to 1.");
    }
    write_shares(service->second, command.shares);
    return {write_status::applied, service->second.changed, {}};
}

write_result control_state::impl::run(const cancel_move& command)
{
    const auto move = tables.moves.find(command.service);
    const auto service = tables.services.find(command.service);
    if (move == tables.moves.end() || service == tables.services.end())
    {
        return missing();
    }
    if (move->second.changed != command.expected)
    {
        return conflict(move->second.changed);
    }
    if (ended(move->second.status.phase))
    {
        return refused(move->second.changed, "The move has ended.");
    }
    write_shares(service->second, move->second.before);
    move->second.status.phase = move_phase::cancelled;
    move->second.status.share = 0;
    move->second.status.step_since = time;
    move->second.changed = at.index;
    return {write_status::applied, at.index, {}};
}

} // namespace hyssopdeal::state
