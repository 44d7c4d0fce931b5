/// @file
/// Feeds the event parser one text whole and in pieces; both must give the
/// same events.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include <hyssopdeal/protocol/sse_parser.hpp>

namespace
{

constexpr std::size_t event_cap = 256;

std::string events_of(std::string_view text, std::size_t piece)
{
    using namespace hyssopdeal::protocol;
    sse_parser parser{event_cap};
    std::string seen;
    const auto note = [&seen](const sse_event& event) {
        seen.append(event.id).append("\x1f");
        seen.append(event.name).append("\x1f");
        seen.append(event.data).append("\x1e");
    };
    while (!text.empty())
    {
        const auto size = std::min(piece, text.size());
        if (!parser.feed(text.substr(0, size), note))
        {
            return seen + "too large";
        }
        text.remove_prefix(size);
    }
    return seen;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const std::string_view text{reinterpret_cast<const char*>(data), size};
    const auto whole = events_of(text, std::max<std::size_t>(size, 1));
    if (whole != events_of(text, 1) || whole != events_of(text, 7))
    {
        std::abort();
    }
    return 0;
}
