#ifndef HYSSOPDEAL_COORDINATION_GATEWAY_REQUEST_FLOW_HPP
#define HYSSOPDEAL_COORDINATION_GATEWAY_REQUEST_FLOW_HPP

/// @file
/// One caller's request from its arrival to the end of its answer: admission,
/// attempts at servers, repeats where they are allowed, and the relay of the
/// answer.
///
/// Index: [request_flow] [admission] [attempts] [moving] [answers] [ends]
///
/// A request that is refused as not run has never been handed to a connection,
/// or every server that got it has said that it did not run it.

#include <algorithm>
#include <charconv>
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
#include <hyssopdeal/transport/event_log.hpp>
#include <hyssopdeal/transport/http1_server.hpp>

namespace hyssopdeal::coordination
{

// [request_flow] -------------------------------------------------------------

/// Lives until its answer has ended or its caller has left.
template <caller_dialect Dialect>
class request_flow : public std::enable_shared_from_this<request_flow<Dialect>>
{
public:
    request_flow(gateway_core& core, transport::http1_exchange exchange)
        : core_(core),
          exchange_(std::move(exchange))
    {}

    /// Admits the request and sends it, or refuses it.
    void start();

private:
    using milliseconds = std::chrono::milliseconds;
    using monotonic_time = transport::monotonic_time;
    using headers = std::vector<transport::http_header>;

    // [admission]
    [[nodiscard]] bool await_start();
    void begin();
    bool admit();
    bool find_organisation();
    void take_quota();
    void on_tokens(milliseconds wait);
    void choose_service();

    // [attempts]
    [[nodiscard]] transport::http1_call_settings connection_limits() const;
    void try_next();
    [[nodiscard]] std::optional<placement_choice> choose_server();
    void send_to(const placement_choice& choice);
    void observe_end(answer_kind how);
    void observe_wait();
    void watch_silence();
    [[nodiscard]] milliseconds longest_stream_silence() const;
    [[nodiscard]] bool better_elsewhere();
    [[nodiscard]] bool begins_late(const placement_choice& choice) const;
    void on_silence();
    transport::head_choice on_head(int status, const headers& received);
    void on_data(std::string_view piece);
    void on_attempt_end(const transport::http1_call_end& how);
    void on_refused_by_server();
    void on_broken(const transport::failure& error);
    void leave_server();
    void note_server_terms(const answer_terms& read);
    bool may_repeat_after_run();
    [[nodiscard]] bool repeatable() const;
    [[nodiscard]] milliseconds time_left() const;
    [[nodiscard]] milliseconds since_arrival() const;
    [[nodiscard]] std::string_view timing() const;

    // [moving]
    [[nodiscard]] bool wants_move() const;
    void begin_move();
    void
    on_move_answer(const transport::result<transport::http_response>& answer);
    void on_moved_stream_end(const transport::http1_call_end& how);
    void go_on_at(const std::shared_ptr<known_server>& server);
    void on_move_refused();

    /// @return What is believed of a server, for the log.
    [[nodiscard]] static constexpr std::string_view
    state_of(const known_server& server)
    {
        return server.said_leaving ? "said_leaving"
               : server.listed.state != protocol::server_state::ready
                   ? "listed_leaving"
               : server.usable ? "ready"
                               : "gone";
    }

