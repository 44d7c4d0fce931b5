/// @file
/// What each command does to the tables.

#include <algorithm>
#include <cmath>
#include <utility>

#include "state/control_state_impl.hpp"

namespace hyssopdeal::state
{

namespace
{

constexpr double share_tolerance = 1e-6;

write_result conflict(revision now)
{
    return {write_status::conflict, now, "The revision has changed."};
}

write_result missing()
{
    return {write_status::missing, 0, "No such record."};
}

write_result refused(revision now, std::string text)
{
    return {write_status::refused, now, std::move(text)};
}

template <class Record>
revision revision_of(const record_table<Record>& table, const std::string& name)
{
    const auto found = table.find(name);
    return found == table.end() ? 0 : found->second.changed;
}

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

// [fleet] --------------------------------------------------------------------

fence_result control_state::impl::run(const allocate_fence&)
{
    ++tables.fence_counter;
    return {{at.term, tables.fence_counter}};
}

/// An order id is not sent again after a day, so that its record may go.
void control_state::impl::forget_ended_purchases()
{
    constexpr std::chrono::hours retention{24};
    std::erase_if(tables.purchases, [&](const auto& item) {
        const auto& record = item.second;
        const bool ended = record.phase == purchase_phase::refused ||
                           record.phase == purchase_phase::released;
        return ended && record.ordered_at + retention <= time;
    });
}

purchase_result control_state::impl::run(const order_purchase& command)
{
    const auto& id = command.purchase.order_id;
    if (id.empty())
    {
        return {write_status::refused, {}};
    }
    const auto found = tables.purchases.find(id);
    if (found != tables.purchases.end())
    {
        return {write_status::unchanged, found->second};
    }
    forget_ended_purchases();
    auto record = command.purchase;
    record.phase = purchase_phase::ordered;
    record.ordered_at = time;
    record.changed = at.index;
    tables.purchases.emplace(id, record);
    return {write_status::applied, std::move(record)};
}

write_result control_state::impl::run(const update_purchase& command)
{
    const auto found = tables.purchases.find(command.order_id);
    if (found == tables.purchases.end())
    {
        return missing();
    }
    auto& record = found->second;
    if (record.changed != command.expected)
    {
        return conflict(record.changed);
    }
    record.phase = command.phase;
    record.instance = command.instance;
    record.address = command.address;
    record.changed = at.index;
    return {write_status::applied, at.index, {}};
}

write_result control_state::impl::run(const set_leaving& command)
{
    if (command.instance.empty())
    {
        return refused(0, "The instance has no name.");
    }
    auto& record = tables.leaving[command.instance];
    const bool known = record.changed != 0;
    if (known && command.incarnation < record.incarnation)
    {
        return {write_status::unchanged, record.changed, {}};
    }
    const bool same = known && command.incarnation == record.incarnation;
    const bool sooner = command.gone_at != transport::wall_time{} &&
                        (record.gone_at == transport::wall_time{} ||
                         command.gone_at < record.gone_at);
    if (same && !sooner)
    {
        return {write_status::unchanged, record.changed, {}};
    }
    const auto since = same ? record.since : time;
    const auto source = same ? record.source : command.source;
    record = {command.instance, source,  command.incarnation, since,
              command.gone_at,  at.index};
    return {write_status::applied, at.index, {}};
}

write_result control_state::impl::run(const clear_leaving& command)
{
    const revision now = revision_of(tables.leaving, command.instance);
    if (now == 0)
    {
        return missing();
    }
    if (now != command.expected)
    {
        return conflict(now);
    }
    tables.leaving.erase(command.instance);
    tables.remember({removal_kind::leaving, command.instance, at.index});
    return {write_status::applied, 0, {}};
}

// [grants] -------------------------------------------------------------------

write_result control_state::impl::run(const set_grants& command)
{
    if (!tables.contracts.contains(command.organisation))
    {
        return missing();
    }
    const revision now = revision_of(tables.grants, command.organisation);
    if (now != command.expected)
    {
        return conflict(now);
    }
    tables.grants.insert_or_assign(
        command.organisation,
        grant_record{command.organisation, command.grants, at.index});
    return {write_status::applied, at.index, {}};
}

// [ledger] -------------------------------------------------------------------

claim_result control_state::impl::run(const claim_key& command)
{
    return ledger.claim(at.index, time, command);
}

write_result control_state::impl::run(const release_claim& command)
{
    return ledger.release(command);
}

write_result control_state::impl::run(const record_outcome& command)
{
    return ledger.finish(command);
}

} // namespace hyssopdeal::state
