#ifndef HYSSOPDEAL_STANDINS_PLAIN_SERVICE_HPP
#define HYSSOPDEAL_STANDINS_PLAIN_SERVICE_HPP

/// @file
/// Stand-in of a plain service: status lookups that may be repeated, and
/// payments and bookings that must run at most once.
///
/// Index: [settings] [plain_service]
///
/// - `GET /entries/{ID}`, `GET /status/{ID}`: a status that follows from ID.
/// - `POST /payments`, `/bookings`, `/orders`, ...: any POST runs once for each
///   time that it arrives; the count of its `Idempotency-Key` goes up BEFORE
///   the answer, whatever becomes of the answer.
/// - `GET /count/{KEY}`: `{"key":"...","count":N}`; `GET /counts`: keys in
///   all, and keys that ran more than once.
/// - `GET|PUT /behaviour`, `GET /v1/load` as at an engine.

#include <cstdint>
#include <memory>
#include <string>

#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/event_loop.hpp>
#include <hyssopdeal/transport/failure.hpp>

#include "behaviour.hpp"

namespace hyssopdeal::standins
{

// [settings] -----------------------------------------------------------------

/// What a plain service stand-in is.
struct plain_service_settings
{
    std::string address = "127.0.0.1"; ///< IP number to listen on.
    std::uint16_t port = 0;            ///< 0: the kernel picks one.
    plain_behaviour behaviour;         ///< Speed and faults at the start.
};

/// Binds the members under their own names.
void describe(protocol::settings_fields& fields, plain_service_settings& value);

// [plain_service] ------------------------------------------------------------

/// One plain service on one loop; use it on the loop's thread.
class plain_service
{
public:
    plain_service(transport::event_loop& loop, const transport::clock& clock,
                  plain_service_settings settings);
    plain_service(const plain_service&) = delete;
    plain_service& operator=(const plain_service&) = delete;
    ~plain_service();

    /// Binds and starts to accept.
    ///
    /// @return The port in use, or why the address could not be bound.
    [[nodiscard]] transport::result<std::uint16_t> start();

    /// Replaces the behaviour.
    void set_behaviour(const plain_behaviour& behaviour);

    /// @return How often calls with a key have run.
    [[nodiscard]] std::uint64_t runs(const std::string& key) const;

    /// @return The most that any key has run.
    [[nodiscard]] std::uint64_t most_runs() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::standins

#endif
