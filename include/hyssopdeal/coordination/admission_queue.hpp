#ifndef HYSSOPDEAL_COORDINATION_ADMISSION_QUEUE_HPP
#define HYSSOPDEAL_COORDINATION_ADMISSION_QUEUE_HPP

/// @file
/// Bounded queue of requests that wait for a backend server, by priority class.
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

/// Bounds of the queue of one service.
struct admission_settings
{
    std::array<std::size_t, priority_classes> capacity{256, 256, 256};
    std::chrono::milliseconds aging_bound{5'000}; ///< Then before any class.
    std::uint32_t aged_every = 10; ///< Of so many starts one by age alone.
    std::chrono::milliseconds retry_floor{250};      ///< Shortest Retry-After.
    std::chrono::milliseconds retry_ceiling{30'000}; ///< Longest.
};

// [queued_request] -----------------------------------------------------------

/// Number of a waiting request, picked by the caller, unique while it waits.
using request_number = std::uint64_t;

/// What the queue needs to know of a request.
struct queued_request
{
    request_number number = 0;
    protocol::priority_class priority = protocol::priority_class::standard;
    transport::monotonic_time deadline;       ///< Caller's, or the route's.
    std::chrono::milliseconds service_time{}; ///< Expected, once started.
};

// [refusals] -----------------------------------------------------------------

/// A request that will not start; answer it at once.
struct admission_refusal
{
    request_number number = 0;
    transport::failure error;                ///< not_run.
    std::chrono::milliseconds retry_after{}; ///< For the Retry-After header.
};

// [class_states] --------------------------------------------------------------

/// Whether a request of a class can be started.
enum class class_state : std::uint8_t
{
    open,
    full
};

/// The same for each class.
using class_states = std::array<class_state, priority_classes>;

// [admission_queue] ----------------------------------------------------------

/// Strict priority with an aging bound; refuses what cannot meet its deadline.
class admission_queue
{
public:
    explicit admission_queue(admission_settings settings = {});
    admission_queue(admission_queue&&) noexcept;
    admission_queue& operator=(admission_queue&&) noexcept;
    ~admission_queue();

    /// Takes a request in, or refuses it at once.
    ///
    /// @return Refusal when its class is full or it would start too late.
    [[nodiscard]] std::optional<admission_refusal>
    push(transport::monotonic_time now, const queued_request& request);

    /// Takes the next request to start out of the queue; one for each free
    /// place. Refusals that became due are collected by take_refusals().
    ///
    /// @param rooms Classes that can be started now; a class without room never
    ///     holds up another one.
    [[nodiscard]] std::optional<queued_request>
    pop(transport::monotonic_time now, const class_states& rooms = {});

    /// Drops a request whose caller has left.
    ///
    /// @return Whether it was waiting.
    bool remove(request_number number);

    /// Refuses what can no longer meet its deadline.
    [[nodiscard]] std::vector<admission_refusal>
    take_refusals(transport::monotonic_time now);

    /// Empties the queue, as when the node drains.
    [[nodiscard]] std::vector<admission_refusal>
    refuse_all(transport::monotonic_time now, transport::reason code);

    /// @return When take_refusals() has something next, if ever.
    [[nodiscard]] std::optional<transport::monotonic_time> next_refusal() const;

    /// @return How long a new request of a class would wait.
    [[nodiscard]] std::chrono::milliseconds
    expected_wait(transport::monotonic_time now,
                  protocol::priority_class priority) const;

    /// @return Requests waiting.
    [[nodiscard]] std::size_t size() const noexcept;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::coordination

#endif
