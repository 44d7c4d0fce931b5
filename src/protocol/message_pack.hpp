#ifndef HYSSOPDEAL_SRC_PROTOCOL_MESSAGE_PACK_HPP
#define HYSSOPDEAL_SRC_PROTOCOL_MESSAGE_PACK_HPP

/// @file
/// Values as MessagePack bytes. Internal.
///
/// Index: [pack_message]

#include <string>

#include <hyssopdeal/protocol/exact_json.hpp>

namespace hyssopdeal::protocol
{

// [pack_message] -------------------------------------------------------------

/// @return The value's bytes; exact_json::from_msgpack() reads them.
inline std::string pack_message(const exact_json& value)
{
    std::string bytes;
    exact_json::to_msgpack(value, bytes);
    return bytes;
}

} // namespace hyssopdeal::protocol

#endif
