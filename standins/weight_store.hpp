#ifndef HYSSOPDEAL_STANDINS_WEIGHT_STORE_HPP
#define HYSSOPDEAL_STANDINS_WEIGHT_STORE_HPP

/// @file
/// Stand-in of the weight store: rate-limited fetches of a version's weights.
///
/// Index: [settings] [weight_store]

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

/// Speed and limit of the store.
struct weight_store_settings
{
    std::string address = "127.0.0.1";         ///< IP number to listen on.
    std::uint16_t port = 0;                    ///< 0: the kernel picks one.
    std::chrono::milliseconds fetch_time{500}; ///< Of one fetch.
    std::uint32_t fetches = 2;                 ///< Allowed in each window.
    std::chrono::milliseconds window{1'000};   ///< Of the rate limit.
    std::uint32_t fail_every = 0; ///< One request in so many gets 500.
};

/// Binds the members under their own names.
void describe(protocol::settings_fields& fields, weight_store_settings& value);

// [weight_store] -------------------------------------------------------------

/// Use it on the loop's thread.
class weight_store
{
public:
    weight_store(transport::event_loop& loop, const transport::clock& clock,
                 weight_store_settings settings);
    weight_store(const weight_store&) = delete;
    weight_store& operator=(const weight_store&) = delete;
    ~weight_store();

    /// Binds and starts to accept.
    [[nodiscard]] transport::result<std::uint16_t> start();

    /// @return Fetches accepted and refused so far.
    [[nodiscard]] std::uint64_t accepted() const;
    [[nodiscard]] std::uint64_t limited() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::standins

#endif
