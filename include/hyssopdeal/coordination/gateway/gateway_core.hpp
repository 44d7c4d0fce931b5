#ifndef HYSSOPDEAL_COORDINATION_GATEWAY_GATEWAY_CORE_HPP
#define HYSSOPDEAL_COORDINATION_GATEWAY_GATEWAY_CORE_HPP

/// @file
/// What all requests of one entry share: the document in force, how long it is
/// surely valid, quotas, repeats, servers, usage and counters.
///
/// Index: [settings] [counters] [gateway_core]

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <hyssopdeal/coordination/gateway/placement.hpp>
#include <hyssopdeal/coordination/gateway/repeat_allowance.hpp>
#include <hyssopdeal/coordination/gateway/route_table.hpp>
#include <hyssopdeal/coordination/gateway/token_quota.hpp>
#include <hyssopdeal/coordination/gateway/version_split.hpp>
#include <hyssopdeal/coordination/version_observer.hpp>
#include <hyssopdeal/protocol/follow_messages.hpp>
#include <hyssopdeal/transport/clock.hpp>
#include <hyssopdeal/transport/event_loop.hpp>
#include <hyssopdeal/transport/http1_client.hpp>
#include <hyssopdeal/transport/metrics.hpp>

namespace hyssopdeal::coordination
{

// [settings] -----------------------------------------------------------------

struct gateway_settings
{
    std::string name; ///< Of the instance.
    std::string failure_domain;
    std::string address;             ///< IP number.
    std::string link_listen_address; ///< For links; empty: `address`.
    std::uint16_t callers_port = 0;
    std::uint16_t readiness_port = 0;
    std::uint16_t metrics_port = 0;      ///< 0: none.
    std::uint16_t hub_port = 0;          ///< Same on every instance.
    std::vector<std::string> seeds;      ///< Hub addresses of control replicas.
    std::string shared_key;              ///< Of the links between processes.
    std::size_t max_connections = 1'500; ///< Of callers.
    std::chrono::milliseconds report_interval{100}; ///< To each replica.
    std::chrono::milliseconds search_interval{100}; ///< While no leader is
                                                    ///< known.
    /// After the latest sign of the leader, keys count as known for so long:
    /// below the time in which a key that was taken away must have no effect.
    std::chrono::milliseconds keys_valid_for{3'750};
    std::chrono::milliseconds usage_window{5'000};
    std::chrono::milliseconds grace{8'000}; ///< From SIGTERM to the end.
    /// Longest answer that is not a stream: what a caller may leave unread.
    std::size_t max_answer_bytes = 4'194'304;
    /// Longest single event of a stream; events of engines have a few hundred.
    std::size_t max_event_bytes = 1'048'576;
    /// Of all answers that are held here at once: below half of the memory of
    /// the smallest entry instance in use, 160 MB.
    std::size_t max_buffered_bytes = 50'331'648;
    repeat_settings repeats;
    quota_settings quotas;
    placement_settings placing;
    transport::http1_client_settings client;
};

// [counters] -----------------------------------------------------------------

struct gateway_counters
{
    transport::counter received;
    transport::counter served;          ///< Complete 2xx answers.
    transport::counter forwarded_errors; ///< Failures of servers, passed on.
    transport::counter refused;         ///< Not run.
    transport::counter failed;          ///< 502, 504 or cut by this entry.
    transport::counter left;            ///< Callers who left before the end.
    transport::counter repeats;         ///< Attempts beyond a request's first.
    transport::counter resumed;         ///< Streams that went on elsewhere.
    transport::counter moved;           ///< Of servers that were to end.
    transport::duration_histogram first_event;
    transport::duration_histogram whole_answer;
    /// Between the predicted and the actual time to the first event.
    transport::duration_histogram prediction_error;
};

// [gateway_core] -------------------------------------------------------------

/// Use it on the loop's thread.
class gateway_core
{
public:
    using read_document =
        std::function<transport::result<protocol::service_document>(
            const std::string&)>;

    gateway_core(transport::event_loop& loop, const transport::clock& clock,
                 gateway_settings settings, read_document reads);

    /// @return The document in force; null before the first one.
    [[nodiscard]] const std::shared_ptr<const route_table>&
    table() const noexcept
    {
        return table_;
    }

    /// @return Whether keys are known well enough to serve by them.
    [[nodiscard]] bool keys_valid() const;

    /// @return Age of the leader's latest answer; negative before the first.
    [[nodiscard]] std::chrono::milliseconds control_age() const;

    /// @return In how long a caller who comes now may be served, while keys are
    ///     not valid.
    [[nodiscard]] std::chrono::milliseconds expected_wait() const;

    /// Calls back once keys are valid for the first time. Answers the load
    /// after a start of all processes: callers come at once, and what they need
    /// is a few hundred ms away.
    ///
    /// @param most Longest wait; the call comes then at the latest.
    /// @return False, without a call ever: nothing is to be waited for, as keys
    ///     are valid, were valid before, or should have been long ago.
    bool await_start(std::chrono::milliseconds most,
                     std::function<void()> on_end);

    /// @param wants_document Whether the answer is to hold a newer document.
    /// @return What to tell the replicas now.
    [[nodiscard]] protocol::entry_report report(bool wants_document = false);

    /// @return Version of the document in force; 0 before the first.
    [[nodiscard]] std::uint64_t document_version() const noexcept
    {
        return table_ ? table_->document().version : 0;
    }

    /// Takes over a replica's orders.
    ///
    /// @param asked When the report that they answer was sent.
    void apply_orders(transport::monotonic_time asked,
                     protocol::entry_orders orders);

    /// Asks the leader for tokens of an organisation's quota.
    using fetch_tokens = std::function<void(
        const std::string& organisation, double tokens,
        std::function<void(protocol::token_answer)> on_answer)>;

    /// Sets how the leader is asked; without, nothing is lent.
    void lend_by(fetch_tokens fetch);

    /// Takes tokens for a request, from here or from the leader.
    ///
    /// @param on_end Called once, perhaps at once: 0 when they were taken; else
    ///     how long until they could be.
    void
    take_tokens(const std::string& organisation, double tokens,
                const std::function<void(std::chrono::milliseconds)>& on_end);

    /// Counts a request that began to run.
    ///
    /// @param at Local monotonic time of that.
    void count_usage(const std::string& organisation,
                     transport::monotonic_time at);

    /// Calls a handler after a document has come into force.
    void on_document(std::function<void()> handler);

    /// @return Counters as Prometheus text.
    [[nodiscard]] std::string metrics() const;

    transport::event_loop& loop;
    const transport::clock& clock;
    const gateway_settings settings;
    transport::http1_client client;
    token_quota quota;
    repeat_allowance repeats;
    placement servers;
    version_split versions;
    version_observer observer; ///< Of services that move to a new version.
    gateway_counters counters;
    std::mt19937_64 random;
    std::size_t held_bytes = 0; ///< Of answers, not passed on yet.

private:
    void take_document(protocol::entry_orders& orders);
    void take_listing(protocol::entry_orders& orders);
    void take_leaders_word(transport::monotonic_time asked,
                           const protocol::entry_orders& orders);
    void end_waits();

    read_document reads_;
    fetch_tokens fetch_;
    std::shared_ptr<const route_table> table_;
    std::function<void()> document_handler_;
    /// A request that came before the first document.
    struct start_wait
    {
        std::function<void()> on_end;
        transport::timer_handle timer;
    };
    std::map<std::uint64_t, start_wait> start_waits_; ///< In order of arrival.
    std::uint64_t last_wait_ = 0;
    std::uint64_t incarnation_;
    transport::monotonic_time started_;
    transport::monotonic_time valid_until_{};
    std::uint64_t listing_digest_ = 0;
    transport::monotonic_time listing_read_{};
    bool time_known_ = false;
    std::chrono::milliseconds true_offset_{0}; ///< True less monotonic time.
    std::map<std::uint64_t, std::map<std::string, std::uint64_t>> usage_;
};

} // namespace hyssopdeal::coordination

#endif
