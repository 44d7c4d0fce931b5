#ifndef HYSSOPDEAL_STANDINS_INSTANCE_LIST_HPP
#define HYSSOPDEAL_STANDINS_INSTANCE_LIST_HPP

/// @file
/// Stand-in of the platform's instance list, which lags.
///
/// Index: [settings] [instance_list]
///
/// Beside the protocol of docs/INTERFACES.md, for tests:
/// `PUT /instances/{name} {"state":"live|leaving","incarnation":N}` and
/// `DELETE /instances/{name}`, seen in the list after the lag.

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include <hyssopdeal/protocol/settings_reader.hpp>
#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/event_loop.hpp>
#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::standins
{

// [settings] -----------------------------------------------------------------

/// How late the list is.
struct instance_list_settings
{
    std::string address = "127.0.0.1";    ///< IP number to listen on.
    std::uint16_t port = 0;               ///< 0: the kernel picks one.
    std::chrono::milliseconds lag{2'000}; ///< From a change to the list.
};

/// Binds the members under their own names.
void describe(protocol::settings_fields& fields, instance_list_settings& value);

// [instance_list] ------------------------------------------------------------

/// Use it on the loop's thread.
class instance_list
{
public:
    instance_list(transport::event_loop& loop, const transport::clock& clock,
                  instance_list_settings settings);
    instance_list(const instance_list&) = delete;
    instance_list& operator=(const instance_list&) = delete;
    ~instance_list();

    /// Binds and starts to accept.
    [[nodiscard]] transport::result<std::uint16_t> start();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::standins

#endif
