#ifndef HYSSOPDEAL_COORDINATION_COST_REQUEST_COST_HPP
#define HYSSOPDEAL_COORDINATION_COST_REQUEST_COST_HPP

/// @file
/// Estimates what a request costs before it runs: the events that a stream will
/// have, and the service time of a plain request. Handles requests that look
/// alike and differ by orders of magnitude. Performs no I/O.
///
/// Index: [request_kind] [request_cost]
///
/// Output lengths are estimated as logarithms, since they are spread over orders
/// of magnitude. What was observed for the route, the organisation and the
/// shared prompt is combined with the caller's hint, each weighted by the
/// inverse of its observed variance, so that a useless hint has little weight.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include <hyssopdeal/coordination/cost/lru_map.hpp>

namespace hyssopdeal::coordination
{

// [request_kind] -------------------------------------------------------------

/// What is known of a request before it runs.
struct request_kind
{
    std::string route; ///< Of plain requests with the method; may be empty.
    std::string organisation;
    std::chrono::milliseconds target_gap{0}; ///< Between events; 0: none.
    /// The caller's estimate of the number of events.
    std::optional<std::uint32_t> length_hint;
};

/// Expected number of events of a stream.
struct output_estimate
{
    double mean = 0;
    double spread = 0; ///< Standard deviation of the natural logarithm.
};

// [request_cost] -------------------------------------------------------------

class request_cost
{
public:
    /// @param prefix Id of the last shared part of the prompt; 0: none.
    /// @param max_events Output limit of the request; 0: none.
    [[nodiscard]] output_estimate output(const request_kind& kind,
                                         std::uint64_t prefix,
                                         std::uint32_t max_events) const;

    /// Records the number of events of a complete stream.
    void on_stream(const request_kind& kind, std::uint64_t prefix,
                   std::uint32_t events);

    /// @return Service time of a plain request; nothing before the first one of
    ///     its route.
    [[nodiscard]] std::optional<double>
    plain_ms(const std::string& service, const request_kind& kind) const;

    /// @return Mean service time of a service's plain requests; 0: unknown.
    [[nodiscard]] double mean_plain_ms(const std::string& service) const;

    /// Records the service time of a plain request.
    void on_plain(const std::string& service, const request_kind& kind,
                  double service_ms);

    /// @return Keys of the largest table.
    [[nodiscard]] std::size_t keys() const;

private:
    /// Moving mean and variance.
    struct moments
    {
        double mean = 0;
        double variance = 0;
        double samples = 0;

        void add(double value);
    };

    lru_map<moments> lengths_;     ///< Logarithm of events, by key.
    lru_map<moments> hint_errors_; ///< Logarithm of events to hint, by route.
    lru_map<moments> plain_;       ///< Milliseconds, by service and route.
};

} // namespace hyssopdeal::coordination

#endif
