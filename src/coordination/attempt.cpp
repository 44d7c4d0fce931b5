#include "attempt.hpp"

#include <charconv>
#include <utility>

#include <hyssopdeal/protocol/chat_codec.hpp>

namespace hyssopdeal::coordination
{

using transport::failure;
using transport::find_header;
using transport::http_header;
using transport::reason;
using transport::verdict;

namespace
{

constexpr std::size_t max_event_bytes = 1'048'576;
constexpr std::size_t max_answer_bytes = 65'536;

/// Parses an event id of the form `ATTEMPT:SEQUENCE`.
transport::result<engine_event> read_event_id(std::string_view id)
{
    const auto colon = id.find(':');
    const auto attempt = parse_attempt_id(id.substr(0, colon));
    if (colon == std::string_view::npos || !attempt)
    {
        return transport::fail(reason::broken_answer,
                               "An event names no attempt.", verdict::ran);
    }
    const auto digits = id.substr(colon + 1);
    const auto* const end = digits.data() + digits.size();
    engine_event event;
    event.attempt = *attempt;
    const auto parsed = std::from_chars(digits.data(), end, event.sequence);
    if (parsed.ec != std::errc{} || parsed.ptr != end || event.sequence == 0)
    {
        return transport::fail(reason::broken_answer,
                               "An event has no sequence number.",
                               verdict::ran);
    }
    return event;
}

stream_event_kind to_kind(protocol::chat_event_kind kind) noexcept
{
    switch (kind)
    {
    case protocol::chat_event_kind::text:
        return stream_event_kind::text;
    case protocol::chat_event_kind::finish:
        return stream_event_kind::finish;
    case protocol::chat_event_kind::done:
        return stream_event_kind::done;
    }
    return stream_event_kind::text;
}

/// Attempt id and sequence number for an end mark without an event id.
struct next_event
{
    attempt_id attempt;
    std::uint64_t sequence = 1;
};

transport::result<engine_event> make_end_mark_event(const next_event& next)
{
    engine_event event;
    event.attempt = next.attempt;
    event.sequence = next.sequence;
    return event;
}

// Engines send the end mark without an id; it gets the next sequence number.
transport::result<engine_event> read_event(const protocol::sse_event& event,
                                           const next_event& next)
{
    auto read = event.id.empty() && protocol::is_end_mark(event.data)
                    ? make_end_mark_event(next)
                    : read_event_id(event.id);
    if (!read)
    {
        return read;
    }
    auto chat = protocol::read_chat_event(event.data);
    if (!chat)
    {
        return tl::unexpected(chat.error());
    }
    read->kind = to_kind(chat->kind);
    read->text = std::move(chat->text);
    read->data = event.data;
    return read;
}

} // namespace

bool is_refusal(int status, const std::vector<http_header>& headers)
{
    return status == 503 &&
           find_header(headers, "Hyssopdeal-Refused") == "before_run";
}

struct engine_attempt::impl
{
    handlers callbacks;
    transport::http_call call;
    protocol::sse_parser parser{max_event_bytes};
    transport::http_response answer;
    next_event next;
    bool is_stream = false;
    bool answer_cut = false; ///< At its cap.
    bool ended = false;      // destroyed, or on_end was called

    void on_head_received(int status, const std::vector<http_header>& headers);
    void on_data_received(std::string_view piece);
    void on_call_ended(transport::http_call_end end);
    void on_sse_event(const protocol::sse_event& event);
    void finish(attempt_end end);
    void fail_malformed(const failure& error);
};

void engine_attempt::impl::on_head_received(
    int status, const std::vector<http_header>& headers)
{
    is_stream =
        status == 200 &&
        find_header(headers, "Content-Type").starts_with("text/event-stream");
    answer.status = status;
    answer.headers = headers;
}

void engine_attempt::impl::on_data_received(std::string_view piece)
{
    if (ended)
    {
        return;
    }
    if (!is_stream)
    {
        const auto room = max_answer_bytes - answer.body.size();
        answer_cut = answer_cut || piece.size() > room;
        answer.body += piece.substr(0, room);
        return;
    }
    const auto parsed =
        parser.feed(piece, [this](const protocol::sse_event& event) {
            on_sse_event(event);
        });
    if (!parsed)
    {
        fail_malformed(parsed.error());
    }
    if (!ended)
    {
        callbacks.on_read_done();
    }
}

void engine_attempt::impl::on_sse_event(const protocol::sse_event& event)
{
    if (ended)
    {
        return;
    }
    auto read = read_event(event, next);
    if (!read)
    {
        fail_malformed(read.error());
        return;
    }
    next = {read->attempt, read->sequence + 1};
    callbacks.on_event(std::move(*read));
}

void engine_attempt::impl::on_call_ended(transport::http_call_end end)
{
    attempt_end result;
    if (!end.complete)
    {
        result.error = std::move(end.error);
    }
    else if (is_refusal(answer.status, answer.headers))
    {
        result.what = attempt_end::kind::refused;
        result.answer = std::move(answer);
    }
    else if (end.ended_by_close)
    {
        // A stream that is whole had its end mark before.
        result.error = {verdict::may_have_run, reason::connection_lost,
                        "The answer had no length and its connection closed."};
    }
    else if (answer_cut)
    {
        result.error = {verdict::may_have_run, reason::broken_answer,
                        "The answer is too large."};
    }
    else if (is_stream)
    {
        result.what = attempt_end::kind::stream;
    }
    else
    {
        result.what = attempt_end::kind::answer;
        result.answer = std::move(answer);
    }
    finish(std::move(result));
}

void engine_attempt::impl::finish(attempt_end end)
{
    if (!std::exchange(ended, true))
    {
        const auto on_end = std::move(callbacks.on_end);
        on_end(std::move(end));
    }
}

void engine_attempt::impl::fail_malformed(const failure& error)
{
    call.cancel();
    attempt_end end;
    end.error = error;
    end.error.code = reason::broken_answer;
    end.error.ran = verdict::may_have_run;
    finish(std::move(end));
}

engine_attempt::engine_attempt(transport::http_client& client,
                               const attempt_order& order, handlers callbacks)
    : impl_(std::make_shared<impl>())
{
    impl_->callbacks = std::move(callbacks);
    impl_->next = {order.attempt, order.first_sequence};
    transport::http_call_handlers http;
    http.on_head = [state = impl_](int status, const auto& headers) {
        state->on_head_received(status, headers);
    };
    http.on_data = [state = impl_](std::string_view piece) {
        state->on_data_received(piece);
    };
    http.on_end = [state = impl_](transport::http_call_end end) {
        state->on_call_ended(std::move(end));
    };
    impl_->call = client.start(order.address, order.request, order.limits,
                               std::move(http));
}

engine_attempt::~engine_attempt()
{
    impl_->ended = true;
    impl_->call.cancel();
}

void engine_attempt::pause()
{
    impl_->call.pause();
}

void engine_attempt::resume()
{
    impl_->call.resume();
}

} // namespace hyssopdeal::coordination
