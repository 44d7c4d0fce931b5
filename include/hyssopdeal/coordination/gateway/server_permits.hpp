#ifndef HYSSOPDEAL_COORDINATION_GATEWAY_SERVER_PERMITS_HPP
#define HYSSOPDEAL_COORDINATION_GATEWAY_SERVER_PERMITS_HPP

/// @file
/// Keeps the requests of all gateways to a server within the rate that the
/// server has named. Handles a server that is overloaded or impaired while many
/// gateways, which do not see each other's requests, could send to it. Performs
/// no I/O.
///
/// Index: [server_permits]
///
/// A gateway needs a permit for each request to such a server. The leader
/// grants permits with its answers to reports, at the named rate and to
/// gateways that have use for them; they expire soon, so that unused ones do
/// not add up. A gateway without a leader draws permits at random, at a rate
/// that keeps the expected sum over all gateways below the limit.

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/coordination/gateway/unreadable_text_log.hpp>
#include <hyssopdeal/protocol/follow_messages.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [server_permits] -----------------------------------------------------------

/// The permits of one gateway for all servers with a rate limit.
class server_permits
{
public:
    explicit server_permits(std::uint64_t seed);

    /// Replaces the instance list. Limits of servers that were removed or
    /// restarted are forgotten.
    void set_servers(const std::vector<protocol::listed_server>& servers);

    /// Counts a received request of a service.
    void on_request(transport::monotonic_time now, const std::string& service);

    /// Records what a response says of its server's limit.
    ///
    /// @param text Requests per second, as named in the response; empty if it
    ///     names no limit. Text that is not a number changes nothing, and 0 is
    ///     raised to a rate at which the end of the limit is still noticed.
    /// @param sent_at When the request was sent to which the server responded;
    ///     nothing if that is not known. A response without a limit ends one
    ///     only if its request was sent after the limit was named.
    void on_response(transport::monotonic_time now,
                     const protocol::listed_server& server,
                     std::string_view text,
                     std::optional<transport::monotonic_time> sent_at);

    /// Sets the limit of a listed server, for limits that do not come from
    /// responses. 0 ends it, and its permits.
    void set_limit(const std::string& id, std::uint64_t born, double per_s);

    /// @return Whether a request may be sent to the server now.
    [[nodiscard]] bool may_send(transport::monotonic_time now,
                                const protocol::listed_server& server);

    /// Uses a permit, if the server has a limit.
    ///
    /// @return Whether it has one.
    bool take(transport::monotonic_time now,
              const protocol::listed_server& server);

    /// Applies the leader's answer to a report.
    ///
    /// @param sent_at When that report was sent.
    /// @param gateways Number of gateways that report to the leader.
    void set_orders(transport::monotonic_time sent_at,
                    transport::monotonic_time now,
                    const protocol::rate_limit_orders& orders,
                    std::uint32_t gateways);

    /// @return What the leader does not know yet, and the permits that this
    ///     gateway has use for.
    [[nodiscard]] protocol::rate_limit_report
    report(transport::monotonic_time now);

    /// Estimates when a request that was refused for want of a permit could be
    /// sent. Each call assumes that the caller returns then, so that later ones
    /// are told later times.
    ///
    /// @return 0 if no server of the service has a limit.
    [[nodiscard]] std::chrono::milliseconds
    reserve_turn(transport::monotonic_time now, const std::string& service);

    /// @return Requests per second, by server.
    [[nodiscard]] std::map<std::string, double> limits() const;

private:
    struct permit_grant
    {
        std::uint32_t count = 0;
        transport::monotonic_time expires_at{};
    };

    struct limited_server
    {
        std::uint64_t born = 0;
        double per_s = 0; ///< 0: the limit has ended.
        transport::monotonic_time said_at{};
        bool known_to_leader = false;
        std::deque<permit_grant> grants; ///< In order of expiry.
        std::int64_t draw_slot = -1;     ///< Time slot of the latest draw.
        std::uint32_t drawn = 0;         ///< Permits for that slot.
        transport::monotonic_time change_logged_at{};
    };

    /// Requests per second, as an exponentially decaying average.
    struct request_rate
    {
        double per_s = 0;
        transport::monotonic_time at{};
    };

    struct known_service
    {
        std::uint64_t born = 0;
        std::string service;
    };

    /// @return The server's state if it has a limit, otherwise null.
    [[nodiscard]] limited_server*
    find_limited(const protocol::listed_server& server);
    [[nodiscard]] std::uint32_t permits(transport::monotonic_time now,
                                        limited_server& server);
    void draw(transport::monotonic_time now, limited_server& server);
    void want_permits(transport::monotonic_time now, double requests_per_s,
                      std::vector<std::string>& ids,
                      std::map<std::string, std::uint32_t>& wanted);
    [[nodiscard]] double rate_of(transport::monotonic_time now,
                                 const std::string& service) const;
    void record(transport::monotonic_time now, const std::string& id,
                std::uint64_t born, double per_s,
                transport::monotonic_time said_at, std::string_view source);

    std::mt19937_64 random_;
    std::map<std::string, limited_server> limited_; ///< By server id.
    std::map<std::string, known_service> services_; ///< By server id.
    std::map<std::string, request_rate> rates_;     ///< By service.
    /// When the next refused request could be sent, by service.
    std::map<std::string, transport::monotonic_time> next_turns_;
    unreadable_text_log unreadable_{"server.unreadable_rate_limit"};
    transport::monotonic_time orders_at_{};
    std::uint32_t gateways_ = 0; ///< 0: not known yet.
};

} // namespace hyssopdeal::coordination

#endif
