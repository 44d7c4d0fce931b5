#ifndef HYSSOPDEAL_COORDINATION_GATEWAY_GATEWAY_PROCESS_HPP
#define HYSSOPDEAL_COORDINATION_GATEWAY_GATEWAY_PROCESS_HPP

/// @file
/// A gateway instance that is configured by the control replicas: its
/// listeners, its reports to the replicas, and its graceful shutdown.
///
/// Index: [gateway_process] [serve]

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <hyssopdeal/coordination/gateway/gateway_core.hpp>
#include <hyssopdeal/coordination/gateway/request_flow.hpp>
#include <hyssopdeal/transport/http1_server.hpp>

namespace hyssopdeal::coordination
{

// [gateway_process] ----------------------------------------------------------

/// Not thread-safe; use only on the event loop's thread.
class gateway_process
{
public:
    using request_handler =
        std::function<void(gateway_core&, transport::http1_exchange)>;

    gateway_process(transport::event_loop& loop, const transport::clock& clock,
                    gateway_settings settings,
                    gateway_core::document_parser parse_document,
                    request_handler on_request);
    gateway_process(const gateway_process&) = delete;
    gateway_process& operator=(const gateway_process&) = delete;
    ~gateway_process();

    /// Binds all listeners and starts reporting to the control replicas.
    [[nodiscard]] transport::result<void> start();

    /// Replaces the seed addresses; takes effect with the next report.
    void set_seeds(std::vector<std::string> seeds);

    /// Starts a graceful shutdown: reports not ready at once, still accepts
    /// connections for a while, and later rejects new requests.
    ///
    /// @param on_drained Called when no requests are left, or shortly before
    ///     the grace period ends.
    void drain(std::function<void()> on_drained);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

// [serve] --------------------------------------------------------------------

/// @return A handler that runs a request_flow of the dialect for each request.
template <caller_dialect Dialect>
[[nodiscard]] gateway_process::request_handler make_request_handler()
{
    return [](gateway_core& core, transport::http1_exchange exchange) {
        std::make_shared<request_flow<Dialect>>(core, std::move(exchange))
            ->start();
    };
}

} // namespace hyssopdeal::coordination

#endif
