#ifndef HYSSOPDEAL_SRC_COORDINATION_LOAD_ESTIMATE_FEED_HPP
#define HYSSOPDEAL_SRC_COORDINATION_LOAD_ESTIMATE_FEED_HPP

/// @file
/// Internal: polls the engines of a service for load reports and cache events
/// and passes them to the service's router.
///
/// Index: [load_estimate_feed]

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <hyssopdeal/coordination/load_balancer_router.hpp>
#include <hyssopdeal/protocol/contract.hpp>
#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/event_loop.hpp>
#include <hyssopdeal/transport/http_client.hpp>

namespace hyssopdeal::coordination
{

// [load_estimate_feed] -------------------------------------------------------

/// Polls each engine that the router uses, with at most one request in flight
/// per engine. Must be used on the event loop's thread.
class load_estimate_feed
{
public:
    /// @param on_change Called after each load report passed to the router.
    load_estimate_feed(transport::event_loop& loop,
                       const transport::clock& clock,
                       transport::http_client& client, service_router& router,
                       std::function<void()> on_change);
    load_estimate_feed(const load_estimate_feed&) = delete;
    load_estimate_feed& operator=(const load_estimate_feed&) = delete;
    ~load_estimate_feed();

    /// Applies a service declaration; only model services are polled.
    void set_service(const protocol::service& declared);

private:
    /// Polling state of one engine.
    struct engine_poll
    {
        std::string name;
        std::string address;
        std::uint64_t next_event = 0; ///< Sent as `after`.
        bool poll_in_progress = false;
        transport::http_call call;
    };

    void poll_engines();
    void request_load(engine_poll& engine);
    void request_cache_events(engine_poll& engine);
    void on_load(const std::string& server, const std::string& body);
    void on_cache_events(engine_poll& engine, const std::string& body);
    [[nodiscard]] engine_poll* find(const std::string& server);

    transport::event_loop& loop_;
    const transport::clock& clock_;
    transport::http_client& client_;
    service_router& router_;
    std::function<void()> on_change_;
    std::vector<engine_poll> engines_;
    transport::timer_handle timer_;
};

} // namespace hyssopdeal::coordination

#endif
