#ifndef HYSSOPDEAL_COORDINATION_GATEWAY_SERVER_REACH_HPP
#define HYSSOPDEAL_COORDINATION_GATEWAY_SERVER_REACH_HPP

/// @file
/// Decides whether a gateway connects to a server directly or through another
/// gateway. Handles a gateway that is partitioned from all or some servers
/// while callers still send it their usual load. Performs no I/O.
///
/// Index: [settings] [server_reach]
///
/// Three facts are kept apart, as none of them follows from another:
/// - Which servers this gateway did not reach directly, and since when. One
///   alone is probably down. To several, new connections go through helpers,
///   which are other gateways that the leader names.
/// - Whether any server was reached since several failed. If none was, the
///   fault is probably this gateway's own: connections to all servers go
///   through helpers, and this gateway is no helper to others. Connections that
///   are kept say nothing of new ones, so another server is probed at once.
/// - Which servers a helper, which reaches others, did not reach either: they
///   are down, and helpers are not asked for them for a while.
///
/// Servers that were not reached directly are probed until they are.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <hyssopdeal/protocol/service_document.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

struct server_reach_settings
{
    /// So many servers that cannot be reached show a fault of this gateway.
    std::size_t min_unreached = 2;
    /// Interval of the probes, each of one server.
    std::chrono::milliseconds probe_interval{100};
    /// After a helper could not be used.
    std::chrono::milliseconds helper_pause{500};
    /// After a helper did not reach a server either.
    std::chrono::milliseconds server_pause{1'000};
};

// [server_reach] -------------------------------------------------------------

/// What one gateway knows of its paths to servers.
class server_reach
{
public:
    server_reach(server_reach_settings settings, std::uint64_t seed);

    /// Replaces the instance list.
    void set_servers(const std::vector<protocol::listed_server>& servers);

    /// Replaces the helpers, as relay addresses.
    ///
    /// @return Those that were dropped.
    std::vector<std::string>
    set_helpers(const std::vector<std::string>& relays);

    /// @return The helpers in use, for the leader, which keeps them.
    [[nodiscard]] std::vector<std::string> helpers() const;

    /// Records that a direct connection to a server was opened. Older ones may
    /// live on while new ones are refused.
    void on_reached(transport::monotonic_time now, const std::string& server);

    /// Records that no direct connection to a server could be opened.
    void on_unreached(transport::monotonic_time now, const std::string& server);

    /// Records that a helper could not be used.
    void on_helper_failed(transport::monotonic_time now,
                          const std::string& relay);

    /// Records that a helper could not connect to a server.
    void on_helper_unreached(transport::monotonic_time now,
                             const std::string& server);

    using relay_filter = std::function<bool(const std::string& relay)>;

    /// @param connected Relays with an open connection to the server, which are
    ///     preferred.
    /// @return The relay through which to send to a server to which there is no
    ///     direct connection; nothing: open one.
    [[nodiscard]] std::optional<std::string>
    relay_for(transport::monotonic_time now, const std::string& server,
              const relay_filter& connected = {});

    /// @return Whether several servers were not reached directly: because they
    ///     are down, or because this gateway is partitioned from them.
    [[nodiscard]] bool partitioned() const;

    /// @return Whether no server was reached directly since several failed, so
    ///     that this gateway is of no help to others.
    [[nodiscard]] bool cut_off() const;

    /// @return Servers to connect to now, to learn whether they are reached
    ///     directly again or, while it is in doubt, whether any is.
    [[nodiscard]] std::vector<std::string>
    due_probes(transport::monotonic_time now);

    /// @return The number of servers that were not reached directly.
    [[nodiscard]] std::size_t unreached() const noexcept
    {
        return unreached_.size();
    }

private:
    struct unreached_server
    {
        transport::monotonic_time since{};
        transport::monotonic_time probed_at{};
    };

    [[nodiscard]] std::optional<std::string> draw_not_failed();

    server_reach_settings settings_;
    std::mt19937_64 random_;
    std::map<std::string, std::string> listed_;         ///< Addresses by id.
    std::map<std::string, unreached_server> unreached_; ///< By id.
    /// By id: helpers are not asked for the server until then.
    std::map<std::string, transport::monotonic_time> down_until_;
    /// By relay address: not used until then.
    std::map<std::string, transport::monotonic_time> helpers_;
    transport::monotonic_time reached_at_{}; ///< Any server, directly.
    transport::monotonic_time next_probe_{};
};

} // namespace hyssopdeal::coordination

#endif
