#ifndef HYSSOPDEAL_COORDINATION_LOAD_BALANCER_ROUTER_HPP
#define HYSSOPDEAL_COORDINATION_LOAD_BALANCER_ROUTER_HPP

/// @file
/// Routing of one service on one entry: maintains the routing table of its
/// servers and calls the load balancer. Performs no I/O.
///
/// Index: [settings] [route_request] [route_choice] [service_router]

#include <chrono>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <hyssopdeal/coordination/admission_queue.hpp>
#include <hyssopdeal/coordination/concurrency_limit.hpp>
#include <hyssopdeal/coordination/evacuation/evacuated_domains.hpp>
#include <hyssopdeal/coordination/load_balancer.hpp>
#include <hyssopdeal/coordination/load_estimate.hpp>
#include <hyssopdeal/coordination/outlier_detector.hpp>
#include <hyssopdeal/coordination/prefix_index.hpp>
#include <hyssopdeal/coordination/subset.hpp>
#include <hyssopdeal/protocol/contract.hpp>
#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

/// Load balancing policy.
enum class balancer_kind : std::uint8_t
{
    predicted_first_token,
    round_robin,
    least_reported_load,
    power_of_two_reported
};

/// Settings of the routing of one service.
struct router_settings
{
    std::string entry;          ///< Name of this entry.
    std::string failure_domain; ///< Failure domain of this entry.
    balancer_kind balancer = balancer_kind::predicted_first_token;
    predicted_first_token_settings prediction;
    subset_settings subset;
    outlier_settings outliers;
    concurrency_settings concurrency;
    std::chrono::microseconds cross_domain_hop{1'500}; ///< One-way latency.
    double reclaimable_hazard_per_hour = 0.1;          ///< Default per hour.
    double default_output_tokens = 256;
    /// Maximum predicted queueing time on a server whose slots are all in use;
    /// above it, requests wait in the entry's queue, in order of priority.
    std::chrono::milliseconds max_queueing{1'000};
    /// Fraction of the slots that only interactive requests may use while there
    /// are recent interactive requests.
    double interactive_reserve = 0.25;
    /// How long slots stay reserved after the last interactive request.
    std::chrono::milliseconds interactive_reserve_time{10'000};
};

// [route_request] ------------------------------------------------------------

/// Parameters of a routing decision.
struct route_request
{
    std::string_view prompt;   ///< Text used for the prefix cache lookup.
    double prompt_tokens = 0;  ///< 0: estimated from the prompt's bytes.
    double max_new_tokens = 0; ///< 0: unknown.
    protocol::priority_class priority = protocol::priority_class::standard;
    std::string_view version;       ///< Empty: chosen by traffic shares.
    std::vector<std::string> avoid; ///< Servers that failed this request.
};

// [route_choice] -------------------------------------------------------------

/// A routing decision. The caller passes it back to the router when the first
/// token arrives and when the attempt ends.
struct route_choice
{
    std::string server;  ///< Name of the server.
    std::string address; ///< `IP:port`.
    std::string version;
    std::chrono::microseconds predicted_first_token{0};
    std::chrono::microseconds unloaded_first_token{0};
    double prompt_tokens = 0;
    double cached_tokens = 0; ///< Predicted prefix cache hit.
    protocol::priority_class priority = protocol::priority_class::standard;
    sent_request sent;
};

// [service_router] -----------------------------------------------------------

/// Routes the requests of one service. Not thread-safe.
class service_router
{
public:
    explicit service_router(router_settings settings);
    service_router(service_router&&) noexcept;
    service_router& operator=(service_router&&) noexcept;
    ~service_router();

    /// Applies a service declaration and recomputes the subset. The state of
    /// servers that remain in the subset at the same address is kept.
    ///
    /// @param leaving Names of servers that must not get new requests.
    /// @param evacuated Failure domains whose servers get no new requests. The
    ///     subset is chosen from the servers of the others; evacuated servers
    ///     already in use keep their state.
    void set_service(const protocol::service& declared,
                     const std::vector<std::string>& leaving,
                     const domain_names& evacuated = {});

    /// Stops new requests to a server. Later declarations that still list the
    /// server with the same address do not undo this.
    void set_leaving(std::string_view server);

    /// Sets whether a server can be reached from this node; `leaving` has the
    /// effect of set_leaving().
    void set_state(std::string_view server, server_availability state);

    /// Sets the number of entry instances, including this one, that send
    /// requests to the same servers.
    void set_peers(std::uint32_t entries);

    /// Sets the expected reclaims per hour of a server until the next call of
    /// set_service(), which restores the default.
    void set_reclaim_hazard(std::string_view server, double reclaims_per_hour);

    void on_report(transport::monotonic_time now, std::string_view server,
                   const load_report& report);
    void on_cache_event(std::string_view server, const cache_event& event);

    /// Chooses a server and counts the request as in flight on it.
    ///
    /// @return no_backend_server if no server of the version is available;
    ///     overloaded if every available one is at its limit or congested.
    [[nodiscard]] transport::result<route_choice>
    choose(transport::monotonic_time now, const route_request& request,
           std::mt19937_64& random);

    /// Records the time to first token; later calls have no effect.
    void on_first_token(transport::monotonic_time now, route_choice& choice);

    /// Records the end of an attempt. Each choice must be ended exactly once,
    /// by on_ended() or on_refused().
    void on_ended(transport::monotonic_time now, const route_choice& choice,
                  attempt_outcome outcome, double output_tokens);

    /// Records that the server refused the request without running it. Ends
    /// the choice and counts as overload for the server's concurrency limit.
    void on_refused(transport::monotonic_time now, const route_choice& choice);

    /// A routing table row, as shown by /debug/routes.
    struct table_row
    {
        std::string server;
        std::string version;
        routing_candidate state;
    };
    [[nodiscard]] std::vector<table_row> rows() const;

    /// @return For each priority class, whether has_room() holds.
    [[nodiscard]] class_states rooms(transport::monotonic_time now) const;

    /// @return Whether some server is available, however busy.
    [[nodiscard]] bool has_server(transport::monotonic_time now) const;

    /// @return Whether some server can accept a request of a class now.
    [[nodiscard]] bool
    has_room(transport::monotonic_time now,
             protocol::priority_class priority =
                 protocol::priority_class::interactive) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::coordination

#endif
