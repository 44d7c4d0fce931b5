#ifndef HYSSOPDEAL_TESTS_SOAK_FAULT_RELAY_HPP
#define HYSSOPDEAL_TESTS_SOAK_FAULT_RELAY_HPP

/// @file
/// A TCP relay that delays, silences or resets the connections through it, as
/// a network with faults does.
///
/// Index: [link_fault] [fault_relay]

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include <hyssopdeal/transport/event_loop.hpp>

namespace hyssopdeal::soak
{

// [link_fault] ---------------------------------------------------------------

/// What happens to bytes on their way. They are held, not lost, as TCP would
/// send them again.
struct link_fault
{
    bool silent_in = false;  ///< Towards the target.
    bool silent_out = false; ///< From the target.
    std::chrono::milliseconds delay{0};
};

// [fault_relay] --------------------------------------------------------------

/// Relays connections to one target. Used on the loop's thread.
class fault_relay
{
public:
    /// @param address IP number to listen on and, on the same port, to dial.
    fault_relay(transport::event_loop& loop, const std::string& address,
                const std::string& target, std::uint16_t port);
    fault_relay(const fault_relay&) = delete;
    fault_relay& operator=(const fault_relay&) = delete;
    ~fault_relay();

    /// Sets what happens from now on, to open and new connections.
    void set(const link_fault& fault);

    /// Resets the open connections.
    void reset();

    /// Silences the open connections for good; new ones work.
    void silence_open();

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace hyssopdeal::soak

#endif
