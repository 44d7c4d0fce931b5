#ifndef HYSSOPDEAL_COORDINATION_CLUSTER_CLUSTER_PROCESS_HPP
#define HYSSOPDEAL_COORDINATION_CLUSTER_CLUSTER_PROCESS_HPP

/// @file
/// One control replica of a cluster that forms by itself: founds or joins,
/// replicates, serves operators' orders, and gives entries what is in force.
///
/// Index: [settings] [platform] [answers] [cluster_process]

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <hyssopdeal/coordination/cluster/capacity_plan.hpp>
#include <hyssopdeal/coordination/cluster/cluster_machine.hpp>
#include <hyssopdeal/coordination/cluster/cluster_voters.hpp>
#include <hyssopdeal/coordination/cluster/share_allocator.hpp>
#include <hyssopdeal/coordination/cluster/usage_collector.hpp>
#include <hyssopdeal/coordination/cluster/version_move.hpp>
#include <hyssopdeal/coordination/gateway/token_quota.hpp>
#include <hyssopdeal/protocol/service_document.hpp>
#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/event_loop.hpp>
#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

/// Whether the system starts for the first time.
enum class cluster_start : std::uint8_t
{
    first, ///< The seeds found a new cluster.
    later  ///< A cluster exists: an empty disk joins it.
};

struct cluster_settings
{
    std::string name; ///< Of the instance.
    std::string failure_domain;
    std::string address;             ///< IP number.
    std::string link_listen_address; ///< For links; empty: `address`.
    std::uint16_t hub_port = 0;      ///< Same on every instance.
    std::string operators;           ///< `IP:port` of the operators' API.
    std::vector<std::string> seeds;  ///< Hub addresses.
    cluster_start start = cluster_start::later;
    std::string data_folder;
    std::string shared_key; ///< Of the links between processes.
    cluster_machine_settings machine;
    cluster_voter_settings voters;
    share_settings shares;
    quota_settings quotas;
    usage_settings usage;
    capacity_settings capacity;
    version_move_settings moves;
    std::chrono::milliseconds list_interval{700}; ///< Between two readings.
    /// The same on the leader while servers come and go: a reclaim is told two
    /// or three seconds ahead, and others need four to start. Each reading
    /// costs, so not always.
    std::chrono::milliseconds list_interval_after_change{400};
    std::chrono::milliseconds list_change_window{10'000}; ///< After a change.
    /// The same on a replica that another leads: well below the time in which
    /// a drain must be known.
    std::chrono::milliseconds list_interval_follower{1'300};
    /// A new leader's first order to the platform waits for so long, so that
    /// the former leader's are surely over.
    std::chrono::milliseconds order_lease{3'000};
    /// A leader whose disk is busy for longer hands over.
    std::chrono::milliseconds disk_stall_limit{700};
};

// [platform] ------------------------------------------------------------------

/// Marks an order to the platform: who sends it, and a number that only grows.
struct order_fence
{
    std::string holder;
    std::uint64_t token = 0;
};

/// What the platform takes and gives. All functions must be set; callbacks are
/// called on the loop's thread.
struct platform_callbacks
{
    /// Reads the whole instance list.
    std::function<void(
        std::function<void(
            transport::result<std::vector<protocol::listed_server>>)>)>
        read_list;
    /// Sends the counts of a window.
    std::function<void(const order_fence&, const decide_usage_command&,
                       std::function<void(transport::result<void>)>)>
        report_usage;
    /// Orders servers.
    std::function<void(const order_fence&, const capacity_order&,
                       std::function<void(order_outcome)>)>
        order_servers;
    /// Reads a document.
    std::function<transport::result<protocol::service_document>(
        const std::string& bytes)>
        read_document;
};

// [answers] ------------------------------------------------------------------

/// A document as it is in force.
struct versioned_document
{
    std::uint64_t version = 0; ///< 0: none.
    std::string bytes;
};

// [cluster_process] ----------------------------------------------------------

/// Use it on the loop's thread.
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

    /// Opens the disk and the links.
    [[nodiscard]] transport::result<void> start();

    /// Calls a handler when the disk has failed: the process is to end, and to
    /// read its disk anew when it starts.
    void on_disk_failed(std::function<void()> handler);

    /// Changed seeds are asked from now on.
    void set_seeds(std::vector<std::string> seeds);

    /// Puts a document in force everywhere, or refuses it as invalid
    /// (`bad_request`). Success for one whose version is not higher than the
    /// one held, which changes nothing.
    void put_document(std::string bytes, const result_callback& on_done);

    /// Reads the newest document; `no_quorum` when that cannot be known.
    void read_document(const document_callback& on_done);

    /// Orders a move of a service to another version.
    void put_rollout(const rollout_record& record,
                     const result_callback& on_done);

    /// Reads a move; `not_found` when none was ordered.
    void read_rollout(const std::string& service,
                      const rollout_callback& on_done);

    /// Hands over if this replica leads, and calls back when it does not.
    void drain(std::function<void()> on_drained);

    /// @return Counters and state as Prometheus text.
    [[nodiscard]] std::string metrics() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::coordination

#endif
