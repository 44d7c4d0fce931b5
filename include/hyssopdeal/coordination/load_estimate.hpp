#ifndef HYSSOPDEAL_COORDINATION_LOAD_ESTIMATE_HPP
#define HYSSOPDEAL_COORDINATION_LOAD_ESTIMATE_HPP

/// @file
/// Estimates the current load of backend servers: corrects the last report,
/// which lags, by the requests that this node sent or saw end since then.
///
/// Index: [load_report] [sent_request] [load_estimate]

#include <chrono>
#include <cstdint>
#include <memory>
#include <span>

#include <hyssopdeal/coordination/load_balancer.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [load_report] --------------------------------------------------------------

/// Load that a backend server reported.
struct load_report
{
    transport::monotonic_time taken_at; ///< In this node's clock.
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t slots = 0; ///< 0: the known value stays.
};

// [sent_request] -------------------------------------------------------------

/// A request that this node sent and that the estimate counts.
struct sent_request
{
    server_index server = no_server;
    transport::monotonic_time sent_at{};
    double uncached_tokens = 0;    ///< Prompt tokens to prefill.
    bool first_token_seen = false; ///< Set by on_first_token().
};

// [load_estimate] ------------------------------------------------------------

/// Maintains the load columns of a service's routing table.
class load_estimate
{
public:
    load_estimate();
    load_estimate(load_estimate&&) noexcept;
    load_estimate& operator=(load_estimate&&) noexcept;
    ~load_estimate();

    /// Resizes the table; the caller fills the other columns of new rows.
    void resize(std::uint32_t servers);

    /// Sets the number of senders that share the servers, this one included.
    /// Requests of other senders since a report are not visible here, so this
    /// sender's own requests serve as a sample of all. Each load change is
    /// weighted by the square root of the number of senders: the full number
    /// would extrapolate too far from a single sender.
    void set_peers(std::uint32_t senders);

    /// @return The routing table; this class maintains its load columns.
    [[nodiscard]] std::span<routing_candidate> table() noexcept;
    [[nodiscard]] std::span<const routing_candidate> table() const noexcept;

    /// Applies a report; a report older than the last one is ignored.
    void on_report(transport::monotonic_time now, server_index server,
                   const load_report& report);

    /// Counts a sent request as load of its server.
    ///
    /// @param uncached_tokens Prompt tokens to prefill.
    [[nodiscard]] sent_request on_sent(transport::monotonic_time now,
                                       server_index server,
                                       double uncached_tokens);

    /// Removes the prompt from the prefill queue and updates the slowdown.
    ///
    /// @param predicted Time to first token that the balancer predicted.
    void on_first_token(transport::monotonic_time now, sent_request& request,
                        std::chrono::microseconds predicted);

    /// Removes a request that completed, failed or was cancelled.
    ///
    /// @param output_tokens Enters the mean output length if above 0.
    void on_ended(transport::monotonic_time now, const sent_request& request,
                  double output_tokens);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::coordination

#endif
