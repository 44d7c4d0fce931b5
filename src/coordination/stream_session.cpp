#include "stream_session.hpp"

#include <algorithm>
#include <utility>
#include <variant>

#include <fmt/format.h>

#include <hyssopdeal/transport/logging.hpp>

#include "entry_answers.hpp"
#include "entry_shard.hpp"
#include "stream_exchange.hpp"

namespace hyssopdeal::coordination
{

using std::chrono::milliseconds;
using transport::failure;
using transport::log_info;
using transport::log_part;
using transport::reason;
using transport::verdict;
using transport::write_status;

namespace
{

constexpr milliseconds delivered_retention{5'000};
constexpr milliseconds first_pause{20};
constexpr milliseconds longest_pause{1'000};
constexpr std::uint32_t most_doublings = 6;
constexpr std::string_view keep_alive_comment = ": \n\n";
constexpr int first_server_error = 500;

// An event's data may hold line feeds; each line gets a field of its own.
void append_event(std::string& bytes, const stream_event& event)
{
    fmt::format_to(std::back_inserter(bytes), "id: {}\ndata: ", event.number);
    std::string_view data = event.data;
    for (auto end = data.find('\n'); end != std::string_view::npos;
         end = data.find('\n'))
    {
        bytes += data.substr(0, end);
        bytes += "\ndata: ";
        data.remove_prefix(end + 1);
    }
    bytes += data;
    bytes += "\n\n";
}

} // namespace

stream_session::stream_session(entry_shard& shard, std::string id,
                               accepted_request request, permit admitted,
                               transport::http_responder responder)
    : shard_(shard),
      id_(std::move(id)),
      request_(std::move(request)),
      permit_(std::move(admitted)),
      responder_(std::move(responder)),
      owner_(owner_name(shard))
{}

stream_session::~stream_session() = default;

const std::string& stream_session::id() const noexcept
{
    return id_;
}

const accepted_request& stream_session::request() const noexcept
{
    return request_;
}

const stream_record* stream_session::record() const noexcept
{
    return record_ ? &*record_ : nullptr;
}

bool stream_session::is_open() const noexcept
{
    return !closed_;
}

void stream_session::start()
{
    choose();
}

// [attempts] -----------------------------------------------------------------

void stream_session::choose()
{
    queue_entered_ = shard_.now();
    auto* const to = shard_.find_lane(request_.service);
    if (closed_ || to == nullptr)
    {
        fail({verdict::not_run, reason::no_backend_server,
              "The service is gone."},
             first_pause);
        return;
    }
    lane_request wanted;
    wanted.route.prompt = request_.chat.prompt;
    wanted.route.max_new_tokens = request_.chat.max_tokens;
    wanted.route.priority = request_.route.priority;
    wanted.route.avoid = failed_servers_;
    if (record_)
    {
        wanted.route.version = record_->origin().version;
    }
    wanted.deadline = request_.deadline;
    wanted.on_outcome = [self = shared_from_this()](lane_outcome outcome) {
        self->on_outcome(std::move(outcome));
    };
    to->enter(std::move(wanted));
}

void stream_session::on_outcome(lane_outcome outcome)
{
    shard_.record_span("queue", request_, queue_entered_, {{"stream", id_}});
    if (closed_)
    {
        if (outcome.choice)
        {
            choice_ = std::move(*outcome.choice);
            end_choice(attempt_outcome::succeeded);
        }
        return;
    }
    if (!outcome.choice)
    {
        begun_ ? retry_later(outcome.choice.error())
               : fail(outcome.choice.error(), outcome.retry_after);
        return;
    }
    choice_ = std::move(*outcome.choice);
    server_address_ = choice_->address;
    if (!record_)
    {
        stream_origin origin;
        origin.stream = id_;
        origin.organisation = request_.organisation;
        origin.service = request_.service;
        origin.version = choice_->version;
        origin.target = request_.http.target;
        origin.body = *request_.body;
        origin.priority = request_.route.priority;
        origin.prompt_tokens = choice_->prompt_tokens;
        origin.max_new_tokens = request_.chat.max_tokens;
        record_.emplace(shard_.now(), std::move(origin), shard_.next_id(), 1,
                        record_settings());
        launch();
        choose_holder();
        return;
    }
    launch();
    pump();
}

transport::result<std::shared_ptr<const std::string>>
stream_session::body_for_attempt() const
{
    if (text_events_ == 0)
    {
        return request_.body;
    }
    const auto text = record_->text();
    protocol::chat_progress progress;
    progress.text = text;
    progress.tokens = static_cast<std::uint32_t>(text_events_);
    auto body = protocol::continue_chat(*request_.body, progress);
    if (!body)
    {
        return tl::unexpected(body.error());
    }
    return std::make_shared<const std::string>(std::move(*body));
}

void stream_session::launch()
{
    auto body = body_for_attempt();
    if (!body)
    {
        fail(body.error(), first_pause);
        return;
    }
    attempt_order order;
    order.address = server_address_;
    order.request = request_for_server(request_, shard_.now());
    order.limits.body = std::move(*body);
    order.request.headers.push_back(
        {"Hyssopdeal-Attempt", to_string(record_->attempt())});
    order.attempt = record_->attempt();
    reattached_ = false;
    if (choice_)
    {
        watched_ = shard_.versions.begin(shard_.now(), request_.service,
                                         request_.route.name, *choice_);
        watched_tokens_ = 0;
    }
    run(std::move(order));
}

void stream_session::reattach(const resume_stream& order)
{
    attempt_order again;
    again.address = server_address_;
    again.request.target =
        fmt::format("/v1/attempts/{}?from={}", to_string(order.attempt),
                    order.from_sequence);
    again.request.headers = {
        {"traceparent", protocol::to_traceparent(request_.trace)}};
    again.attempt = order.attempt;
    again.first_sequence = order.from_sequence;
    reattached_ = true;
    run(std::move(again));
}

void stream_session::run(attempt_order order)
{
    ++attempts_;
    ++fruitless_;
    shard_.metrics.attempts.add();
    attempt_started_ = shard_.now();
    paused_ = false;
    auto limits = limits_for_server(request_, shard_);
    limits.body = std::move(order.limits.body);
    order.limits = std::move(limits);
    const std::weak_ptr<stream_session> weak = weak_from_this();
    engine_attempt::handlers called;
    called.on_event = [weak](engine_event event) {
        if (const auto self = weak.lock())
        {
            self->on_event(std::move(event));
        }
    };
    called.on_read_done = [weak] {
        if (const auto self = weak.lock())
        {
            self->pump();
        }
    };
    called.on_end = [weak](const attempt_end& end) {
        if (const auto self = weak.lock())
        {
            self->on_end(end);
        }
    };
    record_->on_attempt_started(shard_.now(), order.attempt);
    attempt_ = std::make_unique<engine_attempt>(shard_.client, order,
                                                std::move(called));
}

void stream_session::on_event(engine_event event)
{
    const auto kind = event.kind;
    if (record_->on_engine_event(shard_.now(), std::move(event)) !=
        event_outcome::accepted)
    {
        return;
    }
    fruitless_ = 0;
    ++output_tokens_;
    watch_event(kind);
    if (!first_token_seen_ && choice_)
    {
        first_token_seen_ = true;
        shard_.find_lane(request_.service)->on_first_token(*choice_);
    }
    if (kind == stream_event_kind::done)
    {
        end_choice(attempt_outcome::succeeded);
    }
}

void stream_session::watch_event(stream_event_kind kind)
{
    if (kind == stream_event_kind::text)
    {
        ++watched_tokens_;
        shard_.versions.on_first_token(shard_.now(), watched_);
    }
    if (kind == stream_event_kind::done)
    {
        const bool empty = watched_tokens_ == 0 && text_events_ == 0;
        shard_.versions.on_ended(
            shard_.now(), watched_,
            empty ? answer_kind::empty : answer_kind::whole, watched_tokens_);
    }
}

/// A server that refused, or that is leaving, tells nothing of its version.
void stream_session::watch_loss(const failure& error)
{
    const bool left = choice_ && shard_.is_leaving(choice_->server);
    if (error.ran == verdict::not_run || left)
    {
        version_watch::forget(watched_);
    }
    shard_.versions.on_ended(shard_.now(), watched_, kind_of(error),
                             watched_tokens_);
}

void stream_session::end_attempt()
{
    if (!attempt_)
    {
        return;
    }
    shard_.record_span("attempt", request_, attempt_started_,
                       {{"stream", id_}, {"server", server_address_}});
    attempt_.reset();
}

void stream_session::on_end(const attempt_end& end)
{
    end_attempt();
    if (closed_ || record_->phase() != stream_phase::running)
    {
        return;
    }
    switch (end.what)
    {
    case attempt_end::kind::stream:
        lose_engine({verdict::may_have_run, reason::broken_answer,
                     "The answer ended without its end mark."});
        break;
    case attempt_end::kind::refused:
        lose_engine({verdict::not_run, reason::overloaded,
                     "The backend server refused the request."});
        break;
    case attempt_end::kind::answer:
        on_answer(end.answer);
        break;
    case attempt_end::kind::fault:
        lose_engine(end.error);
        break;
    }
    pump();
}

// No stream came. An error that the request itself causes is passed on.
void stream_session::on_answer(const transport::http_response& answer)
{
    const bool servers_fault =
        answer.status >= first_server_error || answer.status < 400;
    if (servers_fault || reattached_ || begun_)
    {
        lose_engine(
            {verdict::may_have_run, reason::broken_answer,
             fmt::format("The backend server answered {}.", answer.status)});
        return;
    }
    version_watch::forget(watched_);
    end_choice(attempt_outcome::succeeded);
    auto passed = answer;
    passed.headers = headers_to_caller(answer.headers);
    passed.headers.push_back({"Hyssopdeal-Verdict", "ran"});
    responder_->send(std::move(passed));
    close(milliseconds{0});
}

void stream_session::lose_engine(const failure& error)
{
    watch_loss(error);
    log_info(log_part::stream, "Lost an engine. stream={} server={} reason={}",
             id_, server_address_, to_string(error.code));
    if (record_->events().empty())
    {
        if (error.ran == verdict::not_run && error.code == reason::overloaded &&
            choice_)
        {
            failed_servers_.push_back(choice_->server);
            shard_.find_lane(request_.service)->on_refused(*choice_);
            choice_.reset();
        }
        retry_first(error);
        return;
    }
    if (fruitless_ > 0)
    {
        retry_later(error);
        return;
    }
    engine_loss loss;
    loss.why = engine_loss::cause::connection_lost;
    record_->on_engine_loss(shard_.now(), loss, shard_.next_id());
}

// Nothing came yet: the request as a whole is tried again, if it may be.
void stream_session::retry_first(const failure& error)
{
    const auto next = shard_.decide_retry(request_, error, attempts_);
    if (next.outcome != retry_outcome::retry)
    {
        end_choice(attempt_outcome::failed);
        fail(error, longest_pause);
        return;
    }
    retry_timer_ = shard_.loop.after(next.delay, [self = shared_from_this()] {
        engine_loss loss;
        loss.why = engine_loss::cause::engine_gone;
        self->record_->on_engine_loss(self->shard_.now(), loss,
                                      self->shard_.next_id());
        self->pump();
    });
}

// The stream has begun and must go on: wait a little longer each time.
void stream_session::retry_later(const failure& error)
{
    if (shard_.now() >= request_.deadline)
    {
        record_->on_given_up(shard_.now(), error);
        pump();
        return;
    }
    const auto doublings = std::min(fruitless_, most_doublings);
    const auto pause = std::min(first_pause * (1U << doublings), longest_pause);
    retry_timer_ = shard_.loop.after(pause, [self = shared_from_this()] {
        if (self->choice_ || self->reattached_)
        {
            self->record_->on_resume_failed(self->shard_.now(),
                                            self->shard_.next_id());
            self->pump();
            return;
        }
        self->failed_servers_.clear();
        self->choose();
    });
}

void stream_session::end_choice(attempt_outcome outcome)
{
    if (!choice_)
    {
        return;
    }
    if (outcome == attempt_outcome::failed)
    {
        failed_servers_.push_back(choice_->server);
    }
    const auto choice = std::move(*choice_);
    choice_.reset();
    if (auto* const lane = shard_.find_lane(request_.service))
    {
        lane->on_ended(choice, outcome, output_tokens_);
    }
}

// [orders of the record] -----------------------------------------------------

void stream_session::pump()
{
    if (!record_ || std::exchange(pumping_, true))
    {
        return;
    }
    const auto keep = shared_from_this();
    for (auto actions = record_->take_actions(); !actions.empty();
         actions = record_->take_actions())
    {
        for (const auto& action : actions)
        {
            std::visit([this](const auto& order) { perform(order); }, action);
        }
    }
    pumping_ = false;
    set_timer();
}

void stream_session::perform(const deliver_events& order)
{
    if (!responder_)
    {
        return;
    }
    begin_answer();
    shard_.metrics.events.add(order.to - order.from + 1);
    std::string bytes;
    const auto& events = record_->events();
    for (auto number = order.from; number <= order.to; ++number)
    {
        append_event(bytes, events[number - 1]);
    }
    write(std::move(bytes));
}

void stream_session::perform(const resume_stream& order)
{
    shard_.metrics.resumes.add();
    shard_.metrics.recomputed_tokens.add(
        static_cast<std::uint64_t>(order.recomputed_tokens));
    shard_.record_span("resume", request_, shard_.now(),
                       {{"stream", id_}, {"server", server_address_}});
    end_attempt();
    if (order.way == resume_way::resume_on_engine)
    {
        reattach(order);
        return;
    }
    end_choice(attempt_outcome::failed);
    first_token_seen_ = false;
    reattached_ = false;
    text_events_ = order.text_events;
    choose();
}

void stream_session::perform(const cancel_attempt& order)
{
    end_attempt();
    end_choice(attempt_outcome::succeeded);
    if (holder_.empty())
    {
        delete_attempt(order.attempt);
        return;
    }
    // A newer owner may go on with the same attempt.
    ask_about_stream(shard_, holder_, question(stream_question_kind::find),
                     [self = shared_from_this(),
                      attempt = order.attempt](const auto& answer) {
                         if (!answer ||
                             answer->done.epoch <= self->record_->epoch())
                         {
                             self->delete_attempt(attempt);
                         }
                     });
}

void stream_session::delete_attempt(attempt_id attempt)
{
    transport::http_request request;
    request.method = "DELETE";
    request.target = "/v1/attempts/" + to_string(attempt);
    auto call = std::make_shared<transport::http_call>();
    *call = shard_.client.fetch(server_address_, request,
                                limits_for_server(request_, shard_),
                                [call](const auto&) {});
}

void stream_session::perform(const stream_finished& /*order*/)
{
    if (responder_)
    {
        responder_->end_stream();
    }
    close_copy();
    shard_.metrics.streams_finished.add();
    close(delivered_retention);
}

void stream_session::perform(const stream_handed_over& /*order*/)
{
    if (responder_)
    {
        responder_->abort_stream();
    }
    close(milliseconds{0});
}

void stream_session::perform(const stream_failed& order)
{
    fail(order.error, longest_pause);
}

// [the caller] ---------------------------------------------------------------

bool stream_session::resume(std::string_view organisation,
                            std::uint64_t last_event,
                            const transport::http_responder& responder)
{
    auto answer = responder;
    if (!record_ || organisation != request_.organisation)
    {
        answer.send(failure_answer(
            {verdict::not_run, reason::not_found, "No such stream is known."}));
        return true;
    }
    const auto taken =
        record_->on_caller(shard_.now(), organisation, last_event);
    if (!taken)
    {
        // Only a newer owner can have sent more than this one.
        record_->on_newer_epoch(shard_.now(), record_->epoch() + 1);
        pump();
        return false;
    }
    if (auto former = std::exchange(responder_, std::move(answer)))
    {
        former->abort_stream();
    }
    begun_ = false;
    begin_answer();
    pump();
    return true;
}

void stream_session::begin_answer()
{
    if (std::exchange(begun_, true))
    {
        return;
    }
    unsent_bytes_ = 0;
    if (!std::exchange(first_sent_, true))
    {
        shard_.metrics.streams_opened.add();
        shard_.metrics.first_token.add(shard_.now() - request_.arrived);
    }
    std::vector<transport::http_header> headers{
        {"Content-Type", "text/event-stream"},
        {"Cache-Control", "no-store"},
        {"Hyssopdeal-Stream", id_},
        {"Hyssopdeal-Verdict", "ran"}};
    if (spread_ == copy_spread::none)
    {
        headers.push_back({"Hyssopdeal-Copies", "1"});
    }
    responder_->begin_stream(200, std::move(headers));
    keep_alive();
}

void stream_session::write(std::string bytes)
{
    const auto size = bytes.size();
    wrote_lately_ = true;
    unsent_bytes_ += size;
    if (unsent_bytes_ > shard_.shared.settings.max_unsent_bytes && attempt_ &&
        !paused_)
    {
        paused_ = true;
        attempt_->pause();
    }
    responder_->write(std::move(bytes),
                      [weak = weak_from_this(), size](write_status status) {
                          if (const auto self = weak.lock())
                          {
                              self->on_written(status, size);
                          }
                      });
}

void stream_session::on_written(write_status status, std::size_t bytes)
{
    unsent_bytes_ -= std::min(bytes, unsent_bytes_);
    if (status == write_status::caller_left && responder_ && !closed_)
    {
        responder_.reset();
        record_->on_caller_left(shard_.now());
        pump();
    }
    if (paused_ && attempt_ &&
        unsent_bytes_ < shard_.shared.settings.max_unsent_bytes / 2)
    {
        paused_ = false;
        attempt_->resume();
    }
}

// While an answer is open its socket is not read: that the caller has left
// shows only when something is written.
void stream_session::keep_alive()
{
    const std::weak_ptr<stream_session> weak = weak_from_this();
    keep_alive_timer_ =
        shard_.loop.after(shard_.shared.settings.keep_alive_interval, [weak] {
            const auto self = weak.lock();
            if (!self || self->closed_ || !self->responder_)
            {
                return;
            }
            if (!std::exchange(self->wrote_lately_, false))
            {
                self->write(std::string{keep_alive_comment});
                self->wrote_lately_ = false;
            }
            self->keep_alive();
        });
}

void stream_session::fail(const failure& error, milliseconds retry_after)
{
    if (closed_)
    {
        return;
    }
    shard_.metrics.count(error);
    shard_.metrics.streams_failed.add();
    if (responder_ && !begun_)
    {
        responder_->send(failure_answer(error, retry_after));
    }
    else if (responder_)
    {
        responder_->write("event: error\ndata: " + failure_body(error) +
                          "\n\n");
        responder_->abort_stream();
    }
    close(milliseconds{0});
}

void stream_session::close(milliseconds retention)
{
    closed_ = true;
    end_attempt();
    const bool whole = record_ && record_->phase() == stream_phase::finished;
    shard_.record_entry_span(request_, whole ? protocol::span_status::ok
                                             : protocol::span_status::error);
    end_choice(attempt_outcome::succeeded);
    responder_.reset();
    // The session is kept for callers that resume; no call sends it again.
    request_.body = std::make_shared<const std::string>();
    keep_alive_timer_.cancel();
    if (permit_)
    {
        const double used =
            record_ ? record_->origin().prompt_tokens + output_tokens_ : 0;
        shard_.limits.settle(shard_.now(), *permit_, used);
        permit_.reset();
    }
    retry_timer_ = shard_.loop.after(retention, [self = shared_from_this()] {
        self->record_timer_.cancel();
        self->shard_.streams.erase(*self);
    });
}

void stream_session::set_timer()
{
    const auto next = record_->next_time();
    if (closed_ || next >= timer_at_)
    {
        return;
    }
    timer_at_ = next;
    const std::weak_ptr<stream_session> weak = weak_from_this();
    record_timer_ = shard_.loop.after(next - shard_.now(), [weak] {
        if (const auto self = weak.lock())
        {
            self->timer_at_ = transport::monotonic_time::max();
            self->record_->on_time(self->shard_.now());
            self->pump();
        }
    });
}

} // namespace hyssopdeal::coordination
