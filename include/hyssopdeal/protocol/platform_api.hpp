#ifndef HYSSOPDEAL_PROTOCOL_PLATFORM_API_HPP
#define HYSSOPDEAL_PROTOCOL_PLATFORM_API_HPP

/// @file
/// The platform's protocols: weight store, cloud API and instance list. Makes
/// requests and reads answers; docs/INTERFACES.md shows the messages.
///
/// Index: [weight_store] [cloud_orders] [cloud_lists] [instance_list]

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/protocol/contract.hpp>
#include <hyssopdeal/transport/failure.hpp>
#include <hyssopdeal/transport/http_message.hpp>

namespace hyssopdeal::protocol
{

// [weight_store] -------------------------------------------------------------

/// How the weight store took a fetch.
enum class fetch_answer : std::uint8_t
{
    accepted, ///< Weights are there after `wait`.
    limited   ///< Asked too often: again after `wait`.
};

/// The weight store's answer.
struct weight_fetch
{
    fetch_answer answer = fetch_answer::accepted;
    std::chrono::milliseconds wait{0};
};

/// @return The request to bring a version's weights to a server.
[[nodiscard]] transport::http_request
make_weight_request(std::string_view version, std::string_view server);

/// @return What the weight store says, or `broken_answer`.
[[nodiscard]] transport::result<weight_fetch>
read_weight_answer(const transport::http_response& answer);

// [cloud_orders] -------------------------------------------------------------

/// An order for one instance.
struct instance_order
{
    std::string order_id; ///< The same one gives the same instance.
    std::string failure_domain;
    price_class price = price_class::on_demand;
    std::string service;
    std::string version;
};

/// An instance as the cloud knows it.
struct cloud_instance_info
{
    std::string name;
    std::string address; ///< `IP:port`.
    std::string order_id;
};

/// @return The request that buys an instance.
[[nodiscard]] transport::http_request
make_start_request(const instance_order& order);

/// @return The instance; `overloaded` with verdict not_run when the cloud
///     refused; `broken_answer` when it may have started.
[[nodiscard]] transport::result<cloud_instance_info>
read_start_answer(const transport::http_response& answer);

/// @return The request that gives an instance back.
[[nodiscard]] transport::http_request
make_release_request(std::string_view instance);

// [cloud_lists] --------------------------------------------------------------

/// A notice that an instance will be taken away.
struct reclaim_notice
{
    std::uint64_t number = 0; ///< From 1.
    std::string instance;
    std::chrono::milliseconds reclaim_in{0}; ///< From the answer on.
};

/// Price of instances of one class in one failure domain.
struct price_info
{
    std::string failure_domain;
    price_class price = price_class::on_demand;
    double per_hour = 1; ///< In the operator's currency.
};

[[nodiscard]] transport::http_request make_instances_request();
[[nodiscard]] transport::http_request make_notices_request(std::uint64_t after);
[[nodiscard]] transport::http_request make_prices_request();

/// @return All instances, or `broken_answer`.
[[nodiscard]] transport::result<std::vector<cloud_instance_info>>
read_instances(const transport::http_response& answer);

/// @return Notices by number, or `broken_answer`.
[[nodiscard]] transport::result<std::vector<reclaim_notice>>
read_notices(const transport::http_response& answer);

/// @return All prices, or `broken_answer`.
[[nodiscard]] transport::result<std::vector<price_info>>
read_prices(const transport::http_response& answer);

// [instance_list] ------------------------------------------------------------

/// Whether the list has an instance as live or as leaving.
enum class instance_state : std::uint8_t
{
    live,
    leaving
};

/// One line of the list.
struct instance_line
{
    std::string name;
    instance_state state = instance_state::live;
    std::uint64_t incarnation = 0;
};

[[nodiscard]] transport::http_request make_instance_list_request();

/// @return The list, or `broken_answer`.
[[nodiscard]] transport::result<std::vector<instance_line>>
read_instance_list(const transport::http_response& answer);

} // namespace hyssopdeal::protocol

#endif
