/// @file
/// Feeds what the HTTP parser logs to the choice of the answer, and addresses
/// to their reader.

#include <cstddef>
#include <cstdint>
#include <string_view>

#include <asio/ip/tcp.hpp>

#include "../src/transport/http_refusal.hpp"
#include "../src/transport/ip_endpoint.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    using namespace hyssopdeal::transport;
    const std::string_view text{reinterpret_cast<const char*>(data), size};
    static_cast<void>(refusal_for(text));
    if (const auto endpoint = parse_endpoint<asio::ip::tcp::endpoint>(text))
    {
        static_cast<void>(endpoint_text(*endpoint));
    }
    return 0;
}
