#ifndef HYSSOPDEAL_COORDINATION_GRANT_HOLDER_HPP
#define HYSSOPDEAL_COORDINATION_GRANT_HOLDER_HPP

/// @file
/// Requests grants for one node and applies the leader's answers.
///
/// Index: [settings] [grant_holder]

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <hyssopdeal/coordination/grant_allocator.hpp>
#include <hyssopdeal/coordination/limiter.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

/// Identity of a node and its request interval.
struct grant_holder_settings
{
    std::string node;                          ///< Unique per process start.
    std::chrono::milliseconds interval{1'000}; ///< Between requests.
};

// [grant_holder] -------------------------------------------------------------

/// Has at most one request in flight and applies answers to the limiter. The
/// caller must pass on answers to the latest request only. Answers are ignored
/// if no request is in flight, if they are not newer than the applied one, or
/// if they have expired.
class grant_holder
{
public:
    explicit grant_holder(grant_holder_settings settings);
    grant_holder(grant_holder&&) noexcept;
    grant_holder& operator=(grant_holder&&) noexcept;
    ~grant_holder();

    /// @return The request to send, if one is due and none is in flight.
    [[nodiscard]] std::optional<grant_request>
    next_request(transport::monotonic_time now, limiter& limits);

    /// Handles the answer to the latest request. Validity is counted from the
    /// creation of that request, so that grants expire here no later than on
    /// the leader.
    void on_answer(transport::monotonic_time now, const grant_answer& answer,
                   limiter& limits);

    /// Handles a failed request; the next one is due at the next interval.
    void on_no_answer(transport::monotonic_time now);

    /// @return Expiry of the held grants; in the past if none are in force.
    [[nodiscard]] transport::monotonic_time expires_at() const noexcept;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::coordination

#endif
