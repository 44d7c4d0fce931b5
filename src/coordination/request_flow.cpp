#include "request_flow.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "attempt.hpp"
#include "entry_answers.hpp"
#include "entry_shard.hpp"
#include "stream_session.hpp"

namespace hyssopdeal::coordination
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using transport::failure;
using transport::reason;
using transport::verdict;

namespace
{

constexpr double bytes_per_token = 4;
constexpr double default_output_tokens = 256;
constexpr int first_server_error = 500;
constexpr milliseconds default_retry_after{1'000};

milliseconds remaining_time(transport::monotonic_time deadline,
                            transport::monotonic_time now)
{
    return std::max(duration_cast<milliseconds>(deadline - now),
                    milliseconds{0});
}

double reserved_tokens(const accepted_request& request)
{
    if (request.kind != protocol::service_kind::model)
    {
        return 0;
    }
    const double output = request.chat.max_tokens > 0
                              ? static_cast<double>(request.chat.max_tokens)
                              : default_output_tokens;
    return static_cast<double>(request.chat.prompt.size()) / bytes_per_token +
           output;
}

bool is_streamed(const accepted_request& request)
{
    return request.kind == protocol::service_kind::model &&
           request.chat.mode == protocol::answer_mode::streamed;
}

} // namespace

transport::http_request request_for_server(const accepted_request& request,
                                           transport::monotonic_time now)
{
    transport::http_request outgoing;
    outgoing.method = request.http.method;
    outgoing.target = request.server_target;
    outgoing.headers = headers_to_server(request.http.headers);
    outgoing.headers.push_back({"Hyssopdeal-Route", request.route.name});
    outgoing.headers.push_back(
        {"Hyssopdeal-Priority",
         std::to_string(static_cast<int>(request.route.priority))});
    outgoing.headers.push_back(
        {"X-Request-Deadline-Ms",
         std::to_string(remaining_time(request.deadline, now).count())});
    outgoing.headers.push_back(
        {"traceparent", protocol::to_traceparent(request.trace)});
    return outgoing;
}

transport::http_call_settings limits_for_server(const accepted_request& request,
                                                const entry_shard& shard)
{
    transport::http_call_settings limits;
    limits.connect_time_limit = shard.shared.settings.connect_time_limit;
    limits.total_time_limit = std::max(
        remaining_time(request.deadline, shard.now()), milliseconds{1});
    limits.max_body_bytes = shard.shared.settings.max_answer_bytes;
    if (request.route.repeats == protocol::repeatability::at_most_once)
    {
        limits.connection = transport::connection_choice::fresh;
    }
    return limits;
}

request_flow::request_flow(entry_shard& shard, accepted_request request,
                           transport::http_responder responder)
    : shard_(shard),
      request_(std::move(request)),
      responder_(std::move(responder))
{}

request_flow::~request_flow() = default;

service_lane* request_flow::find_lane()
{
    return shard_.find_lane(request_.service);
}

void request_flow::start()
{
    shard_.versions.on_offered(request_.service, request_.route.priority);
    if (requires_claim() && request_.idempotency_key.empty())
    {
        refuse({verdict::not_run, reason::bad_request,
                "This route needs an Idempotency-Key."},
               default_retry_after);
        return;
    }
    limit_request request;
    request.tokens = reserved_tokens(request_);
    request.streams = is_streamed(request_) ? 1 : 0;
    request.priority = request_.route.priority;
    auto admitted =
        shard_.limits.admit(shard_.now(), request_.organisation, request);
    if (!admitted)
    {
        refuse(admitted.error().error, admitted.error().retry_after);
        return;
    }
    request_.route.priority = admitted->priority;
    shard_.copies.consider(request_);
    shard_.retries.on_request(shard_.now(), request_.organisation,
                              request_.service, request_.retry_ratio);
    if (is_streamed(request_))
    {
        shard_.streams.open(shard_, std::move(request_), std::move(*admitted),
                            responder_);
        return;
    }
    permit_ = std::move(*admitted);
    ++shard_.open_calls;
    begin_attempt();
}

// A claim permits one dispatch: each further attempt needs a new one.
// FIXME: retries in on_failure() call choose() and dispatch without a claim.
void request_flow::begin_attempt()
{
    requires_claim() ? claim() : choose();
}

void request_flow::choose()
{
    span_started_ = shard_.now();
    auto* const lane = find_lane();
    if (lane == nullptr)
    {
        release_claim();
        refuse({verdict_, reason::no_backend_server, "The service is gone."},
               default_retry_after);
        return;
    }
    lane_request request;
    request.route.prompt = request_.chat.prompt;
    request.route.max_new_tokens = request_.chat.max_tokens;
    request.route.priority = request_.route.priority;
    request.route.avoid = failed_servers_;
    request.deadline = request_.deadline;
    request.on_outcome = [self = shared_from_this()](lane_outcome outcome) {
        self->on_server_choice(std::move(outcome));
    };
    lane->enter(std::move(request));
}

void request_flow::on_server_choice(lane_outcome outcome)
{
    shard_.record_span("queue", request_, span_started_, {});
    if (!outcome.choice)
    {
        release_claim();
        auto error = outcome.choice.error();
        error.ran = std::max(error.ran, verdict_);
        refuse(error, outcome.retry_after);
        return;
    }
    choice_ = std::move(*outcome.choice);
    dispatch();
}

void request_flow::dispatch()
{
    if (claim_ && !shard_.ledger->may_dispatch(*claim_))
    {
        find_lane()->on_refused(*choice_);
        release_claim();
        refuse({verdict::not_run, reason::overloaded,
                "The call waited longer than its claim holds."},
               default_retry_after);
        return;
    }
    ++attempts_;
    shard_.metrics.attempts.add();
    span_started_ = shard_.now();
    watched_attempt_ = shard_.versions.begin(shard_.now(), request_.service,
                                             request_.route.name, *choice_);
    auto outgoing = request_for_server(request_, shard_.now());
    if (request_.kind == protocol::service_kind::model)
    {
        outgoing.headers.push_back(
            {"Hyssopdeal-Attempt", to_string(shard_.next_id())});
    }
    auto limits = limits_for_server(request_, shard_);
    limits.body = request_.body;
    // Bodies of any form: the head of a refusal is all that proves itself.
    limits.proves_end = [](const auto& response) {
        return is_refusal(response.status, response.headers);
    };
    call_ = shard_.client.fetch(choice_->address, outgoing, limits,
                                [self = shared_from_this()](auto answer) {
                                    self->on_answer(std::move(answer));
                                });
}

void request_flow::on_answer(
    transport::result<transport::http_response> response)
{
    auto choice = std::move(*choice_);
    choice_.reset();
    shard_.record_span("attempt", request_, span_started_,
                       {{"server", choice.server}});
    auto* const lane = find_lane();
    if (!response)
    {
        record_version_failure(choice.server, response.error());
        lane->on_ended(choice, attempt_outcome::failed, 0);
        failed_servers_.push_back(choice.server);
        on_failure(response.error());
        return;
    }
    if (is_refusal(response->status, response->headers))
    {
        lane->on_refused(choice);
        failed_servers_.push_back(choice.server);
        on_failure({verdict::not_run, reason::overloaded,
                    "The backend server refused the request."});
        return;
    }
    const bool failed = response->status >= first_server_error;
    shard_.versions.on_first_token(shard_.now(), watched_attempt_);
    shard_.versions.on_ended(shard_.now(), watched_attempt_,
                             failed ? answer_kind::failed : answer_kind::whole,
                             0);
    lane->on_first_token(choice);
    lane->on_ended(
        choice, failed ? attempt_outcome::failed : attempt_outcome::succeeded,
        0);
    response->headers = headers_to_caller(response->headers);
    finish_claim(*response);
    response->headers.push_back({"Hyssopdeal-Verdict", "ran"});
    answer(std::move(*response));
}

// A server that was not reached or is shutting down says nothing about the
// quality of its version, so the attempt is not counted.
void request_flow::record_version_failure(std::string_view server,
                                          const failure& error)
{
    if (error.ran == verdict::not_run || shard_.is_leaving(server))
    {
        version_watch::forget(watched_attempt_);
    }
    shard_.versions.on_ended(shard_.now(), watched_attempt_, kind_of(error), 0);
}

void request_flow::on_failure(const failure& error)
{
    error.ran == verdict::not_run ? release_claim() : abandon_claim();
    verdict_ = std::max(verdict_, error.ran);
    const auto decision = shard_.decide_retry(request_, error, attempts_);
    if (decision.outcome != retry_outcome::retry)
    {
        auto final_error = error;
        final_error.ran = verdict_;
        refuse(final_error, default_retry_after);
        return;
    }
    retry_timer_ = shard_.loop.after(
        decision.delay, [self = shared_from_this()] { self->choose(); });
}

void request_flow::refuse(const failure& error, milliseconds retry_after)
{
    shard_.metrics.count(error);
    answer(failure_answer(error, retry_after));
}

void request_flow::answer(transport::http_response response)
{
    if (permit_)
    {
        shard_.metrics.whole_answer.add(shard_.now() - request_.arrived);
        shard_.record_entry_span(request_, response.status < first_server_error
                                               ? protocol::span_status::ok
                                               : protocol::span_status::error);
        --shard_.open_calls;
        shard_.limits.settle(shard_.now(), *permit_, permit_->reserved_tokens);
        permit_.reset();
    }
    responder_.send(std::move(response));
}

} // namespace hyssopdeal::coordination
