#ifndef HYSSOPDEAL_STANDINS_ENGINE_HPP
#define HYSSOPDEAL_STANDINS_ENGINE_HPP

/// @file
/// Stand-in of a model engine: the protocol of "Backend servers" in
/// docs/INTERFACES.md, with the quirks and faults of engine_behaviour.
///
/// Index: [settings] [counters] [engine]
///
/// Besides the protocol: `GET|PUT /behaviour` reads and sets the behaviour
/// (JSON, keys that are left out keep their value), `GET /counters` reads the
/// counters.

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

/// What an engine stand-in is.
struct engine_settings
{
    std::string address = "127.0.0.1";   ///< IP number to listen on.
    std::uint16_t port = 0;              ///< 0: the kernel picks one.
    std::string version = "v1";          ///< Loaded from the start.
    std::uint32_t slots = 8;             ///< Requests that run at once.
    std::uint32_t max_queued = 256;      ///< More are refused before running.
    std::uint32_t cache_blocks = 16'384; ///< Prefix cache, blocks of 256 bytes.
    bool checks_orders = true;           ///< Refuses an old fencing token.
    engine_behaviour behaviour;          ///< Speed and faults at the start.
};

/// Binds the members under their own names.
void describe(protocol::settings_fields& fields, engine_settings& value);

// [counters] -----------------------------------------------------------------

/// What an engine has done since its start.
struct engine_counters
{
    std::uint64_t requests = 0;         ///< Chat completions accepted.
    std::uint64_t refused = 0;          ///< Refused before running.
    std::uint64_t faults = 0;           ///< Answered with the set fault.
    std::uint64_t cancelled = 0;        ///< By DELETE or by a lost caller.
    std::uint64_t resumed = 0;          ///< GET of a known attempt.
    std::uint64_t continued = 0;        ///< Began from given text.
    std::uint64_t generated_tokens = 0; ///< Sent or ready to send.
    std::uint64_t prompt_tokens = 0;    ///< Of all accepted requests.
    std::uint64_t cached_tokens = 0;    ///< Of those, found in the cache.
    std::uint64_t repeated_tokens = 0;  ///< Given text prefilled again.
    std::uint64_t stale_orders = 0;     ///< With an older fencing token.
};

/// Binds the members under their own names.
void describe(protocol::settings_fields& fields, engine_counters& value);

// [engine] -------------------------------------------------------------------

/// One engine on one loop; use it on the loop's thread.
class engine
{
public:
    engine(transport::event_loop& loop, const transport::clock& clock,
           engine_settings settings);
    engine(const engine&) = delete;
    engine& operator=(const engine&) = delete;
    ~engine();

    /// Binds and starts to accept.
    ///
    /// @return The port in use, or why the address could not be bound.
    [[nodiscard]] transport::result<std::uint16_t> start();

    /// Replaces the behaviour; requests that run keep going.
    void set_behaviour(const engine_behaviour& behaviour);

    /// @return The counters now.
    [[nodiscard]] engine_counters counters() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::standins

#endif
