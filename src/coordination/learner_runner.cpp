/// @file
/// Runs an entry's learner over the peer links.

#include <hyssopdeal/coordination/learner_runner.hpp>

#include <utility>

#include <hyssopdeal/transport/logging.hpp>

namespace hyssopdeal::coordination
{

using protocol::peer_channel;
using transport::log_part;

namespace
{

constexpr std::chrono::milliseconds tick_interval{20};
constexpr std::chrono::milliseconds choose_interval{500};

} // namespace

// [impl] ---------------------------------------------------------------------

struct learner_runner::impl
{
    impl(transport::event_loop& own_loop, const transport::clock& own_clock,
         protocol::peer_hub& own_hub, membership_runner& own_members,
         learner_runner_settings own_settings, view_handler handler)
        : loop(own_loop),
          clock(own_clock),
          hub(own_hub),
          members(own_members),
          settings(std::move(own_settings)),
          on_view(std::move(handler)),
          follow(settings.name, settings.learning, clock.monotonic_now()),
          relay(settings.learning),
          alive(std::make_shared<bool>(true))
    {}

    void tick();
    void act(learner_actions actions);
    void pull(const learner_pull& asked);
    void on_message(const std::string& payload,
                    const protocol::peer_hub::reply_function& reply);
    void push();
    void choose();

    transport::event_loop& loop;
    const transport::clock& clock;
    protocol::peer_hub& hub;
    membership_runner& members;
    learner_runner_settings settings;
    view_handler on_view;
    learner follow;
    declaration_source relay;
    learning_surroundings surroundings;
    transport::monotonic_time next_choice{};
    learning_phase told = learning_phase::waiting;
    transport::timer_handle ticker;
    std::shared_ptr<bool> alive; ///< Answers may come after the end.
};

/// Sources from gossip, and those of the settings until it knows any.
void learner_runner::impl::choose()
{
    std::vector<source_candidate> usable;
    bool knows_replica = false;
    for (const auto& member : members.state().table().entries())
    {
        const bool may_ask =
            member.kind != protocol::member_kind::backend_server &&
            member.state != protocol::member_state::dead;
        if (may_ask && member.name != settings.name)
        {
            const bool is_replica =
                member.kind == protocol::member_kind::control;
            knows_replica = knows_replica || is_replica;
            usable.push_back({member.name, member.failure_domain, is_replica});
        }
    }
    if (!knows_replica)
    {
        for (const auto& name : settings.replicas)
        {
            usable.push_back({name, {}, true});
        }
    }
    surroundings.sources = choose_sources(settings.learning, settings.name,
                                          settings.failure_domain, usable);
}

void learner_runner::impl::tick()
{
    const auto now = clock.monotonic_now();
    if (now >= next_choice)
    {
        next_choice = now + choose_interval;
        choose();
    }
    surroundings.highest_heard = members.state().highest_index();
    act(follow.tick(now, surroundings));
    push();
    if (follow.phase() != told)
    {
        told = follow.phase();
        transport::log_info(log_part::log,
                            "Configuration is {}. applied={} source={}",
                            told == learning_phase::current  ? "current"
                            : told == learning_phase::behind ? "behind"
                                                             : "awaited",
                            follow.declarations().applied, follow.source());
    }
    ticker = loop.after(tick_interval, [this] { tick(); });
}

void learner_runner::impl::act(learner_actions actions)
{
    if (actions.pull)
    {
        pull(*actions.pull);
    }
    if (actions.publish)
    {
        on_view(state::make_view(follow.declarations()));
        members.set_applied_index(follow.declarations().applied);
        push();
    }
}

void learner_runner::impl::pull(const learner_pull& asked)
{
    const std::weak_ptr<bool> still = alive;
    hub.call(asked.to, peer_channel::learning, encode(asked.request),
             settings.learning.source_time_limit,
             [this, still, from = asked.to](const auto& payload) {
                 if (still.expired())
                 {
                     return;
                 }
                 const auto now = clock.monotonic_now();
                 if (payload)
                 {
                     if (const auto update = decode_follow_update(*payload))
                     {
                         return act(follow.answered(now, from, *update));
                     }
                 }
                 follow.failed(now, from);
             });
}

/// A pull of another entry, or a push of this one's source.
void learner_runner::impl::on_message(
    const std::string& payload, const protocol::peer_hub::reply_function& reply)
{
    const auto now = clock.monotonic_now();
    if (const auto request = decode_follow_request(payload))
    {
        return reply(
            encode(relay.answer(now, follow.declarations(), *request)));
    }
    if (const auto update = decode_follow_update(payload))
    {
        act(follow.pushed(now, *update));
    }
}

void learner_runner::impl::push()
{
    const auto pushes =
        relay.push(clock.monotonic_now(), follow.declarations());
    for (const auto& item : pushes)
    {
        hub.send(item.to, peer_channel::learning, encode(item.update));
    }
}

// [learner_runner] -----------------------------------------------------------

learner_runner::learner_runner(transport::event_loop& loop,
                               const transport::clock& clock,
                               protocol::peer_hub& hub,
                               membership_runner& members,
                               learner_runner_settings settings,
                               view_handler on_view)
    : impl_(std::make_unique<impl>(loop, clock, hub, members,
                                   std::move(settings), std::move(on_view)))
{}

learner_runner::~learner_runner() = default;

void learner_runner::start()
{
    impl_->hub.on_message(peer_channel::learning,
                          [this](auto, auto payload, auto reply) {
                              impl_->on_message(payload, reply);
                          });
    impl_->tick();
}

learning_phase learner_runner::phase() const noexcept
{
    return impl_->follow.phase();
}

state::log_index learner_runner::applied() const noexcept
{
    return impl_->follow.declarations().applied;
}

const std::string& learner_runner::source() const noexcept
{
    return impl_->follow.source();
}

} // namespace hyssopdeal::coordination
