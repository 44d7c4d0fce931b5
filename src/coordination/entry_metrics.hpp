#ifndef HYSSOPDEAL_SRC_COORDINATION_ENTRY_METRICS_HPP
#define HYSSOPDEAL_SRC_COORDINATION_ENTRY_METRICS_HPP

/// @file
/// Internal: what one shard counts.
///
/// Index: [entry_metrics]

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

#include <hyssopdeal/transport/failure.hpp>
#include <hyssopdeal/transport/metrics.hpp>

namespace hyssopdeal::coordination
{

// [entry_metrics] ------------------------------------------------------------

/// Number of reasons that a request can fail for.
inline constexpr std::size_t reason_count =
    static_cast<std::size_t>(transport::reason::internal) + 1;

/// Written by the shard's thread, read by any.
struct entry_metrics
{
    transport::counter requests;          ///< With a path under /v1/.
    transport::counter attempts;          ///< Sent to backend servers.
    transport::counter events;            ///< Of streams, sent to callers.
    transport::counter streams_opened;    ///< With a first event.
    transport::counter streams_finished;  ///< Delivered whole.
    transport::counter streams_failed;    ///< Ended by an error.
    transport::counter resumes;           ///< After the loss of an engine.
    transport::counter recomputed_tokens; ///< Prefilled again by resumes.
    std::array<transport::counter, reason_count> failures; ///< By reason.
    transport::duration_histogram first_token;  ///< From the request on.
    transport::duration_histogram whole_answer; ///< Not of streams.
    std::atomic<std::uint32_t> open_streams{0}; ///< Now.
    std::atomic<std::uint32_t> open_calls{0};   ///< Now, not streamed.
    std::atomic<std::uint32_t> waiting{0};      ///< In admission queues.

    /// Counts a failure that a caller is told of.
    void count(const transport::failure& error) noexcept
    {
        failures[static_cast<std::size_t>(error.code)].add();
    }
};

} // namespace hyssopdeal::coordination

#endif
