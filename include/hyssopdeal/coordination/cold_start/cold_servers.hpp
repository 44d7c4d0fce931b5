#ifndef HYSSOPDEAL_COORDINATION_COLD_START_COLD_SERVERS_HPP
#define HYSSOPDEAL_COORDINATION_COLD_START_COLD_SERVERS_HPP

/// @file
/// Keeps the requests of all entries to a cold server within what it tolerates.
/// Handles servers that start or restart during traffic, up to a whole failure
/// domain at once, while many entries, to which an empty server looks best,
/// could send to them. Performs no I/O.
///
/// Index: [pacing] [cold_servers] [listed_cold_times] [cold_permits]
///
/// A server is cold if the instance list or one of its responses says so, or by
/// presumption: if it is new, was unreachable, or its failure domain was
/// evacuated until now. Every request to a cold server takes a permit. The
/// leader grants permits to entries that have use for them. An entry without a
/// leader draws them at random at half of the tolerated rate, divided by the
/// number of entries; one that does not know that number has none.
///
/// Bound: a server that tolerates r requests per second gets at most
/// B = 1.5 r + 5 in any second. The leader fills a bucket of size b = 1 + 0.1 p
/// at the pace p. A permit granted at t is used in [t, t + L], L being its
/// lifetime, and the request arrives at most a delay D later. Requests that
/// arrive in [w, w + 1 s) thus have permits granted in (w - L - D, w + 1 s),
/// which are at most p (1 s + L + D) + b, however entries time their use. The
/// pace is chosen so that this sum, and what entries without a leader are
/// expected to draw, twice over, is at most B. A new leader's buckets start
/// empty, so that a change of leaders adds no second bucket.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/coordination/cluster/permit_allocator.hpp>
#include <hyssopdeal/coordination/gateway/server_permits.hpp>
#include <hyssopdeal/coordination/gateway/unreadable_text_log.hpp>
#include <hyssopdeal/protocol/follow_messages.hpp>
#include <hyssopdeal/protocol/service_document.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [pacing] -------------------------------------------------------------------

/// Lifetime of a permit, from when the entry sent its report. Entries report
/// every 100 to 1,000 ms, and every 140 ms if there are 84.
constexpr std::chrono::milliseconds cold_permit_lifetime{400};

/// Longest assumed time from the use of a permit to the request's arrival.
constexpr std::chrono::milliseconds cold_arrival_delay{200};

/// @param tolerated_per_s Requests per second that the cold server tolerates.
/// @param silent_share Share of the entries that may be drawing permits because
///     they do not reach the leader, 0 to 1.
/// @return Permits per second that the leader may grant.
[[nodiscard]] double cold_permit_pace(double tolerated_per_s,
                                      double silent_share);

// [cold_servers] -------------------------------------------------------------

/// The cold servers as known to one entry.
class cold_servers
{
public:
    explicit cold_servers(std::uint64_t seed);

    /// Replaces the terms of services. Servers of a service that names no cold
    /// time or no tolerated rate are never cold.
    void set_services(const std::vector<protocol::document_service>& services);

    /// Replaces the instance list. Servers that are new in it are presumed
    /// cold, except in the first list, so that a start of all processes is not
    /// slowed.
    ///
    /// @param read_at When the list was first read with these servers; their
    ///     cold times count from then.
    void set_servers(transport::monotonic_time now,
                     const std::vector<protocol::listed_server>& servers,
                     transport::monotonic_time read_at);

    /// Presumes all servers cold, also those of a first list that is still to
    /// come. For an entry that has missed an evacuation: it does not know of
    /// which domain and when that ended, and the list lags.
    void presume_all(transport::monotonic_time now);

    /// Records that the current list was still valid at a time. Ends
    /// presumptions that the list contradicts.
    void on_list_read(transport::monotonic_time read_at);

    /// Records a response, which shows that the server is reachable.
    ///
    /// @param text Milliseconds that the server stays cold; empty if not told.
    ///     Text that is not such a number changes nothing.
    /// @param sent_at When the request was sent to which the server responded;
    ///     nothing if that is not known. 0 ms counts only if that was after the
    ///     server was said to be cold.
    void on_response(transport::monotonic_time now,
                     const protocol::listed_server& server,
                     std::string_view text,
                     std::optional<transport::monotonic_time> sent_at);

    /// Records that a server could not be reached: it may restart under its id.
    /// Only this entry presumes that it is cold, as the fault may be its own.
    void on_unreachable(transport::monotonic_time now,
                        const protocol::listed_server& server);

    /// Records that the evacuation of a failure domain has ended. Its servers
    /// may have become cold although the list does not show it yet.
    void on_evacuation_ended(transport::monotonic_time now,
                             std::string_view failure_domain);

    /// Counts a received request of a service.
    void on_request(transport::monotonic_time now, const std::string& service)
    {
        permits_.on_request(now, service);
    }

    [[nodiscard]] bool is_cold(transport::monotonic_time now,
                               const protocol::listed_server& server) const;

    /// @return Whether a request may be sent to the server now: it is not cold,
    ///     or this entry has a permit.
    [[nodiscard]] bool may_send(transport::monotonic_time now,
                                const protocol::listed_server& server);

    /// Uses a permit, if the server is cold.
    void take(transport::monotonic_time now,
              const protocol::listed_server& server);

    /// @return What responses said lately, and the permits that this entry has
    ///     use for.
    [[nodiscard]] protocol::cold_report report(transport::monotonic_time now);

