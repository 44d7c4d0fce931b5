#ifndef HYSSOPDEAL_COORDINATION_COST_SERVER_SPEED_HPP
#define HYSSOPDEAL_COORDINATION_COST_SERVER_SPEED_HPP

/// @file
/// Learns how fast each server works compared with the others of its service.
/// Handles servers of different machines and machines that are slowed down for
/// a short time. Performs no I/O.
///
/// Index: [server_speed]

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <hyssopdeal/coordination/cost/lru_map.hpp>
#include <hyssopdeal/protocol/service_document.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

/// How long figures of a response's load header are used.
constexpr std::chrono::milliseconds stated_load_lifetime{300};

// [server_speed] -------------------------------------------------------------

/// A restart of a server discards what was learned of it.
class server_speed
{
public:
    /// Records how long a server took for work whose duration on a server of
    /// mean speed is known: reading a prompt, or a plain request.
    void on_work(transport::monotonic_time now,
                 const protocol::listed_server& server, double actual_ms,
                 double expected_ms);

    /// Records the time between two events of a stream.
    ///
    /// @param concurrent Streams that run on the server, including this one.
    void on_gap(transport::monotonic_time now,
                const protocol::listed_server& server, double concurrent,
                double gap_ms);

    /// Records the largest time between two events of a whole stream.
    void on_largest_gap(transport::monotonic_time now,
                        const protocol::listed_server& server,
                        double concurrent, double gap_ms);

    /// Records the slowdown that a response names.
    ///
    /// @param percent 100: as usual; 250: work takes two and a half times as
    ///     long. Clamped to what machines show.
    void on_slowdown(transport::monotonic_time now,
                     const protocol::listed_server& server,
                     std::uint32_t percent);

    /// @return Duration of work at this server to that at a server of mean
    ///     speed; 0.25 to 4.
    [[nodiscard]] double
    work_ratio(transport::monotonic_time now,
               const protocol::listed_server& server) const;

    /// @return Expected time between events with a number of concurrent
    ///     streams; 0: unknown.
    [[nodiscard]] double event_ms(transport::monotonic_time now,
                                  const protocol::listed_server& server,
                                  double concurrent) const;

    /// @return Expected largest time between two events of a stream; 0:
    ///     unknown.
    [[nodiscard]] double largest_gap_ms(transport::monotonic_time now,
                                        const protocol::listed_server& server,
                                        double concurrent) const;

    struct ratios
    {
        std::string server;
        double work = 1;
        double event = 1;
    };
    /// @return What was learned by server, without the stated slowdown.
    [[nodiscard]] std::vector<ratios> learned() const;

private:
    /// Moving mean of ratios, drawn to 1 by a few samples' weight.
    struct ratio_mean
    {
        double mean = 1;
        double samples = 0;

        void add(double value, double min_weight);
        [[nodiscard]] double value() const;
    };
    struct server_state
    {
        std::uint64_t born = 0;
        ratio_mean work;
        ratio_mean event;
        double slowdown = 1;
        transport::monotonic_time slowdown_at{};
        bool stated = false; ///< A slowdown was named.
        /// Of durations, predicted with and without the stated slowdown.
        double error_with = 0;
        double error_without = 0;
    };
    /// Weighted least squares of the time between events over concurrency.
    struct gap_line
    {
        double weight = 0, x = 0, y = 0, xx = 0, xy = 0;

        void add(double concurrent, double gap_ms);
        [[nodiscard]] double at(double concurrent) const;
    };
    struct service_state
    {
        ratio_mean work; ///< Of actual to expected time, all servers.
        gap_line gaps;
        ratio_mean largest; ///< Largest gap of a stream to the mean one.
        double lowest = 1;  ///< Of the ratios with enough samples.
        double highest = 1;
        bool stated = false;
    };

    server_state& state_of(const protocol::listed_server& server);
    [[nodiscard]] const server_state*
    find(const protocol::listed_server& server) const;
    /// @return The stated slowdown while it is recent; else 1.
    [[nodiscard]] static double slowdown(transport::monotonic_time now,
                                         const server_state& state);
    /// @return The same, and 1 if durations contradict it.
    [[nodiscard]] static double trusted_slowdown(transport::monotonic_time now,
                                                 const server_state& state);
    /// Compares a duration with the stated slowdown.
    ///
    /// @param ratio Learned ratio that it belongs to.
    /// @param sample Duration to that on a server of mean speed.
    /// @return Whether the sample was taken at the usual speed.
    static bool judge_slowdown(transport::monotonic_time now,
                               server_state& state, const ratio_mean& ratio,
                               double sample);
    [[nodiscard]] bool uses_ratios(const std::string& service) const;
    void note_ratio(service_state& service, const ratio_mean& ratio);

    lru_map<server_state> servers_;   ///< By id.
    lru_map<service_state> services_; ///< By name.
};

} // namespace hyssopdeal::coordination

#endif
