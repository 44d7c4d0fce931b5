#ifndef HYSSOPDEAL_COORDINATION_GATEWAY_REQUEST_FLOW_HPP
#define HYSSOPDEAL_COORDINATION_GATEWAY_REQUEST_FLOW_HPP

/// @file
/// Handles one caller's request from its arrival to the end of its response:
/// admission, attempts on servers, retries where allowed, and the relay of the
/// response.
///
/// Index: [request_flow] [admission] [attempts] [stream_moves] [responses]
///     [completion]
///
/// A request is refused as `not_run` only if it was never handed to a
/// connection, or if every server that received it reported that it did not run
/// it.

#include <algorithm>
#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include <hyssopdeal/coordination/gateway/dialect.hpp>
#include <hyssopdeal/coordination/gateway/event_splitter.hpp>
#include <hyssopdeal/coordination/gateway/gateway_core.hpp>
#include <hyssopdeal/coordination/gateway/response_end.hpp>
#include <hyssopdeal/coordination/gateway/retry_denial.hpp>
#include <hyssopdeal/coordination/gateway/selection_failure.hpp>
#include <hyssopdeal/coordination/gateway/sent_attempt.hpp>
#include <hyssopdeal/coordination/gateway/stream_migration.hpp>
#include <hyssopdeal/coordination/gateway/stream_position.hpp>
#include <hyssopdeal/transport/event_log.hpp>
#include <hyssopdeal/transport/http1_server.hpp>

namespace hyssopdeal::coordination
{

// [request_flow] -------------------------------------------------------------

/// Its callbacks keep it alive until the response has ended or the caller has
/// disconnected.
template <caller_dialect Dialect>
class request_flow : public std::enable_shared_from_this<request_flow<Dialect>>
{
public:
    request_flow(gateway_core& core, transport::http1_exchange exchange)
        : core_(core),
          exchange_(std::move(exchange))
    {}

    /// Admits the request and starts the first attempt, or refuses it.
    void start();

private:
    using milliseconds = std::chrono::milliseconds;
    using monotonic_time = transport::monotonic_time;
    using headers = std::vector<transport::http_header>;

    /// The load balancer sends the retry to another gateway.
    static constexpr milliseconds shutdown_retry_after{100};
    /// The time limit of the relay for its own connection, and a round trip.
    static constexpr milliseconds relayed_connect_time_limit{400};

    // [admission]
    [[nodiscard]] bool wait_for_document();
    void start_processing();
    bool admit();
    bool authenticate();
    void acquire_quota();
    void on_quota_result(const quota_result& result);
    void select_service();
    bool refuse_quarantined();
    bool yield_to_urgent();

    // [attempts]
    [[nodiscard]] transport::http1_call_settings make_call_settings() const;
    void start_next_attempt();
    void refuse_without_server();
    [[nodiscard]] std::optional<placement_choice> select_server();
    void start_attempt(const placement_choice& choice);
    [[nodiscard]] sent_attempt send_to(const placement_choice& choice,
                                       const std::string& moved_run);
    void make_current(sent_attempt attempt);
    void record_attempt_outcome(const sent_attempt& attempt,
                                answer_kind outcome);
    void record_first_event_delay(monotonic_time now);
    void record_event_gap();
    [[nodiscard]] bool survived_start() const;
    void record_survived_start();
    void arm_idle_timer();
    [[nodiscard]] milliseconds stream_idle_timeout() const;
    [[nodiscard]] bool predicted_late(const placement_choice& choice) const;
    void on_idle_timeout();
    [[nodiscard]] retry_denial start_standby();
    void replace_current(std::uint64_t number);
    [[nodiscard]] bool continue_on_standby();
    void on_standby_end(sent_attempt standby,
                        const transport::http1_call_end& result);
    void cancel_standbys();
    [[nodiscard]] transport::head_choice
    on_head(std::uint64_t number, int status, const headers& response_headers);
    [[nodiscard]] transport::head_choice
    take_head(sent_attempt& attempt, int status,
              const headers& response_headers);
    void on_response_data(std::string_view data);
    void on_attempt_end(const transport::http1_call_end& result);
    [[nodiscard]] received_response summarize_response() const;
    void confirm_end(const transport::http1_call_end& result);
    void check_path(const transport::http1_call_settings& path);
    void check_server(const transport::http1_call_settings& path);
    void on_server_checked(
        const transport::http1_call_settings& path, milliseconds asked_after,
        const transport::result<transport::http_response>& response);
    void check_again(const transport::http1_call_settings& path);
    [[nodiscard]] milliseconds time_since_end() const;
    void on_path_failed(const transport::http1_call_settings& path);
    /// @return Whether the attempt with a number is the current one, and under
    ///     way.
    [[nodiscard]] bool is_current(std::uint64_t number) const
    {
        return !finished_ && attempt_active_ && attempt_.number == number;
    }
    [[nodiscard]] static transport::head_filter own_head_filter();
    void on_complete_response();
    void on_attempt_refused();
    void choose_path(sent_attempt& attempt);
    [[nodiscard]] bool record_connect_failure(const sent_attempt& attempt,
                                              bool relay_failed);
    void record_refusal(const sent_attempt& attempt);
    void record_error(const sent_attempt& attempt,
                      const transport::failure& error, bool relay_failed);
    void log_broken(const sent_attempt& attempt,
                    const transport::failure& error, std::uint32_t running,
                    std::string_view next, retry_denial denial);
    void on_attempt_error(const transport::failure& error,
                          bool relay_failed = false);
    void release_server();
    void release_slot();
    void update_server_state(const sent_attempt& attempt,
                             const response_metadata& response);
    [[nodiscard]] retry_denial reserve_retry();
    [[nodiscard]] bool retryable() const;
    [[nodiscard]] milliseconds remaining_time() const;
    [[nodiscard]] milliseconds elapsed_time() const;
    [[nodiscard]] std::string_view latency_outcome() const;
    [[nodiscard]] bool is_stream() const
    {
        return route_->rule == protocol::repeat_rule::stream;
    }
    /// @return The wait that makes a stream late at its start or midway.
    [[nodiscard]] milliseconds lateness_limit() const
    {
        return route_->target_gap.count() > 0
                   ? std::min(route_->target_latency, route_->target_gap)
                   : route_->target_latency;
    }

    // [stream_moves]
    [[nodiscard]] bool should_move() const;
    void start_move();
    void on_move_response(
        const transport::result<transport::http_response>& response);
    void on_moved_stream_closed(const transport::http1_call_end& result);
    void resume_on(std::shared_ptr<known_server> server);
    void on_move_refused();

    /// @return The server's state as known to this gateway, for the log.
    [[nodiscard]] static constexpr std::string_view
    server_state_name(const known_server& server)
    {
        return server.said_leaving ? "said_leaving"
               : server.listed.state != protocol::server_state::ready
                   ? "listed_leaving"
               : server.usable ? "ready"
                               : "gone";
    }

