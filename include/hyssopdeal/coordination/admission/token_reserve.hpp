#ifndef HYSSOPDEAL_COORDINATION_ADMISSION_TOKEN_RESERVE_HPP
#define HYSSOPDEAL_COORDINATION_ADMISSION_TOKEN_RESERVE_HPP

/// @file
/// Tokens that a gateway takes from the leader in advance, for the time in which
/// no leader answers. A gateway's share covers a part of its use; without a
/// reserve, requests beyond the share are refused while the leader is silent,
/// although their organisation is within its quota. A reserve is also used when
/// the leader declines a request, as it is taken from what the leader can lend.
/// Performs no I/O.
///
/// Index: [settings] [token_reserve]
///
/// Each report to the leader has a number, and only the answer to the latest
/// one changes what is held. So `held` in a report, plus what the leader adds in
/// its answer, is the most that this gateway can use until its next report.
/// reserve_ledger.hpp shows that the sum over all gateways stays within the
/// quota.

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>

#include <hyssopdeal/protocol/follow_messages.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

struct token_reserve_settings
{
    /// Counted from when the report was sent; as long as keys and shares.
    std::chrono::milliseconds valid_for{3'750};
    /// The reserve is as large as the use beyond the share in this time. Longer
    /// than a lease that expires and an election, 1.5 s: one entry of many sees
    /// few requests. With 84 entries, requests of 200 tokens and a leader lost
    /// for 1.3 s, 3 s left half as many requests refused as no reserve, and
    /// 1.5 s two thirds.
    std::chrono::milliseconds covered{3'000};
    /// The leader counts as silent without an answer to a report for this time.
    std::chrono::milliseconds silence{500};
};

// [token_reserve] ------------------------------------------------------------

/// The reserves of one gateway.
class token_reserve
{
public:
    explicit token_reserve(token_reserve_settings settings = {});

    /// Records tokens that the leader granted beyond the share.
    void on_granted(transport::monotonic_time now,
                    const std::string& organisation, double tokens);

    /// Uses tokens of the reserve. To be called only while the leader is silent,
    /// has failed to answer a request for tokens, or has declined it.
    ///
    /// @return Whether there were enough.
    [[nodiscard]] bool take(transport::monotonic_time now,
                            const std::string& organisation, double tokens);

    /// @return What to report to the leader. While a leader answers, what
    ///     exceeds the use of late is returned to it, and all that is held of
    ///     an organisation that has used its whole quota.
    [[nodiscard]] protocol::reserve_report
    report(transport::monotonic_time now);

    /// Applies the leader's answer to a report. An answer to another report
    /// than the latest changes no reserve.
    void set_orders(transport::monotonic_time now,
                    const protocol::reserve_orders& orders);

    /// @return Whether no leader has answered a report of late.
    [[nodiscard]] bool
    leader_silent(transport::monotonic_time now) const noexcept
    {
        return now - leader_answered_at_ >= settings_.silence;
    }

    /// @return Tokens that can be used.
    [[nodiscard]] double held(transport::monotonic_time now,
                              const std::string& organisation) const;

private:
    struct use
    {
        transport::monotonic_time at{};
        double tokens = 0;
    };

    struct reserve
    {
        double held = 0;
        double used_since_report = 0;
        std::deque<use> uses; ///< Beyond the share, oldest first.
        double used = 0;      ///< Sum of `uses`.
    };

    static void add_use(transport::monotonic_time now, reserve& item,
                        double tokens);

    token_reserve_settings settings_;
    std::map<std::string, reserve> reserves_; ///< By organisation.
    std::set<std::string> exhausted_;         ///< As the leader last said.
    std::uint64_t number_ = 0;                ///< Of the latest report.
    transport::monotonic_time reported_at_{};
    transport::monotonic_time expires_at_{};
    transport::monotonic_time leader_answered_at_{};
};

} // namespace hyssopdeal::coordination

#endif
