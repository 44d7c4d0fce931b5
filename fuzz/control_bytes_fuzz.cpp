/// @file
/// Feeds bytes to every decoder of the control state; the first byte picks it.

#include <cstddef>
#include <cstdint>
#include <string_view>

#include <hyssopdeal/coordination/learner.hpp>
#include <hyssopdeal/coordination/replica_messages.hpp>
#include <hyssopdeal/state/control_state.hpp>
#include <hyssopdeal/state/log_format.hpp>

#include "../src/coordination/ledger_wire.hpp"

namespace
{

using namespace hyssopdeal;

void decode_stored(std::uint8_t kind, std::string_view bytes)
{
    namespace format = state::log_format;
    switch (kind % 3)
    {
    case 0:
        (void)format::decode_segment("log", bytes, 1,
                                     format::segment_position::last);
        break;
    case 1:
        (void)format::decode_snapshot("snapshot", bytes);
        break;
    default:
        (void)format::decode_hard_state(bytes);
        break;
    }
}

void decode_any(std::uint8_t kind, std::string_view bytes)
{
    state::control_state machine;
    switch (kind % 8)
    {
    case 0:
        if (const auto command = state::decode_command(bytes))
        {
            (void)machine.apply({1, 1}, *command);
        }
        break;
    case 1:
        (void)machine.restore_snapshot(bytes);
        break;
    case 2:
        (void)state::decode_delta(bytes);
        break;
    case 3:
        (void)state::decode_result(bytes);
        break;
    case 4:
        (void)coordination::decode_replica_message(bytes);
        break;
    case 5:
        (void)coordination::decode_follow_request(bytes);
        (void)coordination::decode_follow_update(bytes);
        break;
    case 6:
        (void)coordination::decode_ledger_request(bytes);
        (void)coordination::decode_ledger_reply(bytes);
        break;
    default:
        decode_stored(kind / 8, bytes);
        break;
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    if (size > 0)
    {
        decode_any(data[0],
                   {reinterpret_cast<const char*>(data) + 1, size - 1});
    }
    return 0;
}
