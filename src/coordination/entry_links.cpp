#include "entry_links.hpp"

#include <random>
#include <utility>

#include <fmt/format.h>

namespace hyssopdeal::coordination
{

using protocol::member_kind;
using protocol::member_state;
using protocol::member_update;

namespace
{

member_update seed_of(const peer_address& peer, member_kind kind)
{
    member_update seed;
    seed.name = peer.name;
    seed.failure_domain = peer.failure_domain;
    seed.gossip_address = peer.gossip_address;
    seed.peer_address = peer.address;
    seed.kind = kind;
    return seed;
}

std::vector<member_update> seeds_of(const entry_settings& settings)
{
    std::vector<member_update> seeds;
    for (const auto& peer : settings.control_replicas)
    {
        seeds.push_back(seed_of(peer, member_kind::control));
    }
    for (const auto& peer : settings.entries)
    {
        if (peer.name != settings.name)
        {
            seeds.push_back(seed_of(peer, member_kind::entry));
        }
    }
    return seeds;
}

std::string address_text(const std::string& ip, std::uint16_t port)
{
    return ip.find(':') == std::string::npos ? fmt::format("{}:{}", ip, port)
                                             : fmt::format("[{}]:{}", ip, port);
}

} // namespace

protocol::peer_hub_settings
hub_settings_of(const entry_settings& settings, std::string_view shared_key,
                std::shared_ptr<transport::log_limit> bad_input)
{
    protocol::peer_hub_settings hub;
    hub.self = settings.name;
    hub.address = settings.peer_address_ip;
    hub.port = settings.peer_port;
    hub.shared_key = shared_key;
    hub.bad_input = std::move(bad_input);
    return hub;
}

entry_links::entry_links(transport::event_loop& loop,
                         const transport::clock& clock,
                         const entry_settings& settings, std::string shared_key,
                         std::shared_ptr<transport::log_limit> bad_input,
                         entry_links_handlers handlers)
    : loop_(loop),
      clock_(clock),
      settings_(settings),
      shared_key_(std::move(shared_key)),
      handlers_(std::move(handlers)),
      hub_(loop, hub_settings_of(settings, shared_key_, std::move(bad_input)))
{}

entry_links::~entry_links() = default;

transport::result<void> entry_links::start()
{
    const auto port = hub_.start();
    if (!port)
    {
        return tl::unexpected(port.error());
    }
    membership_runner_settings settings;
    settings.name = settings_.name;
    settings.failure_domain = settings_.failure_domain;
    settings.address = settings_.peer_address_ip;
    settings.port = settings_.gossip_port;
    settings.peer_address = address_text(settings_.peer_address_ip, *port);
    settings.shared_key = shared_key_;
    settings.seeds = seeds_of(settings_);
    // The process holds its own streams' copies when there is nobody else.
    handlers_.on_peer(settings_.name, settings.peer_address);
    for (const auto& seed : settings.seeds)
    {
        hub_.set_peer(seed.name, seed.peer_address);
        handlers_.on_peer(seed.name, seed.peer_address);
    }
    members_ = std::make_unique<membership_runner>(
        loop_, clock_, std::move(settings), std::random_device{}());
    members_->on_change(
        [this](const member_update& changed) { on_change(changed); });
    const auto bound = members_->start();
    if (!bound)
    {
        return tl::unexpected(bound.error());
    }
    return {};
}

void entry_links::on_change(const member_update& changed)
{
    if (changed.kind == member_kind::backend_server)
    {
        if (changed.state >= member_state::leaving)
        {
            handlers_.on_server_leaving(changed.name);
        }
        return;
    }
    if (changed.name == settings_.name)
    {
        if (changed.state == member_state::leaving)
        {
            handlers_.on_ordered_to_leave();
        }
        return;
    }
    if (!changed.peer_address.empty())
    {
        hub_.set_peer(changed.name, changed.peer_address);
        handlers_.on_peer(changed.name, changed.peer_address);
    }
}

void entry_links::announce_leaving()
{
    if (members_)
    {
        members_->announce_leaving();
    }
}

protocol::peer_hub& entry_links::hub() noexcept
{
    return hub_;
}

membership_runner& entry_links::members() noexcept
{
    return *members_;
}

} // namespace hyssopdeal::coordination
