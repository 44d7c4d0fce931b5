#ifndef HYSSOPDEAL_COORDINATION_CLUSTER_PERMIT_ALLOCATOR_HPP
#define HYSSOPDEAL_COORDINATION_CLUSTER_PERMIT_ALLOCATOR_HPP

/// @file
/// Splits the rate of requests that a server takes among the entries that would
/// send to it, in single permits. Handles limits of a few requests a second
/// with hundreds of entries, for which equal shares would be far below one
/// request. Does no I/O.
///
/// Index: [permit_pacing] [permit_allocator]
///
/// Each server has a token bucket that is refilled at its limit. Entries that
/// want more permits than there are get them in turn: the next token is left to
/// the one that has got the fewest, whatever the order in which they report.
/// Permits that are not used expire, so that at most `limit * (T + lifetime)`
/// requests and one bucket reach a server in any time T.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <hyssopdeal/protocol/follow_messages.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [permit_pacing] ------------------------------------------------------------

/// How long permits last and how many may be granted at once.
struct permit_pacing
{
    /// From when the entry sent its report; nothing: as long as entries need
    /// to use a permit at their report interval.
    std::optional<std::chrono::milliseconds> lifetime;
    /// A bucket holds one permit and what the limit allows in this time, so
    /// that it goes on filling between two reports.
    std::chrono::milliseconds bucket_time{250};
};

// [permit_allocator] ---------------------------------------------------------

/// Runs on the leader; constructed anew for each leadership. A new one learns
/// the limits from the first reports, and its buckets start empty.
class permit_allocator
{
public:
    explicit permit_allocator(permit_pacing pacing = {});

    /// Sets a server's limit, which does not depend on reports then. Keeps what
    /// is in its bucket; the bucket of another start of the server is empty.
    void set_limit(transport::monotonic_time now, const std::string& id,
                   std::uint64_t born, double per_s);

    /// Merges what an entry reports of limits, and grants it permits.
    ///
    /// @param report_interval Time until the entry's next report.
    [[nodiscard]] protocol::rate_limit_orders
    on_report(transport::monotonic_time now, const std::string& entry,
              const protocol::rate_limit_report& report,
              std::chrono::milliseconds report_interval);

    /// Forgets the limits of servers that are no longer listed.
    void set_servers(const std::vector<protocol::listed_server>& servers);

    /// @return The number of servers with a limit.
    [[nodiscard]] std::size_t limited() const noexcept;

private:
    /// An entry that has wanted permits for a server lately.
    struct taker
    {
        double turn = 0; ///< Grows with each permit; the lowest goes first.
        transport::monotonic_time wanted_at{};
    };

    struct bucket
    {
        std::uint64_t born = 0; ///< The server's start.
        double per_s = 0;       ///< 0: the limit has ended.
        transport::monotonic_time said_at{};
        double level = 0;
        transport::monotonic_time refilled_at{};
        double latest_turn = 0;              ///< Of the latest permit.
        std::map<std::string, taker> takers; ///< By entry.
        /// Turn and entry of those whose latest report wanted more than it got.
        std::set<std::pair<double, std::string>> waiting;
    };

    void merge(transport::monotonic_time now, const std::string& entry,
               const protocol::stated_rate_limits& stated);
    void sweep(transport::monotonic_time now,
               std::chrono::milliseconds report_interval);
    void refill(transport::monotonic_time now, bucket& server) const;
    /// @param valid How long permits are valid.
    /// @return Permits for the entry.
    [[nodiscard]] static std::uint32_t grant(transport::monotonic_time now,
                                             bucket& server,
                                             const std::string& entry,
                                             std::uint32_t wanted,
                                             std::chrono::milliseconds valid);

    permit_pacing pacing_;
    std::map<std::string, bucket> servers_; ///< By id.
    transport::monotonic_time next_sweep_{};
};

} // namespace hyssopdeal::coordination

#endif
