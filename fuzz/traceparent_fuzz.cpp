/// @file
/// Feeds bytes to the reader of `traceparent`.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include <hyssopdeal/protocol/trace_context.hpp>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    using namespace hyssopdeal::protocol;
    const auto context =
        parse_traceparent({reinterpret_cast<const char*>(data), size});
    if (context && parse_traceparent(to_traceparent(*context)) != context)
    {
        std::abort();
    }
    return 0;
}
