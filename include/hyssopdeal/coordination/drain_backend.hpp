#ifndef HYSSOPDEAL_COORDINATION_DRAIN_BACKEND_HPP
#define HYSSOPDEAL_COORDINATION_DRAIN_BACKEND_HPP

/// @file
/// Tells when a leaving backend server has no work left and may be given back.
/// Does no I/O.
///
/// Index: [settings] [draining_server] [drain_backend]
///
/// Entries stop sending work when the leaving record or gossip reaches them,
/// and move their streams as stream_evacuation plans. Load reports lag, so that
/// a server counts as drained only after it has reported no work for longer
/// than entries need to hear of it and reports need to show it.

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/protocol/engine_orders.hpp>
#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

/// Times of a drain.
struct drain_backend_settings
{
    std::chrono::milliseconds ask_interval{1'000}; ///< For a server's load.
    std::chrono::milliseconds ask_limit{2'000};    ///< Then asked again.
    std::chrono::milliseconds idle_for{10'000};    ///< Reported without break.
    std::chrono::milliseconds silent_for{30'000};  ///< No answer at all: gone.
};

// [draining_server] ----------------------------------------------------------

/// A backend server that gets no new work.
struct draining_server
{
    std::string name;
    std::string address; ///< `IP:port`.
};

// [drain_backend] ------------------------------------------------------------

/// Runs on the control leader; the next one watches from the beginning. Used by
/// one thread.
class drain_backend
{
public:
    explicit drain_backend(drain_backend_settings settings = {});
    drain_backend(drain_backend&&) noexcept;
    ~drain_backend();

    /// Replaces the servers that are leaving; what is known of those that stay
    /// is kept.
    void set_leaving(transport::monotonic_time now,
                     const std::vector<draining_server>& servers);

    /// @return Servers to ask for their load now.
    [[nodiscard]] std::vector<draining_server>
    advance(transport::monotonic_time now);

    /// Takes in a server's load, or why it did not answer.
    void on_load(transport::monotonic_time now, std::string_view server,
                 const transport::result<protocol::engine_load>& load);

    /// @return Whether a server may be given back.
    [[nodiscard]] bool drained(transport::monotonic_time now,
                               std::string_view server) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::coordination

#endif
