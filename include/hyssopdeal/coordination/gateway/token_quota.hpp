#ifndef HYSSOPDEAL_COORDINATION_GATEWAY_TOKEN_QUOTA_HPP
#define HYSSOPDEAL_COORDINATION_GATEWAY_TOKEN_QUOTA_HPP

/// @file
/// Limits each organisation to its contracted token rate. A process holds a
/// share of the quota as a token bucket, refilled at the organisation's rate
/// times that share. Gateways hold small shares and the leader holds the rest.
/// A gateway that runs out of tokens requests more from the leader, so that a
/// few long prompts need not wait for one gateway's share to refill while the
/// shares of other gateways are unused. Performs no I/O.
///
/// Index: [settings] [token_quota]

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <hyssopdeal/protocol/service_document.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

/// Whether the level of a bucket may become negative.
enum class bucket_debt : std::uint8_t
{
    none,
    /// A full bucket admits a request larger than its capacity. Later refills
    /// repay the debt before the next request is admitted.
    when_full
};

/// How far the sum over all gateways may exceed an organisation's quota.
struct quota_settings
{
    std::chrono::milliseconds window{8'000}; ///< For measuring token use.
    /// Tolerated excess per window, as a fraction of the window's quota and as
    /// a fixed number of tokens. The sum of both applies.
    double tolerated_fraction = 0;
    double tolerated_tokens = 0;
    /// Fractions of the tolerated excess that are added to the burst and,
    /// spread over the window, to the rate. Shares follow shifts of traffic
    /// with a delay, and a request within the quota must not be refused because
    /// of that delay. The remaining fraction covers requests larger than a
    /// bucket, and bucket levels that are unknown after a change of leader.
    double burst_fraction = 0.3;
    double rate_fraction = 0.4;
    bucket_debt debt = bucket_debt::when_full;
};

// [token_quota] --------------------------------------------------------------

/// The token buckets of one process, one for each organisation.
class token_quota
{
public:
    explicit token_quota(quota_settings settings);

    /// Replaces the rates and bursts. A bucket keeps its level, limited to its
    /// new capacity.
    void set_organisations(
        transport::monotonic_time now,
        const std::vector<protocol::organisation_terms>& organisations);

    /// Replaces the shares that this process holds.
    ///
    /// @param expires_at When the shares stop being valid.
    void set_shares(transport::monotonic_time now,
                    const std::map<std::string, double>& shares,
                    transport::monotonic_time expires_at);

    /// Takes the tokens for a request out of an organisation's bucket.
    ///
    /// @return 0 if the tokens were taken. Otherwise the time after which to
    ///     retry, which leaves room for the requests that were deferred
    ///     earlier. An organisation without a limit is never refused.
    [[nodiscard]] std::chrono::milliseconds
    take(transport::monotonic_time now, const std::string& name, double tokens);

    /// Lowers a bucket's capacity by tokens that are held elsewhere.
    void withhold(transport::monotonic_time now, const std::string& name,
                  double tokens);

    /// Lowers the capacity of every bucket by a part of it.
    void withhold_fraction(transport::monotonic_time now, double fraction);

    /// @return A bucket's capacity without what is withheld from it; 0 without
    ///     a limit.
    [[nodiscard]] double whole_capacity(const std::string& name) const;

    /// Takes tokens as far as a level is left. They do not count as demand.
    ///
    /// @return Tokens taken.
    [[nodiscard]] double take_above(transport::monotonic_time now,
                                    const std::string& name, double tokens,
                                    double min_level);

    /// Returns the tokens of a request that did not run.
    void refund(const std::string& name, double tokens);

    /// @return Smoothed demand in tokens per second, by organisation. Includes
    ///     refused requests. Empty if no time has passed since the last call.
    [[nodiscard]] std::map<std::string, double>
    demand(transport::monotonic_time now);

    [[nodiscard]] const std::map<std::string, double>& shares() const noexcept
    {
        return shares_;
    }

    [[nodiscard]] transport::monotonic_time shares_expire_at() const noexcept
    {
        return shares_expire_at_;
    }

private:
    struct bucket
    {
        double rate = 0; ///< Tokens/s of the organisation; 0: no limit.
        double burst = 0;
        double share = 0;
        double withheld = 0; ///< Of the capacity.
        double level = 0;
        double demand = 0;   ///< Tokens/s, smoothed.
        double asked = 0;    ///< Tokens requested since demand was sampled.
        double deferred = 0; ///< Tokens of requests that were told to retry.
    };

    void refill(transport::monotonic_time now);
    [[nodiscard]] static double capacity(const bucket& item);

    quota_settings settings_;
    std::map<std::string, bucket> buckets_;
    std::map<std::string, double> shares_;
    transport::monotonic_time shares_expire_at_{};
    transport::monotonic_time refilled_at_{};
    transport::monotonic_time demand_sampled_at_{};
};

} // namespace hyssopdeal::coordination

#endif
