#ifndef HYSSOPDEAL_SRC_COORDINATION_CONTROL_PROCESS_IMPL_HPP
#define HYSSOPDEAL_SRC_COORDINATION_CONTROL_PROCESS_IMPL_HPP

/// @file
/// The control process's private part. Internal.
///
/// Index: [impl]
///
/// control_process.cpp starts and ends it, control_process_replica.cpp drives
/// the replica, control_process_serving.cpp answers entries.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <hyssopdeal/coordination/control_process.hpp>
#include <hyssopdeal/coordination/fleet_runner.hpp>
#include <hyssopdeal/coordination/grant_allocator.hpp>
#include <hyssopdeal/coordination/move_runner.hpp>
#include <hyssopdeal/transport/http_server.hpp>

#include "coordination/control_api.hpp"
#include "coordination/control_disk.hpp"
#include "coordination/grant_service.hpp"

namespace hyssopdeal::coordination
{

// [impl] ---------------------------------------------------------------------

struct control_process::impl : control_node
{
    impl(transport::event_loop& own_loop, const transport::clock& own_clock,
         control_settings own_settings)
        : loop(own_loop),
          clock(own_clock),
          settings(std::move(own_settings)),
          source(settings.learning)
    {}

    // control_node
    void propose(state::command value, propose_callback on_result) override;
    [[nodiscard]] const state::control_state& state() const override;
    [[nodiscard]] leadership leads() const override;
    void on_committed(committed_handler handler) override;
    void on_leadership(leadership_handler handler) override;

    transport::result<void> open_folder();
    transport::result<control_ports> bind(const std::string& shared_key);
    void start_membership(const std::string& shared_key);
    void start_controllers();
    void know_peers();
    void know_members(const state::replica_set& set);
    void tick();
    void step(replica_event event);
    void take(machine_actions actions);
    void written(std::uint64_t number, const transport::result<void>& done);
    void set_disk_full(bool full, const std::string& why);
    void send(const replica_message& message);
    void on_replica_message(const std::string& from,
                            const std::string& payload);
    void on_follow(const std::string& payload,
                   const protocol::peer_hub::reply_function& reply);
    void on_ledger(const std::string& payload,
                   const protocol::peer_hub::reply_function& reply);
    void on_grant_request(const std::string& payload,
                          const protocol::peer_hub::reply_function& reply);
    void follow_leadership(const leadership& now_leads);
    void give_contracts();
    void push_declarations();
    void promote_learners();
    void change(replica_change kind, state::replica_member member,
                propose_callback on_result);
    [[nodiscard]] control_access access();
    [[nodiscard]] std::string leader_name() const;
    void drain();

    transport::event_loop& loop;
    const transport::clock& clock;
    control_settings settings;
    std::optional<control_machine> machine;
    std::unique_ptr<protocol::peer_hub> hub;
    std::unique_ptr<membership_runner> members;
    std::unique_ptr<transport::http_server> http;
    std::unique_ptr<control_api> api;
    std::optional<grant_allocator> allocator; ///< While this one leads.
    state::term_number allocator_term = 0;
    std::unique_ptr<move_runner> moves;
    std::unique_ptr<grant_service> grants;
    std::unique_ptr<fleet_runner> fleet; // uses moves
    declaration_source source;
    std::map<std::uint64_t, propose_callback> waiting; ///< By proposal.
    std::map<std::uint64_t, std::string> names;        ///< Of replicas, by id.
    std::vector<committed_handler> committed_handlers;
    std::vector<leadership_handler> leadership_handlers;
    std::uint64_t next_proposal = 0;
    transport::monotonic_time next_promotion{};
    transport::monotonic_time drain_until{};
    bool draining = false;
    transport::timer_handle ticker;
    std::unique_ptr<control_disk> disk; // its thread ends first
    bool disk_full = false;
};

} // namespace hyssopdeal::coordination

#endif
