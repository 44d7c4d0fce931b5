#ifndef HYSSOPDEAL_COORDINATION_CLUSTER_CLUSTER_PROCESS_HPP
#define HYSSOPDEAL_COORDINATION_CLUSTER_CLUSTER_PROCESS_HPP

/// @file
/// One control replica of a self-forming cluster: bootstraps or joins the
/// cluster, replicates the log, serves the operators' API and sends entries the
/// configuration in force.
///
/// Index: [settings] [platform] [answers] [cluster_process]

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <hyssopdeal/coordination/cluster/capacity_planner.hpp>
#include <hyssopdeal/coordination/cluster/cluster_machine.hpp>
#include <hyssopdeal/coordination/cluster/cluster_voters.hpp>
#include <hyssopdeal/coordination/cluster/share_allocator.hpp>
#include <hyssopdeal/coordination/cluster/usage_collector.hpp>
#include <hyssopdeal/coordination/cluster/version_rollout.hpp>
#include <hyssopdeal/coordination/gateway/token_quota.hpp>
#include <hyssopdeal/protocol/service_document.hpp>
#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/event_loop.hpp>
#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

/// What a replica with an empty disk does when it starts.
enum class cluster_start : std::uint8_t
{
    first, ///< Bootstraps a new cluster if it is one of the seeds.
    later  ///< Joins the existing cluster.
};

struct cluster_settings
{
    std::string name; ///< Instance name.
    std::string failure_domain;
    /// Failure domains of the deployment; those of the instance list are known
    /// besides.
    std::set<std::string> known_domains;
    std::string address;                  ///< IP address.
    std::string link_listen_address;      ///< Replica links; empty: `address`.
    std::uint16_t hub_port = 0;           ///< The same on all instances.
    std::size_t max_unproved_links = 256; ///< As peer_hub_settings.
    std::string operators;                ///< `IP:port` of the operators' API.
    std::vector<std::string> seeds;       ///< Hub addresses.
    cluster_start start = cluster_start::later;
    std::string data_folder;
    std::string shared_key; ///< Authenticates links between processes.
    cluster_machine_settings machine;
    cluster_voter_settings voters;
    share_settings shares;
    quota_settings quotas;
    usage_settings usage;
    capacity_settings capacity;
    version_rollout_settings moves;
    std::chrono::milliseconds list_interval{700}; ///< Between two reads.
    /// Interval on the leader after the list has changed. A reclaim is
    /// announced only two to three seconds ahead and a new server takes four
    /// seconds to start. The interval is longer otherwise because each read has
    /// a cost.
    std::chrono::milliseconds list_interval_after_change{400};
    std::chrono::milliseconds list_change_window{10'000}; ///< After a change.
    /// Interval on followers; well below the time within which a replica must
    /// know of a drain.
    std::chrono::milliseconds list_interval_follower{1'300};
    /// Delay before a new leader's first order to the platform, so that no
    /// order of the previous leader is still in progress.
    std::chrono::milliseconds order_lease{3'000};
    /// A leader transfers leadership when a disk write takes longer than this.
    std::chrono::milliseconds disk_stall_limit{700};
};

// [platform] -----------------------------------------------------------------

/// Fencing token of an order to the platform: the sender and a number that
/// never decreases.
struct order_fence
{
    std::string holder;
    std::uint64_t token = 0;
};

/// Functions through which a replica uses the platform. All must be set. Their
/// completion callbacks run on the event loop's thread.
struct platform_callbacks
{
    /// Reads the whole instance list.
    std::function<void(
        std::function<void(
            transport::result<std::vector<protocol::listed_server>>)>)>
        read_list;
    /// Reports the usage counts of one accounting window.
    std::function<void(const order_fence&, const decide_usage_command&,
                       std::function<void(transport::result<void>)>)>
        report_usage;
    /// Orders additional servers.
    std::function<void(const order_fence&, const capacity_order&,
                       std::function<void(order_outcome)>)>
        order_servers;
    /// Decodes a service document.
    std::function<transport::result<protocol::service_document>(
        const std::string& bytes)>
        read_document;
};

// [answers] ------------------------------------------------------------------

/// The document in force, as stored.
struct versioned_document
{
    std::uint64_t version = 0; ///< 0: none.
    std::string bytes;
};

// [cluster_process] ----------------------------------------------------------

/// Not thread-safe: all calls must come from the event loop's thread.
class cluster_process
{
public:
    using result_callback = std::function<void(transport::result<void>)>;
    using document_callback =
        std::function<void(transport::result<versioned_document>)>;
    using rollout_callback =
        std::function<void(transport::result<rollout_record>)>;

    cluster_process(transport::event_loop& loop, const transport::clock& clock,
                    cluster_settings settings, platform_callbacks platform);
    cluster_process(const cluster_process&) = delete;
    cluster_process& operator=(const cluster_process&) = delete;
    ~cluster_process();

    /// Opens the disk and the links to other processes.
    [[nodiscard]] transport::result<void> start();

    /// Sets the handler for a disk failure. The process must then exit and
    /// recover its state from the disk when it is restarted.
    void on_disk_failed(std::function<void()> handler);

    /// Replaces the seeds; later join requests go to the new ones.
    void set_seeds(std::vector<std::string> seeds);

    /// Replaces `cluster_settings::known_domains`.
    void set_known_domains(std::set<std::string> domains);

    /// Replicates a document and puts it in force in the whole cluster. An
    /// invalid document is refused with `bad_request`. A version that is not
    /// higher than the one in force succeeds and changes nothing.
    void put_document(std::string bytes, const result_callback& on_done);

    /// Reads the latest document (linearizable); `no_quorum` without a leader.
    void read_document(const document_callback& on_done);

    /// Starts a rollout that moves a service to another version.
    void put_rollout(const rollout_record& record,
                     const result_callback& on_done);

    /// Reads the rollout of a service; `not_found` if it has none.
    void read_rollout(const std::string& service,
                      const rollout_callback& on_done);

    /// Begins or ends the evacuation of a failure domain: its servers get no
    /// more requests, and no servers are ordered there. An order that is in
    /// force already succeeds. Fails with `not_found` if there is no such
    /// domain.
    void put_evacuation(const std::string& domain, bool evacuated,
                        const result_callback& on_done);

    /// Transfers leadership if this replica leads. Calls back once it no longer
    /// leads, or after 1.5 s.
    void drain(std::function<void()> on_drained);

    /// @return State as metrics in the Prometheus text format.
    [[nodiscard]] std::string metrics() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::coordination

#endif
