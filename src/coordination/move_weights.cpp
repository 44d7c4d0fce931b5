#include <hyssopdeal/coordination/move_weights.hpp>

#include <algorithm>
#include <optional>

namespace hyssopdeal::coordination
{

namespace
{

using std::chrono::milliseconds;
using transport::monotonic_time;

struct fetch_state
{
    weight_need need;
    std::optional<monotonic_time> ready_at; ///< Accepted by the store.
    monotonic_time ask_at{};                ///< Not before.
    bool asked = false;                     ///< Answer awaited until ask_at.
};

} // namespace

struct move_weights::impl
{
    move_weights_settings settings;
    std::vector<fetch_state> fetches;
    monotonic_time limited_until{}; ///< The store refuses until then.
    milliseconds spacing{0};        ///< Between fetches, as it limits them.
    milliseconds fetch_time{0};     ///< Of one fetch, as last seen.

    fetch_state* find(const weight_need& need)
    {
        const auto found = std::ranges::find(fetches, need, &fetch_state::need);
        return found == fetches.end() ? nullptr : &*found;
    }
};

move_weights::move_weights(move_weights_settings settings)
    : impl_{std::make_unique<impl>()}
{
    impl_->settings = settings;
    impl_->fetch_time = settings.first_estimate;
}

move_weights::move_weights(move_weights&&) noexcept = default;
move_weights::~move_weights() = default;

void move_weights::set_needs(std::vector<weight_need> needs)
{
    std::vector<fetch_state> next;
    for (auto& need : needs)
    {
        const auto* known = impl_->find(need);
        next.push_back(known != nullptr ? *known
                                        : fetch_state{std::move(need), {}});
    }
    impl_->fetches = std::move(next);
}

std::vector<weight_need> move_weights::advance(monotonic_time now)
{
    std::vector<weight_need> result;
    if (now < impl_->limited_until)
    {
        return result;
    }
    for (auto& fetch : impl_->fetches)
    {
        if (fetch.ready_at || now < fetch.ask_at)
        {
            continue;
        }
        fetch.asked = true;
        fetch.ask_at = now + impl_->settings.call_time_limit;
        result.push_back(fetch.need);
        if (impl_->spacing.count() > 0)
        {
            // A store that limits is asked for one at a time.
            break;
        }
    }
    return result;
}

void move_weights::on_answer(
    monotonic_time now, const weight_need& need,
    const transport::result<protocol::weight_fetch>& answer)
{
    auto* fetch = impl_->find(need);
    if (fetch == nullptr)
    {
        return;
    }
    fetch->asked = false;
    if (!answer)
    {
        fetch->ask_at = now + impl_->settings.retry_delay;
        return;
    }
    if (answer->answer == protocol::fetch_answer::limited)
    {
        impl_->spacing = std::max(answer->wait, milliseconds{1});
        impl_->limited_until =
            std::max(impl_->limited_until, now + answer->wait);
        fetch->ask_at = impl_->limited_until;
        return;
    }
    impl_->fetch_time = answer->wait;
    fetch->ready_at = now + answer->wait;
}

bool move_weights::needed(std::string_view version,
                          std::string_view server) const
{
    return std::ranges::any_of(impl_->fetches, [&](const fetch_state& fetch) {
        return fetch.need.version == version && fetch.need.server == server;
    });
}

bool move_weights::ready(monotonic_time now, std::string_view version,
                         std::string_view server) const
{
    return std::ranges::any_of(impl_->fetches, [&](const fetch_state& fetch) {
        return fetch.need.version == version && fetch.need.server == server &&
               fetch.ready_at && now >= *fetch.ready_at;
    });
}

milliseconds move_weights::time_left(monotonic_time now) const
{
    milliseconds left{0};
    std::int64_t waiting = 0;
    for (const auto& fetch : impl_->fetches)
    {
        if (!fetch.ready_at)
        {
            ++waiting;
        }
        else if (*fetch.ready_at > now)
        {
            left = std::max(left, std::chrono::duration_cast<milliseconds>(
                                      *fetch.ready_at - now));
        }
    }
    if (waiting == 0)
    {
        return left;
    }
    return std::max(left, impl_->spacing * (waiting - 1) + impl_->fetch_time);
}

} // namespace hyssopdeal::coordination
