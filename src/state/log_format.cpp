/// @file
/// Bytes of the files in a data folder.

#include <hyssopdeal/state/log_format.hpp>

#include <charconv>
#include <cstring>
#include <type_traits>

#include <fmt/format.h>
#include <zlib.h>

#include <hyssopdeal/state/commands.hpp>

namespace hyssopdeal::state::log_format
{

namespace
{

using transport::fail;
using transport::reason;

constexpr std::size_t crc_bytes = 4;
constexpr std::size_t record_head_bytes = crc_bytes + 4 + 8 + 8 + 8 + 1;
constexpr std::size_t max_record_bytes = 67'108'864;

// [numbers] ------------------------------------------------------------------

/// Appends a number with its lowest byte first.
template <class Number>
void put(std::string& bytes, Number value)
{
    for (std::size_t at = 0; at < sizeof(Number); ++at)
    {
        bytes.push_back(static_cast<char>(value >> (8 * at)));
    }
}

/// Takes a number from the front; the caller has checked the size.
template <class Number>
Number take(std::string_view& bytes)
{
    Number value = 0;
    for (std::size_t at = 0; at < sizeof(Number); ++at)
    {
        const auto byte = static_cast<unsigned char>(bytes[at]);
        value |= static_cast<Number>(static_cast<Number>(byte) << (8 * at));
    }
    bytes.remove_prefix(sizeof(Number));
    return value;
}

std::uint32_t checksum(std::string_view bytes)
{
    return static_cast<std::uint32_t>(
        crc32_z(0, reinterpret_cast<const Bytef*>(bytes.data()), bytes.size()));
}

std::string with_checksum(const std::string& body)
{
    std::string bytes;
    bytes.reserve(crc_bytes + body.size());
    put(bytes, checksum(body));
    bytes += body;
    return bytes;
}

/// @return The bytes behind a checksum that matches them.
std::optional<std::string_view> checked(std::string_view bytes)
{
    if (bytes.size() < crc_bytes)
    {
        return std::nullopt;
    }
    const auto expected = take<std::uint32_t>(bytes);
    if (checksum(bytes) != expected)
    {
        return std::nullopt;
    }
    return bytes;
}

// [records] ------------------------------------------------------------------

struct decoded_record
{
    log_record record;
    log_index durable = 0;
    std::size_t size = 0;
};

std::optional<decoded_record> decode_record(std::string_view bytes)
{
    if (bytes.size() < record_head_bytes)
    {
        return std::nullopt;
    }
    std::string_view head = bytes;
    const auto expected = take<std::uint32_t>(head);
    const std::string_view covered = head;
    const auto length = take<std::uint32_t>(head);
    if (length > max_record_bytes || length > bytes.size() - record_head_bytes)
    {
        return std::nullopt;
    }
    const std::size_t size = record_head_bytes + length;
    if (checksum(covered.substr(0, size - crc_bytes)) != expected)
    {
        return std::nullopt;
    }
    decoded_record decoded;
    decoded.record.term = take<std::uint64_t>(head);
    decoded.record.index = take<std::uint64_t>(head);
    decoded.durable = take<std::uint64_t>(head);
    const auto kind = take<std::uint8_t>(head);
    if (kind > static_cast<std::uint8_t>(record_kind::replicas))
    {
        return std::nullopt;
    }
    decoded.record.kind = static_cast<record_kind>(kind);
    decoded.record.payload = std::string{head.substr(0, length)};
    decoded.size = size;
    return decoded;
}

/// Whether a whole record behind a broken one says that the broken one had
/// been synced.
bool synced_before_later(std::string_view rest, log_index broken)
{
    for (std::size_t at = 1; at + record_head_bytes <= rest.size(); ++at)
    {
        const auto later = decode_record(rest.substr(at));
        if (later && later->record.index > broken && later->durable >= broken)
        {
            return true;
        }
    }
    return false;
}

} // namespace

// [names] --------------------------------------------------------------------

std::string segment_name(log_index first)
{
    return fmt::format("log-{:020}", first);
}

std::string snapshot_name(log_index index)
{
    return fmt::format("snapshot-{:020}", index);
}

std::optional<log_index> index_in(std::string_view name,
                                  std::string_view prefix)
{
    if (!name.starts_with(prefix))
    {
        return std::nullopt;
    }
    name.remove_prefix(prefix.size());
    log_index index = 0;
    const auto parsed =
        std::from_chars(name.data(), name.data() + name.size(), index);
    if (parsed.ec != std::errc{} || parsed.ptr != name.data() + name.size())
    {
        return std::nullopt;
    }
    return index;
}

// [segments] -----------------------------------------------------------------

std::string encode_record(const log_record& record, log_index durable)
{
    std::string body;
    body.reserve(record_head_bytes + record.payload.size());
    put(body, static_cast<std::uint32_t>(record.payload.size()));
    put(body, record.term);
    put(body, record.index);
    put(body, durable);
    put(body, static_cast<std::uint8_t>(record.kind));
    body += record.payload;
    return with_checksum(body);
}

transport::result<segment_content> decode_segment(std::string_view name,
                                                  std::string_view bytes,
                                                  log_index first,
                                                  segment_position position)
{
    segment_content content;
    log_index expected = first;
    std::string_view rest = bytes;
    while (!rest.empty())
    {
        auto decoded = decode_record(rest);
        const std::uint64_t offset = bytes.size() - rest.size();
        if (decoded && decoded->record.index != expected)
        {
            return fail(reason::corrupt,
                        fmt::format("{} has record {} in place of {} at "
                                    "offset {}.",
                                    name, decoded->record.index, expected,
                                    offset));
        }
        if (!decoded)
        {
            if (position == segment_position::inner ||
                synced_before_later(rest, expected))
            {
                return fail(reason::corrupt,
                            fmt::format("{} is damaged at offset {}, record "
                                        "{}.",
                                        name, offset, expected));
            }
            break;
        }
        content.records.push_back({std::move(decoded->record), offset});
        rest.remove_prefix(decoded->size);
        ++expected;
    }
    content.torn_bytes = rest.size();
    content.good_bytes = bytes.size() - rest.size();
    return content;
}

// [hard_state] ---------------------------------------------------------------

std::string encode_hard_state(const hard_state& value)
{
    std::string body;
    put(body, value.id);
    put(body, value.term);
    put(body, value.voted_for);
    return with_checksum(body);
}

transport::result<hard_state> decode_hard_state(std::string_view bytes)
{
    auto body = checked(bytes);
    if (!body || body->size() != 3 * sizeof(std::uint64_t))
    {
        return fail(reason::corrupt,
                    fmt::format("{} is damaged at offset 0.", hard_state_name));
    }
    hard_state value;
    value.id = take<std::uint64_t>(*body);
    value.term = take<std::uint64_t>(*body);
    value.voted_for = take<std::uint64_t>(*body);
    return value;
}

// [snapshots] ----------------------------------------------------------------

std::string encode_snapshot(const snapshot& value)
{
    const auto replicas = encode(value.replicas);
    std::string body;
    put(body, value.index);
    put(body, value.term);
    put(body, static_cast<std::uint64_t>(replicas.size()));
    body += replicas;
    if (value.bytes)
    {
        body += *value.bytes;
    }
    return with_checksum(body);
}

transport::result<snapshot> decode_snapshot(std::string_view name,
                                            std::string_view bytes)
{
    auto body = checked(bytes);
    const auto damaged =
        fail(reason::corrupt, fmt::format("{} is damaged at offset 0.", name));
    if (!body || body->size() < 3 * sizeof(std::uint64_t))
    {
        return damaged;
    }
    snapshot value;
    value.index = take<std::uint64_t>(*body);
    value.term = take<std::uint64_t>(*body);
    const auto length = take<std::uint64_t>(*body);
    if (length > body->size())
    {
        return damaged;
    }
    auto replicas = decode_replica_set(body->substr(0, length));
    if (!replicas)
    {
        return damaged;
    }
    value.replicas = std::move(*replicas);
    value.bytes = std::make_shared<const std::string>(body->substr(length));
    return value;
}

} // namespace hyssopdeal::state::log_format
