#include <hyssopdeal/coordination/grant_holder.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace hyssopdeal::coordination
{

namespace
{

using transport::monotonic_time;

/// Whether a request is in flight.
enum class holder_phase : std::uint8_t
{
    idle,
    waiting
};

bool has_grant(const grant_answer& answer, const std::string& organisation)
{
    return std::any_of(
        answer.grants.begin(), answer.grants.end(),
        [&](const auto& grant) { return grant.organisation == organisation; });
}

} // namespace

struct grant_holder::impl
{
    grant_holder_settings settings;
    holder_phase phase = holder_phase::idle;
    monotonic_time requested_at{};
    monotonic_time next_request_at{};
    std::uint64_t term = 0;
    std::uint64_t number = 0;
    monotonic_time expires_at{};
    std::vector<held_grant> held{};
};

grant_holder::grant_holder(grant_holder_settings settings)
    : impl_(std::make_unique<impl>(impl{std::move(settings)}))
{}

grant_holder::grant_holder(grant_holder&&) noexcept = default;
grant_holder& grant_holder::operator=(grant_holder&&) noexcept = default;
grant_holder::~grant_holder() = default;

std::optional<grant_request> grant_holder::next_request(monotonic_time now,
                                                        limiter& limits)
{
    if (impl_->phase == holder_phase::waiting || now < impl_->next_request_at)
    {
        return std::nullopt;
    }
    impl_->phase = holder_phase::waiting;
    impl_->requested_at = now;
    impl_->next_request_at = now + impl_->settings.interval;
    grant_request request;
    request.node = impl_->settings.node;
    request.held_term = impl_->term;
    request.held_number = impl_->number;
    if (now < impl_->expires_at)
    {
        request.held = impl_->held;
    }
    request.demand = limits.take_demand(now);
    return request;
}

void grant_holder::on_answer(monotonic_time now, const grant_answer& answer,
                             limiter& limits)
{
    const bool was_waiting = impl_->phase == holder_phase::waiting;
    impl_->phase = holder_phase::idle;
    const bool is_older =
        answer.term < impl_->term ||
        (answer.term == impl_->term && answer.number <= impl_->number);
    const auto expires_at = impl_->requested_at + answer.valid_for;
    if (!was_waiting || is_older || expires_at <= now)
    {
        return;
    }
    for (const auto& old : impl_->held)
    {
        if (!has_grant(answer, old.organisation))
        {
            limits.set_grant(now, old.organisation, {}, expires_at);
        }
    }
    for (const auto& grant : answer.grants)
    {
        limits.set_grant(now, grant.organisation, grant.amounts, expires_at);
    }
    impl_->term = answer.term;
    impl_->number = answer.number;
    impl_->expires_at = expires_at;
    impl_->held = answer.grants;
}

void grant_holder::on_no_answer(monotonic_time)
{
    impl_->phase = holder_phase::idle;
}

monotonic_time grant_holder::expires_at() const noexcept
{
    return impl_->expires_at;
}

} // namespace hyssopdeal::coordination