    /// @return Whether callers may conclude from the status that the request
    ///     has not run.
    [[nodiscard]] static constexpr bool implies_not_run(int status)
    {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    // [responses]
    void give_up_response();
    void relay_events();
    void on_first_event();
    void finish_response();

    // [completion]
    void refuse(int status, std::string_view reason, milliseconds retry_after);
    void refuse_for_room(std::string_view reason, milliseconds retry_after);
    void fail(int status, std::string_view reason);
    void on_deadline();
    void end_unanswered(std::string_view reason, milliseconds retry_after);
    void on_caller_disconnected();
    void finish(std::string_view outcome, int status);

    gateway_core& core_;
    transport::http1_exchange exchange_;
    std::shared_ptr<const route_table> route_table_;
    const protocol::document_route* route_ = nullptr;
    std::string organisation_;
    std::uint32_t rank_ = 0;
    request_metadata terms_;
    std::optional<request_content> content_; ///< Once admitted.
    std::string service_;
    double quota_tokens_ = 0; ///< Requested from the quota.
    monotonic_time deadline_{};
    std::set<std::string> tried_servers_;  ///< Server ids.
    std::set<std::string> used_addresses_; ///< Of servers that were sent to.
    std::uint32_t delivered_attempts_ = 0; ///< Handed to a connection.
    std::uint32_t possible_runs_ = 0; ///< Attempts that ran or may have run.
    std::uint32_t failed_connects_ = 0;

    // Current attempt, and timing of the request.
    sent_attempt attempt_;
    standby_attempts standbys_;
    std::uint64_t attempt_number_ = 0; ///< Of the latest attempt.
    transport::http1_call liveness_call_;
    bool attempt_active_ = false;
    monotonic_time first_event_at_{};
    /// Of the latest attempt that had an event; -1: none.
    milliseconds time_to_first_event_{-1};
    /// From the arrival to the start of the first attempt; -1: not started.
    milliseconds time_to_first_attempt_{-1};
    /// From the arrival to the first relayed event or, without events, to the
    /// complete response; -1: no response.
    milliseconds time_to_response_{-1};
    milliseconds max_event_gap_{0}; ///< Between two relayed events.
    monotonic_time last_event_at_{};
    std::string response_body_;
    event_splitter event_splitter_;
    /// Whether this attempt had its first event or its complete response.
    bool event_received_ = false;
    std::uint32_t attempt_events_ = 0; ///< Relayed from this attempt.
    bool runs_on_ = false; ///< Its server still works on it after its end.
    bool gap_recorded_ = false;
    bool start_recorded_ = false; ///< The prompt did not crash the server.
    monotonic_time ended_at_{};   ///< Its connection closed in good order.

    stream_migration migration_;

    // Response to the caller.
    bool response_started_ = false; ///< The head was sent.
    bool usage_counted_ = false;
    stream_position position_;
    bool finished_ = false;
    std::uint64_t registration_ = 0; ///< As a request under way.
    transport::timer_handle deadline_timer_;
    /// Idle timeout; after a stream was stopped for a move, the wait for its
    /// last events; after a response that ended with its connection, the wait
    /// for the next check of its server.
    transport::timer_handle idle_timer_;
};

// [admission] ----------------------------------------------------------------

template <caller_dialect Dialect>
void request_flow<Dialect>::start()
{
    core_.counters.received.add();
    terms_ = Dialect::parse_request(exchange_.request());
    exchange_.on_left([weak = this->weak_from_this()] {
        if (const auto self = weak.lock())
        {
            self->on_caller_disconnected();
        }
    });
    registration_ = core_.add_request(
        [weak = this->weak_from_this()] {
            if (const auto self = weak.lock())
            {
                self->end_unanswered("shutdown", shutdown_retry_after);
            }
        },
        [weak = this->weak_from_this()] {
            if (const auto self = weak.lock())
            {
                self->give_up_response();
            }
        });
    if (!wait_for_document())
    {
        start_processing();
    }
}

/// Delays a request that arrives before the first service document. A new
/// process gets its document shortly after its start, and a caller retries a
/// refused request only once.
///
/// @return Whether the request was delayed.
template <caller_dialect Dialect>
bool request_flow<Dialect>::wait_for_document()
{
    // The remaining two thirds are enough for a retry after a refusal.
    constexpr int time_limit_divisor = 3;
    constexpr milliseconds default_time_limit{3'000};
    return core_.await_start(terms_.time_limit.value_or(default_time_limit) /
                                 time_limit_divisor,
                             [self = this->shared_from_this()] {
                                 if (!self->finished_)
                                 {
                                     self->start_processing();
                                 }
                             });
}

template <caller_dialect Dialect>
void request_flow<Dialect>::start_processing()
{
    if (!admit())
    {
        return;
    }
    deadline_timer_ =
        core_.loop.after(remaining_time() + server_response_margin,
                         [weak = this->weak_from_this()] {
                             if (const auto self = weak.lock())
                             {
                                 self->on_deadline();
                             }
                         });
    acquire_quota();
}

template <caller_dialect Dialect>
bool request_flow<Dialect>::admit()
{
    route_table_ = core_.table();
    if (!route_table_)
    {
        refuse(503, "no_document", core_.expected_wait());
        return false;
    }
    route_ = route_table_->find_route(terms_.host, exchange_.request().target);
    if (route_ == nullptr)
    {
        refuse(404, "no_route", milliseconds{0});
        return false;
    }
    if (terms_.attempt_id.empty())
    {
        refuse(400, "no_attempt_id", milliseconds{0});
        return false;
    }
    deadline_ = exchange_.received_at() +
                std::min(route_->time_limit,
                         terms_.time_limit.value_or(route_->time_limit));
    rank_ = route_->rank;
    select_service();
    core_.repeats.on_request(core_.clock.monotonic_now(), service_);
    core_.servers.permits().on_request(core_.clock.monotonic_now(), service_);
    core_.servers.cold().on_request(core_.clock.monotonic_now(), service_);
    if (route_->needs_key && !authenticate())
    {
        return false;
    }
    terms_.size.kind.route =
        route_->rule == protocol::repeat_rule::stream
            ? route_->name
            : fmt::format("{} {}", route_->name, exchange_.request().method);
    terms_.size.kind.organisation = organisation_;
    terms_.size.kind.target_gap = route_->target_gap;
    content_.emplace(exchange_.request(), organisation_, terms_.size);
    return !refuse_quarantined();
}

/// Ends the request if it is one that crashes servers.
///
/// @return Whether it was ended.
template <caller_dialect Dialect>
bool request_flow<Dialect>::refuse_quarantined()
{
    const auto remaining =
        core_.crashes.quarantine_of(core_.clock.monotonic_now(), *content_);
    if (!remaining)
    {
        return false;
    }
    core_.counters.quarantined.add();
    possible_runs_ > 0 ? fail(502, "request_quarantined")
                       : refuse(503, "request_quarantined", *remaining);
    return true;
}

/// Ends the request if the leader has ordered that requests of its rank make
/// room for more urgent ones. Nothing was sent yet.
///
/// @return Whether it was ended.
template <caller_dialect Dialect>
bool request_flow<Dialect>::yield_to_urgent()
{
    if (delivered_attempts_ > 0 || failed_connects_ > 0)
    {
        return false;
    }
    const auto wait = core_.ranks.on_request(
        core_.clock.monotonic_now(), service_, rank_, terms_.attempt_id);
    if (wait)
    {
        refuse(503, "yields_to_urgent", *wait);
    }
    return wait.has_value();
}

template <caller_dialect Dialect>
bool request_flow<Dialect>::authenticate()
{
    if (!core_.keys_valid())
    {
        refuse(503, "control_state_too_old", core_.expected_wait());
        return false;
    }
    const auto* organisation = route_table_->find_organisation(terms_.key);
    if (organisation == nullptr)
    {
        refuse(401, "unknown_key", milliseconds{0});
        return false;
    }
    organisation_ = organisation->name;
    rank_ = organisation->rank.value_or(rank_);
    quota_tokens_ = !organisation->counts_tokens ? 1
                    : terms_.has_token_counts
                        ? static_cast<double>(terms_.size.prompt_tokens) +
                              terms_.size.max_output_tokens
                        : organisation->tokens_of_plain_request;
    return true;
}

template <caller_dialect Dialect>
void request_flow<Dialect>::acquire_quota()
{
    if (organisation_.empty())
    {
        return start_next_attempt();
    }
    core_.take_tokens(organisation_, quota_tokens_,
                      [self = this->shared_from_this()](const auto& result) {
                          self->on_quota_result(result);
                      });
}

template <caller_dialect Dialect>
void request_flow<Dialect>::on_quota_result(const quota_result& result)
{
    const bool taken = result.refusal == quota_refusal::none;
    if (finished_)
    {
        if (taken)
        {
            core_.quota.refund(organisation_, quota_tokens_);
        }
        return;
    }
    if (!taken)
    {
        quota_tokens_ = 0;
        return refuse(429,
                      result.refusal == quota_refusal::exceeded
                          ? "quota"
                          : "quota_leader_silent",
                      result.retry_after);
    }
    start_next_attempt();
}

template <caller_dialect Dialect>
void request_flow<Dialect>::select_service()
{
    std::uint64_t total_weight = 0;
    for (const auto& share : route_->shares)
    {
        total_weight += share.weight;
    }
    std::uniform_int_distribution<std::uint64_t> draw{1, total_weight};
    auto remaining = draw(core_.random);
    for (const auto& share : route_->shares)
    {
        if (remaining <= share.weight)
        {
            service_ = share.service;
            return;
        }
        remaining -= share.weight;
    }
}

// [attempts] -----------------------------------------------------------------

template <caller_dialect Dialect>
std::chrono::milliseconds request_flow<Dialect>::remaining_time() const
{
    const auto end = core_.shutdown
                         ? std::min(deadline_, core_.shutdown->server_limit)
                         : deadline_;
    return std::chrono::duration_cast<milliseconds>(
        end - core_.clock.monotonic_now());
}

template <caller_dialect Dialect>
std::chrono::milliseconds request_flow<Dialect>::elapsed_time() const
{
    return std::chrono::duration_cast<milliseconds>(
        core_.clock.monotonic_now() - exchange_.received_at());
}

/// @return Whether the response met the route's latency targets, for the log.
template <caller_dialect Dialect>
std::string_view request_flow<Dialect>::latency_outcome() const
{
    if (time_to_response_.count() < 0)
    {
        return "no_answer";
    }
    if (time_to_response_ > route_->target_latency)
    {
        return "late_first_event";
    }
    const bool late_gap =
        route_->target_gap.count() > 0 && max_event_gap_ > route_->target_gap;
    return late_gap ? "late_gap" : "in_time";
}

template <caller_dialect Dialect>
bool request_flow<Dialect>::retryable() const
{
    return route_->rule == protocol::repeat_rule::safe ||
           (route_->rule == protocol::repeat_rule::stream && route_->resumable);
}

template <caller_dialect Dialect>
transport::http1_call_settings request_flow<Dialect>::make_call_settings() const
{
    // A server may close an idle connection while a request is being sent on
    // it. A request that must not run twice uses recently active connections.
    constexpr milliseconds max_idle{3'000};
    transport::http1_call_settings settings;
    if (!retryable())
    {
        settings.max_idle = max_idle;
    }
    return settings;
}

template <caller_dialect Dialect>
void request_flow<Dialect>::start_next_attempt()
{
    // A server cannot complete a request in less time.
    constexpr milliseconds min_attempt_time{20};
    if (remaining_time() < min_attempt_time)
    {
        return possible_runs_ > 0
                   ? fail(504, "no_time_left")
                   : refuse(503, "no_time_left", milliseconds{0});
    }
    if (!core_.may_attempt())
    {
        return possible_runs_ > 0
                   ? fail(502, "shutdown")
                   : refuse(503, "shutdown", shutdown_retry_after);
    }
    if (refuse_quarantined() || yield_to_urgent())
    {
        return;
    }
    const auto choice = select_server();
    if (!choice)
    {
        return possible_runs_ > 0 ? fail(502, "no_other_server")
                                  : refuse_without_server();
    }
    if (delivered_attempts_ == 0 && failed_connects_ == 0 &&
        predicted_late(*choice))
    {
        const auto target =
            std::max(route_->target_latency, choice->predicted_unloaded);
        return refuse_for_room("overloaded", choice->predicted - target);
    }
    migration_.reset();
    start_attempt(*choice);
}

template <caller_dialect Dialect>
void request_flow<Dialect>::refuse_without_server()
{
    const auto failure = explain_selection_failure(
        core_.clock.monotonic_now(), service_, tried_servers_, core_.servers);
    core_.counters.count(failure.reason);
    const auto reason = to_string(failure.reason);
    failure.lacks_room() ? refuse_for_room(reason, failure.retry_after)
                         : refuse(503, reason, failure.retry_after);
}

/// A stream that starts too late only delays the streams queued behind it, and
/// its caller does better to retry later. A prompt whose own prefill takes
/// longer than the target latency is compared with the prefill time, because no
/// retry would make it faster.
///
/// @return Whether the stream is predicted to start too late on that server.
template <caller_dialect Dialect>
bool request_flow<Dialect>::predicted_late(const placement_choice& choice) const
{
    // The prediction error is about half the target latency.
    const auto target = route_->target_latency;
    const auto latest =
        std::max(target, choice.predicted_unloaded) + target / 2;
    return is_stream() && choice.predicted > latest;
}

template <caller_dialect Dialect>
std::optional<placement_choice> request_flow<Dialect>::select_server()
{
    const auto now = core_.clock.monotonic_now();
    const auto select_among = [&](const version_choice& versions) {
        return core_.servers.choose(
            now, service_, terms_.size, tried_servers_,
            [this](const auto& address) {
                return core_.client.keeps(address,
                                          make_call_settings().max_idle);
            },
            versions);
    };
    std::uniform_real_distribution<double> draw{0, 1};
    auto versions = core_.versions.choose(now, service_, draw(core_.random),
                                          !tried_servers_.empty());
    auto choice = select_among(versions);
    if (!choice && versions.to_target)
    {
        // No server of the rollout's target version is available.
        versions.to_target = false;
        choice = select_among(versions);
    }
    return choice;
}

template <caller_dialect Dialect>
void request_flow<Dialect>::start_attempt(const placement_choice& choice)
{
    if (is_stream() && delivered_attempts_ == 0 && failed_connects_ == 0)
    {
        core_.work.on_placed(service_, choice.prefill, lateness_limit());
    }
    make_current(send_to(choice, migration_.run));
}

/// Makes an attempt the one whose response is relayed.
template <caller_dialect Dialect>
void request_flow<Dialect>::make_current(sent_attempt attempt)
{
    attempt_ = std::move(attempt);
    attempt_active_ = true;
    if (time_to_first_attempt_.count() < 0)
    {
        time_to_first_attempt_ = elapsed_time();
    }
    event_received_ = false;
    attempt_events_ = 0;
    position_.on_attempt();
    runs_on_ = false;
    gap_recorded_ = false;
    start_recorded_ = false;
    response_body_.clear();
    event_splitter_.discard_remainder();
    core_.set_buffered_bytes(registration_, 0);
    liveness_call_.cancel();
    arm_idle_timer();
}

/// @param moved_run Handle of the stopped run to resume; empty: none.
template <caller_dialect Dialect>
sent_attempt request_flow<Dialect>::send_to(const placement_choice& choice,
                                            const std::string& moved_run)
{
    const auto now = core_.clock.monotonic_now();
    sent_attempt attempt;
    attempt.number = ++attempt_number_;
    attempt.choice = choice;
    tried_servers_.insert(choice.server->listed.id);
    core_.servers.on_sent(now, choice, terms_.size);
    core_.versions.on_sent(service_, choice.server->listed.version);
    attempt.load_at_start =
        bucket_of(choice.server->running + choice.server->peer_load.running,
                  choice.server->listed.slots);
    attempt.occupies_slot = true;
    attempt.sent_at = now;
    attempt.last_activity = now;
    ++delivered_attempts_;
    if (delivered_attempts_ > 1)
    {
        core_.counters.repeats.add();
    }
    core_.servers.cold().take(now, choice.server->listed);
    if (moved_run.empty() &&
        core_.servers.permits().take(now, choice.server->listed))
    {
        (delivered_attempts_ > 1 ? core_.counters.rate_limited_retries
                                 : core_.counters.rate_limited_first_attempts)
            .add();
    }
    forward_metadata terms;
    terms.organisation = organisation_;
    terms.server_id = choice.server->listed.id;
    terms.time_limit = remaining_time();
    terms.rank = rank_;
    terms.resume_after = position_.last_id();
    terms.moved_run = moved_run;
    choose_path(attempt);
    transport::http1_call_handlers handlers;
    handlers.on_head =
        [self = this->shared_from_this(),
         number = attempt.number](int status, const headers& response_headers) {
            return self->on_head(number, status, response_headers);
        };
    handlers.on_data = [self = this->shared_from_this(),
                        number = attempt.number](std::string_view data) {
        if (self->is_current(number))
        {
            self->on_response_data(data);
        }
    };
    handlers.on_end =
        [self = this->shared_from_this(),
         number = attempt.number](const transport::http1_call_end& result) {
            self->standbys_.find(number) != nullptr
                ? self->on_standby_end(self->standbys_.take(number), result)
                : self->on_attempt_end(result);
        };
    attempt.settings.body = exchange_.shared_body();
    attempt.call =
        core_.client.start(choice.server->listed.address,
                           Dialect::make_request(exchange_.request(), terms),
                           attempt.settings, std::move(handlers));
    return attempt;
}

/// Decides how the chosen server is connected to.
template <caller_dialect Dialect>
void request_flow<Dialect>::choose_path(sent_attempt& attempt)
{
    const auto& server = attempt.choice.server->listed;
    auto& settings = attempt.settings;
    settings = make_call_settings();
    if (!used_addresses_.insert(server.address).second)
    {
        // On a connection that carried the request before, an earlier response
        // to it may come again, and its attempt id is the same.
        settings.max_idle = milliseconds{0};
    }
    attempt.opened_connection =
        !core_.client.keeps(server.address, settings.max_idle);
    if (attempt.opened_connection)
    {
        settings.relay =
            core_.reach
                .relay_for(core_.clock.monotonic_now(), server.id,
                           [&](const auto& relay) {
                               return core_.client.keeps(
                                   server.address, settings.max_idle, relay);
                           })
                .value_or("");
    }
    if (!settings.relay.empty())
    {
        core_.counters.relayed_attempts.add();
        settings.connect_time_limit = relayed_connect_time_limit;
    }
}

/// @return Whether the server can be tried again on another path.
template <caller_dialect Dialect>
bool request_flow<Dialect>::record_connect_failure(const sent_attempt& attempt,
                                                   bool relay_failed)
{
    const auto now = core_.clock.monotonic_now();
    const auto& id = attempt.choice.server->listed.id;
    if (attempt.settings.relay.empty())
    {
        core_.reach.on_unreached(now, id);
    }
    else if (relay_failed)
    {
        core_.reach.on_helper_failed(now, attempt.settings.relay);
    }
    else
    {
        core_.reach.on_helper_unreached(now, id);
    }
    return core_.reach.relay_for(now, id).has_value();
}

/// Starts the idle timeout, after which a retryable request may be sent to
/// another server. Requests that are not retryable have none.
template <caller_dialect Dialect>
void request_flow<Dialect>::arm_idle_timer()
{
    if (!retryable())
    {
        return;
    }
    constexpr milliseconds min_call_idle_timeout{250};
    const auto timeout =
        route_->rule == protocol::repeat_rule::stream
            ? stream_idle_timeout()
            : std::max(min_call_idle_timeout, route_->target_latency);
    const auto idle_time = std::chrono::duration_cast<milliseconds>(
        core_.clock.monotonic_now() - attempt_.last_activity);
    // A silent server that is kept after the timeout is checked again soon.
    const auto delay = idle_time < timeout ? timeout - idle_time : timeout / 4;
    idle_timer_ =
        core_.loop.after(delay, [weak = this->weak_from_this(), timeout] {
            const auto self = weak.lock();
            if (!self || self->finished_ || !self->attempt_active_)
            {
                return;
            }
            const auto current_idle_time = self->core_.clock.monotonic_now() -
                                           self->attempt_.last_activity;
            current_idle_time >= timeout ? self->on_idle_timeout()
                                         : self->arm_idle_timer();
        });
}

/// @return Half the time after which callers abandon a silent stream; the other
///     half is enough to restart the stream on another server.
template <caller_dialect Dialect>
std::chrono::milliseconds request_flow<Dialect>::stream_idle_timeout() const
{
    constexpr milliseconds min_caller_timeout{2'000};
    constexpr int latency_multiple = 4;
    constexpr int gap_multiple = 8;
    return std::max({min_caller_timeout,
                     latency_multiple * route_->target_latency,
                     gap_multiple * route_->target_gap}) /
           2;
}

/// A silent server may only be slow. The request is sent to another one as well,
/// and its attempt ends when that one responds.
template <caller_dialect Dialect>
void request_flow<Dialect>::on_idle_timeout()
{
    const auto denial = start_standby();
    const bool waits = denial != retry_denial::none && standbys_.size() > 0;
    if (!waits && attempt_.logged_denial != denial)
    {
        attempt_.logged_denial = denial;
        transport::log_event(
            "attempt.silent",
            {{"request", terms_.attempt_id},
             {"server", attempt_.choice.server->listed.id},
             {"silent_ms",
              core_.clock.monotonic_now() - attempt_.last_activity},
             {"had_event", event_received_},
             {"next", denial == retry_denial::none ? "second_attempt" : "wait"},
             {"denied", to_string(denial)}});
    }
    arm_idle_timer();
}

/// Distinguishes an unresponsive server from an overloaded fleet. A stream that
/// is queued on a live server would be queued again on another one. A stream
/// without events therefore stays if its server has sent an event to any request
/// of this gateway since the attempt started, or if no other server is predicted
/// to start it in time.
template <caller_dialect Dialect>
retry_denial request_flow<Dialect>::start_standby()
{
    const auto now = core_.clock.monotonic_now();
    if (migration_.in_progress())
    {
        return retry_denial::still_running;
    }
    if (!position_.can_resume())
    {
        return retry_denial::position_unknown;
    }
    if (!core_.may_attempt())
    {
        return retry_denial::shutdown;
    }
    if (possible_runs_ + 1 + standbys_.size() >= route_->max_attempts)
    {
        return retry_denial::attempts;
    }
    const bool queued = is_stream() && !event_received_;
    if (queued && attempt_.choice.server->last_heard > attempt_.sent_at)
    {
        return retry_denial::server_alive;
    }
    const auto choice = select_server();
    if (!choice)
    {
        return retry_denial::no_server;
    }
    if (queued && predicted_late(*choice))
    {
        return retry_denial::late;
    }
    if (!core_.repeats.take(now, service_))
    {
        return retry_denial::budget;
    }
    // The next requests would wait for the silent server as well.
    core_.servers.on_unreachable(now, *attempt_.choice.server);
    standbys_.add(send_to(*choice, {}));
    return retry_denial::none;
}

/// Gives up the current attempt for another one that has responded.
template <caller_dialect Dialect>
void request_flow<Dialect>::replace_current(std::uint64_t number)
{
    auto standby = standbys_.take(number);
    cancel_standbys();
    attempt_.call.cancel();
    idle_timer_.cancel();
    ++possible_runs_;
    (event_received_ ? core_.counters.broken_after_event
                     : core_.counters.broken_before_event)
        .add();
    record_attempt_outcome(attempt_, answer_kind::broken);
    log_broken(attempt_,
               {transport::verdict::may_have_run, transport::reason::timed_out,
                "Another server responded after the idle timeout."},
               attempt_.choice.server->running, "replaced", retry_denial::none);
    release_server();
    if (response_started_)
    {
        core_.counters.resumed.add();
    }
    migration_.reset();
    make_current(std::move(standby));
}

/// Continues with the latest attempt beside the current one, which has ended.
///
/// @return Whether there is one.
template <caller_dialect Dialect>
bool request_flow<Dialect>::continue_on_standby()
{
    auto standby = standbys_.take_latest();
    if (!standby)
    {
        return false;
    }
    if (response_started_)
    {
        core_.counters.resumed.add();
    }
    migration_.reset();
    make_current(std::move(*standby));
    return true;
}

/// Handles the end of an attempt beside the current one, which had no response
/// to relay.
template <caller_dialect Dialect>
void request_flow<Dialect>::on_standby_end(
    sent_attempt standby, const transport::http1_call_end& result)
{
    const auto& metadata = standby.head.metadata;
    if (result.complete && (metadata.not_executed || metadata.other_server))
    {
        record_refusal(standby);
        transport::log_event("attempt.refused",
                             {{"request", terms_.attempt_id},
                              {"server", standby.choice.server->listed.id},
                              {"status", standby.head.status},
                              {"other_server", metadata.other_server},
                              {"next", "wait"}});
    }
    else
    {
        const auto error =
            result.complete
                ? transport::failure{transport::verdict::ran,
                                     transport::reason::broken_answer,
                                     "The server responded with an error."}
                : result.error;
        record_error(standby, error, result.relay_failed);
        log_broken(standby, error, standby.choice.server->running, "wait",
                   retry_denial::none);
    }
    core_.servers.on_ended(standby.choice, false);
}

template <caller_dialect Dialect>
void request_flow<Dialect>::cancel_standbys()
{
    while (auto standby = standbys_.take_latest())
    {
        standby->call.cancel();
        ++possible_runs_;
        core_.servers.on_ended(standby->choice, false);
    }
}

template <caller_dialect Dialect>
transport::head_choice
request_flow<Dialect>::on_head(std::uint64_t number, int status,
                               const headers& response_headers)
{
    auto* const standby = standbys_.find(number);
    const auto choice = take_head(standby != nullptr ? *standby : attempt_,
                                  status, response_headers);
    const auto& head = standby != nullptr ? standby->head : attempt_.head;
    if (choice == transport::head_choice::take && !head.metadata.not_executed &&
        may_relay(status, response_started_))
    {
        if (standby != nullptr)
        {
            replace_current(number);
        }
        else if (!is_stream())
        {
            cancel_standbys();
        }
    }
    return choice;
}

/// Judges and keeps the head of a response.
template <caller_dialect Dialect>
transport::head_choice
request_flow<Dialect>::take_head(sent_attempt& attempt, int status,
                                 const headers& response_headers)
{
    constexpr int first_error_status = 300;
    const auto now = core_.clock.monotonic_now();
    const auto response = Dialect::parse_response(status, response_headers);
    const auto& server = attempt.choice.server;
    if (attempt.opened_connection && attempt.settings.relay.empty())
    {
        core_.reach.on_reached(now, server->listed.id);
    }
    // The server's state holds even if the response is to another request.
    update_server_state(attempt, response);
    if (!response.attempt_id.empty() &&
        response.attempt_id != terms_.attempt_id)
    {
        transport::log_event(
            "attempt.foreign_answer",
            {{"request", terms_.attempt_id}, {"server", server->listed.id}});
        return transport::head_choice::skip;
    }
    const bool unproven = status < first_error_status &&
                          (!response.execution_proven || response.not_executed);
    // Without an id it may be a repeated response to an earlier request.
    const bool unassigned = response.attempt_id.empty();
    if (unproven || unassigned || response.content_encoded)
    {
        return transport::head_choice::reject;
    }
    attempt.head = {status, response_headers, response};
    attempt.head_received = true;
    attempt.last_activity = now;
    if (route_->rule != protocol::repeat_rule::stream)
    {
        server->last_heard = now;
    }
    return transport::head_choice::take;
}

template <caller_dialect Dialect>
void request_flow<Dialect>::update_server_state(
    const sent_attempt& attempt, const response_metadata& response)
{
    if (response.other_server)
    {
        return;
    }
    auto& server = *attempt.choice.server;
    if (response.leaving && !server.said_leaving)
    {
        core_.servers.on_leaving(server);
        transport::log_event("server.leaving",
                             {{"server", server.listed.id},
                              {"told_by", "answer"},
                              {"request", terms_.attempt_id}});
    }
    if (response.pause.count() > 0)
    {
        core_.servers.on_pause(core_.clock.monotonic_now(), server,
                               response.pause);
        transport::log_event("server.paused", {{"server", server.listed.id},
                                               {"for_ms", response.pause},
                                               {"request", terms_.attempt_id}});
    }
    // The time of the request that another response belongs to is not known.
    const bool own = response.attempt_id == terms_.attempt_id;
    const auto sent_at = own ? std::optional{attempt.sent_at} : std::nullopt;
    const auto now = core_.clock.monotonic_now();
    core_.servers.permits().on_response(now, server.listed, response.rate_limit,
                                        sent_at);
    core_.servers.cold().on_response(now, server.listed, response.cold_time,
                                     sent_at);
    core_.servers.brittle().on_response(now, server.listed,
                                        response.withstood_rejections, sent_at);
    core_.servers.on_load(now, server, response.server_load);
    if (!response.server_load.empty())
    {
        core_.work.on_load_stated(service_);
    }
    if (core_.settings.priority_admission && !response.server_load.empty())
    {
        core_.ranks.on_server_load_seen(now, service_);
    }
}

template <caller_dialect Dialect>
void request_flow<Dialect>::on_response_data(std::string_view data)
{
    constexpr int first_error_status = 300;
    if (!is_stream() || attempt_.head.status >= first_error_status)
    {
        attempt_.last_activity = core_.clock.monotonic_now();
        response_body_ += data;
    }
    else
    {
        event_splitter_.feed(data);
        relay_events();
    }
    const auto& limits = core_.settings;
    if (response_body_.size() > limits.max_answer_bytes ||
        event_splitter_.remainder().size() > limits.max_event_bytes)
    {
        return give_up_response();
    }
    core_.set_buffered_bytes(registration_,
                             response_body_.size() +
                                 event_splitter_.remainder().size());
}

/// Ends an attempt whose response exceeds a buffer limit.
template <caller_dialect Dialect>
void request_flow<Dialect>::give_up_response()
{
    if (finished_ || !attempt_active_)
    {
        return;
    }
    attempt_.call.cancel();
    liveness_call_.cancel();
    core_.set_buffered_bytes(registration_, 0);
    on_attempt_error({transport::verdict::may_have_run,
                      transport::reason::too_large,
                      "The response exceeds a buffer limit of the gateway."});
}

template <caller_dialect Dialect>
void request_flow<Dialect>::on_attempt_end(
    const transport::http1_call_end& result)
{
    idle_timer_.cancel();
    if (migration_.in_progress() && (!result.complete || result.ended_by_close))
    {
        return on_moved_stream_closed(result);
    }
    constexpr auto may_have_run = transport::verdict::may_have_run;
    constexpr auto connection_lost = transport::reason::connection_lost;
    switch (judge_end(result, summarize_response()))
    {
    case response_end::whole:
        return on_complete_response();
    case response_end::unconfirmed:
        return confirm_end(result);
    case response_end::failed:
        return on_attempt_error(result.error, result.relay_failed);
    case response_end::not_run:
        return on_attempt_refused();
    case response_end::broken_off:
        return on_attempt_error({may_have_run, connection_lost,
                                 "The stream ended inside an event."});
    case response_end::events_missing:
        return on_attempt_error({may_have_run, transport::reason::broken_answer,
                                 "The numbers of the events went back."});
    case response_end::maybe_stopped:
        return on_attempt_error(
            {may_have_run, connection_lost,
             "The connection closed after the stream was to be moved."});
    }
}

template <caller_dialect Dialect>
received_response request_flow<Dialect>::summarize_response() const
{
    constexpr int first_error_status = 300;
    return {attempt_.head.metadata,
            is_stream() && attempt_.head.status < first_error_status,
            event_splitter_.remainder(),
            event_received_,
            !position_.last_id().empty() || !terms_.resume_after.empty(),
            position_.misses_events(),
            migration_.may_be_stopped};
}

/// Decides whether a response that ended with its connection is complete.
template <caller_dialect Dialect>
void request_flow<Dialect>::confirm_end(const transport::http1_call_end& result)
{
    ended_at_ = core_.clock.monotonic_now();
    release_slot();
    attempt_.settings.relay_start = result.relay_start;
    check_path(attempt_.settings);
}

/// Completes the response if the processes on the path that carried it still
/// run.
template <caller_dialect Dialect>
void request_flow<Dialect>::check_path(
    const transport::http1_call_settings& path)
{
    core_.client.check_path(attempt_.choice.server->listed.address, path,
                            [self = this->shared_from_this(), path,
                             attempt = attempt_.number](bool runs) {
                                if (self->is_current(attempt))
                                {
                                    runs ? self->check_server(path)
                                         : self->on_path_failed(path);
                                }
                            });
}

/// Asks the server whether it still runs: a connection may be accepted for a
/// process that has ended.
template <caller_dialect Dialect>
void request_flow<Dialect>::check_server(
    const transport::http1_call_settings& path)
{
    // Many times what a server takes to answer without running a request.
    constexpr milliseconds time_limit{500};
    const auto* service = route_table_->find_service(service_);
    const auto request = service == nullptr
                             ? std::optional<transport::http_request>{}
                             : Dialect::make_liveness_check(*service);
    const auto asked_after = time_since_end();
    if (!request)
    {
        // The end of a stream can wait, a whole response should not.
        return is_stream() && asked_after < min_confirmation_age
                   ? check_again(path)
                   : on_complete_response();
    }
    liveness_call_ = core_.client.fetch(
        attempt_.choice.server->listed.address, *request,
        {.time_limit = time_limit,
         .relay = path.relay,
         .on_head = own_head_filter(),
         .proves_end = transport::needs_no_end,
         .keep_connection = false},
        [self = this->shared_from_this(), path, asked_after,
         attempt = attempt_.number](const auto& response) {
            if (self->is_current(attempt))
            {
                self->on_server_checked(path, asked_after, response);
            }
        });
}

/// Completes the response if the server that the attempt was sent to still runs
/// some time after the end, and no longer lists the attempt.
///
/// @param asked_after From the end to the question.
template <caller_dialect Dialect>
void request_flow<Dialect>::on_server_checked(
    const transport::http1_call_settings& path, milliseconds asked_after,
    const transport::result<transport::http_response>& response)
{
    const auto& listed = attempt_.choice.server->listed;
    const auto parsed =
        response ? Dialect::parse_liveness(response->status, response->body,
                                           terms_.attempt_id)
                 : std::nullopt;
    const bool reported = parsed.has_value();
    const auto liveness = parsed.value_or(server_liveness{});
    const bool restarted =
        reported && listed.born != 0 && liveness.started != listed.born;
    const bool runs_on = liveness.runs_attempt;
    if (response && !restarted)
    {
        // A prompt that crashes its server leaves no port that answers.
        record_survived_start();
        core_.servers.cold().on_response(
            core_.clock.monotonic_now(), listed,
            Dialect::parse_response(response->status, response->headers)
                .cold_time,
            std::nullopt);
    }
    transport::log_event("attempt.end_checked",
                         {{"request", terms_.attempt_id},
                          {"server", listed.id},
                          {"relay", path.relay},
                          {"status", response ? response->status : 0},
                          {"error", response ? "" : response.error().text},
                          {"started", liveness.started},
                          {"listed_start", listed.born},
                          {"runs_attempt", runs_on},
                          {"asked_after_ms", asked_after}});
    switch (judge_check({asked_after, reported, restarted, runs_on}))
    {
    case end_check_verdict::whole:
        return on_complete_response();
    case end_check_verdict::check_again:
        return check_again(path);
    case end_check_verdict::lost:
        runs_on_ = runs_on && !restarted;
        return on_path_failed(path);
    }
}

template <caller_dialect Dialect>
void request_flow<Dialect>::check_again(
    const transport::http1_call_settings& path)
{
    idle_timer_ = core_.loop.after(
        min_confirmation_age,
        [self = this->shared_from_this(), path, attempt = attempt_.number] {
            if (self->is_current(attempt))
            {
                self->check_path(path);
            }
        });
}

template <caller_dialect Dialect>
std::chrono::milliseconds request_flow<Dialect>::time_since_end() const
{
    return std::chrono::duration_cast<milliseconds>(
        core_.clock.monotonic_now() - ended_at_);
}

/// A late response to a request on the same connection names its attempt; it
/// does not answer a call that belongs to no attempt.
template <caller_dialect Dialect>
transport::head_filter request_flow<Dialect>::own_head_filter()
{
    return [](int status, const headers& response_headers) {
        return Dialect::parse_response(status, response_headers)
                       .attempt_id.empty()
                   ? transport::head_choice::take
                   : transport::head_choice::skip;
    };
}

/// A gateway that is cut off from a server may still have a connection to it.
/// What ended on a direct one is judged through a relay then.
template <caller_dialect Dialect>
void request_flow<Dialect>::on_path_failed(
    const transport::http1_call_settings& path)
{
    const auto relay = core_.reach.relay_for(core_.clock.monotonic_now(),
                                             attempt_.choice.server->listed.id);
    if (path.relay.empty() && relay)
    {
        auto relayed = path;
        relayed.relay = *relay;
        relayed.relay_start.reset();
        relayed.connect_time_limit = relayed_connect_time_limit;
        return check_path(relayed);
    }
    core_.counters.unconfirmed_ends.add();
    on_attempt_error({transport::verdict::may_have_run,
                      transport::reason::connection_lost,
                      "The server or the relay ended with the connection."});
}

/// Handles a response that is known to be whole.
template <caller_dialect Dialect>
void request_flow<Dialect>::on_complete_response()
{
    constexpr int first_error_status = 300;
    constexpr int first_server_error_status = 500;
    ++possible_runs_;
    const bool failed = attempt_.head.status >= first_server_error_status;
    record_attempt_outcome(attempt_,
                           failed ? answer_kind::failed : answer_kind::whole);
    auto& server = *attempt_.choice.server;
    failed ? core_.servers.on_failure(core_.clock.monotonic_now(), server)
           : core_.servers.on_success(server);
    const bool relayable = may_relay(attempt_.head.status, response_started_);
    if ((!relayable && standbys_.size() > 0) ||
        (failed && !response_started_ && reserve_retry() == retry_denial::none))
    {
        release_server();
        transport::log_event("attempt.failed",
                             {{"request", terms_.attempt_id},
                              {"server", server.listed.id},
                              {"status", attempt_.head.status},
                              {"next", "repeat"}});
        return continue_on_standby() ? void() : start_next_attempt();
    }
    if (response_started_ && attempt_.head.status >= first_error_status)
    {
        release_server();
        return fail(502, "resume_failed");
    }
    if (implies_not_run(attempt_.head.status))
    {
        // Callers would conclude that the request has not run, but the server
        // did not mark the response as such.
        release_server();
        return fail(502, "refused_without_mark");
    }
    on_first_event();
    if (attempt_.head.status < first_error_status)
    {
        record_survived_start();
    }
    release_server();
    finish_response();
}

/// Handles a response by which the server reports that it did not run the
/// request.
template <caller_dialect Dialect>
void request_flow<Dialect>::on_attempt_refused()
{
    const auto now = core_.clock.monotonic_now();
    const auto server_id = attempt_.choice.server->listed.id;
    record_refusal(attempt_);
    release_server();
    if (!migration_.run.empty())
    {
        return on_move_refused();
    }
    const bool retry =
        standbys_.size() > 0 || core_.repeats.take(now, service_);
    transport::log_event("attempt.refused",
                         {{"request", terms_.attempt_id},
                          {"server", server_id},
                          {"status", attempt_.head.status},
                          {"other_server", attempt_.head.metadata.other_server},
                          {"next", retry ? "repeat" : "refuse"}});
    if (retry)
    {
        return continue_on_standby() ? void() : start_next_attempt();
    }
    possible_runs_ > 0
        ? fail(502, "servers_full")
        : refuse_for_room("servers_full", servers_full_retry_after);
}

/// Records that a server did not run the request.
template <caller_dialect Dialect>
void request_flow<Dialect>::record_refusal(const sent_attempt& attempt)
{
    auto& server = *attempt.choice.server;
    if (attempt.head.metadata.other_server)
    {
        server.usable = false;
    }
    else
    {
        core_.servers.on_full(core_.clock.monotonic_now(), server);
    }
}

/// Records an attempt that ended without a complete response.
///
/// @param relay_failed As in transport::http1_call_end.
template <caller_dialect Dialect>
void request_flow<Dialect>::record_error(const sent_attempt& attempt,
                                         const transport::failure& error,
                                         bool relay_failed)
{
    const auto now = core_.clock.monotonic_now();
    auto& server = *attempt.choice.server;
    const bool not_run = error.ran == transport::verdict::not_run;
    const bool unreachable =
        not_run || error.code == transport::reason::timed_out;
    if (not_run && record_connect_failure(attempt, relay_failed))
    {
        tried_servers_.erase(server.listed.id);
    }
    else
    {
        unreachable ? core_.servers.on_unreachable(now, server)
                    : core_.servers.on_failure(now, server);
        // A server that closes an idle connection has not restarted. Its close
        // arrives within a round trip of the request that it crosses.
        constexpr milliseconds idle_close_window{50};
        const bool idle_close = !attempt.opened_connection &&
                                !attempt.head_received &&
                                now - attempt.sent_at <= idle_close_window;
        if (!idle_close &&
            (not_run || error.code == transport::reason::connection_lost))
        {
            core_.servers.cold().on_unreachable(now, server.listed);
        }
    }
    if (not_run)
    {
        --delivered_attempts_;
        ++failed_connects_;
        return;
    }
    const bool current = attempt.number == attempt_.number;
    ++possible_runs_;
    (current && event_received_ ? core_.counters.broken_after_event
                                : core_.counters.broken_before_event)
        .add();
    record_attempt_outcome(attempt, answer_kind::broken);
    const bool survived = current && (survived_start() || start_recorded_);
    if (!survived && migration_.run.empty() &&
        error.code == transport::reason::connection_lost)
    {
        core_.crashes.on_broken(now, attempt.sent_at, attempt.choice.server,
                                *content_);
    }
}

/// Handles the current attempt if it ended without a complete response.
///
/// @param relay_failed As in transport::http1_call_end.
template <caller_dialect Dialect>
void request_flow<Dialect>::on_attempt_error(const transport::failure& error,
                                             bool relay_failed)
{
    constexpr std::uint32_t max_connect_failures = 4;
    constexpr milliseconds no_connection_retry_after{300};
    idle_timer_.cancel();
    // The move ends with the attempt that it was to continue.
    migration_.end();
    const bool not_run = error.ran == transport::verdict::not_run;
    record_error(attempt_, error, relay_failed);
    const auto running_before = attempt_.choice.server->running;
    release_server();
    if (not_run && !migration_.run.empty())
    {
        return on_move_refused();
    }
    const bool continued =
        standbys_.size() > 0 && !position_.numbers_went_back();
    const auto denial = continued  ? retry_denial::none
                        : !not_run ? reserve_retry()
                        : failed_connects_ < max_connect_failures
                            ? retry_denial::none
                            : retry_denial::attempts;
    const bool retry = denial == retry_denial::none;
    log_broken(attempt_, error, running_before,
               continued ? "second_attempt"
               : retry   ? "repeat"
                         : "end",
               denial);
    if (continued)
    {
        (void)continue_on_standby();
        return;
    }
    if (retry)
    {
        if (response_started_)
        {
            core_.counters.resumed.add();
        }
        return start_next_attempt();
    }
    possible_runs_ > 0
        ? fail(502, "attempt_broken")
        : refuse(503, "no_connection", no_connection_retry_after);
}

/// @param running Requests on the server before the end of the attempt.
template <caller_dialect Dialect>
void request_flow<Dialect>::log_broken(const sent_attempt& attempt,
                                       const transport::failure& error,
                                       std::uint32_t running,
                                       std::string_view next,
                                       retry_denial denial)
{
    const auto now = core_.clock.monotonic_now();
    const auto& server = *attempt.choice.server;
    const auto heard_ago =
        server.last_heard == monotonic_time{}
            ? milliseconds{-1}
            : std::chrono::duration_cast<milliseconds>(now - server.last_heard);
    const auto table = core_.table();
    transport::log_event(
        "attempt.broken",
        {{"request", terms_.attempt_id},
         {"server", server.listed.id},
         {"verdict", transport::to_string(error.ran)},
         {"error", error.text},
         {"after_event", position_.last_id()},
         {"had_event", attempt.number == attempt_.number && event_received_},
         {"prompt_parts", format_parts(terms_.size)},
         {"digest", fmt::format("{:x}", content_->digest)},
         {"relay", attempt.settings.relay},
         {"server_running", running},
         {"server_state", server_state_name(server)},
         {"heard_ago_ms", heard_ago},
         {"silent_ms", now - attempt.last_activity},
         {"document", route_table_->document().version},
         {"in_force", table ? table->document().version : 0},
         {"next", next},
         {"denied", to_string(denial)}});
}

/// Takes a retry from the budget, for an attempt that may have run.
template <caller_dialect Dialect>
retry_denial request_flow<Dialect>::reserve_retry()
{
    if (!retryable())
    {
        return retry_denial::not_retryable;
    }
    if (!position_.can_resume())
    {
        return retry_denial::position_unknown;
    }
    if (runs_on_)
    {
        return retry_denial::still_running;
    }
    if (!core_.may_attempt())
    {
        return retry_denial::shutdown;
    }
    if (possible_runs_ + standbys_.size() >= route_->max_attempts)
    {
        return retry_denial::attempts;
    }
    if (!core_.servers.has_untried(service_, tried_servers_))
    {
        return retry_denial::no_server;
    }
    return core_.repeats.take(core_.clock.monotonic_now(), service_)
               ? retry_denial::none
               : retry_denial::budget;
}

/// Records how an attempt ended while its service is rolling out a version.
template <caller_dialect Dialect>
void request_flow<Dialect>::record_attempt_outcome(const sent_attempt& attempt,
                                                   answer_kind outcome)
{
    if (!core_.versions.moves(service_))
    {
        return;
    }
    if (attempt.number == attempt_.number)
    {
        record_event_gap();
    }
    const auto& version = attempt.choice.server->listed.version;
    core_.versions.on_ended(service_, version, outcome != answer_kind::whole);
    core_.rollouts.observer.on_answer({service_,
                                       version,
                                       route_->name,
                                       attempt.load_at_start,
                                       outcome,
                                       {},
                                       {}});
}

/// Records, during a rollout, the time from the start of the attempt to now: to
/// the first event, or to a deadline that passed without one.
template <caller_dialect Dialect>
void request_flow<Dialect>::record_first_event_delay(monotonic_time now)
{
    if (attempt_active_ && core_.versions.moves(service_))
    {
        core_.rollouts.observer.on_first_token(
            service_, attempt_.choice.server->listed.version, route_->name,
            attempt_.load_at_start,
            std::chrono::duration_cast<std::chrono::microseconds>(
                now - attempt_.sent_at));
    }
}

/// @return Whether the server was still well some time after the first event of
///     the attempt: one that crashes under a prompt may send that event first.
template <caller_dialect Dialect>
bool request_flow<Dialect>::survived_start() const
{
    constexpr milliseconds crash_delay{200};
    return event_received_ &&
           core_.clock.monotonic_now() - first_event_at_ >= crash_delay;
}

template <caller_dialect Dialect>
void request_flow<Dialect>::record_survived_start()
{
    if (!std::exchange(start_recorded_, true))
    {
        core_.crashes.on_answered(core_.clock.monotonic_now(), *content_);
    }
}

/// Records, during a rollout, the mean gap between the events of an attempt:
/// once, after some events, so that a slow version is seen before its answers
/// end, or at the end of a short answer.
template <caller_dialect Dialect>
void request_flow<Dialect>::record_event_gap()
{
    if (attempt_events_ > 1 && !std::exchange(gap_recorded_, true) &&
        core_.versions.moves(service_))
    {
        core_.rollouts.observer.on_token_gap(
            service_, attempt_.choice.server->listed.version, route_->name,
            attempt_.load_at_start,
            std::chrono::duration_cast<std::chrono::microseconds>(
                (last_event_at_ - first_event_at_) / (attempt_events_ - 1)));
    }
}

template <caller_dialect Dialect>
void request_flow<Dialect>::release_server()
{
    attempt_active_ = false;
    release_slot();
}

/// Counts the attempt as ended on its server, which may be before its response
/// is known to be complete.
template <caller_dialect Dialect>
void request_flow<Dialect>::release_slot()
{
    if (std::exchange(attempt_.occupies_slot, false))
    {
        const auto time_since_first_event =
            core_.clock.monotonic_now() - first_event_at_;
        core_.servers.on_ended(
            attempt_.choice, event_received_,
            std::chrono::duration_cast<milliseconds>(time_since_first_event));
    }
}

// [stream_moves] -------------------------------------------------------------

/// A reclaimed server ends its streams, and most of these cannot be restarted.
/// A move begins only shortly before that, because streams that complete
/// earlier need none.
template <caller_dialect Dialect>
bool request_flow<Dialect>::should_move() const
{
    // Covers several of the longest event gaps that routes allow, as a move
    // begins with an event, and the copy of the largest prompt after those of
    // all other streams of the server.
    constexpr milliseconds move_window{1'000};
    constexpr std::uint32_t max_move_attempts = 3; ///< Including failed ones.
    const auto& ends_at = attempt_.choice.server->ends_at;
    if (!ends_at || migration_.in_progress() ||
        migration_.attempts >= max_move_attempts ||
        position_.last_id().empty() || !position_.can_resume())
    {
        return false;
    }
    const auto now = core_.clock.monotonic_now();
    const auto* service = route_table_->find_service(service_);
    return now < *ends_at && *ends_at - now <= move_window &&
           service != nullptr && service->engine &&
           service->engine->moves_streams;
}

template <caller_dialect Dialect>
void request_flow<Dialect>::start_move()
{
    const auto now = core_.clock.monotonic_now();
    // The run's state moves along and needs no prefill, so the target is chosen
    // by its running load only.
    const auto choice = core_.servers.choose(
        now, service_, {1, terms_.size.max_output_tokens, {}},
        {attempt_.choice.server->listed.id});
    // Another version would continue with different model weights.
    if (!choice ||
        choice->server->listed.version !=
            attempt_.choice.server->listed.version ||
        // Its permit could expire before the run is resumed.
        core_.servers.cold().is_cold(now, choice->server->listed) ||
        !core_.repeats.take(now, service_))
    {
        return;
    }
    // The resumed run is one more request to the target.
    core_.servers.permits().take(now, choice->server->listed);
    migration_.begin(attempt_.choice.server, choice->server);
    const auto& source = *migration_.source;
    const auto remaining =
        std::chrono::duration_cast<milliseconds>(*source.ends_at - now);
    migration_.call = core_.client.fetch(
        source.listed.address,
        Dialect::make_move(terms_.attempt_id, choice->server->listed.address),
        {.time_limit = remaining,
         .on_head = own_head_filter(),
         .keep_connection = false},
        // The callback owns this object, because the stream's own call may end
        // before the move does.
        [self = this->shared_from_this()](const auto& response) {
            if (!self->finished_)
            {
                self->on_move_response(response);
            }
        });
}

template <caller_dialect Dialect>
void request_flow<Dialect>::on_move_response(
    const transport::result<transport::http_response>& response)
{
    const auto& source = migration_.source->listed;
    const auto move =
        response ? Dialect::parse_move_result(source.address, response->status,
                                              response->body)
                 : move_result{};
    transport::log_event("stream.move",
                         {{"request", terms_.attempt_id},
                          {"from", source.id},
                          {"to", migration_.target->listed.id},
                          {"status", response ? response->status : 0},
                          {"error", response ? "" : response.error().text},
                          {"stopped", !move.moved_run.empty()},
                          {"copied", move.copied},
                          {"after_event", position_.last_id()}});
    if (move.moved_run.empty())
    {
        // The stream stays on its server, unless its response ended during the
        // request.
        const auto ended = migration_.on_declined(move);
        return ended ? on_attempt_end(*ended) : void();
    }
    // The last events may still be in transit; they arrive within a round trip.
    constexpr milliseconds last_events_delay{50};
    migration_.on_stopped(move);
    core_.counters.moved.add();
    if (migration_.source_end)
    {
        return resume_on(migration_.resuming_server());
    }
    idle_timer_ =
        core_.loop.after(last_events_delay, [self = this->shared_from_this()] {
            if (!self->finished_)
            {
                self->attempt_.call.cancel();
                self->resume_on(self->migration_.resuming_server());
            }
        });
}

/// Handles the end of the source server's response during a move, unless its
/// framing shows that it is complete.
template <caller_dialect Dialect>
void request_flow<Dialect>::on_moved_stream_closed(
    const transport::http1_call_end& result)
{
    migration_.source_end = result;
    if (migration_.state == stream_migration::stage::stopped)
    {
        resume_on(migration_.resuming_server());
    }
}

template <caller_dialect Dialect>
void request_flow<Dialect>::resume_on(std::shared_ptr<known_server> server)
{
    release_server();
    migration_.end();
    if (core_.servers.evacuated().contains(server->listed.failure_domain) ||
        !core_.servers.cold().may_send(core_.clock.monotonic_now(),
                                       server->listed))
    {
        // The domain was evacuated, or the server became cold, during the move.
        attempt_.choice.server = std::move(server);
        return on_move_refused();
    }
    placement_choice choice;
    choice.server = std::move(server);
    choice.prompt_tokens = terms_.size.prompt_tokens;
    start_attempt(choice);
}

/// Handles a server that did not resume the moved run. If that was the target,
/// the source still has the run and some time left, and is asked to resume it.
template <caller_dialect Dialect>
void request_flow<Dialect>::on_move_refused()
{
    if (auto source = migration_.on_not_resumed(attempt_.choice.server))
    {
        return resume_on(std::move(source));
    }
    if (continue_on_standby())
    {
        return;
    }
    if (reserve_retry() == retry_denial::none)
    {
        return start_next_attempt();
    }
    fail(502, "move_refused");
}

// [responses] ----------------------------------------------------------------

template <caller_dialect Dialect>
void request_flow<Dialect>::relay_events()
{
    while (auto event = event_splitter_.next_event())
    {
        if (!position_.accept(*event))
        {
            continue;
        }
        // Only complete events count as activity: a stalled server may still
        // send single bytes.
        attempt_.last_activity = core_.clock.monotonic_now();
        attempt_.choice.server->last_heard = attempt_.last_activity;
        cancel_standbys();
        on_first_event();
        core_.servers.on_event(attempt_.last_activity, attempt_.choice);
        if (response_started_)
        {
            max_event_gap_ = std::max(
                max_event_gap_, std::chrono::duration_cast<milliseconds>(
                                    attempt_.last_activity - last_event_at_));
        }
        else
        {
            response_started_ = true;
            time_to_response_ = elapsed_time();
            exchange_.begin(attempt_.head.status,
                            Dialect::caller_headers(attempt_.head.headers));
        }
        last_event_at_ = attempt_.last_activity;
        if (survived_start())
        {
            record_survived_start();
        }
        constexpr std::uint32_t events_for_gap = 9;
        if (++attempt_events_ == events_for_gap)
        {
            record_event_gap();
        }
        exchange_.write(*event);
        if (finished_)
        {
            return;
        }
        if (should_move())
        {
            start_move();
        }
    }
}

template <caller_dialect Dialect>
void request_flow<Dialect>::on_first_event()
{
    if (std::exchange(event_received_, true))
    {
        return;
    }
    // A response that ended with its connection waits for a confirmation.
    const auto now =
        attempt_.occupies_slot ? core_.clock.monotonic_now() : ended_at_;
    record_first_event_delay(now);
    first_event_at_ = now;
    time_to_first_event_ =
        std::chrono::duration_cast<milliseconds>(now - attempt_.sent_at);
    if (migration_.run.empty() && attempt_.occupies_slot)
    {
        core_.servers.on_first_event(attempt_.choice, time_to_first_event_);
        core_.counters.prediction_error.add(
            std::chrono::abs(time_to_first_event_ - attempt_.choice.predicted));
    }
    if (!std::exchange(usage_counted_, true))
    {
        core_.count_usage(organisation_, is_stream() ? now : attempt_.sent_at);
        core_.counters.first_event.add(now - exchange_.received_at());
    }
}

/// Completes the response to the caller from the server's complete response.
template <caller_dialect Dialect>
void request_flow<Dialect>::finish_response()
{
    constexpr int first_error_status = 300;
    const bool streamed =
        is_stream() && attempt_.head.status < first_error_status;
    if (streamed)
    {
        if (!response_started_)
        {
            response_started_ = true;
            exchange_.begin(attempt_.head.status,
                            Dialect::caller_headers(attempt_.head.headers));
        }
        exchange_.write(event_splitter_.remainder());
        exchange_.finish();
    }
    else
    {
        exchange_.send({attempt_.head.status,
                        Dialect::caller_headers(attempt_.head.headers),
                        std::move(response_body_)});
    }
    if (time_to_response_.count() < 0)
    {
        time_to_response_ = elapsed_time();
    }
    const bool success = attempt_.head.status < first_error_status;
    (success ? core_.counters.served : core_.counters.forwarded_errors).add();
    core_.counters.whole_answer.add(core_.clock.monotonic_now() -
                                    exchange_.received_at());
    if (success)
    {
        core_.servers.on_served(
            attempt_.choice, terms_.size,
            {time_to_first_event_, max_event_gap_, elapsed_time()},
            delivered_attempts_ == 1);
        if (is_stream())
        {
            core_.work.on_ended(service_, latency_outcome() != "in_time");
        }
    }
    finish(success ? "served" : "passed_failure", attempt_.head.status);
}

// [completion] ---------------------------------------------------------------

/// Ends a request that has not run and will not run. Once the response has
/// started, the request fails instead.
template <caller_dialect Dialect>
void request_flow<Dialect>::refuse(int status, std::string_view reason,
                                   milliseconds retry_after)
{
    constexpr double ms_per_s = 1'000;
    if (response_started_)
    {
        return fail(502, reason);
    }
    transport::http_response response;
    response.status = status;
    response.headers = {{"Content-Type", "text/plain"}};
    if (retry_after.count() > 0)
    {
        response.headers.push_back(
            {"Retry-After",
             fmt::format("{:.3f}",
                         static_cast<double>(retry_after.count()) / ms_per_s)});
    }
    response.body = fmt::format("not_run: {}\n", reason);
    if (quota_tokens_ > 0)
    {
        core_.quota.refund(organisation_, quota_tokens_);
    }
    core_.counters.refused.add();
    exchange_.send(response);
    finish(reason, status);
}

/// Ends a request that was not run because the service's servers lack room.
template <caller_dialect Dialect>
void request_flow<Dialect>::refuse_for_room(std::string_view reason,
                                            milliseconds retry_after)
{
    core_.ranks.on_late(core_.clock.monotonic_now(), service_, rank_);
    core_.work.on_ended(service_, true);
    refuse(503, reason, retry_after);
}

/// Ends a request that may have run.
template <caller_dialect Dialect>
void request_flow<Dialect>::fail(int status, std::string_view reason)
{
    if (!std::exchange(usage_counted_, true))
    {
        core_.count_usage(organisation_, attempt_.sent_at);
    }
    core_.counters.failed.add();
    if (response_started_)
    {
        exchange_.abort();
    }
    else
    {
        exchange_.send({status,
                        {{"Content-Type", "text/plain"}},
                        fmt::format("may_have_run: {}\n", reason)});
    }
    finish(reason, response_started_ ? 0 : status);
}

template <caller_dialect Dialect>
void request_flow<Dialect>::on_deadline()
{
    if (!finished_ && !event_received_)
    {
        record_first_event_delay(core_.clock.monotonic_now());
    }
    end_unanswered("deadline_passed", milliseconds{0});
}

/// Ends a request that has no complete response at a limit of its time.
template <caller_dialect Dialect>
void request_flow<Dialect>::end_unanswered(std::string_view reason,
                                           milliseconds retry_after)
{
    if (finished_)
    {
        return;
    }
    const bool may_have_run = attempt_active_ || possible_runs_ > 0;
    attempt_.call.cancel();
    release_server();
    may_have_run ? fail(504, reason) : refuse(503, reason, retry_after);
}

template <caller_dialect Dialect>
void request_flow<Dialect>::on_caller_disconnected()
{
    if (finished_)
    {
        return;
    }
    core_.counters.left.add();
    attempt_.call.cancel();
    release_server();
    finish("caller_left", 0);
}

template <caller_dialect Dialect>
void request_flow<Dialect>::finish(std::string_view outcome, int status)
{
    finished_ = true;
    cancel_standbys();
    core_.remove_request(registration_);
    deadline_timer_.cancel();
    idle_timer_.cancel();
    migration_.reset();
    liveness_call_.cancel();
    transport::log_event(
        "request.ended",
        {{"request", terms_.attempt_id},
         {"outcome", outcome},
         {"status", status},
         {"route", route_ == nullptr ? std::string_view{} : route_->name},
         {"organisation", organisation_},
         {"document", route_table_ ? route_table_->document().version : 0},
         {"server",
          attempt_.choice.server ? attempt_.choice.server->listed.id : ""},
         {"relay", attempt_.settings.relay},
         {"predicted_ms", attempt_.choice.predicted},
         {"first_event_ms", time_to_first_event_},
         {"sent_after_ms", time_to_first_attempt_},
         {"largest_gap_ms", max_event_gap_},
         {"timing", latency_outcome()},
         {"orders_age_ms", core_.control_age()},
         {"arrivals", delivered_attempts_},
         {"moves", migration_.attempts},
         {"took_ms", elapsed_time()}});
}

} // namespace hyssopdeal::coordination

#endif
