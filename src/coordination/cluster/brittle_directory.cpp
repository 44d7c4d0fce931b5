/// @file
/// Brittle services, as reported by all entries.

#include <hyssopdeal/coordination/cluster/brittle_directory.hpp>

#include <algorithm>

namespace hyssopdeal::coordination
{

using std::chrono::milliseconds;
using transport::monotonic_time;

void brittle_directory::on_report(monotonic_time now,
                                  const protocol::brittle_services& reported)
{
    for (const auto& [service, said] : reported)
    {
        const auto said_at =
            now - milliseconds{std::max<std::int64_t>(0, said.age_ms)};
        const auto [known, first] = statements_.try_emplace(
            service, statement{said.rejections_per_s, said_at});
        if (!first && known->second.said_at <= said_at)
        {
            known->second = {said.rejections_per_s, said_at};
        }
    }
}

protocol::brittle_services brittle_directory::services(monotonic_time now)
{
    std::erase_if(statements_, [&](const auto& item) {
        return now - item.second.said_at > protocol::brittle_statement_lifetime;
    });
    protocol::brittle_services found;
    for (const auto& [service, said] : statements_)
    {
        found[service] = {
            said.rejections_per_s,
            std::chrono::duration_cast<milliseconds>(now - said.said_at)
                .count()};
    }
    return found;
}

} // namespace hyssopdeal::coordination
