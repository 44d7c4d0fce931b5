/// @file
/// Relay of TCP connections on Asio.

#include <hyssopdeal/transport/tcp_relay.hpp>

#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>

#include <hyssopdeal/transport/digest.hpp>
#include <hyssopdeal/transport/event_log.hpp>
#include <hyssopdeal/transport/log_limit.hpp>
#include <hyssopdeal/transport/unproved_connections.hpp>

#include "transport/http1_reader.hpp"
#include "transport/ip_endpoint.hpp"
#include "transport/socket_options.hpp"

namespace hyssopdeal::transport
{

using asio::ip::tcp;
using std::chrono::milliseconds;

namespace
{

constexpr std::size_t max_head_bytes = 1'024;
constexpr std::size_t start_bytes = 8;
constexpr milliseconds accept_retry_pause{100};

class relayed_connection;

} // namespace

// [state] --------------------------------------------------------------------

struct tcp_relay::impl : std::enable_shared_from_this<tcp_relay::impl>
{
    impl(event_loop& own_loop, tcp_relay_settings own_settings,
         target_filter filter, connect_handler handler)
        : loop(own_loop),
          settings(std::move(own_settings)),
          admits(std::move(filter)),
          on_connect(std::move(handler)),
          acceptor(loop.context())
    {}

    void accept();
    void take(tcp::socket socket);

