/// @file
/// Delivers what a gateway observed of rollouts to the leader.

#include <hyssopdeal/coordination/gateway/rollout_evidence.hpp>

#include <algorithm>
#include <utility>

namespace hyssopdeal::coordination
{

namespace
{

void merge(version_report& into, const version_report& report)
{
    auto cells = std::move(into.cells);
    for (const auto& cell : report.cells)
    {
        const auto found =
            std::find_if(cells.begin(), cells.end(), [&](const auto& known) {
                return known.load == cell.load &&
                       known.version == cell.version &&
                       known.route == cell.route;
            });
        if (found == cells.end())
        {
            cells.push_back(cell);
            continue;
        }
        found->requests += cell.requests;
        found->failed += cell.failed;
        found->broken += cell.broken;
        found->empty += cell.empty;
        found->first_token.merge(cell.first_token);
        found->between_tokens.merge(cell.between_tokens);
    }
    into = report;
    into.cells = std::move(cells);
}

} // namespace

rollout_evidence::rollout_evidence(std::string entry, std::uint64_t incarnation,
                                   transport::monotonic_time now)
    : observer(std::move(entry), incarnation, now)
{}

std::vector<version_report> rollout_evidence::reports_for(
    transport::monotonic_time now, std::uint64_t leader_term,
    const std::map<std::string, protocol::version_counts>& running)
{
    std::erase_if(history_, [&](const auto& item) {
        const auto found = running.find(item.first);
        return found == running.end() ||
               found->second.started_ms != item.second.started_ms;
    });
    for (const auto& report : observer.take_reports(now))
    {
        if (const auto found = running.find(report.service);
            found != running.end())
        {
            auto& history = history_[report.service];
            history.started_ms = found->second.started_ms;
            merge(history.all, report);
            unconfirmed_.push_back(report);
        }
    }
    if (std::exchange(leader_term_, leader_term) != leader_term)
    {
        unconfirmed_.clear();
        for (const auto& [service, history] : history_)
        {
            unconfirmed_.push_back(history.all);
        }
    }
    return unconfirmed_;
}

void rollout_evidence::on_confirmed(std::uint64_t leader_term)
{
    if (leader_term == leader_term_)
    {
        unconfirmed_.clear();
    }
}

} // namespace hyssopdeal::coordination
