#ifndef HYSSOPDEAL_COORDINATION_MOVE_WEIGHTS_HPP
#define HYSSOPDEAL_COORDINATION_MOVE_WEIGHTS_HPP

/// @file
/// Brings a version's weights to backend servers before they are ordered to
/// load it, within the weight store's rate limit. Does no I/O.
///
/// Index: [settings] [weight_need] [move_weights]

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/protocol/platform_api.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

/// Pace of fetches.
struct move_weights_settings
{
    std::chrono::milliseconds call_time_limit{5'000}; ///< Then asked again.
    std::chrono::milliseconds retry_delay{2'000};     ///< After a failure.
    std::chrono::milliseconds first_estimate{30'000}; ///< Of one fetch.
};

// [weight_need] --------------------------------------------------------------

/// Weights that a server needs.
struct weight_need
{
    std::string version;
    std::string server;

    bool operator==(const weight_need&) const = default;
};

// [move_weights] -------------------------------------------------------------

/// Runs on the control leader. Fetches are idempotent, so that the next leader
/// simply asks again. Used by one thread.
class move_weights
{
public:
    explicit move_weights(move_weights_settings settings = {});
    move_weights(move_weights&&) noexcept;
    ~move_weights();

    /// Replaces what is needed.
    ///
    /// @param needs First ones first.
    void set_needs(std::vector<weight_need> needs);

    /// @return Fetches to ask the weight store for now: one after the other
    ///     while it limits the rate.
    [[nodiscard]] std::vector<weight_need>
    advance(transport::monotonic_time now);

    /// Takes in the weight store's answer, or why there was none.
    void on_answer(transport::monotonic_time now, const weight_need& need,
                   const transport::result<protocol::weight_fetch>& answer);

    /// @return Whether a need is known.
    [[nodiscard]] bool needed(std::string_view version,
                              std::string_view server) const;

    /// @return Whether the weights are at the server.
    [[nodiscard]] bool ready(transport::monotonic_time now,
                             std::string_view version,
                             std::string_view server) const;

    /// @return Expected time until all needs are met, as the store answered so
    ///     far.
    [[nodiscard]] std::chrono::milliseconds
    time_left(transport::monotonic_time now) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::coordination

#endif
