#ifndef HYSSOPDEAL_COORDINATION_ADMISSION_RANK_ADMISSION_HPP
#define HYSSOPDEAL_COORDINATION_ADMISSION_RANK_ADMISSION_HPP

/// @file
/// Refuses a share of the less urgent requests at a gateway while more urgent
/// ones find no room. Handles a shortage of servers in which the most urgent
/// requests are refused because their latency target is short, and the least
/// urgent ones fill the servers because theirs is long. A gateway sees too few
/// requests to decide by itself, so the leader orders the shares
/// (shortage_controller.hpp). Performs no I/O.
///
/// Index: [settings] [rank_admission]
///
/// Applies only to services whose servers report their load; for others nothing
/// is counted or refused.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <hyssopdeal/protocol/follow_messages.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

struct rank_admission_settings
{
    /// A service is controlled for this long after a server reported its load.
    std::chrono::milliseconds load_lifetime{10'000};
    /// Without a leader's answer for this long, shares begin to decay.
    std::chrono::milliseconds orders_valid_for{2'000};
    std::chrono::milliseconds decay_time{1'000};
    std::chrono::milliseconds min_retry_after{500};
    std::chrono::milliseconds max_retry_after{2'000};
};

// [rank_admission] -----------------------------------------------------------

/// The shares and counts of one gateway.
class rank_admission
{
public:
    explicit rank_admission(rank_admission_settings settings = {});

    /// Records that a server of the service has reported its load.
    void on_server_load_seen(transport::monotonic_time now,
                             const std::string& service);

    /// Decides on the first attempt of a request, before a server is chosen,
    /// and counts it if it is not refused.
    ///
    /// @param attempt_id Drawn anew by a caller that retries.
    /// @return When to retry if the request is to be refused.
    [[nodiscard]] std::optional<std::chrono::milliseconds>
    on_request(transport::monotonic_time now, const std::string& service,
               std::uint32_t rank, std::string_view attempt_id);

    /// Counts a request that was refused as predicted late or for lack of
    /// capacity after on_request() had let it pass.
    void on_late(transport::monotonic_time now, const std::string& service,
                 std::uint32_t rank);

    /// @return What was counted since the previous report to the leader.
    [[nodiscard]] protocol::service_pressures
    report(transport::monotonic_time now);

    /// Replaces all shares with those of the leader.
    void set_orders(transport::monotonic_time now,
                    const protocol::service_turns& turns);

    /// @return Share of the requests that are refused now.
    [[nodiscard]] double share(transport::monotonic_time now,
                               const std::string& service,
                               std::uint32_t rank) const;

    /// @return Refused requests, by rank.
    [[nodiscard]] const std::map<std::uint32_t, std::uint64_t>&
    yielded() const noexcept
    {
        return yielded_;
    }

private:
    [[nodiscard]] bool controlled(transport::monotonic_time now,
                                  const std::string& service) const;

    rank_admission_settings settings_;
    std::map<std::string, transport::monotonic_time> load_seen_at_;
    protocol::service_pressures counts_;
    protocol::service_turns turns_;
    transport::monotonic_time ordered_at_{};
    std::map<std::uint32_t, std::uint64_t> yielded_;
};

} // namespace hyssopdeal::coordination

#endif
