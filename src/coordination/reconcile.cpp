/// @file
/// Finding the last record that two logs share.

#include <hyssopdeal/coordination/reconcile.hpp>

#include <algorithm>

namespace hyssopdeal::coordination
{

namespace
{

using state::log_index;
using state::term_number;

/// Records of one term, first to last.
struct term_range
{
    term_number term = 0;
    log_index first = 0;
    log_index last = 0;
};

std::vector<term_range> ranges_of(const std::vector<term_start>& history,
                                  log_index last)
{
    std::vector<term_range> ranges;
    for (std::size_t at = 0; at < history.size(); ++at)
    {
        const log_index end =
            at + 1 < history.size() ? history[at + 1].first - 1 : last;
        ranges.push_back({history[at].term, history[at].first, end});
    }
    return ranges;
}

reconcile_hint short_hint(const log_outline& log, log_index refused)
{
    return {refused, log.base, log.base_term, log.last, {}};
}

} // namespace

term_number log_outline::term_at(log_index index) const
{
    if (index == base)
    {
        return base_term;
    }
    if (index < base || index > last)
    {
        return 0;
    }
    const auto after =
        std::upper_bound(history.begin(), history.end(), index,
                         [](log_index value, const term_start& item) {
                             return value < item.first;
                         });
    return after == history.begin() ? 0 : std::prev(after)->term;
}

// [term_history] -------------------------------------------------------------

reconcile_hint term_history::make_hint(const log_outline& log,
                                       log_index refused)
{
    auto hint = short_hint(log, refused);
    hint.history = log.history;
    return hint;
}

/// Two logs agree up to an index when both have the same term there. Terms grow
/// with the index, so both lists are walked once from their ends.
log_index term_history::next_match(const log_outline& log,
                                   const reconcile_hint& hint)
{
    const auto own = ranges_of(log.history, log.last);
    const auto other = ranges_of(hint.history, hint.last);
    auto mine = own.rbegin();
    auto theirs = other.rbegin();
    while (mine != own.rend() && theirs != other.rend())
    {
        if (mine->term == theirs->term)
        {
            const log_index shared = std::min(mine->last, theirs->last);
            if (shared >= std::max(mine->first, theirs->first))
            {
                return shared;
            }
            break;
        }
        mine->term > theirs->term ? ++mine : ++theirs;
    }
    // What a snapshot holds is committed, so that every later leader has it.
    if (hint.base >= log.base)
    {
        return std::min(hint.base, log.last);
    }
    const log_outline follower{hint.base, hint.base_term, hint.last,
                               hint.history};
    return follower.term_at(log.base) == log.base_term ? log.base : hint.base;
}

// [index_probing] ------------------------------------------------------------

reconcile_hint index_probing::make_hint(const log_outline& log,
                                        log_index refused)
{
    return short_hint(log, refused);
}

log_index index_probing::next_match(const log_outline& log,
                                    const reconcile_hint& hint)
{
    const log_index before = hint.refused == 0 ? 0 : hint.refused - 1;
    return std::max(before, std::min(hint.base, log.last));
}

// [term_probing] -------------------------------------------------------------

reconcile_hint term_probing::make_hint(const log_outline& log,
                                       log_index refused)
{
    auto hint = short_hint(log, refused);
    const log_index at = std::min(refused, log.last);
    for (const auto& item : log.history)
    {
        if (item.first <= at)
        {
            hint.history = {item};
        }
    }
    return hint;
}

log_index term_probing::next_match(const log_outline& log,
                                   const reconcile_hint& hint)
{
    const log_index floor = std::min(hint.base, log.last);
    if (hint.refused > hint.last)
    {
        return std::max(hint.last, floor);
    }
    if (hint.history.empty())
    {
        return floor;
    }
    const auto& conflict = hint.history.front();
    for (const auto& range : ranges_of(log.history, log.last))
    {
        const bool shorter = range.term == conflict.term &&
                             range.last < hint.refused &&
                             range.last >= conflict.first;
        if (shorter)
        {
            return range.last;
        }
    }
    return std::max(conflict.first - 1, floor);
}

} // namespace hyssopdeal::coordination
