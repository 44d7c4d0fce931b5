#ifndef HYSSOPDEAL_COORDINATION_LIMITER_HPP
#define HYSSOPDEAL_COORDINATION_LIMITER_HPP

/// @file
/// Applies the limits of contracts on one node: what it may admit is a fixed
/// floor plus an expiring grant.
///
/// Index: [allotment] [limit_demand] [permit] [limiter]
///
/// A bucket never gains level by a larger allotment, only by time, so that
/// moving an allotment between nodes admits nothing twice.

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

/// Part of an organisation's limits.
struct allotment
{
    double requests_per_second = 0;
    double request_burst = 0;
    double tokens_per_second = 0;
    double token_burst = 0;
    double concurrent_streams = 0; ///< Whole streams count.

    bool operator==(const allotment&) const = default;
};

/// @return The limits of a contract as an allotment.
[[nodiscard]] allotment
whole_limit(const protocol::organisation_contract& contract) noexcept;

/// @return Each amount times a factor.
[[nodiscard]] allotment scaled(const allotment& amounts,
                               double factor) noexcept;

/// @return Each amount of both added.
[[nodiscard]] allotment sum(const allotment& left,
                            const allotment& right) noexcept;

/// @return Each amount the larger of both.
[[nodiscard]] allotment larger(const allotment& left,
                               const allotment& right) noexcept;

/// @return Each amount the smaller of both.
[[nodiscard]] allotment smaller(const allotment& left,
                                const allotment& right) noexcept;

/// @return Each amount of left less right, never below zero.
[[nodiscard]] allotment difference(const allotment& left,
                                   const allotment& right) noexcept;

/// How the limits are split between floors and grants; the same on every node.
struct floor_settings
{
    double floor_share = 0.25; ///< Of each limit, split among all nodes.
    std::uint32_t nodes = 9;   ///< Entry instances at most.
};

/// @return What one node may admit without a grant; whole streams only.
[[nodiscard]] allotment
floor_of(const protocol::organisation_contract& contract,
         const floor_settings& settings) noexcept;

// [limit_demand] -------------------------------------------------------------

/// What an organisation asked of this node lately; sizes its next grant.
struct limit_demand
{
    std::string organisation;
    double requests_per_second = 0;    ///< Offered, admitted or not.
    double tokens_per_second = 0;      ///< Offered, admitted or not.
    std::uint32_t open_streams = 0;    ///< Now.
    std::uint32_t refused_streams = 0; ///< Since the last demand.
};

// [permit] -------------------------------------------------------------------

/// What a request asks for.
struct limit_request
{
    double tokens = 0;         ///< Prompt plus the most it may generate.
    std::uint32_t streams = 0; ///< 1 for a streamed answer.
    protocol::priority_class priority = protocol::priority_class::standard;
};

/// An admitted request; give it back to settle() once.
struct permit
{
    std::string organisation;
    double reserved_tokens = 0;
    std::uint32_t streams = 0;
    protocol::priority_class priority = protocol::priority_class::standard;
};

/// A refusal with the time at which the request would be admitted.
struct limit_refusal
{
    transport::failure error;                ///< 429: limit_reached.
    std::chrono::milliseconds retry_after{}; ///< At least 1 ms.
};

// [limiter] ------------------------------------------------------------------

/// Level of a new bucket.
enum class bucket_start : std::uint8_t
{
    full, ///< The contract is new.
    empty ///< The process is: what it admitted before is not known.
};

/// Buckets of every organisation on this node; one thread at a time.
class limiter
{
public:
    explicit limiter(floor_settings floors);
    limiter(limiter&&) noexcept;
    limiter& operator=(limiter&&) noexcept;
    ~limiter();

    /// Takes over the contracts in force.
    ///
    /// @param start Level of the buckets of organisations that are new here.
    void
    set_contracts(transport::monotonic_time now,
                  const std::vector<protocol::organisation_contract>& contracts,
                  bucket_start start);

    /// Puts a grant in force until it expires.
    void set_grant(transport::monotonic_time now, std::string_view organisation,
                   const allotment& amounts,
                   transport::monotonic_time expires_at);

    /// Admits a request or says when to come back.
    ///
    /// @return A permit whose priority is capped by the contract.
    [[nodiscard]] tl::expected<permit, limit_refusal>
    admit(transport::monotonic_time now, std::string_view organisation,
          const limit_request& request);

    /// Counts a stream that another node had admitted and this one took over,
    /// within the limit or not.
    [[nodiscard]] permit adopt_stream(std::string_view organisation,
                                      protocol::priority_class priority);

    /// Ends a request: gives back unused tokens and its stream.
    ///
    /// @param used_tokens Prompt and generated tokens; 0 when it did not run.
    void settle(transport::monotonic_time now, const permit& admitted,
                double used_tokens);

    /// @return Demand of each organisation since the last call.
    [[nodiscard]] std::vector<limit_demand>
    take_demand(transport::monotonic_time now);

    /// @return What the organisation may use on this node now.
    [[nodiscard]] allotment allowed(transport::monotonic_time now,
                                    std::string_view organisation) const;

    /// @return Streams open under permits of an organisation.
    [[nodiscard]] std::uint32_t
    open_streams(std::string_view organisation) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::coordination

#endif
