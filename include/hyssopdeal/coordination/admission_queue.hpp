#ifndef HYSSOPDEAL_COORDINATION_ADMISSION_QUEUE_HPP
#define HYSSOPDEAL_COORDINATION_ADMISSION_QUEUE_HPP

/// @file
/// Bounded queue of requests waiting for a backend server, by priority class.
///
/// Index: [settings] [queued_request] [refusals] [class_states]
///        [admission_queue]

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include <hyssopdeal/protocol/contract.hpp>
#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

/// Number of priority classes.
inline constexpr std::size_t priority_classes = 3;

/// Limits of the request queue of one service.
struct admission_settings
{
    /// Maximum number of waiting requests in each class.
    std::array<std::size_t, priority_classes> capacity{256, 256, 256};
    /// Waiting time after which a request may start ahead of higher classes.
    std::chrono::milliseconds aging_threshold{5'000};
    /// At most one in this many starts is chosen by age instead of priority.
    std::uint32_t starts_per_aged_start = 10;
    std::chrono::milliseconds min_retry_after{250};
    std::chrono::milliseconds max_retry_after{30'000};
};

// [queued_request] -----------------------------------------------------------

/// Identifies a waiting request. Chosen by the caller; must be unique among
/// the requests in the queue.
using request_number = std::uint64_t;

/// Properties of a request that the queue uses.
struct queued_request
{
    request_number number = 0;
    protocol::priority_class priority = protocol::priority_class::standard;
    transport::monotonic_time deadline; ///< From the caller or the route.
    /// Expected time from the start of the request to its end.
    std::chrono::milliseconds service_time{};
};

// [refusals] -----------------------------------------------------------------

/// A request that is rejected without being started. The caller must answer it
/// immediately.
struct admission_refusal
{
    request_number number = 0;
    transport::failure error; ///< Its verdict is not_run.
    /// Value for the Retry-After header.
    std::chrono::milliseconds retry_after{};
};

// [class_states] -------------------------------------------------------------

/// Whether the backend servers can take another request of a class.
enum class class_state : std::uint8_t
{
    open,
    full
};

/// State of each class, indexed by protocol::priority_class.
using class_states = std::array<class_state, priority_classes>;

// [admission_queue] ----------------------------------------------------------

/// Starts requests in strict priority order, except that a limited share of
/// starts goes to requests that have waited too long. Refuses requests that
/// cannot meet their deadline.
class admission_queue
{
public:
    explicit admission_queue(admission_settings settings = {});
    admission_queue(admission_queue&&) noexcept;
    admission_queue& operator=(admission_queue&&) noexcept;
    ~admission_queue();

    /// Adds a request to the queue of its class.
    ///
    /// @return A refusal if the class is full or the request would start too
    ///     late to meet its deadline.
    [[nodiscard]] std::optional<admission_refusal>
    push(transport::monotonic_time now, const queued_request& request);

    /// Removes and returns the next request to start. Call it once for each
    /// request that the backend servers can take. Late requests found
    /// on the way are refused; take_refusals() returns their refusals.
    ///
    /// @param states Classes that can be started now. A full class does not
    ///     block the others.
    [[nodiscard]] std::optional<queued_request>
    pop(transport::monotonic_time now, const class_states& states = {});

    /// Removes a request whose caller has disconnected.
    ///
    /// @return Whether the request was in the queue.
    bool remove(request_number number);

    /// Removes the requests that can no longer meet their deadline.
    ///
    /// @return Their refusals and those left by pop().
    [[nodiscard]] std::vector<admission_refusal>
    take_refusals(transport::monotonic_time now);

    /// Refuses all waiting requests, for example when the entry drains.
    ///
    /// @return Their refusals and those left by pop().
    [[nodiscard]] std::vector<admission_refusal>
    refuse_all(transport::monotonic_time now, transport::reason code);

    /// @return When to call take_refusals() next; empty if no request waits.
    [[nodiscard]] std::optional<transport::monotonic_time> next_refusal() const;

    /// @return Expected waiting time of a new request of the class.
    [[nodiscard]] std::chrono::milliseconds
    expected_wait(transport::monotonic_time now,
                  protocol::priority_class priority) const;

    /// @return Number of waiting requests in all classes.
    [[nodiscard]] std::size_t size() const noexcept;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::coordination

#endif
