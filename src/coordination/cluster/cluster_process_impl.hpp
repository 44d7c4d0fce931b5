#ifndef HYSSOPDEAL_SRC_COORDINATION_CLUSTER_CLUSTER_PROCESS_IMPL_HPP
#define HYSSOPDEAL_SRC_COORDINATION_CLUSTER_CLUSTER_PROCESS_IMPL_HPP

/// @file
/// Implementation class of cluster_process. Internal.
///
/// Index: [requests] [impl]
///
/// The member functions are defined in:
/// - cluster_process.cpp: start-up, the replica's event loop, links
/// - cluster_process_joining.cpp: finding and joining the cluster
/// - cluster_process_serving.cpp: requests of operators, replicas and entries
/// - cluster_process_duties.cpp: instance list, the leader's platform orders
/// - cluster_process_moves.cpp: rollouts of new service versions
/// - cluster_process_crashes.cpp: quarantine of prompts that crash servers
/// - cluster_process_evacuation.cpp: evacuation of failure domains

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <hyssopdeal/coordination/admission/reserve_ledger.hpp>
#include <hyssopdeal/coordination/admission/shortage_controller.hpp>
#include <hyssopdeal/coordination/cluster/brittle_directory.hpp>
#include <hyssopdeal/coordination/cluster/cluster_process.hpp>
#include <hyssopdeal/coordination/cluster/crash_attribution.hpp>
#include <hyssopdeal/coordination/cluster/load_table.hpp>
#include <hyssopdeal/coordination/cluster/permit_allocator.hpp>
#include <hyssopdeal/coordination/cluster/relay_directory.hpp>
#include <hyssopdeal/coordination/cluster/report_pacing.hpp>
#include <hyssopdeal/coordination/cluster/version_rollout.hpp>
#include <hyssopdeal/coordination/cold_start/cold_servers.hpp>
#include <hyssopdeal/coordination/evacuation/evacuated_domains.hpp>
#include <hyssopdeal/protocol/exact_json.hpp>
#include <hyssopdeal/protocol/follow_messages.hpp>
#include <hyssopdeal/protocol/peer_hub.hpp>
#include <hyssopdeal/transport/digest.hpp>

#include "coordination/control_disk.hpp"

