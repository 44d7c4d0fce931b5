#ifndef HYSSOPDEAL_COORDINATION_GATEWAY_TOKEN_QUOTA_HPP
#define HYSSOPDEAL_COORDINATION_GATEWAY_TOKEN_QUOTA_HPP

/// @file
/// A part of each organisation's quota: a bucket that fills at the
/// organisation's rate times the share that is held here. Entries hold small
/// shares, the leader the rest, from which entries fetch what they lack: a few
/// long prompts must not wait for one entry's share to fill while the others'
/// are unused. Answers an organisation that asks for more than its contract. A
/// decision module without I/O.
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

/// Whether a bucket may be overdrawn.
enum class bucket_debt : std::uint8_t
{
    none,
    when_full ///< By a request larger than the bucket, which is paid back.
};

/// How exactly the sum over all entries must keep an organisation's quota.
struct quota_settings
{
    std::chrono::milliseconds window{8'000}; ///< In which it is counted.
    double tolerated_fraction = 0;           ///< Beyond the quota of a window.
    double tolerated_tokens = 0;             ///< Beyond it, whatever the quota.
    /// Parts of what is tolerated that serve as burst and, spread over the
    /// window, as rate: shares cannot follow callers exactly, and a request
    /// within the quota must not be refused for it. The rest covers requests
    /// that are larger than a bucket, and levels that are unknown after a
    /// change of leaders.
    double burst_part = 0.3;
    double rate_part = 0.4;
    bucket_debt debt = bucket_debt::when_full;
};

// [token_quota] --------------------------------------------------------------

/// Buckets of one process.
class token_quota
{
public:
    explicit token_quota(quota_settings settings);

    /// Takes over rates and bursts; levels are kept, and cut to a smaller
    /// burst.
    void set_organisations(
        transport::monotonic_time now,
        const std::vector<protocol::organisation_terms>& organisations);

    /// Takes over the shares that this entry holds from now on.
    ///
    /// @param until They must not be used any longer than that.
    void set_shares(transport::monotonic_time now,
                    const std::map<std::string, double>& shares,
                    transport::monotonic_time until);

    /// Takes tokens for a request.
    ///
    /// @return 0 when they were taken; else how long until they could be, behind
    ///     those that were told to come back before. An organisation without a
    ///     limit is never refused.
    [[nodiscard]] std::chrono::milliseconds
    take(transport::monotonic_time now, const std::string& name, double tokens);

    /// Gives back what a request took that did not run.
    void refund(const std::string& name, double tokens);

    /// @return Tokens asked for each second of late, by organisation.
    [[nodiscard]] std::map<std::string, double>
    demand(transport::monotonic_time now);

    [[nodiscard]] const std::map<std::string, double>& shares() const noexcept
    {
        return shares_;
    }

    /// @return When the shares expire.
    [[nodiscard]] transport::monotonic_time shares_expire_at() const noexcept
    {
        return until_;
    }

private:
    struct bucket
    {
        double rate = 0; ///< Of the whole organisation; 0: no limit.
        double burst = 0;
        double share = 0;
        double level = 0;
        double demand = 0;   ///< Smoothed, tokens a second.
        double asked = 0;    ///< Since demand was last taken.
        double promised = 0; ///< Tokens of those that were told to come back.
    };

    void fill(transport::monotonic_time now);

    quota_settings settings_;
    std::map<std::string, bucket> buckets_;
    std::map<std::string, double> shares_;
    transport::monotonic_time until_{};
    transport::monotonic_time filled_{};
    transport::monotonic_time measured_{};
};

} // namespace hyssopdeal::coordination

#endif
