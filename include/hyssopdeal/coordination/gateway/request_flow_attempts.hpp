#ifndef HYSSOPDEAL_COORDINATION_GATEWAY_REQUEST_FLOW_ATTEMPTS_HPP
#define HYSSOPDEAL_COORDINATION_GATEWAY_REQUEST_FLOW_ATTEMPTS_HPP

/// @file
/// How request_flow sends a request to servers, and what it does while a server
/// is silent. Included by request_flow.hpp only.
///
/// Index: [attempts]

#include <hyssopdeal/coordination/gateway/request_flow.hpp>

namespace hyssopdeal::coordination
{

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
    try_standby();
    arm_idle_timer();
}

template <caller_dialect Dialect>
void request_flow<Dialect>::try_standby()
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
    if (!core_.may_attempt() || remaining_time() < min_attempt_time)
    {
        return retry_denial::shutdown;
    }
    if (core_.crashes.quarantine_of(now, *content_))
    {
        return retry_denial::quarantined;
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
    const auto choice = failed_connects_ < max_connect_failures
                            ? select_server()
                            : std::nullopt;
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
    count_broken(attempt_);
    log_broken(attempt_,
               {transport::verdict::may_have_run, transport::reason::timed_out,
                "Another server responded after the idle timeout."},
               attempt_.choice.server->running, "replaced", retry_denial::none);
    release_server();
    continue_with(std::move(standby));
}

/// Continues with an attempt beside the current one, which has ended.
///
/// @return Whether there is one.
template <caller_dialect Dialect>
bool request_flow<Dialect>::continue_on_standby()
{
    auto standby = standbys_.take_unanswered();
    if (!standby)
    {
        return false;
    }
    continue_with(std::move(*standby));
    return true;
}

/// Makes an attempt beside the current one, which has ended, the current one.
template <caller_dialect Dialect>
void request_flow<Dialect>::continue_with(sent_attempt standby)
{
    if (response_started_)
    {
        core_.counters.resumed.add();
    }
    migration_.reset();
    make_current(std::move(standby));
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
    // Its server is known to be no help, another one may be.
    if (attempt_active_ && attempt_.occupies_slot)
    {
        try_standby();
    }
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

} // namespace hyssopdeal::coordination

#endif
