#ifndef HYSSOPDEAL_COORDINATION_MEMBERSHIP_IMPL_HPP
#define HYSSOPDEAL_COORDINATION_MEMBERSHIP_IMPL_HPP

/// @file
/// Private state of the membership protocol, shared by the files that
/// implement its parts: table changes and messages (membership.cpp), probing
/// (membership_probe.cpp) and spreading (membership_spread.cpp). Internal.
///
/// Index: [waiting] [impl]

#include <bit>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <hyssopdeal/coordination/membership.hpp>

#include "domain_watch.hpp"
#include "gossip_queue.hpp"
#include "member_picker.hpp"

namespace hyssopdeal::coordination
{

// [waiting] ------------------------------------------------------------------

/// A probe that is waiting for its ack.
struct pending_probe
{
    protocol::member_update target;
    std::uint64_t sequence = 0;
    transport::monotonic_time ask_helpers_at;
    transport::monotonic_time fails_at;
    bool helpers_asked = false;
};

/// A ping sent for another instance.
struct relayed_probe
{
    std::uint64_t own_sequence = 0;
    std::uint64_t sequence = 0;
    std::string address;
    transport::monotonic_time expires_at;
};

/// When a suspect is declared dead unless it refutes.
struct suspicion
{
    std::string name;
    std::uint64_t incarnation = 0;
    transport::monotonic_time ends_at;
};

/// A dead entry that is forgotten later.
struct tombstone
{
    std::string name;
    transport::monotonic_time ends_at;
};

/// @return Bits needed for a number; 1 for 1.
inline std::uint32_t log2_ceiling(std::size_t value) noexcept
{
    return static_cast<std::uint32_t>(std::bit_width(value));
}

// [impl] ---------------------------------------------------------------------

struct membership::impl
{
    impl(membership_settings chosen, protocol::member_update own,
         std::uint64_t seed)
        : settings(chosen),
          self(std::move(own)),
          picker(self.name, self.failure_domain, seed),
          watch(chosen.cut_off_after_probes)
    {}

    membership_settings settings;
    protocol::member_update self;
    member_picker picker;
    domain_watch watch;
    member_table table;
    gossip_queue queue;
    std::vector<std::string> urgent; // names for the next push
    std::vector<pending_probe> probes;
    std::vector<relayed_probe> relays;
    std::vector<suspicion> suspicions;
    std::vector<tombstone> tombstones;
    std::unordered_map<std::string, std::uint64_t> applied; // by member
    transport::monotonic_time next_probe_at{};
    transport::monotonic_time next_sync_at{};
    transport::monotonic_time changed_at{};
    transport::monotonic_time push_at = transport::monotonic_time::max();
    std::uint64_t sequence = 0;
    std::uint64_t probe_count = 0;
    std::uint64_t applied_index = 0;
    std::uint64_t highest_index = 0;

    // Messages.
    protocol::gossip_message make(protocol::gossip_kind kind);
    void piggyback(protocol::gossip_message& message);
    void send(membership_actions& actions, const std::string& address,
              protocol::gossip_message message) const;

    // Table changes.
    void merge(transport::monotonic_time now,
               const protocol::member_update& update,
               membership_actions& actions);
    void refute(transport::monotonic_time now,
                const protocol::member_update& update,
                membership_actions& actions);
    void changed(transport::monotonic_time now,
                 const protocol::member_update& entry,
                 membership_actions& actions);

    // Probing.
    void start_probe(transport::monotonic_time now,
                     membership_actions& actions);
    void probe(transport::monotonic_time now,
               const protocol::member_update& target,
               membership_actions& actions);
    void check_probes(transport::monotonic_time now,
                      membership_actions& actions);
    void ask_helpers(pending_probe& waiting, membership_actions& actions);
    void probe_failed(transport::monotonic_time now,
                      const pending_probe& waiting,
                      membership_actions& actions);
    void end_suspicions(transport::monotonic_time now,
                        membership_actions& actions);
    void forget_dead(transport::monotonic_time now);
    std::chrono::nanoseconds suspicion_time() const;

    // Spreading.
    void push(transport::monotonic_time now, membership_actions& actions);
    void push_to(membership_actions& actions,
                 const protocol::member_update& target,
                 const std::vector<std::string>& names);
    void maybe_sync(transport::monotonic_time now, const std::string& address,
                    const protocol::gossip_message& message,
                    membership_actions& actions);
    void answer_digest(const std::string& address,
                       const protocol::gossip_message& message,
                       membership_actions& actions);

    // Receiving.
    void note_sender(const protocol::gossip_message& message);
    void handle(transport::monotonic_time now, const std::string& from,
                const protocol::gossip_message& message,
                membership_actions& actions);
    void handle_ack(const protocol::gossip_message& message,
                    membership_actions& actions);
    void handle_request(transport::monotonic_time now, const std::string& from,
                        const protocol::gossip_message& message,
                        membership_actions& actions);
};

} // namespace hyssopdeal::coordination

#endif