    event_loop& loop;
    tcp_relay_settings settings;
    target_filter admits;
    connect_handler on_connect;
    tcp::acceptor acceptor;
    const std::string start = to_hex(random_bytes(start_bytes));
    std::set<std::shared_ptr<relayed_connection>> connections;
    unproved_connections<relayed_connection> unproved;
    timer_handle accept_pause;
    std::size_t open = 0; ///< Of these, connected to a server.
    std::uint64_t relayed = 0;
    log_limit refused; ///< Anyone may connect and be refused.
    bool draining = false;
};

std::string relay_proof(std::string_view shared_key, std::string_view target)
{
    return "HMAC " +
           to_hex(hmac_sha256(shared_key, "relay " + std::string{target}));
}

// [relayed_connection] -------------------------------------------------------

namespace
{

/// A client's connection and, once its request was accepted, the one to the
/// server.
class relayed_connection
    : public std::enable_shared_from_this<relayed_connection>
{
public:
    relayed_connection(std::shared_ptr<tcp_relay::impl> relay,
                       tcp::socket client)
        : relay_(std::move(relay)),
          client_(std::move(client)),
          server_(relay_->loop.context()),
          reader_(message_kind::request, max_head_bytes)
    {}

    void start()
    {
        limit_silence(client_, relay_->settings.silence_limit);
        timer_ = relay_->loop.after(
            relay_->settings.head_time_limit,
            [self = shared_from_this()] { self->reset_both(); });
        read_head();
    }

    /// Closes both sides so that neither takes what it got for complete.
    void reset_both()
    {
        timer_.cancel();
        asio::error_code ignored;
        for (auto* const socket : {&client_, &server_})
        {
            if (socket->is_open())
            {
                socket->set_option(asio::socket_base::linger{true, 0}, ignored);
                socket->close(ignored);
            }
        }
        leave();
    }

    /// @return Whether it has closed or proved the key.
    [[nodiscard]] bool settled() const noexcept
    {
        return proved_ || !client_.is_open();
    }

private:
    /// One direction of the relayed bytes.
    struct flow
    {
        tcp::socket& from;
        tcp::socket& to;
        std::array<char, 16'384> bytes{};
    };

    void read_head()
    {
        client_.async_read_some(
            asio::buffer(to_server_.bytes),
            [self = shared_from_this()](const auto& error, std::size_t length) {
                // Closed while the read was already complete.
                if (error || !self->client_.is_open())
                {
                    return self->reset_both();
                }
                const std::string_view bytes{self->to_server_.bytes.data(),
                                             length};
                const auto used = self->reader_.feed(bytes);
                if (self->reader_.state() == read_state::head)
                {
                    return self->read_head();
                }
                // A client sends nothing more before the response.
                if (self->reader_.state() == read_state::bad ||
                    used != bytes.size())
                {
                    return self->reset_both();
                }
                self->on_head();
            });
    }

    void on_head()
    {
        const auto& target = reader_.target();
        const auto proof =
            find_header(reader_.headers(), "Proxy-Authorization");
        if (reader_.method() != "CONNECT" ||
            !same_secret(proof,
                         relay_proof(relay_->settings.shared_key, target)))
        {
            return refuse(407, "proof");
        }
        proved_ = true;
        const auto endpoint = parse_endpoint<tcp::endpoint>(target);
        if (!endpoint || !relay_->admits(target))
        {
            return refuse(relay_unreachable_status, "not_admitted");
        }
        if (relay_->draining ||
            relay_->open >= relay_->settings.max_connections)
        {
            return refuse(503, relay_->draining ? "draining" : "full");
        }
        connect(*endpoint);
    }

    void connect(const tcp::endpoint& endpoint)
    {
        timer_ = relay_->loop.after(relay_->settings.connect_time_limit,
                                    [self = shared_from_this()] {
                                        asio::error_code ignored;
                                        self->server_.close(ignored);
                                    });
        asio::error_code error;
        open_from(server_, endpoint.protocol(), relay_->settings.source_address,
                  error);
        if (error)
        {
            return on_unreachable(error);
        }
        server_.async_connect(
            endpoint, [self = shared_from_this()](const auto& failed) {
                self->timer_.cancel();
                if (!self->client_.is_open())
                {
                    return;
                }
                failed ? self->on_unreachable(failed) : self->on_connected();
            });
    }

    /// Tells a client whether to try other servers or other relays.
    void on_unreachable(const asio::error_code& error)
    {
        constexpr int cut_off_status = 503;
        const bool reaches_others =
            !relay_->on_connect || relay_->on_connect(reader_.target(), false);
        refuse(reaches_others ? relay_unreachable_status : cut_off_status,
               error.message());
    }

    void on_connected()
    {
        if (relay_->on_connect)
        {
            (void)relay_->on_connect(reader_.target(), true);
        }
        limit_silence(server_, relay_->settings.silence_limit);
        open_ = true;
        ++relay_->open;
        ++relay_->relayed;
        const auto start =
            fmt::format("{}: {}\r\n", relay_start_header, relay_->start);
        respond(200, start, [](auto& self) {
            self.pump(self.to_server_);
            self.pump(self.to_client_);
        });
    }

    void refuse(int status, std::string_view why)
    {
        timer_.cancel();
        if (const auto suppressed = relay_->refused.count())
        {
            log_event("relay.refused", {{"target", reader_.target()},
                                        {"status", status},
                                        {"error", why},
                                        {"suppressed", *suppressed}});
        }
        respond(status, {}, [](auto& self) {
            asio::error_code ignored;
            self.client_.close(ignored);
            self.leave();
        });
    }

    template <class Next>
    void respond(int status, std::string_view headers, Next next)
    {
        head_ = fmt::format("HTTP/1.1 {} \r\n{}\r\n", status, headers);
        asio::async_write(
            client_, asio::buffer(head_),
            [self = shared_from_this(), next](const auto& error, std::size_t) {
                error ? self->reset_both() : next(*self);
            });
    }

    void pump(flow& way)
    {
        way.from.async_read_some(asio::buffer(way.bytes),
                                 [self = shared_from_this(),
                                  &way](const auto& error, std::size_t length) {
                                     if (error == asio::error::eof)
                                     {
                                         return self->on_end(way);
                                     }
                                     if (error)
                                     {
                                         return self->reset_both();
                                     }
                                     self->write(way, length);
                                 });
    }

    void write(flow& way, std::size_t length)
    {
        asio::async_write(
            way.to, asio::buffer(way.bytes, length),
            [self = shared_from_this(), &way](const auto& error, std::size_t) {
                error ? self->reset_both() : self->pump(way);
            });
    }

    /// One side has closed in good order. A client that closes wants nothing
    /// more, so its server is told at once.
    void on_end(flow& way)
    {
        if (&way == &to_server_)
        {
            return reset_both();
        }
        asio::error_code ignored;
        way.to.shutdown(tcp::socket::shutdown_send, ignored);
        client_.close(ignored);
        server_.close(ignored);
        leave();
    }

    void leave()
    {
        if (std::exchange(open_, false))
        {
            --relay_->open;
        }
        relay_->connections.erase(shared_from_this());
    }

    std::shared_ptr<tcp_relay::impl> relay_;
    tcp::socket client_;
    tcp::socket server_;
    http1_reader reader_;
    flow to_server_{client_, server_};
    flow to_client_{server_, client_};
    std::string head_;
    timer_handle timer_;
    bool open_ = false;
    bool proved_ = false;
};

} // namespace

// [tcp_relay] ----------------------------------------------------------------

void tcp_relay::impl::accept()
{
    acceptor.async_accept([weak = weak_from_this()](const auto& error,
                                                    tcp::socket socket) {
        const auto self = weak.lock();
        if (!self || !self->acceptor.is_open() ||
            error == asio::error::operation_aborted)
        {
            return;
        }
        if (error)
        {
            log_event("relay.accept_failed", {{"error", error.message()}});
            // No descriptor is left, for example; trying again at once would
            // keep the loop busy.
            self->accept_pause = self->loop.after(accept_retry_pause, [weak] {
                if (const auto still = weak.lock())
                {
                    still->accept();
                }
            });
            return;
        }
        self->take(std::move(socket));
        self->accept();
    });
}

void tcp_relay::impl::take(tcp::socket socket)
{
    make_room_for_unproved(
        unproved, settings.max_unproved,
        [](const auto& one) { return one.settled(); },
        [](auto& one) { one.reset_both(); });
    const auto made = std::make_shared<relayed_connection>(shared_from_this(),
                                                           std::move(socket));
    connections.insert(made);
    unproved.push_back(made);
    made->start();
}

tcp_relay::tcp_relay(event_loop& loop, tcp_relay_settings settings,
                     target_filter admits, connect_handler on_connect)
    : impl_(std::make_shared<impl>(loop, std::move(settings), std::move(admits),
                                   std::move(on_connect)))
{}

tcp_relay::~tcp_relay()
{
    asio::error_code ignored;
    impl_->acceptor.close(ignored);
    const auto connections = impl_->connections;
    for (const auto& connection : connections)
    {
        connection->reset_both();
    }
}

result<std::uint16_t> tcp_relay::start()
{
    asio::error_code error;
    auto& acceptor = impl_->acceptor;
    listen_on(acceptor, impl_->settings.address, impl_->settings.port, error);
    if (error)
    {
        return fail(reason::connect_failed,
                    "Cannot listen for relayed connections: " +
                        error.message());
    }
    const auto port = acceptor.local_endpoint(error).port();
    impl_->accept();
    return port;
}

void tcp_relay::drain()
{
    impl_->draining = true;
}

std::size_t tcp_relay::open_connections() const noexcept
{
    return impl_->open;
}

std::uint64_t tcp_relay::relayed() const noexcept
{
    return impl_->relayed;
}

std::uint64_t tcp_relay::refused() const
{
    return impl_->refused.total();
}

} // namespace hyssopdeal::transport
