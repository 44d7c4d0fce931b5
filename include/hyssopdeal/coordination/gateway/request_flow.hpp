#ifndef HYSSOPDEAL_COORDINATION_GATEWAY_REQUEST_FLOW_HPP
#define HYSSOPDEAL_COORDINATION_GATEWAY_REQUEST_FLOW_HPP

/// @file
/// Handles one caller's request from its arrival to the end of its response:
/// admission, attempts on servers, retries where allowed, and the relay of the
/// response.
///
/// Index: [request_flow] [admission] [stream_moves] [responses] [completion];
///     [attempts] in request_flow_attempts.hpp, [attempt_ends] in
///     request_flow_ends.hpp
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
    static constexpr std::uint32_t max_connect_failures = 4;
    /// A server cannot complete a request in less time.
    static constexpr milliseconds min_attempt_time{20};
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
    void try_standby();
    [[nodiscard]] retry_denial start_standby();
    void replace_current(std::uint64_t number);
    [[nodiscard]] bool continue_on_standby();
    void continue_with(sent_attempt standby);
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
    void count_broken(const sent_attempt& attempt);
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
    // A second attempt that has not ended may have run.
    if (response_started_ || standbys_.size() > 0)
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

// The definitions of the sections [attempts] and [attempt_ends].
#include <hyssopdeal/coordination/gateway/request_flow_attempts.hpp>
#include <hyssopdeal/coordination/gateway/request_flow_ends.hpp>

#endif
