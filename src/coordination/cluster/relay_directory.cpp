/// @file
/// Helpers for entries that do not reach servers.

#include <hyssopdeal/coordination/cluster/relay_directory.hpp>

#include <algorithm>
#include <array>

namespace hyssopdeal::coordination
{

using transport::monotonic_time;

relay_directory::relay_directory(std::chrono::milliseconds valid_for,
                                 std::uint64_t seed)
    : valid_for_(valid_for),
      random_(seed)
{}

void relay_directory::on_report(monotonic_time now,
                                const protocol::entry_report& report)
{
    if (report.relay.address.empty())
    {
        relays_.erase(report.entry);
        return;
    }
    relays_[report.entry] = {report.relay.address, report.failure_domain,
                             report.relay.partitioned, now};
}

std::vector<std::string>
relay_directory::helpers_for(monotonic_time now,
                             const protocol::entry_report& report)
{
    // Of the own domain, where traffic is cheapest, and of others.
    constexpr std::array<std::size_t, 2> max_helpers{2, 4};
    std::erase_if(relays_, [&](const auto& item) {
        return now - item.second.reported_at > valid_for_;
    });
    const auto& had = report.relay.helpers;
    std::array<std::vector<std::string>, 2> kept;
    std::array<std::vector<std::string>, 2> others;
    for (const auto& [entry, relay] : relays_)
    {
        if (entry == report.entry || relay.partitioned)
        {
            continue;
        }
        const std::size_t group =
            relay.failure_domain == report.failure_domain ? 0 : 1;
        const bool held =
            std::find(had.begin(), had.end(), relay.address) != had.end();
        auto& list = held ? kept : others;
        list.at(group).push_back(relay.address);
    }
    std::vector<std::string> helpers;
    for (std::size_t group = 0; group < max_helpers.size(); ++group)
    {
        auto& chosen = kept.at(group);
        auto& candidates = others.at(group);
        std::shuffle(candidates.begin(), candidates.end(), random_);
        chosen.insert(chosen.end(), candidates.begin(), candidates.end());
        chosen.resize(std::min(chosen.size(), max_helpers.at(group)));
        helpers.insert(helpers.end(), chosen.begin(), chosen.end());
    }
    return helpers;
}

} // namespace hyssopdeal::coordination
