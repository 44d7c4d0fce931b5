/// @file
/// Replica messages as bytes.

#include <hyssopdeal/coordination/replica_messages.hpp>

#include "protocol/thrift_bytes.hpp"
#include "replication_types.h"
#include "state/wire_fields.hpp"

namespace hyssopdeal::state
{

// [enums] --------------------------------------------------------------------

template <>
struct last_enumerator<record_kind>
{
    static constexpr auto value = record_kind::replicas;
};

template <>
struct last_enumerator<coordination::vote_kind>
{
    static constexpr auto value = coordination::vote_kind::transfer;
};

template <>
struct last_enumerator<coordination::vote_answer>
{
    static constexpr auto value = coordination::vote_answer::granted;
};

template <>
struct last_enumerator<coordination::append_answer>
{
    static constexpr auto value = coordination::append_answer::accepted;
};

// [fields] -------------------------------------------------------------------

template <>
struct wire_fields<log_record>
{
    using wire = coordination::gen::log_record;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.index, b.index);
        copy(a.term, b.term);
        copy(a.kind, b.kind);
        copy(a.payload, b.payload);
    }
};

template <>
struct wire_fields<coordination::term_start>
{
    using wire = coordination::gen::term_start;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.term, b.term);
        copy(a.first, b.first);
    }
};

template <>
struct wire_fields<coordination::reconcile_hint>
{
    using wire = coordination::gen::reconcile_hint;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.refused, b.refused);
        copy(a.base, b.base);
        copy(a.base_term, b.base_term);
        copy(a.last, b.last);
        copy(a.history, b.history);
    }
};

template <>
struct wire_fields<coordination::vote_request>
{
    using wire = coordination::gen::vote_request;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.kind, b.kind);
        copy(a.last_index, b.last_index);
        copy(a.last_term, b.last_term);
    }
};

template <>
struct wire_fields<coordination::vote_reply>
{
    using wire = coordination::gen::vote_reply;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.kind, b.kind);
        copy(a.answer, b.answer);
        copy(a.hint, b.hint);
    }
};

template <>
struct wire_fields<coordination::append_request>
{
    using wire = coordination::gen::append_request;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.prev_index, b.prev_index);
        copy(a.prev_term, b.prev_term);
        copy(a.commit, b.commit);
        copy(a.records, b.records);
        copy(a.sent, b.sent);
    }
};

template <>
struct wire_fields<coordination::append_reply>
{
    using wire = coordination::gen::append_reply;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.answer, b.answer);
        copy(a.match, b.match);
        copy(a.sent, b.sent);
        copy(a.hint, b.hint);
    }
};

template <>
struct wire_fields<coordination::snapshot_chunk>
{
    using wire = coordination::gen::snapshot_chunk;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.index, b.index);
        copy(a.term, b.term);
        copy(a.replicas, b.replicas);
        copy(a.total, b.total);
        copy(a.crc, b.crc);
        copy(a.offset, b.offset);
        copy(a.bytes, b.bytes);
        copy(a.sent, b.sent);
    }
};

template <>
struct wire_fields<coordination::snapshot_reply>
{
    using wire = coordination::gen::snapshot_reply;

    template <class Direction, class Record, class Wire>
    static void map(const Direction& copy, Record& a, Wire& b)
    {
        copy(a.index, b.index);
        copy(a.received, b.received);
        copy(a.sent, b.sent);
    }
};

template <>
struct wire_fields<coordination::take_over>
{
    using wire = coordination::gen::take_over;

    template <class Direction, class Record, class Wire>
    static void map(const Direction&, Record&, Wire&)
    {}
};

} // namespace hyssopdeal::state

namespace hyssopdeal::coordination
{

namespace
{

using state::from_wire;
using state::to_wire;

// [unions] -------------------------------------------------------------------

struct body_to_wire
{
    gen::replica_message_body& wire;

    void operator()(const vote_request& v) const
    {
        wire.__set_vote_request_value(to_wire(v));
    }
    void operator()(const vote_reply& v) const
    {
        wire.__set_vote_reply_value(to_wire(v));
    }
    void operator()(const append_request& v) const
    {
        wire.__set_append_request_value(to_wire(v));
    }
    void operator()(const append_reply& v) const
    {
        wire.__set_append_reply_value(to_wire(v));
    }
    void operator()(const snapshot_chunk& v) const
    {
        wire.__set_snapshot_chunk_value(to_wire(v));
    }
    void operator()(const snapshot_reply& v) const
    {
        wire.__set_snapshot_reply_value(to_wire(v));
    }
    void operator()(const take_over& v) const
    {
        wire.__set_take_over_value(to_wire(v));
    }
};

replica_message_body body_from_wire(const gen::replica_message_body& wire)
{
    const auto& set = wire.__isset;
    if (set.vote_request_value)
    {
        return from_wire<vote_request>(wire.vote_request_value);
    }
    if (set.vote_reply_value)
    {
        return from_wire<vote_reply>(wire.vote_reply_value);
    }
    if (set.append_request_value)
    {
        return from_wire<append_request>(wire.append_request_value);
    }
    if (set.append_reply_value)
    {
        return from_wire<append_reply>(wire.append_reply_value);
    }
    if (set.snapshot_chunk_value)
    {
        return from_wire<snapshot_chunk>(wire.snapshot_chunk_value);
    }
    if (set.snapshot_reply_value)
    {
        return from_wire<snapshot_reply>(wire.snapshot_reply_value);
    }
    if (set.take_over_value)
    {
        return take_over{};
    }
    throw state::unknown_value{};
}

/// Records must follow each other, or the log would get a gap.
bool sound(const replica_message& message)
{
    const auto* append = std::get_if<append_request>(&message.body);
    if (append == nullptr)
    {
        return true;
    }
    auto expected = append->prev_index;
    for (const auto& record : append->records)
    {
        if (record.index != ++expected || record.term > message.term)
        {
            return false;
        }
    }
    return true;
}

} // namespace

// [encoding] -----------------------------------------------------------------

std::string encode(const replica_message& value)
{
    gen::replica_message wire;
    wire.sender = static_cast<std::int64_t>(value.from);
    wire.receiver = static_cast<std::int64_t>(value.to);
    wire.term = static_cast<std::int64_t>(value.term);
    wire.wall_ms = value.wall.time_since_epoch().count();
    std::visit(body_to_wire{wire.body}, value.body);
    return protocol::to_bytes(wire);
}

transport::result<replica_message>
decode_replica_message(std::string_view bytes)
{
    const auto wire = protocol::from_bytes<gen::replica_message>(bytes);
    if (!wire)
    {
        return tl::make_unexpected(wire.error());
    }
    const auto corrupt = [] {
        return transport::fail(transport::reason::corrupt,
                               "A replica message is not understood.");
    };
    try
    {
        replica_message value;
        value.from = static_cast<std::uint64_t>(wire->sender);
        value.to = static_cast<std::uint64_t>(wire->receiver);
        value.term = static_cast<state::term_number>(wire->term);
        value.wall =
            transport::wall_time{std::chrono::milliseconds{wire->wall_ms}};
        value.body = body_from_wire(wire->body);
        if (!sound(value))
        {
            return corrupt();
        }
        return value;
    }
    catch (const state::unknown_value&)
    {
        return corrupt();
    }
}

} // namespace hyssopdeal::coordination
