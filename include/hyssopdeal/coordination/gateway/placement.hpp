#ifndef HYSSOPDEAL_COORDINATION_GATEWAY_PLACEMENT_HPP
#define HYSSOPDEAL_COORDINATION_GATEWAY_PLACEMENT_HPP

/// @file
/// Selects the server for a request: the one with the lowest cost, which is the
/// predicted time to the first event plus penalties, for example for slowing
/// down other requests. Handles bursts of long prompts, servers that fail some
/// of their requests, and prompts that share a prefix. Performs no I/O.
///
/// Index: [prompt] [settings] [server_load] [choice] [placement]
///
/// For services whose servers state how long work takes there, the prediction
/// is made from the work left at a server and its speed (coordination/cost).

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <hyssopdeal/coordination/cold_start/cold_servers.hpp>
#include <hyssopdeal/coordination/cost/prefill_model.hpp>
#include <hyssopdeal/coordination/cost/request_cost.hpp>
#include <hyssopdeal/coordination/cost/route_timings.hpp>
#include <hyssopdeal/coordination/cost/server_backlog.hpp>
#include <hyssopdeal/coordination/cost/server_speed.hpp>
#include <hyssopdeal/coordination/evacuation/evacuated_domains.hpp>
#include <hyssopdeal/coordination/gateway/brittle_servers.hpp>
#include <hyssopdeal/coordination/gateway/server_permits.hpp>
#include <hyssopdeal/coordination/gateway/version_split.hpp>
#include <hyssopdeal/protocol/follow_messages.hpp>
#include <hyssopdeal/protocol/service_document.hpp>
#include <hyssopdeal/transport/clock.hpp>

