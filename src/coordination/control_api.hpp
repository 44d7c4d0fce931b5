#ifndef HYSSOPDEAL_SRC_COORDINATION_CONTROL_API_HPP
#define HYSSOPDEAL_SRC_COORDINATION_CONTROL_API_HPP

/// @file
/// The operators' HTTP API of a control process. Internal.
///
/// Index: [control_access] [control_api]

#include <functional>
#include <string>
#include <vector>

#include <hyssopdeal/coordination/control_machine.hpp>
#include <hyssopdeal/coordination/control_settings.hpp>
#include <hyssopdeal/coordination/membership_runner.hpp>
#include <hyssopdeal/transport/http_server.hpp>

namespace hyssopdeal::coordination
{

// [control_access] -----------------------------------------------------------

/// What the API needs of its process.
struct control_access
{
    using propose_callback = control_node::propose_callback;

    std::function<const state::control_state&()> state;
    std::function<bool()> may_read;
    std::function<replica_status()> status;
    std::function<void(state::command, propose_callback)> propose;
    std::function<void(replica_change, state::replica_member, propose_callback)>
        change;
    std::function<const membership&()> members;
};

// [control_api] --------------------------------------------------------------

/// Checks, routes and answers operators' requests.
class control_api
{
public:
    control_api(std::vector<operator_token> tokens, control_access access);

    /// Answers a request, perhaps later.
    void handle(const transport::http_request& request,
                transport::http_responder responder);

private:
    struct call;

    [[nodiscard]] bool allowed(const call& asked) const;
    [[nodiscard]] bool leads(const call& asked) const;
    void read(const call& asked) const;
    void write(const call& asked);
    void read_record(const call& asked) const;
    void read_list(const call& asked) const;
    void read_applied(const call& asked) const;
    void inspect(const call& asked) const;
    void write_contract(const call& asked);
    void write_service(const call& asked);
    void write_move(const call& asked);
    void drain_instance(const call& asked);
    void write_evacuation(const call& asked);
    void change_replicas(const call& asked);
    void propose(const call& asked, state::command_body body);
    void answer_write(const call& asked, const state::command_result& result,
                      const state::command_body& body) const;

    std::vector<operator_token> tokens_;
    control_access access_;
};

} // namespace hyssopdeal::coordination

#endif
