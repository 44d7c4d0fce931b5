#ifndef HYSSOPDEAL_COORDINATION_LEARNER_RUNNER_HPP
#define HYSSOPDEAL_COORDINATION_LEARNER_RUNNER_HPP

/// @file
/// Runs an entry's learner over the peer links, and relays to others of its
/// failure domain.
///
/// Index: [settings] [learner_runner]

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <hyssopdeal/coordination/learner.hpp>
#include <hyssopdeal/coordination/membership_runner.hpp>
#include <hyssopdeal/protocol/contract.hpp>
#include <hyssopdeal/protocol/peer_hub.hpp>
#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/event_loop.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

/// Who follows, and whom it may ask before gossip has told it more.
struct learner_runner_settings
{
    std::string name;                  ///< Peer name of this entry.
    std::string failure_domain;        ///< Of this entry.
    std::vector<std::string> replicas; ///< Peer names from the settings.
    learning_settings learning;
};

// [learner_runner] -----------------------------------------------------------

/// Call it on the loop's thread. It takes the hub's channel `learning` and
/// tells the members which index it has applied.
class learner_runner
{
public:
    /// Gets each configuration that comes into force.
    using view_handler = std::function<void(protocol::control_view)>;

    learner_runner(transport::event_loop& loop, const transport::clock& clock,
                   protocol::peer_hub& hub, membership_runner& members,
                   learner_runner_settings settings, view_handler on_view);
    learner_runner(const learner_runner&) = delete;
    learner_runner& operator=(const learner_runner&) = delete;
    ~learner_runner();

    /// Begins to follow.
    void start();

    /// @return How sure this entry is of its configuration.
    [[nodiscard]] learning_phase phase() const noexcept;

    /// @return The log index in force.
    [[nodiscard]] state::log_index applied() const noexcept;

    /// @return The source that answered last; empty: none.
    [[nodiscard]] const std::string& source() const noexcept;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::coordination

#endif
