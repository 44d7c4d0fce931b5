#ifndef HYSSOPDEAL_PROTOCOL_GOSSIP_HPP
#define HYSSOPDEAL_PROTOCOL_GOSSIP_HPP

/// @file
/// Datagrams of the membership protocol and their codec.
///
/// Index: [member_update] [gossip_message] [codec]

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::protocol
{

// [member_update] ------------------------------------------------------------

/// What a name in the member table stands for.
enum class member_kind : std::uint8_t
{
    entry,         ///< Entry instance; probed.
    control,       ///< Entry instance with a control replica; probed.
    backend_server ///< Never probed here; only its leaving and death spread.
};

/// State of a member. Within one incarnation only a later state of this list
/// replaces an earlier one.
enum class member_state : std::uint8_t
{
    alive,
    suspect, ///< A probe failed; may still refute it.
    leaving, ///< Works, but must get no new work.
    dead
};

/// One entry of the member table as it spreads.
struct member_update
{
    std::string name;           ///< Unique instance name.
    std::string gossip_address; ///< `IP:port` over UDP; empty if unknown.
    std::string peer_address;   ///< `IP:port` over TCP; empty if unknown.
    std::string failure_domain; ///< Where it runs; empty if unknown.
    member_kind kind = member_kind::entry;
    member_state state = member_state::alive;
    std::uint64_t incarnation = 0; ///< Raised only by the member itself, or by
                                   ///< the platform for a backend server.

    bool operator==(const member_update&) const = default;
};

// [gossip_message] -----------------------------------------------------------

/// What a datagram asks for or answers.
enum class gossip_kind : std::uint8_t
{
    ping,         ///< Answer with ack.
    ack,          ///< The answer to a ping, direct or through a helper.
    ping_request, ///< Ping `target` for the sender.
    push,         ///< Urgent updates; no answer.
    digest,       ///< Bucket digests; answered by entries that differ.
    entries       ///< Table entries of buckets that differ.
};

/// Digest of one bucket of the member table.
struct bucket_digest
{
    std::uint32_t bucket = 0; ///< Bucket number.
    std::uint64_t digest = 0; ///< Order-independent hash of its entries.

    bool operator==(const bucket_digest&) const = default;
};

/// One datagram.
struct gossip_message
{
    gossip_kind kind = gossip_kind::ping;
    std::string from;                   ///< Sender's name.
    std::uint64_t sequence = 0;         ///< Ties an ack to its ping.
    std::uint64_t applied_index = 0;    ///< Log index applied by the sender.
    std::uint64_t highest_index = 0;    ///< Highest applied index it heard of.
    std::uint64_t table_digest = 0;     ///< Of the sender's whole table.
    std::string target;                 ///< For ping_request.
    std::string target_address;         ///< For ping_request.
    std::vector<member_update> updates; ///< Piggybacked or asked for.
    std::vector<bucket_digest> buckets; ///< For digest.

    bool operator==(const gossip_message&) const = default;
};

// [codec] --------------------------------------------------------------------

/// Largest encoded message; the socket adds its HMAC within one datagram.
constexpr std::size_t max_gossip_bytes = 1'360;

/// Encodes a message; updates that do not fit are left out from the end.
///
/// @return At most max_gossip_bytes bytes.
[[nodiscard]] std::string encode_gossip(const gossip_message& message);

/// Decodes a datagram.
///
/// @return The message, or `bad_request` when a field is missing, unknown or
///     out of range.
[[nodiscard]] transport::result<gossip_message>
decode_gossip(std::string_view datagram);

} // namespace hyssopdeal::protocol

#endif
