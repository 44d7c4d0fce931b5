/// @file
/// Whom an entry follows, and the messages between both.

#include <hyssopdeal/coordination/learner.hpp>

#include <algorithm>

#include <xxhash.h>

#include "learning_types.h"
#include "protocol/thrift_bytes.hpp"

namespace hyssopdeal::coordination
{

using state::log_index;

// [source_choice] ------------------------------------------------------------

namespace
{

struct ranked_source
{
    std::uint64_t rank = 0;
    std::string name;

    auto operator<=>(const ranked_source&) const = default;
};

ranked_source ranked(std::string_view name, std::string_view salt)
{
    const auto seed = XXH3_64bits(salt.data(), salt.size());
    return {XXH3_64bits_withSeed(name.data(), name.size(), seed),
            std::string{name}};
}

std::vector<std::string> names_of(std::vector<ranked_source> sources)
{
    std::sort(sources.begin(), sources.end());
    std::vector<std::string> names;
    names.reserve(sources.size());
    for (auto& item : sources)
    {
        names.push_back(std::move(item.name));
    }
    return names;
}

} // namespace

std::vector<std::string>
choose_sources(const learning_settings& settings, std::string_view self,
               std::string_view failure_domain,
               const std::vector<source_candidate>& usable)
{
    std::vector<ranked_source> replicas;
    std::vector<ranked_source> near;
    near.push_back(ranked(self, failure_domain));
    for (const auto& item : usable)
    {
        if (item.is_replica)
        {
            replicas.push_back(ranked(item.name, self));
        }
        else if (item.failure_domain == failure_domain && item.name != self)
        {
            near.push_back(ranked(item.name, failure_domain));
        }
    }
    auto direct = names_of(std::move(replicas));
    const std::size_t members = near.size();
    auto relays = names_of(std::move(near));
    constexpr std::size_t least_relays = 2;
    const auto wanted =
        std::max(least_relays, (members + settings.followers_of_relay - 1) /
                                   settings.followers_of_relay);
    relays.resize(std::min(relays.size(), wanted));
    const bool is_relay =
        std::find(relays.begin(), relays.end(), self) != relays.end();
    if (members > settings.direct_members && !is_relay)
    {
        // Each relay is the first one of an equal part of the followers.
        const auto turn = ranked(self, "turn").rank % relays.size();
        std::rotate(relays.begin(),
                    relays.begin() + static_cast<std::ptrdiff_t>(turn),
                    relays.end());
        relays.insert(relays.end(), direct.begin(), direct.end());
        return relays;
    }
    // Cut off from the replicas, a neighbour may know more.
    for (auto& name : relays)
    {
        if (name != self)
        {
            direct.push_back(std::move(name));
        }
    }
    return direct;
}

// [encoding] -----------------------------------------------------------------

std::string encode(const follow_request& value)
{
    gen::follow_request wire;
    wire.name = value.name;
    wire.applied = static_cast<std::int64_t>(value.applied);
    return protocol::to_bytes(wire);
}

transport::result<follow_request> decode_follow_request(std::string_view bytes)
{
    const auto wire = protocol::from_bytes<gen::follow_request>(bytes);
    if (!wire)
    {
        return tl::make_unexpected(wire.error());
    }
    return follow_request{wire->name, static_cast<log_index>(wire->applied)};
}

std::string encode(const follow_update& value)
{
    gen::follow_update wire;
    wire.source_applied = static_cast<std::int64_t>(value.source_applied);
    if (value.delta)
    {
        wire.delta = state::encode(*value.delta);
    }
    return protocol::to_bytes(wire);
}

transport::result<follow_update> decode_follow_update(std::string_view bytes)
{
    const auto wire = protocol::from_bytes<gen::follow_update>(bytes);
    if (!wire)
    {
        return tl::make_unexpected(wire.error());
    }
    follow_update update{static_cast<log_index>(wire->source_applied), {}};
    if (!wire->delta.empty())
    {
        auto delta = state::decode_delta(wire->delta);
        if (!delta)
        {
            return tl::make_unexpected(delta.error());
        }
        update.delta = std::move(*delta);
    }
    return update;
}

} // namespace hyssopdeal::coordination
