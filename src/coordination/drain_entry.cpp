#include <hyssopdeal/coordination/drain_entry.hpp>

#include <algorithm>
#include <utility>

namespace hyssopdeal::coordination
{

using transport::monotonic_time;

drain_entry::drain_entry(drain_settings settings)
    : settings_(settings)
{}

void drain_entry::on_notice(monotonic_time now, monotonic_time gone_at)
{
    if (phase_ == drain_phase::done)
    {
        return;
    }
    gone_at_ =
        phase_ == drain_phase::serving ? gone_at : std::min(gone_at_, gone_at);
    const auto hand_over_at =
        std::max(gone_at_ - settings_.hand_over_time, now);
    hand_over_at_ = phase_ == drain_phase::serving
                        ? hand_over_at
                        : std::min(hand_over_at_, hand_over_at);
    if (phase_ == drain_phase::serving)
    {
        // A short notice leaves less time for the balancer, none to nobody.
        const auto half_way = now + (hand_over_at_ - now) / 2;
        refuse_at_ = std::min(now + settings_.readiness_delay, half_way);
        enter(drain_phase::unready);
    }
    refuse_at_ = std::min(refuse_at_, hand_over_at_);
}

void drain_entry::on_signal(monotonic_time now)
{
    if (phase_ == drain_phase::serving)
    {
        on_notice(now, now + settings_.readiness_delay + settings_.finish_time +
                           settings_.hand_over_time);
        return;
    }
    on_notice(now, now + settings_.hand_over_time);
}

void drain_entry::on_progress(monotonic_time now, const open_work& work)
{
    if (phase_ == drain_phase::unready && now >= refuse_at_)
    {
        enter(drain_phase::finishing);
    }
    if (phase_ == drain_phase::finishing && now >= hand_over_at_)
    {
        enter(drain_phase::handing_over);
    }
    const bool is_idle = work.streams == 0 && work.plain_calls == 0;
    const bool may_end =
        phase_ == drain_phase::finishing || phase_ == drain_phase::handing_over;
    if (may_end && (is_idle || now >= gone_at_))
    {
        if (!is_idle)
        {
            actions_.push_back(drain_action::close_rest);
        }
        enter(drain_phase::done);
    }
}

std::vector<drain_action> drain_entry::take_actions()
{
    return std::exchange(actions_, {});
}

monotonic_time drain_entry::next_time() const noexcept
{
    switch (phase_)
    {
    case drain_phase::unready:
        return refuse_at_;
    case drain_phase::finishing:
        return hand_over_at_;
    case drain_phase::handing_over:
        return gone_at_;
    case drain_phase::serving:
    case drain_phase::done:
        break;
    }
    return monotonic_time::max();
}

drain_phase drain_entry::phase() const noexcept
{
    return phase_;
}

void drain_entry::enter(drain_phase phase)
{
    phase_ = phase;
    switch (phase)
    {
    case drain_phase::unready:
        actions_.push_back(drain_action::fail_readiness);
        break;
    case drain_phase::finishing:
        actions_.push_back(drain_action::refuse_new);
        actions_.push_back(drain_action::refuse_queue);
        break;
    case drain_phase::handing_over:
        actions_.push_back(drain_action::hand_over_streams);
        break;
    case drain_phase::done:
        actions_.push_back(drain_action::exit);
        break;
    case drain_phase::serving:
        break;
    }
}

} // namespace hyssopdeal::coordination
