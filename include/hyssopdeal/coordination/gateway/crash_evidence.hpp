#ifndef HYSSOPDEAL_COORDINATION_GATEWAY_CRASH_EVIDENCE_HPP
#define HYSSOPDEAL_COORDINATION_GATEWAY_CRASH_EVIDENCE_HPP

/// @file
/// What one gateway sees of prompts that crash servers: which requests were in
/// their queue or just begun when the connection to their server broke, and
/// which parts of prompts were answered. The leader attributes crashes from the
/// reports of all gateways and orders which prompts are quarantined. Performs
/// no I/O.
///
/// Index: [crash_evidence]

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include <hyssopdeal/coordination/gateway/placement.hpp>
#include <hyssopdeal/protocol/follow_messages.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [crash_evidence] -----------------------------------------------------------

class crash_evidence
{
public:
    /// Records that the connection to a server broke before the first event of
    /// a request, or shortly after it.
    ///
    /// @param sent_at When the request was sent to the server.
    void on_broken(transport::monotonic_time now,
                   transport::monotonic_time sent_at,
                   const std::shared_ptr<known_server>& server,
                   const prompt_size& prompt);

    /// Records that a request was answered, or begun some time ago.
    void on_answered(transport::monotonic_time now, const prompt_size& prompt);

    /// Applies the leader's orders.
    void set_orders(transport::monotonic_time now,
                    const protocol::crash_orders& orders);

    /// @return How long requests with this prompt are not to be sent to
    ///     servers; nothing if they may be sent.
    [[nodiscard]] std::optional<std::chrono::milliseconds>
    quarantine_of(transport::monotonic_time now,
                  const prompt_size& prompt) const;

    /// @return What to report to the control replicas.
    [[nodiscard]] protocol::crash_report report(transport::monotonic_time now);

    /// @return Whether report() holds something that the leader does not know.
    [[nodiscard]] bool has_news(transport::monotonic_time now) const;

    /// Records that report() was sent to the leader.
    void mark_reported(transport::monotonic_time now);

    /// @return Number of prompts in quarantine.
    [[nodiscard]] std::size_t quarantined() const noexcept
    {
        return quarantine_.size();
    }

private:
    struct broken_request
    {
        transport::monotonic_time broken_at{};
        transport::monotonic_time sent_at{};
        std::shared_ptr<known_server> server;
        protocol::part_ids parts;
        std::uint64_t number = 0;
        bool reported = false;
    };
    struct quarantined_prompt
    {
        protocol::part_ids parts;
        transport::monotonic_time until{};
    };

    void forget_old(transport::monotonic_time now);

    std::deque<broken_request> broken_; ///< Oldest first.
    std::uint64_t last_number_ = 0;
    /// Latest first event of a request with a part, by the part's id.
    std::unordered_map<std::uint64_t, transport::monotonic_time> answered_;
    protocol::part_ids suspects_;
    bool suspects_changed_ = false;
    std::vector<quarantined_prompt> quarantine_;
    /// Quarantined prompts that were answered, and when.
    std::map<protocol::part_ids, transport::monotonic_time> disproved_;
};

} // namespace hyssopdeal::coordination

#endif
