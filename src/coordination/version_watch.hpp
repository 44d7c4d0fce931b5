#ifndef HYSSOPDEAL_SRC_COORDINATION_VERSION_WATCH_HPP
#define HYSSOPDEAL_SRC_COORDINATION_VERSION_WATCH_HPP

/// @file
/// Internal: version tracking of one thread of an entry. Records the results of
/// attempts, guards the traffic shares of versions and produces the reports to
/// the control leader.
///
/// Index: [watched_attempt] [version_watch]

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <hyssopdeal/coordination/load_balancer_router.hpp>
#include <hyssopdeal/coordination/version_guard.hpp>
#include <hyssopdeal/coordination/version_observer.hpp>
#include <hyssopdeal/coordination/version_shadow.hpp>
#include <hyssopdeal/protocol/contract.hpp>
#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/failure.hpp>

namespace hyssopdeal::coordination
{

// [watched_attempt] ----------------------------------------------------------

/// State of one attempt at a backend server, owned by the flow that makes the
/// attempt.
struct watched_attempt
{
    std::string service;
    std::string version;
    std::string route;
    load_bucket load = load_bucket::light;
    /// Expected time to first token on a server without load.
    std::chrono::microseconds expected_first_token{};
    transport::monotonic_time started{};
    transport::monotonic_time first_token{}; ///< 0 before the first token.
    bool open = false; ///< Whether the result has yet to be recorded.
};

/// @return Load of the chosen server, from the ratio of its predicted time to
///     first token to the unloaded time.
[[nodiscard]] load_bucket load_of(const route_choice& choice) noexcept;

// [version_watch] ------------------------------------------------------------

/// Tracks the versions of all services for one thread. Not thread-safe.
class version_watch
{
public:
    /// @param name Reporter name, unique among all threads of all entries.
    /// @param incarnation Increases with each restart of the entry.
    version_watch(std::string name, std::uint64_t incarnation,
                  transport::monotonic_time now);

    /// Counts an incoming request.
    void on_offered(std::string_view service,
                    protocol::priority_class priority);

    /// Starts tracking an attempt that is being sent.
    [[nodiscard]] watched_attempt begin(transport::monotonic_time now,
                                        std::string_view service,
                                        std::string_view route,
                                        const route_choice& choice) const;

    /// Records the first token, or first byte, of an attempt. The sample is the
    /// delay beyond the time expected for the prompt and its cached part,
    /// because servers of a new version start with empty caches and their
    /// longer prefill must not count against the version.
    void on_first_token(transport::monotonic_time now,
                        watched_attempt& attempt);

    /// Records the result of an attempt. Does nothing if the attempt is no
    /// longer open.
    ///
    /// @param tokens Number of tokens received, including the first.
    void on_ended(transport::monotonic_time now, watched_attempt& attempt,
                  answer_kind answer, double tokens);

    /// Discards an attempt whose result says nothing about its version: the
    /// attempt was refused before running, the caller cancelled, or the server
    /// had been announced as leaving.
    static void forget(watched_attempt& attempt);

    /// @return Traffic shares to use now: the declared ones, adjusted by the
    ///     guard of the service.
    [[nodiscard]] std::vector<protocol::version_share>
    effective_shares(transport::monotonic_time now,
                     const protocol::service& declared) const;

    /// @return The reports that are due, one per service with traffic.
    [[nodiscard]] std::vector<version_report>
    take_reports(transport::monotonic_time now);

private:
    version_observer observer_;
    std::map<std::string, version_guard, std::less<>> guards_; ///< By service.
};

/// @return How a failure counts for the version that was tried.
[[nodiscard]] answer_kind kind_of(const transport::failure& error) noexcept;

} // namespace hyssopdeal::coordination

#endif
