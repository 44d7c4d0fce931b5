#ifndef HYSSOPDEAL_TESTS_SOAK_SOAK_LEDGER_HPP
#define HYSSOPDEAL_TESTS_SOAK_SOAK_LEDGER_HPP

/// @file
/// What a soak has seen from outside, and which promises it shows broken.
///
/// Index: [faults] [requests] [soak_ledger]

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/http1_client.hpp>

namespace hyssopdeal::soak
{

using transport::monotonic_time;

// [faults] -------------------------------------------------------------------

/// Whom a fault hits.
enum class fault_place : std::uint8_t
{
    entry,
    replica,
    server,
    platform
};

/// A fault or a planned act, from its beginning until all is as before.
struct fault_record
{
    fault_place place = fault_place::entry;
    std::size_t which = 0;
    bool planned = false; ///< A stop or change that cuts off nothing.
    std::string what;
    monotonic_time from{};
    monotonic_time to = monotonic_time::max(); ///< Until it is over.
};

// [requests] -----------------------------------------------------------------

/// What callers may do with a route's requests.
enum class route_kind : std::uint8_t
{
    safe,
    once,
    stream, ///< May be resumed.
    once_stream,
    probe ///< Route that is there from some version on.
};

/// One try of a caller.
struct request_record
{
    std::size_t entry = 0;
    std::uint32_t entry_life = 0; ///< Counts the entry's processes.
    route_kind kind = route_kind::safe;
    std::uint64_t version = 0; ///< Of a probe.
    monotonic_time sent{};
    monotonic_time ended{};
    int status = 0;        ///< 0: no head came.
    bool complete = false; ///< The answer came to its proper end.
    bool left = false;     ///< The caller gave up.
    bool over = false;
    std::uint32_t runs = 0; ///< At servers, resumed ones left out.
    monotonic_time run_ended{};
    bool run_open = false;
    transport::failure lost; ///< Why it is not complete.
};

// [soak_ledger] --------------------------------------------------------------

/// Times from the pages' bounds; the defaults are those of the sites.
struct soak_bounds
{
    std::chrono::milliseconds contact{4'000}; ///< Calm before a bound holds.
    std::chrono::milliseconds apply{2'500};   ///< Accepted to in force.
    std::chrono::milliseconds drain{4'000};   ///< Listed to no new work.
    std::chrono::milliseconds grace{8'000};   ///< From SIGTERM to the end.
    std::chrono::milliseconds loss_slack{200};
    std::chrono::milliseconds regress_slack{250};
    std::chrono::milliseconds recovery{15'000};
    double repeat_ratio = 0.2;
    std::uint64_t repeat_slack = 56;
    std::chrono::milliseconds repeat_window{10'000};
    std::chrono::milliseconds rate_window{4'000};
    std::chrono::milliseconds told_slack{500}; ///< From the answer that told.
    double rate_tolerance = 1.5;
    double rate_slack = 5;
    double cold_ratio = 1.5; ///< Of the rate that a cold server tolerates.
    double cold_slack = 5;
    std::chrono::milliseconds evacuation{5'000}; ///< Acknowledged to in force.
    double falls = 2;                            ///< In one brittle time.
    double falls_of_servers = 0.1;
    double bad_version_share = 0.1;
    std::uint64_t bad_version_requests = 50;
};

/// Collects and judges. Used by one thread.
class soak_ledger
{
public:
    soak_ledger(const transport::clock& clock, soak_bounds bounds);

    // Faults.
    std::size_t begin_fault(fault_place place, std::size_t which, bool planned,
                            std::string what);
    void end_fault(std::size_t number);

    /// @return Whether nothing unplanned hit a place from the contact time
    ///     before `from` until `to`; the control replicas as a whole, too.
    [[nodiscard]] bool calm(fault_place place, std::size_t which,
                            monotonic_time from, monotonic_time to) const;

    // Callers.
    void sent(const std::string& id, request_record record);
    void answered(const std::string& id, int status,
                  const transport::http1_call_end& how);
    void left(const std::string& id);

    // Servers.
    void run_began(const std::string& id, std::size_t server, bool resumed);
    void run_ended(const std::string& id);
    void arrived(const std::string& id, std::size_t server, bool target);
    void draining(std::size_t server);
    void arrived_cold(std::size_t server);
    void arrived_evacuated(const std::string& id, std::size_t server,
                           const std::string& domain);

    /// A server is cold from now on until a time.
    void became_cold(std::size_t server, double per_s, monotonic_time until);

    /// An evacuation was acknowledged.
    void evacuated(const std::string& domain);

    /// An operator begins to withdraw an evacuation.
    void withdrawing(const std::string& domain);

    /// A server names a rate from now on, or none any more (0).
    void named_rate(std::size_t server, double per_s);

    /// A server names its rate in the answer to a request.
    void told_rate(const std::string& id, std::size_t server);

    /// Servers of a service are brittle from now on, or no longer (0).
    void brittle(std::size_t servers);
    void fell_over();

    // Operators.
    void accepted(std::uint64_t version);
    [[nodiscard]] std::uint64_t newest_accepted() const noexcept
    {
        return newest_accepted_;
    }
    void read_back(monotonic_time asked, std::uint64_t version);

    // Platform.
    void ordered(const std::string& holder, std::uint64_t token, bool usage,
                 std::uint64_t window, const std::string& counts);

    /// A promise is broken; each text is kept once, with the time since the
    /// start.
    void broken(const std::string& promise, const std::string& how);

    /// Judges what can be judged only at the end.
    ///
    /// @param steady_from All faults were over by then, and recovered from.
    void judge(monotonic_time steady_from);

    [[nodiscard]] const std::vector<std::string>& findings() const noexcept
    {
        return findings_;
    }

    /// @return Counts by outcome, for people.
    [[nodiscard]] std::string summary() const;

    /// Counts of a move under way; reset by begin_move().
    void begin_move(bool bad);
    void end_move();

private:
    /// @return Whether a fault hit the time from the contact time before `from`
    ///     until `to`.
    [[nodiscard]] bool touches(const fault_record& fault, monotonic_time from,
                               monotonic_time to) const;
    void judge_request(const std::string& id, const request_record& seen);
    void judge_stop(const std::string& id, const request_record& seen);
    void judge_probe(const std::string& id, const request_record& seen);
    void judge_recovery(monotonic_time steady_from);
    void judge_repeats();
    void judge_leavers();
    [[nodiscard]] bool hit_since(std::size_t entry, monotonic_time since) const;
    void judge_rate(const request_record& seen, std::size_t server);

    /// @return Whether a fault or planned act hit a place within a time.
    ///
    /// @param what Only records with this text; empty: all.
    [[nodiscard]] bool hit_within(fault_place place, std::size_t which,
                                  monotonic_time from, monotonic_time to,
                                  std::string_view what = {}) const;
    [[nodiscard]] bool knows_evacuation(std::size_t entry,
                                        monotonic_time acknowledged) const;

    struct cold_record
    {
        double per_s = 0;
        monotonic_time until{};
        std::deque<monotonic_time> arrivals;
    };

    struct evacuation_record
    {
        monotonic_time acknowledged{};
        std::set<std::size_t> reported; ///< Entries that broke the promise.
    };

    /// What a server named, which entries it has told, and what these sent.
    struct named_limit
    {
        double per_s = 0;
        monotonic_time since{};
        std::map<std::size_t, monotonic_time> told; ///< By entry.
        std::deque<monotonic_time> arrivals;
    };

    const transport::clock& clock_;
    soak_bounds bounds_;
    monotonic_time started_;
    std::vector<fault_record> faults_;
    std::unordered_map<std::string, request_record> requests_;
    std::map<std::uint64_t, monotonic_time> accepted_at_;
    std::uint64_t newest_accepted_ = 0;
    std::map<std::size_t, monotonic_time> draining_since_;
    std::map<std::size_t, cold_record> cold_;              ///< By server.
    std::map<std::string, evacuation_record> evacuations_; ///< Acknowledged.
    std::map<std::size_t, named_limit> limits_;            ///< By server.
    std::map<std::pair<std::size_t, std::uint32_t>,
             std::map<std::uint64_t, monotonic_time>>
        shown_; ///< First time, by entry's life and version.
    std::map<std::uint64_t, std::string> usage_;
    std::map<std::uint64_t, std::string> holders_;
    std::uint64_t highest_token_ = 0;
    std::vector<monotonic_time> repeats_;
    std::size_t most_to_cold_ = 0; ///< Requests in a second.
    std::size_t brittle_servers_ = 0;
    monotonic_time brittle_since_{};
    std::size_t falls_ = 0;
    bool move_runs_ = false;
    bool move_bad_ = false;
    std::uint64_t move_all_ = 0;
    std::uint64_t move_target_ = 0;
    std::set<std::string> known_findings_;
    std::vector<std::string> findings_;
};

} // namespace hyssopdeal::soak

#endif