namespace hyssopdeal::coordination
{

// [requests] -----------------------------------------------------------------

/// Requests that a replica forwards to the leader. The numeric values are sent
/// between replicas.
enum class request_kind : std::uint8_t
{
    put_document,
    read_document,
    put_rollout,
    read_rollout,
    read_listing,
    put_evacuation
};

// The load of an entry that has not reported for longer no longer counts. Twice
// the longest interval between two reports.
constexpr std::chrono::milliseconds load_report_lifetime{2'500};

// [impl] ---------------------------------------------------------------------

struct cluster_process::impl
{
    impl(transport::event_loop& own_loop, const transport::clock& own_clock,
         cluster_settings own_settings, platform_callbacks own_platform);

    // cluster_process.cpp
    transport::result<void> open_disk();
    transport::result<void> use_disk(control_disk::storage_type storage,
                                     state::recovered_state recovered);
    transport::result<void> bootstrap_cluster();
    void retry_bootstrap(transport::monotonic_time now);
    void set_disk_full(bool full, const std::string& why);
    void on_disk_error(const std::string& text);
    transport::result<void> open_links();
    void tick();
    void propose_eligible_entries();
    void step(replica_event event);
    void execute(cluster_actions actions);
    void on_disk_written(std::uint64_t number,
                         const transport::result<void>& ended);
    void send(const replica_message& message);
    void on_replica_message(const std::string& from,
                            const std::string& payload);
    void propose(const cluster_command& command, result_callback on_done);
    void on_leadership_change();
    [[nodiscard]] replica_status status() const;
    [[nodiscard]] bool leads() const;
    [[nodiscard]] transport::wall_time quorum_time() const;

    // cluster_process_joining.cpp
    void find_cluster();
    void on_join_answer(const std::string& from,
                        const transport::result<std::string>& bytes);
    [[nodiscard]] protocol::join_answer
    on_join_request(const protocol::join_message& request);
    void join_with_id(std::uint64_t id);
    void discard_replica_state();
    [[nodiscard]] std::set<std::string> other_replicas() const;

    // cluster_process_serving.cpp
    void on_forwarded_request(const std::string& payload,
                              const protocol::peer_hub::reply_function& reply);
    void forward_to_leader(
        request_kind kind, const std::string& body,
        const std::function<void(transport::result<std::string>)>& on_answer);
    void execute_as_leader(
        request_kind kind, const std::string& body,
        const std::function<void(transport::result<std::string>)>& on_end);
    void
    submit(request_kind kind, const std::string& body,
           const std::function<void(transport::result<std::string>)>& on_end);
    void on_leaving_servers(const protocol::entry_report& report);
    void on_report(const std::string& payload,
                   const protocol::peer_hub::reply_function& reply);
    void on_token_request(const std::string& payload,
                          const protocol::peer_hub::reply_function& reply);
    [[nodiscard]] protocol::entry_orders
    orders_for(const protocol::entry_report& report,
               const load_table::loads& load_before);
    [[nodiscard]] std::int64_t listing_age_ms() const;
    bool refresh_packed_load(transport::monotonic_time now);
    [[nodiscard]] report_use use_of_reports() const;
    [[nodiscard]] std::chrono::milliseconds report_interval() const;

    // cluster_process_duties.cpp
    void poll_instance_list();
    void read_list_from_platform();
    bool accept_leader_list(transport::monotonic_time requested_at,
                            const transport::result<std::string>& answer);
    void update_listing(transport::monotonic_time read,
                        protocol::server_listing latest);
    void run_leader_tasks();
    void send_usage(const decide_usage_command& decision);
    void plan_servers();
    void send_order(const capacity_order& order, double running);
    void cache_document();
    void update_shared_quota(transport::monotonic_time now);
    [[nodiscard]] bool may_send_orders() const;

    // cluster_process_moves.cpp
    void advance_moves();
    void on_version_reports(const protocol::entry_report& report);
    [[nodiscard]] const version_rollout*
    find_move(const rollout_record& order) const;
    version_rollout& find_or_start_move(const rollout_record& order);
    [[nodiscard]] std::map<std::string, protocol::version_order>
    version_orders(const protocol::entry_report& report) const;

    // cluster_process_crashes.cpp
    void on_crash_report(const protocol::entry_report& report);
    void advance_quarantines();
    void propose_quarantine(const cluster_command& command,
                            std::string_view event,
                            const protocol::part_ids& parts);
    [[nodiscard]] protocol::crash_orders crash_orders() const;

    // cluster_process_evacuation.cpp
    [[nodiscard]] transport::result<void>
    check_domain(const std::string& domain) const;
    void propose_evacuation(const protocol::exact_json& order,
                            const result_callback& on_done);
    [[nodiscard]] std::set<std::string> evacuated() const;
    void log_entries_behind();

    transport::event_loop& loop;
    const transport::clock& clock;
    cluster_settings settings;
    platform_callbacks platform;
    std::string own_address; ///< Hub address; identifies this replica on links.
    /// Empty until the replica has an id.
    std::optional<cluster_machine> machine;
    std::unique_ptr<protocol::peer_hub> hub;
    /// By proposal id.
    std::map<std::uint64_t, result_callback> pending_proposals;
    std::uint64_t next_proposal = 0;
    /// Callbacks of an earlier disk object are ignored.
    std::uint64_t disk_epoch = 0;
    /// Set to false on destruction: callbacks that the disk thread has posted
    /// may run later.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    transport::monotonic_time disk_busy_since{};
    bool disk_busy = false;
    bool disk_failed = false;
    bool disk_full = false;
    /// The replica's id while its initial state is not stored yet, otherwise 0.
    std::uint64_t bootstrap_id = 0;
    transport::monotonic_time next_bootstrap{};
    std::function<void()> disk_failed_handler;
    std::function<void()> drained_handler;
    transport::monotonic_time drain_deadline{};

    // Joining.
    std::set<std::string> known_replicas; ///< Hub addresses.
    /// Hub addresses of replicas that have sent a message, by id.
    std::map<std::uint64_t, std::string> address_by_id;
    transport::monotonic_time next_join_request{};
    transport::monotonic_time last_leader_contact{};

    // Entries.
    /// Servers that entries report as leaving and the list still shows as
    /// ready.
    protocol::leaving_servers leaving;
    load_table loads{load_report_lifetime};
    brittle_directory brittle;
    relay_directory relays{load_report_lifetime, transport::random_seed()};
    std::optional<share_allocator> allocator; ///< Leader only.
    permit_allocator permits;                 ///< Used on the leader only.
    listed_cold_times listed_cold;
    cold_permits cold; ///< Used on the leader only.
    bool entries_proposed = false;
    /// The part of the quotas that entries request per use; leader only.
    std::optional<token_quota> shared_quota;
    std::optional<reserve_ledger> reserves;      ///< Of it; leader only.
    std::optional<shortage_controller> shortage; ///< Leader only.
    // From the document in force, cached by cache_document().
    std::vector<std::string> organisations;
    std::vector<protocol::organisation_terms> quota_terms;
    std::uint64_t shared_quota_version = 0; ///< Document in `shared_quota`.
    std::vector<protocol::document_service> services;
    std::uint64_t cached_document_version = 0;
    std::string packed_document; ///< Sent to entries that request it.
    std::uint64_t packed_version = 0;
    std::string packed_load; ///< Sum over all entries.
    transport::monotonic_time load_packed_at{};
    std::string packed_listing;
    std::uint64_t packed_listing_digest = 0;
    work_demand work;
    capacity_planner capacity; ///< Sends no orders on followers.
    transport::monotonic_time next_capacity_plan{};
    usage_collector usage;
    std::map<std::string, version_rollout> moves; ///< By service; leader only.
    bool move_end_proposed = false;
    transport::monotonic_time next_move_step{};

    crash_attribution crashes{crash_attribution_settings{}};
    bool quarantine_proposed = false;
    transport::monotonic_time next_quarantine_step{};

    evacuation_progress evacuation_reports;
    /// Every one that an instance list has shown.
    std::set<std::string> listed_domains;

    // Platform.
    protocol::server_listing listing;
    std::optional<transport::monotonic_time> listing_read_at;
    transport::monotonic_time listing_changed_at{};
    transport::monotonic_time next_list_read{};
    bool list_read_pending = false;
    std::string list_error;
    state::term_number leading_term = 0;
    transport::monotonic_time leader_since{};
    std::set<std::uint64_t> usage_accepted;
    std::set<std::uint64_t> usage_in_flight;
    bool usage_proposed = false;
    transport::monotonic_time next_leader_tasks{};

    report_pacing pacing{{}};
    transport::monotonic_time tick_due_at{};
    transport::timer_handle tick_timer;
    std::unique_ptr<control_disk> disk; // last: its thread is joined first
};

} // namespace hyssopdeal::coordination

#endif
