#include "peer_codec.hpp"

#include <utility>

#include <peer_types.h>

#include <hyssopdeal/transport/digest.hpp>

#include "thrift_bytes.hpp"

namespace hyssopdeal::protocol
{

using transport::fail;
using transport::reason;
using transport::result;

namespace
{

constexpr std::int32_t wire_version = 1;
constexpr std::size_t challenge_bytes = 32;
constexpr std::size_t max_name_bytes = 64;
constexpr std::size_t bits_in_byte = 8;
constexpr std::size_t compact_above = 65'536;

constexpr auto first_channel =
    static_cast<std::int32_t>(peer_channel::replication);
constexpr auto last_channel = static_cast<std::int32_t>(peer_channel::probing);

void append_field(std::string& text, std::string_view field)
{
    text += with_length(field);
}

} // namespace

std::string with_length(std::string_view bytes)
{
    std::string framed;
    framed.reserve(length_bytes + bytes.size());
    for (std::size_t at = length_bytes; at > 0; --at)
    {
        const auto shift = (at - 1) * bits_in_byte;
        framed += static_cast<char>((bytes.size() >> shift) & 0xffU);
    }
    framed += bytes;
    return framed;
}

std::string encode_message(const peer_message& message)
{
    gen::peer_frame frame;
    frame.version = wire_version;
    frame.channel = static_cast<std::int32_t>(message.channel);
    frame.correlation = static_cast<std::int64_t>(message.correlation);
    frame.is_reply = message.kind == frame_kind::answer;
    frame.payload = message.payload;
    return with_length(to_bytes(frame));
}

result<peer_message> decode_message(std::string_view bytes)
{
    auto frame = from_bytes<gen::peer_frame>(bytes);
    if (!frame)
    {
        return tl::make_unexpected(frame.error());
    }
    if (frame->version != wire_version || frame->channel < first_channel ||
        frame->channel > last_channel)
    {
        return fail(reason::corrupt, "A peer's message is not known here.");
    }
    peer_message message;
    message.channel = static_cast<peer_channel>(frame->channel);
    message.correlation = static_cast<std::uint64_t>(frame->correlation);
    message.kind = frame->is_reply ? frame_kind::answer : frame_kind::message;
    message.payload = std::move(frame->payload);
    return message;
}

peer_greeting make_greeting(std::string name)
{
    // Without randomness the challenge stays empty, which the peer refuses.
    return {std::move(name), transport::random_bytes(challenge_bytes), true};
}

std::string encode_greeting(const peer_greeting& greeting)
{
    gen::peer_hello hello;
    hello.name = greeting.name;
    hello.challenge = greeting.challenge;
    hello.__set_answers_probes(greeting.answers_probes);
    return with_length(to_bytes(hello));
}

result<peer_greeting> decode_greeting(std::string_view bytes)
{
    auto hello = from_bytes<gen::peer_hello>(bytes);
    if (!hello)
    {
        return tl::make_unexpected(hello.error());
    }
    if (hello->name.empty() || hello->name.size() > max_name_bytes ||
        hello->challenge.size() != challenge_bytes)
    {
        return fail(reason::corrupt, "A peer's greeting is not valid.");
    }
    return peer_greeting{std::move(hello->name), std::move(hello->challenge),
                         hello->__isset.answers_probes &&
                             hello->answers_probes};
}

std::string make_proof(std::string_view key, link_side side,
                       const peer_greeting& dialler,
                       const peer_greeting& listener)
{
    std::string text;
    append_field(text, side == link_side::dialler ? "dialler" : "listener");
    append_field(text, dialler.name);
    append_field(text, dialler.challenge);
    append_field(text, listener.name);
    append_field(text, listener.challenge);
    return transport::hmac_sha256(key, text);
}

std::string encode_proof(std::string_view proof)
{
    gen::peer_proof wire;
    wire.mac = proof;
    return with_length(to_bytes(wire));
}

result<std::string> decode_proof(std::string_view bytes)
{
    auto wire = from_bytes<gen::peer_proof>(bytes);
    if (!wire)
    {
        return tl::make_unexpected(wire.error());
    }
    if (wire->mac.size() != transport::sha256_bytes)
    {
        return fail(reason::corrupt, "A peer's proof is not valid.");
    }
    return std::move(wire->mac);
}

frame_splitter::frame_splitter(std::size_t max_frame_bytes) noexcept
    : cap_(max_frame_bytes)
{}

void frame_splitter::set_cap(std::size_t max_frame_bytes) noexcept
{
    cap_ = max_frame_bytes;
}

void frame_splitter::feed(std::string_view bytes)
{
    if (start_ == buffer_.size() || start_ > compact_above)
    {
        buffer_.erase(0, start_);
        start_ = 0;
    }
    buffer_ += bytes;
}

result<std::optional<std::string>> frame_splitter::next()
{
    const std::string_view left = std::string_view{buffer_}.substr(start_);
    if (left.size() < length_bytes)
    {
        return std::optional<std::string>{};
    }
    std::size_t length = 0;
    for (std::size_t at = 0; at < length_bytes; ++at)
    {
        length =
            (length << bits_in_byte) | static_cast<unsigned char>(left[at]);
    }
    if (length > cap_)
    {
        return fail(reason::too_large, "A peer's message is too large.");
    }
    if (left.size() < length_bytes + length)
    {
        return std::optional<std::string>{};
    }
    start_ += length_bytes + length;
    return std::optional<std::string>{left.substr(length_bytes, length)};
}

} // namespace hyssopdeal::protocol
