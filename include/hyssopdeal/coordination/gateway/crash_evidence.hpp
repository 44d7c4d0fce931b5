#ifndef HYSSOPDEAL_COORDINATION_GATEWAY_CRASH_EVIDENCE_HPP
#define HYSSOPDEAL_COORDINATION_GATEWAY_CRASH_EVIDENCE_HPP

/// @file
/// What one gateway sees of requests that crash servers: which requests were in
/// their queue or just begun when the connection to their server broke, and
/// what the answered ones contained. The leader attributes crashes from the
/// reports of all gateways and orders what is quarantined. Performs no I/O.
///
/// Index: [request_content] [crash_evidence]

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <hyssopdeal/coordination/gateway/placement.hpp>
#include <hyssopdeal/protocol/follow_messages.hpp>
#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/http_message.hpp>

namespace hyssopdeal::coordination
{

// [request_content] ----------------------------------------------------------

/// What of a request may crash a server: a part of its prompt, or the request
/// as a whole.
struct request_content
{
    /// @param organisation Of the caller; empty if the route needs no key.
    request_content(const transport::http_request& request,
                    std::string_view organisation, const prompt_size& prompt);

    std::uint64_t digest = 0; ///< Of the whole request.
    /// Of its prompt's parts, and the digest; sorted.
    std::vector<std::uint64_t> ids;
};

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
                   const request_content& content);

    /// Records that a request was answered, or begun some time ago.
    void on_answered(transport::monotonic_time now,
                     const request_content& content);

    /// Applies the leader's orders.
    void set_orders(transport::monotonic_time now,
                    const protocol::crash_orders& orders);

    /// @return How long requests with this content are not to be sent to
    ///     servers; nothing if they may be sent.
    [[nodiscard]] std::optional<std::chrono::milliseconds>
    quarantine_of(transport::monotonic_time now,
                  const request_content& content) const;

    /// @return What to report to the control replicas.
    [[nodiscard]] protocol::crash_report report(transport::monotonic_time now);

    /// @return Whether report() holds something that the leader does not know.
    [[nodiscard]] bool has_news(transport::monotonic_time now) const;

    /// Records that report() was sent to the leader.
    void mark_reported(transport::monotonic_time now);

    /// @return Number of quarantines in force.
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
    struct quarantined_content
    {
        protocol::part_ids parts;
        transport::monotonic_time until{};
    };

    void forget_old(transport::monotonic_time now);

    std::deque<broken_request> broken_; ///< Oldest first.
    std::uint64_t last_number_ = 0;
    /// Latest first event of a request, by the ids of its content.
    std::unordered_map<std::uint64_t, transport::monotonic_time> answered_;
    protocol::part_ids suspects_;
    bool suspects_changed_ = false;
    std::vector<quarantined_content> quarantine_;
    /// Quarantined content that was answered, and when.
    std::map<protocol::part_ids, transport::monotonic_time> disproved_;
};

} // namespace hyssopdeal::coordination

#endif
