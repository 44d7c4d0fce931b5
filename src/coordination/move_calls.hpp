#ifndef HYSSOPDEAL_SRC_COORDINATION_MOVE_CALLS_HPP
#define HYSSOPDEAL_SRC_COORDINATION_MOVE_CALLS_HPP

/// @file
/// Internal: HTTP calls of the leader's runners, kept until they are answered.
///
/// Index: [move_calls]

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <hyssopdeal/transport/event_loop.hpp>
#include <hyssopdeal/transport/failure.hpp>
#include <hyssopdeal/transport/http_client.hpp>
#include <hyssopdeal/transport/http_message.hpp>

namespace hyssopdeal::coordination
{

// [move_calls] ---------------------------------------------------------------

/// Used on the loop's thread; destroying it cancels all calls.
class move_calls
{
public:
    using answer_handler =
        std::function<void(const transport::result<transport::http_response>&)>;

    explicit move_calls(transport::event_loop& loop);

    /// Sends a request on a connection of its own: one that the server has
    /// closed meanwhile would lose an order.
    ///
    /// @param time_limit From now to the whole answer.
    void start(const std::string& address,
               const transport::http_request& request,
               std::chrono::milliseconds time_limit, answer_handler handler);

    /// Lets go of answered calls; call it now and then, not from a handler.
    void collect();

private:
    transport::http_client client_;
    std::map<std::uint64_t, transport::http_call> calls_;
    std::vector<std::uint64_t> finished_;
    std::uint64_t next_ = 1;
};

} // namespace hyssopdeal::coordination

#endif
