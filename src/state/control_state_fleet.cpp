/// @file
/// What the commands of fleet, evacuations, grants and ledger do to the tables.

#include <utility>

#include "state/control_state_impl.hpp"
#include "state/write_answers.hpp"

namespace hyssopdeal::state
{

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

// [evacuations] --------------------------------------------------------------

write_result control_state::impl::run(const order_evacuation& command)
{
    if (command.failure_domain.empty())
    {
        return refused(0, "The failure domain has no name.");
    }
    const revision now =
        revision_of(tables.evacuations, command.failure_domain);
    if (now != 0 && tables.evacuations.at(command.failure_domain).in_force())
    {
        return {write_status::unchanged, now, {}};
    }
    if (command.expected != any_revision && command.expected != now)
    {
        return conflict(now);
    }
    tables.evacuations.insert_or_assign(
        command.failure_domain,
        evacuation_record{command.failure_domain, time, {}, at.index});
    return {write_status::applied, at.index, {}};
}

write_result control_state::impl::run(const withdraw_evacuation& command)
{
    const auto found = tables.evacuations.find(command.failure_domain);
    if (found == tables.evacuations.end() || !found->second.in_force())
    {
        return {write_status::unchanged,
                revision_of(tables.evacuations, command.failure_domain),
                {}};
    }
    auto& record = found->second;
    if (command.expected != any_revision && command.expected != record.changed)
    {
        return conflict(record.changed);
    }
    record.ended_at = time;
    record.changed = at.index;
    return {write_status::applied, at.index, {}};
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
