#ifndef HYSSOPDEAL_COORDINATION_LOAD_BALANCER_HPP
#define HYSSOPDEAL_COORDINATION_LOAD_BALANCER_HPP

/// @file
/// Chooses a backend server for a request: the concept, the policy and the
/// baselines that it is measured against.
///
/// Index: [candidates] [request_profile] [load_balancer] [predicted_first_token]
///        [baselines]
///
/// A balancer reads flat tables and allocates nothing while it chooses.

#include <chrono>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <random>
#include <span>

#include <hyssopdeal/protocol/contract.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [candidates] ---------------------------------------------------------------

/// Position of a backend server in its service's table.
using server_index = std::uint32_t;

/// No backend server can take the request.
inline constexpr server_index no_server =
    std::numeric_limits<server_index>::max();

/// Whether a backend server may get new requests.
enum class server_availability : std::uint8_t
{
    available,
    ejected,     ///< Failed too often; for a while.
    unreachable, ///< Cut off from this node.
    leaving      ///< Some source says that it goes; never again.
};

/// Where a backend server runs, seen from this node.
enum class locality : std::uint8_t
{
    own_failure_domain,
    other_failure_domain
};

/// What is known of one backend server; one row of the table.
struct routing_candidate
{
    server_availability state = server_availability::available;
    locality where = locality::own_failure_domain;
    std::uint16_t version = 0;               ///< Number of its version.
    std::uint32_t slots = 8;                 ///< At full speed.
    std::uint32_t concurrency_limit = 1'024; ///< Of this node's requests.
    std::uint32_t own_in_flight = 0;         ///< Sent by this node and open.
    double reported_in_flight = 0;           ///< As last reported.
    double in_flight = 0;                    ///< Report, corrected.
    double queued_prompt_tokens = 0;         ///< Uncached and not prefilled.
    double prefill_tokens_per_second = 8'000;
    double decode_tokens_per_second = 50;  ///< One stream.
    double mean_output_tokens = 200;       ///< Recent answers.
    double price_per_hour = 1;             ///< Operator's currency.
    double reclaim_hazard_per_hour = 0;    ///< Expected reclaims.
    std::chrono::microseconds hop{0};      ///< One way.
    std::chrono::microseconds slowdown{0}; ///< Observed beyond prediction.
};

// [request_profile] ------------------------------------------------------------

/// Prompt tokens that a backend server probably has in its prefix cache.
struct prefix_match
{
    server_index server = no_server; ///< Position in the table.
    double cached_tokens = 0;        ///< Weighted by the index's trust.
};

/// What the choice depends on.
struct request_profile
{
    double prompt_tokens = 0;          ///< Estimated.
    double expected_output_tokens = 0; ///< Estimated.
    protocol::priority_class priority = protocol::priority_class::standard;
    std::uint16_t version = 0;               ///< Only servers of this one.
    std::span<const prefix_match> matches{}; ///< Longest first.
    std::span<const server_index> avoid{};   ///< Failed this request.
};

/// @return Prompt tokens that a server probably has cached.
[[nodiscard]] double cached_on(std::span<const prefix_match> matches,
                               server_index position) noexcept;

/// @return Requests of a class that this node may have open on a server.
[[nodiscard]] std::uint32_t
own_limit(const routing_candidate& candidate,
          protocol::priority_class priority) noexcept;

/// @return Whether a server may be chosen for a request.
[[nodiscard]] bool is_eligible(const routing_candidate& candidate,
                               const request_profile& request,
                               server_index position) noexcept;

// [load_balancer] ------------------------------------------------------------

/// Chooses a position of the table, or no_server when none is eligible.
template <class Balancer>
concept load_balancer = requires(Balancer& balancer,
                                 transport::monotonic_time now,
                                 const request_profile& request,
                                 std::span<const routing_candidate> candidates,
                                 std::mt19937_64& random)
{
    {
        balancer.choose(now, request, candidates, random)
        } -> std::same_as<server_index>;
};

// [predicted_first_token] ----------------------------------------------------

/// Weights of the policy.
struct predicted_first_token_settings
{
    std::uint32_t samples = 2;         ///< Random candidates for a request.
    std::uint32_t full_scan_limit = 3; ///< Tables to this size are read whole.
    std::uint32_t interactive_scan_up_to = 64; ///< The same for calls that
                                               ///< nothing may delay.
    double spill_penalty = 0.05;     ///< Seconds, other failure domain.
    double seconds_per_price = 0.01; ///< Seconds that a price unit weighs.
    double recompute_weight = 1;     ///< Of expected seconds to recompute.
};

/// Predicted time to first token, then price, then expected recompute: looks at
/// the best prefix matches and at random candidates, and takes the cheapest.
class predicted_first_token
{
public:
    explicit predicted_first_token(
        predicted_first_token_settings settings = {});

    [[nodiscard]] server_index
    choose(transport::monotonic_time now, const request_profile& request,
           std::span<const routing_candidate> candidates,
           std::mt19937_64& random) const noexcept;

    /// @return The seconds that a request would wait before its prefill.
    [[nodiscard]] static double
    queue_seconds(const routing_candidate& candidate) noexcept;

    /// @return The predicted seconds to the first token on a server.
    [[nodiscard]] static double
    first_token_seconds(const routing_candidate& candidate,
                        double prompt_tokens, double cached_tokens) noexcept;

    /// @return First token, price and expected recompute in seconds.
    [[nodiscard]] double score(const routing_candidate& candidate,
                               const request_profile& request,
                               double cached_tokens) const noexcept;

private:
    predicted_first_token_settings settings_;
};

// [baselines] ----------------------------------------------------------------

/// Each eligible server in turn.
class round_robin
{
public:
    [[nodiscard]] server_index
    choose(transport::monotonic_time now, const request_profile& request,
           std::span<const routing_candidate> candidates,
           std::mt19937_64& random) noexcept;

private:
    std::size_t next_ = 0;
};

/// The eligible server with the least reported load.
class least_reported_load
{
public:
    [[nodiscard]] server_index
    choose(transport::monotonic_time now, const request_profile& request,
           std::span<const routing_candidate> candidates,
           std::mt19937_64& random) const noexcept;
};

/// The less loaded, as reported, of two random eligible servers.
class power_of_two_reported
{
public:
    [[nodiscard]] server_index
    choose(transport::monotonic_time now, const request_profile& request,
           std::span<const routing_candidate> candidates,
           std::mt19937_64& random) const noexcept;
};

} // namespace hyssopdeal::coordination

#endif
