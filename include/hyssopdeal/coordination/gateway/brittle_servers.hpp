#ifndef HYSSOPDEAL_COORDINATION_GATEWAY_BRITTLE_SERVERS_HPP
#define HYSSOPDEAL_COORDINATION_GATEWAY_BRITTLE_SERVERS_HPP

/// @file
/// Keeps the requests of all gateways to a brittle server within its slots. A
/// brittle server falls over when it rejects more than a few requests a second
/// for want of room. Handles bursts that would fill the queues of all servers
/// at once. Performs no I/O.
///
/// Index: [brittle_servers]
///
/// The slots of a service are dealt to the gateways in turn, so that each knows
/// its own from the instance list and its number. Nothing is placed in the
/// servers' queues, whose length is not known.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/coordination/gateway/unreadable_text_log.hpp>
#include <hyssopdeal/protocol/follow_messages.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [brittle_servers] ----------------------------------------------------------

/// What one gateway knows of brittle servers. If one server of a service is
/// brittle, all are taken for brittle: one that was just started has not
/// responded yet.
class brittle_servers
{
public:
    /// @param seed Differs between gateways.
    explicit brittle_servers(std::uint64_t seed) noexcept
        : number_(seed)
    {}

    void set_servers(const std::vector<protocol::listed_server>& servers);

    /// Records what a response says of its server.
    ///
    /// @param text Rejections per second that the server withstands; empty if
    ///     it does not say that it is brittle. Text that is not a number
    ///     changes nothing, and 0 is raised to a rate at which the server is
    ///     still used.
    /// @param sent_at When the request was sent to which the server responded;
    ///     nothing if that is not known. A response without the text ends the
    ///     server's brittleness only if its request was sent after the server
    ///     said that it is brittle.
    void on_response(transport::monotonic_time now,
                     const protocol::listed_server& server,
                     std::string_view text,
                     std::optional<transport::monotonic_time> sent_at);

    /// Applies the leader's answer to a report.
    ///
    /// @param told What responses to any gateway said.
    /// @param gateways Number of gateways that report to the leader.
    /// @param number Of this one among them; valid if `told` is not empty.
    void set_orders(transport::monotonic_time now,
                    const protocol::brittle_services& told,
                    std::uint32_t gateways, std::uint32_t number);

    /// @return What responses to this gateway said lately.
    [[nodiscard]] protocol::brittle_services
    report(transport::monotonic_time now) const;

    /// @param own Requests of this gateway that run on the server.
    /// @param others Requests of the other gateways, by the latest reports.
    /// @return Whether a request may be sent; true if the server is not
    ///     brittle.
    [[nodiscard]] bool may_send(const protocol::listed_server& server,
                                std::uint32_t own, std::uint32_t others) const;

    /// @return How long this gateway must not use a server that rejected one of
    ///     its requests, so that the rejections of all gateways stay within
    ///     what the server withstands; 0 if it is not brittle.
    [[nodiscard]] std::chrono::milliseconds
    rejection_pause(const protocol::listed_server& server) const;

    /// @return Rejections per second that the servers of each brittle service
    ///     withstand.
    [[nodiscard]] const std::map<std::string, double>& services() const noexcept
    {
        return services_;
    }

private:
    struct statement
    {
        std::string service;
        double rejections_per_s = 0;
        transport::monotonic_time said_at{};
    };

    void update_services(transport::monotonic_time now);

    std::uint64_t number_;       ///< Random until the leader tells it.
    std::uint64_t gateways_ = 0; ///< 0: not known yet.
    /// Slots of the servers of the same service with smaller ids, by server id.
    std::map<std::string, std::uint64_t> slots_before_;
    std::map<std::string, std::uint64_t> slots_;  ///< By service.
    std::map<std::string, statement> statements_; ///< By server id.
    std::map<std::string, statement> told_; ///< By the leader, by service.
    /// The least that a server of the service withstands.
    std::map<std::string, double> services_;
    unreadable_text_log unreadable_{"server.unreadable_brittleness"};
};

} // namespace hyssopdeal::coordination

#endif
