#ifndef HYSSOPDEAL_COORDINATION_MEMBERSHIP_HPP
#define HYSSOPDEAL_COORDINATION_MEMBERSHIP_HPP

/// @file
/// Membership of entry and control instances: SWIM-style probing, suspicion
/// with refutation by incarnation, and dissemination by piggybacked updates.
/// A decision module: it does no I/O.
///
/// Index: [settings] [actions] [domain_status] [membership]
///
/// Members of the own failure domain are probed at every interval and are the
/// only ones that this instance declares suspect or dead. Other domains are
/// probed less often, and a silent one counts as cut off: its members keep
/// their last known state, since their own domain judges them.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/coordination/member_table.hpp>
#include <hyssopdeal/protocol/gossip.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

/// Timing and fan-out.
struct membership_settings
{
    std::chrono::milliseconds probe_interval{500};   ///< Between probes.
    std::chrono::milliseconds probe_time_limit{150}; ///< Direct ack.
    std::uint32_t cross_domain_every = 2;   ///< One probe in this many crosses.
    std::uint32_t indirect_probes = 3;      ///< Helpers asked.
    std::uint32_t suspicion_multiplier = 2; ///< Times log2 of the domain size.
    std::chrono::milliseconds suspicion_minimum{1'500};
    std::uint32_t retransmit_multiplier = 3;  ///< Times log2 of the table size.
    std::uint32_t piggyback_updates = 8;      ///< In one ping or ack.
    std::uint32_t push_fanout = 3;            ///< Own-domain targets of a push.
    std::chrono::milliseconds push_delay{20}; ///< Collects urgent updates.
    std::uint32_t cut_off_after_probes = 4;   ///< Failed in a row.
    std::chrono::milliseconds sync_interval{1'000}; ///< Between digests sent.
    std::uint32_t sync_datagrams = 16;              ///< Answer to one digest.
    std::chrono::hours dead_retention{24};          ///< Dead entries are kept.
};

// [actions] ------------------------------------------------------------------

/// A datagram to send.
struct gossip_send
{
    std::string address; ///< `IP:port`.
    protocol::gossip_message message;
};

/// What the caller must do after an event.
struct membership_actions
{
    std::vector<gossip_send> sends;
    std::vector<protocol::member_update> changes; ///< Entries that changed.
};

// [domain_status] ------------------------------------------------------------

/// Whether a failure domain answers.
enum class reachability : std::uint8_t
{
    reachable,
    cut_off ///< Nobody there answers this instance.
};

/// Summary of one failure domain.
struct domain_status
{
    std::string failure_domain;
    reachability state = reachability::reachable;
    std::uint32_t alive = 0;   ///< Members alive or suspect.
    std::uint32_t leaving = 0; ///< Members leaving.
};

// [membership] ---------------------------------------------------------------

/// One instance's part in the protocol. Not safe to share among threads.
class membership
{
public:
    /// @param self This instance; its incarnation must be higher than that of
    ///     its former life, such as the wall time in milliseconds.
    /// @param seeds Instances known from settings, with gossip addresses.
    /// @param random_seed For all random choices.
    membership(membership_settings settings, protocol::member_update self,
               const std::vector<protocol::member_update>& seeds,
               std::uint64_t random_seed);
    membership(membership&&) noexcept;
    membership& operator=(membership&&) noexcept;
    ~membership();

    /// Does what is due. Call it at next_deadline() or more often.
    [[nodiscard]] membership_actions tick(transport::monotonic_time now);

    /// @return When tick() has something to do next.
    [[nodiscard]] transport::monotonic_time next_deadline() const noexcept;

    /// Takes a datagram.
    ///
    /// @param from Sender's `IP:port`; answers go there.
    [[nodiscard]] membership_actions
    receive(transport::monotonic_time now, std::string_view from,
            const protocol::gossip_message& message);

    /// Marks this instance as leaving.
    [[nodiscard]] membership_actions
    announce_leaving(transport::monotonic_time now);

    /// Takes what another source says of an instance: a reclaim notice, an
    /// operator's order or the platform's list. Nothing goes back to an
    /// earlier state within one incarnation.
    [[nodiscard]] membership_actions
    report(transport::monotonic_time now,
           const protocol::member_update& update);

    /// Tells the log index that this instance has applied.
    void set_applied_index(std::uint64_t index) noexcept;

    /// @return The highest applied index heard from any member.
    [[nodiscard]] std::uint64_t highest_index() const noexcept;

    /// @return The index that a member last said it had applied; 0 if unheard.
    [[nodiscard]] std::uint64_t
    applied_index_of(std::string_view name) const noexcept;

    /// @return The table, this instance included.
    [[nodiscard]] const member_table& table() const noexcept;

    /// @return This instance's own entry.
    [[nodiscard]] const protocol::member_update& self() const noexcept;

    /// @return Whether new work may go to a member: it is alive or suspect and
    ///     its failure domain is reachable.
    [[nodiscard]] bool is_usable(std::string_view name) const noexcept;

    /// @return A summary of every failure domain, the own one first.
    [[nodiscard]] std::vector<domain_status> domains() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::coordination

#endif
