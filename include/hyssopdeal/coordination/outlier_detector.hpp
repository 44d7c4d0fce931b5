#ifndef HYSSOPDEAL_COORDINATION_OUTLIER_DETECTOR_HPP
#define HYSSOPDEAL_COORDINATION_OUTLIER_DETECTOR_HPP

/// @file
/// Outlier detection: temporarily ejects backend servers after consecutive
/// failures, up to a maximum fraction of the servers.
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

/// Conditions and duration of an ejection.
struct outlier_settings
{
    std::uint32_t failure_threshold = 5; ///< Consecutive failures that eject.
    /// Maximum fraction of the servers that are ejected at once. One server may
    /// always be ejected, unless it is the only one.
    double max_ejected_fraction = 0.34;
    /// Duration of the first ejection; doubled with each further one that
    /// follows without a success in between.
    std::chrono::milliseconds base_ejection_time{5'000};
    std::chrono::milliseconds max_ejection_time{120'000};
};

/// Result of an attempt. Only failures that the server caused are reported as
/// failed.
enum class attempt_outcome : std::uint8_t
{
    succeeded,
    failed ///< Connect failure, truncated response, 5xx or time-out.
};

// [outlier_detector] ---------------------------------------------------------

/// Tracks the consecutive failures and ejections of one service's servers.
class outlier_detector
{
public:
    explicit outlier_detector(outlier_settings settings = {});
    outlier_detector(outlier_detector&&) noexcept;
    outlier_detector& operator=(outlier_detector&&) noexcept;
    ~outlier_detector();

    /// Sets the number of servers. Records of removed indices are discarded.
    void resize(std::uint32_t servers);

    /// Resets the record of an index that now belongs to another server.
    void forget(server_index server);

    /// Records the result of an attempt.
    ///
    /// @return Whether this result ejected the server.
    bool on_outcome(transport::monotonic_time now, server_index server,
                    attempt_outcome outcome);

    /// @return Whether a server is ejected. Only the end of its ejection time
    ///     readmits a server.
    [[nodiscard]] bool is_ejected(transport::monotonic_time now,
                                  server_index server) const;

    /// @return Number of servers that are ejected.
    [[nodiscard]] std::uint32_t ejected(transport::monotonic_time now) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::coordination

#endif
