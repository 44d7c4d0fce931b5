/// @file
/// Feeds bytes to everything that a peer link decodes before and after its
/// handshake.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "../src/protocol/peer_codec.hpp"

namespace
{

constexpr std::size_t frame_cap = 1'024;

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    using namespace hyssopdeal::protocol;
    const std::string_view bytes{reinterpret_cast<const char*>(data), size};
    static_cast<void>(decode_greeting(bytes));
    static_cast<void>(decode_proof(bytes));
    if (const auto message = decode_message(bytes))
    {
        const auto again =
            decode_message(encode_message(*message).substr(length_bytes));
        if (!again || again->payload != message->payload ||
            again->correlation != message->correlation)
        {
            std::abort();
        }
    }
    frame_splitter splitter{frame_cap};
    splitter.feed(bytes);
    for (auto frame = splitter.next(); frame && frame->has_value();
         frame = splitter.next())
    {
        static_cast<void>(decode_message(**frame));
    }
    return 0;
}
