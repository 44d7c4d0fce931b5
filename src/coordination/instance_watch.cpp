#include <hyssopdeal/coordination/instance_watch.hpp>

namespace hyssopdeal::coordination
{

using protocol::member_kind;
using protocol::member_state;
using protocol::member_update;

namespace
{

bool is_gossip_member(const member_update& entry) noexcept
{
    return entry.kind != member_kind::backend_server;
}

} // namespace

std::vector<member_update>
updates_from_list(const member_table& table,
                  const std::vector<listed_instance>& list)
{
    std::vector<member_update> updates;
    for (const auto& listed : list)
    {
        const auto* known = table.find(listed.name);
        if (known != nullptr && is_gossip_member(*known))
        {
            // Gossip members count their own incarnations. Only their change to
            // leaving is taken from the list.
            if (listed.state == listed_state::leaving &&
                known->state < member_state::leaving)
            {
                updates.push_back(leaving_update(table, listed.name, {}));
            }
            continue;
        }
        member_update update;
        update.name = listed.name;
        update.kind = member_kind::backend_server;
        update.state = listed.state == listed_state::leaving
                           ? member_state::leaving
                           : member_state::alive;
        update.incarnation = listed.incarnation;
        // An unknown instance accepts work already, so only leaving counts.
        const bool is_live = update.state == member_state::alive;
        if (known == nullptr ? !is_live : supersedes(update, *known))
        {
            updates.push_back(update);
        }
    }
    return updates;
}

member_update leaving_update(const member_table& table,
                             std::string_view instance,
                             std::string_view failure_domain)
{
    member_update update;
    update.kind = member_kind::backend_server;
    if (const auto* known = table.find(instance))
    {
        update = *known;
    }
    update.name = instance;
    update.state = member_state::leaving;
    if (!failure_domain.empty())
    {
        update.failure_domain = failure_domain;
    }
    return update;
}

bool accepts_work(const member_table& table, std::string_view instance) noexcept
{
    const auto* known = table.find(instance);
    return known == nullptr || known->state < member_state::leaving;
}

} // namespace hyssopdeal::coordination
