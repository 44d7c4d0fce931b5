/// @file
/// Feeds bytes to the readers of chat requests and of engine events.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include <hyssopdeal/protocol/chat_codec.hpp>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    using namespace hyssopdeal::protocol;
    const std::string_view text{reinterpret_cast<const char*>(data), size};
    const auto request = read_chat(text);
    const auto longer = continue_chat(text, {"so far", 3});
    // Whatever can be asked can also be gone on with.
    if (request && (!longer || !read_chat(*longer)))
    {
        std::abort();
    }
    static_cast<void>(read_chat_event(text));
    return 0;
}
