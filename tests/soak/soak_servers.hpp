#ifndef HYSSOPDEAL_TESTS_SOAK_SOAK_SERVERS_HPP
#define HYSSOPDEAL_TESTS_SOAK_SOAK_SERVERS_HPP

/// @file
/// Backend servers and the platform's API for a soak, in its own process. Each
/// server is reached through a relay.
///
/// Index: [answers] [server_manner] [cold_servers] [soak_servers]

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <hyssopdeal/protocol/service_document.hpp>
#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/event_loop.hpp>
#include <hyssopdeal/transport/http1_server.hpp>

#include "fault_relay.hpp"
#include "soak/soak_ledger.hpp"

namespace hyssopdeal::soak
{

// [answers] ------------------------------------------------------------------

inline constexpr int events_of_stream = 12;

/// @return An event of the stream that answers a request.
[[nodiscard]] std::string event_text(int number, const std::string& id);

/// @return The answer to a request without a stream.
[[nodiscard]] std::string plain_text(const std::string& id);

// [server_manner] ------------------------------------------------------------

/// How a server answers; parts are of its answers.
struct server_manner
{
    double failing = 0;                 ///< With an error of its own.
    double cutting = 0;                 ///< Broken off in their middle.
    double full = 0;                    ///< Refused as not run.
    std::chrono::milliseconds step{15}; ///< Between two events.
};

/// How the platform's API answers.
enum class platform_manner : std::uint8_t
{
    well,
    silent,
    busy ///< 429 for everything.
};

/// How the connections of a server end with it.
enum class connection_end : std::uint8_t
{
    reset,
    closed ///< In good order, as the kernel does for a killed process.
};

/// What answers at the address of a server that has ended.
enum class address_answer : std::uint8_t
{
    refused,
    unavailable,  ///< 503 to everything.
    not_found,    ///< 404 to everything.
    empty_object, ///< 200 to everything.
    other_start,  ///< A server that started later.
    silent        ///< Connections are accepted, nothing is answered.
};

// [cold_servers] -------------------------------------------------------------

/// How long a server is cold after it starts during traffic.
inline constexpr std::chrono::milliseconds cold_time{3'000};

/// Requests per second that a cold server tolerates.
inline constexpr double cold_per_s = 4;

// [soak_servers] -------------------------------------------------------------

/// All servers that ever were, by number.
class soak_servers
{
public:
    /// @param address Makes the IP number of a server, as it is or as others
    ///     see it.
    using address_of = std::function<std::string(std::size_t, bool seen)>;

    soak_servers(transport::event_loop& loop, const transport::clock& clock,
                 soak_ledger& ledger, std::uint64_t seed, address_of address,
                 std::uint16_t port);
    ~soak_servers();

    /// Starts one more server.
    ///
    /// @return Its number.
    std::size_t add(const std::string& service, const std::string& domain,
                    const std::string& version, server_manner manner = {});

    /// Servers that start from now on are cold at first.
    void begin_traffic();

    /// Makes all servers of a failure domain cold. The list shows it later.
    void make_cold(const std::string& domain);

    /// Shows it as leaving.
    void drain(std::size_t server);

    /// Closes its connections in good order. It takes no request from now on,
    /// but goes on telling its state.
    void close_streams(std::size_t server);

    /// Ends it at once; it stays on the list for a while.
    ///
    /// @param how What becomes of its connections.
    /// @param answer At its address, until it is taken off the list.
    void crash(std::size_t server, connection_end how,
               address_answer answer = address_answer::refused);

    /// Takes it off the list.
    void forget(std::size_t server);

    void behave(std::size_t server, server_manner manner);

    /// From now on a server refuses some requests, and sends some refusals once
    /// more in front of a later answer on the same connection.
    void repeat_refusals(std::size_t server, std::uint64_t seed);

    /// Names a rate in each answer of a server from now on; 0: none any more.
    void name_rate(std::size_t server, double per_s);

    /// Lets a server fall over from now on if it rejects more requests a second
    /// for want of room; 0: none any more.
    void be_brittle(std::size_t server, std::uint32_t rejections_per_s);

    [[nodiscard]] tests::fault_relay& link(std::size_t server);

    /// Ends what a fault does to a server's link.
    void heal_link(std::size_t server);

    /// @return Numbers of those that are listed as ready and run.
    [[nodiscard]] std::vector<std::size_t>
    ready(const std::string& service) const;

    /// @return Names of all services that have or had servers.
    [[nodiscard]] std::vector<std::string> services() const;

    /// @return How it is, or was, listed.
    [[nodiscard]] const protocol::listed_server&
    listed(std::size_t server) const;

    /// Starts the platform's API.
    void serve_platform(const std::string& address, std::uint16_t port);
    void behave(platform_manner manner);

    /// Version of a move under way; its requests are counted.
    void watch_target(const std::string& version);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace hyssopdeal::soak

#endif
