#ifndef HYSSOPDEAL_PROGRAMS_LOAD_SLOW_CALL_HPP
#define HYSSOPDEAL_PROGRAMS_LOAD_SLOW_CALL_HPP

/// @file
/// A caller that reads slowly: one HTTP call on a connection of its own, with a
/// small receive buffer, so that the server must wait with its writes.
///
/// Index: [slow_call]

#include <cstdint>
#include <memory>
#include <string_view>

#include <hyssopdeal/transport/event_loop.hpp>
#include <hyssopdeal/transport/http_client.hpp>
#include <hyssopdeal/transport/http_message.hpp>

namespace hyssopdeal::load
{

// [slow_call] ----------------------------------------------------------------

/// One call; destroying it closes its connection.
class slow_call
{
public:
    /// @param address `IP:port` of the server.
    /// @param bytes_per_second How fast the answer is read.
    /// @param handlers As those of transport::http_client::start().
    slow_call(transport::event_loop& loop, std::string_view address,
              const transport::http_request& request,
              std::uint32_t bytes_per_second,
              transport::http_call_handlers handlers);
    slow_call(const slow_call&) = delete;
    slow_call& operator=(const slow_call&) = delete;
    ~slow_call();

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace hyssopdeal::load

#endif
