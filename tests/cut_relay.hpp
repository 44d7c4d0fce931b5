#ifndef HYSSOPDEAL_TESTS_CUT_RELAY_HPP
#define HYSSOPDEAL_TESTS_CUT_RELAY_HPP

/// @file
/// A TCP relay on loopback that can be cut like a cable or a crashed process.
///
/// Index: [cut_relay]

#include <cstdint>
#include <memory>

#include <hyssopdeal/transport/event_loop.hpp>

namespace hyssopdeal::tests
{

// [cut_relay] ----------------------------------------------------------------

/// Passes bytes both ways between its own port and another.
class cut_relay
{
public:
    /// @param target Port on loopback.
    cut_relay(transport::event_loop& loop, std::uint16_t target);
    cut_relay(const cut_relay&) = delete;
    cut_relay& operator=(const cut_relay&) = delete;
    ~cut_relay();

    [[nodiscard]] std::uint16_t port() const noexcept;

    /// Closes every connection and refuses new ones.
    void cut();

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace hyssopdeal::tests

#endif
