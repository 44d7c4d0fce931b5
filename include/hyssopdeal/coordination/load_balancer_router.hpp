#ifndef HYSSOPDEAL_COORDINATION_LOAD_BALANCER_ROUTER_HPP
#define HYSSOPDEAL_COORDINATION_LOAD_BALANCER_ROUTER_HPP

/// @file
/// Routing of one service on one entry: keeps the table of its servers and asks
/// the load balancer. Holds all that a choice needs, does no I/O.
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

/// Which balancer decides.
enum class balancer_kind : std::uint8_t
{
    predicted_first_token,
    round_robin,
    least_reported_load,
    power_of_two_reported
};

/// Everything that shapes the choice.
struct router_settings
{
    std::string entry;          ///< Name of this process.
    std::string failure_domain; ///< Where it runs.
    balancer_kind balancer = balancer_kind::predicted_first_token;
    predicted_first_token_settings prediction;
    subset_settings subset;
    outlier_settings outliers;
    concurrency_settings concurrency;
    std::chrono::microseconds cross_domain_hop{1'500}; ///< One way.
    double reclaimable_hazard_per_hour = 0.1;          ///< Until observed.
    double default_output_tokens = 256;
    std::chrono::milliseconds max_queueing{1'000}; ///< Expected on a server;
                                                   ///< beyond it requests wait
                                                   ///< here, by priority.
    double interactive_reserve = 0.25; ///< Of a server's slots; other classes
                                       ///< leave them while interactive calls
                                       ///< come.
    std::chrono::milliseconds interactive_memory{10'000}; ///< Since the last.
};

// [route_request] ------------------------------------------------------------

/// A request that looks for a server.
struct route_request
{
    std::string_view prompt;   ///< Text that engines cache by prefix.
    double prompt_tokens = 0;  ///< 0: estimated from the prompt's bytes.
    double max_new_tokens = 0; ///< 0: unknown.
    protocol::priority_class priority = protocol::priority_class::standard;
    std::string_view version;       ///< Empty: by the shares.
    std::vector<std::string> avoid; ///< Servers that failed this request.
};

// [route_choice] -------------------------------------------------------------

/// The server to use; give it back to the router at each step.
struct route_choice
{
    std::string server;  ///< Name.
    std::string address; ///< `IP:port`.
    std::string version;
    std::chrono::microseconds predicted_first_token{0};
    std::chrono::microseconds unloaded_first_token{0};
    double prompt_tokens = 0;
    double cached_tokens = 0; ///< Expected in the server's prefix cache.
    protocol::priority_class priority = protocol::priority_class::standard;
    sent_request sent;
};

// [service_router] -----------------------------------------------------------

/// Routes one service's requests; one thread at a time.
class service_router
{
public:
    explicit service_router(router_settings settings);
    service_router(service_router&&) noexcept;
    service_router& operator=(service_router&&) noexcept;
    ~service_router();

    /// Takes over a declaration; what is known of servers that stay is kept.
    ///
    /// @param leaving Names that no source lets have new work.
    void set_service(const protocol::service& declared,
                     const std::vector<std::string>& leaving);

    /// A server gets no new work from now on, whatever the declaration says,
    /// until it is declared under another address.
    void set_leaving(std::string_view server);

    /// A server is cut off from this node, or reached again.
    void set_state(std::string_view server, server_availability state);

    /// Sets how many entry instances, with this one, send to the servers.
    void set_peers(std::uint32_t entries);

    /// Expected reclaims of a server in an hour.
    void set_hazard(std::string_view server, double reclaims_per_hour);

    void on_report(transport::monotonic_time now, std::string_view server,
                   const load_report& report);
    void on_cache_event(std::string_view server, const cache_event& event);

    /// Chooses a server and counts the request as sent there.
    ///
    /// @return no_backend_server when none is eligible; overloaded when all
    ///     eligible ones are at their concurrency limit.
    [[nodiscard]] transport::result<route_choice>
    choose(transport::monotonic_time now, const route_request& request,
           std::mt19937_64& random);

    /// Answers came, or the attempt ended; each choice ends exactly once.
    void on_first_token(transport::monotonic_time now, route_choice& choice);
    void on_ended(transport::monotonic_time now, const route_choice& choice,
                  attempt_outcome outcome, double output_tokens);

    /// The server refused before running.
    void on_refused(transport::monotonic_time now, const route_choice& choice);

    /// @return The whole table, for /debug/routes.
    struct table_row
    {
        std::string server;
        std::string version;
        routing_candidate state;
    };
    [[nodiscard]] std::vector<table_row> rows() const;

    /// @return The classes of which any server could take a request now.
    [[nodiscard]] class_states rooms(transport::monotonic_time now) const;

    /// @return Whether any server could take a request of a class now.
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
