#ifndef HYSSOPDEAL_SRC_COORDINATION_STREAM_RECORD_STATE_HPP
#define HYSSOPDEAL_SRC_COORDINATION_STREAM_RECORD_STATE_HPP

/// @file
/// Internal: what a stream_record knows, and the steps that its public calls
/// are made of.
///
/// Index: [states] [stream_record::impl]

#include <algorithm>
#include <utility>

#include <hyssopdeal/coordination/stream_record.hpp>

namespace hyssopdeal::coordination
{

// [states] -------------------------------------------------------------------

/// State of the copies of one stream.
enum class stream_holder_state : std::uint8_t
{
    unknown, ///< Nobody is chosen; nothing leaves for the caller.
    asked,   ///< The origin is on its way.
    holding, ///< It has the origin.
    absent   ///< There is nobody.
};

/// Whether the current attempt's events are coming.
enum class stream_engine_state : std::uint8_t
{
    producing,
    resuming ///< A resume was ordered; no server has accepted it yet.
};

/// @return Bytes that an event takes.
inline std::size_t event_bytes(const stream_event& event) noexcept
{
    return sizeof(stream_event) + event.text.size() + event.data.size();
}

// [stream_record::impl] ------------------------------------------------------

struct stream_record::impl
{
    stream_origin origin;
    stream_settings settings;
    owner_epoch epoch = 1;
    stream_phase phase = stream_phase::running;
    std::vector<stream_event> events{};
    std::size_t bytes = 0;

    attempt_id attempt{};
    std::uint64_t attempt_base = 0; ///< Events before the attempt's first.
    stream_engine_state engine = stream_engine_state::producing;
    resume_way last_way = resume_way::prefill;
    std::uint32_t resumes = 0; ///< Without progress between them.
    std::uint32_t accepted_since_resume = 0;
    double recomputed = 0;
    transport::monotonic_time heard_at{};

    stream_holder_state holder = stream_holder_state::unknown;
    std::uint64_t copy_sent_to = 0;
    std::uint64_t copied_to = 0;
    std::vector<std::uint64_t> batches{}; ///< Last numbers, in flight.
    bool attempt_uncopied = true; ///< The holder does not know the attempt.
    transport::monotonic_time oldest_uncopied{};

    bool caller_here = false;
    std::uint64_t delivered_to = 0;
    std::uint64_t served_to = 0; ///< Most that any caller can have from here.
    transport::monotonic_time left_at{};
    std::vector<stream_action> actions{};

    [[nodiscard]] std::uint64_t next_sequence() const
    {
        return events.size() - attempt_base + 1;
    }

    [[nodiscard]] bool is_live() const
    {
        return phase == stream_phase::running || phase == stream_phase::ended;
    }

    [[nodiscard]] bool is_silent(transport::monotonic_time now) const
    {
        return phase == stream_phase::running &&
               engine == stream_engine_state::producing &&
               now >= heard_at + settings.engine_silence;
    }

    [[nodiscard]] std::uint64_t deliverable_to() const
    {
        const bool all = holder == stream_holder_state::absent ||
                         (holder == stream_holder_state::holding &&
                          settings.copies == copy_order::behind);
        return all ? events.size() : std::max(copied_to, delivered_to);
    }

    void deliver()
    {
        const auto limit = deliverable_to();
        if (!is_live() || !caller_here)
        {
            return;
        }
        if (limit > delivered_to)
        {
            actions.emplace_back(deliver_events{delivered_to + 1, limit});
            delivered_to = limit;
            served_to = std::max(served_to, limit);
        }
        if (phase == stream_phase::ended && delivered_to == events.size())
        {
            phase = stream_phase::finished;
            actions.emplace_back(stream_finished{});
        }
    }