    /// Applies the leader's answer to a report.
    ///
    /// @param sent_at When that report was sent.
    /// @param entries Number of entries that report to the leader.
    void set_orders(transport::monotonic_time sent_at,
                    transport::monotonic_time now,
                    const protocol::cold_orders& orders, std::uint32_t entries);

    /// @return Estimated time until a request that was refused for want of a
    ///     permit could be sent; later callers are told later times.
    [[nodiscard]] std::chrono::milliseconds
    reserve_turn(transport::monotonic_time now, const std::string& service)
    {
        return permits_.reserve_turn(now, service);
    }

    /// @return The number of cold servers.
    [[nodiscard]] std::size_t count(transport::monotonic_time now) const;

private:
    enum class source : std::uint8_t
    {
        none,
        list,
        response,
        leader, ///< A response to another entry.
        start,
        evacuation,
        restart
    };

    struct server_state
    {
        std::uint64_t born = 0;
        std::string service;
        std::string failure_domain;
        bool listed_cold = false;
        bool unreachable = false;
        source told_by = source::none; ///< Of the latest statement.
        transport::monotonic_time until{};
        transport::monotonic_time said_at{}; ///< Later statements replace it.
        double limit_per_s = 0;              ///< As set for `permits_`.
        transport::monotonic_time logged_at{};
    };

    struct cold_terms
    {
        std::chrono::milliseconds cold_time{0};
        double per_s = 0;
    };

    /// @return The server's state if it is listed with the same start,
    ///     otherwise null.
    [[nodiscard]] server_state* find(const protocol::listed_server& server);
    [[nodiscard]] const server_state*
    find(const protocol::listed_server& server) const;
    /// @return Null for services whose servers are never cold.
    [[nodiscard]] const cold_terms* terms_of(const server_state& server) const;
    [[nodiscard]] double limit_of(transport::monotonic_time now,
                                  const server_state& server) const;
    /// Sets or ends the limit of a server whose coldness may have changed.
    void update_limit(transport::monotonic_time now, const std::string& id,
                      server_state& server);
    void record(transport::monotonic_time now, const std::string& id,
                server_state& server, transport::monotonic_time until,
                transport::monotonic_time said_at, source told_by);
    [[nodiscard]] static bool is_presumed(const server_state& server);
    void apply_listed(transport::monotonic_time now,
                      const protocol::listed_server& listed,
                      server_state& server, transport::monotonic_time read_at);
    void presume(transport::monotonic_time now, const std::string& id,
                 server_state& server, source told_by);

    std::map<std::string, server_state> servers_; ///< By id.
    std::map<std::string, cold_terms> terms_;     ///< By service.
    bool has_list_ = false;
    bool presumes_first_list_ = false;
    server_permits permits_;
    unreadable_text_log unreadable_{"server.unreadable_cold_time"};
};

// [listed_cold_times] --------------------------------------------------------

/// Finds cold times that begin anew before the former one is over. Entries do
/// not learn of them from the list, which they get only when it shows other
/// servers as cold. Runs on every replica.
class listed_cold_times
{
public:
    /// @param read_at When the list was read.
    void on_listing(transport::monotonic_time read_at,
                    const std::vector<protocol::listed_server>& servers);

    /// @return Servers that have become cold anew.
    [[nodiscard]] protocol::cold_statements
    extended(transport::monotonic_time now) const;

private:
    struct cold_time
    {
        std::uint64_t born = 0;
        transport::monotonic_time until{};
        /// When the list showed that it began anew.
        std::optional<transport::monotonic_time> extended_at;
    };

    std::map<std::string, cold_time> servers_; ///< By id.
};

// [cold_permits] -------------------------------------------------------------

/// What the leader knows of the cluster when it grants permits.
struct cold_permit_context
{
    const std::vector<protocol::document_service>& services;
    const std::vector<protocol::listed_server>& servers;
    const std::set<std::string>& entries; ///< That may be running.
    std::chrono::milliseconds report_interval{0};
    protocol::cold_statements extended{}; ///< By the list.
};

/// Grants permits for cold servers and forwards what responses said of them.
/// Runs on the leader; constructed anew for each leadership.
class cold_permits
{
public:
    cold_permits();

    /// Merges what an entry reports of cold servers, and grants it permits.
    [[nodiscard]] protocol::cold_orders
    on_report(transport::monotonic_time now, const std::string& entry,
              const protocol::cold_report& report,
              const cold_permit_context& context);

    /// @return Permits granted so far.
    [[nodiscard]] std::uint64_t granted() const noexcept
    {
        return granted_;
    }

private:
    struct statement
    {
        std::uint64_t born = 0;
        transport::monotonic_time said_at{};
        transport::monotonic_time until{};
    };

    void merge(transport::monotonic_time now,
               const protocol::cold_statements& stated);
    /// Forgets what has ended, and counts the entries that are silent.
    void sweep(transport::monotonic_time now,
               const cold_permit_context& context);
    /// Sets the limits of the servers for which permits are wanted.
    ///
    /// @return Those for which permits can be granted.
    [[nodiscard]] std::map<std::string, std::uint32_t>
    limit_wanted(transport::monotonic_time now,
                 const std::map<std::string, std::uint32_t>& wanted,
                 const cold_permit_context& context);

    std::map<std::string, statement> statements_; ///< By server id.
    /// Latest report, by entry.
    std::map<std::string, transport::monotonic_time> entries_;
    double silent_share_ = 0;
    transport::monotonic_time next_sweep_{};
    permit_allocator allocator_;
    std::uint64_t granted_ = 0;
};

} // namespace hyssopdeal::coordination

#endif
