#include <hyssopdeal/coordination/order_sender.hpp>

#include <algorithm>
#include <map>

namespace hyssopdeal::coordination
{

namespace
{

using protocol::engine_order;
using protocol::engine_order_kind;
using protocol::engine_status;
using protocol::load_state;
using transport::monotonic_time;

/// Tries to load one version on one engine.
struct load_tries
{
    std::uint32_t failures = 0;
    monotonic_time not_before{};
};

struct engine_state
{
    engine_target target;
    std::optional<engine_status> status; ///< Under this leader.
    std::optional<engine_order> order;   ///< Sent or to be sent, fenced.
    bool in_flight = false;
    bool reading = false;
    bool wants_fence = false;
    bool obeyed = false; ///< It took an order of this term.
    monotonic_time in_flight_until{};
    monotonic_time reading_until{};
    monotonic_time not_before{}; ///< Of the next order.
    monotonic_time read_at{};    ///< Of the next reading.
    std::map<std::string, load_tries, std::less<>> tries;

    void forget_leader()
    {
        status.reset();
        order.reset();
        in_flight = false;
        reading = false;
        wants_fence = false;
        obeyed = false;
        not_before = {};
        read_at = {};
        tries.clear();
    }
};

const protocol::engine_version* find_version(const engine_status& status,
                                             std::string_view version)
{
    const auto found = std::ranges::find(status.versions, version,
                                         &protocol::engine_version::version);
    return found == status.versions.end() ? nullptr : &*found;
}

} // namespace

struct order_sender::impl
{
    order_sender_settings settings;
    std::map<std::string, engine_state, std::less<>> engines;
    std::optional<protocol::order_fence> fence; ///< Not used yet.
    state::term_number term = 0;                ///< Led now; 0: not leading.
    bool fence_asked = false;
    monotonic_time fence_asked_until{};

    /// A new term knows nothing: all is read back and ordered anew.
    void enter_term(state::term_number led)
    {
        if (term == led)
        {
            return;
        }
        term = led;
        fence.reset();
        fence_asked = false;
        for (auto& [name, engine] : engines)
        {
            engine.forget_leader();
        }
    }

    /// @return The next step towards the target, without a token.
    [[nodiscard]] std::optional<engine_order>
    next_order(monotonic_time now, const engine_state& engine) const
    {
        const auto& status = *engine.status;
        const auto& target = engine.target;
        for (const auto& version : target.versions)
        {
            const auto* held = find_version(status, version);
            const bool missing =
                held == nullptr || held->state == load_state::failed;
            if (missing && may_load(now, engine, version))
            {
                return engine_order{engine_order_kind::load, version, {}, {}};
            }
        }
        for (const auto& adapter : target.adapters)
        {
            if (std::ranges::find(status.adapters, adapter) ==
                status.adapters.end())
            {
                return engine_order{
                    engine_order_kind::adapter, adapter, {}, {}};
            }
        }
        if (!target.role.empty() && status.role != target.role)
        {
            return engine_order{engine_order_kind::role, {}, target.role, {}};
        }
        return unload_or_renew(engine);
    }

    [[nodiscard]] std::optional<engine_order>
    unload_or_renew(const engine_state& engine) const
    {
        const auto& status = *engine.status;
        const auto& target = engine.target;
        for (const auto& held : status.versions)
        {
            const bool wanted =
                std::ranges::find(target.versions, held.version) !=
                target.versions.end();
            if (!wanted && target.others == other_versions::unload)
            {
                return engine_order{
                    engine_order_kind::unload, held.version, {}, {}};
            }
        }
        // An engine that has seen no token of this term would still take an
        // order of the former leader. One that ignores tokens may not show it.
        const bool obeys = target.check == fence_check::checks
                               ? status.fence.term >= term
                               : engine.obeyed;
        if (!obeys && !target.versions.empty() &&
            find_version(status, target.versions.front()) != nullptr)
        {
            return engine_order{
                engine_order_kind::load, target.versions.front(), {}, {}};
        }
        return std::nullopt;
    }

