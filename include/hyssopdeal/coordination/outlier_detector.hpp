#ifndef HYSSOPDEAL_COORDINATION_OUTLIER_DETECTOR_HPP
#define HYSSOPDEAL_COORDINATION_OUTLIER_DETECTOR_HPP

/// @file
/// Ejects backend servers that keep failing while others do not, for a while
/// and never too many at once.
///
/// Index: [settings] [outlier_detector]

#include <chrono>
#include <cstdint>
#include <memory>

#include <hyssopdeal/coordination/load_balancer.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

/// When a server is ejected and for how long.
struct outlier_settings
{
    std::uint32_t failures_in_a_row = 5; ///< Ejects.
    double max_ejected_share = 0.34;     ///< Of all servers; at least one.
    std::chrono::milliseconds base_time{5'000};  ///< First ejection.
    std::chrono::milliseconds max_time{120'000}; ///< Doubled up to this.
};

/// How an attempt on a server ended, as far as the server is to blame.
enum class attempt_outcome : std::uint8_t
{
    succeeded,
    failed ///< Connect failure, cut answer, 5xx, time limit.
};

// [outlier_detector] ---------------------------------------------------------

/// Counts failures of one service's servers.
class outlier_detector
{
public:
    explicit outlier_detector(outlier_settings settings = {});
    outlier_detector(outlier_detector&&) noexcept;
    outlier_detector& operator=(outlier_detector&&) noexcept;
    ~outlier_detector();

    /// Sets how many servers there are; positions at and above are forgotten.
    void resize(std::uint32_t servers);

    /// Another server has the position now.
    void forget(server_index server);

    /// Counts an attempt's end.
    ///
    /// @return Whether this ejected the server.
    bool on_outcome(transport::monotonic_time now, server_index server,
                    attempt_outcome outcome);

    /// @return Whether a server is ejected; it comes back by time alone.
    [[nodiscard]] bool is_ejected(transport::monotonic_time now,
                                  server_index server) const;

    /// @return Servers ejected now.
    [[nodiscard]] std::uint32_t ejected(transport::monotonic_time now) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::coordination

#endif
