/// @file
/// What all entries have sent to each server.

#include <hyssopdeal/coordination/cluster/load_table.hpp>

namespace hyssopdeal::coordination
{

using transport::monotonic_time;

load_table::load_table(std::chrono::milliseconds valid_for)
    : valid_for_(valid_for)
{}

void load_table::remove(const loads& sent)
{
    for (const auto& [server, load] : sent)
    {
        const auto found = sum_.find(server);
        if (found == sum_.end())
        {
            continue;
        }
        found->second.running -= load.running;
        found->second.waiting_tokens -= load.waiting_tokens;
        if (found->second.running == 0 && found->second.waiting_tokens == 0)
        {
            sum_.erase(found);
        }
    }
}

void load_table::on_report(monotonic_time now, const std::string& entry,
                           const loads& sent)
{
    if (now >= next_sweep_)
    {
        next_sweep_ = now + valid_for_ / 4;
        for (auto at = entries_.begin(); at != entries_.end();)
        {
            const bool silent = now - at->second.reported > valid_for_;
            if (silent)
            {
                remove(at->second.sent);
            }
            at = silent ? entries_.erase(at) : std::next(at);
        }
    }
    auto& own = entries_[entry];
    remove(own.sent);
    own = {now, {}};
    for (const auto& [server, load] : sent)
    {
        if (load.running > 0 || load.waiting_tokens > 0)
        {
            own.sent[server] = load;
            auto& total = sum_[server];
            total.running += load.running;
            total.waiting_tokens += load.waiting_tokens;
        }
    }
}

load_table::loads load_table::others(const std::string& entry) const
{
    auto left = sum_;
    const auto own = entries_.find(entry);
    if (own == entries_.end())
    {
        return left;
    }
    for (const auto& [server, load] : own->second.sent)
    {
        const auto found = left.find(server);
        found->second.running -= load.running;
        found->second.waiting_tokens -= load.waiting_tokens;
        if (found->second.running == 0 && found->second.waiting_tokens == 0)
        {
            left.erase(found);
        }
    }
    return left;
}

} // namespace hyssopdeal::coordination
