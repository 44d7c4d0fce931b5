#include <hyssopdeal/protocol/peer_hub.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <fmt/format.h>

#include <hyssopdeal/transport/logging.hpp>
#include <hyssopdeal/transport/metrics.hpp>
#include <hyssopdeal/transport/unproved_connections.hpp>

#include "peer_link.hpp"
#include "transport/ip_endpoint.hpp"

namespace hyssopdeal::protocol
{

using asio::ip::tcp;
using transport::fail;
using transport::failure;
using transport::log_part;
using transport::log_warning;
using transport::reason;
using transport::result;
using transport::verdict;

namespace
{

constexpr std::size_t max_accepted_links = 4'096;
constexpr std::chrono::milliseconds accept_retry_pause{100};

/// A peer and the link that carries messages to it.
struct peer_entry
{
    std::string address;
    std::shared_ptr<peer_link> link; // empty when closed
};

/// A call that waits for its answer.
struct waiting_call
{
    std::string peer;
    peer_hub::answer_handler on_answer;
    transport::timer_handle timer;
};

} // namespace

struct peer_hub::impl
{
    impl(transport::event_loop& on_loop, peer_hub_settings from)
        : loop(on_loop),
          settings(std::move(from)),
          acceptor(loop.context()),
          accept_pause(loop.context())
    {}

