#ifndef HYSSOPDEAL_SRC_PROTOCOL_MESSAGE_PACK_HPP
#define HYSSOPDEAL_SRC_PROTOCOL_MESSAGE_PACK_HPP

/// @file
/// Values as MessagePack bytes. Internal.
///
/// Index: [pack_message]

#include <string>

#include <nlohmann/json.hpp>

namespace hyssopdeal::protocol
{

// [pack_message] -------------------------------------------------------------

/// @return The value's bytes; nlohmann's from_msgpack() reads them.
inline std::string pack_message(const nlohmann::json& value)
{
    std::string bytes;
    nlohmann::json::to_msgpack(value, bytes);
    return bytes;
}

} // namespace hyssopdeal::protocol

#endif
