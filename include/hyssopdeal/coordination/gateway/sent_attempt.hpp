#ifndef HYSSOPDEAL_COORDINATION_GATEWAY_SENT_ATTEMPT_HPP
#define HYSSOPDEAL_COORDINATION_GATEWAY_SENT_ATTEMPT_HPP

/// @file
/// One request as it was sent to one server, and the attempts that run beside
/// it. A silent server may be slow or lost, and only its own or another server's
/// response tells. A request is therefore sent to another server while the first
/// attempt stays, and whichever responds first is kept.
///
/// Index: [sent_attempt] [standby_attempts]

#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include <hyssopdeal/coordination/gateway/dialect.hpp>
#include <hyssopdeal/coordination/gateway/placement.hpp>
#include <hyssopdeal/coordination/gateway/retry_denial.hpp>
#include <hyssopdeal/coordination/gateway/rollout_evidence.hpp>
#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/http1_client.hpp>

namespace hyssopdeal::coordination
{

// [sent_attempt] -------------------------------------------------------------

struct received_head
{
    int status = 0;
    std::vector<transport::http_header> headers;
    response_metadata metadata;
};

struct sent_attempt
{
    std::uint64_t number = 0; ///< Of the request's attempts; 0: none yet.
    placement_choice choice;
    transport::http1_call call;
    transport::http1_call_settings settings;
    bool opened_connection = false; ///< It began without one.
    bool occupies_slot = false;     ///< Counts as running on its server.
    /// Load of the server when the attempt started.
    load_bucket load_at_start = load_bucket::light;
    transport::monotonic_time sent_at{};
    transport::monotonic_time last_activity{};
    received_head head;
    bool head_received = false;
    /// Why the silent server's request was not sent to another one, as logged.
    std::optional<retry_denial> logged_denial;
};

// [standby_attempts] ---------------------------------------------------------

/// The attempts of one request that run beside the current one, the latest
/// last. None of them has sent a part of the response.
class standby_attempts
{
public:
    void add(sent_attempt attempt)
    {
        attempts_.push_back(std::move(attempt));
    }

    [[nodiscard]] std::size_t size() const noexcept
    {
        return attempts_.size();
    }

    /// @return Whether an attempt has had no response yet.
    [[nodiscard]] bool any_unanswered() const noexcept
    {
        return latest_unanswered() != 0;
    }

    /// Removes the latest attempt that has had no response yet. One that has is
    /// about to end: its response is an error or a refusal.
    [[nodiscard]] std::optional<sent_attempt> take_unanswered()
    {
        const auto number = latest_unanswered();
        return number == 0 ? std::nullopt : std::optional{take(number)};
    }

    /// @return The attempt with a number, or null.
    [[nodiscard]] sent_attempt* find(std::uint64_t number) noexcept
    {
        for (auto& attempt : attempts_)
        {
            if (attempt.number == number)
            {
                return &attempt;
            }
        }
        return nullptr;
    }

    /// Removes the attempt with a number, which must exist.
    [[nodiscard]] sent_attempt take(std::uint64_t number)
    {
        const auto position = find(number) - attempts_.data();
        auto attempt = std::move(attempts_.at(position));
        attempts_.erase(attempts_.begin() + position);
        return attempt;
    }

    /// Removes the latest attempt; nothing if there is none.
    [[nodiscard]] std::optional<sent_attempt> take_latest()
    {
        if (attempts_.empty())
        {
            return std::nullopt;
        }
        auto attempt = std::move(attempts_.back());
        attempts_.pop_back();
        return attempt;
    }

private:
    /// @return Its number; 0: none.
    [[nodiscard]] std::uint64_t latest_unanswered() const noexcept
    {
        std::uint64_t number = 0;
        for (const auto& attempt : attempts_)
        {
            number = attempt.head_received ? number : attempt.number;
        }
        return number;
    }

    std::vector<sent_attempt> attempts_;
};

/// @return Whether callers may conclude from the status that the request has
///     not run.
[[nodiscard]] constexpr bool implies_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/// @param response_started Whether the caller has a part of the response.
/// @return Whether a response with this status, of an attempt beside the
///     current one, is one to relay.
[[nodiscard]] constexpr bool may_relay(int status, bool response_started)
{
    constexpr int first_error_status = 300;
    constexpr int first_server_error_status = 500;
    // After a refusal without a mark the other attempt may still answer.
    return status < (response_started ? first_error_status
                                      : first_server_error_status) &&
           !implies_not_run(status);
}

} // namespace hyssopdeal::coordination

#endif
