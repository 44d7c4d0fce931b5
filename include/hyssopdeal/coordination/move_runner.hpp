#ifndef HYSSOPDEAL_COORDINATION_MOVE_RUNNER_HPP
#define HYSSOPDEAL_COORDINATION_MOVE_RUNNER_HPP

/// @file
/// Carries out version moves on the control leader: feeds the decision modules
/// with records, reports and answers, and sends what they decide.
///
/// Index: [settings] [move_runner]

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/coordination/control_node.hpp>
#include <hyssopdeal/coordination/fleet_load.hpp>
#include <hyssopdeal/coordination/move_controller.hpp>
#include <hyssopdeal/coordination/move_weights.hpp>
#include <hyssopdeal/coordination/order_sender.hpp>
#include <hyssopdeal/protocol/peer_hub.hpp>
#include <hyssopdeal/protocol/settings_reader.hpp>
#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/event_loop.hpp>
#include <hyssopdeal/transport/http_client.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

/// Addresses and times.
struct move_runner_settings
{
    std::string weight_store;       ///< `IP:port`; empty: weights are there.
    std::string webhook_address;    ///< `IP:port`; empty: nobody is told.
    std::string webhook_path = "/"; ///< Where ended moves are posted.
    std::chrono::milliseconds tick{250};         ///< Between decisions.
    std::chrono::milliseconds call_limit{1'000}; ///< Weight store, webhook.
    std::uint32_t webhook_attempts = 10;         ///< With growing delays.
    move_settings moves;
    order_sender_settings orders;
    move_weights_settings weights;
};

/// Binds the members that operators set.
void describe(protocol::settings_fields& fields, move_runner_settings& value);

// [move_runner] --------------------------------------------------------------

/// A version's need of slots while a move runs.
struct version_slots
{
    std::string service;
    std::string version;
    double slots = 0;
};

/// Runs on every control replica and acts on the leader. Used on the loop's
/// thread; the node must outlive it.
class move_runner
{
public:
    move_runner(transport::event_loop& loop, const transport::clock& clock,
                control_node& node, move_runner_settings settings);
    move_runner(const move_runner&) = delete;
    move_runner& operator=(const move_runner&) = delete;
    ~move_runner();

    /// Starts to decide; takes over peer_channel::reports of a hub.
    void start(protocol::peer_hub& hub);

    /// Takes in a report as an entry sent it.
    void on_report(std::string_view payload);

    /// @return Load of the services, as reported.
    [[nodiscard]] const fleet_load& load() const;

    /// @return Slots that running moves want of their new versions.
    [[nodiscard]] std::vector<version_slots> wanted_slots() const;

    /// @return Whether a server has read back that it serves a version.
    [[nodiscard]] bool serves(std::string_view server,
                              std::string_view version) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::coordination

#endif
