#ifndef HYSSOPDEAL_PROGRAMS_CTL_CONTROL_CLIENT_HPP
#define HYSSOPDEAL_PROGRAMS_CTL_CONTROL_CLIENT_HPP

/// @file
/// Sends one order to whichever control replica leads, with the same order id
/// until it is answered or the time limit ends.
///
/// Index: [control_order] [control_answer] [control_client]

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::ctl
{

// [control_order] ------------------------------------------------------------

/// A read or a write for the operators' API.
struct control_order
{
    std::string method = "GET";
    std::string target;                    ///< Path and query.
    std::string body;                      ///< JSON, or empty.
    std::string order_id;                  ///< Of a write; else empty.
    std::optional<std::uint64_t> expected; ///< Revision of a write.
};

// [control_answer] -----------------------------------------------------------

/// What a control replica answered.
struct control_answer
{
    int status = 0;          ///< HTTP status; never 421.
    std::string body;        ///< JSON.
    std::uint64_t index = 0; ///< Log index; 0 when not told.
};

// [control_client] -----------------------------------------------------------

/// Addresses, token and patience of a client.
struct control_client_settings
{
    std::vector<std::string> addresses;           ///< `IP:port`.
    std::string token;                            ///< Operator's; may be empty.
    std::chrono::milliseconds time_limit{10'000}; ///< Retries included.
    std::chrono::milliseconds call_limit{3'000};  ///< One try.
    std::chrono::milliseconds pause{200};         ///< Between tries.
};

/// Blocks the calling thread for each order; not safe for several threads.
class control_client
{
public:
    control_client(const transport::clock& clock,
                   control_client_settings settings);
    control_client(const control_client&) = delete;
    control_client& operator=(const control_client&) = delete;
    ~control_client();

    /// Sends an order, following the leader and trying again. A write that may
    /// have run is only ever sent again with the same order id.
    ///
    /// @return The answer, or a failure: `not_run` when no try can have run.
    [[nodiscard]] transport::result<control_answer>
    send(const control_order& order);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::ctl

#endif
