#ifndef HYSSOPDEAL_COORDINATION_MEMBERSHIP_RUNNER_HPP
#define HYSSOPDEAL_COORDINATION_MEMBERSHIP_RUNNER_HPP

/// @file
/// Runs the membership protocol of one process over UDP on an event loop, and
/// publishes what request threads need through read-copy-update.
///
/// Index: [settings] [member_view] [membership_runner]

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/coordination/membership.hpp>
#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/event_loop.hpp>
#include <hyssopdeal/transport/failure.hpp>
#include <hyssopdeal/transport/rcu_cell.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

/// Address, key and first contacts of the protocol.
struct membership_runner_settings
{
    std::string name;           ///< Of this instance.
    std::string failure_domain; ///< Of this instance.
    protocol::member_kind kind = protocol::member_kind::entry;
    std::string address = "127.0.0.1";          ///< IP number to bind.
    std::uint16_t port = 0;                     ///< 0: the kernel picks one.
    std::string peer_address;                   ///< `IP:port` of this peer hub.
    std::string shared_key;                     ///< Same on every process.
    std::vector<protocol::member_update> seeds; ///< Others, by settings.
    membership_settings timing;
};

// [member_view] --------------------------------------------------------------

/// A member as request threads see it.
struct viewed_member
{
    std::string name;
    std::string peer_address; ///< `IP:port` over TCP.
    std::string failure_domain;
    protocol::member_kind kind = protocol::member_kind::entry;
    bool usable = false; ///< May get new work.
};

/// Immutable summary of the member table.
struct member_view
{
    std::vector<viewed_member> members;       ///< Entry and control instances.
    std::vector<std::string> leaving_servers; ///< Sorted; get no new work.
    std::vector<domain_status> domains;       ///< The own one first.
};

// [membership_runner] --------------------------------------------------------

/// Call it on the loop's thread; the view may be read from any thread.
class membership_runner
{
public:
    using change_handler =
        std::function<void(const protocol::member_update& changed)>;

    membership_runner(transport::event_loop& loop,
                      const transport::clock& clock,
                      membership_runner_settings settings,
                      std::uint64_t random_seed);
    membership_runner(const membership_runner&) = delete;
    membership_runner& operator=(const membership_runner&) = delete;
    ~membership_runner();

    /// Binds and starts to probe.
    ///
    /// @return The UDP port in use, or why the address could not be bound.
    [[nodiscard]] transport::result<std::uint16_t> start();

    /// Calls a handler for each changed entry.
    void on_change(change_handler handler);

    /// Marks this instance as leaving.
    void announce_leaving();

    /// Takes what another source says of an instance.
    void report(const protocol::member_update& update);

    /// Tells the log index that this instance has applied.
    void set_applied_index(std::uint64_t index);

    /// @return The protocol's state, for inspection.
    [[nodiscard]] const membership& state() const noexcept;

    /// @return What request threads read.
    [[nodiscard]] const transport::rcu_cell<member_view>& view() const noexcept;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::coordination

#endif
