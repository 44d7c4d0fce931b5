/// @file
/// The records that a replica holds in memory.

#include "coordination/replica_log.hpp"

#include <algorithm>

namespace hyssopdeal::coordination
{

void replica_log::reset(state::log_index base, state::term_number base_term)
{
    records_.clear();
    outline_ = {base, base_term, base, {}};
}

void replica_log::append(state::log_record record)
{
    const bool new_term =
        outline_.history.empty() || outline_.history.back().term != record.term;
    if (new_term)
    {
        outline_.history.push_back({record.term, record.index});
    }
    outline_.last = record.index;
    records_.push_back(std::move(record));
}

void replica_log::truncate(state::log_index from)
{
    while (outline_.last >= from && !records_.empty())
    {
        records_.pop_back();
        --outline_.last;
    }
    while (!outline_.history.empty() &&
           outline_.history.back().first > outline_.last)
    {
        outline_.history.pop_back();
    }
}

void replica_log::cut(state::log_index up_to)
{
    const state::log_index target = std::min(up_to, outline_.last);
    if (target <= outline_.base)
    {
        return;
    }
    const auto term = outline_.term_at(target);
    records_.erase(records_.begin(),
                   records_.begin() +
                       static_cast<std::ptrdiff_t>(target - outline_.base));
    outline_.base = target;
    outline_.base_term = term;
    auto& history = outline_.history;
    const auto kept = std::find_if(
        history.begin(), history.end(),
        [&](const term_start& item) { return item.first > target; });
    const bool term_goes_on =
        target < outline_.last &&
        (kept == history.end() || kept->first > target + 1);
    history.erase(history.begin(), kept);
    if (term_goes_on)
    {
        history.insert(history.begin(), {term, target + 1});
    }
}

std::size_t
replica_log::payload_bytes_after(state::log_index index) const noexcept
{
    std::size_t bytes = 0;
    for (auto at = std::max(index, base()); at < last(); ++at)
    {
        bytes += this->at(at + 1).payload.size();
    }
    return bytes;
}

std::vector<state::log_record> replica_log::slice(state::log_index from,
                                                  state::log_index up_to,
                                                  std::size_t max_bytes) const
{
    std::vector<state::log_record> records;
    std::size_t bytes = 0;
    for (auto index = from; index <= std::min(up_to, last()); ++index)
    {
        const auto& record = at(index);
        bytes += record.payload.size();
        if (!records.empty() && bytes > max_bytes)
        {
            break;
        }
        records.push_back(record);
    }
    return records;
}

} // namespace hyssopdeal::coordination
