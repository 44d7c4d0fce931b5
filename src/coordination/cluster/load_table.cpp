/// @file
/// Sums the load of all entries by server.

#include <hyssopdeal/coordination/cluster/load_table.hpp>

#include <iterator>

namespace hyssopdeal::coordination
{

using protocol::subtract;
using transport::monotonic_time;

load_table::load_table(std::chrono::milliseconds valid_for)
    : valid_for_(valid_for)
{}

void load_table::on_report(monotonic_time now, const std::string& entry,
                           const loads& sent)
{
    if (now >= next_sweep_)
    {
        next_sweep_ = now + valid_for_ / 4;
        for (auto at = entries_.begin(); at != entries_.end();)
        {
            const bool expired = now - at->second.reported_at > valid_for_;
            if (expired)
            {
                subtract(sum_, at->second.sent);
            }
            at = expired ? entries_.erase(at) : std::next(at);
        }
    }
    auto& own = entries_[entry];
    subtract(sum_, own.sent);
    own = {now, {}};
    for (const auto& [server, load] : sent)
    {
        if (load.running > 0 || load.waiting_tokens > 0)
        {
            own.sent[server] = load;
            auto& total = sum_[server];
            total.running += load.running;
            total.waiting_tokens += load.waiting_tokens;
            total.writing += load.writing;
        }
    }
}

const load_table::loads& load_table::of(const std::string& entry) const
{
    static const loads none;
    const auto found = entries_.find(entry);
    return found == entries_.end() ? none : found->second.sent;
}

std::size_t load_table::position(const std::string& entry) const
{
    return static_cast<std::size_t>(
        std::distance(entries_.begin(), entries_.lower_bound(entry)));
}

} // namespace hyssopdeal::coordination