namespace hyssopdeal::coordination
{

// [prompt] -------------------------------------------------------------------

/// A segment of a prompt. Segments with the same id have the same text.
struct prompt_part
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// The size of a request as known before it runs.
struct prompt_size
{
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output_tokens = 0;
    std::vector<prompt_part> parts; ///< In order. The last one is not
                                    ///< shared with other requests.
    request_kind kind{};
};

/// Parses parts as `ID:TOKENS`, the id in hexadecimal, separated by commas.
///
/// @return The parts before the first that is not valid: parts behind it cannot
///     be cached.
[[nodiscard]] std::vector<prompt_part> parse_parts(std::string_view text);

/// @return The ids of the first parts in hexadecimal, separated by commas, for
///     logs.
[[nodiscard]] std::string format_parts(const prompt_size& prompt);

// [settings] -----------------------------------------------------------------

/// Settings that end in `_penalty_ms` are costs added to the predicted time to
/// the first event.
struct placement_settings
{
    /// For a request without a prompt; scaled by the server's latency ratio.
    double base_request_ms = 60;
    double cross_domain_penalty_ms = 4;
    /// Probability that requests of other gateways have cached a shared prefix
    /// on its affinity server.
    double affinity_cache_probability = 0.9;
    /// Cost of 1 ms of prefill for each request that runs on the same server.
    double interference_factor = 0.02;
    /// Cost of each token of a shared prefix that the server has not cached.
    /// Added to the prefill time, as a second copy takes cache memory.
    double cache_miss_ms_per_token = 0.1;
    /// Covers the server's work to accept a connection, and the slot that is
    /// held meanwhile.
    double connection_setup_penalty_ms = 10;
    double failure_penalty_ms = 400; ///< Multiplied by the failure rate.
    /// Predicts from the work left at all servers that state their load, not
    /// only where they also state how long work takes (docs/design/0064).
    bool predict_by_work = false;
    /// Of a stream whose expected largest gap is the target; grows with the
    /// square of their ratio. With half of it, 1.2 times as many streams are
    /// late in the play of cost_placement_test.
    double gap_penalty_ms = 400;
    /// Random part of a cost predicted from figures that all gateways share.
    double shared_figures_noise = 0.03;
    /// Share of requests placed without regard to stated loads, so that false
    /// ones are noticed although the servers that state them are avoided.
    double unheeded_statements = 0.1;
    /// How long a stream keeps its slot, until measured.
    double initial_slot_hold_ms = 500;
    /// Pause after a refusal that names no retry time. If streams run for one
    /// to two seconds, about one of a dozen slots becomes free in this time.
    std::chrono::milliseconds full_server_pause{150};
    std::chrono::milliseconds cache_entry_ttl{60'000};
    /// After consecutive failures; doubled with each further failure.
    std::chrono::milliseconds initial_backoff{500};
    std::chrono::milliseconds max_backoff{8'000};
};

// [server_load] --------------------------------------------------------------

/// A listed server and its state as known to this gateway.
struct known_server
{
    protocol::listed_server listed;
    bool usable = true; ///< Listed as ready; may receive new requests.
    /// A response to this gateway announced that the server ends soon.
    bool said_leaving = false;
    transport::monotonic_time last_heard{}; ///< Latest event or response.
    std::uint32_t running = 0;              ///< Requests of this gateway.
    /// Uncached prompt tokens of this gateway's requests that have not had
    /// their first event.
    std::uint64_t waiting_tokens = 0;
    double writing = 0;            ///< Events left of this gateway's streams.
    protocol::sent_load peer_load; ///< Sum over all other gateways.
    std::uint32_t reported_waiting = 0; ///< As counted by the server.
    transport::monotonic_time reported_at{};
    double latency_ratio = 1; ///< Observed to predicted latency, smoothed.
    double failure_rate = 0;  ///< Smoothed.
    std::uint32_t consecutive_failures = 0;
    /// Until then the server is used only if all others are backed off as well.
    transport::monotonic_time backoff_until{};
    /// Set if the server requested a pause or was full. Until then it receives
    /// no requests, even if no other server is available.
    transport::monotonic_time paused_until{};
    /// Announced time at which the server ends, including its running requests.
    std::optional<transport::monotonic_time> ends_at;
};

// [choice] -------------------------------------------------------------------

/// A prediction from the work left at a server, and what is learned from.
struct work_prediction
{
    double first_event_ms = 0;
    double unloaded_ms = 0;
    double wait_ms = 0;     ///< Before the request runs, by reports.
    double gap_cost_ms = 0; ///< Of the streams that run beside it, and its own.
    /// Of reading a prompt with other streams, to that on a usual server.
    double interference = 1;
    double noise_ms = 0; ///< Largest random part.
    /// The time on a server of mean speed; 0 if it had to wait.
    double usual_ms = 0;
    double by_reports_ms = 0;
    double by_statement_ms = 0; ///< 0: no recent statement.
};

/// Progress of a stream on its server.
struct run_progress
{
    double events_expected = 0;
    double events_left = 0;
    std::uint32_t events = 0;
    transport::monotonic_time last_event{}; ///< Before it: when chosen.
};

/// The server selected for a request, with the predictions made for it.
struct placement_choice
{
    std::shared_ptr<known_server> server;
    std::chrono::milliseconds predicted{0}; ///< To the first event.
    /// To the first event if the server had no other requests.
    std::chrono::milliseconds predicted_unloaded{0};
    /// Of the uncached tokens on a server of mean speed.
    std::chrono::duration<double, std::milli> prefill{0};
    std::uint64_t uncached_tokens = 0;
    std::uint64_t waiting_tokens = 0;      ///< Known to be queued ahead.
    std::uint32_t prompt_tokens = 0;       ///< 0: no prompt.
    std::optional<work_prediction> work{}; ///< If its service states its load.
    run_progress progress{};
};

// [placement] ----------------------------------------------------------------

/// Tracks all servers as seen by one gateway and selects among them.
class placement
{
public:
    placement(placement_settings settings, std::string failure_domain,
              std::uint64_t seed);

    /// Replaces the instance list. An incarnation of a server that was removed,
    /// is draining, or was followed by a restart gets no new requests.
    ///
    /// @param read_at When the list was read; its durations start then.
    /// @return Servers that were removed from the list or restarted.
    std::vector<std::shared_ptr<known_server>>
    set_servers(const std::vector<protocol::listed_server>& servers,
                transport::monotonic_time read_at = {});

    /// Sets how many gateways receive the same load reports.
    void set_gateway_count(std::size_t gateways)
    {
        gateway_count_ = gateways;
    }

    /// Replaces the load that other gateways have sent, by server id.
    void set_peer_loads(const std::map<std::string, protocol::sent_load>& load);

    /// Returns whether an idle open connection to the address exists.
    using connection_probe = std::function<bool(const std::string& address)>;

    /// Selects a server of a service.
    ///
    /// @param tried Ids of servers to exclude.
    /// @param connected If empty, connection setup adds no cost.
    /// @param versions Limits the servers by version.
    /// @return Nothing if no server is eligible.
    [[nodiscard]] std::optional<placement_choice>
    choose(transport::monotonic_time now, const std::string& service,
           const prompt_size& prompt, const std::set<std::string>& tried,
           const connection_probe& connected = {},
           const version_choice& versions = {});

    /// Records that a request was sent to the chosen server.
    void on_sent(transport::monotonic_time now, const placement_choice& choice,
                 const prompt_size& prompt);

    /// Records the first event of a stream, or a complete response.
    void on_first_event(const placement_choice& choice,
                        std::chrono::milliseconds latency);

    /// Records what a response states of its server's load. Malformed text is
    /// ignored and logged.
    void on_load(transport::monotonic_time now, const known_server& server,
                 std::string_view text);

    /// Records an event of a stream.
    void on_event(transport::monotonic_time now, placement_choice& choice);

    /// Records a complete response.
    ///
    /// @param timing What the caller got.
    /// @param one_attempt Whether this attempt sent the whole response.
    void on_served(const placement_choice& choice, const prompt_size& prompt,
                   const answer_timing& timing, bool one_attempt);

    /// Records that a request no longer runs on the server.
    ///
    /// @param first_event_seen Whether on_first_event was called.
    /// @param slot_hold How long the request ran after its first event.
    void on_ended(const placement_choice& choice, bool first_event_seen,
                  std::chrono::milliseconds slot_hold = {});

    /// Records a failed request. Starts a backoff after several in a row.
    void on_failure(transport::monotonic_time now, known_server& server);
    /// Records that a server could not be reached or stopped sending. Starts a
    /// backoff at once, as the next requests would fail as well.
    void on_unreachable(transport::monotonic_time now, known_server& server);
    /// Records a successful request and ends a backoff.
    void on_success(known_server& server);
    /// Records that a server refused a request for lack of a free slot. Pauses
    /// the server, as it would refuse the next requests as well; longer if it
    /// is brittle.
    void on_full(transport::monotonic_time now, known_server& server);
    /// Records that a response announced the end of the server. This
    /// incarnation of the server gets no new requests.
    void on_leaving(known_server& server);
    /// Records that a server asked this gateway to send no requests for a time.
    void on_pause(transport::monotonic_time now, known_server& server,
                  std::chrono::milliseconds pause);

    /// Excludes the servers whose end was announced to any gateway.
    void set_leaving(const protocol::leaving_servers& leaving);

    /// @return Servers that are listed as ready but have announced their end to
    ///     this gateway.
    [[nodiscard]] protocol::leaving_servers seen_leaving() const;

    /// @return Time until the first paused server accepts requests again, or
    ///     nothing if none is paused.
    [[nodiscard]] std::optional<std::chrono::milliseconds>
    remaining_pause(transport::monotonic_time now,
                    const std::string& service) const;

    /// @return Whether a server could be chosen, apart from those already
    ///     tried, if it had a permit.
    [[nodiscard]] bool lacks_permit(transport::monotonic_time now,
                                    const std::string& service,
                                    const std::set<std::string>& tried);

    /// @return Whether a server could be chosen, apart from those already
    ///     tried, if it was not cold.
    [[nodiscard]] bool lacks_cold_permit(transport::monotonic_time now,
                                         const std::string& service,
                                         const std::set<std::string>& tried);

    /// @return Whether a server could be chosen, apart from those already
    ///     tried, if it was not brittle.
    [[nodiscard]] bool lacks_brittle_slot(transport::monotonic_time now,
                                          const std::string& service,
                                          const std::set<std::string>& tried);

    /// @return The running load sent by this gateway, by server id.
    [[nodiscard]] std::map<std::string, protocol::sent_load> own_load() const;

    /// @return Whether a usable server of a service is left that was not tried.
    [[nodiscard]] bool has_untried(const std::string& service,
                                   const std::set<std::string>& tried) const;

    /// @return Whether a service has usable servers, but all in evacuated
    ///     domains.
    [[nodiscard]] bool all_evacuated(const std::string& service) const;

    [[nodiscard]] const std::map<std::string, std::shared_ptr<known_server>>&
    servers() const noexcept
    {
        return servers_;
    }

    /// @return Learned speeds of servers.
    [[nodiscard]] const server_speed& speeds() const noexcept
    {
        return speeds_;
    }
    /// @return Histograms of complete responses by route.
    [[nodiscard]] const route_timings& timings() const noexcept
    {
        return timings_;
    }

    /// @return The permits for servers with a rate limit. choose() skips servers
    ///     without one; who sends a request takes it.
    [[nodiscard]] server_permits& permits() noexcept
    {
        return permits_;
    }
    [[nodiscard]] const server_permits& permits() const noexcept
    {
        return permits_;
    }

    /// @return The cold servers. choose() skips those without a permit; who
    ///     sends a request takes it.
    [[nodiscard]] cold_servers& cold() noexcept
    {
        return cold_;
    }
    [[nodiscard]] const cold_servers& cold() const noexcept
    {
        return cold_;
    }

    /// @return The servers that fall over if they reject many requests. choose()
    ///     places no more on them than this gateway's share of their slots.
    [[nodiscard]] brittle_servers& brittle() noexcept
    {
        return brittle_;
    }
    [[nodiscard]] const brittle_servers& brittle() const noexcept
    {
        return brittle_;
    }

    /// @return The failure domains whose servers choose() skips.
    [[nodiscard]] evacuated_domains& evacuated() noexcept
    {
        return evacuated_;
    }
    [[nodiscard]] const evacuated_domains& evacuated() const noexcept
    {
        return evacuated_;
    }

private:
    /// @return Whether the server is one of the service and may get requests.
    [[nodiscard]] bool is_usable(const known_server& server,
                                 const std::string& service) const
    {
        return server.usable && server.listed.service == service &&
               !evacuated_.contains(server.listed.failure_domain);
    }
    /// @return Whether the server is one of the service and may be used now,
    ///     as far as permits and slots are not concerned.
    [[nodiscard]] bool is_candidate(transport::monotonic_time now,
                                    const known_server& server,
                                    const std::string& service) const
    {
        return is_usable(server, service) && server.paused_until <= now;
    }
    /// @return Whether the condition holds for a candidate that was not tried.
    [[nodiscard]] bool any_untried_candidate(
        transport::monotonic_time now, const std::string& service,
        const std::set<std::string>& tried,
        const std::function<bool(const known_server&)>& condition) const;
    [[nodiscard]] bool has_brittle_slot(const known_server& server) const;
    /// @return Tokens of the prompt's prefix that the server probably has
    ///     cached, judging by the requests of this gateway.
    [[nodiscard]] std::uint64_t cached_tokens(transport::monotonic_time now,
                                              const known_server& server,
                                              const prompt_size& prompt) const;
    [[nodiscard]] double predict_first_event_ms(const known_server& server,
                                                const prompt_size& prompt,
                                                std::uint64_t uncached) const;
    /// @return The predicted time for a server without other requests.
    [[nodiscard]] double unloaded_first_event_ms(const known_server& server,
                                                 const prompt_size& prompt,
                                                 std::uint64_t uncached) const;
    /// @return Nothing if the service states no load.
    [[nodiscard]] std::optional<work_prediction>
    predict_by_work(transport::monotonic_time now, const known_server& server,
                    const prompt_size& prompt, std::uint64_t uncached,
                    bool heed_statements) const;
    [[nodiscard]] double wait_ms(transport::monotonic_time now,
                                 const known_server& server,
                                 const prompt_size& prompt,
                                 const work_left& work) const;
    [[nodiscard]] double gap_cost_ms(transport::monotonic_time now,
                                     const known_server& server,
                                     const prompt_size& prompt,
                                     double concurrent) const;
    [[nodiscard]] output_estimate
    expected_output(const prompt_size& prompt) const;
    void learn_first_event(transport::monotonic_time now,
                           const placement_choice& choice, double latency_ms);
    /// Reduces the candidates to this gateway's subset of servers, the affinity
    /// server, cold servers, for which permits would be lost, and a few random
    /// ones.
    void
    sample_candidates(transport::monotonic_time now,
                      std::vector<std::shared_ptr<known_server>>& candidates,
                      const std::shared_ptr<known_server>& affinity_server);

    placement_settings settings_;
    std::string failure_domain_;
    std::mt19937_64 random_;
    std::uint64_t subset_seed_; ///< Ranks servers for this gateway's subset.
    server_permits permits_;
    cold_servers cold_;
    brittle_servers brittle_;
    evacuated_domains evacuated_;
    request_cost costs_;
    server_speed speeds_;
    server_backlog backlog_;
    route_timings timings_;
    unreadable_text_log unreadable_loads_{"server.unreadable_load"};
    std::set<std::string> stating_services_; ///< That stated their load.
    std::size_t gateway_count_ = 0; ///< With the same load reports; 0: unknown.
    [[nodiscard]] double prefill_speed_of(const known_server& server) const;
    void learn_prefill(const placement_choice& choice, double latency_ms);

    prefill_model prefill_times_;
    /// How long a stream keeps its slot, smoothed, by service.
    std::map<std::string, double> slot_hold_ms_;
    std::map<std::string, std::shared_ptr<known_server>> servers_; ///< By id.
    /// Last use of a prompt segment on a server, by hash of both ids.
    std::unordered_map<std::uint64_t, transport::monotonic_time> cache_;
};

} // namespace hyssopdeal::coordination

#endif
