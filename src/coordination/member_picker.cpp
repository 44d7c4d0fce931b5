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

/// Random draws from the whole table. When they are used up, random_in() scans
/// the table and probe_relays() returns fewer members.
constexpr std::size_t max_sampling_attempts = 48;

} // namespace

member_picker::member_picker(std::string self, std::string own_domain,
                             std::uint64_t random_seed)
    : self_(std::move(self)),
      own_domain_(std::move(own_domain)),
      random_(random_seed)
{}

bool member_picker::is_probe_target(const member_update& member) const noexcept
{
    return member.kind != member_kind::backend_server &&
           member.state != member_state::dead &&
           !member.gossip_address.empty() && member.name != self_;
}

std::size_t member_picker::random_below(std::size_t bound)
{
    return std::uniform_int_distribution<std::size_t>{0, bound - 1}(random_);
}

std::optional<member_update>
member_picker::next_probe_target(const member_table& table)
{
    for (int pass = 0; pass < 2; ++pass)
    {
        while (!unvisited_.empty())
        {
            const auto* member = table.find(unvisited_.back());
            unvisited_.pop_back();
            if (member != nullptr && is_probe_target(*member))
            {
                return *member;
            }
        }
        for (const auto& member : table.entries())
        {
            if (member.failure_domain == own_domain_ && is_probe_target(member))
            {
                unvisited_.push_back(member.name);
            }
        }
        std::shuffle(unvisited_.begin(), unvisited_.end(), random_);
    }
    return std::nullopt;
}

std::optional<member_update> member_picker::random_in(const member_table& table,
                                                      std::string_view domain,
                                                      std::string_view except)
{
    const auto& entries = table.entries();
    const auto is_match = [&](const member_update& member) {
        return member.failure_domain == domain && is_probe_target(member) &&
               member.name != except;
    };
    for (std::size_t attempt = 0;
         attempt < max_sampling_attempts && !entries.empty(); ++attempt)
    {
        const auto& member = entries[random_below(entries.size())];
        if (is_match(member))
        {
            return member;
        }
    }
    const auto found = std::find_if(entries.begin(), entries.end(), is_match);
    if (found != entries.end())
    {
        return *found;
    }
    const auto* excepted = except.empty() ? nullptr : table.find(except);
    if (excepted != nullptr && is_probe_target(*excepted))
    {
        return *excepted;
    }
    return std::nullopt;
}

std::vector<member_update>
member_picker::probe_relays(const member_table& table, std::size_t count,
                            std::string_view except)
{
    auto chosen = sample_own_domain(table, count + 1);
    std::erase_if(chosen, [&](const member_update& member) {
        return member.name == except;
    });
    chosen.resize(std::min(chosen.size(), count));
    const auto& entries = table.entries();
    for (std::size_t attempt = 0;
         attempt < max_sampling_attempts && chosen.size() < count; ++attempt)
    {
        const auto& member = entries[random_below(entries.size())];
        const bool is_chosen = std::any_of(chosen.begin(), chosen.end(),
                                           [&](const member_update& other) {
                                               return other.name == member.name;
                                           });
        if (!is_chosen && member.name != except && is_probe_target(member))
        {
            chosen.push_back(member);
        }
    }
    return chosen;
}

std::vector<member_update>
member_picker::sample_own_domain(const member_table& table, std::size_t count)
{
    std::vector<const member_update*> own_members;
    for (const auto& member : table.entries())
    {
        if (member.failure_domain == own_domain_ && is_probe_target(member))
        {
            own_members.push_back(&member);
        }
    }
    std::vector<const member_update*> sampled;
    std::sample(own_members.begin(), own_members.end(),
                std::back_inserter(sampled), count, random_);
    std::vector<member_update> chosen;
    chosen.reserve(sampled.size());
    for (const auto* member : sampled)
    {
        chosen.push_back(*member);
    }
    return chosen;
}

} // namespace hyssopdeal::coordination
