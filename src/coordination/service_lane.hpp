#ifndef HYSSOPDEAL_SRC_COORDINATION_SERVICE_LANE_HPP
#define HYSSOPDEAL_SRC_COORDINATION_SERVICE_LANE_HPP

/// @file
/// Internal: backend server selection for one service on one shard.
/// Requests queue while no server has capacity.
///
/// Index: [lane_request] [service_lane]

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include <hyssopdeal/coordination/admission_queue.hpp>
#include <hyssopdeal/coordination/load_balancer_router.hpp>
#include <hyssopdeal/protocol/contract.hpp>
#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/event_loop.hpp>
#include <hyssopdeal/transport/failure.hpp>
#include <hyssopdeal/transport/http_client.hpp>

#include "load_estimate_feed.hpp"

namespace hyssopdeal::coordination
{

// [lane_request] -------------------------------------------------------------

/// The chosen server, or the failure and the delay before a retry.
struct lane_outcome
{
    transport::result<route_choice> choice;
    std::chrono::milliseconds retry_after{1'000}; ///< With a failure.
};

/// A request that needs a backend server. The data that its views refer to must
/// stay valid until on_outcome has been called.
struct lane_request
{
    route_request route;
    transport::monotonic_time deadline;
    std::function<void(lane_outcome)> on_outcome; ///< Called once.
};

// [service_lane] -------------------------------------------------------------

/// Router and admission queue of one service; used on the shard's thread.
class service_lane
{
public:
    service_lane(transport::event_loop& loop, const transport::clock& clock,
                 transport::http_client& client, std::mt19937_64& random,
                 router_settings settings);
    service_lane(const service_lane&) = delete;
    service_lane& operator=(const service_lane&) = delete;
    ~service_lane();

    /// Applies a new service declaration. If evacuations leave no server, the
    /// queued requests are refused at once instead of at their deadline.
    ///
    /// @param leaving Names of the servers that get no new requests.
    /// @param evacuated Failure domains whose servers get no new requests.
    void set_service(const protocol::service& declared,
                     const std::vector<std::string>& leaving,
                     const domain_names& evacuated);

    /// Chooses a server at once or queues the request. May call on_outcome
    /// before it returns.
    void enter(lane_request request);

    /// Report the progress of a chosen attempt, see service_router.
    void on_first_token(route_choice& choice);
    void on_ended(const route_choice& choice, attempt_outcome outcome,
                  double output_tokens);
    void on_refused(const route_choice& choice);

    /// Refuses all queued requests with this code.
    void refuse_all(transport::reason code);

    /// @return The router, for load reports and inspection.
    [[nodiscard]] service_router& router() noexcept;

    /// @return Number of queued requests.
    [[nodiscard]] std::size_t waiting() const noexcept;

private:
    void enqueue(lane_request request);
    void serve_queue();
    void refuse(const std::vector<admission_refusal>& refusals);
    void schedule_refusals();

    transport::event_loop& loop_;
    const transport::clock& clock_;
    std::mt19937_64& random_;
    service_router router_;
    load_estimate_feed feed_;
    admission_queue queue_;
    std::unordered_map<request_number, lane_request> waiting_;
    request_number last_number_ = 0;
    transport::timer_handle timer_;
    bool serving_queue_ = false;
};

} // namespace hyssopdeal::coordination

#endif
