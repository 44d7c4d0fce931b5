#include "stream_world.hpp"

#include <algorithm>

namespace hyssopdeal::tests
{

namespace
{

using namespace std::chrono_literals;
using namespace coordination;
using std::chrono::milliseconds;

constexpr std::uint64_t answer_tokens = 60;
constexpr auto token_interval = 2ms;
constexpr auto link_delay = 2ms;
constexpr auto prefill_time = 20ms;
constexpr auto call_time_limit = 40ms;
constexpr auto unread_limit = 2s;
constexpr auto run_limit = 60s;

stream_origin make_origin()
{
    stream_origin origin;
    origin.stream = "s1";
    origin.organisation = "orchard";
    origin.version = "v1";
    origin.prompt_tokens = 100;
    return origin;
}

stream_settings make_stream_settings()
{
    stream_settings settings;
    settings.engine_silence = 200ms;
    return settings;
}

stream_event_kind kind_of(std::uint64_t number)
{
    if (number <= answer_tokens)
    {
        return stream_event_kind::text;
    }
    return number == answer_tokens + 1 ? stream_event_kind::finish
                                       : stream_event_kind::done;
}

} // namespace

std::string to_string(stream_fault fault)
{
    constexpr const char* names[] = {"none",
                                     "engine_dies",
                                     "engine_stalls",
                                     "engine_answers_late",
                                     "engine_duplicates",
                                     "engine_reorders",
                                     "engine_answers_wrong_attempt",
                                     "engine_cuts_without_end_mark",
                                     "owner_dies",
                                     "holder_dies",
                                     "holder_is_cut_off",
                                     "notice_with_time_for_kv",
                                     "notice_too_short",
                                     "false_notice",
                                     "caller_returns_elsewhere"};
    return names[static_cast<std::size_t>(fault)];
}

stream_world::stream_world(std::uint64_t seed)
    : random_(seed)
{
    engines_.resize(5);
    const char* domains[] = {"a", "b", "c", "a"};
    for (int i = 0; i < 4; ++i)
    {
        entry made;
        made.name = "e" + std::to_string(i);
        made.failure_domain = domains[i];
        entries_.push_back(std::move(made));
    }
    const auto id = new_attempt();
    entries_[0].record = std::make_unique<stream_record>(
        clock(), make_origin(), id, 1, make_stream_settings());
    engines_[0].attempts.push_back(
        {id, 0, 0, 1, std::size_t{0}, 0ms, prefill_time});
    connected_ = 0;
    choose_holder(0);
}

void stream_world::inject(milliseconds at, stream_fault fault)
{
    later(at, [this, fault] { happen(fault); });
}

void stream_world::run()
{
    while (!whole_ && defect_.empty() && now_ < run_limit)
    {
        now_ += 1ms;
        run_due();
        for (std::size_t i = 0; i < engines_.size(); ++i)
        {
            step_engine(i);
        }
        for (std::size_t i = 0; i < entries_.size(); ++i)
        {
            if (entries_[i].alive && entries_[i].record)
            {
                entries_[i].record->on_time(clock());
                apply(i);
            }
        }
    }
}

std::string stream_world::defect() const
{
    if (!defect_.empty())
    {
        return defect_;
    }
    return whole_ ? "" : "not delivered";
}

std::size_t stream_world::copies_left()
{
    std::size_t left = 0;
    for (auto& known : entries_)
    {
        static_cast<void>(known.copies.expire(clock() + 61s));
        left += known.copies.size() + known.copies.bytes();
    }
    return left;
}

double stream_world::recomputed_tokens() const noexcept
{
    return recomputed_;
}

milliseconds stream_world::duration() const noexcept
{
    return now_;
}

transport::monotonic_time stream_world::clock() const
{
    return transport::monotonic_time{1h} + now_;
}

attempt_id stream_world::new_attempt()
{
    return {random_(), random_()};
}

void stream_world::later(milliseconds delay, std::function<void()> run)
{
    queue_.push_back({now_ + delay, std::move(run)});
}

void stream_world::run_due()
{
    for (std::size_t i = 0; i < queue_.size();)
    {
        if (queue_[i].at > now_)
        {
            ++i;
            continue;
        }
        const auto run = std::move(queue_[i].run);
        queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(i));
        run();
        i = 0;
    }
}

