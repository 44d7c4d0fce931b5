#ifndef HYSSOPDEAL_COORDINATION_MOVE_CONTROLLER_HPP
#define HYSSOPDEAL_COORDINATION_MOVE_CONTROLLER_HPP

/// @file
/// Decides the next act of one version move. Does no I/O: the leader calls
/// advance() on every tick and carries out what it returns. The committed move
/// record alone is enough for the next leader to go on.
///
/// Index: [settings] [move_view] [move_actions] [move_controller]

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <hyssopdeal/coordination/move_plan.hpp>
#include <hyssopdeal/coordination/version_comparison.hpp>
#include <hyssopdeal/coordination/version_summary.hpp>
#include <hyssopdeal/protocol/contract.hpp>
#include <hyssopdeal/state/commands.hpp>
#include <hyssopdeal/state/records.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

/// How moves are run.
struct move_settings
{
    move_plan_settings plan;
    comparison_settings comparison;
    std::uint64_t step_answers = 30;   ///< Of the new version at each step.
    double unjudged_share_limit = 0.5; ///< From here every route with enough
                                       ///< traffic must have passed.
    std::chrono::milliseconds proposal_time_limit{2'000}; ///< Then again.
    std::chrono::milliseconds status_interval{5'000};     ///< Between records
                                                          ///< that only inform.
    std::chrono::milliseconds shortest_grace{1'800'000};  ///< After the
        ///< deadline; a move not complete by then is taken back.
};

// [move_view] ----------------------------------------------------------------

/// What a server holds of the new version, as read back from it.
enum class version_state : std::uint8_t
{
    absent, ///< Not loaded, or not known yet.
    loading,
    ready,
    failed ///< Loading failed as often as allowed.
};

/// A backend server that is to serve the new version.
struct version_server
{
    std::string name;
    std::string failure_domain;
    std::uint32_t slots = 0; ///< Requests at once at full speed.
    version_state state = version_state::absent;
    bool leaving = false;   ///< Gets no new work.
    bool evacuated = false; ///< Gets none until its domain may be used again.
};

/// What the controller looks at on a tick.
struct move_view
{
    transport::wall_time now{};
    state::move_record move;             ///< As committed.
    std::vector<version_server> servers; ///< Of the new version.
    double needed_slots = 0;             ///< For all of the service's traffic.
    double requests_per_second = 0;      ///< Of the service; 0: unknown.
    std::chrono::milliseconds load_time{}; ///< For all servers, with the
                                           ///< weight store's rate limit.
    std::chrono::milliseconds first_token_target{500}; ///< Of the service.
};

// [move_actions] -------------------------------------------------------------

/// What an operator is told before the move has ended.
enum class move_notice : std::uint8_t
{
    none,
    will_be_late ///< The deadline will be missed; safety goes first.
};

/// What is to be done now.
struct move_actions
{
    std::optional<state::update_move> update; ///< Propose this.
    std::vector<std::string> hold; ///< Servers that shall hold the new
                                   ///< version, first ones first.
    double slots_wanted = 0; ///< Of the new version, for the fleet planner.
    move_notice notice = move_notice::none;
};

// [move_controller] ----------------------------------------------------------

/// Runs one move on the control leader. Used by one thread.
class move_controller
{
public:
    /// @param move The record as it is when this leader takes it on.
    move_controller(move_settings settings, const state::move_record& move,
                    std::chrono::milliseconds first_token_target);
    move_controller(move_controller&&) noexcept;
    ~move_controller();

    /// Takes in an entry's report about the service.
    void on_report(const version_report& report);

    /// Decides what to do now.
    [[nodiscard]] move_actions advance(const move_view& view);

    /// @return What the move waits for and its evidence, for operators.
    [[nodiscard]] const version_comparison& comparison() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// @return Shares while a move runs: the versions it comes from first, the new
///     one last, as version_guard expects.
[[nodiscard]] std::vector<protocol::version_share>
shares_during(const state::move_record& move, double new_share);

/// @return Versions that a move takes the traffic from.
[[nodiscard]] std::vector<std::string>
versions_before(const state::move_record& move);

} // namespace hyssopdeal::coordination

#endif
