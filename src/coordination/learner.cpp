/// @file
/// Following the committed declarations.

#include <hyssopdeal/coordination/learner.hpp>

#include <algorithm>
#include <map>

namespace hyssopdeal::coordination
{

using state::log_index;
using transport::monotonic_time;

// [declaration_source] -------------------------------------------------------

namespace
{

struct follower
{
    log_index applied = 0;
    monotonic_time heard{};
    monotonic_time pushed{};
};

template <class Record>
log_index latest_in(const state::record_table<Record>& table)
{
    log_index latest = 0;
    for (const auto& [name, record] : table)
    {
        latest = std::max(latest, record.changed);
    }
    return latest;
}

/// @return Index of the latest change that followers need.
log_index latest_change(const state::declarations& own)
{
    const log_index removed =
        own.removals.empty() ? 0 : own.removals.back().changed;
    return std::max({latest_in(own.contracts), latest_in(own.services),
                     latest_in(own.leaving), latest_in(own.evacuations),
                     removed});
}

} // namespace

struct declaration_source::impl
{
    learning_settings settings;
    std::map<std::string, follower, std::less<>> followers;
    std::optional<monotonic_time> next;
    log_index scanned = 0; ///< Index at which `latest` was worked out.
    log_index latest = 0;
};

declaration_source::declaration_source(learning_settings settings)
    : impl_(std::make_unique<impl>())
{
    impl_->settings = settings;
}

declaration_source::declaration_source(declaration_source&&) noexcept = default;
declaration_source&
declaration_source::operator=(declaration_source&&) noexcept = default;
declaration_source::~declaration_source() = default;

follow_update declaration_source::answer(monotonic_time now,
                                         const state::declarations& own,
                                         const follow_request& request)
{
    follow_update update{own.applied, {}};
    if (own.applied > request.applied)
    {
        update.delta = state::delta_since(own, request.applied);
    }
    auto& known = impl_->followers[request.name];
    known.heard = now;
    known.applied = std::max(request.applied, own.applied);
    return update;
}

std::vector<follow_push>
declaration_source::push(monotonic_time now, const state::declarations& own)
{
    std::vector<follow_push> pushes;
    impl_->next.reset();
    std::erase_if(impl_->followers, [&](const auto& item) {
        return now - item.second.heard > impl_->settings.follower_time;
    });
    if (impl_->scanned != own.applied)
    {
        impl_->scanned = own.applied;
        impl_->latest = latest_change(own);
    }
    for (auto& [name, known] : impl_->followers)
    {
        if (known.applied >= impl_->latest)
        {
            continue;
        }
        const auto due = known.pushed + impl_->settings.push_gap;
        if (due > now)
        {
            impl_->next = std::min(impl_->next.value_or(due), due);
            continue;
        }
        pushes.push_back(
            {name, {own.applied, state::delta_since(own, known.applied)}});
        known.applied = own.applied;
        known.pushed = now;
    }
    return pushes;
}

std::optional<monotonic_time> declaration_source::next_push() const
{
    return impl_->next;
}

std::size_t declaration_source::followers() const noexcept
{
    return impl_->followers.size();
}

// [learner] ------------------------------------------------------------------

struct learner::impl
{
    learner_actions take(monotonic_time now, const follow_update& update);
    [[nodiscard]] bool accepts(monotonic_time now,
                               const follow_update& update) const;
    void judge(monotonic_time now);

    std::string name;
    learning_settings settings;
    monotonic_time start{};
    state::declarations own;
    learning_phase phase = learning_phase::waiting;
    std::string source;
    log_index highest = 0;
    monotonic_time next_pull{};
    monotonic_time answered{}; ///< Last time that a source answered.
    std::optional<monotonic_time> lags_since; ///< Below the highest heard.
    bool asking = false;
    std::size_t failures = 0; ///< In a row; picks the next source.
};

learner::learner(std::string name, learning_settings settings,
                 monotonic_time now)
    : impl_(std::make_unique<impl>())
{
    impl_->name = std::move(name);
    impl_->settings = settings;
    impl_->start = now;
    impl_->answered = now;
    impl_->lags_since = now;
    impl_->next_pull = now;
}

learner::learner(learner&&) noexcept = default;
learner& learner::operator=(learner&&) noexcept = default;
learner::~learner() = default;

learner_actions learner::tick(monotonic_time now,
                              const learning_surroundings& surroundings)
{
    learner_actions actions;
    auto& own = *impl_;
    own.highest = std::max(own.highest, surroundings.highest_heard);
    own.judge(now);
    if (own.asking || now < own.next_pull || surroundings.sources.empty())
    {
        return actions;
    }
    const auto& sources = surroundings.sources;
    own.asking = true;
    actions.pull = learner_pull{sources[own.failures % sources.size()],
                                {own.name, own.own.applied}};
    return actions;
}

/// After a restart nothing older than the highest index heard is put in force,
/// as this entry may have served by it before; unless no such source shows up.
bool learner::impl::accepts(monotonic_time now,
                            const follow_update& update) const
{
    const bool has_state = own.applied != 0;
    const bool is_latest = update.source_applied >= highest;
    const bool waited = now - start >= settings.wait_for_latest;
    return has_state || is_latest || waited;
}

/// Gossip may run ahead of a source for a moment: only a lag that lasts counts.
void learner::impl::judge(monotonic_time now)
{
    if (own.applied == 0)
    {
        return;
    }
    if (own.applied >= highest)
    {
        lags_since.reset();
    }
    else if (!lags_since)
    {
        lags_since = now;
    }
    const bool lags =
        lags_since && now - *lags_since >= settings.wait_for_latest;
    const bool silent =
        now - answered > settings.pull_interval + settings.wait_for_latest;
    phase = lags || silent ? learning_phase::behind : learning_phase::current;
}

learner_actions learner::impl::take(monotonic_time now,
                                    const follow_update& update)
{
    learner_actions actions;
    if (!accepts(now, update))
    {
        return actions;
    }
    if (update.delta)
    {
        const auto outcome = state::apply_delta(own, *update.delta);
        actions.publish = outcome == state::delta_outcome::applied;
        if (outcome == state::delta_outcome::gap)
        {
            next_pull = now;
        }
    }
    return actions;
}

learner_actions learner::answered(monotonic_time now, std::string_view from,
                                  const follow_update& update)
{
    auto& own = *impl_;
    own.asking = false;
    own.answered = now;
    own.source = from;
    const bool accepted = own.accepts(now, update);
    auto actions = own.take(now, update);
    // A source that is behind this entry, or behind what it has heard of after
    // a restart, is of no use to it: the next one is asked soon.
    const bool useful = accepted && update.source_applied >= own.own.applied;
    own.failures = useful ? 0 : own.failures + 1;
    own.next_pull =
        now + (useful ? own.settings.pull_interval : own.settings.retry_wait);
    own.judge(now);
    return actions;
}

learner_actions learner::pushed(monotonic_time now, const follow_update& update)
{
    return impl_->take(now, update);
}

void learner::failed(monotonic_time now, std::string_view)
{
    impl_->asking = false;
    ++impl_->failures;
    impl_->next_pull = now + impl_->settings.retry_wait;
}

const state::declarations& learner::declarations() const noexcept
{
    return impl_->own;
}

learning_phase learner::phase() const noexcept
{
    return impl_->phase;
}

const std::string& learner::source() const noexcept
{
    return impl_->source;
}

} // namespace hyssopdeal::coordination
