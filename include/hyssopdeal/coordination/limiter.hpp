#ifndef HYSSOPDEAL_COORDINATION_LIMITER_HPP
#define HYSSOPDEAL_COORDINATION_LIMITER_HPP

/// @file
/// Enforces contract limits on one node. A node may admit a fixed floor plus an
/// expiring grant.
///
/// Index: [allotment] [limit_demand] [permit] [limiter]
///
/// A larger allotment does not raise the level of a token bucket; only elapsed
/// time does. Moving an allotment between nodes therefore admits nothing twice.

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/protocol/contract.hpp>
#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::coordination
{

// [allotment] ----------------------------------------------------------------

/// A share of an organisation's limits.
struct allotment
{
    double requests_per_second = 0;
    double request_burst = 0;
    double tokens_per_second = 0;
    double token_burst = 0;
    double concurrent_streams = 0; ///< Only whole streams count.

    bool operator==(const allotment&) const = default;
};

/// @return The limits of a contract as an allotment.
[[nodiscard]] allotment
contract_limits(const protocol::organisation_contract& contract) noexcept;

/// @return Each amount multiplied by a factor.
[[nodiscard]] allotment scaled(const allotment& amounts,
                               double factor) noexcept;

/// @return The element-wise sum.
[[nodiscard]] allotment sum(const allotment& left,
                            const allotment& right) noexcept;

[[nodiscard]] allotment elementwise_max(const allotment& left,
                                        const allotment& right) noexcept;

[[nodiscard]] allotment elementwise_min(const allotment& left,
                                        const allotment& right) noexcept;

/// @return Each amount of `left` minus that of `right`, clamped to zero.
[[nodiscard]] allotment saturating_difference(const allotment& left,
                                              const allotment& right) noexcept;

/// How limits are split between floors and grants. Must be equal on all nodes.
struct floor_settings
{
    double floor_share = 0.25; ///< Fraction of each limit, divided evenly
                               ///< among all nodes.
    std::uint32_t nodes = 9;   ///< Maximum number of entry instances.
};

/// @return What one node may admit without a grant. Streams are rounded down.
[[nodiscard]] allotment
floor_of(const protocol::organisation_contract& contract,
         const floor_settings& settings) noexcept;

// [limit_demand] -------------------------------------------------------------

/// Recent demand of an organisation on this node; determines its next grant.
struct limit_demand
{
    std::string organisation;
    double requests_per_second = 0;    ///< Includes refused requests.
    double tokens_per_second = 0;      ///< Includes refused requests.
    std::uint32_t open_streams = 0;    ///< Current number.
    std::uint32_t refused_streams = 0; ///< Since the last take_demand().
};

// [permit] -------------------------------------------------------------------

/// What a request needs from the limits.
struct limit_request
{
    double tokens = 0;         ///< Prompt plus maximum generated tokens.
    std::uint32_t streams = 0; ///< 1 for a streamed response.
    protocol::priority_class priority = protocol::priority_class::standard;
};

/// An admitted request. Must be passed to settle() exactly once.
struct permit
{
    std::string organisation;
    double reserved_tokens = 0;
    std::uint32_t streams = 0;
    protocol::priority_class priority = protocol::priority_class::standard;
};

/// A refusal with the delay after which the request may be retried.
struct limit_refusal
{
    transport::failure error;                ///< 429: limit_reached.
    std::chrono::milliseconds retry_after{}; ///< At least 1 ms.
};

// [limiter] ------------------------------------------------------------------

/// Initial level of a token bucket.
enum class bucket_start : std::uint8_t
{
    full, ///< For a new contract.
    empty ///< For a new process, which does not know what the previous
          ///< process admitted.
};

/// Token buckets and stream counts of all organisations on this node. Not
/// thread-safe.
class limiter
{
public:
    explicit limiter(floor_settings floors);
    limiter(limiter&&) noexcept;
    limiter& operator=(limiter&&) noexcept;
    ~limiter();

    /// Replaces the contracts in force.
    ///
    /// @param start Initial bucket level of organisations not known before.
    void
    set_contracts(transport::monotonic_time now,
                  const std::vector<protocol::organisation_contract>& contracts,
                  bucket_start start);

    /// Replaces the grant of an organisation until it expires.
    void set_grant(transport::monotonic_time now, std::string_view organisation,
                   const allotment& amounts,
                   transport::monotonic_time expires_at);

    /// Admits a request or returns when to retry.
    ///
    /// @return A permit whose priority is capped by the contract.
    [[nodiscard]] tl::expected<permit, limit_refusal>
    admit(transport::monotonic_time now, std::string_view organisation,
          const limit_request& request);

    /// Counts a stream that another node admitted and this node took over, even
    /// if the stream limit is exceeded.
    [[nodiscard]] permit adopt_stream(std::string_view organisation,
                                      protocol::priority_class priority);

    /// Ends a request: refunds unused tokens and releases its stream.
    ///
    /// @param used_tokens Prompt and generated tokens; 0 if it did not run.
    void settle(transport::monotonic_time now, const permit& admitted,
                double used_tokens);

    /// Resets the counts of refused streams.
    ///
    /// @return Demand of each organisation; rates are smoothed over time.
    [[nodiscard]] std::vector<limit_demand>
    take_demand(transport::monotonic_time now);

    /// @return The floor of the organisation plus its grant if unexpired.
    [[nodiscard]] allotment allowed(transport::monotonic_time now,
                                    std::string_view organisation) const;

    [[nodiscard]] std::uint32_t
    open_streams(std::string_view organisation) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::coordination

#endif
