#include <hyssopdeal/coordination/stream_record.hpp>

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "stream_record_state.hpp"

namespace hyssopdeal::coordination
{

namespace
{

using transport::monotonic_time;
using transport::reason;
using transport::verdict;

constexpr auto never = monotonic_time::max();

int digit_of(char character) noexcept
{
    if (character >= '0' && character <= '9')
    {
        return character - '0';
    }
    return character >= 'a' && character <= 'f' ? character - 'a' + 10 : -1;
}

} // namespace

std::string to_string(const attempt_id& id)
{
    return fmt::format("{:016x}{:016x}", id.high, id.low);
}

transport::result<attempt_id> parse_attempt_id(std::string_view text)
{
    constexpr std::size_t digits = 32;
    const bool is_hex =
        std::all_of(text.begin(), text.end(),
                    [](char character) { return digit_of(character) >= 0; });
    if (text.size() != digits || !is_hex)
    {
        return transport::fail(reason::bad_request,
                               "An attempt's id is 32 hex digits.");
    }
    attempt_id id;
    for (std::size_t at = 0; at < digits; ++at)
    {
        auto& half = at < digits / 2 ? id.high : id.low;
        half = half << 4U | static_cast<std::uint64_t>(digit_of(text[at]));
    }
    return id;
}

stream_record::stream_record(monotonic_time now, stream_origin origin,
                             attempt_id attempt, owner_epoch epoch,
                             stream_settings settings)
    : impl_(std::make_unique<impl>(impl{std::move(origin), settings, epoch}))
{
    impl_->attempt = attempt;
    impl_->heard_at = now;
    impl_->caller_here = true;
}

stream_record::stream_record(monotonic_time now, stream_origin origin,
                             std::vector<stream_event> copied,
                             attempt_id attempt, std::uint64_t sequence,
                             owner_epoch epoch, stream_settings settings)
    : impl_(std::make_unique<impl>(impl{std::move(origin), settings, epoch}))
{
    impl_->attempt = attempt;
    impl_->events = std::move(copied);
    impl_->attempt_base =
        impl_->events.size() - std::min(sequence, impl_->events.size());
    impl_->heard_at = now;
    impl_->left_at = now;
    impl_->served_to = impl_->events.size();
    for (const auto& event : impl_->events)
    {
        impl_->bytes += event_bytes(event);
    }
    if (!impl_->events.empty() &&
        impl_->events.back().kind == stream_event_kind::done)
    {
        impl_->phase = stream_phase::ended;
    }
}

stream_record::stream_record(stream_record&&) noexcept = default;
stream_record& stream_record::operator=(stream_record&&) noexcept = default;
stream_record::~stream_record() = default;

event_outcome stream_record::on_engine_event(monotonic_time now,
                                             engine_event event)
{
    if (event.attempt != impl_->attempt)
    {
        return event_outcome::stale_attempt;
    }
    if (impl_->phase != stream_phase::running)
    {
        return event_outcome::after_end;
    }
    const auto next = impl_->next_sequence();
    if (event.sequence < next)
    {
        return event_outcome::duplicate;
    }
    if (event.sequence > next)
    {
        // Events behind the gap keep coming until the engine is asked again.
        if (impl_->engine == stream_engine_state::producing)
        {
            impl_->reattach(now);
        }
        return event_outcome::gap;
    }
    impl_->accept(now, std::move(event));
    return event_outcome::accepted;
}

void stream_record::on_engine_closed(monotonic_time now, attempt_id attempt)
{
    if (impl_->phase == stream_phase::running && attempt == impl_->attempt &&
        impl_->engine == stream_engine_state::producing)
    {
        impl_->reattach(now);
    }
}

void stream_record::on_engine_loss(monotonic_time now, const engine_loss& loss,
                                   attempt_id next)
{
    if (impl_->phase != stream_phase::running)
    {
        return;
    }
    switch (loss.why)
    {
    case engine_loss::cause::connection_lost:
    case engine_loss::cause::gap:
        impl_->reattach(now);
        return;
    case engine_loss::cause::engine_gone:
        impl_->start_elsewhere(now, resume_way::prefill, next);
        return;
    case engine_loss::cause::reclaim_notice:
        break;
    }
    const bool can_move = loss.kv_move_time.count() > 0 &&
                          now + loss.kv_move_time <= loss.gone_at;
    const auto previous = impl_->attempt;
    impl_->start_elsewhere(
        now, can_move ? resume_way::move_kv : resume_way::prefill, next);
    if (!can_move && impl_->phase == stream_phase::running)
    {
        impl_->actions.emplace_back(cancel_attempt{previous});
    }
}

void stream_record::on_attempt_started(monotonic_time now, attempt_id attempt)
{
    if (attempt == impl_->attempt)
    {
        impl_->engine = stream_engine_state::producing;
        impl_->heard_at = now;
    }
}

void stream_record::on_resume_failed(monotonic_time now, attempt_id next)
{
    if (impl_->phase == stream_phase::running)
    {
        impl_->start_elsewhere(now, resume_way::prefill, next);
    }
}

void stream_record::on_given_up(monotonic_time, const transport::failure& error)
{
    if (impl_->phase == stream_phase::running)
    {
        impl_->fail(error);
    }
}

void stream_record::on_copied(monotonic_time now, std::uint64_t up_to)
{
    auto& batches = impl_->batches;
    if (impl_->holder != stream_holder_state::asked &&
        impl_->holder != stream_holder_state::holding)
    {
        return;
    }
    impl_->holder = stream_holder_state::holding;
    if (!batches.empty() && up_to < batches.front())
    {
        // The holder missed something: everything after it is sent again.
        batches.clear();
        impl_->copy_sent_to = up_to;
    }
    batches.erase(std::remove_if(batches.begin(), batches.end(),
                                 [up_to](auto to) { return to <= up_to; }),
                  batches.end());
    impl_->copied_to = std::min<std::uint64_t>(up_to, impl_->events.size());
    impl_->copy(now);
    impl_->deliver();
}

void stream_record::on_holder_lost(monotonic_time)
{
    impl_->holder = stream_holder_state::unknown;
    impl_->copied_to = 0;
    impl_->copy_sent_to = 0;
    impl_->batches.clear();
}

void stream_record::on_holder_chosen(monotonic_time now,
                                     holder_presence presence)
{
    on_holder_lost(now);
    const bool chosen = presence == holder_presence::chosen;
    impl_->holder =
        chosen ? stream_holder_state::asked : stream_holder_state::absent;
    impl_->attempt_uncopied = true;
    impl_->copy(now);
    impl_->deliver();
}

transport::result<void> stream_record::on_caller(monotonic_time,
                                                 std::string_view organisation,
                                                 std::uint64_t last_event)
{
    if (organisation != impl_->origin.organisation)
    {
        return transport::fail(reason::forbidden,
                               "Another organisation opened the stream.");
    }
    if (!impl_->is_live() && impl_->phase != stream_phase::finished)
    {
        return transport::fail(reason::not_found,
                               "The stream cannot go on here.",
                               verdict::may_have_run);
    }
    if (last_event > impl_->served_to)
    {
        return transport::fail(reason::revision_conflict,
                               "The caller has more than was sent from here.",
                               verdict::may_have_run);
    }
    if (impl_->phase == stream_phase::finished)
    {
        impl_->phase = stream_phase::ended;
    }
    impl_->caller_here = true;
    impl_->delivered_to = last_event;
    impl_->deliver();
    return {};
}

void stream_record::on_caller_left(monotonic_time now)
{
    if (impl_->caller_here)
    {
        impl_->caller_here = false;
        impl_->left_at = now;
    }
}

void stream_record::on_newer_epoch(monotonic_time, owner_epoch epoch)
{
    if (epoch > impl_->epoch && impl_->phase != stream_phase::handed_over)
    {
        impl_->phase = stream_phase::handed_over;
        impl_->actions.emplace_back(stream_handed_over{});
    }
}

void stream_record::on_copy_refused(monotonic_time now)
{
    on_newer_epoch(now, impl_->epoch + 1);
}

void stream_record::on_time(monotonic_time now)
{
    if (!impl_->is_live())
    {
        return;
    }
    if (!impl_->caller_here &&
        now >= impl_->left_at + impl_->settings.resume_window)
    {
        impl_->fail({verdict::may_have_run, reason::timed_out,
                     "The caller did not come back."});
        return;
    }
    if (impl_->is_silent(now))
    {
        impl_->reattach(now);
    }
    impl_->copy(now);
}

std::vector<stream_action> stream_record::take_actions()
{
    return std::exchange(impl_->actions, {});
}

monotonic_time stream_record::next_time() const noexcept
{
    auto next = never;
    if (!impl_->is_live())
    {
        return next;
    }
    if (impl_->phase == stream_phase::running &&
        impl_->engine == stream_engine_state::producing)
    {
        next = impl_->heard_at + impl_->settings.engine_silence;
    }
    if (!impl_->caller_here)
    {
        next = std::min(next, impl_->left_at + impl_->settings.resume_window);
    }
    const bool batch_waits =
        impl_->copy_sent_to < impl_->events.size() &&
        impl_->batches.size() < impl_->settings.batches_in_flight &&
        !impl_->batches.empty();
    if (batch_waits)
    {
        next =
            std::min(next, impl_->oldest_uncopied + impl_->settings.batch_time);
    }
    return next;
}

const stream_origin& stream_record::origin() const noexcept
{
    return impl_->origin;
}

const std::vector<stream_event>& stream_record::events() const noexcept
{
    return impl_->events;
}

attempt_id stream_record::attempt() const noexcept
{
    return impl_->attempt;
}

owner_epoch stream_record::epoch() const noexcept
{
    return impl_->epoch;
}

stream_phase stream_record::phase() const noexcept
{
    return impl_->phase;
}

std::uint64_t stream_record::copied_to() const noexcept
{
    return impl_->copied_to;
}

std::uint64_t stream_record::delivered_to() const noexcept
{
    return impl_->delivered_to;
}

std::size_t stream_record::bytes() const noexcept
{
    return impl_->bytes;
}

double stream_record::recomputed_tokens() const noexcept
{
    return impl_->recomputed;
}

std::string stream_record::text() const
{
    std::string text;
    for (const auto& event : impl_->events)
    {
        text += event.text;
    }
    return text;
}

} // namespace hyssopdeal::coordination
