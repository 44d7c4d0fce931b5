#include "matrix_stream_world.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <xxhash.h>

namespace hyssopdeal::tests::matrix
{

namespace
{

using namespace std::chrono_literals;
using namespace coordination;

constexpr std::string_view organisation = "orchard";
constexpr std::chrono::milliseconds token_time{15};
constexpr std::chrono::milliseconds tick_time{10};
constexpr std::chrono::milliseconds copy_limit{400};
constexpr std::chrono::milliseconds resume_limit{400};
constexpr std::chrono::milliseconds caller_patience{1'500};
constexpr std::chrono::milliseconds reconnect_time{100};

stream_settings matrix_stream_settings(const matrix_world& world)
{
    stream_settings settings;
    settings.engine_silence = 800ms;
    settings.batch_events = 2;
    settings.max_resumes = 50;
    if (world.breaks(matrix_break::send_before_copy))
    {
        settings.copies = copy_order::behind;
    }
    return settings;
}

std::uint64_t hash_of(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

// A stream that has gone to another owner counts until that one has a copy
// elsewhere: this instance leaves, and two copies stay.
bool needs_hand_over(const owned_stream& owned)
{
    const auto phase = owned.record.phase();
    return phase == stream_phase::running || phase == stream_phase::ended ||
           (phase == stream_phase::handed_over && !owned.safe_elsewhere);
}

} // namespace

std::uint64_t count_tokens(std::string_view text)
{
    return static_cast<std::uint64_t>(
        std::count(text.begin(), text.end(), ' '));
}

std::string chained_token(std::string_view version, std::uint64_t salt,
                          std::string_view before)
{
    return fmt::format("{}.{}.{:016x} ", version, salt, hash_of(before));
}

std::string answer_mistake(std::string_view text)
{
    std::string version;
    std::size_t at = 0;
    std::uint64_t count = 0;
    while (at < text.size())
    {
        const auto token = text.substr(at, text.find(' ', at) - at);
        const auto dot = token.find('.');
        const auto last = token.rfind('.');
        const std::string this_version(token.substr(0, dot));
        if (count == 0)
        {
            version = this_version;
        }
        if (version != this_version)
        {
            return "its version changes";
        }
        if (token.substr(last + 1) !=
            fmt::format("{:016x}", hash_of(text.substr(0, at))))
        {
            return fmt::format("token {} follows another text", count + 1);
        }
        at += token.size() + 1;
        ++count;
    }
    return {};
}

stream_world::stream_world(matrix_world& world)
    : world_(world)
{
    for (std::size_t at = 0; at < 3; ++at)
    {
        sim_engine engine;
        engine.version =
            world.breaks(matrix_break::other_version) && at > 0 ? "v2" : "v1";
        engine.node = world.add_node(
            fmt::format("engine-{}", at + 1), fmt::format("d{}", at + 1),
            {[this, at](node_end) { engines_[at].attempts.clear(); }, {}});
        engines_.push_back(std::move(engine));
    }
    for (std::size_t at = 0; at < 3; ++at)
    {
        sim_entry entry;
        entry.name = fmt::format("entry-{}", at + 1);
        entry.node = world.add_node(
            entry.name, fmt::format("d{}", at + 1),
            {[this, at](node_end) { forget(at); }, [this, at] { tick(at); }});
        entries_.push_back(std::move(entry));
        tick(at);
    }
    // The caller itself is outside of the system: it never dies for good.
    caller_.node = world.add_node("caller", "outside", {});
}

// Engines --------------------------------------------------------------------

void stream_world::start_attempt(std::size_t engine, attempt_id id,
                                 const std::string& stream, std::string text,
                                 std::size_t reader)
{
    auto& known = engines_[engine].attempts;
    if (known.contains(id))
    {
        return;
    }
    known.emplace(id, sim_attempt{stream, std::move(text), {}, reader});
    world_.after(engines_[engine].node, token_time,
                 [this, engine, id] { produce(engine, id); });
}

void stream_world::produce(std::size_t engine, attempt_id id)
{
    auto& at = engines_[engine];
    const auto found = at.attempts.find(id);
    if (found == at.attempts.end())
    {
        return;
    }
    auto& attempt = found->second;
    engine_event event;
    event.attempt = id;
    event.sequence = attempt.events.size() + 1;
    const bool text_is_whole = count_tokens(attempt.text) >= answer_tokens;
    const bool has_finish =
        !attempt.events.empty() &&
        attempt.events.back().kind == stream_event_kind::finish;
    if (!text_is_whole)
    {
        event.text = chained_token(at.version, id.low, attempt.text);
        attempt.text += event.text;
    }
    else
    {
        event.kind =
            has_finish ? stream_event_kind::done : stream_event_kind::finish;
    }
    const auto kind = event.kind;
    attempt.events.push_back(std::move(event));
    send_event(engine, id, attempt.events.size());
    if (kind != stream_event_kind::done)
    {
        world_.after(at.node, token_time,
                     [this, engine, id] { produce(engine, id); });
    }
}

void stream_world::send_event(std::size_t engine, attempt_id id,
                              std::uint64_t sequence)
{
    const auto& at = engines_[engine];
    const auto& attempt = at.attempts.at(id);
    const auto reader = attempt.reader;
    world_.send(at.node, entries_[reader].node,
                fmt::format("event {} of attempt {}", sequence, id.low),
                [this, reader, stream = attempt.stream,
                 event = attempt.events[sequence - 1]] {
                    on_engine_event(reader, stream, event);
                });
}

void stream_world::attach(std::size_t engine, attempt_id id, std::uint64_t from,
                          std::size_t reader, const std::string& stream,
                          std::uint64_t number)
{
    auto& at = engines_[engine];
    const auto found = at.attempts.find(id);
    if (found == at.attempts.end())
    {
        world_.send(at.node, entries_[reader].node, "attempt unknown",
                    [this, reader, stream, number] {
                        auto* owned = find(reader, stream);
                        if (owned != nullptr && owned->resumes == number)
                        {
                            owned->record.on_resume_failed(world_.now(),
                                                           new_attempt());
                            pump(reader, stream);
                        }
                    });
        return;
    }
    found->second.reader = reader;
    for (auto next = from; next <= found->second.events.size(); ++next)
    {
        send_event(engine, id, next);
    }
}

// Owners ---------------------------------------------------------------------

owned_stream* stream_world::find(std::size_t entry, const std::string& stream)
{
    const auto found = entries_[entry].streams.find(stream);
    return found == entries_[entry].streams.end() ? nullptr : &found->second;
}

stream_world::attempt_id stream_world::new_attempt()
{
    return {1, ++attempts_};
}

std::size_t stream_world::next_holder(std::size_t entry,
                                      std::size_t former) const
{
    auto next = (former + 1) % entries_.size();
    return next == entry ? (next + 1) % entries_.size() : next;
}

std::size_t stream_world::next_engine(std::size_t former) const
{
    auto next = (former + 1) % engines_.size();
    return next == leaving_engine_ ? (next + 1) % engines_.size() : next;
}

void stream_world::open_at(std::size_t entry, const std::string& stream,
                           std::uint64_t connection)
{
    if (entries_[entry].refuses_new)
    {
        return refuse_caller(entry, connection);
    }
    if (find(entry, stream) != nullptr)
    {
        return; // The same request came twice on one connection.
    }
    stream_origin origin;
    origin.stream = stream;
    origin.organisation = organisation;
    origin.version = "v1";
    origin.prompt_tokens = 10;
    const auto id = new_attempt();
    owned_stream owned{stream_record(world_.now(), origin, id, 1,
                                     matrix_stream_settings(world_))};
    owned.engine = leaving_engine_ == 0 ? 1 : 0;
    owned.holder = entry;
    const auto engine = owned.engine;
    entries_[entry].streams.emplace(stream, std::move(owned));
    world_.send(entries_[entry].node, engines_[engine].node, "start",
                [this, engine, id, stream, entry] {
                    start_attempt(engine, id, stream, "", entry);
                });
    watch_engine(entry, stream, engine);
    choose_holder(entry, stream);
}

void stream_world::watch_engine(std::size_t entry, const std::string& stream,
                                std::size_t engine)
{
    world_.watch(entries_[entry].node, engines_[engine].node,
                 [this, entry, stream, engine] {
                     auto* owned = find(entry, stream);
                     if (owned == nullptr || owned->engine != engine)
                     {
                         return;
                     }
                     auto& record = owned->record;
                     if (world_.breaks(matrix_break::end_without_mark))
                     {
                         engine_event end;
                         end.attempt = record.attempt();
                         end.kind = stream_event_kind::done;
                         for (std::uint64_t at = 1;
                              at <= record.events().size() + 1; ++at)
                         {
                             end.sequence = at;
                             (void)record.on_engine_event(world_.now(), end);
                         }
                     }
                     record.on_engine_loss(
                         world_.now(),
                         {engine_loss::cause::engine_gone, {}, 0ms},
                         new_attempt());
                     pump(entry, stream);
                 });
}

void stream_world::on_engine_event(std::size_t entry, const std::string& stream,
                                   engine_event event)
{
    auto* owned = find(entry, stream);
    if (owned == nullptr)
    {
        return;
    }
    if (world_.breaks(matrix_break::accept_old_attempt) &&
        event.attempt != owned->record.attempt())
    {
        event.attempt = owned->record.attempt();
    }
    (void)owned->record.on_engine_event(world_.now(), std::move(event));
    pump(entry, stream);
}

void stream_world::pump(std::size_t entry, const std::string& stream)
{
    auto* owned = find(entry, stream);
    while (owned != nullptr)
    {
        const auto actions = owned->record.take_actions();
        if (actions.empty())
        {
            return;
        }
        for (const auto& action : actions)
        {
            perform(entry, stream, action);
        }
        owned = find(entry, stream);
    }
}

void stream_world::perform(std::size_t entry, const std::string& stream,
                           const stream_action& action)
{
    if (const auto* copies = std::get_if<copy_events>(&action))
    {
        copy(entry, stream, *copies);
    }
    else if (const auto* events = std::get_if<deliver_events>(&action))
    {
        deliver(entry, stream, *events);
    }
    else if (const auto* order = std::get_if<resume_stream>(&action))
    {
        resume(entry, stream, *order);
    }
    else if (const auto* failed = std::get_if<stream_failed>(&action))
    {
        world_.note(fmt::format("{}: the stream fails: {}",
                                entries_[entry].name, failed->error.text));
    }
    else if (std::holds_alternative<stream_handed_over>(action))
    {
        refuse_caller(entry, caller_.connection);
    }
}

void stream_world::copy(std::size_t entry, const std::string& stream,
                        const copy_events& order)
{
    auto& owned = *find(entry, stream);
    std::vector<stream_event> events;
    for (auto number = order.from; number <= order.to; ++number)
    {
        events.push_back(owned.record.events()[number - 1]);
    }
    const auto holder = owned.holder;
    const auto number = ++owned.copies_sent;
    world_.send(entries_[entry].node, entries_[holder].node,
                fmt::format("copy {}..{} epoch {}", order.from, order.to,
                            owned.record.epoch()),
                [this, holder, entry, origin = owned.record.origin(),
                 epoch = owned.record.epoch(), order,
                 server = std::to_string(owned.engine), events, number] {
                    take_copy(holder, entry, origin, epoch, order, server,
                              events, number);
                });
    world_.after(entries_[entry].node, copy_limit,
                 [this, entry, stream, number, holder] {
                     auto* later = find(entry, stream);
                     if (later != nullptr && later->holder == holder &&
                         later->copies_heard < number)
                     {
                         lose_holder(entry, stream);
                     }
                 });
}

void stream_world::lose_holder(std::size_t entry, const std::string& stream)
{
    auto& owned = *find(entry, stream);
    owned.copies_heard = owned.copies_sent;
    owned.record.on_holder_lost(world_.now());
    choose_holder(entry, stream);
}

void stream_world::choose_holder(std::size_t entry, const std::string& stream)
{
    auto& owned = *find(entry, stream);
    owned.holder = next_holder(entry, owned.holder);
    world_.watch(entries_[entry].node, entries_[owned.holder].node,
                 [this, entry, stream, holder = owned.holder] {
                     const auto* later = find(entry, stream);
                     if (later != nullptr && later->holder == holder)
                     {
                         lose_holder(entry, stream);
                     }
                 });
    owned.record.on_holder_chosen(world_.now(), holder_presence::chosen);
    pump(entry, stream);
}

void stream_world::resume(std::size_t entry, const std::string& stream,
                          const resume_stream& order)
{
    auto& owned = *find(entry, stream);
    const auto number = ++owned.resumes;
    const bool same_engine = order.way == resume_way::resume_on_engine;
    if (!same_engine)
    {
        owned.engine = next_engine(owned.engine);
    }
    const auto engine = owned.engine;
    if (same_engine)
    {
        world_.send(entries_[entry].node, engines_[engine].node,
                    fmt::format("go on from {}", order.from_sequence),
                    [this, engine, order, entry, stream, number] {
                        attach(engine, order.attempt, order.from_sequence,
                               entry, stream, number);
                    });
    }
    else
    {
        world_.send(
            entries_[entry].node, engines_[engine].node,
            fmt::format("prefill attempt {}", order.attempt.low),
            [this, engine, order, stream, entry, text = owned.record.text()] {
                start_attempt(engine, order.attempt, stream, text, entry);
            });
        watch_engine(entry, stream, engine);
    }
    if (!world_.is_up(engines_[engine].node))
    {
        // No connection: known at once.
        world_.after(
            entries_[entry].node, tick_time, [this, entry, stream, number] {
                auto* later = find(entry, stream);
                if (later != nullptr && later->resumes == number)
                {
                    later->record.on_resume_failed(world_.now(), new_attempt());
                    pump(entry, stream);
                }
            });
    }
    world_.after(
        entries_[entry].node, resume_limit,
        [this, entry, stream, number, same_engine] {
            auto* later = find(entry, stream);
            if (later != nullptr && later->resumes == number && same_engine)
            {
                later->record.on_resume_failed(world_.now(), new_attempt());
                pump(entry, stream);
            }
        });
}

void stream_world::deliver(std::size_t entry, const std::string& stream,
                           const deliver_events& order)
{
    auto& owned = *find(entry, stream);
    std::vector<stream_event> events;
    for (auto number = order.from; number <= order.to; ++number)
    {
        events.push_back(owned.record.events()[number - 1]);
    }
    const auto connection = caller_.connection;
    if (caller_.entry != entry)
    {
        owned.record.on_caller_left(world_.now());
        return;
    }
    world_.send(entries_[entry].node, caller_.node,
                fmt::format("events {}..{}", order.from, order.to),
                [this, entry, connection, stream, events] {
                    caller_hears(entry, connection, stream, events);
                });
}

void stream_world::tick(std::size_t entry)
{
    auto& at = entries_[entry];
    std::vector<std::string> streams;
    for (auto& [name, owned] : at.streams)
    {
        owned.record.on_time(world_.now());
        streams.push_back(name);
    }
    for (const auto& name : streams)
    {
        pump(entry, name);
    }
    if (at.drain)
    {
        step_drain(entry);
    }
    if (world_.is_up(at.node))
    {
        world_.after(at.node, tick_time, [this, entry] { tick(entry); });
    }
}

void stream_world::step_drain(std::size_t entry)
{
    auto& at = entries_[entry];
    open_work work;
    for (const auto& [name, owned] : at.streams)
    {
        work.streams += needs_hand_over(owned) ? 1 : 0;
    }
    at.drain->on_progress(world_.now(), work);
    for (const auto action : at.drain->take_actions())
    {
        switch (action)
        {
        case drain_action::fail_readiness:
        case drain_action::refuse_queue:
        case drain_action::close_rest:
            break;
        case drain_action::refuse_new:
            at.refuses_new = true;
            break;
        case drain_action::hand_over_streams:
            at.handed_over = true;
            hand_over(entry);
            break;
        case drain_action::exit:
            if (work.streams > 0 && !at.handed_over)
            {
                world_.violation("An entry ended with an open stream that it "
                                 "did not hand over.");
            }
            world_.stop(at.node);
            forget(entry);
            return;
        }
    }
    if (world_.breaks(matrix_break::drain_without_hand_over) && at.refuses_new)
    {
        if (work.streams > 0)
        {
            world_.violation("An entry ended with an open stream that it did "
                             "not hand over.");
        }
        world_.stop(at.node);
    }
}

void stream_world::hand_over(std::size_t entry)
{
    for (auto& [name, owned] : entries_[entry].streams)
    {
        if (!needs_hand_over(owned))
        {
            continue;
        }
        const auto holder = owned.holder;
        world_.send(entries_[entry].node, entries_[holder].node, "hand over",
                    [this, holder, entry, stream = name,
                     delivered = owned.record.delivered_to()] {
                        // A holder that has less than the caller would make
                        // another text of the rest.
                        if (take_over(holder, stream, delivered, false))
                        {
                            find(holder, stream)->taken_from = entry;
                            confirm_take_over(holder, stream);
                        }
                    });
    }
    world_.after(entries_[entry].node, 200ms,
                 [this, entry] { hand_over(entry); });
}

// Tells a leaving owner that the stream is safe without it.
void stream_world::confirm_take_over(std::size_t entry,
                                     const std::string& stream)
{
    const auto& owned = *find(entry, stream);
    if (!owned.taken_from || owned.record.copied_to() == 0)
    {
        return;
    }
    world_.send(
        entries_[entry].node, entries_[*owned.taken_from].node, "taken over",
        [this, from = *owned.taken_from, stream, epoch = owned.record.epoch()] {
            auto* left = find(from, stream);
            if (left != nullptr)
            {
                left->safe_elsewhere = true;
                left->record.on_newer_epoch(world_.now(), epoch);
                pump(from, stream);
            }
        });
}

// Holders --------------------------------------------------------------------

void stream_world::take_copy(std::size_t holder, std::size_t owner,
                             const stream_origin& origin, owner_epoch epoch,
                             const copy_events& order,
                             const std::string& server,
                             std::vector<stream_event> events,
                             std::uint64_t number)
{
    auto& copies = entries_[holder].copies;
    const auto* held = copies.find(origin.stream);
    const bool forged = world_.breaks(matrix_break::keep_old_owner) &&
                        held != nullptr && held->epoch > epoch;
    const auto used_epoch = forged ? held->epoch : epoch;
    const auto owner_name = forged ? held->owner : entries_[owner].name;
    auto answer = copies.open(world_.now(), origin, owner_name, used_epoch);
    if (answer)
    {
        answer = copies.append(world_.now(), origin.stream, used_epoch,
                               {order.attempt, server, order.sequence, order.to,
                                std::move(events)});
    }
    if (answer && held != nullptr && epoch < held->epoch)
    {
        world_.violation("A holder took a copy of an owner that another one "
                         "has replaced.");
    }
    world_.send(entries_[holder].node, entries_[owner].node,
                answer ? fmt::format("copied to {}", answer->copied_to)
                       : "copy refused",
                [this, owner, holder, stream = origin.stream, answer, number] {
                    auto* owned = find(owner, stream);
                    if (owned == nullptr || owned->holder != holder)
                    {
                        return;
                    }
                    owned->copies_heard = std::max(owned->copies_heard, number);
                    if (answer)
                    {
                        owned->record.on_copied(world_.now(),
                                                answer->copied_to);
                        confirm_take_over(owner, stream);
                    }
                    else
                    {
                        owned->record.on_copy_refused(world_.now());
                    }
                    pump(owner, stream);
                });
}

bool stream_world::take_over(std::size_t entry, const std::string& stream,
                             std::uint64_t last_event, bool caller_here)
{
    auto& at = entries_[entry];
    if (find(entry, stream) != nullptr &&
        find(entry, stream)->record.phase() != stream_phase::handed_over)
    {
        return true;
    }
    const auto* held = at.copies.find(stream);
    if (held == nullptr || last_event > held->events.size())
    {
        return false;
    }
    auto copy =
        at.copies.take_over(world_.now(), stream, organisation, at.name);
    if (!copy)
    {
        return false;
    }
    newest_epoch_[stream] = std::max(newest_epoch_[stream], copy->epoch);
    const bool has_attempt = copy->attempt != attempt_id{};
    const std::size_t engine =
        copy->server.empty() ? 0 : copy->server.front() - '0';
    owned_stream owned{stream_record(world_.now(), copy->origin, copy->events,
                                     copy->attempt, copy->sequence, copy->epoch,
                                     matrix_stream_settings(world_))};
    owned.engine = engine;
    owned.holder = entry;
    at.streams.erase(stream);
    auto& record =
        at.streams.emplace(stream, std::move(owned)).first->second.record;
    world_.note(fmt::format("{} takes {} over, epoch {}", at.name, stream,
                            record.epoch()));
    if (caller_here)
    {
        (void)record.on_caller(world_.now(), organisation, last_event);
    }
    choose_holder(entry, stream);
    record.on_engine_loss(world_.now(),
                          {has_attempt ? engine_loss::cause::connection_lost
                                       : engine_loss::cause::engine_gone,
                           {},
                           0ms},
                          new_attempt());
    watch_engine(entry, stream, engine);
    pump(entry, stream);
    return true;
}

// The caller -----------------------------------------------------------------

void stream_world::open()
{
    connect(0);
    watch_caller();
}

void stream_world::connect(std::size_t entry)
{
    caller_.entry = entry;
    const auto connection = ++caller_.connection;
    caller_.heard_at = world_.now();
    if (caller_.stream.empty())
    {
        const auto stream = fmt::format("s{}", ++opened_);
        world_.send(caller_.node, entries_[entry].node, "ask",
                    [this, entry, stream, connection] {
                        open_at(entry, stream, connection);
                    });
    }
    else
    {
        world_.send(
            caller_.node, entries_[entry].node,
            fmt::format("resume after {}", caller_.last_event),
            [this, entry, stream = caller_.stream, last = caller_.last_event,
             connection] { resume_at(entry, stream, last, connection); });
    }
    if (!world_.is_up(entries_[entry].node))
    {
        world_.after(reconnect_time, [this, entry, connection] {
            if (caller_.connection == connection && !caller_.done)
            {
                connect((entry + 1) % entries_.size());
            }
        });
        return;
    }
    world_.watch(caller_.node, entries_[entry].node, [this, entry, connection] {
        if (caller_.connection == connection && !caller_.done)
        {
            connect((entry + 1) % entries_.size());
        }
    });
}

void stream_world::watch_caller()
{
    if (!caller_.done && world_.now() - caller_.heard_at > caller_patience)
    {
        connect((caller_.entry + 1) % entries_.size());
    }
    if (!caller_.done)
    {
        world_.after(reconnect_time, [this] { watch_caller(); });
    }
}

void stream_world::resume_at(std::size_t entry, const std::string& stream,
                             std::uint64_t last_event, std::uint64_t connection)
{
    auto* owned = find(entry, stream);
    if (owned != nullptr && owned->record.phase() != stream_phase::handed_over)
    {
        const auto accepted =
            owned->record.on_caller(world_.now(), organisation, last_event);
        pump(entry, stream);
        if (!accepted)
        {
            refuse_caller(entry, connection);
        }
        return;
    }
    if (!take_over(entry, stream, last_event, true))
    {
        refuse_caller(entry, connection);
    }
}

void stream_world::refuse_caller(std::size_t entry, std::uint64_t connection)
{
    world_.send(entries_[entry].node, caller_.node, "connection closed",
                [this, entry, connection] {
                    if (caller_.connection != connection || caller_.done ||
                        caller_.entry != entry)
                    {
                        return;
                    }
                    world_.after(reconnect_time, [this, entry, connection] {
                        if (caller_.connection == connection && !caller_.done)
                        {
                            connect((entry + 1) % entries_.size());
                        }
                    });
                });
}

void stream_world::caller_hears(std::size_t entry, std::uint64_t connection,
                                const std::string& stream,
                                const std::vector<stream_event>& events)
{
    // One connection keeps its order: a piece that is late breaks it.
    const bool follows =
        !events.empty() && events.front().number == caller_.last_event + 1;
    if (caller_.connection != connection || caller_.entry != entry ||
        caller_.done || !follows)
    {
        return;
    }
    if (!caller_.stream.empty() && caller_.stream != stream)
    {
        return world_.violation("The caller got another stream's event.");
    }
    caller_.stream = stream;
    caller_.heard_at = world_.now();
    for (const auto& event : events)
    {
        caller_.last_event = event.number;
        caller_.text += event.text;
        caller_.done = caller_.done || event.kind == stream_event_kind::done;
    }
}

// An entry has died: all that it had in memory is gone.
void stream_world::forget(std::size_t entry)
{
    auto& dead = entries_[entry];
    std::vector<std::string> had;
    for (std::uint64_t number = 1; number <= opened_; ++number)
    {
        const auto stream = fmt::format("s{}", number);
        if (dead.streams.contains(stream) || dead.copies.find(stream))
        {
            had.push_back(stream);
        }
    }
    dead.streams.clear();
    dead.copies = stream_copies{};
    dead.drain.reset();
    for (const auto& stream : had)
    {
        if (!is_held(stream))
        {
            world_.note("The last copy is lost of " + stream);
            lost_streams_.insert(stream);
        }
    }
}

bool stream_world::is_held(const std::string& stream)
{
    const auto needed = caller_.stream == stream ? caller_.last_event : 0;
    return std::any_of(
        entries_.begin(), entries_.end(), [&](const sim_entry& entry) {
            const auto* held = entry.copies.find(stream);
            return entry.streams.contains(stream) ||
                   (held != nullptr && held->events.size() >= needed);
        });
}

// Orders and checks ----------------------------------------------------------

void stream_world::reclaim_engine(std::size_t engine,
                                  std::chrono::milliseconds notice)
{
    leaving_engine_ = engine;
    const auto gone_at = world_.now() + notice;
    for (std::size_t entry = 0; entry < entries_.size(); ++entry)
    {
        world_.send(
            engines_[engine].node, entries_[entry].node, "reclaim notice",
            [this, entry, engine, gone_at] {
                std::vector<std::string> streams;
                for (auto& [name, owned] : entries_[entry].streams)
                {
                    if (owned.engine == engine)
                    {
                        owned.record.on_engine_loss(
                            world_.now(),
                            {engine_loss::cause::reclaim_notice, gone_at, 0ms},
                            new_attempt());
                        streams.push_back(name);
                    }
                }
                for (const auto& name : streams)
                {
                    pump(entry, name);
                }
            });
    }
    world_.after(notice, [this, engine] {
        engines_[engine].attempts.clear();
        world_.stop(engines_[engine].node);
    });
}

void stream_world::drain_entry(std::size_t entry)
{
    drain_settings settings;
    settings.readiness_delay = 20ms;
    settings.finish_time = 40ms;
    entries_[entry].drain.emplace(settings);
    entries_[entry].drain->on_signal(world_.now());
}

void stream_world::check()
{
    const auto mistake = answer_mistake(caller_.text);
    if (!mistake.empty())
    {
        world_.violation("The caller's answer: " + mistake);
    }
    const auto tokens = count_tokens(caller_.text);
    if (caller_.done && tokens != answer_tokens)
    {
        world_.violation(fmt::format("The caller's answer ends at token {} "
                                     "of {}.",
                                     tokens, answer_tokens));
    }
    if (caller_.done || lost_streams_.contains(caller_.stream))
    {
        return;
    }
    world_.violation(caller_.stream.empty()
                         ? std::string("The request was never answered.")
                         : fmt::format("The accepted stream stopped at {}.",
                                       caller_.last_event));
}

} // namespace hyssopdeal::tests::matrix
