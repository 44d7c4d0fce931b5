#include "stream_session.hpp"

#include <utility>

#include <hyssopdeal/transport/logging.hpp>

#include "entry_shard.hpp"
#include "stream_exchange.hpp"

namespace hyssopdeal::coordination
{

using std::chrono::milliseconds;
using transport::log_info;
using transport::log_part;
using transport::reason;

namespace
{

constexpr milliseconds come_back_after{1'000};

} // namespace

// [copies] -------------------------------------------------------------------

void stream_session::perform(const copy_events& order)
{
    const auto& events = record_->events();
    stream_copy part;
    part.origin = record_->origin();
    part.owner = owner_;
    part.epoch = record_->epoch();
    part.attempt = order.attempt;
    part.server = server_address_;
    part.sequence = order.sequence;
    part.events.assign(events.begin() +
                           static_cast<std::ptrdiff_t>(order.from - 1),
                       events.begin() + static_cast<std::ptrdiff_t>(order.to));
    auto asked = question(stream_question_kind::copy);
    asked.copy = std::move(part);
    asked.up_to = order.to;
    ask_about_stream(
        shard_, holder_, asked,
        [weak = weak_from_this(), holder = holder_](const auto& answer) {
            if (const auto self = weak.lock())
            {
                self->on_copied(holder, answer);
            }
        });
}

std::string stream_session::owner_name(entry_shard& shard)
{
    return shard.shared.settings.name + "/" + to_string(shard.next_id());
}

stream_settings stream_session::record_settings() const
{
    stream_settings settings;
    settings.copies = shard_.shared.settings.stream_copy;
    return settings;
}

stream_question stream_session::question(stream_question_kind kind) const
{
    stream_question made;
    made.kind = kind;
    made.stream = id_;
    made.organisation = request_.organisation;
    made.asker = owner_;
    made.epoch = record_ ? record_->epoch() : 0;
    return made;
}

void stream_session::choose_holder()
{
    const auto& self = shard_.shared.settings;
    const auto members = entry_members(shard_);
    auto pick = coordination::choose_holder(id_, self.name, self.failure_domain,
                                            members, failed_holders_);
    spread_ = pick.spread;
    holder_ = std::move(pick.holder);
    const bool own_copy =
        holder_.empty() && !members.empty() && failed_holders_.empty();
    if (own_copy)
    {
        // Lets the caller come back to another thread of this process.
        holder_ = self.name;
    }
    record_->on_holder_chosen(shard_.now(), holder_.empty()
                                                ? holder_presence::none
                                                : holder_presence::chosen);
    pump();
}

void stream_session::lose_holder(const std::string& holder)
{
    log_info(log_part::stream, "Lost a holder. stream={} holder={}", id_,
             holder);
    failed_holders_.push_back(holder);
    record_->on_holder_lost(shard_.now());
    choose_holder();
}

void stream_session::on_copied(const std::string& holder,
                               const transport::result<stream_answer>& answer)
{
    if (closed_ || holder != holder_)
    {
        return;
    }
    if (answer)
    {
        record_->on_copied(shard_.now(), answer->done.copied_to);
        pump();
        return;
    }
    if (answer.error().code == reason::revision_conflict)
    {
        record_->on_copy_refused(shard_.now());
        pump();
        return;
    }
    lose_holder(holder);
}

void stream_session::close_copy()
{
    if (!holder_.empty())
    {
        ask_about_stream(shard_, holder_, question(stream_question_kind::close),
                         [](const auto&) {});
    }
}

void stream_session::adopt(stream_copy copy, std::uint64_t last_event)
{
    owner_ = copy.owner;
    server_address_ = copy.server;
    record_.emplace(shard_.now(), std::move(copy.origin),
                    std::move(copy.events), copy.attempt, copy.sequence,
                    copy.epoch, record_settings());
    const auto joined =
        record_->on_caller(shard_.now(), request_.organisation, last_event);
    if (!joined)
    {
        fail(joined.error(), come_back_after);
        return;
    }
    engine_loss loss;
    loss.why = server_address_.empty() ? engine_loss::cause::engine_gone
                                       : engine_loss::cause::connection_lost;
    record_->on_engine_loss(shard_.now(), loss, shard_.next_id());
    choose_holder();
    if (!closed_)
    {
        begin_answer();
    }
}

void stream_session::hand_over()
{
    if (closed_ || holder_.empty())
    {
        return;
    }
    log_info(log_part::stream, "A stream is handed over. stream={}", id_);
    shard_.record_span("hand_over", request_, shard_.now(),
                       {{"stream", id_}, {"holder", holder_}});
    if (responder_)
    {
        responder_->abort_stream();
    }
    close(milliseconds{0});
}

} // namespace hyssopdeal::coordination
