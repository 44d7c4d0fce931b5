/// @file
/// Attributes crashes of servers to parts of prompts.

#include <hyssopdeal/coordination/cluster/crash_attribution.hpp>

#include <algorithm>
#include <limits>
#include <set>
#include <tuple>

namespace hyssopdeal::coordination
{

using protocol::part_ids;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using transport::monotonic_time;
using transport::wall_time;

namespace
{

bool contains_all(const part_ids& parts, const part_ids& wanted)
{
    return std::includes(parts.begin(), parts.end(), wanted.begin(),
                         wanted.end());
}

} // namespace

crash_attribution::crash_attribution(crash_attribution_settings settings)
    : settings_(settings)
{}

void crash_attribution::on_report(monotonic_time now, const std::string& entry,
                                  std::uint64_t incarnation,
                                  const protocol::crash_report& report)
{
    bool changed = forget_old(now);
    for (const auto& seen : report.broken)
    {
        const bool known = std::any_of(
            requests_.begin(), requests_.end(), [&](const auto& request) {
                return request.number == seen.number &&
                       request.entry_incarnation == incarnation &&
                       request.entry == entry;
            });
        if (known)
        {
            continue;
        }
        broken_request request{entry,
                               incarnation,
                               seen.number,
                               {seen.server, seen.born},
                               now - milliseconds{seen.sent_age_ms},
                               now - milliseconds{seen.broken_age_ms},
                               seen.parts,
                               seen.parts};
        const auto position =
            std::upper_bound(requests_.begin(), requests_.end(), request,
                             [](const auto& left, const auto& right) {
                                 return left.broken_at < right.broken_at;
                             });
        requests_.insert(position, std::move(request));
        changed = true;
    }
    while (requests_.size() > settings_.max_requests)
    {
        requests_.pop_front();
    }
    for (const auto& [part, age_ms] : report.answered)
    {
        for (auto& request : requests_)
        {
            if (request.broken_at < now - milliseconds{age_ms})
            {
                changed = request.suspected_parts.erase(part) > 0 || changed;
            }
        }
    }
    if (changed)
    {
        judge(now);
    }
}

/// @return Whether any request was forgotten.
bool crash_attribution::forget_old(monotonic_time now)
{
    bool any = false;
    while (!requests_.empty() && now - requests_.front().broken_at >=
                                     protocol::crash_evidence_lifetime)
    {
        requests_.pop_front();
        any = true;
    }
    return any;
}

void crash_attribution::judge(monotonic_time now)
{
    const auto crashes_by_part = count_crashes({}, {});
    suspects_ = most_suspected(crashes_by_part);
    std::map<std::uint64_t, monotonic_time> next;
    for (const auto& [part, crashes] : crashes_by_part)
    {
        if (crashes >= settings_.min_crashes &&
            generations(part) >= settings_.min_generations)
        {
            const auto known = responsible_since_.find(part);
            next[part] =
                known == responsible_since_.end() ? now : known->second;
        }
    }
    responsible_since_ = std::move(next);
}

std::map<std::uint64_t, std::size_t>
crash_attribution::count_crashes(const std::set<incarnation_id>& explained,
                                 const part_ids& blamed) const
{
    std::map<std::uint64_t, std::set<incarnation_id>> servers;
    for (const auto& request : requests_)
    {
        for (const auto part : request.suspected_parts)
        {
            if (!explained.contains(request.server) || blamed.contains(part))
            {
                servers[part].insert(request.server);
            }
        }
    }
    std::map<std::uint64_t, std::size_t> crashes;
    for (const auto& [part, crashed] : servers)
    {
        crashes[part] = crashed.size();
    }
    return crashes;
}

std::size_t crash_attribution::generations(std::uint64_t part) const
{
    std::size_t count = 0;
    monotonic_time latest_crash{};
    for (const auto& request : requests_)
    {
        if (request.suspected_parts.contains(part) &&
            (count == 0 || request.sent_at > latest_crash))
        {
            ++count;
            latest_crash = request.broken_at;
        }
    }
    return count;
}

part_ids crash_attribution::common_parts(std::uint64_t part) const
{
    std::optional<part_ids> common;
    for (const auto& request : requests_)
    {
        if (!request.suspected_parts.contains(part))
        {
            continue;
        }
        if (!common)
        {
            common = request.suspected_parts;
        }
        std::erase_if(*common, [&](auto id) {
            return !request.suspected_parts.contains(id);
        });
    }
    return common.value_or(part_ids{});
}

part_ids crash_attribution::most_suspected(
    const std::map<std::uint64_t, std::size_t>& crashes_by_part) const
{
    constexpr std::size_t min_crashes = 2;
    std::vector<std::pair<std::size_t, std::uint64_t>> ranked;
    for (const auto& [part, crashes] : crashes_by_part)
    {
        if (crashes >= min_crashes)
        {
            ranked.emplace_back(crashes, part);
        }
    }
    std::sort(ranked.rbegin(), ranked.rend());
    part_ids result;
    for (const auto& [crashes, part] : ranked)
    {
        if (result.size() < settings_.max_suspects)
        {
            result.insert(part);
        }
    }
    return result;
}

std::optional<quarantine_record> crash_attribution::next_quarantine(
    monotonic_time now, wall_time true_now, monotonic_time leader_since,
    milliseconds settle_time, const quarantines& held)
{
    if (forget_old(now))
    {
        judge(now);
    }
    if (requests_.empty() || now - leader_since < settings_.new_leader_delay)
    {
        return std::nullopt;
    }
    // A crash is explained if any of the requests that it broke would have been
    // refused by a quarantine in force; the other requests are not to blame.
    std::set<incarnation_id> explained;
    part_ids blamed;
    for (const auto& [parts, record] : held)
    {
        if (!in_force(record, true_now))
        {
            continue;
        }
        blamed.insert(parts.begin(), parts.end());
        for (const auto& request : requests_)
        {
            if (contains_all(request.parts, parts))
            {
                explained.insert(request.server);
            }
        }
    }
    if (auto renewed = renewal(now, true_now, explained, held))
    {
        return renewed;
    }
    if (responsible_since_.empty())
    {
        return std::nullopt;
    }
    part_ids open_parts;
    for (const auto& request : requests_)
    {
        if (!explained.contains(request.server))
        {
            open_parts.insert(request.suspected_parts.begin(),
                              request.suspected_parts.end());
        }
    }
    const auto crashes = count_crashes(explained, blamed);
    const auto settled = [&](std::uint64_t part) {
        const auto found = responsible_since_.find(part);
        return found != responsible_since_.end() &&
               now - found->second >= settle_time;
    };
    // Parts of many requests are soon in several crashes. As long as another
    // part is in as many, and more may be known of it shortly, none is blamed.
    std::size_t most_unsettled = 0;
    for (const auto part : open_parts)
    {
        most_unsettled = std::max(
            most_unsettled, settled(part) ? std::size_t{0} : crashes.at(part));
    }
    std::tuple<std::size_t, std::size_t> best_rank{
        most_unsettled, std::numeric_limits<std::size_t>::max()};
    part_ids best;
    for (const auto part : open_parts)
    {
        const auto count = crashes.at(part);
        if (!settled(part) || count < settings_.min_crashes)
        {
            continue;
        }
        // Parts that occur together only are not told apart: all of them make
        // up the prompt, so that requests with some of them are still served.
        auto common = common_parts(part);
        const std::tuple rank{count, common.size()};
        if (rank > best_rank)
        {
            best_rank = rank;
            best = std::move(common);
        }
    }
    if (best.empty())
    {
        return std::nullopt;
    }
    return make_record(std::move(best), true_now, settings_.first_quarantine);
}

/// @return The renewal of a quarantine under whose prompt a server has crashed
///     since it ended.
std::optional<quarantine_record>
crash_attribution::renewal(monotonic_time now, wall_time true_now,
                           const std::set<incarnation_id>& explained,
                           const quarantines& held) const
{
    for (const auto& [parts, record] : held)
    {
        const auto ended_at =
            now - (true_now - wall_time{milliseconds{record.until_ms}});
        const bool crashed =
            !in_force(record, true_now) &&
            std::any_of(requests_.begin(), requests_.end(),
                        [&, wanted = &parts](const auto& request) {
                            return request.broken_at > ended_at &&
                                   !explained.contains(request.server) &&
                                   contains_all(request.suspected_parts,
                                                *wanted);
                        });
        if (crashed)
        {
            return make_record(parts, true_now,
                               std::min(2 * milliseconds{record.duration_ms},
                                        settings_.max_quarantine));
        }
    }
    return std::nullopt;
}

quarantine_record crash_attribution::make_record(part_ids parts,
                                                 wall_time true_now,
                                                 milliseconds duration)
{
    return {
        std::move(parts),
        duration_cast<milliseconds>((true_now + duration).time_since_epoch())
            .count(),
        duration.count()};
}

} // namespace hyssopdeal::coordination
