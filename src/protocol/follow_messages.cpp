/// @file
/// Messages between entries and replicas, as MessagePack.

#include <hyssopdeal/protocol/follow_messages.hpp>

#include <algorithm>
#include <new>

#include <nlohmann/json.hpp>
#include <xxhash.h>
#include <zlib.h>

#include "protocol/message_pack.hpp"

namespace hyssopdeal::protocol
{

using nlohmann::json;

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(usage_count, window, counts)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(sent_load, running, waiting_tokens)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(version_order, target, started_ms, running,
                                   target_share, target_most, retired)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(version_counts, started_ms, sent,
                                   target_sent, others_ended, others_bad,
                                   target_ended, target_bad)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(entry_report, entry, incarnation,
                                   failure_domain, document_version,
                                   wants_document, listing_digest,
                                   shares_held_ms, shares, demand, usage, load,
                                   moves, evidence, leaving)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(listed_server, id, born, service, address,
                                   failure_domain, version, slots, state,
                                   reclaimable, cold_remaining_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(server_listing, digest, servers)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(token_request, organisation, tokens)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(token_answer, granted, wait_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(join_message, id, address, operators,
                                   failure_domain)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(join_answer, state, leader, next_id,
                                   replicas)

namespace
{

constexpr std::size_t length_bytes = 8;
constexpr unsigned bits_in_byte = 8;
// More than operators may send.
constexpr std::uint64_t most_unpacked_bytes = 33'554'432;

template <class Value>
transport::result<Value> unpack(std::string_view bytes)
{
    try
    {
        return json::from_msgpack(bytes.begin(), bytes.end()).get<Value>();
    }
    catch (const json::exception& error)
    {
        return transport::fail(transport::reason::corrupt, error.what());
    }
}

} // namespace

// Optional members are left out when they are empty.
void to_json(json& out, const entry_orders& value)
{
    out = json{{"leads", value.leads},
               {"document_version", value.document_version},
               {"listing_age_ms", value.listing_age_ms},
               {"true_time_ms", value.true_time_ms},
               {"replicas", value.replicas},
               {"shares", value.shares},
               {"others_load", value.others_load},
               {"moves", value.moves},
               {"leaving", value.leaving}};
    if (value.packed_document)
    {
        out["packed_document"] = *value.packed_document;
    }
    if (value.listing)
    {
        out["listing"] = *value.listing;
    }
}

void from_json(const json& from, entry_orders& value)
{
    from.at("leads").get_to(value.leads);
    from.at("document_version").get_to(value.document_version);
    from.at("listing_age_ms").get_to(value.listing_age_ms);
    from.at("true_time_ms").get_to(value.true_time_ms);
    from.at("replicas").get_to(value.replicas);
    from.at("shares").get_to(value.shares);
    from.at("others_load").get_to(value.others_load);
    from.at("moves").get_to(value.moves);
    from.at("leaving").get_to(value.leaving);
    if (from.contains("packed_document"))
    {
        value.packed_document = from.at("packed_document").get<std::string>();
    }
    if (from.contains("listing"))
    {
        value.listing = from.at("listing").get<server_listing>();
    }
}

std::string encode(const entry_report& value)
{
    return pack_message(value);
}

std::string encode(const entry_orders& value)
{
    return pack_message(value);
}

std::string encode(const token_request& value)
{
    return pack_message(value);
}

std::string encode(const token_answer& value)
{
    return pack_message(value);
}

std::string encode(const join_message& value)
{
    return pack_message(value);
}

std::string encode(const join_answer& value)
{
    return pack_message(value);
}

transport::result<entry_report> decode_entry_report(std::string_view bytes)
{
    return unpack<entry_report>(bytes);
}

transport::result<entry_orders> decode_entry_orders(std::string_view bytes)
{
    return unpack<entry_orders>(bytes);
}

transport::result<token_request> decode_token_request(std::string_view bytes)
{
    return unpack<token_request>(bytes);
}

transport::result<token_answer> decode_token_answer(std::string_view bytes)
{
    return unpack<token_answer>(bytes);
}

transport::result<join_message> decode_join_message(std::string_view bytes)
{
    return unpack<join_message>(bytes);
}

transport::result<join_answer> decode_join_answer(std::string_view bytes)
{
    return unpack<join_answer>(bytes);
}

// A text's length, eight bytes with the lowest first, and zlib's stream.
std::string pack_text(std::string_view text)
{
    constexpr int fastest = 1;
    auto length = ::compressBound(static_cast<uLong>(text.size()));
    std::string packed(length_bytes + length, '\0');
    for (std::size_t at = 0; at < length_bytes; ++at)
    {
        packed[at] = static_cast<char>(text.size() >> (at * bits_in_byte));
    }
    // Fails only without memory, or with less room than the bound.
    const auto done =
        ::compress2(reinterpret_cast<Bytef*>(packed.data() + length_bytes),
                    &length, reinterpret_cast<const Bytef*>(text.data()),
                    static_cast<uLong>(text.size()), fastest);
    if (done != Z_OK)
    {
        throw std::bad_alloc{};
    }
    packed.resize(length_bytes + length);
    return packed;
}

transport::result<std::string> unpack_text(std::string_view packed)
{
    const auto refused = [] {
        return transport::fail(transport::reason::corrupt,
                               "A packed text is not understood.");
    };
    if (packed.size() < length_bytes)
    {
        return refused();
    }
    std::uint64_t size = 0;
    for (std::size_t at = 0; at < length_bytes; ++at)
    {
        size |= std::uint64_t{static_cast<unsigned char>(packed[at])}
                << (at * bits_in_byte);
    }
    if (size > most_unpacked_bytes)
    {
        return refused();
    }
    std::string text(size, '\0');
    auto length = static_cast<uLongf>(size);
    packed.remove_prefix(length_bytes);
    const auto done =
        ::uncompress(reinterpret_cast<Bytef*>(text.data()), &length,
                     reinterpret_cast<const Bytef*>(packed.data()),
                     static_cast<uLong>(packed.size()));
    if (done != Z_OK || length != size)
    {
        return refused();
    }
    return text;
}

std::uint64_t digest_of(const std::vector<listed_server>& servers)
{
    auto sorted = servers;
    std::sort(
        sorted.begin(), sorted.end(),
        [](const auto& left, const auto& right) { return left.id < right.id; });
    for (auto& server : sorted)
    {
        server.cold_remaining_ms = server.cold_remaining_ms > 0 ? 1 : 0;
    }
    const auto bytes = pack_message(sorted);
    return XXH3_64bits(bytes.data(), bytes.size());
}

} // namespace hyssopdeal::protocol
