#include "engine_attempt.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace hyssopdeal::standins
{

namespace
{

constexpr std::string_view end_mark = "data: [DONE]\n\n";
constexpr std::string_view foreign_id = "ffffffffffffffffffffffffffffffff";

bool every(std::uint64_t number, std::uint32_t period)
{
    return period != 0 && number % period == 0;
}

std::string token_event(std::string_view attempt, std::uint64_t number,
                        std::string_view token)
{
    // Tokens are made of letters, digits, '.', '-', '_', ':' and spaces.
    return fmt::format("id: {}:{}\ndata: {{\"choices\":[{{\"delta\":{{"
                       "\"content\":\"{}\"}}}}]}}\n\n",
                       attempt, number, token);
}

} // namespace

struct engine_attempt::impl : std::enable_shared_from_this<impl>
{
    impl(attempt_request wanted, engine_behaviour how)
        : request(std::move(wanted)),
          behaviour(std::move(how)),
          answer(request.version, request.prompt.rendered)
    {
        place_start();
    }

    // Finds the first token to make. Text that is not of this answer makes
    // another prompt, whose answer no checker takes for the right one.
    void place_start()
    {
        std::string rest;
        const auto at = answer.position(request.prompt.begun, rest);
        if (at)
        {
            next_token = *at;
            pending = rest;
            return;
        }
        answer = answer_text(request.version,
                             request.prompt.rendered + request.prompt.begun);
    }

    // Makes the next event; false when all tokens are made.
    bool make_token()
    {
        const bool most = made >= request.prompt.max_tokens;
        const bool whole = next_token >= answer.size() && pending.empty();
        if (most || whole || request.fault == version_fault::empty)
        {
            return false;
        }
        auto text = std::exchange(pending, {});
        if (text.empty())
        {
            text = answer.token(next_token++);
        }
        generated_text += text;
        ++made;
        events.push_back(token_event(request.id, events.size() + 1, text));
        return true;
    }

    std::string usage() const
    {
        return fmt::format("{{\"prompt_tokens\":{},\"cached_tokens\":{},"
                           "\"completion_tokens\":{}}}",
                           request.prompt_tokens, request.cached_tokens, made);
    }

    std::string_view finish_reason() const
    {
        return next_token >= answer.size() && pending.empty() ? "stop"
                                                              : "length";
    }

    void make_end()
    {
        events.push_back(fmt::format(
            "id: {}:{}\ndata: {{\"choices\":[{{\"delta\":{{}},"
            "\"finish_reason\":\"{}\"}}],\"usage\":{}}}\n\n",
            request.id, events.size() + 1, finish_reason(), usage()));
        finished = true;
    }

    std::string whole_answer() const
    {
        nlohmann::json body;
        body["model"] = request.version;
        body["usage"] = nlohmann::json::parse(usage());
        nlohmann::json choice;
        choice["message"]["role"] = "assistant";
        choice["message"]["content"] = generated_text;
        choice["finish_reason"] = finish_reason();
        body["choices"].push_back(std::move(choice));
        return body.dump();
    }

    void write(std::string piece)
    {
        if (!reader || piece.empty())
        {
            return;
        }
        const auto weak = weak_from_this();
        const auto generation = reader_generation;
        reader->write(std::move(piece), [weak, generation](
                                            transport::write_status status) {
            const auto self = weak.lock();
            if (self && status != transport::write_status::written)
            {
                self->reader_left(generation);
            }
        });
    }

    void reader_left(std::uint64_t generation)
    {
        if (generation == reader_generation)
        {
            reader.reset();
        }
    }

    // Sends one event in its first pass, with the faults of the numbering.
    void send_event(std::uint64_t number)
    {
        if (!request.prompt.stream || !reader)
        {
            return;
        }
        std::string piece;
        const auto& event = events[number - 1];
        if (every(number, behaviour.foreign_every))
        {
            piece += token_event(foreign_id, number, "stray ");
        }
        if (every(number, behaviour.swap_every) && !finished)
        {
            held += event;
        }
        else if (!every(number, behaviour.skip_every) || finished)
        {
            piece += event;
            piece += std::exchange(held, {});
        }
        if (every(number, behaviour.duplicate_every))
        {
            piece += event;
        }
        write(std::move(piece));
    }

    void end_reader()
    {
        if (!reader)
        {
            return;
        }
        if (request.prompt.stream)
        {
            write(std::string(end_mark));
            reader->end_stream();
        }
        else
        {
            reader->send(
                {200, {{"Content-Type", "application/json"}}, whole_answer()});
        }
        reader.reset();
    }

    void cut_reader()
    {
        if (reader && request.prompt.stream)
        {
            reader->abort_stream();
        }
        else if (reader)
        {
            reader->send({200,
                          {{"Content-Type", "application/json"}},
                          "{\"choices\":[{\"mess"});
        }
        reader.reset();
    }

    // Shows the fault of the version; true when the attempt ends by it.
    bool show_fault()
    {
        const auto middle = answer.size() / 2;
        if (next_token < middle)
        {
            return false;
        }
        switch (request.fault)
        {
        case version_fault::broken:
            cut_reader();
            finished = true;
            return true;
        case version_fault::garbled:
            write("id: " + request.id + ":garbled\ndata: {\"choi\n\n");
            return false;
        case version_fault::stalls:
            // The reader stays, and nothing more comes.
            return true;
        default:
            return false;
        }
    }

    attempt_request request;
    engine_behaviour behaviour;
    answer_text answer;
    std::uint64_t next_token = 0;
    std::uint64_t made = 0;
    std::string pending; // rest of a token that the given text cuts
    std::string generated_text;
    std::vector<std::string> events;
    std::string held; // event that goes out after its successor
    std::optional<transport::http_responder> reader;
    std::uint64_t reader_generation = 0;
    bool finished = false;
};

engine_attempt::engine_attempt(attempt_request request,
                               engine_behaviour behaviour)
    : impl_(std::make_shared<impl>(std::move(request), std::move(behaviour)))
{}

engine_attempt::~engine_attempt()
{
    impl_->cut_reader();
}

void engine_attempt::attach(transport::http_responder reader,
                            std::uint64_t from)
{
    impl_->cut_reader();
    ++impl_->reader_generation;
    impl_->reader = std::move(reader);
    if (!impl_->request.prompt.stream)
    {
        return;
    }
    impl_->reader->begin_stream(200, {{"Content-Type", "text/event-stream"},
                                      {"Cache-Control", "no-cache"}});
    std::string missed;
    const auto first = std::max<std::uint64_t>(from, 1) - 1;
    for (auto at = first; at < impl_->events.size(); ++at)
    {
        missed += impl_->events[at];
    }
    impl_->held.clear();
    impl_->write(std::move(missed));
    if (impl_->finished)
    {
        impl_->end_reader();
    }
}

attempt_state engine_attempt::step()
{
    auto& self = *impl_;
    if (self.finished)
    {
        return attempt_state::finished;
    }
    if (self.show_fault())
    {
        return self.finished ? attempt_state::finished : attempt_state::running;
    }
    if (self.make_token())
    {
        self.send_event(self.events.size());
        return attempt_state::running;
    }
    self.make_end();
    self.send_event(self.events.size());
    self.end_reader();
    return attempt_state::finished;
}

void engine_attempt::cancel()
{
    impl_->cut_reader();
    impl_->finished = true;
}

bool engine_attempt::has_reader() const noexcept
{
    return impl_->reader.has_value();
}

const attempt_request& engine_attempt::request() const noexcept
{
    return impl_->request;
}

std::uint64_t engine_attempt::generated() const noexcept
{
    return impl_->made;
}

std::string engine_attempt::whole_text() const
{
    return impl_->request.prompt.rendered + impl_->request.prompt.begun +
           impl_->generated_text;
}

} // namespace hyssopdeal::standins
