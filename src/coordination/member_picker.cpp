#include "member_picker.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hyssopdeal::coordination
{

using protocol::member_kind;
using protocol::member_state;
using protocol::member_update;

namespace
{

/// Random places tried before all entries are looked at.
constexpr std::size_t sample_attempts = 48;

} // namespace

member_picker::member_picker(std::string self, std::string own_domain,
                             std::uint64_t random_seed)
    : self_(std::move(self)),
      own_domain_(std::move(own_domain)),
      random_(random_seed)
{}

bool member_picker::is_probed(const member_update& entry) const noexcept
{
    return entry.kind != member_kind::backend_server &&
           entry.state != member_state::dead && !entry.gossip_address.empty() &&
           entry.name != self_;
}

std::size_t member_picker::below(std::size_t bound)
{
    return std::uniform_int_distribution<std::size_t>{0, bound - 1}(random_);
}

std::optional<member_update>
member_picker::next_probe_target(const member_table& table)
{
    for (int refill = 0; refill < 2; ++refill)
    {
        while (!round_.empty())
        {
            const auto* entry = table.find(round_.back());
            round_.pop_back();
            if (entry != nullptr && is_probed(*entry))
            {
                return *entry;
            }
        }
        for (const auto& entry : table.entries())
        {
            if (entry.failure_domain == own_domain_ && is_probed(entry))
            {
                round_.push_back(entry.name);
            }
        }
        std::shuffle(round_.begin(), round_.end(), random_);
    }
    return std::nullopt;
}

std::optional<member_update> member_picker::random_in(const member_table& table,
                                                      std::string_view domain,
                                                      std::string_view except)
{
    const auto& entries = table.entries();
    const auto fits = [&](const member_update& entry) {
        return entry.failure_domain == domain && is_probed(entry) &&
               entry.name != except;
    };
    for (std::size_t attempt = 0; attempt < sample_attempts && !entries.empty();
         ++attempt)
    {
        const auto& entry = entries[below(entries.size())];
        if (fits(entry))
        {
            return entry;
        }
    }
    const auto found = std::find_if(entries.begin(), entries.end(), fits);
    if (found != entries.end())
    {
        return *found;
    }
    const auto* only = except.empty() ? nullptr : table.find(except);
    if (only != nullptr && is_probed(*only))
    {
        return *only;
    }
    return std::nullopt;
}

std::vector<member_update>
member_picker::probe_relays(const member_table& table, std::size_t count,
                            std::string_view except)
{
    auto chosen = sample_own_domain(table, count + 1);
    std::erase_if(chosen, [&](const member_update& entry) {
        return entry.name == except;
    });
    chosen.resize(std::min(chosen.size(), count));
    const auto& entries = table.entries();
    for (std::size_t attempt = 0;
         attempt < sample_attempts && chosen.size() < count; ++attempt)
    {
        const auto& entry = entries[below(entries.size())];
        const bool known = std::any_of(chosen.begin(), chosen.end(),
                                       [&](const member_update& other) {
                                           return other.name == entry.name;
                                       });
        if (!known && entry.name != except && is_probed(entry))
        {
            chosen.push_back(entry);
        }
    }
    return chosen;
}

std::vector<member_update>
member_picker::sample_own_domain(const member_table& table, std::size_t count)
{
    std::vector<const member_update*> own;
    for (const auto& entry : table.entries())
    {
        if (entry.failure_domain == own_domain_ && is_probed(entry))
        {
            own.push_back(&entry);
        }
    }
    std::vector<const member_update*> picked;
    std::sample(own.begin(), own.end(), std::back_inserter(picked), count,
                random_);
    std::vector<member_update> chosen;
    chosen.reserve(picked.size());
    for (const auto* entry : picked)
    {
        chosen.push_back(*entry);
    }
    return chosen;
}

} // namespace hyssopdeal::coordination
