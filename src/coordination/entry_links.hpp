#ifndef HYSSOPDEAL_SRC_COORDINATION_ENTRY_LINKS_HPP
#define HYSSOPDEAL_SRC_COORDINATION_ENTRY_LINKS_HPP

/// @file
/// Internal: an entry process among the others: its peer links and its
/// membership, on the main thread's loop.
///
/// Index: [peer_change] [entry_links]

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include <hyssopdeal/coordination/entry_settings.hpp>
#include <hyssopdeal/coordination/membership_runner.hpp>
#include <hyssopdeal/protocol/peer_hub.hpp>
#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/event_loop.hpp>
#include <hyssopdeal/transport/failure.hpp>
#include <hyssopdeal/transport/log_limit.hpp>

namespace hyssopdeal::coordination
{

// [peer_change] --------------------------------------------------------------

/// What other modules of the process hear of membership. Called on the main
/// thread.
struct entry_links_handlers
{
    std::function<void(std::string name, std::string address)> on_peer;
    std::function<void(std::string server)> on_server_leaving;
    std::function<void()> on_ordered_to_leave; ///< Somebody says that we go.
};

// [entry_links] --------------------------------------------------------------

/// Owns the hub and the membership of one entry process.
class entry_links
{
public:
    entry_links(transport::event_loop& loop, const transport::clock& clock,
                const entry_settings& settings, std::string shared_key,
                std::shared_ptr<transport::log_limit> bad_input,
                entry_links_handlers handlers);
    entry_links(const entry_links&) = delete;
    entry_links& operator=(const entry_links&) = delete;
    ~entry_links();

    /// Binds both ports and starts.
    [[nodiscard]] transport::result<void> start();

    /// Tells the others that this process leaves.
    void announce_leaving();

    [[nodiscard]] protocol::peer_hub& hub() noexcept;

    /// @return The membership; only after start().
    [[nodiscard]] membership_runner& members() noexcept;

private:
    void on_change(const protocol::member_update& changed);

    transport::event_loop& loop_;
    const transport::clock& clock_;
    const entry_settings& settings_;
    std::string shared_key_;
    entry_links_handlers handlers_;
    protocol::peer_hub hub_;
    std::unique_ptr<membership_runner> members_;
};

/// @param bad_input The same for all hubs of the process.
/// @return Settings of a hub of this process; the port is for listening hubs.
[[nodiscard]] protocol::peer_hub_settings
hub_settings_of(const entry_settings& settings, std::string_view shared_key,
                std::shared_ptr<transport::log_limit> bad_input);

} // namespace hyssopdeal::coordination

#endif
