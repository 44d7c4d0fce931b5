#include "load/call.hpp"

#include <charconv>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <hyssopdeal/protocol/sse_parser.hpp>

#include "load/slow_call.hpp"
#include "standins/answer_text.hpp"

namespace hyssopdeal::load
{

namespace
{

using nlohmann::json;
using transport::http_call_end;
using transport::http_header;
using transport::http_request;

constexpr int ok = 200;
constexpr int first_redirect = 300;
constexpr int conflict = 409;
constexpr int first_server_error = 500;
constexpr std::chrono::milliseconds reconnect_pause{100};
constexpr std::chrono::milliseconds repeat_pause{200};
constexpr std::uint32_t max_sends = 8;

std::uint64_t number_in(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::string version_in(std::string_view text)
{
    const auto colon = text.find(": ");
    return colon == std::string_view::npos ? std::string{}
                                           : std::string(text.substr(0, colon));
}

} // namespace

std::string_view to_string(call_outcome value) noexcept
{
    switch (value)
    {
    case call_outcome::whole:
        return "whole";
    case call_outcome::not_run:
        return "not_run";
    case call_outcome::may_have_run:
        return "may_have_run";
    case call_outcome::failed:
        return "failed";
    case call_outcome::cut_short:
        return "cut_short";
    case call_outcome::wrong:
        return "wrong";
    }
    return "wrong";
}

struct call::impl : std::enable_shared_from_this<impl>
{
    impl(transport::event_loop& on_loop, const transport::clock& with_clock,
         transport::http_client& with_client,
         const std::vector<std::string>& at_entries, call_plan wanted,
         end_handler end, text_handler on_piece)
        : loop(on_loop),
          clock(with_clock),
          client(with_client),
          entries(at_entries),
          plan(std::move(wanted)),
          on_end(std::move(end)),
          on_text(std::move(on_piece)),
          entry(plan.first_entry % entries.size())
    {
        result.idempotency_key = plan.idempotency_key;
    }

    void begin()
    {
        started = clock.monotonic_now();
        send_first();
    }

    void send_first()
    {
        http_request request;
        request.method = plan.kind == call_kind::lookup ? "GET" : "POST";
        request.target = plan.path;
        request.body = plan.body;
        if (!plan.body.empty())
        {
            request.headers.push_back({"Content-Type", "application/json"});
        }
        if (!plan.idempotency_key.empty())
        {
            request.headers.push_back(
                {"Idempotency-Key", plan.idempotency_key});
        }
        ++sends;
        send(std::move(request));
    }

    void send_resume()
    {
        http_request request;
        request.target = "/v1/streams/" + stream;
        request.headers.push_back({"Last-Event-ID", std::to_string(last_id)});
        send(std::move(request));
    }

    void send(http_request request)
    {
        request.headers.push_back({"Authorization", "Bearer " + plan.key});
        if (plan.deadline.count() != 0)
        {
            request.headers.push_back({"X-Request-Deadline-Ms",
                                       std::to_string(plan.deadline.count())});
        }
        status = 0;
        verdict.clear();
        body.clear();
        parser = std::make_unique<protocol::sse_parser>();
        transport::http_call_settings limits;
        limits.total_time_limit = plan.give_up;
        const auto weak = weak_from_this();
        transport::http_call_handlers handlers;
        handlers.on_head = [weak](int code,
                                  const std::vector<http_header>& head) {
            if (const auto self = weak.lock())
            {
                self->take_head(code, head);
            }
        };
        handlers.on_data = [weak](std::string_view piece) {
            if (const auto self = weak.lock())
            {
                self->take_data(piece);
            }
        };
        handlers.on_end = [weak](const http_call_end& end) {
            if (const auto self = weak.lock())
            {
                self->take_end(end);
            }
        };
        if (plan.slow_bytes_per_second != 0)
        {
            slow = std::make_unique<slow_call>(loop, entries[entry], request,
                                               plan.slow_bytes_per_second,
                                               std::move(handlers));
            return;
        }
        running =
            client.start(entries[entry], request, limits, std::move(handlers));
    }

    void take_head(int code, const std::vector<http_header>& head)
    {
        status = code;
        result.status = code;
        verdict = transport::find_header(head, "Hyssopdeal-Verdict");
        const auto id = transport::find_header(head, "Hyssopdeal-Stream");
        if (!id.empty())
        {
            stream = id;
        }
        if (plan.kind != call_kind::stream)
        {
            note_first();
        }
    }

    void note_first()
    {
        if (result.first.count() == 0)
        {
            result.first = clock.monotonic_now() - started;
        }
    }

    void take_data(std::string_view piece)
    {
        if (plan.kind != call_kind::stream || status != ok)
        {
            body += piece;
            return;
        }
        const auto fed =
            parser->feed(piece, [this](const protocol::sse_event& event) {
                take_event(event.id, event.data);
            });
        if (!fed)
        {
            misordered = true;
        }
        if (plan.leave_after != 0 && last_id >= plan.leave_after && !ended)
        {
            plan.leave_after = 0;
            leave();
        }
    }

    void take_event(std::string_view id, std::string_view data)
    {
        if (data == "[DONE]")
        {
            ended = true;
            return;
        }
        if (!id.empty())
        {
            const auto number = number_in(id);
            misordered = misordered || number != last_id + 1;
            last_id = number;
        }
        const auto event = json::parse(data, nullptr, false);
        const auto content =
            event.is_object()
                ? event.value(json::json_pointer("/choices/0/delta/content"),
                              std::string{})
                : std::string{};
        if (event.is_object() && event.contains("error"))
        {
            result.reason = event["error"].value("reason", "");
        }
        if (content.empty())
        {
            return;
        }
        note_first();
        ++result.tokens;
        text += content;
        if (on_text)
        {
            on_text(content);
        }
    }

