#ifndef HYSSOPDEAL_COORDINATION_ORDER_SENDER_HPP
#define HYSSOPDEAL_COORDINATION_ORDER_SENDER_HPP

/// @file
/// Brings engines to what they should hold: compares it with what they read
/// back, and sends orders with fencing tokens until both are equal.
///
/// Index: [settings] [engine_target] [order_actions] [order_sender]
///
/// Does no I/O. An order is only a step towards the target, so one that is
/// lost, sent twice, or undone by an older leader's late order is repaired at
/// the next reading. Engines that check fencing tokens refuse older leaders by
/// themselves. To the others a leader sends only while its lease surely lasts
/// longer than the order can be on its way, and a new leader only after the
/// former lease is over.

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/coordination/control_node.hpp>
#include <hyssopdeal/protocol/engine_orders.hpp>
#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

/// Times of orders and readings.
struct order_sender_settings
{
    std::chrono::milliseconds order_time_limit{1'000}; ///< Sent to answered.
    std::chrono::milliseconds lease_margin{200};       ///< Kept before its end.
    std::chrono::milliseconds read_interval{2'000};    ///< When all is well.
    std::chrono::milliseconds busy_interval{250};      ///< While it is not.
    std::chrono::milliseconds retry_delay{500};        ///< After a failed call.
    std::chrono::milliseconds load_retry_delay{10'000}; ///< After a load that
                                                        ///< failed.
    std::uint32_t load_attempts = 3; ///< Then the version counts as failed.
    std::chrono::milliseconds fence_time_limit{2'000}; ///< Then asked again.
};

// [engine_target] ------------------------------------------------------------

/// Whether an engine checks fencing tokens.
enum class fence_check : std::uint8_t
{
    checks,
    ignores
};

/// What is done with versions that the target does not name.
enum class other_versions : std::uint8_t
{
    keep,
    unload
};

/// What one engine should hold.
struct engine_target
{
    std::string server;  ///< Its name.
    std::string address; ///< `IP:port`.
    fence_check check = fence_check::checks;
    std::vector<std::string> versions; ///< Loaded, all of them.
    std::vector<std::string> adapters; ///< Loaded, all of them.
    std::string role;                  ///< Empty: as it is.
    other_versions others = other_versions::keep;
};

// [order_actions] ------------------------------------------------------------

/// An order to send now.
struct order_to_send
{
    std::string server;
    std::string address;
    protocol::engine_order order;
    transport::monotonic_time send_by{};    ///< Checked again right before the
                                            ///< first byte; later: do not send.
    std::chrono::milliseconds time_limit{}; ///< Then the call is cancelled.
};

/// An engine to read back now.
struct status_to_read
{
    std::string server;
    std::string address;
};

/// What is to be done now.
struct order_actions
{
    bool allocate_fence = false; ///< Propose one state::allocate_fence.
    std::vector<order_to_send> orders;
    std::vector<status_to_read> readings;
};

// [order_sender] -------------------------------------------------------------

/// How an order was answered.
enum class order_answer : std::uint8_t
{
    accepted,
    stale_fence, ///< The engine has seen a newer token.
    refused,     ///< Any other answer.
    lost         ///< No answer; it may have been carried out.
};

/// Runs on every control replica; acts only on the leader. One thread.
class order_sender
{
public:
    explicit order_sender(order_sender_settings settings = {});
    order_sender(order_sender&&) noexcept;
    ~order_sender();

    /// Replaces all targets. Engines that are not named get no more orders.
    void set_targets(std::vector<engine_target> targets);

    /// Takes in a fencing token that was committed; one of another term than
    /// the leader's own is not used.
    void on_fence(protocol::order_fence fence);

    /// Takes in how an order was answered.
    void on_order_answer(transport::monotonic_time now, std::string_view server,
                         const protocol::engine_order& order,
                         order_answer answer);

    /// Takes in what an engine read back, or why it did not.
    void on_status(transport::monotonic_time now, std::string_view server,
                   const transport::result<protocol::engine_status>& status);

    /// Decides what to send and to read now.
    [[nodiscard]] order_actions advance(transport::monotonic_time now,
                                        const leadership& leads);

    /// @return The last status read back from a server under this leader.
    [[nodiscard]] std::optional<protocol::engine_status>
    status_of(std::string_view server) const;

    /// @return Whether a version failed to load as often as allowed.
    [[nodiscard]] bool load_failed(std::string_view server,
                                   std::string_view version) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::coordination

#endif
