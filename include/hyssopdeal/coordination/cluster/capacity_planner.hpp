#ifndef HYSSOPDEAL_COORDINATION_CLUSTER_CAPACITY_PLANNER_HPP
#define HYSSOPDEAL_COORDINATION_CLUSTER_CAPACITY_PLANNER_HPP

/// @file
/// Decides how many backend servers of each kind to order in each failure
/// domain. Follows load that rises and falls over a day, and keeps a service
/// running when all reclaimable servers of a domain are reclaimed while the
/// platform has no others. Does no I/O.
///
/// Index: [settings] [orders] [capacity_planner]
///
/// Servers are ordered by the number of concurrent requests, and given back as
/// `work_plan` allows for services whose entries report prefill work.
///
/// Reclaimable servers carry the load. They are spread evenly over the domains,
/// so that the loss of one domain leaves most of them. On-demand servers are
/// kept until reclaimable ones have started, and are ordered only when the
/// platform cannot supply enough reclaimable ones.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <hyssopdeal/coordination/capacity/work_plan.hpp>
#include <hyssopdeal/protocol/service_document.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

struct capacity_settings
{
    std::uint32_t min_servers_per_domain = 3; ///< One may fail or be slow.
    /// Concurrent requests; leaves room for long prompts beside short ones.
    double target_running_per_server = 6;
    /// Concurrent requests. Above it on-demand servers are ordered too if no
    /// reclaimable ones are available.
    double max_running_per_server = 10;
    /// On-demand servers may replace at most this fraction of the servers that
    /// ran before reclaimable ones became unavailable. Requests pile up behind
    /// too few servers, so the load then looks larger than it is.
    double on_demand_fraction = 0.45;
    /// The limit if the earlier load needs more than `on_demand_fraction` even
    /// at `max_running_per_server`.
    double max_on_demand_fraction = 0.7;
    /// Time constant of load smoothing; requests that pile up behind failed
    /// servers for a moment do not count as load.
    std::chrono::milliseconds load_smoothing_time{2'000};
    /// A peak older than this no longer counts. For the same time after the
    /// first load, the initial number of servers is kept, because the load
    /// before that is unknown.
    std::chrono::milliseconds peak_window{20'000};
    /// Beyond the start time; servers that have not appeared by then are no
    /// longer expected.
    std::chrono::milliseconds start_margin{3'000};
    /// Pause after the platform answered `none_available`.
    std::chrono::milliseconds unavailable_retry_delay{2'000};
    std::chrono::milliseconds failed_retry_delay{1'000};
    /// Interval at which an order that has not been met is sent again.
    std::chrono::milliseconds resend_interval{10'000};
};

// [orders] -------------------------------------------------------------------

/// The load of all services, by name.
struct service_loads
{
    std::map<std::string, double> running; ///< Concurrent requests.
    protocol::service_works work{};        ///< Counted since the last step.
};

enum class server_kind : std::uint8_t
{
    on_demand,  ///< Not reclaimed by the platform.
    reclaimable ///< May be taken back by the platform.
};

/// Sets the number of servers of one kind in one domain.
struct capacity_order
{
    std::string service;
    std::string domain;
    server_kind kind = server_kind::on_demand;
    std::uint32_t count = 0;
};

/// The platform's answer to an order.
enum class order_outcome : std::uint8_t
{
    accepted,
    none_available,
    failed
};

// [capacity_planner] ---------------------------------------------------------

/// Runs on every replica. Followers only record load and server counts, so that
/// a new leader knows what the load needed before servers were lost.
class capacity_planner
{
public:
    explicit capacity_planner(capacity_settings settings);

    /// Plans all services that have scaling terms. Called by the leader.
    ///
    /// @param servers The platform's instance list.
    /// @param evacuated Domains without orders, whose servers do not count; the
    ///     others are to carry all load.
    /// @return Orders to send now; pass the outcome of each to on_answer().
    [[nodiscard]] std::vector<capacity_order>
    step(transport::monotonic_time now,
         const std::vector<protocol::document_service>& services,
         const std::vector<protocol::listed_server>& servers,
         const service_loads& loads,
         const std::set<std::string>& evacuated = {});

    /// @return What the load needed in the latest step, by service; without
    ///     services for which no work is reported.
    [[nodiscard]] const std::map<std::string, capacity_need>&
    needs() const noexcept
    {
        return needs_;
    }

    void on_answer(transport::monotonic_time now, const capacity_order& order,
                   order_outcome outcome);

    /// Records load and server counts without ordering. Called by followers;
    /// drops the orders that this replica sent while it was the leader.
    void watch(transport::monotonic_time now,
               const std::vector<protocol::document_service>& services,
               const std::vector<protocol::listed_server>& servers,
               const service_loads& loads,
               const std::set<std::string>& evacuated = {});

private:
    /// The latest order for one kind of server in one domain.
    struct order_state
    {
        bool in_flight = false; ///< Sent; no outcome yet.
        bool accepted = false;  ///< `count` was accepted.
        std::uint32_t count = 0;
        transport::monotonic_time sent_at{};
        /// When `count` last grew. The platform does not replace servers that
        /// were reclaimed since.
        transport::monotonic_time last_increase{};
        transport::monotonic_time retry_at{};
        bool unavailable = false; ///< Latest outcome was `none_available`.
    };

    /// Ready servers of one service in one domain.
    struct server_counts
    {
        std::uint32_t on_demand = 0;
        std::uint32_t reclaimable = 0;
    };

    using counts_by_domain = std::map<std::string, server_counts>;

    /// Reclaimable servers of a service in one domain.
    struct domain_state
    {
        std::string name;
        server_counts ready;
        std::uint32_t starting = 0;
        bool none_available = false;
    };

    void plan(transport::monotonic_time now,
              const protocol::document_service& service,
              const counts_by_domain& ready, double running,
              const protocol::service_work& work,
              const std::set<std::string>& evacuated,
              std::vector<capacity_order>& orders);
    [[nodiscard]] std::vector<std::uint32_t>
    split_over_domains(const protocol::document_service& service,
                       const std::vector<domain_state>& domains,
                       std::uint32_t servers, bool move_missing) const;
    [[nodiscard]] std::uint32_t
    initial_server_floor(transport::monotonic_time now,
                         const std::string& service,
                         const counts_by_domain& ready);
    [[nodiscard]] double peak_load(transport::monotonic_time now,
                                   const std::string& service, double running);
    [[nodiscard]] std::uint32_t
    servers_starting(transport::monotonic_time now, const order_state& state,
                     std::uint32_t ready,
                     std::chrono::milliseconds start_time) const;
    void place_order(transport::monotonic_time now, capacity_order order,
                     std::uint32_t ready, std::vector<capacity_order>& orders);
    order_state& order_state_of(const capacity_order& order);

    /// Load of a service, in concurrent requests, and the servers it had.
    struct load_history
    {
        double smoothed = 0;
        transport::monotonic_time smoothed_at{};
        double peak = 0; ///< Highest smoothed load within `peak_window`.
        transport::monotonic_time peak_at{};
        /// Most servers of one kind that were ready before the first load.
        std::uint32_t initial_servers = 0;
        std::uint32_t met_plan_servers = 0; ///< Of the latest plan met.
        double mean_load = 0;               ///< While plans were met.
        std::uint32_t mean_load_steps = 0;
        transport::monotonic_time loaded_since{};
    };

    capacity_settings settings_;
    std::map<std::string, order_state> order_states_; ///< By service, domain,
                                                      ///< kind.
    std::map<std::string, load_history> load_histories_; ///< By service.
    work_plan work_plan_;
    std::map<std::string, capacity_need> needs_; ///< Of the latest step.
    /// No numbers are lowered until then: servers of a domain whose evacuation
    /// has ended may still be cold.
    transport::monotonic_time keep_until_{};
};

} // namespace hyssopdeal::coordination

#endif
