#ifndef HYSSOPDEAL_SRC_COORDINATION_VERSION_WATCH_HPP
#define HYSSOPDEAL_SRC_COORDINATION_VERSION_WATCH_HPP

/// @file
/// Internal: all that one thread of an entry does about versions: watches
/// attempts, guards shares, and makes the reports to the control leader.
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

/// One attempt at a backend server, as the flow that makes it keeps it.
struct watched_attempt
{
    std::string service;
    std::string version;
    std::string route;
    load_bucket load = load_bucket::light;
    std::chrono::microseconds expected{}; ///< First token without load.
    transport::monotonic_time started{};
    transport::monotonic_time first_token{}; ///< 0: none yet.
    bool open = false;                       ///< Its end is not told yet.
};

/// @return How busy a server was, by what its load adds to the first token.
[[nodiscard]] load_bucket load_of(const route_choice& choice) noexcept;

// [version_watch] ------------------------------------------------------------

/// Used by one thread.
class version_watch
{
public:
    /// @param name Unique over all threads of all entries.
    /// @param incarnation Grows with each restart of the entry.
    version_watch(std::string name, std::uint64_t incarnation,
                  transport::monotonic_time now);

    /// A request came in.
    void on_offered(std::string_view service,
                    protocol::priority_class priority);

    /// An attempt is sent.
    [[nodiscard]] watched_attempt begin(transport::monotonic_time now,
                                        std::string_view service,
                                        std::string_view route,
                                        const route_choice& choice) const;

    /// Its first token, or first byte, came. What counts is how much later
    /// than expected of this prompt and its cached part: the servers of a new
    /// version begin with empty caches, and that is no fault of it.
    void on_first_token(transport::monotonic_time now,
                        watched_attempt& attempt);

    /// It ended; told again, nothing happens.
    ///
    /// @param tokens That came, the first one included.
    void on_ended(transport::monotonic_time now, watched_attempt& attempt,
                  answer_kind answer, double tokens);

    /// It says nothing of its version: refused before running, given up by the
    /// caller, or its server was announced to leave.
    static void forget(watched_attempt& attempt);

    /// @return Shares as this thread is to use them now.
    [[nodiscard]] std::vector<protocol::version_share>
    effective_shares(transport::monotonic_time now,
                     const protocol::service& declared) const;

    /// @return Reports that are due, one for each service with traffic.
    [[nodiscard]] std::vector<version_report>
    take_reports(transport::monotonic_time now);

private:
    version_observer observer_;
    std::map<std::string, version_guard, std::less<>> guards_; ///< By service.
};

/// @return What a failure says of the version that answered.
[[nodiscard]] answer_kind kind_of(const transport::failure& error) noexcept;

} // namespace hyssopdeal::coordination

#endif
