/// @file
/// Fuzzes the reader of HTTP/1.1 messages, whole and in two pieces.

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "transport/http1_reader.hpp"

using hyssopdeal::transport::http1_reader;
using hyssopdeal::transport::message_kind;
using hyssopdeal::transport::read_state;

namespace
{

void read_all(http1_reader& reader, std::string_view bytes)
{
    while (!bytes.empty() && reader.state() != read_state::bad)
    {
        const auto used = reader.feed(bytes);
        if (reader.state() == read_state::complete)
        {
            reader.reset();
        }
        else if (used == 0)
        {
            return;
        }
        bytes.remove_prefix(used);
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    constexpr std::size_t max_head_bytes = 4'096;
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    for (const auto kind : {message_kind::request, message_kind::response})
    {
        http1_reader whole{kind, max_head_bytes};
        read_all(whole, bytes);
        whole.feed_end();
        http1_reader pieces{kind, max_head_bytes};
        read_all(pieces, bytes.substr(0, size / 2));
        read_all(pieces, bytes.substr(size / 2));
    }
    return 0;
}