    [[nodiscard]] bool may_load(monotonic_time now, const engine_state& engine,
                                const std::string& version) const
    {
        const auto found = engine.tries.find(version);
        return found == engine.tries.end() ||
               (found->second.failures < settings.load_attempts &&
                now >= found->second.not_before);
    }

    [[nodiscard]] bool may_send(monotonic_time now, const leadership& leads,
                                fence_check check) const
    {
        if (check == fence_check::checks)
        {
            return true;
        }
        const auto over_at =
            now + settings.order_time_limit + settings.lease_margin;
        return may_order(leads, now) && over_at < leads.lease_until;
    }

    void expire(monotonic_time now, engine_state& engine) const
    {
        if (engine.in_flight && now >= engine.in_flight_until)
        {
            engine.in_flight = false;
        }
        if (engine.reading && now >= engine.reading_until)
        {
            engine.reading = false;
        }
    }

    void plan_order(monotonic_time now, engine_state& engine) const
    {
        if (!engine.status)
        {
            engine.wants_fence = false;
            return;
        }
        if (engine.in_flight || now < engine.not_before)
        {
            return;
        }
        const auto wanted = next_order(now, engine);
        engine.wants_fence = wanted.has_value();
        if (!wanted)
        {
            engine.order.reset();
            return;
        }
        // The same step as before goes out again with the same token.
        if (engine.order && engine.order->kind == wanted->kind &&
            engine.order->version == wanted->version &&
            engine.order->role == wanted->role)
        {
            engine.wants_fence = false;
            return;
        }
        engine.order.reset();
    }

    void give_fence(monotonic_time now, engine_state& engine)
    {
        if (!engine.wants_fence || !engine.status || !fence)
        {
            return;
        }
        engine.order = next_order(now, engine);
        engine.wants_fence = false;
        if (engine.order)
        {
            engine.order->fence = *fence;
            fence.reset();
        }
    }

    void send(monotonic_time now, const leadership& leads, engine_state& engine,
              order_actions& actions) const
    {
        if (!engine.order || engine.in_flight || now < engine.not_before ||
            !may_send(now, leads, engine.target.check))
        {
            return;
        }
        engine.in_flight = true;
        engine.in_flight_until = now + settings.order_time_limit;
        const auto send_by = engine.target.check == fence_check::checks
                                 ? now + settings.order_time_limit
                                 : leads.lease_until -
                                       settings.order_time_limit -
                                       settings.lease_margin;
        actions.orders.push_back({engine.target.server, engine.target.address,
                                  *engine.order, send_by,
                                  settings.order_time_limit});
    }

    void read(monotonic_time now, engine_state& engine,
              order_actions& actions) const
    {
        if (engine.reading || now < engine.read_at)
        {
            return;
        }
        engine.reading = true;
        engine.reading_until = now + settings.order_time_limit;
        engine.read_at = now + settings.read_interval;
        actions.readings.push_back(
            {engine.target.server, engine.target.address});
    }

    void note_failed_loads(monotonic_time now, engine_state& engine) const
    {
        for (const auto& held : engine.status->versions)
        {
            if (held.state == load_state::loaded)
            {
                engine.tries.erase(held.version);
            }
            else if (held.state == load_state::failed)
            {
                auto& tries = engine.tries[held.version];
                if (now >= tries.not_before)
                {
                    ++tries.failures;
                    tries.not_before = now + settings.load_retry_delay;
                    engine.order.reset();
                }
            }
        }
    }

