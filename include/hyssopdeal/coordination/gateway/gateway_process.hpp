#ifndef HYSSOPDEAL_COORDINATION_GATEWAY_GATEWAY_PROCESS_HPP
#define HYSSOPDEAL_COORDINATION_GATEWAY_GATEWAY_PROCESS_HPP

/// @file
/// An entry that serves by a configuration document: its listeners, its
/// reports to the control replicas, and its graceful stop.
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

/// Use it on the loop's thread.
class gateway_process
{
public:
    using request_handler =
        std::function<void(gateway_core&, transport::http1_exchange)>;

    gateway_process(transport::event_loop& loop, const transport::clock& clock,
                    gateway_settings settings,
                    gateway_core::read_document reads,
                    request_handler on_request);
    gateway_process(const gateway_process&) = delete;
    gateway_process& operator=(const gateway_process&) = delete;
    ~gateway_process();

    /// Binds all listeners and starts to report.
    [[nodiscard]] transport::result<void> start();

    /// Changed seeds are asked from now on.
    void set_seeds(std::vector<std::string> seeds);

    /// Takes no new callers, ends what runs, and calls back when nothing is
    /// left or the grace time is nearly over.
    void drain(std::function<void()> on_drained);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

// [serve] --------------------------------------------------------------------

/// @return The handler that serves requests in a dialect.
template <caller_dialect Dialect>
[[nodiscard]] gateway_process::request_handler serve_requests()
{
    return [](gateway_core& core, transport::http1_exchange exchange) {
        std::make_shared<request_flow<Dialect>>(core, std::move(exchange))
            ->start();
    };
}

} // namespace hyssopdeal::coordination

#endif
