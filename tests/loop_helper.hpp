#ifndef HYSSOPDEAL_TESTS_LOOP_HELPER_HPP
#define HYSSOPDEAL_TESTS_LOOP_HELPER_HPP

/// @file
/// Helpers for tests that run an event loop and raw sockets on loopback.
///
/// Index: [run_until] [raw_exchange]

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include <hyssopdeal/transport/event_loop.hpp>

namespace hyssopdeal::tests
{

// [run_until] ----------------------------------------------------------------

/// Runs a loop until a condition holds.
///
/// @return Whether it held within the limit.
bool run_until(transport::event_loop& loop, const std::function<bool()>& holds,
               std::chrono::milliseconds limit = std::chrono::seconds{10});

// [raw_exchange] -------------------------------------------------------------

/// What a raw client does after it has sent its bytes.
enum class after_sending
{
    keep_open, ///< Waits for the server to close.
    half_close ///< Closes its sending side first.
};

/// Sends bytes to a loopback port while the loop runs.
///
/// @return All that came back until the server closed, or within 5 s.
std::string raw_exchange(transport::event_loop& loop, std::uint16_t port,
                         std::string_view bytes,
                         after_sending then = after_sending::keep_open);

} // namespace hyssopdeal::tests

#endif
