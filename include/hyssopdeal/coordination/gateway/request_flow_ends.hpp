#ifndef HYSSOPDEAL_COORDINATION_GATEWAY_REQUEST_FLOW_ENDS_HPP
#define HYSSOPDEAL_COORDINATION_GATEWAY_REQUEST_FLOW_ENDS_HPP

/// @file
/// How request_flow judges the end of an attempt, and whether another one
/// follows. Included by request_flow.hpp only.
///
/// Index: [attempt_ends]

#include <hyssopdeal/coordination/gateway/request_flow.hpp>

namespace hyssopdeal::coordination
{

// [attempt_ends] --------------------------------------------------------------

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
    if ((!relayable && standbys_.any_unanswered()) ||
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
        standbys_.any_unanswered() || core_.repeats.take(now, service_);
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

/// Counts an attempt that may have run and has no complete response.
template <caller_dialect Dialect>
void request_flow<Dialect>::count_broken(const sent_attempt& attempt)
{
    const bool had_event = attempt.number == attempt_.number && event_received_;
    ++possible_runs_;
    (had_event ? core_.counters.broken_after_event
               : core_.counters.broken_before_event)
        .add();
    record_attempt_outcome(attempt, answer_kind::broken);
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
    count_broken(attempt);
    const bool current = attempt.number == attempt_.number;
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
        standbys_.any_unanswered() && !position_.numbers_went_back();
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

} // namespace hyssopdeal::coordination

#endif
