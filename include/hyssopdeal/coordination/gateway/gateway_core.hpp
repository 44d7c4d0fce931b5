#ifndef HYSSOPDEAL_COORDINATION_GATEWAY_GATEWAY_CORE_HPP
#define HYSSOPDEAL_COORDINATION_GATEWAY_GATEWAY_CORE_HPP

/// @file
/// State shared by all requests of one gateway instance: the active
/// configuration document and how long API keys can be trusted, quotas, retry
/// budget, backend servers, usage and counters.
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

#include <hyssopdeal/coordination/admission/rank_admission.hpp>
#include <hyssopdeal/coordination/admission/token_reserve.hpp>
#include <hyssopdeal/coordination/capacity/work_meter.hpp>
#include <hyssopdeal/coordination/gateway/crash_evidence.hpp>
#include <hyssopdeal/coordination/gateway/placement.hpp>
#include <hyssopdeal/coordination/gateway/rollout_evidence.hpp>
#include <hyssopdeal/coordination/gateway/route_table.hpp>
#include <hyssopdeal/coordination/gateway/selection_failure.hpp>
#include <hyssopdeal/coordination/gateway/server_reach.hpp>
#include <hyssopdeal/coordination/gateway/service_retry_budgets.hpp>
#include <hyssopdeal/coordination/gateway/token_quota.hpp>
#include <hyssopdeal/coordination/gateway/version_split.hpp>
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
    std::string name; ///< Instance name.
    std::string failure_domain;
    std::string address; ///< IP address.
    /// Listen address for peer connections; `address` if empty.
    std::string link_listen_address;
    std::uint16_t callers_port = 0;
    std::uint16_t readiness_port = 0;
    std::uint16_t metrics_port = 0; ///< 0 disables the metrics listener.
    std::uint16_t hub_port = 0;     ///< Must be the same on all instances.
    /// For connections that other gateways relay through this one; 0: none.
    std::uint16_t relay_port = 0;
    std::vector<std::string> seeds;      ///< Hub addresses of control replicas.
    std::string shared_key;              ///< Authenticates peer connections.
    std::size_t max_connections = 1'500; ///< Limit for caller connections.
    std::size_t max_unproved_links = 256;           ///< As peer_hub_settings.
    std::size_t max_unproved_relayed = 128;         ///< As tcp_relay_settings.
    std::chrono::milliseconds report_interval{100}; ///< Per control replica.
    /// Report interval while keys are not valid, and period of the timer that
    /// sends due reports.
    std::chrono::milliseconds leader_search_interval{100};
    /// How long keys are accepted after the latest report that the leader
    /// answered. Must be shorter than the time within which a revoked key has
    /// to stop working.
    std::chrono::milliseconds keys_valid_for{3'750};
    std::chrono::milliseconds usage_window{5'000};
    std::chrono::milliseconds grace{8'000}; ///< From SIGTERM to process exit.
    /// Limit for a response that is not a stream, which bounds the unread data
    /// buffered for a caller.
    std::size_t max_answer_bytes = 4'194'304;
    /// Limit for one event of a stream. Events of model engines have a few
    /// hundred bytes.
    std::size_t max_event_bytes = 1'048'576;
    /// Limit for all buffered responses together: less than half of the 160 MB
    /// of the smallest gateway instance in use.
    std::size_t max_buffered_bytes = 50'331'648;
    retry_budget_settings repeats;
    quota_settings quotas;
    placement_settings placement_options;
    /// Lets less urgent requests yield while a service lacks room; only for
    /// services whose servers state their load.
    bool priority_admission = false;
    server_reach_settings reach;
    transport::http1_client_settings client;
};

// [counters] -----------------------------------------------------------------

struct gateway_counters
{
    transport::counter received;
    transport::counter served;           ///< Complete 2xx responses.
    transport::counter forwarded_errors; ///< Server errors passed to callers.
    transport::counter refused;          ///< Rejected without being run.
    transport::counter failed;  ///< 502, 504, or aborted by the gateway.
    transport::counter left;    ///< Caller disconnected before the end.
    transport::counter repeats; ///< Retries: attempts after the first.
    transport::counter resumed; ///< Streams resumed on another server.
    transport::counter moved;   ///< Streams moved off leaving servers.
    /// Attempts that ended without a complete response and may have run.
    transport::counter broken_before_event;
    /// Responses without a length whose server or relay was gone at their end.
    transport::counter unconfirmed_ends;
    /// Responses given up as the largest when the buffers were full.
    transport::counter buffer_overflows;
    transport::counter broken_after_event;
    transport::counter quarantined; ///< Refused: the prompt crashes servers.
    /// Attempts sent to servers that have named a rate limit.
    transport::counter rate_limited_first_attempts;
    transport::counter rate_limited_retries;
    transport::counter rate_limited_refusals; ///< No server had a permit left.
    transport::counter cold_refusals;    ///< No permit left for cold servers.
    transport::counter brittle_refusals; ///< No slot left on brittle servers.
    transport::counter leader_silent_refusals; ///< No answer on a quota.
    transport::counter evacuation_refusals;    ///< All servers are evacuated.
    transport::counter reserve_tokens_used;
    transport::counter relayed_attempts; ///< Sent through another gateway.
    transport::duration_histogram first_event;
    transport::duration_histogram whole_answer;
    /// Difference between predicted and actual time to the first event.
    transport::duration_histogram prediction_error;

    /// Counts a request for which no server was selected.
    void count(selection_failure_reason reason);
};

/// Why tokens of a quota were not taken.
enum class quota_refusal : std::uint8_t
{
    none,
    exceeded,
    leader_silent ///< Not known: the leader did not answer in time.
};

/// Outcome of taking tokens of a quota.
struct quota_result
{
    quota_refusal refusal = quota_refusal::none;
    std::chrono::milliseconds retry_after{0}; ///< 0 if the tokens were taken.
};

/// A gateway waits this much longer than a server's time limit, so that the
/// server's own response at that limit arrives first.
constexpr std::chrono::milliseconds server_response_margin{100};

/// Until when a process that shuts down does what.
struct shutdown_times
{
    transport::monotonic_time last_attempt{}; ///< No later attempt is started.
    transport::monotonic_time server_limit{}; ///< Servers are to end by then.
};

/// What a report is sent for.
enum class report_purpose : std::uint8_t
{
    inform,
    inform_leader, ///< Includes the evidence on rollouts.
    fetch_document ///< Asks for a newer document, if the replica has one.
};

// [gateway_core] -------------------------------------------------------------

/// Not thread-safe; use only on the event loop's thread.
class gateway_core
{
public:
    using document_parser =
        std::function<transport::result<protocol::service_document>(
            const std::string&)>;

    gateway_core(transport::event_loop& loop, const transport::clock& clock,
                 gateway_settings settings, document_parser parse_document);

    /// @return The active document's table; null before the first document.
    [[nodiscard]] const std::shared_ptr<const route_table>&
    table() const noexcept
    {
        return table_;
    }

    /// @return Whether the leader has confirmed the current keys recently
    ///     enough to authenticate callers with them.
    [[nodiscard]] bool keys_valid() const;

    /// @return Time since the latest report that the leader answered was sent;
    ///     negative before the first.
    [[nodiscard]] std::chrono::milliseconds control_age() const;

    /// @return Estimated time until keys are valid again, for use as a retry
    ///     delay while they are not.
    [[nodiscard]] std::chrono::milliseconds expected_wait() const;

    /// Calls back once keys are valid for the first time. After a start of all
    /// processes, callers connect at once while the control state is still a
    /// few hundred ms away; a short wait avoids rejecting them.
    ///
    /// @param max_wait Upper bound of the wait. When it or the start period
    ///     ends, `on_end` is called even if keys are still not valid.
    /// @return False if there is no wait and `on_end` will not be called: keys
    ///     are valid or were valid before, the start period is over, or
    ///     `max_wait` is not positive.
    bool await_start(std::chrono::milliseconds max_wait,
                     std::function<void()> on_end);

    /// @return The report to send to control replicas.
    [[nodiscard]] protocol::entry_report
    report(report_purpose purpose = report_purpose::inform);

    /// Records that the leader has answered the latest report with the purpose
    /// `inform_leader`.
    ///
    /// @param leader_term As it was when that report was made.
    void on_report_confirmed(std::uint64_t leader_term);

    /// @return Term of the latest leader; 0 before the first.
    [[nodiscard]] std::uint64_t leader_term() const noexcept
    {
        return leader_term_;
    }

    /// @return Version of the active document; 0 before the first.
    [[nodiscard]] std::uint64_t document_version() const noexcept
    {
        return table_ ? table_->document().version : 0;
    }

    /// Applies a control replica's answer to a report.
    ///
    /// @param sent_at When that report was sent.
    void apply_orders(transport::monotonic_time sent_at,
                      protocol::entry_orders orders);

    /// Receives the leader's answer, or an error if there is none in time.
    using token_handler =
        std::function<void(const transport::result<protocol::token_answer>&)>;
    /// Requests tokens of an organisation's quota from the leader.
    using token_fetcher =
        std::function<void(const std::string& organisation, double tokens,
                           token_handler on_answer)>;

    /// Sets the function that requests tokens from the leader. Without one,
    /// only the local share of a quota can be used.
    void set_token_fetcher(token_fetcher fetcher);

    /// Takes tokens for a request from the local share, or else from the
    /// leader, or while it is silent from the local reserve.
    ///
    /// @param on_end Called once, possibly before this function returns.
    void take_tokens(const std::string& organisation, double tokens,
                     const std::function<void(quota_result)>& on_end);

    /// Counts a request against an organisation's usage.
    ///
    /// @param at When the request began to run.
    void count_usage(const std::string& organisation,
                     transport::monotonic_time at);

    /// Registers a request under way.
    ///
    /// @param on_end Called by end_requests().
    /// @param on_overflow Called by set_buffered_bytes(); must end the attempt
    ///     whose response is buffered.
    /// @return Id for remove_request().
    std::uint64_t add_request(std::function<void()> on_end,
                              std::function<void()> on_overflow);
    void remove_request(std::uint64_t id);

    /// Sets how many bytes of its response a request holds that are not
    /// forwarded yet. Beyond the limit of all requests the largest holder loses
    /// its response: a server that sends without end must not end the responses
    /// of others.
    void set_buffered_bytes(std::uint64_t id, std::size_t bytes);

    /// @return Response bytes of all requests that are not forwarded yet.
    [[nodiscard]] std::size_t buffered_bytes() const noexcept
    {
        return buffered_bytes_;
    }

    /// Ends all requests under way with a response, as the process is about to
    /// exit.
    void end_requests();

    /// @return Whether an attempt may be started: it might not complete before
    ///     the process exits.
    [[nodiscard]] bool may_attempt() const;

    /// Sets a handler that is called after each change of the active document.
    void set_document_handler(std::function<void()> handler);

    /// @return All metrics in the Prometheus text format.
    [[nodiscard]] std::string metrics() const;

    transport::event_loop& loop;
    const transport::clock& clock;
    const gateway_settings settings;
    transport::http1_client client;
    token_quota quota;
    rank_admission ranks; ///< Under overload.
    work_meter work;
    token_reserve reserve; ///< Of quotas, while the leader is silent.
    service_retry_budgets repeats;
    placement servers;
    server_reach reach;
    /// Where other gateways may connect to servers through this one; empty:
    /// nowhere.
    std::string relay_address;
    version_split versions;
    rollout_evidence rollouts; ///< For services that change to a new version.
    crash_evidence crashes;    ///< Requests that crash servers.
    std::optional<shutdown_times> shutdown; ///< Once the process shuts down.
    gateway_counters counters;
    std::mt19937_64 random;

private:
    void apply_document(protocol::entry_orders& orders);
    void apply_server_list(protocol::entry_orders& orders);
    void apply_evacuations(const protocol::entry_orders& orders);
    void apply_leader_orders(transport::monotonic_time sent_at,
                             const protocol::entry_orders& orders);
    void finish_start_waits();
    bool use_reserve(const std::string& organisation, double tokens);

    document_parser parse_document_;
    token_fetcher fetch_tokens_;
    std::shared_ptr<const route_table> table_;
    std::function<void()> document_handler_;
    /// A request that waits for keys to be valid for the first time.
    struct start_wait
    {
        std::function<void()> on_end;
        transport::timer_handle timer;
    };
    std::map<std::uint64_t, start_wait> start_waits_; ///< By id, so in order of
                                                      ///< arrival.
    std::uint64_t last_wait_id_ = 0;
    struct open_request
    {
        std::function<void()> on_end;
        std::function<void()> on_overflow;
        std::size_t buffered_bytes = 0;
    };
    std::map<std::uint64_t, open_request> requests_; ///< By id.
    std::uint64_t last_request_id_ = 0;
    std::size_t buffered_bytes_ = 0; ///< Of all requests.
    std::uint64_t incarnation_;
    std::uint64_t leader_term_ = 0;
    transport::monotonic_time reserve_logged_at_{};
    transport::monotonic_time started_at_;
    transport::monotonic_time keys_valid_until_{};
    std::uint64_t server_list_digest_ = 0;
    transport::monotonic_time server_list_read_at_{};
    bool wall_clock_known_ = false;
    std::chrono::milliseconds wall_clock_offset_{0}; ///< Replicas' median clock
                                                     ///< minus monotonic time.
    /// Requests by usage window number, then by organisation.
    std::map<std::uint64_t, std::map<std::string, std::uint64_t>>
        usage_by_window_;
};

} // namespace hyssopdeal::coordination

#endif