    /// @return Whether callers may take the status for "has not run".
    [[nodiscard]] static constexpr bool promises_not_run(int status)
    {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    // [answers]
    void hold(std::size_t bytes);
    void relay_events();
    bool take_event_id(const std::string& event);
    void note_first_event();
    void pass_on();

    // [ends]
    void refuse(int status, std::string_view why, milliseconds come_back);
    void fail(int status, std::string_view why);
    void on_deadline();
    void on_left();
    void end(std::string_view outcome, int status);

    gateway_core& core_;
    transport::http1_exchange exchange_;
    std::shared_ptr<const route_table> table_;
    const protocol::document_route* route_ = nullptr;
    std::string organisation_;
    std::uint32_t rank_ = 0;
    caller_terms terms_;
    std::string service_;
    double tokens_ = 0; ///< Taken from the quota.
    monotonic_time deadline_{};
    std::set<std::string> tried_; ///< Server ids.
    std::uint32_t arrivals_ = 0;  ///< Servers that got it.
    std::uint32_t runs_ = 0;      ///< Servers that ran it, or may have.
    std::uint32_t no_connection_ = 0;

    // Of the attempt that runs.
    transport::http1_call call_;
    placement_choice choice_;
    load_bucket load_ = load_bucket::light; ///< Of that server, when sent.
    bool at_server_ = false;
    monotonic_time sent_at_{};
    monotonic_time first_event_at_{};
    milliseconds first_event_took_{-1}; ///< Of the last attempt with one.
    milliseconds sent_after_{-1};       ///< From the arrival to the first try.
    milliseconds answered_after_{-1};   ///< From the arrival to the caller's
                                        ///< first event, or whole answer.
    milliseconds largest_gap_{0};       ///< Between two events of the answer.
    monotonic_time last_event_at_{};
    int status_ = 0;
    headers received_;
    answer_terms answer_;
    bool head_seen_ = false;
    std::string body_;
    std::size_t held_ = 0; ///< Counted in the core.
    event_splitter events_;
    bool event_seen_ = false; ///< Of this attempt.
    monotonic_time last_sign_{};

    // Of a move to another server. The run stays the same one.
    enum class move_state : std::uint8_t
    {
        none,
        asked,  ///< Its server is to stop it and to hand it over.
        stopped ///< It was handed over; the last events are on their way.
    };
    move_state move_ = move_state::none;
    std::uint32_t moves_ = 0;
    transport::http1_call move_call_;
    std::shared_ptr<known_server> move_from_;
    std::shared_ptr<known_server> move_to_;
    bool copied_ = false;   ///< `move_to_` has all of it.
    std::string moved_run_; ///< That the running attempt goes on with.
    std::optional<transport::failure> cut_; ///< While the move was asked for.

    // Of the answer.
    bool begun_ = false; ///< The caller has the head.
    bool counted_ = false;
    std::string last_event_;
    std::uint64_t last_number_ = 0;
    bool over_ = false;
    transport::timer_handle deadline_timer_;
    transport::timer_handle silence_timer_;
};

// [admission] ----------------------------------------------------------------

template <caller_dialect Dialect>
void request_flow<Dialect>::start()
{
    core_.counters.received.add();
    terms_ = Dialect::read_caller(exchange_.request());
    exchange_.on_left([weak = this->weak_from_this()] {
        if (const auto self = weak.lock())
        {
            self->on_left();
        }
    });
    if (!await_start())
    {
        begin();
    }
}

/// A process that has just started has its document within moments; a caller
/// who is sent away meanwhile comes back only once.
template <caller_dialect Dialect>
bool request_flow<Dialect>::await_start()
{
    // What is left is enough for a request that comes back after a refusal.
    constexpr int part_of_time = 3;
    constexpr milliseconds usual_time_limit{3'000}; ///< Of who names none.
    return core_.await_start(terms_.time_limit.value_or(usual_time_limit) /
                                 part_of_time,
                             [self = this->shared_from_this()] {
                                 if (!self->over_)
                                 {
                                     self->begin();
                                 }
                             });
}

template <caller_dialect Dialect>
void request_flow<Dialect>::begin()
{
    if (!admit())
    {
        return;
    }
    // Beyond the servers' own time limit, so that their answer comes first.
    constexpr milliseconds patience{100};
    deadline_timer_ = core_.loop.after(time_left() + patience,
                                       [weak = this->weak_from_this()] {
                                           if (const auto self = weak.lock())
                                           {
                                               self->on_deadline();
                                           }
                                       });
    take_quota();
}

template <caller_dialect Dialect>
bool request_flow<Dialect>::admit()
{
    table_ = core_.table();
    if (!table_)
    {
        refuse(503, "no_document", core_.expected_wait());
        return false;
    }
    route_ = table_->find_route(terms_.host, exchange_.request().target);
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
    choose_service();
    core_.repeats.on_request(core_.clock.monotonic_now(), service_);
    return !route_->needs_key || find_organisation();
}

template <caller_dialect Dialect>
bool request_flow<Dialect>::find_organisation()
{
    if (!core_.keys_valid())
    {
        refuse(503, "control_state_too_old", core_.expected_wait());
        return false;
    }
    const auto* found = table_->find_organisation(terms_.key);
    if (found == nullptr)
    {
        refuse(401, "unknown_key", milliseconds{0});
        return false;
    }
    organisation_ = found->name;
    rank_ = found->rank.value_or(rank_);
    tokens_ = !found->counts_tokens ? 1
              : terms_.names_tokens
                  ? static_cast<double>(terms_.size.prompt_tokens) +
                        terms_.size.most_output_tokens
                  : found->tokens_of_plain_request;
    return true;
}

template <caller_dialect Dialect>
void request_flow<Dialect>::take_quota()
{
    if (organisation_.empty())
    {
        return try_next();
    }
    core_.take_tokens(organisation_, tokens_,
                      [self = this->shared_from_this()](milliseconds wait) {
                          self->on_tokens(wait);
                      });
}

template <caller_dialect Dialect>
void request_flow<Dialect>::on_tokens(milliseconds wait)
{
    if (over_)
    {
        if (wait.count() == 0)
        {
            core_.quota.give_back(organisation_, tokens_);
        }
        return;
    }
    if (wait.count() > 0)
    {
        tokens_ = 0;
        return refuse(429, "quota", wait);
    }
    try_next();
}

template <caller_dialect Dialect>
void request_flow<Dialect>::choose_service()
{
    std::uint64_t all = 0;
    for (const auto& share : route_->shares)
    {
        all += share.weight;
    }
    std::uniform_int_distribution<std::uint64_t> draw{1, all};
    auto left = draw(core_.random);
    for (const auto& share : route_->shares)
    {
        if (left <= share.weight)
        {
            service_ = share.service;
            return;
        }
        left -= share.weight;
    }
}

// [attempts] -----------------------------------------------------------------

template <caller_dialect Dialect>
std::chrono::milliseconds request_flow<Dialect>::time_left() const
{
    return std::chrono::duration_cast<milliseconds>(
        deadline_ - core_.clock.monotonic_now());
}

template <caller_dialect Dialect>
std::chrono::milliseconds request_flow<Dialect>::since_arrival() const
{
    return std::chrono::duration_cast<milliseconds>(
        core_.clock.monotonic_now() - exchange_.received_at());
}

/// @return For the log: how the answer kept the route's targets.
template <caller_dialect Dialect>
std::string_view request_flow<Dialect>::timing() const
{
    if (answered_after_.count() < 0)
    {
        return "no_answer";
    }
    if (answered_after_ > route_->target_latency)
    {
        return "late_first_event";
    }
    const bool late_gap =
        route_->target_gap.count() > 0 && largest_gap_ > route_->target_gap;
    return late_gap ? "late_gap" : "in_time";
}

template <caller_dialect Dialect>
bool request_flow<Dialect>::repeatable() const
{
    return route_->rule == protocol::repeat_rule::safe ||
           (route_->rule == protocol::repeat_rule::stream && route_->resumable);
}

template <caller_dialect Dialect>
transport::http1_call_settings request_flow<Dialect>::connection_limits() const
{
    // A server that answers in a hurry may close an idle connection at any
    // time; what may run only once goes out on one that was used just now.
    constexpr milliseconds fresh_enough{3'000};
    transport::http1_call_settings limits;
    if (!repeatable())
    {
        limits.max_idle = fresh_enough;
    }
    return limits;
}

template <caller_dialect Dialect>
void request_flow<Dialect>::try_next()
{
    // Without any server the next ones are starting: a caller who comes back
    // too soon is refused again.
    constexpr milliseconds soon{1'000};
    // A server needs some time at least; below it the request fails anyway.
    constexpr milliseconds least_time{20};
    if (time_left() < least_time)
    {
        return runs_ > 0 ? fail(504, "no_time_left")
                         : refuse(503, "no_time_left", milliseconds{0});
    }
    const auto choice = choose_server();
    if (!choice)
    {
        const auto pause =
            core_.servers.pause_left(core_.clock.monotonic_now(), service_);
        return runs_ > 0 ? fail(502, "no_other_server")
                         : refuse(503, pause ? "servers_paused" : "no_server",
                                  std::min(soon, pause.value_or(soon)));
    }
    if (arrivals_ == 0 && no_connection_ == 0 && begins_late(*choice))
    {
        const auto target = std::max(route_->target_latency, choice->alone);
        return refuse(503, "overloaded", choice->predicted - target);
    }
    moved_run_.clear();
    send_to(*choice);
}

/// A stream that will surely begin late only delays those behind it; its caller
/// is better served by coming back. A prompt that is late by its own length
/// finds no better time.
template <caller_dialect Dialect>
bool request_flow<Dialect>::begins_late(const placement_choice& choice) const
{
    // Half a target: about the error of a prediction.
    const auto target = route_->target_latency;
    const auto latest = std::max(target, choice.alone) + target / 2;
    return route_->rule == protocol::repeat_rule::stream &&
           choice.predicted > latest;
}

template <caller_dialect Dialect>
std::optional<placement_choice> request_flow<Dialect>::choose_server()
{
    const auto now = core_.clock.monotonic_now();
    const auto among = [&](const version_choice& versions) {
        return core_.servers.choose(
            now, service_, terms_.size, tried_,
            [this](const auto& address) {
                return core_.client.keeps(address,
                                          connection_limits().max_idle);
            },
            versions);
    };
    std::uniform_real_distribution<double> draw{0, 1};
    auto versions = core_.versions.choose(now, service_, draw(core_.random),
                                          !tried_.empty());
    auto choice = among(versions);
    if (!choice && versions.to_target)
    {
        versions.to_target = false;
        choice = among(versions);
    }
    return choice;
}

template <caller_dialect Dialect>
void request_flow<Dialect>::send_to(const placement_choice& choice)
{
    const auto now = core_.clock.monotonic_now();
    choice_ = choice;
    tried_.insert(choice.server->listed.id);
    core_.servers.on_sent(now, choice, terms_.size);
    core_.versions.on_sent(service_, choice.server->listed.version);
    load_ = bucket_of(choice.server->running + choice.server->others.running,
                      choice.server->listed.slots);
    at_server_ = true;
    sent_at_ = now;
    last_sign_ = now;
    if (sent_after_.count() < 0)
    {
        sent_after_ = since_arrival();
    }
    status_ = 0;
    head_seen_ = false;
    event_seen_ = false;
    body_.clear();
    events_.discard_remainder();
    hold(0);
    ++arrivals_;
    if (arrivals_ > 1)
    {
        core_.counters.repeats.add();
    }
    server_terms terms;
    terms.organisation = organisation_;
    terms.server_id = choice.server->listed.id;
    terms.time_limit = time_left();
    terms.rank = rank_;
    terms.resume_after = last_event_;
    terms.moved_run = moved_run_;
    const auto limits = connection_limits();
    transport::http1_call_handlers handlers;
    const auto self = this->shared_from_this();
    handlers.on_head = [self](int status, const headers& received) {
        return self->on_head(status, received);
    };
    handlers.on_data = [self](std::string_view piece) { self->on_data(piece); };
    handlers.on_end = [self](const transport::http1_call_end& how) {
        self->on_attempt_end(how);
    };
    call_ =
        core_.client.start(choice.server->listed.address,
                           Dialect::make_request(exchange_.request(), terms),
                           limits, std::move(handlers));
    watch_silence();
}

/// A server that is silent for too long is left for another one, where the
/// request may be repeated.
template <caller_dialect Dialect>
void request_flow<Dialect>::watch_silence()
{
    if (!repeatable())
    {
        return;
    }
    constexpr milliseconds shortest_call_silence{250};
    const auto limit =
        route_->rule == protocol::repeat_rule::stream
            ? longest_stream_silence()
            : std::max(shortest_call_silence, route_->target_latency);
    const auto silent = std::chrono::duration_cast<milliseconds>(
        core_.clock.monotonic_now() - last_sign_);
    // One that was silent for long and is kept is looked at again soon.
    const auto pause = silent < limit ? limit - silent : limit / 4;
    silence_timer_ =
        core_.loop.after(pause, [weak = this->weak_from_this(), limit] {
            const auto self = weak.lock();
            if (!self || self->over_ || !self->at_server_)
            {
                return;
            }
            const auto quiet =
                self->core_.clock.monotonic_now() - self->last_sign_;
            quiet >= limit ? self->on_silence() : self->watch_silence();
        });
}

/// Half of the time after which callers give a silent stream up: what is left
/// is enough to begin anew elsewhere.
template <caller_dialect Dialect>
std::chrono::milliseconds request_flow<Dialect>::longest_stream_silence() const
{
    constexpr milliseconds least_patience{2'000};
    constexpr int targets = 4;
    constexpr int gaps = 8;
    return std::max({least_patience, targets * route_->target_latency,
                     gaps * route_->target_gap}) /
           2;
}

/// A silent server is told from a slow fleet: a stream that only waits for its
/// turn would wait anew elsewhere, and what was read for it would be lost.
///
/// @return Whether another server would surely begin the stream sooner.
template <caller_dialect Dialect>
bool request_flow<Dialect>::better_elsewhere()
{
    if (event_seen_ || route_->rule != protocol::repeat_rule::stream)
    {
        return true;
    }
    const bool alive = choice_.server->last_heard > sent_at_;
    const auto other = choose_server();
    return !alive && other && !begins_late(*other);
}

template <caller_dialect Dialect>
void request_flow<Dialect>::on_silence()
{
    if (move_ != move_state::none)
    {
        return watch_silence();
    }
    if (runs_ + 1 < route_->max_attempts &&
        core_.servers.usable(service_) > tried_.size() && better_elsewhere())
    {
        call_.cancel();
        return on_broken({transport::verdict::may_have_run,
                          transport::reason::timed_out,
                          "The server was silent for too long."});
    }
    watch_silence();
}

template <caller_dialect Dialect>
transport::head_choice request_flow<Dialect>::on_head(int status,
                                                      const headers& received)
{
    constexpr int first_error = 300;
    const auto read = Dialect::read_answer(status, received);
    // They hold for the server, whatever request this answers.
    note_server_terms(read);
    if (!read.attempt_id.empty() && read.attempt_id != terms_.attempt_id)
    {
        transport::log_event("attempt.foreign_answer",
                             {{"request", terms_.attempt_id},
                              {"server", choice_.server->listed.id}});
        return transport::head_choice::skip;
    }
    const bool unproven = status < first_error && !read.proven;
    if (unproven || read.encoded)
    {
        return transport::head_choice::reject;
    }
    status_ = status;
    received_ = received;
    answer_ = read;
    head_seen_ = true;
    last_sign_ = core_.clock.monotonic_now();
    return transport::head_choice::take;
}

template <caller_dialect Dialect>
void request_flow<Dialect>::note_server_terms(const answer_terms& read)
{
    if (read.other_server)
    {
        return;
    }
    auto& server = *choice_.server;
    if (read.leaving && !server.said_leaving)
    {
        core_.servers.on_leaving(server);
        transport::log_event("server.leaving",
                             {{"server", server.listed.id},
                              {"told_by", "answer"},
                              {"request", terms_.attempt_id}});
    }
    if (read.pause.count() > 0)
    {
        core_.servers.on_pause(core_.clock.monotonic_now(), server, read.pause);
        transport::log_event("server.paused", {{"server", server.listed.id},
                                               {"for_ms", read.pause},
                                               {"request", terms_.attempt_id}});
    }
}

template <caller_dialect Dialect>
void request_flow<Dialect>::on_data(std::string_view piece)
{
    constexpr int first_error = 300;
    const bool streams =
        route_->rule == protocol::repeat_rule::stream && status_ < first_error;
    if (!streams)
    {
        last_sign_ = core_.clock.monotonic_now();
        body_ += piece;
    }
    else
    {
        events_.feed(piece);
        relay_events();
    }
    hold(body_.size() + events_.remainder().size());
    const auto& limits = core_.settings;
    const bool endless = body_.size() > limits.max_answer_bytes ||
                         events_.remainder().size() > limits.max_event_bytes ||
                         core_.held_bytes > limits.max_held_bytes;
    if (!over_ && endless)
    {
        call_.cancel();
        on_broken({transport::verdict::may_have_run,
                   transport::reason::too_large,
                   "The answer is longer than this entry holds."});
    }
}

/// Counts what this request holds of its answer.
template <caller_dialect Dialect>
void request_flow<Dialect>::hold(std::size_t bytes)
{
    core_.held_bytes += bytes;
    core_.held_bytes -= std::exchange(held_, bytes);
}

template <caller_dialect Dialect>
void request_flow<Dialect>::on_attempt_end(const transport::http1_call_end& how)
{
    constexpr int first_error = 300;
    constexpr int first_server_error = 500;
    silence_timer_.cancel();
    if (move_ != move_state::none && !how.complete)
    {
        return on_moved_stream_end(how);
    }
    if (!how.complete)
    {
        return on_broken(how.error);
    }
    if (answer_.not_executed || answer_.other_server)
    {
        return on_refused_by_server();
    }
    ++runs_;
    const bool failed = status_ >= first_server_error;
    observe_end(failed ? answer_kind::failed : answer_kind::whole);
    auto& server = *choice_.server;
    failed ? core_.servers.on_failure(core_.clock.monotonic_now(), server)
           : core_.servers.on_success(server);
    if (failed && repeatable() && !begun_ && may_repeat_after_run())
    {
        leave_server();
        transport::log_event("attempt.failed", {{"request", terms_.attempt_id},
                                                {"server", server.listed.id},
                                                {"status", status_},
                                                {"next", "repeat"}});
        return try_next();
    }
    if (begun_ && status_ >= first_error)
    {
        leave_server();
        return fail(502, "resume_failed");
    }
    if (promises_not_run(status_))
    {
        // It came without the mark that makes it true.
        leave_server();
        return fail(502, "refused_without_mark");
    }
    note_first_event();
    leave_server();
    pass_on();
}

/// The server says that it did not run the request.
template <caller_dialect Dialect>
void request_flow<Dialect>::on_refused_by_server()
{
    constexpr milliseconds soon{400};
    const auto now = core_.clock.monotonic_now();
    auto& server = *choice_.server;
    if (answer_.other_server)
    {
        server.usable = false;
    }
    else
    {
        core_.servers.on_full(now, server);
    }
    leave_server();
    if (!moved_run_.empty())
    {
        return on_move_refused();
    }
    const bool again = core_.repeats.take(now, service_);
    transport::log_event("attempt.refused",
                         {{"request", terms_.attempt_id},
                          {"server", server.listed.id},
                          {"status", status_},
                          {"other_server", answer_.other_server},
                          {"next", again ? "repeat" : "refuse"}});
    if (again)
    {
        return try_next();
    }
    runs_ > 0 ? fail(502, "servers_full") : refuse(503, "servers_full", soon);
}

/// The attempt ended without a whole answer.
template <caller_dialect Dialect>
void request_flow<Dialect>::on_broken(const transport::failure& error)
{
    constexpr std::uint32_t most_connection_tries = 4;
    silence_timer_.cancel();
    const auto now = core_.clock.monotonic_now();
    auto& server = *choice_.server;
    const bool not_run = error.ran == transport::verdict::not_run;
    const bool unreachable =
        not_run || error.code == transport::reason::timed_out;
    unreachable ? core_.servers.on_unreachable(now, server)
                : core_.servers.on_failure(now, server);
    if (not_run)
    {
        --arrivals_;
        ++no_connection_;
    }
    else
    {
        ++runs_;
        observe_end(answer_kind::broken);
    }
    leave_server();
    if (not_run && !moved_run_.empty())
    {
        return on_move_refused();
    }
    const bool again = not_run ? no_connection_ < most_connection_tries
                               : repeatable() && may_repeat_after_run();
    transport::log_event("attempt.broken",
                         {{"request", terms_.attempt_id},
                          {"server", server.listed.id},
                          {"verdict", transport::to_string(error.ran)},
                          {"error", error.text},
                          {"after_event", last_event_},
                          {"server_state", state_of(server)},
                          {"heard_ago_ms", now - server.last_heard},
                          {"next", again ? "repeat" : "end"}});
    if (again)
    {
        if (begun_)
        {
            core_.counters.resumed.add();
        }
        return try_next();
    }
    runs_ > 0 ? fail(502, "attempt_broken")
              : refuse(503, "no_connection", milliseconds{300});
}

template <caller_dialect Dialect>
bool request_flow<Dialect>::may_repeat_after_run()
{
    return runs_ < route_->max_attempts &&
           core_.servers.usable(service_) > tried_.size() &&
           core_.repeats.take(core_.clock.monotonic_now(), service_);
}

/// Counts an answer while the service moves to another version.
template <caller_dialect Dialect>
void request_flow<Dialect>::observe_end(answer_kind how)
{
    if (!core_.versions.moves(service_))
    {
        return;
    }
    const auto& version = choice_.server->listed.version;
    core_.versions.on_ended(service_, version, how != answer_kind::whole);
    core_.observer.on_answer(
        {service_, version, route_->name, load_, how, {}, {}});
}

/// Counts how long a first event took, or has not come for.
template <caller_dialect Dialect>
void request_flow<Dialect>::observe_wait()
{
    if (at_server_ && core_.versions.moves(service_))
    {
        core_.observer.on_first_token(
            service_, choice_.server->listed.version, route_->name, load_,
            std::chrono::duration_cast<std::chrono::microseconds>(
                core_.clock.monotonic_now() - sent_at_));
    }
}

template <caller_dialect Dialect>
void request_flow<Dialect>::leave_server()
{
    if (std::exchange(at_server_, false))
    {
        const auto held = core_.clock.monotonic_now() - first_event_at_;
        core_.servers.on_ended(choice_, event_seen_,
                               std::chrono::duration_cast<milliseconds>(held));
    }
}

// [moving] -------------------------------------------------------------------

/// A server that is reclaimed ends its streams, and most of them cannot begin
/// anew. Those that end before it does need no move.
template <caller_dialect Dialect>
bool request_flow<Dialect>::wants_move() const
{
    // Several of the longest gaps that routes allow, and a copy of the largest
    // prompt behind those of all other streams of its server.
    constexpr milliseconds ahead{1'000};
    constexpr std::uint32_t most_moves = 3; ///< Also of those that failed.
    const auto& ends = choice_.server->ends_at;
    if (!ends || move_ != move_state::none || moves_ >= most_moves ||
        last_event_.empty())
    {
        return false;
    }
    const auto now = core_.clock.monotonic_now();
    const auto* service = table_->find_service(service_);
    return now < *ends && *ends - now <= ahead && service != nullptr &&
           service->engine && service->engine->moves_streams;
}

template <caller_dialect Dialect>
void request_flow<Dialect>::begin_move()
{
    const auto now = core_.clock.monotonic_now();
    // It brings its memory along, so that only what runs there matters.
    const auto choice = core_.servers.choose(
        now, service_, {1, terms_.size.most_output_tokens, {}},
        {choice_.server->listed.id});
    // Another version would go on with other weights.
    if (!choice ||
        choice->server->listed.version != choice_.server->listed.version ||
        !core_.repeats.take(now, service_))
    {
        return;
    }
    ++moves_;
    move_ = move_state::asked;
    move_from_ = choice_.server;
    move_to_ = choice->server;
    cut_.reset();
    const auto left =
        std::chrono::duration_cast<milliseconds>(*move_from_->ends_at - now);
    move_call_ = core_.client.fetch(
        move_from_->listed.address,
        Dialect::make_move(terms_.attempt_id, move_to_->listed.address), left,
        // The stream's own call ends meanwhile and holds this no longer.
        [self = this->shared_from_this()](const auto& answer) {
            if (!self->over_)
            {
                self->on_move_answer(answer);
            }
        });
}

template <caller_dialect Dialect>
void request_flow<Dialect>::on_move_answer(
    const transport::result<transport::http_response>& answer)
{
    const auto& from = move_from_->listed;
    const auto read =
        answer ? Dialect::read_move(from.address, answer->status, answer->body)
               : move_answer{};
    transport::log_event("stream.move",
                         {{"request", terms_.attempt_id},
                          {"from", from.id},
                          {"to", move_to_->listed.id},
                          {"status", answer ? answer->status : 0},
                          {"error", answer ? "" : answer.error().text},
                          {"stopped", !read.moved_run.empty()},
                          {"copied", read.copied},
                          {"after_event", last_event_}});
    if (read.moved_run.empty())
    {
        // It goes on where it was, unless it was cut meanwhile.
        move_ = move_state::none;
        return cut_ ? on_broken(*std::exchange(cut_, std::nullopt)) : void();
    }
    // The last events may still be on their way; they take a round trip.
    constexpr milliseconds last_events{50};
    move_ = move_state::stopped;
    moved_run_ = read.moved_run;
    copied_ = read.copied;
    core_.counters.moved.add();
    if (cut_)
    {
        return go_on_at(copied_ ? move_to_ : move_from_);
    }
    silence_timer_ =
        core_.loop.after(last_events, [self = this->shared_from_this()] {
            if (!self->over_)
            {
                self->call_.cancel();
                self->go_on_at(self->copied_ ? self->move_to_
                                             : self->move_from_);
            }
        });
}

/// The server has closed the stream that it hands over.
template <caller_dialect Dialect>
void request_flow<Dialect>::on_moved_stream_end(
    const transport::http1_call_end& how)
{
    cut_ = how.error;
    if (move_ == move_state::stopped)
    {
        go_on_at(copied_ ? move_to_ : move_from_);
    }
}

template <caller_dialect Dialect>
void request_flow<Dialect>::go_on_at(
    const std::shared_ptr<known_server>& server)
{
    leave_server();
    move_ = move_state::none;
    placement_choice choice;
    choice.server = server;
    choice.prompt_tokens = terms_.size.prompt_tokens;
    send_to(choice);
}

/// The server that was to go on did not. The one before still has the run, and
/// some time.
template <caller_dialect Dialect>
void request_flow<Dialect>::on_move_refused()
{
    if (std::exchange(copied_, false) && choice_.server != move_from_)
    {
        return go_on_at(move_from_);
    }
    if (repeatable() && may_repeat_after_run())
    {
        return try_next();
    }
    fail(502, "move_refused");
}

// [answers] ------------------------------------------------------------------

template <caller_dialect Dialect>
void request_flow<Dialect>::relay_events()
{
    while (auto event = events_.next_event())
    {
        if (!take_event_id(*event))
        {
            continue;
        }
        // Bytes alone are no progress: a stalled server may send one now and
        // then.
        last_sign_ = core_.clock.monotonic_now();
        choice_.server->last_heard = last_sign_;
        note_first_event();
        if (begun_)
        {
            largest_gap_ =
                std::max(largest_gap_, std::chrono::duration_cast<milliseconds>(
                                           last_sign_ - last_event_at_));
        }
        else
        {
            begun_ = true;
            answered_after_ = since_arrival();
            exchange_.begin(status_, Dialect::caller_headers(received_));
        }
        last_event_at_ = last_sign_;
        exchange_.write(*event);
        if (over_)
        {
            return;
        }
        if (wants_move())
        {
            begin_move();
        }
    }
}

/// @return Whether the event is new: one that the caller has is dropped.
template <caller_dialect Dialect>
bool request_flow<Dialect>::take_event_id(const std::string& event)
{
    const auto id = event_splitter::event_id(event);
    if (id.empty())
    {
        return true;
    }
    std::uint64_t number = 0;
    const auto read = std::from_chars(id.data(), id.data() + id.size(), number);
    const bool numbered = read.ptr == id.data() + id.size();
    if (numbered && begun_ && number <= last_number_)
    {
        return false;
    }
    last_number_ = numbered ? number : last_number_;
    last_event_ = id;
    return true;
}

template <caller_dialect Dialect>
void request_flow<Dialect>::note_first_event()
{
    if (std::exchange(event_seen_, true))
    {
        return;
    }
    const auto now = core_.clock.monotonic_now();
    observe_wait();
    first_event_at_ = now;
    first_event_took_ =
        std::chrono::duration_cast<milliseconds>(now - sent_at_);
    if (moved_run_.empty())
    {
        core_.servers.on_first_event(choice_, first_event_took_);
        core_.counters.prediction_error.add(
            std::chrono::abs(first_event_took_ - choice_.predicted));
    }
    if (!std::exchange(counted_, true))
    {
        const bool streams = route_->rule == protocol::repeat_rule::stream;
        core_.count_usage(organisation_, streams ? now : sent_at_);
        core_.counters.first_event.add(now - exchange_.received_at());
    }
}

/// The server's answer is complete.
template <caller_dialect Dialect>
void request_flow<Dialect>::pass_on()
{
    constexpr int first_error = 300;
    const bool streams =
        route_->rule == protocol::repeat_rule::stream && status_ < first_error;
    if (streams)
    {
        if (!begun_)
        {
            begun_ = true;
            exchange_.begin(status_, Dialect::caller_headers(received_));
        }
        exchange_.write(events_.remainder());
        exchange_.finish();
    }
    else
    {
        exchange_.send(
            {status_, Dialect::caller_headers(received_), std::move(body_)});
    }
    if (answered_after_.count() < 0)
    {
        answered_after_ = since_arrival();
    }
    const bool good = status_ < first_error;
    (good ? core_.counters.served : core_.counters.passed_failures).add();
    core_.counters.whole_answer.add(core_.clock.monotonic_now() -
                                    exchange_.received_at());
    end(good ? "served" : "passed_failure", status_);
}

// [ends] ---------------------------------------------------------------------

/// The request has not run and never will.
template <caller_dialect Dialect>
void request_flow<Dialect>::refuse(int status, std::string_view why,
                                   milliseconds come_back)
{
    constexpr double ms_in_s = 1'000;
    if (begun_)
    {
        return fail(502, why);
    }
    transport::http_response answer;
    answer.status = status;
    answer.headers = {{"Content-Type", "text/plain"}};
    if (come_back.count() > 0)
    {
        answer.headers.push_back(
            {"Retry-After",
             fmt::format("{:.3f}",
                         static_cast<double>(come_back.count()) / ms_in_s)});
    }
    answer.body = fmt::format("not_run: {}\n", why);
    if (tokens_ > 0)
    {
        core_.quota.give_back(organisation_, tokens_);
    }
    core_.counters.refused.add();
    exchange_.send(answer);
    end(why, status);
}

/// The request may have run.
template <caller_dialect Dialect>
void request_flow<Dialect>::fail(int status, std::string_view why)
{
    if (!std::exchange(counted_, true))
    {
        core_.count_usage(organisation_, sent_at_);
    }
    core_.counters.failed.add();
    if (begun_)
    {
        exchange_.abort();
    }
    else
    {
        exchange_.send({status,
                        {{"Content-Type", "text/plain"}},
                        fmt::format("may_have_run: {}\n", why)});
    }
    end(why, begun_ ? 0 : status);
}

template <caller_dialect Dialect>
void request_flow<Dialect>::on_deadline()
{
    if (over_)
    {
        return;
    }
    const bool sent = at_server_ || runs_ > 0;
    if (!event_seen_)
    {
        observe_wait();
    }
    call_.cancel();
    leave_server();
    sent ? fail(504, "deadline_passed")
         : refuse(503, "deadline_passed", milliseconds{0});
}

template <caller_dialect Dialect>
void request_flow<Dialect>::on_left()
{
    if (over_)
    {
        return;
    }
    core_.counters.left.add();
    call_.cancel();
    leave_server();
    end("caller_left", 0);
}

template <caller_dialect Dialect>
void request_flow<Dialect>::end(std::string_view outcome, int status)
{
    over_ = true;
    hold(0);
    deadline_timer_.cancel();
    silence_timer_.cancel();
    move_call_.cancel();
    transport::log_event(
        "request.ended",
        {{"request", terms_.attempt_id},
         {"outcome", outcome},
         {"status", status},
         {"route", route_ == nullptr ? std::string_view{} : route_->name},
         {"organisation", organisation_},
         {"document", table_ ? table_->document().version : 0},
         {"server", choice_.server ? choice_.server->listed.id : ""},
         {"predicted_ms", choice_.predicted},
         {"first_event_ms", first_event_took_},
         {"sent_after_ms", sent_after_},
         {"largest_gap_ms", largest_gap_},
         {"timing", timing()},
         {"orders_age_ms", core_.orders_age()},
         {"arrivals", arrivals_},
         {"moves", moves_},
         {"took_ms", since_arrival()}});
}

} // namespace hyssopdeal::coordination

#endif
