#ifndef HYSSOPDEAL_PROTOCOL_ENGINE_ORDERS_HPP
#define HYSSOPDEAL_PROTOCOL_ENGINE_ORDERS_HPP

/// @file
/// Orders to model engines and what engines read back, as JSON over HTTP.
///
/// Index: [order_fence] [engine_order] [engine_status] [engine_load] [codec]

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/transport/failure.hpp>
#include <hyssopdeal/transport/http_message.hpp>

namespace hyssopdeal::protocol
{

// [order_fence] --------------------------------------------------------------

/// Fencing token of an order; a later one is greater.
struct order_fence
{
    std::uint64_t term = 0;    ///< Term of the leader.
    std::uint64_t counter = 0; ///< Grows over all terms.

    bool operator==(const order_fence&) const = default;

    /// @return Whether this token is the older one.
    bool operator<(const order_fence& other) const
    {
        return term != other.term ? term < other.term : counter < other.counter;
    }
};

// [engine_order] -------------------------------------------------------------

/// What an engine is told to do.
enum class engine_order_kind : std::uint8_t
{
    load,   ///< Load a version beside those it has.
    unload, ///< Forget a version.
    role,   ///< Change the role.
    adapter ///< Load an adapter; its name is in `version`.
};

/// One order; the same one again changes nothing.
struct engine_order
{
    engine_order_kind kind = engine_order_kind::load;
    std::string version; ///< Version or adapter.
    std::string role;    ///< For engine_order_kind::role.
    order_fence fence;   ///< Refused when older, by engines that check.

    bool operator==(const engine_order&) const = default;
};

// [engine_status] ------------------------------------------------------------

/// How far a version is on an engine.
enum class load_state : std::uint8_t
{
    loading,
    loaded,
    failed
};

/// One version on an engine.
struct engine_version
{
    std::string version;
    load_state state = load_state::loading;

    bool operator==(const engine_version&) const = default;
};

/// What is in force on an engine.
struct engine_status
{
    std::vector<engine_version> versions;
    std::vector<std::string> adapters;
    std::string role;
    order_fence fence; ///< Newest that it saw.

    bool operator==(const engine_status&) const = default;
};

// [engine_load] --------------------------------------------------------------

/// Work on a backend server, some time ago.
struct engine_load
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t slots = 0;
};

// [codec] --------------------------------------------------------------------

/// @return The request that carries an order.
[[nodiscard]] transport::http_request make_request(const engine_order& order);

/// @return The request that reads back what is in force.
[[nodiscard]] transport::http_request make_status_request();

/// Reads the body of either answer.
///
/// @return The status, or `broken_answer`.
[[nodiscard]] transport::result<engine_status>
read_engine_status(std::string_view body);

/// @return The request for `GET /v1/load`.
[[nodiscard]] transport::http_request make_load_request();

/// @return The load, or `broken_answer`.
[[nodiscard]] transport::result<engine_load>
read_engine_load(std::string_view body);

} // namespace hyssopdeal::protocol

#endif
