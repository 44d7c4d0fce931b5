/// @file
/// Messages between entries and replicas, as MessagePack.

#include <hyssopdeal/protocol/follow_messages.hpp>

#include <algorithm>
#include <new>

#include <xxhash.h>
#include <zlib.h>

#include "protocol/message_pack.hpp"

namespace hyssopdeal::protocol
{

using json = exact_json;

HYSSOPDEAL_EXACT_JSON(usage_count, window, counts)

// Numbers without names: most of what entries and replicas tell is loads.
void to_json(json& out, const sent_load& value)
{
    out = json::array({value.running, value.waiting_tokens, value.writing});
}

void from_json(const json& from, sent_load& value)
{
    from.at(0).get_to(value.running);
    from.at(1).get_to(value.waiting_tokens);
    value.writing = from.size() > 2 ? from.at(2).get<std::uint64_t>() : 0;
}

service_work& service_work::operator+=(const service_work& other)
{
    requests += other.requests;
    prefill_ms += other.prefill_ms;
    prefill_ms2 += other.prefill_ms2;
    target_ms += other.target_ms;
    ended += other.ended;
    late += other.late;
    return *this;
}

service_work& service_work::operator-=(const service_work& other)
{
    requests -= other.requests;
    prefill_ms -= other.prefill_ms;
    prefill_ms2 -= other.prefill_ms2;
    target_ms -= other.target_ms;
    ended -= other.ended;
    late -= other.late;
    return *this;
}

void to_json(json& out, const service_work& value)
{
    out = json::array({value.requests, value.prefill_ms, value.prefill_ms2,
                       value.target_ms, value.ended, value.late});
}

void from_json(const json& from, service_work& value)
{
    from.at(0).get_to(value.requests);
    from.at(1).get_to(value.prefill_ms);
    from.at(2).get_to(value.prefill_ms2);
    from.at(3).get_to(value.target_ms);
    from.at(4).get_to(value.ended);
    from.at(5).get_to(value.late);
}

HYSSOPDEAL_EXACT_JSON(version_order, target, started_ms, running, target_share,
                      target_most, retired)
HYSSOPDEAL_EXACT_JSON(version_counts, started_ms, sent, target_sent,
                      others_ended, others_bad, target_ended, target_bad)
HYSSOPDEAL_EXACT_JSON(broken_prompt, number, server, born, sent_age_ms,
                      broken_age_ms, parts)
HYSSOPDEAL_EXACT_JSON(crash_report, broken, answered, disproved)
HYSSOPDEAL_EXACT_JSON(prompt_quarantine, parts, remaining_ms)
HYSSOPDEAL_EXACT_JSON(crash_orders, suspects, quarantine)
HYSSOPDEAL_EXACT_JSON(stated_rate_limit, born, per_s, age_ms)
HYSSOPDEAL_EXACT_JSON(rate_limit_report, stated, wanted)
HYSSOPDEAL_EXACT_JSON(rate_limit_orders, stated, permits, permits_valid_ms)
HYSSOPDEAL_EXACT_JSON(cold_statement, born, remaining_ms, age_ms)
HYSSOPDEAL_EXACT_JSON(cold_report, stated, wanted)
HYSSOPDEAL_EXACT_JSON(cold_orders, stated, permits, permits_valid_ms)
HYSSOPDEAL_EXACT_JSON(brittle_service, rejections_per_s, age_ms)
HYSSOPDEAL_EXACT_JSON(relay_report, address, partitioned, helpers)
HYSSOPDEAL_EXACT_JSON_WITH_DEFAULT(organisation_reserve, held, wanted, returned)
HYSSOPDEAL_EXACT_JSON_WITH_DEFAULT(reserve_report, number, by_organisation)
HYSSOPDEAL_EXACT_JSON_WITH_DEFAULT(reserve_orders, number, tokens, exhausted)
HYSSOPDEAL_EXACT_JSON_WITH_DEFAULT(rank_pressure, asked, late, turn)
HYSSOPDEAL_EXACT_JSON(listed_server, id, born, service, address, failure_domain,
                      version, slots, state, reclaimable, cold_remaining_ms,
                      leaves_ms)
HYSSOPDEAL_EXACT_JSON(server_listing, digest, servers, read_ms)
HYSSOPDEAL_EXACT_JSON(token_request, organisation, tokens)
HYSSOPDEAL_EXACT_JSON(token_answer, granted, wait_ms)
HYSSOPDEAL_EXACT_JSON(join_message, id, address, operators, failure_domain)
HYSSOPDEAL_EXACT_JSON(join_answer, state, leader, next_id, replicas)

namespace
{

/// Reads a member that messages leave out when it is empty, and that earlier
/// versions do not have.
template <class Value>
void read_if_present(const json& from, const char* name, Value& value)
{
    if (from.contains(name))
    {
        from.at(name).get_to(value);
    }
}

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

namespace
{

json to_binary(const std::string& bytes)
{
    return json::binary({bytes.begin(), bytes.end()});
}

} // namespace

// Optional members are left out when they are empty.
void to_json(json& out, const entry_report& value)
{
    out = json{{"entry", value.entry},
               {"incarnation", value.incarnation},
               {"failure_domain", value.failure_domain},
               {"document_version", value.document_version},
               {"wants_document", value.wants_document},
               {"listing_digest", value.listing_digest},
               {"shares_held_ms", value.shares_held_ms},
               {"shares", value.shares},
               {"demand", value.demand},
               {"usage", value.usage},
               {"load", value.load},
               {"moves", value.moves},
               {"evidence", value.evidence},
               {"leaving", value.leaving}};
    const auto& crashes = value.crashes;
    if (!crashes.broken.empty() || !crashes.answered.empty() ||
        !crashes.disproved.empty())
    {
        out["crashes"] = crashes;
    }
    const auto& limits = value.rate_limits;
    if (!limits.stated.empty() || !limits.wanted.empty())
    {
        out["rate_limits"] = limits;
    }
    if (!value.cold.stated.empty() || !value.cold.wanted.empty())
    {
        out["cold"] = value.cold;
    }
    if (!value.brittle.empty())
    {
        out["brittle"] = value.brittle;
    }
    if (!value.relay.address.empty() || !value.relay.helpers.empty())
    {
        out["relay"] = value.relay;
    }
    if (value.evacuation_revision > 0)
    {
        out["evacuation_revision"] = value.evacuation_revision;
    }
    if (value.reserves.number != 0)
    {
        out["reserves"] = value.reserves;
    }
    if (!value.pressure.empty())
    {
        out["pressure"] = value.pressure;
    }
    if (!value.work.empty())
    {
        out["work"] = value.work;
    }
}

void from_json(const json& from, entry_report& value)
{
    from.at("entry").get_to(value.entry);
    from.at("incarnation").get_to(value.incarnation);
    from.at("failure_domain").get_to(value.failure_domain);
    from.at("document_version").get_to(value.document_version);
    from.at("wants_document").get_to(value.wants_document);
    from.at("listing_digest").get_to(value.listing_digest);
    from.at("shares_held_ms").get_to(value.shares_held_ms);
    from.at("shares").get_to(value.shares);
    from.at("demand").get_to(value.demand);
    from.at("usage").get_to(value.usage);
    from.at("load").get_to(value.load);
    from.at("moves").get_to(value.moves);
    from.at("evidence").get_to(value.evidence);
    from.at("leaving").get_to(value.leaving);
    read_if_present(from, "crashes", value.crashes);
    read_if_present(from, "rate_limits", value.rate_limits);
    read_if_present(from, "cold", value.cold);
    read_if_present(from, "brittle", value.brittle);
    read_if_present(from, "relay", value.relay);
    value.evacuation_revision =
        from.value("evacuation_revision", std::uint64_t{0});
    read_if_present(from, "reserves", value.reserves);
    read_if_present(from, "pressure", value.pressure);
    read_if_present(from, "work", value.work);
}

void to_json(json& out, const entry_orders& value)
{
    out = json{{"leads", value.leads},
               {"leader_term", value.leader_term},
               {"document_version", value.document_version},
               {"listing_age_ms", value.listing_age_ms},
               {"true_time_ms", value.true_time_ms},
               {"replicas", value.replicas},
               {"shares", value.shares},
               {"own_load", value.own_load},
               {"entries", value.entries},
               {"next_report_ms", value.next_report_ms},
               {"moves", value.moves},
               {"leaving", value.leaving}};
    if (!value.crashes.suspects.empty() || !value.crashes.quarantine.empty())
    {
        out["crashes"] = value.crashes;
    }
    if (!value.rate_limits.stated.empty())
    {
        out["rate_limits"] = value.rate_limits;
    }
    if (!value.cold.stated.empty() || !value.cold.permits.empty())
    {
        out["cold"] = value.cold;
    }
    if (!value.brittle.empty())
    {
        out["brittle"] = value.brittle;
        out["entry_number"] = value.entry_number;
    }
    if (!value.helpers.empty())
    {
        out["helpers"] = value.helpers;
    }
    if (value.evacuation_revision > 0)
    {
        out["evacuation_revision"] = value.evacuation_revision;
        out["evacuated"] = value.evacuated;
    }
    if (value.reserves.number != 0)
    {
        out["reserves"] = value.reserves;
    }
    if (!value.turns.empty())
    {
        out["turns"] = value.turns;
    }
    if (value.packed_document)
    {
        out["packed_document"] = *value.packed_document;
    }
    if (!value.packed_listing.empty())
    {
        out["listing"] = to_binary(value.packed_listing);
    }
    if (!value.packed_load.empty())
    {
        out["load"] = to_binary(value.packed_load);
    }
}

void from_json(const json& from, entry_orders& value)
{
    from.at("leads").get_to(value.leads);
    // Missing in answers of earlier versions.
    value.leader_term = from.value("leader_term", std::uint64_t{0});
    from.at("document_version").get_to(value.document_version);
    from.at("listing_age_ms").get_to(value.listing_age_ms);
    from.at("true_time_ms").get_to(value.true_time_ms);
    from.at("replicas").get_to(value.replicas);
    from.at("shares").get_to(value.shares);
    from.at("own_load").get_to(value.own_load);
    from.at("entries").get_to(value.entries);
    from.at("next_report_ms").get_to(value.next_report_ms);
    from.at("moves").get_to(value.moves);
    from.at("leaving").get_to(value.leaving);
    read_if_present(from, "crashes", value.crashes);
    read_if_present(from, "rate_limits", value.rate_limits);
    read_if_present(from, "cold", value.cold);
    if (from.contains("brittle"))
    {
        from.at("brittle").get_to(value.brittle);
        from.at("entry_number").get_to(value.entry_number);
    }
    read_if_present(from, "helpers", value.helpers);
    if (from.contains("evacuated"))
    {
        from.at("evacuation_revision").get_to(value.evacuation_revision);
        from.at("evacuated").get_to(value.evacuated);
    }
    read_if_present(from, "reserves", value.reserves);
    read_if_present(from, "turns", value.turns);
    if (from.contains("packed_document"))
    {
        value.packed_document = from.at("packed_document").get<std::string>();
    }
    if (from.contains("listing"))
    {
        value.listing = json::from_msgpack(from.at("listing").get_binary())
                            .get<server_listing>();
    }
    if (from.contains("load"))
    {
        value.others_load = json::from_msgpack(from.at("load").get_binary())
                                .get<std::map<std::string, sent_load>>();
        subtract(value.others_load, value.own_load);
    }
}

void subtract(sent_loads& from, const sent_loads& sent)
{
    for (const auto& [server, load] : sent)
    {
        const auto found = from.find(server);
        if (found == from.end())
        {
            continue;
        }
        auto& sum = found->second;
        sum.running -= std::min(sum.running, load.running);
        sum.waiting_tokens -= std::min(sum.waiting_tokens, load.waiting_tokens);
        sum.writing -= std::min(sum.writing, load.writing);
        if (sum.running == 0 && sum.waiting_tokens == 0)
        {
            from.erase(found);
        }
    }
}

std::string pack_load(const std::map<std::string, sent_load>& loads)
{
    return pack_message(loads);
}

std::string pack_listing(const server_listing& listing)
{
    return pack_message(listing);
}

std::string encode(const entry_report& value)
{
    return pack_message(value);
}

std::string encode(const entry_orders& value)
{
    return pack_message(value);
}

std::string encode(const listing_answer& value)
{
    json out{{"age_ms", value.age_ms}};
    if (value.listing)
    {
        out["listing"] = *value.listing;
    }
    return pack_message(out);
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

void from_json(const json& from, listing_answer& value)
{
    from.at("age_ms").get_to(value.age_ms);
    if (from.contains("listing"))
    {
        value.listing = from.at("listing").get<server_listing>();
    }
}

transport::result<listing_answer> decode_listing_answer(std::string_view bytes)
{
    return unpack<listing_answer>(bytes);
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
        server.leaves_ms = server.leaves_ms < 0 ? -1 : 0;
    }
    const auto bytes = pack_message(sorted);
    return XXH3_64bits(bytes.data(), bytes.size());
}

} // namespace hyssopdeal::protocol
