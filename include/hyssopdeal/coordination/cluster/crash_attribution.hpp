#ifndef HYSSOPDEAL_COORDINATION_CLUSTER_CRASH_ATTRIBUTION_HPP
#define HYSSOPDEAL_COORDINATION_CLUSTER_CRASH_ATTRIBUTION_HPP

/// @file
/// Attributes crashes of servers to what their requests contained, parts of
/// prompts or whole requests (both called parts here), from the reports of all
/// entries. Handles load in which a few requests crash every server that begins
/// to answer them while sound requests share their other parts. A crash breaks
/// many requests at once, so one crash proves nothing: a part is held
/// responsible once several servers have crashed under requests that contain it
/// and none with it was answered since. Does no I/O.
///
/// Index: [settings] [crash_attribution]

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <hyssopdeal/coordination/cluster/cluster_state.hpp>
#include <hyssopdeal/protocol/follow_messages.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

struct crash_attribution_settings
{
    /// Servers that must have crashed under a part.
    std::size_t min_crashes = 3;
    /// Of these, crashes under requests that were sent after the previous one.
    /// Servers that are all lost at the same moment count as one.
    std::size_t min_generations = 2;
    /// Time after which a new leader decides. It missed the answers by which
    /// parts were cleared at the former leader, and asks entries for them.
    std::chrono::milliseconds new_leader_delay{2'000};
    std::chrono::milliseconds first_quarantine{600'000};
    /// Upper bound for repeated quarantines, each twice as long as the last.
    std::chrono::milliseconds max_quarantine{86'400'000};
    std::size_t max_requests = 1'024; ///< Broken requests remembered.
    /// Suspects that entries are told of, those of the most crashes first.
    std::size_t max_suspects = 64;
};

// [crash_attribution] --------------------------------------------------------

/// Runs on every replica, so that a new leader has the evidence.
class crash_attribution
{
public:
    explicit crash_attribution(crash_attribution_settings settings);

    void on_report(transport::monotonic_time now, const std::string& entry,
                   std::uint64_t incarnation,
                   const protocol::crash_report& report);

    /// @return Parts under which at least two servers have crashed, and for
    ///     which entries are to report whether any request was answered.
    [[nodiscard]] const protocol::part_ids& suspects() const noexcept
    {
        return suspects_;
    }

    using quarantines = std::map<protocol::part_ids, quarantine_record>;

    /// Decides whether to quarantine a prompt.
    ///
    /// @param leader_since When this replica became the leader.
    /// @param settle_time For how long the evidence must have been sufficient.
    ///     Covers the reports by which entries clear a suspect.
    /// @param held The quarantines in force, and those that have ended: after
    ///     these, one further crash is enough.
    /// @return The quarantine to put in force, if any.
    [[nodiscard]] std::optional<quarantine_record> next_quarantine(
        transport::monotonic_time now, transport::wall_time true_now,
        transport::monotonic_time leader_since,
        std::chrono::milliseconds settle_time, const quarantines& held);

private:
    /// A server's id and start time.
    using incarnation_id = std::pair<std::string, std::uint64_t>;
    struct broken_request
    {
        std::string entry;
        std::uint64_t entry_incarnation = 0;
        std::uint64_t number = 0; ///< Of that entry.
        incarnation_id server;
        transport::monotonic_time sent_at{};
        transport::monotonic_time broken_at{};
        protocol::part_ids parts;
        /// Those that no other request was answered with since.
        protocol::part_ids suspected_parts;
    };

    bool forget_old(transport::monotonic_time now);
    /// Updates what follows from the requests.
    void judge(transport::monotonic_time now);
    /// @param explained Crashes that count only for the blamed parts.
    /// @return Number of servers that crashed under each suspected part.
    [[nodiscard]] std::map<std::uint64_t, std::size_t>
    count_crashes(const std::set<incarnation_id>& explained,
                  const protocol::part_ids& blamed) const;
    [[nodiscard]] protocol::part_ids most_suspected(
        const std::map<std::uint64_t, std::size_t>& crashes_by_part) const;
    /// @return Length of the longest series of crashes under a part in which
    ///     each request was sent after the crash before.
    [[nodiscard]] std::size_t generations(std::uint64_t part) const;
    /// @return The suspected parts that all requests with this part share.
    [[nodiscard]] protocol::part_ids common_parts(std::uint64_t part) const;
    [[nodiscard]] std::optional<quarantine_record>
    renewal(transport::monotonic_time now, transport::wall_time true_now,
            const std::set<incarnation_id>& explained,
            const quarantines& held) const;
    [[nodiscard]] static quarantine_record
    make_record(protocol::part_ids parts, transport::wall_time true_now,
                std::chrono::milliseconds duration);

    crash_attribution_settings settings_;
    std::deque<broken_request> requests_; ///< In order of `broken_at`.
    protocol::part_ids suspects_;
    /// Since when the evidence against a part has been sufficient.
    std::map<std::uint64_t, transport::monotonic_time> responsible_since_;
};

} // namespace hyssopdeal::coordination

#endif
