#ifndef HYSSOPDEAL_COORDINATION_LOAD_ESTIMATE_HPP
#define HYSSOPDEAL_COORDINATION_LOAD_ESTIMATE_HPP

/// @file
/// Load of backend servers now: the last, lagging report corrected by what this
/// node sent and saw finish since the report was taken.
///
/// Index: [load_report] [request_token] [load_estimate]

#include <chrono>
#include <cstdint>
#include <memory>
#include <span>

#include <hyssopdeal/coordination/load_balancer.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [load_report] --------------------------------------------------------------

/// What a backend server said of itself.
struct load_report
{
    transport::monotonic_time taken_at; ///< This node's clock.
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t slots = 0; ///< 0: as declared.
};

// [request_token] ------------------------------------------------------------

/// A request that this node sent, as the estimate counts it.
struct sent_request
{
    server_index server = no_server;
    transport::monotonic_time sent_at{};
    double uncached_tokens = 0;    ///< Prompt to prefill.
    bool first_token_seen = false; ///< Set by on_first_token().
};

// [load_estimate] ------------------------------------------------------------

/// Keeps the load columns of a service's routing table.
class load_estimate
{
public:
    load_estimate();
    load_estimate(load_estimate&&) noexcept;
    load_estimate& operator=(load_estimate&&) noexcept;
    ~load_estimate();

    /// Sets the table's size; rows are the caller's to fill.
    void resize(std::uint32_t servers);

    /// Sets how many entries send to the same servers. The others' requests
    /// since a report are not seen here, but this node's are a sample of them:
    /// each own step counts for the square root of their number, since a sample
    /// of one says little.
    void set_peers(std::uint32_t peers);

    /// @return The table; the load columns are this module's.
    [[nodiscard]] std::span<routing_candidate> table() noexcept;
    [[nodiscard]] std::span<const routing_candidate> table() const noexcept;

    /// Takes a report; one older than the last is ignored.
    void on_report(transport::monotonic_time now, server_index server,
                   const load_report& report);

    /// Counts a request that was sent.
    [[nodiscard]] sent_request on_sent(transport::monotonic_time now,
                                       server_index server,
                                       double uncached_tokens);

    /// The first token came: its prompt is no longer queued.
    ///
    /// @param predicted What the balancer expected.
    void on_first_token(transport::monotonic_time now, sent_request& request,
                        std::chrono::microseconds predicted);

    /// The request ended, whichever way.
    void on_ended(transport::monotonic_time now, const sent_request& request,
                  double output_tokens);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::coordination

#endif