    [[nodiscard]] bool batch_is_due(transport::monotonic_time now) const
    {
        const auto waiting = events.size() - copy_sent_to;
        if (holder != stream_holder_state::asked &&
            holder != stream_holder_state::holding)
        {
            return false;
        }
        if (batches.size() >= settings.batches_in_flight ||
            (waiting == 0 && !attempt_uncopied))
        {
            return false;
        }
        return batches.empty() || waiting >= settings.batch_events ||
               phase == stream_phase::ended ||
               now >= oldest_uncopied + settings.batch_time;
    }

    void copy(transport::monotonic_time now)
    {
        while (is_live() && batch_is_due(now))
        {
            const auto to = static_cast<std::uint64_t>(events.size());
            actions.emplace_back(
                copy_events{copy_sent_to + 1, to, attempt, to - attempt_base});
            batches.push_back(to);
            copy_sent_to = to;
            attempt_uncopied = false;
        }
    }

    void fail(transport::failure error)
    {
        if (!is_live())
        {
            return;
        }
        if (phase == stream_phase::running)
        {
            actions.emplace_back(cancel_attempt{attempt});
        }
        phase = stream_phase::failed;
        actions.emplace_back(stream_failed{std::move(error)});
    }

    void accept(transport::monotonic_time now, engine_event event)
    {
        heard_at = now;
        engine = stream_engine_state::producing;
        ++accepted_since_resume;
        if (accepted_since_resume >= settings.progress_events)
        {
            resumes = 0;
        }
        if (copy_sent_to == events.size())
        {
            oldest_uncopied = now;
        }
        stream_event taken;
        taken.number = events.size() + 1;
        taken.kind = event.kind;
        taken.text = std::move(event.text);
        taken.data = std::move(event.data);
        bytes += event_bytes(taken);
        events.push_back(std::move(taken));
        if (bytes > settings.max_bytes)
        {
            fail({transport::verdict::ran, transport::reason::too_large,
                  "The answer is larger than one stream may be."});
            return;
        }
        if (events.back().kind == stream_event_kind::done)
        {
            phase = stream_phase::ended;
        }
        copy(now);
        deliver();
    }

    /// @return Whether the stream may try once more.
    bool count_resume()
    {
        ++resumes;
        accepted_since_resume = 0;
        if (resumes <= settings.max_resumes)
        {
            return true;
        }
        fail({transport::verdict::may_have_run,
              transport::reason::connection_lost,
              "The stream was lost too often."});
        return false;
    }

    void reattach(transport::monotonic_time now)
    {
        if (!count_resume())
        {
            return;
        }
        engine = stream_engine_state::resuming;
        heard_at = now;
        last_way = resume_way::resume_on_engine;
        resume_stream order;
        order.way = last_way;
        order.attempt = attempt;
        order.previous = attempt;
        order.from_sequence = next_sequence();
        order.text_events = events.size();
        actions.emplace_back(order);
    }

    /// Only the end mark is missing, and no engine can give it: another would
    /// generate more text.
    void end_here(transport::monotonic_time now)
    {
        engine_event mark;
        mark.kind = stream_event_kind::done;
        mark.data = "[DONE]";
        accept(now, std::move(mark));
    }

    void start_elsewhere(transport::monotonic_time now, resume_way way,
                         attempt_id next)
    {
        if (!events.empty() && events.back().kind == stream_event_kind::finish)
        {
            end_here(now);
            return;
        }
        if (!count_resume())
        {
            return;
        }
        resume_stream order;
        order.way = way;
        order.attempt = next;
        order.previous = attempt;
        order.text_events = events.size();
        if (way == resume_way::prefill)
        {
            order.recomputed_tokens =
                origin.prompt_tokens + static_cast<double>(events.size());
            recomputed += order.recomputed_tokens;
        }
        attempt = next;
        attempt_base = events.size();
        attempt_uncopied = true;
        engine = stream_engine_state::resuming;
        heard_at = now;
        last_way = way;
        actions.emplace_back(order);
        copy(now);
    }
};

} // namespace hyssopdeal::coordination

#endif