    transport::event_loop& loop;
    peer_hub_settings settings;
    tcp::acceptor acceptor;
    asio::steady_timer accept_pause;
    std::map<std::string, peer_entry, std::less<>> peers;
    std::map<peer_channel, message_handler> channels;
    std::set<std::shared_ptr<peer_link>> accepted;
    transport::unproved_connections<peer_link> unproved;
    std::unordered_map<std::uint64_t, waiting_call> calls;
    std::uint64_t last_correlation = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    void close_all();
    void accept_next();
    void take_connection(tcp::socket socket);
    std::shared_ptr<peer_link> link_to(std::string_view name);
    std::shared_ptr<peer_link> dial(std::string_view name, peer_entry& entry);
    peer_link_handlers link_handlers();
    void take_message(peer_link& link, peer_message message);
    void take_answer(peer_message message);
    void lose_link(peer_link& link);
    void time_out(std::uint64_t correlation);
    void finish(std::uint64_t correlation, result<std::string> outcome);
    void fail_later(answer_handler on_answer, failure error);
};

void peer_hub::impl::close_all()
{
    *alive = false;
    calls.clear();
    asio::error_code ignored;
    acceptor.close(ignored);
    accept_pause.cancel();
    const auto inbound = std::exchange(accepted, {});
    for (const auto& link : inbound)
    {
        link->close();
    }
    for (auto& [name, entry] : peers)
    {
        if (const auto link = std::exchange(entry.link, nullptr))
        {
            link->close();
        }
    }
}

void peer_hub::impl::accept_next()
{
    acceptor.async_accept(
        [this, still = alive](const auto& error, tcp::socket socket) {
            if (!*still || !acceptor.is_open())
            {
                return;
            }
            if (!error)
            {
                take_connection(std::move(socket));
                accept_next();
                return;
            }
            // No file handle is left, for example: try again a little later.
            accept_pause.expires_after(accept_retry_pause);
            accept_pause.async_wait([this, still](const auto& stopped) {
                if (*still && !stopped)
                {
                    accept_next();
                }
            });
        });
}

void peer_hub::impl::take_connection(tcp::socket socket)
{
    transport::make_room_for_unproved(
        unproved, settings.max_unproved,
        [this](auto& link) {
            return link.proved() ||
                   accepted.count(link.shared_from_this()) == 0;
        },
        [](auto& link) { link.close(); });
    if (accepted.size() >= max_accepted_links)
    {
        log_warning(log_part::peer, "Too many links are open. links={}",
                    accepted.size());
        return;
    }
    auto link = std::make_shared<peer_link>(
        std::move(socket), settings, link_side::listener, "", link_handlers());
    accepted.insert(link);
    unproved.push_back(link);
    link->accept();
}

std::shared_ptr<peer_link> peer_hub::impl::link_to(std::string_view name)
{
    const auto found = peers.find(name);
    if (found == peers.end())
    {
        return nullptr;
    }
    if (!found->second.link)
    {
        found->second.link = dial(name, found->second);
    }
    return found->second.link;
}

std::shared_ptr<peer_link> peer_hub::impl::dial(std::string_view name,
                                                peer_entry& entry)
{
    const auto endpoint =
        transport::parse_endpoint<tcp::endpoint>(entry.address);
    if (!endpoint)
    {
        return nullptr;
    }
    auto link = std::make_shared<peer_link>(tcp::socket{loop.context()},
                                            settings, link_side::dialler,
                                            std::string{name}, link_handlers());
    link->dial(*endpoint);
    return link;
}

peer_link_handlers peer_hub::impl::link_handlers()
{
    peer_link_handlers handlers;
    handlers.on_message = [this, still = alive](peer_link& link,
                                                peer_message message) {
        if (*still)
        {
            take_message(link, std::move(message));
        }
    };
    handlers.on_closed = [this, still = alive](peer_link& link) {
        if (*still)
        {
            lose_link(link);
        }
    };
    return handlers;
}

void peer_hub::impl::take_message(peer_link& link, peer_message message)
{
    if (message.kind == frame_kind::answer)
    {
        take_answer(std::move(message));
        return;
    }
    const auto channel = channels.find(message.channel);
    if (channel == channels.end())
    {
        return;
    }
    reply_function reply =
        [weak = link.weak_from_this(), channel = message.channel,
         correlation = message.correlation](std::string payload) {
            const auto open = weak.lock();
            if (open && correlation != 0)
            {
                open->send({channel, correlation, frame_kind::answer,
                            std::move(payload)});
            }
        };
    channel->second(link.peer(), std::move(message.payload), std::move(reply));
}

void peer_hub::impl::take_answer(peer_message message)
{
    finish(message.correlation, std::move(message.payload));
}

void peer_hub::impl::lose_link(peer_link& link)
{
    accepted.erase(link.shared_from_this());
    const auto found = peers.find(link.peer());
    if (found == peers.end() || found->second.link.get() != &link)
    {
        return;
    }
    const auto closed = std::exchange(found->second.link, nullptr);
    std::vector<std::uint64_t> lost;
    for (const auto& [correlation, call] : calls)
    {
        if (call.peer == link.peer())
        {
            lost.push_back(correlation);
        }
    }
    for (const auto correlation : lost)
    {
        closed->is_queued(correlation)
            ? finish(correlation,
                     fail(reason::connect_failed, "No link to the peer."))
            : finish(correlation,
                     fail(reason::connection_lost, "The link broke.",
                          verdict::may_have_run));
    }
}

void peer_hub::impl::time_out(std::uint64_t correlation)
{
    const auto found = calls.find(correlation);
    if (found == calls.end())
    {
        return;
    }
    const auto peer = peers.find(found->second.peer);
    const bool withdrawn = peer != peers.end() && peer->second.link &&
                           peer->second.link->withdraw(correlation);
    finish(correlation,
           fail(reason::timed_out, "The peer did not answer in time.",
                withdrawn ? verdict::not_run : verdict::may_have_run));
}

void peer_hub::impl::finish(std::uint64_t correlation,
                            result<std::string> outcome)
{
    const auto found = calls.find(correlation);
    if (found == calls.end())
    {
        return;
    }
    const auto on_answer = std::move(found->second.on_answer);
    calls.erase(found);
    on_answer(std::move(outcome));
}

void peer_hub::impl::fail_later(answer_handler on_answer, failure error)
{
    loop.post(
        [still = alive, called = std::move(on_answer), why = std::move(error)] {
            if (*still)
            {
                called(tl::make_unexpected(why));
            }
        });
}

peer_hub::peer_hub(transport::event_loop& loop, peer_hub_settings settings)
    : impl_(std::make_unique<impl>(loop, std::move(settings)))
{}

peer_hub::~peer_hub()
{
    impl_->close_all();
}

result<std::uint16_t> peer_hub::start()
{
    const auto& settings = impl_->settings;
    auto& acceptor = impl_->acceptor;
    try
    {
        const tcp::endpoint endpoint{asio::ip::make_address(settings.address),
                                     settings.port};
        acceptor.open(endpoint.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address{true});
        acceptor.bind(endpoint);
        acceptor.listen();
    }
    catch (const std::exception& error)
    {
        return fail(reason::bad_settings,
                    fmt::format("Cannot listen on {}:{}: {}.", settings.address,
                                settings.port, error.what()));
    }
    impl_->accept_next();
    return acceptor.local_endpoint().port();
}

void peer_hub::set_peer(std::string_view name, std::string_view address)
{
    auto& entry = impl_->peers[std::string{name}];
    if (entry.address == address)
    {
        return;
    }
    entry.address = address;
    if (const auto link = entry.link)
    {
        link->close();
    }
}

std::size_t peer_hub::open_links() const
{
    const auto& peers = impl_->peers;
    const auto dialled =
        std::count_if(peers.begin(), peers.end(), [](const auto& item) {
            return item.second.link != nullptr;
        });
    return impl_->accepted.size() + static_cast<std::size_t>(dialled);
}

const transport::log_limit& peer_hub::bad_input() const noexcept
{
    return *impl_->settings.bad_input;
}

void peer_hub::on_message(peer_channel channel, message_handler handler)
{
    impl_->channels[channel] = std::move(handler);
}

void peer_hub::send(std::string_view to, peer_channel channel,
                    std::string payload)
{
    if (const auto link = impl_->link_to(to))
    {
        link->send({channel, 0, frame_kind::message, std::move(payload)});
    }
}

void peer_hub::call(std::string_view to, peer_channel channel,
                    std::string payload, std::chrono::milliseconds time_limit,
                    answer_handler on_answer)
{
    const auto link = impl_->link_to(to);
    if (!link)
    {
        impl_->fail_later(std::move(on_answer),
                          {verdict::not_run, reason::connect_failed,
                           "The peer's address is not known."});
        return;
    }
    const auto correlation = ++impl_->last_correlation;
    if (!link->send(
            {channel, correlation, frame_kind::message, std::move(payload)}))
    {
        impl_->fail_later(std::move(on_answer),
                          {verdict::not_run, reason::overloaded,
                           "The message does not fit the link."});
        return;
    }
    auto& call = impl_->calls[correlation];
    call.peer = to;
    call.on_answer = std::move(on_answer);
    call.timer = impl_->loop.after(
        time_limit, [this, correlation] { impl_->time_out(correlation); });
}

std::string bad_input_metrics(const transport::log_limit& bad_input)
{
    transport::prometheus_text out;
    out.family("hyssopdeal_bad_input_links_total", "counter",
               "Links to other processes closed for bad input");
    out.sample(static_cast<double>(bad_input.total()));
    return out.text();
}

} // namespace hyssopdeal::protocol
