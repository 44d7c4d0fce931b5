#include <hyssopdeal/coordination/load_balancer.hpp>

#include <algorithm>
#include <cmath>

namespace hyssopdeal::coordination
{

namespace
{

constexpr double seconds_per_hour = 3'600;

double to_seconds(std::chrono::microseconds time) noexcept
{
    return std::chrono::duration<double>(time).count();
}

/// Expected number of requests ahead in the queue, given an uncertain estimate.
/// A smooth maximum of the estimate and zero, so that a nearly full server is
/// not treated like an empty one.
double expected_requests_ahead(double estimate) noexcept
{
    constexpr double uncertainty = 1; // requests
    return (estimate +
            std::sqrt(estimate * estimate + 4 * uncertainty * uncertainty)) /
           2;
}

std::size_t random_below(std::mt19937_64& random, std::size_t bound) noexcept
{
    // Multiplication maps 32 random bits to the range without a division.
    const std::uint64_t bits = random() >> 32U;
    return static_cast<std::size_t>((bits * bound) >> 32U);
}

/// Scans circularly from a random position for the first eligible server.
server_index random_eligible(const request_profile& request,
                             std::span<const routing_candidate> candidates,
                             std::mt19937_64& random) noexcept
{
    if (candidates.empty())
    {
        return no_server;
    }
    const auto start = random_below(random, candidates.size());
    for (std::size_t step = 0; step < candidates.size(); ++step)
    {
        const auto position =
            static_cast<server_index>((start + step) % candidates.size());
        if (is_eligible(candidates[position], request, position))
        {
            return position;
        }
    }
    return no_server;
}

/// Tracks the candidate with the lowest cost.
class best_candidate
{
public:
    void consider(server_index position, double cost) noexcept
    {
        if (position_ == no_server || cost < cost_)
        {
            position_ = position;
            cost_ = cost;
        }
    }

    [[nodiscard]] server_index position() const noexcept
    {
        return position_;
    }

private:
    server_index position_ = no_server;
    double cost_ = 0;
};

} // namespace

double cached_tokens_on(std::span<const prefix_match> matches,
                        server_index position) noexcept
{
    for (const auto& match : matches)
    {
        if (match.server == position)
        {
            return match.cached_tokens;
        }
    }
    return 0;
}

std::uint32_t in_flight_limit(const routing_candidate& candidate,
                              protocol::priority_class priority) noexcept
{
    // The concurrency limit decreases when lower-priority requests queue on the
    // server. The server starts interactive requests before those, so the
    // decrease must not delay interactive requests in the entry.
    return priority == protocol::priority_class::interactive
               ? std::max(candidate.concurrency_limit, candidate.slots)
               : candidate.concurrency_limit;
}

bool is_eligible(const routing_candidate& candidate,
                 const request_profile& request, server_index position) noexcept
{
    return candidate.state == server_availability::available &&
           candidate.version == request.version &&
           candidate.own_in_flight <
               in_flight_limit(candidate, request.priority) &&
           std::find(request.avoid.begin(), request.avoid.end(), position) ==
               request.avoid.end();
}

predicted_first_token::predicted_first_token(
    predicted_first_token_settings settings)
    : settings_(settings)
{}

double predicted_first_token::queue_seconds(
    const routing_candidate& candidate) noexcept
{
    const double decode_rate =
        std::max(candidate.decode_tokens_per_second, 1.0);
    const double slots = std::max(candidate.slots, 1U);
    const double ahead =
        expected_requests_ahead(candidate.in_flight - slots + 1);
    return candidate.queued_prompt_tokens /
               std::max(candidate.prefill_tokens_per_second, 1.0) +
           ahead * candidate.mean_output_tokens / decode_rate / slots;
}

double
predicted_first_token::first_token_seconds(const routing_candidate& candidate,
                                           double prompt_tokens,
                                           double cached_tokens) noexcept
{
    const double uncached = std::max(prompt_tokens - cached_tokens, 0.0);
    return 2 * to_seconds(candidate.hop) + to_seconds(candidate.slowdown) +
           queue_seconds(candidate) +
           uncached / std::max(candidate.prefill_tokens_per_second, 1.0);
}

double predicted_first_token::score(const routing_candidate& candidate,
                                    const request_profile& request,
                                    double cached_tokens) const noexcept
{
    double cost =
        first_token_seconds(candidate, request.prompt_tokens, cached_tokens);
    if (candidate.proximity == locality::other_failure_domain)
    {
        cost += settings_.spill_penalty;
    }
    cost += settings_.seconds_per_price_unit * candidate.price_per_hour;
    const double remaining_hours =
        request.expected_output_tokens /
        std::max(candidate.decode_tokens_per_second, 1.0) / seconds_per_hour;
    const double recompute_seconds =
        (request.prompt_tokens + request.expected_output_tokens / 2) /
        std::max(candidate.prefill_tokens_per_second, 1.0);
    return cost + settings_.recompute_weight *
                      candidate.reclaim_hazard_per_hour * remaining_hours *
                      recompute_seconds;
}

server_index
predicted_first_token::choose(transport::monotonic_time,
                              const request_profile& request,
                              std::span<const routing_candidate> candidates,
                              std::mt19937_64& random) const noexcept
{
    best_candidate best;
    const auto evaluate = [&](server_index position) {
        const auto& candidate = candidates[position];
        if (is_eligible(candidate, request, position))
        {
            const double cached = cached_tokens_on(request.matches, position);
            best.consider(position, score(candidate, request, cached));
        }
    };
    const auto scan_limit =
        request.priority == protocol::priority_class::interactive
            ? settings_.interactive_full_scan_limit
            : settings_.full_scan_limit;
    if (candidates.size() <= scan_limit)
    {
        for (server_index position = 0; position < candidates.size();
             ++position)
        {
            evaluate(position);
        }
        return best.position();
    }
    for (const auto& match : request.matches)
    {
        if (match.server < candidates.size())
        {
            evaluate(match.server);
        }
    }
    for (std::uint32_t sample = 0; sample < settings_.samples; ++sample)
    {
        evaluate(
            static_cast<server_index>(random_below(random, candidates.size())));
    }
    return best.position() != no_server
               ? best.position()
               : random_eligible(request, candidates, random);
}

server_index round_robin::choose(transport::monotonic_time,
                                 const request_profile& request,
                                 std::span<const routing_candidate> candidates,
                                 std::mt19937_64&) noexcept
{
    for (std::size_t step = 0; step < candidates.size(); ++step)
    {
        const auto position =
            static_cast<server_index>((next_ + step) % candidates.size());
        if (is_eligible(candidates[position], request, position))
        {
            next_ = position + 1;
            return position;
        }
    }
    return no_server;
}

server_index
least_reported_load::choose(transport::monotonic_time,
                            const request_profile& request,
                            std::span<const routing_candidate> candidates,
                            std::mt19937_64&) const noexcept
{
    best_candidate best;
    for (server_index position = 0; position < candidates.size(); ++position)
    {
        if (is_eligible(candidates[position], request, position))
        {
            best.consider(position, candidates[position].reported_in_flight);
        }
    }
    return best.position();
}

server_index
power_of_two_reported::choose(transport::monotonic_time,
                              const request_profile& request,
                              std::span<const routing_candidate> candidates,
                              std::mt19937_64& random) const noexcept
{
    best_candidate best;
    for (int sample = 0; sample < 2; ++sample)
    {
        const auto position = random_eligible(request, candidates, random);
        if (position != no_server)
        {
            best.consider(position, candidates[position].reported_in_flight);
        }
    }
    return best.position();
}

} // namespace hyssopdeal::coordination
