#include <hyssopdeal/protocol/gossip.hpp>

#include <algorithm>

#include <membership_types.h>

#include "thrift_bytes.hpp"

namespace hyssopdeal::protocol
{

using transport::fail;
using transport::reason;

namespace
{

constexpr std::int32_t wire_version = 1;
constexpr std::size_t max_updates_per_message = 64;
constexpr std::size_t max_name_bytes = 128;

gen::wire_member to_wire(const member_update& update)
{
    gen::wire_member wire;
    wire.__set_name(update.name);
    wire.__set_kind(static_cast<std::int32_t>(update.kind));
    wire.__set_state(static_cast<std::int32_t>(update.state));
    wire.__set_incarnation(static_cast<std::int64_t>(update.incarnation));
    if (!update.gossip_address.empty())
    {
        wire.__set_gossip_address(update.gossip_address);
    }
    if (!update.peer_address.empty())
    {
        wire.__set_peer_address(update.peer_address);
    }
    if (!update.failure_domain.empty())
    {
        wire.__set_failure_domain(update.failure_domain);
    }
    return wire;
}

gen::wire_gossip to_wire(const gossip_message& message)
{
    gen::wire_gossip wire;
    wire.__set_version(wire_version);
    wire.__set_kind(static_cast<std::int32_t>(message.kind));
    wire.__set_sender(message.from);
    wire.__set_sequence(static_cast<std::int64_t>(message.sequence));
    wire.__set_applied_index(static_cast<std::int64_t>(message.applied_index));
    wire.__set_highest_index(static_cast<std::int64_t>(message.highest_index));
    wire.__set_table_digest(static_cast<std::int64_t>(message.table_digest));
    if (!message.target.empty())
    {
        wire.__set_target(message.target);
        wire.__set_target_address(message.target_address);
    }
    for (const auto& update : message.updates)
    {
        wire.updates.push_back(to_wire(update));
    }
    wire.__isset.updates = !wire.updates.empty();
    for (const auto& bucket : message.buckets)
    {
        gen::wire_bucket_digest item;
        item.__set_bucket(static_cast<std::int32_t>(bucket.bucket));
        item.__set_digest(static_cast<std::int64_t>(bucket.digest));
        wire.buckets.push_back(item);
    }
    wire.__isset.buckets = !wire.buckets.empty();
    return wire;
}

bool is_valid(const gen::wire_member& wire)
{
    return !wire.name.empty() && wire.name.size() <= max_name_bytes &&
           wire.gossip_address.size() <= max_name_bytes &&
           wire.peer_address.size() <= max_name_bytes &&
           wire.failure_domain.size() <= max_name_bytes && wire.kind >= 0 &&
           wire.kind <= static_cast<int>(member_kind::backend_server) &&
           wire.state >= 0 &&
           wire.state <= static_cast<int>(member_state::dead) &&
           wire.incarnation >= 0;
}

bool is_valid(const gen::wire_gossip& wire)
{
    return wire.version == wire_version && wire.kind >= 0 &&
           wire.kind <= static_cast<int>(gossip_kind::entries) &&
           !wire.sender.empty() && wire.sender.size() <= max_name_bytes &&
           wire.target.size() <= max_name_bytes &&
           wire.target_address.size() <= max_name_bytes &&
           wire.updates.size() <= max_updates_per_message &&
           std::all_of(wire.updates.begin(), wire.updates.end(),
                       [](const auto& item) { return is_valid(item); });
}

member_update from_wire(const gen::wire_member& wire)
{
    member_update update;
    update.name = wire.name;
    update.gossip_address = wire.gossip_address;
    update.peer_address = wire.peer_address;
    update.failure_domain = wire.failure_domain;
    update.kind = static_cast<member_kind>(wire.kind);
    update.state = static_cast<member_state>(wire.state);
    update.incarnation = static_cast<std::uint64_t>(wire.incarnation);
    return update;
}

gossip_message from_wire(const gen::wire_gossip& wire)
{
    gossip_message message;
    message.kind = static_cast<gossip_kind>(wire.kind);
    message.from = wire.sender;
    message.sequence = static_cast<std::uint64_t>(wire.sequence);
    message.applied_index = static_cast<std::uint64_t>(wire.applied_index);
    message.highest_index = static_cast<std::uint64_t>(wire.highest_index);
    message.table_digest = static_cast<std::uint64_t>(wire.table_digest);
    message.target = wire.target;
    message.target_address = wire.target_address;
    for (const auto& item : wire.updates)
    {
        message.updates.push_back(from_wire(item));
    }
    for (const auto& item : wire.buckets)
    {
        message.buckets.push_back({static_cast<std::uint32_t>(item.bucket),
                                   static_cast<std::uint64_t>(item.digest)});
    }
    return message;
}

} // namespace

std::string encode_gossip(const gossip_message& message)
{
    auto wire = to_wire(message);
    auto bytes = to_bytes(wire);
    while (bytes.size() > max_gossip_bytes && !wire.updates.empty())
    {
        const auto keep = wire.updates.size() * max_gossip_bytes / bytes.size();
        wire.updates.resize(std::min(keep, wire.updates.size() - 1));
        wire.__isset.updates = !wire.updates.empty();
        bytes = to_bytes(wire);
    }
    return bytes;
}

transport::result<gossip_message> decode_gossip(std::string_view datagram)
{
    if (datagram.size() > max_gossip_bytes)
    {
        return fail(reason::too_large, "The datagram is too large.");
    }
    const auto wire = from_bytes<gen::wire_gossip>(datagram);
    if (!wire)
    {
        return fail(reason::bad_request, wire.error().text);
    }
    if (!is_valid(*wire))
    {
        return fail(reason::bad_request, "A gossip field is out of range.");
    }
    return from_wire(*wire);
}

} // namespace hyssopdeal::protocol