    [[nodiscard]] static bool settled(const engine_state& engine)
    {
        return !engine.order && !engine.wants_fence &&
               std::ranges::all_of(engine.status->versions,
                                   [](const auto& held) {
                                       return held.state == load_state::loaded;
                                   });
    }
};

order_sender::order_sender(order_sender_settings settings)
    : impl_{std::make_unique<impl>()}
{
    impl_->settings = settings;
}

order_sender::order_sender(order_sender&&) noexcept = default;
order_sender::~order_sender() = default;

void order_sender::set_targets(std::vector<engine_target> targets)
{
    std::map<std::string, engine_state, std::less<>> next;
    for (auto& target : targets)
    {
        auto name = target.server;
        auto& engine = next[name];
        const auto known = impl_->engines.find(name);
        if (known != impl_->engines.end() &&
            known->second.target.address == target.address)
        {
            engine = std::move(known->second);
        }
        engine.target = std::move(target);
    }
    impl_->engines = std::move(next);
}

void order_sender::on_fence(protocol::order_fence fence)
{
    impl_->fence_asked = false;
    if (fence.term == impl_->term)
    {
        impl_->fence = fence;
    }
}

void order_sender::on_order_answer(monotonic_time now, std::string_view server,
                                   const engine_order& order,
                                   order_answer answer)
{
    const auto found = impl_->engines.find(server);
    if (found == impl_->engines.end() || !found->second.order ||
        *found->second.order != order)
    {
        return;
    }
    auto& engine = found->second;
    engine.in_flight = false;
    engine.read_at = now;
    switch (answer)
    {
    case order_answer::accepted:
        // The next reading tells whether it is in force.
        engine.obeyed = true;
        engine.not_before = now + impl_->settings.busy_interval;
        break;
    case order_answer::stale_fence:
        engine.order.reset();
        engine.status.reset();
        engine.not_before = now + impl_->settings.retry_delay;
        break;
    case order_answer::refused:
    case order_answer::lost:
        engine.not_before = now + impl_->settings.retry_delay;
        break;
    }
}

void order_sender::on_status(monotonic_time now, std::string_view server,
                             const transport::result<engine_status>& status)
{
    const auto found = impl_->engines.find(server);
    if (found == impl_->engines.end())
    {
        return;
    }
    auto& engine = found->second;
    engine.reading = false;
    if (!status)
    {
        engine.status.reset();
        engine.read_at = now + impl_->settings.retry_delay;
        return;
    }
    engine.status = *status;
    impl_->note_failed_loads(now, engine);
    impl_->plan_order(now, engine);
    engine.read_at =
        now + (impl::settled(engine) ? impl_->settings.read_interval
                                     : impl_->settings.busy_interval);
}

order_actions order_sender::advance(monotonic_time now, const leadership& leads)
{
    order_actions actions;
    auto& state = *impl_;
    state.enter_term(leads.role == leadership_role::leader ? leads.term : 0);
    if (state.term == 0)
    {
        return actions;
    }
    bool fence_wanted = false;
    for (auto& [name, engine] : state.engines)
    {
        state.expire(now, engine);
        state.plan_order(now, engine);
        state.give_fence(now, engine);
        fence_wanted = fence_wanted || engine.wants_fence;
        state.send(now, leads, engine, actions);
        state.read(now, engine, actions);
    }
    if (fence_wanted && !state.fence &&
        (!state.fence_asked || now >= state.fence_asked_until))
    {
        state.fence_asked = true;
        state.fence_asked_until = now + state.settings.fence_time_limit;
        actions.allocate_fence = true;
    }
    return actions;
}

std::optional<engine_status>
order_sender::status_of(std::string_view server) const
{
    const auto found = impl_->engines.find(server);
    return found == impl_->engines.end() ? std::nullopt : found->second.status;
}

bool order_sender::load_failed(std::string_view server,
                               std::string_view version) const
{
    const auto found = impl_->engines.find(server);
    if (found == impl_->engines.end())
    {
        return false;
    }
    const auto tries = found->second.tries.find(version);
    return tries != found->second.tries.end() &&
           tries->second.failures >= impl_->settings.load_attempts;
}

} // namespace hyssopdeal::coordination
