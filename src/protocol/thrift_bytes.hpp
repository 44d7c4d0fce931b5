#ifndef HYSSOPDEAL_SRC_PROTOCOL_THRIFT_BYTES_HPP
#define HYSSOPDEAL_SRC_PROTOCOL_THRIFT_BYTES_HPP

/// @file
/// Thrift structs to bytes and back, in the compact protocol. Internal.
///
/// Index: [bytes]

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::protocol
{

// [bytes] --------------------------------------------------------------------

/// Room for bytes that Thrift counts twice.
inline constexpr std::size_t count_slack_bytes = 1'024;

/// @return The struct in the compact protocol.
template <class Wire>
std::string to_bytes(const Wire& value)
{
    using apache::thrift::transport::TMemoryBuffer;
    auto buffer = std::make_shared<TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol{buffer};
    value.write(&protocol);
    return buffer->getBufferAsString();
}

/// Reads a struct; lengths inside can claim no more than the input holds.
///
/// @return The struct, or `corrupt`.
template <class Wire>
transport::result<Wire> from_bytes(std::string_view bytes)
{
    using apache::thrift::transport::TMemoryBuffer;
    constexpr auto largest =
        static_cast<std::size_t>(std::numeric_limits<std::int32_t>::max());
    if (bytes.empty() || bytes.size() > largest)
    {
        return transport::fail(transport::reason::corrupt,
                               "A message has an impossible size.");
    }
    try
    {
        const auto limit = static_cast<std::int32_t>(bytes.size());
        // Thrift counts some bytes twice against the message's size, so that
        // one long field would fail at the exact size.
        const auto counted = static_cast<std::int32_t>(
            std::min(largest, bytes.size() * 2 + count_slack_bytes));
        auto configuration =
            std::make_shared<apache::thrift::TConfiguration>(counted, counted);
        std::string copy{bytes};
        auto buffer = std::make_shared<TMemoryBuffer>(
            reinterpret_cast<std::uint8_t*>(copy.data()),
            static_cast<std::uint32_t>(copy.size()), TMemoryBuffer::OBSERVE,
            configuration);
        apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol{
            buffer, limit, limit};
        Wire value;
        value.read(&protocol);
        return value;
    }
    catch (const std::exception&)
    {
        return transport::fail(transport::reason::corrupt,
                               "A message could not be decoded.");
    }
}

} // namespace hyssopdeal::protocol

#endif
