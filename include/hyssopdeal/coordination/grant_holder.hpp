#ifndef HYSSOPDEAL_COORDINATION_GRANT_HOLDER_HPP
#define HYSSOPDEAL_COORDINATION_GRANT_HOLDER_HPP

/// @file
/// A node's side of grants: what to ask the leader and which answers to take.
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

/// When a node asks.
struct grant_holder_settings
{
    std::string node;                          ///< Unique for each start.
    std::chrono::milliseconds interval{1'000}; ///< Between requests.
};

// [grant_holder] -------------------------------------------------------------

/// Asks in turn, one request at a time, and puts answers in force in the
/// limiter. An answer to any but the latest request is ignored.
class grant_holder
{
public:
    explicit grant_holder(grant_holder_settings settings);
    grant_holder(grant_holder&&) noexcept;
    grant_holder& operator=(grant_holder&&) noexcept;
    ~grant_holder();

    /// @return The request to send now, if one is due.
    [[nodiscard]] std::optional<grant_request>
    next_request(transport::monotonic_time now, limiter& limits);

    /// The latest request was answered. Validity counts from when that request
    /// was made, so that this node is never later than the leader.
    void on_answer(transport::monotonic_time now, const grant_answer& answer,
                   limiter& limits);

    /// The latest request got no answer; asks again at the next interval.
    void on_no_answer(transport::monotonic_time now);

    /// @return When the grants in force expire; in the past when none is.
    [[nodiscard]] transport::monotonic_time expires_at() const noexcept;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::coordination

#endif
