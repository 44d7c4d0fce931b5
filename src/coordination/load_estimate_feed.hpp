#ifndef HYSSOPDEAL_SRC_COORDINATION_LOAD_ESTIMATE_FEED_HPP
#define HYSSOPDEAL_SRC_COORDINATION_LOAD_ESTIMATE_FEED_HPP

/// @file
/// Internal: reads the load and the cache events of a service's engines and
/// gives them to its router.
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

/// Asks each engine that the router uses, one question at a time. Used on the
/// loop's thread.
class load_estimate_feed
{
public:
    /// @param on_change Called after a report was taken.
    load_estimate_feed(transport::event_loop& loop,
                       const transport::clock& clock,
                       transport::http_client& client, service_router& router,
                       std::function<void()> on_change);
    load_estimate_feed(const load_estimate_feed&) = delete;
    load_estimate_feed& operator=(const load_estimate_feed&) = delete;
    ~load_estimate_feed();

    /// Takes over a declaration; only model services are asked.
    void set_service(const protocol::service& declared);

private:
    /// What is being asked of one engine.
    struct engine_feed
    {
        std::string name;
        std::string address;
        std::uint64_t next_event = 0; ///< For `after`.
        bool is_asked = false;
        transport::http_call call;
    };

    void tick();
    void ask_load(engine_feed& engine);
    void ask_events(engine_feed& engine);
    void on_load(const std::string& server, const std::string& body);
    void on_events(engine_feed& engine, const std::string& body);
    [[nodiscard]] engine_feed* find(const std::string& server);

    transport::event_loop& loop_;
    const transport::clock& clock_;
    transport::http_client& client_;
    service_router& router_;
    std::function<void()> on_change_;
    std::vector<engine_feed> engines_;
    transport::timer_handle timer_;
};

} // namespace hyssopdeal::coordination

#endif
