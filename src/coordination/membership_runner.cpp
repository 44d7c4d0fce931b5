#include <hyssopdeal/coordination/membership_runner.hpp>

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include <fmt/format.h>

#include <hyssopdeal/protocol/gossip.hpp>
#include <hyssopdeal/transport/datagram_socket.hpp>
#include <hyssopdeal/transport/logging.hpp>

namespace hyssopdeal::coordination
{

using protocol::member_kind;
using protocol::member_state;
using protocol::member_update;
using transport::log_part;
using transport::monotonic_time;

namespace
{

/// Domains change without a table change; the view is checked this often.
constexpr std::chrono::milliseconds domain_check_interval{500};

const char* to_string(member_state state) noexcept
{
    switch (state)
    {
    case member_state::alive:
        return "alive";
    case member_state::suspect:
        return "suspect";
    case member_state::leaving:
        return "leaving";
    case member_state::dead:
        return "dead";
    }
    return "dead";
}

member_view make_view(const membership& state)
{
    member_view view;
    for (const auto& entry : state.table().entries())
    {
        if (entry.kind != member_kind::backend_server)
        {
            view.members.push_back({entry.name, entry.peer_address,
                                    entry.failure_domain, entry.kind,
                                    state.is_usable(entry.name)});
        }
        else if (entry.state >= member_state::leaving)
        {
            view.leaving_servers.push_back(entry.name);
        }
    }
    std::sort(view.leaving_servers.begin(), view.leaving_servers.end());
    view.domains = state.domains();
    return view;
}

} // namespace

struct membership_runner::impl
{
    impl(transport::event_loop& chosen_loop, const transport::clock& source,
         membership_runner_settings chosen, std::uint64_t seed)
        : loop(chosen_loop),
          clock(source),
          settings(std::move(chosen)),
          random_seed(seed),
          socket(loop, settings.address, settings.port, settings.shared_key,
                 [this](const std::string& from, const std::string& bytes) {
                     receive(from, bytes);
                 })
    {}

    transport::event_loop& loop;
    const transport::clock& clock;
    membership_runner_settings settings;
    std::uint64_t random_seed;
    transport::datagram_socket socket;
    std::optional<membership> state;
    transport::rcu_cell<member_view> view{member_view{}};
    std::vector<reachability> published_domains;
    change_handler changed;
    transport::timer_handle timer;
    std::uint64_t applied_index = 0;

    void receive(const std::string& from, const std::string& bytes);
    void carry_out(const membership_actions& actions);
    void log_change(const member_update& entry) const;
    void publish_if_domains_changed();
    void publish();
    void tick();
    void schedule();
};

void membership_runner::impl::receive(const std::string& from,
                                      const std::string& bytes)
{
    const auto message = protocol::decode_gossip(bytes);
    if (!message)
    {
        transport::log_warning(log_part::member,
                               "Datagram not understood. from={} reason={}",
                               from, message.error().text);
        return;
    }
    carry_out(state->receive(clock.monotonic_now(), from, *message));
    schedule();
}

void membership_runner::impl::carry_out(const membership_actions& actions)
{
    for (const auto& item : actions.sends)
    {
        socket.send(item.address, protocol::encode_gossip(item.message));
    }
    for (const auto& entry : actions.changes)
    {
        log_change(entry);
    }
    if (!actions.changes.empty())
    {
        publish();
    }
    if (changed)
    {
        for (const auto& entry : actions.changes)
        {
            changed(entry);
        }
    }
}

void membership_runner::impl::log_change(const member_update& entry) const
{
    transport::log_info(log_part::member,
                        "Instance {}. name={} domain={} incarnation={}",
                        to_string(entry.state), entry.name,
                        entry.failure_domain, entry.incarnation);
}

void membership_runner::impl::publish()
{
    auto next = make_view(*state);
    published_domains.clear();
    for (const auto& domain : next.domains)
    {
        published_domains.push_back(domain.state);
    }
    view.publish(std::move(next));
}

void membership_runner::impl::publish_if_domains_changed()
{
    const auto domains = state->domains();
    const bool same =
        std::equal(domains.begin(), domains.end(), published_domains.begin(),
                   published_domains.end(),
                   [](const domain_status& now, reachability before) {
                       return now.state == before;
                   });
    if (same)
    {
        return;
    }
    for (const auto& domain : domains)
    {
        transport::log_info(log_part::member, "Domain {}. domain={} alive={}",
                            domain.state == reachability::cut_off ? "cut off"
                                                                  : "reachable",
                            domain.failure_domain, domain.alive);
    }
    publish();
}

void membership_runner::impl::tick()
{
    carry_out(state->tick(clock.monotonic_now()));
    publish_if_domains_changed();
    schedule();
}

void membership_runner::impl::schedule()
{
    const auto wait = std::clamp<std::chrono::nanoseconds>(
        state->next_deadline() - clock.monotonic_now(),
        std::chrono::milliseconds{1}, domain_check_interval);
    timer = loop.after(wait, [this] { tick(); });
}

membership_runner::membership_runner(transport::event_loop& loop,
                                     const transport::clock& clock,
                                     membership_runner_settings settings,
                                     std::uint64_t random_seed)
    : impl_(
          std::make_unique<impl>(loop, clock, std::move(settings), random_seed))
{}

membership_runner::~membership_runner() = default;

transport::result<std::uint16_t> membership_runner::start()
{
    auto port = impl_->socket.start();
    if (!port)
    {
        return port;
    }
    const auto& settings = impl_->settings;
    member_update self;
    self.name = settings.name;
    self.gossip_address = fmt::format("{}:{}", settings.address, *port);
    self.peer_address = settings.peer_address;
    self.failure_domain = settings.failure_domain;
    self.kind = settings.kind;
    self.incarnation = static_cast<std::uint64_t>(
        impl_->clock.wall_now().time_since_epoch().count());
    impl_->state.emplace(settings.timing, std::move(self), settings.seeds,
                         impl_->random_seed);
    impl_->state->set_applied_index(impl_->applied_index);
    impl_->publish();
    impl_->tick();
    return port;
}

void membership_runner::on_change(change_handler handler)
{
    impl_->changed = std::move(handler);
}

void membership_runner::announce_leaving()
{
    impl_->carry_out(
        impl_->state->announce_leaving(impl_->clock.monotonic_now()));
    impl_->tick();
}

void membership_runner::report(const member_update& update)
{
    impl_->carry_out(
        impl_->state->report(impl_->clock.monotonic_now(), update));
    impl_->tick();
}

void membership_runner::set_applied_index(std::uint64_t index)
{
    impl_->applied_index = std::max(impl_->applied_index, index);
    if (impl_->state)
    {
        impl_->state->set_applied_index(index);
    }
}

const membership& membership_runner::state() const noexcept
{
    return *impl_->state;
}

const transport::rcu_cell<member_view>& membership_runner::view() const noexcept
{
    return impl_->view;
}

} // namespace hyssopdeal::coordination
