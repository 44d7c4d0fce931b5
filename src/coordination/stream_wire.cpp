#include "stream_wire.hpp"

#include <utility>

#include "protocol/thrift_bytes.hpp"
#include "streams_types.h"

namespace hyssopdeal::coordination
{

namespace
{

namespace gen = protocol::gen;
using transport::fail;
using transport::reason;
using transport::result;

gen::stream_copy_wire to_wire(const stream_copy& copy)
{
    gen::stream_copy_wire wire;
    wire.origin.stream = copy.origin.stream;
    wire.origin.organisation = copy.origin.organisation;
    wire.origin.service_name = copy.origin.service;
    wire.origin.version = copy.origin.version;
    wire.origin.target = copy.origin.target;
    wire.origin.body = copy.origin.body;
    wire.origin.priority = static_cast<std::int32_t>(copy.origin.priority);
    wire.origin.prompt_tokens = copy.origin.prompt_tokens;
    wire.origin.max_new_tokens =
        static_cast<std::int32_t>(copy.origin.max_new_tokens);
    wire.owner = copy.owner;
    wire.epoch = static_cast<std::int64_t>(copy.epoch);
    wire.attempt_high = static_cast<std::int64_t>(copy.attempt.high);
    wire.attempt_low = static_cast<std::int64_t>(copy.attempt.low);
    wire.server = copy.server;
    wire.sequence = static_cast<std::int64_t>(copy.sequence);
    wire.events.reserve(copy.events.size());
    for (const auto& event : copy.events)
    {
        gen::stream_event_wire line;
        line.number = static_cast<std::int64_t>(event.number);
        line.kind = static_cast<std::int32_t>(event.kind);
        line.text = event.text;
        line.data = event.data;
        wire.events.push_back(std::move(line));
    }
    return wire;
}

constexpr auto last_kind = static_cast<std::int32_t>(stream_event_kind::done);
constexpr auto last_priority =
    static_cast<std::int32_t>(protocol::priority_class::batch);
constexpr auto last_reason = static_cast<std::int32_t>(reason::internal);

bool is_valid(const gen::stream_copy_wire& wire)
{
    if (wire.origin.priority < 0 || wire.origin.priority > last_priority)
    {
        return false;
    }
    for (const auto& line : wire.events)
    {
        if (line.kind < 0 || line.kind > last_kind)
        {
            return false;
        }
    }
    return true;
}

result<stream_copy> from_wire(gen::stream_copy_wire wire)
{
    if (!is_valid(wire))
    {
        return fail(reason::corrupt, "A copied stream is not valid.");
    }
    stream_copy copy;
    copy.origin.stream = std::move(wire.origin.stream);
    copy.origin.organisation = std::move(wire.origin.organisation);
    copy.origin.service = std::move(wire.origin.service_name);
    copy.origin.version = std::move(wire.origin.version);
    copy.origin.target = std::move(wire.origin.target);
    copy.origin.body = std::move(wire.origin.body);
    copy.origin.priority =
        static_cast<protocol::priority_class>(wire.origin.priority);
    copy.origin.prompt_tokens = wire.origin.prompt_tokens;
    copy.origin.max_new_tokens =
        static_cast<std::uint32_t>(wire.origin.max_new_tokens);
    copy.owner = std::move(wire.owner);
    copy.epoch = static_cast<owner_epoch>(wire.epoch);
    copy.attempt = {static_cast<std::uint64_t>(wire.attempt_high),
                    static_cast<std::uint64_t>(wire.attempt_low)};
    copy.server = std::move(wire.server);
    copy.sequence = static_cast<std::uint64_t>(wire.sequence);
    copy.events.reserve(wire.events.size());
    for (auto& line : wire.events)
    {
        copy.events.push_back({static_cast<std::uint64_t>(line.number),
                               static_cast<stream_event_kind>(line.kind),
                               std::move(line.text), std::move(line.data)});
    }
    return copy;
}

/// Reads a message's copy, if it has one.
template <class Wire>
result<std::optional<stream_copy>> copy_in(Wire& wire)
{
    if (!wire.__isset.copy)
    {
        return std::optional<stream_copy>{};
    }
    auto copy = from_wire(std::move(wire.copy));
    if (!copy)
    {
        return tl::unexpected(copy.error());
    }
    return std::optional<stream_copy>{std::move(*copy)};
}

} // namespace

std::string encode(const stream_question& question)
{
    gen::stream_question_wire wire;
    wire.kind = static_cast<std::int32_t>(question.kind);
    wire.stream = question.stream;
    wire.organisation = question.organisation;
    wire.asker = question.asker;
    wire.epoch = static_cast<std::int64_t>(question.epoch);
    if (question.copy)
    {
        wire.__set_copy(to_wire(*question.copy));
        wire.__set_up_to(static_cast<std::int64_t>(question.up_to));
    }
    return protocol::to_bytes(wire);
}

result<stream_question> decode_stream_question(std::string_view bytes)
{
    auto wire = protocol::from_bytes<gen::stream_question_wire>(bytes);
    if (!wire)
    {
        return tl::unexpected(wire.error());
    }
    constexpr auto first =
        static_cast<std::int32_t>(stream_question_kind::copy);
    constexpr auto last =
        static_cast<std::int32_t>(stream_question_kind::close);
    auto copy = copy_in(*wire);
    if (!copy)
    {
        return tl::unexpected(copy.error());
    }
    const bool is_copy = wire->kind == first;
    if (wire->kind < first || wire->kind > last || is_copy != copy->has_value())
    {
        return fail(reason::corrupt, "A question about a stream is not valid.");
    }
    return stream_question{static_cast<stream_question_kind>(wire->kind),
                           std::move(wire->stream),
                           std::move(wire->organisation),
                           std::move(wire->asker),
                           static_cast<owner_epoch>(wire->epoch),
                           std::move(*copy),
                           static_cast<std::uint64_t>(wire->up_to)};
}

std::string encode(const result<stream_answer>& answer)
{
    gen::stream_answer_wire wire;
    if (!answer)
    {
        wire.outcome = static_cast<std::int32_t>(answer.error().code) + 1;
        wire.text = answer.error().text;
        return protocol::to_bytes(wire);
    }
    wire.copied_to = static_cast<std::int64_t>(answer->done.copied_to);
    wire.epoch = static_cast<std::int64_t>(answer->done.epoch);
    if (answer->copy)
    {
        wire.__set_copy(to_wire(*answer->copy));
    }
    return protocol::to_bytes(wire);
}

result<stream_answer> decode_stream_answer(std::string_view bytes)
{
    auto wire = protocol::from_bytes<gen::stream_answer_wire>(bytes);
    if (!wire)
    {
        return tl::unexpected(wire.error());
    }
    if (wire->outcome < 0 || wire->outcome > last_reason + 1)
    {
        return fail(reason::corrupt, "An answer about a stream is not valid.");
    }
    if (wire->outcome > 0)
    {
        return fail(static_cast<reason>(wire->outcome - 1),
                    std::move(wire->text), transport::verdict::may_have_run);
    }
    auto copy = copy_in(*wire);
    if (!copy)
    {
        return tl::unexpected(copy.error());
    }
    return stream_answer{{static_cast<std::uint64_t>(wire->copied_to),
                          static_cast<owner_epoch>(wire->epoch)},
                         std::move(*copy)};
}

} // namespace hyssopdeal::coordination