    // A caller's own leaving: the connection is dropped in the middle. The
    // loop does it after this handler, as it runs inside the call.
    void leave()
    {
        const auto weak = weak_from_this();
        loop.post([weak] {
            const auto self = weak.lock();
            if (self && !self->finished)
            {
                self->running.cancel();
                self->reconnect();
            }
        });
    }

    void reconnect()
    {
        if (stream.empty() || result.reconnects >= plan.max_reconnects)
        {
            finish(text.empty() ? call_outcome::may_have_run
                                : call_outcome::cut_short);
            return;
        }
        ++result.reconnects;
        entry = (entry + 1) % entries.size();
        const auto weak = weak_from_this();
        timer = loop.after(reconnect_pause, [weak] {
            if (const auto self = weak.lock())
            {
                self->send_resume();
            }
        });
    }

    void take_end(const http_call_end& end)
    {
        if (finished)
        {
            return;
        }
        if (plan.kind == call_kind::stream)
        {
            end_stream(end);
        }
        else
        {
            end_answer(end);
        }
    }

    void end_stream(const http_call_end& end)
    {
        if (ended)
        {
            finish_text();
        }
        else if (!stream.empty())
        {
            // Also when an entry refuses the resume: another may hold it.
            reconnect();
        }
        else if (end.complete && status != ok)
        {
            finish_refused();
        }
        else
        {
            finish(end.error.ran == transport::verdict::not_run && !end.complete
                       ? call_outcome::not_run
                       : call_outcome::may_have_run);
        }
    }

    void end_answer(const http_call_end& end)
    {
        const bool connected =
            end.complete || end.error.ran != transport::verdict::not_run;
        const bool lost = !end.complete || status == conflict;
        if (plan.kind == call_kind::purchase && lost && sends < max_sends)
        {
            may_have_run = may_have_run || connected;
            repeat();
            return;
        }
        if (!end.complete)
        {
            finish(connected || may_have_run ? call_outcome::may_have_run
                                             : call_outcome::not_run);
            return;
        }
        if (status < ok || status >= first_redirect)
        {
            finish_refused();
            return;
        }
        if (plan.repeats > 0)
        {
            --plan.repeats;
            first_body = body;
            repeat();
            return;
        }
        if (!first_body.empty() && first_body != body)
        {
            finish(call_outcome::wrong);
            return;
        }
        finish_body();
    }

    void repeat()
    {
        entry = (entry + 1) % entries.size();
        const auto weak = weak_from_this();
        timer = loop.after(repeat_pause, [weak] {
            if (const auto self = weak.lock())
            {
                self->send_first();
            }
        });
    }

    void finish_refused()
    {
        const auto answer = json::parse(body, nullptr, false);
        if (answer.is_object() && answer.contains("error") &&
            answer["error"].is_object())
        {
            result.reason = answer["error"].value("reason", "");
        }
        if (verdict == "not_run" && !may_have_run && first_body.empty())
        {
            finish(call_outcome::not_run);
            return;
        }
        const bool passed_on = verdict == "ran" && status >= first_server_error;
        finish(passed_on ? call_outcome::failed : call_outcome::may_have_run);
    }

    void finish_body()
    {
        if (plan.kind != call_kind::answer)
        {
            finish(call_outcome::whole);
            return;
        }
        const auto answer = json::parse(body, nullptr, false);
        if (answer.is_object())
        {
            text =
                answer.value(json::json_pointer("/choices/0/message/content"),
                             std::string{});
        }
        finish_text();
    }

    void finish_text()
    {
        result.version = version_in(text);
        const auto check = standins::check_answer(plan.body, text);
        if (misordered || check == standins::answer_check::wrong)
        {
            finish(call_outcome::wrong);
            return;
        }
        finish(check == standins::answer_check::whole
                   ? call_outcome::whole
                   : call_outcome::cut_short);
    }

    void finish(call_outcome outcome)
    {
        finished = true;
        result.outcome = outcome;
        result.total = clock.monotonic_now() - started;
        const auto end = std::move(on_end);
        end(std::move(result));
    }

    transport::event_loop& loop;
    const transport::clock& clock;
    transport::http_client& client;
    const std::vector<std::string>& entries;
    call_plan plan;
    end_handler on_end;
    text_handler on_text;
    std::size_t entry;
    call_result result;
    transport::monotonic_time started;
    transport::http_call running;
    std::unique_ptr<slow_call> slow; ///< In place of `running`.
    transport::timer_handle timer;
    std::unique_ptr<protocol::sse_parser> parser;
    int status = 0;
    std::string verdict;
    std::string stream;
    std::string body;
    std::string first_body;
    std::string text;
    std::uint64_t last_id = 0;
    std::uint32_t sends = 0;
    bool misordered = false;
    bool ended = false;
    bool finished = false;
    bool may_have_run = false;
};

call::call(transport::event_loop& loop, const transport::clock& clock,
           transport::http_client& client,
           const std::vector<std::string>& entries, call_plan plan,
           end_handler on_end, text_handler on_text)
    : impl_(std::make_shared<impl>(loop, clock, client, entries,
                                   std::move(plan), std::move(on_end),
                                   std::move(on_text)))
{}

call::~call() = default;

void call::start()
{
    impl_->begin();
}

} // namespace hyssopdeal::load
