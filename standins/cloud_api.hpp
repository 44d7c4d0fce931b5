#ifndef HYSSOPDEAL_STANDINS_CLOUD_API_HPP
#define HYSSOPDEAL_STANDINS_CLOUD_API_HPP

/// @file
/// Stand-in of the cloud API over HTTP.
///
/// Index: [settings] [cloud_api]
///
/// Beside the protocol of docs/INTERFACES.md, for tests:
/// `POST /reclaim {"instance":"..."|"failure_domain":"..."|"part":0..1,
/// "notice_ms":N}`, and `GET /counts`: `{"started":N,"running":N}`.

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <hyssopdeal/protocol/settings_reader.hpp>
#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/event_loop.hpp>
#include <hyssopdeal/transport/failure.hpp>

#include "cloud_model.hpp"

namespace hyssopdeal::standins
{

// [settings] -----------------------------------------------------------------

/// One price as settings write it.
struct cloud_price_setting
{
    std::string failure_domain;
    double on_demand = 1;     ///< Per hour.
    double reclaimable = 0.3; ///< Per hour; 0: not offered.
};

/// What the cloud offers.
struct cloud_api_settings
{
    std::string address = "127.0.0.1"; ///< IP number to listen on.
    std::uint16_t port = 0;            ///< 0: the kernel picks one.
    std::vector<cloud_price_setting> prices;
    std::vector<std::string> addresses; ///< `IP:port` of instances to come.
    double refusal = 0;                 ///< Probability for each start.
    double lost_answers = 0; ///< Starts that are done but answered by 500.
    std::uint64_t seed = 1;
};

/// Binds the members under their own names.
void describe(protocol::settings_fields& fields, cloud_price_setting& value);
void describe(protocol::settings_fields& fields, cloud_api_settings& value);

// [cloud_api] ----------------------------------------------------------------

/// Use it on the loop's thread.
class cloud_api
{
public:
    cloud_api(transport::event_loop& loop, const transport::clock& clock,
              cloud_api_settings settings);
    cloud_api(const cloud_api&) = delete;
    cloud_api& operator=(const cloud_api&) = delete;
    ~cloud_api();

    /// Binds and starts to accept.
    [[nodiscard]] transport::result<std::uint16_t> start();

    /// @return The cloud's books.
    [[nodiscard]] cloud_model& model();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::standins

#endif