std::string stream_world::token(std::uint64_t number, attempt_id id)
{
    // Each attempt words its text in its own way, as engines that sample do.
    return number <= answer_tokens ? "w" + std::to_string(number) + "." +
                                         std::to_string(id.low % 1'000) + " "
                                   : "";
}

void stream_world::step_engine(std::size_t number)
{
    auto& from = engines_[number];
    if (!from.alive || now_ < from.stalled_until ||
        now_.count() % token_interval.count() != 0)
    {
        return;
    }
    for (std::size_t i = 0; i < from.attempts.size(); ++i)
    {
        auto& running = from.attempts[i];
        const auto last = answer_tokens + 2 - running.base;
        if (now_ >= running.starts_at && running.produced < last)
        {
            ++running.produced;
        }
        running.unread = running.reader ? 0ms : running.unread + token_interval;
        while (running.reader && running.next_sent <= running.produced)
        {
            send_event(number, running, running.next_sent);
            ++running.next_sent;
        }
    }
    std::erase_if(from.attempts, [](const auto& running) {
        return running.unread >= unread_limit;
    });
}

void stream_world::send_event(std::size_t number, attempt& running,
                              std::uint64_t sequence)
{
    auto& from = engines_[number];
    const auto reader = *running.reader;
    const auto position = running.base + sequence;
    engine_event event{running.id, sequence, kind_of(position),
                       token(position, running.id), "{}"};
    const auto delay = now_ < from.late_until ? 80ms : 1ms;
    const auto send = [&](const engine_event& sent, milliseconds after) {
        later(after, [this, reader, sent] {
            auto& to = entries_[reader];
            if (to.alive && to.record)
            {
                static_cast<void>(to.record->on_engine_event(clock(), sent));
                apply(reader);
            }
        });
    };
    const auto fault = std::exchange(from.next_event, stream_fault::none);
    if (fault == stream_fault::engine_answers_wrong_attempt)
    {
        auto wrong = event;
        wrong.attempt = new_attempt();
        wrong.text = "somebody else's ";
        send(wrong, delay);
    }
    if (fault == stream_fault::engine_duplicates)
    {
        send(event, delay);
    }
    send(event, fault == stream_fault::engine_reorders ? delay + 10ms : delay);
}

void stream_world::drop_reader(std::size_t number)
{
    for (auto& from : engines_)
    {
        for (auto& running : from.attempts)
        {
            if (running.reader == number)
            {
                running.reader.reset();
            }
        }
    }
}

stream_world::attempt* stream_world::find_attempt(attempt_id id,
                                                  std::size_t* number)
{
    for (std::size_t i = 0; i < engines_.size(); ++i)
    {
        for (auto& running : engines_[i].attempts)
        {
            if (engines_[i].alive && running.id == id)
            {
                *number = i;
                return &running;
            }
        }
    }
    return nullptr;
}

void stream_world::apply(std::size_t number)
{
    auto& here = entries_[number];
    while (here.record)
    {
        const auto actions = here.record->take_actions();
        if (actions.empty())
        {
            return;
        }
        for (const auto& action : actions)
        {
            if (const auto* batch = std::get_if<copy_events>(&action))
            {
                copy(number, *batch);
            }
            else if (const auto* part = std::get_if<deliver_events>(&action))
            {
                deliver(number, *part);
            }
            else if (const auto* order = std::get_if<resume_stream>(&action))
            {
                resume(number, *order);
            }
            else if (const auto* gone = std::get_if<cancel_attempt>(&action))
            {
                cancel(gone->attempt);
            }
            else if (const auto* failed = std::get_if<stream_failed>(&action))
            {
                defect_ = "failed: " + failed->error.text;
            }
            else if (std::holds_alternative<stream_handed_over>(action) &&
                     connected_ == number)
            {
                disconnect();
            }
        }
    }
}

void stream_world::resume(std::size_t number, const resume_stream& order)
{
    recomputed_ += order.recomputed_tokens;
    if (order.way != resume_way::resume_on_engine)
    {
        prefill(number, order,
                order.way == resume_way::prefill ? prefill_time : 30ms);
        return;
    }
    later(link_delay, [this, number, order] {
        auto& here = entries_[number];
        if (!here.alive || !here.record ||
            here.record->attempt() != order.attempt)
        {
            return;
        }
        std::size_t host = 0;
        auto* running = find_attempt(order.attempt, &host);
        if (running == nullptr || now_ < engines_[host].stalled_until)
        {
            here.record->on_resume_failed(clock(), new_attempt());
            apply(number);
            return;
        }
        running->reader = number;
        running->next_sent = order.from_sequence;
        here.record->on_attempt_started(clock(), order.attempt);
    });
}

void stream_world::prefill(std::size_t number, const resume_stream& order,
                           milliseconds delay)
{
    drop_reader(number);
    for (std::size_t i = 0; i < engines_.size(); ++i)
    {
        auto& target = engines_[i];
        std::size_t host = engines_.size();
        find_attempt(order.previous, &host);
        if (target.alive && !target.leaving && now_ >= target.stalled_until &&
            host != i)
        {
            target.attempts.push_back({order.attempt, order.text_events, 0, 1,
                                       number, 0ms, now_ + delay});
            entries_[number].record->on_attempt_started(clock(), order.attempt);
            if (order.way == resume_way::move_kv)
            {
                later(delay, [this, order] { cancel(order.previous); });
            }
            return;
        }
    }
    later(10ms, [this, number, order, delay] {
        const auto& here = entries_[number];
        if (here.alive && here.record &&
            here.record->attempt() == order.attempt)
        {
            prefill(number, order, delay);
        }
    });
}

void stream_world::cancel(attempt_id id)
{
    for (auto& from : engines_)
    {
        std::erase_if(from.attempts,
                      [id](const auto& running) { return running.id == id; });
    }
}

void stream_world::choose_holder(std::size_t number)
{
    auto& here = entries_[number];
    std::vector<entry_member> members;
    for (const auto& other : entries_)
    {
        members.push_back(
            {other.name, other.failure_domain,
             other.alive ? entry_liveness::alive : entry_liveness::leaving});
    }
    const auto pick = coordination::choose_holder(
        "s1", here.name, here.failure_domain, members, here.avoid);
    here.holder = pick.holder;
    ++here.holder_generation;
    here.record->on_holder_chosen(clock(), pick.spread == copy_spread::none
                                               ? holder_presence::none
                                               : holder_presence::chosen);
    apply(number);
}

stream_world::entry* stream_world::find_entry(const std::string& name)
{
    const auto found =
        std::find_if(entries_.begin(), entries_.end(),
                     [&](const auto& known) { return known.name == name; });
    return found != entries_.end() ? &*found : nullptr;
}

void stream_world::copy(std::size_t number, const copy_events& batch)
{
    auto& here = entries_[number];
    const auto generation = here.holder_generation;
    const auto& events = here.record->events();
    const std::vector<stream_event> sent(
        events.begin() + static_cast<std::ptrdiff_t>(batch.from - 1),
        events.begin() + static_cast<std::ptrdiff_t>(batch.to));
    const auto to =
        static_cast<std::size_t>(find_entry(here.holder) - entries_.data());
    const auto epoch = here.record->epoch();
    const auto reached = std::make_shared<bool>(false);
    later(call_time_limit, [this, number, generation, reached] {
        if (!*reached)
        {
            lose_holder(number, generation);
        }
    });
    later(link_delay, [=, this] {
        auto& holder = entries_[to];
        if (!holder.alive || cut_[number % 3][to % 3])
        {
            return;
        }
        auto got = holder.copies.open(clock(), make_origin(),
                                      entries_[number].name, epoch);
        if (got)
        {
            got = holder.copies.append(
                clock(), "s1", epoch,
                {batch.attempt, "", batch.sequence, batch.to, sent});
        }
        later(link_delay, [=, this] {
            if (!cut_[number % 3][to % 3])
            {
                *reached = true;
                answer_copy(number, generation, got);
            }
        });
    });
}

void stream_world::answer_copy(std::size_t number, std::uint64_t generation,
                               const transport::result<copy_answer>& got)
{
    auto& here = entries_[number];
    if (!here.alive || !here.record || here.holder_generation != generation)
    {
        return;
    }
    if (got)
    {
        here.record->on_copied(clock(), got->copied_to);
    }
    else if (got.error().code == transport::reason::revision_conflict)
    {
        here.record->on_copy_refused(clock());
    }
    apply(number);
}

void stream_world::lose_holder(std::size_t number, std::uint64_t generation)
{
    auto& here = entries_[number];
    if (!here.alive || !here.record || here.holder_generation != generation ||
        here.record->phase() == stream_phase::handed_over)
    {
        return;
    }
    here.avoid.push_back(here.holder);
    here.record->on_holder_lost(clock());
    choose_holder(number);
}

void stream_world::deliver(std::size_t number, const deliver_events& part)
{
    if (connected_ != number)
    {
        return;
    }
    const auto& events = entries_[number].record->events();
    for (auto at = part.from; at <= part.to; ++at)
    {
        const auto& event = events[at - 1];
        if (at != last_event_ + 1 || event.kind != kind_of(at))
        {
            defect_ = "wrong event " + std::to_string(at) + " after " +
                      std::to_string(last_event_);
            return;
        }
        last_event_ = at;
        received_ += event.text;
        whole_ = event.kind == stream_event_kind::done;
    }
    if (whole_ && received_ != entries_[number].record->text())
    {
        defect_ = "the answer is not of one piece: " + received_;
    }
}

void stream_world::connect(std::size_t number)
{
    if (connected_ || whole_)
    {
        return;
    }
    auto& here = entries_[number];
    const bool is_owner = here.alive && here.record &&
                          here.record->phase() != stream_phase::handed_over;
    if (here.alive && (is_owner || take_over(number)))
    {
        const auto joined =
            here.record->on_caller(clock(), "orchard", last_event_);
        if (joined)
        {
            connected_ = number;
            apply(number);
            return;
        }
        // Somebody else has sent more: this owner is no longer the owner.
        here.record->on_newer_epoch(clock(), here.record->epoch() + 1);
        apply(number);
    }
    const auto next = (number + 1) % entries_.size();
    later(20ms, [this, next] { connect(next); });
}

void stream_world::disconnect()
{
    if (connected_)
    {
        auto& there = entries_[*connected_];
        if (there.alive && there.record)
        {
            there.record->on_caller_left(clock());
        }
    }
    connected_.reset();
    const auto next = random_() % entries_.size();
    later(10ms, [this, next] { connect(next); });
}

bool stream_world::take_over(std::size_t number)
{
    // The newest epoch decides, whoever else still believes to own the stream.
    entry* place = nullptr;
    const stream_copy* newest = nullptr;
    for (auto& other : entries_)
    {
        const auto* copy = other.alive ? other.copies.find("s1") : nullptr;
        if (copy != nullptr &&
            (newest == nullptr || copy->epoch > newest->epoch ||
             (copy->epoch == newest->epoch &&
              copy->events.size() > newest->events.size())))
        {
            newest = copy;
            place = &other;
        }
    }
    const auto from = owner();
    const bool owner_is_newest =
        from &&
        (newest == nullptr || entries_[*from].record->epoch() >= newest->epoch);
    if (owner_is_newest)
    {
        place = find_entry(entries_[*from].holder);
    }
    const auto* copy =
        place != nullptr && place->alive ? place->copies.find("s1") : nullptr;
    if (copy == nullptr)
    {
        defect_ = from ? "" : "lost with its last copy";
        return false;
    }
    const auto taken = place->copies.take_over(clock(), "s1", "orchard",
                                               entries_[number].name);
    own(number, *taken);
    return true;
}

void stream_world::own(std::size_t number, stream_copy copy)
{
    auto& here = entries_[number];
    here.copies.close("s1", copy.epoch);
    here.avoid.clear();
    here.record = std::make_unique<stream_record>(
        clock(), make_origin(), std::move(copy.events), copy.attempt,
        copy.sequence, copy.epoch, make_stream_settings());
    here.record->on_engine_loss(
        clock(), {engine_loss::cause::connection_lost, {}, 0ms}, {});
    choose_holder(number);
}

std::optional<std::size_t> stream_world::owner() const
{
    for (std::size_t i = 0; i < entries_.size(); ++i)
    {
        const auto& record = entries_[i].record;
        if (entries_[i].alive && record &&
            record->phase() != stream_phase::handed_over)
        {
            return i;
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> stream_world::producing_engine()
{
    const auto who = owner();
    std::size_t host = 0;
    if (!who ||
        find_attempt(entries_[*who].record->attempt(), &host) == nullptr)
    {
        return std::nullopt;
    }
    return host;
}

void stream_world::kill_entry(std::size_t number)
{
    // Membership tells the others.
    later(20ms, [this, name = entries_[number].name] {
        for (std::size_t i = 0; i < entries_.size(); ++i)
        {
            if (entries_[i].holder == name)
            {
                lose_holder(i, entries_[i].holder_generation);
            }
        }
    });
    entries_[number].alive = false;
    entries_[number].record.reset();
    drop_reader(number);
    if (connected_ == number)
    {
        connected_.reset();
        later(10ms,
              [this, number] { connect((number + 1) % entries_.size()); });
    }
}

void stream_world::notice(milliseconds time, milliseconds kv_time)
{
    const auto host = producing_engine();
    const auto who = owner();
    if (!host || !who)
    {
        return;
    }
    engines_[*host].leaving = true;
    entries_[*who].record->on_engine_loss(
        clock(), {engine_loss::cause::reclaim_notice, clock() + time, kv_time},
        new_attempt());
    apply(*who);
    later(time, [this, at = *host] { engines_[at].alive = false; });
}

void stream_world::happen(stream_fault fault)
{
    const auto who = owner();
    switch (fault)
    {
    case stream_fault::owner_dies:
        if (who)
        {
            kill_entry(*who);
        }
        return;
    case stream_fault::holder_dies:
    case stream_fault::holder_is_cut_off:
        if (auto* holder = who ? find_entry(entries_[*who].holder) : nullptr)
        {
            const auto at = static_cast<std::size_t>(holder - entries_.data());
            if (fault == stream_fault::holder_dies)
            {
                kill_entry(at);
                return;
            }
            cut_[*who % 3][at % 3] = true;
            cut_[at % 3][*who % 3] = true;
        }
        return;
    case stream_fault::notice_with_time_for_kv:
        notice(200ms, 30ms);
        return;
    case stream_fault::notice_too_short:
        notice(10ms, 30ms);
        return;
    case stream_fault::caller_returns_elsewhere:
        if (connected_)
        {
            disconnect();
        }
        return;
    default:
        happen_to_engine(fault);
    }
}

void stream_world::happen_to_engine(stream_fault fault)
{
    const auto host = producing_engine();
    const auto who = owner();
    if (!host || !who)
    {
        return;
    }
    auto& hit = engines_[*host];
    switch (fault)
    {
    case stream_fault::engine_dies:
        hit.alive = false;
        later(2ms, [this, at = *who, id = entries_[*who].record->attempt()] {
            if (entries_[at].alive && entries_[at].record)
            {
                entries_[at].record->on_engine_closed(clock(), id);
                apply(at);
            }
        });
        return;
    case stream_fault::engine_stalls:
        hit.stalled_until = now_ + 1s;
        return;
    case stream_fault::engine_answers_late:
        hit.late_until = now_ + 30ms;
        return;
    case stream_fault::engine_cuts_without_end_mark:
        drop_reader(*who);
        entries_[*who].record->on_engine_closed(
            clock(), entries_[*who].record->attempt());
        apply(*who);
        return;
    case stream_fault::false_notice:
        notice(200ms, 30ms);
        later(250ms, [this, at = *host] {
            engines_[at].alive = true;
            engines_[at].leaving = false;
        });
        return;
    default:
        hit.next_event = fault;
    }
}

} // namespace hyssopdeal::tests
