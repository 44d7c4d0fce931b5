#ifndef HYSSOPDEAL_COORDINATION_CONTROL_NODE_HPP
#define HYSSOPDEAL_COORDINATION_CONTROL_NODE_HPP

/// @file
/// What the controllers that run on the control leader see of their replica:
/// the state, whether they lead, and a way to change the state.
///
/// Index: [leadership] [control_node]

#include <functional>
#include <string>

#include <hyssopdeal/state/commands.hpp>
#include <hyssopdeal/state/control_state.hpp>
#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::coordination
{

// [leadership] ---------------------------------------------------------------

/// Whether this replica leads.
enum class leadership_role
{
    follower,
    leader ///< Elected and caught up with all records of earlier terms.
};

/// What a replica knows of the leadership.
struct leadership
{
    leadership_role role = leadership_role::follower;
    state::term_number term = 0;             ///< The latest one seen.
    transport::monotonic_time lease_until{}; ///< Leader only: sure until.
    transport::monotonic_time orders_from{}; ///< Leader only: the former
                                             ///< leader's lease is over.
    std::string leader; ///< Peer name of the leader; empty: unknown.
    bool first = false; ///< Leader only: nobody led before.
};

/// @return Whether a leader may serve reads and send orders now.
[[nodiscard]] inline bool may_order(const leadership& now_leads,
                                    transport::monotonic_time now)
{
    return now_leads.role == leadership_role::leader &&
           now >= now_leads.orders_from && now < now_leads.lease_until;
}

// [control_node] -------------------------------------------------------------

/// A replica as its controllers see it. Used on the thread of its loop.
class control_node
{
public:
    using propose_callback =
        std::function<void(transport::result<state::command_result>)>;
    using committed_handler = std::function<void(
        state::log_index, const state::command&, const state::command_result&)>;
    using leadership_handler = std::function<void(const leadership&)>;

    virtual ~control_node() = default;

    /// Proposes a command; its time is set here.
    ///
    /// @param on_result Called once. A failure `not_leader` or `no_quorum`
    ///     with verdict not_run was not written; with may_have_run it may
    ///     still be committed.
    virtual void propose(state::command value, propose_callback on_result) = 0;

    /// @return All records applied so far.
    [[nodiscard]] virtual const state::control_state& state() const = 0;

    /// @return Who leads, as known now.
    [[nodiscard]] virtual leadership leads() const = 0;

    /// Calls a handler after each command is applied; any number of handlers.
    virtual void on_committed(committed_handler handler) = 0;

    /// Calls a handler when the role or the term changes.
    virtual void on_leadership(leadership_handler handler) = 0;
};

} // namespace hyssopdeal::coordination

#endif
