#ifndef HYSSOPDEAL_STANDINS_ENGINE_ORDERS_HPP
#define HYSSOPDEAL_STANDINS_ENGINE_ORDERS_HPP

/// @file
/// Orders that an engine stand-in was given: what it has loaded, its role and
/// the newest fencing token that it saw.
///
/// Index: [fencing_token] [engine_orders]

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/http_message.hpp>

namespace hyssopdeal::standins
{

// [fencing_token] ------------------------------------------------------------

/// Orders orders: a larger one comes from a newer leader or a later order.
struct fencing_token
{
    std::uint64_t term = 0;    ///< Of the leader.
    std::uint64_t counter = 0; ///< Within the term.

    /// @return Whether this token is older than another.
    [[nodiscard]] bool older_than(const fencing_token& other) const noexcept
    {
        return term < other.term ||
               (term == other.term && counter < other.counter);
    }
};

// [engine_orders] ------------------------------------------------------------

/// Whether old fencing tokens are refused.
enum class fence_check : std::uint8_t
{
    refuses_old,
    ignores
};

/// The state that orders change.
class engine_orders
{
public:
    /// @param version Loaded from the start.
    engine_orders(std::string version, fence_check check);

    /// Applies the body of `POST /v1/orders`.
    ///
    /// @param load_time How long the order `load` takes.
    /// @return What to answer.
    [[nodiscard]] transport::http_response
    apply(const std::string& body, transport::monotonic_time now,
          std::chrono::milliseconds load_time);

    /// @return The answer to `GET /v1/orders`.
    [[nodiscard]] transport::http_response
    current(transport::monotonic_time now) const;

    /// @return Whether a version can answer now.
    [[nodiscard]] bool serves(std::string_view version,
                              transport::monotonic_time now) const;

    /// @return The version that answers requests which name none; empty when
    /// none is loaded.
    [[nodiscard]] std::string
    default_version(transport::monotonic_time now) const;

    /// @return Orders that came with an older fencing token.
    [[nodiscard]] std::uint64_t stale() const noexcept
    {
        return stale_;
    }

private:
    struct loaded_version
    {
        std::string name;
        transport::monotonic_time ready_at;
    };

    std::vector<loaded_version> versions_;
    std::vector<std::string> adapters_;
    std::string role_ = "mixed";
    fencing_token newest_;
    fence_check check_;
    std::uint64_t stale_ = 0;
};

} // namespace hyssopdeal::standins

#endif
